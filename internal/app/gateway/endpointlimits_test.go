package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/allowance"
	"github.com/cassiapass/cassiapass/internal/core/fleet"
)

// limitedGateway returns a gateway before two endpoints, the second of which is limited and
// expected to have a permit after next.
func limitedGateway(t *testing.T, next time.Duration) *Gateway {
	t.Helper()
	g := startGateway(t, newFakeEndpoint(t, answerOK), newFakeEndpoint(t, answerOK))
	now := time.Now()
	g.dir.mu.Lock()
	defer g.dir.mu.Unlock()
	g.dir.limits.Named(now, "e1", 1)
	g.dir.limits.Report(now)
	g.dir.limits.Answered(now, now, allowance.PermitAnswer{Term: 1, Stamp: 1, Grants: []allowance.PermitGrant{
		{EndpointStatement: allowance.EndpointStatement{Endpoint: "e1", Rate: 1}, Next: next, Behind: next}}})
	return g
}

func (g *Gateway) setFailing(id fleet.EndpointID, share float64) {
	g.dir.mu.Lock()
	defer g.dir.mu.Unlock()
	g.dir.byID[id].failureShare, g.dir.byID[id].judgedAt = share, time.Now()
}

// Guards against requests that go to a failing endpoint while a sound one has a permit soon.
func TestRequestWaitsForALimitRatherThanFail(t *testing.T) {
	for _, tc := range []struct {
		next    time.Duration
		failing float64
		waits   bool
	}{{100 * time.Millisecond, 0.5, true}, {5 * time.Second, 0.5, false}, {100 * time.Millisecond, 0, false}} {
		is := is.New(t)
		g := limitedGateway(t, tc.next)
		g.setFailing("e0", tc.failing)
		e, short := g.dir.acquire(time.Now(), query{service: "s", waiter: &allowance.Waiter{Since: time.Now()}})
		is.Equal(e == nil, tc.waits)
		if tc.waits {
			is.Equal(short.reason, reasonAtLimit)
			is.True(!short.onlyLimits)
		}
	}
}

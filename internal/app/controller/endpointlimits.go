package controller

import (
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cassiapass/cassiapass/internal/core/allowance"
	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/wire"
)

// endpointLimits grants permits for endpoints that limit their requests while this host leads.
// Calls are answered outside the controller's loop, where they would wait for plans.
type endpointLimits struct {
	mu    sync.Mutex
	alloc *allowance.PermitAllocator // nil while this host does not lead
}

func (l *endpointLimits) startLeading(now time.Time, term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.alloc = allowance.NewPermitAllocator(now, term)
}

func (l *endpointLimits) stopLeading() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.alloc = nil
}

// recordPull records that an entry is alive, or that it is leaving.
func (l *endpointLimits) recordPull(now time.Time, p wire.PullParams) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.alloc == nil:
	case p.Leaving:
		l.alloc.Forget(now, string(p.Host))
	default:
		l.alloc.Seen(now, string(p.Host), p.Entries)
	}
}

// report applies an entry's report and returns the permits that it is granted.
func (l *endpointLimits) report(now time.Time, p wire.PermitParams) wire.PermitResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.alloc == nil {
		return wire.PermitResult{}
	}
	return wire.PermitResult{Leading: true, Answer: l.alloc.Report(now, string(p.Host), p.Report)}
}

// statements returns what is known of limits, by endpoint.
func (l *endpointLimits) statements(now time.Time) map[string]allowance.Statement {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.alloc == nil {
		return nil
	}
	return l.alloc.Statements(now)
}

// status returns the state of all limits; false if this host does not lead.
func (l *endpointLimits) status(now time.Time) ([]allowance.LimitStatus, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.alloc == nil {
		return nil, false
	}
	return l.alloc.Status(now), true
}

// limitsInterval is the minimum time between two updates of published limits.
const limitsInterval = 100 * time.Millisecond

// publishLimits publishes the limits of endpoints to the entries that may need them, and passes
// them to the planner.
func (c *Controller) publishLimits(now time.Time) {
	if now.Sub(c.limitsPublished) < limitsInterval {
		return
	}
	c.limitsPublished = now
	statements := c.limits.statements(now)
	if len(statements) == 0 && c.limited == 0 {
		return
	}
	c.limited = len(statements)
	rates := make(map[fleet.EndpointID]float64, len(statements))
	for name, s := range statements {
		if !s.Ended {
			rates[fleet.EndpointID(name)] = s.Rate
		}
	}
	c.planner.SetLimits(rates)
	c.pub.setLimits(statements)
}

// LimitsPath is the path of the operator API at which the limits of endpoints are read.
const LimitsPath = "/v1/limits"

// ServeLimits answers an operator's request with an []allowance.LimitStatus. Only the leader
// has it.
func (c *Controller) ServeLimits(x echo.Context) error {
	st, leads := c.limits.status(time.Now())
	if !leads {
		return c.notLeader(x)
	}
	return x.JSON(http.StatusOK, st)
}

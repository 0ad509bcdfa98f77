package gateway

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/fleet"
)

// withETAs returns a gateway whose leader has just published when models will be held.
func withETAs(t *testing.T, etas ...fleet.ETA) *Gateway {
	t.Helper()
	g := startGateway(t, newFakeEndpoint(t, answerOK))
	g.dir.setRunning(time.Now(), nil)
	g.dir.setETAs(time.Now(), true, true, etas)
	return g
}

// Guards against callers that wait in vain and are refused after half of their time: the
// model is loaded from the store in 13 s, and they have 2 s.
func TestCallerWhoseModelLoadsTooLateIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	g := withETAs(t, fleet.ETA{Model: "rare", In: 13 * time.Second})
	begin := time.Now()
	r := dial(t, g).ask("POST", "/stream/x", "r1", "body", "Model: rare")
	is.Equal(r.status, 503)
	is.True(time.Since(begin) < 200*time.Millisecond)
	after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(after > 12.5 && after < 15)
	var away int
	for _, d := range g.demands.report(time.Now()) {
		away += d.Refused
	}
	is.Equal(away, 1) // the leader receives a report that it was requested
}

// A request waits for a model that is loaded in time, and is served.
func TestCallerWhoseModelComesInTimeWaits(t *testing.T) {
	is := is.New(t)
	b := newFakeEndpoint(t, answerOK)
	g := startGateway(t, b)
	g.dir.setRunning(time.Now(), nil)
	g.dir.setETAs(time.Now(), true, true, []fleet.ETA{{Model: "rare", In: 300 * time.Millisecond}})
	time.AfterFunc(300*time.Millisecond, func() {
		eps := listed(b)
		eps[0].Held = []fleet.Held{{Model: "rare"}}
		g.dir.update(1, 2, eps, nil)
	})
	r := dial(t, g).ask("POST", "/once/x", "r1", "body", "Model: rare")
	is.Equal(r.status, 200)
}

// Guards against callers that are refused by ETAs of a former leader: it is cut off, and
// the next one has not published anything yet.
func TestETAsOfASilentLeaderDoNotCount(t *testing.T) {
	is := is.New(t)
	g := withETAs(t, fleet.ETA{Model: "rare", In: 13 * time.Second})
	is.True(g.dir.modelETA(time.Now(), "rare") > 0)
	is.Equal(g.dir.modelETA(time.Now().Add(maxETAAge+time.Millisecond), "rare"), time.Duration(0))
	g.dir.setETAs(time.Now(), false, true, nil) // the next leader publishes none
	is.Equal(g.dir.modelETA(time.Now(), "rare"), time.Duration(0))
}

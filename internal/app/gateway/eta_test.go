package gateway

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/fleet"
)

// withETAs returns a gateway whose leader has just told when models will be held.
func withETAs(t *testing.T, os ...fleet.ETA) *Gateway {
	t.Helper()
	g := startGateway(t, newBackend(t, answerOK))
	g.dir.fresh(time.Now(), nil)
	g.dir.setETAs(time.Now(), true, true, os)
	return g
}

// Symptom: callers wait for nothing, and are refused when half of their time is gone.
// Sequence: they ask for a model that the store brings in 13 s; they have 2 s.
func TestCallerWhoseModelComesTooLateIsToldAtOnce(t *testing.T) {
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
	for _, d := range g.demands.tell(time.Now()) {
		away += d.Away
	}
	is.Equal(away, 1) // the leader learns that it was asked for
}

// What comes in time is waited for, and served.
func TestCallerWhoseModelComesInTimeWaits(t *testing.T) {
	is := is.New(t)
	b := newBackend(t, answerOK)
	g := startGateway(t, b)
	g.dir.fresh(time.Now(), nil)
	g.dir.setETAs(time.Now(), true, true, []fleet.ETA{{Model: "rare", In: 300 * time.Millisecond}})
	time.AfterFunc(300*time.Millisecond, func() {
		eps := listed(b)
		eps[0].Held = []fleet.Held{{Model: "rare"}}
		g.dir.update(1, 2, eps, nil)
	})
	r := dial(t, g).ask("POST", "/once/x", "r1", "body", "Model: rare")
	is.Equal(r.status, 200)
}

// Symptom: callers are refused by ETAs of a leader that leads no more.
// Sequence: the leader is cut off; the next one has not told anything yet.
func TestETAsOfASilentLeaderDoNotCount(t *testing.T) {
	is := is.New(t)
	g := withETAs(t, fleet.ETA{Model: "rare", In: 13 * time.Second})
	is.True(g.dir.ready(time.Now(), "rare") > 0)
	is.Equal(g.dir.ready(time.Now().Add(etaStays+time.Millisecond), "rare"), time.Duration(0))
	g.dir.setETAs(time.Now(), false, true, nil) // the next leader tells none
	is.Equal(g.dir.ready(time.Now(), "rare"), time.Duration(0))
}

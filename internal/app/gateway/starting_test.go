package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/state"
)

// startWithoutDeployment runs a gateway that knows its endpoints and no deployment.
func startWithoutDeployment(t *testing.T) *Gateway {
	t.Helper()
	b := newFakeEndpoint(t, answerOK)
	g, err := New(testConfig())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Kill)
	g.raiseEntries(1)
	g.dir.replace(1, 1, listed(b))
	return g
}

// Guards against callers that are refused, and have no try left, though an answer was
// possible within half a second: all processes are killed and restart, and callers reach
// entries a moment before control has a leader, which publishes the deployment.
func TestStartingEntryLetsCallersWaitForTheDeployment(t *testing.T) {
	is := is.New(t)
	g := startWithoutDeployment(t)
	time.AfterFunc(300*time.Millisecond, func() { g.applyDeployment(state.Deployment{Version: 1}) })
	begin := time.Now()
	r := dial(t, g).ask("GET", "/safe/x", "r1", "")
	is.Equal(r.status, 200)
	is.True(time.Since(begin) < startupWait/2)
}

// Guards against callers that wait at an entry without routes: it does not reach control
// for long after its start.
func TestEntryThatReachesNoControlRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	g := startWithoutDeployment(t)
	g.startedAt = time.Now().Add(-startupWait)
	begin := time.Now()
	r := dial(t, g).ask("GET", "/safe/x", "r1", "")
	is.Equal(r.status, 503)
	is.True(r.header.Get("Retry-After") != "")
	is.True(time.Since(begin) < startupWait/4)
}

// Guards against running a request although its caller left while the entry started.
func TestCallerThatLeavesAStartingEntryIsNotServed(t *testing.T) {
	is := is.New(t)
	g := startWithoutDeployment(t)
	c := dial(t, g)
	c.send("POST", "/once/x", "r1", "body")
	time.Sleep(50 * time.Millisecond)
	is.NoErr(c.c.Close())
	time.Sleep(50 * time.Millisecond)
	g.applyDeployment(state.Deployment{Version: 1})
	time.Sleep(100 * time.Millisecond)
	is.Equal(g.dir.reportUses(), nil) // sent nowhere
}

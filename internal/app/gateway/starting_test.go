package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/state"
)

// starting is a gateway that knows its endpoints and no deployment.
func starting(t *testing.T) *Gateway {
	t.Helper()
	b := newBackend(t, answerOK)
	g, err := New(testConfig())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Kill)
	g.learnEntries(1)
	g.dir.replace(1, 1, listed(b))
	return g
}

// Symptom: callers are refused, and have no try left, though an answer could have come
// in half a second.
// Sequence: all processes are killed and start again; callers come to entries a moment
// before control leads and tells them the deployment.
func TestStartingEntryLetsCallersWaitForTheDeployment(t *testing.T) {
	is := is.New(t)
	g := starting(t)
	time.AfterFunc(300*time.Millisecond, func() { g.deployed(state.Deployment{Version: 1}) })
	begin := time.Now()
	r := dial(t, g).ask("GET", "/safe/x", "r1", "")
	is.Equal(r.status, 200)
	is.True(time.Since(begin) < startHold/2)
}

// Symptom: callers wait at an entry that cannot know where to send them.
// Sequence: control is not reached for long after the start.
func TestEntryThatReachesNoControlRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	g := starting(t)
	g.begun = time.Now().Add(-startHold)
	begin := time.Now()
	r := dial(t, g).ask("GET", "/safe/x", "r1", "")
	is.Equal(r.status, 503)
	is.True(r.header.Get("Retry-After") != "")
	is.True(time.Since(begin) < startHold/4)
}

// Symptom: a caller that left while the entry started is run for all the same.
func TestCallerThatLeavesAStartingEntryIsNotServed(t *testing.T) {
	is := is.New(t)
	g := starting(t)
	c := dial(t, g)
	c.send("POST", "/once/x", "r1", "body")
	time.Sleep(50 * time.Millisecond)
	is.NoErr(c.c.Close())
	time.Sleep(50 * time.Millisecond)
	g.deployed(state.Deployment{Version: 1})
	time.Sleep(100 * time.Millisecond)
	is.Equal(g.dir.uses(), nil) // sent nowhere
}

package gateway

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/poison"
	"github.com/cassiapass/cassiapass/internal/wire"
)

// closeConnection closes the connection on which a request arrived.
func closeConnection(*bufio.Reader, net.Conn, *http.Request, []byte) bool { return false }

// publishSuspects gives a gateway a key and cases, as a leader's answer does.
func publishSuspects(g *Gateway, term uint64, cases ...poison.Update) {
	g.suspects.merge(time.Now(), wire.Suspects{Mark: wire.SuspectMark{Term: term, Rev: 1}, Key: poison.Key("k"), Told: cases})
}

// fingerprintOf is the fingerprint of a request that callers of these tests send.
func fingerprintOf(method, path, body string) poison.Fingerprint {
	return poison.Key("k").Fingerprint([]byte(method), []byte("x.example"), []byte(path), []byte(body))
}

// A faulty endpoint that breaks answers off and still runs counts against no request.
func TestBrokenAnswerOfALivingEndpointDoesNotCount(t *testing.T) {
	is := is.New(t)
	g := startGateway(t, newFakeEndpoint(t, closeConnection))
	publishSuspects(g, 1)
	for range 5 {
		is.Equal(dial(t, g).ask("POST", "/once/x", "r", "body").status, 502)
	}
	is.Equal(g.suspects.standing(time.Now(), fingerprintOf("POST", "/once/x", "body")), poison.Standing{})
}

// endsOnRequest returns an endpoint that stops listening on the first request, like a process
// that ends. before is called first.
func endsOnRequest(t *testing.T, before func(b *fakeEndpoint)) *fakeEndpoint {
	t.Helper()
	made := make(chan *fakeEndpoint, 1)
	b := newFakeEndpoint(t, func(*bufio.Reader, net.Conn, *http.Request, []byte) bool {
		self := <-made
		before(self)
		_ = self.l.Close()
		return false
	})
	made <- b
	return b
}

func TestEndOfAnEndpointCountsUnlessItWasLeaving(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		is := is.New(t)
		started := make(chan *Gateway, 1)
		g := startGateway(t, endsOnRequest(t, func(b *fakeEndpoint) {
			eps := listed(b)
			eps[0].Leaving = leaving
			(<-started).dir.replace(1, 2, eps) // published while the request runs
		}))
		started <- g
		publishSuspects(g, 1)
		is.Equal(dial(t, g).ask("POST", "/once/x", "r", "body").status, 502)
		time.Sleep(2 * livenessWait)
		want := 1
		if leaving {
			want = 0
		}
		is.Equal(g.suspects.standing(time.Now(), fingerprintOf("POST", "/once/x", "body")).Ends, want)
		ends, _ := g.suspects.report(time.Now(), false)
		is.Equal(len(ends), want)
	}
}

// A run that breaks off at an endpoint that accepts connections again counts once the list
// shows that the incarnation was removed, and not at all if that is much later.
func TestEndShownByTheListCounts(t *testing.T) {
	is := is.New(t)
	s, f := newSuspects(), fingerprintOf("POST", "/once/x", "body")
	now := time.Now()
	s.recordUnresolved(now, brokenRun{request: f}, "e0")
	is.Equal(s.standing(now, f).Ends, 0)
	s.endpointRemoved(now.Add(2*time.Second), "e0", false)
	is.Equal(s.standing(now, f).Ends, 1)
	s.recordUnresolved(now, brokenRun{request: f}, "e1")
	s.endpointRemoved(now.Add(unresolvedTTL+time.Second), "e1", false)
	s.recordUnresolved(now, brokenRun{request: f}, "e2")
	s.endpointRemoved(now, "e2", true) // it left as planned
	is.Equal(s.standing(now, f).Ends, 1)
}

// Guards against look-ups, which are all equal, that are refused at all entries: a zone fails
// and three endpoints end, each while it runs one of the look-ups; others are answered before
// and after.
func TestRecentlyAnsweredRequestIsNotSuspect(t *testing.T) {
	is := is.New(t)
	s, f := newSuspects(), fingerprintOf("GET", "/safe/x", "")
	now := time.Now()
	s.recordAnswer(now, f)
	for _, e := range []fleet.EndpointID{"e0", "e1", "e2"} {
		s.recordEnd(now, brokenRun{request: f}, e)
	}
	is.Equal(s.standing(now, f), poison.Standing{})
	// Another entry, at which none was answered, made the leader quarantine it: this one reports
	// it as cleared.
	s.merge(now, wire.Suspects{Mark: wire.SuspectMark{Term: 1, Rev: 1}, Told: []poison.Update{{Request: f, Ends: 3, Left: time.Minute}}})
	is.Equal(s.standing(now, f), poison.Standing{})
	_, cleared := s.report(now, false)
	is.Equal(cleared, []poison.Fingerprint{f})
}

// Everything observed here is reported again to a new leader and on a new connection, as the
// earlier reports may be lost. What the leader has cleared is removed.
func TestNewLeaderReceivesAllReports(t *testing.T) {
	is := is.New(t)
	s, f := newSuspects(), fingerprintOf("POST", "/once/x", "body")
	now := time.Now()
	news := wire.Suspects{Mark: wire.SuspectMark{Term: 1, Rev: 1}}
	s.merge(now, news)
	s.recordEnd(now, brokenRun{request: f}, "e0")
	ends, _ := s.report(now, false)
	is.Equal(len(ends), 1)
	ends, _ = s.report(now, false)
	is.Equal(len(ends), 0)
	ends, _ = s.report(now, true) // on a new connection
	is.Equal(len(ends), 1)
	news.Mark.Term = 2
	s.merge(now, news)
	ends, _ = s.report(now, false)
	is.Equal(ends, []poison.End{{Request: f, Incarnation: "e0", Cold: true}})
	news.Mark.Rev, news.Told = 2, []poison.Update{{Request: f}}
	s.merge(now, news)
	is.Equal(s.standing(now, f), poison.Standing{})
}

// A request that is quarantined while it waits is refused at once, as not run, with the time
// after which to retry.
func TestWaitingRequestIsRefusedOnceItIsQuarantined(t *testing.T) {
	is := is.New(t)
	g := startGateway(t, newFakeEndpoint(t, answerOK))
	publishSuspects(g, 1)
	c := dial(t, g)
	c.send("POST", "/stream/x", "r", "body", "Model: cold")
	time.Sleep(50 * time.Millisecond)
	publishSuspects(g, 1, poison.Update{Request: fingerprintOf("POST", "/stream/x", "body"), Ends: 3, Left: 90 * time.Second})
	g.dir.wake()
	begin := time.Now()
	a := c.receive()
	is.Equal(a.status, 503)
	is.True(time.Since(begin) < 200*time.Millisecond)
	after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(after > 85 && after <= 90)
	is.Equal(dial(t, g).ask("POST", "/stream/x", "r2", "body", "Model: m").status, 503) // also where it is loaded
	is.Equal(dial(t, g).ask("POST", "/stream/x", "r3", "other", "Model: m").status, 200)
}

package gateway

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/poison"
	"github.com/cassiapass/cassiapass/internal/wire"
)

func part(id string) poison.Fingerprint { return poison.Key("k").Part(id) }

// streamsOrEnds answers with events, and ends the endpoint on a prompt with the part "dead" after the
// head of the answer.
func streamsOrEnds(t *testing.T) *fakeEndpoint {
	t.Helper()
	made := make(chan *fakeEndpoint, 1)
	b := newFakeEndpoint(t, func(_ *bufio.Reader, c net.Conn, r *http.Request, _ []byte) bool {
		head(c, r)
		if strings.Contains(r.Header.Get("Parts"), "dead") {
			time.Sleep(2 * beginTime)
			self := <-made
			_ = self.l.Close()
			made <- self
			return false
		}
		for i := 1; i <= 4; i++ {
			chunk(c, event(i))
			time.Sleep(provenAfter / 2)
		}
		_, _ = c.Write([]byte("0\r\n\r\n"))
		return true
	})
	made <- b
	return b
}

// Guards against an automatic repeat that takes a harmful part to the next endpoint, and against
// callers who do so one after the other: after the first end one trial is run, then none.
func TestSuspectPartEndsNoMoreThanItsTrial(t *testing.T) {
	is := is.New(t)
	bs := []*fakeEndpoint{streamsOrEnds(t), streamsOrEnds(t), streamsOrEnds(t), streamsOrEnds(t)}
	g := startGateway(t, bs...)
	publishSuspects(g, 1)
	arrivals := func() int {
		n := 0
		for _, b := range bs {
			n += b.arrivals()
		}
		return n
	}
	c := dial(t, g)
	c.send("POST", "/resume/x", "r0", "b0", "Parts: dead")
	_ = c.receive() // cut
	is.Equal(arrivals(), 1)
	c = dial(t, g)
	c.send("POST", "/resume/x", "r1", "b1", "Parts: dead")
	_ = c.receive()
	is.Equal(arrivals(), 2) // the trial
	got := dial(t, g).ask("POST", "/resume/x", "r2", "b2", "Parts: dead")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(got.header.Get("Retry-After") != "")
	is.Equal(arrivals(), 2)
	is.Equal(dial(t, g).ask("POST", "/resume/x", "r3", "b3", "Parts: alive").status, 200)
}

// Guards against the part that all prompts of a route begin with, refused because it is under nearly
// every end.
func TestSharedPartStaysServed(t *testing.T) {
	is := is.New(t)
	bs := []*fakeEndpoint{streamsOrEnds(t), streamsOrEnds(t), streamsOrEnds(t), streamsOrEnds(t)}
	g := startGateway(t, bs...)
	publishSuspects(g, 1)
	for i, id := range []string{"r0", "r1", "r2"} {
		is.Equal(dial(t, g).ask("POST", "/stream/x", id, id, "Parts: first,subject").status, 200)
		if i < 2 {
			c := dial(t, g)
			c.send("POST", "/stream/x", "d"+id, id, "Parts: first,dead")
			_, _ = http.ReadResponse(c.br, nil)
			time.Sleep(2 * livenessWait)
		}
		suspect, _ := g.suspects.suspectParts(time.Now(), []poison.Fingerprint{part("first")})
		is.Equal(len(suspect), 0)
	}
	is.True(g.suspects.standing(time.Now(), part("dead")).Quarantined)
}

// A request with a suspect part waits while another one tries it, and runs once that was answered.
func TestRequestsWaitForTheTrialOfTheirPart(t *testing.T) {
	is := is.New(t)
	b := streamsOrEnds(t)
	g := startGateway(t, b)
	publishSuspects(g, 1, poison.Update{Request: part("p"), Ends: 1, Part: true})
	first, second := dial(t, g), dial(t, g)
	first.send("POST", "/stream/x", "r0", "b0", "Parts: p")
	time.Sleep(provenAfter / 4)
	second.send("POST", "/stream/x", "r1", "b1", "Parts: p")
	time.Sleep(provenAfter / 4)
	is.Equal(b.arrivals(), 1)
	is.Equal(second.receive().status, 200)
	is.Equal(first.receive().status, 200)
	_, cleared := g.suspects.report(time.Now(), false)
	is.Equal(cleared, []poison.Fingerprint{part("p")})
}

// Guards against trials by an entry that no leader answers, of a part that has ended two endpoints.
func TestEntryWithoutALeaderTriesNoPartTwice(t *testing.T) {
	is := is.New(t)
	b := streamsOrEnds(t)
	g := startGateway(t, b)
	publishSuspects(g, 1, poison.Update{Request: part("p"), Ends: 2, Part: true})
	got := dial(t, g).ask("POST", "/stream/x", "r0", "b0", "Parts: p", "Left: 400")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(b.arrivals(), 0)
}

// Guards against a trial by each entry while a new leader is elected: together they end more endpoints
// than the leader, once it has heard of the first ends.
func TestEntryThatHasJustLostTheLeaderTriesNoPart(t *testing.T) {
	is := is.New(t)
	b := streamsOrEnds(t)
	g := startGateway(t, b)
	publishSuspects(g, 1, poison.Update{Request: part("p"), Ends: 1, Part: true})
	g.sync.contact.record(time.Now())
	got := dial(t, g).ask("POST", "/stream/x", "r0", "b0", "Parts: p", "Left: 400")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(b.arrivals(), 0)
	g.sync.contact.record(time.Now().Add(-ownTrialsAfter))
	is.Equal(dial(t, g).ask("POST", "/stream/x", "r1", "b1", "Parts: p").status, http.StatusOK)
}

// Guards against a second trial by an entry that no leader answers: one end it was told of, the other
// it saw, so neither count alone shows two.
func TestEntryWithoutALeaderEndsOneTrialOfAPart(t *testing.T) {
	is := is.New(t)
	bs := []*fakeEndpoint{streamsOrEnds(t), streamsOrEnds(t), streamsOrEnds(t)}
	g := startGateway(t, bs...)
	publishSuspects(g, 1, poison.Update{Request: part("dead"), Ends: 1, Part: true})
	c := dial(t, g)
	c.send("POST", "/resume/x", "r0", "b0", "Parts: dead")
	_ = c.receive() // cut: the trial
	got := dial(t, g).ask("POST", "/resume/x", "r1", "b1", "Parts: dead", "Left: 400")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(bs[0].arrivals()+bs[1].arrivals()+bs[2].arrivals(), 1)

	publishSuspects(g, 2, poison.Update{Request: part("dead")}) // cleared: what was seen counts no more
	is.True(g.suspects.takeTrial(time.Now(), []poison.Fingerprint{part("dead")}))
}

// Guards against ends that a new leader counts as one, from an entry that has run for long enough to
// know which parts are often answered, but not which requests.
func TestNewLeaderCountsEachEndOfAPart(t *testing.T) {
	is := is.New(t)
	s, now := newSuspects(), time.Now().Add(5*time.Second)
	s.merge(now, wire.Suspects{Mark: wire.SuspectMark{Term: 1, Rev: 1}})
	for _, id := range []fleet.EndpointID{"e0", "e1", "e2"} {
		s.recordEnd(now, brokenRun{request: part("content " + string(id)), parts: []poison.Fingerprint{part("p")}}, id)
	}
	s.merge(now, wire.Suspects{Mark: wire.SuspectMark{Term: 2, Rev: 1}})
	ends, _ := s.report(now, false)
	d := poison.NewLeaderBook(now, poison.Registry{})
	for _, e := range ends {
		d.Ended(now, e)
	}
	is.Equal(d.Standing(now, part("p")).Ends, 3)
}

// Guards against a harmful part that is cleared by an endpoint's failure, which shows no work on it.
func TestFailureClearsNoPart(t *testing.T) {
	for status, want := range map[int]int{500: 1, 404: 1, 200: 0} {
		is := is.New(t)
		g := startGateway(t, newFakeEndpoint(t, func(_ *bufio.Reader, c net.Conn, r *http.Request, _ []byte) bool {
			return reply(c, r, status, event(1))
		}))
		publishSuspects(g, 1, poison.Update{Request: part("p"), Ends: 1, Part: true})
		is.Equal(dial(t, g).ask("POST", "/stream/x", "r0", "b0", "Parts: p").status, status)
		suspect, _ := g.suspects.suspectParts(time.Now(), []poison.Fingerprint{part("p")})
		is.Equal(len(suspect), want)
	}
}

func TestWhichPartsAnEndCountsAgainst(t *testing.T) {
	g := startGateway(t, streamsOrEnds(t))
	publishSuspects(g, 1)
	now := time.Now()
	for name, c := range map[string]struct {
		sent, firstByte, firstEvent time.Duration // ago; 0 if it has not come
		want                        int
	}{
		"just sent":              {sent: beginTime / 2},
		"the head is due":        {sent: 3 * beginTime, want: 2},
		"the first event is due": {sent: beginTime / 2, firstByte: 1, want: 2},
		"events just began":      {sent: time.Second, firstByte: 1, firstEvent: provenAfter / 2, want: 2},
		"events for a while":     {sent: time.Second, firstByte: 1, firstEvent: 2 * provenAfter},
	} {
		x := &exchange{g: g, info: RequestFields{Parts: []string{"a", "b"}}, sentAt: now.Add(-c.sent), firstByte: c.firstByte}
		if c.firstEvent > 0 {
			x.firstEventAt = now.Add(-c.firstEvent)
		}
		if got := len(x.candidateParts()); got != c.want {
			t.Errorf("%s: %d parts, want %d", name, got, c.want)
		}
	}
}

// Guards against a new leader that does not know of a part, and of what its trials proved.
func TestNewLeaderHearsOfParts(t *testing.T) {
	is := is.New(t)
	s, now := newSuspects(), time.Now()
	s.merge(now, wire.Suspects{Mark: wire.SuspectMark{Term: 1, Rev: 1}})
	s.recordEnd(now, brokenRun{request: part("content"), parts: []poison.Fingerprint{part("p")}}, "e0")
	s.recordEnd(now, brokenRun{request: part("content2"), parts: []poison.Fingerprint{part("p")}, trial: true}, "e1")
	_, _ = s.report(now, false)
	s.merge(now, wire.Suspects{Mark: wire.SuspectMark{Term: 2, Rev: 1}})
	ends, _ := s.report(now, false)
	d := poison.NewLeaderBook(now, poison.Registry{})
	for _, e := range ends {
		d.Ended(now, e)
	}
	is.True(d.Standing(now, part("p")).Quarantined)
	is.Equal(len(d.Quarantined()), 1)
}

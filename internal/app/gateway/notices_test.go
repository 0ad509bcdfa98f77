package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/allowance"
	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/notice"
)

// pausing returns an endpoint that turns requests away with a pause for as long as on is set.
func pausing(t *testing.T, seconds string, on *atomic.Bool) *fakeEndpoint {
	t.Helper()
	return newFakeEndpoint(t, func(b *bufio.Reader, c net.Conn, r *http.Request, body []byte) bool {
		if on.Load() {
			return reply(c, r, 503, "", "Not-Run: 1", "Retry-After: "+seconds)
		}
		return answerOK(b, c, r, body)
	})
}

func pauseOf(length time.Duration) AnswerFields {
	return AnswerFields{ID: "r", NotRun: true, Pause: NamedPause{Named: true, Readable: true, For: length}}
}

// acquireAt acquires an endpoint for a request with a priority.
func acquireAt(g *Gateway, now time.Time, w *allowance.Waiter) (*endpoint, shortage) {
	return g.dir.acquire(now, query{service: "s", waiter: w})
}

// Guards against a pause that binds the choice of an endpoint only, and not the send after it.
func TestPauseHeardAfterTheChoiceWithholdsTheSend(t *testing.T) {
	is := is.New(t)
	g := limitedGateway(t, 0)
	now := time.Now()
	g.dir.mu.Lock()
	g.dir.byID["e0"].Leaving = true
	g.dir.limits.Report(now)
	g.dir.limits.Answered(now, now, allowance.PermitAnswer{Term: 1, Stamp: 2, Grants: []allowance.PermitGrant{
		{EndpointStatement: allowance.EndpointStatement{Endpoint: "e1", Rate: 1}, Permits: 1}}})
	g.dir.mu.Unlock()
	w := &allowance.Waiter{Since: now}
	e, _ := acquireAt(g, now, w)
	is.True(e != nil)
	g.dir.observeNotices(e, pauseOf(3*time.Second))
	_, reason := g.dir.beginSend(e)
	is.Equal(reason, notice.Paused)
	g.dir.release(e, fleet.Want{}, withheld)
	g.dir.returnPermit(e, w)
	is.Equal(e.ownRunning, 0)
	is.Equal(g.dir.permitReport(now).Asks[0].Returned, 1) // the permit goes back
}

// Guards against requests that stay with an endpoint that pauses while another has room.
func TestRequestsGoElsewhereDuringAPause(t *testing.T) {
	is := is.New(t)
	var on atomic.Bool
	on.Store(true)
	paused, sound := pausing(t, "30", &on), newFakeEndpoint(t, answerOK)
	g := startGateway(t, paused, sound)
	c := dial(t, g)
	for i := range 40 {
		is.Equal(c.ask("GET", "/safe/x", fmt.Sprint("r", i), "").status, 200)
	}
	is.True(paused.arrivals() <= 1)
}

// Guards against requests that wait, and are refused in the end, for a pause that outlasts them.
func TestRequestThatAPauseOutlastsIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	var on atomic.Bool
	on.Store(true)
	only := pausing(t, "30", &on)
	g := startGateway(t, only)
	c := dial(t, g)
	for i := range 3 {
		begin := time.Now()
		a := c.ask("GET", "/safe/x", fmt.Sprint("r", i), "", "Model: m")
		is.Equal(a.status, http.StatusServiceUnavailable)
		is.True(time.Since(begin) < 500*time.Millisecond) // callers wait up to 2 s
		after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(after > 29 && after < 35)
	}
	is.Equal(only.arrivals(), 1)
}

// Guards against a request that is refused although the pause of the only endpoint ends in time.
func TestRequestWaitsForTheEndOfABriefPause(t *testing.T) {
	is := is.New(t)
	var on atomic.Bool
	on.Store(true)
	only := pausing(t, "0.3", &on)
	g := startGateway(t, only)
	time.AfterFunc(100*time.Millisecond, func() { on.Store(false) })
	begin := time.Now()
	is.Equal(dial(t, g).ask("GET", "/safe/x", "r", "").status, 200)
	is.True(time.Since(begin) >= 300*time.Millisecond)
	is.Equal(only.arrivals(), 2)
}

// Guards against requests that return after a pause in no order, or all at once.
func TestUrgentRequestsReturnFirstAfterAPause(t *testing.T) {
	is := is.New(t)
	g := startGateway(t, newFakeEndpoint(t, answerOK))
	now := time.Now()
	e, _ := acquireAt(g, now, &allowance.Waiter{Since: now})
	g.dir.observeNotices(e, pauseOf(100*time.Millisecond))
	g.dir.release(e, fleet.Want{}, turnedAway)
	late, urgent := &allowance.Waiter{Priority: 2, Since: now}, &allowance.Waiter{Priority: 0, Since: now.Add(time.Millisecond)}
	for _, w := range []*allowance.Waiter{late, urgent} {
		e, short := acquireAt(g, now.Add(time.Millisecond), w)
		is.True(e == nil)
		is.Equal(short.reason, reasonPaused)
		is.True(short.onlyPauses)
	}
	time.Sleep(time.Until(now.Add(120 * time.Millisecond)))
	e, _ = acquireAt(g, time.Now(), late)
	is.True(e == nil) // the urgent one goes first
	e, _ = acquireAt(g, time.Now(), urgent)
	is.True(e != nil)
	_, reason := g.dir.beginSend(e)
	is.Equal(reason, notice.None)
	e, _ = acquireAt(g, time.Now(), late)
	is.True(e == nil) // one request first
}

// Guards against a pause that the leader's list, a drop from it, or another word ends.
func TestListsDoNotEndAPause(t *testing.T) {
	is := is.New(t)
	b := newFakeEndpoint(t, answerOK)
	g := startGateway(t, b)
	e, _ := acquireAt(g, time.Now(), &allowance.Waiter{})
	g.dir.observeNotices(e, pauseOf(10*time.Second))
	g.dir.release(e, fleet.Want{}, turnedAway)
	g.dir.update(1, 2, listed(b), nil)
	g.dir.update(1, 3, nil, []fleet.EndpointID{"e0"})
	g.dir.pruneNotices(time.Now())
	g.dir.replace(2, 1, listed(b))
	g.dir.observeNotices(g.dir.byID["e0"], pauseOf(time.Second)) // a shorter one
	e, short := acquireAt(g, time.Now(), &allowance.Waiter{})
	is.True(e == nil)
	is.Equal(short.reason, reasonPaused)
	again := listed(b)
	again[0].ID = "e0@2" // another start at the same address
	g.dir.replace(2, 2, again)
	e, _ = acquireAt(g, time.Now(), &allowance.Waiter{})
	is.True(e != nil)
}

// An unreadable pause is one of a second, and logged.
func TestUnreadablePauseIsKeptForASecond(t *testing.T) {
	is := is.New(t)
	g := startGateway(t, newFakeEndpoint(t, answerOK))
	e, _ := acquireAt(g, time.Now(), &allowance.Waiter{})
	g.dir.observeNotices(e, AnswerFields{Pause: NamedPause{Named: true, Text: "soon"}})
	_, reason := g.dir.beginSend(e)
	is.Equal(reason, notice.Paused)
	is.True(g.dir.unreadableLogged[unreadableLog{"e0", eventPauseUnreadable}])
	g.dir.observeNotices(e, AnswerFields{WrongEndpoint: true, Pause: NamedPause{Named: true, Readable: true, For: time.Hour}})
	is.True(g.dir.pauseLeft("e0") <= time.Second) // said by another process at the address
}

// Guards against a list, an unrelated answer or another leader that make an entry forget that an
// endpoint leaves.
func TestListsDoNotLiftLeaving(t *testing.T) {
	is := is.New(t)
	b := newFakeEndpoint(t, answerOK)
	g := startGateway(t, b)
	e, _ := acquireAt(g, time.Now(), &allowance.Waiter{})
	g.dir.observeNotices(e, AnswerFields{WrongEndpoint: true, Leaving: NamedLeaving{Leaving: true}})
	is.True(!g.dir.isLeaving(e)) // another process at the address said so
	g.dir.observeNotices(e, AnswerFields{Leaving: NamedLeaving{Leaving: true}})
	_, reason := g.dir.beginSend(e)
	is.Equal(reason, notice.Leaving) // it was chosen before
	g.dir.release(e, fleet.Want{}, withheld)
	g.dir.observeNotices(e, AnswerFields{}) // an answer that does not say so may be older
	g.dir.update(1, 2, listed(b), nil)
	g.dir.applyList(time.Now(), listed(b))
	g.dir.update(1, 3, nil, []fleet.EndpointID{"e0"})
	g.dir.pruneNotices(time.Now())
	g.dir.replace(2, 1, listed(b))
	e, _ = acquireAt(g, time.Now(), &allowance.Waiter{})
	is.True(e == nil)
	again := listed(b)
	again[0].ID = "e0@2"
	g.dir.replace(2, 2, again)
	e, _ = acquireAt(g, time.Now(), &allowance.Waiter{})
	is.True(e != nil)
}

// Guards against a stream that breaks off because its endpoint says in the head that it leaves.
func TestStreamAtALeavingEndpointGoesOn(t *testing.T) {
	is := is.New(t)
	b := newFakeEndpoint(t, func(_ *bufio.Reader, c net.Conn, r *http.Request, _ []byte) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nLeaving: 1\r\nContent-Length: 23\r\n\r\nid: 1\ndata: a", r.Header.Get("Id"))
		time.Sleep(300 * time.Millisecond)
		_, _ = fmt.Fprint(c, "\n\nid: 2\n\n\n")
		return true
	})
	g := startGateway(t, b)
	a := dial(t, g).ask("GET", "/stream/x", "r", "")
	is.Equal(a.status, 200)
	is.NoErr(a.err)
	is.True(g.dir.isLeaving(g.dir.byID["e0"]))
	begin := time.Now()
	is.Equal(dial(t, g).ask("GET", "/safe/x", "r2", "").status, http.StatusServiceUnavailable)
	is.True(time.Since(begin) < 1500*time.Millisecond)
	is.Equal(b.arrivals(), 1)
}

// Guards against refusals of a plain service that reach the leader as demand for a model without a
// name.
func TestRefusedPlainRequestsAreNoDemandForAModel(t *testing.T) {
	is := is.New(t)
	var on atomic.Bool
	on.Store(true)
	g := startGateway(t, pausing(t, "30", &on))
	is.Equal(dial(t, g).ask("GET", "/safe/x", "r", "").status, http.StatusServiceUnavailable)
	is.Equal(len(g.demands.report(time.Now())), 0)
}

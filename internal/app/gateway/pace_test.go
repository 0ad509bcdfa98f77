package gateway

import (
	"bufio"
	"fmt"
	"math"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/cassiapass/cassiapass/internal/core/allowance"
	"github.com/cassiapass/cassiapass/internal/core/feature"
	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/pace"
)

// pacedDirectory returns a directory of endpoints e0, e1 and so on that hold model "m".
func pacedDirectory(n int) *directory {
	d := newDirectory("a", zerolog.Nop())
	d.metrics = newMetrics(&Gateway{})
	var eps []fleet.Endpoint
	for i := range n {
		eps = append(eps, fleet.Endpoint{ID: fleet.EndpointID(fmt.Sprint("e", i)), Service: "s", Zone: "a", Slots: 32, StartedAt: 1, Held: []fleet.Held{{Model: "m"}}})
	}
	d.replace(1, 1, eps)
	return d
}

// testPlay lets requests pass through a directory, with engines and time of the test's own.
type testPlay struct {
	d     *directory
	now   time.Time
	sends map[fleet.EndpointID]int
	late  int // first events or pauses that missed the objective
}

func newTestPlay(n int) *testPlay {
	return &testPlay{d: pacedDirectory(n), now: time.Unix(1000, 0), sends: map[fleet.EndpointID]int{}}
}

// testObjective is the callers' objective in a play.
var testObjective = fleet.Objective{First: 300 * time.Millisecond, Gap: 300 * time.Millisecond}

// run sends 20 requests a second for a time. speed returns by how much longer work takes at an
// endpoint, for the first event and the others.
func (p *testPlay) run(t *testing.T, d time.Duration, paced bool, speed func(e fleet.EndpointID) (first, then float64)) {
	t.Helper()
	p.late, p.sends = 0, map[fleet.EndpointID]int{}
	const gap = 50 * time.Millisecond
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(gap) {
		var l *requestLoad
		if paced {
			l = &requestLoad{kind: "m", work: pace.Work{Prompt: 500, Output: 256}, objective: testObjective, eventTokens: 8}
		}
		e, _ := p.d.acquire(p.now, query{service: "s", want: fleet.Want{Model: "m"}, waiter: &allowance.Waiter{}, load: l})
		if e == nil {
			t.Fatal("no endpoint")
		}
		p.sends[e.ID]++
		first, then := speed(e.ID)
		firstEvent, event := time.Duration(first*100e6), time.Duration(then*35e6)
		if firstEvent > testObjective.First || event > testObjective.Gap {
			p.late++
		}
		if l != nil {
			p.d.recordFirst(l, firstEvent, true)
			p.d.recordSegment(e, l, 8, 8*event)
			e.extraWork -= l.extra
			p.d.updatePaces(p.now)
		}
		p.d.release(e, fleet.Want{Model: "m"}, succeeded)
	}
}

func equalSpeed(fleet.EndpointID) (float64, float64) { return 1, 1 }

// slowed returns a speed at which one endpoint takes longer.
func slowed(id fleet.EndpointID, first, then float64) func(fleet.EndpointID) (float64, float64) {
	return func(e fleet.EndpointID) (float64, float64) {
		if e == id {
			return first, then
		}
		return 1, 1
	}
}

// Guards against engines that are slow all day and get their part of the requests like any other.
func TestSlowEndpointIsLeftOut(t *testing.T) {
	is := is.New(t)
	p := newTestPlay(3)
	p.run(t, 20*time.Second, false, slowed("e0", 4, 4))
	is.True(p.sends["e0"] > 80) // chosen by load, it gets a third
	p.run(t, 20*time.Second, true, slowed("e0", 4, 4))
	p.run(t, 20*time.Second, true, slowed("e0", 4, 4))
	is.True(p.late < 20) // of 400
	is.Equal(p.d.slowEndpoints(), 1)
}

// Guards against callers that wait for an engine which answers first events fast and then drags.
func TestEndpointThatDrags(t *testing.T) {
	is := is.New(t)
	p := newTestPlay(3)
	p.run(t, 20*time.Second, true, slowed("e0", 1, 10))
	p.run(t, 20*time.Second, true, slowed("e0", 1, 10))
	is.True(p.late < 20)
}

// Guards against an engine that turned ten times as slow within a second and is still used, and
// against one that recovered and isn't.
func TestEndpointTurnsSlowAndRecovers(t *testing.T) {
	is := is.New(t)
	p := newTestPlay(3)
	p.run(t, 20*time.Second, true, equalSpeed)
	p.run(t, 10*time.Second, true, slowed("e0", 10, 10))
	is.True(p.late < 50) // of 200
	p.run(t, 60*time.Second, true, equalSpeed)
	p.run(t, 20*time.Second, true, equalSpeed)
	is.True(p.sends["e0"] > 80) // of 400
}

// Guards against a fleet in which the faster half carries all while the slower one would be in time.
func TestHalfSlowEndpointsAreUsed(t *testing.T) {
	is := is.New(t)
	p := newTestPlay(4)
	half := func(e fleet.EndpointID) (float64, float64) {
		if e == "e0" || e == "e1" {
			return 2, 2
		}
		return 1, 1
	}
	p.run(t, 20*time.Second, true, half)
	p.run(t, 20*time.Second, true, half)
	is.Equal(p.late, 0)
	for _, id := range []fleet.EndpointID{"e2", "e3"} {
		is.True(p.d.byID[id].pace <= 1) // a fast one is not slow
	}
	p.d.byID["e2"].otherRunning, p.d.byID["e3"].otherRunning = 30, 30
	p.run(t, 5*time.Second, true, half)
	is.True(p.sends["e0"]+p.sends["e1"] > 80) // of 100: the fast ones are full
}

// Guards against an engine that gains requests by what it says of its host's speed.
func TestEndpointThatLiesAboutItsSpeed(t *testing.T) {
	for _, claim := range []float64{0, 0.1, 2.5, 100} {
		is := is.New(t)
		p := newTestPlay(3)
		claims := func(e fleet.EndpointID) (float64, float64) {
			p.d.byID["e0"].momentary = momentary{claim, p.now}
			return slowed("e0", 4, 4)(e)
		}
		p.run(t, 20*time.Second, true, claims)
		p.run(t, 20*time.Second, true, claims)
		is.True(p.late < 20) // claim
	}
}

// Guards against evidence of a process that counts for the next one under the same name.
func TestRestartedEndpointIsNotSlow(t *testing.T) {
	is := is.New(t)
	p := newTestPlay(3)
	p.run(t, 20*time.Second, true, slowed("e0", 4, 4))
	is.Equal(p.d.slowEndpoints(), 1)
	eps := []fleet.Endpoint{}
	for i, id := range []fleet.EndpointID{"e0@2", "e1", "e2"} {
		eps = append(eps, fleet.Endpoint{ID: id, Server: fmt.Sprint("e", i), Service: "s", Zone: "a", Slots: 32, Held: []fleet.Held{{Model: "m"}}, StartedAt: int64(2 - min(i, 1))})
	}
	p.d.replace(1, 2, eps)
	is.Equal(p.d.slowEndpoints(), 0)
	p.run(t, 10*time.Second, true, equalSpeed)
	is.True(p.sends["e0@2"] > 40) // of 200
}

// Guards against requests of endpoints that do not share their hosts being sent by other rules than
// before.
func TestPaceIsNotInUseUnlessHostsAreShared(t *testing.T) {
	is := is.New(t)
	ep := newFakeEndpoint(t, answerOK)
	g := startGateway(t, ep)
	is.Equal(dial(t, g).ask("GET", "/safe/x", "r1", "").status, 200)
	is.True(!g.enabled(feature.Pace))
	g.dir.mu.Lock()
	defer g.dir.mu.Unlock()
	is.Equal(len(g.dir.paces.times), 0) // nothing was learned
}

// Guards against work that stays counted at an endpoint after its requests have ended.
func TestWorkUnderWayReturnsToNone(t *testing.T) {
	is := is.New(t)
	ep := newFakeEndpoint(t, answerOK)
	g := startGateway(t, ep)
	g.cfg.Features = feature.Settings{feature.Pace: feature.On}
	c := dial(t, g)
	for i := range 20 {
		is.Equal(c.ask("GET", "/safe/x", fmt.Sprint("r", i), "").status, 200)
	}
	g.dir.mu.Lock()
	defer g.dir.mu.Unlock()
	e := g.dir.byID["e0"]
	is.Equal(e.reading, 0)
	is.True(e.extraWork < 1e-9 && e.extraWork > -1e-9)
	is.Equal(len(g.dir.paces.times), 1)
}

// Guards against an entry with few streams of its own that learns of slow engines only from them, and
// against one that is cut off from control and avoids engines for good by what it was told.
func TestPooledPacesAndEntryCutOff(t *testing.T) {
	is := is.New(t)
	p := newTestPlay(3)
	p.d.applyPooledPaces(p.now, map[fleet.EndpointID]pace.Factor{"e0": 4, "gone": 4})
	p.run(t, time.Second, true, equalSpeed)
	is.Equal(p.sends["e0"], 0)
	is.Equal(len(p.d.paces.pooled), 1)
	p.now = p.now.Add(pace.ToldLife)
	p.run(t, 2*time.Second, true, equalSpeed)
	p.run(t, 10*time.Second, true, equalSpeed)
	is.True(p.sends["e0"] > 40) // of 200
}

// Guards against a new leader that learns only from new streams.
func TestNewLeaderIsToldAll(t *testing.T) {
	is := is.New(t)
	p := newTestPlay(3)
	p.run(t, 10*time.Second, true, equalSpeed)
	sum := func(sums []pace.Sum) (n float64) {
		for _, s := range sums {
			n += s.N
		}
		return n
	}
	report := func(after time.Duration) float64 {
		sums, _ := p.d.paceReport(p.now.Add(after), 1)
		return sum(sums)
	}
	all := report(0)
	t.Log("observations told:", all)
	is.True(all > 80)                       // 200 segments of 0.28 s, which weigh 112, some of them faded
	is.Equal(report(time.Millisecond), 0.0) // at most once a second
	is.Equal(report(2*time.Second), 0.0)    // all was told
	p.d.update(2, 1, nil, nil)
	is.True(report(4*time.Second) > 80)
}

// BenchmarkAcquire measures the decision where a request goes, among the engines of the largest fleet
// in use that all hold its model.
func BenchmarkAcquire(b *testing.B) {
	for _, paced := range []bool{false, true} {
		b.Run(fmt.Sprintf("paced=%v", paced), func(b *testing.B) {
			p := newTestPlay(636)
			for i := range 636 {
				p.d.byID[fleet.EndpointID(fmt.Sprint("e", i))].pace = 1 + float64(i%3)/2
			}
			b.ReportAllocs()
			for b.Loop() {
				var l *requestLoad
				if paced {
					l = &requestLoad{kind: "m", work: pace.Work{Prompt: 500, Output: 256}, objective: testObjective, eventTokens: 8}
				}
				e, _ := p.d.acquire(p.now, query{service: "s", want: fleet.Want{Model: "m"}, waiter: &allowance.Waiter{}, load: l})
				p.d.release(e, fleet.Want{Model: "m"}, succeeded)
			}
		})
	}
}

// Guards against streams whose pace is not observed, or whose work stays counted when callers leave.
func TestStreamsAreObserved(t *testing.T) {
	is := is.New(t)
	ep := newFakeEndpoint(t, func(_ *bufio.Reader, c net.Conn, r *http.Request, _ []byte) bool {
		head(c, r)
		for i := range 12 {
			time.Sleep(60 * time.Millisecond)
			chunk(c, event(i+1))
		}
		_, err := c.Write([]byte("0\r\n\r\n"))
		return err == nil
	})
	g := startGateway(t, ep)
	g.cfg.Features = feature.Settings{feature.Pace: feature.On}
	for i, path := range []string{"/stream/x", "/resume/x"} {
		is.Equal(dial(t, g).ask("POST", path, fmt.Sprint("r", i), "", "Model: m").status, 200)
	}
	leaves := dial(t, g)
	leaves.send("POST", "/stream/x", "r2", "", "Model: m")
	time.Sleep(150 * time.Millisecond)
	is.NoErr(leaves.c.Close())
	ownRunning := func() int {
		g.dir.mu.Lock()
		defer g.dir.mu.Unlock()
		return g.dir.byID["e0"].ownRunning
	}
	for begin := time.Now(); ownRunning() > 0 && time.Since(begin) < 5*time.Second; {
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(ownRunning(), 0)
	g.dir.mu.Lock()
	defer g.dir.mu.Unlock()
	is.Equal(g.dir.byID["e0"].reading, 0)
	sums := g.dir.paces.book.Sums(false, pace.MaxSums)
	is.Equal(len(sums), 1)
	is.Equal(sums[0].Model, "m")
	is.True(sums[0].N > 1.5) // two segments of half a second
	perEvent := math.Exp(sums[0].Log / sums[0].N)
	is.True(perEvent > 0.05 && perEvent < 0.2)
}

package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// An engine was overfilled and crashed some seconds after a restart. Orders get no answer;
// the engine restarts under the same name, empty and with its sequence numbers reset; a load
// that was decided for the previous incarnation arrives, and its number matches. The number
// bars an old order only within one incarnation.
func TestOrdersOfAnEarlierIncarnationNeverOverfillAnEngine(t *testing.T) {
	for seed := range uint64(30) {
		if c := runRestarts(seed, func(*simulation) {}); c != "" {
			t.Fatalf("seed %d: %s", seed, c)
		}
	}
}

// An engine accepts two loads; the third gets no answer and is delayed by 5 s; the engine
// restarts, and two large models are requested. With both loaded, the late order's number
// matches, but its model does not fit.
func TestLateLoadFitsTheNextIncarnation(t *testing.T) {
	if c := runLateLoad(func(*simulation) {}); c != "" {
		t.Fatal(c)
	}
}

// With the safeguard removed, so that no memory is kept free for late orders, the sequence
// above overfills the engine.
func TestWithoutKeepingFreeForLateOrdersEnginesAreOverfilled(t *testing.T) {
	c := runLateLoad(func(s *simulation) {
		for _, e := range s.p.engines {
			e.inherited, e.lateOrders = nil, nil
		}
	})
	if c == "" {
		t.Fatal("no engine was overfilled")
	}
}

// runLateLoad runs 10 s on one engine, with one order that is delayed until after a restart,
// and returns how the engine was overfilled. hook runs before each step.
func runLateLoad(hook func(*simulation)) string {
	s := newSimulation(1, 1, 16, 0)
	e := s.engines["e00"]
	e.born = s.now.UnixMilli()
	play := func(steps int, models ...string) {
		for n := range steps {
			if n%20 == 0 {
				s.list()
				s.requestEach(models...)
			}
			hook(s)
			s.step()
		}
	}
	// Their copies are on the engine's disk: m0 and m6 take 16 GB each, the others 34, of
	// its 83.
	play(150, "m0")
	play(150, "m0", "m6")
	s.lossRate, s.lateBy = 1, 5*time.Second
	play(150, "m0", "m6", "m9")
	s.lossRate = 0
	e.restart(s.now)
	play(550, "m3", "m15")
	return s.crashed()
}

// runRestarts runs 40 s in which engines restart under the same names, and returns how one
// was overfilled. hook runs before each step.
func runRestarts(seed uint64, hook func(*simulation)) string {
	s := newSimulation(seed, 4, 16, 0.4)
	for i, e := range []string{"e00", "e01", "e02", "e03"} {
		s.engines[EndpointID(e)].born = s.now.UnixMilli()
		s.engines[EndpointID(e)].hidesStart = i == 3 && seed%2 == 0
	}
	s.list()
	for i := range 4000 {
		if i%20 == 0 {
			s.requestRandom(3)
		}
		if i%40 == 0 {
			s.list()
		}
		if i%300 == 150 {
			s.engines[EndpointID(fmt.Sprintf("e%02d", s.r.IntN(4)))].restart(s.now)
		}
		hook(s)
		s.step()
		if c := s.crashed(); c != "" {
			return c
		}
	}
	return ""
}

// For a second and more, requests were sent to a restarted engine for models of its previous
// incarnation, or it never got orders again. Its report is from another incarnation than the
// list, which lags.
func TestReportOfALaterIncarnationOverridesTheList(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, 1, 4, 0)
	e := s.engines["e00"]
	e.born = 1000
	e.held["m1"] = map[string]bool{}
	s.list()
	s.run(30)
	is.Equal(s.p.Endpoints()[0].ID, EndpointID("e00@1000"))
	e.restart(s.now)
	first := s.now.UnixMilli()
	s.p.RecordDemand(s.now, "entry", nil, []Use{{Endpoint: "e00@1000", Want: Want{Model: "m1"}, Missing: true}})
	s.run(30)
	s.list() // it shows the previous incarnation
	eps := s.p.Endpoints()
	is.Equal(len(eps), 1)
	is.Equal(eps[0].ID, IncarnationID("e00", first))
	is.Equal(len(eps[0].Held), 0)
	s.run(100)
	s.list()
	is.Equal(s.p.Endpoints()[0].ID, IncarnationID("e00", first))
	s.p.Reported(s.now, IncarnationID("e00", first), Report{StartedAt: 1000, Sequence: 7, Held: []Held{{Model: "m1"}}})
	is.Equal(len(s.p.Endpoints()[0].Held), 0) // a report of the previous incarnation changes nothing
}

// An engine never got orders again. It restarts under the same name, and neither list nor
// report contains its start time; its reports contain lower sequence numbers than the known
// one, and were assumed to be outdated.
func TestUnreportedRestartIsDetectedBySequenceNumbers(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, 1, 4, 0)
	e := s.engines["e00"]
	s.list()
	e.sequence = 5
	s.run(50)
	e.restart(s.now)
	e.born = 0
	s.p.RecordDemand(s.now, "entry", []Demand{{Want: Want{Model: "m0"}, Waiting: 1, Earliest: 10 * time.Second}}, nil)
	for range 40 {
		s.run(20)
		s.list()
	}
	is.True(e.held["m0"] != nil)
}

func TestLatestKeepsTheLaterIncarnation(t *testing.T) {
	is := is.New(t)
	known := map[string]Endpoint{"a": {ID: "a@20", Server: "a", StartedAt: 20}, "b": {ID: "b", Server: "b"}}
	got := LatestIncarnations([]Endpoint{
		{ID: "a@10", Server: "a", StartedAt: 10}, {ID: "a", Server: "a"}, {ID: "a@30", Server: "a", StartedAt: 30},
		{ID: "b@5", Server: "b", StartedAt: 5}, {ID: "c", Server: "c"},
	}, known)
	is.Equal(got, []Endpoint{
		{ID: "a@20", Server: "a", StartedAt: 20, Unreported: true}, // older than the known incarnation
		{ID: "a@20", Server: "a", StartedAt: 20},                   // an entry without a start time
		{ID: "a@30", Server: "a", StartedAt: 30},
		{ID: "b", Server: "b", StartedAt: 5}, // the known incarnation, now with its start time
		{ID: "c", Server: "c"},
	})
}

package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Symptom: an engine crashes under its models some seconds after it has started again.
// Sequence: orders get no answer; the engine starts again under the same name, empty
// and with its sequence numbers begun anew; a load that was decided for the start before
// arrives, and its number fits.
// Cause: the number bars an old order only within one start.
func TestOrdersOfAnEarlierStartNeverOverfillAnEngine(t *testing.T) {
	for seed := range uint64(30) {
		if c := restarts(seed, func(*simulation) {}); c != "" {
			t.Fatalf("seed %d: %s", seed, c)
		}
	}
}

// Sequence: an engine takes two loads; the third gets no answer and is on its way for 5 s;
// the engine starts again, and two large models are asked for. With both loaded, the late
// order's number fits and its model does not.
func TestLateLoadFindsRoomOnTheNextStart(t *testing.T) {
	if c := lateLoad(func(*simulation) {}); c != "" {
		t.Fatal(c)
	}
}

// The safeguard removed: without what is kept free for late orders, the sequence above
// overfills the engine.
func TestWithoutKeepingFreeForLateOrdersEnginesAreOverfilled(t *testing.T) {
	c := lateLoad(func(s *simulation) {
		for _, e := range s.p.engines {
			e.inherited, e.late = nil, nil
		}
	})
	if c == "" {
		t.Fatal("nothing notices")
	}
}

// lateLoad plays 10 s on one engine, of which an order is late into the next start, and
// returns how it was overfilled. meddle runs before each step.
func lateLoad(meddle func(*simulation)) string {
	s := newSimulation(1, 1, 16, 0)
	e := s.engines["e00"]
	e.born = s.now.UnixMilli()
	play := func(steps int, models ...string) {
		for n := range steps {
			if n%20 == 0 {
				s.list()
				s.wait(models...)
			}
			meddle(s)
			s.step()
		}
	}
	// Their copies are on the engine's disk: m0 and m6 take 16 GB, the others 34 of its 83.
	play(150, "m0")
	play(150, "m0", "m6")
	s.lose, s.late = 1, 5*time.Second
	play(150, "m0", "m6", "m9")
	s.lose = 0
	e.restart(s.now)
	play(550, "m3", "m15")
	return s.crashed()
}

// restarts plays 40 s in which engines start again under their names, and returns how
// one was overfilled. meddle runs before each step.
func restarts(seed uint64, meddle func(*simulation)) string {
	s := newSimulation(seed, 4, 16, 0.4)
	for i, e := range []string{"e00", "e01", "e02", "e03"} {
		s.engines[EndpointID(e)].born = s.now.UnixMilli()
		s.engines[EndpointID(e)].silent = i == 3 && seed%2 == 0
	}
	s.list()
	for i := range 4000 {
		if i%20 == 0 {
			s.ask(3)
		}
		if i%40 == 0 {
			s.list()
		}
		if i%300 == 150 {
			s.engines[EndpointID(fmt.Sprintf("e%02d", s.r.IntN(4)))].restart(s.now)
		}
		meddle(s)
		s.step()
		if c := s.crashed(); c != "" {
			return c
		}
	}
	return ""
}

// Symptom: models of an engine that started again are asked for there for a second and
// more, or it gets no orders for ever.
// Sequence: its report tells another start than the list, which lags.
func TestReportOfALaterStartGoesBeforeTheList(t *testing.T) {
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
	s.p.Hear(s.now, "entry", nil, []Use{{Endpoint: "e00@1000", Want: Want{Model: "m1"}, Missing: true}})
	s.run(30)
	s.list() // shows the start before
	eps := s.p.Endpoints()
	is.Equal(len(eps), 1)
	is.Equal(eps[0].ID, StartID("e00", first))
	is.Equal(len(eps[0].Held), 0)
	s.run(100)
	s.list()
	is.Equal(s.p.Endpoints()[0].ID, StartID("e00", first))
	s.p.Reported(s.now, StartID("e00", first), Report{Born: 1000, Sequence: 7, Held: []Held{{Model: "m1"}}})
	is.Equal(len(s.p.Endpoints()[0].Held), 0) // a report of the start before tells nothing
}

// Symptom: an engine gets no orders any more, for ever.
// Sequence: it starts again under the same name; nobody tells when.
// Cause: its reports bear lower numbers than were known, and are taken for old ones.
func TestStartThatNobodyTellsIsSeenByItsNumbers(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, 1, 4, 0)
	e := s.engines["e00"]
	s.list()
	e.sequence = 5
	s.run(50)
	e.restart(s.now)
	e.born = 0
	s.p.Hear(s.now, "entry", []Demand{{Want: Want{Model: "m0"}, Waiting: 1, Earliest: 10 * time.Second}}, nil)
	for range 40 {
		s.run(20)
		s.list()
	}
	is.True(e.held["m0"] != nil)
}

func TestLatestTakesTheLaterStart(t *testing.T) {
	is := is.New(t)
	known := map[string]Endpoint{"a": {ID: "a@20", Server: "a", Born: 20}, "b": {ID: "b", Server: "b"}}
	got := Latest([]Endpoint{
		{ID: "a@10", Server: "a", Born: 10}, {ID: "a", Server: "a"}, {ID: "a@30", Server: "a", Born: 30},
		{ID: "b@5", Server: "b", Born: 5}, {ID: "c", Server: "c"},
	}, known)
	is.Equal(got, []Endpoint{
		{ID: "a@20", Server: "a", Born: 20, Untold: true}, // told before the one known
		{ID: "a@20", Server: "a", Born: 20},               // an older writer
		{ID: "a@30", Server: "a", Born: 30},
		{ID: "b", Server: "b", Born: 5}, // the start that is known, now with its time
		{ID: "c", Server: "c"},
	})
}

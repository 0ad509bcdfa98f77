package fleet

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func TestFullAdapterPlacesMakeWayForTheOneAskedFor(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, 1, 9, 0)
	s.engines["e00"].held["m0"] = map[string]bool{"a0": true, "a1": true, "a2": true}
	s.step()
	s.list()
	for range 60 {
		s.step()
	}
	want := Want{Model: "m0", Adapter: "a7"}
	for range 60 {
		s.p.Hear(s.now, "entry", []Demand{{Want: want, Waiting: 1}}, []Use{{Endpoint: "e00", Want: Want{Model: "m0", Adapter: "a1"}, Running: 1}})
		s.step()
	}
	is.True(s.held(want))
	is.True(s.held(Want{Model: "m0", Adapter: "a1"})) // in use
	is.Equal(s.crashed(), "")
}

// Symptom: after an adapter has made way, the engine gets no order for 0.7 s.
// Sequence: all adapter places are taken; one adapter after the other is asked
// for.
// Cause: an adapter is unloaded at once, which is answered like an order that
// held already. The planner kept the sequence number of before, and the next
// orders were refused.
func TestAdapterThatMakesWayCountsAsAnOrder(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, 1, 9, 0)
	s.engines["e00"].held["m0"] = map[string]bool{"a0": true, "a1": true}
	s.step()
	s.list()
	s.run(60)
	s.p.Hear(s.now, "entry", []Demand{{Want: Want{Model: "m0", Adapter: "a2"}, Waiting: 1}}, nil) // an order that is accepted
	s.run(60)
	for _, a := range []string{"a4", "a5", "a6", "a7"} {
		want := Want{Model: "m0", Adapter: a}
		s.p.Hear(s.now, "entry", []Demand{{Want: want, Waiting: 1}}, nil)
		took := 0
		for ; took < 40 && !s.held(want); took++ {
			s.step()
		}
		is.True(took <= 10) // 0.1 s: an unload at once and a load of 10 ms
		s.p.Hear(s.now, "entry", nil, nil)
		s.run(40)
	}
	is.Equal(s.refused, 0)
}

// Symptom: an engine is ordered the same adapter every 20 ms.
// Sequence: more than half of the slots of the only engine with a model are
// taken, and requests for an adapter that it holds wait.
// Cause: a crowded engine is no answer to the demand, but was still the best
// place for the adapter.
func TestAdapterIsNotLoadedWhereItIs(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, 1, 9, 0)
	s.engines["e00"].held["m0"] = map[string]bool{"a1": true}
	s.step()
	s.list()
	s.run(60)
	want := Want{Model: "m0", Adapter: "a1"}
	s.p.Hear(s.now, "entry", []Demand{{Want: want, Waiting: 3}}, []Use{{Endpoint: "e00", Want: want, Running: 30}})
	s.run(60)
	is.Equal(s.again, 0)
}

// Symptom: an engine is ordered to hold more adapters than it has places.
// Sequence: one adapter after the other is loaded within 100 ms each; reports
// show the newest sequence number with the adapters of before.
// Cause: such a report is taken for the whole truth.
func TestAdaptersLoadedJustNowAreCounted(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, 1, 9, 0)
	s.engines["e00"].held["m0"] = map[string]bool{}
	s.step()
	s.list()
	for range 30 {
		s.step()
	}
	for i := range 400 {
		var ds []Demand
		for a := range 8 {
			ds = append(ds, Demand{Want: Want{Model: "m0", Adapter: fmt.Sprintf("a%d", (a+i/7)%8)}, Waiting: 1})
		}
		s.p.Hear(s.now, "entry", ds, nil)
		s.step()
		is.Equal(s.crashed(), "")
	}
}

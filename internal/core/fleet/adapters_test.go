package fleet

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func TestIdleAdapterIsUnloadedForARequestedOne(t *testing.T) {
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
		s.p.RecordDemand(s.now, "entry", []Demand{{Want: want, Waiting: 1}}, []Use{{Endpoint: "e00", Want: Want{Model: "m0", Adapter: "a1"}, Running: 1}})
		s.step()
	}
	is.True(s.held(want))
	is.True(s.held(Want{Model: "m0", Adapter: "a1"})) // in use
	is.Equal(s.crashed(), "")
}

// After an adapter was unloaded for another one, the engine got no order for 0.7 s. All
// adapter places are taken, and one adapter after the other is requested. An adapter is
// unloaded at once, and the engine answers as if the order had been in effect already; if
// the planner kept the previous sequence number, the engine would refuse the next orders.
func TestUnloadedAdapterCountsAsAnOrder(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, 1, 9, 0)
	s.engines["e00"].held["m0"] = map[string]bool{"a0": true, "a1": true}
	s.step()
	s.list()
	s.run(60)
	s.p.RecordDemand(s.now, "entry", []Demand{{Want: Want{Model: "m0", Adapter: "a2"}, Waiting: 1}}, nil) // an order that is accepted
	s.run(60)
	for _, a := range []string{"a4", "a5", "a6", "a7"} {
		want := Want{Model: "m0", Adapter: a}
		s.p.RecordDemand(s.now, "entry", []Demand{{Want: want, Waiting: 1}}, nil)
		took := 0
		for ; took < 40 && !s.held(want); took++ {
			s.step()
		}
		is.True(took <= 10) // 0.1 s: an immediate unload and a load of 10 ms
		s.p.RecordDemand(s.now, "entry", nil, nil)
		s.run(40)
	}
	is.Equal(s.busyAnswers, 0)
}

// An engine was ordered to load the same adapter every 20 ms. More than half of the slots of
// the only engine with a model are in use, and requests for an adapter that it holds wait. A
// crowded engine does not satisfy the demand, but must not be chosen again to load the
// adapter.
func TestAdapterIsNotLoadedTwice(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, 1, 9, 0)
	s.engines["e00"].held["m0"] = map[string]bool{"a1": true}
	s.step()
	s.list()
	s.run(60)
	want := Want{Model: "m0", Adapter: "a1"}
	s.p.RecordDemand(s.now, "entry", []Demand{{Want: want, Waiting: 3}}, []Use{{Endpoint: "e00", Want: want, Running: 30}})
	s.run(60)
	is.Equal(s.redundantLoads, 0)
}

// An engine was ordered to hold more adapters than it has places. One adapter after the
// other is loaded within 100 ms each, and reports contain the newest sequence number with
// the adapters held earlier. Such a report must not be used as the complete state.
func TestRecentlyLoadedAdaptersAreCounted(t *testing.T) {
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
		s.p.RecordDemand(s.now, "entry", ds, nil)
		s.step()
		is.Equal(s.crashed(), "")
	}
}

package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A busy model's requests waited for seconds at its only engine although others had free
// memory. Demand moves to a model that two engines have copies of. One holds it and is full;
// the other's memory is in use. A third has free memory and no copy. The planner must use
// the store although copies exist, and must not give the free memory to models that a single
// request waits for.
func TestCrowdedModelIsFetchedIfItsCopiesAreOutOfReach(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, 3, 9, 0)
	s.p.cfg.Headroom = 0 // the third engine must stay full
	for _, e := range s.engines {
		e.disk = map[string]bool{}
	}
	s.engines["e00"].held["m0"] = map[string]bool{}
	s.engines["e01"].held["m1"], s.engines["e01"].held["m3"] = map[string]bool{}, map[string]bool{}
	s.engines["e00"].disk["m0"], s.engines["e01"].disk["m0"] = true, true
	s.engines["e02"].held["m5"], s.engines["e02"].held["m7"] = map[string]bool{}, map[string]bool{}
	s.engines["e02"].disk["m2"] = true // requested once; a load from there would use the memory
	s.step()
	s.list()
	s.run(60)
	for i := range 100 { // 1 s
		at := time.Duration(i) * simStep
		s.p.RecordDemand(s.now, "entry",
			[]Demand{{Want: Want{Model: "m0"}, Arrived: i % 2, Waiting: 8, Oldest: at, Earliest: 12*time.Second - at}, {Want: Want{Model: "m2"}, Waiting: 1, Oldest: at, Earliest: time.Second}},
			[]Use{{Endpoint: "e00", Want: Want{Model: "m0"}, Running: 40}, {Endpoint: "e01", Want: Want{Model: "m1"}, Running: 1}, {Endpoint: "e01", Want: Want{Model: "m3"}, Running: 1}})
		s.step()
	}
	o := s.p.engines["e02"].order
	is.True(o != nil)
	is.Equal(o.Want, Want{Model: "m0"})
}

// A cold start took 6 s although the model was on an engine's disk. The engines with a copy
// are busy for a moment and another one is free, which must not fetch the model from the
// store.
func TestStoreIsNotUsedForModelsOnADisk(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, 2, 9, 0)
	s.step()
	s.list()
	for range 60 {
		s.step()
	}
	busy := s.p.engines["e00"]
	busy.order = &pendingOrder{Order: Order{Endpoint: "e00", Op: Load, Want: Want{Model: "m3"}}, issuedAt: s.now, due: s.now.Add(time.Hour)}
	ask := func(oldest time.Duration) Work {
		s.p.RecordDemand(s.now, "entry", []Demand{{Want: Want{Model: "m0"}, Arrived: 1, Waiting: 1, Oldest: oldest, Earliest: 15 * time.Second}}, nil)
		return s.p.Plan(s.now)
	}
	is.Equal(len(ask(time.Second).Orders), 0)
	late := ask(DefaultConfig().StoreWaitLimit + time.Second)
	is.Equal(len(late.Orders), 1)
	is.Equal(late.Orders[0].Source, FromStore)
}

// More loads started than the weight store allows. Many models that are on no disk are
// requested at once, and loads are short.
func TestLoadsKeepWithinTheStoresRate(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, 12, 30, 0)
	eng := s.p.dep.Services["llm"].Engine
	eng.StoreLoads = 1
	for _, m := range eng.Models {
		m.FromStore = 100 * time.Millisecond
	}
	for _, e := range s.engines {
		clear(e.disk)
	}
	s.step()
	s.list()
	var begun []time.Time
	for i := range 2000 {
		s.p.RecordDemand(s.now, "entry", []Demand{{Want: Want{Model: fmt.Sprintf("m%d", i%30)}, Arrived: 1, Waiting: 1}}, nil)
		s.step()
		for _, o := range s.orders {
			if o.Source == FromStore {
				begun = append(begun, s.now)
			}
		}
	}
	is.True(len(begun) > 10)
	for i, at := range begun {
		n := 0
		for _, b := range begun[i:] {
			if b.Sub(at) < storeWindow {
				n++
			}
		}
		is.True(n <= 5) // one a second
	}
}

// simulateStore runs loads from a store that serves the given number concurrently at full
// speed, one started whenever the limiter allows it, and returns how many ended within span.
func simulateStore(serves int, span time.Duration, s *storeLimiter) int {
	type load struct {
		left        float64 // seconds at full speed
		at          time.Time
		loadSeconds float64
	}
	const stated = 13 * time.Second
	now, ended := time.Unix(1e6, 0), 0
	var loads []load
	for end := now.Add(span); now.Before(end); now = now.Add(100 * time.Millisecond) {
		s.observe(now)
		slow := 0
		for _, l := range loads {
			if now.Sub(l.at).Seconds() > slowLoad*stated.Seconds() {
				slow++
			}
		}
		s.overdue = 2*slow > s.inFlight
		for s.freeSlots(true) > 0 {
			loads = append(loads, load{stated.Seconds(), now, s.loadSeconds})
			s.inFlight++
		}
		var left []load
		for _, l := range loads {
			if l.left -= 0.1 * min(1, float64(serves)/float64(len(loads))); l.left > 0 {
				left = append(left, l)
				continue
			}
			took := now.Sub(l.at)
			s.learn(stated, took, s.meanInFlight(l.loadSeconds, took))
			s.inFlight--
			ended++
		}
		loads = left
	}
	return ended
}

// Requests for models on no disk were refused all day while the store could serve more than
// twice as many concurrent loads. The store serves ten loads concurrently at full speed, but
// a constant limited them to four, regardless of their observed durations.
func TestStoreThatServesMoreGetsMoreLoadsAtATime(t *testing.T) {
	is := is.New(t)
	s := storeLimiter{limit: 4, maxLimit: 60}
	ended := simulateStore(10, 120*time.Second, &s)
	is.True(ended >= 60) // of 92 that the store can serve, 36 with four at a time
	is.True(s.limit >= 8 && s.limit <= 14)
}

// Engines were busy for a minute each with loads that could take 13 s, and all other
// requests waited behind them. The store serves two loads concurrently, or one; four are
// started, and more as they end.
func TestSlowStoreGetsFewerLoadsAtATime(t *testing.T) {
	for _, serves := range []int{1, 2, 3} {
		is := is.New(t)
		s := storeLimiter{limit: 4, maxLimit: 60}
		ended := simulateStore(serves, 240*time.Second, &s)
		is.True(s.limit >= serves && s.limit <= serves+1)
		is.True(float64(ended) >= 0.8*float64(serves)*240/13) // its speed is still used
	}
}

// Quick single loads, one after the other, must not raise the limit on concurrent loads.
func TestSingleQuickLoadsDoNotRaiseTheLimit(t *testing.T) {
	is := is.New(t)
	s := storeLimiter{limit: 4, maxLimit: 60}
	for range 10 {
		s.learn(13*time.Second, 13*time.Second, 1)
	}
	is.Equal(s.limit, 4)
}

// Engines could load nothing from their disks, as all of them loaded from the store. The
// store serves hundreds of loads concurrently, and all requested models are only there.
func TestStoreLoadsLeaveEnginesFree(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, 30, 60, 0)
	for _, e := range s.engines {
		clear(e.disk)
	}
	s.step()
	s.list()
	for i := range 6000 {
		s.p.RecordDemand(s.now, "entry", []Demand{{Want: Want{Model: fmt.Sprintf("m%d", i%60)}, Arrived: 1, Waiting: 1}}, nil)
		s.step()
	}
	is.True(s.maxStoreLoads > DefaultConfig().StoreConcurrency) // it is used
	is.True(float64(s.maxStoreLoads) <= storeEngineShare*30)
}

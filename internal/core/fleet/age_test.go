package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startWithLoad returns a simulation whose first engine has just loaded m0 by order, and the
// time at which that began.
func startWithLoad(t *testing.T) (*simulation, time.Time) {
	t.Helper()
	s := newSimulation(1, 1, 4, 0)
	s.p.cfg.Headroom = 0
	s.step()
	s.list()
	s.run(60)
	startedAt := s.now
	s.p.RecordDemand(s.now, "entry", []Demand{{Want: Want{Model: "m0"}, Arrived: 1, Waiting: 1, Earliest: 10 * time.Second}}, nil)
	s.run(50)
	s.p.RecordDemand(s.now, "entry", nil, nil)
	if !s.p.engines["e00"].has(Want{Model: "m0"}) {
		t.Fatal("m0 was not loaded")
	}
	return s, startedAt
}

// An engine was ordered to hold more than it has memory for, and crashed. The platform's
// list is requested, a model is loaded by order, and the list arrives seconds after the
// request, as it has many pages or its reader had no processor time. It arrives long after
// the order but was made before it.
func TestListRequestedBeforeALoadDropsNothing(t *testing.T) {
	is := is.New(t)
	s, startedAt := startWithLoad(t)
	s.run(10) // the engine's own report has confirmed the load
	old := []Endpoint{s.engines["e00"].listed(s.now)}
	old[0].Held = nil
	later := s.now.Add(2 * time.Second)
	s.p.List(later, startedAt, old)
	is.True(s.p.engines["e00"].has(Want{Model: "m0"}))
	s.p.List(later, later, old) // requested now, it is the engine's state
	is.True(!s.p.engines["e00"].has(Want{Model: "m0"}))
}

// The same failure with reports: an engine is queried just after its load has ended; its
// report lags by some 100 ms and does not list the model; the report is processed 0.6 s
// later. Recently loaded models must be kept by the time of the query, not by that of
// processing.
func TestReportProcessedLateDropsNothing(t *testing.T) {
	is := is.New(t)
	s, _ := startWithLoad(t)
	e := s.p.engines["e00"]
	e.querying, e.queriedAt = true, e.loadedAt[Want{Model: "m0"}].Add(reportLag)
	r := Report{Sequence: e.sequence}
	s.p.Reported(e.queriedAt.Add(recentLoadAge+100*time.Millisecond), "e00", r)
	is.True(e.has(Want{Model: "m0"}))
	e.querying, e.queriedAt = true, e.queriedAt.Add(recentLoadAge)
	s.p.Reported(e.queriedAt.Add(5*time.Millisecond), "e00", r)
	is.True(!e.has(Want{Model: "m0"})) // queried long after the load, it is used
}

// An engine was overfilled and crashed. The planner's host is short of processor time:
// reports are processed up to 2.5 s late, lists up to 7.5 s, while demand keeps moving to
// other models. If the list alone is judged by when it is processed, an engine is overfilled
// on 5 of these 40 seeds.
func TestSlowPlannerNeverOverfillsAnEngine(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSimulation(seed, 6, 16, 0.05)
			s.maxDelay = 2500 * time.Millisecond
			s.list()
			for i := range 3000 { // 30 s
				if i%20 == 0 {
					s.requestRandom(4)
				}
				if i%40 == 0 {
					s.list()
				}
				s.step()
				if c := s.crashed(); c != "" {
					t.Fatal(c)
				}
			}
		})
	}
}

package fleet

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/deploy"
)

// simEngine is an engine that keeps to the published rules: one order of
// weights at a time, an order only at its expected sequence number, a crash if
// it is ordered to hold more than fits.
type simEngine struct {
	ep       Endpoint
	spec     *deploy.Engine
	sequence uint64
	held     map[string]map[string]bool // model to adapters
	busy     time.Time                  // until an order of weights is done
	pending  func()                     // its effect
	past     []pastReport
	crashed  string
	heedless bool // carries orders out whatever sequence number they name
	born     int64
	silent   bool     // the platform's list does not tell when it started
	before   Endpoint // as the list shows it until lags
	lags     time.Time
	disk     map[string]bool
	dies     string // model whose load ends the process
	killed   int    // loads that did
}

type pastReport struct {
	at time.Time
	r  Report
}

func (s *simEngine) settle(now time.Time) {
	if s.pending != nil && !now.Before(s.busy) {
		s.pending()
		s.pending = nil
	}
	s.past = append(s.past, pastReport{now, s.report()})
	if len(s.past) > 400 {
		s.past = s.past[200:]
	}
}

func (s *simEngine) report() Report {
	r := Report{Born: s.born, Busy: s.pending != nil, Sequence: s.sequence, Copies: Copies{Disk: slices.Sorted(maps.Keys(s.disk))}}
	for _, m := range slices.Sorted(maps.Keys(s.held)) {
		r.Held = append(r.Held, Held{Model: m, Version: 1, Adapters: slices.Sorted(maps.Keys(s.held[m]))})
	}
	return r
}

// listed returns the engine's entry in the platform's list.
func (s *simEngine) listed(now time.Time) Endpoint {
	if now.Before(s.lags) {
		return s.before
	}
	ep, r := s.ep, s.lagging(now)
	ep.Held, ep.Copies = r.Held, r.Copies
	ep.Server, ep.Born = string(s.ep.ID), s.born
	if s.silent {
		ep.Born = 0
	}
	ep.ID = StartID(ep.Server, ep.Born)
	return ep
}

// restart ends the process and starts it again, empty, under the same name. The list
// shows the process before for another 0.8 s.
func (s *simEngine) restart(now time.Time) {
	s.before, s.lags = s.listed(now), now.Add(800*time.Millisecond)
	s.born = now.UnixMilli()
	s.sequence, s.held, s.pending, s.past = 0, map[string]map[string]bool{}, nil, nil
}

// lagging returns the report of some 100 ms ago. Its sequence number is the
// present one: real engines have been seen to report some values sooner than
// others.
func (s *simEngine) lagging(now time.Time) Report {
	r := s.older(now)
	r.Sequence, r.Busy = s.sequence, s.pending != nil
	return r
}

func (s *simEngine) older(now time.Time) Report {
	if len(s.past) == 0 {
		return s.report()
	}
	out := s.past[0].r
	for _, p := range s.past {
		if now.Sub(p.at) >= 100*time.Millisecond {
			out = p.r
		}
	}
	return out
}

func (s *simEngine) order(now time.Time, o Order) Answer {
	if (o.Expected != s.sequence && !s.heedless) || s.pending != nil {
		return Busy
	}
	adapters, holds := s.held[o.Want.Model]
	switch {
	case o.Op == Load && o.Want.Adapter == "" && holds, o.Op == Load && o.Want.Adapter != "" && adapters[o.Want.Adapter]:
		return Holds
	case o.Want.Adapter != "" && !holds, o.Op == Unload && o.Want.Adapter == "" && !holds:
		return Rejected
	}
	s.sequence++
	switch {
	case o.Op == Load && o.Want == Want{Model: s.dies}:
		s.killed++
		s.busy, s.pending = now.Add(100*time.Millisecond), func() { s.restart(s.busy) }
	case o.Op == Load && o.Want.Adapter != "":
		adapters[o.Want.Adapter] = true
	case o.Op == Unload && o.Want.Adapter != "":
		delete(adapters, o.Want.Adapter)
		return Holds // at once, and under a new sequence number
	case o.Op == Load:
		takes := s.spec.Models[o.Want.Model].FromStore
		if s.disk[o.Want.Model] {
			takes = s.spec.Models[o.Want.Model].FromDisk
		}
		s.check(o.Want.Model)
		s.busy, s.pending = now.Add(takes), func() { s.held[o.Want.Model], s.disk[o.Want.Model] = map[string]bool{}, true }
	default:
		s.busy, s.pending = now.Add(20*time.Millisecond), func() { delete(s.held, o.Want.Model) }
	}
	s.check("")
	return Accepted
}

// check notes a crash if what is held, and loading, exceeds the engine.
func (s *simEngine) check(loading string) {
	var mb int64
	places := 0
	for m, as := range s.held {
		mb += s.spec.Models[m].Megabytes + int64(len(as))*s.spec.Models[m].AdapterSize
		places += len(as)
	}
	if loading != "" {
		mb += s.spec.Models[loading].Megabytes
	}
	if mb > s.spec.Weights || places > s.spec.AdapterPlaces {
		s.crashed = fmt.Sprintf("%s was ordered to hold %d MB and %d adapters", s.ep.ID, mb, places)
	}
}

// simulation plays demand against a planner in virtual time.
type simulation struct {
	r       *rand.Rand
	now     time.Time
	p       *Planner
	engines map[EndpointID]*simEngine
	later   []delayed
	slow    time.Duration // up to which reports and lists are taken in late
	lose    float64       // share of orders without an answer, carried out late
	late    time.Duration // when orders without an answer are carried out; 0 draws it
	most    int           // loads from the store at once
	refused int           // orders answered Busy
	again   int           // loads of what was held already
}

type delayed struct {
	at time.Time
	f  func()
}

func testEngine(models int) *deploy.Engine {
	e := &deploy.Engine{Slots: 32, Weights: 83000, AdapterPlaces: 3, Models: map[string]*deploy.Model{}}
	for i := range models {
		mb := int64(16100)
		if i%2 == 1 {
			mb = 34300
		}
		name := fmt.Sprintf("m%d", i)
		e.Models[name] = &deploy.Model{Name: name, Megabytes: mb, AdapterSize: 40, Adapters: 8,
			FromStore: 6 * time.Second, FromDisk: 400 * time.Millisecond, FromMemory: 300 * time.Millisecond}
	}
	return e
}

func newSimulation(seed uint64, engines, models int, lose float64) *simulation {
	s := &simulation{r: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1e6, 0), p: New(DefaultConfig()), engines: map[EndpointID]*simEngine{}, lose: lose}
	spec := testEngine(models)
	s.p.SetDeployment(&deploy.Config{Services: map[string]*deploy.Service{"llm": {Name: "llm", Engine: spec}}})
	for i := range engines {
		id := EndpointID(fmt.Sprintf("e%02d", i))
		e := &simEngine{ep: Endpoint{ID: id, Service: "llm", Addr: string(id), Slots: 32}, spec: spec, held: map[string]map[string]bool{}, disk: map[string]bool{}}
		for m := range models {
			if (m+i)%3 == 0 {
				e.disk[fmt.Sprintf("m%d", m)] = true
			}
		}
		s.engines[id] = e
	}
	return s
}

func (s *simulation) list() {
	var eps []Endpoint
	for _, e := range s.engines {
		eps = append(eps, e.listed(s.now))
	}
	if s.slow == 0 {
		s.p.List(s.now, s.now, eps)
		return
	}
	asked := s.now
	s.after(time.Duration(s.r.Int64N(int64(3*s.slow))), func() { s.p.List(s.now, asked, eps) })
}

const simStep = 10 * time.Millisecond

// step moves time on and carries out what the planner wants.
func (s *simulation) step() {
	s.now = s.now.Add(simStep)
	for _, e := range s.engines {
		e.settle(s.now)
	}
	due := s.later
	s.later = nil
	for _, d := range due {
		if d.at.After(s.now) {
			s.later = append(s.later, d)
			continue
		}
		d.f()
	}
	w := s.p.Plan(s.now)
	for _, o := range w.Orders {
		s.carryOut(o)
	}
	for _, q := range w.Queries {
		e := s.engines[EndpointID(q.Addr)]
		s.after(2*simStep, func() {
			r := e.lagging(s.now)
			if s.slow == 0 {
				s.p.Reported(s.now, q.Endpoint, r)
				return
			}
			s.after(time.Duration(s.r.Int64N(int64(s.slow))), func() { s.p.Reported(s.now, q.Endpoint, r) })
		})
	}
	s.most = max(s.most, s.p.store.under)
}

// run takes n steps.
func (s *simulation) run(n int) {
	for range n {
		s.step()
	}
}

func (s *simulation) after(d time.Duration, f func()) {
	s.later = append(s.later, delayed{s.now.Add(d), f})
}

func (s *simulation) carryOut(o Order) {
	e := s.engines[EndpointID(o.Server)]
	if s.r.Float64() < s.lose {
		// No answer; carried out up to 12 s later, after newer orders, or at once.
		wait := time.Duration(s.r.IntN(12000)) * time.Millisecond
		if s.r.IntN(4) == 0 {
			wait = 0
		}
		if s.late > 0 {
			wait = s.late
		}
		s.after(wait, func() { e.order(s.now, o) })
		s.after(time.Second, func() { s.p.Answered(s.now, o, Unanswered) })
		return
	}
	a := e.order(s.now, o)
	switch {
	case a == Busy:
		s.refused++
	case a == Holds && o.Op == Load:
		s.again++
	}
	s.after(simStep, func() { s.p.Answered(s.now, o, a) })
}

func (s *simulation) crashed() string {
	for _, e := range s.engines {
		if e.crashed != "" {
			return e.crashed
		}
	}
	return ""
}

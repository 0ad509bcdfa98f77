package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/deploy"
)

// simEngine is an engine that follows the published rules: one order of weights at a time,
// an order only at its expected sequence number, a crash if it is ordered to hold more than
// fits.
type simEngine struct {
	ep              Endpoint
	spec            *deploy.Engine
	sequence        uint64
	held            map[string]map[string]bool // model to adapters
	busy            time.Time                  // until an order of weights is done
	pending         func()                     // its effect
	history         []pastReport
	crashed         string
	ignoresSequence bool // carries out orders regardless of their sequence numbers
	born            int64
	hidesStart      bool     // the platform's list does not contain its start time
	previous        Endpoint // its entry in the list until listLagsUntil
	listLagsUntil   time.Time
	disk            map[string]bool
	fatalModel      string    // model whose load ends the process
	fatalLoads      int       // loads that ended the process
	store           *simStore // shared; nil if its loads never slow each other down
}

// simStore is a weight store that serves some loads at full speed and more in proportion slower.
type simStore struct {
	limit    int
	inFlight int
	loads    int
	stalled  bool // no load ends
}

// start returns how long a load takes that starts now.
func (w *simStore) start(stated time.Duration) time.Duration {
	w.inFlight++
	w.loads++
	if w.stalled {
		return time.Hour
	}
	return time.Duration(float64(stated) * max(1, float64(w.inFlight)/float64(w.limit)))
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
	s.history = append(s.history, pastReport{now, s.report()})
	if len(s.history) > 60 {
		s.history = slices.Clone(s.history[30:])
	}
}

func (s *simEngine) report() Report {
	r := Report{StartedAt: s.born, Busy: s.pending != nil, Sequence: s.sequence, Copies: Copies{Disk: slices.Sorted(maps.Keys(s.disk))}}
	for _, m := range slices.Sorted(maps.Keys(s.held)) {
		r.Held = append(r.Held, Held{Model: m, Version: 1, Adapters: slices.Sorted(maps.Keys(s.held[m]))})
	}
	return r
}

// listed returns the engine's entry in the platform's list.
func (s *simEngine) listed(now time.Time) Endpoint {
	if now.Before(s.listLagsUntil) {
		return s.previous
	}
	ep, r := s.ep, s.laggingReport(now)
	ep.Held, ep.Copies = r.Held, r.Copies
	ep.Server, ep.StartedAt = string(s.ep.ID), s.born
	if s.hidesStart {
		ep.StartedAt = 0
	}
	ep.ID = IncarnationID(ep.Server, ep.StartedAt)
	return ep
}

// restart ends the process and starts it again, empty, under the same name. The list shows
// the previous process for another 0.8 s.
func (s *simEngine) restart(now time.Time) {
	s.previous, s.listLagsUntil = s.listed(now), now.Add(800*time.Millisecond)
	s.born = now.UnixMilli()
	s.sequence, s.held, s.pending, s.history = 0, map[string]map[string]bool{}, nil, nil
}

// laggingReport returns the report of some 100 ms ago, but with the current sequence number:
// real engines report some values sooner than others.
func (s *simEngine) laggingReport(now time.Time) Report {
	r := s.reportedEarlier(now)
	r.Sequence, r.Busy = s.sequence, s.pending != nil
	return r
}

func (s *simEngine) reportedEarlier(now time.Time) Report {
	if len(s.history) == 0 {
		return s.report()
	}
	out := s.history[0].r
	for _, p := range s.history {
		if now.Sub(p.at) >= 100*time.Millisecond {
			out = p.r
		}
	}
	return out
}

func (s *simEngine) order(now time.Time, o Order) Answer {
	if (o.Expected != s.sequence && !s.ignoresSequence) || s.pending != nil {
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
	case o.Op == Load && o.Want == Want{Model: s.fatalModel}:
		s.fatalLoads++
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
		fetches := s.store != nil && !s.disk[o.Want.Model]
		if fetches {
			takes = s.store.start(takes)
		}
		s.busy, s.pending = now.Add(takes), func() {
			s.held[o.Want.Model], s.disk[o.Want.Model] = map[string]bool{}, true
			if fetches {
				s.store.inFlight--
			}
		}
	default:
		s.busy, s.pending = now.Add(20*time.Millisecond), func() { delete(s.held, o.Want.Model) }
	}
	s.check("")
	return Accepted
}

// check records a crash if what is held and loading exceeds the engine's limits.
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
	if mb > s.spec.ModelMegabytes || places > s.spec.AdapterSlots {
		s.crashed = fmt.Sprintf("%s was ordered to hold %d MB and %d adapters", s.ep.ID, mb, places)
	}
}

// simulation runs a planner against simulated engines and demand in virtual time.
type simulation struct {
	r              *rand.Rand
	now            time.Time
	p              *Planner
	engines        map[EndpointID]*simEngine
	scheduled      []event
	maxDelay       time.Duration // maximum delay until reports are processed; three times that for lists
	lossRate       float64       // share of orders that get no answer and are carried out late
	lateBy         time.Duration // delay of unanswered orders; 0 draws it at random
	maxStoreLoads  int           // maximum of concurrent loads from the store
	orders         []Order       // the orders of the last step
	busyAnswers    int           // orders answered Busy
	prepared       []Prepared    // of all steps
	unused         []Prepared    // of all steps
	redundantLoads int           // loads of what was held already
}

type event struct {
	at time.Time
	f  func()
}

func testEngine(models int) *deploy.Engine {
	e := &deploy.Engine{Slots: 32, ModelMegabytes: 83000, AdapterSlots: 3, Models: map[string]*deploy.Model{}}
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

func newSimulation(seed uint64, engines, models int, lossRate float64) *simulation {
	s := &simulation{r: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1e6, 0), p: New(DefaultConfig()), engines: map[EndpointID]*simEngine{}, lossRate: lossRate}
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

// byID returns the engines in the order of their IDs, so that a schedule repeats by its seed.
func (s *simulation) byID() []*simEngine {
	return slices.SortedFunc(maps.Values(s.engines), func(a, b *simEngine) int { return cmp.Compare(a.ep.ID, b.ep.ID) })
}

func (s *simulation) list() {
	var eps []Endpoint
	for _, e := range s.byID() {
		eps = append(eps, e.listed(s.now))
	}
	if s.maxDelay == 0 {
		s.p.List(s.now, s.now, eps)
		return
	}
	requestedAt := s.now
	s.after(time.Duration(s.r.Int64N(int64(3*s.maxDelay))), func() { s.p.List(s.now, requestedAt, eps) })
}

const simStep = 10 * time.Millisecond

// step advances the time by simStep and carries out the planner's work.
func (s *simulation) step() {
	s.now = s.now.Add(simStep)
	for _, e := range s.byID() {
		e.settle(s.now)
	}
	due := s.scheduled
	s.scheduled = nil
	for _, d := range due {
		if d.at.After(s.now) {
			s.scheduled = append(s.scheduled, d)
			continue
		}
		d.f()
	}
	w := s.p.Plan(s.now)
	s.orders = w.Orders
	s.prepared, s.unused = append(s.prepared, w.Prepared...), append(s.unused, w.Unused...)
	for _, o := range w.Orders {
		s.deliver(o)
	}
	for _, q := range w.Queries {
		e := s.engines[EndpointID(q.Addr)]
		if e == nil {
			s.after(2*simStep, func() { s.p.QueryFailed(s.now, q.Endpoint) })
			continue
		}
		s.after(2*simStep, func() {
			r := e.laggingReport(s.now)
			if s.maxDelay == 0 {
				s.p.Reported(s.now, q.Endpoint, r)
				return
			}
			s.after(time.Duration(s.r.Int64N(int64(s.maxDelay))), func() { s.p.Reported(s.now, q.Endpoint, r) })
		})
	}
	s.maxStoreLoads = max(s.maxStoreLoads, s.p.store.inFlight)
}

// run runs n steps.
func (s *simulation) run(n int) {
	for range n {
		s.step()
	}
}

func (s *simulation) after(d time.Duration, f func()) {
	s.scheduled = append(s.scheduled, event{s.now.Add(d), f})
}

func (s *simulation) deliver(o Order) {
	e := s.engines[EndpointID(o.Server)]
	if e == nil {
		s.after(simStep, func() { s.p.Answered(s.now, o, Unsent) })
		return
	}
	if s.r.Float64() < s.lossRate {
		// No answer; carried out up to 12 s later, after newer orders, or at once.
		wait := time.Duration(s.r.IntN(12000)) * time.Millisecond
		if s.r.IntN(4) == 0 {
			wait = 0
		}
		if s.lateBy > 0 {
			wait = s.lateBy
		}
		s.after(wait, func() { e.order(s.now, o) })
		s.after(time.Second, func() { s.p.Answered(s.now, o, Unanswered) })
		return
	}
	a := e.order(s.now, o)
	switch {
	case a == Busy:
		s.busyAnswers++
	case a == Holds && o.Op == Load:
		s.redundantLoads++
	}
	s.after(simStep, func() { s.p.Answered(s.now, o, a) })
}

func (s *simulation) crashed() string {
	for _, e := range s.byID() {
		if e.crashed != "" {
			return e.crashed
		}
	}
	return ""
}

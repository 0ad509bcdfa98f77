package lab

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/deploy"
	"github.com/cassiapass/cassiapass/internal/core/fleet"
)

const (
	tick           = 5 * time.Millisecond
	reportInterval = 200 * time.Millisecond // of reports from an entry to the planner
	reportDelay    = 10 * time.Millisecond  // one way between an entry and the planner
	listInterval   = 400 * time.Millisecond // at which the planner's host reads the endpoint list
	listDelay      = 400 * time.Millisecond
	queryDelay     = 100 * time.Millisecond
	orderDelay     = 15 * time.Millisecond // to confirm an order with a quorum and receive the answer
	// leadTime is the time before the first request, in which the planner learns
	// which models the engines hold.
	leadTime = 2 * time.Second

	storeFullSpeed = 4
)

// epoch is the planner's wall-clock time at virtual time 0.
var epoch = time.Unix(1e6, 0)

// runner simulates one site under one policy.
type runner struct {
	site        *Site
	r           *rand.Rand
	now         time.Duration
	planner     *fleet.Planner
	engines     map[fleet.EndpointID]*engine
	known       []fleet.Endpoint // as published to entries
	waiting     []*request
	assigned    map[*request]*engine
	uses        []map[useKey]*fleet.Use        // by entry: its requests running on each engine
	arrived     []map[fleet.Want]*fleet.Demand // by entry: arrivals not reported yet
	scheduled   []event
	store       store
	reportNow   []bool // by entry: whether a request has begun to wait
	frozen      bool
	choice      Choice
	placing     bool
	enginesMade int
	out         *Outcome
}

type useKey struct {
	id   fleet.EndpointID
	want fleet.Want
}

type event struct {
	at time.Duration
	f  func()
}

// newRunner returns a runner whose engines hold their initial models.
func newRunner(s *Site, p Policy, seed uint64) *runner {
	x := &runner{site: s, r: rand.New(rand.NewPCG(seed, 1)), planner: fleet.New(p.Plan), engines: map[fleet.EndpointID]*engine{},
		assigned: map[*request]*engine{}, store: store{maxFullSpeed: storeFullSpeed}, reportNow: make([]bool, s.Entries), frozen: p.Frozen, choice: p.Choice, placing: p.Placing, out: newOutcome(s, p), now: -leadTime}
	for range s.Entries {
		x.uses = append(x.uses, map[useKey]*fleet.Use{})
		x.arrived = append(x.arrived, map[fleet.Want]*fleet.Demand{})
	}
	x.planner.SetByLevel(p.ByLevel)
	x.planner.SetDeployment(&deploy.Config{Services: map[string]*deploy.Service{"llm": {Name: "llm", Engine: s.Spec}}})
	x.createEngines(p.AllModels)
	return x
}

// load returns the requests of a run; they depend on the seed alone and are the same for
// each policy.
func (s *Site) load(seed uint64) []*request { return s.arrivals(rand.New(rand.NewPCG(seed, 2))) }

// end returns the time by which every caller has received an answer or left.
func (s *Site) end() time.Duration {
	return s.Duration + slices.MaxFunc(s.Classes, func(a, b Class) int { return int(a.Limit - b.Limit) }).Limit
}

// Run simulates a site under a policy and returns the outcomes of its requests.
func Run(s *Site, p Policy, seed uint64) *Outcome {
	x, reqs := newRunner(s, p, seed), s.load(seed)
	for end := s.end(); x.now < end; x.now += tick {
		for len(reqs) > 0 && reqs[0].firstArrived <= x.now {
			x.arrive(reqs[0])
			reqs = reqs[1:]
		}
		x.step()
	}
	x.out.loads = x.store.loadCount
	return x.out
}

// createEngines creates the engines. Each holds one of the two most used models and up to
// three others as far as memory suffices, and has copies of more models on its disk.
func (x *runner) createEngines(allModels bool) {
	order := x.r.Perm(len(x.site.Names))
	for i := range x.site.Engines {
		e := x.newEngine()
		for _, m := range x.r.Perm(len(x.site.Names))[:min(x.site.Copies, len(x.site.Names))] {
			e.disk[x.site.Names[m]] = true
		}
		from := i * 2 % len(order)
		for _, name := range append([]string{x.site.Names[i%2]}, x.names(order[from:min(len(order), from+3)])...) {
			if e.held[name] == nil && e.heldMegabytes()+x.site.Spec.Models[name].Megabytes+400 <= e.spec.ModelMegabytes {
				e.held[name], e.disk[name] = map[string]bool{}, true
			}
		}
		if allModels {
			x.holdAllModels(e)
		}
	}
}

// holdAllModels gives an engine every model and adapter regardless of memory.
func (x *runner) holdAllModels(e *engine) {
	for _, name := range x.site.Names {
		e.held[name] = map[string]bool{}
		for a := range e.spec.Models[name].Adapters {
			e.held[name][fmt.Sprintf("a%d", a)] = true
		}
	}
}

func (x *runner) names(is []int) []string {
	var out []string
	for _, i := range is {
		out = append(out, x.site.Names[i])
	}
	return out
}

func (x *runner) newEngine() *engine {
	id := fleet.EndpointID(fmt.Sprintf("e%03d", x.enginesMade))
	x.enginesMade++
	e := &engine{number: x.enginesMade - 1, slowness: 1, ep: fleet.Endpoint{ID: id, Service: "llm", Addr: string(id), Slots: x.site.Spec.Slots}, spec: x.site.Spec, held: map[string]map[string]bool{}, disk: map[string]bool{}}
	x.engines[id] = e
	return e
}

// sorted returns the engines by id: with a fixed order, the same seed gives the same run.
func (x *runner) sorted() []*engine {
	out := make([]*engine, 0, len(x.engines))
	for _, e := range x.engines {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b *engine) int {
		if a.ep.ID < b.ep.ID {
			return -1
		}
		return 1
	})
	return out
}

func (x *runner) after(d time.Duration, f func()) {
	x.scheduled = append(x.scheduled, event{x.now + d, f})
}

func (x *runner) clock() time.Time { return epoch.Add(x.now) }

func (x *runner) step() {
	due := x.scheduled
	x.scheduled = nil
	for _, ev := range due {
		if ev.at > x.now {
			x.scheduled = append(x.scheduled, ev)
			continue
		}
		ev.f()
	}
	for _, e := range x.sorted() {
		e.finishOrder(x.now)
		e.slowness = x.slowness(e)
		first, ended := e.runBatch(x.now, tick)
		for _, r := range first {
			x.out.answered(r, r.firstTokenAt)
		}
		for _, r := range ended {
			x.useOf(r, e).Running--
			delete(x.assigned, r)
		}
	}
	x.every(listInterval, x.list)
	for i := range x.site.Entries {
		if x.reportNow[i] || (x.now+time.Duration(i)*reportInterval/time.Duration(x.site.Entries))%reportInterval == 0 {
			x.report(i)
		}
	}
	if x.site.ReplaceInterval > 0 && x.now > 0 && x.now < x.site.Duration {
		x.every(x.site.ReplaceInterval, x.replaceOldest)
	}
	if !x.frozen {
		if x.placing {
			x.every(time.Second, x.informPlanner)
		}
		x.plan()
	}
	x.dispatch()
}

func (x *runner) every(d time.Duration, f func()) {
	if x.now%d == 0 {
		f()
	}
}

func (x *runner) list() {
	var eps []fleet.Endpoint
	for _, e := range x.sorted() {
		eps = append(eps, e.listEntry())
	}
	if x.frozen {
		x.known = eps
		return
	}
	requestedAt := x.clock()
	x.after(listDelay, func() { x.planner.List(x.clock(), requestedAt, eps) })
}

// replaceOldest replaces the oldest engine by an empty one. Requests that have produced
// their first token are cut off and keep their outcome; the others wait for another engine.
func (x *runner) replaceOldest() {
	old := x.sorted()[0]
	delete(x.engines, old.ep.ID)
	for _, r := range append(slices.Clone(old.queue), old.active...) {
		x.useOf(r, old).Running--
		delete(x.assigned, r)
		if r.firstTokenAt == 0 {
			x.enqueue(r)
		}
	}
	x.newEngine()
}

// report sends an entry's report of arrived, waiting and running requests to the planner.
func (x *runner) report(entry int) {
	x.reportNow[entry] = false
	byWant := map[fleet.Want]*fleet.Demand{}
	demandOf := func(w fleet.Want) *fleet.Demand {
		if byWant[w] == nil {
			byWant[w] = &fleet.Demand{Want: w}
		}
		return byWant[w]
	}
	for w, d := range x.arrived[entry] {
		byWant[w] = d
	}
	clear(x.arrived[entry])
	for _, r := range x.waiting {
		if r.entry == entry {
			due := r.arrived + r.class.Objective - x.now
			demandOf(r.want).Add(x.now-r.waitingSince, r.arrived+r.class.Limit-x.now, due)
			demandOf(r.want).OfLevel(r.level()).AddWaiting(due)
		}
	}
	var demands []fleet.Demand
	for _, d := range byWant {
		demands = append(demands, *d)
	}
	var uses []fleet.Use
	for k, u := range x.uses[entry] {
		uses = append(uses, *u)
		u.Sent = 0
		if u.Running == 0 {
			delete(x.uses[entry], k)
		}
	}
	x.after(reportDelay, func() { x.planner.RecordDemand(x.clock(), fmt.Sprint(entry), demands, uses) })
}

// plan carries out the orders and queries of the planner and publishes its endpoints.
func (x *runner) plan() {
	w := x.planner.Plan(x.clock())
	for _, o := range w.Orders {
		e := x.engines[o.Endpoint]
		if e == nil {
			x.after(orderDelay, func() { x.planner.Answered(x.clock(), o, fleet.Unsent) })
			continue
		}
		a := e.handleOrder(x.now, o, &x.store)
		x.out.overcommitted = x.out.overcommitted || e.overcommitted
		x.after(orderDelay, func() { x.planner.Answered(x.clock(), o, a) })
	}
	for _, q := range w.Queries {
		if e := x.engines[q.Endpoint]; e != nil {
			r := e.report()
			x.after(queryDelay, func() { x.planner.Reported(x.clock(), q.Endpoint, r) })
			continue
		}
		x.after(queryDelay, func() { x.planner.QueryFailed(x.clock(), q.Endpoint) })
	}
	if x.planner.TakeChanged() {
		eps := x.planner.Endpoints()
		x.after(reportDelay, func() { x.known = eps })
	}
}

func (x *runner) arrive(r *request) {
	r.arrived = x.now
	d := x.arrived[r.entry][r.want]
	if d == nil {
		d = &fleet.Demand{Want: r.want}
		x.arrived[r.entry][r.want] = d
	}
	d.Arrived++
	d.OfLevel(r.level()).Arrived++
	r.waitingSince = -1
	if !x.send(r) {
		x.enqueue(r)
	}
}

func (x *runner) enqueue(r *request) {
	r.waitingSince = x.now
	x.waiting = append(x.waiting, r)
	x.reportNow[r.entry] = true
}

// dispatch sends waiting requests and refuses those that reached their maximum wait.
func (x *runner) dispatch() {
	x.waiting = slices.DeleteFunc(x.waiting, func(r *request) bool {
		if x.send(r) {
			return true
		}
		if x.now-r.arrived < fleet.MaxWait(r.class.Limit, r.class.SilenceLimit, 0) {
			return false
		}
		x.refuse(r)
		return true
	})
}

// refuse answers a caller with a time to retry after. The caller retries once, if its time
// limit allows.
func (x *runner) refuse(r *request) {
	after := fleet.RetryAfter(x.r.Int64N)
	if r.retried || x.now+after > r.firstArrived+r.class.Limit {
		x.out.refused(r)
		return
	}
	r.retried = true
	x.after(after, func() { x.arrive(r) })
}

// send sends a request to an engine that holds its model and adapter and that the entries
// know to hold them. It reports whether there was one.
func (x *runner) send(r *request) bool {
	var cands []fleet.Candidate
	var to []*engine
	for _, ep := range x.known {
		e := x.engines[ep.ID]
		if e == nil || !holds(ep, r.want) || !e.canRun(r.want) {
			continue
		}
		n := len(e.active) + len(e.queue)
		if fleet.Full(n, e.spec.Slots) {
			continue
		}
		cands, to = append(cands, fleet.Candidate{Running: n, Slots: e.spec.Slots, SameZone: true}), append(to, e)
	}
	i := x.choose(r, cands, to)
	if i < 0 {
		return false
	}
	e := to[i]
	x.assigned[r] = e
	u := x.useOf(r, e)
	u.Running++
	u.Sent++
	e.queue = append(e.queue, r)
	slices.SortStableFunc(e.queue, func(a, b *request) int { return a.class.Priority - b.class.Priority })
	return true
}

func (x *runner) useOf(r *request, e *engine) *fleet.Use {
	k := useKey{e.ep.ID, r.want}
	u := x.uses[r.entry][k]
	if u == nil {
		u = &fleet.Use{Endpoint: e.ep.ID, Want: r.want}
		x.uses[r.entry][k] = u
	}
	return u
}

func holds(ep fleet.Endpoint, w fleet.Want) bool {
	for _, h := range ep.Held {
		if h.Model == w.Model {
			return w.Adapter == "" || slices.Contains(h.Adapters, w.Adapter)
		}
	}
	return false
}

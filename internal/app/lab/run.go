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
	tick      = 5 * time.Millisecond
	tellEvery = 200 * time.Millisecond // as entries tell the planner
	toldAfter = 10 * time.Millisecond  // from an entry to the planner and back
	listEvery = 400 * time.Millisecond // as the planner's host reads the list
	listLag   = 400 * time.Millisecond
	reportLag = 100 * time.Millisecond
	orderTime = 15 * time.Millisecond // confirmed with a quorum and answered
	// lead is the time before the first request, in which the planner learns
	// what the engines hold.
	lead = 2 * time.Second

	storeFullSpeed = 4
)

// epoch is where virtual time begins for the planner.
var epoch = time.Unix(1e6, 0)

// runner plays one site under one policy.
type runner struct {
	site    *Site
	r       *rand.Rand
	now     time.Duration
	planner *fleet.Planner
	engines map[fleet.EndpointID]*engine
	known   []fleet.Endpoint // as entries were told
	waiting []*request
	at      map[*request]*engine
	runs    []map[runKey]*fleet.Use // entry to what it runs where
	arrived []map[fleet.Want]int    // entry to arrivals not told yet
	later   []event
	store   store
	urgent  []bool // entry to whether a request has begun to wait
	frozen  bool
	renewed int
	out     *Outcome
}

type runKey struct {
	id   fleet.EndpointID
	want fleet.Want
}

type event struct {
	at time.Duration
	f  func()
}

// newRunner returns a runner whose engines hold what they do at the beginning.
func newRunner(s *Site, p Policy, seed uint64) *runner {
	x := &runner{site: s, r: rand.New(rand.NewPCG(seed, 1)), planner: fleet.New(p.Plan), engines: map[fleet.EndpointID]*engine{},
		at: map[*request]*engine{}, store: store{full: storeFullSpeed}, urgent: make([]bool, s.Entries), frozen: p.Frozen, out: newOutcome(s, p), now: -lead}
	for range s.Entries {
		x.runs = append(x.runs, map[runKey]*fleet.Use{})
		x.arrived = append(x.arrived, map[fleet.Want]int{})
	}
	x.planner.SetDeployment(&deploy.Config{Services: map[string]*deploy.Service{"llm": {Name: "llm", Engine: s.Spec}}})
	x.furnish(p.Everything)
	return x
}

// load returns the requests of a run, the same for each policy.
func (s *Site) load(seed uint64) []*request { return s.arrivals(rand.New(rand.NewPCG(seed, 2))) }

// end returns when the last caller has left.
func (s *Site) end() time.Duration {
	return s.Length + slices.MaxFunc(s.Classes, func(a, b Class) int { return int(a.Limit - b.Limit) }).Limit
}

// Run plays a site under a policy and returns what callers got.
func Run(s *Site, p Policy, seed uint64) *Outcome {
	x, reqs := newRunner(s, p, seed), s.load(seed)
	for end := s.end(); x.now < end; x.now += tick {
		for len(reqs) > 0 && reqs[0].born <= x.now {
			x.arrive(reqs[0])
			reqs = reqs[1:]
		}
		x.step()
	}
	x.out.loads = x.store.loads
	return x.out
}

// furnish makes the engines: the often used models on many, the others on one
// each as far as there is room, copies of more on the disks.
func (x *runner) furnish(everything bool) {
	order := x.r.Perm(len(x.site.Names))
	for i := range x.site.Engines {
		e := x.newEngine()
		for _, m := range x.r.Perm(len(x.site.Names))[:min(x.site.Copies, len(x.site.Names))] {
			e.disk[x.site.Names[m]] = true
		}
		for _, name := range append([]string{x.site.Names[i%2]}, x.names(order[i*2:min(len(order), i*2+3)])...) {
			if e.held[name] == nil && e.weights()+x.site.Spec.Models[name].Megabytes+400 <= e.spec.Weights {
				e.held[name], e.disk[name] = map[string]bool{}, true
			}
		}
		if everything {
			x.holdEverything(e)
		}
	}
}

// holdEverything gives an engine every model and adapter, whatever fits.
func (x *runner) holdEverything(e *engine) {
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
	id := fleet.EndpointID(fmt.Sprintf("e%03d", x.renewed))
	x.renewed++
	e := &engine{ep: fleet.Endpoint{ID: id, Service: "llm", Addr: string(id), Slots: x.site.Spec.Slots}, spec: x.site.Spec, held: map[string]map[string]bool{}, disk: map[string]bool{}}
	x.engines[id] = e
	return e
}

// sorted returns the engines in a fixed order, so that a seed repeats.
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

func (x *runner) after(d time.Duration, f func()) { x.later = append(x.later, event{x.now + d, f}) }

func (x *runner) clock() time.Time { return epoch.Add(x.now) }

func (x *runner) step() {
	due := x.later
	x.later = nil
	for _, ev := range due {
		if ev.at > x.now {
			x.later = append(x.later, ev)
			continue
		}
		ev.f()
	}
	for _, e := range x.sorted() {
		e.settle(x.now)
		first, ended := e.work(x.now, tick)
		for _, r := range first {
			x.out.answered(r, r.begun)
		}
		for _, r := range ended {
			x.use(r, e).Running--
			delete(x.at, r)
		}
	}
	x.every(listEvery, x.list)
	for i := range x.site.Entries {
		if x.urgent[i] || (x.now+time.Duration(i)*tellEvery/time.Duration(x.site.Entries))%tellEvery == 0 {
			x.tell(i)
		}
	}
	if x.site.Renew > 0 && x.now > 0 && x.now < x.site.Length {
		x.every(x.site.Renew, x.renew)
	}
	if !x.frozen {
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
		eps = append(eps, e.listed())
	}
	if x.frozen {
		x.known = eps
		return
	}
	asked := x.clock()
	x.after(listLag, func() { x.planner.List(x.clock(), asked, eps) })
}

// renew replaces the oldest engine by an empty one. What runs there is cut off
// and counts as it did; what waits in its queue goes elsewhere.
func (x *runner) renew() {
	old := x.sorted()[0]
	delete(x.engines, old.ep.ID)
	for _, r := range append(slices.Clone(old.queue), old.active...) {
		x.use(r, old).Running--
		delete(x.at, r)
		if r.begun == 0 {
			x.wait(r)
		}
	}
	x.newEngine()
}

// tell has an entry report what arrived, waits and runs.
func (x *runner) tell(entry int) {
	x.urgent[entry] = false
	byWant := map[fleet.Want]*fleet.Demand{}
	of := func(w fleet.Want) *fleet.Demand {
		if byWant[w] == nil {
			byWant[w] = &fleet.Demand{Want: w}
		}
		return byWant[w]
	}
	for w, n := range x.arrived[entry] {
		of(w).Arrived = n
	}
	clear(x.arrived[entry])
	for _, r := range x.waiting {
		if r.entry == entry {
			of(r.want).Add(x.now-r.waits, r.arrived+r.class.Limit-x.now, r.arrived+r.class.Objective-x.now)
		}
	}
	var demands []fleet.Demand
	for _, d := range byWant {
		demands = append(demands, *d)
	}
	var uses []fleet.Use
	for k, u := range x.runs[entry] {
		uses = append(uses, *u)
		u.Begun = 0
		if u.Running == 0 {
			delete(x.runs[entry], k)
		}
	}
	x.after(toldAfter, func() { x.planner.Hear(x.clock(), fmt.Sprint(entry), demands, uses) })
}

// plan carries out what the planner wants.
func (x *runner) plan() {
	w := x.planner.Plan(x.clock())
	for _, o := range w.Orders {
		e := x.engines[o.Endpoint]
		if e == nil {
			x.after(orderTime, func() { x.planner.Answered(x.clock(), o, fleet.Unsent) })
			continue
		}
		a := e.take(x.now, o, &x.store)
		x.out.overfull = x.out.overfull || e.overfull
		x.after(orderTime, func() { x.planner.Answered(x.clock(), o, a) })
	}
	for _, q := range w.Queries {
		if e := x.engines[q.Endpoint]; e != nil {
			r := e.report()
			x.after(reportLag, func() { x.planner.Reported(x.clock(), q.Endpoint, r) })
			continue
		}
		x.after(reportLag, func() { x.planner.Unreported(x.clock(), q.Endpoint) })
	}
	if x.planner.Changed() {
		eps := x.planner.Endpoints()
		x.after(toldAfter, func() { x.known = eps })
	}
}

func (x *runner) arrive(r *request) {
	r.arrived = x.now
	x.arrived[r.entry][r.want]++
	r.waits = -1
	if !x.send(r) {
		x.wait(r)
	}
}

func (x *runner) wait(r *request) {
	r.waits = x.now
	x.waiting = append(x.waiting, r)
	x.urgent[r.entry] = true
}

// dispatch sends what waits and refuses what has waited for as long as it may.
func (x *runner) dispatch() {
	x.waiting = slices.DeleteFunc(x.waiting, func(r *request) bool {
		if x.send(r) {
			return true
		}
		if x.now-r.arrived < fleet.Hold(r.class.Limit, r.class.Patience, 0) {
			return false
		}
		x.refuse(r)
		return true
	})
}

// refuse tells a caller to come back; it does so once, if it has the time.
func (x *runner) refuse(r *request) {
	after := fleet.ComeBack(x.r.Int64N)
	if r.again || x.now+after > r.born+r.class.Limit {
		x.out.refused(r)
		return
	}
	r.again = true
	x.after(after, func() { x.arrive(r) })
}

// send gives a request to an engine that is known to hold what it needs.
func (x *runner) send(r *request) bool {
	var cands []fleet.Candidate
	var to []*engine
	for _, ep := range x.known {
		e := x.engines[ep.ID]
		if e == nil || !holds(ep, r.want) || !e.has(r.want) {
			continue
		}
		n := len(e.active) + len(e.queue)
		if fleet.Full(n, e.spec.Slots) {
			continue
		}
		cands, to = append(cands, fleet.Candidate{Running: n, Slots: e.spec.Slots, SameZone: true}), append(to, e)
	}
	i := fleet.Choose(cands, x.r.IntN)
	if i < 0 {
		return false
	}
	e := to[i]
	x.at[r] = e
	u := x.use(r, e)
	u.Running++
	u.Begun++
	e.queue = append(e.queue, r)
	slices.SortStableFunc(e.queue, func(a, b *request) int { return a.class.Priority - b.class.Priority })
	return true
}

func (x *runner) use(r *request, e *engine) *fleet.Use {
	k := runKey{e.ep.ID, r.want}
	u := x.runs[r.entry][k]
	if u == nil {
		u = &fleet.Use{Endpoint: e.ep.ID, Want: r.want}
		x.runs[r.entry][k] = u
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

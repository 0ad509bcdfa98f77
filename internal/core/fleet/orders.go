package fleet

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/deploy"
)

// Work is what the planner wants done: orders to give and engines to query.
type Work struct {
	Orders  []Order
	Queries []Query
	Settled []Settled // since the last plan
}

// Query asks an engine for its report.
type Query struct {
	Endpoint EndpointID
	Addr     string
}

const (
	// queryPause bounds how often one engine is asked while an order is due:
	// reports lag by some 100 ms, so asking sooner tells nothing new.
	queryPause = 100 * time.Millisecond
	// reportLag is added to an order's expected end before the first query.
	reportLag = 110 * time.Millisecond
	// settleMoved is how long after an order that it did not see accepted the
	// planner gives no other: until then a report may show its number without
	// its effect.
	settleMoved = 250 * time.Millisecond
	// settleMargin is added to an order's expected time before it is taken for
	// done.
	settleMargin = 10 * time.Millisecond
	// adapterLoad is the expected time of an adapter's load.
	adapterLoad = 10 * time.Millisecond
	// unloadTime is the expected time of an unload of an idle model: engines have
	// been seen to report its end after 0.28 to 0.36 s, with a lag of 0.1 s.
	unloadTime = 200 * time.Millisecond
	// storePatience is how long a request waits for an engine that has a copy,
	// while those are all at other work, before its model is fetched from the
	// store: a load from disk takes half a second, one from the store 6 s and
	// more, during which the engine can load nothing else.
	storePatience = 3 * time.Second
	// idleAdapter is how long an adapter must be unused before it makes way.
	idleAdapter = 300 * time.Millisecond
	// idleModel is how long a model must be unused before it makes way: what
	// entries tell is at most this old, and an unload waits for requests.
	idleModel = 500 * time.Millisecond
)

// Plan returns the work that is due.
func (p *Planner) Plan(now time.Time) Work {
	var w Work
	if p.dep == nil {
		return w
	}
	p.settleByTime(now)
	w.Settled, p.settled = p.settled, nil
	for _, want := range p.urgent() {
		p.serve(now, want, &w)
	}
	p.replicate(now, &w)
	p.queries(now, &w)
	return w
}

// urgent returns what is waited for, the least time left first.
func (p *Planner) urgent() []Want {
	out := make([]Want, 0, len(p.wants))
	for w := range p.wants {
		out = append(out, w)
	}
	slices.SortFunc(out, func(a, b Want) int {
		return cmp.Or(cmp.Compare(p.wants[a].urgency, p.wants[b].urgency), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	return out
}

// serve gives the order that brings a waiting request nearer to an engine.
func (p *Planner) serve(now time.Time, want Want, w *Work) {
	base := Want{Model: want.Model}
	holders, coming := 0, false
	for _, e := range p.engines {
		if e.has(base) && e.usable(now) {
			holders++
		}
		coming = coming || e.loading(base)
		if e.loading(want) {
			return
		}
		if e.has(want) && e.usable(now) && !p.crowded(e) {
			return // an engine can take it; entries learn of it at once
		}
	}
	if holders == 0 {
		if !coming {
			p.place(now, want.Model, w)
		}
		return
	}
	if want.Adapter != "" {
		p.placeAdapter(now, want, w)
		return
	}
	if !coming {
		p.place(now, want.Model, w) // every holder is full
	}
}

// crowded reports whether an engine's slots are taken beyond the threshold.
func (p *Planner) crowded(e *engine) bool {
	return e.ep.Slots > 0 && float64(e.running) >= p.cfg.Crowded*float64(e.ep.Slots)
}

// replicate gives busy models the replicas that their rate asks for, several at
// a time while demand moves to another model.
func (p *Planner) replicate(now time.Time, w *Work) {
	for _, name := range p.busiest(now) {
		base := Want{Model: name}
		holders, full := 0, 0
		for _, e := range p.engines {
			switch {
			case e.loading(base):
				holders++
			case e.has(base) && e.usable(now):
				holders++
				if p.crowded(e) {
					full++
				}
			}
		}
		want := int(math.Ceil(p.rate(now, name) / p.cfg.RatePerReplica))
		if holders > 0 && full == holders {
			want = max(want, holders+1)
		}
		want = min(want, int(math.Ceil(p.cfg.MostOfEngines*float64(len(p.engines)))))
		for ; holders > 0 && holders < want; holders++ {
			p.place(now, name, w)
		}
	}
}

// busiest returns the models with more than a request a second, which alone can
// fill an engine, the busiest first.
func (p *Planner) busiest(now time.Time) []string {
	var out []string
	for name := range p.models {
		if p.rate(now, name) >= 1 {
			out = append(out, name)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.rate(now, b), p.rate(now, a)), cmp.Compare(a, b))
	})
	return out
}

// site is an engine that could load a model.
type site struct {
	e       *engine
	source  Source
	takes   time.Duration
	victims []string
	cost    float64 // seconds, including what the victims are worth
}

// place loads a model where that is soonest, or makes room for it there.
func (p *Planner) place(now time.Time, name string, w *Work) {
	var best *site
	mayFetch := !p.copied(now, name) || p.oldest(name) > storePatience
	for _, e := range p.engines {
		s, ok := p.site(now, e, name)
		if ok && s.source == FromStore && !mayFetch {
			continue
		}
		if ok && (best == nil || s.cost < best.cost || (s.cost == best.cost && s.e.ep.ID < best.e.ep.ID)) {
			best = &s
		}
	}
	if best == nil {
		return
	}
	if len(best.victims) > 0 {
		p.give(now, best.e, Order{Op: Unload, Want: Want{Model: best.victims[0]}, Reason: "makes way for " + name + p.pressure(name)}, unloadTime, w)
		return
	}
	p.give(now, best.e, Order{Op: Load, Want: Want{Model: name}, Source: best.source, Reason: p.reason(now, name)}, best.takes, w)
}

// copied reports whether some engine that can be used has a copy of a model, in
// memory or on disk, though it may be at other work now.
func (p *Planner) copied(now time.Time, name string) bool {
	for _, e := range p.engines {
		_, m := p.spec(e, name)
		if m == nil || !e.usable(now) || e.has(Want{Model: name}) {
			continue
		}
		if src, _ := e.source(m); src != FromStore {
			return true
		}
	}
	return false
}

// oldest returns how long a request has waited for a model.
func (p *Planner) oldest(name string) time.Duration {
	var out time.Duration
	for w, d := range p.wants {
		if w.Model == name {
			out = max(out, d.oldest)
		}
	}
	return out
}

// reason tells why a model is loaded.
func (p *Planner) reason(now time.Time, name string) string {
	return fmt.Sprintf("held by %d, %.1f requests a second%s", p.holders(name), p.rate(now, name), p.pressure(name))
}

// pressure tells what waits for a model and its adapters.
func (p *Planner) pressure(name string) string {
	n, urgency := 0, time.Duration(0)
	for w, d := range p.wants {
		if w.Model != name {
			continue
		}
		n += d.waiting
		if urgency == 0 || d.urgency < urgency {
			urgency = d.urgency
		}
	}
	if n == 0 {
		return ", nothing waits"
	}
	return fmt.Sprintf(", %d wait, the first has %v left", n, urgency.Round(time.Millisecond))
}

// site tells what a load of a model at an engine would take.
func (p *Planner) site(now time.Time, e *engine, name string) (site, bool) {
	eng, m := p.spec(e, name)
	_, held := e.held[name]
	if m == nil || held || !e.usable(now) || e.order != nil || !e.known || e.doubt {
		return site{}, false
	}
	src, takes := e.source(m)
	if src == FromStore && p.store >= p.cfg.StoreAtOnce {
		return site{}, false
	}
	s := site{e: e, source: src, takes: takes, cost: takes.Seconds()}
	free := eng.Weights - e.weights(eng)
	for _, v := range p.victims(now, e, eng) {
		if free >= m.Megabytes {
			break
		}
		s.victims = append(s.victims, v.name)
		s.cost += v.cost + unloadTime.Seconds()
		free += eng.Models[v.name].Megabytes
	}
	if free < m.Megabytes {
		return site{}, false
	}
	if e.ep.Slots > 0 {
		s.cost += float64(e.running) / float64(e.ep.Slots)
	}
	return s, true
}

// victim is a model that could make way, with the expected cost in seconds.
type victim struct {
	name string
	cost float64
}

// victims returns the idle models of an engine, the cheapest to lose first. A
// model costs its reload times the chance that it is asked for soon; one that
// another engine holds too costs next to nothing.
func (p *Planner) victims(now time.Time, e *engine, eng *deploy.Engine) []victim {
	var out []victim
	for name, h := range e.held {
		m := eng.Models[name]
		if m == nil || p.runningOf(e, name) > 0 || now.Sub(h.used) < idleModel || p.waitedFor(name) {
			continue
		}
		rate := p.rate(now, name)
		if p.holders(name) > 1 {
			rate /= 4 // the others take the requests meanwhile
		}
		// The longer unused, the less likely soon: LRU breaks equal rates.
		idle := now.Sub(h.used).Seconds()
		out = append(out, victim{name, min(rate, 2)*m.FromDisk.Seconds() + 0.05/(1+idle)})
	}
	slices.SortFunc(out, func(a, b victim) int { return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.name, b.name)) })
	return out
}

func (p *Planner) runningOf(e *engine, name string) int {
	n := 0
	for w, r := range e.runs {
		if w.Model == name {
			n += r
		}
	}
	return n
}

func (p *Planner) waitedFor(name string) bool {
	for w := range p.wants {
		if w.Model == name {
			return true
		}
	}
	return false
}

func (p *Planner) holders(name string) int {
	n := 0
	for _, e := range p.engines {
		if e.has(Want{Model: name}) && !e.ep.Leaving {
			n++
		}
	}
	return n
}

// placeAdapter loads an adapter at the least loaded engine that holds its model.
func (p *Planner) placeAdapter(now time.Time, want Want, w *Work) {
	var best *engine
	bestCost := 0.0
	for _, e := range p.engines {
		eng, m := p.spec(e, want.Model)
		if m == nil || !e.has(Want{Model: want.Model}) || !e.usable(now) || e.order != nil || !e.known || e.doubt {
			continue
		}
		cost := float64(e.running)/float64(max(e.ep.Slots, 1)) + float64(e.places())/float64(max(eng.AdapterPlaces, 1))
		if e.places() >= eng.AdapterPlaces {
			if _, ok := p.idleAdapter(now, e); !ok {
				continue
			}
		}
		if best == nil || cost < bestCost || (cost == bestCost && e.ep.ID < best.ep.ID) {
			best, bestCost = e, cost
		}
	}
	if best == nil {
		return
	}
	eng, _ := p.spec(best, want.Model)
	if best.places() >= eng.AdapterPlaces {
		old, _ := p.idleAdapter(now, best)
		p.give(now, best, Order{Op: Unload, Want: old, Reason: "makes way for " + want.Model + "/" + want.Adapter}, unloadTime, w)
		return
	}
	p.give(now, best, Order{Op: Load, Want: want, Reason: "adapter" + p.pressure(want.Model)}, adapterLoad, w)
}

// idleAdapter returns the adapter of an engine that was unused for longest.
func (p *Planner) idleAdapter(now time.Time, e *engine) (Want, bool) {
	var best Want
	var at time.Time
	for name, h := range e.held {
		for a, used := range h.adapters {
			w := Want{Model: name, Adapter: a}
			if e.runs[w] > 0 || p.wants[w] != nil || now.Sub(used) < idleAdapter {
				continue
			}
			if best.Model == "" || used.Before(at) || (used.Equal(at) && a < best.Adapter) {
				best, at = w, used
			}
		}
	}
	return best, best.Model != ""
}

// give records an order as under way and hands it out.
func (p *Planner) give(now time.Time, e *engine, o Order, takes time.Duration, w *Work) {
	o.Endpoint, o.Addr, o.Expected = e.ep.ID, e.ep.Addr, e.sequence
	e.order = &underway{Order: o, given: now, takes: takes, due: now.Add(takes + reportLag)}
	e.touched = now
	if o.Source == FromStore {
		p.store++
	}
	if o.Op == Unload {
		p.changed = true // entries stop sending to it
	}
	w.Orders = append(w.Orders, o)
}

// queryPause returns the pause between queries. An order that is far behind its
// expected end, as loads from a busy store are, is asked after ever more rarely.
func (e *engine) queryPause(now time.Time) time.Duration {
	if e.order == nil {
		return queryPause
	}
	return max(queryPause, now.Sub(e.order.due)/4)
}

// queries asks engines whose state is due to be looked at.
func (p *Planner) queries(now time.Time, w *Work) {
	for _, e := range p.engines {
		eng, _ := p.spec(e, "")
		if eng == nil || e.asking || now.Sub(e.asked) < e.queryPause(now) || now.Before(e.shunned) {
			continue
		}
		due := !e.known || e.doubt || (!e.verify.IsZero() && !now.Before(e.verify))
		if o := e.order; o != nil {
			due = !now.Before(o.due) || (!o.accepted && now.Sub(o.given) > p.cfg.Patience && e.doubt)
		}
		if !due {
			continue
		}
		e.asking, e.asked = true, now
		w.Queries = append(w.Queries, Query{e.ep.ID, e.ep.Addr})
	}
}

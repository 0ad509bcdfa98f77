package fleet

import (
	"fmt"
	"time"
)

// site is an engine that could load a model.
type site struct {
	e      *engine
	source Source
	takes  time.Duration
	victim string  // the first model that makes way; "" if there is room
	cost   float64 // seconds, including what the victims are worth
}

// place loads a model where that is soonest, or makes room for it there. With
// fetch it may come from the store though engines have copies.
func (p *Planner) place(now time.Time, name string, fetch bool, w *Work) {
	var best *site
	consider := func(e *engine, mayFetch bool) {
		s, ok := p.site(now, e, name, mayFetch)
		if ok && (best == nil || s.cost < best.cost || (s.cost == best.cost && s.e.ep.ID < best.e.ep.ID)) {
			best = &s
		}
	}
	if fetch || !p.copied(now, name) || p.look.oldest[name] > p.cfg.StorePatience {
		for _, e := range p.look.free {
			consider(e, true)
		}
	} else {
		for e := range p.copies.engines(name) {
			consider(e, false)
		}
	}
	if best == nil {
		if p.starved(now, name) {
			p.placeStarved(now, name, w)
		}
		return
	}
	if best.victim != "" {
		p.give(now, best.e, Order{Op: Unload, Want: Want{Model: best.victim}, Reason: "makes way for " + name + p.pressure(name)}, unloadTime, w)
		return
	}
	p.give(now, best.e, Order{Op: Load, Want: Want{Model: name}, Source: best.source, Reason: p.reason(now, name)}, best.takes, w)
}

// copied reports whether some engine that can be used has a copy of a model, in
// memory or on disk, though it may be at other work now.
func (p *Planner) copied(now time.Time, name string) bool {
	for e := range p.copies.engines(name) {
		if _, m := p.spec(e, name); m != nil && e.usable(now) && !e.has(Want{Model: name}) {
			return true
		}
	}
	return false
}

// reason tells why a model is loaded.
func (p *Planner) reason(now time.Time, name string) string {
	return fmt.Sprintf("held by %d, %.1f requests a second%s", p.look.holders[name], p.rate(now, name), p.pressure(name))
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
func (p *Planner) site(now time.Time, e *engine, name string, mayFetch bool) (site, bool) {
	eng, m := p.spec(e, name)
	_, held := e.held[name]
	if m == nil || held || !e.usable(now) || e.order != nil || !e.known || e.doubt {
		return site{}, false
	}
	if !p.mayLoad(now, Want{Model: name}) {
		return site{}, false
	}
	src, takes := e.source(m)
	if src == FromStore && (!mayFetch || !p.mayFetch(now, eng, p.look.crowd[name])) {
		return site{}, false
	}
	s := site{e: e, source: src, takes: takes, cost: takes.Seconds()}
	if src == FromStore {
		s.cost += p.blocks(now, e)
	}
	r := p.room(now, e, eng)
	free := r.free
	for _, v := range r.victims {
		if free >= m.Megabytes {
			break
		}
		if s.victim == "" {
			s.victim = v.name
		}
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

package fleet

import (
	"fmt"
	"math"
	"time"
)

// placement is an engine that could load a model.
type placement struct {
	e        *engine
	source   Source
	loadTime time.Duration
	victim   string  // the first model to evict; "" if there is enough free memory
	cost     float64 // seconds, including the cost of losing the victims
}

// place loads a model where that is soonest, or evicts a model there first. With fetch it
// may be loaded from the store although engines have copies.
func (p *Planner) place(now time.Time, name string, fetch bool, w *Work) {
	var best *placement
	consider := func(e *engine, mayFetch bool) {
		if s, ok := p.placement(now, e, name, mayFetch); ok && s.cheaper(best) {
			best = &s
		}
	}
	if fetch || !p.hasCopy(now, name) || p.survey.longestWait[name] > p.cfg.StoreWaitLimit {
		for _, e := range p.survey.free {
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
	p.issuePlacement(now, name, *best, w)
}

// cheaper reports whether a placement is better than the best so far, which may be nil.
func (s placement) cheaper(best *placement) bool {
	return best == nil || s.cost < best.cost || (s.cost == best.cost && s.e.ep.ID < best.e.ep.ID)
}

// issuePlacement loads a model as placed, or evicts a model there first.
func (p *Planner) issuePlacement(now time.Time, name string, s placement, w *Work) {
	if s.victim != "" {
		p.issue(now, s.e, Order{Op: Unload, Want: Want{Model: s.victim}, Reason: "makes way for " + name + p.waitingSummary(name)}, unloadTime, w)
		return
	}
	p.issue(now, s.e, Order{Op: Load, Want: Want{Model: name}, Source: s.source, Reason: p.loadReason(now, name)}, s.loadTime, w)
}

// hasCopy reports whether some usable engine that does not hold a model has a copy of it, in
// memory or on disk, even if it is busy now.
func (p *Planner) hasCopy(now time.Time, name string) bool {
	for e := range p.copies.engines(name) {
		if _, m := p.spec(e, name); m != nil && e.usable(now) && !e.has(Want{Model: name}) {
			return true
		}
	}
	return false
}

// loadReason describes why a model is loaded.
func (p *Planner) loadReason(now time.Time, name string) string {
	return fmt.Sprintf("held by %d, %.1f requests a second%s", p.survey.holders[name], p.rate(now, name), p.waitingSummary(name))
}

// waitingSummary describes the requests that wait for a model and its adapters.
func (p *Planner) waitingSummary(name string) string {
	n, minLeft := 0, time.Duration(math.MaxInt64)
	for w, d := range p.wants {
		if w.Model != name {
			continue
		}
		n += d.waiting
		minLeft = min(minLeft, d.minLeft)
	}
	if n == 0 {
		return ", nothing waits"
	}
	return fmt.Sprintf(", %d wait, the first has %v left", n, minLeft.Round(time.Millisecond))
}

// placement returns how a model would be loaded on an engine, and whether that is possible.
func (p *Planner) placement(now time.Time, e *engine, name string, mayFetch bool) (placement, bool) {
	eng, m := p.spec(e, name)
	_, held := e.held[name]
	if m == nil || held || !e.usable(now) || e.order != nil || !e.known || e.needsReport {
		return placement{}, false
	}
	if !p.mayLoad(now, Want{Model: name}) {
		return placement{}, false
	}
	src, loadTime := e.source(m)
	if src == FromStore && (!mayFetch || !p.mayFetch(now, eng, p.survey.crowded[name])) {
		return placement{}, false
	}
	s := placement{e: e, source: src, loadTime: loadTime, cost: loadTime.Seconds()}
	if src == FromStore {
		s.cost += p.blockedRate(now, e) + p.copiesAtRisk(now, e)
	}
	r := p.capacity(now, e, eng)
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
		return placement{}, false
	}
	s.cost += p.paceCost(now, e, name)
	if e.ep.Slots > 0 {
		taken := float64(e.ep.Slots) - p.places(e) // by its limit
		s.cost += min(float64(e.running)+taken, max(float64(e.ep.Slots), float64(e.running))) / float64(e.ep.Slots)
	}
	return s, true
}

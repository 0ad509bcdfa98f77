package fleet

import (
	"cmp"
	"slices"
	"time"
)

const (
	// starvedAfter is how long a requested model may have no engine before a busy model
	// gives up a replica that it does not need. Memory usually becomes idle sooner, and that
	// costs the busy model nothing.
	starvedAfter = 5 * time.Second
	// spareInterval is the minimum time between two such evictions: each moves a busy
	// model's requests to its other engines, and the effect on them is visible within a
	// second.
	spareInterval = time.Second
)

// trackMissing records since when each requested model has had no engine.
func (p *Planner) trackMissing(now time.Time) {
	for name, m := range p.models {
		switch {
		case p.survey.holders[name] > 0 || now.Sub(m.askedAt) > recentDemand:
			m.missingSince = time.Time{}
		case m.missingSince.IsZero():
			m.missingSince = now
		}
	}
}

// starved reports whether a model has been requested without an engine for starvedAfter or
// longer.
func (p *Planner) starved(now time.Time, name string) bool {
	m, known := p.models[name]
	return known && !m.missingSince.IsZero() && now.Sub(m.missingSince) >= starvedAfter
}

// spareable returns the models of an engine that are in use and may still be evicted, by
// rising request rate: their other engines suffice for the request rate, and have free slots
// now for what runs here. Without the first condition the model gets the engine back a
// moment later; without the second its requests wait. Without such evictions, when models in
// constant use occupy all memory, some of them with a second replica left from an earlier
// peak, a model is requested without success for as long as that lasts.
func (p *Planner) spareable(now time.Time, e *engine) []victim {
	if now.Sub(p.lastSpared) < spareInterval {
		return nil
	}
	var out []victim
	for name := range e.held {
		_, waited := p.survey.longestWait[name]
		others := float64(p.survey.holders[name]-1) - p.lostReplicas(now, name) + p.replicaLoss(e, name)
		rate := p.foreseenRate(now, name)
		if waited || p.survey.holders[name] < 2 || rate > others*p.ratePerReplica(name) || !p.othersCanTakeOver(e, name) {
			continue
		}
		cost := p.weightedRate(now, name)
		if p.tight(now, name) {
			cost += tightCost
		}
		out = append(out, victim{name, cost})
	}
	slices.SortFunc(out, func(a, b victim) int { return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.name, b.name)) })
	return out
}

// othersCanTakeOver reports whether a model's other engines can run what one engine runs of
// it without becoming crowded.
func (p *Planner) othersCanTakeOver(e *engine, name string) bool {
	slots := 0.0
	for _, o := range p.survey.holding[name] {
		if o != e && o.has(Want{Model: name}) && !o.ep.Leaving {
			slots += max(p.cfg.Crowded*p.places(o)-float64(o.running), 0)
		}
	}
	return float64(e.runningOf(name)) < slots
}

// placeStarved frees memory for a starved model on an engine that has a copy of it and a
// model in use that can be evicted.
func (p *Planner) placeStarved(now time.Time, name string, w *Work) {
	if !p.mayLoad(now, Want{Model: name}) {
		return
	}
	var best *engine
	var lowest victim
	for e := range p.copies.engines(name) {
		eng, m := p.spec(e, name)
		if m == nil || !e.usable(now) || e.order != nil || !e.known || e.needsReport {
			continue
		}
		for _, v := range p.spareable(now, e) {
			freed := p.capacity(now, e, eng).free + eng.Models[v.name].Megabytes
			if freed < m.Megabytes {
				continue
			}
			if best == nil || v.cost < lowest.cost || (v.cost == lowest.cost && e.ep.ID < best.ep.ID) {
				best, lowest = e, v
			}
			break
		}
	}
	if best == nil {
		return
	}
	p.lastSpared = now
	p.issue(now, best, Order{Op: Unload, Want: Want{Model: lowest.name}, Reason: "its other engines are enough; makes way for " + name + p.waitingSummary(name)}, unloadTime, w)
}

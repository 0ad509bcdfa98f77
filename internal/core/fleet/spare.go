package fleet

import (
	"cmp"
	"slices"
	"time"
)

const (
	// starvedAfter is how long a model that is asked for may have no engine before a busy
	// model gives one up that it has to spare. A place that gets idle comes sooner on most
	// days, and costs the busy model nothing.
	starvedAfter = 5 * time.Second
	// sparePause is the least time between two such places: each moves a busy model's requests
	// to its other engines, and what that does to them shows within a second.
	sparePause = time.Second
)

// noteStarved keeps since when each model that is asked for has had no engine.
func (p *Planner) noteStarved(now time.Time) {
	for name, m := range p.models {
		switch {
		case p.look.holders[name] > 0 || now.Sub(m.asked) > askedLately:
			m.missing = time.Time{}
		case m.missing.IsZero():
			m.missing = now
		}
	}
}

// starved reports whether a model has been asked for in vain for long.
func (p *Planner) starved(now time.Time, name string) bool {
	m, known := p.models[name]
	return known && !m.missing.IsZero() && now.Sub(m.missing) >= starvedAfter
}

// spare returns the models of an engine that are in use and could make way all the same,
// the least asked for first: their other engines are enough by the rate at which they are
// asked for, and have room now for what runs here. Without the first condition the model
// gets the engine back a moment later; without the second its requests wait. Symptom without
// such models: every place is taken by models in use all the time, some of them in two places
// since a crowded moment, and a model is asked for in vain for as long as that lasts.
func (p *Planner) spare(now time.Time, e *engine) []victim {
	if now.Sub(p.spared) < sparePause {
		return nil
	}
	var out []victim
	for name := range e.held {
		_, waited := p.look.oldest[name]
		others := p.look.holders[name] - 1
		rate := p.rate(now, name)
		if waited || others < 1 || rate > float64(others)*p.ratePerReplica(name) || !p.takesOver(e, name) {
			continue
		}
		out = append(out, victim{name, rate})
	}
	slices.SortFunc(out, func(a, b victim) int { return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.name, b.name)) })
	return out
}

// takesOver reports whether a model's other engines can take what runs of it at one without
// becoming crowded.
func (p *Planner) takesOver(e *engine, name string) bool {
	room := 0.0
	for _, o := range p.look.holding[name] {
		if o != e && o.has(Want{Model: name}) && !o.ep.Leaving {
			room += max(p.cfg.Crowded*float64(o.ep.Slots)-float64(o.running), 0)
		}
	}
	return float64(e.runningOf(name)) < room
}

// placeStarved makes room for a starved model where a copy of it lies and a model in use can
// be spared.
func (p *Planner) placeStarved(now time.Time, name string, w *Work) {
	if !p.mayLoad(now, Want{Model: name}) {
		return
	}
	var best *engine
	var least victim
	for e := range p.copies.engines(name) {
		eng, m := p.spec(e, name)
		if m == nil || !e.usable(now) || e.order != nil || !e.known || e.doubt {
			continue
		}
		for _, v := range p.spare(now, e) {
			frees := p.room(now, e, eng).free + eng.Models[v.name].Megabytes
			if frees < m.Megabytes {
				continue
			}
			if best == nil || v.cost < least.cost || (v.cost == least.cost && e.ep.ID < best.ep.ID) {
				best, least = e, v
			}
			break
		}
	}
	if best == nil {
		return
	}
	p.spared = now
	p.give(now, best, Order{Op: Unload, Want: Want{Model: least.name}, Reason: "its other engines are enough; makes way for " + name + p.pressure(name)}, unloadTime, w)
}

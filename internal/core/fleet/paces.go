package fleet

import (
	"time"

	"github.com/cassiapass/cassiapass/internal/core/pace"
)

const (
	// shortObjective is the objective below which a model's callers notice a slow engine: first
	// events take some 0.1 s at the usual pace, and more than twice that in a slow moment of a host.
	shortObjective = time.Second
	// objectiveLife is how long after its last report the objective of a model's requests counts.
	objectiveLife = 30 * time.Second
	// slowPenalty is what placing such a model on an engine that takes twice as long costs, in
	// seconds: some requests late in the first second. It is less than a load from the store or an
	// unload costs more than a load from disk, so it decides between engines that are nearly equal.
	slowPenalty = 0.05
	// slowEngine is the pace from which on an engine counts as slow.
	slowEngine = 1.4
)

// shortest is the shortest objective of the requests for a model.
type shortest struct {
	objective time.Duration
	at        time.Time
}

// SetPaces replaces what is known of the pace of endpoints. Those that are not named work at the
// usual pace.
func (p *Planner) SetPaces(paces map[EndpointID]pace.Factor) { p.paces = paces }

// RecordObjectives records the shortest objectives of an entry's requests, by model.
func (p *Planner) RecordObjectives(now time.Time, objectives map[string]time.Duration) {
	if p.objectives == nil {
		p.objectives = map[string]shortest{}
	}
	for name, o := range objectives {
		s := p.objectives[name]
		if o <= 0 || p.dep == nil || o > s.objective && now.Sub(s.at) <= objectiveLife {
			continue
		}
		p.objectives[name] = shortest{o, now}
	}
	for name, s := range p.objectives {
		if now.Sub(s.at) > objectiveLife {
			delete(p.objectives, name)
		}
	}
}

// hurried reports whether callers of a model expect its first event within a short objective.
func (p *Planner) hurried(now time.Time, name string) bool {
	s, known := p.objectives[name]
	return known && s.objective < shortObjective && now.Sub(s.at) <= objectiveLife
}

// pace returns how long work takes at an engine relative to its peers.
func (p *Planner) pace(e *engine) float64 { return p.paces[e.ep.ID].Or() }

// paceCost returns what it costs, in seconds, to place a model on an engine rather than on one of the
// usual pace.
func (p *Planner) paceCost(now time.Time, e *engine, name string) float64 {
	if len(p.paces) == 0 || !p.hurried(now, name) {
		return 0
	}
	return slowPenalty * min(max(p.pace(e)-1, 0), 2)
}

// Engines returns how many engines are listed.
func (p *Planner) Engines() int { return len(p.engines) }

// relieveInterval is the least time between two loads that give a model a faster engine: the effect of
// one is visible within that time.
const relieveInterval = time.Second

// relieveSlow loads a busy model whose callers expect its first event within a short objective on one
// more engine, if only slow ones hold it: on these a part of its requests is late all the time. It costs
// no load from the store and no model that is asked for, and is done for one model at a time. Entries
// then prefer the faster engine, and the slow one's replica becomes idle.
func (p *Planner) relieveSlow(now time.Time, w *Work) {
	if len(p.paces) == 0 || now.Sub(p.relievedAt) < relieveInterval {
		return
	}
	for _, name := range p.survey.busy {
		if !p.hurried(now, name) || !p.onlySlow(now, name) {
			continue
		}
		var best *placement
		for e := range p.copies.engines(name) {
			if p.pace(e) >= slowEngine {
				continue
			}
			if s, ok := p.placement(now, e, name, false); ok && !p.costsDemand(now, name, s) && s.cheaper(best) {
				best = &s
			}
		}
		if best != nil {
			p.relievedAt = now
			p.issuePlacement(now, name, *best, w)
			return
		}
	}
}

// onlySlow reports whether engines hold a model, all of them slow, and no other loads it.
func (p *Planner) onlySlow(now time.Time, name string) bool {
	base, held := Want{Model: name}, false
	for _, e := range p.survey.holding[name] {
		if !e.has(base) || !e.usable(now) {
			continue
		}
		if p.pace(e) < slowEngine {
			return false
		}
		held = true
	}
	return held && len(p.survey.loading[base]) == 0
}

// costsDemand reports whether a placement evicts a model that no other engine holds and that has been
// asked for.
func (p *Planner) costsDemand(now time.Time, name string, s placement) bool {
	eng, m := p.spec(s.e, name)
	r := p.capacity(now, s.e, eng)
	free := r.free
	for _, v := range r.victims {
		if free >= m.Megabytes {
			break
		}
		if p.survey.holders[v.name] < 2 && p.rate(now, v.name) >= minListedRate {
			return true
		}
		free += eng.Models[v.name].Megabytes
	}
	return false
}

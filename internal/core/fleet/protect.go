package fleet

import "time"

const (
	// tightCost orders models that one loss would leave short after all others where a model in
	// use must go. It is larger than any request rate.
	tightCost = 1e6
	// soleCopyCost is the cost, in seconds, of a load from the store on an engine for each model of
	// which it has the only copy: its disk may drop one for the new copy.
	soleCopyCost = 0.5
)

// tight reports whether a busy model that gives up one engine and loses another would be left
// with less than its requests need.
func (p *Planner) tight(now time.Time, name string) bool {
	if p.foresight == nil {
		return false
	}
	rate := p.foreseenRate(now, name)
	return rate >= busyRate && rate > float64(p.survey.holders[name]-2)*p.ratePerReplica(name)/p.cfg.Crowded
}

// mendUnheld loads busy models that no engine serves any more, before a request waits for them: their
// engines leave, pause or have ended. It takes no memory from other models; serve does, once requests
// wait.
func (p *Planner) mendUnheld(now time.Time, w *Work) {
	if p.foresight == nil {
		return
	}
	for _, name := range p.survey.busy {
		holders, _ := p.replicas(now, name)
		if _, waits := p.survey.longestWait[name]; waits || holders > 0 {
			continue
		}
		var best *placement
		for e := range p.copies.engines(name) {
			if s, ok := p.placement(now, e, name, false); ok && s.victim == "" && s.cheaper(best) {
				best = &s
			}
		}
		if best != nil {
			p.issuePlacement(now, name, *best, w)
		}
	}
}

// copiesAtRisk returns the cost of a load from the store on an engine for the models of which it has
// the only usable copy.
func (p *Planner) copiesAtRisk(now time.Time, e *engine) float64 {
	if p.foresight == nil {
		return 0
	}
	if cost, known := p.survey.copiesAtRisk[e]; known {
		return cost
	}
	cost := 0.0
	for _, name := range e.copyNames {
		if p.soleUsableCopy(now, e, name) {
			cost += soleCopyCost
		}
	}
	p.survey.copiesAtRisk[e] = cost
	return cost
}

// slotsByCopy returns the slots of the largest engine that has a copy of a model.
func (p *Planner) slotsByCopy(name string) int {
	slots := 0
	if p.foresight != nil {
		for e := range p.copies.engines(name) {
			slots = max(slots, e.ep.Slots)
		}
	}
	return slots
}

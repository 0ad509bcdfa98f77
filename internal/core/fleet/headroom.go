package fleet

import "time"

// keepHeadroom frees memory on one more engine ahead of demand while too few engines have
// enough for the largest model. It evicts the model that costs least to lose over all
// engines, so that a cold start waits for no unload.
func (p *Planner) keepHeadroom(now time.Time, w *Work) {
	ready, engines := p.headroom(now)
	if float64(ready) >= p.cfg.Headroom*float64(engines) {
		return
	}
	if e, v := p.cheapestVictim(now); e != nil {
		p.issue(now, e, Order{Op: Unload, Want: Want{Model: v.name}, Reason: "makes way ahead of demand"}, unloadTime, w)
	}
}

// headroom returns how many engines have enough free memory for any model, or soon will, and how
// many there are.
func (p *Planner) headroom(now time.Time) (ready, engines int) {
	for _, e := range p.engines {
		eng, _ := p.spec(e, "")
		if eng == nil || !e.usable(now) {
			continue
		}
		engines++
		if e.order == nil && p.free(e, eng) >= p.survey.limitsOf(eng).largest || e.order != nil && e.order.Op == Unload {
			ready++
		}
	}
	return ready, engines
}

// cheapestVictim returns the model that costs least to lose and the engine that would evict
// it; nil if there is none.
func (p *Planner) cheapestVictim(now time.Time) (*engine, victim) {
	var best *engine
	var lowest victim
	for _, e := range p.engines {
		eng, _ := p.spec(e, "")
		if eng == nil || !e.usable(now) || e.order != nil || !e.known || e.needsReport || p.free(e, eng) >= p.survey.limitsOf(eng).largest {
			continue
		}
		vs := p.capacity(now, e, eng).victims
		if len(vs) == 0 {
			continue
		}
		if v := vs[0]; best == nil || v.cost < lowest.cost || (v.cost == lowest.cost && e.ep.ID < best.ep.ID) {
			best, lowest = e, v
		}
	}
	return best, lowest
}

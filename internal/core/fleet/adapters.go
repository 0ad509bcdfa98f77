package fleet

import "time"

// placeAdapter loads an adapter on the least loaded engine that holds its model.
func (p *Planner) placeAdapter(now time.Time, want Want, w *Work) {
	if !p.mayLoad(now, want) {
		return
	}
	var best *engine
	bestCost := 0.0
	for _, e := range p.survey.holding[want.Model] {
		eng, m := p.spec(e, want.Model)
		// A crowded engine that holds the adapter does not satisfy the demand, but must not
		// be ordered to load it again: that has no effect and would repeat every 20 ms.
		if m == nil || !e.has(Want{Model: want.Model}) || e.has(want) || !e.usable(now) || e.order != nil || !e.known || e.needsReport {
			continue
		}
		cost := float64(e.running)/max(p.places(e), 1) + float64(e.adapterCount())/float64(max(eng.AdapterSlots, 1))
		if e.adapterCount() >= eng.AdapterSlots {
			if _, ok := p.lruAdapter(now, e); !ok {
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
	if best.adapterCount() >= eng.AdapterSlots {
		old, _ := p.lruAdapter(now, best)
		p.issue(now, best, Order{Op: Unload, Want: old, Reason: "makes way for " + want.Model + "/" + want.Adapter}, unloadTime, w)
		return
	}
	p.issue(now, best, Order{Op: Load, Want: want, Reason: "adapter" + p.waitingSummary(want.Model)}, adapterLoadTime, w)
}

// lruAdapter returns the least recently used idle adapter of an engine.
func (p *Planner) lruAdapter(now time.Time, e *engine) (Want, bool) {
	var best Want
	var at time.Time
	for name, h := range e.held {
		for a, used := range h.adapters {
			w := Want{Model: name, Adapter: a}
			if e.runningByWant[w] > 0 || p.wants[w] != nil || now.Sub(used) < adapterIdleTime {
				continue
			}
			if best.Model == "" || used.Before(at) || (used.Equal(at) && a < best.Adapter) {
				best, at = w, used
			}
		}
	}
	return best, best.Model != ""
}

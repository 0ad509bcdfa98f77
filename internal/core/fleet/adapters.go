package fleet

import "time"

// placeAdapter loads an adapter at the least loaded engine that holds its model.
func (p *Planner) placeAdapter(now time.Time, want Want, w *Work) {
	if !p.mayLoad(now, want) {
		return
	}
	var best *engine
	bestCost := 0.0
	for _, e := range p.look.holding[want.Model] {
		eng, m := p.spec(e, want.Model)
		// A crowded engine that has the adapter is no answer: ordered to load it
		// again it would do nothing, every 20 ms.
		if m == nil || !e.has(Want{Model: want.Model}) || e.has(want) || !e.usable(now) || e.order != nil || !e.known || e.doubt {
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

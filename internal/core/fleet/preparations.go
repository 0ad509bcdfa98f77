package fleet

import (
	"fmt"
	"slices"
	"time"
)

const (
	// preparedStoreInterval is the time in which one more preparation from the store is allowed,
	// and preparedStoreBurst how many of them may be saved up: the loads that demand calls for
	// need the store and the engines.
	preparedStoreInterval = 25 * time.Second
	preparedStoreBurst    = 4
	// lastSlotCost is the foreseen cost from which a preparation may take the only slot of the store
	// that is free: a load that requests call for meanwhile would end up to one load later, and keeps
	// some two requests a second waiting.
	lastSlotCost = 20.0
	// preparedPause is how long a model gets no further preparation after one. Reports show its
	// effect, and the demand whether it was right.
	preparedPause = 10 * time.Second
	// spreadCost is the cost, in seconds, of a preparation where all engines with the model share a
	// host or zone with it: more than engines differ in otherwise, as a prepared copy is there for
	// what takes the others.
	spreadCost = 5.0
	// preparedUnusedAfter is how long after its load a preparation counts as a wrong guess if no
	// request used it.
	preparedUnusedAfter = 30 * time.Second
)

// Prepared is a load that was ordered for a loss that may come.
type Prepared struct {
	Order
	Loss string  // for which it was ordered
	Cost float64 // requests that would find no room after the loss
}

// Foreseen is the result of an examination of what losses would cost.
type Foreseen struct {
	Short int // models that the worst single loss would leave short
}

// preparations are the loads that were ordered for losses.
type preparations struct {
	fromStore []time.Time // when those of the store were ordered
	lastAt    map[preparation]time.Time
	unjudged  []Prepared
	judgeAt   []time.Time // by which each of unjudged must have been used
}

// preparation is what was prepared for a model: a copy from the store, or a replica from a copy.
type preparation struct {
	model     string
	fromStore bool
}

// prepareOne issues the preparation for the costliest shortfall that allows one.
func (p *Planner) prepareOne(now time.Time, w *Work) {
	f := p.foresight
	for _, s := range f.shortfalls {
		best := p.preparationFor(now, s)
		if best == nil {
			continue
		}
		reason := fmt.Sprintf("prepared for the loss of %s, which would cost %.0f requests", s.loss, s.cost)
		p.issue(now, best.e, Order{Op: Load, Want: Want{Model: s.model}, Source: best.source, Reason: reason}, best.loadTime, w)
		o := w.Orders[len(w.Orders)-1]
		w.Prepared = append(w.Prepared, Prepared{o, s.loss.String(), s.cost})
		f.preparing.record(now, Prepared{o, s.loss.String(), s.cost}, best.loadTime)
		return
	}
}

// preparationFor returns what to load for a shortfall; nil if nothing can be done now.
func (p *Planner) preparationFor(now time.Time, s shortfall) *placement {
	if len(p.survey.loading[Want{Model: s.model}]) > 0 {
		return nil
	}
	r := &p.foresight.preparing
	if best := p.preparedReplica(now, s); best != nil && r.rested(now, preparation{s.model, false}) {
		return best
	}
	// Copies that were lost a moment ago may return with their engine.
	returning := now.Sub(p.copyLostAt[s.model]) < returnWindow
	if s.fromStore && !returning && p.storeIdle(now, s.cost) && r.mayUseStore(now) && r.rested(now, preparation{s.model, true}) {
		return p.preparedCopy(now, s)
	}
	return nil
}

// rested reports whether long enough has passed since the last preparation of a kind.
func (r *preparations) rested(now time.Time, of preparation) bool {
	return now.Sub(r.lastAt[of]) >= preparedPause
}

// storeIdle reports whether nothing loads from the store or waits for it, and it has a slot for a
// preparation of a foreseen cost. An engine whose state is unsettled may load for a former leader.
func (p *Planner) storeIdle(now time.Time, cost float64) bool {
	free := p.store.freeSlots(false)
	if p.store.inFlight > 0 || len(p.survey.storeQueue) > 0 || free <= 0 || free == 1 && cost < lastSlotCost {
		return false
	}
	for _, e := range p.engines {
		if eng, _ := p.spec(e, ""); eng != nil && e.usable(now) && e.order == nil && (!e.known || e.needsReport) {
			return false
		}
	}
	return true
}

// preparedReplica returns where a model gets one more replica from a copy into memory that is free
// and not needed as headroom; nil if nowhere.
func (p *Planner) preparedReplica(now time.Time, s shortfall) *placement {
	if !p.headroomToSpare(now) {
		return nil
	}
	return p.bestPreparation(now, s, func(yield func(*engine) bool) {
		for e := range p.copies.engines(s.model) {
			if !yield(e) {
				return
			}
		}
	}, false)
}

// preparedCopy returns where a model gets another copy from the store; nil if nowhere.
func (p *Planner) preparedCopy(now time.Time, s shortfall) *placement {
	return p.bestPreparation(now, s, slices.Values(p.survey.free), true)
}

// bestPreparation returns the cheapest placement of a model on one of engines that takes no
// memory from another model, and that the foreseen loss leaves, if there is any.
func (p *Planner) bestPreparation(now time.Time, s shortfall, engines func(func(*engine) bool), fromStore bool) *placement {
	var best *placement
	places, n := p.placesOf(s.model)
	for e := range engines {
		c, ok := p.placement(now, e, s.model, fromStore)
		if !ok || c.victim != "" || (c.source == FromStore) != fromStore || s.loss.takes(e) {
			continue
		}
		for _, l := range lossesOf(e) {
			c.cost += spreadCost * float64(places[l]) / float64(max(n, 1))
		}
		if c.cheaper(best) {
			best = &c
		}
	}
	return best
}

// placesOf returns how many engines that hold a model or have a copy of it each loss would take,
// and how many there are.
func (p *Planner) placesOf(name string) (byLoss map[loss]int, n int) {
	byLoss = map[loss]int{}
	count := func(e *engine) {
		n++
		for _, l := range lossesOf(e) {
			byLoss[l]++
		}
	}
	for _, e := range p.survey.holding[name] {
		count(e)
	}
	for e := range p.copies.engines(name) {
		if _, held := e.held[name]; !held {
			count(e)
		}
	}
	return byLoss, n
}

// takes reports whether a loss would take an engine.
func (l loss) takes(e *engine) bool {
	of := lossesOf(e)
	return slices.Contains(of[:], l)
}

// headroomToSpare reports whether more engines than keepHeadroom keeps are able to load any model.
func (p *Planner) headroomToSpare(now time.Time) bool {
	ready, engines := p.headroom(now)
	return float64(ready-1) >= p.cfg.Headroom*float64(engines)
}

// mayUseStore reports whether one more preparation from the store is allowed now.
func (r *preparations) mayUseStore(now time.Time) bool {
	r.fromStore = slices.DeleteFunc(r.fromStore, func(at time.Time) bool {
		return now.Sub(at) >= preparedStoreBurst*preparedStoreInterval
	})
	return len(r.fromStore) < preparedStoreBurst
}

func (r *preparations) record(now time.Time, done Prepared, loadTime time.Duration) {
	if r.lastAt == nil {
		r.lastAt = map[preparation]time.Time{}
	}
	for of, at := range r.lastAt {
		if now.Sub(at) >= preparedPause {
			delete(r.lastAt, of)
		}
	}
	r.lastAt[preparation{done.Want.Model, done.Source == FromStore}] = now
	if done.Source == FromStore {
		r.fromStore = append(r.fromStore, now)
	}
	r.unjudged = append(r.unjudged, done)
	r.judgeAt = append(r.judgeAt, now.Add(loadTime+preparedUnusedAfter))
}

// judge reports the preparations that no request used in time, and forgets those that one did.
func (r *preparations) judge(now time.Time, p *Planner, w *Work) {
	kept := 0
	for i, done := range r.unjudged {
		e := p.engines[done.Endpoint]
		switch {
		case e == nil || e.runningOf(done.Want.Model) > 0:
		case !now.Before(r.judgeAt[i]):
			w.Unused = append(w.Unused, done)
		default:
			r.unjudged[kept], r.judgeAt[kept] = done, r.judgeAt[i]
			kept++
		}
	}
	r.unjudged, r.judgeAt = r.unjudged[:kept], r.judgeAt[:kept]
}

package lab

import (
	"maps"
	"slices"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/deploy"
	"github.com/cassiapass/cassiapass/internal/core/fleet"
)

// engine is an emulated model engine.
type engine struct {
	ep            fleet.Endpoint
	spec          *deploy.Engine
	held          map[string]map[string]bool // model to adapters
	memory        []string                   // models copied in the host's memory, newest last
	disk          map[string]bool
	sequence      uint64
	order         *runningOrder
	active        []*request
	queue         []*request
	number        int
	slowness      float64 // by how much longer work takes there now
	overcommitted bool    // an order exceeded its memory or its adapter slots
}

// runningOrder is a load or unload of weights in progress.
type runningOrder struct {
	fleet.Order
	doneAt time.Duration
}

const (
	unloadDuration  = 200 * time.Millisecond
	adapterDuration = 6 * time.Millisecond
	maxMemoryCopies = 2 // models whose copies fit in the host's memory
)

// handleOrder answers an order as an engine does: it carries out one load or unload of
// weights at a time, checks the sequence number, and applies adapter orders immediately.
func (e *engine) handleOrder(now time.Duration, o fleet.Order, store *store) fleet.Answer {
	if o.Expected != e.sequence || e.order != nil {
		return fleet.Busy
	}
	adapters, holds := e.held[o.Want.Model]
	switch {
	case o.Want.Adapter != "" && !holds:
		return fleet.Rejected
	case o.Want.Adapter != "":
		return e.handleAdapterOrder(o, adapters)
	case o.Op == fleet.Load && holds, o.Op == fleet.Unload && !holds:
		return fleet.Holds
	}
	e.sequence++
	e.order = &runningOrder{Order: o, doneAt: now + unloadDuration}
	if o.Op == fleet.Load {
		e.order.doneAt = now + e.loadTime(now, o.Want.Model, store)
		e.overcommitted = e.overcommitted || e.heldMegabytes()+e.spec.Models[o.Want.Model].Megabytes > e.spec.ModelMegabytes
	}
	return fleet.Accepted
}

func (e *engine) handleAdapterOrder(o fleet.Order, adapters map[string]bool) fleet.Answer {
	has := adapters[o.Want.Adapter]
	if has == (o.Op == fleet.Load) {
		return fleet.Holds
	}
	e.sequence++
	if o.Op == fleet.Unload {
		delete(adapters, o.Want.Adapter)
		return fleet.Holds
	}
	adapters[o.Want.Adapter] = true
	adapterCount := 0
	for _, as := range e.held {
		adapterCount += len(as)
	}
	e.overcommitted = e.overcommitted || adapterCount > e.spec.AdapterSlots
	return fleet.Accepted
}

func (e *engine) loadTime(now time.Duration, name string, store *store) time.Duration {
	m := e.spec.Models[name]
	switch {
	case slices.Contains(e.memory, name):
		return m.FromMemory
	case e.disk[name]:
		return m.FromDisk
	}
	return store.load(now, m.FromStore)
}

func (e *engine) heldMegabytes() int64 {
	var sum int64
	for name := range e.held {
		sum += e.spec.Models[name].Megabytes
	}
	return sum
}

// finishOrder completes the order in progress once its duration has passed. An unload
// also waits for the running requests of its model.
func (e *engine) finishOrder(now time.Duration) {
	o := e.order
	if o == nil || now < o.doneAt {
		return
	}
	name := o.Want.Model
	if o.Op == fleet.Load {
		e.held[name] = map[string]bool{}
		e.disk[name] = true
		e.memory = append(slices.DeleteFunc(e.memory, func(m string) bool { return m == name }), name)
		e.memory = e.memory[max(0, len(e.memory)-maxMemoryCopies):]
		e.order = nil
		return
	}
	if slices.ContainsFunc(e.active, func(r *request) bool { return r.want.Model == name }) {
		return
	}
	delete(e.held, name)
	e.order = nil
}

// report returns the current state of the engine; the caller adds the usual delay.
func (e *engine) report() fleet.Report {
	return fleet.Report{Busy: e.order != nil, Sequence: e.sequence, Held: e.heldModels(), Copies: e.copies(), Queued: len(e.queue), Active: len(e.active)}
}

func (e *engine) heldModels() []fleet.Held {
	var out []fleet.Held
	for _, m := range slices.Sorted(maps.Keys(e.held)) {
		out = append(out, fleet.Held{Model: m, Version: 1, Adapters: slices.Sorted(maps.Keys(e.held[m]))})
	}
	return out
}

func (e *engine) copies() fleet.Copies {
	return fleet.Copies{Memory: slices.Clone(e.memory), Disk: slices.Sorted(maps.Keys(e.disk))}
}

func (e *engine) listEntry() fleet.Endpoint {
	ep := e.ep
	ep.Held, ep.Copies = e.heldModels(), e.copies()
	return ep
}

// canRun reports whether the engine can run a request for w now.
func (e *engine) canRun(w fleet.Want) bool {
	adapters, ok := e.held[w.Model]
	if ok && e.order != nil && e.order.Op == fleet.Unload && e.order.Want.Model == w.Model {
		return false
	}
	return ok && (w.Adapter == "" || adapters[w.Adapter])
}

// runBatch runs the batch for one tick and returns the requests that produced their first
// token and those that ended.
func (e *engine) runBatch(now, tick time.Duration) (first, ended []*request) {
	for len(e.active) < e.spec.Slots && len(e.queue) > 0 {
		e.active, e.queue = append(e.active, e.queue[0]), e.queue[1:]
	}
	decode := tick - e.prefill(now, tick, &first)
	step := time.Duration(e.slowness * float64(stepTime+time.Duration(len(e.active))*stepPerSlot))
	e.active = slices.DeleteFunc(e.active, func(r *request) bool {
		if r.firstTokenAt == 0 {
			return false
		}
		r.output -= float64(decode) / (float64(step) * r.stepScale)
		if r.output > 0 {
			return false
		}
		ended = append(ended, r)
		return true
	})
	return first, ended
}

// prefill processes prompts in order of arrival and returns the time spent.
func (e *engine) prefill(now, tick time.Duration, first *[]*request) time.Duration {
	limit := time.Duration(float64(tick) * prefillShare)
	var spent time.Duration
	for _, r := range e.active {
		if r.firstTokenAt != 0 || spent >= limit {
			continue
		}
		scale := r.stepScale * e.slowness
		need := time.Duration(r.prompt / tokensPerMS * float64(time.Millisecond) * scale)
		if done := min(need, limit-spent); done < need {
			r.prompt -= tokensPerMS * done.Seconds() * 1000 / scale
			spent = limit
			continue
		}
		spent += need
		r.prompt, r.firstTokenAt = 0, now+time.Duration(e.slowness*float64(firstTokenDelay))
		*first = append(*first, r)
	}
	return spent
}

// store is the weight store that all engines share.
type store struct {
	maxFullSpeed int // concurrent loads at full speed
	until        []time.Duration
	loadCount    int
}

// load starts a load and returns its duration, which grows in proportion once more
// loads run than the store serves at full speed.
func (s *store) load(now, duration time.Duration) time.Duration {
	s.until = slices.DeleteFunc(s.until, func(t time.Duration) bool { return t <= now })
	s.loadCount++
	if n := len(s.until) + 1; n > s.maxFullSpeed {
		duration = duration * time.Duration(n) / time.Duration(s.maxFullSpeed)
	}
	s.until = append(s.until, now+duration)
	return duration
}

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
	ep       fleet.Endpoint
	spec     *deploy.Engine
	held     map[string]map[string]bool // model to adapters
	memory   []string                   // copies in the host's memory, the newest last
	disk     map[string]bool
	sequence uint64
	order    *carrying
	active   []*request
	queue    []*request
	overfull bool // it was ordered to hold more than fits
}

// carrying is an order of weights that is being carried out.
type carrying struct {
	fleet.Order
	until time.Duration
}

const (
	unloadTime   = 200 * time.Millisecond
	adapterTime  = 6 * time.Millisecond
	memoryCopies = 2 // models that fit the host's memory
)

// take answers an order as engines do: one of weights at a time, by its sequence
// number; adapters at once.
func (e *engine) take(now time.Duration, o fleet.Order, store *store) fleet.Answer {
	if o.Expected != e.sequence || e.order != nil {
		return fleet.Busy
	}
	adapters, holds := e.held[o.Want.Model]
	switch {
	case o.Want.Adapter != "" && !holds:
		return fleet.Rejected
	case o.Want.Adapter != "":
		return e.takeAdapter(o, adapters)
	case o.Op == fleet.Load && holds, o.Op == fleet.Unload && !holds:
		return fleet.Holds
	}
	e.sequence++
	e.order = &carrying{Order: o, until: now + unloadTime}
	if o.Op == fleet.Load {
		e.order.until = now + e.loadTime(now, o.Want.Model, store)
		e.overfull = e.overfull || e.weights()+e.spec.Models[o.Want.Model].Megabytes > e.spec.Weights
	}
	return fleet.Accepted
}

func (e *engine) takeAdapter(o fleet.Order, adapters map[string]bool) fleet.Answer {
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
	places := 0
	for _, as := range e.held {
		places += len(as)
	}
	e.overfull = e.overfull || places > e.spec.AdapterPlaces
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

func (e *engine) weights() int64 {
	var sum int64
	for name := range e.held {
		sum += e.spec.Models[name].Megabytes
	}
	return sum
}

// settle ends the order under way when its time has come. An unload waits for
// the requests that run.
func (e *engine) settle(now time.Duration) {
	o := e.order
	if o == nil || now < o.until {
		return
	}
	name := o.Want.Model
	if o.Op == fleet.Load {
		e.held[name] = map[string]bool{}
		e.disk[name] = true
		e.memory = append(slices.DeleteFunc(e.memory, func(m string) bool { return m == name }), name)
		e.memory = e.memory[max(0, len(e.memory)-memoryCopies):]
		e.order = nil
		return
	}
	if slices.ContainsFunc(e.active, func(r *request) bool { return r.want.Model == name }) {
		return
	}
	delete(e.held, name)
	e.order = nil
}

// report is the engine's word on its state, without the usual lag.
func (e *engine) report() fleet.Report {
	return fleet.Report{Busy: e.order != nil, Sequence: e.sequence, Held: e.holds(), Copies: e.copies(), Queued: len(e.queue), Active: len(e.active)}
}

func (e *engine) holds() []fleet.Held {
	var out []fleet.Held
	for _, m := range slices.Sorted(maps.Keys(e.held)) {
		out = append(out, fleet.Held{Model: m, Version: 1, Adapters: slices.Sorted(maps.Keys(e.held[m]))})
	}
	return out
}

func (e *engine) copies() fleet.Copies {
	return fleet.Copies{Memory: slices.Clone(e.memory), Disk: slices.Sorted(maps.Keys(e.disk))}
}

func (e *engine) listed() fleet.Endpoint {
	ep := e.ep
	ep.Held, ep.Copies = e.holds(), e.copies()
	return ep
}

// has reports whether a request can run here now.
func (e *engine) has(w fleet.Want) bool {
	adapters, ok := e.held[w.Model]
	if ok && e.order != nil && e.order.Op == fleet.Unload && e.order.Want.Model == w.Model {
		return false
	}
	return ok && (w.Adapter == "" || adapters[w.Adapter])
}

// work runs the batch for one tick and returns the requests that made their first
// token, and those that ended.
func (e *engine) work(now, tick time.Duration) (first, ended []*request) {
	for len(e.active) < e.spec.Slots && len(e.queue) > 0 {
		e.active, e.queue = append(e.active, e.queue[0]), e.queue[1:]
	}
	decode := tick - e.prefill(now, tick, &first)
	step := stepTime + time.Duration(len(e.active))*stepPerSlot
	e.active = slices.DeleteFunc(e.active, func(r *request) bool {
		if r.begun == 0 {
			return false
		}
		r.output -= float64(decode) / (float64(step) * r.pace)
		if r.output > 0 {
			return false
		}
		ended = append(ended, r)
		return true
	})
	return first, ended
}

// prefill reads prompts, in order of arrival, and returns the time spent.
func (e *engine) prefill(now, tick time.Duration, first *[]*request) time.Duration {
	limit := time.Duration(float64(tick) * prefillShare)
	var spent time.Duration
	for _, r := range e.active {
		if r.begun != 0 || spent >= limit {
			continue
		}
		need := time.Duration(r.prompt / tokensPerMS * float64(time.Millisecond) * r.pace)
		if done := min(need, limit-spent); done < need {
			r.prompt -= tokensPerMS * done.Seconds() * 1000 / r.pace
			spent = limit
			continue
		}
		spent += need
		r.prompt, r.begun = 0, now+firstDelay
		*first = append(*first, r)
	}
	return spent
}

// store is the weight store that all engines load from.
type store struct {
	full  int // loads that it serves at full speed
	until []time.Duration
	loads int
}

// load begins a load and returns how long it takes: longer in proportion while
// more run than the store serves at full speed.
func (s *store) load(now, takes time.Duration) time.Duration {
	s.until = slices.DeleteFunc(s.until, func(t time.Duration) bool { return t <= now })
	s.loads++
	if n := len(s.until) + 1; n > s.full {
		takes = takes * time.Duration(n) / time.Duration(s.full)
	}
	s.until = append(s.until, now+takes)
	return takes
}

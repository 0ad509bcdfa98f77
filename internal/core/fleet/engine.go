package fleet

import (
	"slices"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/deploy"
)

// engine is what the planner knows of one endpoint.
type engine struct {
	ep            Endpoint
	copies        map[string]Source // model to the quickest place that ep.Copies names
	copiesChanged bool              // since they were indexed
	held          map[string]*held
	sequence      uint64
	known         bool               // sequence was reported
	doubt         bool               // a report is needed before the next order
	sure          bool               // the newest order was accepted: every earlier one is barred by its number
	moved         time.Time          // when an order was last seen that was not given by this planner
	verify        time.Time          // when to ask for a report that confirms what was assumed
	added         map[Want]time.Time // what was loaded by order, and when
	asked         time.Time
	asking        bool
	order         *underway
	late          []late    // orders without an answer that may still be carried out
	inherited     []late    // of earlier starts of this process
	touched       time.Time // newest order or report
	shunned       time.Time // not to be used before
	running       int
	runs          map[Want]int
	loaded        lastLoad // the newest load that it was ordered
}

// held is one model that the engine holds.
type held struct {
	version  int
	used     time.Time
	adapters map[string]time.Time // to its last use
}

// underway is an order that was given and is not known to have ended.
type underway struct {
	Order
	given    time.Time
	takes    time.Duration
	accepted bool
	inferred bool      // from the sequence number alone
	due      time.Time // when a report should show its effect
	area     float64   // storePace.area when it was given
}

func newEngine(ep Endpoint, now time.Time) *engine {
	e := &engine{ep: ep, held: map[string]*held{}, added: map[Want]time.Time{}, runs: map[Want]int{}}
	e.setCopies(ep.Copies)
	e.hold(ep.Held, now)
	return e
}

// keepAdded is how long what was loaded by order stays held although a report
// lacks it: some values of a report lag by some 100 ms behind others, the
// sequence number among them.
const keepAdded = 500 * time.Millisecond

// hold replaces what the engine holds by what was reported when it was asked at the
// given time, and reports whether that is a change. What was loaded only just before
// that is kept: dropped from the count, it would let the next order overfill the engine.
func (e *engine) hold(hs []Held, asked time.Time) bool {
	next := make(map[string]*held, len(hs))
	for _, h := range hs {
		n := &held{version: h.Version, adapters: make(map[string]time.Time, len(h.Adapters))}
		for _, a := range h.Adapters {
			n.adapters[a] = asked
		}
		next[h.Model] = n
	}
	e.keepNew(next, asked)
	change := len(next) != len(e.held)
	for name, n := range next {
		old, known := e.held[name]
		if !known {
			n.used, change = asked, true
			continue
		}
		n.used = old.used
		change = change || len(n.adapters) != len(old.adapters)
		for a := range n.adapters {
			at, had := old.adapters[a]
			if had {
				n.adapters[a] = at
			}
			change = change || !had
		}
	}
	e.held = next
	return change
}

// keepNew adds to next what was loaded only just before the engine was asked, or since.
func (e *engine) keepNew(next map[string]*held, asked time.Time) {
	for w, at := range e.added {
		old := e.held[w.Model]
		if asked.Sub(at) > keepAdded || old == nil {
			delete(e.added, w)
			continue
		}
		n, known := next[w.Model]
		if !known && w.Adapter == "" {
			next[w.Model] = old
			continue
		}
		if known && w.Adapter != "" {
			n.adapters[w.Adapter] = at
		}
	}
}

// public returns the endpoint as entries should know it. A model that is being
// unloaded is left out, so that no request races with the order.
func (e *engine) public() Endpoint {
	out := e.ep
	out.Copies = Copies{}
	out.Held = nil
	for name, h := range e.held {
		if e.unloading(Want{Model: name}) {
			continue
		}
		p := Held{Model: name, Version: h.version}
		for a := range h.adapters {
			if !e.unloading(Want{Model: name, Adapter: a}) {
				p.Adapters = append(p.Adapters, a)
			}
		}
		slices.Sort(p.Adapters)
		out.Held = append(out.Held, p)
	}
	slices.SortFunc(out.Held, func(a, b Held) int {
		if a.Model < b.Model {
			return -1
		}
		return 1
	})
	return out
}

func (e *engine) unloading(w Want) bool {
	return e.order != nil && e.order.Op == Unload && e.order.Want == w
}

// has reports whether a request for w could run here now.
func (e *engine) has(w Want) bool {
	h, ok := e.held[w.Model]
	if !ok || e.unloading(w) || e.unloading(Want{Model: w.Model}) {
		return false
	}
	if w.Adapter == "" {
		return true
	}
	_, ok = h.adapters[w.Adapter]
	return ok
}

// used notes that requests ran.
func (e *engine) used(u Use, now time.Time) {
	h, ok := e.held[u.Want.Model]
	if !ok || u.Running+u.Begun == 0 {
		return
	}
	h.used = now
	if _, ok := h.adapters[u.Want.Adapter]; ok {
		h.adapters[u.Want.Adapter] = now
	}
}

// usable reports whether the engine may be given work at now.
func (e *engine) usable(now time.Time) bool {
	return !e.ep.Leaving && !now.Before(e.shunned)
}

// setCopies takes in where the engine keeps weights.
func (e *engine) setCopies(c Copies) {
	if e.copies != nil && slices.Equal(c.Memory, e.ep.Copies.Memory) && slices.Equal(c.Disk, e.ep.Copies.Disk) {
		return
	}
	e.ep.Copies = c
	e.copiesChanged = true
	e.copies = make(map[string]Source, len(c.Disk)+len(c.Memory))
	for _, name := range c.Disk {
		e.copies[name] = FromDisk
	}
	for _, name := range c.Memory {
		e.copies[name] = FromMemory
	}
}

// source returns where a load of a model would come from, and how long it takes.
func (e *engine) source(m *deploy.Model) (Source, time.Duration) {
	switch e.copies[m.Name] {
	case FromMemory:
		return FromMemory, m.FromMemory
	case FromDisk:
		return FromDisk, m.FromDisk
	}
	return FromStore, m.FromStore
}

// runningOf returns the requests under way for a model and its adapters.
func (e *engine) runningOf(name string) int {
	n := 0
	for w, r := range e.runs {
		if w.Model == name {
			n += r
		}
	}
	return n
}

// places returns the adapters held, counting one that is on its way.
func (e *engine) places() int {
	n := 0
	for _, h := range e.held {
		n += len(h.adapters)
	}
	if e.order != nil && e.order.Op == Load && e.order.Want.Adapter != "" {
		n++
	}
	for _, l := range e.inherited {
		if l.Want.Adapter != "" {
			n++
		}
	}
	return n
}

// weights returns the megabytes taken by models, counting one that is loading.
func (e *engine) weights(eng *deploy.Engine) int64 {
	var sum int64
	for name := range e.held {
		if m := eng.Models[name]; m != nil {
			sum += m.Megabytes
		}
	}
	if e.order != nil && e.order.Op == Load && e.order.Want.Adapter == "" {
		if _, already := e.held[e.order.Want.Model]; !already {
			if m := eng.Models[e.order.Want.Model]; m != nil {
				sum += m.Megabytes
			}
		}
	}
	for _, l := range e.inherited {
		if m := eng.Models[l.Want.Model]; m != nil && l.Want.Adapter == "" && e.held[l.Want.Model] == nil {
			sum += m.Megabytes
		}
	}
	return sum
}

// adapterReserve is kept free of weights so that adapters never push an engine
// over its memory: adapters are counted as if every place held the largest one.
func adapterReserve(eng *deploy.Engine) int64 {
	var largest int64
	for _, m := range eng.Models {
		if m.Adapters > 0 {
			largest = max(largest, m.AdapterSize)
		}
	}
	return largest * int64(eng.AdapterPlaces)
}

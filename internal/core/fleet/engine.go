package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/deploy"
)

// engine is the planner's view of one endpoint.
type engine struct {
	ep              Endpoint
	host            string            // address of its host; "" if it is not known
	commonLosses    [3]int            // losses that would take it and others, of the examination in progress; -1 for none
	copies          map[string]Source // model to the fastest source that ep.Copies names
	copyNames       []string          // the models in copies, sorted: sums over them must not depend on the order of a map
	copiesChanged   bool              // since they were last indexed
	held            map[string]*held
	sequence        uint64
	known           bool               // the sequence number was reported
	needsReport     bool               // a report is needed before the next order
	sequenceCertain bool               // the newest order was accepted, so its sequence number bars every earlier one
	unsettledAt     time.Time          // when a refusal, or an order not seen accepted, last left the state uncertain
	verifyAt        time.Time          // when to query for a report that confirms an assumed state
	loadedAt        map[Want]time.Time // what orders loaded, and when
	queriedAt       time.Time
	querying        bool
	order           *pendingOrder
	lateOrders      []lateOrder // unanswered orders that may still be carried out
	inherited       []lateOrder // the same, of earlier incarnations of this endpoint
	lastActivity    time.Time   // time of the newest order or report
	backoffUntil    time.Time   // not used before then
	running         int
	runningByWant   map[Want]int
	newestLoad      lastLoad  // the newest load that was ordered
	limit           float64   // requests a second that it takes from all entries; 0 if it names none
	saysLeaving     bool      // it has told an entry that it leaves
	refusing        bool      // it turns requests of entries away and names no time
	pausedUntil     time.Time // the latest end of the pauses that it asked entries for
}

// held is one model that an engine holds.
type held struct {
	version  int
	lastUsed time.Time
	adapters map[string]time.Time // adapter to its last use
}

// pendingOrder is an order that was issued and is not known to have ended.
type pendingOrder struct {
	Order
	issuedAt    time.Time
	estimate    time.Duration
	accepted    bool
	inferred    bool      // accepted, as derived from the sequence number alone
	due         time.Time // when a report should show its effect
	loadSeconds float64   // storeLimiter.loadSeconds when it was issued
}

func newEngine(ep Endpoint, now time.Time) *engine {
	e := &engine{ep: ep, host: hostOf(ep), held: map[string]*held{}, loadedAt: map[Want]time.Time{}, runningByWant: map[Want]int{}}
	e.setCopies(ep.Copies)
	e.setHeld(ep.Held, now)
	return e
}

// recentLoadAge is how long what an order loaded counts as held although a report does not
// list it: some values of a report lag by some 100 ms behind others, the sequence number
// among them.
const recentLoadAge = 500 * time.Millisecond

// setHeld replaces what the engine holds by the content of a report or list, which was
// requested at queriedAt, and reports whether that is a change. What was loaded just before
// queriedAt is kept: if it were not counted, the next order could overfill the engine.
func (e *engine) setHeld(hs []Held, queriedAt time.Time) bool {
	next := make(map[string]*held, len(hs))
	for _, h := range hs {
		n := &held{version: h.Version, adapters: make(map[string]time.Time, len(h.Adapters))}
		for _, a := range h.Adapters {
			n.adapters[a] = queriedAt
		}
		next[h.Model] = n
	}
	e.keepRecent(next, queriedAt)
	change := len(next) != len(e.held)
	for name, n := range next {
		old, known := e.held[name]
		if !known {
			n.lastUsed, change = queriedAt, true
			continue
		}
		n.lastUsed = old.lastUsed
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

// keepRecent adds to next what was loaded just before queriedAt or later.
func (e *engine) keepRecent(next map[string]*held, queriedAt time.Time) {
	for w, at := range e.loadedAt {
		old := e.held[w.Model]
		if queriedAt.Sub(at) > recentLoadAge || old == nil {
			delete(e.loadedAt, w)
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

// published returns the endpoint as entries should see it. A model that is being unloaded is
// left out, so that no request races with the order.
func (e *engine) published() Endpoint {
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

// markUsed records the time at which requests ran.
func (e *engine) markUsed(u Use, now time.Time) {
	h, ok := e.held[u.Want.Model]
	if !ok || u.Running+u.Sent == 0 {
		return
	}
	h.lastUsed = now
	if _, ok := h.adapters[u.Want.Adapter]; ok {
		h.adapters[u.Want.Adapter] = now
	}
}

// usable reports whether the engine may be given work now.
func (e *engine) usable(now time.Time) bool {
	return !e.ep.Leaving && !now.Before(e.backoffUntil) && !e.refusing && !now.Before(e.pausedUntil)
}

// setCopies updates where the engine keeps weights.
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
	e.copyNames = slices.Sorted(maps.Keys(e.copies))
}

// source returns where a load of a model would come from, and its expected duration.
func (e *engine) source(m *deploy.Model) (Source, time.Duration) {
	switch e.copies[m.Name] {
	case FromMemory:
		return FromMemory, m.FromMemory
	case FromDisk:
		return FromDisk, m.FromDisk
	}
	return FromStore, m.FromStore
}

// runningOf returns the number of requests in progress for a model and its adapters.
func (e *engine) runningOf(name string) int {
	n := 0
	for w, r := range e.runningByWant {
		if w.Model == name {
			n += r
		}
	}
	return n
}

// adapterCount returns the number of adapters held, including those that are loading or may
// still be loaded by late orders of earlier incarnations.
func (e *engine) adapterCount() int {
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

// weights returns the megabytes used by models, including those that are loading or may
// still be loaded by late orders of earlier incarnations.
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

// adapterReserve returns the megabytes kept free of weights so that adapters never exceed an
// engine's memory: it assumes that every adapter place holds the largest adapter.
func adapterReserve(eng *deploy.Engine) int64 {
	var largest int64
	for _, m := range eng.Models {
		if m.Adapters > 0 {
			largest = max(largest, m.AdapterSize)
		}
	}
	return largest * int64(eng.AdapterSlots)
}

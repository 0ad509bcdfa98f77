package ledger

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/ident"
)

// Phase is the last known state of one replica at the engine.
type Phase string

// The phases.
const (
	Waiting   Phase = "waiting"   // granted, no order sent
	Loading   Phase = "loading"   // load order sent
	Loaded    Phase = "loaded"    // confirmed by the engine
	Draining  Phase = "draining"  // accepts no new work; work in progress continues
	Unloading Phase = "unloading" // unload order sent
	Uncertain Phase = "uncertain" // unknown, as after an order without an answer; the engine's list will settle it
)

// Grant is a placement that control has decided for this endpoint.
type Grant struct {
	ID     ident.Index
	Target ident.Target
	Bytes  int64
	Drain  bool
	Ready  bool // control counts it as loaded
}

// Held is a replica that the engine reports to hold.
type Held struct {
	Target  ident.Target
	Bytes   int64
	Loading bool
}

// OrderKind is the kind of an Order.
type OrderKind string

// The orders.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderList   OrderKind = "list" // list what the engine holds
)

// Order is an instruction to the engine. Fence is its fencing token: an engine
// that honours fencing refuses an order whose token is below the highest floor
// that it has received.
type Order struct {
	Kind   OrderKind
	ID     ident.Index
	Target ident.Target
	Bytes  int64
	Fence  ident.Index
}

// Outcome is the outcome of an order.
type Outcome string

// The outcomes of orders.
const (
	Done    Outcome = "done"    // the engine confirmed it
	Refused Outcome = "refused" // the engine confirmed that it did nothing
	Lost    Outcome = "lost"    // no answer
)

// Event is a change to report to control.
type Event struct {
	ID     ident.Index
	Target ident.Target
	Ready  bool // loaded; otherwise removed
	Reason string
	Took   time.Duration // duration of the load, if measured
}

// entry is one replica in the ledger.
type entry struct {
	Grant
	phase    Phase
	since    time.Time
	decided  bool // control's grant is in force; otherwise the replica may only be unloaded
	reported bool // control has received the present phase
}

// Config describes the endpoint of a Ledger.
type Config struct {
	Memory       int64
	HonoursFence bool
	LongestOrder time.Duration // maximum time between sending an order and its effect at the engine
	ListInterval time.Duration // minimum interval between list orders
}

// Ledger is the memory account of one endpoint. It is not safe for concurrent use.
type Ledger struct {
	cfg        Config
	entries    map[ident.Index]*entry
	floor      ident.Index // fencing floor: log index of this incarnation's registration
	synced     bool        // Sync was called
	quarantine time.Time   // until then, orders of an earlier process may take effect
	listedAt   time.Time
	needsList  bool        // a list is needed even if no replica is uncertain
	foreignID  ident.Index // last id assigned, counting down, to a replica without a grant
	peak       int64
}

// New returns the ledger of a process that has just started. It orders no load
// before Registered and Sync have been called.
func New(cfg Config, now time.Time) *Ledger {
	return &Ledger{cfg: cfg, entries: map[ident.Index]*entry{}, quarantine: now.Add(cfg.LongestOrder), foreignID: ^ident.Index(0)}
}

// Registered records the log index of this incarnation's registration. Orders
// of earlier incarnations carry lower tokens. An engine that honours fencing
// refuses them once it has the new floor; with any other engine, the ledger
// waits for LongestOrder.
func (l *Ledger) Registered(floor ident.Index) { l.floor = max(l.floor, floor) }

// FloorConfirmed records that the engine has confirmed the floor.
func (l *Ledger) FloorConfirmed(now time.Time) {
	if l.cfg.HonoursFence {
		l.quarantine = now
	}
}

// Used returns the bytes in use, including replicas in an uncertain state.
func (l *Ledger) Used() int64 {
	sum := int64(0)
	for _, e := range l.entries {
		if e.phase != Waiting {
			sum += e.Bytes
		}
	}
	return sum
}

// Peak returns the maximum of Used at any load order so far.
func (l *Ledger) Peak() int64 { return l.peak }

// ApplyGrant applies a new or changed grant.
func (l *Ledger) ApplyGrant(now time.Time, g Grant) {
	e := l.entries[g.ID]
	if e == nil {
		e = l.adopt(now, g)
	}
	e.decided = true
	if g.Drain && !e.Drain {
		e.Drain = true
		if e.phase == Loaded {
			e.set(Draining, now)
		}
	}
}

// adopt creates the entry of a grant. A replica of the same target that the
// engine holds without a grant is assigned to it: this is how replicas are
// matched to their grants after a restart.
func (l *Ledger) adopt(now time.Time, g Grant) *entry {
	e := &entry{Grant: g, phase: Waiting, since: now}
	for id, f := range l.entries {
		if !f.decided && f.Target == g.Target && f.phase != Unloading {
			delete(l.entries, id)
			e.phase, e.Bytes = f.phase, max(f.Bytes, g.Bytes)
			break
		}
	}
	l.entries[g.ID] = e
	return e
}

// Forget ends a grant. The replica's memory counts until it is unloaded.
func (l *Ledger) Forget(now time.Time, id ident.Index) {
	e := l.entries[id]
	if e == nil {
		return
	}
	if e.phase == Waiting {
		delete(l.entries, id)
		return
	}
	e.decided = false
	e.Drain = true
	if e.phase == Loaded {
		e.set(Draining, now)
	}
}

func (e *entry) set(p Phase, now time.Time) {
	e.phase, e.since, e.reported = p, now, false
}

// RequestList makes Orders request the engine's list again.
func (l *Ledger) RequestList() { l.needsList = true }

// Sync applies the engine's list of replicas, requested at requestedAt. Replicas
// without a grant count at once and are unloaded; entries in an uncertain state
// are settled.
func (l *Ledger) Sync(now, requestedAt time.Time, held []Held) []Event {
	l.synced, l.needsList = true, false
	byTarget := map[ident.Target]Held{}
	for _, h := range held {
		byTarget[h.Target] = h
	}
	var events []Event
	for _, id := range l.ids() {
		e := l.entries[id]
		h, present := byTarget[e.Target]
		delete(byTarget, e.Target)
		// The list is not applied to an entry that changed after it was
		// requested, except to a grant without an order: what the engine
		// holds of it must count from now on, or a load could be assigned
		// memory that is in use.
		if e.phase != Waiting && !e.since.Before(requestedAt) {
			continue
		}
		events = append(events, l.reconcile(now, e, h, present)...)
	}
	for _, h := range held {
		if _, unmatched := byTarget[h.Target]; unmatched {
			l.addForeign(now, h)
		}
	}
	return events
}

// reconcile updates one entry from the engine's list.
func (l *Ledger) reconcile(now time.Time, e *entry, h Held, present bool) []Event {
	switch {
	case present && !h.Loading && (e.phase == Uncertain || e.phase == Waiting):
		// A revised record may state another size than the one loaded.
		e.Bytes = max(e.Bytes, h.Bytes)
		e.set(Loaded, now)
		if e.Drain {
			e.set(Draining, now)
		}
		return l.reportLoaded(e, 0)
	case present && h.Loading && e.phase == Waiting:
		e.set(Uncertain, now)
	// An order without an answer may still reach the engine. Fencing does not
	// stop it, since its token is current, so LongestOrder must pass first.
	case !present && e.phase == Uncertain && !now.Before(l.quarantine) && now.Sub(e.since) >= l.cfg.LongestOrder:
		return l.remove(e, "the engine does not hold it")
	case !present && (e.phase == Loaded || e.phase == Draining):
		return l.remove(e, "the engine lost it")
	case !present && e.phase == Waiting && e.Ready:
		if now.Before(l.quarantine) {
			return nil
		}
		return l.remove(e, "lost at a restart")
	}
	return nil
}

// addForeign adds a replica that the engine holds without a grant. It is drained
// and then unloaded.
func (l *Ledger) addForeign(now time.Time, h Held) {
	l.foreignID--
	phase := Draining
	if h.Loading {
		phase = Uncertain
	}
	l.entries[l.foreignID] = &entry{Grant: Grant{ID: l.foreignID, Target: h.Target, Bytes: h.Bytes, Drain: true}, phase: phase, since: now}
}

// reportLoaded returns the event that a replica is loaded, once per load.
func (l *Ledger) reportLoaded(e *entry, took time.Duration) []Event {
	if !e.decided || e.reported {
		return nil
	}
	e.reported = true
	return []Event{{ID: e.ID, Target: e.Target, Ready: true, Reason: "loaded", Took: took}}
}

// remove deletes an entry and returns the event for control, if its grant is in
// force.
func (l *Ledger) remove(e *entry, reason string) []Event {
	delete(l.entries, e.ID)
	if !e.decided {
		return nil
	}
	return []Event{{ID: e.ID, Target: e.Target, Reason: reason}}
}

// Orders returns the orders to send to the engine now. running returns the number
// of requests that a replica serves; a draining replica is unloaded at zero.
func (l *Ledger) Orders(now time.Time, running func(ident.Index) int) []Order {
	if l.floor == 0 {
		return nil
	}
	if !l.synced {
		return l.listOrder(now)
	}
	var out []Order
	for _, id := range l.ids() {
		e := l.entries[id]
		switch e.phase {
		case Waiting:
			if e.Ready {
				out = append(out, l.listOrder(now)...) // loaded before a restart; the list shows whether it still is
				continue
			}
			out = append(out, l.load(now, e)...)
		case Draining:
			if running(id) == 0 && !l.hasDependents(e) {
				e.set(Unloading, now)
				out = append(out, l.order(OrderUnload, e))
			}
		case Uncertain:
			out = append(out, l.listOrder(now)...)
		}
	}
	if now.Before(l.quarantine) || l.needsList {
		out = append(out, l.listOrder(now)...)
	}
	return out
}

// order returns an order for e. Its fencing token is at least the floor, since the
// engine would refuse a lower one.
func (l *Ledger) order(k OrderKind, e *entry) Order {
	fence := e.ID
	if !e.decided || fence < l.floor {
		fence = l.floor
	}
	return Order{Kind: k, ID: e.ID, Target: e.Target, Bytes: e.Bytes, Fence: fence}
}

// listOrder returns a list order, at most one per interval of the configuration.
func (l *Ledger) listOrder(now time.Time) []Order {
	if !l.listedAt.IsZero() && now.Sub(l.listedAt) < l.cfg.ListInterval {
		return nil
	}
	l.listedAt = now
	return []Order{{Kind: OrderList, Fence: l.floor}}
}

// load reserves memory for a waiting grant and orders its load, if memory and
// its base model allow it.
func (l *Ledger) load(now time.Time, e *entry) []Order {
	if e.Drain {
		return nil
	}
	// Until the quarantine ends, an order of the previous process may still
	// occupy memory that looks free; a load now could overcommit it.
	if now.Before(l.quarantine) || !l.baseLoaded(e) || l.Used()+e.Bytes > l.cfg.Memory {
		return nil
	}
	e.set(Loading, now)
	l.peak = max(l.peak, l.Used())
	l.check()
	return []Order{l.order(OrderLoad, e)}
}

// baseLoaded reports whether the base model of an adapter is loaded. It is true
// for a base model.
func (l *Ledger) baseLoaded(e *entry) bool {
	if !e.Target.IsAdapter() {
		return true
	}
	for _, b := range l.entries {
		if b.Target == e.Target.Base() && b.phase == Loaded {
			return true
		}
	}
	return false
}

// hasDependents reports whether an adapter depends on a base model, which then
// must not be unloaded.
func (l *Ledger) hasDependents(e *entry) bool {
	if e.Target.IsAdapter() {
		return false
	}
	for _, a := range l.entries {
		if a.Target.IsAdapter() && a.Target.Base() == e.Target && a.phase != Waiting {
			return true
		}
	}
	return false
}

// OrderEnded applies the outcome of an order and returns the events for control.
func (l *Ledger) OrderEnded(now time.Time, o Order, out Outcome) []Event {
	e := l.entries[o.ID]
	if e == nil {
		return nil
	}
	switch {
	case o.Kind == OrderLoad && out == Done && e.phase == Loading:
		took := now.Sub(e.since)
		e.set(Loaded, now)
		ev := l.reportLoaded(e, took)
		if e.Drain {
			e.set(Draining, now)
		}
		return ev
	case o.Kind == OrderLoad && out == Refused && e.phase == Loading:
		return l.remove(e, "the engine refused the load")
	case o.Kind == OrderUnload && out == Done && e.phase == Unloading:
		return l.remove(e, "unloaded")
	case out == Lost || out == Refused:
		e.set(Uncertain, now)
	}
	return nil
}

// RemoveWaiting removes waiting grants that are to be drained. No order was sent for
// them, so nothing has to be unloaded.
func (l *Ledger) RemoveWaiting(now time.Time) []Event {
	var events []Event
	for _, id := range l.ids() {
		e := l.entries[id]
		if e.phase == Waiting && e.Drain && l.synced && !now.Before(l.quarantine) {
			events = append(events, l.remove(e, "drained before it was loaded")...)
		}
	}
	return events
}

// Serving returns the id of a loaded replica of t that accepts work.
func (l *Ledger) Serving(t ident.Target) (ident.Index, bool) {
	for _, e := range l.entries {
		if e.Target == t && e.phase == Loaded && e.decided && !e.Drain {
			return e.ID, true
		}
	}
	return 0, false
}

// Line is the account of one replica, for operators.
type Line struct {
	ID     ident.Index  `json:"id"`
	Target ident.Target `json:"target"`
	Phase  Phase        `json:"phase"`
	Bytes  int64        `json:"bytes"`
}

// Lines returns the account, ordered by id.
func (l *Ledger) Lines() []Line {
	var out []Line
	for _, id := range l.ids() {
		e := l.entries[id]
		out = append(out, Line{ID: id, Target: e.Target, Phase: e.phase, Bytes: e.Bytes})
	}
	return out
}

func (l *Ledger) ids() []ident.Index {
	ids := make([]ident.Index, 0, len(l.entries))
	for id := range l.entries {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b ident.Index) int { return cmp.Compare(a, b) })
	return ids
}

// check panics if the memory in use exceeds that of the endpoint.
func (l *Ledger) check() {
	if used := l.Used(); used > l.cfg.Memory {
		panic(fmt.Sprintf("invariant: ledger: %d bytes given out of %d", used, l.cfg.Memory))
	}
}

package ledger

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/ident"
)

// Phase is the state of one replica at the engine, as far as it is known.
type Phase string

// The phases.
const (
	Waiting   Phase = "waiting"   // granted, no order sent
	Loading   Phase = "loading"   // load order sent
	Loaded    Phase = "loaded"    // confirmed by the engine
	Draining  Phase = "draining"  // takes no new work; work in progress goes on
	Unloading Phase = "unloading" // unload order sent
	Uncertain Phase = "uncertain" // an order ended without an answer; the engine will be asked
)

// Grant is one decision of control for this endpoint.
type Grant struct {
	ID     ident.Index
	Target ident.Target
	Bytes  int64
	Drain  bool
	Ready  bool // control counts it as loaded
}

// Held is what the engine reports to hold.
type Held struct {
	Target  ident.Target
	Bytes   int64
	Loading bool
}

// OrderKind tells what an Order asks of the engine.
type OrderKind string

// The orders.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderList   OrderKind = "list" // ask what the engine holds
)

// Order is one instruction to the engine. Fence is its fencing number: an
// engine that honours fencing refuses an order whose number is below the
// highest floor it was given.
type Order struct {
	Kind   OrderKind
	ID     ident.Index
	Target ident.Target
	Bytes  int64
	Fence  ident.Index
}

// Outcome is how an order ended.
type Outcome string

// The outcomes of orders.
const (
	Done    Outcome = "done"    // the engine confirmed it
	Refused Outcome = "refused" // the engine confirmed that nothing happened
	Lost    Outcome = "lost"    // no answer
)

// Event is what control has to be told.
type Event struct {
	ID     ident.Index
	Target ident.Target
	Ready  bool // loaded; otherwise gone
	Reason string
	Took   time.Duration // of the load
}

// entry is one replica in the ledger.
type entry struct {
	Grant
	phase   Phase
	since   time.Time
	decided bool // control's decision stands; otherwise the replica is only unloaded
	told    bool // control was told of the present phase
}

// Config tells a Ledger about its endpoint.
type Config struct {
	Memory       int64
	HonoursFence bool
	LongestOrder time.Duration // no order takes effect later than this after it was sent
	AskEvery     time.Duration // interval between questions while something is uncertain
}

// Ledger is the account of one endpoint. It is not safe for concurrent use.
type Ledger struct {
	cfg        Config
	entries    map[ident.Index]*entry
	floor      ident.Index // fencing floor: index of this incarnation's registration
	synced     bool        // the engine's report was taken in
	quarantine time.Time   // until then orders of an earlier process may take effect
	asked      time.Time
	doubt      bool        // the engine should be asked
	foreign    ident.Index // counts down ids for replicas that no decision names
	peak       int64
}

// New returns the ledger of a process that has just started. Nothing is loaded
// before Registered and Sync were called.
func New(cfg Config, now time.Time) *Ledger {
	return &Ledger{cfg: cfg, entries: map[ident.Index]*entry{}, quarantine: now.Add(cfg.LongestOrder), foreign: ^ident.Index(0)}
}

// Registered records the log index of this incarnation's registration. Orders
// of earlier incarnations carry lower numbers; an engine that honours fencing
// refuses them from the moment it has the new floor, so only with other
// engines must their longest order be waited out.
func (l *Ledger) Registered(floor ident.Index) { l.floor = max(l.floor, floor) }

// FloorSet tells that the engine confirmed the floor.
func (l *Ledger) FloorSet(now time.Time) {
	if l.cfg.HonoursFence {
		l.quarantine = now
	}
}

// Used returns the bytes that count, those of uncertain state included.
func (l *Ledger) Used() int64 {
	sum := int64(0)
	for _, e := range l.entries {
		if e.phase != Waiting {
			sum += e.Bytes
		}
	}
	return sum
}

// Peak returns the largest Used so far.
func (l *Ledger) Peak() int64 { return l.peak }

// Decide takes in a grant or a change of it.
func (l *Ledger) Decide(now time.Time, g Grant) {
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

// adopt makes an entry for a grant. What the engine holds of this target under
// no decision becomes this grant's: after a restart that is how replicas find
// their decisions again.
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

// Forget ends a decision. Its memory still counts until it is unloaded.
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
	e.phase, e.since, e.told = p, now, false
}

// Suspect has the engine asked again.
func (l *Ledger) Suspect() { l.doubt = true }

// Sync takes in what the engine held when it was asked. Loaded or loading targets that no
// decision names count at once and are unloaded; uncertain ones are settled.
func (l *Ledger) Sync(now, asked time.Time, held []Held) []Event {
	l.synced, l.doubt = true, false
	byTarget := map[ident.Target]Held{}
	for _, h := range held {
		byTarget[h.Target] = h
	}
	var events []Event
	for _, id := range l.ids() {
		e := l.entries[id]
		h, there := byTarget[e.Target]
		delete(byTarget, e.Target)
		// What changed while the answer was on its way is not judged by it.
		// A grant without an order is: whatever the engine holds of it counts
		// from now on, or a load could be given memory that is taken.
		if e.phase != Waiting && !e.since.Before(asked) {
			continue
		}
		events = append(events, l.settle(now, e, h, there)...)
	}
	for _, h := range held {
		if _, left := byTarget[h.Target]; left {
			l.addForeign(now, h)
		}
	}
	return events
}

// settle compares one entry with the engine's report.
func (l *Ledger) settle(now time.Time, e *entry, h Held, there bool) []Event {
	switch {
	case there && !h.Loading && (e.phase == Uncertain || e.phase == Waiting):
		// A record may state another size than the one that was loaded.
		e.Bytes = max(e.Bytes, h.Bytes)
		e.set(Loaded, now)
		if e.Drain {
			e.set(Draining, now)
		}
		return l.announce(e, 0)
	case there && h.Loading && e.phase == Waiting:
		e.set(Uncertain, now)
	// An order without an answer may still be on its way to the engine, also
	// to one that honours fencing: its number is not old. It is waited out.
	case !there && e.phase == Uncertain && !now.Before(l.quarantine) && now.Sub(e.since) >= l.cfg.LongestOrder:
		return l.gone(e, "the engine does not hold it")
	case !there && (e.phase == Loaded || e.phase == Draining):
		return l.gone(e, "the engine lost it")
	case !there && e.phase == Waiting && e.Ready:
		if now.Before(l.quarantine) {
			return nil
		}
		return l.gone(e, "lost at a restart")
	}
	return nil
}

func (l *Ledger) addForeign(now time.Time, h Held) {
	l.foreign--
	phase := Draining
	if h.Loading {
		phase = Uncertain
	}
	l.entries[l.foreign] = &entry{Grant: Grant{ID: l.foreign, Target: h.Target, Bytes: h.Bytes, Drain: true}, phase: phase, since: now}
}

// announce tells control that a replica is loaded, once.
func (l *Ledger) announce(e *entry, took time.Duration) []Event {
	if !e.decided || e.told {
		return nil
	}
	e.told = true
	return []Event{{ID: e.ID, Target: e.Target, Ready: true, Reason: "loaded", Took: took}}
}

func (l *Ledger) gone(e *entry, reason string) []Event {
	delete(l.entries, e.ID)
	if !e.decided {
		return nil
	}
	return []Event{{ID: e.ID, Target: e.Target, Reason: reason}}
}

// Orders returns the orders that the engine shall get now. running tells how
// many requests a replica serves; a draining replica is unloaded at zero.
func (l *Ledger) Orders(now time.Time, running func(ident.Index) int) []Order {
	if l.floor == 0 {
		return nil
	}
	if !l.synced {
		return l.ask(now)
	}
	var out []Order
	for _, id := range l.ids() {
		e := l.entries[id]
		switch e.phase {
		case Waiting:
			if e.Ready {
				out = append(out, l.ask(now)...) // loaded before a restart: is it still?
				continue
			}
			out = append(out, l.load(now, e)...)
		case Draining:
			if running(id) == 0 && !l.hasDependents(e) {
				e.set(Unloading, now)
				out = append(out, l.order(OrderUnload, e))
			}
		case Uncertain:
			out = append(out, l.ask(now)...)
		}
	}
	if now.Before(l.quarantine) || l.doubt {
		out = append(out, l.ask(now)...)
	}
	return out
}

func (l *Ledger) order(k OrderKind, e *entry) Order {
	fence := e.ID
	if !e.decided || fence < l.floor {
		fence = l.floor
	}
	return Order{Kind: k, ID: e.ID, Target: e.Target, Bytes: e.Bytes, Fence: fence}
}

// ask returns a list order, at most one per interval.
func (l *Ledger) ask(now time.Time) []Order {
	if !l.asked.IsZero() && now.Sub(l.asked) < l.cfg.AskEvery {
		return nil
	}
	l.asked = now
	return []Order{{Kind: OrderList, Fence: l.floor}}
}

// load reserves memory for a waiting grant and orders its load, if memory and
// its base model allow it.
func (l *Ledger) load(now time.Time, e *entry) []Order {
	if e.Drain {
		return nil
	}
	// Until the quarantine ends, free memory may still be taken by an order of
	// the process before this one; a grant given now could overcommit it.
	if now.Before(l.quarantine) || !l.baseLoaded(e) || l.Used()+e.Bytes > l.cfg.Memory {
		return nil
	}
	e.set(Loading, now)
	l.peak = max(l.peak, l.Used())
	l.check()
	return []Order{l.order(OrderLoad, e)}
}

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

// hasDependents reports whether an adapter still sits on a base model: it is
// pinned under them.
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

// Finished takes in how an order ended.
func (l *Ledger) Finished(now time.Time, o Order, out Outcome) []Event {
	e := l.entries[o.ID]
	if e == nil {
		return nil
	}
	switch {
	case o.Kind == OrderLoad && out == Done && e.phase == Loading:
		took := now.Sub(e.since)
		e.set(Loaded, now)
		ev := l.announce(e, took)
		if e.Drain {
			e.set(Draining, now)
		}
		return ev
	case o.Kind == OrderLoad && out == Refused && e.phase == Loading:
		return l.gone(e, "the engine refused the load")
	case o.Kind == OrderUnload && out == Done && e.phase == Unloading:
		return l.gone(e, "unloaded")
	case out == Lost || out == Refused:
		e.set(Uncertain, now)
	}
	return nil
}

// Withdraw gives up waiting grants that are to be drained: nothing was ordered,
// so they are gone at once.
func (l *Ledger) Withdraw(now time.Time) []Event {
	var events []Event
	for _, id := range l.ids() {
		e := l.entries[id]
		if e.phase == Waiting && e.Drain && l.synced && !now.Before(l.quarantine) {
			events = append(events, l.gone(e, "drained before it was loaded")...)
		}
	}
	return events
}

// Serving returns the id of the loaded replica of a target that takes work.
func (l *Ledger) Serving(t ident.Target) (ident.Index, bool) {
	for _, e := range l.entries {
		if e.Target == t && e.phase == Loaded && e.decided && !e.Drain {
			return e.ID, true
		}
	}
	return 0, false
}

// Line is one replica as shown to operators.
type Line struct {
	ID     ident.Index  `json:"id"`
	Target ident.Target `json:"target"`
	Phase  Phase        `json:"phase"`
	Bytes  int64        `json:"bytes"`
}

// Lines returns the account ordered by id.
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

// check asserts at every load order that everything that counts fits.
func (l *Ledger) check() {
	if used := l.Used(); used > l.cfg.Memory {
		panic(fmt.Sprintf("invariant: ledger: %d bytes given out of %d", used, l.cfg.Memory))
	}
}

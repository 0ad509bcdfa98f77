package ledger

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/ident"
)

var start = time.Unix(1000, 0)

func target(i int) ident.Target { return ident.Target{Model: fmt.Sprint("m", i), Version: "1"} }

func none(ident.Index) int { return 0 }

// ready returns a ledger that is registered and knows that the engine is empty.
func ready(memory int64, honours bool) (*Ledger, time.Time) {
	l := New(Config{Memory: memory, HonoursFence: honours, LongestOrder: time.Minute, AskEvery: time.Second}, start)
	l.Registered(5)
	l.FloorSet(start)
	l.Sync(start, start, nil)
	return l, start
}

func TestLoadIsReservedBeforeItIsOrdered(t *testing.T) {
	is := is.New(t)
	l, now := ready(100, true)
	l.Decide(now, Grant{ID: 10, Target: target(1), Bytes: 60})
	l.Decide(now, Grant{ID: 11, Target: target(2), Bytes: 60})
	os := l.Orders(now, none)
	is.Equal(len(os), 1) // the second does not fit
	is.Equal(os[0].Fence, ident.Index(10))
	is.Equal(l.Used(), int64(60))
	ev := l.Finished(now, os[0], Done)
	is.True(ev[0].Ready)
	is.Equal(len(l.Orders(now, none)), 0)
}

// Symptom: two orders fill the same memory.
// Sequence: the agent restarts; the engine ignores fencing; the old process's
// load takes effect after the new one has asked what is held.
// Cause: an order on its way shows in no report.
func TestNewProcessWaitsOutOldOrdersWhenTheEngineIgnoresFencing(t *testing.T) {
	is := is.New(t)
	l, now := ready(100, false)
	l.Decide(now, Grant{ID: 10, Target: target(1), Bytes: 60})
	for _, o := range l.Orders(now, none) {
		is.Equal(o.Kind, OrderList)
	}
	later := now.Add(time.Minute)
	loads := 0
	for _, o := range l.Orders(later, none) {
		if o.Kind == OrderLoad {
			loads++
		}
	}
	is.Equal(loads, 1)
}

// Symptom: a slot is decided again while its load may still finish.
// Sequence: the answer to a load order is lost.
// Cause: lost is not failed; the bytes count until the engine was asked.
func TestLostOrderCountsUntilItIsSettled(t *testing.T) {
	is := is.New(t)
	l, now := ready(100, true)
	l.Decide(now, Grant{ID: 10, Target: target(1), Bytes: 60})
	o := l.Orders(now, none)[0]
	l.Finished(now, o, Lost)
	is.Equal(l.Used(), int64(60))
	later := now.Add(2 * time.Second)
	ev := l.Sync(later, later, []Held{{Target: target(1), Bytes: 60}})
	is.Equal(len(ev), 1)
	is.True(ev[0].Ready)
}

func TestBaseModelIsPinnedUnderItsAdapter(t *testing.T) {
	is := is.New(t)
	l, now := ready(100, true)
	base := target(1)
	adapter := base
	adapter.Adapter, adapter.AdapterVersion = "a", "1"
	l.Decide(now, Grant{ID: 10, Target: base, Bytes: 50})
	l.Decide(now, Grant{ID: 11, Target: adapter, Bytes: 10})
	os := l.Orders(now, none)
	is.Equal(len(os), 1) // the base first
	l.Finished(now, os[0], Done)
	os = l.Orders(now, none)
	l.Finished(now, os[0], Done)
	l.Decide(now, Grant{ID: 10, Target: base, Bytes: 50, Drain: true})
	is.Equal(len(l.Orders(now, none)), 0) // pinned
	l.Decide(now, Grant{ID: 11, Target: adapter, Bytes: 10, Drain: true})
	os = l.Orders(now, none)
	is.Equal(os[0].Target, adapter)
	l.Finished(now, os[0], Done)
	is.Equal(l.Orders(now, none)[0].Target, base)
}

// Symptom: memory is overcommitted, or memory is lost for ever.
// Sequence: seeded random grants, drains, ends of decisions, lost and refused
// orders, restarts of the agent, against an engine with its own account.
// Cause looked for: any way in which the account and the engine drift apart.
func TestRandomOrdersKeepWithinMemory(t *testing.T) {
	for seed := range 300 {
		randomRun(t, uint64(seed), seed%2 == 0)
	}
}

func decided(grants map[ident.Index]Grant, t ident.Target) bool {
	for _, g := range grants {
		if g.Target == t {
			return true
		}
	}
	return false
}

func randomRun(t *testing.T, seed uint64, honours bool) {
	t.Helper()
	const memory = 100
	r := rand.New(rand.NewPCG(seed, 2))
	now := start
	cfg := Config{Memory: memory, HonoursFence: honours, LongestOrder: 20 * time.Second, AskEvery: time.Second}
	l := New(cfg, now)
	floor, next := ident.Index(1), ident.Index(2)
	l.Registered(floor)
	l.FloorSet(now)
	engine := map[ident.Target]int64{}
	grants := map[ident.Index]Grant{}
	type late struct {
		at    time.Time
		order Order
	}
	var under []late // orders whose effect at the engine is still to come
	effect := func(o Order) {
		if honours && o.Fence < floor {
			return
		}
		if o.Kind == OrderUnload {
			delete(engine, o.Target)
			return
		}
		if _, loaded := engine[o.Target]; loaded {
			return // engines take a second load of the same target as done
		}
		engine[o.Target] = o.Bytes
		sum := int64(0)
		for _, b := range engine {
			sum += b
		}
		if sum > memory {
			t.Fatalf("seed %d: the engine holds %d of %d", seed, sum, memory)
		}
	}
	tell := func(events []Event) {
		for _, e := range events {
			if !e.Ready {
				delete(grants, e.ID)
				l.Forget(now, e.ID)
			} else if g, ok := grants[e.ID]; ok {
				g.Ready = true
				grants[e.ID] = g
			}
		}
	}
	for range 400 {
		now = now.Add(time.Duration(r.IntN(1500)) * time.Millisecond)
		kept := under[:0]
		for _, u := range under {
			if now.Before(u.at) {
				kept = append(kept, u)
				continue
			}
			effect(u.order)
		}
		under = kept
		switch r.IntN(12) {
		case 0, 1, 2:
			g := Grant{ID: next, Target: target(r.IntN(6)), Bytes: int64(10 + r.IntN(60))}
			next++
			if decided(grants, g.Target) {
				break // control decides a target once per endpoint
			}
			grants[g.ID] = g
			l.Decide(now, g)
		case 3, 4:
			for id, g := range grants {
				g.Drain = true
				grants[id] = g
				l.Decide(now, g)
				break
			}
		case 5:
			// The agent restarts and learns its grants anew.
			l = New(cfg, now)
			floor = next
			next++
			l.Registered(floor)
			l.FloorSet(now)
			for _, g := range grants {
				l.Decide(now, g)
			}
		}
		for _, o := range l.Orders(now, none) {
			if o.Kind == OrderList {
				var held []Held
				for tg, b := range engine {
					held = append(held, Held{Target: tg, Bytes: b})
				}
				tell(l.Sync(now, now, held))
				continue
			}
			switch r.IntN(6) {
			case 0:
				tell(l.Finished(now, o, Refused))
			case 1:
				under = append(under, late{now.Add(time.Duration(r.IntN(15)) * time.Second), o})
				tell(l.Finished(now, o, Lost))
			default:
				effect(o)
				tell(l.Finished(now, o, Done))
			}
		}
		tell(l.Withdraw(now))
	}
}

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

func noneRunning(ident.Index) int { return 0 }

// newSynced returns a ledger that is registered and synced with an empty engine.
func newSynced(memory int64, honours bool) (*Ledger, time.Time) {
	l := New(Config{Memory: memory, HonoursFence: honours, LongestOrder: time.Minute, ListInterval: time.Second}, start)
	l.Registered(5)
	l.FloorConfirmed(start)
	l.Sync(start, start, nil)
	return l, start
}

func TestLoadIsReservedBeforeItIsOrdered(t *testing.T) {
	is := is.New(t)
	l, now := newSynced(100, true)
	l.ApplyGrant(now, Grant{ID: 10, Target: target(1), Bytes: 60})
	l.ApplyGrant(now, Grant{ID: 11, Target: target(2), Bytes: 60})
	os := l.Orders(now, noneRunning)
	is.Equal(len(os), 1) // the second does not fit
	is.Equal(os[0].Fence, ident.Index(10))
	is.Equal(l.Used(), int64(60))
	ev := l.OrderEnded(now, os[0], Done)
	is.True(ev[0].Ready)
	is.Equal(len(l.Orders(now, noneRunning)), 0)
}

// Guards against two orders filling the same memory: the agent restarts, the
// engine ignores fencing, and a load of the old process takes effect after the
// new one has listed the engine. The list does not show orders in flight.
func TestNewProcessWaitsOutOldOrdersWhenTheEngineIgnoresFencing(t *testing.T) {
	is := is.New(t)
	l, now := newSynced(100, false)
	l.ApplyGrant(now, Grant{ID: 10, Target: target(1), Bytes: 60})
	for _, o := range l.Orders(now, noneRunning) {
		is.Equal(o.Kind, OrderList)
	}
	later := now.Add(time.Minute)
	loads := 0
	for _, o := range l.Orders(later, noneRunning) {
		if o.Kind == OrderLoad {
			loads++
		}
	}
	is.Equal(loads, 1)
}

// Guards against assigning memory again while a load may still finish. An order
// whose answer is lost may have succeeded, so its bytes count until the engine
// has been listed.
func TestLostOrderCountsUntilTheEngineIsListed(t *testing.T) {
	is := is.New(t)
	l, now := newSynced(100, true)
	l.ApplyGrant(now, Grant{ID: 10, Target: target(1), Bytes: 60})
	o := l.Orders(now, noneRunning)[0]
	l.OrderEnded(now, o, Lost)
	is.Equal(l.Used(), int64(60))
	later := now.Add(2 * time.Second)
	ev := l.Sync(later, later, []Held{{Target: target(1), Bytes: 60}})
	is.Equal(len(ev), 1)
	is.True(ev[0].Ready)
}

func TestBaseModelIsPinnedUnderItsAdapter(t *testing.T) {
	is := is.New(t)
	l, now := newSynced(100, true)
	base := target(1)
	adapter := base
	adapter.Adapter, adapter.AdapterVersion = "a", "1"
	l.ApplyGrant(now, Grant{ID: 10, Target: base, Bytes: 50})
	l.ApplyGrant(now, Grant{ID: 11, Target: adapter, Bytes: 10})
	os := l.Orders(now, noneRunning)
	is.Equal(len(os), 1) // the base first
	l.OrderEnded(now, os[0], Done)
	os = l.Orders(now, noneRunning)
	l.OrderEnded(now, os[0], Done)
	l.ApplyGrant(now, Grant{ID: 10, Target: base, Bytes: 50, Drain: true})
	is.Equal(len(l.Orders(now, noneRunning)), 0) // still used by its adapter
	l.ApplyGrant(now, Grant{ID: 11, Target: adapter, Bytes: 10, Drain: true})
	os = l.Orders(now, noneRunning)
	is.Equal(os[0].Target, adapter)
	l.OrderEnded(now, os[0], Done)
	is.Equal(l.Orders(now, noneRunning)[0].Target, base)
}

// Looks for any divergence of the ledger from the engine, which would overcommit
// memory or leak it permanently. Seeded random grants, drains, ends of grants,
// lost and refused orders and agent restarts run against an engine that keeps its
// own account.
func TestRandomOrdersKeepWithinMemory(t *testing.T) {
	for seed := range 300 {
		randomRun(t, uint64(seed), seed%2 == 0)
	}
}

func granted(grants map[ident.Index]Grant, t ident.Target) bool {
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
	cfg := Config{Memory: memory, HonoursFence: honours, LongestOrder: 20 * time.Second, ListInterval: time.Second}
	l := New(cfg, now)
	floor, next := ident.Index(1), ident.Index(2)
	l.Registered(floor)
	l.FloorConfirmed(now)
	engine := map[ident.Target]int64{}
	grants := map[ident.Index]Grant{}
	type delayed struct {
		at    time.Time
		order Order
	}
	var inFlight []delayed // orders that have not yet taken effect at the engine
	effect := func(o Order) {
		if honours && o.Fence < floor {
			return
		}
		if o.Kind == OrderUnload {
			delete(engine, o.Target)
			return
		}
		if _, loaded := engine[o.Target]; loaded {
			return // engines confirm a second load of the same target without loading it
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
	deliver := func(events []Event) {
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
		remaining := inFlight[:0]
		for _, u := range inFlight {
			if now.Before(u.at) {
				remaining = append(remaining, u)
				continue
			}
			effect(u.order)
		}
		inFlight = remaining
		switch r.IntN(12) {
		case 0, 1, 2:
			g := Grant{ID: next, Target: target(r.IntN(6)), Bytes: int64(10 + r.IntN(60))}
			next++
			if granted(grants, g.Target) {
				break // control grants a target once per endpoint
			}
			grants[g.ID] = g
			l.ApplyGrant(now, g)
		case 3, 4:
			for id, g := range grants {
				g.Drain = true
				grants[id] = g
				l.ApplyGrant(now, g)
				break
			}
		case 5:
			// The agent restarts and receives its grants again.
			l = New(cfg, now)
			floor = next
			next++
			l.Registered(floor)
			l.FloorConfirmed(now)
			for _, g := range grants {
				l.ApplyGrant(now, g)
			}
		}
		for _, o := range l.Orders(now, noneRunning) {
			if o.Kind == OrderList {
				var held []Held
				for tg, b := range engine {
					held = append(held, Held{Target: tg, Bytes: b})
				}
				deliver(l.Sync(now, now, held))
				continue
			}
			switch r.IntN(6) {
			case 0:
				deliver(l.OrderEnded(now, o, Refused))
			case 1:
				inFlight = append(inFlight, delayed{now.Add(time.Duration(r.IntN(15)) * time.Second), o})
				deliver(l.OrderEnded(now, o, Lost))
			default:
				effect(o)
				deliver(l.OrderEnded(now, o, Done))
			}
		}
		deliver(l.RemoveWaiting(now))
	}
}

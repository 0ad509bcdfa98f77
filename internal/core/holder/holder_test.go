package holder

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/ident"
)

const (
	lease      = 3 * time.Second
	orderDelay = time.Second
)

// tenure is the time in which one host sent orders.
type tenure struct {
	host       ident.HostID
	begin, end time.Duration
}

// simulate runs a random sequence of leaders, each of which sends orders whenever it may,
// and returns their tenures. wait and margin are the rule under test.
func simulate(seed uint64, margin time.Duration, wait func(Record, ident.HostID) time.Duration) []tenure {
	r := rand.New(rand.NewPCG(seed, 3))
	var rec Record
	var out []tenure
	now := time.Duration(0)
	for term := uint64(1); term < 40; term++ {
		host := ident.HostID(fmt.Sprint("h", r.IntN(3)))
		end := now + time.Duration(r.IntN(6000))*time.Millisecond
		if first := now + wait(rec, host); first < end {
			rec = rec.Next(Record{Term: term, Host: host})
			if Settled(end-first, lease, margin) {
				rec = rec.Next(Record{Term: term, Host: host, Settled: true})
			}
			if n := len(out); n > 0 && out[n-1].host == host {
				out[n-1].end = end
			} else {
				out = append(out, tenure{host, first, end})
			}
		}
		now = end + time.Duration(200+r.IntN(1000))*time.Millisecond
	}
	return out
}

// alternates reports whether an engine may get orders of alternating holders within a lease:
// the last order of one holder, possibly late, then one of the next holder, and then one of
// the holder after that, less than a lease after the first.
func alternates(ss []tenure) bool {
	for i := 2; i < len(ss); i++ {
		last := ss[i-2].end + orderDelay
		if ss[i-1].end > last && ss[i].begin-last < lease || ss[i].begin-ss[i-2].end < lease {
			return true
		}
	}
	return false
}

func waitRule(r Record, h ident.HostID) time.Duration { return Wait(r, h, lease) }

// When leaders change several times in a few seconds, an engine must not get orders from
// one host, from another and from the first one again within a lease.
func TestHoldersNeverAlternateWithinALease(t *testing.T) {
	for seed := range uint64(2000) {
		ss := simulate(seed, orderDelay, waitRule)
		if alternates(ss) {
			t.Fatalf("seed %d: %v", seed, ss)
		}
		if len(ss) < 3 {
			t.Fatalf("seed %d: fewer than 3 tenures with orders: %v", seed, ss)
		}
	}
}

// Without the wait, leaders that send orders immediately alternate.
func TestWithoutWaitingHoldersAlternate(t *testing.T) {
	if !alternates(simulate(1, orderDelay, func(Record, ident.HostID) time.Duration { return 0 })) {
		t.Fatal("nothing notices")
	}
}

// Without the margin for late orders, leaders alternate under some seed.
func TestWithoutTheMarginForLateOrdersHoldersAlternate(t *testing.T) {
	for seed := range uint64(2000) {
		if alternates(simulate(seed, 0, waitRule)) {
			return
		}
	}
	t.Fatal("nothing notices")
}

// A leader that takes over from a settled holder sends orders immediately.
func TestTakeoverFromASettledHolderNeedsNoWait(t *testing.T) {
	r := Record{}.Next(Record{Term: 3, Host: "a"}).Next(Record{Term: 3, Host: "a", Settled: true})
	if w := Wait(r, "b", lease); w != 0 {
		t.Fatalf("waits %v", w)
	}
	r = r.Next(Record{Term: 5, Host: "b"}).Next(Record{Term: 3, Host: "a", Settled: true}) // the second one late
	if w := Wait(r, "a", lease); w != lease {
		t.Fatalf("waits %v", w)
	}
	if w := Wait(r, "b", lease); w != 0 {
		t.Fatalf("the same host waits %v", w)
	}
}

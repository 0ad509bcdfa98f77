package holder

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/ident"
)

const (
	lease = 3 * time.Second
	late  = time.Second
)

// span is the time in which one host gave orders.
type span struct {
	host       ident.HostID
	begin, end time.Duration
}

// turns plays random leaders, each of whom orders all the time that it may, and returns
// the spans of orders. wait and margin are the rule under test.
func turns(seed uint64, margin time.Duration, wait func(Record, ident.HostID) time.Duration) []span {
	r := rand.New(rand.NewPCG(seed, 3))
	var rec Record
	var out []span
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
				out = append(out, span{host, first, end})
			}
		}
		now = end + time.Duration(200+r.IntN(1000))*time.Millisecond
	}
	return out
}

// taken returns whether holders took turns before some engine: the last order of one
// arrived, late perhaps, then one of the next holder, and less than a lease after the
// first the holder after next began.
func taken(ss []span) bool {
	for i := 2; i < len(ss); i++ {
		last := ss[i-2].end + late
		if ss[i-1].end > last && ss[i].begin-last < lease || ss[i].begin-ss[i-2].end < lease {
			return true
		}
	}
	return false
}

func usual(r Record, h ident.HostID) time.Duration { return Wait(r, h, lease) }

// Symptom: an engine is ordered by one host, by another
// and by the first again within a moment.
// Sequence: leaders change several times in a few seconds.
func TestHoldersNeverTakeTurnsWithinALease(t *testing.T) {
	for seed := range uint64(2000) {
		ss := turns(seed, late, usual)
		if taken(ss) {
			t.Fatalf("seed %d: %v", seed, ss)
		}
		if len(ss) < 3 {
			t.Fatalf("seed %d: hardly anybody orders: %v", seed, ss)
		}
	}
}

// The safeguard removed: leaders that order at once take turns.
func TestWithoutWaitingHoldersTakeTurns(t *testing.T) {
	if !taken(turns(1, late, func(Record, ident.HostID) time.Duration { return 0 })) {
		t.Fatal("nothing notices")
	}
}

// The margin for late orders removed: some course has turns.
func TestWithoutTheMarginForLateOrdersHoldersTakeTurns(t *testing.T) {
	for seed := range uint64(2000) {
		if taken(turns(seed, 0, usual)) {
			return
		}
	}
	t.Fatal("nothing notices")
}

// A leader after one that has led for long orders at once.
func TestHandoverFromASettledHolderCostsNothing(t *testing.T) {
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

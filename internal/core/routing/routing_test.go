package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/ident"
)

var start = time.Unix(1000, 0)

func table() *Table {
	return New(DefaultConfig("near", rand.New(rand.NewPCG(1, 1)).IntN))
}

func candidates(n int, zone ident.Zone) []Candidate {
	var out []Candidate
	for i := range n {
		out = append(out, Candidate{Host: ident.HostID(fmt.Sprint(zone, i)), Zone: zone, Slots: 10})
	}
	return out
}

func count(t *Table, cs []Candidate, prefix uint64, n int) map[ident.HostID]int {
	out := map[ident.HostID]int{}
	for range n {
		if c, ok := t.Pick(start, cs, prefix, nil); ok {
			out[c.Host]++
			t.Sent(c.Host)
		}
	}
	return out
}

func TestOwnAvailabilityZoneFirstUntilItIsFull(t *testing.T) {
	is := is.New(t)
	tab := table()
	cs := append(candidates(2, "near"), candidates(2, "far")...)
	got := count(tab, cs, 0, 15)
	is.Equal(got["near0"]+got["near1"], 15)
	got = count(tab, cs, 0, 20)
	is.True(got["far0"]+got["far1"] > 5) // other zones are used too
}

func TestLoadIsSpread(t *testing.T) {
	is := is.New(t)
	got := count(table(), candidates(8, "near"), 0, 64)
	for _, n := range got {
		is.True(n <= 12) // 8 on average
	}
}

func TestPrefixIsOnlyAHint(t *testing.T) {
	is := is.New(t)
	tab := table()
	cs := candidates(8, "near")
	got := count(tab, cs, 12345, 3)
	is.Equal(len(got), 1) // the same endpoint as long as it is not clearly busier
	got = count(tab, cs, 12345, 60)
	is.True(len(got) > 4)
}

// Guards against the ejection of every endpoint that failed: when most endpoints do not
// answer for a short time, all traffic would go to the one that is left and overload it.
func TestEjectionKeepsAMinimumEligible(t *testing.T) {
	is := is.New(t)
	tab := table()
	cs := candidates(8, "near")
	for _, c := range cs[:7] {
		for range 3 {
			tab.Failed(start, c.Host)
		}
	}
	is.True(tab.Ejected(start, cs[0].Host))
	is.True(len(count(tab, cs, 0, 100)) >= 4)
	is.Equal(tab.Ejected(start.Add(time.Minute), cs[0].Host), false)
}

func TestLeavingEndpointsGetNoRequests(t *testing.T) {
	is := is.New(t)
	tab := table()
	cs := candidates(2, "near")
	tab.Report(start, cs[0].Host, Load{Slots: 10, Leaving: true})
	is.Equal(count(tab, cs, 0, 20)[cs[0].Host], 0)
	_, ok := tab.Pick(start, cs[:1], 0, nil)
	is.True(!ok)
}

func TestTriedEndpointsAreChosenLast(t *testing.T) {
	is := is.New(t)
	cs := candidates(2, "near")
	for range 20 {
		c, ok := table().Pick(start, cs, 0, []ident.HostID{cs[0].Host})
		is.True(ok)
		is.Equal(c.Host, cs[1].Host)
	}
}

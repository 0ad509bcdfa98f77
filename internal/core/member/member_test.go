package member

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/state"
)

var start = time.Unix(1000, 0)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func endpoint(inc ident.Incarnation, up bool) []state.Endpoint {
	return []state.Endpoint{{Host: "h", Incarnation: inc, Up: up}}
}

func TestLeaseEndsAndIsHeldAgain(t *testing.T) {
	is := is.New(t)
	tab := New(DefaultConfig(), start)
	is.Equal(len(tab.Check(at(4), endpoint(1, true))), 0) // a new leader waits
	cs := tab.Check(at(6), endpoint(1, true))
	is.Equal(cs[0].Endpoint.Endpoint.Up, false)
	tab.Heard(at(7), "h", 1)
	cs = tab.Check(at(7), endpoint(1, false))
	is.Equal(cs[0].Endpoint.Endpoint.Up, true)
}

// Symptom: a dead process holds its lease.
// Sequence: its delayed beat arrives after its successor's.
// Cause: beats carry no order but the incarnation.
func TestBeatsOfAnOlderLifeDoNotCount(t *testing.T) {
	is := is.New(t)
	tab := New(DefaultConfig(), start)
	tab.Heard(at(1), "h", 2)
	tab.Heard(at(6), "h", 1)
	cs := tab.Check(at(7), endpoint(2, true))
	is.Equal(cs[0].Endpoint.Endpoint.Up, false)
}

// Symptom: a live endpoint is taken out because of the host's earlier life.
// Sequence: the list, which lags, still shows the host as leaving or absent.
// Cause: the list alone is never believed over a live lease.
func TestTheListIsNotBelievedOverALiveLease(t *testing.T) {
	is := is.New(t)
	tab := New(DefaultConfig(), start)
	tab.List(at(0), map[ident.HostID]Standing{"h": Leaving})
	for s := 1.0; s < 100; s++ {
		tab.Heard(at(s), "h", 2)
		tab.List(at(s), map[ident.HostID]Standing{"h": Leaving})
		is.Equal(len(tab.Check(at(s), endpoint(2, true))), 0)
	}
	tab.List(at(100), map[ident.HostID]Standing{"h": Live})
	tab.Heard(at(101), "h", 2)
	tab.List(at(101), map[ident.HostID]Standing{"h": Leaving})
	cs := tab.Check(at(101), endpoint(2, true))
	is.Equal(cs[0].Endpoint.Endpoint.Leaving, true) // seen live in this life, then leaving
}

func TestOnlyLeaseAndListTogetherForgetAnEndpoint(t *testing.T) {
	is := is.New(t)
	tab := New(DefaultConfig(), start)
	tab.List(at(0), map[ident.HostID]Standing{"h": Live})
	is.Equal(len(tab.Check(at(1000), endpoint(1, false))), 0) // listed: kept
	tab.List(at(1000), map[ident.HostID]Standing{})
	is.Equal(len(tab.Check(at(1020), endpoint(1, false))), 0) // the list may lag
	cs := tab.Check(at(1031), endpoint(1, false))
	is.Equal(cs[0].Forget.Host, ident.HostID("h"))
}

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

func endpoints(inc ident.Incarnation, up bool) []state.Endpoint {
	return []state.Endpoint{{Host: "h", Incarnation: inc, Up: up}}
}

func TestLeaseEndsAndIsHeldAgain(t *testing.T) {
	is := is.New(t)
	tab := New(DefaultConfig(), start)
	is.Equal(len(tab.Check(at(4), endpoints(1, true))), 0) // within a lease from the start of the term
	cs := tab.Check(at(6), endpoints(1, true))
	is.Equal(cs[0].Endpoint.Endpoint.Up, false)
	tab.RenewLease(at(7), "h", 1)
	cs = tab.Check(at(7), endpoints(1, false))
	is.Equal(cs[0].Endpoint.Endpoint.Up, true)
}

// A delayed heartbeat of a dead process arrives after one of its successor and must not
// renew the lease. Only the incarnation tells the two apart.
func TestHeartbeatsOfAnOlderIncarnationDoNotCount(t *testing.T) {
	is := is.New(t)
	tab := New(DefaultConfig(), start)
	tab.RenewLease(at(1), "h", 2)
	tab.RenewLease(at(6), "h", 1)
	cs := tab.Check(at(7), endpoints(2, true))
	is.Equal(cs[0].Endpoint.Endpoint.Up, false)
}

// The list lags and may still show an earlier incarnation of the host as leaving or absent.
// It must not take an endpoint with a live lease out of service.
func TestLiveLeaseOverridesTheList(t *testing.T) {
	is := is.New(t)
	tab := New(DefaultConfig(), start)
	tab.UpdateList(at(0), map[ident.HostID]Standing{"h": Leaving})
	for s := 1.0; s < 100; s++ {
		tab.RenewLease(at(s), "h", 2)
		tab.UpdateList(at(s), map[ident.HostID]Standing{"h": Leaving})
		is.Equal(len(tab.Check(at(s), endpoints(2, true))), 0)
	}
	tab.UpdateList(at(100), map[ident.HostID]Standing{"h": Live})
	tab.RenewLease(at(101), "h", 2)
	tab.UpdateList(at(101), map[ident.HostID]Standing{"h": Leaving})
	cs := tab.Check(at(101), endpoints(2, true))
	is.Equal(cs[0].Endpoint.Endpoint.Leaving, true) // listed as live in this incarnation, then as leaving
}

func TestEndpointIsRemovedOnlyIfLeaseAndListAgree(t *testing.T) {
	is := is.New(t)
	tab := New(DefaultConfig(), start)
	tab.UpdateList(at(0), map[ident.HostID]Standing{"h": Live})
	is.Equal(len(tab.Check(at(1000), endpoints(1, false))), 0) // listed: kept
	tab.UpdateList(at(1000), map[ident.HostID]Standing{})
	is.Equal(len(tab.Check(at(1020), endpoints(1, false))), 0) // the list may lag
	cs := tab.Check(at(1031), endpoints(1, false))
	is.Equal(cs[0].Forget.Host, ident.HostID("h"))
}

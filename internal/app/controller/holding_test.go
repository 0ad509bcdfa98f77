package controller

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/holder"
)

// timeToFirstOrder returns how long a leader takes until its first order, with a lease
// of 700 ms.
func timeToFirstOrder(t *testing.T, lead *testHost) time.Duration {
	t.Helper()
	fl := &testFleet{answer: fleet.Accepted}
	begin := time.Now()
	c := startWithLease(t, lead, fl, 700*time.Millisecond)
	eventually(t, "an order is given", func() bool { requestModel(t, c); return fl.orderCount() > 0 })
	return time.Since(begin)
}

// Guards against a new leader that waits for a lease even if the previous holder had
// settled: then no model is loaded for 3 s after each change of leader.
func TestLeaderAfterASettledHolderOrdersAtOnce(t *testing.T) {
	is := is.New(t)
	lead := leading(7)
	lead.holder = holder.Record{Term: 5, Host: "h2", Settled: true}
	is.True(timeToFirstOrder(t, lead) < 500*time.Millisecond)
	eventually(t, "the log records that it has settled", func() bool {
		return lead.Holder() == holder.Record{Term: 7, Host: "h1", Settled: true}
	})
}

// Guards against orders to one engine that alternate between two hosts: a leader is
// replaced before it has led for a lease.
func TestLeaderAfterAnUnsettledHolderWaits(t *testing.T) {
	is := is.New(t)
	lead := leading(7)
	lead.holder = holder.Record{Term: 6, Host: "h2"}
	is.True(timeToFirstOrder(t, lead) >= 700*time.Millisecond)
	is.Equal(lead.Holder(), holder.Record{Term: 7, Host: "h1"})
}

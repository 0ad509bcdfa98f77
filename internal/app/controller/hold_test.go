package controller

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/holder"
)

// firstOrder returns how long a leader takes until its first order, with a lease of
// 700 ms.
func firstOrder(t *testing.T, lead *testLead) time.Duration {
	t.Helper()
	fl := &testFleet{answer: fleet.Accepted}
	begun := time.Now()
	c := beginWith(t, lead, fl, 700*time.Millisecond)
	eventually(t, "an order is given", func() bool { want(t, c); return fl.given() > 0 })
	return time.Since(begun)
}

// Symptom: nothing is loaded for 3 s after each change of leader.
// Sequence: a leader that has led for long dies.
// Cause: the next one waited for a lease whoever had held the engines before.
func TestLeaderAfterASettledHolderOrdersAtOnce(t *testing.T) {
	is := is.New(t)
	lead := leading(7)
	lead.holder = holder.Record{Term: 5, Host: "h2", Settled: true}
	is.True(firstOrder(t, lead) < 500*time.Millisecond)
	eventually(t, "it is noted that it has held them for a lease", func() bool {
		return lead.Holder() == holder.Record{Term: 7, Host: "h1", Settled: true}
	})
}

// Symptom: two hosts take turns at ordering one engine.
// Sequence: a leader is followed by another before it has led for a lease.
func TestLeaderAfterAHolderOfAMomentWaits(t *testing.T) {
	is := is.New(t)
	lead := leading(7)
	lead.holder = holder.Record{Term: 6, Host: "h2"}
	is.True(firstOrder(t, lead) >= 700*time.Millisecond)
	is.Equal(lead.Holder(), holder.Record{Term: 7, Host: "h1"})
}

package controller

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/cassiapass/cassiapass/internal/core/fleet"
)

// countingLead counts how often a quorum is asked to confirm the lead.
type countingLead struct {
	*testLead
	asked atomic.Int64
}

func (l *countingLead) ConfirmLead(ctx context.Context, term uint64) error {
	l.asked.Add(1)
	return l.testLead.ConfirmLead(ctx, term)
}

// idle returns a controller whose loop does not run.
func idle(lead Leadership, fl *testFleet) *Controller {
	c := New(Config{Fleet: fl, Plan: fleet.DefaultConfig(), Host: "h1", Log: zerolog.Nop()})
	c.lead = lead
	return c
}

// orders returns n orders for different endpoints.
func orders(n int) []fleet.Order {
	var out []fleet.Order
	for i := range n {
		out = append(out, fleet.Order{Endpoint: fleet.EndpointID(fmt.Sprint(i)), Op: fleet.Load, Want: fleet.Want{Model: "m"}})
	}
	return out
}

// Symptom: before 180 engines the leader's half core is busy, orders leave 0.1 to 0.4 s late.
// Sequence: a plan gives several orders at once; each asks all voters whether this host leads.
func TestOrdersOfOnePlanAreConfirmedOnce(t *testing.T) {
	is := is.New(t)
	fl := &testFleet{answer: fleet.Accepted}
	lead := &countingLead{testLead: leading(7)}
	c := idle(lead, fl)
	c.giveAll(nil, 7, orders(12))
	is.Equal(lead.asked.Load(), int64(1))
	is.Equal(fl.given(), 12)
}

// Symptom: engines get orders from a host that leads no more.
// Sequence: a leader is frozen after a plan, another one takes over, it wakes up.
func TestOrdersThatNoQuorumConfirmsAreNotGiven(t *testing.T) {
	is := is.New(t)
	fl := &testFleet{answer: fleet.Accepted}
	lead := leading(7)
	lead.confirmed = false
	c := idle(lead, fl)
	c.giveAll(nil, 7, orders(3))
	is.Equal(fl.given(), 0)
}

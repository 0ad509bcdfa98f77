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

// countingHost counts how often a quorum is asked to confirm its leadership.
type countingHost struct {
	*testHost
	confirmations atomic.Int64
}

func (l *countingHost) ConfirmLeadership(ctx context.Context, term uint64) error {
	l.confirmations.Add(1)
	return l.testHost.ConfirmLeadership(ctx, term)
}

// idle returns a controller whose loop does not run.
func idle(lead Leadership, fl *testFleet) *Controller {
	c := New(Config{Fleet: fl, Planner: fleet.DefaultConfig(), Host: "h1", Log: zerolog.Nop()})
	c.host = lead
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

// Guards against a leader that confirms its leadership with all voters for each of several
// orders of one plan: with 180 engines its half core is busy, and orders leave 0.1 to 0.4 s
// late.
func TestOrdersOfOnePlanAreConfirmedOnce(t *testing.T) {
	is := is.New(t)
	fl := &testFleet{answer: fleet.Accepted}
	lead := &countingHost{testHost: leading(7)}
	c := idle(lead, fl)
	c.sendOrders(nil, 7, orders(12))
	is.Equal(lead.confirmations.Load(), int64(1))
	is.Equal(fl.orderCount(), 12)
}

// Guards against orders from a host that no longer leads: a leader is suspended after a
// plan, another one takes over, and the first one resumes.
func TestOrdersWithoutQuorumConfirmationAreNotSent(t *testing.T) {
	is := is.New(t)
	fl := &testFleet{answer: fleet.Accepted}
	lead := leading(7)
	lead.confirmed = false
	c := idle(lead, fl)
	c.sendOrders(nil, 7, orders(3))
	is.Equal(fl.orderCount(), 0)
}

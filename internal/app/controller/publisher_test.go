package controller

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/deploy"
	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/wire"
)

// behind reports whether an entry that holds a revision is sent the present state now.
func behind(c *Controller, entry string, rev uint64) bool {
	_, missing, _ := c.pub.answer(wire.PullParams{Host: ident.HostID(entry), Term: 3, Rev: rev, Version: 9})
	return missing
}

// Guards against a delay of 0.1 s for a cold start with 105 entries after its model is
// loaded, and against a leader that spends a quarter of its time publishing each load to all
// entries. An entry waits for a model, which is loaded just after a publication of something
// else to all entries.
func TestWaitingEntryIsUpdatedFirst(t *testing.T) {
	is := is.New(t)
	c := idle(leading(3), &testFleet{})
	now := time.Unix(1e6, 0)
	c.beginTerm(now, 3)
	c.listOK = true
	c.planner.SetDeployment(&deploy.Config{Services: map[string]*deploy.Service{"llm": {Name: "llm", Engine: &deploy.Engine{
		Slots: 8, ModelMegabytes: 83000, AdapterSlots: 2, Models: map[string]*deploy.Model{"m": {Name: "m", Megabytes: 20000, FromDisk: 50 * time.Millisecond}}}}}})
	for _, e := range []string{"waits", "other"} {
		c.entries[e] = now.Add(time.Hour)
	}
	for i := range 100 {
		c.entries[string(rune('A'+i))] = now.Add(time.Hour)
	}
	c.planner.List(now, now, []fleet.Endpoint{{ID: "e0", Service: "llm", Slots: 8, Copies: fleet.Copies{Disk: []string{"m"}}}})
	for range 2 { // the first report is not trusted yet
		now = now.Add(300 * time.Millisecond)
		c.planner.Plan(now)
		c.planner.Reported(now, "e0", fleet.Report{Copies: fleet.Copies{Disk: []string{"m"}}})
	}
	c.publish(now)
	is.True(behind(c, "waits", 0) && behind(c, "other", 0))
	first := c.rev

	_, _, wake := c.pub.answer(wire.PullParams{Host: "waits", Term: 3, Rev: first, Version: 9})
	c.planner.RecordDemand(now, "waits", []fleet.Demand{{Want: fleet.Want{Model: "m"}, Arrived: 1, Waiting: 1, Earliest: time.Second}}, nil)
	w := c.planner.Plan(now)
	is.Equal(len(w.Orders), 1)
	c.planner.Answered(now, w.Orders[0], fleet.Accepted)
	now = now.Add(70 * time.Millisecond) // the load has ended
	c.planner.Plan(now)
	c.publish(now)

	select {
	case <-wake.own:
	default:
		t.Fatal("the entry that waits was not woken")
	}
	is.True(behind(c, "waits", first))
	is.True(!behind(c, "other", first))
	c.publish(now.Add(time.Second))
	is.True(behind(c, "other", first)) // with all entries
	is.True(!behind(c, "waits", c.rev))
}

// Guards against an entry that receives no more updates after it was sent a revision that
// was published to waiting entries alone; the next revision is published to all.
func TestEntryUpdatedAheadOfOthersGetsLaterUpdates(t *testing.T) {
	is := is.New(t)
	pub := newPublisher(0)
	pub.startLeading(3)
	pub.publishAll(1, nil)
	pub.publishTo([]string{"waits"}, 2, []fleet.Endpoint{{ID: "a"}})
	r, missing, _ := pub.answer(wire.PullParams{Host: "waits", Term: 3, Rev: 1})
	is.True(missing)
	is.Equal(len(*r.Endpoints), 1)
	pub.publishAll(3, []fleet.Endpoint{{ID: "a"}, {ID: "b"}})
	for host, rev := range map[ident.HostID]uint64{"waits": 2, "other": 1} {
		r, missing, _ = pub.answer(wire.PullParams{Host: host, Term: 3, Rev: rev})
		is.True(missing)
		is.Equal(len(*r.Endpoints), int(3-rev))
	}
}

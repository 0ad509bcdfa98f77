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

// told reports whether an entry that holds a revision is told of the present state now.
func told(c *Controller, entry string, rev uint64) bool {
	_, lacks, _ := c.board.answer(wire.PullParams{Host: ident.HostID(entry), Term: 3, Rev: rev, Version: 9})
	return lacks
}

// Symptom: a cold start before 105 entries waits for 0.1 s after its model is loaded, and
// the leader spends a quarter of its time on telling all entries of each load.
// Sequence: an entry waits for a model; the model is loaded a moment after all entries were
// told of something else.
func TestEntryThatWaitsIsToldBeforeAllOthers(t *testing.T) {
	is := is.New(t)
	c := idle(leading(3), &testFleet{})
	now := time.Unix(1e6, 0)
	c.begin(now, 3)
	c.listOK = true
	c.planner.SetDeployment(&deploy.Config{Services: map[string]*deploy.Service{"llm": {Name: "llm", Engine: &deploy.Engine{
		Slots: 8, Weights: 83000, AdapterPlaces: 2, Models: map[string]*deploy.Model{"m": {Name: "m", Megabytes: 20000, FromDisk: 50 * time.Millisecond}}}}}})
	for _, e := range []string{"waits", "other"} {
		c.entries[e] = now.Add(time.Hour)
	}
	for i := range 100 {
		c.entries[string(rune('A'+i))] = now.Add(time.Hour)
	}
	c.planner.List(now, now, []fleet.Endpoint{{ID: "e0", Service: "llm", Slots: 8, Copies: fleet.Copies{Disk: []string{"m"}}}})
	for range 2 { // the first report is not believed yet
		now = now.Add(300 * time.Millisecond)
		c.planner.Plan(now)
		c.planner.Reported(now, "e0", fleet.Report{Copies: fleet.Copies{Disk: []string{"m"}}})
	}
	c.publish(now)
	is.True(told(c, "waits", 0) && told(c, "other", 0))
	first := c.rev

	_, _, news := c.board.answer(wire.PullParams{Host: "waits", Term: 3, Rev: first, Version: 9})
	c.planner.Hear(now, "waits", []fleet.Demand{{Want: fleet.Want{Model: "m"}, Arrived: 1, Waiting: 1, Earliest: time.Second}}, nil)
	w := c.planner.Plan(now)
	is.Equal(len(w.Orders), 1)
	c.planner.Answered(now, w.Orders[0], fleet.Accepted)
	now = now.Add(70 * time.Millisecond) // the load has ended
	c.planner.Plan(now)
	c.publish(now)

	select {
	case <-news.own:
	default:
		t.Fatal("the entry that waits was not woken")
	}
	is.True(told(c, "waits", first))
	is.True(!told(c, "other", first))
	c.publish(now.Add(time.Second))
	is.True(told(c, "other", first)) // in its turn
	is.True(!told(c, "waits", c.rev))
}

// Symptom: an entry that fell behind is told nothing any more.
// Sequence: it holds the state that only those who waited were told; all are told the next.
func TestEntryThatWasToldBeforeOthersIsToldWhatComesLater(t *testing.T) {
	is := is.New(t)
	b := newBoard(0)
	b.lead(3)
	b.endpoints(1, nil)
	b.endpointsTo([]string{"waits"}, 2, []fleet.Endpoint{{ID: "a"}})
	r, lacks, _ := b.answer(wire.PullParams{Host: "waits", Term: 3, Rev: 1})
	is.True(lacks)
	is.Equal(len(*r.Endpoints), 1)
	b.endpoints(3, []fleet.Endpoint{{ID: "a"}, {ID: "b"}})
	for host, rev := range map[ident.HostID]uint64{"waits": 2, "other": 1} {
		r, lacks, _ = b.answer(wire.PullParams{Host: host, Term: 3, Rev: rev})
		is.True(lacks)
		is.Equal(len(*r.Endpoints), int(3-rev))
	}
}

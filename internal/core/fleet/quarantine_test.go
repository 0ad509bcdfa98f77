package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/poison"
)

// Engines ended one after the other, each shortly after it was ordered to load the same
// model. A requested model that no engine holds ends each engine that loads it, and the
// planner orders it on the next one, and again on each that has restarted. What a load did
// to one engine must not be forgotten with that engine.
func TestModelWhoseLoadEndsEnginesIsQuarantined(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, 6, 12, 0)
	for _, e := range s.engines {
		e.fatalModel, e.born = "m3", 1
	}
	ask := []Demand{ // one request each, which keeps waiting
		{Want: Want{Model: "m3"}, Waiting: 1, Earliest: time.Second},
		{Want: Want{Model: "m5"}, Waiting: 1, Earliest: time.Second},
	}
	for i := range 3000 { // 30 s
		if i%40 == 0 {
			s.list()
		}
		s.p.RecordDemand(s.now, "entry", ask, nil)
		s.step()
	}
	ended := 0
	for _, e := range s.engines {
		ended += e.fatalLoads
	}
	t.Logf("%d engines ended under a load of the model", ended)
	is.True(ended >= poison.EndsToQuarantine)   // otherwise the test does not cause the failure
	is.True(ended <= poison.EndsToQuarantine+1) // one more load may be in progress
	is.True(s.held(Want{Model: "m5"}))          // other models are still loaded
}

// A model whose loads end no engine is loaded however often engines end later.
func TestEndsLongAfterALoadDoNotCountAgainstIt(t *testing.T) {
	is := is.New(t)
	p := New(DefaultConfig())
	now := time.Unix(1e6, 0)
	for i := range 5 {
		e := newEngine(Endpoint{ID: EndpointID(fmt.Sprint("e", i))}, now)
		e.newestLoad = lastLoad{Want{Model: "m"}, now.Add(loadFaultWindow)}
		p.recordLoaded(e, []Held{{Model: "m"}})
		p.recordEnd(now, e) // the report showed that the load was done

		e.newestLoad = lastLoad{Want{Model: "m"}, now}
		p.recordEnd(now.Add(time.Second), e) // it ended later
	}
	is.True(p.mayLoad(now, Want{Model: "m"}))
}

// A model was not loaded any more, and all requests for it were refused. A request ends each
// engine as soon as that holds its model, before any report; the ends follow a load closely,
// but must not be attributed to it.
func TestEndsUnderARequestAreNotAttributedToItsModel(t *testing.T) {
	is := is.New(t)
	p := New(DefaultConfig())
	now := time.Unix(1e6, 0)
	want := Want{Model: "m"}
	for i := range 6 {
		e := newEngine(Endpoint{ID: EndpointID(fmt.Sprint("e", i))}, now)
		p.engines[e.ep.ID] = e
		e.newestLoad = lastLoad{want, now.Add(loadFaultWindow)}
		use := []Use{{Endpoint: e.ep.ID, Want: want, Sent: 1}}
		if i%2 == 0 { // reported before its end is detected, and after
			p.RecordDemand(now, "entry", nil, use)
		}
		p.recordEnd(now, e)
		p.removeEngine(e)
		p.RecordDemand(now, "entry", nil, use)
		is.True(p.mayLoad(now, want))
	}
}

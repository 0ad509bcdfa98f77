package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// servedBy reports whether any engine takes requests for a model.
func servedBy(p *Planner, now time.Time, name string) bool {
	for _, e := range p.engines {
		if e.has(Want{Model: name}) && e.serves(now) {
			return true
		}
	}
	return false
}

// replacedWithin returns whether another engine holds m0 within a time after its only holder has
// asked for something.
func replacedWithin(limit time.Duration, n func(now time.Time) Notice) bool {
	s := newSimulation(1, 6, 8, 0)
	s.list()
	var only EndpointID
	var askedAt time.Time
	for i := range 1000 { // 10 s
		if i%20 == 0 {
			d := Demand{Want: Want{Model: "m0"}, Arrived: 1}
			if !servedBy(s.p, s.now, "m0") {
				d.Waiting, d.Earliest = 1, 10*time.Second
			}
			s.p.RecordDemand(s.now, "entry", []Demand{d}, nil)
		}
		if i >= 300 && only == "" {
			for id, e := range s.engines {
				if e.held["m0"] != nil {
					only, askedAt = id, s.now
				}
			}
		}
		if only != "" {
			s.p.SetNotices(map[EndpointID]Notice{only: n(askedAt)})
		}
		if i%40 == 0 {
			s.list()
		}
		s.step()
		if only == "" {
			continue
		}
		for id, e := range s.engines {
			if id != only && e.held["m0"] != nil && s.now.Sub(askedAt) <= limit {
				return true
			}
		}
	}
	return false
}

// Guards against a model whose only engine pauses or leaves and that counts as held.
func TestModelOfAPausingOrLeavingEngineGetsAnother(t *testing.T) {
	is := is.New(t)
	is.True(replacedWithin(2*time.Second, func(at time.Time) Notice { return Notice{PausedUntil: at.Add(5 * time.Second)} }))
	is.True(replacedWithin(2*time.Second, func(time.Time) Notice { return Notice{Leaving: true} }))
	is.True(!replacedWithin(2*time.Second, func(time.Time) Notice { return Notice{} }))
	is.True(!replacedWithin(2*time.Second, func(at time.Time) Notice { return Notice{PausedUntil: at.Add(300 * time.Millisecond)} }))
}

// Guards against an engine that gets requests and loads although its own report says that it leaves,
// as the list lags.
func TestReportThatSaysLeavingCounts(t *testing.T) {
	is := is.New(t)
	p := New(DefaultConfig())
	now := time.Unix(1e6, 0)
	eps := []Endpoint{{ID: "a@1", Server: "a", StartedAt: 1, Service: "llm", Slots: 32}}
	p.List(now, now, eps)
	p.Reported(now, "a@1", Report{StartedAt: 1, Leaving: true})
	p.List(now.Add(time.Second), now.Add(time.Second), eps)
	is.True(p.Endpoints()[0].Leaving)
}

// Guards against a list that calls an engine ready which has told an entry that it leaves.
func TestListDoesNotLiftWhatAnEngineSaidOfLeaving(t *testing.T) {
	is := is.New(t)
	p := New(DefaultConfig())
	now := time.Unix(1e6, 0)
	eps := []Endpoint{{ID: "a@1", Server: "a", StartedAt: 1, Service: "llm", Slots: 32}}
	p.List(now, now, eps)
	p.SetNotices(map[EndpointID]Notice{"a@1": {Leaving: true}})
	is.True(p.TakeChanged())
	p.SetNotices(nil)
	p.List(now.Add(time.Second), now.Add(time.Second), eps)
	is.True(p.Endpoints()[0].Leaving)
	is.True(!p.TakeChanged())
	eps[0].ID, eps[0].StartedAt = "a@2", 2 // another start has said nothing
	p.List(now.Add(2*time.Second), now.Add(2*time.Second), eps)
	is.True(!p.Endpoints()[0].Leaving)
}

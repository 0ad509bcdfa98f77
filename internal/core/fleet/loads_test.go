package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func modelName(i int) string { return fmt.Sprintf("m%d", i) }

// loadsPerEntry returns how many endpoints an entry is told of on average, in a fleet where
// each entry asks for a dozen models and engines run 4.5 requests each.
func loadsPerEntry(engines, entries, models int) float64 {
	now, r := time.Unix(1e6, 0), rand.New(rand.NewPCG(1, 1))
	p, interests := New(DefaultConfig()), Interests{}
	var eps []Endpoint
	for i := range engines {
		eps = append(eps, Endpoint{ID: EndpointID(fmt.Sprintf("e%04d", i)), Service: "llm", Slots: 16, Held: []Held{{Model: modelName(2 * i % models)}, {Model: modelName((2*i + 1) % models)}}})
	}
	p.List(now, now, eps)
	for e := range entries {
		var ds []Demand
		for range 12 {
			ds = append(ds, Demand{Want: Want{Model: modelName(r.IntN(models))}, Arrived: 1})
		}
		var us []Use
		for range 8 {
			us = append(us, Use{Endpoint: eps[r.IntN(engines)].ID, Running: 1})
		}
		p.RecordDemand(now, fmt.Sprint(e), ds, us)
		interests.Record(now, fmt.Sprint(e), ds)
	}
	all, sum := p.Loads(), 0
	for e := range entries {
		sum += len(interests.Of(fmt.Sprint(e), all))
	}
	return float64(sum) / float64(entries)
}

// Guards against messages that grow with the square of the fleet: each entry was told of the
// requests on every engine, 9 kB an answer at 636 engines and 17 kB at twice as many.
func TestLoadsToldToAnEntryStayTheSameAtTwiceTheFleet(t *testing.T) {
	is := is.New(t)
	fleet, twice := loadsPerEntry(636, 360, 370), loadsPerEntry(1272, 720, 740)
	is.True(fleet > 5) // it is told of engines
	is.True(twice <= 1.1*fleet)
}

func TestEntryIsToldTheNotableLoadsOfWhatItAsksFor(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1e6, 0)
	p := New(DefaultConfig())
	p.List(now, now, []Endpoint{
		{ID: "full", Slots: 8, Held: []Held{{Model: "a"}}}, {ID: "idle", Slots: 8, Held: []Held{{Model: "a"}}},
		{ID: "other", Slots: 8, Held: []Held{{Model: "b"}}}, {ID: "plain", Slots: 4},
	})
	interests := Interests{}
	interests.Record(now, "entry", []Demand{{Want: Want{Model: "a", Adapter: "x"}, Arrived: 1}})
	p.RecordDemand(now, "entry", nil, []Use{{Endpoint: "full", Want: Want{Model: "a"}, Running: 7}, {Endpoint: "idle", Want: Want{Model: "a"}, Running: 1}})
	p.RecordDemand(now, "another", nil, []Use{{Endpoint: "other", Want: Want{Model: "b"}, Running: 7}, {Endpoint: "plain", Running: 2}})
	is.Equal(interests.Of("entry", p.Loads()), map[EndpointID]int{"full": 7, "plain": 2})
	interests.Record(now.Add(interestTime+time.Second), "entry", nil)
	is.Equal(interests.Of("entry", p.Loads()), map[EndpointID]int{"plain": 2})
	interests.Forget("entry")
	is.Equal(len(interests), 0)
}

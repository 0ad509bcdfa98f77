package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A model was not loaded for 12 s and more although another one had two engines. Models in
// constant use occupy all memory, one of them with a second replica left from an earlier
// peak, and a request for a model that no engine holds waits. A replica in use must be
// evicted where another engine can take over. The request rate counts, not only the running
// requests: a replica that its model needs for its rate stays, or the model gets it back a
// moment later.
func TestReplicaInUseIsEvictedForAModelWithoutOne(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, 3, 12, 0)
	places := map[EndpointID][]string{"e00": {"m1", "m3"}, "e01": {"m1", "m5"}, "e02": {"m7", "m9"}}
	var uses []Use
	for id, models := range places {
		for _, m := range models {
			s.engines[id].held[m] = map[string]bool{}
			uses = append(uses, Use{Endpoint: id, Want: Want{Model: m}, Running: 1, Sent: 1})
		}
	}
	s.step()
	s.list()
	want := Want{Model: "m11"}
	for i := 0; i < 1000 && !s.held(want); i++ { // 10 s
		at := time.Duration(i) * simStep
		s.p.RecordDemand(s.now, "entry", []Demand{{Want: want, Waiting: 1, Oldest: at, Earliest: 12*time.Second - at}}, uses)
		s.step()
	}
	is.True(s.held(want))
}

// loadsStarvedModel runs three engines whose memory is full with models in use, one of them
// with two replicas and requested at the given rate. It returns whether a model that no
// engine holds is loaded within span.
func loadsStarvedModel(rate float64, span time.Duration) bool {
	s := newSimulation(1, 3, 12, 0)
	var uses []Use
	for id, models := range map[EndpointID][]string{"e00": {"m1", "m3"}, "e01": {"m1", "m5"}, "e02": {"m7", "m9"}} {
		for _, m := range models {
			s.engines[id].held[m] = map[string]bool{}
			uses = append(uses, Use{Endpoint: id, Want: Want{Model: m}, Running: 1, Sent: 1})
		}
	}
	s.step()
	s.list()
	want := Want{Model: "m11"}
	arrived := 0.0
	for at := time.Duration(0); at < span && !s.held(want); at += simStep {
		arrived += rate * simStep.Seconds()
		n := int(arrived)
		arrived -= float64(n)
		s.p.RecordDemand(s.now, "entry", []Demand{{Want: want, Waiting: 1, Oldest: time.Second, Earliest: 5 * time.Second}, {Want: Want{Model: "m1"}, Arrived: n}}, uses)
		s.step()
	}
	return s.held(want)
}

func TestReplicaIsEvictedOnlyWhereTheOthersAreEnough(t *testing.T) {
	is := is.New(t)
	is.True(loadsStarvedModel(1, 12*time.Second))   // one engine is enough for it
	is.True(!loadsStarvedModel(60, 12*time.Second)) // it needs both
	is.True(!loadsStarvedModel(1, starvedAfter/2))  // memory usually becomes idle sooner
}

package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Symptom: a model is not loaded for 12 s and more, though another one has two engines.
// Sequence: every place is taken by models in use all the time, one of them in two
// places, as after a crowded moment; a request for a model that none holds waits.
// Cause: what is in use never made way, also where another engine could take over. What counts
// is what is asked for, not only what runs now: a replica that its model needs for its rate
// stays, or the model has it back a moment later.
func TestSecondReplicaInUseMakesWayForAModelThatHasNone(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, 3, 12, 0)
	places := map[EndpointID][]string{"e00": {"m1", "m3"}, "e01": {"m1", "m5"}, "e02": {"m7", "m9"}}
	var uses []Use
	for id, models := range places {
		for _, m := range models {
			s.engines[id].held[m] = map[string]bool{}
			uses = append(uses, Use{Endpoint: id, Want: Want{Model: m}, Running: 1, Begun: 1})
		}
	}
	s.step()
	s.list()
	want := Want{Model: "m11"}
	for i := 0; i < 1000 && !s.held(want); i++ { // 10 s
		at := time.Duration(i) * simStep
		s.p.Hear(s.now, "entry", []Demand{{Want: want, Waiting: 1, Oldest: at, Earliest: 12*time.Second - at}}, uses)
		s.step()
	}
	is.True(s.held(want))
}

// crowdedPlaces is a deployment of three engines whose places are all taken by models in use,
// one of them in two places and asked for at a rate. It returns whether a model that none
// holds is held after so long.
func crowdedPlaces(rate float64, span time.Duration) bool {
	s := newSimulation(1, 3, 12, 0)
	var uses []Use
	for id, models := range map[EndpointID][]string{"e00": {"m1", "m3"}, "e01": {"m1", "m5"}, "e02": {"m7", "m9"}} {
		for _, m := range models {
			s.engines[id].held[m] = map[string]bool{}
			uses = append(uses, Use{Endpoint: id, Want: Want{Model: m}, Running: 1, Begun: 1})
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
		s.p.Hear(s.now, "entry", []Demand{{Want: want, Waiting: 1, Oldest: time.Second, Earliest: 5 * time.Second}, {Want: Want{Model: "m1"}, Arrived: n}}, uses)
		s.step()
	}
	return s.held(want)
}

func TestReplicaMakesWayOnlyWhereTheOthersAreEnough(t *testing.T) {
	is := is.New(t)
	is.True(crowdedPlaces(1, 12*time.Second))   // one engine is enough for it
	is.True(!crowdedPlaces(60, 12*time.Second)) // it needs both
	is.True(!crowdedPlaces(1, starvedAfter/2))  // what gets idle comes sooner
}

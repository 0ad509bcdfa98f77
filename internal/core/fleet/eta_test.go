package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// bare returns a simulation of engines whose disks are empty, after they were heard.
func bare(engines, models int) *simulation {
	s := newSimulation(1, engines, models, 0)
	s.p.cfg.RoomAhead = 0
	for _, e := range s.engines {
		clear(e.disk)
	}
	s.step()
	s.list()
	s.run(60)
	return s
}

// away tells the planner of requests that were told to come back.
func (s *simulation) away(models ...string) {
	var ds []Demand
	for _, m := range models {
		ds = append(ds, Demand{Want: Want{Model: m}, Arrived: 1, Away: 1})
	}
	s.p.Hear(s.now, "entry", ds, nil)
}

// in returns the ETA of a model; 0 if there is none.
func (s *simulation) in(name string) time.Duration {
	for _, o := range s.p.ETAs(s.now) {
		if o.Model == name {
			return o.In
		}
	}
	return 0
}

// Symptom: callers wait for 4.7 s for a model that the store brings in 6 s at the earliest,
// and are refused then; those who come back wait as long again.
// Sequence: models that lie on no disk are asked for while others take the store's places.
// Cause: how long a request waits was a share of its time, whatever the leader knew.
func TestLeaderEstimatesWhenTheStoreBringsAModel(t *testing.T) {
	is := is.New(t)
	s := bare(12, 20)
	s.away("m0", "m1", "m2", "m3", "m4")
	s.run(2)
	is.Equal(s.p.store.under, 3) // one of four places is kept for crowded models
	loading, queued := 0, 0
	for _, m := range []string{"m0", "m1", "m2", "m3", "m4"} {
		switch in := s.in(m); {
		case in > 5*time.Second && in < 7*time.Second:
			loading++
		case in > 11*time.Second && in < 13*time.Second:
			queued++ // after one of the first
		}
	}
	is.Equal(loading, 3)
	is.Equal(queued, 2)
	s.run(300)
	is.True(s.in("m0") > 2*time.Second && s.in("m0") < 4*time.Second) // 3 s later
}

// Symptom: a model that is asked for all the time is never loaded.
// Sequence: callers are told at once that it cannot come in time, so none of them waits.
// Cause: only what waits counted as asked for.
func TestModelWhoseCallersWereToldToComeBackIsFetched(t *testing.T) {
	is := is.New(t)
	s := bare(6, 4)
	s.away("m0")
	s.run(700) // 7 s
	is.True(s.held(Want{Model: "m0"}))
	is.Equal(s.in("m0"), time.Duration(0))
}

// Symptom: callers are refused though their model would have come in half a second.
// Sequence: the model lies on the disk of an engine with nothing to do, or with an unload
// under way.
func TestModelThatComesSoonHasNoETA(t *testing.T) {
	is := is.New(t)
	s := bare(6, 4)
	s.engines["e00"].disk["m0"] = true
	s.run(15) // what is listed lags
	s.list()
	s.p.Hear(s.now, "entry", []Demand{{Want: Want{Model: "m0"}, Arrived: 1, Waiting: 1, Earliest: time.Second}}, nil)
	s.p.Plan(s.now)
	is.Equal(s.in("m0"), time.Duration(0))
}

// Symptom: after a fifth of the engines has crashed callers are refused at once, with 13 s to
// wait, for models that are served again in 4 s.
// Sequence: an engine with the only copy of a model crashes and is no longer listed; it
// starts again within seconds, and its disk is what it was.
func TestModelOfAnEngineThatMayBeBackHasNoETA(t *testing.T) {
	is := is.New(t)
	s := bare(12, 8)
	s.engines["e00"].disk["m0"] = true
	s.run(15)
	s.list()
	s.away("m1", "m2", "m3") // they take the store's places
	s.run(2)
	is.Equal(s.p.store.under, 3)
	delete(s.engines, "e00")
	s.list()
	s.away("m0", "m4")
	s.p.Plan(s.now)
	is.True(s.in("m4") > 11*time.Second)
	is.Equal(s.in("m0"), time.Duration(0))
	s.now = s.now.Add(mayReturn)
	s.p.Plan(s.now)
	is.True(s.in("m0") > 0) // it did not come back
}

// Symptom: all who ask for a dozen rare models are refused for 13 s.
// Sequence: the engine whose disk holds the only copies of them is given a load from the
// store, while others hold nothing that is not held elsewhere.
func TestStoreLoadsGoWhereTheyBlockNoOnlyCopies(t *testing.T) {
	is := is.New(t)
	s := bare(3, 20)
	for _, m := range []string{"m2", "m4", "m6", "m8"} {
		s.engines["e00"].disk[m] = true
	}
	s.engines["e01"].held["m10"] = map[string]bool{} // less room, and so dearer
	s.run(300)
	s.list()
	s.run(100)
	s.away("m0", "m1")
	s.run(5)
	is.True(s.p.engines["e00"].order == nil)
	is.True(s.p.engines["e01"].order != nil && s.p.engines["e02"].order != nil)
}

// Symptom: each look at the ETAs goes to all entries.
// Sequence: nothing changes but the time; then a load takes longer than stated.
func TestOnlyETAsThatMoveAreTold(t *testing.T) {
	is := is.New(t)
	f, now := ETATable{}, time.Unix(1e6, 0)
	is.Equal(len(f.Take(now, []ETA{{"a", 10 * time.Second}, {"b", 4 * time.Second}})), 2)
	now = now.Add(time.Second)
	is.Equal(len(f.Take(now, []ETA{{"a", 9 * time.Second}, {"b", 3 * time.Second}})), 0)
	is.Equal(f.Take(now, []ETA{{"a", 9 * time.Second}, {"b", 6 * time.Second}}), []ETA{{"b", 6 * time.Second}})
	is.Equal(f.Take(now, []ETA{{"a", 9 * time.Second}}), []ETA{{Model: "b"}}) // nothing any more
	is.Equal(len(f.Take(now, []ETA{{"a", 9 * time.Second}})), 0)
}

// A refusal tells a time that comes true: not before the model is there, and spread, so that
// those who were refused together do not return together.
func TestCallersComeBackAfterTheETA(t *testing.T) {
	is := is.New(t)
	low := ComeBackAt(13*time.Second, func(int64) int64 { return 0 })
	high := ComeBackAt(13*time.Second, func(n int64) int64 { return n - 1 })
	is.Equal(low, 13*time.Second)
	is.True(high > 14*time.Second && high < 15*time.Second)
	is.True(Comes(2*time.Second, 4*time.Second))
	is.True(!Comes(13*time.Second, 4*time.Second))
}

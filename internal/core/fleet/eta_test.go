package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// newEmptyDisks returns a simulation of engines with empty disks, after their first reports.
func newEmptyDisks(engines, models int) *simulation {
	s := newSimulation(1, engines, models, 0)
	s.p.cfg.Headroom = 0
	for _, e := range s.engines {
		clear(e.disk)
	}
	s.step()
	s.list()
	s.run(60)
	return s
}

// deferRequests reports requests that were refused with a time to retry after.
func (s *simulation) deferRequests(models ...string) {
	var ds []Demand
	for _, m := range models {
		ds = append(ds, Demand{Want: Want{Model: m}, Arrived: 1, Refused: 1})
	}
	s.p.RecordDemand(s.now, "entry", ds, nil)
}

// eta returns the ETA of a model; 0 if there is none.
func (s *simulation) eta(name string) time.Duration {
	for _, o := range s.p.ETAs(s.now) {
		if o.Model == name {
			return o.In
		}
	}
	return 0
}

// Callers waited 4.7 s for a model that the store delivers in 6 s at the earliest, and were
// then refused; those that retried waited as long again. Models that are on no disk are
// requested while others use the store's slots. The wait of a request was a share of its
// time limit, regardless of what the leader knew.
func TestLeaderEstimatesWhenTheStoreBringsAModel(t *testing.T) {
	is := is.New(t)
	s := newEmptyDisks(12, 20)
	s.deferRequests("m0", "m1", "m2", "m3", "m4")
	s.run(2)
	is.Equal(s.p.store.inFlight, 3) // one of four slots is reserved for crowded models
	loading, queued := 0, 0
	for _, m := range []string{"m0", "m1", "m2", "m3", "m4"} {
		switch in := s.eta(m); {
		case in > 5*time.Second && in < 7*time.Second:
			loading++
		case in > 11*time.Second && in < 13*time.Second:
			queued++ // after one of the first
		}
	}
	is.Equal(loading, 3)
	is.Equal(queued, 2)
	s.run(300)
	is.True(s.eta("m0") > 2*time.Second && s.eta("m0") < 4*time.Second) // 3 s later
}

// A model that was requested all the time was never loaded. Callers are refused at once
// because it cannot be ready in time, so none of them waits, and only waiting requests
// counted as demand.
func TestModelOfRefusedCallersIsFetched(t *testing.T) {
	is := is.New(t)
	s := newEmptyDisks(6, 4)
	s.deferRequests("m0")
	s.run(700) // 7 s
	is.True(s.held(Want{Model: "m0"}))
	is.Equal(s.eta("m0"), time.Duration(0))
}

// Callers were refused although their model would have been ready in half a second. The
// model is on the disk of an idle engine, or of one that is unloading.
func TestModelThatComesSoonHasNoETA(t *testing.T) {
	is := is.New(t)
	s := newEmptyDisks(6, 4)
	s.engines["e00"].disk["m0"] = true
	s.run(15) // the list lags
	s.list()
	s.p.RecordDemand(s.now, "entry", []Demand{{Want: Want{Model: "m0"}, Arrived: 1, Waiting: 1, Earliest: time.Second}}, nil)
	s.p.Plan(s.now)
	is.Equal(s.eta("m0"), time.Duration(0))
}

// After a fifth of the engines had crashed, callers were refused at once with 13 s to wait
// for models that were served again in 4 s. An engine with the only copy of a model crashes
// and is no longer listed; it restarts within seconds, with its disk unchanged.
func TestModelOfAReturningEngineHasNoETA(t *testing.T) {
	is := is.New(t)
	s := newEmptyDisks(12, 8)
	s.engines["e00"].disk["m0"] = true
	s.run(15)
	s.list()
	s.deferRequests("m1", "m2", "m3") // they use the store's slots
	s.run(2)
	is.Equal(s.p.store.inFlight, 3)
	delete(s.engines, "e00")
	s.list()
	s.deferRequests("m0", "m4")
	s.p.Plan(s.now)
	is.True(s.eta("m4") > 11*time.Second)
	is.Equal(s.eta("m0"), time.Duration(0))
	s.now = s.now.Add(returnWindow)
	s.p.Plan(s.now)
	is.True(s.eta("m0") > 0) // the engine did not return
}

// All requests for a dozen rare models were refused for 13 s. The engine whose disk holds
// the only copies of them gets a load from the store, although the others hold nothing that
// is not held elsewhere.
func TestStoreLoadsAvoidEnginesWithOnlyCopies(t *testing.T) {
	is := is.New(t)
	s := newEmptyDisks(3, 20)
	for _, m := range []string{"m2", "m4", "m6", "m8"} {
		s.engines["e00"].disk[m] = true
	}
	s.engines["e01"].held["m10"] = map[string]bool{} // less free memory, so a load costs more there
	s.run(300)
	s.list()
	s.run(100)
	s.deferRequests("m0", "m1")
	s.run(5)
	is.True(s.p.engines["e00"].order == nil)
	is.True(s.p.engines["e01"].order != nil && s.p.engines["e02"].order != nil)
}

// Every check of the ETAs was sent to all entries, although only the time had changed. An
// ETA must be published again when a load takes longer than configured.
func TestOnlyChangedETAsArePublished(t *testing.T) {
	is := is.New(t)
	f, now := ETATable{}, time.Unix(1e6, 0)
	is.Equal(len(f.Update(now, []ETA{{"a", 10 * time.Second}, {"b", 4 * time.Second}})), 2)
	now = now.Add(time.Second)
	is.Equal(len(f.Update(now, []ETA{{"a", 9 * time.Second}, {"b", 3 * time.Second}})), 0)
	is.Equal(f.Update(now, []ETA{{"a", 9 * time.Second}, {"b", 6 * time.Second}}), []ETA{{"b", 6 * time.Second}})
	is.Equal(f.Update(now, []ETA{{"a", 9 * time.Second}}), []ETA{{Model: "b"}}) // no longer known
	is.Equal(len(f.Update(now, []ETA{{"a", 9 * time.Second}})), 0)
}

// A retry after the given time must find the model ready: it is not before the ETA, and
// callers that were refused at the same time are spread over some time after it.
func TestRetriesFollowTheETA(t *testing.T) {
	is := is.New(t)
	low := RetryAfterReady(13*time.Second, func(int64) int64 { return 0 })
	high := RetryAfterReady(13*time.Second, func(n int64) int64 { return n - 1 })
	is.Equal(low, 13*time.Second)
	is.True(high > 14*time.Second && high < 15*time.Second)
	is.True(ReadyInTime(2*time.Second, 4*time.Second))
	is.True(!ReadyInTime(13*time.Second, 4*time.Second))
}

package lab

import (
	"errors"
	"sync"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/bound"
)

// Problem returns a run of a site as a problem with all demand known in advance, from which
// an upper bound on what any policy can earn is computed.
func (s *Site) Problem(seed uint64) bound.Problem {
	x := newRunner(s, Policy{}, seed)
	p := bound.Problem{Engines: s.Engines, Megabytes: s.Spec.ModelMegabytes, Begin: -leadTime, End: s.end(), Unload: unloadDuration}
	if s.ReplaceInterval > 0 {
		p.Unload = 0 // a model also leaves memory when its engine is replaced
	}
	byModel := map[string][]bound.Request{}
	for _, r := range s.load(seed) {
		ready := r.minWait()
		runs := r.minRun()
		if s.ReplaceInterval > 0 {
			runs = 0 // running requests may be cut off
		}
		byModel[r.want.Model] = append(byModel[r.want.Model], bound.Request{
			From: r.firstArrived, InTime: r.firstArrived + r.class.Objective - ready, Late: r.firstArrived + r.class.Limit - ready, Runs: runs, Value: r.class.Value, LateValue: r.class.LateValue,
		})
	}
	for _, name := range s.Names {
		m := s.Spec.Models[name]
		held, first := x.initialState(name)
		p.Models = append(p.Models, bound.Model{Name: name, Megabytes: m.Megabytes, FirstLoad: first, Reload: min(first, m.FromMemory), Held: held, Requests: byModel[name]})
	}
	return p
}

// initialState reports whether an engine holds a model at the start, and the minimum duration
// of the first load of the model. No copies in memory count, as these come from earlier loads.
func (x *runner) initialState(name string) (held bool, first time.Duration) {
	first = x.site.Spec.Models[name].FromStore
	for _, e := range x.engines {
		if e.held[name] != nil {
			held = true
		}
		if e.disk[name] {
			first = x.site.Spec.Models[name].FromDisk
		}
	}
	return held, first
}

// minWait returns the minimum time to the first token at an idle engine that holds the model:
// the prompt is processed in a share of each tick, and the first tick may begin immediately.
func (r *request) minWait() time.Duration { return max(0, r.promptTime()-tick) + firstTokenDelay }

// minRun returns the minimum time that a request occupies an engine: its prompt is processed
// and its tokens are generated as fast as with no other request there, and ticks are counted
// whole.
func (r *request) minRun() time.Duration {
	decodeTime := time.Duration(r.output * r.stepScale * float64(stepTime+stepPerSlot))
	return max(0, r.promptTime()-tick) + max(0, decodeTime-tick)
}

// promptTime returns the time to process the prompt while the engine spends its whole prefill
// share on it.
func (r *request) promptTime() time.Duration {
	return time.Duration(r.prompt / tokensPerMS * float64(time.Millisecond) * r.stepScale / prefillShare)
}

// UpperBound is the most that a policy can earn, as shares of the value of all requests.
type UpperBound struct {
	Ahead    float64 `json:"ahead"`    // with all demand known in advance
	OnDemand float64 `json:"onDemand"` // with models loaded only when a request waits for them
}

// Bound returns the upper bound on what policies can earn, as the mean over the seeds 1 to
// seeds. earned is the share that some policy earns there; it guides the solver.
func Bound(s *Site, seeds int, earned float64) (UpperBound, error) {
	shares, errs := make([]UpperBound, seeds), make([]error, seeds)
	var all sync.WaitGroup
	slots := make(chan struct{}, maxParallelRuns)
	for i := range seeds {
		all.Go(func() {
			slots <- struct{}{}
			shares[i], errs[i] = boundOne(s.Problem(uint64(i)+1), earned)
			<-slots
		})
	}
	all.Wait()
	var mean UpperBound
	for _, m := range shares {
		mean.Ahead += m.Ahead / float64(seeds)
		mean.OnDemand += m.OnDemand / float64(seeds)
	}
	return mean, errors.Join(errs...)
}

func boundOne(p bound.Problem, earned float64) (UpperBound, error) {
	guide := earned * p.Total()
	ahead, err := bound.Solve(p, guide, bound.DefaultSettings())
	if err != nil {
		return UpperBound{}, err
	}
	p.OnDemand = true
	onDemand, err := bound.Solve(p, guide, bound.DefaultSettings())
	return UpperBound{Ahead: ahead.Bound / ahead.Total, OnDemand: onDemand.Bound / onDemand.Total}, err
}

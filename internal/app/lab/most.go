package lab

import (
	"errors"
	"sync"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/bound"
)

// Problem returns a run of a site as a load with all demand known, for a bound on what any
// policy could earn in it.
func (s *Site) Problem(seed uint64) bound.Problem {
	x := newRunner(s, Policy{}, seed)
	p := bound.Problem{Engines: s.Engines, Megabytes: s.Spec.Weights, Begin: -lead, End: s.end(), Unload: unloadTime}
	if s.Renew > 0 {
		p.Unload = 0 // a model may also go with its engine
	}
	byModel := map[string][]bound.Request{}
	for _, r := range s.load(seed) {
		ready := r.leastWait()
		runs := r.leastRun()
		if s.Renew > 0 {
			runs = 0 // what runs may be cut off
		}
		byModel[r.want.Model] = append(byModel[r.want.Model], bound.Request{
			From: r.born, InTime: r.born + r.class.Objective - ready, Late: r.born + r.class.Limit - ready, Runs: runs, Worth: r.class.Worth, Little: r.class.Late,
		})
	}
	for _, name := range s.Names {
		m := s.Spec.Models[name]
		held, first := x.atBeginning(name)
		p.Models = append(p.Models, bound.Model{Name: name, Megabytes: m.Megabytes, First: first, Again: min(first, m.FromMemory), Held: held, Requests: byModel[name]})
	}
	return p
}

// atBeginning tells whether an engine holds a model, and how long a first load of it takes
// at least. Copies in memory come from loads.
func (x *runner) atBeginning(name string) (held bool, first time.Duration) {
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

// leastWait is how long a request waits at least for its first token at an engine that
// holds its model and has nothing else to do: the prompt is read in shares of ticks, the
// first of which may begin at once.
func (r *request) leastWait() time.Duration { return max(0, r.reads()-tick) + firstDelay }

// leastRun is how long a request is at an engine at least: its prompt is read and its tokens
// are made, as fast as with no other request there, and ticks are counted whole.
func (r *request) leastRun() time.Duration {
	makes := time.Duration(r.output * r.pace * float64(stepTime+stepPerSlot))
	return max(0, r.reads()-tick) + max(0, makes-tick)
}

// reads is how long the prompt takes to be read, while an engine spends all the time on it
// that it may.
func (r *request) reads() time.Duration {
	return time.Duration(r.prompt / tokensPerMS * float64(time.Millisecond) * r.pace / prefillShare)
}

// Most is what policies can earn at most, as shares of what is owed.
type Most struct {
	Ahead    float64 `json:"ahead"`    // all demand known ahead
	OnDemand float64 `json:"onDemand"` // models are loaded when a request waits for them
}

// Bound returns what no policy can exceed, as the mean over the seeds from 1 up. earned is
// the share that some policy earns there, as a guide.
func Bound(s *Site, seeds int, earned float64) (Most, error) {
	shares, errs := make([]Most, seeds), make([]error, seeds)
	var all sync.WaitGroup
	slots := make(chan struct{}, atOnce)
	for i := range seeds {
		all.Go(func() {
			slots <- struct{}{}
			shares[i], errs[i] = boundOne(s.Problem(uint64(i)+1), earned)
			<-slots
		})
	}
	all.Wait()
	var mean Most
	for _, m := range shares {
		mean.Ahead += m.Ahead / float64(seeds)
		mean.OnDemand += m.OnDemand / float64(seeds)
	}
	return mean, errors.Join(errs...)
}

func boundOne(p bound.Problem, earned float64) (Most, error) {
	guide := earned * p.Total()
	ahead, err := bound.Solve(p, guide, bound.DefaultSettings())
	if err != nil {
		return Most{}, err
	}
	p.OnDemand = true
	asked, err := bound.Solve(p, guide, bound.DefaultSettings())
	return Most{Ahead: ahead.Most / ahead.Total, OnDemand: asked.Most / asked.Total}, err
}

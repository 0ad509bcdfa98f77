package bound

import (
	"time"

	"github.com/samber/oops"
)

// Problem is a load with the engines that serve it. Times count from any one origin.
type Problem struct {
	Engines   int           `json:"engines"`   // alike; as many at all times
	Megabytes int64         `json:"megabytes"` // of weights that an engine holds
	Begin     time.Duration `json:"begin"`     // engines may load from here on
	End       time.Duration `json:"end"`       // nothing earns after it
	Unload    time.Duration `json:"unload"`    // least time of an unload; 0 if models also go with their engines
	// OnDemand bounds only policies that begin to load a model when a request that arrived
	// since its last stay waits for it; otherwise models may be loaded before anyone asks.
	OnDemand bool    `json:"onDemand"`
	Models   []Model `json:"models"`
}

// Model is one model and what asks for it.
type Model struct {
	Name      string        `json:"name"`
	Megabytes int64         `json:"megabytes"`
	First     time.Duration `json:"first"` // least time of its first load
	Again     time.Duration `json:"again"` // least time of a later one
	Held      bool          `json:"held"`  // some engine holds it at the beginning
	Requests  []Request     `json:"requests"`
}

// Request is one request for a model.
type Request struct {
	From   time.Duration `json:"from"`   // when it arrives
	InTime time.Duration `json:"inTime"` // when the model must be held at the latest for Worth
	Late   time.Duration `json:"late"`   // and for Little
	Runs   time.Duration `json:"runs"`   // least time for which its model then stays; 0 if it may be cut off
	Worth  float64       `json:"worth"`
	Little float64       `json:"little"` // worth of a late answer, no more than Worth
}

// ErrProblem marks a problem that makes no sense.
var ErrProblem = oops.Errorf("not a problem to bound")

// Check returns what is wrong with a problem.
func (p Problem) Check() error {
	switch {
	case p.Engines < 1 || p.Megabytes < 1:
		return oops.Wrapf(ErrProblem, "%d engines of %d MB", p.Engines, p.Megabytes)
	case p.End <= p.Begin || p.Unload < 0:
		return oops.Wrapf(ErrProblem, "from %v to %v with unloads of %v", p.Begin, p.End, p.Unload)
	}
	for _, m := range p.Models {
		if m.Megabytes < 1 || m.First < 0 || m.Again < 0 || m.Again > m.First {
			return oops.Wrapf(ErrProblem, "model %q of %d MB, loaded in %v, later in %v", m.Name, m.Megabytes, m.First, m.Again)
		}
		for _, r := range m.Requests {
			if r.From < p.Begin || r.Runs < 0 || r.Little < 0 || r.Worth < r.Little || r.Late < r.InTime {
				return oops.Wrapf(ErrProblem, "model %q: request %+v", m.Name, r)
			}
		}
	}
	return nil
}

// Total returns what all requests would be worth in time.
func (p Problem) Total() float64 {
	var sum float64
	for _, m := range p.Models {
		for _, r := range m.Requests {
			sum += r.Worth
		}
	}
	return sum
}

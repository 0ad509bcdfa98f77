package bound

import (
	"time"

	"github.com/samber/oops"
)

// Problem is a load with the engines that serve it. All times are relative to one origin.
type Problem struct {
	Engines   int           `json:"engines"`   // number of identical engines, constant over time
	Megabytes int64         `json:"megabytes"` // capacity of an engine for weights
	Begin     time.Duration `json:"begin"`     // earliest time of a load
	End       time.Duration `json:"end"`       // requests earn nothing after it
	Unload    time.Duration `json:"unload"`    // minimum time of an unload; 0 if models are also lost with their engines
	// OnDemand restricts the bound to policies that load a model only when a request that
	// arrived since its last residence waits for it; otherwise models may be loaded before
	// they are requested.
	OnDemand bool    `json:"onDemand"`
	Models   []Model `json:"models"`
}

// Model is a model and the requests for it.
type Model struct {
	Name      string        `json:"name"`
	Megabytes int64         `json:"megabytes"`
	FirstLoad time.Duration `json:"first"` // minimum time of its first load
	Reload    time.Duration `json:"again"` // minimum time of a later load
	Held      bool          `json:"held"`  // an engine holds it at Begin
	Requests  []Request     `json:"requests"`
}

// Request is one request for a model.
type Request struct {
	From      time.Duration `json:"from"`   // arrival
	InTime    time.Duration `json:"inTime"` // latest time at which the model must be held for the full value
	Late      time.Duration `json:"late"`   // latest time at which the model must be held for the late value
	Runs      time.Duration `json:"runs"`   // minimum time for which the model is then held; 0 if the request may be cut off
	Value     float64       `json:"worth"`
	LateValue float64       `json:"little"` // value of a late answer, at most the full value
}

// ErrProblem is the cause of errors for an invalid problem or invalid settings.
var ErrProblem = oops.Errorf("invalid problem or settings")

// Check returns an error if the problem is invalid.
func (p Problem) Check() error {
	switch {
	case p.Engines < 1 || p.Megabytes < 1:
		return oops.Wrapf(ErrProblem, "%d engines of %d MB", p.Engines, p.Megabytes)
	case p.End <= p.Begin || p.Unload < 0:
		return oops.Wrapf(ErrProblem, "from %v to %v with unloads of %v", p.Begin, p.End, p.Unload)
	}
	for _, m := range p.Models {
		if m.Megabytes < 1 || m.FirstLoad < 0 || m.Reload < 0 || m.Reload > m.FirstLoad {
			return oops.Wrapf(ErrProblem, "model %q of %d MB, loaded in %v, later in %v", m.Name, m.Megabytes, m.FirstLoad, m.Reload)
		}
		for _, r := range m.Requests {
			if r.From < p.Begin || r.Runs < 0 || r.LateValue < 0 || r.Value < r.LateValue || r.Late < r.InTime {
				return oops.Wrapf(ErrProblem, "model %q: request %+v", m.Name, r)
			}
		}
	}
	return nil
}

// Total returns the value of all requests if all are served in time.
func (p Problem) Total() float64 {
	var sum float64
	for _, m := range p.Models {
		for _, r := range m.Requests {
			sum += r.Value
		}
	}
	return sum
}

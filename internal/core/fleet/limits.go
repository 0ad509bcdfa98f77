package fleet

import "time"

// assumedResidence is how long a request is assumed to stay at an engine until that is known.
const assumedResidence = time.Second

// SetLimits sets the requests a second that engines take from all entries together; an engine
// that is not named takes any number. A limited engine counts by that rate, not by its slots:
// with a limit it looks idle while requests wait for it.
func (p *Planner) SetLimits(limits map[EndpointID]float64) {
	for id, e := range p.engines {
		e.limit = limits[id]
	}
}

// places returns how many requests an engine can have in progress: its slots or, by Little's
// law, what its limit lets in during one residence time.
func (p *Planner) places(e *engine) float64 {
	slots := float64(e.ep.Slots)
	if e.limit == 0 {
		return slots
	}
	stay := p.residence.mean
	if stay == 0 {
		stay = assumedResidence
	}
	return min(e.limit*stay.Seconds(), slots)
}

// limitReached reports whether a limited engine's part of what is asked for of its models
// comes close to the limit.
func (p *Planner) limitReached(now time.Time, e *engine) bool {
	if e.limit == 0 {
		return false
	}
	asked := 0.0
	for name := range e.held {
		asked += p.rate(now, name) / float64(max(p.survey.holders[name], 1))
	}
	return asked >= p.cfg.Crowded*e.limit
}

// replicaLoss returns the part of a replica by which an engine that holds a model falls short,
// as it is slow or its limit is below the rate that one replica should serve.
func (p *Planner) replicaLoss(e *engine, name string) float64 {
	served := 1 / max(p.pace(e), 1)
	if e.limit > 0 {
		served = min(served, e.limit/p.ratePerReplica(name))
	}
	return 1 - served
}

// lostReplicas returns by how many replicas the engines that hold a model fall short in all.
func (p *Planner) lostReplicas(now time.Time, name string) float64 {
	lost := 0.0
	for _, e := range p.survey.holding[name] {
		if e.has(Want{Model: name}) && e.usable(now) {
			lost += p.replicaLoss(e, name)
		}
	}
	return lost
}

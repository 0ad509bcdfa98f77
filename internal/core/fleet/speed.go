package fleet

import "math"

const (
	// minStreamEvents is the number of events below which a stream says too little about
	// the speed of its engine: the time for its prompt outweighs that of its tokens.
	minStreamEvents = 8
	// speedWeight is the weight of one stream in the speed of an engine or model.
	speedWeight = 0.15
	// maxSpeedStep bounds what one stream can change, as the logarithm of a factor: a
	// stream that stood still for a moment says nothing about the next.
	maxSpeedStep = 1.0
	// slownessStep is how much an engine's slowness must change to be published again.
	slownessStep = 0.3
)

// Speed is the time that an endpoint was found to take for the same work, relative to others.
type Speed struct {
	Endpoint     EndpointID
	RelativeTime float64
}

// recordSpeed learns from streams that ended how fast an engine and a model are. The time
// for an event is taken as the product of a factor of the model and one of the engine: larger
// models are slower everywhere, and engines on slower hosts are slower with every model.
// Without it, a third of the requests go to engines that take two and a half times as long.
func (p *Planner) recordSpeed(u Use) {
	e, known := p.engines[u.Endpoint]
	m := p.models[u.Want.Model]
	if !known || m == nil || u.Events < minStreamEvents || u.Streaming <= 0 {
		return
	}
	perEvent := math.Log(u.Streaming.Seconds() / float64(u.Events))
	if !m.paceKnown {
		m.logPace, m.paceKnown = perEvent-e.logSlowness, true
		return
	}
	surplus := min(max(perEvent-m.logPace-e.logSlowness, -maxSpeedStep), maxSpeedStep)
	m.logPace += speedWeight * surplus
	e.logSlowness += speedWeight * surplus
	if s := math.Exp(e.logSlowness); math.Abs(s-e.ep.RelativeTime()) >= slownessStep {
		e.ep.Slowness = math.Round(10*s) / 10
		p.speeds = append(p.speeds, Speed{e.ep.ID, e.ep.Slowness})
		p.changed = true
	}
}

// RelativeTime returns how long the endpoint takes for the same work, relative to others; 1
// if that is not known.
func (ep Endpoint) RelativeTime() float64 {
	if ep.Slowness == 0 {
		return 1
	}
	return ep.Slowness
}

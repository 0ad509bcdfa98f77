package fleet

import (
	"math"
	"time"
)

// residence is the observed residence time of requests at engines: by Little's law, the
// number in progress divided by the arrivals per second.
type residence struct {
	mean       time.Duration // 0 until it is known
	observedAt time.Time
}

const (
	// residenceHalfLife is the half-life of an observation.
	residenceHalfLife = 5 * time.Second
	// minTotalRate is the total rate, in requests a second, below which the residence time
	// is not observed: a few long requests would dominate it.
	minTotalRate = 5.0
	// minRatePerReplica and maxRatePerReplica bound the rate of one replica, in requests a
	// second. The lower bound applies where each of a model's requests occupies an engine
	// for seconds; the upper bound keeps a model with hundreds a second from depending on
	// one or two engines.
	minRatePerReplica = 3.0
	maxRatePerReplica = 40.0
)

// observeResidence updates the residence time from the current state of all engines.
func (p *Planner) observeResidence(now time.Time) {
	running, rate := 0, 0.0
	for _, e := range p.engines {
		if eng, _ := p.spec(e, ""); eng != nil {
			running += e.running
		}
	}
	for name := range p.models {
		rate += p.foreseenRate(now, name)
	}
	if rate < minTotalRate || running == 0 {
		return
	}
	observed := time.Duration(float64(running) / rate * float64(time.Second))
	if p.residence.mean == 0 {
		p.residence = residence{observed, now}
		return
	}
	oldWeight := math.Exp2(-now.Sub(p.residence.observedAt).Seconds() / residenceHalfLife.Seconds())
	p.residence = residence{time.Duration(oldWeight*float64(p.residence.mean) + (1-oldWeight)*float64(observed)), now}
}

// ratePerReplica returns how many requests a second one replica of a model should serve.
func (p *Planner) ratePerReplica(name string) float64 {
	slots := p.slotsFor(name)
	if p.residence.mean == 0 || slots == 0 || p.cfg.ReplicaShare == 0 {
		return p.cfg.RatePerReplica
	}
	return min(max(p.cfg.ReplicaShare*float64(slots)/p.residence.mean.Seconds(), minRatePerReplica), maxRatePerReplica)
}

// slotsFor returns the slots of an engine that holds a model; 0 if there is none.
func (p *Planner) slotsFor(name string) int {
	for _, e := range p.survey.holding[name] {
		return e.ep.Slots
	}
	return p.slotsByCopy(name)
}

package fleet

import (
	"math"
	"time"
)

// stays is how long requests stay at engines, as seen: by Little's law the requests
// under way over those that arrive in a second.
type stays struct {
	mean time.Duration // 0 until it is known
	at   time.Time
}

const (
	// staysHalfLife is the time in which an observation of stays counts half.
	staysHalfLife = 5 * time.Second
	// staysFrom is the total rate, in requests a second, from which on stays are
	// observed: below it a few long requests would stand for all.
	staysFrom = 5.0
	// leastPerReplica and mostPerReplica bound the rate of one replica, in requests a
	// second. The first is reached where a model's requests fill an engine for seconds
	// each; the second keeps a model with hundreds a second from depending on one or two
	// engines.
	leastPerReplica = 3.0
	mostPerReplica  = 40.0
)

// observeStays takes in the present state of all engines.
func (p *Planner) observeStays(now time.Time) {
	running, rate := 0, 0.0
	for _, e := range p.engines {
		if eng, _ := p.spec(e, ""); eng != nil {
			running += e.running
		}
	}
	for name := range p.models {
		rate += p.rate(now, name)
	}
	if rate < staysFrom || running == 0 {
		return
	}
	seen := time.Duration(float64(running) / rate * float64(time.Second))
	if p.stays.mean == 0 {
		p.stays = stays{seen, now}
		return
	}
	old := math.Exp2(-now.Sub(p.stays.at).Seconds() / staysHalfLife.Seconds())
	p.stays = stays{time.Duration(old*float64(p.stays.mean) + (1-old)*float64(seen)), now}
}

// ratePerReplica returns how many requests a second one replica of a model should take.
func (p *Planner) ratePerReplica(name string) float64 {
	slots := p.slotsFor(name)
	if p.stays.mean == 0 || slots == 0 || p.cfg.ReplicaShare == 0 {
		return p.cfg.RatePerReplica
	}
	return min(max(p.cfg.ReplicaShare*float64(slots)/p.stays.mean.Seconds(), leastPerReplica), mostPerReplica)
}

// slotsFor returns the slots of an engine that holds a model; 0 if none does.
func (p *Planner) slotsFor(name string) int {
	for _, e := range p.look.holding[name] {
		return e.ep.Slots
	}
	return 0
}

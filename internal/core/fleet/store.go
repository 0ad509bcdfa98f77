package fleet

import (
	"time"

	"github.com/cassiapass/cassiapass/internal/core/deploy"
)

// storeWindow is the span over which the store's rate is counted.
const storeWindow = 5 * time.Second

const (
	// slowLoad is how many times its stated time a load from the store must take
	// before the store counts as overloaded.
	slowLoad = 1.4
	// quickLoad is up to which one more load at a time is tried.
	quickLoad = 1.1
)

// mayFetch reports whether one more load from the store may begin. The rate
// holds over all engines; exceeded, the store refuses or slows everybody down.
func (p *Planner) mayFetch(now time.Time, eng *deploy.Engine) bool {
	if p.store >= p.atOnce {
		return false
	}
	recent := p.fetched[:0]
	for _, at := range p.fetched {
		if now.Sub(at) < storeWindow {
			recent = append(recent, at)
		}
	}
	p.fetched = recent
	if eng.StoreLoads <= 0 {
		return true // no rate is stated
	}
	return float64(len(recent)+1) <= max(1, eng.StoreLoads*storeWindow.Seconds()*p.cfg.StoreShare)
}

// learnStore adapts the number of loads at a time to how long one took. Gain: at
// a store that serves one load at a time, four at once would each take four times
// as long, and the first of them would come no sooner.
func (p *Planner) learnStore(o *underway, took time.Duration) {
	if o.Source != FromStore || o.takes <= 0 {
		return
	}
	switch ratio := took.Seconds() / o.takes.Seconds(); {
	case ratio > slowLoad:
		p.atOnce = max(1, p.atOnce-1)
	case ratio < quickLoad:
		p.atOnce = min(p.cfg.StoreAtOnce, p.atOnce+1)
	}
}

package fleet

import (
	"math"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/deploy"
)

// storeWindow is the time over which the store's rate is counted.
const storeWindow = 5 * time.Second

const (
	// slowLoad is the ratio of observed to configured duration above which a load from the
	// store shows that the store is overloaded.
	slowLoad = 1.4
	// maxReportDelay is how much later than its end a load may be observed to have ended:
	// reports lag by some 100 ms and are queried every 100 ms.
	maxReportDelay = 300 * time.Millisecond
	// quickLoad is the ratio below which more concurrent loads are tried.
	quickLoad = 1.1
	// storeEngineShare is the share of the engines that may load from the store
	// concurrently: such an engine can load nothing else meanwhile, for 6 s and more.
	storeEngineShare = 1.0 / 3
	// crowdShare is the share of the store's slots that is reserved for models whose engines
	// are crowded: one such load serves tens of requests a second, and would otherwise wait
	// until a load for a single request ends.
	crowdShare = 0.25
)

// storeLimiter learns how many concurrent loads the weight store serves at full speed, which
// is not published: beyond that, each load takes longer in proportion.
//
// It starts with a few. While loads take their configured time, it doubles the number until
// loads are slow for the first time; after that it adds one at a time. Slow loads give the
// limit exactly: n loads that take r times the configured time show n/r.
type storeLimiter struct {
	limit       int     // limit on concurrent loads
	inFlight    int     // loads in progress
	loadSeconds float64 // seconds of loads, summed over all until observedAt
	observedAt  time.Time
	limitFound  bool // loads have been slow, so the store's limit is approximately known
	overdue     bool // at the current plan, most loads in progress are slow already
	maxLimit    int  // upper bound of limit
}

// observe adds the loads in progress up to now to loadSeconds.
func (s *storeLimiter) observe(now time.Time) {
	if dt := now.Sub(s.observedAt); dt > 0 && !s.observedAt.IsZero() {
		s.loadSeconds += float64(s.inFlight) * dt.Seconds()
	}
	s.observedAt = now
}

// learn adjusts the limit to a load that has ended: stated is its configured duration, took
// its observed one, and concurrent the mean number of loads in progress meanwhile.
func (s *storeLimiter) learn(stated, took time.Duration, concurrent float64) {
	if stated <= 0 || took <= 0 {
		return
	}
	n := max(1, int(math.Round(concurrent)))
	switch ratio := max(took-maxReportDelay, 0).Seconds() / stated.Seconds(); {
	case ratio > slowLoad:
		s.limitFound = true
		s.limit = max(1, min(s.limit, int(math.Round(concurrent/ratio))))
	case ratio >= quickLoad:
		s.limitFound = true
	case s.limitFound:
		s.limit = max(s.limit, min(n+1, s.maxLimit))
	default:
		s.limit = max(s.limit, min(2*n, s.maxLimit))
	}
}

// meanInFlight returns the mean number of loads in progress during a load that started at
// loadSeconds and took so long.
func (s *storeLimiter) meanInFlight(loadSeconds float64, took time.Duration) float64 {
	return (s.loadSeconds - loadSeconds) / took.Seconds()
}

// freeSlots returns how many more loads may start. Some slots are reserved for crowded
// models.
func (s *storeLimiter) freeSlots(crowded bool) int {
	if s.overdue {
		return 0
	}
	slots := s.limit
	if !crowded {
		slots -= int(crowdShare * float64(s.limit))
	}
	return slots - s.inFlight
}

// unaskedRate is the request rate, in requests a second, assumed for a model without recent
// requests: one in two minutes.
const unaskedRate = 1.0 / 120

// blockedRate returns the requests a second that an engine could not serve while it loads
// from the store: those for models that no engine holds and that only this one could load
// quickly. Without it, an engine whose disk holds the only copies of a dozen rare models may
// get a load of 13 s, and all requests for these are refused.
func (p *Planner) blockedRate(now time.Time, e *engine) float64 {
	if sum, known := p.survey.blockedRates[e]; known {
		return sum
	}
	sum := 0.0
	for _, name := range e.copyNames {
		if p.survey.holders[name] == 0 && p.soleUsableCopy(now, e, name) {
			sum += p.rate(now, name) + unaskedRate
		}
	}
	p.survey.blockedRates[e] = sum
	return sum
}

// soleUsableCopy reports whether no other usable engine, apart from those loading from the
// store, has a copy of a model.
func (p *Planner) soleUsableCopy(now time.Time, e *engine, name string) bool {
	for o := range p.copies.engines(name) {
		if o != e && o.usable(now) && (o.order == nil || o.order.Source != FromStore) {
			return false
		}
	}
	return true
}

// updateStoreLimits prepares the current plan for loads from the store.
func (p *Planner) updateStoreLimits(now time.Time) {
	p.store.observe(now)
	p.store.maxLimit = max(p.cfg.StoreConcurrency, int(storeEngineShare*float64(len(p.engines))))
	slow := 0
	for _, e := range p.engines {
		if o := e.order; o != nil && o.Source == FromStore && now.Sub(o.issuedAt)-maxReportDelay > time.Duration(slowLoad*float64(o.estimate)) {
			slow++
		}
	}
	// If more loads start, those that are slow already end later still. Without this check,
	// a store that serves fewer loads than are tried gets more before the first has ended.
	p.store.overdue = 2*slow > p.store.inFlight
}

// mayFetch reports whether one more load from the store may start. The rate applies to all
// engines together; if it is exceeded, the store refuses or slows down all loads.
func (p *Planner) mayFetch(now time.Time, eng *deploy.Engine, crowded bool) bool {
	if p.store.freeSlots(crowded) <= 0 {
		return false
	}
	recent := p.storeLoadsAt[:0]
	for _, at := range p.storeLoadsAt {
		if now.Sub(at) < storeWindow {
			recent = append(recent, at)
		}
	}
	p.storeLoadsAt = recent
	if eng.StoreLoads <= 0 {
		return true // no rate is configured
	}
	return float64(len(recent)+1) <= max(1, eng.StoreLoads*storeWindow.Seconds()*p.cfg.StoreShare)
}

// learnStore adjusts the store's limit to the duration of an order, if it was a load from
// the store.
func (p *Planner) learnStore(now time.Time, o *pendingOrder) {
	if o.Source != FromStore {
		return
	}
	p.store.observe(now)
	took := now.Sub(o.issuedAt)
	p.store.learn(o.estimate, took, p.store.meanInFlight(o.loadSeconds, took))
}

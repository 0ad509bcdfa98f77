package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/urgency"
)

// demands counts arriving and waiting requests, to be reported to the leader.
type demands struct {
	mu     sync.Mutex
	byWant map[fleet.Want]*wantDemand
	urgent chan struct{} // signalled when a request begins to wait
}

// wantDemand counts the requests for one model or adapter.
type wantDemand struct {
	arrived  int
	byLevel  map[urgency.Level]int   // arrived, if more urgent requests go first
	deferred int                     // refused with the time at which the model will be held
	since    map[*exchange]time.Time // when each waiting request began to wait
	waiting  map[urgency.Level]*waitingLevel
}

// waitingLevel counts the waiting requests of a level.
type waitingLevel struct {
	n           int
	inTimeUntil time.Time // when the last of them cannot meet its objective any more
}

func (x *wantDemand) begin(ex *exchange, now time.Time) {
	x.since[ex] = now
	l := x.waiting[ex.level]
	if l == nil {
		l = &waitingLevel{}
		x.waiting[ex.level] = l
	}
	l.n++
	l.inTimeUntil = later(l.inTimeUntil, ex.arrived.Add(ex.timing().Due()))
}

func (x *wantDemand) end(ex *exchange) {
	delete(x.since, ex)
	if l := x.waiting[ex.level]; l != nil {
		if l.n--; l.n <= 0 {
			delete(x.waiting, ex.level)
		}
	}
}

func newDemands() *demands {
	return &demands{byWant: map[fleet.Want]*wantDemand{}, urgent: make(chan struct{}, 1)}
}

func (d *demands) forWant(w fleet.Want) *wantDemand {
	x, ok := d.byWant[w]
	if !ok {
		x = &wantDemand{byLevel: map[urgency.Level]int{}, since: map[*exchange]time.Time{}, waiting: map[urgency.Level]*waitingLevel{}}
		d.byWant[w] = x
	}
	return x
}

// recordArrival counts a request; level is nil if all requests count the same.
func (d *demands) recordArrival(w fleet.Want, level *urgency.Level) {
	if w.Model == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	x := d.forWant(w)
	x.arrived++
	if level != nil {
		x.byLevel[*level]++
	}
}

// beginWait records that a request waits, and triggers a report to the leader.
func (d *demands) beginWait(w fleet.Want, x *exchange) {
	if w.Model == "" {
		return
	}
	d.mu.Lock()
	d.forWant(w).begin(x, time.Now())
	d.mu.Unlock()
	select {
	case d.urgent <- struct{}{}:
	default:
	}
}

// endWait records that a request waits no longer.
func (d *demands) endWait(w fleet.Want, x *exchange) {
	if w.Model == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forWant(w).end(x)
}

// moreUrgentWaits reports whether a request that goes first waits for the same as one of an urgency.
func (d *demands) moreUrgentWaits(now time.Time, w fleet.Want, own urgency.Urgency) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	x := d.byWant[w]
	if x == nil {
		return false
	}
	for l, waiting := range x.waiting {
		if (urgency.Urgency{Level: l, Late: now.After(waiting.inTimeUntil)}).Compare(own) < 0 {
			return true
		}
	}
	return false
}

// recordDeferred records that a request was refused until its model is held.
func (d *demands) recordDeferred(w fleet.Want) {
	if w.Model == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forWant(w).deferred++
}

// report returns the demand to be reported, and resets the counts of arrivals and
// refusals.
func (d *demands) report(now time.Time) []fleet.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []fleet.Demand
	for w, x := range d.byWant {
		dm := fleet.Demand{Want: w, Arrived: x.arrived, Refused: x.deferred}
		x.arrived, x.deferred = 0, 0
		for _, l := range slices.Sorted(maps.Keys(x.byLevel)) {
			dm.OfLevel(l).Arrived = x.byLevel[l]
		}
		clear(x.byLevel)
		for ex, at := range x.since {
			dm.Add(now.Sub(at), ex.deadline.Sub(now), ex.arrived.Add(ex.route.Objective).Sub(now))
			if ex.ordered {
				dm.OfLevel(ex.level).AddWaiting(ex.timing().Due() - now.Sub(ex.arrived))
			}
			if ex.bound && ex.release != "" && !slices.Contains(dm.Releases, ex.release) {
				dm.Releases = append(dm.Releases, ex.release)
			}
		}
		if len(x.since) == 0 {
			delete(d.byWant, w)
		}
		out = append(out, dm)
	}
	return out
}

package gateway

import (
	"sync"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/fleet"
)

// demands counts requests that arrive and wait, for the leader to act on.
type demands struct {
	mu     sync.Mutex
	byWant map[fleet.Want]*waiting
	urgent chan struct{} // signalled when a request begins to wait
}

// waiting is what waits for one model or adapter.
type waiting struct {
	arrived int
	away    int                     // told to come back when the model is held
	since   map[*exchange]time.Time // to when the request began to wait
}

func newDemands() *demands {
	return &demands{byWant: map[fleet.Want]*waiting{}, urgent: make(chan struct{}, 1)}
}

func (d *demands) of(w fleet.Want) *waiting {
	x, ok := d.byWant[w]
	if !ok {
		x = &waiting{since: map[*exchange]time.Time{}}
		d.byWant[w] = x
	}
	return x
}

// arrive counts a request.
func (d *demands) arrive(w fleet.Want) {
	if w.Model == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.of(w).arrived++
}

// begin notes that a request waits, and has the leader told at once.
func (d *demands) begin(w fleet.Want, x *exchange) {
	if w.Model == "" {
		return
	}
	d.mu.Lock()
	d.of(w).since[x] = time.Now()
	d.mu.Unlock()
	select {
	case d.urgent <- struct{}{}:
	default:
	}
}

// end notes that a request waits no longer.
func (d *demands) end(w fleet.Want, x *exchange) {
	if w.Model == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.of(w).since, x)
}

// away notes that a request was told to come back when its model is held.
func (d *demands) away(w fleet.Want) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.of(w).away++
}

// tell returns what has to be told, and forgets what arrived.
func (d *demands) tell(now time.Time) []fleet.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []fleet.Demand
	for w, x := range d.byWant {
		dm := fleet.Demand{Want: w, Arrived: x.arrived, Away: x.away}
		x.arrived, x.away = 0, 0
		for ex, at := range x.since {
			dm.Add(now.Sub(at), ex.until.Sub(now), ex.arrived.Add(ex.route.Objective).Sub(now))
		}
		if len(x.since) == 0 {
			delete(d.byWant, w)
		}
		out = append(out, dm)
	}
	return out
}

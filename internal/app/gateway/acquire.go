package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/allowance"
	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/release"
)

const (
	// avoidedFailures is the share of failures from which on an endpoint is used only if no
	// limited one has a permit within detourWait: one recent failure is enough.
	avoidedFailures = 0.05
	detourWait      = 500 * time.Millisecond
)

// shortage is why no endpoint can take a request now.
type shortage struct {
	reason  refusalReason
	changed <-chan struct{} // closes when it is worth trying again
	brief   bool            // another endpoint could take it; the chosen one may get a permit soon
	// limit is the limit that is in the way, if reason is reasonAtLimit or brief is set.
	limit limitState
	// onlyLimits is set if no endpoint is in the way of the request but by its limit.
	onlyLimits bool
	// pause is the pause that ends first, if any endpoint that could take the request has asked
	// for one, and onlyPauses is set if nothing else is in the way.
	pause      pauseState
	onlyPauses bool
}

// query is what a request asks of the directory.
type query struct {
	service string
	want    fleet.Want
	tried   map[fleet.EndpointID]bool // endpoints that it was sent to
	waiter  *allowance.Waiter
	mayWait bool // briefly, for a permit of the endpoint that is chosen
	apart   bool // it goes where the fewest others run
	bound   bool // to endpoints of a release
	release release.Name
	begins  bool         // a stream that its caller may take up: only at settled releases
	load    *requestLoad // nil unless endpoints are chosen by expected finish
}

// choosing is working memory of a choice, used again for the next one.
type choosing struct {
	eps       []*endpoint
	preferred []int
	cands     []fleet.Candidate
}

// acquire picks an endpoint for a request and counts the request there. If there is none, it
// returns why. A request for which a limited endpoint is chosen may wait briefly for a permit
// there if mayWait is set, although another endpoint could take it: a limited endpoint gets
// its part of the requests.
func (d *directory) acquire(now time.Time, q query) (*endpoint, shortage) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := q.waiter
	eps, s := d.candidates(now, q)
	if !slices.ContainsFunc(eps, func(e *endpoint) bool { return string(e.ID) == w.Endpoint() }) {
		d.limits.Done(w) // the endpoint at which it waited takes none now
	}
	var limited []*endpoint
	for first := true; len(eps) > 0; first = false {
		i := d.choose(now, eps, q.load)
		if q.apart {
			i = leastLoaded(eps)
		}
		if j := slices.IndexFunc(eps, func(e *endpoint) bool { return string(e.ID) == w.Endpoint() }); first && j >= 0 {
			i = j // a permit may have come for which it has waited
		}
		e := eps[i]
		id := string(e.ID)
		if d.limitedInstead(now, e, limited, w) {
			break
		}
		if d.limits.Take(now, id, w) {
			d.countSend(e, q.want)
			d.beginLoad(now, e, q.load)
			d.signalPermits(now)
			delete(d.waiters, w)
			return e, shortage{}
		}
		if q.mayWait && d.limits.MayAsk(now, id) && slices.ContainsFunc(eps, d.unlimited) {
			d.limits.Wait(id, w, true)
			d.signalPermits(now)
			s.brief, s.limit = true, d.limitState(now, e.ID, w)
			return nil, s
		}
		limited = append(limited, e)
		eps = slices.Delete(eps, i, i+1)
	}
	if len(limited) > 0 {
		s.onlyLimits = len(eps) == 0 && (s.reason == reasonNoEndpoint || s.reason == reasonAllTried)
		s.reason = closerReason(s.reason, reasonAtLimit)
		s.limit = d.waitAtLimit(now, limited, w)
		d.signalPermits(now)
	}
	if s.pause.endpoint != "" {
		d.waiters[w] = waitingFor{q.service, q.want}
		d.wakeAt(now, s.pause.until)
	}
	return nil, s
}

// candidates returns the endpoints that could take a request now, limits aside, and why not if
// there are none.
func (d *directory) candidates(now time.Time, q query) ([]*endpoint, shortage) {
	s := shortage{reason: reasonNoEndpoint, changed: d.changed}
	if q.bound && !d.serves(q.service, q.release) {
		s.reason = reasonReleaseGone
		return nil, s
	}
	eps := d.choosing.eps[:0]
	full := false
	for _, e := range d.byID {
		if e.Service != q.service || d.leaves(e) || q.bound && e.Release != q.release {
			continue
		}
		r := e.unavailableReason(now, q.want)
		if r == "" && q.begins && e.Unsettled {
			r = reasonUnsettled
		}
		full = full || r == reasonAllFull
		if r == "" && q.tried[e.ID] {
			r = reasonAllTried
		}
		if r == "" && d.paused(now, e, q.waiter, &s.pause) {
			r = reasonPaused
		}
		if r != "" {
			s.reason = closerReason(s.reason, r)
			continue
		}
		eps = append(eps, e)
	}
	d.choosing.eps = eps
	s.onlyPauses = s.reason == reasonPaused && !full && len(eps) == 0
	return eps, s
}

// serves reports whether an endpoint of a release serves. Endpoints that do not tell theirs are taken
// for one release where none does. The caller holds mu.
func (d *directory) serves(service string, name release.Name) bool {
	found := false
	for _, e := range d.byID {
		if e.Service != service || e.removed {
			continue
		}
		if name == "" && e.Release != "" {
			return false
		}
		found = found || e.Release == name && !d.leaves(e)
	}
	return found
}

// choose returns the index of the endpoint to try first. One that has asked other entries for a
// pause is tried after the others.
func (d *directory) choose(now time.Time, eps []*endpoint, l *requestLoad) int {
	preferred := d.choosing.preferred[:0]
	for i, e := range eps {
		if !d.notices.Advised(now, string(e.ID)) {
			preferred = append(preferred, i)
		}
	}
	if len(preferred) == 0 {
		for i := range eps {
			preferred = append(preferred, i)
		}
	}
	cands := slices.Grow(d.choosing.cands[:0], len(preferred))[:len(preferred)]
	d.choosing.preferred, d.choosing.cands = preferred, cands
	for i, at := range preferred {
		e := eps[at]
		cands[i] = fleet.Candidate{Running: e.ownRunning + e.otherRunning, Slots: e.slots(), SameZone: e.Zone == d.zone, Failing: e.failureShareAt(now)}
	}
	if l != nil {
		return preferred[d.chooseByFinish(now, eps, preferred, cands, l, rand.IntN)]
	}
	return preferred[fleet.Choose(cands, rand.IntN)]
}

// limitedInstead reports whether a request should wait for a permit of one of the limited
// endpoints rather than go to an endpoint that fails.
func (d *directory) limitedInstead(now time.Time, e *endpoint, limited []*endpoint, w *allowance.Waiter) bool {
	if e.failureShareAt(now) < avoidedFailures || !d.unlimited(e) {
		return false
	}
	return slices.ContainsFunc(limited, func(l *endpoint) bool {
		st := d.limitState(now, l.ID, w)
		return st.known && st.expected <= detourWait && l.failureShareAt(now) < avoidedFailures
	})
}

func (d *directory) unlimited(e *endpoint) bool {
	_, limited := d.limits.Limit(string(e.ID))
	return !limited
}

// waitAtLimit makes a request wait for a permit at the limited endpoint that is expected to
// have one first.
func (d *directory) waitAtLimit(now time.Time, limited []*endpoint, w *allowance.Waiter) limitState {
	best := d.limitState(now, limited[0].ID, w)
	for _, e := range limited[1:] {
		if st := d.limitState(now, e.ID, w); st.expected < best.expected {
			best = st
		}
	}
	d.limits.Wait(string(best.endpoint), w, false)
	return best
}

// countSend counts a request that is sent to an endpoint.
func (d *directory) countSend(e *endpoint, want fleet.Want) {
	if !d.unlimited(e) {
		d.metrics.countLimitedSend(e.ID, d.limits.Silent())
	}
	e.ownRunning++
	e.countsFor(want).running++
	e.countsFor(want).started++
}

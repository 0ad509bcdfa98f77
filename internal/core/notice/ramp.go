package notice

import (
	"math"
	"time"
)

const (
	// firstSendGap is the time between the first requests that two entries send after a pause
	// that both were asked for, and maxSpread the time over which those of all entries are
	// spread.
	firstSendGap = 20 * time.Millisecond
	maxSpread    = 2 * time.Second
	// takenAfter is the time without an answer after which a request counts as taken:
	// endpoints turn requests away at once.
	takenAfter = 250 * time.Millisecond
	// rampStep is the time between two changes of the rate.
	rampStep = 250 * time.Millisecond
	// startRate and fullRate are the rates, in requests a second, with which a ramp begins and
	// at which it ends. lowestRate is the lowest to which an entry goes down: hundreds of entries
	// share an endpoint.
	startRate  = 4.0
	fullRate   = 256.0
	lowestRate = 0.5
	// slowGrowth is the part of the cautious rate by which the rate grows in a step above it.
	slowGrowth = 0.1
	// RampLength is the time after a pause within which requests are paced, the ramp; it ends if no request was turned away.
	RampLength = 10 * time.Second
	// burst is the time for which unused requests are saved.
	burst = 50 * time.Millisecond
)

// firstSendSpread returns the time over which entries spread their first requests after a pause.
func firstSendSpread(entries int) time.Duration {
	return min(time.Duration(max(entries-1, 0))*firstSendGap, maxSpread)
}

// ramp paces the requests to an endpoint after a pause.
type ramp struct {
	active   bool
	restarts uint64  // number of pauses so far
	drawn    float64 // place of the first request in the spread, from 0 to 1
	rate     float64 // requests a second
	cautious float64 // the rate from which on it grows slowly
	credit   float64
	at       time.Time // up to when credit and steps were computed
	stepAt   time.Time // begin of the current step
	firstAt  time.Time // when the first request was sent
	begun    bool      // a request was taken
	taken    bool      // one was taken in the current step
	pending  []pendingSend
	sent     float64 // requests of the last second, decayed
	sentAt   time.Time
}

// pendingSend is a request whose answer has not begun.
type pendingSend struct {
	id uint64
	at time.Time
}

// restart begins a ramp after a new pause. lastUntil is the end of the pause before.
func (r *ramp) restart(now, lastUntil time.Time, drawn float64) {
	cautious := fullRate
	switch {
	case r.restarts > 0 && now.Before(lastUntil):
		cautious = r.cautious // of the same overload
	case r.sent > 0:
		cautious = max(r.sentRate(now)/2, lowestRate)
	}
	*r = ramp{active: true, restarts: r.restarts + 1, drawn: drawn, rate: min(startRate, cautious), cautious: cautious, at: now, stepAt: now, sent: r.sent, sentAt: r.sentAt}
}

// next returns when the next request may be sent, now if at once. first is the moment of the
// first one.
func (r *ramp) next(now, first time.Time) time.Time {
	if !r.active {
		return now
	}
	if !r.firstAt.IsZero() {
		first = r.firstAt
	}
	if now.Before(first) {
		return first
	}
	r.advance(now, first)
	switch {
	case !r.active:
		return now
	case !r.begun && len(r.pending) > 0:
		return r.pending[0].at.Add(takenAfter)
	case r.begun && r.credit < 1:
		return now.Add(time.Duration((1 - r.credit) / r.rate * float64(time.Second)))
	}
	return now
}

// advance applies the time that has passed.
func (r *ramp) advance(now, first time.Time) {
	if r.at.Before(first) {
		r.at, r.stepAt = first, first
	}
	for len(r.pending) > 0 && now.Sub(r.pending[0].at) >= takenAfter {
		r.take(r.pending[0].at.Add(takenAfter))
		r.pending = r.pending[1:]
	}
	for now.Sub(r.stepAt) >= rampStep {
		r.stepAt = r.stepAt.Add(rampStep)
		r.accrue(r.stepAt)
		if r.taken {
			r.grow()
		}
		r.taken = false
	}
	r.accrue(now)
	if now.Sub(first) >= RampLength || r.rate >= fullRate {
		r.active = false
	}
}

func (r *ramp) accrue(now time.Time) {
	if dt := now.Sub(r.at); dt > 0 && r.begun {
		r.credit = min(r.credit+r.rate*dt.Seconds(), max(1, r.rate*burst.Seconds()))
	}
	if now.After(r.at) {
		r.at = now
	}
}

// grow raises the rate after a step in which requests were taken.
func (r *ramp) grow() {
	if r.rate < r.cautious {
		r.rate = min(2*r.rate, r.cautious)
		return
	}
	r.rate += slowGrowth * r.cautious
}

func (r *ramp) take(now time.Time) {
	if !r.begun {
		r.begun, r.credit, r.stepAt = true, 1, now
		if now.After(r.at) {
			r.at = now
		}
	}
	r.taken = true
}

// sentRate returns the requests a second that were sent lately.
func (r *ramp) sentRate(now time.Time) float64 {
	return r.sent * math.Exp(-now.Sub(r.sentAt).Seconds())
}

func (r *ramp) send(now time.Time, id uint64) {
	r.sent, r.sentAt = r.sentRate(now)+1, now
	if !r.active {
		return
	}
	if r.firstAt.IsZero() {
		r.firstAt = now
	}
	r.credit = max(r.credit-1, 0)
	r.pending = append(r.pending, pendingSend{id, now})
}

// ended records how a request ended.
func (r *ramp) ended(now time.Time, id uint64, taken, turnedAway bool) {
	for i, p := range r.pending {
		if p.id == id {
			r.pending = append(r.pending[:i:i], r.pending[i+1:]...)
			break
		}
	}
	switch {
	case taken:
		r.take(now)
	case turnedAway: // without a pause: full for the moment
		r.rate, r.taken = max(r.rate/2, lowestRate), false
	}
}

// timeFor returns the time in which the requests ahead of another one are sent, at the rates of a
// ramp whose requests are all taken.
func (r *ramp) timeFor(ahead int) time.Duration {
	left, rate, t := float64(ahead), r.rate, time.Duration(0)
	for left > 0 {
		perStep := rate * rampStep.Seconds()
		if left < perStep || rate >= r.cautious {
			return t + time.Duration(left/rate*float64(time.Second))
		}
		left, t, rate = left-perStep, t+rampStep, min(2*rate, r.cautious)
	}
	return t
}

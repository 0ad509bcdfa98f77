package fleet

import (
	"strconv"
	"time"
)

// StartID returns the identity of one start of an endpoint's process: the name under
// which the platform knows it and when it started, in Unix milliseconds, if that is
// told.
func StartID(server string, born int64) EndpointID {
	if born == 0 {
		return EndpointID(server)
	}
	return EndpointID(server + "@" + strconv.FormatInt(born, 10))
}

// Name returns the name under which the platform knows the endpoint; an endpoint that
// starts again may keep it.
func (ep Endpoint) Name() string {
	if ep.Server != "" {
		return ep.Server
	}
	return string(ep.ID)
}

// Latest returns listed endpoints with each that tells of an earlier start than the one
// known replaced by that: lists and reports lag, each by its own time, and a start
// whose time is not told may be the known one. Symptom without it: an engine that has
// started again is taken for gone or for what it was before, until the list has caught
// up; orders are then decided for models that it does not hold any more.
func Latest(eps []Endpoint, known map[string]Endpoint) []Endpoint {
	out := make([]Endpoint, 0, len(eps))
	for _, ep := range eps {
		k, ok := known[ep.Name()]
		switch {
		case !ok || ep.Born > k.Born && k.Born != 0:
		case ep.Born < k.Born && ep.Born != 0:
			ep, ep.Untold = k, true
		default:
			ep.ID, ep.Born = k.ID, max(ep.Born, k.Born)
		}
		out = append(out, ep)
	}
	return out
}

// lateOrders is how long an order without an answer may still be carried out: up to 12 s
// later, as seen.
const lateOrders = 15 * time.Second

// late is an order without an answer, which a process may still receive.
type late struct {
	Order
	given time.Time
}

// noteLate keeps an order that may still be carried out.
func (e *engine) noteLate(now time.Time, o Order) {
	kept := e.late[:0]
	for _, l := range e.late {
		if now.Sub(l.given) < lateOrders {
			kept = append(kept, l)
		}
	}
	e.late = append(kept, late{o, now})
}

// succeed puts a new start of an engine's process in the place of the one known.
// Nothing known of that holds, but for its late orders: the sequence numbers begin anew,
// so one of them may yet be accepted by the new start. What such a load would take is
// kept free there.
func (p *Planner) succeed(now time.Time, old *engine, ep Endpoint) {
	p.noteEnd(now, old)
	n := newEngine(ep, now)
	n.inherited = append(n.inherited, old.inherited...)
	n.inherited = append(n.inherited, old.late...)
	if o := old.order; o != nil && !o.accepted {
		n.inherited = append(n.inherited, late{o.Order, now})
	}
	p.drop(old)
	p.engines[ep.ID] = n
	p.started = append(p.started, Started{Endpoint: ep.ID, Before: old.ep.ID})
}

// Started tells that an endpoint's process was found to have started again.
type Started struct {
	Endpoint EndpointID
	Before   EndpointID
}

// stillLate returns the late loads of earlier starts that may still be accepted.
func (e *engine) stillLate(now time.Time) []late {
	kept := e.inherited[:0]
	for _, l := range e.inherited {
		// The number of a late order says which order's place it can take; once that
		// is taken it cannot be accepted any more.
		if now.Sub(l.given) < lateOrders && l.Expected >= e.sequence && l.Op == Load {
			kept = append(kept, l)
		}
	}
	e.inherited = kept
	return kept
}

// restarted reports whether a report comes from another start than the one known, and
// whether that is a later one.
func (e *engine) restarted(now time.Time, r Report) (other, later bool) {
	switch {
	case r.Born != 0 && e.ep.Born != 0:
		return r.Born != e.ep.Born, r.Born > e.ep.Born
	case e.ep.Born != 0 || r.Born != 0:
		return false, false
	}
	// Nobody tells when it started: its numbers have begun anew, for longer than
	// reports lag.
	anew := r.Sequence < e.sequence && now.Sub(e.touched) > startLag
	return anew, anew
}

// startLag is how long after the newest order or report a lower sequence number means
// that the process has started again: reports lag by some hundred milliseconds.
const startLag = 2 * time.Second

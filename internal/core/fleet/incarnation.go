package fleet

import (
	"strconv"
	"time"
)

// IncarnationID returns the ID of one incarnation of an endpoint's process: the name under which
// the platform lists it and, if known, when it started, in Unix milliseconds.
func IncarnationID(name string, startedAt int64) EndpointID {
	if startedAt == 0 {
		return EndpointID(name)
	}
	return EndpointID(name + "@" + strconv.FormatInt(startedAt, 10))
}

// Name returns the name under which the platform lists the endpoint; it may stay the same
// after a restart.
func (ep Endpoint) Name() string {
	if ep.Server != "" {
		return ep.Server
	}
	return string(ep.ID)
}

// LatestIncarnations returns the listed endpoints, each replaced by the known incarnation where the
// listed one is earlier: lists and reports lag, each by a different time. If the start time
// of either is unknown, both are assumed to be the same incarnation. Without this, an engine
// that has restarted is considered removed, or still in its previous state, until the list
// has caught up, and orders are decided for models that it no longer holds.
func LatestIncarnations(eps []Endpoint, known map[string]Endpoint) []Endpoint {
	out := make([]Endpoint, 0, len(eps))
	for _, ep := range eps {
		k, ok := known[ep.Name()]
		switch {
		case !ok || ep.StartedAt > k.StartedAt && k.StartedAt != 0:
		case ep.StartedAt < k.StartedAt && ep.StartedAt != 0:
			ep, ep.Unreported = k, true
		default:
			ep.ID, ep.StartedAt = k.ID, max(ep.StartedAt, k.StartedAt)
		}
		out = append(out, ep)
	}
	return out
}

// lateOrderWindow is how long an unanswered order may still be carried out. Delays of up to
// 12 s have been observed.
const lateOrderWindow = 15 * time.Second

// lateOrder is an unanswered order that a process may still receive.
type lateOrder struct {
	Order
	issuedAt time.Time
}

// recordLate records an order that may still be carried out.
func (e *engine) recordLate(now time.Time, o Order) {
	kept := e.lateOrders[:0]
	for _, l := range e.lateOrders {
		if now.Sub(l.issuedAt) < lateOrderWindow {
			kept = append(kept, l)
		}
	}
	e.lateOrders = append(kept, lateOrder{o, now})
}

// replace replaces a known incarnation of an engine by a new one. Nothing known of the old
// one applies, except its late orders: sequence numbers start again, so the new incarnation
// may still accept one of them. The memory and adapter places that such loads would use are
// kept free there.
func (p *Planner) replace(now time.Time, old *engine, ep Endpoint) {
	p.recordEnd(now, old)
	n := newEngine(ep, now)
	n.inherited = append(n.inherited, old.inherited...)
	n.inherited = append(n.inherited, old.lateOrders...)
	if o := old.order; o != nil && !o.accepted {
		n.inherited = append(n.inherited, lateOrder{o.Order, now})
	}
	p.removeEngine(old)
	p.engines[ep.ID] = n
	p.restarts = append(p.restarts, Restart{Endpoint: ep.ID, Previous: old.ep.ID})
}

// Restart reports that an endpoint's process was found to have restarted.
type Restart struct {
	Endpoint EndpointID
	Previous EndpointID
}

// pruneInherited keeps and returns the late loads of earlier incarnations that may still be
// accepted. It drops all other late orders.
func (e *engine) pruneInherited(now time.Time) []lateOrder {
	kept := e.inherited[:0]
	for _, l := range e.inherited {
		// A late order can be accepted only at its own sequence number; once the engine has
		// passed that, it cannot be accepted any more.
		if now.Sub(l.issuedAt) < lateOrderWindow && l.Expected >= e.sequence && l.Op == Load {
			kept = append(kept, l)
		}
	}
	e.inherited = kept
	return kept
}

// restarted reports whether a report comes from another incarnation than the known one, and
// whether that is a later one.
func (e *engine) restarted(r Report) (other, later bool) {
	switch {
	case r.StartedAt != 0 && e.ep.StartedAt != 0:
		return r.StartedAt != e.ep.StartedAt, r.StartedAt > e.ep.StartedAt
	case e.ep.StartedAt != 0 || r.StartedAt != 0:
		return false, false
	}
	// Neither start time is known: a sequence number that is lower for longer than reports
	// lag shows a restart.
	reset := r.Sequence < e.sequence && e.queriedAt.Sub(e.lastActivity) > restartLag
	return reset, reset
}

// restartLag is the time since the newest order or report after which a lower sequence
// number shows that the process has restarted: reports lag by some hundred milliseconds.
const restartLag = 2 * time.Second

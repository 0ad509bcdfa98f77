package fleet

import (
	"slices"
	"time"
)

// Answered records an engine's answer to an order.
func (p *Planner) Answered(now time.Time, o Order, a Answer) {
	e, known := p.engines[o.Endpoint]
	if !known || e.order == nil || e.order.Order != o {
		return
	}
	e.lastActivity = now
	switch a {
	case Accepted:
		e.markAccepted(now, o)
	case Holds:
		e.completedAtOnce(now, o)
		p.finish(now, e, "held at once")
	case Unanswered:
		// It may still be carried out. The order stays pending until a report shows a
		// sequence number beyond it, or the same one: then the next order is issued under
		// that number, which bars this one if it is accepted.
		e.needsReport, e.sequenceCertain = true, false
		e.recordLate(now, o)
	case Unsent:
		p.finish(now, e, "not sent")
		e.backoffUntil = now.Add(p.cfg.Backoff)
	case Gone:
		p.removeEngine(e)
	default: // Busy, Fenced, Rejected
		p.finish(now, e, a.String())
		e.distrust(now)
	}
}

// completedAtOnce records that an order needs no further work. The unload of an adapter
// completes at once and under a new sequence number; an order that was in effect already
// leaves the number as it is, and the answer is the same. Which of the two happened is
// certain only while no other order can still be carried out. Assumed otherwise, the number
// counted here would be the one that an unanswered order produces when it is carried out
// late: the next order would then be accepted on top of it and overfill the engine.
//
// This lets an engine that has unloaded an adapter receive the next order after 15 ms,
// instead of after a refused order and 0.3 to 0.7 s of reports.
func (e *engine) completedAtOnce(now time.Time, o Order) {
	e.apply(o, now)
	switch {
	case o.Op == Load || o.Want.Adapter == "":
	case e.sequenceCertain:
		e.sequence = o.Expected + 1
		e.verifyAt = now.Add(reportLag)
	default:
		e.distrust(now)
	}
}

// distrust makes the planner query an engine's state again after a refusal. A report that
// arrives shortly after may be older than the refusal, and the recorded sequence number may
// have been too high as well as too low.
func (e *engine) distrust(now time.Time) {
	e.needsReport, e.unsettledAt, e.sequence, e.sequenceCertain = true, now, 0, false
}

func (e *engine) markAccepted(now time.Time, o Order) {
	e.order.accepted = true
	e.sequence, e.sequenceCertain = o.Expected+1, true
	e.needsReport = false
	// The duration counts from here: the order itself may have been delayed.
	e.order.due = now.Add(e.order.estimate + reportLag)
}

// apply records an order's effect.
func (e *engine) apply(o Order, now time.Time) {
	h := e.held[o.Want.Model]
	delete(e.loadedAt, o.Want)
	if o.Op == Load {
		e.loadedAt[o.Want] = now
	}
	switch {
	case o.Op == Load && o.Want.Adapter != "" && h != nil:
		h.adapters[o.Want.Adapter] = now
	case o.Op == Load && o.Want.Adapter == "" && h == nil:
		e.held[o.Want.Model] = &held{lastUsed: now, adapters: map[string]time.Time{}}
	case o.Op == Unload && o.Want.Adapter != "" && h != nil:
		delete(h.adapters, o.Want.Adapter)
	case o.Op == Unload && o.Want.Adapter == "":
		delete(e.held, o.Want.Model)
	}
}

// settleByTime ends accepted orders whose expected duration has passed, without waiting for
// a report, which lags by some 100 ms. That saves a cold start one report, 0.15 s of 0.8. If
// the engine takes longer after all, nothing is lost: it refuses a request as not run, and
// the later report corrects the state. Loads from the store wait for reports: they take
// longer while many run. So do unloads of models: engines may accept the next load while
// they still count the memory of the unloaded model, and are then overfilled.
func (p *Planner) settleByTime(now time.Time) {
	for _, e := range p.engines {
		o := e.order
		if o == nil || !o.accepted || !o.settlesByTime() || now.Before(o.due.Add(settleMargin-reportLag)) {
			continue
		}
		e.apply(o.Order, now)
		e.verifyAt = now.Add(reportLag)
		p.finish(now, e, "expected time passed")
	}
}

// finish ends the pending order and frees the engine for its next order.
func (p *Planner) finish(now time.Time, e *engine, result string) {
	p.settled = append(p.settled, Settled{Order: e.order.Order, Result: result, Took: now.Sub(e.order.issuedAt)})
	if w := e.order.Want; e.order.Op == Load && e.has(w) {
		p.newlyHeld[w] = true
	}
	p.endOrder(e)
	p.changed = true
}

func (p *Planner) endOrder(e *engine) {
	if e.order != nil && e.order.Source == FromStore {
		p.store.inFlight--
	}
	e.order = nil
}

// settlesByTime reports whether an order may be assumed done without a report. An inferred
// order never is: the engine may have carried out another one.
func (o *pendingOrder) settlesByTime() bool {
	if o.inferred {
		return false
	}
	if o.Want.Adapter != "" {
		return true
	}
	return o.Op == Load && o.Source != FromStore
}

// QueryFailed records that a query got no answer.
func (p *Planner) QueryFailed(now time.Time, id EndpointID) {
	if e, known := p.engines[id]; known {
		e.querying = false
		e.backoffUntil = now.Add(p.cfg.Backoff)
	}
}

// Reported applies an engine's report, which was requested at e.queriedAt. The report is
// judged by that time, not by now: where the planner's host is short of processor time, a
// report waits for seconds to be processed, and shows nothing of what happened meanwhile.
func (p *Planner) Reported(now time.Time, id EndpointID, r Report) {
	e, known := p.engines[id]
	if !known {
		return
	}
	e.querying = false
	switch other, later := e.restarted(r); {
	case later:
		ep := e.ep
		ep.ID, ep.StartedAt, ep.Held, ep.Copies, ep.Leaving, ep.RemovedIn = IncarnationID(ep.Name(), r.StartedAt), r.StartedAt, nil, r.Copies, r.Leaving, r.RemovedIn
		p.replace(now, e, ep)
		return
	case other:
		return // made by an earlier incarnation; the engine is queried again
	case e.ep.StartedAt == 0 && r.StartedAt != 0:
		e.ep.StartedAt = r.StartedAt
	}
	if r.Leaving {
		e.saysLeaving = true
		p.setLeaving(e, true)
		if r.RemovedIn > 0 && e.ep.RemovedIn == 0 {
			e.ep.RemovedIn, p.changed = r.RemovedIn, true
		}
	}
	if r.Sequence < e.sequence {
		// It was made before the newest order was accepted. Used as the current state, it
		// would hide a model that was loaded since, and the next load would overfill the
		// engine. The engine is queried again.
		return
	}
	o := e.order
	if o == nil {
		p.applyReport(now, e, r)
		return
	}
	switch {
	case o.accepted:
		p.checkProgress(now, e, r)
	case !e.needsReport:
		return // the answer to the order is still outstanding
	case r.Sequence > o.Expected:
		// It was accepted although its answer was lost, or an earlier unanswered one was.
		// The effect may not be visible yet.
		o.accepted, o.inferred = true, true
		o.due = now.Add(o.estimate + reportLag)
		e.sequence = r.Sequence
	case e.queriedAt.Sub(o.issuedAt) > p.cfg.OrderTimeout:
		// Not carried out so far. Ending it is safe: the next order has the same sequence
		// number, and only one of the two can be accepted.
		p.applyReport(now, e, r)
		p.finish(now, e, "not carried out so far")
	}
}

// checkProgress ends an accepted order when the report shows its effect, or still lacks it
// OrderTimeout after it was due.
func (p *Planner) checkProgress(now time.Time, e *engine, r Report) {
	if r.Busy || (e.order.Want.Adapter != "" && slices.Contains(r.Pending, e.order.Want.Model+"/"+e.order.Want.Adapter)) {
		return
	}
	if !e.order.shows(r) && e.queriedAt.Sub(e.order.due) < p.cfg.OrderTimeout {
		return // the report lags behind the engine
	}
	p.learnStore(now, e.order)
	p.applyReport(now, e, r)
	if e.order.inferred {
		// It is unknown which order used the number. If it was an earlier one, its load may
		// have ended just now without being in the report yet: the next load would be added
		// to it.
		e.unsettledAt, e.needsReport = now, true
	}
	p.finish(now, e, "reported")
}

// shows reports whether r contains the order's effect.
func (o *pendingOrder) shows(r Report) bool {
	for _, h := range r.Held {
		if h.Model != o.Want.Model {
			continue
		}
		if o.Want.Adapter == "" || slices.Contains(h.Adapters, o.Want.Adapter) {
			return o.Op == Load
		}
	}
	return o.Op == Unload
}

func (p *Planner) applyReport(now time.Time, e *engine, r Report) {
	if !e.known || r.Sequence != e.sequence || r.Busy {
		// The engine accepted an order that this planner did not see accepted: an unanswered
		// one, or an earlier leader's. Or one is in progress, whose effect may be visible
		// only after its end.
		e.unsettledAt = now
	}
	e.sequence, e.known, e.verifyAt = r.Sequence, true, time.Time{}
	// Nothing is placed here until a report that was requested unsettledWait after the last
	// sign of an unseen order: by then the report contains that order's effect. An order that
	// is accepted later raises the sequence number, so the engine refuses the next order,
	// which expects the number of this report.
	e.needsReport = e.queriedAt.Sub(e.unsettledAt) < unsettledWait
	e.setCopies(r.Copies)
	p.recordLoaded(e, r.Held)
	e.lastActivity = now
	if e.setHeld(r.Held, e.queriedAt) {
		p.changed = true
	}
}

package fleet

import (
	"slices"
	"time"
)

// Answered takes in how an engine answered an order.
func (p *Planner) Answered(now time.Time, o Order, a Answer) {
	e, known := p.engines[o.Endpoint]
	if !known || e.order == nil || e.order.Order != o {
		return
	}
	e.touched = now
	switch a {
	case Accepted:
		e.accepted(now, o)
	case Holds:
		e.heldAtOnce(now, o)
		p.finish(now, e, "held at once")
	case Unanswered:
		// It may still be carried out. The slot stays taken until a report
		// shows a sequence number beyond it, or the same one: then the order
		// is given again under that number, which bars the first copy.
		e.doubt, e.sure = true, false
		e.noteLate(now, o)
	case Unsent:
		p.finish(now, e, "not sent")
		e.shunned = now.Add(p.cfg.Backoff)
	case Gone:
		p.drop(e)
	default: // Busy, Fenced, Rejected
		p.finish(now, e, a.String())
		e.mistrust(now)
	}
}

// heldAtOnce takes in that nothing is left to be done for an order. An adapter is
// unloaded at once and under a new sequence number; what was so before leaves the
// number as it is, and the answer is the same. Only while no other order can still
// be carried out is it certain which of the two it was. Taken for certain otherwise,
// the number counted here would be the one that an order without an answer brings
// about when it is carried out late: the next order is then accepted on top of it,
// and overfills the engine.
// Gain: an engine whose adapter makes way takes the next order after 15 ms, not
// after a refused one and 0.3 to 0.7 s of reports.
func (e *engine) heldAtOnce(now time.Time, o Order) {
	e.apply(o, now)
	switch {
	case o.Op == Load || o.Want.Adapter == "":
	case e.sure:
		e.sequence = o.Expected + 1
		e.verify = now.Add(reportLag)
	default:
		e.mistrust(now)
	}
}

// mistrust makes the planner learn an engine's state anew after a refusal. What
// is reported in the next moments may be older than the refusal, and the sequence
// number that was kept may have been too high as well as too low.
func (e *engine) mistrust(now time.Time) {
	e.doubt, e.moved, e.sequence, e.sure = true, now, 0, false
}

func (e *engine) accepted(now time.Time, o Order) {
	e.order.accepted = true
	e.sequence, e.sure = o.Expected+1, true
	e.doubt = false
	// Its time counts from here: the order itself may have taken a while.
	e.order.due = now.Add(e.order.takes + reportLag)
}

// apply puts an order's effect in place.
func (e *engine) apply(o Order, now time.Time) {
	h := e.held[o.Want.Model]
	delete(e.added, o.Want)
	if o.Op == Load {
		e.added[o.Want] = now
	}
	switch {
	case o.Op == Load && o.Want.Adapter != "" && h != nil:
		h.adapters[o.Want.Adapter] = now
	case o.Op == Load && o.Want.Adapter == "" && h == nil:
		e.held[o.Want.Model] = &held{used: now, adapters: map[string]time.Time{}}
	case o.Op == Unload && o.Want.Adapter != "" && h != nil:
		delete(h.adapters, o.Want.Adapter)
	case o.Op == Unload && o.Want.Adapter == "":
		delete(e.held, o.Want.Model)
	}
}

// settleByTime ends accepted orders whose expected time has passed, without
// waiting for a report, which lags by some 100 ms. Gain: a cold start waits for
// one report less, 0.15 s of 0.8. If the engine takes longer after all, nothing
// is lost: it refuses a request as not run, and the report that is asked for
// later corrects the picture. Loads from the store are left to reports: they take
// longer while many run. So are unloads of models: an engine has been seen to
// take the next load while the model before still counted, and then it is
// overfilled.
func (p *Planner) settleByTime(now time.Time) {
	for _, e := range p.engines {
		o := e.order
		if o == nil || !o.accepted || !o.byTime() || now.Before(o.due.Add(settleMargin-reportLag)) {
			continue
		}
		e.apply(o.Order, now)
		e.verify = now.Add(reportLag)
		p.finish(now, e, "expected time passed")
	}
}

// finish frees the engine for its next order.
func (p *Planner) finish(now time.Time, e *engine, result string) {
	p.settled = append(p.settled, Settled{Order: e.order.Order, Result: result, Took: now.Sub(e.order.given)})
	if w := e.order.Want; e.order.Op == Load && e.has(w) {
		p.fresh[w] = true
	}
	p.endOrder(e)
	p.changed = true
}

func (p *Planner) endOrder(e *engine) {
	if e.order != nil && e.order.Source == FromStore {
		p.store.under--
	}
	e.order = nil
}

// byTime reports whether an order may be taken for done without a report. One that
// may not be the order that the engine carried out never is.
func (o *underway) byTime() bool {
	if o.inferred {
		return false
	}
	if o.Want.Adapter != "" {
		return true
	}
	return o.Op == Load && o.Source != FromStore
}

// Unreported tells that a query got no answer.
func (p *Planner) Unreported(now time.Time, id EndpointID) {
	if e, known := p.engines[id]; known {
		e.asking = false
		e.shunned = now.Add(p.cfg.Backoff)
	}
}

// Reported takes in an engine's report, which was asked for at asked.
func (p *Planner) Reported(now time.Time, id EndpointID, r Report) {
	e, known := p.engines[id]
	if !known {
		return
	}
	e.asking = false
	switch other, later := e.restarted(now, r); {
	case later:
		ep := e.ep
		ep.ID, ep.Born, ep.Held, ep.Copies, ep.Leaving = StartID(ep.Name(), r.Born), r.Born, nil, r.Copies, r.Leaving
		p.succeed(now, e, ep)
		return
	case other:
		return // made by an earlier start; it is asked again
	case e.ep.Born == 0 && r.Born != 0:
		e.ep.Born = r.Born
	}
	if r.Sequence < e.sequence {
		// It was made before the newest order was accepted. Taken for the
		// present state it would hide a model that was loaded since, and the
		// next load would overfill the engine. It is asked again.
		return
	}
	o := e.order
	if o == nil {
		p.takeReport(now, e, r)
		return
	}
	switch {
	case o.accepted:
		p.progress(now, e, r)
	case !e.doubt:
		return // the order's answer is still to come
	case r.Sequence > o.Expected:
		// It was accepted although its answer was lost, or an earlier one without
		// an answer was. What was done may not show yet.
		o.accepted, o.inferred = true, true
		o.due = now.Add(o.takes + reportLag)
		e.sequence = r.Sequence
	case now.Sub(o.given) > p.cfg.Patience:
		// Not carried out so far. Freeing the slot is safe: whichever order
		// comes next bears the same sequence number, and only one of the two
		// can be accepted.
		p.takeReport(now, e, r)
		p.finish(now, e, "not carried out so far")
	}
}

// progress ends an accepted order when the report shows its effect.
func (p *Planner) progress(now time.Time, e *engine, r Report) {
	if r.Busy || (e.order.Want.Adapter != "" && slices.Contains(r.Pending, e.order.Want.Model+"/"+e.order.Want.Adapter)) {
		return
	}
	if !e.order.shows(r) && now.Sub(e.order.due) < p.cfg.Patience {
		return // the report lags behind the engine
	}
	p.learnStore(now, e.order)
	p.takeReport(now, e, r)
	if e.order.inferred {
		// Which order took the number is not known. If it was an earlier one, its
		// load may have ended just now, and the report does not show it yet: the
		// next load would come on top of it.
		e.moved, e.doubt = now, true
	}
	p.finish(now, e, "reported")
}

// shows reports whether r has the order's effect.
func (o *underway) shows(r Report) bool {
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

func (p *Planner) takeReport(now time.Time, e *engine, r Report) {
	if !e.known || r.Sequence != e.sequence || r.Busy {
		// An order was accepted that this planner did not see accepted: one
		// without an answer, or an earlier leader's. Or one is being carried
		// out; its effect may show later than its end.
		e.moved = now
	}
	e.sequence, e.known, e.verify = r.Sequence, true, time.Time{}
	e.doubt = now.Sub(e.moved) < settleMoved
	e.setCopies(r.Copies)
	p.noteLoaded(e, r.Held)
	e.touched = now
	if e.hold(r.Held, e.asked) {
		p.changed = true
	}
}

package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/release"
)

// Work is what the planner wants done: orders to issue and engines to query.
type Work struct {
	Orders      []Order
	Queries     []Query
	Settled     []Settled  // since the last plan
	Restarts    []Restart  // since the last plan
	Quarantined []Want     // in quarantine since the last plan, as engines ended under their loads
	Prepared    []Prepared // loads among Orders that were decided for losses that may come
	Unused      []Prepared // earlier ones that no request has used
	Foreseen    *Foreseen  // the newest examination of what losses would cost, if there was one
}

// Query requests an engine's report.
type Query struct {
	Endpoint EndpointID
	Addr     string
}

const (
	// queryInterval is the minimum time between queries to one engine while an order is due:
	// reports lag by some 100 ms, so a query sooner brings nothing new.
	queryInterval = 100 * time.Millisecond
	// reportLag is added to an order's expected end before the first query.
	reportLag = 110 * time.Millisecond
	// unsettledWait is how long the planner issues no order to an engine after a refusal, or
	// after it detected an order that it did not see accepted: until then a report may be
	// older than the refusal, or show that order's sequence number without its effect.
	unsettledWait = 250 * time.Millisecond
	// settleMargin is added to an order's expected duration before it is assumed done.
	settleMargin = 10 * time.Millisecond
	// adapterLoadTime is the expected duration of an adapter's load.
	adapterLoadTime = 10 * time.Millisecond
	// unloadTime is the expected duration of an unload of an idle model, without the lag of
	// reports.
	unloadTime = 70 * time.Millisecond
	// unloadQueryInterval is the time between queries while an unload is in progress.
	unloadQueryInterval = 40 * time.Millisecond
	// crowdWaitLimit is how long requests wait for a busy model whose engines are all
	// crowded before it is fetched from the store even though busy engines have copies: such
	// a load serves many requests for a long time.
	crowdWaitLimit = 500 * time.Millisecond
	// adapterIdleTime is how long an adapter must be unused before it may be evicted.
	adapterIdleTime = 300 * time.Millisecond
)

// Plan returns the orders and queries that are due, and what has settled since the last
// plan.
func (p *Planner) Plan(now time.Time) Work {
	var w Work
	if p.dep == nil {
		return w
	}
	p.settleByTime(now)
	p.sumReports()
	p.survey = p.buildSurvey(now)
	p.updateStoreLimits(now)
	p.observeResidence(now)
	p.trackMissing(now)
	w.Settled, p.settled = p.settled, nil
	w.Restarts, p.restarts = p.restarts, nil
	w.Quarantined, p.newlyQuarantined = p.newlyQuarantined, nil
	p.loadFaults.Sweep(now)
	for _, e := range p.engines {
		e.inherited = e.pruneInherited(now)
	}
	p.relieveCrowded(now, &w)
	for _, want := range p.prioritized(now) {
		p.serve(now, want, &w)
	}
	p.fetchMissing(now, &w)
	p.mendUnheld(now, &w)
	p.replicate(now, &w)
	p.relieveSlow(now, &w)
	p.keepHeadroom(now, &w)
	p.prepare(now, &w)
	p.queries(now, &w)
	return w
}

// serve issues the order that is the next step towards an engine for a waiting request.
func (p *Planner) serve(now time.Time, want Want, w *Work) {
	base := Want{Model: want.Model}
	if d := p.wants[want]; d != nil {
		for _, name := range d.releases {
			p.serveRelease(now, want.Model, name, w)
		}
	}
	if len(p.survey.loading[want]) > 0 {
		return
	}
	holders, baseLoading := 0, len(p.survey.loading[base]) > 0
	for _, e := range p.survey.holding[want.Model] {
		if !e.has(base) || !e.usable(now) {
			continue
		}
		holders++
		if e.has(want) && !p.crowded(now, e) {
			return // an engine can accept it; entries are notified at once
		}
	}
	switch {
	case holders > 0 && want.Adapter != "":
		p.placeAdapter(now, want, w)
	case holders == 0 && !p.cfg.ByUrgency && !p.hasCopy(now, want.Model):
		// fetchMissing loads it, by falling request rate.
	case !baseLoading:
		p.place(now, want.Model, false, w) // no engine holds it, or all that do are full
	}
}

// serveRelease loads a model on an engine of a release for requests that only these can take, if none
// holds or loads it.
func (p *Planner) serveRelease(now time.Time, model string, name release.Name, w *Work) {
	base := Want{Model: model}
	for _, e := range p.survey.loading[base] {
		if e.ep.Release == name {
			return
		}
	}
	for _, e := range p.survey.holding[model] {
		if e.ep.Release == name && e.has(base) && e.usable(now) {
			return
		}
	}
	var best *placement
	for _, e := range p.engines {
		if e.ep.Release != name {
			continue
		}
		if s, ok := p.placement(now, e, model, true); ok && s.cheaper(best) {
			best = &s
		}
	}
	if best != nil {
		p.issuePlacement(now, model, *best, w)
	}
}

// crowded reports whether the share of an engine's slots in use has reached the threshold, or
// what is asked for its limit.
func (p *Planner) crowded(now time.Time, e *engine) bool {
	return p.limitReached(now, e) || e.ep.Slots > 0 && float64(e.running) >= p.cfg.Crowded*float64(e.ep.Slots)
}

// relieveCrowded adds a replica of each busy model whose engines are all crowded, before
// anything else: many requests wait there, and would otherwise get only the memory that
// loads for single requests leave free.
func (p *Planner) relieveCrowded(now time.Time, w *Work) {
	for _, name := range p.survey.busy {
		holders, full := p.replicas(now, name)
		if holders > 0 && full == holders && holders < p.maxReplicas() {
			p.survey.crowded[name] = true
			p.place(now, name, p.survey.longestWait[name] > crowdWaitLimit, w)
		}
	}
}

// replicate adds the replicas that the rates of busy models require, several at a time while
// demand moves to another model.
func (p *Planner) replicate(now time.Time, w *Work) {
	for _, name := range p.survey.busy {
		holders, _ := p.replicas(now, name)
		want := p.foreseenRate(now, name) / p.ratePerReplica(name)
		lost := p.lostReplicas(now, name)
		for ; holders > 0 && holders < p.maxReplicas() && float64(holders)-lost < want; holders++ {
			p.place(now, name, false, w)
		}
	}
}

// replicas returns how many engines hold or load a model, and how many of them are crowded.
func (p *Planner) replicas(now time.Time, name string) (holders, full int) {
	base := Want{Model: name}
	holders = len(p.survey.loading[base])
	for _, e := range p.survey.holding[name] {
		if !e.has(base) || !e.usable(now) {
			continue
		}
		holders++
		if p.crowded(now, e) {
			full++
		}
	}
	return holders, full
}

// maxReplicas returns how many engines one model may use.
func (p *Planner) maxReplicas() int {
	return int(math.Ceil(p.cfg.MaxEngineShare * float64(len(p.engines))))
}

// issue records an order as pending and adds it to the work.
func (p *Planner) issue(now time.Time, e *engine, o Order, estimate time.Duration, w *Work) {
	o.Endpoint, o.Server, o.Addr, o.Expected = e.ep.ID, e.ep.Name(), e.ep.Addr, e.sequence
	e.order = &pendingOrder{Order: o, issuedAt: now, estimate: estimate, due: now.Add(estimate + reportLag)}
	e.lastActivity = now
	if o.Source == FromStore {
		p.store.observe(now)
		e.order.loadSeconds = p.store.loadSeconds
		p.store.inFlight++
		p.storeLoadsAt = append(p.storeLoadsAt, now)
	}
	if o.Op == Unload {
		p.changed = true // entries stop sending to it
		if o.Want.Adapter == "" && !e.ep.Leaving {
			p.survey.holders[o.Want.Model]--
		}
	} else {
		e.newestLoad = lastLoad{o.Want, now.Add(estimate + loadFaultWindow)}
		p.survey.loading[o.Want] = append(p.survey.loading[o.Want], e)
	}
	w.Orders = append(w.Orders, o)
}

// queryInterval returns the time between queries. It grows with the delay of an order that
// is far beyond its expected end, as loads from a busy store are.
func (e *engine) queryInterval(now time.Time) time.Duration {
	if e.order == nil {
		return queryInterval
	}
	if e.order.Op == Unload {
		return max(unloadQueryInterval, now.Sub(e.order.due)/4)
	}
	return max(queryInterval, now.Sub(e.order.due)/4)
}

// queries queries engines whose reports are due, those with orders first. The number of
// concurrent queries is limited. Otherwise a new leader would query 1,500 engines at once
// over 1,500 new connections; the answers would miss their time limit, the heartbeats to the
// other control hosts would miss theirs, and the next leader would do the same.
func (p *Planner) queries(now time.Time, w *Work) {
	inProgress := 0
	var ordered, others []*engine
	for _, e := range p.engines {
		switch {
		case e.querying:
			inProgress++
		case !p.queryDue(now, e):
		case e.order != nil:
			ordered = append(ordered, e)
		default:
			others = append(others, e)
		}
	}
	slices.SortFunc(ordered, longestUnqueried)
	slices.SortFunc(others, longestUnqueried)
	for _, e := range append(ordered, others...) {
		if inProgress >= p.cfg.MaxQueries {
			return
		}
		inProgress++
		e.querying, e.queriedAt = true, now
		w.Queries = append(w.Queries, Query{e.ep.ID, e.ep.Addr})
	}
}

// longestUnqueried orders engines by the time of their last query, the earliest first.
func longestUnqueried(a, b *engine) int {
	return cmp.Or(a.queriedAt.Compare(b.queriedAt), cmp.Compare(a.ep.ID, b.ep.ID))
}

// queryDue reports whether an engine without a query in progress should be queried.
func (p *Planner) queryDue(now time.Time, e *engine) bool {
	eng, _ := p.spec(e, "")
	if eng == nil || now.Sub(e.queriedAt) < e.queryInterval(now) || now.Before(e.backoffUntil) {
		return false
	}
	if o := e.order; o != nil {
		return !now.Before(o.due) || (!o.accepted && now.Sub(o.issuedAt) > p.cfg.OrderTimeout && e.needsReport)
	}
	return !e.known || e.needsReport || (!e.verifyAt.IsZero() && !now.Before(e.verifyAt))
}

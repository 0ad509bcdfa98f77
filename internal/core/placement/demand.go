package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/state"
)

// targetDemand holds the demands for one target from all entries and customers.
type targetDemand struct {
	since       time.Time
	byRequester map[requester]latestDemand
	warmUntil   time.Time // in demand until then even if no request waits
}

// requester identifies the origin of a demand.
type requester struct {
	entry    ident.HostID
	customer ident.Customer
}

// latestDemand is the newest demand of one requester.
type latestDemand struct {
	received time.Time
	demand   Demand
}

// Demand records a demand. An entry repeats a demand until it is met, so a lost
// message or a change of leader delays it by one interval.
func (p *Planner) Demand(now time.Time, st *state.State, d Demand) {
	if _, ok := st.RequirementsOf(d.Target); !ok {
		return
	}
	_, known := p.demands[d.Target]
	td := p.demandFor(now, d.Target)
	td.byRequester[requester{d.Entry, d.Customer}] = latestDemand{now, d}
	// The requests may be refused because the model cannot be ready in time;
	// a retry after Retry-After should find the model loaded.
	td.warmUntil = maxTime(td.warmUntil, now.Add(p.cfg.RetryAfter))
	p.recordUse(now, d.Target)
	if d.Target.IsAdapter() {
		p.lastUse[d.Target.Base()] = maxTime(p.lastUse[d.Target.Base()], now)
	}
	if !known && p.cfg.Prewarm && p.cfg.Policy == PolicyHistory {
		p.prewarm(now, st, d.Target)
	}
}

func (p *Planner) demandFor(now time.Time, t ident.Target) *targetDemand {
	td := p.demands[t]
	if td == nil {
		td = &targetDemand{since: now, byRequester: map[requester]latestDemand{}}
		p.demands[t] = td
	}
	return td
}

const minWakes = 3 // minimum recorded wakes of a target before its companions are prewarmed

// prewarm adds demand for the targets that usually wake together with t.
func (p *Planner) prewarm(now time.Time, st *state.State, t ident.Target) {
	stats := st.History().Stats(t)
	for _, c := range stats.Companions(p.cfg.PrewarmShare, minWakes) {
		req, ok := st.RequirementsOf(c)
		if !ok || st.Count(c) > 0 || req.Weight < prewarmWeight {
			continue
		}
		td := p.demandFor(now, c)
		td.warmUntil = maxTime(td.warmUntil, now.Add(wakeWindow))
	}
}

// prewarmWeight is the minimum weight of tail cold-start time at which loading
// ahead of a request justifies the idle accelerator time.
const prewarmWeight = 0.5

func (td *targetDemand) prune(now time.Time, cfg Config) {
	for k, latest := range td.byRequester {
		if now.Sub(latest.received) > cfg.DemandTTL {
			delete(td.byRequester, k)
		}
	}
}

func (td *targetDemand) empty(now time.Time) bool {
	return len(td.byRequester) == 0 && now.After(td.warmUntil)
}

func (td *targetDemand) waiting() int {
	n := 0
	for _, latest := range td.byRequester {
		n += latest.demand.Waiting
	}
	return n
}

// urgency is a class of the load queue; lower values are loaded first.
type urgency int

// The classes: interactive requests precede batch work, and both precede
// prewarming.
const (
	urgent urgency = iota
	late           // interactive, but the deadline can no longer be met
	batch
	warm
)

// item is a target that needs one more replica.
type item struct {
	target ident.Target
	req    state.Requirements
	class  urgency
	key    time.Time // order within the class
	// assumeEvictable makes replicas that are loading or in use count as evictable.
	// It serves estimates only, never decisions.
	assumeEvictable bool
}

// queue returns the targets that need a replica, in load order.
func (p *Planner) queue(now time.Time, st *state.State) []item {
	var items []item
	lowest := p.minServed()
	for t, td := range p.demands {
		req, ok := st.RequirementsOf(t)
		if !ok || !p.needsReplica(st, t, td) {
			continue
		}
		items = append(items, p.rank(now, t, req, td, lowest))
	}
	slices.SortFunc(items, func(a, b item) int {
		return cmp.Or(cmp.Compare(a.class, b.class), a.key.Compare(b.key), cmp.Compare(a.target.String(), b.target.String()))
	})
	return items
}

// needsReplica reports whether t needs another replica: the first one for any
// demand, further ones if more requests wait than the present replicas can run
// concurrently.
func (p *Planner) needsReplica(st *state.State, t ident.Target, td *targetDemand) bool {
	n := st.Count(t)
	if n >= st.MaxReplicas(t) {
		return false
	}
	waiting := td.waiting()
	if waiting == 0 {
		req, _ := st.RequirementsOf(t)
		return n < max(1, req.Min)
	}
	return n*defaultSlots < waiting
}

const defaultSlots = 8 // concurrent requests assumed per replica

// rank returns the queue item of t, with its class and its order within it.
func (p *Planner) rank(now time.Time, t ident.Target, req state.Requirements, td *targetDemand, lowest float64) item {
	it := item{target: t, req: req, class: warm, key: td.since}
	if p.cfg.Policy != PolicyHistory {
		it.class = urgent
		return it
	}
	minLoad := p.loadTime(FromMemory, req.Bytes)
	for _, latest := range td.byRequester {
		d := latest.demand
		class := urgent
		if now.Add(minLoad).After(d.Deadline) {
			class = late
		}
		if d.Batch {
			class = batch
		}
		// A customer's deadline is deferred by the load time granted to it
		// beyond the customer with the least, so that one customer's burst
		// does not starve the others.
		penalty := min(time.Duration((p.served[d.Customer]-lowest)*float64(time.Second)), maxFairnessPenalty)
		key := d.Deadline.Add(penalty)
		if class < it.class || (class == it.class && key.Before(it.key)) {
			it.class, it.key = class, key
		}
	}
	return it
}

const maxFairnessPenalty = 30 * time.Second // maximum by which fairness defers a deadline

// minServed returns the least load time granted among the customers with demand.
func (p *Planner) minServed() float64 {
	lowest, found := 0.0, false
	for _, td := range p.demands {
		for _, latest := range td.byRequester {
			v := p.served[latest.demand.Customer]
			if !found || v < lowest {
				lowest, found = v, true
			}
		}
	}
	return lowest
}

// charge divides the time of a granted load among the requesters of t.
func (p *Planner) charge(t ident.Target, took time.Duration) {
	td := p.demands[t]
	if td == nil || len(td.byRequester) == 0 {
		return
	}
	share := took.Seconds() / float64(len(td.byRequester))
	for k := range td.byRequester {
		p.served[k.customer] += share
	}
}

// decayServed halves the load time recorded for each customer every minute:
// fairness concerns the present burst, not earlier use.
func (p *Planner) decayServed() {
	for c := range p.served {
		p.served[c] *= servedDecay
		if p.served[c] < 0.01 {
			delete(p.served, c)
		}
	}
}

const servedDecay = 0.98851402 // per second; gives one half after a minute

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/state"
)

// want gathers the demands for one target from all entries and customers.
type want struct {
	first   time.Time
	by      map[source]asked
	warmTil time.Time // wanted without a waiting request until then
}

// source is who asks.
type source struct {
	entry    ident.HostID
	customer ident.Customer
}

// asked is the newest demand of one source.
type asked struct {
	at     time.Time
	demand Demand
}

// Demand takes in one demand. The same demand arrives again from its entry
// until it is met, so a lost message or leader costs one interval.
func (p *Planner) Demand(now time.Time, st *state.State, d Demand) {
	if _, ok := st.Stated(d.Target); !ok {
		return
	}
	_, again := p.wants[d.Target]
	w := p.want(now, d.Target)
	w.by[source{d.Entry, d.Customer}] = asked{now, d}
	// The requests may be refused because they cannot be met in time; those
	// that come back after Retry-After should find the model loaded.
	w.warmTil = maxTime(w.warmTil, now.Add(p.cfg.RetryAfter))
	p.touch(now, d.Target)
	if d.Target.IsAdapter() {
		p.lastUse[d.Target.Base()] = maxTime(p.lastUse[d.Target.Base()], now)
	}
	if !again && p.cfg.Prewarm && p.cfg.Policy == PolicyHistory {
		p.prewarm(now, st, d.Target)
	}
}

func (p *Planner) want(now time.Time, t ident.Target) *want {
	w := p.wants[t]
	if w == nil {
		w = &want{first: now, by: map[source]asked{}}
		p.wants[t] = w
	}
	return w
}

const minWakes = 3 // wakes of a target before its companions are believed

// prewarm wants the targets that usually wake together with t.
func (p *Planner) prewarm(now time.Time, st *state.State, t ident.Target) {
	stats := st.History().Stats(t)
	for _, c := range stats.Companions(p.cfg.PrewarmShare, minWakes) {
		said, ok := st.Stated(c)
		if !ok || st.Count(c) > 0 || said.Weight < prewarmWeight {
			continue
		}
		w := p.want(now, c)
		w.warmTil = maxTime(w.warmTil, now.Add(wakeWindow))
	}
}

// prewarmWeight is the least weight for tail cold-start time at which loading
// ahead of a request is worth the idle accelerator time.
const prewarmWeight = 0.5

func (w *want) prune(now time.Time, cfg Config) {
	for k, a := range w.by {
		if now.Sub(a.at) > cfg.DemandTTL {
			delete(w.by, k)
		}
	}
}

func (w *want) empty(now time.Time) bool {
	return len(w.by) == 0 && now.After(w.warmTil)
}

func (w *want) waiting() int {
	n := 0
	for _, a := range w.by {
		n += a.demand.Waiting
	}
	return n
}

// urgency orders the load queue.
type urgency int

// The classes: people who wait go before batch work, both before prewarming.
const (
	urgent urgency = iota
	late           // no waiting request can be met in time any more
	batch
	warm
)

// item is one target that needs one more replica.
type item struct {
	target ident.Target
	said   state.Statement
	class  urgency
	key    time.Time // order within the class
	// hopeful looks ahead: replicas that are loading or in use now count as
	// evictable. Only estimates are made from that, never decisions.
	hopeful bool
}

// queue returns the targets that need a replica, in the order of loading.
func (p *Planner) queue(now time.Time, st *state.State) []item {
	var items []item
	least := p.leastServed()
	for t, w := range p.wants {
		said, ok := st.Stated(t)
		if !ok || !p.needsMore(st, t, w) {
			continue
		}
		items = append(items, p.rank(now, t, said, w, least))
	}
	slices.SortFunc(items, func(a, b item) int {
		return cmp.Or(cmp.Compare(a.class, b.class), a.key.Compare(b.key), cmp.Compare(a.target.String(), b.target.String()))
	})
	return items
}

// needsMore reports whether another replica of t is called for: one for any
// demand, more when more requests wait than the present ones run at once.
func (p *Planner) needsMore(st *state.State, t ident.Target, w *want) bool {
	n := st.Count(t)
	if n >= st.Sold(t) {
		return false
	}
	waiting := w.waiting()
	if waiting == 0 {
		said, _ := st.Stated(t)
		return n < max(1, said.Min)
	}
	return n*defaultSlots < waiting
}

const defaultSlots = 8 // requests that one replica is counted on to run at once

// rank gives the place of t in the queue.
func (p *Planner) rank(now time.Time, t ident.Target, said state.Statement, w *want, least float64) item {
	it := item{target: t, said: said, class: warm, key: w.first}
	if p.cfg.Policy != PolicyHistory {
		it.class = urgent
		return it
	}
	soonest := p.loadTime(FromMemory, said.Bytes)
	for _, a := range w.by {
		d := a.demand
		class := urgent
		if now.Add(soonest).After(d.Deadline) {
			class = late
		}
		if d.Batch {
			class = batch
		}
		// A customer who got more load time than others per replica sold
		// comes that much later, so that nobody's burst starves the rest.
		lead := min(time.Duration((p.served[d.Customer]-least)*float64(time.Second)), maxLead)
		key := d.Deadline.Add(lead)
		if class < it.class || (class == it.class && key.Before(it.key)) {
			it.class, it.key = class, key
		}
	}
	return it
}

const maxLead = 30 * time.Second // most that fairness moves a deadline

func (p *Planner) leastServed() float64 {
	least, any := 0.0, false
	for _, w := range p.wants {
		for _, a := range w.by {
			v := p.served[a.demand.Customer]
			if !any || v < least {
				least, any = v, true
			}
		}
	}
	return least
}

// charge counts a granted load against the customers who asked for it.
func (p *Planner) charge(t ident.Target, took time.Duration) {
	w := p.wants[t]
	if w == nil || len(w.by) == 0 {
		return
	}
	share := took.Seconds() / float64(len(w.by))
	for k := range w.by {
		p.served[k.customer] += share
	}
}

// fadeServed forgets half of what was served every minute; fairness is about
// the present burst, not about last week.
func (p *Planner) fadeServed() {
	for c := range p.served {
		p.served[c] *= servedKeep
		if p.served[c] < 0.01 {
			delete(p.served, c)
		}
	}
}

const servedKeep = 0.98851402 // per second; one half after a minute

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

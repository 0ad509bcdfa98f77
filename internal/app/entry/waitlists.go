package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/placement"
	"github.com/cassiapass/cassiapass/internal/core/record"
	"github.com/cassiapass/cassiapass/internal/wire"
)

const (
	demandInterval    = 250 * time.Millisecond // a lost message or a change of leader delays a demand by one interval
	demandTimeout     = 2 * time.Second
	defaultRetryAfter = 5 * time.Second // Retry-After while control gives no estimate
)

// waitlists holds the requests that wait for a replica, one waitlist per target.
// Each waitlist is reported to control as one demand per customer, however many
// requests it holds.
type waitlists struct {
	entry    *Entry
	mu       sync.Mutex
	byTarget map[ident.Target]*waitlist
	added    chan struct{}
	done     chan struct{}
	stopOnce sync.Once
}

// waitlist holds the requests that wait for one target, with the last estimate
// from control.
type waitlist struct {
	waiters     map[*waiter]struct{}
	estimated   wire.EstimateIn
	estimatedAt time.Time
	hasEstimate bool
}

// waiter is one waiting request.
type waiter struct {
	service  string
	customer ident.Customer
	priority record.Priority
	deadline time.Time
	wake     chan struct{}
}

func newWaitlists(e *Entry) *waitlists {
	return &waitlists{entry: e, byTarget: map[ident.Target]*waitlist{}, added: make(chan struct{}, 1), done: make(chan struct{})}
}

func (rs *waitlists) stop() { rs.stopOnce.Do(func() { close(rs.done) }) }

// add adds a waiter for target t. The first waiter of a target triggers a demand
// message at once.
func (rs *waitlists) add(t ident.Target, w *waiter) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	r := rs.byTarget[t]
	if r == nil {
		r = &waitlist{waiters: map[*waiter]struct{}{}}
		rs.byTarget[t] = r
		select {
		case rs.added <- struct{}{}:
		default:
		}
	}
	r.waiters[w] = struct{}{}
}

func (rs *waitlists) remove(t ident.Target, w *waiter) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	r := rs.byTarget[t]
	delete(r.waiters, w)
	if len(r.waiters) == 0 {
		delete(rs.byTarget, t)
	}
}

// estimate returns the time from now until control expects a replica of t to be
// ready, the reason that control gives, and whether an estimate was received. in
// is 0 if control could not estimate the time.
func (rs *waitlists) estimate(t ident.Target, now time.Time) (in time.Duration, reason string, known bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	r := rs.byTarget[t]
	if r == nil || !r.hasEstimate {
		return 0, "", false
	}
	if !r.estimated.Known {
		return 0, r.estimated.Reason, true
	}
	return max(0, r.estimated.In-now.Sub(r.estimatedAt)), r.estimated.Reason, true
}

// wake makes every waiter look for candidates again.
func (rs *waitlists) wake() {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for _, r := range rs.byTarget {
		r.wake()
	}
}

func (r *waitlist) wake() {
	for w := range r.waiters {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
}

// run sends the demands of all waitlists to control, one message per interval.
func (rs *waitlists) run() {
	t := time.NewTicker(demandInterval)
	defer t.Stop()
	for {
		select {
		case <-rs.done:
			return
		case <-t.C:
		case <-rs.added:
		}
		if p := rs.collectDemands(time.Now()); len(p.Demands) > 0 {
			rs.send(p)
		}
	}
}

// collectDemands summarises the waiting requests by target and customer.
func (rs *waitlists) collectDemands(now time.Time) wire.DemandParams {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	var p wire.DemandParams
	for t, r := range rs.byTarget {
		byCustomer := map[ident.Customer]*wire.DemandIn{}
		for w := range r.waiters {
			d := byCustomer[w.customer]
			if d == nil {
				d = &wire.DemandIn{Within: w.deadline.Sub(now), Demand: placement.Demand{Entry: rs.entry.cfg.Host, Service: w.service, Customer: w.customer, Target: t, Batch: true}}
				byCustomer[w.customer] = d
			}
			d.Demand.Waiting++
			d.Demand.Batch = d.Demand.Batch && w.priority == record.Batch
			d.Within = min(d.Within, w.deadline.Sub(now))
		}
		for _, d := range byCustomer {
			p.Demands = append(p.Demands, *d)
		}
	}
	return p
}

func (rs *waitlists) send(p wire.DemandParams) {
	ctx, cancel := context.WithTimeout(context.Background(), demandTimeout)
	defer cancel()
	var res wire.DemandResult
	rs.entry.met.demands.Inc()
	if err := rs.entry.follower.Call(ctx, wire.MethodDemand, p, &res); err != nil {
		return // sent again at the next interval
	}
	now := time.Now()
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for _, est := range res.Estimates {
		if r, ok := rs.byTarget[est.Target]; ok {
			r.estimated, r.estimatedAt, r.hasEstimate = est, now, true
			r.wake()
		}
	}
}

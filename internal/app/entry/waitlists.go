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

func (ws *waitlists) stop() { ws.stopOnce.Do(func() { close(ws.done) }) }

// add adds a waiter for target t. The first waiter of a target triggers a demand
// message at once.
func (ws *waitlists) add(t ident.Target, w *waiter) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	wl := ws.byTarget[t]
	if wl == nil {
		wl = &waitlist{waiters: map[*waiter]struct{}{}}
		ws.byTarget[t] = wl
		select {
		case ws.added <- struct{}{}:
		default:
		}
	}
	wl.waiters[w] = struct{}{}
}

func (ws *waitlists) remove(t ident.Target, w *waiter) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	wl := ws.byTarget[t]
	delete(wl.waiters, w)
	if len(wl.waiters) == 0 {
		delete(ws.byTarget, t)
	}
}

// estimate returns the time from now until control expects a replica of t to be
// ready, the reason that control gives, and whether an estimate was received. in
// is 0 if control could not estimate the time.
func (ws *waitlists) estimate(t ident.Target, now time.Time) (in time.Duration, reason string, known bool) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	wl := ws.byTarget[t]
	if wl == nil || !wl.hasEstimate {
		return 0, "", false
	}
	if !wl.estimated.Known {
		return 0, wl.estimated.Reason, true
	}
	return max(0, wl.estimated.In-now.Sub(wl.estimatedAt)), wl.estimated.Reason, true
}

// wake makes every waiter look for candidates again.
func (ws *waitlists) wake() {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	for _, wl := range ws.byTarget {
		wl.wake()
	}
}

func (wl *waitlist) wake() {
	for w := range wl.waiters {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
}

// run sends the demands of all waitlists to control, one message per interval.
func (ws *waitlists) run() {
	t := time.NewTicker(demandInterval)
	defer t.Stop()
	for {
		select {
		case <-ws.done:
			return
		case <-t.C:
		case <-ws.added:
		}
		if p := ws.collectDemands(time.Now()); len(p.Demands) > 0 {
			ws.send(p)
		}
	}
}

// collectDemands summarises the waiting requests by target and customer.
func (ws *waitlists) collectDemands(now time.Time) wire.DemandParams {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	var p wire.DemandParams
	for t, wl := range ws.byTarget {
		byCustomer := map[ident.Customer]*wire.DemandIn{}
		for w := range wl.waiters {
			d := byCustomer[w.customer]
			if d == nil {
				d = &wire.DemandIn{Within: w.deadline.Sub(now), Demand: placement.Demand{Entry: ws.entry.cfg.Host, Service: w.service, Customer: w.customer, Target: t, Batch: true}}
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

func (ws *waitlists) send(p wire.DemandParams) {
	ctx, cancel := context.WithTimeout(context.Background(), demandTimeout)
	defer cancel()
	var res wire.DemandResult
	ws.entry.met.demands.Inc()
	if err := ws.entry.follower.Call(ctx, wire.MethodDemand, p, &res); err != nil {
		return // sent again at the next interval
	}
	now := time.Now()
	ws.mu.Lock()
	defer ws.mu.Unlock()
	for _, est := range res.Estimates {
		if wl, ok := ws.byTarget[est.Target]; ok {
			wl.estimated, wl.estimatedAt, wl.hasEstimate = est, now, true
			wl.wake()
		}
	}
}

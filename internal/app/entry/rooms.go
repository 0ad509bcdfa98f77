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
	demandEvery   = 250 * time.Millisecond // a lost demand or leader costs one interval
	demandTimeout = 2 * time.Second
	noEstimate    = 5 * time.Second // Retry-After while control cannot tell
)

// rooms hold the requests that wait for a replica, one room per target. All
// requests in a room make one demand, however many they are.
type rooms struct {
	entry *Entry
	mu    sync.Mutex
	rooms map[ident.Target]*room
	kick  chan struct{}
	done  chan struct{}
	once  sync.Once
}

// room is where requests for one target wait.
type room struct {
	waiters map[*waiter]struct{}
	est     wire.EstimateIn
	estAt   time.Time
	hasEst  bool
}

// waiter is one waiting request.
type waiter struct {
	service  string
	customer ident.Customer
	priority record.Priority
	deadline time.Time
	wake     chan struct{}
}

func newRooms(e *Entry) *rooms {
	return &rooms{entry: e, rooms: map[ident.Target]*room{}, kick: make(chan struct{}, 1), done: make(chan struct{})}
}

func (rs *rooms) stop() { rs.once.Do(func() { close(rs.done) }) }

// enter adds a waiter for target. The first one of a room is announced at once.
func (rs *rooms) enter(t ident.Target, w *waiter) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	r := rs.rooms[t]
	if r == nil {
		r = &room{waiters: map[*waiter]struct{}{}}
		rs.rooms[t] = r
		select {
		case rs.kick <- struct{}{}:
		default:
		}
	}
	r.waiters[w] = struct{}{}
}

func (rs *rooms) leave(t ident.Target, w *waiter) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	r := rs.rooms[t]
	delete(r.waiters, w)
	if len(r.waiters) == 0 {
		delete(rs.rooms, t)
	}
}

// estimate returns when control expects a replica of t, from now on, and
// whether that is known.
func (rs *rooms) estimate(t ident.Target, now time.Time) (in time.Duration, reason string, known bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	r := rs.rooms[t]
	if r == nil || !r.hasEst {
		return 0, "", false
	}
	if !r.est.Known {
		return 0, r.est.Reason, true
	}
	return max(0, r.est.In-now.Sub(r.estAt)), r.est.Reason, true
}

// wake wakes every waiter to look again.
func (rs *rooms) wake() {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for _, r := range rs.rooms {
		r.wake()
	}
}

func (r *room) wake() {
	for w := range r.waiters {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
}

// run sends the demands of all rooms, one message per interval.
func (rs *rooms) run() {
	t := time.NewTicker(demandEvery)
	defer t.Stop()
	for {
		select {
		case <-rs.done:
			return
		case <-t.C:
		case <-rs.kick:
		}
		if p := rs.demands(time.Now()); len(p.Demands) > 0 {
			rs.send(p)
		}
	}
}

// demands gathers what waits, by target and customer.
func (rs *rooms) demands(now time.Time) wire.DemandParams {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	var p wire.DemandParams
	for t, r := range rs.rooms {
		by := map[ident.Customer]*wire.DemandIn{}
		for w := range r.waiters {
			d := by[w.customer]
			if d == nil {
				d = &wire.DemandIn{Within: w.deadline.Sub(now), Demand: placement.Demand{Entry: rs.entry.cfg.Host, Service: w.service, Customer: w.customer, Target: t, Batch: true}}
				by[w.customer] = d
			}
			d.Demand.Waiting++
			d.Demand.Batch = d.Demand.Batch && w.priority == record.Batch
			d.Within = min(d.Within, w.deadline.Sub(now))
		}
		for _, d := range by {
			p.Demands = append(p.Demands, *d)
		}
	}
	return p
}

func (rs *rooms) send(p wire.DemandParams) {
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
		if r, ok := rs.rooms[est.Target]; ok {
			r.est, r.estAt, r.hasEst = est, now, true
			r.wake()
		}
	}
}

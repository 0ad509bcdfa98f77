package entry

import (
	"context"
	"slices"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/limit"
	"github.com/cassiapass/cassiapass/internal/core/placement"
	"github.com/cassiapass/cassiapass/internal/core/record"
	"github.com/cassiapass/cassiapass/internal/core/routing"
	"github.com/cassiapass/cassiapass/internal/core/state"
	"github.com/cassiapass/cassiapass/internal/core/view"
	"github.com/cassiapass/cassiapass/internal/wire"
)

// job is one request on its way to its outcome.
type job struct {
	id          ident.RequestID
	service     string // record
	customer    record.Customer
	target      ident.Target
	plain       string // plain service instead of a target
	method      string
	path        string
	contentType string
	body        []byte
	repeatable  bool
	claim       *state.ClaimKey
	startBy     time.Time // latest start of the answer
	endBy       time.Time
	prefix      uint64
	sink        sink

	attempts  uint32
	retries   int
	stale     int // times refused for an old configuration
	tried     []ident.HostID
	ran       bool // it may have run
	busyUntil map[ident.HostID]time.Time
	noRoom    time.Time // since when control sees no room for the target
	trace     []Try
}

// Try is one attempt as shown to operators.
type Try struct {
	Host   ident.HostID  `json:"host"`
	State  wire.RunState `json:"state"`
	Reason string        `json:"reason,omitempty"`
}

// sink is where an answer goes.
type sink interface {
	head(h wire.Head) error
	write(p []byte) error
	finish() error
	// delivered reports whether the caller has received a part: from then on
	// no other attempt can take over.
	delivered() bool
}

const (
	maxStale     = 5 // configuration catch-ups within one request
	backoffFirst = 25 * time.Millisecond
	backoffMost  = time.Second
	roomPatience = 2 * time.Second // how long "no endpoint has room" is waited out
)

// run brings a job to its outcome. A nil result means answered.
func (e *Entry) run(ctx context.Context, j *job) *refusal {
	e.withTable(func() { e.budget.Request() })
	for {
		if ref := e.quarantined(j); ref != nil {
			if j.ran {
				return unknown("outcome_unknown", "an engine ended while it ran the request, and it is not run again")
			}
			return ref
		}
		c, ep, ok := e.pick(j)
		if !ok {
			if ref := e.await(ctx, j); ref != nil {
				return ref
			}
			continue
		}
		v := e.attempt(ctx, j, c, ep)
		j.trace = append(j.trace, Try{Host: c.Host, State: v.state, Reason: v.reason})
		j.ran = j.ran || v.state == wire.RunUnknown
		e.learn(j, v)
		if v.final != nil {
			return v.final
		}
		if v.state == wire.RunAccepted {
			return nil
		}
		if ref := e.again(ctx, j, c, v); ref != nil {
			return ref
		}
	}
}

func (e *Entry) withTable(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
}

// pick chooses an endpoint that can serve the job now.
func (e *Entry) pick(j *job) (routing.Candidate, state.Endpoint, bool) {
	now := time.Now()
	cands, eps := e.candidates(j, now)
	var c routing.Candidate
	var ok bool
	e.withTable(func() { c, ok = e.table.Pick(now, cands, j.prefix, j.tried) })
	if !ok || slices.Contains(j.tried, c.Host) {
		return c, state.Endpoint{}, false
	}
	return c, eps[c.Host], true
}

// candidates lists the endpoints that are ready for the job and not known to
// be full.
func (e *Entry) candidates(j *job, now time.Time) ([]routing.Candidate, map[ident.HostID]state.Endpoint) {
	var out []routing.Candidate
	eps := map[ident.HostID]state.Endpoint{}
	add := func(ep state.Endpoint, replica ident.Index, since time.Time) {
		if ep.Leaving || j.busyUntil[ep.Host].After(now) {
			return
		}
		eps[ep.Host] = ep
		out = append(out, routing.Candidate{Host: ep.Host, Zone: ep.Zone, Replica: replica, Slots: ep.Slots, Since: since})
	}
	e.follower.Read(func(v *view.View) {
		if j.plain == "" {
			v.Ready(j.target, func(r state.Replica, ep state.Endpoint) { add(ep, r.ID, r.Since) })
			return
		}
		for _, ep := range v.Endpoints() {
			if ep.Serves == j.plain {
				add(ep, 0, time.Time{})
			}
		}
	})
	return preferUp(out, eps), eps
}

// preferUp leaves out endpoints whose lease ended, unless nothing else is left:
// the lease says that control cannot hear the agent, which may still serve.
func preferUp(cs []routing.Candidate, eps map[ident.HostID]state.Endpoint) []routing.Candidate {
	up := slices.DeleteFunc(slices.Clone(cs), func(c routing.Candidate) bool { return !eps[c.Host].Up })
	if len(up) > 0 {
		return up
	}
	return cs
}

// again decides whether a job whose attempt did not succeed goes on. It returns
// nil if so.
func (e *Entry) again(ctx context.Context, j *job, c routing.Candidate, v verdict) *refusal {
	if v.state == wire.RunUnknown && e.cfg.Unsafe != UnsafeRetry && (!j.repeatable || j.sink.delivered()) {
		return unknown("outcome_unknown", "the request may have run: "+v.reason)
	}
	if v.reason == reasonOldConfig {
		return e.catchUp(j, v)
	}
	now := time.Now()
	if v.retryAfter > 0 {
		// Full, not broken: other endpoints are tried, and this one again
		// when it expects to have room.
		if j.busyUntil == nil {
			j.busyUntil = map[ident.HostID]time.Time{}
		}
		j.busyUntil[c.Host] = now.Add(v.retryAfter)
		return nil
	}
	j.tried = append(j.tried, c.Host)
	j.retries++
	// The budget bounds what endpoints get beyond first attempts. One that
	// could not be reached got nothing: counting it would refuse a request for
	// a model whose only host is gone before control has placed the next
	// replica, though there is time left.
	allowed := v.unsent
	if !allowed {
		e.withTable(func() { allowed = e.budget.Retry() })
	}
	if !allowed {
		e.met.budgetEmpty.Inc()
		return e.giveUp(v, "retry_budget_used_up")
	}
	pause := limit.Backoff(j.retries, backoffFirst, backoffMost, randN)
	if now.Add(pause).After(j.startBy) {
		return e.giveUp(v, "deadline_past")
	}
	e.met.retries.Inc()
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
	return nil
}

const reasonOldConfig = "old_config"

// giveUp ends a job whose last attempt ended with v.
func (e *Entry) giveUp(v verdict, code string) *refusal {
	if v.state == wire.RunUnknown {
		return unknown(code, "the request may have run: "+v.reason)
	}
	return notRun(code, "the request did not run: "+v.reason, 0)
}

// catchUp takes in the records that an agent handed over and checks the request
// against them: it must not run under a configuration that was replaced.
func (e *Entry) catchUp(j *job, v verdict) *refusal {
	e.met.catchUps.Inc()
	e.follower.TakeRecords(v.records)
	j.stale++
	if j.stale > maxStale {
		return notRun("configuration_changing", "the configuration changes faster than this entry follows", 0)
	}
	allowed := false
	e.follower.Read(func(v *view.View) {
		svc, ok := v.Services()[j.service]
		if !ok {
			return
		}
		for i := range svc.Customers {
			allowed = allowed || svc.Customers[i].Name == j.customer.Name
		}
		if j.plain == "" {
			_, _, stated := svc.Resolve(j.target)
			allowed = allowed && stated
		}
	})
	if !allowed {
		return notRun("withdrawn", "the record that allowed this request is no longer in force", 0)
	}
	return nil
}

// await waits until an endpoint may serve the job. It returns the refusal of a
// request that cannot start in time, as soon as that is known.
func (e *Entry) await(ctx context.Context, j *job) *refusal {
	w := &waiter{service: j.service, customer: j.customer.Name, priority: j.customer.Priority, deadline: j.startBy, wake: make(chan struct{}, 1)}
	e.met.waiting.Add(1)
	defer e.met.waiting.Add(-1)
	if j.plain == "" {
		e.rooms.enter(j.target, w)
		defer e.rooms.leave(j.target, w)
	}
	j.tried = nil
	for {
		now := time.Now()
		if ref := e.hopeless(j, now); ref != nil {
			return ref
		}
		poll := time.NewTimer(awaitPoll)
		select {
		case <-w.wake:
		case <-poll.C:
		case <-ctx.Done():
			poll.Stop()
			return e.left(ctx)
		case <-e.cut:
			poll.Stop()
			return notRun("stopping", "this entry is stopping", 0)
		}
		poll.Stop()
		if cs, _ := e.candidates(j, time.Now()); len(cs) > 0 {
			return nil
		}
	}
}

const awaitPoll = 100 * time.Millisecond

// left ends a request whose caller went away or whose time is up while waiting.
func (e *Entry) left(ctx context.Context) *refusal {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return notRun("deadline_past", "the request could not start in time", 0)
	}
	return &refusal{outcome: NotRun, status: statusClientClosed, kind: kindRequest, code: "caller_left", message: "the caller closed the connection"}
}

// statusClientClosed is written to logs only; nobody is left to read it.
const statusClientClosed = 499

// hopeless returns the refusal of a waiting job that cannot start in time, or
// nil while there is hope. Refusing early tells the caller when to come back.
func (e *Entry) hopeless(j *job, now time.Time) *refusal {
	if !now.Before(j.startBy) {
		return notRun("deadline_past", "the request could not start in time", e.retryAfter(j, now))
	}
	if next, all := soonest(j, now); all && next.After(j.startBy) {
		return notRun("overloaded", "every endpoint is full for longer than this request may wait", next.Sub(now))
	}
	if j.plain != "" {
		return nil
	}
	in, reason, known := e.rooms.estimate(j.target, now)
	switch {
	case !known:
		return nil
	case reason != "" && in == 0 && reason == placement.ReasonNoRoom:
		if j.noRoom.IsZero() {
			j.noRoom = now
		}
		if now.Sub(j.noRoom) > roomPatience {
			return notRun("no_capacity", reason, noEstimate)
		}
	case now.Add(in).After(j.startBy):
		return notRun("cannot_start_in_time", "the model is not expected to be ready in time: "+reason, in)
	default:
		j.noRoom = time.Time{}
	}
	return nil
}

// soonest returns when the first endpoint that refused for want of room expects
// to have some.
func soonest(j *job, now time.Time) (at time.Time, any bool) {
	for _, t := range j.busyUntil {
		if t.After(now) && (!any || t.Before(at)) {
			at, any = t, true
		}
	}
	return at, any
}

func (e *Entry) retryAfter(j *job, now time.Time) time.Duration {
	if in, _, known := e.rooms.estimate(j.target, now); known && in > 0 {
		return in
	}
	return noEstimate
}

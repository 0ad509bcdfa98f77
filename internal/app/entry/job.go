package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/limit"
	"github.com/cassiapass/cassiapass/internal/core/notice"
	"github.com/cassiapass/cassiapass/internal/core/placement"
	"github.com/cassiapass/cassiapass/internal/core/record"
	"github.com/cassiapass/cassiapass/internal/core/routing"
	"github.com/cassiapass/cassiapass/internal/core/state"
	"github.com/cassiapass/cassiapass/internal/core/view"
	"github.com/cassiapass/cassiapass/internal/wire"
)

// job is one request in progress.
type job struct {
	id          ident.RequestID
	service     string // record
	customer    record.Customer
	target      ident.Target
	plain       string // name of the plain service; "" if target is set
	method      string
	path        string
	contentType string
	body        []byte
	repeatable  bool
	claim       *state.ClaimKey
	startBy     time.Time // deadline for the start of the answer
	endBy       time.Time
	prefix      uint64
	sink        sink

	attempts      uint32
	retries       int
	configRetries int // times that an agent refused it for an old configuration
	tried         []ident.HostID
	mayHaveRun    bool         // an attempt ended as unknown
	notices       *notice.Book // times to come back, which agents work out for this request alone; nil if there are none
	noMemorySince time.Time    // since when control reports no memory for the target; zero if it does not
	trace         []AttemptSummary
}

// AttemptSummary describes one attempt to operators.
type AttemptSummary struct {
	Host   ident.HostID  `json:"host"`
	State  wire.RunState `json:"state"`
	Reason string        `json:"reason,omitempty"`
}

// sink writes an answer to the caller.
type sink interface {
	head(h wire.Head) error
	write(p []byte) error
	finish() error
	// delivered reports whether part of the answer was sent to the caller. If
	// so, no other attempt can replace this one.
	delivered() bool
}

const (
	maxConfigRetries = 5 // refusals for an old configuration within one request
	backoffInitial   = 25 * time.Millisecond
	backoffMax       = time.Second
	maxNoMemoryWait  = 2 * time.Second // a request is refused when control reports no memory for longer than this
)

// run sends a job to endpoints until it has an outcome. A nil result means
// answered.
func (e *Entry) run(ctx context.Context, j *job) *refusal {
	e.locked(func() { e.budget.Request() })
	for {
		if ref := e.quarantineRefusal(j); ref != nil {
			if j.mayHaveRun {
				return unknown("outcome_unknown", "an engine ended while it ran the request, and it is not run again")
			}
			return ref
		}
		c, ep, ok := e.pick(j)
		if !ok {
			if ref := e.waitForEndpoint(ctx, j); ref != nil {
				return ref
			}
			continue
		}
		r := e.runAttempt(ctx, j, c, ep)
		j.trace = append(j.trace, AttemptSummary{Host: c.Host, State: r.state, Reason: r.reason})
		j.mayHaveRun = j.mayHaveRun || r.state == wire.RunUnknown
		e.recordResult(j, r)
		if r.final != nil {
			return r.final
		}
		if r.state == wire.RunAccepted {
			return nil
		}
		if ref := e.retryOrRefuse(ctx, j, ep, r); ref != nil {
			return ref
		}
	}
}

// locked calls f with e.mu held.
func (e *Entry) locked(f func()) {
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
	e.locked(func() { c, ok = e.table.Pick(now, cands, j.prefix, j.tried) })
	if !ok || slices.Contains(j.tried, c.Host) {
		return c, state.Endpoint{}, false
	}
	return c, eps[c.Host], true
}

// candidates returns the endpoints that are ready for the job and not known to
// be full.
func (e *Entry) candidates(j *job, now time.Time) ([]routing.Candidate, map[ident.HostID]state.Endpoint) {
	var out []routing.Candidate
	eps := map[ident.HostID]state.Endpoint{}
	add := func(ep state.Endpoint, replica ident.Index, since time.Time) {
		if ep.Leaving || j.pauses(now, ep) {
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

// preferUp removes endpoints whose lease has expired, unless none would remain:
// an expired lease means that control receives no messages from the agent, which
// may still serve requests.
func preferUp(cs []routing.Candidate, eps map[ident.HostID]state.Endpoint) []routing.Candidate {
	withLease := slices.DeleteFunc(slices.Clone(cs), func(c routing.Candidate) bool { return !eps[c.Host].Up })
	if len(withLease) > 0 {
		return withLease
	}
	return cs
}

// retryOrRefuse decides whether to retry a job whose attempt did not succeed. It
// returns nil to retry, or the refusal that ends the job.
func (e *Entry) retryOrRefuse(ctx context.Context, j *job, ep state.Endpoint, r attemptResult) *refusal {
	if r.state == wire.RunUnknown && e.cfg.Unsafe != UnsafeRetry && (!j.repeatable || j.sink.delivered()) {
		return unknown("outcome_unknown", "the request may have run: "+r.reason)
	}
	if r.reason == reasonOldConfig {
		return e.catchUp(j, r)
	}
	now := time.Now()
	if r.retryAfter > 0 {
		// The endpoint is full, not failing: other endpoints are tried, and this
		// one again when it expects to have free capacity.
		if j.notices == nil {
			j.notices = notice.NewBook(rand.Float64)
		}
		j.notices.PauseAsked(notice.Heard{At: now, Request: string(j.id)}, incarnationOf(ep), r.retryAfter, true)
		return nil
	}
	j.tried = append(j.tried, ep.Host)
	j.retries++
	// The retry budget limits the attempts that endpoints receive beyond the
	// first ones. An endpoint that could not be reached received nothing. If such
	// an attempt counted, a request for a model whose only host is lost would be
	// refused before control has placed the next replica, although there is time
	// left.
	allowed := r.notSent
	if !allowed {
		e.locked(func() { allowed = e.budget.Retry() })
	}
	if !allowed {
		e.met.budgetEmpty.Inc()
		return e.giveUp(r, "retry_budget_used_up")
	}
	pause := limit.Backoff(j.retries, backoffInitial, backoffMax, randN)
	if now.Add(pause).After(j.startBy) {
		return e.giveUp(r, "deadline_past")
	}
	e.met.retries.Inc()
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
	return nil
}

const reasonOldConfig = "old_config"

// giveUp returns the refusal of a job whose last attempt ended with r.
func (e *Entry) giveUp(r attemptResult, code string) *refusal {
	if r.state == wire.RunUnknown {
		return unknown(code, "the request may have run: "+r.reason)
	}
	return notRun(code, "the request did not run: "+r.reason, 0)
}

// catchUp applies the records that an agent sent with its refusal and checks the
// request against them: it must not run under a configuration that was replaced.
func (e *Entry) catchUp(j *job, r attemptResult) *refusal {
	e.met.catchUps.Inc()
	e.follower.ApplyRecords(r.records)
	j.configRetries++
	if j.configRetries > maxConfigRetries {
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
			_, _, resolved := svc.Resolve(j.target)
			allowed = allowed && resolved
		}
	})
	if !allowed {
		return notRun("withdrawn", "the record that allowed this request is no longer in force", 0)
	}
	return nil
}

// waitForEndpoint waits until an endpoint may serve the job. It returns a refusal
// as soon as it is known that the request cannot start in time.
func (e *Entry) waitForEndpoint(ctx context.Context, j *job) *refusal {
	w := &waiter{service: j.service, customer: j.customer.Name, priority: j.customer.Priority, deadline: j.startBy, wake: make(chan struct{}, 1)}
	e.met.waiting.Add(1)
	defer e.met.waiting.Add(-1)
	if j.plain == "" {
		e.waitlists.add(j.target, w)
		defer e.waitlists.remove(j.target, w)
	}
	j.tried = nil
	for {
		now := time.Now()
		if ref := e.cannotStartInTime(j, now); ref != nil {
			return ref
		}
		poll := time.NewTimer(waitInterval)
		select {
		case <-w.wake:
		case <-poll.C:
		case <-ctx.Done():
			poll.Stop()
			return e.contextRefusal(ctx)
		case <-e.abort:
			poll.Stop()
			return notRun("stopping", "this entry is stopping", 0)
		}
		poll.Stop()
		if cs, _ := e.candidates(j, time.Now()); len(cs) > 0 {
			return nil
		}
	}
}

const waitInterval = 100 * time.Millisecond

// contextRefusal returns the refusal of a request that did not run before ctx
// ended: its deadline passed, or the caller closed the connection.
func (e *Entry) contextRefusal(ctx context.Context) *refusal {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return notRun("deadline_past", "the request could not start in time", 0)
	}
	return &refusal{outcome: NotRun, status: statusClientClosed, kind: kindRequest, code: "caller_left", message: "the caller closed the connection"}
}

// statusClientClosed is never sent: the caller has closed the connection.
const statusClientClosed = 499

// cannotStartInTime returns the refusal of a waiting job that is not expected to
// start before its deadline, or nil. An early refusal gives the caller a time to
// retry after.
func (e *Entry) cannotStartInTime(j *job, now time.Time) *refusal {
	if !now.Before(j.startBy) {
		return notRun("deadline_past", "the request could not start in time", e.retryAfter(j, now))
	}
	if next, full := j.earliestFree(now); full && next.After(j.startBy) {
		return notRun("overloaded", "every endpoint is full for longer than this request may wait", next.Sub(now))
	}
	if j.plain != "" {
		return nil
	}
	in, reason, known := e.waitlists.estimate(j.target, now)
	switch {
	case !known:
		return nil
	case reason != "" && in == 0 && reason == placement.ReasonNoMemory:
		if j.noMemorySince.IsZero() {
			j.noMemorySince = now
		}
		if now.Sub(j.noMemorySince) > maxNoMemoryWait {
			return notRun("no_capacity", reason, defaultRetryAfter)
		}
	case now.Add(in).After(j.startBy):
		return notRun("cannot_start_in_time", "the model is not expected to be ready in time: "+reason, in)
	default:
		j.noMemorySince = time.Time{}
	}
	return nil
}

// incarnationOf identifies one incarnation of an endpoint's agent.
func incarnationOf(ep state.Endpoint) string {
	return string(ep.Host) + "@" + strconv.FormatUint(uint64(ep.Incarnation), 10)
}

// pauses reports whether an endpoint has told this request to come back later.
func (j *job) pauses(now time.Time, ep state.Endpoint) bool {
	return j.notices != nil && j.notices.State(now, incarnationOf(ep)).Reason == notice.Paused
}

// earliestFree returns the earliest time at which an endpoint that refused the
// job because it was full expects to have free capacity; false if there is none.
func (j *job) earliestFree(now time.Time) (time.Time, bool) {
	if j.notices == nil {
		return time.Time{}, false
	}
	return j.notices.FirstEnd(now)
}

// retryAfter returns when control expects a replica for the job, or
// defaultRetryAfter if that is not known.
func (e *Entry) retryAfter(j *job, now time.Time) time.Duration {
	if in, _, known := e.waitlists.estimate(j.target, now); known && in > 0 {
		return in
	}
	return defaultRetryAfter
}

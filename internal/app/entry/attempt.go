package entry

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/cassiapass/cassiapass/internal/adapter/rpc"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/routing"
	"github.com/cassiapass/cassiapass/internal/core/state"
	"github.com/cassiapass/cassiapass/internal/core/stream"
	"github.com/cassiapass/cassiapass/internal/core/view"
	"github.com/cassiapass/cassiapass/internal/wire"
)

const (
	acceptTimeout  = time.Second     // for an agent to accept or refuse an attempt
	submitTimeout  = 3 * time.Second // for all tries to submit an attempt whose acknowledgement was lost
	resumeTimeout  = 5 * time.Second // for reconnecting to the agent after a connection broke
	resumeInterval = 50 * time.Millisecond
	cancelTimeout  = time.Second
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	state            wire.RunState // RunAccepted: the complete answer was delivered
	reason           string
	retryAfter       time.Duration
	records          []state.Record
	notSent          bool     // nothing was sent to the endpoint
	endedIncarnation string   // of the engine that ended while it ran the attempt; "" if none did
	final            *refusal // if set, ends the job whatever the state
}

// attempt is one attempt in progress.
type attempt struct {
	entry    *Entry
	job      *job
	ep       state.Endpoint
	id       ident.Attempt
	inbound  *inbound
	conn     *rpc.Conn
	received stream.Receiver
	acked    int64
}

// runAttempt sends the job to one endpoint and passes its answer on until it ends.
func (e *Entry) runAttempt(ctx context.Context, j *job, c routing.Candidate, ep state.Endpoint) attemptResult {
	j.attempts++
	a := &attempt{entry: e, job: j, ep: ep, id: ident.Attempt{Request: j.id, Number: j.attempts}}
	a.inbound = e.pool.inbounds().open(a.id)
	defer e.pool.inbounds().close(a.id)
	e.locked(func() { e.table.Sent(ep.Host) })
	defer e.locked(func() { e.table.Ended(ep.Host) })
	e.pool.addRuns(ep.Addr, +1)
	defer e.pool.addRuns(ep.Addr, -1)
	e.met.attempts.Inc()

	r, accepted := a.submit(ctx)
	if !accepted {
		return r
	}
	return a.receive(ctx)
}

// params returns the parameters of the run call to the agent.
func (a *attempt) params() wire.RunParams {
	j, now := a.job, time.Now()
	p := wire.RunParams{
		Attempt: a.id, Entry: a.entry.cfg.Host, Agent: a.ep.Host, Customer: j.customer.Name, Weight: float64(j.customer.ReplicasSold), Priority: j.customer.Priority,
		Target: j.target, Service: j.plain, Method: j.method, Path: j.path, ContentType: j.contentType, Body: j.body,
		Repeatable: j.repeatable, Claim: j.claim, StartWithin: j.startBy.Sub(now), EndWithin: j.endBy.Sub(now),
	}
	a.entry.follower.Read(func(v *view.View) {
		p.Config = ident.Position{Group: a.entry.cfg.Group, Index: v.Config()}
	})
	return p
}

// submit sends the attempt to the agent. When the agent's reply is lost, the
// same attempt is sent again: an agent of the same incarnation that does not
// know the attempt has certainly never run it.
func (a *attempt) submit(ctx context.Context) (r attemptResult, accepted bool) {
	e := a.entry
	deadline := time.Now().Add(submitTimeout)
	p := a.params()
	sent := false
	for time.Now().Before(deadline) && ctx.Err() == nil {
		conn, err := e.pool.get(ctx, a.ep.Addr)
		if err != nil && !sent {
			// Nothing was sent, so it did not run.
			e.locked(func() { e.table.Failed(time.Now(), a.ep.Host) })
			return attemptResult{state: wire.RunNotRun, reason: "the endpoint cannot be reached", notSent: true}, false
		}
		if err != nil {
			pause(ctx, resumeInterval)
			continue
		}
		var res wire.RunResult
		callCtx, cancel := context.WithTimeout(ctx, acceptTimeout)
		err = conn.Call(callCtx, wire.MethodRun, p, &res)
		cancel()
		sent = true
		if err == nil {
			a.conn = conn
			return a.interpret(res)
		}
		p.SentTo = a.ep.Incarnation
		if !rpc.IsRemoteError(err) {
			conn.Close() // silent or broken: the next try dials again
		}
		if a.job.repeatable {
			break // another endpoint answers sooner than this attempt is resolved
		}
		e.met.resubmits.Inc()
	}
	e.locked(func() { e.table.Failed(time.Now(), a.ep.Host) })
	if !sent {
		return attemptResult{state: wire.RunNotRun, reason: "no time was left to send it", final: e.contextRefusalOrNil(ctx)}, false
	}
	go a.cancelDetached()
	return attemptResult{state: wire.RunUnknown, reason: "the endpoint fell silent while taking the request"}, false
}

func (e *Entry) contextRefusalOrNil(ctx context.Context) *refusal {
	if ctx.Err() == nil {
		return nil
	}
	return e.contextRefusal(ctx)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// interpret converts the agent's reply into a result. It returns true if the
// attempt was accepted and its answer follows.
func (a *attempt) interpret(res wire.RunResult) (attemptResult, bool) {
	e := a.entry
	e.locked(func() { e.table.Report(time.Now(), a.ep.Host, res.Load) })
	if res.State == wire.RunAccepted {
		return attemptResult{}, true
	}
	return attemptResult{state: res.State, reason: res.Reason, retryAfter: res.RetryAfter, records: res.Records}, false
}

// cancelDetached cancels the attempt at the agent with a time limit of its own.
// The agent then refuses the attempt if it arrives late, so that it does not run
// for a caller that has left.
func (a *attempt) cancelDetached() {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	a.cancel(ctx)
}

// cancel ends the attempt at the agent and returns the state that the agent
// reports, RunUnknown if it cannot be reached.
func (a *attempt) cancel(ctx context.Context) wire.RunState {
	conn, err := a.entry.pool.get(ctx, a.ep.Addr)
	if err != nil {
		return wire.RunUnknown
	}
	var res wire.RunResult
	if err := conn.Call(ctx, wire.MethodCancel, wire.CancelParams{Attempt: a.id, SentTo: a.ep.Incarnation}, &res); err != nil {
		return wire.RunUnknown
	}
	return res.State
}

// receive passes the answer on to the sink until the attempt ends, resuming it
// when the connection breaks.
func (a *attempt) receive(ctx context.Context) attemptResult {
	for {
		parts, end := a.inbound.take()
		for _, p := range parts {
			if r, over := a.handlePart(p); over {
				return r
			}
		}
		if end != nil {
			r, over := a.handleEnd(*end)
			if over {
				return r
			}
			if r, ok := a.resume(ctx); !ok {
				return r
			}
			continue
		}
		select {
		case <-a.inbound.notify:
		case <-a.conn.Closed():
			if r, ok := a.resume(ctx); !ok {
				return r
			}
		case <-ctx.Done():
			return a.abandon(ctx)
		case <-a.entry.abort:
			return a.abandon(ctx)
		}
	}
}

// handlePart passes one part of the answer on to the sink. It returns true if
// the attempt has ended.
func (a *attempt) handlePart(p wire.Part) (attemptResult, bool) {
	if p.Head != nil {
		if err := a.job.sink.head(*p.Head); err != nil {
			return a.callerGone(), true
		}
	}
	fresh, err := a.received.Accept(p.Offset, p.Data)
	if errors.Is(err, stream.ErrGap) {
		a.entry.met.gaps.Inc()
		a.conn.Close() // resume from what was received
		return attemptResult{}, false
	}
	if len(fresh) < len(p.Data) {
		a.entry.met.duplicates.Inc()
	}
	if err := a.job.sink.write(fresh); err != nil {
		return a.callerGone(), true
	}
	if a.received.Next()-a.acked >= int64(a.entry.cfg.Window/4) {
		a.ack()
	}
	return attemptResult{}, false
}

// ack acknowledges the received bytes. The agent drops them from its buffer and
// may send more.
func (a *attempt) ack() {
	a.acked = a.received.Next()
	_ = a.conn.Notify(wire.MethodAck, wire.Ack{Attempt: a.id, Offset: a.acked})
}

// handleEnd handles the agent's message that the attempt has ended. It returns
// false when bytes are missing: the agent still holds them.
func (a *attempt) handleEnd(end wire.End) (attemptResult, bool) {
	e := a.entry
	e.locked(func() { e.table.Report(time.Now(), a.ep.Host, end.Load) })
	if end.State == wire.RunAccepted && !a.received.Complete(end.Total) {
		e.met.gaps.Inc()
		return attemptResult{}, false
	}
	a.ack()
	if end.State != wire.RunAccepted {
		if end.State == wire.RunUnknown {
			e.locked(func() { e.table.Failed(time.Now(), a.ep.Host) })
		}
		return attemptResult{state: end.State, reason: end.Reason, endedIncarnation: end.Ended}, true
	}
	e.locked(func() { e.table.Succeeded(a.ep.Host) })
	if err := a.job.sink.finish(); err != nil {
		return a.callerGone(), true
	}
	return attemptResult{state: wire.RunAccepted}, true
}

// resume continues the answer over a new connection from the first byte not
// received. It returns false with a result when the agent cannot be reached or
// does not know the attempt.
func (a *attempt) resume(ctx context.Context) (attemptResult, bool) {
	e := a.entry
	deadline := time.Now().Add(resumeTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		conn, err := e.pool.get(ctx, a.ep.Addr)
		if err != nil {
			pause(ctx, resumeInterval)
			continue
		}
		var res wire.RunResult
		callCtx, cancel := context.WithTimeout(ctx, acceptTimeout)
		err = conn.Call(callCtx, wire.MethodResume, wire.ResumeParams{Attempt: a.id, Offset: a.received.Next()}, &res)
		cancel()
		switch {
		case err != nil:
			conn.Close()
			pause(ctx, resumeInterval)
		case res.State == wire.RunAccepted:
			a.conn = conn
			e.met.resumes.Inc()
			return attemptResult{}, true
		default:
			return attemptResult{state: wire.RunUnknown, reason: res.Reason}, false
		}
	}
	if ctx.Err() != nil {
		return a.abandon(ctx), false
	}
	e.locked(func() { e.table.Failed(time.Now(), a.ep.Host) })
	return attemptResult{state: wire.RunUnknown, reason: "the endpoint fell silent during the answer"}, false
}

// abandon ends an attempt whose caller left, whose deadline has passed or whose
// entry is stopping. The agent's reply states whether it ran.
func (a *attempt) abandon(ctx context.Context) attemptResult {
	cancelCtx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	reason := "the time limit of the request has passed"
	if errors.Is(ctx.Err(), context.Canceled) {
		reason = "the caller closed the connection"
	} else if ctx.Err() == nil {
		reason = "this entry is stopping"
	}
	if a.job.claim != nil && errors.Is(ctx.Err(), context.Canceled) {
		// Under an idempotency key the run continues: the caller may request
		// its answer again.
		return attemptResult{state: wire.RunUnknown, reason: reason, final: unknown("caller_left", reason)}
	}
	if a.cancel(cancelCtx) == wire.RunNotRun {
		return attemptResult{state: wire.RunNotRun, reason: reason, final: notRun("cancelled", reason, 0)}
	}
	return attemptResult{state: wire.RunUnknown, reason: reason, final: unknown("cancelled", reason)}
}

// callerGone ends an attempt whose answer can no longer be written.
func (a *attempt) callerGone() attemptResult {
	if a.job.claim == nil {
		go a.cancelDetached()
	}
	reason := "the caller does not take the answer"
	return attemptResult{state: wire.RunUnknown, reason: reason, final: unknown("caller_left", reason)}
}

// onMessage dispatches parts and ends that agents send to the attempt that waits
// for them. Messages for attempts that have ended are counted as late and
// dropped.
func (e *Entry) onMessage(method string, raw json.RawMessage) {
	switch method {
	case wire.MethodPart:
		var p wire.Part
		if json.Unmarshal(raw, &p) != nil {
			return
		}
		if in, ok := e.pool.inbounds().find(p.Attempt); ok {
			in.add(p)
			return
		}
	case wire.MethodEnd:
		var end wire.End
		if json.Unmarshal(raw, &end) != nil {
			return
		}
		if in, ok := e.pool.inbounds().find(end.Attempt); ok {
			in.finish(end)
			return
		}
	default:
		return
	}
	e.met.lateParts.Inc()
}

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
	acceptWait  = time.Second     // an agent decides about an attempt within this
	submitWait  = 3 * time.Second // time to settle an attempt whose answer was lost
	resumeWait  = 5 * time.Second // time to reach the agent again when a connection broke
	resumePause = 50 * time.Millisecond
	cancelWait  = time.Second
)

// verdict is how one attempt ended.
type verdict struct {
	state      wire.RunState // accepted: the whole answer was delivered
	reason     string
	retryAfter time.Duration
	records    []state.Record
	unsent     bool     // nothing reached the endpoint
	ended      string   // the start of the engine that ended while it ran this; "" if none did
	final      *refusal // the job ends with this, whatever the state
}

// flight is one attempt under way.
type flight struct {
	entry *Entry
	job   *job
	ep    state.Endpoint
	at    ident.Attempt
	in    *inbound
	conn  *rpc.Conn
	recv  stream.Receiver
	acked int64
}

// attempt sends the job to one endpoint and follows it to its end.
func (e *Entry) attempt(ctx context.Context, j *job, c routing.Candidate, ep state.Endpoint) verdict {
	j.attempts++
	f := &flight{entry: e, job: j, ep: ep, at: ident.Attempt{Request: j.id, Number: j.attempts}}
	f.in = e.pool.inbounds().open(f.at)
	defer e.pool.inbounds().close(f.at)
	e.withTable(func() { e.table.Sent(ep.Host) })
	defer e.withTable(func() { e.table.Ended(ep.Host) })
	e.pool.use(ep.Addr, +1)
	defer e.pool.use(ep.Addr, -1)
	e.met.attempts.Inc()

	v, accepted := f.submit(ctx)
	if !accepted {
		return v
	}
	return f.follow(ctx)
}

// params describes the attempt to the agent.
func (f *flight) params() wire.RunParams {
	j, now := f.job, time.Now()
	p := wire.RunParams{
		Attempt: f.at, Entry: f.entry.cfg.Host, Agent: f.ep.Host, Customer: j.customer.Name, Weight: float64(j.customer.ReplicasSold), Priority: j.customer.Priority,
		Target: j.target, Service: j.plain, Method: j.method, Path: j.path, ContentType: j.contentType, Body: j.body,
		Repeatable: j.repeatable, Claim: j.claim, StartWithin: j.startBy.Sub(now), EndWithin: j.endBy.Sub(now),
	}
	f.entry.follower.Read(func(v *view.View) {
		p.Config = ident.Position{Group: f.entry.cfg.Group, Index: v.Config()}
	})
	return p
}

// submit hands the attempt to the agent. When the agent's answer is lost, the
// same attempt is sent again: the agent either knows it, or, being the same
// process, certainly never ran it.
func (f *flight) submit(ctx context.Context) (v verdict, accepted bool) {
	e := f.entry
	deadline := time.Now().Add(submitWait)
	p := f.params()
	sent := false
	for time.Now().Before(deadline) && ctx.Err() == nil {
		conn, err := e.pool.get(ctx, f.ep.Addr)
		if err != nil && !sent {
			// Nothing left this host: it did not run.
			e.withTable(func() { e.table.Failed(time.Now(), f.ep.Host) })
			return verdict{state: wire.RunNotRun, reason: "the endpoint cannot be reached", unsent: true}, false
		}
		if err != nil {
			pause(ctx, resumePause)
			continue
		}
		var res wire.RunResult
		cctx, cancel := context.WithTimeout(ctx, acceptWait)
		err = conn.Call(cctx, wire.MethodRun, p, &res)
		cancel()
		sent = true
		if err == nil {
			f.conn = conn
			return f.decided(res)
		}
		p.SentTo = f.ep.Incarnation
		if !rpc.Refused(err) {
			conn.Close() // silent or broken: the next try dials anew
		}
		if f.job.repeatable {
			break // another endpoint answers sooner than this one is settled
		}
		e.met.resubmits.Inc()
	}
	e.withTable(func() { e.table.Failed(time.Now(), f.ep.Host) })
	if !sent {
		return verdict{state: wire.RunNotRun, reason: "no time was left to send it", final: e.leftOrNil(ctx)}, false
	}
	go f.bar()
	return verdict{state: wire.RunUnknown, reason: "the endpoint fell silent while taking the request"}, false
}

func (e *Entry) leftOrNil(ctx context.Context) *refusal {
	if ctx.Err() == nil {
		return nil
	}
	return e.left(ctx)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// decided turns the agent's word into a verdict.
func (f *flight) decided(res wire.RunResult) (verdict, bool) {
	e := f.entry
	e.withTable(func() { e.table.Report(time.Now(), f.ep.Host, res.Load) })
	if res.State == wire.RunAccepted {
		return verdict{}, true
	}
	return verdict{state: res.State, reason: res.Reason, retryAfter: res.RetryAfter, records: res.Records}, false
}

// bar has the agent refuse the attempt should it arrive late, so that it does
// not run for a caller who is gone.
func (f *flight) bar() {
	ctx, cancel := context.WithTimeout(context.Background(), cancelWait)
	defer cancel()
	f.cancel(ctx)
}

// cancel ends the attempt at the agent and returns the agent's word on it.
func (f *flight) cancel(ctx context.Context) wire.RunState {
	conn, err := f.entry.pool.get(ctx, f.ep.Addr)
	if err != nil {
		return wire.RunUnknown
	}
	var res wire.RunResult
	if err := conn.Call(ctx, wire.MethodCancel, wire.CancelParams{Attempt: f.at, SentTo: f.ep.Incarnation}, &res); err != nil {
		return wire.RunUnknown
	}
	return res.State
}

// follow takes the answer in until it ends.
func (f *flight) follow(ctx context.Context) verdict {
	for {
		parts, end := f.in.take()
		for _, p := range parts {
			if v, over := f.part(p); over {
				return v
			}
		}
		if end != nil {
			v, over := f.end(*end)
			if over {
				return v
			}
			if v, ok := f.resume(ctx); !ok {
				return v
			}
			continue
		}
		select {
		case <-f.in.notify:
		case <-f.conn.Closed():
			if v, ok := f.resume(ctx); !ok {
				return v
			}
		case <-ctx.Done():
			return f.abandon(ctx)
		case <-f.entry.cut:
			return f.abandon(ctx)
		}
	}
}

// part passes one piece of the answer on.
func (f *flight) part(p wire.Part) (verdict, bool) {
	if p.Head != nil {
		if err := f.job.sink.head(*p.Head); err != nil {
			return f.callerGone(), true
		}
	}
	fresh, err := f.recv.Accept(p.Offset, p.Data)
	if errors.Is(err, stream.ErrGap) {
		f.entry.met.gaps.Inc()
		f.conn.Close() // resume from what was received
		return verdict{}, false
	}
	if len(fresh) < len(p.Data) {
		f.entry.met.duplicates.Inc()
	}
	if err := f.job.sink.write(fresh); err != nil {
		return f.callerGone(), true
	}
	if f.recv.Next()-f.acked >= int64(f.entry.cfg.Window/4) {
		f.ack()
	}
	return verdict{}, false
}

// ack tells the agent what was received; it drops those bytes and may go on.
func (f *flight) ack() {
	f.acked = f.recv.Next()
	_ = f.conn.Notify(wire.MethodAck, wire.Ack{Attempt: f.at, Offset: f.acked})
}

// end takes in the agent's word that the attempt has ended. It is not over when
// bytes are missing: they are still held there.
func (f *flight) end(end wire.End) (verdict, bool) {
	e := f.entry
	e.withTable(func() { e.table.Report(time.Now(), f.ep.Host, end.Load) })
	if end.State == wire.RunAccepted && !f.recv.Whole(end.Total) {
		e.met.gaps.Inc()
		return verdict{}, false
	}
	f.ack()
	if end.State != wire.RunAccepted {
		if end.State == wire.RunUnknown {
			e.withTable(func() { e.table.Failed(time.Now(), f.ep.Host) })
		}
		return verdict{state: end.State, reason: end.Reason, ended: end.Ended}, true
	}
	e.withTable(func() { e.table.Succeeded(f.ep.Host) })
	if err := f.job.sink.finish(); err != nil {
		return f.callerGone(), true
	}
	return verdict{state: wire.RunAccepted}, true
}

// resume goes on over a new connection from the first byte not received. It
// returns false with a verdict when the agent cannot be reached or does not
// know the attempt.
func (f *flight) resume(ctx context.Context) (verdict, bool) {
	e := f.entry
	deadline := time.Now().Add(resumeWait)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		conn, err := e.pool.get(ctx, f.ep.Addr)
		if err != nil {
			pause(ctx, resumePause)
			continue
		}
		var res wire.RunResult
		cctx, cancel := context.WithTimeout(ctx, acceptWait)
		err = conn.Call(cctx, wire.MethodResume, wire.ResumeParams{Attempt: f.at, Offset: f.recv.Next()}, &res)
		cancel()
		switch {
		case err != nil:
			conn.Close()
			pause(ctx, resumePause)
		case res.State == wire.RunAccepted:
			f.conn = conn
			e.met.resumes.Inc()
			return verdict{}, true
		default:
			return verdict{state: wire.RunUnknown, reason: res.Reason}, false
		}
	}
	if ctx.Err() != nil {
		return f.abandon(ctx), false
	}
	e.withTable(func() { e.table.Failed(time.Now(), f.ep.Host) })
	return verdict{state: wire.RunUnknown, reason: "the endpoint fell silent during the answer"}, false
}

// abandon ends an attempt whose caller left, whose time is up or whose entry
// stops. The agent's word tells whether it ran.
func (f *flight) abandon(ctx context.Context) verdict {
	cctx, cancel := context.WithTimeout(context.Background(), cancelWait)
	defer cancel()
	why := "the time limit of the request has passed"
	if errors.Is(ctx.Err(), context.Canceled) {
		why = "the caller closed the connection"
	} else if ctx.Err() == nil {
		why = "this entry is stopping"
	}
	if f.job.claim != nil && errors.Is(ctx.Err(), context.Canceled) {
		// Under a key the run goes on: the caller will ask for its answer.
		return verdict{state: wire.RunUnknown, reason: why, final: unknown("caller_left", why)}
	}
	if f.cancel(cctx) == wire.RunNotRun {
		return verdict{state: wire.RunNotRun, reason: why, final: notRun("cancelled", why, 0)}
	}
	return verdict{state: wire.RunUnknown, reason: why, final: unknown("cancelled", why)}
}

// callerGone ends an attempt whose answer can no longer be written.
func (f *flight) callerGone() verdict {
	if f.job.claim == nil {
		go f.bar()
	}
	why := "the caller does not take the answer"
	return verdict{state: wire.RunUnknown, reason: why, final: unknown("caller_left", why)}
}

// onPart hands what agents send to the attempt that waits for it. Parts of
// attempts that nobody waits for are late and dropped.
func (e *Entry) onPart(method string, raw json.RawMessage) {
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
	e.met.late.Inc()
}

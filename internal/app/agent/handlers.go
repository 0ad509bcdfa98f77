package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cassiapass/cassiapass/internal/adapter/rpc"
	"github.com/cassiapass/cassiapass/internal/core/admission"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/view"
	"github.com/cassiapass/cassiapass/internal/wire"
)

const (
	barFor    = 10 * time.Minute // longer than any request may take to arrive
	maxBarred = 100_000
)

// handle answers what entries send.
func (a *Agent) handle(_ context.Context, conn *rpc.Conn, method string, raw json.RawMessage) (any, error) {
	switch method {
	case wire.MethodRun:
		return decodeAnd(raw, func(p wire.RunParams) wire.RunResult { return a.onRun(conn, p) })
	case wire.MethodResume:
		return decodeAnd(raw, func(p wire.ResumeParams) wire.RunResult { return a.onResume(conn, p) })
	case wire.MethodCancel:
		return decodeAnd(raw, a.onCancel)
	case wire.MethodAck:
		return decodeAnd(raw, a.onAck)
	case wire.MethodPing:
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.load(), nil
	}
	return nil, fmt.Errorf("method %q is not known", method)
}

func decodeAnd[P, R any](raw json.RawMessage, f func(P) R) (any, error) {
	var p P
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, err
	}
	return f(p), nil
}

func (a *Agent) result(s wire.RunState, reason string) wire.RunResult {
	return wire.RunResult{State: s, Reason: reason, Incarnation: a.cfg.Incarnation, Load: a.load()}
}

// onRun decides about one attempt. "Not run" is said only here, before anything
// was sent to the engine, and in endQueued.
func (a *Agent) onRun(conn *rpc.Conn, p wire.RunParams) wire.RunResult {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r, ok := a.runs[p.Attempt]; ok {
		// The entry sends an attempt again when it lost the answer; it must
		// find the run and not start a second one.
		a.met.duplicates.Inc()
		if !a.attach(r, conn, 0) {
			return a.result(wire.RunUnknown, "the answer is no longer held from its start")
		}
		return a.result(wire.RunAccepted, "")
	}
	if res, refuse := a.refuse(p); refuse {
		a.met.refused(res.Reason)
		return res
	}
	id, ok := a.replicaFor(p)
	if !ok {
		a.met.refused("not_loaded")
		return a.result(wire.RunNotRun, "not_loaded")
	}
	return a.admit(conn, p, id)
}

// refuse names the reasons to refuse before admission.
func (a *Agent) refuse(p wire.RunParams) (wire.RunResult, bool) {
	if p.Agent != a.cfg.Host {
		// An address can pass to another host while an entry's view lags.
		return a.result(wire.RunNotRun, "wrong_host"), true
	}
	if _, ok := a.barred[p.Attempt]; ok {
		return a.result(wire.RunNotRun, "cancelled"), true
	}
	restarted := p.SentTo != 0 && p.SentTo != a.cfg.Incarnation
	if restarted && !p.Repeatable && a.cfg.Unsafe != UnsafeRestarted {
		// The process before this one may have run it.
		return a.result(wire.RunUnknown, "the agent was restarted"), true
	}
	if a.leaving {
		return a.result(wire.RunNotRun, "leaving"), true
	}
	return a.checkConfig(p)
}

// checkConfig refuses an entry that acts on an older configuration than this
// agent knows, and hands over what it lacks. An entry cut off from control can
// so not act on a configuration that was replaced, wherever that is known.
func (a *Agent) checkConfig(p wire.RunParams) (wire.RunResult, bool) {
	res := a.result(wire.RunNotRun, "old_config")
	old := false
	a.follower.Read(func(v *view.View) {
		if p.Config.Index < v.Config() {
			old = true
			res.Records = v.RecordsAfter(p.Config.Index)
		}
	})
	return res, old
}

// replicaFor returns the replica that serves p; 0 for a plain service.
func (a *Agent) replicaFor(p wire.RunParams) (ident.Index, bool) {
	if p.Service != "" {
		return 0, p.Service == a.cfg.Serves && a.cfg.Plain != nil
	}
	return a.ledger.Serving(p.Target)
}

func (a *Agent) admit(conn *rpc.Conn, p wire.RunParams, id ident.Index) wire.RunResult {
	now := time.Now()
	d := a.queue.Offer(now, admission.Request{
		Attempt: p.Attempt, Replica: id, Customer: p.Customer, Weight: p.Weight, Priority: p.Priority, Deadline: now.Add(p.StartWithin),
	})
	if d.Verdict == admission.Refuse {
		a.met.refused(string(d.Reason))
		res := a.result(wire.RunNotRun, string(d.Reason))
		res.RetryAfter = d.RetryAfter
		return res
	}
	r := a.newRun(p, id, conn)
	a.touch(id, now)
	if d.Verdict == admission.Run {
		a.start(r)
	}
	return a.result(wire.RunAccepted, "")
}

// onResume goes on with an answer over another connection.
func (a *Agent) onResume(conn *rpc.Conn, p wire.ResumeParams) wire.RunResult {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, ok := a.runs[p.Attempt]
	if !ok {
		return a.result(wire.RunUnknown, "no such attempt here")
	}
	if !a.attach(r, conn, p.Offset) {
		return a.result(wire.RunUnknown, "the answer is no longer held from there")
	}
	a.met.reattached.Inc()
	return a.result(wire.RunAccepted, "")
}

// onCancel ends an attempt and tells whether it has run. An attempt never seen
// is barred, so that "not run" stays true when its message arrives late.
func (a *Agent) onCancel(p wire.CancelParams) wire.RunResult {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, ok := a.runs[p.Attempt]
	if !ok {
		if (p.SentTo != 0 && p.SentTo != a.cfg.Incarnation) || len(a.barred) >= maxBarred {
			return a.result(wire.RunUnknown, "the agent was restarted")
		}
		a.barred[p.Attempt] = time.Now().Add(barFor)
		return a.result(wire.RunNotRun, "cancelled")
	}
	if r.end == nil {
		a.cancelRun(r)
	}
	if !r.started || a.cfg.Unsafe == UnsafeNotRun {
		a.barred[p.Attempt] = time.Now().Add(barFor)
		return a.result(wire.RunNotRun, "cancelled")
	}
	if r.end != nil && r.end.State == wire.RunNotRun {
		return a.result(wire.RunNotRun, r.end.Reason)
	}
	return a.result(wire.RunAccepted, "it was running")
}

func (a *Agent) onAck(p wire.Ack) any {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, ok := a.runs[p.Attempt]
	if !ok {
		return nil
	}
	r.out.Ack(p.Offset)
	if r.end != nil && r.endSent && p.Offset >= r.end.Total {
		r.confirm = true
	}
	poke(r.room)
	return nil
}

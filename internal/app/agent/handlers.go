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
	blockDuration = 10 * time.Minute // longer than any message may take to arrive
	maxBlocked    = 100_000
)

// handle serves the calls of entries.
func (a *Agent) handle(_ context.Context, conn *rpc.Conn, method string, raw json.RawMessage) (any, error) {
	switch method {
	case wire.MethodRun:
		return decodeAndCall(raw, func(p wire.RunParams) wire.RunResult { return a.onRun(conn, p) })
	case wire.MethodResume:
		return decodeAndCall(raw, func(p wire.ResumeParams) wire.RunResult { return a.onResume(conn, p) })
	case wire.MethodCancel:
		return decodeAndCall(raw, a.onCancel)
	case wire.MethodAck:
		return decodeAndCall(raw, a.onAck)
	case wire.MethodPing:
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.load(), nil
	}
	return nil, fmt.Errorf("method %q is not known", method)
}

func decodeAndCall[P, R any](raw json.RawMessage, f func(P) R) (any, error) {
	var p P
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, err
	}
	return f(p), nil
}

func (a *Agent) result(s wire.RunState, reason string) wire.RunResult {
	return wire.RunResult{State: s, Reason: reason, Incarnation: a.cfg.Incarnation, Load: a.load()}
}

// onRun accepts or refuses an attempt. RunNotRun is reported only where it is
// certain: here, before anything is sent to the engine; by endQueued, for an
// attempt that has not started; by onCancel; and when the request could not be
// sent to the engine.
func (a *Agent) onRun(conn *rpc.Conn, p wire.RunParams) wire.RunResult {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r, ok := a.runs[p.Attempt]; ok {
		// The entry sends an attempt again when the reply was lost. It must
		// attach to the existing run and not start a second one.
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

// refuse checks the conditions that do not depend on admission. It returns true
// with the result if the attempt is refused.
func (a *Agent) refuse(p wire.RunParams) (wire.RunResult, bool) {
	if p.Agent != a.cfg.Host {
		// An address can be reassigned to another host while an entry's view
		// is out of date.
		return a.result(wire.RunNotRun, "wrong_host"), true
	}
	if _, ok := a.blocked[p.Attempt]; ok {
		return a.result(wire.RunNotRun, "cancelled"), true
	}
	restarted := p.SentTo != 0 && p.SentTo != a.cfg.Incarnation
	if restarted && !p.Repeatable && a.cfg.Unsafe != UnsafeRestarted {
		// An earlier incarnation may have run it.
		return a.result(wire.RunUnknown, "the agent was restarted"), true
	}
	if a.leaving {
		return a.result(wire.RunNotRun, "leaving"), true
	}
	return a.checkConfig(p)
}

// checkConfig refuses an attempt from an entry whose configuration is older than
// this agent's, and returns the records that the entry is missing. An entry that is
// cut off from control therefore cannot act on a replaced configuration at any
// agent that has the new one.
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

// replicaFor returns the replica that serves p, 0 for a plain service. It returns
// false if there is none.
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
	a.recordUse(id, now)
	if d.Verdict == admission.Run {
		a.start(r)
	}
	return a.result(wire.RunAccepted, "")
}

// onResume continues an answer over another connection.
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

// onCancel ends an attempt and reports whether it ran. An attempt that was never
// received is blocked, so that "not run" remains true if its message arrives late.
func (a *Agent) onCancel(p wire.CancelParams) wire.RunResult {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, ok := a.runs[p.Attempt]
	if !ok {
		if (p.SentTo != 0 && p.SentTo != a.cfg.Incarnation) || len(a.blocked) >= maxBlocked {
			return a.result(wire.RunUnknown, "the agent was restarted")
		}
		a.blocked[p.Attempt] = time.Now().Add(blockDuration)
		return a.result(wire.RunNotRun, "cancelled")
	}
	if r.end == nil {
		a.cancelRun(r)
	}
	if !r.started || a.cfg.Unsafe == UnsafeNotRun {
		a.blocked[p.Attempt] = time.Now().Add(blockDuration)
		return a.result(wire.RunNotRun, "cancelled")
	}
	if r.end != nil && r.end.State == wire.RunNotRun {
		return a.result(wire.RunNotRun, r.end.Reason)
	}
	return a.result(wire.RunAccepted, "it was running")
}

// onAck drops acknowledged bytes from the buffer and marks the run as confirmed
// when its end is acknowledged.
func (a *Agent) onAck(p wire.Ack) any {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, ok := a.runs[p.Attempt]
	if !ok {
		return nil
	}
	r.out.Ack(p.Offset)
	if r.end != nil && r.endSent && p.Offset >= r.end.Total {
		r.confirmed = true
	}
	signal(r.space)
	return nil
}

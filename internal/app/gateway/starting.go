package gateway

import (
	"context"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/deploy"
	"github.com/cassiapass/cassiapass/internal/core/fleet"
)

// startupWait is how long after its start an entry that knows no deployment yet lets
// callers wait for one. After all processes were killed, entries restart at the same
// time as control, which elects a leader in about 0.2 s and publishes the deployment in
// 0.1 s more; callers that arrive in between often have one try left. An entry that knows
// no deployment after this time cannot reach control, and refuses at once.
const startupWait = 2 * time.Second

// deployment returns the deployment in force. An entry that has just started waits for
// its first one; it returns nil if none arrives in time, and the cause if the caller left.
func (x *exchange) deployment() (*deploy.Table, error) {
	if t := x.g.table.Load(); t != nil {
		return t, nil
	}
	wait := startupWait - time.Since(x.g.startedAt)
	if x.info.TimeLeft > 0 {
		wait = min(wait, fleet.MaxWait(x.info.TimeLeft, 0, 0))
	}
	if wait <= 0 || x.g.draining.Load() {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(x.g.ctx, wait)
	defer cancel()
	callerCtx, abort := context.WithCancelCause(ctx)
	defer abort(nil)
	x.c.Watch(func() { abort(errCallerGone) })
	select {
	case <-x.g.firstDeployment:
	case <-callerCtx.Done():
	}
	x.c.Unwatch()
	x.waited = time.Since(x.arrived)
	if cause := context.Cause(callerCtx); cause == errCallerGone {
		return nil, cause
	}
	return x.g.table.Load(), nil
}

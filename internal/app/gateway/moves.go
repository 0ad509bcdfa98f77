package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/standby"
)

// RunMover moves runs between endpoints and frees copies of their memory.
type RunMover interface {
	// MoveRun asks the endpoint source, at addr, to copy the memory of a request's run to the endpoint
	// at target. With last, the run stops first, and its stream is closed without its end. The errors are
	// ErrNoRun, ErrNotMoved, ErrNoRoom, ErrNoAnswer, ErrNotReached and ErrReplaced.
	MoveRun(ctx context.Context, source, addr, request, target string, last bool) (MovedRun, error)
	// Silent reports whether an endpoint takes connections and answers nothing on its health path within
	// the time that ctx allows. A closed connection or any answer shows that it works.
	Silent(ctx context.Context, addr, healthPath string) bool
	// FreeCopy frees a copy at the endpoint at addr.
	FreeCopy(ctx context.Context, addr, handle string) error
}

// MovedRun is the memory of a run that was handed over.
type MovedRun struct {
	Handle string // names the copy; with ErrNoRoom the memory that stays at the source
	Made   int    // events made so far
}

// Results of a move.
var (
	ErrNoRun      = errors.New("the endpoint does not run the request")
	ErrNotMoved   = errors.New("the endpoint did not move the run")
	ErrNoRoom     = errors.New("the target has no room for the run, or cannot be reached")
	ErrNoAnswer   = errors.New("the endpoint did not answer in time")
	ErrNotReached = errors.New("no connection to the endpoint")
	ErrReplaced   = errors.New("another endpoint has the address")
)

// moveTarget returns the endpoint to which a run at e can be moved, and whether the run can go on there;
// nil if there is none. Where no other endpoint holds the model, any takes the memory while the run goes
// on at its source.
func (x *exchange) moveTarget(e *endpoint) (target *endpoint, holds bool) {
	en := x.engine()
	if en == nil || !en.Moves {
		return nil, false
	}
	now := time.Now()
	eps, holders := x.g.dir.holders(now, e, x.info.Want, x.tried)
	if i := standby.Target(holders, func(h standby.Holder) bool { return x.copy != nil && x.copy.holder.ID == h.ID }); i >= 0 {
		return eps[i], true
	}
	eps, holders = x.g.dir.holders(now, e, fleet.Want{}, nil)
	if i := standby.Target(holders, func(standby.Holder) bool { return false }); i >= 0 {
		return eps[i], false
	}
	return nil, false
}

// moveRun asks the source to copy the memory of the run to the target, with last to stop the run first,
// and sets the result.
func (x *exchange) moveRun(ctx context.Context, e, target *endpoint, last bool, p *goOnPlan) {
	s := &x.g.standbys
	s.mu.Lock()
	begun := s.rescues.Begin(e.ID)
	s.mu.Unlock()
	if !begun {
		p.move = standby.NotStopped
		x.g.metrics.countMoved("over_bound")
		return
	}
	defer func() {
		s.mu.Lock()
		s.rescues.End(e.ID)
		s.mu.Unlock()
	}()
	moveCtx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	asked := time.Now()
	m, err := x.g.cfg.Runs.MoveRun(moveCtx, e.Name(), e.Addr, x.info.ID, target.Addr, last)
	p.target, p.handle = target, m.Handle
	result := "moved"
	switch {
	case err == nil && m.Handle != "":
		p.move = standby.Moved
	case errors.Is(err, ErrNoRoom) && m.Handle != "":
		p.move, result = standby.Stopped, "stopped"
	case errors.Is(err, ErrNoRun):
		p.move, result = standby.NoRun, "no_run"
	case errors.Is(err, ErrReplaced):
		p.move, result = standby.Unreached, "replaced"
	case errors.Is(err, ErrNotReached) && x.sourceState(e) != standby.Alive:
		p.move, result = standby.Unreached, "not_reached"
	case errors.Is(err, ErrNoAnswer) && x.silent(ctx, e):
		p.move, result = standby.Unanswered, "no_answer"
	default:
		p.move, result = standby.NotStopped, "not_stopped"
	}
	x.g.metrics.countMoved(result)
	x.g.cfg.Log.Info().Str("request", x.info.ID).Str("source", string(e.ID)).Str("target", string(target.ID)).Str("result", result).Bool("last", last).Int("made", m.Made).Int("events", p.events).Dur("silent", p.silent).
		Dur("took", time.Since(asked)).Err(err).Msg("run_moved")
}

// silent reports whether an endpoint that did not answer a move answers nothing else either. One that
// fails single requests only may not have read the move, and may not notice a closed connection.
func (x *exchange) silent(ctx context.Context, e *endpoint) bool {
	if ctx.Err() != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, silentTimeout)
	defer cancel()
	path := ""
	if t := x.g.table.Load(); t != nil && t.Config().Services[x.service] != nil {
		path = t.Config().Services[x.service].HealthPath
	}
	return path != "" && x.g.cfg.Runs.Silent(ctx, e.Addr, path)
}

// silentTimeout bounds that question. Endpoints answer it at once.
const silentTimeout = 300 * time.Millisecond

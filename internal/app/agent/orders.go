package agent

import (
	"context"
	"errors"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/ledger"
	"github.com/cassiapass/cassiapass/internal/core/placement"
	"github.com/cassiapass/cassiapass/internal/core/state"
	"github.com/cassiapass/cassiapass/internal/port"
)

// carryOut gives one order to the engine and takes its outcome into the ledger.
func (a *Agent) carryOut(o ledger.Order) {
	ctx, cancel := context.WithTimeout(a.ctx, a.cfg.LongestOrder)
	defer cancel()
	if o.Kind == ledger.OrderList {
		a.syncEngine(ctx)
		return
	}
	source := a.sourceOf(o.Target)
	begin := time.Now()
	err := a.cfg.Engine.Order(ctx, o)
	out := outcomeOf(err)
	now := time.Now()
	a.cfg.Log.Info().Str("order", string(o.Kind)).Stringer("target", o.Target).Uint64("replica", uint64(o.ID)).Str("outcome", string(out)).Dur("took", now.Sub(begin)).AnErr("cause", err).Msg("engine_order")
	a.mu.Lock()
	defer a.mu.Unlock()
	if o.Kind == ledger.OrderLoad && out == ledger.Done {
		a.toReport.Loaded = append(a.toReport.Loaded, placement.LoadTime{Source: source, Bytes: o.Bytes, Took: now.Sub(begin)})
		a.cachedAt = time.Time{}
	}
	a.post(a.ledger.Finished(now, o, out))
}

// suspect has the engine asked what it holds: it may have lost everything in a
// restart of its own.
func (a *Agent) suspect() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.Suspect()
}

func outcomeOf(err error) ledger.Outcome {
	switch {
	case err == nil:
		return ledger.Done
	case errors.Is(err, port.ErrRefused):
		return ledger.Refused
	}
	return ledger.Lost
}

// syncEngine takes what the engine holds into the ledger.
func (a *Agent) syncEngine(ctx context.Context) {
	asked := time.Now()
	held, err := a.cfg.Engine.List(ctx)
	if err != nil {
		a.cfg.Log.Warn().Err(err).Msg("engine_list_failed")
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.post(a.ledger.Sync(time.Now(), asked, held))
}

// learnCached asks the engine which checkpoints are near and remembers what
// changed for the next report.
func (a *Agent) learnCached() {
	ctx, cancel := context.WithTimeout(a.ctx, commitTimeout)
	defer cancel()
	list, err := a.cfg.Engine.Cached(ctx)
	if err != nil {
		return // a hint only; placement then expects a remote load
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	seen := map[ident.Target]bool{}
	for _, c := range list {
		seen[c.Target] = true
		if a.cached[c.Target] != c.Source {
			a.cached[c.Target] = c.Source
			a.toReport.Cached = append(a.toReport.Cached, c)
		}
	}
	for t := range a.cached {
		if !seen[t] {
			delete(a.cached, t)
			a.toReport.Cached = append(a.toReport.Cached, placement.CachedAt{Target: t, Source: placement.FromRemote})
		}
	}
}

func (a *Agent) sourceOf(t ident.Target) placement.Source {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s, ok := a.cached[t]; ok {
		return s
	}
	return placement.FromRemote
}

// tellLoop has events committed, in order, each until control has it: a
// replica that is gone frees a slot only through the log.
func (a *Agent) tellLoop() {
	for {
		select {
		case <-a.ctx.Done():
			return
		case <-a.newEvent:
		}
		for a.ctx.Err() == nil {
			e, ok := a.nextEvent()
			if !ok {
				break
			}
			a.tell(e)
		}
	}
}

func (a *Agent) nextEvent() (ledger.Event, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.events) == 0 {
		return ledger.Event{}, false
	}
	e := a.events[0]
	a.events = a.events[1:]
	return e, true
}

func (a *Agent) tell(e ledger.Event) {
	set := &state.ReplicaSet{ID: e.ID, Phase: state.Ready, Reason: e.Reason}
	if !e.Ready {
		set.Phase, set.Gone = "", true
	}
	for a.ctx.Err() == nil {
		res, err := a.commit(state.Command{By: string(a.cfg.Host), Replica: set})
		if err == nil {
			a.cfg.Log.Info().Uint64("replica", uint64(e.ID)).Bool("ready", e.Ready).Str("code", string(res.Code)).Str("reason", e.Reason).Msg("replica_reported")
			return
		}
		a.pause(registerRetry)
	}
}

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

// executeOrder sends one order to the engine and applies its outcome to the ledger.
func (a *Agent) executeOrder(o ledger.Order) {
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
		a.pendingReport.Loaded = append(a.pendingReport.Loaded, placement.LoadTime{Source: source, Bytes: o.Bytes, Took: now.Sub(begin)})
		a.cachedListedAt = time.Time{}
	}
	a.queueEvents(a.ledger.OrderEnded(now, o, out))
}

// requestList makes the ledger list the engine again: the engine may have lost
// everything in a restart.
func (a *Agent) requestList() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.RequestList()
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

// syncEngine lists what the engine holds and applies it to the ledger.
func (a *Agent) syncEngine(ctx context.Context) {
	requestedAt := time.Now()
	held, err := a.cfg.Engine.List(ctx)
	if err != nil {
		a.cfg.Log.Warn().Err(err).Msg("engine_list_failed")
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queueEvents(a.ledger.Sync(time.Now(), requestedAt, held))
}

// refreshCached lists the engine's cached checkpoints and adds the changes to the
// next report.
func (a *Agent) refreshCached() {
	ctx, cancel := context.WithTimeout(a.ctx, commitTimeout)
	defer cancel()
	list, err := a.cfg.Engine.Cached(ctx)
	if err != nil {
		return // only a hint; without it, placement expects a remote load
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	seen := map[ident.Target]bool{}
	for _, c := range list {
		seen[c.Target] = true
		if a.cached[c.Target] != c.Source {
			a.cached[c.Target] = c.Source
			a.pendingReport.Cached = append(a.pendingReport.Cached, c)
		}
	}
	for t := range a.cached {
		if !seen[t] {
			delete(a.cached, t)
			a.pendingReport.Cached = append(a.pendingReport.Cached, placement.CachedAt{Target: t, Source: placement.FromRemote})
		}
	}
}

// sourceOf returns where the engine would load the target from.
func (a *Agent) sourceOf(t ident.Target) placement.Source {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s, ok := a.cached[t]; ok {
		return s
	}
	return placement.FromRemote
}

// commitLoop commits events in order, retrying each until control has it: a removed
// replica frees its slot only through the log.
func (a *Agent) commitLoop() {
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
			a.commitEvent(e)
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

func (a *Agent) commitEvent(e ledger.Event) {
	set := &state.ReplicaUpdate{ID: e.ID, Phase: state.Ready, Reason: e.Reason}
	if !e.Ready {
		set.Phase, set.Removed = "", true
	}
	for a.ctx.Err() == nil {
		res, err := a.commit(state.Command{By: string(a.cfg.Host), Replica: set})
		if err == nil {
			a.cfg.Log.Info().Uint64("replica", uint64(e.ID)).Bool("ready", e.Ready).Str("code", string(res.Code)).Str("reason", e.Reason).Msg("replica_reported")
			return
		}
		a.pause(retryInterval)
	}
}

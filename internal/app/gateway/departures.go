package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/feature"
	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/standby"
	"github.com/cassiapass/cassiapass/internal/core/urgency"
)

// watchRun registers the run of an attempt until its end, so that it is moved when its endpoint is
// removed.
func (s *standbys) watchRun(w *silenceWatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watched == nil {
		s.watched = map[fleet.EndpointID]map[*silenceWatch]bool{}
	}
	if s.watched[w.e.ID] == nil {
		s.watched[w.e.ID] = map[*silenceWatch]bool{}
	}
	s.watched[w.e.ID][w] = true
}

func (s *standbys) unwatchRun(w *silenceWatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watched[w.e.ID], w)
	if len(s.watched[w.e.ID]) == 0 {
		delete(s.watched, w.e.ID)
	}
}

func (s *standbys) runsAt(id fleet.EndpointID) []*silenceWatch {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*silenceWatch
	for w := range s.watched[id] {
		out = append(out, w)
	}
	return out
}

// setRemoval keeps when an endpoint is removed, as the leader told it first: a later word may be the
// same one, sent again. The caller holds mu.
func (d *directory) setRemoval(e *endpoint, in time.Duration) {
	if in <= 0 || !e.removalAt.IsZero() {
		return
	}
	e.removalAt = time.Now().Add(in)
	if d.onRemoval != nil {
		go d.onRemoval(e, in)
	}
}

// moveRunsFrom moves the runs at an endpoint that is removed and that cannot end there in time.
func (g *Gateway) moveRunsFrom(e *endpoint, stays time.Duration) {
	if !g.enabled(feature.Standby) || g.cfg.Runs == nil {
		return
	}
	watches := g.standbys.runsAt(e.ID)
	runs := make([]standby.Departing, len(watches))
	for i, w := range watches {
		runs[i] = w.departing()
	}
	order := standby.Departures(stays, runs)
	g.cfg.Log.Info().Str("endpoint", string(e.ID)).Dur("stays", stays).Int("runs", len(runs)).Int("to_move", len(order)).Msg("runs_depart")
	next := make(chan *silenceWatch, len(order))
	for _, i := range order {
		next <- watches[i]
	}
	close(next)
	var movers sync.WaitGroup
	for range min(standby.MovesAtOnce, len(order)) {
		movers.Go(func() {
			for w := range next {
				w.depart()
			}
		})
	}
	movers.Wait()
}

// departing returns what decides whether and when the run is moved.
func (w *silenceWatch) departing() standby.Departing {
	x := w.x
	w.mu.Lock()
	defer w.mu.Unlock()
	perEvent := x.g.eventTokens(x.service)
	tokens := x.expectedOutput() - w.events*perEvent
	if tokens <= 0 {
		tokens = x.info.MaxOutput - w.events*perEvent
	}
	needs := x.g.pace.expected(max(tokens, perEvent))
	if p := w.pace(); p.Mean > 0 {
		needs = max(needs, p.Mean*time.Duration(max(tokens, perEvent)/perEvent))
	}
	return standby.Departing{Level: urgency.LevelOf(x.requester.priority(x.route)), Needs: needs, Caller: time.Until(x.deadline)}
}

// depart moves the run: its memory is copied while it runs, and what is new when it stops. A run that
// cannot be copied stays.
func (w *silenceWatch) depart() {
	w.mu.Lock()
	if w.over || w.plan != nil || w.asking != nil {
		w.mu.Unlock()
		return
	}
	w.asking = make(chan struct{})
	events := w.events
	w.mu.Unlock()
	p := w.x.planDeparture(w.ctx, w.e, events)
	w.answered(p)
}

// planDeparture moves a run from an endpoint that is removed.
func (x *exchange) planDeparture(ctx context.Context, e *endpoint, events int) goOnPlan {
	p := goOnPlan{action: standby.KeepWaiting, events: events}
	target, holds := x.moveTarget(e)
	if target == nil || !holds || x.goneOn >= maxGoOns || !x.mayRetry() {
		x.g.metrics.countMoved("no_target")
		return p
	}
	if x.moveRun(ctx, e, target, false, &p); p.move != standby.Moved {
		return p
	}
	copied := p
	b := x.breakAt(e, events)
	b.Silent, b.CanMove, b.AnotherAllowed = true, true, true // the source ends while the run goes on
	x.decide(ctx, e, target, b, &p)
	if p.action != standby.GoOnAtTarget || p.handle != copied.handle {
		x.freeHandle(copied)
	}
	return p
}

package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/state"
)

// sweep checks every replica and drains those that no record states, that exceed
// the number sold, that are on leaving endpoints, or that have been idle for
// longer than their keep-alive. It also adds demand for the replicas that records
// keep loaded and for new versions of models in use.
func (p *Planner) sweep(now time.Time, st *state.State) []state.Command {
	p.decayServed()
	var cmds []state.Command
	surplus := map[ident.Target]int{}
	var toDrain []state.Replica
	reasons := map[ident.Index]string{}
	st.EachReplica(func(r state.Replica) {
		if r.Phase == state.Draining {
			return
		}
		if reason := p.drainReason(now, st, r, surplus); reason != "" {
			toDrain = append(toDrain, r)
			reasons[r.ID] = reason
		}
	})
	slices.SortFunc(toDrain, func(a, b state.Replica) int { return cmp.Compare(a.ID, b.ID) })
	for _, r := range toDrain {
		if p.propose(now, proposal{id: r.ID}) {
			cmds = append(cmds, drain(r, reasons[r.ID]))
		}
	}
	p.demandMinimum(now, st)
	p.preloadNewVersions(now, st)
	return cmds
}

// drainReason returns the reason to drain a replica, or "" to keep it. A base
// model is kept while an adapter depends on it, unless its endpoint is leaving.
func (p *Planner) drainReason(now time.Time, st *state.State, r state.Replica, surplus map[ident.Target]int) string {
	if p.leavingTooLong(now, st, r.Host) {
		return "the endpoint is leaving"
	}
	if len(st.Dependents(r)) > 0 {
		return ""
	}
	req, stated := st.RequirementsOf(r.Target)
	if !stated {
		return "no record in force states it"
	}
	remaining := st.Count(r.Target) - surplus[r.Target]
	l := p.loads[r.ID]
	busy := l.Running+l.Waiting > 0
	switch {
	case remaining > st.MaxReplicas(r.Target):
		surplus[r.Target]++
		return "more than the records allow"
	case r.Phase != state.Ready || busy || remaining <= req.Min:
		return ""
	case p.demands[r.Target] != nil && len(p.demands[r.Target].byRequester) > 0:
		return ""
	}
	idle := min(p.replicaIdle(now, r, l), now.Sub(r.Since))
	if keepAlive := p.keepAliveFor(st, r, req); idle > keepAlive {
		surplus[r.Target]++
		return "idle for " + idle.Truncate(time.Second).String() + ", kept for " + keepAlive.Truncate(time.Second).String()
	}
	return ""
}

// leavingTooLong reports whether an endpoint has been leaving for longer than a restart
// of its agent takes. Draining at once would unload all models at each rolling
// restart.
func (p *Planner) leavingTooLong(now time.Time, st *state.State, h ident.HostID) bool {
	e, ok := st.Endpoint(h)
	if !ok || !e.Leaving {
		delete(p.leavingSince, h)
		return false
	}
	since, known := p.leavingSince[h]
	if !known {
		p.leavingSince[h] = now
		return false
	}
	return now.Sub(since) > p.cfg.RetryAfter
}

// replicaIdle returns the idle time of one replica, from the agent's report if it
// has one, since a target may have several replicas.
func (p *Planner) replicaIdle(now time.Time, r state.Replica, l ReplicaLoad) time.Duration {
	if l.LastUsed.IsZero() {
		return p.idle(now, r.Target)
	}
	if r.Target.IsAdapter() {
		return now.Sub(l.LastUsed)
	}
	return min(now.Sub(l.LastUsed), p.idle(now, r.Target))
}

// keepAliveFor returns how long an idle replica stays loaded.
func (p *Planner) keepAliveFor(st *state.State, r state.Replica, req state.Requirements) time.Duration {
	switch p.cfg.Policy {
	case PolicyFixed:
		return p.cfg.FixedKeepAlive
	case PolicyNever:
		return unlimited
	}
	stats := st.History().Stats(r.Target)
	reload := p.loadTime(p.source(r.Target, r.Host), r.Bytes)
	return stats.KeepFor(p.cfg.KeepAlive, req.Weight, reload)
}

const unlimited = 1000 * time.Hour

// demandMinimum adds demand for the replicas that records keep loaded at all
// times.
func (p *Planner) demandMinimum(now time.Time, st *state.State) {
	st.EachTarget(func(t ident.Target, req state.Requirements) {
		if req.Min > st.Count(t) {
			td := p.demandFor(now, t)
			td.warmUntil = maxTime(td.warmUntil, now.Add(p.cfg.DemandTTL))
		}
	})
}

// preloadNewVersions adds demand for the newest version of a model in use, before
// requests shift to it: entries send requests without a version to the newest
// version that is ready.
func (p *Planner) preloadNewVersions(now time.Time, st *state.State) {
	for _, rec := range st.Records() {
		svc := rec.Service()
		if svc == nil {
			continue
		}
		newest := map[string]ident.Target{}
		for _, m := range svc.Models {
			newest[m.Name] = ident.Target{Model: m.Name, Version: m.Version}
		}
		for _, m := range svc.Models {
			t := ident.Target{Model: m.Name, Version: m.Version}
			next := newest[m.Name]
			recent := p.idle(now, t) < p.cfg.RetryAfter && !p.lastUse[t].IsZero()
			if t != next && recent && st.Count(t) > 0 && st.Count(next) == 0 {
				td := p.demandFor(now, next)
				td.warmUntil = maxTime(td.warmUntil, now.Add(p.cfg.RetryAfter))
			}
		}
	}
}

package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/state"
)

// sweep looks at every replica once: those that no record states, that exceed
// what was sold, that sit on leaving endpoints or have been idle long enough
// are drained. It also wants what records keep loaded at least.
func (p *Planner) sweep(now time.Time, st *state.State) []state.Command {
	p.fadeServed()
	var cmds []state.Command
	surplus := map[ident.Target]int{}
	var doomed []state.Replica
	reasons := map[ident.Index]string{}
	st.EachReplica(func(r state.Replica) {
		if r.Phase == state.Draining {
			return
		}
		if why := p.drainReason(now, st, r, surplus); why != "" {
			doomed = append(doomed, r)
			reasons[r.ID] = why
		}
	})
	slices.SortFunc(doomed, func(a, b state.Replica) int { return cmp.Compare(a.ID, b.ID) })
	for _, r := range doomed {
		if p.propose(now, proposal{id: r.ID}) {
			cmds = append(cmds, drain(r, reasons[r.ID]))
		}
	}
	p.keepMinimum(now, st)
	p.shiftVersions(now, st)
	return cmds
}

// drainReason tells why a replica should go, or "" if it stays. Base models
// stay as long as an adapter sits on them.
func (p *Planner) drainReason(now time.Time, st *state.State, r state.Replica, surplus map[ident.Target]int) string {
	if p.hasLeft(now, st, r.Host) {
		return "the endpoint is leaving"
	}
	if len(st.Dependents(r)) > 0 {
		return ""
	}
	said, stated := st.Stated(r.Target)
	if !stated {
		return "no record in force states it"
	}
	left := st.Count(r.Target) - surplus[r.Target]
	l := p.loads[r.ID]
	busy := l.Running+l.Waiting > 0
	switch {
	case left > st.Sold(r.Target):
		surplus[r.Target]++
		return "more than the records allow"
	case r.Phase != state.Ready || busy || left <= said.Min:
		return ""
	case p.wants[r.Target] != nil && len(p.wants[r.Target].by) > 0:
		return ""
	}
	idle := min(p.replicaIdle(now, r, l), now.Sub(r.Since))
	if keep := p.keepFor(st, r, said); idle > keep {
		surplus[r.Target]++
		return "idle for " + idle.Truncate(time.Second).String() + ", kept for " + keep.Truncate(time.Second).String()
	}
	return ""
}

// hasLeft reports whether an endpoint has taken no new work for longer than a
// restart of its agent takes. Draining at once would unload everything at each
// rolling restart.
func (p *Planner) hasLeft(now time.Time, st *state.State, h ident.HostID) bool {
	e, ok := st.Endpoint(h)
	if !ok || !e.Leaving {
		delete(p.leaving, h)
		return false
	}
	since, known := p.leaving[h]
	if !known {
		p.leaving[h] = now
		return false
	}
	return now.Sub(since) > p.cfg.RetryAfter
}

// replicaIdle is the idle time of one replica; with several of one target the
// reports tell them apart.
func (p *Planner) replicaIdle(now time.Time, r state.Replica, l ReplicaLoad) time.Duration {
	if l.LastUsed.IsZero() {
		return p.idle(now, r.Target)
	}
	if r.Target.IsAdapter() {
		return now.Sub(l.LastUsed)
	}
	return min(now.Sub(l.LastUsed), p.idle(now, r.Target))
}

// keepFor returns how long an idle replica stays.
func (p *Planner) keepFor(st *state.State, r state.Replica, said state.Statement) time.Duration {
	switch p.cfg.Policy {
	case PolicyFixed:
		return p.cfg.FixedKeepAlive
	case PolicyNever:
		return never
	}
	stats := st.History().Stats(r.Target)
	reload := p.loadTime(p.source(r.Target, r.Host), r.Bytes)
	return stats.KeepFor(p.cfg.KeepAlive, said.Weight, reload)
}

const never = 1000 * time.Hour

// keepMinimum wants the replicas that records keep loaded without demand.
func (p *Planner) keepMinimum(now time.Time, st *state.State) {
	st.EachStated(func(t ident.Target, said state.Statement) {
		if said.Min > st.Count(t) {
			w := p.want(now, t)
			w.warmTil = maxTime(w.warmTil, now.Add(p.cfg.DemandTTL))
		}
	})
}

// shiftVersions loads a newer version of a model in use before requests shift
// to it: entries send requests without a version to the newest ready one.
func (p *Planner) shiftVersions(now time.Time, st *state.State) {
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
				w := p.want(now, next)
				w.warmTil = maxTime(w.warmTil, now.Add(p.cfg.RetryAfter))
			}
		}
	}
}

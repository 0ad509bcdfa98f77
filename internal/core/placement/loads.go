package placement

import (
	"slices"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/state"
)

// planLoads proposes grants in queue order and estimates when the remaining
// targets will be ready.
func (p *Planner) planLoads(now time.Time, st *state.State) []state.Command {
	if len(p.demands) == 0 {
		return nil
	}
	slots := p.storeOccupancy(now, st)
	var cmds []state.Command
	for _, it := range p.queue(now, st) {
		cmds = append(cmds, p.planOne(now, st, it, slots)...)
	}
	return cmds
}

// storeSlots is the schedule of the loads that the weight store serves at full
// speed.
type storeSlots struct {
	freeAt []time.Time // for each concurrent load, when its slot becomes free; sorted
	spare  int         // slots free now
}

// storeOccupancy returns the store's schedule with the remote loads in progress. A
// grant whose source is unknown, made under an earlier leader, counts as remote.
func (p *Planner) storeOccupancy(now time.Time, st *state.State) *storeSlots {
	s := &storeSlots{}
	st.EachReplica(func(r state.Replica) {
		if r.Phase != state.Granted {
			return
		}
		src, known := p.sources[r.ID]
		if known && src != FromRemote {
			return
		}
		s.freeAt = append(s.freeAt, maxTime(now, r.Since.Add(p.loadTime(FromRemote, r.Bytes))))
	})
	for k := range p.proposed {
		if k.id == 0 && p.source(k.target, k.host) == FromRemote {
			s.freeAt = append(s.freeAt, now.Add(p.loadTime(FromRemote, p.bytes(st, k.target))))
		}
	}
	s.spare = max(0, p.cfg.StoreConcurrent-len(s.freeAt))
	for range s.spare {
		s.freeAt = append(s.freeAt, now)
	}
	slices.SortFunc(s.freeAt, time.Time.Compare)
	// If more loads are in progress than the store serves at full speed, a slot
	// is free only once the excess has ended: the latest ends count.
	s.freeAt = s.freeAt[max(0, len(s.freeAt)-p.cfg.StoreConcurrent):]
	return s
}

// reserve occupies the slot that becomes free first and returns when its load
// ends.
func (s *storeSlots) reserve(d time.Duration) time.Time {
	end := s.freeAt[0].Add(d)
	s.freeAt[0] = end
	slices.SortFunc(s.freeAt, time.Time.Compare)
	return end
}

// bytes returns the accelerator memory of one replica of t, 0 if no record states
// it.
func (p *Planner) bytes(st *state.State, t ident.Target) int64 {
	req, _ := st.RequirementsOf(t)
	return req.Bytes
}

// planOne returns the commands for one queued target, or none if it must wait, and
// estimates when the target will be ready.
func (p *Planner) planOne(now time.Time, st *state.State, it item, slots *storeSlots) []state.Command {
	if p.grantProposed(it.target) {
		return nil
	}
	best, ok := p.place(now, st, it)
	if !ok {
		p.etas[it.target] = p.estimateEviction(now, st, it)
		return nil
	}
	if len(best.victims) > 0 {
		return p.evictFor(now, it, best)
	}
	// If an adapter's base is missing, grant the base first; the adapter follows
	// once the log has applied that grant.
	step := it.target
	if best.needsBase {
		step = it.target.Base()
	}
	src := p.source(step, best.host)
	took := p.loadTime(src, p.bytes(st, step))
	if src == FromRemote && (slots.spare == 0 || !p.tokens.AllowN(now, 1)) {
		p.etas[it.target] = Estimate{Target: it.target, Ready: slots.reserve(best.load), Reason: "queued for the weight store"}
		return nil
	}
	if !p.propose(now, proposal{target: step, host: best.host}) {
		return nil
	}
	ready := now.Add(best.load)
	if src == FromRemote {
		slots.spare--
		ready = slots.reserve(took).Add(best.load - took)
	}
	p.etas[it.target] = Estimate{Target: it.target, Ready: ready, Reason: "loading from " + string(src)}
	p.charge(it.target, took)
	reason := "demand from " + string(src)
	if it.class == warm {
		reason = "prewarm from " + string(src)
	}
	return []state.Command{{Grant: &state.Grant{Target: step, Host: best.host, Reason: reason}}}
}

// ReasonNoMemory is the reason of an Estimate without a time: no endpoint can hold
// the target, not even after evictions.
const ReasonNoMemory = "no endpoint has or can free enough memory"

// estimateEviction estimates when a target that fits nowhere now will be ready.
// Replicas that are loading, in use or too young are expected to become
// evictable; a target larger than the memory that any endpoint can free has no
// estimated time.
func (p *Planner) estimateEviction(now time.Time, st *state.State, it item) Estimate {
	later := now.Add(max(p.cfg.MinResidence, evictIdle))
	it.assumeEvictable = true
	c, ok := p.place(later, st, it)
	if !ok {
		return Estimate{Target: it.target, Reason: ReasonNoMemory}
	}
	return Estimate{Target: it.target, Ready: later.Add(unloadTime + c.load), Reason: "waiting until a replica may be evicted"}
}

// grantProposed reports whether a grant of t or of its base is proposed and not
// yet applied.
func (p *Planner) grantProposed(t ident.Target) bool {
	for k := range p.proposed {
		if k.id == 0 && (k.target == t || k.target == t.Base()) {
			return true
		}
	}
	return false
}

// evictFor drains the victims and reserves memory for the target.
func (p *Planner) evictFor(now time.Time, it item, best candidate) []state.Command {
	p.reservations[it.target] = reservation{host: best.host, bytes: best.needs, expires: now.Add(reservationTTL)}
	p.etas[it.target] = Estimate{Target: it.target, Ready: now.Add(best.load + unloadTime), Reason: "waiting for memory to be freed"}
	var cmds []state.Command
	for _, v := range best.victims {
		if p.propose(now, proposal{id: v.ID}) {
			cmds = append(cmds, drain(v, "evicted for "+it.target.String()))
		}
	}
	return cmds
}

const (
	reservationTTL = 30 * time.Second // limit of a reservation for a target that waits for an eviction
	unloadTime     = time.Second      // expected time from draining to freed memory
)

func drain(r state.Replica, reason string) state.Command {
	return state.Command{Replica: &state.ReplicaUpdate{ID: r.ID, Phase: state.Draining, Reason: reason}}
}

// estimateReplicas estimates when the first of the present replicas of t is ready.
func (p *Planner) estimateReplicas(now time.Time, st *state.State, t ident.Target) Estimate {
	est := Estimate{Target: t}
	for _, r := range st.ReplicasOf(t) {
		if r.Phase == state.Draining {
			continue
		}
		at := now
		if r.Phase == state.Granted {
			at = p.readyAt(now, st, r)
		}
		if est.Ready.IsZero() || at.Before(est.Ready) {
			est.Ready, est.Reason = at, string(r.Phase)+" at "+string(r.Host)
		}
	}
	if est.Ready.IsZero() {
		est.Ready, est.Reason = now.Add(unloadTime), "being unloaded"
	}
	return est
}

// readyAt estimates when a granted replica and its base are loaded.
func (p *Planner) readyAt(now time.Time, st *state.State, r state.Replica) time.Time {
	src, known := p.sources[r.ID]
	if !known {
		src = FromRemote
	}
	start := r.Since
	if base, ok := st.At(r.Target.Base(), r.Host); ok && r.Target.IsAdapter() && base.Phase == state.Granted {
		start = maxTime(start, p.readyAt(now, st, base))
	}
	at := start.Add(p.loadTime(src, r.Bytes))
	if at.Before(now) {
		// Overdue: the weight store may have slowed down. Expect half of the
		// time taken so far in addition, rather than an immediate end.
		at = now.Add(now.Sub(r.Since) / 2)
	}
	return at
}

// Estimate returns when a replica of t is expected to be ready, and whether an
// estimate exists.
func (p *Planner) Estimate(now time.Time, st *state.State, t ident.Target) (Estimate, bool) {
	if st.Count(t) > 0 {
		return p.estimateReplicas(now, st, t), true
	}
	e, ok := p.etas[t]
	return e, ok
}

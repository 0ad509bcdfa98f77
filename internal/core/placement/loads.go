package placement

import (
	"slices"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/state"
)

// planLoads proposes grants in queue order and estimates when the rest will be
// ready.
func (p *Planner) planLoads(now time.Time, st *state.State) []state.Command {
	if len(p.wants) == 0 {
		return nil
	}
	slots := p.storeSlots(now, st)
	var cmds []state.Command
	for _, it := range p.queue(now, st) {
		cmds = append(cmds, p.planOne(now, st, it, slots)...)
	}
	return cmds
}

// storeLanes tells when each of the store's full-speed loads ends.
type storeLanes struct {
	free  []time.Time // one per concurrent load, when it becomes free
	spare int         // lanes free now
}

// storeSlots counts the remote loads under way. A grant whose source this
// planner does not know, made by an earlier leader, counts as remote.
func (p *Planner) storeSlots(now time.Time, st *state.State) *storeLanes {
	s := &storeLanes{}
	st.EachReplica(func(r state.Replica) {
		if r.Phase != state.Granted {
			return
		}
		src, known := p.sources[r.ID]
		if known && src != FromRemote {
			return
		}
		s.free = append(s.free, maxTime(now, r.Since.Add(p.loadTime(FromRemote, r.Bytes))))
	})
	for k := range p.proposed {
		if k.id == 0 && p.source(k.target, k.host) == FromRemote {
			s.free = append(s.free, now.Add(p.loadTime(FromRemote, p.bytes(st, k.target))))
		}
	}
	s.spare = max(0, p.cfg.StoreConcurrent-len(s.free))
	for range s.spare {
		s.free = append(s.free, now)
	}
	slices.SortFunc(s.free, time.Time.Compare)
	// When more loads are under way than run at full speed, the last ones to
	// end free the lanes that count.
	s.free = s.free[max(0, len(s.free)-p.cfg.StoreConcurrent):]
	return s
}

// take occupies the lane that is free first and returns when its load ends.
func (s *storeLanes) take(d time.Duration) time.Time {
	end := s.free[0].Add(d)
	s.free[0] = end
	slices.SortFunc(s.free, time.Time.Compare)
	return end
}

func (p *Planner) bytes(st *state.State, t ident.Target) int64 {
	said, _ := st.Stated(t)
	return said.Bytes
}

// planOne decides one queued target, or estimates when that will be possible.
func (p *Planner) planOne(now time.Time, st *state.State, it item, lanes *storeLanes) []state.Command {
	if p.onItsWay(it.target) {
		return nil
	}
	best, ok := p.place(now, st, it)
	if !ok {
		p.etas[it.target] = p.estimateRoom(now, st, it)
		return nil
	}
	if len(best.victims) > 0 {
		return p.makeRoom(now, it, best)
	}
	// An adapter whose base is not there yet: decide the base first, the
	// adapter follows as soon as the log holds it.
	step := it.target
	if best.needsBase {
		step = it.target.Base()
	}
	src := p.source(step, best.host)
	took := p.loadTime(src, p.bytes(st, step))
	if src == FromRemote && (lanes.spare == 0 || !p.tokens.AllowN(now, 1)) {
		p.etas[it.target] = Estimate{Target: it.target, Ready: lanes.take(best.load), Reason: "queued for the weight store"}
		return nil
	}
	if !p.propose(now, proposal{target: step, host: best.host}) {
		return nil
	}
	ready := now.Add(best.load)
	if src == FromRemote {
		lanes.spare--
		ready = lanes.take(took).Add(best.load - took)
	}
	p.etas[it.target] = Estimate{Target: it.target, Ready: ready, Reason: "loading from " + string(src)}
	p.charge(it.target, took)
	reason := "demand from " + string(src)
	if it.class == warm {
		reason = "prewarm from " + string(src)
	}
	return []state.Command{{Grant: &state.Grant{Target: step, Host: best.host, Reason: reason}}}
}

// ReasonNoRoom is the reason of an Estimate without a time.
const ReasonNoRoom = "no endpoint has or can free enough memory"

// estimateRoom estimates a target that fits nowhere now. Replicas that are too
// young to be evicted, loading or in use will make room in a while; a target
// that is larger than what an endpoint may ever free has no estimate.
func (p *Planner) estimateRoom(now time.Time, st *state.State, it item) Estimate {
	later := now.Add(max(p.cfg.MinResidence, evictIdle))
	it.hopeful = true
	c, ok := p.place(later, st, it)
	if !ok {
		return Estimate{Target: it.target, Reason: ReasonNoRoom}
	}
	return Estimate{Target: it.target, Ready: later.Add(unloadTime + c.load), Reason: "waiting until a replica may be evicted"}
}

func (p *Planner) onItsWay(t ident.Target) bool {
	for k := range p.proposed {
		if k.id == 0 && (k.target == t || k.target == t.Base()) {
			return true
		}
	}
	return false
}

// makeRoom drains the victims and keeps their memory for the target.
func (p *Planner) makeRoom(now time.Time, it item, best candidate) []state.Command {
	p.intents[it.target] = intent{host: best.host, bytes: best.needs, expires: now.Add(intentTTL)}
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
	intentTTL  = 30 * time.Second // memory kept for a target that waits for an eviction
	unloadTime = time.Second      // expected time from drain to freed memory
)

func drain(r state.Replica, reason string) state.Command {
	return state.Command{Replica: &state.ReplicaSet{ID: r.ID, Phase: state.Draining, Reason: reason}}
}

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

// readyAt estimates when a granted replica is loaded, its base included.
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
		// Overdue: the store may have slowed down. Expect as long again as
		// it has taken so far rather than "any moment now".
		at = now.Add(now.Sub(r.Since) / 2)
	}
	return at
}

// Estimate tells when a replica of t is expected, and whether that is known.
func (p *Planner) Estimate(now time.Time, st *state.State, t ident.Target) (Estimate, bool) {
	if st.Count(t) > 0 {
		return p.estimateReplicas(now, st, t), true
	}
	e, ok := p.etas[t]
	return e, ok
}

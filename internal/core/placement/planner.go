package placement

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/keepalive"
	"github.com/cassiapass/cassiapass/internal/core/state"
)

const (
	sweepInterval  = time.Second      // interval between passes over all replicas
	wakeWindow     = 30 * time.Second // wakes within this time of each other count as related
	sampleInterval = 10 * time.Second // interval between commits of idle samples
	wakeGap        = 2 * time.Second  // a use after a shorter pause is neither a sample nor a wake
	speedWeight    = 0.3              // weight of the newest load in the estimated speed (exponential moving average)
	proposalTTL    = 5 * time.Second  // a command that is not applied within this time may be proposed again
)

// Planner decides loads and unloads. It is not safe for concurrent use.
type Planner struct {
	cfg     Config
	started time.Time
	tokens  *rate.Limiter

	demands map[ident.Target]*targetDemand
	hosts   map[ident.HostID]*host
	loads   map[ident.Index]ReplicaLoad
	speeds  map[Source]float64
	sources map[ident.Index]Source // of replicas whose load is in progress

	lastUse   map[ident.Target]time.Time
	wakes     []wake // within wakeWindow, oldest first
	samples   []keepalive.Sample
	sampledAt time.Time
	sweptAt   time.Time

	proposed     map[proposal]time.Time // commands that the log has not applied yet
	reservations map[ident.Target]reservation
	leavingSince map[ident.HostID]time.Time // when endpoints were first seen as leaving
	served       map[ident.Customer]float64 // seconds of load time granted, decayed over time, for fairness
	etas         map[ident.Target]Estimate
}

// host is the state that the agent of a host has reported.
type host struct {
	incarnation ident.Incarnation
	cached      map[ident.Target]Source
}

// wake is the first known use of a target, or a use after a pause longer than
// wakeWindow.
type wake struct {
	at     time.Time
	target ident.Target
}

// proposal identifies a command, so that it is not proposed twice before the
// log has applied it. id is zero for a grant.
type proposal struct {
	target ident.Target
	host   ident.HostID
	id     ident.Index
}

// reservation reserves memory that is being freed at a host for one target.
// Without it, two targets could each take the memory that the other has freed
// and both wait forever.
type reservation struct {
	host    ident.HostID
	bytes   int64
	expires time.Time
}

// New returns a Planner without demands or reports. A replica whose last use is
// unknown counts as used when the Planner started, so a new leader unloads late
// rather than early.
func New(cfg Config, now time.Time) *Planner {
	return &Planner{
		cfg: cfg, started: now, sampledAt: now,
		tokens:       rate.NewLimiter(rate.Limit(cfg.StoreRate), max(1, int(cfg.StoreRate))),
		demands:      map[ident.Target]*targetDemand{},
		hosts:        map[ident.HostID]*host{},
		loads:        map[ident.Index]ReplicaLoad{},
		speeds:       map[Source]float64{FromMemory: cfg.MemorySpeed, FromDisk: cfg.DiskSpeed, FromRemote: cfg.RemoteSpeed},
		sources:      map[ident.Index]Source{},
		lastUse:      map[ident.Target]time.Time{},
		proposed:     map[proposal]time.Time{},
		reservations: map[ident.Target]reservation{},
		leavingSince: map[ident.HostID]time.Time{},
		served:       map[ident.Customer]float64{},
		etas:         map[ident.Target]Estimate{},
	}
}

// Report applies an agent's report. Reports of earlier incarnations are ignored.
func (p *Planner) Report(now time.Time, st *state.State, r Report) {
	h := p.hosts[r.Host]
	if h != nil && r.Incarnation < h.incarnation {
		return // from a process that no longer exists
	}
	if h == nil || r.Full || r.Incarnation > h.incarnation {
		h = &host{incarnation: r.Incarnation, cached: map[ident.Target]Source{}}
		p.hosts[r.Host] = h
	}
	for _, c := range r.Cached {
		if c.Source == FromRemote {
			delete(h.cached, c.Target)
			continue
		}
		h.cached[c.Target] = c.Source
	}
	for _, l := range r.Loaded {
		p.observeLoad(l)
	}
	for _, l := range r.Replicas {
		p.loads[l.ID] = l
		if rep, ok := st.Replica(l.ID); ok {
			p.recordReplicaUse(now, rep.Target, l)
		}
	}
}

// observeLoad updates the estimated speed of a source with a finished load. A
// slow weight store shows up here first, and all later estimates account for it.
func (p *Planner) observeLoad(l LoadTime) {
	if l.Took <= 0 || l.Bytes <= 0 {
		return
	}
	observed := float64(l.Bytes) / l.Took.Seconds()
	p.speeds[l.Source] += speedWeight * (observed - p.speeds[l.Source])
}

// recordReplicaUse records the use of a target that an agent reports for a replica.
func (p *Planner) recordReplicaUse(now time.Time, t ident.Target, l ReplicaLoad) {
	at := l.LastUsed
	if l.Running+l.Waiting > 0 {
		at = now
	}
	p.recordUse(at, t)
}

// recordUse records the last use of a target, and a sample of its idle time.
func (p *Planner) recordUse(at time.Time, t ident.Target) {
	last, known := p.lastUse[t]
	if !at.After(last) {
		return
	}
	p.lastUse[t] = at
	if known && at.Sub(last) < wakeGap {
		return
	}
	s := keepalive.Sample{Target: t}
	if known {
		s.Idle = at.Sub(last)
	}
	// Only a use after a long pause is a wake: short pauses within a session
	// would make all targets that are in use at the same time look related.
	if s.Woke = !known || s.Idle > wakeWindow; s.Woke {
		s.With = p.recordWake(at, t)
	}
	p.samples = append(p.samples, s)
}

// recordWake records a wake and returns the targets that woke within wakeWindow
// before it.
func (p *Planner) recordWake(at time.Time, t ident.Target) []ident.Target {
	var with []ident.Target
	p.wakes = dropBefore(p.wakes, at.Add(-wakeWindow))
	for _, w := range p.wakes {
		if w.target != t && len(with) < maxCompanions {
			with = append(with, w.target)
		}
	}
	p.wakes = append(p.wakes, wake{at, t})
	return with
}

const maxCompanions = 16 // maximum targets recorded with one wake

func dropBefore(ws []wake, t time.Time) []wake {
	i := 0
	for i < len(ws) && ws[i].at.Before(t) {
		i++
	}
	return ws[i:]
}

// LastUse returns the last known use of a target, or the Planner's start time if
// none is known.
func (p *Planner) LastUse(t ident.Target) time.Time {
	if at, ok := p.lastUse[t]; ok {
		return at
	}
	return p.started
}

// idle returns how long a target has not been used.
func (p *Planner) idle(now time.Time, t ident.Target) time.Duration {
	return now.Sub(p.LastUse(t))
}

// Plan returns the commands to propose in the present state. It is cheap when
// there is no demand; passes over all replicas happen once a second.
func (p *Planner) Plan(now time.Time, st *state.State) []state.Command {
	p.expire(now, st)
	var cmds []state.Command
	if now.Sub(p.sweptAt) >= sweepInterval {
		p.sweptAt = now
		cmds = append(cmds, p.sweep(now, st)...)
	}
	cmds = append(cmds, p.planLoads(now, st)...)
	if len(p.samples) > 0 && now.Sub(p.sampledAt) >= sampleInterval {
		cmds = append(cmds, state.Command{History: &state.History{Samples: p.samples}})
		p.samples, p.sampledAt = nil, now
	}
	return cmds
}

// expire drops outdated proposals and reservations, and demands that were not
// repeated in time.
func (p *Planner) expire(now time.Time, st *state.State) {
	for k, at := range p.proposed {
		if now.Sub(at) > proposalTTL {
			delete(p.proposed, k)
		}
	}
	for t, res := range p.reservations {
		if now.After(res.expires) {
			delete(p.reservations, t)
		}
	}
	for t, td := range p.demands {
		td.prune(now, p.cfg)
		if len(td.byRequester) == 0 && p.readySince(st, t, td.since) {
			// The demand is met: a replica that is later unloaded as idle must
			// not be loaded again for the same demand.
			td.warmUntil = now
		}
		if td.empty(now) {
			delete(p.demands, t)
			delete(p.etas, t)
		}
	}
}

// readySince reports whether t has become ready after the given time.
func (p *Planner) readySince(st *state.State, t ident.Target, since time.Time) bool {
	for _, r := range st.ReplicasOf(t) {
		if r.Phase == state.Ready && !r.Since.Before(since) {
			return true
		}
	}
	return false
}

// Applied reports that the state machine applied or refused a command, so that
// the Planner may propose it again.
func (p *Planner) Applied(c state.Command, res state.Result) {
	switch {
	case c.Grant != nil:
		delete(p.proposed, proposal{target: c.Grant.Target, host: c.Grant.Host})
		if res.Code == state.OK {
			p.recordSource(res.Revision, *c.Grant)
		}
	case c.Replica != nil:
		delete(p.proposed, proposal{id: c.Replica.ID})
		if c.Replica.Removed || c.Replica.Phase == state.Ready {
			delete(p.sources, c.Replica.ID)
		}
		if c.Replica.Removed {
			delete(p.loads, c.Replica.ID)
		}
	}
}

// recordSource records the source of a granted load and releases the target's
// reservation at that host.
func (p *Planner) recordSource(id ident.Index, g state.Grant) {
	p.sources[id] = p.source(g.Target, g.Host)
	if res, ok := p.reservations[g.Target]; ok && res.host == g.Host {
		delete(p.reservations, g.Target)
	}
}

// source returns the source from which host h loads the checkpoint of t.
func (p *Planner) source(t ident.Target, h ident.HostID) Source {
	if hs, ok := p.hosts[h]; ok {
		if s, ok := hs.cached[t]; ok {
			return s
		}
	}
	return FromRemote
}

// loadTime estimates the time to load bytes from a source.
func (p *Planner) loadTime(s Source, bytes int64) time.Duration {
	return time.Duration(float64(bytes) / p.speeds[s] * float64(time.Second))
}

// propose marks a command as proposed. It returns false if it already is.
func (p *Planner) propose(now time.Time, k proposal) bool {
	if _, ok := p.proposed[k]; ok {
		return false
	}
	p.proposed[k] = now
	return true
}

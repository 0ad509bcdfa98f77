package placement

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/keepalive"
	"github.com/cassiapass/cassiapass/internal/core/state"
)

const (
	sweepEvery  = time.Second      // between passes over all replicas
	wakeWindow  = 30 * time.Second // wakes this close together count as one burst
	sampleBatch = 10 * time.Second // idle samples are committed this often
	wakeGap     = 2 * time.Second  // a use after a shorter pause is no wake
	speedWeight = 0.3              // weight of the newest load in the estimated speed
	grantExpiry = 5 * time.Second  // a proposed command not applied by then is decided anew
)

// Planner decides loads and unloads. It is not safe for concurrent use.
type Planner struct {
	cfg     Config
	started time.Time
	tokens  *rate.Limiter

	wants   map[ident.Target]*want
	hosts   map[ident.HostID]*host
	loads   map[ident.Index]ReplicaLoad
	speeds  map[Source]float64
	sources map[ident.Index]Source // of grants that are loading

	lastUse   map[ident.Target]time.Time
	wakes     []wake // recent, oldest first
	samples   []keepalive.Sample
	sampledAt time.Time
	sweptAt   time.Time

	proposed map[proposal]time.Time // commands on their way through the log
	intents  map[ident.Target]intent
	leaving  map[ident.HostID]time.Time // since when endpoints take no new work
	served   map[ident.Customer]float64 // load seconds granted per replica sold, for fairness
	etas     map[ident.Target]Estimate
}

// host is what agents reported.
type host struct {
	incarnation ident.Incarnation
	cached      map[ident.Target]Source
}

type wake struct {
	at     time.Time
	target ident.Target
}

// proposal names a command so that it is not proposed twice while it is on its
// way through the log.
type proposal struct {
	target ident.Target
	host   ident.HostID
	id     ident.Index
}

// intent keeps memory that is being freed at a host for one target. Without it
// two targets that evict each other's room could both wait for ever.
type intent struct {
	host    ident.HostID
	bytes   int64
	expires time.Time
}

// New returns a Planner that knows nothing yet. Replicas whose last use it has
// not heard of count as used at its start, so a new leader unloads late rather
// than early.
func New(cfg Config, now time.Time) *Planner {
	return &Planner{
		cfg: cfg, started: now, sampledAt: now,
		tokens:   rate.NewLimiter(rate.Limit(cfg.StoreRate), max(1, int(cfg.StoreRate))),
		wants:    map[ident.Target]*want{},
		hosts:    map[ident.HostID]*host{},
		loads:    map[ident.Index]ReplicaLoad{},
		speeds:   map[Source]float64{FromMemory: cfg.MemorySpeed, FromDisk: cfg.DiskSpeed, FromRemote: cfg.RemoteSpeed},
		sources:  map[ident.Index]Source{},
		lastUse:  map[ident.Target]time.Time{},
		proposed: map[proposal]time.Time{},
		intents:  map[ident.Target]intent{},
		leaving:  map[ident.HostID]time.Time{},
		served:   map[ident.Customer]float64{},
		etas:     map[ident.Target]Estimate{},
	}
}

// Report takes in an agent's report.
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
		p.measure(l)
	}
	for _, l := range r.Replicas {
		p.loads[l.ID] = l
		if rep, ok := st.Replica(l.ID); ok {
			p.used(now, rep.Target, l)
		}
	}
}

// measure takes a finished load into the estimated speed of its source. A slow
// store shows here first, and every later estimate follows.
func (p *Planner) measure(l LoadTime) {
	if l.Took <= 0 || l.Bytes <= 0 {
		return
	}
	seen := float64(l.Bytes) / l.Took.Seconds()
	p.speeds[l.Source] += speedWeight * (seen - p.speeds[l.Source])
}

// used records the last use of a target and notices wakes.
func (p *Planner) used(now time.Time, t ident.Target, l ReplicaLoad) {
	at := l.LastUsed
	if l.Running+l.Waiting > 0 {
		at = now
	}
	p.touch(at, t)
}

func (p *Planner) touch(at time.Time, t ident.Target) {
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
	// Only a use after a long pause is a wake; pauses inside a visit would
	// make everything that is used at the same time look related.
	if s.Woke = !known || s.Idle > wakeWindow; s.Woke {
		s.With = p.wokeWith(at, t)
	}
	p.samples = append(p.samples, s)
}

// wokeWith records a wake and returns the targets that woke shortly before.
func (p *Planner) wokeWith(at time.Time, t ident.Target) []ident.Target {
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

const maxCompanions = 16 // targets recorded with one wake

func dropBefore(ws []wake, t time.Time) []wake {
	i := 0
	for i < len(ws) && ws[i].at.Before(t) {
		i++
	}
	return ws[i:]
}

// LastUse returns the last use of a target that this planner knows of, or its
// own start.
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

// Plan returns the commands that the present state calls for. It is cheap when
// nothing waits; passes over all replicas happen once a second.
func (p *Planner) Plan(now time.Time, st *state.State) []state.Command {
	p.forgetOld(now, st)
	var cmds []state.Command
	if now.Sub(p.sweptAt) >= sweepEvery {
		p.sweptAt = now
		cmds = append(cmds, p.sweep(now, st)...)
	}
	cmds = append(cmds, p.planLoads(now, st)...)
	if len(p.samples) > 0 && now.Sub(p.sampledAt) >= sampleBatch {
		cmds = append(cmds, state.Command{History: &state.History{Samples: p.samples}})
		p.samples, p.sampledAt = nil, now
	}
	return cmds
}

// forgetOld drops proposals that were applied or lost and demands that were
// not repeated.
func (p *Planner) forgetOld(now time.Time, st *state.State) {
	for k, at := range p.proposed {
		if now.Sub(at) > grantExpiry {
			delete(p.proposed, k)
		}
	}
	for t, in := range p.intents {
		if now.After(in.expires) {
			delete(p.intents, t)
		}
	}
	for t, w := range p.wants {
		w.prune(now, p.cfg)
		if len(w.by) == 0 && p.readySince(st, t, w.first) {
			// Met: what is unloaded later, being idle, must not be loaded
			// again for the same demand.
			w.warmTil = now
		}
		if w.empty(now) {
			delete(p.wants, t)
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

// Applied tells the Planner that the log carried out or refused a command, so
// that it may propose anew.
func (p *Planner) Applied(c state.Command, res state.Result) {
	switch {
	case c.Grant != nil:
		delete(p.proposed, proposal{target: c.Grant.Target, host: c.Grant.Host})
		if res.Code == state.OK {
			p.noteSource(res.Revision, *c.Grant)
		}
	case c.Replica != nil:
		delete(p.proposed, proposal{id: c.Replica.ID})
		if c.Replica.Gone || c.Replica.Phase == state.Ready {
			delete(p.sources, c.Replica.ID)
		}
		if c.Replica.Gone {
			delete(p.loads, c.Replica.ID)
		}
	}
}

func (p *Planner) noteSource(id ident.Index, g state.Grant) {
	p.sources[id] = p.source(g.Target, g.Host)
	if in, ok := p.intents[g.Target]; ok && in.host == g.Host {
		delete(p.intents, g.Target)
	}
}

// source returns where host h has the checkpoint of t.
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

// propose marks a command as on its way; false if it already is.
func (p *Planner) propose(now time.Time, k proposal) bool {
	if _, ok := p.proposed[k]; ok {
		return false
	}
	p.proposed[k] = now
	return true
}

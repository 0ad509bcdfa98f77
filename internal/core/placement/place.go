package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/state"
)

const (
	zonePenalty  = 1.0              // seconds that a second replica in one availability zone is worth avoiding
	fullPenalty  = 0.5              // seconds between an empty and a full endpoint
	evictHorizon = 10 * time.Minute // a victim's chance of use is looked at this far ahead
)

// candidate is one way to place a target.
type candidate struct {
	host      ident.HostID
	needsBase bool
	needs     int64 // bytes
	load      time.Duration
	cost      float64 // seconds; the least wins
	victims   []state.Replica
}

// place returns the cheapest endpoint for a target: first among those with
// room, and only if there is none among those that can free some.
func (p *Planner) place(now time.Time, st *state.State, it item) (candidate, bool) {
	zones := p.zonesOf(st, it.target)
	kept := p.keptMemory(it.target)
	var best candidate
	found := false
	pick := func(evict bool) {
		st.EachEndpoint(func(e state.Endpoint) {
			c, ok := p.candidate(now, st, it, e, zones, kept, evict)
			if !ok {
				return
			}
			better := c.cost < best.cost || (c.cost == best.cost && c.host < best.host)
			if !found || better {
				best, found = c, true
			}
		})
	}
	pick(false)
	if !found {
		pick(true)
	}
	return best, found
}

func (p *Planner) zonesOf(st *state.State, t ident.Target) map[ident.Zone]bool {
	zones := map[ident.Zone]bool{}
	for _, r := range st.ReplicasOf(t) {
		if e, ok := st.Endpoint(r.Host); ok {
			zones[e.Zone] = true
		}
	}
	return zones
}

// keptMemory sums the memory that is being freed or about to be granted for
// other targets, by endpoint.
func (p *Planner) keptMemory(t ident.Target) map[ident.HostID]int64 {
	kept := map[ident.HostID]int64{}
	for other, in := range p.intents {
		if other != t {
			kept[in.host] += in.bytes
		}
	}
	return kept
}

func (p *Planner) candidate(now time.Time, st *state.State, it item, e state.Endpoint, zones map[ident.Zone]bool, kept map[ident.HostID]int64, evict bool) (candidate, bool) {
	if !e.Up || e.Leaving || e.Serves != "" || !slices.Contains(it.said.Places, e.Place) {
		return candidate{}, false
	}
	if _, there := st.At(it.target, e.Host); there {
		return candidate{}, false
	}
	c := candidate{host: e.Host, needs: it.said.Bytes, load: p.loadTime(p.source(it.target, e.Host), it.said.Bytes)}
	if it.target.IsAdapter() && !p.withBase(st, it.target, e.Host, &c) {
		return candidate{}, false
	}
	free := e.Memory - st.Used(e.Host) - kept[e.Host] - p.pending(st, e.Host)
	c.cost = c.load.Seconds() + fullPenalty*float64(st.Used(e.Host))/float64(e.Memory)
	if zones[e.Zone] {
		c.cost += zonePenalty
	}
	if free >= c.needs {
		return c, true
	}
	if !evict || !p.findVictims(now, st, it, &c, c.needs-free) {
		return candidate{}, false
	}
	return c, true
}

// withBase adds the base model to a candidate where it is missing.
func (p *Planner) withBase(st *state.State, t ident.Target, h ident.HostID, c *candidate) bool {
	base, there := st.At(t.Base(), h)
	if there {
		return base.Phase != state.Draining
	}
	if st.Count(t.Base()) >= st.Sold(t) {
		return false
	}
	bytes := p.bytes(st, t.Base())
	c.needsBase = true
	c.needs += bytes
	c.load += p.loadTime(p.source(t.Base(), h), bytes)
	return true
}

// pending sums grants proposed for an endpoint that the log has not applied.
func (p *Planner) pending(st *state.State, h ident.HostID) int64 {
	sum := int64(0)
	for k := range p.proposed {
		if k.id == 0 && k.host == h {
			sum += p.bytes(st, k.target)
		}
	}
	return sum
}

// victim is a replica, adapters that sit on it included, that may be evicted.
type victim struct {
	all   []state.Replica
	bytes int64
	loss  float64 // expected reload seconds
}

// findVictims chooses replicas whose loss per byte is least until enough bytes
// come free, and adds their loss to the candidate's cost.
func (p *Planner) findVictims(now time.Time, st *state.State, it item, c *candidate, bytes int64) bool {
	var all []victim
	for _, id := range st.ByHost(c.host) {
		r, _ := st.Replica(id)
		if r.Target == it.target.Base() {
			continue
		}
		if r.Phase == state.Draining {
			bytes -= r.Bytes // already on its way out
			continue
		}
		if v, ok := p.victim(now, st, r, it.hopeful); ok {
			all = append(all, v)
		}
	}
	slices.SortFunc(all, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.loss/float64(a.bytes), b.loss/float64(b.bytes)), cmp.Compare(a.all[0].ID, b.all[0].ID))
	})
	taken := map[ident.Index]bool{}
	for _, v := range all {
		if bytes <= 0 {
			break
		}
		for _, r := range v.all {
			if !taken[r.ID] {
				taken[r.ID] = true
				bytes -= r.Bytes
				c.victims = append(c.victims, r)
			}
		}
		c.cost += v.loss
	}
	return bytes <= 0
}

func (p *Planner) victim(now time.Time, st *state.State, r state.Replica, hopeful bool) (victim, bool) {
	v := victim{all: append(st.Dependents(r), r)}
	for _, m := range v.all {
		if !hopeful && !p.evictable(now, st, m) {
			return victim{}, false
		}
		v.bytes += m.Bytes
		v.loss += p.lossOf(now, st, m)
	}
	return v, true
}

// evictable reports whether a replica may make room for another target. The
// minimum age keeps two targets from throwing each other out in turns.
func (p *Planner) evictable(now time.Time, st *state.State, r state.Replica) bool {
	l := p.loads[r.ID]
	if r.Phase != state.Ready || l.Running+l.Waiting > 0 || now.Sub(r.Since) < p.cfg.MinResidence {
		return false
	}
	if w, wanted := p.wants[r.Target]; wanted && len(w.by) > 0 {
		return false
	}
	if p.idle(now, r.Target) < evictIdle {
		return false
	}
	said, ok := st.Stated(r.Target)
	return !ok || st.Count(r.Target) > said.Min
}

const evictIdle = 2 * time.Second // a replica used more recently is not evicted

// lossOf is the expected cost of evicting r, in seconds of reload. The
// baselines evict the least recently used.
func (p *Planner) lossOf(now time.Time, st *state.State, r state.Replica) float64 {
	idle := p.idle(now, r.Target)
	if p.cfg.Policy != PolicyHistory {
		return float64(r.Bytes) / (1 + idle.Seconds())
	}
	stats := st.History().Stats(r.Target)
	reload := p.loadTime(p.source(r.Target, r.Host), r.Bytes).Seconds()
	return reload * stats.UseWithin(idle, evictHorizon)
}

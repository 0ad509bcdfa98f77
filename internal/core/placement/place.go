package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/state"
)

const (
	zonePenalty  = 1.0              // cost in seconds of a second replica in the same availability zone
	fullPenalty  = 0.5              // difference in cost, in seconds, between an empty and a full endpoint
	evictHorizon = 10 * time.Minute // period for which a victim's probability of use is estimated
)

// candidate is a possible placement of a target.
type candidate struct {
	host      ident.HostID
	needsBase bool
	needs     int64 // bytes
	load      time.Duration
	cost      float64 // seconds; the lowest cost wins
	victims   []state.Replica
}

// place returns the cheapest endpoint for a target among those with enough free
// memory. Only if there is none does it consider evictions.
func (p *Planner) place(now time.Time, st *state.State, it item) (candidate, bool) {
	zones := p.zonesOf(st, it.target)
	reserved := p.reservedMemory(it.target)
	var best candidate
	found := false
	pick := func(evict bool) {
		st.EachEndpoint(func(e state.Endpoint) {
			c, ok := p.candidate(now, st, it, e, zones, reserved, evict)
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

// zonesOf returns the availability zones that hold a replica of t.
func (p *Planner) zonesOf(st *state.State, t ident.Target) map[ident.Zone]bool {
	zones := map[ident.Zone]bool{}
	for _, r := range st.ReplicasOf(t) {
		if e, ok := st.Endpoint(r.Host); ok {
			zones[e.Zone] = true
		}
	}
	return zones
}

// reservedMemory returns the memory reserved for targets other than t, by
// endpoint.
func (p *Planner) reservedMemory(t ident.Target) map[ident.HostID]int64 {
	reserved := map[ident.HostID]int64{}
	for other, res := range p.reservations {
		if other != t {
			reserved[res.host] += res.bytes
		}
	}
	return reserved
}

// candidate returns the placement of a target on endpoint e and its cost, and
// false if e can't hold it. Victims are chosen only if evict is set.
func (p *Planner) candidate(now time.Time, st *state.State, it item, e state.Endpoint, zones map[ident.Zone]bool, reserved map[ident.HostID]int64, evict bool) (candidate, bool) {
	if !e.Up || e.Leaving || e.Serves != "" || !slices.Contains(it.req.Places, e.Place) {
		return candidate{}, false
	}
	if _, present := st.At(it.target, e.Host); present {
		return candidate{}, false
	}
	c := candidate{host: e.Host, needs: it.req.Bytes, load: p.loadTime(p.source(it.target, e.Host), it.req.Bytes)}
	if it.target.IsAdapter() && !p.addMissingBase(st, it.target, e.Host, &c) {
		return candidate{}, false
	}
	free := e.Memory - st.Used(e.Host) - reserved[e.Host] - p.pending(st, e.Host)
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

// addMissingBase adds the load of an adapter's base model to a candidate if the
// host lacks it. It returns false if the base is draining or may not be loaded.
func (p *Planner) addMissingBase(st *state.State, t ident.Target, h ident.HostID, c *candidate) bool {
	base, present := st.At(t.Base(), h)
	if present {
		return base.Phase != state.Draining
	}
	if st.Count(t.Base()) >= st.MaxReplicas(t) {
		return false
	}
	bytes := p.bytes(st, t.Base())
	c.needsBase = true
	c.needs += bytes
	c.load += p.loadTime(p.source(t.Base(), h), bytes)
	return true
}

// pending sums the bytes of grants proposed for an endpoint that the log has not
// applied.
func (p *Planner) pending(st *state.State, h ident.HostID) int64 {
	sum := int64(0)
	for k := range p.proposed {
		if k.id == 0 && k.host == h {
			sum += p.bytes(st, k.target)
		}
	}
	return sum
}

// victim is a replica that may be evicted, together with the adapters that
// depend on it.
type victim struct {
	all   []state.Replica
	bytes int64
	loss  float64 // expected reload seconds
}

// findVictims chooses victims in order of increasing loss per byte until enough
// bytes are freed, and adds their loss to the candidate's cost.
func (p *Planner) findVictims(now time.Time, st *state.State, it item, c *candidate, bytes int64) bool {
	var all []victim
	for _, id := range st.ByHost(c.host) {
		r, _ := st.Replica(id)
		if r.Target == it.target.Base() {
			continue
		}
		if r.Phase == state.Draining {
			bytes -= r.Bytes // already being unloaded
			continue
		}
		if v, ok := p.victim(now, st, r, it.assumeEvictable); ok {
			all = append(all, v)
		}
	}
	slices.SortFunc(all, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.loss/float64(a.bytes), b.loss/float64(b.bytes)), cmp.Compare(a.all[0].ID, b.all[0].ID))
	})
	chosen := map[ident.Index]bool{}
	for _, v := range all {
		if bytes <= 0 {
			break
		}
		for _, r := range v.all {
			if !chosen[r.ID] {
				chosen[r.ID] = true
				bytes -= r.Bytes
				c.victims = append(c.victims, r)
			}
		}
		c.cost += v.loss
	}
	return bytes <= 0
}

// victim returns r with its dependents, and false if one of them may not be
// evicted.
func (p *Planner) victim(now time.Time, st *state.State, r state.Replica, assumeEvictable bool) (victim, bool) {
	v := victim{all: append(st.Dependents(r), r)}
	for _, m := range v.all {
		if !assumeEvictable && !p.evictable(now, st, m) {
			return victim{}, false
		}
		v.bytes += m.Bytes
		v.loss += p.lossOf(now, st, m)
	}
	return v, true
}

// evictable reports whether a replica may be evicted for another target. The
// minimum age prevents two targets from evicting each other in turn.
func (p *Planner) evictable(now time.Time, st *state.State, r state.Replica) bool {
	l := p.loads[r.ID]
	if r.Phase != state.Ready || l.Running+l.Waiting > 0 || now.Sub(r.Since) < p.cfg.MinResidence {
		return false
	}
	if td, wanted := p.demands[r.Target]; wanted && len(td.byRequester) > 0 {
		return false
	}
	if p.idle(now, r.Target) < evictIdle {
		return false
	}
	req, ok := st.RequirementsOf(r.Target)
	return !ok || st.Count(r.Target) > req.Min
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

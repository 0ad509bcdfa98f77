package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// ETA is the estimated earliest time until a model that no engine holds is held.
type ETA struct {
	Model string        `json:"model"`
	In    time.Duration `json:"in,omitempty"` // from now; 0 if it is no longer known
}

const (
	// recentDemand is how long after its last request a model that no engine holds has an
	// ETA and, if it is on no disk, is fetched: refused callers retry within a third of
	// their time limit, some 6 s.
	recentDemand = 10 * time.Second
	// minETA is the shortest ETA that is published. Requests wait for a model that is ready
	// sooner, and that time depends on what is evicted for it.
	minETA = 2 * time.Second
	// returnWindow is how long a lost engine may take to return with the copies on its disk:
	// crashed engines restart within some seconds.
	returnWindow = 8 * time.Second
	// overdueShare is the expected remaining time of an overdue load, as a share of the time
	// that it has taken so far.
	overdueShare = 0.25
)

// missing returns the recently requested models that no engine holds, by falling request
// rate, weighted with SetByLevel.
func (p *Planner) missing(now time.Time) []string {
	var out []modelRate
	for name, m := range p.models {
		if p.survey.holders[name] == 0 && now.Sub(m.askedAt) < recentDemand {
			out = append(out, modelRate{name, p.weightedRate(now, name)})
		}
	}
	return byRate(out)
}

// fetchMissing loads from the store recently requested models of which no engine has a copy,
// those with the highest request rates first. It does not matter whether a request waits:
// hardly any can wait for such a load to end, which serves later requests.
func (p *Planner) fetchMissing(now time.Time, w *Work) {
	p.survey.missing = p.missing(now)
	for _, name := range p.survey.missing {
		if p.hasCopy(now, name) {
			continue
		}
		if len(p.survey.loading[Want{Model: name}]) == 0 {
			p.place(now, name, false, w)
		}
		if len(p.survey.loading[Want{Model: name}]) == 0 {
			p.survey.storeQueue = append(p.survey.storeQueue, name)
		}
	}
}

// ETAs estimates, from the last plan, when recently requested models will be held. A caller
// whose model cannot be ready in time is refused at once, with the time after which to
// retry.
func (p *Planner) ETAs(now time.Time) []ETA {
	if p.survey == nil {
		return nil
	}
	var out []ETA
	slots := p.storeSlotTimes(now)
	for _, name := range p.survey.missing {
		if in := p.eta(now, name, slots); in >= minETA {
			out = append(out, ETA{name, in})
		}
	}
	return out
}

// eta returns the earliest time until a model can be held; 0 if that is soon or unknown.
func (p *Planner) eta(now time.Time, name string, slots []time.Duration) time.Duration {
	if now.Sub(p.copyLostAt[name]) < returnWindow {
		return 0
	}
	if es := append(p.enginesWithCopy(name), p.survey.loading[Want{Model: name}]...); len(es) > 0 {
		return minOrderLeft(now, es)
	}
	i := slices.Index(p.survey.storeQueue, name)
	if i < 0 || len(slots) == 0 {
		return 0
	}
	loadTime := p.storeLoadTime(name)
	rounds := time.Duration(i / len(slots))
	return slots[i%len(slots)] + rounds*loadTime + loadTime
}

// recordLostCopies records which models have copies on an engine that is no longer listed.
func (p *Planner) recordLostCopies(now time.Time, e *engine) {
	for name := range e.copies {
		p.copyLostAt[name] = now
	}
}

// minOrderLeft returns the least remaining time of the engines' orders.
func minOrderLeft(now time.Time, es []*engine) time.Duration {
	first := slices.MinFunc(es, func(a, b *engine) int { return cmp.Compare(a.orderLeft(now), b.orderLeft(now)) })
	return first.orderLeft(now)
}

// orderLeft returns the expected remaining time of the engine's order; 0 if there is none.
func (e *engine) orderLeft(now time.Time) time.Duration {
	if e.order == nil {
		return 0
	}
	if left := e.order.due.Sub(now); left > 0 {
		return left
	}
	return time.Duration(overdueShare * float64(now.Sub(e.order.issuedAt)))
}

// storeSlotTimes returns, for each slot of the store, the time until it can start a load,
// the shortest first.
func (p *Planner) storeSlotTimes(now time.Time) []time.Duration {
	var out []time.Duration
	for _, e := range p.engines {
		if e.order != nil && e.order.Source == FromStore {
			out = append(out, e.orderLeft(now))
		}
	}
	for range p.store.freeSlots(false) {
		out = append(out, 0)
	}
	slices.Sort(out)
	return out
}

// storeLoadTime returns the configured duration of a load of a model from the store.
func (p *Planner) storeLoadTime(name string) time.Duration {
	for _, s := range p.dep.Services {
		if s.Engine == nil {
			continue
		}
		if m := s.Engine.Models[name]; m != nil {
			return m.FromStore
		}
	}
	return 0
}

// enginesWithCopy returns the engines that have a copy of a model and do not hold it. It
// includes engines that cannot be reached at the moment: they may return before a request
// reaches its limit.
func (p *Planner) enginesWithCopy(name string) []*engine {
	var out []*engine
	for e := range p.copies.engines(name) {
		if !e.ep.Leaving && !e.has(Want{Model: name}) {
			out = append(out, e)
		}
	}
	return out
}

// differs reports whether an ETA differs enough from the published time to be published
// again to all entries.
func (o ETA) differs(before, now time.Time) bool {
	at := now.Add(o.In)
	shift := at.Sub(before).Abs()
	return shift > max(etaStep, o.In/etaPart)
}

// An ETA must change by more than etaStep, and by more than one part in etaPart of itself,
// to be published again: the later a model is ready, the less a second matters to callers
// that retry after it.
const (
	etaStep = 500 * time.Millisecond
	etaPart = 10
)

// RecordETAs records the models whose new ETAs are to be sent to the entries where requests
// wait for them.
func (p *Planner) RecordETAs(changed []ETA) {
	for _, o := range changed {
		if o.In > 0 {
			p.newETAs[o.Model] = true
		}
	}
}

// ETATable keeps published ETAs as instants.
type ETATable map[string]time.Time

// Update replaces the table's content by the present ETAs and returns what changed; a removed
// ETA has an In of 0.
func (t ETATable) Update(now time.Time, all []ETA) []ETA {
	var changed []ETA
	listed := make(map[string]bool, len(all))
	for _, o := range all {
		listed[o.Model] = true
		if before, known := t[o.Model]; !known || o.differs(before, now) {
			t[o.Model] = now.Add(o.In)
			changed = append(changed, o)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(t)) {
		if !listed[name] {
			delete(t, name)
			changed = append(changed, ETA{Model: name})
		}
	}
	return changed
}

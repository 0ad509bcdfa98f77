// Package keepalive decides how long an idle replica stays loaded, from the
// history of idle times of its target.
//
// The statistics are histograms of idle times, as published for serverless
// platforms (Shahrad et al., 2020). A heavy-tailed prior is used for a target without
// history; its influence falls as observations arrive. One weight between 0 and 1
// trades tail cold-start time (1) against idle accelerator time (0).
package keepalive

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/ident"
)

const (
	buckets     = 18          // idle times from 1 s, doubling, to about 36 hours
	firstBucket = time.Second // upper edge of bucket 0
	priorWeight = 2.0         // number of observations to which the prior is equivalent
	maxPartners = 8           // partners recorded for a target
	halveAfter  = 4096        // wakes after which all earlier observations are halved
)

// Sample is one observed use of a target after a pause.
type Sample struct {
	Target ident.Target   `json:"target"`
	Idle   time.Duration  `json:"idle"`           // time since its last use; 0 if unknown
	Woke   bool           `json:"woke,omitempty"` // whether the pause was long
	With   []ident.Target `json:"with,omitempty"` // targets that woke shortly before
}

// Stats are the observations of one target.
type Stats struct {
	Gaps  [buckets]float32 `json:"gaps"`
	Wakes float32          `json:"wakes"`
	With  []Partner        `json:"with,omitempty"`
}

// Partner is a target that woke shortly before or after the one under which it is listed.
type Partner struct {
	Target ident.Target `json:"target"`
	Count  float32      `json:"count"`
}

// History holds the Stats of every target seen.
type History struct {
	stats map[ident.Target]Stats
}

// NewHistory returns a History without observations.
func NewHistory() *History { return &History{stats: map[ident.Target]Stats{}} }

// Stats returns the observations of one target; the zero Stats if there are none.
func (h *History) Stats(t ident.Target) Stats { return h.stats[t] }

// Clone returns a copy that later samples do not change.
func (h *History) Clone() *History { return &History{stats: maps.Clone(h.stats)} }

// Add records samples.
func (h *History) Add(samples []Sample) {
	for _, s := range samples {
		st := h.stats[s.Target]
		st.add(s)
		h.stats[s.Target] = st
		// The wake is recorded for the earlier targets too, so that the first target
		// of a group that wakes can have the others prefetched.
		for _, t := range s.With {
			other := h.stats[t]
			other.With = slices.Clone(other.With)
			other.countPartner(s.Target)
			h.stats[t] = other
		}
	}
}

func (st *Stats) add(s Sample) {
	if s.Woke {
		st.Wakes++
	}
	if s.Idle > 0 {
		st.Gaps[bucket(s.Idle)]++
	}
	st.With = slices.Clone(st.With)
	for _, t := range s.With {
		st.countPartner(t)
	}
	if st.Wakes >= halveAfter {
		st.halve()
	}
}

// countPartner counts one wake together with t. If the list is full, t replaces the partner
// with the lowest count and inherits that count, so that a new partner that wakes often
// is not starved (the Space-Saving algorithm).
func (st *Stats) countPartner(t ident.Target) {
	rarest := -1
	for i := range st.With {
		if st.With[i].Target == t {
			st.With[i].Count++
			return
		}
		if rarest < 0 || st.With[i].Count < st.With[rarest].Count {
			rarest = i
		}
	}
	if len(st.With) < maxPartners {
		st.With = append(st.With, Partner{Target: t, Count: 1})
		return
	}
	st.With[rarest] = Partner{Target: t, Count: st.With[rarest].Count + 1}
}

func (st *Stats) halve() {
	st.Wakes /= 2
	for i := range st.Gaps {
		st.Gaps[i] /= 2
	}
	for i := range st.With {
		st.With[i].Count /= 2
	}
}

// bucket returns the histogram bucket of an idle time.
func bucket(d time.Duration) int {
	if d <= firstBucket {
		return 0
	}
	b := int(math.Ceil(math.Log2(float64(d) / float64(firstBucket))))
	return min(b, buckets-1)
}

// edge returns the upper edge of a bucket.
func edge(b int) time.Duration { return firstBucket << b }

// total returns the number of observations including the prior. The prior is uniform
// over the buckets, that is, over the logarithm of the idle time.
func (st *Stats) total() float64 {
	sum := priorWeight
	for _, g := range st.Gaps {
		sum += float64(g)
	}
	return sum
}

// Survival returns the probability that an idle time exceeds d.
func (st *Stats) Survival(d time.Duration) float64 {
	total := st.total()
	p := 0.0
	for b := buckets - 1; b >= 0; b-- {
		share := (float64(st.Gaps[b]) + priorWeight/buckets) / total
		lower := time.Duration(0)
		if b > 0 {
			lower = edge(b - 1)
		}
		if d <= lower {
			p += share
			continue
		}
		if d < edge(b) {
			p += share * float64(edge(b)-d) / float64(edge(b)-lower)
		}
		break
	}
	return p
}

// UseWithin returns the probability that a target that has been idle for the duration
// idle is used within the next horizon.
func (st *Stats) UseWithin(idle, horizon time.Duration) float64 {
	now := st.Survival(idle)
	if now <= 0 {
		return 0
	}
	return (now - st.Survival(idle+horizon)) / now
}

// Tuning holds the bounds of KeepFor and the cost of a cold start.
type Tuning struct {
	Min, Max  time.Duration
	ColdValue float64 // seconds of idle accelerator time that cost as much as one second of cold start at weight 0.5
}

// DefaultTuning returns the tuning with the best results in docs/DESIGN.md.
func DefaultTuning() Tuning {
	return Tuning{Min: 5 * time.Second, Max: 2 * time.Hour, ColdValue: 40}
}

// KeepFor returns how long a replica may stay idle before it is unloaded: the duration
// with the lowest expected cost of cold starts and idle time. The result is Tuning.Max
// for weight 1 and Tuning.Min for weight 0. reload is the time of a cold start.
func (st *Stats) KeepFor(t Tuning, weight float64, reload time.Duration) time.Duration {
	if weight >= 1 {
		return t.Max
	}
	coldCost := t.ColdValue * weight / (1 - weight) * reload.Seconds()
	best, minCost := t.Min, math.Inf(1)
	idle := 0.0 // expected idle seconds up to the candidate
	prev, alive := time.Duration(0), 1.0
	total := st.total()
	for b := range buckets {
		end := edge(b)
		after := max(alive-(float64(st.Gaps[b])+priorWeight/buckets)/total, 0)
		idle += (end - prev).Seconds() * (alive + after) / 2
		prev, alive = end, after
		if 2*end <= t.Min || end > t.Max {
			continue // the edge just below Min represents Min
		}
		if cost := coldCost*after + idle; cost < minCost {
			best, minCost = end, cost
		}
	}
	return min(max(best, t.Min), t.Max)
}

// Companions returns the targets that woke shortly before or after this one in at least
// the given share of its wakes. It returns none if there were fewer than atLeast wakes.
func (st *Stats) Companions(share float64, atLeast float32) []ident.Target {
	var out []ident.Target
	if st.Wakes < atLeast {
		return nil
	}
	for _, p := range st.With {
		if float64(p.Count) >= share*float64(st.Wakes) {
			out = append(out, p.Target)
		}
	}
	return out
}

// Package keepalive decides how long an idle replica stays loaded, from the
// history of idle times of its target.
//
// The statistics are histograms of idle times, as published for serverless
// platforms (Shahrad et al., 2020). A prior with a heavy tail stands for a
// target without history and fades as observations arrive. One weight between
// 0 and 1 trades tail cold-start time (1) against idle accelerator time (0).
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
	priorWeight = 2.0         // observations that the prior stands for
	partners    = 8           // targets remembered as waking together with one
	halving     = 4096        // wakes after which old observations count half
)

// Sample is one observed use of a target after a pause.
type Sample struct {
	Target ident.Target   `json:"target"`
	Idle   time.Duration  `json:"idle"`           // time since its last use; 0 if unknown
	Woke   bool           `json:"woke,omitempty"` // the pause was long
	With   []ident.Target `json:"with,omitempty"` // targets that woke shortly before
}

// Stats are the observations of one target.
type Stats struct {
	Gaps  [buckets]float32 `json:"gaps"`
	Wakes float32          `json:"wakes"`
	With  []Partner        `json:"with,omitempty"`
}

// Partner is a target that woke shortly before the one it is listed under.
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

// Add takes in samples.
func (h *History) Add(samples []Sample) {
	for _, s := range samples {
		st := h.stats[s.Target]
		st.add(s)
		h.stats[s.Target] = st
		// The earlier ones learn of this wake too, so that whichever wakes
		// first can bring in the others.
		for _, t := range s.With {
			other := h.stats[t]
			other.With = slices.Clone(other.With)
			other.meet(s.Target)
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
		st.meet(t)
	}
	if st.Wakes >= halving {
		st.fade()
	}
}

// meet counts one wake together with t. When the list is full the rarest
// partner is replaced and its count inherited, so that a newcomer that keeps
// coming is never starved (the space-saving sketch).
func (st *Stats) meet(t ident.Target) {
	least := -1
	for i := range st.With {
		if st.With[i].Target == t {
			st.With[i].Count++
			return
		}
		if least < 0 || st.With[i].Count < st.With[least].Count {
			least = i
		}
	}
	if len(st.With) < partners {
		st.With = append(st.With, Partner{Target: t, Count: 1})
		return
	}
	st.With[least] = Partner{Target: t, Count: st.With[least].Count + 1}
}

func (st *Stats) fade() {
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

// total returns the number of observations, the prior's included. The prior
// is uniform over the buckets, that is, over the logarithm of the idle time.
func (st *Stats) total() float64 {
	sum := priorWeight
	for _, g := range st.Gaps {
		sum += float64(g)
	}
	return sum
}

// Survive returns the probability that an idle time exceeds d.
func (st *Stats) Survive(d time.Duration) float64 {
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

// UseWithin returns the probability that a target that has been idle for idle
// is used within the next horizon.
func (st *Stats) UseWithin(idle, horizon time.Duration) float64 {
	now := st.Survive(idle)
	if now <= 0 {
		return 0
	}
	return (now - st.Survive(idle+horizon)) / now
}

// Tuning bounds a Policy.
type Tuning struct {
	Min, Max  time.Duration
	ColdValue float64 // seconds of idle accelerator time that one second of cold start is worth at weight 0.5
}

// DefaultTuning is the tuning measured best in docs/DESIGN.md.
func DefaultTuning() Tuning {
	return Tuning{Min: 5 * time.Second, Max: 2 * time.Hour, ColdValue: 40}
}

// KeepFor returns how long a replica may stay idle: the duration with the
// least expected cost of cold starts and idle time. Weight 1 keeps for
// Tuning.Max, weight 0 for Tuning.Min.
func (st *Stats) KeepFor(t Tuning, weight float64, reload time.Duration) time.Duration {
	if weight >= 1 {
		return t.Max
	}
	value := t.ColdValue * weight / (1 - weight) * reload.Seconds()
	best, least := t.Min, math.Inf(1)
	idle := 0.0 // expected idle seconds up to the candidate
	prev, alive := time.Duration(0), 1.0
	total := st.total()
	for b := range buckets {
		end := edge(b)
		after := max(alive-(float64(st.Gaps[b])+priorWeight/buckets)/total, 0)
		idle += (end - prev).Seconds() * (alive + after) / 2
		prev, alive = end, after
		if 2*end <= t.Min || end > t.Max {
			continue // the edge just below Min stands for Min
		}
		if cost := value*after + idle; cost < least {
			best, least = end, cost
		}
	}
	return min(max(best, t.Min), t.Max)
}

// Companions returns the targets that woke shortly before or after this one in
// at least the given share of its wakes, when there are enough wakes to tell.
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

package allowance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/urgency"
)

// This file divides what a customer may use among its requests by rank. The load that it answers: a
// customer asks for several times its allowance, by kinds of requests of which some are of no use
// after half a second and others can wait or come back. With one chance for all, most of the urgent
// ones are refused first and come back late, when they use what a fresh urgent request could have
// used in time.
//
// Protection levels are nested: the units are given to the ranks in order, each up to its demand, so
// that all of them are used whatever the mix. The sum over ranks is what one chance for all would have
// admitted, and the bound in the package comment does not change.

// floorShare is the part of what one chance for all would give to a rank that the rank gets whatever
// earlier ranks ask for. With it a level that others crowd out still sees some of its requests
// answered, and its callers learn when there is room again.
const floorShare = 0.1

// Rank is the place of a request among those of its customer: by urgency; of equally urgent ones first
// those that were told to come back, since many callers do so only once; then those that use least,
// since the same units answer more of them.
type Rank struct {
	Class  urgency.Class `json:"k"`
	Repeat bool          `json:"r,omitempty"` // the caller has certainly tried before, and can certainly still be answered in time
	Size   uint8         `json:"s,omitempty"` // the binary logarithm of the cost
}

// repeatAge is how long ago a caller must have tried first to count as one that comes back. None is
// told to do so sooner than after ReportInterval, and callers' clocks and links vary by less.
const repeatAge = ReportInterval / 2

// rankOf returns the rank of a request.
func rankOf(l urgency.Level, t urgency.Timing, cost float64) Rank {
	u := urgency.Of(l, t)
	return Rank{Class: u.Class(), Repeat: t.Age() >= repeatAge && t.LongestAge() < t.Objective, Size: uint8(max(math.Ilogb(max(cost, 1)), 0))}
}

func (r Rank) compare(o Rank) int {
	return cmp.Or(cmp.Compare(r.Class, o.Class), -compareBools(r.Repeat, o.Repeat), cmp.Compare(r.Size, o.Size))
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// RankUse is an entry's demand in one rank, a part of Use.Requested.
type RankUse struct {
	Rank
	Requested float64 `json:"a"` // units
}

// RankShare is the leader's answer for one rank.
type RankShare struct {
	Rank
	Chance float64       `json:"x"`           // probability that a request is admitted
	Wait   time.Duration `json:"w,omitempty"` // until the rank can be expected to have room
}

// nest divides units a second among ranks, given each rank's demand in order. It returns the chance of
// each; what is admitted is the lesser of units and the sum of the demands.
func nest(units float64, demands []float64) []float64 {
	total := 0.0
	for _, d := range demands {
		total += d
	}
	out := make([]float64, len(demands))
	if total <= units || total <= 0 {
		for i := range out {
			out[i] = 1
		}
		return out
	}
	floor := floorShare * max(units, 0) / total
	left := max(units, 0) - floor*total
	for i, d := range demands {
		switch rest := d * (1 - floor); {
		case left > 0 && rest <= left:
			out[i] = 1
			left -= rest
		case d > 0:
			out[i] = floor + left/d
			left = 0
		default:
			out[i] = floor
		}
	}
	return out
}

// rankDemand is the demand in one rank, over all entries of a leader or at one entry.
type rankDemand struct {
	rank   Rank
	demand demand
	since  time.Time // since when the rank has had hardly any room; zero if it has
}

// rankDemands are the demands of a customer's ranks, in order.
type rankDemands []*rankDemand

// maxSize bounds the sizes that a report may name: a burst is at most 2^40 units.
const maxSize = 40

// of returns the demand of a rank, which is created if needed.
func (l *rankDemands) of(r Rank) *rankDemand {
	r.Class, r.Size = r.Class.Urgency().Class(), min(r.Size, maxSize)
	i, found := slices.BinarySearchFunc(*l, r, func(d *rankDemand, r Rank) int { return d.rank.compare(r) })
	if !found {
		*l = slices.Insert(*l, i, &rankDemand{rank: r})
	}
	return (*l)[i]
}

// rates returns the demand of each rank in units a second, and drops ranks that have not been asked
// for lately.
func (l *rankDemands) rates(now time.Time, decay time.Duration) []float64 {
	*l = slices.DeleteFunc(*l, func(d *rankDemand) bool { return now.Sub(d.demand.at) > rankMemory })
	out := make([]float64, len(*l))
	for i, d := range *l {
		out[i] = d.demand.rate(now, decay)
	}
	return out
}

// rankMemory is how long a rank without requests is kept.
const rankMemory = fallbackDuration

// shareOf returns what a leader's answer holds for a rank. A rank that it does not name has room if
// all earlier ones have, and else as much as the least of them.
func shareOf(shares []RankShare, rank Rank) RankShare {
	out := RankShare{Rank: rank, Chance: 1}
	for _, s := range shares {
		if s.Rank == rank {
			return s
		}
		if s.compare(rank) < 0 {
			out.Chance, out.Wait = min(out.Chance, s.Chance), max(out.Wait, s.Wait)
		}
	}
	return out
}

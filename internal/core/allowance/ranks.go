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
	Repeat bool          `json:"r,omitempty"` // the caller has tried before, and can still be answered in time
	Size   uint8         `json:"s,omitempty"` // the binary logarithm of the cost
}

// repeatAge is how long ago a caller must have tried first to count as one that comes back. None is
// told to do so sooner than after ReportInterval, and callers' clocks and links vary by less.
const repeatAge = ReportInterval / 2

// rankOf returns the rank of a request.
func rankOf(l urgency.Level, t urgency.Timing, cost float64) Rank {
	u := urgency.Of(l, t)
	return Rank{Class: u.Class(), Repeat: !u.Late && t.Age() >= repeatAge, Size: uint8(max(math.Ilogb(max(cost, 1)), 0))}
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
		case rest <= left:
			out[i] = 1
			left -= rest
		default:
			out[i] = floor + left/d
			left = 0
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

const (
	// rankMemory is how long a rank without requests is kept.
	rankMemory = fallbackDuration
	// likelyChance is the chance from which a request that comes back is more likely admitted than
	// not.
	likelyChance = 0.5
	// shortestExcess and longestExcess bound the time for which a customer is expected to stay over
	// its allowance. Nobody knows when that ends. Callers that are told less mostly come back to be
	// refused again; those that are told more leave room unused.
	shortestExcess = 3 * time.Second
	longestExcess  = 10 * time.Second
)

// waitFor returns the time until a rank can be expected to have room, from its chance and from the
// demand of it and of the earlier ranks, in units a second. While a rank has hardly any room the best
// estimate of how long that will last is how long it has lasted.
func (d *rankDemand) waitFor(now time.Time, chance, upTo float64, b *bucket) time.Duration {
	switch {
	case chance >= 1:
		d.since = time.Time{}
		return 0
	case chance >= likelyChance, upTo <= b.fill:
		d.since = time.Time{}
		debt := max(-b.level, 0) / b.fill
		return time.Duration(debt*float64(time.Second)) + time.Duration(float64(ReportInterval)/max(chance, likelyChance))
	case d.since.IsZero():
		d.since = now
	}
	wait := time.Duration(min(upTo/b.fill, maxPressure) * float64(retryAfter))
	return min(max(wait, now.Sub(d.since), shortestExcess), longestExcess)
}

// addRanks records the demand that an entry reported by rank.
func (a *account) addRanks(now time.Time, u Use) {
	unranked := u.Requested
	for _, r := range u.Ranks {
		requested := max(r.Requested, 0)
		a.ranks.of(r.Rank).demand.add(now, requested, demandDecay)
		unranked -= requested
	}
	a.unranked.add(now, max(unranked, 0), demandDecay)
}

// shares returns the shares of the ranks at the demand of all entries. Requests without a rank, those
// of entries that report none, get their proportional part: their entries go by the one chance. Left
// out are ranks whose requests are all admitted, but for the first of each class.
func (a *account) shares(now time.Time, total float64) []RankShare {
	demands := a.ranks.rates(now, demandDecay)
	ranked, other := 0.0, a.unranked.rate(now, demandDecay)
	for _, d := range demands {
		ranked += d
	}
	if ranked <= 0 {
		return nil
	}
	// The demand of all entries is the sum over those that are still known.
	scale := total / (ranked + other)
	for i := range demands {
		demands[i] *= scale
	}
	chances := nest(a.available()*ranked/(ranked+other), demands)
	var out []RankShare
	upTo := other * scale
	for i, d := range a.ranks {
		upTo += demands[i]
		s := RankShare{Rank: d.rank, Chance: chances[i], Wait: d.waitFor(now, chances[i], upTo, &a.bucket)}
		if s.Chance < 1 || i == 0 || d.rank.Class != a.ranks[i-1].rank.Class {
			out = append(out, s)
		}
	}
	return out
}

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

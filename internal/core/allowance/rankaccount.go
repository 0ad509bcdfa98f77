package allowance

import (
	"time"

	"github.com/cassiapass/cassiapass/internal/core/urgency"
)

// This file is the leader's side of ranks.

const (
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
	demands, chances, upTo := a.divide(now, total)
	var out []RankShare
	for i, demand := range demands {
		d := a.ranks[i]
		upTo += demand
		s := RankShare{Rank: d.rank, Chance: chances[i], Wait: d.waitFor(now, chances[i], upTo, &a.bucket)}
		if s.Chance < 1 || i == 0 || d.rank.Class != a.ranks[i-1].rank.Class {
			out = append(out, s)
		}
	}
	return out
}

// divide returns the demand and the chance of each rank, and the demand of requests without a rank,
// which comes before them, at the demand of all entries.
func (a *account) divide(now time.Time, total float64) (demands, chances []float64, other float64) {
	demands, other = a.ranks.rates(now, demandDecay), a.unranked.rate(now, demandDecay)
	ranked := 0.0
	for _, d := range demands {
		ranked += d
	}
	if ranked <= 0 {
		return nil, nil, total
	}
	// The demand of all entries is the sum over those that are still known.
	scale := total / (ranked + other)
	for i := range demands {
		demands[i] *= scale
	}
	return demands, nest(a.available()*ranked/(ranked+other), demands), other * scale
}

// urgencies returns what requests of each urgency get, in order.
func (a *account) urgencies(now time.Time, total float64) []UrgencyStatus {
	var out []UrgencyStatus
	demands, chances, _ := a.divide(now, total)
	for i, d := range demands {
		u := a.ranks[i].rank.Class.Urgency()
		if n := len(out); n == 0 || (urgency.Urgency{Level: out[n-1].Level, Late: out[n-1].Late}) != u {
			out = append(out, UrgencyStatus{Level: u.Level, Late: u.Late})
		}
		s := &out[len(out)-1]
		if d > 0 {
			s.Chance += (chances[i] - s.Chance) * d / (s.Demand + d)
			s.Demand += d
		}
	}
	return out
}

package allowance

import (
	"time"

	"github.com/cassiapass/cassiapass/internal/core/urgency"
)

// Ask is a request that an entry decides on.
type Ask struct {
	Cost float64 // units
	// Ordered is set if the customer's more urgent requests go first. Otherwise all have the same
	// chance.
	Ordered bool
	Level   urgency.Level
	Timing  urgency.Timing
}

// rank returns the request's place among those of its customer.
func (q Ask) rank() Rank { return rankOf(q.Level, q.Timing, q.Cost) }

// localRanks is the demand for one customer by rank at one entry.
type localRanks struct {
	recent     rankDemands      // averaged over longDemandDecay
	unreported map[Rank]float64 // units
	shares     []RankShare      // from the leader's last answer; none from an earlier release
}

func (l *localRanks) add(now time.Time, rank Rank, cost float64) {
	l.recent.of(rank).demand.add(now, cost, longDemandDecay)
	if l.unreported == nil {
		l.unreported = map[Rank]float64{}
	}
	l.unreported[rank] += cost
}

// report returns what was asked for since the last report.
func (l *localRanks) report() []RankUse {
	var out []RankUse
	for rank, requested := range l.unreported {
		out = append(out, RankUse{rank, requested})
	}
	clear(l.unreported)
	return out
}

// restore adds a report that was not answered to the next one.
func (l *localRanks) restore(sent []RankUse) {
	for _, s := range sent {
		l.unreported[s.Rank] += s.Requested
	}
}

// divide returns the shares of the ranks if this entry has so many units a second for all of them.
func (l *localRanks) divide(now time.Time, units float64) []RankShare {
	demands := l.recent.rates(now, longDemandDecay)
	out := make([]RankShare, len(demands))
	for i, chance := range nest(units, demands) {
		out[i] = RankShare{Rank: l.recent[i].rank, Chance: chance}
	}
	return out
}

// divideChance returns the shares of the ranks such that together they are admitted with one chance.
func (l *localRanks) divideChance(now time.Time, chance float64) []RankShare {
	total := 0.0
	for _, d := range l.recent.rates(now, longDemandDecay) {
		total += d
	}
	return l.divide(now, chance*total)
}

// order returns the shares that apply to a customer's requests: those of the leader's answer, of
// this entry's part while the leader is silent, or of the one chance that an earlier release tells.
func (a *localAccount) order(now time.Time, silent bool, chance float64) []RankShare {
	switch {
	case silent:
		return a.ranks.divide(now, a.fallback+a.saved(now)/creditDuration.Seconds())
	case now.Sub(a.chanceAt) > chanceMaxAge:
		return nil
	case len(a.ranks.shares) > 0:
		return a.ranks.shares
	}
	return a.ranks.divideChance(now, chance)
}

// gaveWayTo returns the next more urgent class that has a better chance than a rank, if any.
func gaveWayTo(shares []RankShare, own RankShare) (urgency.Class, bool) {
	for i := len(shares) - 1; i >= 0; i-- {
		if shares[i].Class < own.Class && shares[i].Chance > own.Chance {
			return shares[i].Class, true
		}
	}
	return 0, false
}

const (
	// answerMargin is what a request needs of its objective when it comes back: an endpoint that is
	// not full begins its answer within some 100 ms.
	answerMargin = 100 * time.Millisecond
	// comebackShare is the part of its remaining time after which a caller is told to try again at
	// the latest. What is left is for the answer.
	comebackShare = 2.0 / 3
)

// comeBack returns the time after which a refused request should be tried again: within its
// objective if its rank is expected to have room by then, otherwise once that of late
// requests is. Callers are spread, so that they do not come back at once.
func comeBack(q Ask, shares []RankShare, own RankShare, draw float64) time.Duration {
	due := q.Timing.Due() - answerMargin
	if !q.Timing.Late() && own.Wait <= due {
		return own.Wait + time.Duration(draw*float64(due-own.Wait))
	}
	late := shareOf(shares, Rank{Class: urgency.Urgency{Level: q.Level, Late: true}.Class(), Size: own.Size})
	after := time.Duration((1 + draw) * float64(max(own.Wait, late.Wait)))
	latest := time.Duration(comebackShare * float64(q.Timing.Remaining()))
	if after > latest {
		return time.Duration((1 + draw) / 2 * float64(latest))
	}
	return after
}

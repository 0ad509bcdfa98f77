package allowance

import (
	"cmp"
	"slices"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/urgency"
)

// This file divides what a customer may use among the classes of urgency of its requests. The load
// that it answers: a customer asks for several times its allowance, by kinds of requests of which
// some are of no use after half a second and others can wait or come back. With one chance for all,
// most of the urgent ones are refused first and come back late, when they use what a fresh urgent
// request could have used in time.
//
// Protection levels are nested: the units are given to the classes in the order of urgency, each up
// to its demand, so that all of them are used whatever the mix. The sum over classes is what one
// chance for all would have admitted, and the bound in the package comment does not change.

// floorShare is the part of what one chance for all would give to a class that the class gets
// whatever more urgent classes ask for. With it a level that others crowd out still sees some of its
// requests answered, and its callers learn when there is room again.
const floorShare = 0.1

// ClassUse is an entry's demand in one class of urgency, a part of Use.Requested.
type ClassUse struct {
	Class     urgency.Class `json:"k"`
	Requested float64       `json:"a"` // units
}

// ClassShare is the leader's answer for one class of urgency.
type ClassShare struct {
	Class  urgency.Class `json:"k"`
	Chance float64       `json:"x"`           // probability that a request is admitted
	Wait   time.Duration `json:"w,omitempty"` // until the class can be expected to have room
}

// nest divides units a second among classes, given each class's demand in the order of urgency. It
// returns the chance of each; what is admitted is the lesser of units and the sum of the demands.
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
		out[i] = floor
		if d > 0 {
			given := min(left, d*(1-floor))
			out[i] += given / d
			left -= given
		}
	}
	return out
}

// classDemand is the demand in one class, over all entries of a leader or at one entry.
type classDemand struct {
	class  urgency.Class
	demand demand
	since  time.Time // since when it and more urgent classes have asked for more than the rate; zero if they do not
}

// classDemands are the demands of a customer's classes, in the order of urgency.
type classDemands []*classDemand

// of returns the demand of a class, which is created if needed.
func (l *classDemands) of(c urgency.Class) *classDemand {
	c = c.Urgency().Class() // bounds what a newer process may send
	i, found := slices.BinarySearchFunc(*l, c, func(d *classDemand, c urgency.Class) int { return cmp.Compare(d.class, c) })
	if !found {
		*l = slices.Insert(*l, i, &classDemand{class: c})
	}
	return (*l)[i]
}

// rates returns the demand of each class in units a second, and drops classes that have not been
// asked for lately.
func (l *classDemands) rates(now time.Time, decay time.Duration) []float64 {
	*l = slices.DeleteFunc(*l, func(d *classDemand) bool { return now.Sub(d.demand.at) > classMemory })
	out := make([]float64, len(*l))
	for i, d := range *l {
		out[i] = d.demand.rate(now, decay)
	}
	return out
}

const (
	// classMemory is how long a class without requests is kept.
	classMemory = fallbackDuration
	// likelyChance is the chance from which a request that comes back is more likely admitted than
	// not.
	likelyChance = 0.5
	// longestWait bounds the time after which a class is said to have room: demand beyond an
	// allowance comes and goes within some such time, and nobody knows when it ends.
	longestWait = 10 * time.Second
)

// waitFor returns the time until a class can be expected to have room, from its chance and from the
// demand of it and of the more urgent classes, in units a second. While a class has hardly any room
// the best estimate of how long that will last is how long it has lasted.
func (d *classDemand) waitFor(now time.Time, chance, upTo, fill float64) time.Duration {
	switch {
	case chance >= 1:
		d.since = time.Time{}
		return 0
	case chance >= likelyChance:
		d.since = time.Time{}
		return time.Duration(float64(ReportInterval) / chance)
	case d.since.IsZero():
		d.since = now
	}
	wait := time.Duration(min(upTo/fill, maxPressure) * float64(retryAfter))
	return min(max(wait, now.Sub(d.since)), longestWait)
}

// addClasses records the demand that an entry reported by class. Demand of an entry that reports
// none counts as of no class.
func (a *account) addClasses(now time.Time, u Use) {
	unclassed := u.Requested
	for _, c := range u.Classes {
		requested := max(c.Requested, 0)
		a.classes.of(c.Class).demand.add(now, requested, demandDecay)
		unclassed -= requested
	}
	a.unclassed.add(now, max(unclassed, 0), demandDecay)
}

// shares returns the shares of the classes at the demand of all entries. Requests of no class, of
// which an earlier release does not say how urgent they are, get their proportional part first: their
// entries go by the one chance.
func (a *account) shares(now time.Time, total float64) []ClassShare {
	demands := a.classes.rates(now, demandDecay)
	classed, other := 0.0, a.unclassed.rate(now, demandDecay)
	for _, d := range demands {
		classed += d
	}
	if classed <= 0 {
		return nil
	}
	// The demand of all entries is the sum over those that are still known.
	scale := total / (classed + other)
	for i := range demands {
		demands[i] *= scale
	}
	chances := nest(a.available()*classed/(classed+other), demands)
	out := make([]ClassShare, len(demands))
	upTo := other * scale
	for i, d := range a.classes {
		upTo += demands[i]
		out[i] = ClassShare{Class: d.class, Chance: chances[i], Wait: d.waitFor(now, chances[i], upTo, a.fill)}
	}
	return out
}

// shareOf returns what a leader's answer holds for a class. A class that it does not name has not
// been asked for lately: it has room if all more urgent ones have, and else what the least lucky
// class has.
func shareOf(shares []ClassShare, class urgency.Class) ClassShare {
	out := ClassShare{Class: class, Chance: 1}
	for _, s := range shares {
		if s.Class == class {
			return s
		}
		if s.Class < class {
			out.Chance, out.Wait = min(out.Chance, s.Chance), max(out.Wait, s.Wait)
		}
	}
	return out
}

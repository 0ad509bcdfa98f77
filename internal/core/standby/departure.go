package standby

import (
	"cmp"
	"slices"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/urgency"
)

const (
	// endMargin is the factor on the time that a run still needs when it is compared with the time
	// that its endpoint stays: answers are often half as long again as expected.
	endMargin = 1.5
	// departureReserve is kept for the move itself and for a removal that comes early.
	departureReserve = 200 * time.Millisecond
)

// Departing is a run at an endpoint that is removed at a known time.
type Departing struct {
	Level  urgency.Level
	Needs  time.Duration // until its expected end
	Caller time.Duration // until its caller's limit
}

// EndsInTime reports whether a run is expected to end before its endpoint does.
func (d Departing) EndsInTime(stays time.Duration) bool {
	return time.Duration(float64(d.Needs)*endMargin)+departureReserve <= stays
}

// Departures returns the indexes of the runs that leave an endpoint that stays for a time, in the order
// in which they are moved: the most urgent first, and among them those whose callers can wait least. Runs
// that end in time stay.
func Departures(stays time.Duration, runs []Departing) []int {
	var out []int
	for i, r := range runs {
		if !r.EndsInTime(stays) && r.Caller > MinLeft {
			out = append(out, i)
		}
	}
	slices.SortStableFunc(out, func(a, b int) int {
		return cmp.Or(cmp.Compare(runs[a].Level, runs[b].Level), cmp.Compare(runs[a].Caller-runs[a].Needs, runs[b].Caller-runs[b].Needs))
	})
	return out
}

// MovesAtOnce is the number of runs that one entry moves from a departing endpoint at once: more only
// queue on the endpoint's link, where the most urgent should be first.
const MovesAtOnce = rescuesPerSource

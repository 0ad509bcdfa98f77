package urgency

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLevelsOfUnusualPriorities(t *testing.T) {
	is := is.New(t)
	is.Equal(LevelOf(-1), Level(0))
	is.Equal(LevelOf(1), Level(1))
	is.Equal(LevelOf(1_000_000_000), LastLevel)
}

func TestLateRequestsComeAfterAllOthers(t *testing.T) {
	is := is.New(t)
	is.True(Urgency{Level: 0}.Compare(Urgency{Level: 1}) < 0)
	is.True(Urgency{Level: 0, Late: true}.Compare(Urgency{Level: 2}) > 0)
	is.True(Urgency{Level: 0, Late: true}.Compare(Urgency{Level: 1, Late: true}) < 0)
	is.Equal(Urgency{Level: 3}.Compare(Urgency{Level: 3}), 0)
}

func TestWeightFallsWithTheLevel(t *testing.T) {
	is := is.New(t)
	is.True(Level(0).Weight() > Level(1).Weight())
	is.True(Level(1).Weight() > Level(2).Weight())
	is.Equal(LastLevel.Weight(), 1.0)
}

func TestClassesAreInTheOrderOfUrgency(t *testing.T) {
	is := is.New(t)
	for c := range Class(Classes) {
		is.Equal(c.Urgency().Class(), c)
		if c > 0 {
			is.True((c - 1).Urgency().Compare(c.Urgency()) < 0)
		}
	}
	is.Equal(Class(255).Urgency(), Urgency{Level: LastLevel, Late: true}) // from a newer process
}

// Guards against repeats of a caller that count as able to meet an objective that has passed.
func TestLateFromTheTimeLeft(t *testing.T) {
	const limit, objective = 12 * time.Second, 500 * time.Millisecond
	const earliest = limit * 4 / 5 // with which a first try may come
	for _, c := range []struct {
		timing Timing
		due    time.Duration
		late   bool
	}{
		{Timing{Limit: limit, Objective: objective}, objective, false},                  // no time given
		{Timing{Limit: limit, Objective: objective, Left: earliest}, objective, false},  // first try
		{Timing{Limit: limit, Objective: objective, Left: 2 * limit}, objective, false}, // more than the route allows
		{Timing{Limit: limit, Objective: objective, Left: earliest - 300*time.Millisecond}, 200 * time.Millisecond, false},
		{Timing{Limit: limit, Objective: objective, Left: earliest - 490*time.Millisecond}, 10 * time.Millisecond, true},
		{Timing{Limit: limit, Objective: objective, Left: time.Second}, 0, true},
		{Timing{Limit: limit, Left: time.Second}, time.Second, false}, // no objective
	} {
		is := is.New(t)
		is.Equal(c.timing.Due(), c.due)
		is.Equal(Of(1, c.timing), Urgency{Level: 1, Late: c.late})
	}
}

// Guards against first tries that count as late, and come after less urgent ones: callers give up
// after 0.85 to 1 times their route's limit.
func TestCallersThatGiveUpEarlierAreNotLate(t *testing.T) {
	is := is.New(t)
	const limit, objective = 12 * time.Second, 500 * time.Millisecond
	for _, left := range []time.Duration{limit, 11 * time.Second, 10200 * time.Millisecond} {
		is.True(!Timing{Limit: limit, Objective: objective, Left: left}.Late()) // left
	}
	is.True(Timing{Limit: limit, Objective: objective, Left: 8 * time.Second}.Late())
}

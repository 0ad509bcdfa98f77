package urgency

import (
	"testing"

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

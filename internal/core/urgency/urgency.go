// Package urgency defines how urgent a request is, for all decisions that put one request before
// another. It does no I/O and reads no clock.
package urgency

import "cmp"

// Level is how urgent a kind of request is: 0 is the most urgent.
type Level uint8

// LastLevel is the least urgent level. Priorities beyond it count as it.
const LastLevel Level = 9

// Levels is the number of levels.
const Levels = int(LastLevel) + 1

// LevelOf returns the level of a priority as configured, of a customer if it has one, else of a
// route. A negative priority counts as 0.
func LevelOf(priority int) Level { return Level(min(max(priority, 0), int(LastLevel))) }

// Urgency is how urgent one request is.
type Urgency struct {
	Level Level
	// Late is set once the request can no longer be answered within its objective.
	Late bool
}

// Compare orders requests, the most urgent first: all that can be answered within their objective
// before the late ones, by level within both.
func (u Urgency) Compare(o Urgency) int {
	switch {
	case u.Late == o.Late:
		return cmp.Compare(u.Level, o.Level)
	case u.Late:
		return 1
	}
	return -1
}

// levelWeight is the weight of a level relative to the next less urgent one: three requests of a
// level count more than one of the level before, so that many are not held up by a few.
const levelWeight = 2.5

// Weight returns how much a request of a level counts where the benefit of an action is summed over
// requests, relative to level 2 and beyond.
func (l Level) Weight() float64 {
	w := 1.0
	for ; l < 2; l++ {
		w *= levelWeight
	}
	return w
}

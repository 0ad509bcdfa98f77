// Package urgency defines how urgent a request is, for all decisions that put one request before
// another. It does no I/O and reads no clock.
//
// The load that it answers: more requests than a resource has room for, of kinds that differ in
// how long an answer is of use. A request is owed an answer within its objective; once that has
// become impossible it is owed one within its caller's limit, after all that can still be answered
// within theirs.
package urgency

import (
	"cmp"
	"time"
)

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

// Of returns the urgency of a request with a level.
func Of(l Level, t Timing) Urgency { return Urgency{Level: l, Late: t.Late()} }

// Compare orders requests, the most urgent first: all that can be answered within their objective
// before the late ones, by level within both.
func (u Urgency) Compare(o Urgency) int { return cmp.Compare(u.Class(), o.Class()) }

// Class numbers the urgencies in the order of Compare.
type Class uint8

// Classes is the number of classes.
const Classes = 2 * Levels

// Class returns the number of an urgency.
func (u Urgency) Class() Class {
	if u.Late {
		return Class(Levels) + Class(u.Level)
	}
	return Class(u.Level)
}

// Urgency returns the urgency that a class numbers. A number beyond the last class counts as it.
func (c Class) Urgency() Urgency {
	c = min(c, Class(Classes-1))
	if c >= Class(Levels) {
		return Urgency{Level: Level(c) - Level(Levels), Late: true}
	}
	return Urgency{Level: Level(c)}
}

// Timing is what is known of a caller's time when its request arrives.
type Timing struct {
	Limit     time.Duration // the route's time limit, which callers have at their first try
	Objective time.Duration // answers within it count fully; 0 if there is none
	Left      time.Duration // until the caller gives up; 0 if not known
}

// minAnswerTime is the time in which not even an idle endpoint answers.
const minAnswerTime = 20 * time.Millisecond

// limitSpread is the share of the route's limit by which callers may give up earlier from the outset.
const limitSpread = 0.2

// Age returns how long ago the caller tried first, at least: callers that repeat a request have less
// time left than the route's limit, less limitSpread of it.
func (t Timing) Age() time.Duration {
	if t.Left <= 0 {
		return 0
	}
	return max(t.Limit-time.Duration(limitSpread*float64(t.Limit))-t.Left, 0)
}

// LongestAge returns how long ago the caller tried first, at most: if it had the route's whole limit.
func (t Timing) LongestAge() time.Duration {
	if t.Left <= 0 {
		return 0
	}
	return max(t.Limit-t.Left, 0)
}

// Late reports whether the objective can no longer be met.
func (t Timing) Late() bool { return t.Objective > 0 && t.Due() < minAnswerTime }

// Due returns the time until the objective has passed, without an objective until the limit; 0 if
// it has passed.
func (t Timing) Due() time.Duration {
	if t.Objective <= 0 {
		return t.Remaining()
	}
	return max(t.Objective-t.Age(), 0)
}

// Remaining returns the time until the caller gives up.
func (t Timing) Remaining() time.Duration {
	if t.Left <= 0 {
		return t.Limit
	}
	return min(t.Left, t.Limit)
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

package fleet

import "time"

// Objective is when an answer is on time. A zero part is not asked for.
type Objective struct {
	First time.Duration // until the first event
	Gap   time.Duration // between events
	Limit time.Duration // until the end of the answer: the caller leaves
}

// Expectation is what is expected of a candidate where endpoints differ in speed. The zero value is
// that of an endpoint like all others.
type Expectation struct {
	Factor float64       // how long work takes there now, relative to the usual; 0 counts as 1
	Extra  float64       // by how many usual requests those of this entry there ask for more than their number says
	First  time.Duration // expected until the first event; 0 if not known
	Gap    time.Duration // expected from one event to the next; 0 if not known
	Finish time.Duration // expected until the end of the answer; 0 if not known
}

func (x Expectation) factor() float64 {
	if x.Factor <= 0 {
		return 1
	}
	return x.Factor
}

const (
	// crowdedShare is the share of an endpoint's slots in use from which on it is not expected to
	// meet an objective: other entries may have taken the rest since they were last heard of.
	crowdedShare = 0.9
	// maxFailing is the share of failures from which on an endpoint is not expected to either: several
	// lately. One alone counts by its penalty, less than what a slow endpoint takes longer.
	maxFailing = 0.25
	// drawScale is the resolution of a draw by speed.
	drawScale = 1 << 30
)

// load returns the share of the candidate's slots in use, by the work of the requests there as far
// as it is known.
func (c Candidate) load() float64 {
	return max(float64(c.Running)+c.Expect.Extra, 0) / float64(max(c.Slots, 1))
}

// finish returns the expected time of a request there, as a share of its time at an idle endpoint of
// the usual pace, with the penalties of score. Among endpoints of the usual pace it orders as score.
func (c Candidate) finish() float64 {
	s := c.Expect.factor() * (1 + c.load())
	if !c.SameZone {
		s += otherZonePenalty
	}
	return s + failingWeight*c.Failing
}

// meets reports whether the candidate is expected to begin and end its answer within an objective.
func (c Candidate) meets(objective Objective) bool {
	if c.Failing >= maxFailing || float64(c.Running) >= crowdedShare*float64(c.Slots) {
		return false
	}
	within := func(d, limit time.Duration) bool { return limit <= 0 || d <= limit }
	return within(c.Expect.First, objective.First) && within(c.Expect.Gap, objective.Gap) && within(c.Expect.Finish, objective.Limit)
}

// ChooseByFinish returns the index of the candidate to use, or -1 if there is none, where endpoints
// differ in speed. Those that are expected to begin the answer within the objective go before the
// others. Of them it compares two that are drawn by speed, like Choose: a faster one gets more of the
// requests, and none gets all. It uses the candidates as working memory.
func ChooseByFinish(cands []Candidate, objective Objective, rand func(int) int) int {
	if len(cands) < 2 {
		return len(cands) - 1
	}
	setWeights(cands, objective)
	a := draw(cands, rand)
	cands[a].weight = 0
	if b := draw(cands, rand); b >= 0 && cands[b].finish() < cands[a].finish() {
		return b
	}
	return a
}

// setWeights sets how often each candidate is drawn: by the square of its speed, so that two slow ones
// are rarely drawn where a fast one is left, if it meets the objective, or if none does.
func setWeights(cands []Candidate, objective Objective) {
	met := false
	for i := range cands {
		if cands[i].meets(objective) {
			met = true
			break
		}
	}
	for i := range cands {
		c := &cands[i]
		c.weight = 0
		if !met || c.meets(objective) {
			c.weight = 1 / (c.Expect.factor() * c.Expect.factor())
		}
	}
}

// draw draws a candidate by weight. It returns -1 if none has any.
func draw(cands []Candidate, rand func(int) int) int {
	sum := 0.0
	for i := range cands {
		sum += cands[i].weight
	}
	if sum == 0 {
		return -1
	}
	at, last := sum*float64(rand(drawScale))/drawScale, -1
	for i := range cands {
		if cands[i].weight == 0 {
			continue
		}
		last = i
		if at -= cands[i].weight; at < 0 {
			break
		}
	}
	return last
}

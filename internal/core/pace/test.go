package pace

import (
	"math"
	"time"
)

const (
	// errorRate is the probability with which, in one run of a test over all endpoints, an endpoint
	// as fast as its peers is called slow, and the same for fast.
	errorRate = 0.001
	// deviation is the standard deviation of the log ratio of one independent observation: a host
	// that works 2.5 times as slowly for a sixth of the time has 0.33.
	deviation = 0.35
	// tested is the log ratio that the test tells from none: twice as slow, or twice as fast.
	tested = math.Ln2
	// maxStep is what one independent observation adds at most, in nats. Slow moments of hosts make
	// large log ratios more frequent than a normal distribution has them.
	maxStep = 2.5
	// minUnits is the number of independent observations from which on their mean counts as a whole.
	minUnits = 5
	// excess is how far beyond the threshold a test goes at most, in nats, so that a change shows
	// soon.
	excess = 2
)

// verdict is what a test says of an endpoint.
type verdict uint8

const (
	usual verdict = iota
	slow
	fast
)

// test is a pair of cumulative sum tests of whether an endpoint works at the usual pace or at half
// or twice that. The sums are log likelihood ratios of normal log ratios, never below 0.
type test struct {
	slow, fast float64
	units      float64 // independent observations
	last       verdict
	// changed is what was observed since a sum was 0 last: since the endpoint changed, if it did.
	changed struct{ units, sum float64 }
}

// threshold returns the sum from which on a test decides, if it is made for a number of endpoints.
func threshold(endpoints int) float64 { return math.Log(2 * float64(max(endpoints, 1)) / errorRate) }

// fade weakens what was observed earlier.
func (t *test) fade(passed time.Duration) {
	half := halfLife
	if t.last != usual {
		half = proofHalfLife
	}
	kept := math.Exp2(-passed.Seconds() / half.Seconds())
	t.slow, t.fast, t.units = t.slow*kept, t.fast*kept, t.units*kept
}

// observe adds independent observations with a mean log ratio. overall is the log ratio by all that
// was observed, whose reference is better known than it was earlier: where the new observations
// agree with it, the sum is at least what all of them prove.
func (t *test) observe(ratio, overall, units, threshold float64) {
	t.units += units
	step := func(sum, ratio, overall float64) float64 {
		llr := units * evidence(ratio)
		sum += llr
		if llr > 0 && t.units >= minUnits {
			sum = max(sum, t.units*evidence(overall))
		}
		return min(max(sum, 0), threshold+excess)
	}
	t.slow, t.fast = step(t.slow, ratio, overall), step(t.fast, -ratio, -overall)
	t.changed.units, t.changed.sum = t.changed.units+units, t.changed.sum+units*ratio
	if t.slow == 0 && t.fast == 0 {
		t.changed.units, t.changed.sum = 0, 0
	}
}

// ratio returns the mean log ratio since the endpoint changed.
func (t *test) ratio() float64 { return t.changed.sum / max(t.changed.units, 1) }

// evidence returns the log likelihood ratio of one independent observation.
func evidence(ratio float64) float64 {
	return min(tested*(ratio-tested/2)/(deviation*deviation), maxStep)
}

// decide returns what the test says. A verdict lasts until half of what proved it is undone.
func (t *test) decide(threshold float64) verdict {
	switch {
	case t.slow >= threshold, t.last == slow && t.slow > threshold/2:
		t.last = slow
	case t.fast >= threshold, t.last == fast && t.fast > threshold/2:
		t.last = fast
	default:
		t.last = usual
	}
	return t.last
}

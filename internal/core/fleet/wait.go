package fleet

import "time"

const (
	// holdShare is the share of a caller's time that a request may wait for an
	// endpoint. What waits longer could hardly be answered in what is left, and
	// the caller has better use for the rest of its time.
	holdShare = 0.45
	// patienceShare is the share of a caller's patience with a silent stream after
	// which it is told to come back instead. One that leaves by itself learns
	// nothing and is lost; one that is refused asks again when its model may be
	// there. A cold start takes 1 s, and the least patience is 2 s.
	patienceShare = 0.6
	// comeBack is when a refused caller should try again, drawn between half
	// and one and a half times this, so that those who were refused together do
	// not return together. A load from disk takes half a second.
	comeBack = 800 * time.Millisecond
	// queueShare is how much of an engine's slots may wait in its own queue: it
	// orders by urgency across all entries, which no entry can do alone.
	queueShare = 0.25
)

// Hold returns how long a request may wait for an endpoint from now on, with left
// of its caller's time. patience is the caller's patience with a silent stream, 0
// if it has no such limit; age is how long ago the request arrived.
func Hold(left, patience, age time.Duration) time.Duration {
	hold := time.Duration(float64(left) * holdShare)
	if patience > 0 {
		hold = min(hold, time.Duration(float64(patience)*patienceShare)-age)
	}
	return max(hold, 0)
}

// ComeBack returns after what time a refused caller should try again. draw returns
// a random number below its argument.
func ComeBack(draw func(int64) int64) time.Duration {
	return comeBack/2 + time.Duration(draw(int64(comeBack)))
}

// Comes reports whether a model that is ready in the given time comes for a request that
// may wait for so long. Known beforehand, a wait in vain is spared: the caller learns at
// once when to come back.
func Comes(ready, hold time.Duration) bool { return ready <= hold }

// etaSpread is the share of an ETA over which those who were refused are
// spread after it, so that they come neither too early nor together.
const etaSpread = 0.1

// ComeBackAt returns after what time a caller should try again whose model is ready in
// the given time at the earliest.
func ComeBackAt(ready time.Duration, draw func(int64) int64) time.Duration {
	spread := max(time.Duration(float64(ready)*etaSpread), comeBack/2)
	return ready + time.Duration(draw(int64(spread)))
}

// Full reports whether an endpoint has as many requests as it should be handed.
func Full(running, slots int) bool {
	return float64(running) >= float64(slots)*(1+queueShare)
}

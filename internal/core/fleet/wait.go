package fleet

import "time"

const (
	// holdShare is the share of a caller's time limit that a request may wait for an
	// endpoint. After a longer wait it could hardly be answered in the time left, and
	// the caller can make better use of that time.
	holdShare = 0.45
	// waitLimitShare is the share of a caller's wait limit for a silent stream after which
	// the request is refused with a time to retry after. A caller that disconnects by itself
	// does not learn when to retry and is lost; one that is refused asks again when its
	// model may be ready. A cold start takes 1 s, and the shortest wait limit is 2 s.
	waitLimitShare = 0.6
	// retryAfter is the mean time after which a refused caller should retry, drawn between
	// half and one and a half times this, so that callers that were refused at the same time
	// do not retry at the same time. A load from disk takes half a second.
	retryAfter = 800 * time.Millisecond
	// queueShare is the share of an engine's slots that may wait in its own queue: the
	// engine orders by urgency across all entries, which no entry can do alone.
	queueShare = 0.25
)

// ReplicaWait is how long a request waits for another endpoint to hold its model while all that do
// turn it away: a cold start, and the time in which the leader learns of them.
const ReplicaWait = coldStart + 200*time.Millisecond

// MaxWait returns how long a request may wait for an endpoint from now on. left is the time
// left until its caller's limit, waitLimit the caller's wait limit for a silent stream, 0 if
// it has none, and age the time since the request arrived.
func MaxWait(left, waitLimit, age time.Duration) time.Duration {
	hold := time.Duration(float64(left) * holdShare)
	if waitLimit > 0 {
		hold = min(hold, time.Duration(float64(waitLimit)*waitLimitShare)-age)
	}
	return max(hold, 0)
}

// RetryAfter returns the time after which a refused caller should retry. draw returns a random
// number below its argument.
func RetryAfter(draw func(int64) int64) time.Duration {
	return retryAfter/2 + time.Duration(draw(int64(retryAfter)))
}

// ReadyInTime reports whether a model that is ready in the given time is ready for a request that
// may wait for hold. If not, the caller is refused at once with the time to retry after,
// instead of after a useless wait.
func ReadyInTime(ready, hold time.Duration) bool { return ready <= hold }

const (
	// admitShare is the part of the time that a request may wait up to which the expected wait for
	// a place may come. Expectations vary, and what is admitted should be served.
	admitShare = 0.8
	// giveUpFactor is how much longer than the time left the expected wait of a request must be
	// that waits already: it keeps its place while the expectation only varies.
	giveUpFactor = 1.5
)

// WaitsInVain reports whether a request should be refused at once, since the place for which it
// would wait is expected too late. left is how long it may still wait; waits is set if it has
// begun to.
func WaitsInVain(expected, left time.Duration, waits bool) bool {
	if waits {
		return float64(expected) > giveUpFactor*float64(left)
	}
	return float64(expected) > admitShare*float64(left)
}

// etaSpread is the share of an ETA over which the retries of refused callers are spread
// after it, so that they arrive neither before it nor all at the same time.
const etaSpread = 0.1

// RetryAfterReady returns the time after which a caller should retry whose model is ready in the
// given time at the earliest.
func RetryAfterReady(ready time.Duration, draw func(int64) int64) time.Duration {
	spread := max(time.Duration(float64(ready)*etaSpread), retryAfter/2)
	return ready + time.Duration(draw(int64(spread)))
}

// Full reports whether an endpoint has as many requests as should be sent to it.
func Full(running, slots int) bool {
	return float64(running) >= float64(slots)*(1+queueShare)
}

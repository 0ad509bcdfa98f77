package standby

import "time"

const (
	// silenceFactor is how many times the route's own measure (objective before the first event, pause
	// after it) an endpoint may stay silent: an answer within it may still be late for no fault.
	silenceFactor = 2
	// minSilence is the least time without an event that counts as a fault. Endpoints that read the long
	// prompts of other requests pause for up to about half a second.
	minSilence = 600 * time.Millisecond
	// patienceShare is the part of the time after which the caller abandons a silent stream that may
	// pass before the run is rescued. The rest is for the move, another silence and the next event.
	patienceShare = 0.4
	// gapFactor is how many times the mean pause of the stream itself counts as a fault.
	gapFactor = 6
)

// Pace is what a stream's events are measured by.
type Pace struct {
	Objective time.Duration // of the route, until the first event
	MaxGap    time.Duration // of the route, between events
	Patience  time.Duration // the caller abandons the stream after it without events; 0 if it does not
	Events    int           // that came at this endpoint
	Mean      time.Duration // mean pause between them
	Load      float64       // requests at the endpoint / its slots
}

// SilenceLimit returns how long an endpoint may send no event until that is a fault: twice what the
// route asks for, longer where the stream's own pace or requests that wait at the endpoint explain it,
// and well before the caller gives up. A wrong suspicion costs the move of the run: a request that is
// still waiting there stays where it is.
func SilenceLimit(p Pace) time.Duration {
	want := p.Objective
	if p.Events > 0 {
		want = p.MaxGap
	}
	limit := max(minSilence, silenceFactor*want)
	if p.Events > 1 {
		limit = max(limit, gapFactor*p.Mean)
	}
	if p.Events == 0 && p.Load > 1 {
		limit = time.Duration(float64(limit) * p.Load)
	}
	if p.Patience > 0 {
		limit = min(limit, time.Duration(float64(p.Patience)*patienceShare))
	}
	return limit
}

const (
	// rescuesPerSource bounds the moves that one entry asks one endpoint for at once. When a whole
	// endpoint slows down, moving all of its runs loads the others and the links for no gain.
	rescuesPerSource = 4
	// rescuesInAll bounds them over all endpoints: entries have a tenth of a core, and a move takes a
	// connection and some milliseconds.
	rescuesInAll = 16
	// rescueRoom is the load up to which an endpoint takes moved runs: beyond it they wait there.
	rescueRoom = 1.0
)

// Rescues counts the moves in progress. It is not safe for concurrent use.
type Rescues[K comparable] struct {
	bySource map[K]int
	all      int
}

// Begin reports whether another move from a source may begin now, and counts it.
func (r *Rescues[K]) Begin(source K) bool {
	if r.all >= rescuesInAll || r.bySource[source] >= rescuesPerSource {
		return false
	}
	if r.bySource == nil {
		r.bySource = map[K]int{}
	}
	r.bySource[source]++
	r.all++
	return true
}

// End ends the count of a move.
func (r *Rescues[K]) End(source K) {
	r.all--
	if r.bySource[source]--; r.bySource[source] <= 0 {
		delete(r.bySource, source)
	}
}

// Target returns the index of the endpoint to which a run is moved, -1 if none has room: the holder of
// its copy, if there is one with room, else the least loaded in the same zone, else in any.
func Target(holders []Holder, hasCopy func(Holder) bool) int {
	best := -1
	rank := func(h Holder) (bool, bool, float64) {
		return hasCopy(h), h.SameZone, float64(h.Running) / float64(max(1, h.Slots))
	}
	for i, h := range holders {
		c, z, load := rank(h)
		if load >= rescueRoom {
			continue
		}
		if best < 0 {
			best = i
			continue
		}
		bc, bz, bload := rank(holders[best])
		switch {
		case c != bc:
			if c {
				best = i
			}
		case z != bz:
			if z {
				best = i
			}
		case load < bload:
			best = i
		}
	}
	return best
}

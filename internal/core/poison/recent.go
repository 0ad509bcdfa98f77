package poison

import "time"

const (
	// recentStays is the least time for which an answer is remembered. Ends that strike many
	// endpoints together come within some seconds.
	recentStays = 10 * time.Second
	// mostRecent bounds each of the two halves of what is remembered, 100 kB: 400 answers a
	// second at one entry for recentStays.
	mostRecent = 4096
)

// Recent remembers which requests were answered whole lately: one of many alike may be under
// the end of an endpoint, and is known by the others to be innocent. It is not safe for
// concurrent use.
type Recent struct {
	new, old map[Fingerprint]struct{}
	turned   time.Time
	begun    time.Time
}

// NewRecent returns an empty Recent.
func NewRecent(now time.Time) *Recent {
	return &Recent{new: map[Fingerprint]struct{}{}, begun: now}
}

// Cold reports whether it has not remembered for long enough to know what is often answered.
func (r *Recent) Cold(now time.Time) bool { return now.Sub(r.begun) < recentStays }

// Answered notes a whole answer.
func (r *Recent) Answered(now time.Time, f Fingerprint) {
	r.turn(now)
	r.new[f] = struct{}{}
}

// Has reports whether a request was answered whole lately.
func (r *Recent) Has(now time.Time, f Fingerprint) bool {
	r.turn(now)
	_, young := r.new[f]
	_, old := r.old[f]
	return young || old
}

// turn drops the older half when the younger one is old or full.
func (r *Recent) turn(now time.Time) {
	if now.Sub(r.turned) < recentStays && len(r.new) < mostRecent {
		return
	}
	if now.Sub(r.turned) >= 2*recentStays {
		r.new = nil // as old as the half that is dropped
	}
	r.old, r.new, r.turned = r.new, map[Fingerprint]struct{}{}, now
}

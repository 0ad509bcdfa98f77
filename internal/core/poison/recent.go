package poison

import "time"

const (
	// recentRetention is the minimum time for which an answer is remembered. A failure that ends
	// many endpoints does so within a few seconds.
	recentRetention = 10 * time.Second
	// recentPartRetention is the same for parts of prompts. It is short: a part that ends endpoints
	// from some moment on must become suspect soon after its last answer.
	recentPartRetention = time.Second
	// maxRecent bounds each of the two generations, 100 kB: 400 answers a second at one entry
	// for recentRetention.
	maxRecent = 4096
)

// Recent remembers which requests were answered completely within the last seconds. If one of
// many identical requests is under the end of an endpoint, the answers to the others show that
// it is not the cause. It is not safe for concurrent use.
type Recent struct {
	newer, older map[Fingerprint]struct{}
	rotatedAt    time.Time
	startedAt    time.Time
	retention    time.Duration
}

// NewRecent returns an empty Recent for requests.
func NewRecent(now time.Time) *Recent {
	return &Recent{newer: map[Fingerprint]struct{}{}, startedAt: now, retention: recentRetention}
}

// NewRecentParts returns an empty Recent for parts of prompts.
func NewRecentParts(now time.Time) *Recent {
	return &Recent{newer: map[Fingerprint]struct{}{}, startedAt: now, retention: recentPartRetention}
}

// Cold reports whether r has been in use for less than recentRetention, too short to know which
// requests are often answered.
func (r *Recent) Cold(now time.Time) bool { return now.Sub(r.startedAt) < r.retention }

// Answered records a complete answer.
func (r *Recent) Answered(now time.Time, f Fingerprint) {
	r.rotate(now)
	r.newer[f] = struct{}{}
}

// Has reports whether a request was answered completely within the last seconds.
func (r *Recent) Has(now time.Time, f Fingerprint) bool {
	r.rotate(now)
	_, inNewer := r.newer[f]
	_, inOlder := r.older[f]
	return inNewer || inOlder
}

// rotate drops the older generation when the newer one has reached its age or is full.
func (r *Recent) rotate(now time.Time) {
	if now.Sub(r.rotatedAt) < r.retention && len(r.newer) < maxRecent {
		return
	}
	if now.Sub(r.rotatedAt) >= 2*r.retention {
		r.newer = nil // as old as the generation that is dropped
	}
	r.older, r.newer, r.rotatedAt = r.newer, map[Fingerprint]struct{}{}, now
}

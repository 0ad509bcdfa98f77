package allowance

import (
	"math"
	"time"
)

// This file holds what both sides of the limits of endpoints share. An endpoint in need names in its answers how many requests a second it
// takes from all entries together. A chance of admission would not hold such a limit: it may
// be one request in some seconds for hundreds of entries, each of which would admit one before
// its first report. Entries therefore send to a limited endpoint only with a permit: one
// request, from a bucket that the leader (PermitAllocator) keeps for the endpoint.
//
// Why arrivals stay bounded, for limit N: a permit is used within permitLife of the report that
// asked for it, or never. The bucket gains N a second and holds at most permitBurst(N), so the
// permits used in a window w are at most N*(w + permitLife) + permitBurst(N). Added to these:
//
//   - A new leader starts with an empty bucket, so only what a deposed one still grants counts:
//     N for the time in which both lead, which the group's quorum check bounds, and a burst.
//   - An entry whose reports are not answered sends at its fallback rate. All fallback rates
//     are permitFallbackShare of N, and the leader withholds those of silent entries, from
//     silentAfter on; before that they add permitFallbackShare*N*silentAfter. Entries that
//     no leader has sent a rate send defaultFallbackRate together, whatever N is, for as long
//     as they are out of touch.
//   - Permits that an entry gives up, or that an answer held which it did not receive, go back
//     to the bucket. They count as outstanding until then, as unused ones do.
//   - Fallback rates below one request in fallbackWindow are drawn, and vary as draws do.
//
// With w = 4 s and half a second of two leaders that is 5.2 N and some requests, within 6 N + 5 as
// fallback replaces grants where both would be needed at once.

// Statement is what an endpoint said of its limit, and when.
type Statement struct {
	Rate  float64 // requests a second from all entries; not used if Ended
	Ended bool    // the endpoint has named a limit before, and names none now
	// At orders statements. For a limit it is the latest instant at which the endpoint can have
	// named it; for an end the earliest. An end that was delayed on its way therefore never
	// lifts a limit that was named later.
	At time.Time
}

// supersedes reports whether a statement replaces an older one.
func (s Statement) supersedes(old Statement) bool {
	if s.At.Equal(old.At) {
		return !s.Ended && (old.Ended || s.Rate < old.Rate)
	}
	return s.At.After(old.At)
}

// EndpointStatement is a Statement in a message between an entry and the leader.
type EndpointStatement struct {
	Endpoint string        `json:"e"`
	Rate     float64       `json:"r,omitempty"`
	Ended    bool          `json:"x,omitempty"`
	Age      time.Duration `json:"a"` // when the message was sent
}

// PermitReport is what an entry reports to the leader.
type PermitReport struct {
	// Client identifies the entry's process, and Seq increases with each of its reports.
	Client uint64 `json:"c"`
	Seq    uint64 `json:"i"`
	// Term and Stamp are those of the leader's last answer, 0 if there was none, and Elapsed the
	// time since it arrived. They place ends of limits in time, however long the report is on its
	// way.
	Term       uint64              `json:"l,omitempty"`
	Stamp      time.Duration       `json:"s,omitempty"`
	Elapsed    time.Duration       `json:"t,omitempty"`
	Statements []EndpointStatement `json:"n,omitempty"`
	Asks       []PermitAsk         `json:"q,omitempty"`
}

// PermitAsk is an entry's demand for one limited endpoint.
type PermitAsk struct {
	Endpoint   string        `json:"e"`
	Waiting    int           `json:"w,omitempty"` // requests that wait for a permit and have no other endpoint
	Oldest     time.Duration `json:"o,omitempty"` // how long the oldest of them has waited
	Newest     time.Duration `json:"y,omitempty"` // how long the newest has waited
	Ahead      int           `json:"p,omitempty"` // further permits that would be used at once or soon
	Requested  float64       `json:"a,omitempty"` // requests for which the endpoint was chosen, since the last report
	LongDemand float64       `json:"d,omitempty"` // the same a second, averaged over longDemandDecay
	Returned   int           `json:"b,omitempty"` // permits that expired unused since the last report
}

// PermitAnswer is the leader's answer to a PermitReport.
type PermitAnswer struct {
	Term   uint64        `json:"l"`
	Stamp  time.Duration `json:"s"` // since the leader began its term; increases with each answer
	Grants []PermitGrant `json:"g,omitempty"`
}

// PermitGrant is the answer to a PermitAsk.
type PermitGrant struct {
	EndpointStatement
	Permits  int           `json:"p,omitempty"`
	Next     time.Duration `json:"w,omitempty"` // until the next permit for this entry can be expected
	Behind   time.Duration `json:"b,omitempty"` // until the same for a request that begins to wait now, at any entry
	Fallback float64       `json:"f,omitempty"` // requests a second while reports are not answered
}

// PermitInterval is the time between two reports of an entry that sends to limited endpoints,
// if no request begins to wait in between.
const PermitInterval = 100 * time.Millisecond

const (
	// permitLife is how long after a report the permits that it was granted may be used.
	permitLife = 300 * time.Millisecond
	// permitFallbackShare is the sum of all fallback rates as a part of a limit. Half would
	// leave too little room for the variation of draws at limits near one a second.
	permitFallbackShare = 0.4
	// fallbackWindow is the longest time in which an entry saves a whole request's fallback
	// rate. A lower rate is drawn.
	fallbackWindow = 2 * time.Second
	// defaultFallbackRate is the rate, in requests a second, of all entries together that cannot reach a
	// leader and have received no fallback rate: enough to notice the end of a limit.
	defaultFallbackRate = 0.05
	// lowestLimit and highestLimit bound what an endpoint may name, in requests a second. One
	// that names 0 still gets a request now and then, which shows whether the limit holds.
	lowestLimit  = 0.1
	highestLimit = 1e6
	// askTimeout is how long the leader counts an entry's waiting requests after its report.
	askTimeout = 2*PermitInterval + 50*time.Millisecond
	// prefetchTime is the time for which an entry asks for permits ahead of its demand.
	prefetchTime = PermitInterval + 50*time.Millisecond
	// sumInterval is the time for which the leader keeps sums over entries.
	sumInterval = 20 * time.Millisecond
	// burstTime is the time for which a bucket saves permits beyond two.
	burstTime = 200 * time.Millisecond
	// endMemory is how long an ended limit is remembered, so that entries learn of the end.
	endMemory = 30 * time.Second
	// limitMemory is how long a limit is kept at which nobody asks for permits.
	limitMemory = 5 * time.Minute
)

// permitBurst returns the level up to which permits for a limit are saved: what is gained while
// an entry's report is lost and sent again, and two requests at low limits.
func permitBurst(rate float64) float64 { return 2 + rate*burstTime.Seconds() }

// ClampLimit returns the rate that is kept for a named limit.
func ClampLimit(rate float64) float64 {
	if math.IsNaN(rate) {
		return lowestLimit
	}
	return min(max(rate, lowestLimit), highestLimit)
}

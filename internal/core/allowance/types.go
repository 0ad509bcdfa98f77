package allowance

import (
	"time"

	"github.com/cassiapass/cassiapass/internal/core/ident"
)

// Limit is the rate and burst of one customer, in units of its allowance.
type Limit struct {
	Customer ident.Customer
	Rate     float64 // units a second
	Burst    float64 // units
}

// Tolerance is the amount by which use may exceed rate*Window + burst in any Window. A fifth
// of it is added to the buckets, so that customers get more of what the whole window allows
// them; the rest covers late reports, leader changes and unreachable entries.
type Tolerance struct {
	Window time.Duration // 0 if nothing is tolerated
	Excess float64       // as a share of rate*Window + burst
	Slack  float64       // units beyond that
}

// usedShare is the part of a Tolerance that is added to the buckets.
const usedShare = 0.2

// fill returns the units a second that are added to a bucket: the rate, and in each window up
// to one burst, as far as a fifth of the tolerance covers it.
func (t Tolerance) fill(l Limit) float64 {
	if t.Window <= 0 {
		return l.Rate
	}
	w := t.Window.Seconds()
	return l.Rate + min(l.Burst, usedShare*(t.Excess*(l.Rate*w+l.Burst)+t.Slack))/w
}

// start returns the bucket level with which a new leader starts.
func (t Tolerance) start(l Limit) float64 {
	return min(l.Burst, startShare*l.Burst+startSlack*t.Slack)
}

// Use is what an entry reports of one customer: its use since the previous report.
type Use struct {
	Customer   ident.Customer `json:"c"`
	Requested  float64        `json:"a,omitempty"` // units
	Used       float64        `json:"u,omitempty"` // units; negative if more was refunded
	LongDemand float64        `json:"d,omitempty"` // units a second asked for, averaged over longDemandDecay
	Ranks      []RankUse      `json:"k,omitempty"` // by urgency, if the customer's more urgent requests go first
}

// Share is the leader's answer to a Use.
type Share struct {
	Customer      ident.Customer `json:"c"`
	Chance        float64        `json:"x"`           // probability that a request is admitted
	Fallback      float64        `json:"f,omitempty"` // units a second while reports are not answered
	FallbackBurst float64        `json:"b,omitempty"` // units that may be spent at once in addition to Fallback
	Pressure      float64        `json:"p,omitempty"` // demand at all entries, as a share of the rate
	// Classes are in the order of urgency, for an entry that reported some.
	Ranks []RankShare `json:"k,omitempty"`
}

// ReportInterval is the time between two reports of an entry that receives requests.
const ReportInterval = 200 * time.Millisecond

const (
	// silentAfter is the time without a message after which an entry counts as silent. Entries
	// pull at least every 0.4 s.
	silentAfter = 700 * time.Millisecond
	// fallbackDuration is how long an entry spends at its fallback rate, and how long the leader
	// withholds that rate from the bucket. It outlasts elections and most network partitions.
	fallbackDuration = 15 * time.Second
	// customerFallbackShare is the sum of all fallback rates as a part of a customer's rate.
	customerFallbackShare = 0.9
	// creditDuration sets the units that an entry may spend at once when its reports are no longer
	// answered: the fallback rate times this duration for a customer without demand, and less
	// the closer the customer's demand is to its rate.
	creditDuration = 2 * time.Second
	// startShare is the part of a burst with which a new leader starts: the rest may have been
	// used under its predecessor a moment ago.
	startShare = 0.1
	// startSlack is the part of the tolerated slack that is added to that: startShare of a
	// small customer's burst is less than one request.
	startSlack = 0.1
	// levelDrainTime is the time in which the bucket's level, or its debt, is to be used up.
	levelDrainTime = 500 * time.Millisecond
	// demandDecay is the time constant of the average of demand.
	demandDecay = 500 * time.Millisecond
	// longDemandDecay is the time constant of the longer average, from which fallback rates are
	// computed: callers of a small customer come to an entry only every few seconds.
	longDemandDecay = 5 * time.Second
	// chanceMaxAge is how long an entry applies the probability of an answer. Requests of a
	// customer without a newer answer are all admitted until the next report.
	chanceMaxAge = 3 * time.Second
	// retryAfter is the mean time after which a refused caller should try again if demand equals
	// the rate; it grows with the pressure, up to maxPressure times.
	retryAfter  = 500 * time.Millisecond
	maxPressure = 8
)

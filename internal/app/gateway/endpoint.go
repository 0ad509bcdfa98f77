package gateway

import (
	"time"

	"github.com/cassiapass/cassiapass/internal/core/fleet"
)

const (
	// failingWeight is the weight of one outcome in the share of failures.
	failingWeight = 0.1
	// failingHalfLife is the time in which a share of failures halves without
	// new outcomes, so that an endpoint that is not chosen is tried again.
	failingHalfLife = 3 * time.Second
	// defaultSlots is assumed where the platform does not report an endpoint's slots.
	defaultSlots = 8
)

// endpoint is a listed endpoint with what this process knows about it beyond the list.
type endpoint struct {
	fleet.Endpoint
	ownRunning   int // requests of this process in progress there
	otherRunning int // requests of other processes, as last reported
	failureShare float64
	judgedAt     time.Time
	avoidUntil   time.Time
	brokeAt      time.Time                // when an answer of it broke off last
	removalAt    time.Time                // when its host is removed, as announced; zero if it is not
	removed      bool                     // no longer listed; kept while requests run there
	misdirected  bool                     // another process answered at its address, since it was last listed
	missingAt    map[fleet.Want]time.Time // when it answered that it does not hold the model or adapter
	counts       map[fleet.Want]*runCounts
	momentary    momentary
	pace         float64 // how long work takes there relative to its peers; 0 if not known
	evidence     float64 // observations for that
	reading      int     // tokens of the prompts of this process's requests that have no event yet
	extraWork    float64 // by how many usual requests this process's ask for more than their number says
}

// runCounts counts this process's requests at one endpoint for one model or adapter.
type runCounts struct {
	running int
	started int // since the last report
}

// refusalReason is why a request was not sent. Its values are written to logs and metrics.
type refusalReason string

const (
	reasonNoEndpoint       refusalReason = "no_endpoint"       // the service has none that is up
	reasonNotLoaded        refusalReason = "not_loaded"        // none holds the model
	reasonAllFull          refusalReason = "all_full"          // all that hold it are full
	reasonAllTried         refusalReason = "all_tried"         // all that hold it were tried
	reasonAtLimit          refusalReason = "at_limit"          // those that hold it take no more requests a second
	reasonPaused           refusalReason = "paused"            // those that hold it have asked for a pause
	reasonRetryBudget      refusalReason = "retry_budget"      // it was sent already, and the budget for further sends is used up
	reasonLoadedLate       refusalReason = "loaded_late"       // none holds the model, and none will within the time that the request may wait
	reasonQuarantined      refusalReason = "quarantined"       // endpoints ended while they ran it
	reasonSuspect          refusalReason = "suspect"           // endpoints ended under a part of its prompt; another request tries that part
	reasonReleaseUnknown   refusalReason = "release_unknown"   // which release began the stream that it takes up is not known
	reasonUnsettled        refusalReason = "release_unsettled" // no stream may begin at the releases that serve yet
	reasonReleaseGone      refusalReason = "release_gone"      // no endpoint of the release that began its stream serves
	reasonStopping         refusalReason = "stopping"          // this entry stops before an answer could be complete
	reasonOverAllowance    refusalReason = "over_allowance"    // its customer's allowance is used up
	reasonAllowanceUnknown refusalReason = "allowance_unsure"  // the leader does not report what its customer may use
	reasonKeyUnknown       refusalReason = "key_unknown"       // no customer has the key, or the request has none
	reasonKeyUnverified    refusalReason = "key_unsure"        // the key is not known here, but may be in a newer deployment
	reasonKeyRevoked       refusalReason = "key_revoked"       // the key was revoked while the request waited
)

// closerReason returns the reason of the endpoint that was closer to taking the request.
func closerReason(a, b refusalReason) refusalReason {
	order := map[refusalReason]int{reasonNoEndpoint: 0, reasonNotLoaded: 1, reasonUnsettled: 2, reasonAllFull: 2, reasonAllTried: 3, reasonPaused: 4, reasonAtLimit: 5}
	if order[b] > order[a] {
		return b
	}
	return a
}

func (e *endpoint) countsFor(w fleet.Want) *runCounts {
	r, ok := e.counts[w]
	if !ok {
		r = &runCounts{}
		e.counts[w] = r
	}
	return r
}

func (e *endpoint) slots() int {
	if e.Slots > 0 {
		return e.Slots
	}
	return defaultSlots
}

// unavailableReason returns why an endpoint cannot take a request now, or "".
func (e *endpoint) unavailableReason(now time.Time, want fleet.Want) refusalReason {
	switch {
	case want.Model != "" && (!e.holds(want) || len(e.missingAt) > 0 && now.Sub(e.missingAt[want]) < missingModelTTL):
		return reasonNotLoaded
	case now.Before(e.avoidUntil):
		return reasonAllFull
	case fleet.Full(e.ownRunning+e.otherRunning, e.slots()):
		return reasonAllFull
	}
	return ""
}

func (e *endpoint) holds(w fleet.Want) bool {
	for _, h := range e.Held {
		if h.Model != w.Model {
			continue
		}
		if w.Adapter == "" {
			return true
		}
		for _, a := range h.Adapters {
			if a == w.Adapter {
				return true
			}
		}
	}
	return false
}

func (e *endpoint) failureShareAt(now time.Time) float64 {
	if e.failureShare < 0.01 {
		return 0
	}
	for age := now.Sub(e.judgedAt); age > failingHalfLife; age -= failingHalfLife {
		e.failureShare /= 2
		e.judgedAt = e.judgedAt.Add(failingHalfLife)
	}
	return e.failureShare
}

// attemptOutcome is how an attempt ended, for the records about the endpoint.
type attemptOutcome uint8

const (
	succeeded     attemptOutcome = iota + 1 // answered without a failure
	failed                                  // the endpoint failed to answer it
	full                                    // refused for lack of capacity
	turnedAway                              // refused with a pause, which the directory keeps
	atConnLimit                             // not sent: this entry has its part of the connections in use
	withheld                                // not sent: the endpoint has asked for a pause, or leaves
	modelMissing                            // does not hold the model
	notConnected                            // no connection was made
	wrongEndpoint                           // another process has the address
	abandoned                               // ended by the caller or a time limit; says nothing about the endpoint
)

// runningOf returns this process's requests at an endpoint for a model and its
// adapters.
func (e *endpoint) runningOf(model string) int {
	n := 0
	for w, r := range e.counts {
		if w.Model == model {
			n += r.running
		}
	}
	return n
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (e *endpoint) recordOutcome(now time.Time, v float64) {
	e.failureShare = e.failureShareAt(now)*(1-failingWeight) + v*failingWeight
	e.judgedAt = now
}

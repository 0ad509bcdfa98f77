package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/poison"
	"github.com/cassiapass/cassiapass/internal/wire"
)

const (
	// trialCallTimeout bounds the question for a trial: without an answer of the leader this entry
	// hands trials out itself, more sparingly.
	trialCallTimeout = 300 * time.Millisecond
	// ownTrialsAfter is the time since the leader's last answer after which this entry hands out trials
	// itself. A new leader answers within less.
	ownTrialsAfter = 3 * time.Second
	// trialPause is the time after which a request asks again for a trial that another one has.
	trialPause = 50 * time.Millisecond
	// clearanceWait is how long a request that ran where an endpoint ended waits for its parts to be
	// cleared before it could be sent again. Others have answers on shared parts within less.
	clearanceWait = 500 * time.Millisecond
	// provenAfter is the time for which events of an answer must have come: an endpoint that a part
	// ends does so when it begins to write.
	provenAfter = 100 * time.Millisecond
	// beginTime is the time within which no endpoint has begun a request that it was just sent.
	beginTime = 10 * time.Millisecond
)

// trialSource is who decided on a trial. Its values are written to metrics.
type trialSource string

const (
	trialByLeader trialSource = "leader"
	trialByEntry  trialSource = "entry"
)

// partPrints returns the fingerprints of the shared parts of the request's prompt; none while no
// leader has published the key.
func (x *exchange) partPrints() []poison.Fingerprint {
	if x.parts != nil || len(x.info.Parts) == 0 {
		return x.parts
	}
	for _, id := range x.info.Parts {
		if f, named := x.g.suspects.part(id); named {
			x.parts = append(x.parts, f)
		}
	}
	return x.parts
}

// clearParts waits until no part of the prompt is suspect, or the request may run as their trial. It
// returns false if that takes too long, with the reason set.
//
// A request that has run where an endpoint ended gets no trial: its caller may send it again, which
// costs the others an endpoint less if it is the cause.
func (x *exchange) clearParts(ctx context.Context) bool {
	limit := x.maxWait(time.Now())
	if x.sent.MayHaveRun() {
		limit = min(limit, clearanceWait)
	}
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	for !x.holdsTrial(time.Now()) {
		if x.standing().Quarantined {
			return false
		}
		suspect, changed := x.g.suspects.suspectParts(time.Now(), x.partPrints())
		if len(suspect) == 0 || !x.sent.MayHaveRun() && x.takeTrial(ctx, suspect) {
			return true
		}
		x.reason = reasonSuspect
		select {
		case <-changed:
		case <-time.After(trialPause):
		case <-timeout.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// partsSuspect reports whether the request must not be sent: a part became suspect after the last
// check, and this is no trial of it.
func (x *exchange) partsSuspect() bool {
	if x.holdsTrial(time.Now()) {
		return false
	}
	suspect, _ := x.g.suspects.suspectParts(time.Now(), x.partPrints())
	return len(suspect) > 0
}

func (x *exchange) holdsTrial(now time.Time) bool {
	return len(x.trial) > 0 && now.Before(x.trialUntil)
}

// takeTrial asks for a trial of suspect parts: the leader, which knows of all, or this entry's own
// book if no leader has answered for a while.
func (x *exchange) takeTrial(ctx context.Context, suspect []poison.Fingerprint) bool {
	begun, by := time.Now(), trialByLeader
	r, err := x.g.callTrial(ctx, wire.TrialParams{Host: x.g.cfg.Host, Take: suspect})
	if err != nil {
		heard, _ := x.g.sync.contact.last()
		by, r.Granted = trialByEntry, begun.Sub(heard) >= ownTrialsAfter && x.g.suspects.takeTrial(begun, suspect)
	}
	x.g.metrics.countTrial(r.Granted, by)
	if !r.Granted {
		return false
	}
	x.trial, x.trialUntil, x.trialBy = suspect, begun.Add(poison.TrialTimeout), by
	x.g.cfg.Log.Info().Str("request", x.info.ID).Stringer("part", suspect[0]).Int("parts", len(suspect)).Str("by", string(by)).Dur("waited", begun.Sub(x.arrived)).Msg("request_runs_as_trial")
	return true
}

func (g *Gateway) callTrial(ctx context.Context, p wire.TrialParams) (wire.TrialResult, error) {
	var r wire.TrialResult
	conn := g.sync.leader()
	if conn == nil {
		return r, errNoLeader
	}
	ctx, cancel := context.WithTimeout(ctx, trialCallTimeout)
	defer cancel()
	err := conn.Call(ctx, wire.MethodTrial, p, &r)
	if err == nil && !r.Leading {
		err = errNoLeader
	}
	return r, err
}

// endTrial gives a trial back that ended without a result. One whose endpoint may have ended is kept
// until it times out: the list may show the end.
func (x *exchange) endTrial() {
	if len(x.trial) == 0 || x.trialOpen {
		return
	}
	over, by := x.trial, x.trialBy
	x.trial = nil
	if by == trialByEntry {
		x.g.suspects.endTrials(over)
		return
	}
	if conn := x.g.sync.leader(); conn != nil {
		_ = conn.Notify(wire.MethodTrial, wire.TrialParams{Host: x.g.cfg.Host, Over: over}) // else it times out
	}
}

// candidateParts returns the parts that may be the cause if the endpoint has ended: none if it
// cannot have begun the request yet, or had written its answer for a while.
func (x *exchange) candidateParts() []poison.Fingerprint {
	switch {
	case !x.firstEventAt.IsZero() && time.Since(x.firstEventAt) >= provenAfter:
		return nil
	case x.firstByte == 0 && time.Since(x.sentAt) < beginTime:
		return nil
	}
	return x.partPrints()
}

// broken returns what an end of the endpoint counts against: of the parts of a trial's prompt those
// that were tried, which explain the end.
func (x *exchange) broken(f poison.Fingerprint) brokenRun {
	parts := x.candidateParts()
	if len(x.trial) > 0 {
		parts = slices.DeleteFunc(slices.Clone(parts), func(p poison.Fingerprint) bool { return !slices.Contains(x.trial, p) })
	}
	return brokenRun{request: f, parts: parts, trial: len(x.trial) == 1}
}

// recordBegun records, once, that the endpoint has written the answer for a while.
func (x *exchange) recordBegun() {
	if !x.begunRecorded && !x.firstEventAt.IsZero() && time.Since(x.firstEventAt) >= provenAfter {
		x.recordProven()
	}
}

// recordProven records that the parts of the prompt do not end endpoints.
func (x *exchange) recordProven() {
	x.begunRecorded = true
	x.g.suspects.recordProven(time.Now(), x.partPrints())
}

// leastLoaded returns the index of the endpoint with the fewest requests.
func leastLoaded(eps []*endpoint) int {
	best := 0
	for i, e := range eps {
		if load(e) < load(eps[best]) {
			best = i
		}
	}
	return best
}

func load(e *endpoint) float64 {
	return float64(e.ownRunning+e.otherRunning) / float64(max(1, e.slots()))
}

package gateway

import (
	"time"

	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/poison"
)

// livenessWait bounds how long an exchange waits to learn whether the endpoint ended with
// it. A refused dial takes about 3 ms; a silent endpoint is checked while the request
// continues.
const livenessWait = 50 * time.Millisecond

// fingerprint identifies the request by what an endpoint receives of it, without what differs
// between repeats. It does not include the caller's address; it includes the customer, so that
// no customer can have another customer's requests refused. It returns false while no leader has
// published the key.
func (x *exchange) fingerprint() (poison.Fingerprint, bool) {
	if !x.fpKnown {
		parts := [][]byte{[]byte(x.r.Method), []byte(x.r.Host), []byte(x.r.Target), x.r.Body}
		if x.requester.keyed {
			parts = append(parts, []byte(x.requester.customerName()))
		}
		x.fp, x.fpKnown = x.g.suspects.fingerprint(parts...)
	}
	return x.fp, x.fpKnown
}

// partNames returns the fingerprints of the shared parts of the request's prompt, for logs.
func (x *exchange) partNames() []string { return names(x.partPrints()) }

func names(fs []poison.Fingerprint) []string {
	var out []string
	for _, f := range fs {
		out = append(out, f.String())
	}
	return out
}

// standing returns how the request is to be treated because of the endpoints that ended
// under it or under a part of its prompt, and sets the reason if it must not run.
func (x *exchange) standing() poison.Standing {
	f, named := x.fingerprint()
	if !named {
		return poison.Standing{}
	}
	now := time.Now()
	st := x.g.suspects.standing(now, f)
	x.quarantined = f
	for _, p := range x.partPrints() {
		if ps := x.g.suspects.standing(now, p); ps.Quarantined && ps.Left > st.Left {
			st, x.quarantined = ps, p
		}
	}
	if st.Quarantined {
		x.reason = reasonQuarantined
	}
	return st
}

// recordBreak records that an answer broke off, and whether the endpoint ended with it. A trial is
// over unless the endpoint is known to run: a repeat under it would end the next one.
func (x *exchange) recordBreak(e *endpoint) {
	checked := make(chan bool, 1)
	leaving := x.g.dir.isLeaving(e)
	f, named := x.fingerprint()
	run := x.broken(f)
	sentAt, events := x.sentAt, x.eventsSent
	x.trialOpen = len(x.trial) > 0
	go func() { checked <- x.recordEnd(run, named && !leaving, e.ID, e.Addr, sentAt, events) }()
	ended := true
	select {
	case ended = <-checked:
	case <-time.After(livenessWait):
	}
	if ended {
		x.trialUntil = time.Time{}
	}
}

// recordEnd checks whether an endpoint ended, and reports it. That counts against the request unless it has
// no fingerprint yet or the endpoint was leaving: one that leaves as planned may end under a
// request when its time is over, which says nothing about the request.
func (x *exchange) recordEnd(run brokenRun, counts bool, id fleet.EndpointID, addr string, sentAt time.Time, events int) bool {
	ended := x.g.liveness.hasEnded(id, addr)
	x.g.metrics.countBroken(ended)
	x.g.cfg.Log.Info().Str("request", x.info.ID).Str("endpoint", string(id)).Stringer("fingerprint", run.request).Strs("parts", names(run.parts)).Bool("trial", run.trial).
		Str("caller", x.c.Remote()).Bool("ended", ended).Bool("counts", counts).Dur("sent_ago", time.Since(sentAt)).
		Int("events", events).Msg("endpoint_broke_under")
	switch {
	case !counts:
	case ended:
		x.g.suspects.recordEnd(time.Now(), run, id)
	default:
		x.g.suspects.recordUnresolved(time.Now(), run, id)
	}
	return ended
}

// recordSilence records that an endpoint has been silent beyond its limit.
func (x *exchange) recordSilence(e *endpoint) {
	if f, named := x.fingerprint(); named && !x.g.dir.isLeaving(e) {
		x.trialOpen = len(x.trial) > 0
		x.g.suspects.recordUnresolved(time.Now(), x.broken(f), e.ID)
	}
}

// recordAnswer records that an endpoint answered the request completely and still runs, if that is
// proved. Only a success shows that it worked on the parts of the prompt.
func (x *exchange) recordAnswer(proved, success bool) {
	f, named := x.fingerprint()
	if !named || !proved {
		return
	}
	x.g.suspects.recordAnswer(time.Now(), f)
	if success {
		x.recordProven()
	}
}

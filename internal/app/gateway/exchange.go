package gateway

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"net/http"

	"time"

	"github.com/cassiapass/cassiapass/internal/adapter/http1"
	"github.com/cassiapass/cassiapass/internal/core/allowance"
	"github.com/cassiapass/cassiapass/internal/core/deploy"
	"github.com/cassiapass/cassiapass/internal/core/ending"
	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/limit"
	"github.com/cassiapass/cassiapass/internal/core/once"
	"github.com/cassiapass/cassiapass/internal/core/poison"
	"github.com/cassiapass/cassiapass/internal/core/release"
	"github.com/cassiapass/cassiapass/internal/core/urgency"
)

// errCallerGone is the cancellation cause when the caller closed its connection.
var errCallerGone = errors.New("the caller closed its connection")

const (
	// minTimeLeft is the remaining time below which nothing is sent any more: not
	// even an idle endpoint answers within it.
	minTimeLeft = 20 * time.Millisecond
	// maxRetryAfter bounds the time after which a refused caller should retry.
	maxRetryAfter = time.Hour
	// maxSends bounds how often one request is sent, however often endpoints
	// report that they did not run it.
	maxSends = 5
)

// exchange is the state of one request in the gateway.
type exchange struct {
	g         *Gateway
	c         *http1.Conn
	r         *http1.Request
	info      RequestFields
	route     *deploy.Route
	requester requester
	ordered   bool               // more urgent requests go first
	level     urgency.Level      // how urgent it is
	cost      float64            // units taken from the customer's allowance
	decision  allowance.Decision // on that cost
	service   string
	demand    fleet.Want // what the leader is told that it wants; empty for what the deployment does not have
	arrived   time.Time
	deadline  time.Time // the earlier of the caller's and the route's time limits

	tried           map[fleet.EndpointID]bool
	sends           int
	sent            once.Sends[fleet.EndpointID] // where it may have run
	headSent        bool                         // the head of the answer was sent to the caller
	lastEvent       string                       // id of the newest event forwarded whole
	endpointFailure *answer                      // an endpoint's error answer, sent if no better answer arrives
	waited          time.Duration                // time spent waiting for endpoints
	reason          refusalReason                // why it could not be sent
	modelETA        time.Duration                // time until its model is loaded, if it was refused for that
	limit           limitState                   // the limit for which it waited or was refused
	pause           pauseState                   // the same of a pause
	waiter          *allowance.Waiter            // with which the last endpoint was acquired
	fpKnown         bool                         // fp is set
	fp              poison.Fingerprint           // identifies the request by its content
	quarantined     poison.Fingerprint           // fp or the part for which it is refused
	firstByte       time.Duration                // time until the first byte of the answer
	eventsSent      int                          // stream events forwarded
	answering       *endpoint                    // whose stream is forwarded
	load            *requestLoad                 // nil unless endpoints are chosen by expected finish
	bound           bool                         // only endpoints of release may go on with the stream
	release         release.Name                 // that sent the first event
	parts           []poison.Fingerprint         // of its prompt, that other requests may share
	trial           []poison.Fingerprint         // suspect parts of which this run is a trial
	trialUntil      time.Time
	trialBy         trialSource
	trialOpen       bool             // the endpoint of the trial may have ended
	begunRecorded   bool             // recordProven was called
	framing         http1.Framing    // of the newest answer
	sentAt          time.Time        // when the newest attempt was sent
	firstEventAt    time.Time        // when the first event of the newest answer came; zero before
	lastEndpoint    fleet.EndpointID // the one that it was sent to last
	status          int              // of the newest answer; 0 before its head
	standby         bool             // its run may go on at another endpoint
	copy            *protection      // of the memory of its run; nil if there is none
	goOnFrom        string           // copy from which the attempt in progress goes on; "" for none
	goneOn          int              // times that its run went on
	order           eventOrder       // of its stream
	watch           *silenceWatch    // of the attempt in progress; nil if it has none
	rescue          *goOnPlan        // how the run goes on that the watch has taken from its source
}

// answer is a complete answer of an endpoint.
type answer struct {
	status int
	header http.Header
	body   []byte
	end    ending.Verdict // Whole or Unknown
}

// handle answers one request. It returns false if the connection must not be used
// for another one.
func (g *Gateway) handle(c *http1.Conn, r *http1.Request) bool {
	x := &exchange{g: g, c: c, r: r, arrived: time.Now(), tried: map[fleet.EndpointID]bool{}}
	info, err := g.cfg.Dialect.ReadRequest(r.Header)
	x.info = info
	t, cause := x.deployment()
	switch {
	case cause != nil:
		return x.finish(notRun, cause)
	case t == nil:
		return x.refuse(http.StatusServiceUnavailable, "no_deployment")
	}
	if err != nil {
		return x.respond(http.StatusBadRequest, "bad_field", nil, []byte(err.Error()+"\n"))
	}
	if x.route = t.Find(r.Host, r.Path); x.route == nil {
		return x.respond(http.StatusNotFound, "no_route", nil, []byte("no route leads there\n"))
	}
	if !x.identify(t) {
		return x.rejectCaller()
	}
	if g.cannotFinishBeforeStop(x.route, info.MaxOutput) {
		c.CloseAfter()
		x.reason = reasonStopping
		return x.refuse(http.StatusServiceUnavailable, "stopping")
	}
	if st := x.standing(); st.Quarantined {
		return x.refuse(http.StatusServiceUnavailable, "not_run")
	}
	x.setUrgency()
	if !x.charge() {
		return x.refuseOverAllowance()
	}
	x.service = x.route.Pick(x.streamID())
	x.lastEvent = info.LastEvent
	left := x.route.Timeout
	if info.TimeLeft > 0 {
		left = min(left, info.TimeLeft)
	}
	x.deadline = x.arrived.Add(left)
	ctx, cancel := context.WithDeadline(g.ctx, x.deadline)
	defer cancel()
	callerCtx, abort := context.WithCancelCause(ctx)
	defer abort(nil)
	c.Watch(func() { abort(errCallerGone) })
	defer g.revocations.track(x.requester, abort)()
	if t.Config().Has(x.service, info.Want.Model, info.Want.Adapter) {
		x.demand = info.Want
	}
	g.demands.recordArrival(x.demand, x.levelToReport())
	g.budget(x.service, func(b *limit.Shared) bool { b.Request(); return true })
	x.standby = x.standsBy()
	outcome := x.run(callerCtx)
	x.unprotect()
	c.Unwatch()
	if outcome == notRun {
		x.refund()
	}
	return x.finish(outcome, context.Cause(callerCtx))
}

// requestOutcome is how an exchange ends.
type requestOutcome uint8

const (
	answered  requestOutcome = iota + 1 // a complete answer was forwarded
	truncated                           // an answer was begun and cannot be completed
	notRun                              // nothing ran and nothing will
	unknown                             // it may have run
)

// run sends the request until it is answered or no answer is possible.
func (x *exchange) run(ctx context.Context) requestOutcome {
	defer x.endTrial()
	if x.takesUp() && !x.findRelease(ctx) {
		return notRun
	}
	for {
		if !x.clearParts(ctx) {
			return x.outcomeSoFar()
		}
		e := x.acquire(ctx)
		if e == nil {
			return x.outcomeSoFar()
		}
		if x.sent.Written() > 0 && !x.takeRetry() {
			x.giveBack(e)
			x.reason = reasonRetryBudget
			return x.outcomeSoFar()
		}
		if x.standing().Quarantined {
			x.giveBack(e)
			return x.outcomeSoFar()
		}
		if x.partsSuspect() {
			x.giveBack(e)
			continue
		}
		x.sends++
		x.lastEndpoint = e.ID
		res := x.attempt(ctx, e)
		x.endLoad()
		x.g.dir.release(e, x.info.Want, res.outcome)
		if res.unsent {
			x.g.dir.returnPermit(e, x.waiter)
		}
		if res.outcome == withheld || res.outcome == atConnLimit {
			x.sends--
		}
		e, res = x.goOn(ctx, e, res)
		if f, over := x.afterAttempt(ctx, e, res); over {
			return f
		}
	}
}

// giveBack ends a request at an endpoint that it is not sent to after all.
func (x *exchange) giveBack(e *endpoint) {
	x.endLoad()
	x.g.dir.release(e, x.info.Want, abandoned)
	x.g.dir.returnPermit(e, x.waiter)
}

// takeRetry takes one more send from the retry budget, which bounds arrivals at endpoints.
// Sends that reached no endpoint do not count. Otherwise, when a quarter of 180 engines
// crash at once, hundreds of requests are refused because dials to dead endpoints have
// used up the budget.
func (x *exchange) takeRetry() bool {
	allowed := x.g.budget(x.service, func(b *limit.Shared) bool { return b.RetryKeeping(x.retriesKept(), rand.Float64()) })
	x.g.metrics.countRetry(allowed)
	x.recordRetry(allowed)
	return allowed
}

// outcomeSoFar returns the outcome of a request that is not sent any more.
func (x *exchange) outcomeSoFar() requestOutcome {
	switch {
	case x.headSent:
		return truncated
	case x.sent.MayHaveRun():
		return unknown
	}
	return notRun
}

// afterAttempt decides whether the request is sent again; if not, it returns its
// outcome and true.
func (x *exchange) afterAttempt(ctx context.Context, e *endpoint, res result) (requestOutcome, bool) {
	if res.complete {
		return answered, true
	}
	if ctx.Err() != nil || time.Until(x.deadline) < minTimeLeft || x.sends >= maxSends {
		return x.outcomeSoFar(), true
	}
	if res.notRun() {
		switch res.outcome {
		case modelMissing, turnedAway, withheld, atConnLimit: // the endpoint may take it later
		default:
			x.tried[e.ID] = true
		}
		return 0, false
	}
	x.tried[e.ID] = true
	// It may have run there. Another endpoint may run it only if the route
	// allows repeats, up to the route's number of attempts.
	if !x.route.MayRepeat() || x.sent.Endpoints() >= x.route.Attempts || res.final {
		return x.outcomeSoFar(), true
	}
	return 0, false
}

// acquire waits for an endpoint that can take the request now; nil if there is none
// in time.
func (x *exchange) acquire(ctx context.Context) (got *endpoint) {
	begin := time.Now()
	maxWait := x.maxWait(begin)
	waits := false
	w := &allowance.Waiter{Priority: int(x.requester.level(x.route)), Since: x.arrived}
	x.waiter = w
	x.load = x.expectLoad()
	defer func() {
		x.g.dir.endWait(w)
		if waits {
			x.g.demands.endWait(x.demand, x)
			x.recordWait(got)
			x.waited += time.Since(begin)
		}
	}()
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	for {
		if x.g.cannotFinishBeforeStop(x.route, x.info.MaxOutput) {
			// The answer to a request sent now could not end before the process stops.
			x.reason = reasonStopping
			return nil
		}
		if x.standing().Quarantined {
			return nil // quarantined while it waited
		}
		if x.keyRevoked() {
			x.reason = reasonKeyRevoked
			return nil
		}
		e, short := x.g.dir.acquire(time.Now(), query{service: x.service, want: x.info.Want, tried: x.tried, waiter: w, mayWait: time.Since(begin) < briefWait,
			apart: len(x.trial) > 0, bound: x.bound, release: x.release, begins: !x.bound && x.route.Repeat == deploy.Stream && x.route.Resumable, load: x.load})
		if e != nil {
			return e
		}
		if short.brief {
			x.waitBriefly(ctx, short.changed, briefWait-time.Since(begin))
			continue
		}
		reason := short.reason
		x.reason, x.limit, x.pause = reason, short.limit, short.pause
		if reason == reasonReleaseGone {
			return nil
		}
		if short.onlyLimits && x.limit.known && fleet.WaitsInVain(x.limit.expected, maxWait-time.Since(begin), waits) {
			x.g.demands.recordDeferred(x.demand)
			return nil
		}
		if short.onlyPauses || reason == reasonAllTried {
			soonest := x.soonest(time.Since(begin))
			if fleet.WaitsInVain(soonest, maxWait-time.Since(begin), waits) {
				x.g.demands.recordDeferred(x.demand)
				return nil
			}
			timer.Reset(min(maxWait-time.Since(begin), max(soonest, minWakeGap)))
		} else {
			timer.Reset(maxWait - time.Since(begin))
		}
		if reason == reasonNotLoaded && x.loadsTooLate(maxWait-time.Since(begin)) {
			x.reason = reasonLoadedLate
			x.g.demands.recordDeferred(x.demand)
			return nil
		}
		if !waits {
			waits = true
			x.g.demands.beginWait(x.demand, x)
			x.g.cfg.Log.Info().Str("request", x.info.ID).Str("service", x.service).Str("model", x.info.Want.Model).Str("adapter", x.info.Want.Adapter).
				Str("reason", string(reason)).Str("limited", string(x.limit.endpoint)).Str("paused", string(x.pause.endpoint)).Dur("left", time.Until(x.deadline)).Dur("hold", maxWait).Dur("list_age", x.g.dir.listAge()).Msg("request_waits")
		}
		select {
		case <-short.changed:
			x.yield(ctx)
		case <-timer.C:
			if time.Since(begin) >= maxWait {
				return nil
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// waitBriefly waits for a channel to close, at most for a time.
func (x *exchange) waitBriefly(ctx context.Context, changed <-chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// loadsTooLate reports whether the request's model will be loaded only after the
// request may wait no longer.
func (x *exchange) loadsTooLate(maxWait time.Duration) bool {
	x.modelETA = x.g.dir.modelETA(time.Now(), x.info.Want.Model)
	return x.modelETA > 0 && !fleet.ReadyInTime(x.modelETA, maxWait)
}

// soonest returns how long it takes at least until an endpoint takes the request, while those that
// hold its model pause or have been tried: the pause that ends first, or the time in which another
// endpoint can hold the model. waited is how long the request has waited.
func (x *exchange) soonest(waited time.Duration) time.Duration {
	now := time.Now()
	soonest := time.Duration(math.MaxInt64)
	if x.pause.endpoint != "" {
		soonest = max(x.pause.expected.Sub(now), 0)
	}
	if x.info.Want.Model == "" {
		return soonest
	}
	eta := x.g.dir.modelETA(now, x.info.Want.Model)
	switch {
	case eta > 0:
		return min(soonest, eta)
	case waited < fleet.ReplicaWait:
		return min(soonest, fleet.ReplicaWait-waited)
	}
	return soonest
}

// maxWait returns how long the request may wait for an endpoint from now on.
func (x *exchange) maxWait(now time.Time) time.Duration {
	return fleet.MaxWait(x.deadline.Sub(now), x.route.SilenceLimit, now.Sub(x.arrived))
}

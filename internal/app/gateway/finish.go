package gateway

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/deploy"
	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/poison"
)

// finish sends the final answer, if one is still to be sent.
func (x *exchange) finish(f requestOutcome, cause error) bool {
	switch {
	case f == answered:
		if x.route.Repeat == deploy.Stream {
			x.recordLength()
			x.g.pace.observe(time.Since(x.arrived)-x.firstByte, x.eventsSent*x.g.eventTokens(x.service))
		}
		x.log("answered", http.StatusOK)
		return true
	case errors.Is(cause, errCallerGone):
		x.log("caller_gone", 0)
		return false
	case f == truncated:
		x.log("cut", 0)
		return false
	case x.endpointFailure != nil:
		// An endpoint's own error answer, forwarded unchanged.
		ok := x.writeAnswer(*x.endpointFailure) == nil
		x.log("failed_by_endpoint", x.endpointFailure.status)
		return ok
	case f == unknown && time.Until(x.deadline) < minTimeLeft:
		return x.respond(http.StatusGatewayTimeout, "unknown", nil, nil)
	case f == unknown:
		return x.respond(http.StatusBadGateway, "unknown", nil, nil)
	case x.reason == reasonKeyRevoked, errors.Is(cause, errKeyRevoked):
		x.reason = reasonKeyRevoked
		return x.rejectCaller()
	}
	return x.refuse(http.StatusServiceUnavailable, "not_run")
}

// refuse answers that the request has not run, and when to retry.
func (x *exchange) refuse(status int, event string) bool {
	after := fleet.RetryAfter(rand.Int64N)
	switch x.reason {
	case reasonLoadedLate:
		after = fleet.RetryAfterReady(x.modelETA, rand.Int64N)
	case reasonAtLimit:
		if x.limit.known {
			after = fleet.RetryAfterReady(x.limit.expected, rand.Int64N)
		}
	case reasonPaused:
		after = fleet.RetryAfterReady(min(x.soonest(fleet.ReplicaWait), maxRetryAfter), rand.Int64N)
	case reasonQuarantined:
		after = x.standing().Left
	case reasonReleaseUnknown, reasonReleaseGone:
		after = fleet.RetryAfter(rand.Int64N)
	case reasonSuspect:
		after = fleet.RetryAfterReady(poison.TrialTimeout, rand.Int64N)
	case reasonOverAllowance, reasonAllowanceUnknown:
		after = x.decision.RetryAfter
	case reasonStopping:
		after = 0 // other entries accept it at once
	}
	h := http.Header{"Retry-After": {strconv.FormatFloat(after.Seconds(), 'f', 2, 64)}}
	return x.respond(status, event, h, nil)
}

// respond writes an answer made by the gateway itself.
func (x *exchange) respond(status int, event string, h http.Header, body []byte) bool {
	if h == nil {
		h = http.Header{}
	}
	h.Set("Content-Type", "text/plain")
	ok := x.c.WriteResponse(status, h, body, x.r.Method == http.MethodHead) == nil
	x.log(event, status)
	return ok
}

func (x *exchange) log(event string, status int) {
	took := time.Since(x.arrived)
	x.g.metrics.observeRequest(event, x.reason, took, x.waited, x.firstByte)
	ev := x.g.cfg.Log.Warn()
	if event == "answered" {
		ev = x.g.cfg.Log.Info()
	}
	ev.Str("request", x.info.ID).Int("status", status).Int("sends", x.sends).Int("ran", x.sent.Endpoints()).
		Dur("took", took).Dur("waited", x.waited).Dur("first", x.firstByte)
	if x.route != nil {
		ev.Str("route", x.route.Name).Str("service", x.service)
	}
	if name := x.requester.customerName(); name != "" {
		ev.Str("customer", string(name))
	}
	if x.info.Want.Model != "" {
		ev.Str("model", x.info.Want.Model).Str("adapter", x.info.Want.Adapter)
	}
	if x.lastEndpoint != "" {
		ev.Str("endpoint", string(x.lastEndpoint))
	}
	if x.framing != "" {
		ev.Str("framing", string(x.framing)).Int("events", x.eventsSent)
	}
	if x.reason != "" {
		ev.Str("reason", string(x.reason))
	}
	if x.reason == reasonAtLimit {
		l := x.limit
		ev.Str("limited", string(l.endpoint)).Float64("rate", l.rate).Dur("limit_age", l.age).Dur("expected", l.expected).Bool("expected_known", l.known).Bool("silent", l.silent)
	}
	if x.reason == reasonPaused {
		p := x.pause
		ev.Str("paused", string(p.endpoint)).Stringer("kind", p.reason).Dur("asked", p.asked).Str("asked_by", p.request).Dur("pause_age", time.Since(p.at)).Dur("expected", time.Until(p.expected))
	}
	if x.reason == reasonLoadedLate {
		ev.Dur("ready", x.modelETA)
	}
	if x.reason == reasonOverAllowance || x.reason == reasonAllowanceUnknown {
		d := x.decision
		ev.Float64("cost", x.cost).Float64("rate", x.requester.customer.Allowance.Rate).Float64("chance", d.Chance).Float64("pressure", d.Pressure).Dur("age", d.Age).Bool("silent", d.Silent).Dur("after", d.RetryAfter)
	}
	if x.reason == reasonQuarantined {
		ev.Stringer("fingerprint", x.quarantined)
	}
	if x.bound {
		ev.Str("release", string(x.release))
	}
	if x.reason == reasonSuspect {
		ev.Strs("parts", x.partNames())
	}
	if x.info.PartsUnreadable {
		ev.Bool("parts_unreadable", true)
	}
	ev.Msg("request_" + event)
}

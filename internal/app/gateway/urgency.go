package gateway

import (
	"strconv"

	"github.com/cassiapass/cassiapass/internal/core/allowance"
	"github.com/cassiapass/cassiapass/internal/core/feature"
	"github.com/cassiapass/cassiapass/internal/core/urgency"
)

// timing returns what is known of the caller's time at the request's arrival.
func (x *exchange) timing() urgency.Timing {
	return urgency.Timing{Limit: x.route.Timeout, Objective: x.route.Objective, Left: x.info.TimeLeft}
}

// setUrgency determines whether more urgent requests go first, and how urgent the request is.
func (x *exchange) setUrgency() {
	x.ordered, x.level = x.g.enabled(feature.Urgency), x.requester.level(x.route)
}

// levelToReport returns the level with which the request counts at the leader; nil if all requests
// count the same.
func (x *exchange) levelToReport() *urgency.Level {
	if !x.ordered {
		return nil
	}
	return &x.level
}

// ask returns what the request asks of its customer's allowance.
func (x *exchange) ask() allowance.Ask {
	return allowance.Ask{Cost: x.cost, Ordered: x.ordered, Level: x.level, Timing: x.timing()}
}

// recordOrder counts what a customer's allowance held for a request of its level, and logs to whom a
// refused one gave way.
func (x *exchange) recordOrder(q allowance.Ask) {
	if !q.Ordered {
		return
	}
	u := urgency.Of(q.Level, q.Timing)
	x.g.metrics.countByUrgency("allowance", u, x.decision.Admitted)
	if x.decision.GaveWay {
		x.logGaveWay("allowance", u, x.decision.GaveWayTo.Urgency())
	}
}

// logGaveWay logs that a request was refused by a resource that has room for more urgent ones.
func (x *exchange) logGaveWay(resource string, own, to urgency.Urgency) {
	x.g.cfg.Log.Info().Str("request", x.info.ID).Str("customer", string(x.requester.customerName())).Str("resource", resource).
		Int("level", int(own.Level)).Bool("late", own.Late).Int("to_level", int(to.Level)).Bool("to_late", to.Late).Msg("gave_way")
}

// countByUrgency counts a request by what a resource that urgent requests get first held for it.
func (m *metrics) countByUrgency(resource string, u urgency.Urgency, admitted bool) {
	result := "admitted"
	if !admitted {
		result = "refused"
	}
	m.set.GetOrCreateCounter(`cassiapass_gateway_urgency_requests_total{resource="` + resource + `",level="` + strconv.Itoa(int(u.Level)) + `",late="` + strconv.FormatBool(u.Late) + `",result="` + result + `"}`).Inc()
}

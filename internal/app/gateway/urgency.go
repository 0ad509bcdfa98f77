package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/allowance"
	"github.com/cassiapass/cassiapass/internal/core/customer"
	"github.com/cassiapass/cassiapass/internal/core/deploy"
	"github.com/cassiapass/cassiapass/internal/core/feature"
	"github.com/cassiapass/cassiapass/internal/core/urgency"
)

// logUnusualPriorities logs the priorities of a deployment that are taken for another.
func (g *Gateway) logUnusualPriorities(c *deploy.Config) {
	log := func(kind, name string, priority int) {
		if l := urgency.LevelOf(priority); int(l) != priority {
			g.cfg.Log.Warn().Uint64("version", c.Version).Str(kind, name).Int("priority", priority).Int("level", int(l)).Msg("priority_out_of_range")
		}
	}
	for i := range c.Routes {
		log("route", c.Routes[i].Name, c.Routes[i].Priority)
	}
	if c.Customers != nil {
		c.Customers.All(func(u *customer.Customer) { log("customer", string(u.Name), u.Priority) })
	}
}

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

// urgentRetryShare is the part of the slack of a service's retry budget that is kept for the most
// urgent requests. The rest is enough for the retries of an outage of single endpoints.
const urgentRetryShare = 0.25

// retriesKept returns the part of the slack of the retry budget that the request must leave for more
// urgent ones of its service: nothing if it can still meet its objective and none is more urgent.
func (x *exchange) retriesKept() float64 {
	if !x.ordered || x.now().Compare(x.mostUrgent()) <= 0 {
		return 0
	}
	return urgentRetryShare
}

// now returns how urgent the request is by now. A stream that has begun met its objective or missed it
// with its first event.
func (x *exchange) now() urgency.Urgency {
	if x.headSent {
		return x.urgencyAt(x.arrived.Add(x.firstByte))
	}
	return x.urgencyAt(time.Now())
}

// urgencyAt returns how urgent the request is at a time, if it is not answered before.
func (x *exchange) urgencyAt(now time.Time) urgency.Urgency {
	t := x.timing()
	t.Left = max(t.Remaining()-now.Sub(x.arrived), 1)
	return urgency.Of(x.level, t)
}

// mostUrgent returns the urgency of the most urgent routes to the request's service.
func (x *exchange) mostUrgent() urgency.Urgency {
	out := urgency.Urgency{Level: x.level}
	routes := x.g.table.Load().Config().Routes
	for i := range routes {
		if u := (urgency.Urgency{Level: urgency.LevelOf(routes[i].Priority)}); routes[i].LeadsTo(x.service) && u.Compare(out) < 0 {
			out = u
		}
	}
	return out
}

// yieldTime is how long a waiting request leaves a place that became free to more urgent ones: all
// requests that wait are woken together and look within some ms. It is not longer, since a more urgent
// one may wait for something else, such as an endpoint that it has not tried.
const yieldTime = 3 * time.Millisecond

// yield lets more urgent requests that wait for the same look first.
func (x *exchange) yield(ctx context.Context) {
	if !x.ordered || !x.g.demands.moreUrgentWaits(time.Now(), x.info.Want, x.urgencyAt(time.Now())) {
		return
	}
	timer := time.NewTimer(yieldTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// recordWait counts a request that waited for an endpoint; e is nil if it got none.
func (x *exchange) recordWait(e *endpoint) {
	if x.ordered {
		x.g.metrics.countByUrgency("endpoint", x.urgencyAt(time.Now()), e != nil)
	}
}

// recordRetry counts a retry, and logs to whom a refused one gave way.
func (x *exchange) recordRetry(allowed bool) {
	if !x.ordered {
		return
	}
	u, first := x.now(), x.mostUrgent()
	x.g.metrics.countByUrgency("retry_budget", u, allowed)
	if !allowed && u.Compare(first) > 0 {
		x.logGaveWay("retry_budget", u, first)
	}
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

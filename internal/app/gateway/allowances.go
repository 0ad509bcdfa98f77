package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/allowance"
	"github.com/cassiapass/cassiapass/internal/core/customer"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/wire"
)

// allowanceTimeout bounds a report. A leader answers within about 10 ms; one that is frozen
// or cut off does not answer at all.
const allowanceTimeout = 250 * time.Millisecond

// allowances admits requests within the allowances of their customers.
type allowances struct {
	g       *Gateway
	pending chan struct{} // signalled when there is something to report

	mu     sync.Mutex
	client *allowance.Client
}

func newAllowances(g *Gateway) *allowances {
	return &allowances{g: g, pending: make(chan struct{}, 1), client: allowance.NewClient(rand.Float64)}
}

// admit decides whether a request of a customer is admitted.
func (a *allowances) admit(c *customer.Customer, q allowance.Ask) allowance.Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := a.client.Decide(time.Now(), c.Name, c.Allowance, q)
	a.signalReport()
	return d
}

func (a *allowances) refund(name ident.Customer, cost float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.client.Refund(name, cost)
	a.signalReport()
}

func (a *allowances) signalReport() {
	select {
	case a.pending <- struct{}{}:
	default: // a report is pending already
	}
}

// leaderReached records that a leader has answered.
func (a *allowances) leaderReached() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.client.Reached()
}

// run reports to the leader while requests arrive, until the gateway stops.
func (a *allowances) run(ctx context.Context) {
	pause := time.NewTimer(0)
	defer pause.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.pending:
		}
		select {
		case <-ctx.Done():
			return
		case <-pause.C:
		}
		pause.Reset(allowance.ReportInterval)
		a.report(ctx)
	}
}

// report reports the usage to the leader and applies the shares that it returns.
func (a *allowances) report(ctx context.Context) {
	a.mu.Lock()
	uses := a.client.Report(time.Now())
	a.mu.Unlock()
	if len(uses) == 0 {
		return
	}
	r, err := a.call(ctx, uses)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.g.cfg.Log.Info().Err(err).Int("customers", len(uses)).Msg("allowance_not_told")
		a.client.Unanswered(time.Now())
		a.signalReport()
		return
	}
	a.client.Answered(time.Now(), r.Shares)
}

func (a *allowances) call(ctx context.Context, uses []allowance.Use) (wire.AllowanceResult, error) {
	var r wire.AllowanceResult
	conn := a.g.sync.leader()
	if conn == nil {
		return r, errNoLeader
	}
	ctx, cancel := context.WithTimeout(ctx, allowanceTimeout)
	defer cancel()
	err := conn.Call(ctx, wire.MethodAllowance, wire.AllowanceParams{Host: a.g.cfg.Host, Uses: uses}, &r)
	if err == nil && !r.Leading {
		err = errNoLeader
	}
	return r, err
}

// charge takes the request's cost from its customer's allowance. It returns false if the
// customer may not use that much now.
func (x *exchange) charge() bool {
	c := x.requester.customer
	if c == nil || !c.Allowance.Limited() {
		return true
	}
	x.cost = c.Allowance.Cost(x.info.Tokens, x.info.HasTokens)
	q := x.ask()
	x.decision = x.g.allowances.admit(c, q)
	x.g.metrics.countAllowance(c.Name, x.decision)
	x.recordOrder(q)
	return x.decision.Admitted
}

// refund returns the cost of a request that did not run to its customer's allowance.
func (x *exchange) refund() {
	if x.cost > 0 && x.decision.Admitted {
		x.g.allowances.refund(x.requester.customerName(), x.cost)
	}
}

// refuseOverAllowance answers a request that was not admitted and so has not run. The
// status is 429 only if the leader reports that the allowance is used up; it is 503 if the
// leader is silent.
func (x *exchange) refuseOverAllowance() bool {
	if x.decision.Silent {
		x.reason = reasonAllowanceUnknown
		return x.refuse(http.StatusServiceUnavailable, "not_run")
	}
	x.reason = reasonOverAllowance
	return x.refuse(http.StatusTooManyRequests, "over_allowance")
}

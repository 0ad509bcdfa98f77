package allowances

import (
	"strconv"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/allowance"
	"github.com/cassiapass/cassiapass/internal/core/customer"
	"github.com/cassiapass/cassiapass/internal/core/ident"
)

// production runs the production code: a shared admission probability with a fallback.
type production struct {
	counter
	w          *simulation
	leader     *allowance.Allocator
	clients    []*allowance.Client
	reporting  []bool
	reportedAt []time.Time
}

// answerTimeout is how long an entry waits for the leader's answer to a report.
const answerTimeout = 250 * time.Millisecond

func newProduction(w *simulation) method {
	g := &production{w: w}
	g.restart()
	return g
}

func (g *production) restart() {
	g.leader = allowance.NewAllocator(allowance.Tolerance{Window: window, Excess: toleratedShare, Slack: toleratedUnits})
	g.clients, g.reporting, g.reportedAt = nil, nil, nil
	g.applyLimits()
	g.addEntries()
}

func (g *production) addEntries() {
	for len(g.clients) < g.w.entries {
		g.clients = append(g.clients, allowance.NewClient(g.w.r.Float64))
		g.reporting = append(g.reporting, false)
		g.reportedAt = append(g.reportedAt, g.w.now)
	}
}

func customerName(c int) ident.Customer { return ident.Customer("c" + strconv.Itoa(c)) }

func (g *production) applyLimits() {
	var all []allowance.Limit
	for c, l := range g.w.limits {
		all = append(all, allowance.Limit{Customer: customerName(c), Rate: l.rate, Burst: l.burst})
	}
	g.leader.SetLimits(g.w.now, all)
}

func (g *production) request(entry, c int, cost float64, decide func(bool)) {
	l := g.w.limits[c]
	lim := customer.Allowance{Rate: l.rate, Burst: l.burst, Unit: customer.Tokens}
	decide(g.clients[entry].Request(g.w.now, customerName(c), lim, cost).Admitted)
}

func (g *production) step() {
	for i, c := range g.clients {
		if g.w.reachesLeader(i) {
			g.leader.Seen(g.w.now, strconv.Itoa(i), g.w.entries)
			c.Reached()
		}
		if !g.reporting[i] && g.w.now.Sub(g.reportedAt[i]) >= allowance.ReportInterval && c.Pending() {
			g.reportedAt[i] = g.w.now
			g.report(i)
		}
	}
}

func (g *production) report(i int) {
	c := g.clients[i]
	uses := c.Report(g.w.now)
	g.countMessage(uses)
	g.reporting[i] = true
	if !g.w.reachesLeader(i) {
		g.w.pending = append(g.w.pending, message{g.w.now.Add(answerTimeout), func() {
			g.reporting[i] = false
			c.Unanswered(g.w.now)
		}})
		return
	}
	leader := g.leader
	g.w.afterLatency(func() {
		shares := leader.Report(g.w.now, strconv.Itoa(i), uses)
		g.countMessage(shares)
		g.w.afterLatency(func() {
			g.reporting[i] = false
			c.Answered(g.w.now, shares)
		})
	})
}

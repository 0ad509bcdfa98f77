package allowance

import (
	"time"

	"github.com/cassiapass/cassiapass/internal/core/customer"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/urgency"
)

// Client is an entry's side: it decides on requests and collects use for the reports to the
// leader. It is not safe for concurrent use.
type Client struct {
	draw       func() float64 // returns a random number from 0 to 1
	accounts   map[ident.Customer]*localAccount
	lastAnswer time.Time
	silent     bool // the last report was not answered
}

// localAccount is one customer's state at this entry.
type localAccount struct {
	limit         customer.Allowance
	requested     float64 // units, not reported yet
	used          float64
	sent          Use // reported but not yet answered
	chance        float64
	chanceAt      time.Time // when chance was received; zero if never
	pressure      float64
	longDemand    demand    // averaged over longDemandDecay
	fallback      float64   // units a second while the leader is silent
	fallbackBurst float64   // units in addition to fallback when the leader becomes silent
	credit        float64   // units that may be spent while the leader is silent
	creditAt      time.Time // when credit was last updated
	lastRequest   time.Time
	ranks         localRanks // of the requests that are ordered by urgency
}

// Decision tells whether a request is admitted under its customer's allowance.
type Decision struct {
	Admitted   bool
	RetryAfter time.Duration // time after which to try again, if it is not admitted
	// The inputs of the decision, for logs.
	Chance   float64
	Pressure float64
	Age      time.Duration // of the leader's last answer
	Silent   bool          // the leader does not answer reports
	// GaveWay is set if a more urgent class of the customer's requests, GaveWayTo, had a better
	// chance.
	GaveWay   bool
	GaveWayTo urgency.Class
}

// NewClient returns a Client without customers. draw returns a random number from 0 to 1.
func NewClient(draw func() float64) *Client {
	return &Client{draw: draw, accounts: map[ident.Customer]*localAccount{}}
}

// Request decides whether a customer's request of the given cost, in units, is admitted. All requests
// of the customer have the same chance.
func (c *Client) Request(now time.Time, name ident.Customer, limit customer.Allowance, cost float64) Decision {
	return c.Decide(now, name, limit, Ask{Cost: cost})
}

// Decide decides whether a customer's request is admitted.
func (c *Client) Decide(now time.Time, name ident.Customer, limit customer.Allowance, q Ask) Decision {
	a := c.account(name, limit)
	a.lastRequest = now
	a.requested += q.Cost
	a.longDemand.add(now, q.Cost, longDemandDecay)
	d := Decision{Chance: 1, Pressure: a.pressure, Age: now.Sub(c.lastAnswer), Silent: c.silent}
	if now.Sub(a.chanceAt) <= chanceMaxAge {
		d.Chance = a.chance
	}
	var shares []RankShare
	var own RankShare
	if q.Ordered {
		a.ranks.add(now, q.rank(), q.Cost)
		shares = a.order(now, c.silent, d.Chance)
		own = shareOf(shares, q.rank())
		d.Chance = own.Chance
	}
	switch {
	case !c.silent:
		d.Admitted = d.Chance >= 1 || c.draw() < d.Chance
	case d.Age > fallbackDuration:
	case q.Ordered && d.Chance < 1 && c.draw() >= d.Chance: // the entry's part is for more urgent requests
	default:
		d.Admitted = a.spendFallback(now, q.Cost, c.draw())
	}
	switch {
	case !d.Admitted:
		d.GaveWayTo, d.GaveWay = gaveWayTo(shares, own)
		d.RetryAfter = c.retryAfter(a, q, shares, own)
	case !c.silent || d.Age <= silentAfter:
		a.used += q.Cost // later use is covered by what the leader withholds
	}
	return d
}

// retryAfter returns the time after which a refused request should be tried again.
func (c *Client) retryAfter(a *localAccount, q Ask, shares []RankShare, own RankShare) time.Duration {
	if own.Wait > 0 {
		return comeBack(q, shares, own, c.draw())
	}
	return time.Duration((0.5 + c.draw()) * max(1, min(a.pressure, maxPressure)) * float64(retryAfter))
}

// account returns a customer's account under the limit in force. A lower limit reduces the
// fallback rate in proportion.
func (c *Client) account(name ident.Customer, limit customer.Allowance) *localAccount {
	a := c.accounts[name]
	if a == nil {
		a = &localAccount{limit: limit}
		c.accounts[name] = a
	}
	if a.limit.Rate > limit.Rate && a.limit.Rate > 0 {
		a.fallback *= limit.Rate / a.limit.Rate
		a.fallbackBurst *= limit.Rate / a.limit.Rate
	}
	a.limit = limit
	return a
}

// spendFallback spends units of the fallback rate. If the credit is less than the cost, the request
// is admitted with probability credit/cost and the credit is set to 0: on average no more is
// spent than was available.
func (a *localAccount) spendFallback(now time.Time, cost, draw float64) bool {
	a.credit, a.creditAt = a.saved(now), now
	if a.credit < cost {
		admitted := draw*cost < a.credit
		a.credit = 0
		return admitted
	}
	a.credit -= cost
	return true
}

// saved returns the units that may be spent now while the leader is silent.
func (a *localAccount) saved(now time.Time) float64 {
	return min(a.credit+a.fallback*now.Sub(a.creditAt).Seconds(), max(a.fallback, a.fallbackBurst))
}

// Refund refunds the units of an admitted request that did not run.
func (c *Client) Refund(name ident.Customer, cost float64) {
	if a := c.accounts[name]; a != nil {
		a.used -= cost
	}
}

// Pending reports whether there is anything to report.
func (c *Client) Pending() bool {
	for _, a := range c.accounts {
		if a.requested != 0 || a.used != 0 {
			return true
		}
	}
	return false
}

// Report returns the use since the last report, and removes customers without requests for
// fallbackDuration. Answered or Unanswered must be called before the next Report.
func (c *Client) Report(now time.Time) []Use {
	var out []Use
	for name, a := range c.accounts {
		if a.requested == 0 && a.used == 0 {
			if now.Sub(a.lastRequest) > fallbackDuration {
				delete(c.accounts, name)
			}
			continue
		}
		a.sent = Use{Customer: name, Requested: a.requested, Used: a.used, LongDemand: a.longDemand.rate(now, longDemandDecay), Ranks: a.ranks.report()}
		a.requested, a.used = 0, 0
		out = append(out, a.sent)
	}
	return out
}

// Answered applies the leader's answer to the last report.
func (c *Client) Answered(now time.Time, shares []Share) {
	c.lastAnswer, c.silent = now, false
	for _, s := range shares {
		if a := c.accounts[s.Customer]; a != nil {
			a.chance, a.chanceAt, a.pressure = s.Chance, now, s.Pressure
			a.fallback, a.fallbackBurst = s.Fallback, s.FallbackBurst
			if len(a.sent.Ranks) > 0 {
				a.ranks.shares = s.Ranks
			}
		}
	}
	for _, a := range c.accounts {
		a.sent = Use{}
	}
}

// Unanswered records that the last report was not answered, or that there is no leader. Its
// contents are sent again with the next report: the leader may count them twice, and then
// admits too little for a moment.
func (c *Client) Unanswered(now time.Time) {
	for _, a := range c.accounts {
		a.requested += a.sent.Requested
		a.used += a.sent.Used
		a.ranks.restore(a.sent.Ranks)
		a.sent = Use{}
		if !c.silent {
			a.credit, a.creditAt = a.fallbackBurst, now
		}
	}
	c.silent = true
}

// Reached records that a leader can be reached again: its answers apply from now on.
func (c *Client) Reached() { c.silent = false }

package allowance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/customer"
)

var epoch = time.Unix(1000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func limitOf(rate, burst float64) customer.Allowance {
	return customer.Allowance{Rate: rate, Burst: burst, Unit: customer.Tokens}
}

// settled returns an Allocator for customer "a" whose leader has led long enough for a full bucket.
func settled(rate, burst float64) *Allocator {
	l := NewAllocator(Tolerance{})
	l.SetLimits(epoch.Add(-time.Hour), []Limit{{"a", rate, burst}})
	return l
}

func newClient(seed uint64) *Client { return NewClient(rand.New(rand.NewPCG(seed, 1)).Float64) }

// report delivers a report to the leader and its answer to the client; without a leader the
// report is not answered.
func report(now time.Time, l *Allocator, entry string, c *Client) {
	uses := c.Report(now)
	if l == nil {
		c.Unanswered(now)
		return
	}
	l.Seen(now, entry, 0)
	c.Answered(now, l.Report(now, entry, uses))
}

// spend makes a request in each millisecond of a span, reports every ReportInterval, and returns
// the units that were admitted.
func spend(l *Allocator, entry string, c *Client, lim customer.Allowance, cost float64, from, to int) (units float64) {
	for ms := from; ms < to; ms++ {
		if c.Request(at(ms), "a", lim, cost).Admitted {
			units += cost
		}
		if ms%int(ReportInterval.Milliseconds()) == 0 {
			report(at(ms), l, entry, c)
		}
	}
	return units
}

// Guards against entries that together admit more than rate and burst allow, or much less.
func TestEntriesTogetherStayWithinTheBucket(t *testing.T) {
	is := is.New(t)
	l, lim := settled(1000, 500), limitOf(1000, 500)
	clients := []*Client{newClient(1), newClient(2), newClient(3)}
	admitted := 0.0
	for ms := range 4000 { // the demand is six times the rate
		for i, c := range clients {
			admitted += spend(l, string(rune('a'+i)), c, lim, 2, ms, ms+1)
		}
	}
	is.True(admitted <= 4*1000+500+6000*ReportInterval.Seconds())
	is.True(admitted >= 4*1000)
}

func TestCustomerWithinItsAllowanceIsNeverRefused(t *testing.T) {
	is := is.New(t)
	l, lim, c := settled(1000, 1000), limitOf(1000, 1000), newClient(1)
	is.Equal(spend(l, "e1", c, lim, 0.5, 0, 5000), 5000*0.5)
}

// Guards against idle entries that hold a part of the allowance.
func TestOneEntryCanUseTheWholeAllowance(t *testing.T) {
	is := is.New(t)
	l, lim := settled(1000, 100), limitOf(1000, 100)
	for _, entry := range []string{"e1", "e2", "e3"} {
		spend(l, entry, newClient(1), lim, 1, 0, 100)
	}
	admitted, late := 0.0, newClient(2)
	for ms := 2000; ms < 6000; ms++ {
		for _, entry := range []string{"e1", "e2", "e3"} {
			l.Seen(at(ms), entry, 0) // they are alive, but receive no requests
		}
		admitted += spend(l, "e4", late, lim, 3, ms, ms+1)
	}
	is.True(admitted >= 4*1000*0.95)
}

func TestRetryAfterGrowsWithPressure(t *testing.T) {
	is := is.New(t)
	c := NewClient(func() float64 { return 0.5 })
	after := func(pressure float64) time.Duration {
		c.Request(at(0), "a", limitOf(1, 1), 1)
		c.Report(at(0))
		c.Answered(at(0), []Share{{Customer: "a", Chance: 0, Pressure: pressure}})
		return c.Request(at(1), "a", limitOf(1, 1), 1).RetryAfter
	}
	is.Equal(after(0.4), retryAfter)
	is.Equal(after(3), 3*retryAfter)
	is.Equal(after(100), maxPressure*retryAfter)
}

// Guards against a request that did not run but still uses up its customer's allowance.
func TestRefundedUnitsAreUsableAgain(t *testing.T) {
	is := is.New(t)
	l, lim, c := settled(100, 100), limitOf(100, 100), newClient(1)
	is.True(c.Request(at(0), "a", lim, 100).Admitted)
	report(at(0), l, "e1", c)
	c.Refund("a", 100)
	report(at(1), l, "e1", c)
	is.True(l.Status(at(1))[0].Level > 99)
}

// Guards against an entry that is partitioned from the leader and spends more than the leader
// withholds for it.
func TestSilentEntrySpendsWhatIsWithheldForIt(t *testing.T) {
	is := is.New(t)
	l, lim := settled(1000, 1000), limitOf(1000, 1000)
	cut, other := newClient(1), newClient(2)
	for ms := range 3000 { // the demand at each is twice the rate
		spend(l, "cut", cut, lim, 2, ms, ms+1)
		spend(l, "other", other, lim, 2, ms, ms+1)
	}
	var cutSpent, otherSpent float64
	for ms := 3000; ms < 13000; ms++ {
		cutSpent += spend(nil, "cut", cut, lim, 2, ms, ms+1)
		otherSpent += spend(l, "other", other, lim, 2, ms, ms+1)
	}
	is.True(cutSpent+otherSpent <= 10*1000+1000) // rate and burst, including the second before it counted as silent
	is.True(cutSpent+otherSpent >= 10*1000*0.9)
	is.True(cutSpent > 10*1000*0.3)                             // it is not starved
	is.Equal(spend(nil, "cut", cut, lim, 2, 18100, 19000), 0.0) // the leader no longer withholds anything
}

// Guards against requests that wait for a leader which does not answer, or that are refused
// although each entry has a fallback rate.
func TestSilentLeaderLeavesEntriesTheirFallbackRate(t *testing.T) {
	is := is.New(t)
	l, lim, c := settled(1000, 1000), limitOf(1000, 1000), newClient(1)
	spend(l, "e1", c, lim, 0.5, 0, 2000)
	got := spend(nil, "e1", c, lim, 0.5, 2000, 5000)
	is.True(got >= 3000*0.5*0.95)
	is.True(c.Request(at(5001), "a", lim, 0.5).Silent)
	c.Reached()
	is.True(!c.Request(at(5002), "a", lim, 0.5).Silent)
}

// Guards against an entry that, just after its leader became silent, refuses the first requests
// of customers that use half of their allowance and call it every other second.
func TestSilentLeaderDoesNotStopInfrequentCustomers(t *testing.T) {
	is := is.New(t)
	l, lim := settled(5000, 5000), limitOf(5000, 5000)
	clients := make([]*Client, 5)
	for i := range clients {
		clients[i] = newClient(uint64(i))
	}
	admitted, asked := 0, 0
	for ms := 0; ms < 14000; ms += 2 {
		for i, c := range clients {
			if (ms+400*i)%2000 == 0 { // 1,000 units every other second
				d := c.Request(at(ms), "a", lim, 1000)
				if ms >= 10000 {
					asked++
				}
				if ms >= 10000 && d.Admitted {
					admitted++
				}
			}
			switch {
			case ms%200 != 0:
			case ms < 10000:
				report(at(ms), l, string(rune('a'+i)), c)
			default:
				report(at(ms), nil, "", c)
			}
		}
	}
	is.True(float64(admitted) >= 0.9*float64(asked))
}

// Guards against a leader that grants the whole rate to the entries it can reach, while others
// have been partitioned since before it led and spend fallback rates of its predecessor.
func TestNewLeaderWithholdsForUnseenEntries(t *testing.T) {
	is := is.New(t)
	old, lim := settled(1000, 1000), limitOf(1000, 1000)
	names := []string{"a", "b", "c"}
	clients := []*Client{newClient(1), newClient(2), newClient(3)}
	for ms := range 4000 { // demand is four times the rate
		for i, c := range clients {
			spend(old, names[i], c, lim, 4.0/3, ms, ms+1)
			old.Seen(at(ms), names[i], 3)
		}
	}
	next := NewAllocator(Tolerance{})
	next.SetLimits(at(4000), []Limit{{"a", 1000, 1000}})
	spent := 0.0
	for ms := 4000; ms < 12000; ms++ {
		for i, c := range clients {
			if names[i] == "c" {
				spent += spend(nil, "c", c, lim, 4.0/3, ms, ms+1)
				continue
			}
			next.Seen(at(ms), names[i], 3)
			spent += spend(next, names[i], c, lim, 4.0/3, ms, ms+1)
		}
	}
	is.True(spent <= 8*1000*1.05+1000*startShare) // 0.3 of the rate is not withheld for 0.7 s
	is.True(spent >= 8*1000*0.85)
}

// Guards against a lowered limit that takes effect only after seconds.
func TestLowerLimitAppliesFromTheNextReport(t *testing.T) {
	is := is.New(t)
	l, c := settled(10000, 10000), newClient(1)
	spend(l, "e1", c, limitOf(10000, 10000), 8, 0, 2000)
	l.SetLimits(at(2000), []Limit{{"a", 1000, 1000}})
	admitted := spend(l, "e1", c, limitOf(1000, 1000), 8, 2000, 6000)
	is.True(admitted <= 4*1000+1000+8000*ReportInterval.Seconds())
	is.True(admitted >= 3*1000*0.9) // the excess is paid back within a second
}

// Guards against a bucket that leaves too little of the tolerance for late reports.
func TestAFifthOfTheToleranceIsUsed(t *testing.T) {
	is := is.New(t)
	tol := Tolerance{Window: 8 * time.Second, Excess: 0.1, Slack: 17000}
	for _, rate := range []float64{4200, 25701, 161091} {
		lim := Limit{"a", rate, rate}
		base := 8*rate + rate
		used := 8*tol.fill(lim) + rate // starting from a full bucket
		is.True(used <= base+(0.1*base+17000)/5)
		is.True(8*tol.fill(lim) <= base) // without the full bucket at most rate and burst
		is.True(tol.start(lim) <= rate)
	}
	is.Equal(Tolerance{}.fill(Limit{"a", 100, 100}), 100.0)
}

// Guards against memory that grows with every customer and entry ever seen.
func TestIdleCustomersAndEntriesAreRemoved(t *testing.T) {
	is := is.New(t)
	l, lim, c := settled(1000, 1000), limitOf(1000, 1000), newClient(1)
	spend(l, "e1", c, lim, 1, 0, 1000)
	report(at(1000), l, "e1", c)
	late := at(1000 + 2*int(fallbackDuration.Milliseconds()))
	report(late, l, "e1", c)
	is.Equal(len(c.accounts), 0)
	is.Equal(len(l.Status(late)[0].Entries), 0)
}

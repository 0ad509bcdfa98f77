// Package limit bounds what one process sends: retries by a budget, requests by
// the rate sold to each customer, calls to rate-limited services by a pacer, and
// large messages by a bandwidth meter.
package limit

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/cassiapass/cassiapass/internal/core/ident"
)

// Budget allows a share of requests to be retried. Without it, every request
// that fails during a large outage is sent several times, and the remaining
// endpoints get a multiple of their load when they have the least spare capacity.
type Budget struct {
	tokens float64
	share  float64
	burst  float64
}

// NewBudget returns a Budget that allows share retries per request and a burst
// of burst retries.
func NewBudget(share, burst float64) *Budget {
	return &Budget{tokens: burst, share: share, burst: burst}
}

// Request counts a first attempt.
func (b *Budget) Request() { b.tokens = min(b.tokens+b.share, b.burst) }

// Retry takes one retry from the budget. It returns false if the budget is used up.
func (b *Budget) Retry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns the pause before retry number n (1 is the first): exponential
// with full jitter, so that requests that failed at the same time are not
// retried at the same time.
func Backoff(n int, first, maxPause time.Duration, rand func(int) int) time.Duration {
	d := min(first<<min(n-1, 16), maxPause)
	return time.Duration(rand(int(d) + 1))
}

// Rates holds one token bucket per customer and service.
type Rates struct {
	buckets map[rateKey]*rate.Limiter
	burst   time.Duration
}

type rateKey struct {
	service  string
	customer ident.Customer
}

// NewRates returns Rates whose buckets hold the requests that the rate allows
// within burst.
func NewRates(burst time.Duration) *Rates {
	return &Rates{buckets: map[rateKey]*rate.Limiter{}, burst: burst}
}

// Allow takes one request from this entry's share of the customer's sold rate,
// which is divided evenly among the entries. If the share is used up, it returns
// false and the time to wait.
func (r *Rates) Allow(now time.Time, service string, c ident.Customer, sold float64, entries int) (ok bool, wait time.Duration) {
	share := sold / float64(max(entries, 1))
	burst := max(1, int(share*r.burst.Seconds()))
	k := rateKey{service, c}
	b := r.buckets[k]
	if b == nil {
		b = rate.NewLimiter(rate.Limit(share), burst)
		r.buckets[k] = b
	}
	if float64(b.Limit()) != share {
		b.SetLimitAt(now, rate.Limit(share))
		b.SetBurstAt(now, burst)
	}
	res := b.ReserveN(now, 1)
	if d := res.DelayFrom(now); d > 0 {
		res.CancelAt(now)
		return false, d
	}
	return true, 0
}

// Package limit bounds what one entry sends: retries by a budget and requests
// by the rate that was sold to each customer.
package limit

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/cassiapass/cassiapass/internal/core/ident"
)

// Budget allows a share of requests to be retried. Without it, every request
// that fails during a large loss is sent several times, and the endpoints that
// are left get a multiple of their load just when they have least to spare.
type Budget struct {
	tokens float64
	share  float64
	most   float64
}

// NewBudget returns a Budget that allows share retries per request and a burst
// of most.
func NewBudget(share, most float64) *Budget { return &Budget{tokens: most, share: share, most: most} }

// Request counts a first attempt.
func (b *Budget) Request() { b.tokens = min(b.tokens+b.share, b.most) }

// Retry takes one retry from the budget; false if it is used up.
func (b *Budget) Retry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns the pause before retry number n (1 is the first): exponential
// with full jitter, so that requests that failed together do not come back
// together.
func Backoff(n int, first, most time.Duration, rand func(int) int) time.Duration {
	d := min(first<<min(n-1, 16), most)
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

// NewRates returns Rates whose buckets hold what the rate brings in burst.
func NewRates(burst time.Duration) *Rates {
	return &Rates{buckets: map[rateKey]*rate.Limiter{}, burst: burst}
}

// Allow takes one request from the customer's share of the rate sold: this
// entry's part when entries divide the traffic evenly. It returns the time to
// wait when the share is used up.
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

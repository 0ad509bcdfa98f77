package limit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against retries that multiply the load of the remaining endpoints during
// a large outage: half of all attempts fail, and every failure is retried.
func TestBudgetBoundsAttemptsUnderHalfLoss(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 2))
	b := NewBudget(0.2, 20)
	requests, attempts := 10000, 0
	for range requests {
		b.Request()
		attempts++
		for r.IntN(2) == 0 && b.Retry() {
			attempts++
		}
	}
	per := float64(attempts) / float64(requests)
	t.Logf("%.3f attempts per request at 50%% loss", per)
	is.True(per < 1.21)
}

func TestBackoffGrowsAndStaysBounded(t *testing.T) {
	is := is.New(t)
	largest := func(n int) int { return n - 1 }
	is.Equal(Backoff(1, time.Second, time.Minute, largest), time.Second)
	is.Equal(Backoff(3, time.Second, time.Minute, largest), 4*time.Second)
	is.Equal(Backoff(30, time.Second, time.Minute, largest), time.Minute)
}

func TestSoldRateIsSharedByTheEntries(t *testing.T) {
	is := is.New(t)
	r := NewRates(time.Second)
	now := time.Unix(1000, 0)
	allowed := 0
	for range 100 {
		if ok, wait := r.Allow(now, "s", "c", 40, 4); ok {
			allowed++
		} else {
			is.True(wait > 0)
		}
	}
	is.Equal(allowed, 10)
	ok, _ := r.Allow(now.Add(time.Second), "s", "c", 40, 4)
	is.True(ok)
}

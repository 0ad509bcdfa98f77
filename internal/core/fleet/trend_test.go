package fleet

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestTrend guards against a rate that follows chance, and one that follows a change too late.
func TestTrend(t *testing.T) {
	const step = 50 * time.Millisecond
	for _, c := range []struct {
		name          string
		before, after float64 // requests a second
		low, high     float64 // bounds of the foreseen rate 2 s after the change
	}{
		{"steady", 30, 30, 20, 42},
		{"rises", 4, 60, 28, 75},
		{"falls", 60, 0, 0, 30},
		{"rare", 1, 1, 0, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := rand.New(rand.NewPCG(1, 2))
			now := time.Unix(1e6, 0)
			p := New(DefaultConfig())
			p.SetForesight(true)
			play := func(rate float64, d time.Duration) {
				for range int(d / step) {
					now = now.Add(step)
					n := 0
					for range 100 {
						if r.Float64() < rate*step.Seconds()/100 {
							n++
						}
					}
					p.RecordDemand(now, "entry", []Demand{{Want: Want{Model: "m"}, Arrived: n}}, nil)
				}
			}
			play(c.before, 30*time.Second)
			play(c.after, 2*time.Second)
			got := p.foreseenRate(now, "m")
			usual := p.rate(now, "m")
			t.Logf("%.1f foreseen, %.1f usual", got, usual)
			is.True(got >= c.low && got <= c.high)
			p.SetForesight(false)
			is.Equal(p.foreseenRate(now, "m"), usual)
		})
	}
}

package fleet

import (
	"math"
	"time"
)

const (
	// quickHalfLife is the half-life of the rate that shows at once where demand moves, and
	// peakHalfLife that of the highest rate lately, which shows what may be asked for again.
	quickHalfLife = time.Second
	peakHalfLife  = time.Minute
	// quickSigmas is how many standard deviations the quick rate must differ from the usual one
	// to count as a trend.
	quickSigmas = 2
	// peakShare is the part of the peak that copies are kept for after demand has moved on.
	peakShare = 0.5
)

// trend is what is known of the change of a model's request rate.
type trend struct {
	quick float64 // requests a second, decayed within a second
	peak  float64 // the highest rate, decayed over minutes
}

// decay lets time pass.
func (t *trend) decay(dt time.Duration) {
	t.quick *= math.Exp2(-dt.Seconds() / quickHalfLife.Seconds())
	t.peak *= math.Exp2(-dt.Seconds() / peakHalfLife.Seconds())
}

// arrived counts requests that arrived evenly within the time before now.
func (t *trend) arrived(n int, within time.Duration) {
	if s := within.Seconds(); s > 0 {
		t.quick += float64(n) / s * (1 - math.Exp2(-s/quickHalfLife.Seconds()))
		return
	}
	t.quick += float64(n) * math.Ln2 / quickHalfLife.Seconds()
}

// foreseen returns the rate to plan with: the usual one, or the quick one where the difference
// is more than chance. For random arrivals the variance of the quick rate is its mean times
// ln 2 / (2 * half-life).
func (t *trend) foreseen(usual float64) float64 {
	chance := quickSigmas * math.Sqrt((t.quick+1)*math.Ln2/2/quickHalfLife.Seconds())
	return min(max(usual, t.quick-chance), t.quick+chance)
}

// foreseenRate returns the request rate of a model to plan with.
func (p *Planner) foreseenRate(now time.Time, name string) float64 {
	rate := p.rate(now, name)
	if m := p.models[name]; m != nil && p.foresight != nil {
		return m.trend.foreseen(rate)
	}
	return rate
}

// rateToProtect returns the request rate of a model that copies should be able to serve after a
// loss.
func (p *Planner) rateToProtect(now time.Time, m *model) float64 {
	m.decay(now, p.cfg.RateHalfLife)
	rate := m.trend.foreseen(m.rate)
	m.trend.peak = max(m.trend.peak, m.rate)
	return max(rate, peakShare*m.trend.peak)
}

package fleet

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// maxReportedRates bounds the models whose rates an entry tells a new leader: those below have
	// little part in what engines hold.
	maxReportedRates = 16
	// maxReportGap is the time before a report whose arrivals it is taken to contain if the entry
	// has not reported for longer, or never.
	maxReportGap = 2 * time.Second
	// rateMemoryTime is the time after which an arrival no longer counts in any rate.
	rateMemoryTime = time.Minute
)

// ArrivalRate is the rate at which requests for a model arrive at an entry.
type ArrivalRate struct {
	Model string  `json:"model"`
	Rate  float64 `json:"rate"` // requests a second
}

// ArrivalRates are the rates of an entry's busiest models, as its reports up to some time ago
// showed them to the former leader.
type ArrivalRates struct {
	Age    time.Duration `json:"age"`
	Models []ArrivalRate `json:"models"`
}

// RateMemory keeps an entry's arrival rates for the next leader. The zero value is empty. It is not
// safe for concurrent use.
type RateMemory struct {
	at      time.Time // of the last report
	byModel map[string]float64
}

// Record adds what a report contains.
func (r *RateMemory) Record(now time.Time, ds []Demand) {
	halfLife := DefaultConfig().RateHalfLife.Seconds()
	left := math.Exp2(-now.Sub(r.at).Seconds() / halfLife)
	next := make(map[string]float64, len(r.byModel))
	for name, rate := range r.byModel {
		if rate *= left; rate >= minListedRate {
			next[name] = rate
		}
	}
	for _, d := range ds {
		if d.Arrived > 0 {
			next[d.Want.Model] += float64(d.Arrived) * math.Ln2 / halfLife
		}
	}
	r.at, r.byModel = now, next
}

// Rates returns the rates for a new leader, without what has arrived since the last report; nil if
// there are none.
func (r *RateMemory) Rates(now time.Time) *ArrivalRates {
	if len(r.byModel) == 0 {
		return nil
	}
	out := &ArrivalRates{Age: now.Sub(r.at)}
	for _, name := range slices.Sorted(maps.Keys(r.byModel)) {
		out.Models = append(out.Models, ArrivalRate{name, r.byModel[name]})
	}
	slices.SortStableFunc(out.Models, func(a, b ArrivalRate) int { return cmp.Compare(b.Rate, a.Rate) })
	out.Models = out.Models[:min(len(out.Models), maxReportedRates)]
	return out
}

// RecordRates adds what an entry's reports showed to the former leader. It precedes the entry's first
// report to this planner; later ones contain what this planner knows and are ignored.
func (p *Planner) RecordRates(now time.Time, entry string, rates *ArrivalRates) {
	if _, known := p.reportedAt[entry]; known || rates == nil || rates.Age < 0 || len(rates.Models) > maxReportedRates {
		return
	}
	p.reportedAt[entry] = now.Add(-rates.Age)
	for _, r := range rates.Models {
		if !(r.Rate > 0) || math.IsInf(r.Rate, 0) {
			continue
		}
		m := p.modelNamed(now, r.Model)
		m.decay(now, p.cfg.RateHalfLife)
		m.rate += r.Rate * math.Exp2(-rates.Age.Seconds()/p.cfg.RateHalfLife.Seconds())
		m.trend.quick += r.Rate * math.Exp2(-rates.Age.Seconds()/quickHalfLife.Seconds())
		m.trend.peak = max(m.trend.peak, m.rate)
	}
}

// forgetReport drops when an entry last reported, if that is so long ago that its rates count no
// longer: until then they must not be added a second time.
func (p *Planner) forgetReport(entry string) {
	newest := p.reportedAt[entry]
	for _, at := range p.reportedAt {
		if at.After(newest) {
			newest = at
		}
	}
	for name, at := range p.reportedAt {
		if newest.Sub(at) > rateMemoryTime {
			delete(p.reportedAt, name)
		}
	}
}

// modelNamed returns what is known of a model.
func (p *Planner) modelNamed(now time.Time, name string) *model {
	m, known := p.models[name]
	if !known {
		m = &model{ratedAt: now}
		p.models[name] = m
	}
	return m
}

// reportGap returns the time before an entry's report in which its arrivals fall.
func (p *Planner) reportGap(now time.Time, entry string) time.Duration {
	last, known := p.reportedAt[entry]
	p.reportedAt[entry] = now
	if !known {
		return maxReportGap
	}
	return min(now.Sub(last), maxReportGap)
}

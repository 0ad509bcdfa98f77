package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// busiest returns the models with a request a second or more (busyRate), which alone can
// fill an engine, the busiest first.
func (p *Planner) busiest(now time.Time) []string {
	var out []modelRate
	for name := range p.models {
		if rate := p.rate(now, name); rate >= busyRate {
			out = append(out, modelRate{name, p.weightedRate(now, name)})
		}
	}
	return byRate(out)
}

// modelRate is a model with its request rate.
type modelRate struct {
	name string
	rate float64 // requests a second
}

// byRate returns the names of models by falling request rate.
func byRate(ms []modelRate) []string {
	slices.SortFunc(ms, func(a, b modelRate) int { return cmp.Or(cmp.Compare(b.rate, a.rate), cmp.Compare(a.name, b.name)) })
	out := make([]string, len(ms))
	for i, m := range ms {
		out[i] = m.name
	}
	return out
}

// ModelDemand is the known demand for one model.
type ModelDemand struct {
	Model   string
	Rate    float64 // requests a second
	Holders int     // engines that hold it
	Waiting int     // requests that wait for it or its adapters
}

// String returns the demand for logs.
func (d ModelDemand) String() string {
	return fmt.Sprintf("%s %.1f/s held by %d, %d wait", d.Model, d.Rate, d.Holders, d.Waiting)
}

// minListedRate is the rate below which a model counts as idle: a request a minute.
const minListedRate = 1.0 / 60

// Busiest returns the demand for the n models with the highest request rates.
func (p *Planner) Busiest(now time.Time, n int) []ModelDemand {
	p.sumReports()
	var out []ModelDemand
	for name := range p.models {
		if rate := p.rate(now, name); rate >= minListedRate {
			out = append(out, ModelDemand{Model: name, Rate: rate})
		}
	}
	slices.SortFunc(out, func(a, b ModelDemand) int { return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Model, b.Model)) })
	out = out[:min(n, len(out))]
	for i := range out {
		out[i].Holders, out[i].Waiting = p.holders(out[i].Model), p.waiting(out[i].Model)
	}
	return out
}

// holders returns how many engines hold a model.
func (p *Planner) holders(name string) int {
	n := 0
	for _, e := range p.engines {
		if e.has(Want{Model: name}) {
			n++
		}
	}
	return n
}

// waiting returns how many requests wait for a model or its adapters.
func (p *Planner) waiting(name string) int {
	n := 0
	for w, d := range p.wants {
		if w.Model == name {
			n += d.waiting
		}
	}
	return n
}

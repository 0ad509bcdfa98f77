package bound

import (
	"math"
	"time"

	"github.com/samber/oops"
)

// Settings say how closely a bound is computed. Any of them gives a valid one.
type Settings struct {
	Window time.Duration // finer windows count stays more exactly
	Span   time.Duration // prices change this often; rounded to whole windows
	Rounds int           // of moving prices
}

// DefaultSettings returns those for a minute of load.
func DefaultSettings() Settings {
	return Settings{Window: 250 * time.Millisecond, Span: time.Second, Rounds: 300}
}

// Result is a bound.
type Result struct {
	Total float64 `json:"total"` // worth of all requests in time
	Most  float64 `json:"most"`  // no policy earns more
	// Memory and Orders are the parts of Most that stand for the prices of memory and of
	// order time. A part of 0 tells that there is enough of it; a large one, that more of
	// it would earn more.
	Memory float64 `json:"memory"`
	Orders float64 `json:"orders"`
}

const (
	// stall is how many rounds without a better bound halve the step.
	stall = 10
	// closeEnough ends the search: the bound is that near to what is known to be earned.
	closeEnough = 1e-4
)

// Solve bounds what a problem could earn. earned is what some policy earns, 0 if none is
// known; it guides the search and does not change what is valid.
func Solve(p Problem, earned float64, s Settings) (Result, error) {
	if err := p.Check(); err != nil {
		return Result{}, err
	}
	if s.Window <= 0 || s.Span < s.Window || s.Rounds < 1 {
		return Result{}, oops.Wrapf(ErrProblem, "settings %+v", s)
	}
	x := newSearch(p, s)
	best := Result{Total: p.Total(), Most: math.Inf(1)}
	theta, since := 1.0, 0
	for range s.Rounds {
		r := x.value()
		if since++; r.Most < best.Most {
			best.Most, best.Memory, best.Orders = r.Most, r.Memory, r.Orders
			since = 0
		}
		if best.Most-earned <= closeEnough*best.Total {
			break
		}
		if since == stall {
			theta, since = theta/2, 0
		}
		x.prices.descend(x.capacity, x.used, theta*(r.Most-earned))
	}
	return best, nil
}

// search is the state of moving prices.
type search struct {
	models       []*valuer
	capacity     []float64 // span to seconds of engines
	prices, used *prices
}

func newSearch(p Problem, s Settings) *search {
	g := grid{begin: p.Begin.Seconds(), width: s.Window.Seconds(), perSpan: int(s.Span / s.Window)}
	g.windows = int(math.Ceil((p.End - p.Begin).Seconds() / g.width))
	x := &search{prices: newPrices(g.spans()), used: newPrices(g.spans()), capacity: make([]float64, g.spans())}
	for k := range g.windows {
		x.capacity[k/g.perSpan] += float64(p.Engines) * g.width
	}
	for _, m := range p.Models {
		if len(m.Requests) > 0 {
			x.models = append(x.models, newValuer(p, m, g))
		}
	}
	return x
}

// value returns the bound at the present prices, and sets what the best stays use.
func (x *search) value() Result {
	x.used.clear()
	var r Result
	r.Memory, r.Orders = x.prices.worth(x.capacity)
	r.Most = r.Memory + r.Orders
	for _, v := range x.models {
		r.Most += v.value(*x.prices, x.used)
	}
	return r
}

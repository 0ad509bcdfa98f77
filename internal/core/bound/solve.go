package bound

import (
	"math"
	"time"

	"github.com/samber/oops"
)

// Settings control the accuracy of a bound, which is valid with any of them.
type Settings struct {
	Window time.Duration // shorter windows count residences more exactly
	Span   time.Duration // prices are constant within a span, which is rounded to whole windows
	Rounds int           // maximum number of price adjustments
}

// DefaultSettings returns settings for a minute of load.
func DefaultSettings() Settings {
	return Settings{Window: 250 * time.Millisecond, Span: time.Second, Rounds: 300}
}

// Result is a bound.
type Result struct {
	Total float64 `json:"total"` // value of all requests if all are served in time
	Bound float64 `json:"most"`  // no policy earns more
	// Memory and Orders are the parts of the bound that come from the prices of memory and of
	// order time. At 0 there is enough of the resource; a large value means that more of
	// it would earn more.
	Memory float64 `json:"memory"`
	Orders float64 `json:"orders"`
}

const (
	// stallRounds is the number of rounds without a better bound after which the step is halved.
	stallRounds = 10
	// tolerance ends the search: the gap between the bound and what is known to be earned,
	// relative to the total.
	tolerance = 1e-4
)

// Solve computes a bound for a problem. earned is what some policy earns, or 0 if none is
// known; it guides the search and does not affect the validity of the bound.
func Solve(p Problem, earned float64, s Settings) (Result, error) {
	if err := p.Check(); err != nil {
		return Result{}, err
	}
	if s.Window <= 0 || s.Span < s.Window || s.Rounds < 1 {
		return Result{}, oops.Wrapf(ErrProblem, "settings %+v", s)
	}
	x := newSearch(p, s)
	best := Result{Total: p.Total(), Bound: math.Inf(1)}
	theta, stalled := 1.0, 0
	for range s.Rounds {
		r := x.value()
		if stalled++; r.Bound < best.Bound {
			best.Bound, best.Memory, best.Orders = r.Bound, r.Memory, r.Orders
			stalled = 0
		}
		if best.Bound-earned <= tolerance*best.Total {
			break
		}
		if stalled == stallRounds {
			theta, stalled = theta/2, 0
		}
		x.prices.descend(x.capacity, x.used, theta*(r.Bound-earned))
	}
	return best, nil
}

// search is the state of the price search.
type search struct {
	models       []*valuer
	capacity     []float64 // seconds of engines by span
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

// value returns the bound at the present prices, and sets used to what the best residences
// use.
func (x *search) value() Result {
	x.used.clear()
	var r Result
	r.Memory, r.Orders = x.prices.cost(x.capacity)
	r.Bound = r.Memory + r.Orders
	for _, v := range x.models {
		r.Bound += v.value(*x.prices, x.used)
	}
	return r
}

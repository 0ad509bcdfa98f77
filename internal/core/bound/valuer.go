package bound

import "math"

// valuer finds the best stays of one model under given prices.
type valuer struct {
	g        grid
	size     [measures]float64 // what the model takes of an engine
	takes    [2]float64        // seconds of the first and of later loads
	back     [2]int            // windows that these reach back
	unload   float64
	held     bool
	onDemand bool
	fresh    []float64   // window to the worth of the requests that arrive before it
	gains    [][]float64 // window k and d to what a stay that begins in k earns there, if the one before ended in k-1-d
	reach    int         // windows after which no request of before is left
	last     []int       // window to the newest window in which a request arrived, -1 if there is none
	ends     []int       // window to the first one in which a stay that begins there may end
	landing  [][]int     // window to the later beginnings of stays that may first end there

	// Of one pass.
	memory   []float64 // window to the price of the model's memory there, a second
	paid     []float64 // window to the price of the memory in all windows before it
	starts   []float64 // best value of stays of which the last begins in the window
	goes     []float64 // best value of stays of which the last goes on in the window
	startOf  []int     // window in which the stay before ended, for starts; none, atStart or inPlace
	goesFrom []int     // window in which the stay of goes began; none if it went on in the one before
	endWorth []float64 // best value of stays of which the last ends in the window, less its unload
	bestEnd  []int     // window up to k whose end of a stay is worth most for a later one
}

// Where a stay came from, in place of a window.
const (
	none    = -1 // there is no stay before
	atStart = -2 // the model is held at the beginning
	inPlace = -3 // the stay before ended in the same window
)

// gain returns what a stay that begins in k earns there if the stay before ended in j.
func (v *valuer) gain(j, k int) float64 {
	g := v.gains[k]
	return g[min(k-1-j, len(g)-1)]
}

// value returns the most that the model can earn beyond what its stays cost, and adds what
// those stays use to used, in seconds of engines, by span.
func (v *valuer) value(p prices, used *prices) float64 {
	for k := range v.memory {
		v.memory[k] = 0
		for m := range measures {
			v.memory[k] += p.memory[m][k/v.g.perSpan] * v.size[m]
		}
		v.paid[k+1] = v.paid[k] + v.memory[k]*v.g.width
	}
	best, end := 0.0, none
	for k := range v.g.windows {
		v.begin(p, k)
		v.goOn(k)
		if c := v.goes[k] - v.unloadCost(p, k) - v.loadCost(p, k, 1); c > v.starts[k] && v.latestEnd(k, 1) >= k {
			v.starts[k], v.startOf[k] = c, inPlace
		}
		here := v.endsIn(k)
		v.endWorth[k] = here - v.unloadCost(p, k)
		v.bestEnd[k] = k
		if k > 0 && v.endWorth[v.bestEnd[k-1]] >= v.endWorth[k] {
			v.bestEnd[k] = v.bestEnd[k-1]
		}
		if here > best {
			best, end = here, k
		}
	}
	if end != none {
		v.use(p, end, used)
	}
	return best
}

// endsIn returns the best value of stays of which the last ends in window k.
func (v *valuer) endsIn(k int) float64 {
	if v.ends[k] > k {
		return v.goes[k]
	}
	return max(v.starts[k], v.goes[k])
}

// wentOn reports whether the best stays that end in window k began before it.
func (v *valuer) wentOn(k int) bool { return v.ends[k] > k || v.goes[k] > v.starts[k] }

// begin sets the best value of stays of which the last begins in window k.
func (v *valuer) begin(p prices, k int) {
	v.starts[k], v.startOf[k] = math.Inf(-1), none
	if k >= v.back[0]-1 && v.latestEnd(k, 0) >= 0 {
		v.starts[k] = v.gain(-1, k) - v.loadCost(p, k, 0)
	}
	if k == 0 && v.held {
		v.starts[k], v.startOf[k] = v.fresh[1], atStart
	}
	// Before far nothing is left that a later end had served: the best end will do.
	far := k - 1 - len(v.gains[k])
	cost := v.loadCost(p, k, 1)
	for j := min(k-1, v.latestEnd(k, 1)); j >= 0; j-- {
		end := j
		if j <= far {
			end = v.bestEnd[j]
		}
		if c := v.endWorth[end] + v.gain(end, k) - cost; c > v.starts[k] {
			v.starts[k], v.startOf[k] = c, end
		}
		if j <= far {
			break
		}
	}
}

// latestEnd returns the last window in which the stay before may have ended if a load is to
// end in window k: none if it cannot have begun.
func (v *valuer) latestEnd(k, which int) int {
	if !v.onDemand {
		return k
	}
	began := int(math.Floor(float64(k+1) - v.takes[which]/v.g.width)) // at the latest
	if began < 0 {
		return none
	}
	return v.last[min(began, k)]
}

// goOn sets the best value of stays of which the last began before window k.
func (v *valuer) goOn(k int) {
	v.goes[k], v.goesFrom[k] = math.Inf(-1), none
	if k == 0 {
		return
	}
	v.goes[k] = v.goes[k-1] - v.memory[k-1]*v.g.width + v.fresh[k+1] - v.fresh[k]
	if v.ends[k-1] <= k-1 {
		v.comeFrom(k-1, k)
	}
	for _, b := range v.landing[k] {
		v.comeFrom(b, k)
	}
}

// comeFrom lets the stay that began in window b have gone on to k.
func (v *valuer) comeFrom(b, k int) {
	c := v.starts[b] + v.fresh[k+1] - v.fresh[b+1] - (v.paid[k] - v.paid[b+1])
	if c > v.goes[k] {
		v.goes[k], v.goesFrom[k] = c, b
	}
}

// loadCost returns the least cost of a load that ends in window k.
func (v *valuer) loadCost(p prices, k, which int) float64 {
	_, cost := v.loadAt(p, k, which)
	return cost
}

// loadAt returns the cheapest window that a load which ends in window k can touch, and the
// least cost of the load. which is 0 for the first load, 1 for a later one.
func (v *valuer) loadAt(p prices, k, which int) (window int, cost float64) {
	takes := v.takes[which]
	cost = math.Inf(1)
	for j := k; j >= max(0, k-v.back[which]); j = v.spanBefore(j) {
		if c := takes * (v.memory[j] + p.orders[j/v.g.perSpan]); c < cost {
			window, cost = j, c
		}
	}
	return window, cost
}

// spanBefore returns the last window of the span before that of window j: prices within a
// span are alike.
func (v *valuer) spanBefore(j int) int { return j/v.g.perSpan*v.g.perSpan - 1 }

// unloadCost returns the least cost of an unload after a stay that ends in window k.
func (v *valuer) unloadCost(p prices, k int) float64 {
	return v.unload * p.orders[v.unloadAt(p, k)]
}

// unloadAt returns the cheapest span that the unload after a stay that ends in window k can
// touch: whether the end is counted from its beginning or from its end.
func (v *valuer) unloadAt(p prices, k int) int {
	reach := int(math.Ceil(v.unload / v.g.width))
	best := max(0, k-reach) / v.g.perSpan
	for s := best + 1; s <= min(v.g.windows-1, k+reach)/v.g.perSpan; s++ {
		if p.orders[s] < p.orders[best] {
			best = s
		}
	}
	return best
}

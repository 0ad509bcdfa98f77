package bound

import "math"

// valuer finds the best residences of one model under given prices by dynamic programming
// over the windows.
type valuer struct {
	g            grid
	size         [measures]float64 // share of an engine by measure
	loadSeconds  [2]float64        // of the first load and of later ones
	loadWindows  [2]int            // loadSeconds in windows, rounded up
	unload       float64
	held         bool
	onDemand     bool
	arrivedValue []float64   // value of the requests that arrive before window k, if the model is held as each arrives
	gains        [][]float64 // by window k and d: what a residence that begins in k earns there if the previous one ended in k-1-d
	maxWait      int         // maximum number of windows in which a request can earn something
	lastArrival  []int       // window of the newest request that arrived up to window k, -1 if there is none
	earliestEnd  []int       // first window in which a residence that begins in window k may end
	startsByEnd  [][]int     // for window k, the windows before k whose earliestEnd is k

	// State of one pass.
	memoryPrice []float64 // price per second of the model's memory in the window
	memoryCost  []float64 // price of the model's memory in all windows before the window
	startValue  []float64 // best value of residences of which the last begins in the window
	heldValue   []float64 // best value of residences of which the last began before the window and continues in it
	previousEnd []int     // for startValue, window in which the previous residence ended; none, atStart or sameWindow
	heldSince   []int     // for heldValue, window in which the residence began; none if it continues from the preceding window
	endValue    []float64 // best value of residences of which the last ends in the window, less its unload
	bestEnd     []int     // window up to k with the highest endValue
}

// Values of previousEnd and heldSince that are not windows.
const (
	none       = -1 // there is no previous residence
	atStart    = -2 // the model is held at the start of the problem
	sameWindow = -3 // the previous residence ended in the same window
)

// gain returns what a residence that begins in k earns there if the previous one ended in j.
func (v *valuer) gain(j, k int) float64 {
	g := v.gains[k]
	return g[min(k-1-j, len(g)-1)]
}

// value returns the maximum that the model can earn beyond the cost of its residences, and
// adds what those residences use to used, in seconds of engines by span.
func (v *valuer) value(p prices, used *prices) float64 {
	for k := range v.memoryPrice {
		v.memoryPrice[k] = 0
		for m := range measures {
			v.memoryPrice[k] += p.memory[m][k/v.g.perSpan] * v.size[m]
		}
		v.memoryCost[k+1] = v.memoryCost[k] + v.memoryPrice[k]*v.g.width
	}
	best, end := 0.0, none
	for k := range v.g.windows {
		v.begin(p, k)
		v.extend(k)
		if c := v.heldValue[k] - v.unloadCost(p, k) - v.loadCost(p, k, 1); c > v.startValue[k] && v.latestEnd(k, 1) >= k {
			v.startValue[k], v.previousEnd[k] = c, sameWindow
		}
		ended := v.bestEndingIn(k)
		v.endValue[k] = ended - v.unloadCost(p, k)
		v.bestEnd[k] = k
		if k > 0 && v.endValue[v.bestEnd[k-1]] >= v.endValue[k] {
			v.bestEnd[k] = v.bestEnd[k-1]
		}
		if ended > best {
			best, end = ended, k
		}
	}
	if end != none {
		v.addUse(p, end, used)
	}
	return best
}

// bestEndingIn returns the best value of residences of which the last ends in window k.
func (v *valuer) bestEndingIn(k int) float64 {
	if v.earliestEnd[k] > k {
		return v.heldValue[k]
	}
	return max(v.startValue[k], v.heldValue[k])
}

// beganBefore reports whether the last of the best residences that end in window k began
// before it.
func (v *valuer) beganBefore(k int) bool {
	return v.earliestEnd[k] > k || v.heldValue[k] > v.startValue[k]
}

// begin sets the best value of residences of which the last begins in window k.
func (v *valuer) begin(p prices, k int) {
	v.startValue[k], v.previousEnd[k] = math.Inf(-1), none
	if k >= v.loadWindows[0]-1 && v.latestEnd(k, 0) >= 0 {
		v.startValue[k] = v.gain(-1, k) - v.loadCost(p, k, 0)
	}
	if k == 0 && v.held {
		v.startValue[k], v.previousEnd[k] = v.arrivedValue[1], atStart
	}
	// For an end at horizon or before, no request that arrived by then can earn anything in k:
	// the gain no longer depends on the end, so the best end suffices.
	horizon := k - 1 - len(v.gains[k])
	cost := v.loadCost(p, k, 1)
	for j := min(k-1, v.latestEnd(k, 1)); j >= 0; j-- {
		end := j
		if j <= horizon {
			end = v.bestEnd[j]
		}
		if c := v.endValue[end] + v.gain(end, k) - cost; c > v.startValue[k] {
			v.startValue[k], v.previousEnd[k] = c, end
		}
		if j <= horizon {
			break
		}
	}
}

// latestEnd returns the last window in which the previous residence may have ended if a load
// is to end in window k, or none if that load cannot have begun.
func (v *valuer) latestEnd(k, which int) int {
	if !v.onDemand {
		return k
	}
	latestBegin := int(math.Floor(float64(k+1) - v.loadSeconds[which]/v.g.width))
	if latestBegin < 0 {
		return none
	}
	return v.lastArrival[min(latestBegin, k)]
}

// extend sets the best value of residences of which the last began before window k.
func (v *valuer) extend(k int) {
	v.heldValue[k], v.heldSince[k] = math.Inf(-1), none
	if k == 0 {
		return
	}
	v.heldValue[k] = v.heldValue[k-1] - v.memoryPrice[k-1]*v.g.width + v.arrivedValue[k+1] - v.arrivedValue[k]
	if v.earliestEnd[k-1] <= k-1 {
		v.extendFrom(k-1, k)
	}
	for _, b := range v.startsByEnd[k] {
		v.extendFrom(b, k)
	}
}

// extendFrom considers a residence that began in window b and continues in k.
func (v *valuer) extendFrom(b, k int) {
	c := v.startValue[b] + v.arrivedValue[k+1] - v.arrivedValue[b+1] - (v.memoryCost[k] - v.memoryCost[b+1])
	if c > v.heldValue[k] {
		v.heldValue[k], v.heldSince[k] = c, b
	}
}

// loadCost returns the lowest cost of a load that ends in window k.
func (v *valuer) loadCost(p prices, k, which int) float64 {
	_, cost := v.loadAt(p, k, which)
	return cost
}

// loadAt returns the cheapest window that a load which ends in window k can touch, and the
// lowest cost of the load. which is 0 for the first load, 1 for a later one.
func (v *valuer) loadAt(p prices, k, which int) (window int, cost float64) {
	seconds := v.loadSeconds[which]
	cost = math.Inf(1)
	for j := k; j >= max(0, k-v.loadWindows[which]); j = v.spanBefore(j) {
		if c := seconds * (v.memoryPrice[j] + p.orders[j/v.g.perSpan]); c < cost {
			window, cost = j, c
		}
	}
	return window, cost
}

// spanBefore returns the last window of the span before that of window j. Prices within a
// span are equal, so one window of each span is enough.
func (v *valuer) spanBefore(j int) int { return j/v.g.perSpan*v.g.perSpan - 1 }

// unloadCost returns the lowest cost of an unload after a residence that ends in window k.
func (v *valuer) unloadCost(p prices, k int) float64 {
	return v.unload * p.orders[v.unloadAt(p, k)]
}

// unloadAt returns the cheapest span that the unload after a residence that ends in window k
// can touch, whether the residence ends when the unload begins or when it is complete.
func (v *valuer) unloadAt(p prices, k int) int {
	unloadWindows := int(math.Ceil(v.unload / v.g.width))
	best := max(0, k-unloadWindows) / v.g.perSpan
	for s := best + 1; s <= min(v.g.windows-1, k+unloadWindows)/v.g.perSpan; s++ {
		if p.orders[s] < p.orders[best] {
			best = s
		}
	}
	return best
}

package bound

import "math"

// grid cuts the time of a problem into windows; several windows in turn share their prices.
type grid struct {
	begin, width float64 // seconds
	windows      int
	perSpan      int // windows that share their prices
}

func (g grid) spans() int { return (g.windows + g.perSpan - 1) / g.perSpan }

// at returns the window of a time, -1 before the first one.
func (g grid) at(seconds float64) int {
	return max(-1, min(g.windows-1, int(math.Floor((seconds-g.begin)/g.width))))
}

// rounding, in seconds, keeps a time on the border of two windows from falling into the
// earlier one, which would bar a stay that begins just then.
const rounding = 1e-9

// asked is a request by windows.
type asked struct {
	from, inTime, late int
	runs               int // whole windows
	worth, little      float64
}

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

func newValuer(p Problem, m Model, g grid) *valuer {
	v := &valuer{g: g, takes: [2]float64{m.First.Seconds(), m.Again.Seconds()}, unload: p.Unload.Seconds(), held: m.Held, onDemand: p.OnDemand}
	for k := range measures {
		v.size[k] = measure(k, m.Megabytes, p.Megabytes)
	}
	for i, t := range v.takes {
		v.back[i] = int(math.Ceil(t / g.width))
	}
	rs := v.byWindow(p, m)
	v.count(rs)
	v.bind(rs)
	for _, s := range []*[]float64{&v.memory, &v.starts, &v.goes, &v.endWorth} {
		*s = make([]float64, g.windows)
	}
	v.paid = make([]float64, g.windows+1)
	v.startOf, v.bestEnd, v.goesFrom = make([]int, g.windows), make([]int, g.windows), make([]int, g.windows)
	return v
}

// byWindow returns the requests that can earn something.
func (v *valuer) byWindow(p Problem, m Model) []asked {
	var out []asked
	for _, r := range m.Requests {
		if r.Late < r.From || r.From >= p.End {
			continue
		}
		a := asked{from: v.g.at(r.From.Seconds()), inTime: v.g.at(r.InTime.Seconds() + rounding), late: v.g.at(r.Late.Seconds() + rounding),
			runs: int(r.Runs.Seconds() / v.g.width), worth: r.Worth, little: r.Little}
		if r.InTime < r.From {
			a.inTime = -1
		}
		out = append(out, a)
		v.reach = max(v.reach, a.late-a.from+1)
	}
	return out
}

// bind fills in what ties stays to requests: a stay serves one at least, whose run it
// outlasts, as it would be left out otherwise.
func (v *valuer) bind(rs []asked) {
	n := v.g.windows
	v.last, v.ends, v.landing = make([]int, n), make([]int, n), make([][]int, n)
	for k := range n {
		v.last[k], v.ends[k] = -1, n-1
		for _, r := range rs {
			if r.from <= k {
				v.last[k] = max(v.last[k], r.from)
			}
			if r.late >= k {
				v.ends[k] = min(v.ends[k], max(k, r.from)+r.runs)
			}
		}
		if e := v.ends[k]; e > k {
			v.landing[e] = append(v.landing[e], k)
		}
	}
}

// earns returns what a request is worth if its model is held in window k and was not
// between its arrival and k.
func (a asked) earns(k int) float64 {
	switch {
	case k < a.from || k > a.late:
		return 0
	case k <= a.inTime:
		return a.worth
	}
	return a.little
}

// count fills in what windows earn.
func (v *valuer) count(rs []asked) {
	v.fresh = make([]float64, v.g.windows+1)
	v.gains = make([][]float64, v.g.windows)
	for k := range v.gains {
		v.gains[k] = make([]float64, min(v.reach, k+1)+1)
	}
	for _, r := range rs {
		v.fresh[r.from+1] += r.earns(r.from)
		for k := r.from; k <= r.late; k++ {
			// It is left for k if the stay before ended before it arrived: d >= k-from.
			v.gains[k][k-r.from] += r.earns(k)
		}
	}
	for k := range v.g.windows {
		v.fresh[k+1] += v.fresh[k]
	}
	for _, g := range v.gains {
		for d := 1; d < len(g); d++ {
			g[d] += g[d-1]
		}
	}
}

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

// use adds up what the best stays use, the last of which ends in window end.
func (v *valuer) use(p prices, end int, used *prices) {
	k, going := end, v.wentOn(end)
	for {
		if going {
			b := v.goesFrom[k]
			if b == none {
				v.useMemory(used, k-1, v.g.width)
				k--
				continue
			}
			for w := b + 1; w < k; w++ {
				v.useMemory(used, w, v.g.width)
			}
			k, going = b, false
		}
		j := v.startOf[k]
		if j == atStart {
			return
		}
		if j == none {
			v.useLoad(p, used, k, 0)
			return
		}
		v.useLoad(p, used, k, 1)
		if j == inPlace {
			j = k
			going = true
		} else {
			going = v.wentOn(j)
		}
		used.orders[v.unloadAt(p, j)] += v.unload
		k = j
	}
}

func (v *valuer) useLoad(p prices, used *prices, k, which int) {
	takes := v.takes[which]
	j, _ := v.loadAt(p, k, which)
	v.useMemory(used, j, takes)
	used.orders[j/v.g.perSpan] += takes
}

func (v *valuer) useMemory(used *prices, k int, seconds float64) {
	for m := range measures {
		used.memory[m][k/v.g.perSpan] += v.size[m] * seconds
	}
}

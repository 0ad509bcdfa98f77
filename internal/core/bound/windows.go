package bound

import "math"

// grid divides the time of a problem into windows; consecutive windows are grouped into
// spans that share their prices.
type grid struct {
	begin, width float64 // seconds
	windows      int
	perSpan      int // windows in a span
}

func (g grid) spans() int { return (g.windows + g.perSpan - 1) / g.perSpan }

// at returns the window of a time, -1 before the first one.
func (g grid) at(seconds float64) int {
	return max(-1, min(g.windows-1, int(math.Floor((seconds-g.begin)/g.width))))
}

// rounding, in seconds, keeps a time on the border of two windows from falling into the
// earlier one, which would exclude a residence that begins at that time.
const rounding = 1e-9

// windowRequest is a request with its times as windows.
type windowRequest struct {
	from, inTime, late int
	runs               int // rounded down
	value, lateValue   float64
}

func newValuer(p Problem, m Model, g grid) *valuer {
	v := &valuer{g: g, loadSeconds: [2]float64{m.FirstLoad.Seconds(), m.Reload.Seconds()}, unload: p.Unload.Seconds(), held: m.Held, onDemand: p.OnDemand}
	for k := range measures {
		v.size[k] = measure(k, m.Megabytes, p.Megabytes)
	}
	for i, t := range v.loadSeconds {
		v.loadWindows[i] = int(math.Ceil(t / g.width))
	}
	rs := v.byWindow(p, m)
	v.computeGains(rs)
	v.computeLimits(rs)
	for _, s := range []*[]float64{&v.memoryPrice, &v.startValue, &v.heldValue, &v.endValue} {
		*s = make([]float64, g.windows)
	}
	v.memoryCost = make([]float64, g.windows+1)
	v.previousEnd, v.bestEnd, v.heldSince = make([]int, g.windows), make([]int, g.windows), make([]int, g.windows)
	return v
}

// byWindow converts the requests that can earn something, and sets maxWait.
func (v *valuer) byWindow(p Problem, m Model) []windowRequest {
	var out []windowRequest
	for _, r := range m.Requests {
		if r.Late < r.From || r.From >= p.End {
			continue
		}
		a := windowRequest{from: v.g.at(r.From.Seconds()), inTime: v.g.at(r.InTime.Seconds() + rounding), late: v.g.at(r.Late.Seconds() + rounding),
			runs: int(r.Runs.Seconds() / v.g.width), value: r.Value, lateValue: r.LateValue}
		if r.InTime < r.From {
			a.inTime = -1
		}
		out = append(out, a)
		v.maxWait = max(v.maxWait, a.late-a.from+1)
	}
	return out
}

// computeLimits sets the limits that requests impose on residences: a residence serves at
// least one request and lasts until that request has run, or it would be ignored.
func (v *valuer) computeLimits(rs []windowRequest) {
	n := v.g.windows
	v.lastArrival, v.earliestEnd, v.startsByEnd = make([]int, n), make([]int, n), make([][]int, n)
	for k := range n {
		v.lastArrival[k], v.earliestEnd[k] = -1, n-1
		for _, r := range rs {
			if r.from <= k {
				v.lastArrival[k] = max(v.lastArrival[k], r.from)
			}
			if r.late >= k {
				v.earliestEnd[k] = min(v.earliestEnd[k], max(k, r.from)+r.runs)
			}
		}
		if e := v.earliestEnd[k]; e > k {
			v.startsByEnd[e] = append(v.startsByEnd[e], k)
		}
	}
}

// valueIn returns the value of a request if its model is held in window k and was not held
// between its arrival and k.
func (a windowRequest) valueIn(k int) float64 {
	switch {
	case k < a.from || k > a.late:
		return 0
	case k <= a.inTime:
		return a.value
	}
	return a.lateValue
}

// computeGains sets arrivedValue and gains.
func (v *valuer) computeGains(rs []windowRequest) {
	v.arrivedValue = make([]float64, v.g.windows+1)
	v.gains = make([][]float64, v.g.windows)
	for k := range v.gains {
		v.gains[k] = make([]float64, min(v.maxWait, k+1)+1)
	}
	for _, r := range rs {
		v.arrivedValue[r.from+1] += r.valueIn(r.from)
		for k := r.from; k <= r.late; k++ {
			// The request is unserved before k if the previous residence ended before it
			// arrived: d >= k-from.
			v.gains[k][k-r.from] += r.valueIn(k)
		}
	}
	for k := range v.g.windows {
		v.arrivedValue[k+1] += v.arrivedValue[k]
	}
	for _, g := range v.gains {
		for d := 1; d < len(g); d++ {
			g[d] += g[d-1]
		}
	}
}

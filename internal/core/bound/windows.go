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

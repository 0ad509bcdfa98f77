package allowances

import (
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

	"github.com/cassiapass/cassiapass/internal/adapter/plots"
)

// Plot writes a plot of a hot customer's use in each second against its rate to file, for
// each method, in a run in which the leader is silent for 3 s.
func Plot(file string, entries int) error {
	const hot = 1
	sc := scenarios()[2]
	p := plot.New()
	p.Title.Text = "use of a customer that asks for six times its usual from 2 s to 13 s; no leader from 5 s to 8 s"
	p.X.Label.Text, p.Y.Label.Text = "seconds", "units a second"
	var rate float64
	for i, x := range methods {
		w := newSimulation(sc, entries, 1)
		y := x.build(w)
		rate = w.limits[hot].rate
		used := make([]float64, int(length/time.Second))
		for ; w.elapsed() < length; w.now = w.now.Add(step) {
			w.deliver()
			w.arrivals(func(entry, c int, cost float64) {
				y.request(entry, c, cost, func(admitted bool) {
					if s := int(w.elapsed() / time.Second); admitted && c == hot && s < len(used) {
						used[s] += cost
					}
				})
			})
			y.step()
		}
		var xy plotter.XYs
		for s, units := range used {
			xy = append(xy, plotter.XY{X: float64(s), Y: units})
		}
		if err := plots.AddLine(p, i, x.name, xy); err != nil {
			return err
		}
	}
	if err := plots.AddLine(p, len(methods), "allowance", plotter.XYs{{X: 0, Y: rate}, {X: length.Seconds(), Y: rate}}); err != nil {
		return err
	}
	return plots.Save(file, p)
}

package lab

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

	"github.com/cassiapass/cassiapass/internal/adapter/plots"
)

// Plot writes a plot of the share that each policy earned, by arrival time of the first
// attempt, to file.
func Plot(file string, site *Site, sums []Summary) error {
	p := plot.New()
	p.Title.Text = site.Name + ": share earned of what was owed"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "share"
	p.Y.Min, p.Y.Max = 0, 1
	for i, s := range sums {
		var xy plotter.XYs
		for k, v := range s.spanShares {
			xy = append(xy, plotter.XY{X: float64(k) * span.Seconds(), Y: v})
		}
		if err := plots.AddLine(p, i, s.Policy, xy); err != nil {
			return err
		}
	}
	return plots.Save(file, p)
}

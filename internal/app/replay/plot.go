package replay

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

	"github.com/cassiapass/cassiapass/internal/adapter/plots"
)

const sampleStep = 30 // seconds per point

// Plot writes two plots of the reports to file: the distribution of cold-start
// times, and below it the memory held idle over time.
func Plot(file string, reps []*Report) error {
	top, err := distribution(reps)
	if err != nil {
		return err
	}
	bottom, err := idleOverTime(reps)
	if err != nil {
		return err
	}
	return plots.Save(file, top, bottom)
}

func distribution(reps []*Report) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = reps[0].Trace + ": cold-start time, share of cold requests answered within"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "share"
	p.Legend.Left = false
	for i, r := range reps {
		var xy plotter.XYs
		for _, b := range r.cold.CumulativeDistribution() {
			xy = append(xy, plotter.XY{X: float64(b.ValueAt) / 1000, Y: b.Quantile / 100})
		}
		if err := plots.AddLine(p, i, r.Policy, xy); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func idleOverTime(reps []*Report) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "accelerator memory loaded and idle"
	p.X.Label.Text = "hours"
	p.Y.Label.Text = "GB"
	for i, r := range reps {
		var xy plotter.XYs
		for s := 0; s < len(r.samples); s += sampleStep {
			xy = append(xy, plotter.XY{X: float64(s) / 3600, Y: r.samples[s].idle / gigabyte})
		}
		if err := plots.AddLine(p, i, r.Policy, xy); err != nil {
			return nil, err
		}
	}
	return p, nil
}

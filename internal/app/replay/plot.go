package replay

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"

	"io"
	"os"
	"strings"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 20 * vg.Centimeter
	sampleStep = 30 // seconds per point
)

// Plot draws the reports into a file: the distribution of cold-start times
// above, the memory held idle over time below.
func Plot(file string, reps []*Report) error {
	top, err := distribution(reps)
	if err != nil {
		return err
	}
	bottom, err := idleOverTime(reps)
	if err != nil {
		return err
	}
	var c interface {
		vg.CanvasSizer
		io.WriterTo
	}
	if strings.HasSuffix(file, ".svg") {
		c = vgsvg.New(plotWidth, plotHeight)
	} else {
		c = vgimg.PngCanvas{Canvas: vgimg.New(plotWidth, plotHeight)}
	}
	area := draw.New(c)
	half := draw.Crop(area, 0, 0, plotHeight/2, 0)
	top.Draw(half)
	bottom.Draw(draw.Crop(area, 0, 0, 0, -plotHeight/2))
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	if _, err := c.WriteTo(f); err != nil {
		f.Close()
		return err
	}
	return f.Close()
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
		if err := addLine(p, i, r.Policy, xy); err != nil {
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
		if err := addLine(p, i, r.Policy, xy); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func addLine(p *plot.Plot, i int, name string, xy plotter.XYs) error {
	if len(xy) == 0 {
		return nil
	}
	l, err := plotter.NewLine(xy)
	if err != nil {
		return err
	}
	l.Color = plotutil.Color(i)
	p.Add(l)
	p.Legend.Add(name, l)
	return nil
}

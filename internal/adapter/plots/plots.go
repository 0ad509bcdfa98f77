// Package plots draws line plots into SVG and PNG files.
package plots

import (
	"io"
	"os"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	width  = 24 * vg.Centimeter
	height = 10 * vg.Centimeter // of each plot
)

// AddLine adds a line in the i-th colour with its name in the legend. A line without
// points is left out.
func AddLine(p *plot.Plot, i int, name string, xy plotter.XYs) error {
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

// Save draws plots below each other into a file: SVG if its name ends in .svg, else
// PNG.
func Save(file string, ps ...*plot.Plot) error {
	total := height * vg.Length(len(ps))
	var c interface {
		vg.CanvasSizer
		io.WriterTo
	}
	if strings.HasSuffix(file, ".svg") {
		c = vgsvg.New(width, total)
	} else {
		c = vgimg.PngCanvas{Canvas: vgimg.New(width, total)}
	}
	area := draw.New(c)
	for i, p := range ps {
		above, below := height*vg.Length(i), height*vg.Length(len(ps)-1-i)
		p.Draw(draw.Crop(area, 0, 0, below, -above))
	}
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	if _, err := c.WriteTo(f); err != nil {
		_ = f.Close() // the write error is returned
		return err
	}
	return f.Close()
}

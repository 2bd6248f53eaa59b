package bench

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 6 * vg.Inch
)

// WritePlot draws the share of requests answered in time over the cost per
// request, with one point per cell and one colour per router. The extension of
// path determines the image format.
func WritePlot(path string, cells []*Cell) error {
	p := plot.New()
	p.Title.Text = "Cost and service by router"
	p.X.Label.Text = "cost per request (price units)"
	p.Y.Label.Text = "answered in time (share of requests)"
	byRouter := map[string]plotter.XYs{}
	var names []string
	for _, c := range cells {
		if _, ok := byRouter[c.Router]; !ok {
			names = append(names, c.Router)
		}
		byRouter[c.Router] = append(byRouter[c.Router], plotter.XY{
			X: c.CostPerRequest(), Y: float64(c.Answered) / float64(max(1, c.Requests)),
		})
	}
	for i, name := range names {
		points, err := plotter.NewScatter(byRouter[name])
		if err != nil {
			return fmt.Errorf("plot %s: %w", name, err)
		}
		points.Shape = plotutil.Shape(i)
		points.Color = color.Color(plotutil.Color(i))
		p.Add(points)
		p.Legend.Add(name, points)
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("write plot: %w", err)
	}
	return nil
}

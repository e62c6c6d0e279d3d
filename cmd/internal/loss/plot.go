package loss

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// The size of a plot.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// WritePlot draws the losses of each kind over time into a file; its suffix, such as .svg, gives
// the format.
func (l *Losses) WritePlot(path string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%d of %d requests lost", len(l.Lost), l.Requests)
	p.X.Label.Text = "time after the first line, s"
	p.Y.Label.Text = "requests lost in a second"
	p.Y.Min = 0
	p.Legend.Top = true
	seconds := l.Seconds()
	for i, k := range Kinds {
		if l.count(k) == 0 {
			continue
		}
		points := make(plotter.XYs, 0, len(seconds))
		for second, counts := range seconds {
			points = append(points, plotter.XY{X: float64(second), Y: float64(counts[k])})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("plot: %w", err)
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(string(k), line)
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}

package loadgen

import (
	"fmt"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// plotPoints is the number of intervals that a run is parted into.
const plotPoints = 60

// The size of a plot.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Interval is the latency of the answered queries that were due in a part of a run.
type Interval struct {
	// From is the start after the opening.
	From     time.Duration
	Due      int
	Answered Latency
}

// Intervals parts the samples by their planned time.
func Intervals(samples []Sample, duration time.Duration, n int) []Interval {
	parts := make([][]Sample, n)
	for _, s := range samples {
		i := min(n-1, int(int64(s.At)*int64(n)/int64(duration)))
		parts[i] = append(parts[i], s)
	}
	out := make([]Interval, n)
	for i, part := range parts {
		r := summarize(Total, part, func(Sample) bool { return true })
		out[i] = Interval{From: duration * time.Duration(i) / time.Duration(n), Due: len(part), Answered: r.Answered}
	}
	return out
}

// WritePlot draws the median and the 99th percentile over time into a file; its
// suffix, such as .svg, gives the format.
func WritePlot(path, title string, samples []Sample, duration time.Duration) error {
	intervals := Intervals(samples, duration, plotPoints)
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "time after the opening, s"
	p.Y.Label.Text = "latency, ms"
	p.Y.Min = 0
	err := plotutil.AddLinePoints(p,
		"p50", points(intervals, func(l Latency) int64 { return l.P50 }),
		"p99", points(intervals, func(l Latency) int64 { return l.P99 }),
	)
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}

// points takes a quantile of each interval that has answers.
func points(intervals []Interval, quantile func(Latency) int64) plotter.XYs {
	var out plotter.XYs
	for _, i := range intervals {
		if i.Answered.Count > 0 {
			out = append(out, plotter.XY{X: i.From.Seconds(), Y: float64(quantile(i.Answered)) / 1000})
		}
	}
	return slices.Clip(out)
}

package loadgen

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Plot writes two plots, PREFIX-latency and PREFIX-seconds, in the format svg, png or pdf. The
// first shows for each class which share of the responses took longer than a latency, on two
// logarithmic axes; the second the requests due and those served in time in each second.
func (r *Result) Plot(prefix, format string) error {
	latencies := plot.New()
	latencies.Title.Text = "Latency from when a request was due"
	latencies.X.Label.Text, latencies.Y.Label.Text = "ms", "share of answers that took longer"
	latencies.X.Scale, latencies.Y.Scale = plot.LogScale{}, plot.LogScale{}
	latencies.X.Tick.Marker, latencies.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	latencies.Legend.Top = true
	var lines []any
	for _, c := range r.Classes {
		if xy := exceedance(c); len(xy) > 1 {
			lines = append(lines, c.Class, xy)
		}
	}
	if len(lines) > 0 {
		if err := plotutil.AddLines(latencies, lines...); err != nil {
			return fmt.Errorf("loadgen: %w", err)
		}
		if err := latencies.Save(18*vg.Centimeter, 12*vg.Centimeter, prefix+"-latency."+format); err != nil {
			return fmt.Errorf("loadgen: %w", err)
		}
	}
	seconds := plot.New()
	seconds.Title.Text = "Requests by the second"
	seconds.X.Label.Text, seconds.Y.Label.Text = "s", "requests"
	var due, inTime plotter.XYs
	for _, s := range r.Seconds {
		due = append(due, plotter.XY{X: float64(s.Second), Y: float64(s.Due)})
		inTime = append(inTime, plotter.XY{X: float64(s.Second), Y: float64(s.InTime)})
	}
	if err := plotutil.AddLines(seconds, "due", due, "in time", inTime); err != nil {
		return fmt.Errorf("loadgen: %w", err)
	}
	if err := seconds.Save(18*vg.Centimeter, 12*vg.Centimeter, prefix+"-seconds."+format); err != nil {
		return fmt.Errorf("loadgen: %w", err)
	}
	return nil
}

// exceedance returns a class's latencies in ms and the shares of responses that took longer.
func exceedance(c *ClassResult) (out plotter.XYs) {
	total := c.histogram.TotalCount()
	var sum int64
	for _, b := range c.histogram.Distribution() {
		if b.Count == 0 {
			continue
		}
		if sum += b.Count; sum >= total {
			break // none took longer than the longest, and a logarithmic axis has no 0
		}
		out = append(out, plotter.XY{X: float64(b.To) / 1000, Y: float64(total-sum) / float64(total)})
	}
	return out
}

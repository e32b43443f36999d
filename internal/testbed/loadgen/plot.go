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
	p := plot.New()
	p.Title.Text = "Latency from when a request was due"
	p.X.Label.Text, p.Y.Label.Text = "ms", "share of answers that took longer"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	p.Legend.Top = true
	var lines []any
	for _, c := range r.Classes {
		if xy := exceedance(c); len(xy) > 1 {
			lines = append(lines, c.Class, xy)
		}
	}
	if len(lines) > 0 {
		if err := plotutil.AddLines(p, lines...); err != nil {
			return fmt.Errorf("loadgen: %w", err)
		}
		if err := p.Save(18*vg.Centimeter, 12*vg.Centimeter, prefix+"-latency."+format); err != nil {
			return fmt.Errorf("loadgen: %w", err)
		}
	}
	q := plot.New()
	q.Title.Text = "Requests by the second"
	q.X.Label.Text, q.Y.Label.Text = "s", "requests"
	var due, inTime plotter.XYs
	for _, s := range r.Seconds {
		due = append(due, plotter.XY{X: float64(s.Second), Y: float64(s.Due)})
		inTime = append(inTime, plotter.XY{X: float64(s.Second), Y: float64(s.InTime)})
	}
	if err := plotutil.AddLines(q, "due", due, "in time", inTime); err != nil {
		return fmt.Errorf("loadgen: %w", err)
	}
	if err := q.Save(18*vg.Centimeter, 12*vg.Centimeter, prefix+"-seconds."+format); err != nil {
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

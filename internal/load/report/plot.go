package report

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	barWidth   = 8 * vg.Millimeter
	msPerS     = 1000
)

// SavePlot saves a bar chart of the p95 program latency of each account under each policy. The extension of path, .svg
// or .png, selects the format.
func (c *Comparison) SavePlot(path string) error {
	p := plot.New()
	p.Title.Text = c.Profile + ": program latency, 95th percentile"
	p.Y.Label.Text = "seconds"
	p.Y.Min = 0
	p.Legend.Top = true
	var names []string
	for i := range c.Results {
		values := plotter.Values{}
		names = names[:0]
		for _, f := range c.Results[i].Accounts {
			values = append(values, f.Latency.P95/msPerS)
			names = append(names, f.Account)
		}
		values, names = append(values, c.Results[i].All.Latency.P95/msPerS), append(names, "all")
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		bars.Offset = barWidth * vg.Length(float64(i)-float64(len(c.Results)-1)/2)
		p.Add(bars)
		p.Legend.Add(c.Results[i].Policy, bars)
	}
	p.NominalX(names...)
	return p.Save(plotWidth, plotHeight, path)
}

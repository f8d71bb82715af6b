// This file draws the charts of a result folder from its rows and time series only.

package lab

import (
	"fmt"
	"image/color"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

const (
	chartWidth, chartHeight = 9 * vg.Inch, 5 * vg.Inch
	smoothingSeconds        = 3 // window of the served share, since one second has few commands
)

// DrawCharts draws the charts of a result folder as PNG files and returns their paths: the latency distribution and the served
// share over time of one grid cell, and a metric over each numeric axis with its confidence interval over the seeds.
func DrawCharts(dir string, cell int, metric string) ([]string, error) {
	s, rows, err := LoadResults(dir)
	if err != nil {
		return nil, err
	}
	if !slices.Contains(Metrics(), metric) {
		return nil, fmt.Errorf("metric %q is unknown; known are %s", metric, strings.Join(Metrics(), ", "))
	}
	if cell < 0 || cell >= len(s.Cells) {
		return nil, fmt.Errorf("cell %d does not exist; the grid has %d cells", cell, len(s.Cells))
	}
	series, err := LoadTimeSeries(dir)
	if err != nil {
		return nil, err
	}
	var cellRows []Row
	for _, r := range rows {
		if slices.Equal(r.Cell, s.Cells[cell].Values) {
			cellRows = append(cellRows, r)
		}
	}
	if len(cellRows) == 0 {
		return nil, fmt.Errorf("%s: no run of cell %d is complete", filepath.Join(dir, rowsFile), cell)
	}
	var paths []string
	save := func(name string, p *plot.Plot) error {
		path := filepath.Join(dir, name)
		paths = append(paths, path)
		return p.Save(chartWidth, chartHeight, path)
	}
	p, err := latencyChart(s, cellRows, series)
	if err != nil {
		return paths, err
	}
	if err := save("latency.png", p); err != nil {
		return paths, err
	}
	if p, err = servedChart(s, cellRows, series, s.Seeds[0]); err != nil {
		return paths, err
	}
	if err := save("served.png", p); err != nil {
		return paths, err
	}
	for i, a := range s.Grid {
		p, err := axisChart(s, rows, i, metric)
		if err != nil {
			return paths, err
		}
		if p == nil {
			continue // its values are not numeric
		}
		name := strings.Map(func(r rune) rune {
			if r == '.' || r == '[' || r == ']' {
				return '-'
			}
			return r
		}, a.Path)
		if err := save(metric+"-over-"+strings.Trim(name, "-")+".png", p); err != nil {
			return paths, err
		}
	}
	return paths, nil
}

// styleLine sets the color, dashes and width of the i-th policy's line.
func styleLine(l *plotter.Line, i int) {
	l.Color, l.Dashes, l.Width = plotutil.Color(i), plotutil.Dashes(i/7), vg.Points(1.5)
}

// chartTitle names the experiment and the axis values of a row.
func chartTitle(s *ExpandedExperiment, r Row) string {
	t := s.Name
	for i, a := range s.Grid {
		t += fmt.Sprintf(", %s = %s", a.Path, r.Cell[i])
	}
	return t + " (simulated)"
}

// latencyChart draws the cumulative distribution of the latency, with all seeds of a policy together.
func latencyChart(s *ExpandedExperiment, rows []Row, series map[int]TimeSeries) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = chartTitle(s, rows[0])
	p.X.Label.Text, p.Y.Label.Text = "answered within, seconds", "share of what was answered"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{}
	p.Add(plotter.NewGrid())
	least, most := 1.0, 0.002
	for i, policy := range s.Policies {
		var latencies []float64
		for _, r := range rows {
			if r.Policy == policy {
				latencies = append(latencies, series[r.Run].Latency...)
			}
		}
		latencies = slices.DeleteFunc(latencies, func(x float64) bool { return x <= 0 })
		if len(latencies) == 0 {
			continue
		}
		slices.Sort(latencies)
		var points plotter.XYs
		for k, x := range latencies {
			points = append(points, plotter.XY{X: x, Y: (float64(k) + 0.5) / float64(len(latencies))})
		}
		least, most = min(least, latencies[0]), max(most, latencies[len(latencies)-1])
		if err := addLine(p, points, policy, i); err != nil {
			return nil, err
		}
	}
	p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = least, most*1.1, 0, 1
	return p, nil
}

// addLine adds one policy's line to a chart and its legend.
func addLine(p *plot.Plot, points plotter.XYs, policy string, i int) error {
	l, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	styleLine(l, i)
	p.Add(l)
	p.Legend.Add(policy, l)
	return nil
}

// servedChart draws the served share of the offered utility by second for one seed, with the faults as bars below.
func servedChart(s *ExpandedExperiment, rows []Row, allSeries map[int]TimeSeries, seed uint64) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, seed %d", chartTitle(s, rows[0]), seed)
	p.X.Label.Text, p.Y.Label.Text = "seconds of the day", fmt.Sprintf("served of worth asked, %d s", smoothingSeconds)
	p.Add(plotter.NewGrid())
	p.Y.Min, p.Y.Max = -0.05, 1.05
	p.Legend.YOffs, p.Legend.Left = vg.Points(4), true
	lines, faultsDrawn := 0, false
	for i, policy := range s.Policies {
		for _, r := range rows {
			series, ok := allSeries[r.Run]
			if r.Policy != policy || r.Seed != seed || !ok {
				continue
			}
			if !faultsDrawn {
				faultsDrawn = true
				for k, f := range series.Plan {
					y := -0.04 * float64(k+1)
					bar, err := plotter.NewLine(plotter.XYs{{X: f.From, Y: y}, {X: f.From + f.For, Y: y}})
					if err != nil {
						return nil, err
					}
					bar.Width, bar.Color = vg.Points(4), color.RGBA{200, 60, 60, 255}
					label, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: f.From, Y: y + 0.008}}, Labels: []string{f.String()}})
					if err != nil {
						return nil, err
					}
					for t := range label.TextStyle {
						label.TextStyle[t].Font.Size = vg.Points(7)
					}
					p.Add(bar, label)
					p.Y.Min = min(p.Y.Min, y-0.04)
				}
			}
			var points plotter.XYs
			for t := range series.Asked {
				asked, served := 0.0, 0.0
				for k := max(0, t-smoothingSeconds+1); k <= t; k++ {
					asked, served = asked+series.Asked[k], served+series.Served[k]
				}
				if asked > 0 && t < len(series.Asked)-1 {
					points = append(points, plotter.XY{X: float64(t) + 0.5, Y: served / asked})
				}
			}
			if len(points) == 0 {
				continue
			}
			if err := addLine(p, points, policy, i); err != nil {
				return nil, err
			}
			lines++
		}
	}
	if lines == 0 {
		return nil, fmt.Errorf("no run of seed %d is done", seed)
	}
	return p, nil
}

// errorPoints are points with vertical error bars.
type errorPoints struct {
	plotter.XYs
	plotter.YErrors
}

// axisChart draws the mean of a metric over one axis, across all values of the other axes; bars are the confidence interval of
// the mean. It returns nil if the values of the axis are not numeric.
func axisChart(s *ExpandedExperiment, rows []Row, axis int, metric string) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = s.Name + " (simulated)"
	p.X.Label.Text, p.Y.Label.Text = s.Grid[axis].Path, metric
	p.Legend.Left = true
	p.Add(plotter.NewGrid())
	for i, policy := range s.Policies {
		valuesByX := map[float64][]float64{}
		var xs []float64
		for _, r := range rows {
			x, err := strconv.ParseFloat(r.Cell[axis], 64)
			if err != nil {
				return nil, nil
			}
			if r.Policy == policy {
				if _, ok := valuesByX[x]; !ok {
					xs = append(xs, x)
				}
				valuesByX[x] = append(valuesByX[x], r.Values[metric])
			}
		}
		slices.Sort(xs)
		var points errorPoints
		for _, x := range xs {
			mean, low, high := confidenceInterval(valuesByX[x])
			points.XYs, points.YErrors = append(points.XYs, plotter.XY{X: x, Y: mean}),
				append(points.YErrors, struct{ Low, High float64 }{})
			if e := &points.YErrors[len(points.YErrors)-1]; len(valuesByX[x]) > 1 {
				e.Low, e.High = mean-low, high-mean
			}
		}
		if len(xs) == 0 {
			continue
		}
		l, dots, err := plotter.NewLinePoints(points.XYs)
		if err != nil {
			return nil, err
		}
		bars, err := plotter.NewYErrorBars(points)
		if err != nil {
			return nil, err
		}
		styleLine(l, i)
		dots.Color, dots.Shape, bars.Color = plotutil.Color(i), draw.CircleGlyph{}, plotutil.Color(i)
		p.Add(l, dots, bars)
		p.Legend.Add(policy, l)
	}
	return p, nil
}

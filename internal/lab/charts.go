// This file owns the charts of a folder. It must never draw what is not in the rows and courses.

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
	wide, high = 9 * vg.Inch, 5 * vg.Inch
	smoothed   = 3 // seconds over which served is drawn, since one second has few commands
)

// Charts draws the folder's charts as PNG files and names them: latency curves and served over time of a cell (the
// first), and the figure over each numeric axis with its spread over seeds.
func DrawCharts(dir string, cell int, figure string) ([]string, error) {
	s, rows, err := LoadResults(dir)
	if err != nil {
		return nil, err
	}
	if !slices.Contains(Metrics(), figure) {
		return nil, fmt.Errorf("figure %q is unknown; known are %s", figure, strings.Join(Metrics(), ", "))
	}
	if cell < 0 || cell >= len(s.Cells) {
		return nil, fmt.Errorf("cell %d is not one of %d", cell, len(s.Cells))
	}
	courses, err := LoadTimeSeries(dir)
	if err != nil {
		return nil, err
	}
	var of []Row
	for _, r := range rows {
		if slices.Equal(r.Cell, s.Cells[cell].Values) {
			of = append(of, r)
		}
	}
	if len(of) == 0 {
		return nil, fmt.Errorf("%s: no run of cell %d is done", filepath.Join(dir, rowsFile), cell)
	}
	var made []string
	save := func(name string, p *plot.Plot) error {
		place := filepath.Join(dir, name)
		made = append(made, place)
		return p.Save(wide, high, place)
	}
	p, err := latency(s, of, courses)
	if err != nil {
		return made, err
	}
	if err := save("latency.png", p); err != nil {
		return made, err
	}
	if p, err = overTime(s, of, courses, s.Seeds[0]); err != nil {
		return made, err
	}
	if err := save("served.png", p); err != nil {
		return made, err
	}
	for i, a := range s.Grid {
		p, err := overAxis(s, rows, i, figure)
		if err != nil {
			return made, err
		}
		if p == nil {
			continue // its values are no numbers
		}
		name := strings.Map(func(r rune) rune {
			if r == '.' || r == '[' || r == ']' {
				return '-'
			}
			return r
		}, a.Path)
		if err := save(figure+"-over-"+strings.Trim(name, "-")+".png", p); err != nil {
			return made, err
		}
	}
	return made, nil
}

func style(l *plotter.Line, i int) {
	l.Color, l.Dashes, l.Width = plotutil.Color(i), plotutil.Dashes(i/7), vg.Points(1.5)
}

func title(s *ExpandedExperiment, r Row) string {
	t := s.Name
	for i, a := range s.Grid {
		t += fmt.Sprintf(", %s = %s", a.Path, r.Cell[i])
	}
	return t + " (simulated)"
}

// latency is the share answered within a time, all seeds of a policy together.
func latency(s *ExpandedExperiment, rows []Row, courses map[int]TimeSeries) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title(s, rows[0])
	p.X.Label.Text, p.Y.Label.Text = "answered within, seconds", "share of what was answered"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{}
	p.Add(plotter.NewGrid())
	least, most := 1.0, 0.002
	for i, policy := range s.Policies {
		var all []float64
		for _, r := range rows {
			if r.Policy == policy {
				all = append(all, courses[r.Run].Latency...)
			}
		}
		all = slices.DeleteFunc(all, func(x float64) bool { return x <= 0 })
		if len(all) == 0 {
			continue
		}
		slices.Sort(all)
		var xy plotter.XYs
		for k, x := range all {
			xy = append(xy, plotter.XY{X: x, Y: (float64(k) + 0.5) / float64(len(all))})
		}
		least, most = min(least, all[0]), max(most, all[len(all)-1])
		if err := course(p, xy, policy, i); err != nil {
			return nil, err
		}
	}
	p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = least, most*1.1, 0, 1
	return p, nil
}

// course adds one policy's line to a chart and its legend.
func course(p *plot.Plot, xy plotter.XYs, policy string, i int) error {
	l, err := plotter.NewLine(xy)
	if err != nil {
		return err
	}
	style(l, i)
	p.Add(l)
	p.Legend.Add(policy, l)
	return nil
}

// overTime is the part served of what was asked, second by second, with the faults as bars below.
func overTime(s *ExpandedExperiment, rows []Row, courses map[int]TimeSeries, seed uint64) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, seed %d", title(s, rows[0]), seed)
	p.X.Label.Text, p.Y.Label.Text = "seconds of the day", fmt.Sprintf("served of worth asked, %d s", smoothed)
	p.Add(plotter.NewGrid())
	p.Y.Min, p.Y.Max = -0.05, 1.05
	p.Legend.YOffs, p.Legend.Left = vg.Points(4), true
	n, drawn := 0, false
	for i, policy := range s.Policies {
		for _, r := range rows {
			c, ok := courses[r.Run]
			if r.Policy != policy || r.Seed != seed || !ok {
				continue
			}
			if !drawn {
				drawn = true
				for k, f := range c.Plan {
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
			var xy plotter.XYs
			for t := range c.Asked {
				asked, served := 0.0, 0.0
				for k := max(0, t-smoothed+1); k <= t; k++ {
					asked, served = asked+c.Asked[k], served+c.Served[k]
				}
				if asked > 0 && t < len(c.Asked)-1 {
					xy = append(xy, plotter.XY{X: float64(t) + 0.5, Y: served / asked})
				}
			}
			if len(xy) == 0 {
				continue
			}
			if err := course(p, xy, policy, i); err != nil {
				return nil, err
			}
			n++
		}
	}
	if n == 0 {
		return nil, fmt.Errorf("no run of seed %d is done", seed)
	}
	return p, nil
}

type points struct {
	plotter.XYs
	plotter.YErrors
}

// overAxis is a figure over one axis, the others at all their values; bars are the interval of the mean. nil if the
// axis has no numbers.
func overAxis(s *ExpandedExperiment, rows []Row, axis int, figure string) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = s.Name + " (simulated)"
	p.X.Label.Text, p.Y.Label.Text = s.Grid[axis].Path, figure
	p.Legend.Left = true
	p.Add(plotter.NewGrid())
	for i, policy := range s.Policies {
		of := map[float64][]float64{}
		var at []float64
		for _, r := range rows {
			x, err := strconv.ParseFloat(r.Cell[axis], 64)
			if err != nil {
				return nil, nil
			}
			if r.Policy == policy {
				if _, ok := of[x]; !ok {
					at = append(at, x)
				}
				of[x] = append(of[x], r.Values[figure])
			}
		}
		slices.Sort(at)
		var pts points
		for _, x := range at {
			mean, low, top := interval(of[x])
			pts.XYs, pts.YErrors = append(pts.XYs, plotter.XY{X: x, Y: mean}), append(pts.YErrors, struct{ Low, High float64 }{})
			if e := &pts.YErrors[len(pts.YErrors)-1]; len(of[x]) > 1 {
				e.Low, e.High = mean-low, top-mean
			}
		}
		if len(at) == 0 {
			continue
		}
		l, dots, err := plotter.NewLinePoints(pts.XYs)
		if err != nil {
			return nil, err
		}
		bars, err := plotter.NewYErrorBars(pts)
		if err != nil {
			return nil, err
		}
		style(l, i)
		dots.Color, dots.Shape, bars.Color = plotutil.Color(i), draw.CircleGlyph{}, plotutil.Color(i)
		p.Add(l, dots, bars)
		p.Legend.Add(policy, l)
	}
	return p, nil
}

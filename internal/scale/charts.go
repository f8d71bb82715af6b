package scale

import (
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	chartWidth, chartHeight = 8 * vg.Inch, 5 * vg.Inch
	curveSteps              = 100
)

// Charts draws each series with its model as a PNG file in a directory and returns the paths of the files.
func (d *Data) Charts(directory string) (paths []string, err error) {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return nil, err
	}
	for _, s := range d.Series {
		p, err := s.chart()
		if err != nil {
			return paths, err
		}
		path := filepath.Join(directory, slug(s.Role+" "+s.Figure+" "+string(s.Variable)+" "+s.Setting)+".png")
		if err := p.Save(chartWidth, chartHeight, path); err != nil {
			return paths, err
		}
		paths = append(paths, path)
	}
	return paths, nil
}

// slug returns the text in lower case, with all but letters and digits replaced by hyphens.
func slug(text string) string {
	return strings.Trim(strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= '0' && r <= '9' {
			return r
		}
		return '-'
	}, strings.ToLower(text)), "-")
}

// chart draws the measured points and the curve of the model.
func (s Series) chart() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = s.Role + ": " + s.Figure
	p.X.Label.Text, p.Y.Label.Text = string(s.Variable)+" ("+s.Setting+")", s.Unit
	p.Add(plotter.NewGrid())
	var measured, curve plotter.XYs
	for _, point := range s.Points {
		measured = append(measured, plotter.XY{X: point.N, Y: point.Y})
	}
	first, last := s.Points[0].N, s.Points[len(s.Points)-1].N
	for k := range curveSteps + 1 {
		x := first + (last-first)*float64(k)/curveSteps
		curve = append(curve, plotter.XY{X: x, Y: s.Fit.At(x)})
	}
	dots, err := plotter.NewScatter(measured)
	if err != nil {
		return nil, err
	}
	line, err := plotter.NewLine(curve)
	if err != nil {
		return nil, err
	}
	dots.Color, line.Color, line.Width = plotutil.Color(0), plotutil.Color(1), vg.Points(1.5)
	p.Add(dots, line)
	p.Legend.Add("measured", dots)
	p.Legend.Add("law: "+string(s.Fit.Model), line)
	p.Legend.Left, p.Legend.Top = true, true
	return p, nil
}

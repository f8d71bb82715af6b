// Package fit finds the law by which a figure grows and predicts it for other sizes.
//
// It is free of I/O. A law is y = Intercept + Slope * f(n), by least squares; of several the one is chosen that leaves
// the least, and a simpler one where a richer one gains next to nothing.
package fit

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Law names the function of the size that a figure follows.
type Model string

// The laws, simplest first.
const (
	Constant  Model = "none"
	Logarithm Model = "log n"
	Linear    Model = "n"
	Square    Model = "n^2"
)

// Laws are all of them, simplest first.
var Models = []Model{Constant, Logarithm, Linear, Square}

const (
	flatPart    = 0.02 // of the mean: a figure that all sizes have within this part of one another does not grow
	confidence  = 0.95 // that a figure grows at all
	leastPoints = 3
	gain        = 0.8 // what a richer law must leave at most of a simpler one's residual
)

// Point is a figure measured at a size.
type Point struct {
	N float64 `json:"n"`
	Y float64 `json:"y"`
}

// Fit is the law chosen for some points.
type Fit struct {
	Model            Model   `json:"law"`
	Intercept        float64 `json:"intercept"`
	Slope            float64 `json:"slope"`
	Residual         float64 `json:"residual"` // root of the mean square, in the figure's unit
	RelativeResidual float64 `json:"relative"` // Residual as a part of the mean
}

func (l Model) of(n float64) float64 {
	switch l {
	case Logarithm:
		return math.Log(n)
	case Linear:
		return n
	case Square:
		return n * n
	}
	return 0
}

// Of chooses the law for points of at least three sizes.
func Best(points []Point) (Fit, error) {
	if len(points) < leastPoints {
		return Fit{}, fmt.Errorf("%d points are too few for a law, %d are needed", len(points), leastPoints)
	}
	best := along(Constant, points)
	if best.Residual <= flatPart*math.Abs(best.Intercept) {
		return best, nil
	}
	for _, law := range Models[1:] {
		if next := along(law, points); next.Residual < gain*best.Residual && next.grows(points) {
			best = next
		}
	}
	return best, nil
}

// grows tells whether the slope is other than zero with the confidence asked for.
func (f Fit) grows(points []Point) bool {
	xs := make([]float64, len(points))
	for i, p := range points {
		xs[i] = f.Model.of(p.N)
	}
	count := float64(len(points))
	free := count - 2
	spread := stat.Variance(xs, nil) * (count - 1)
	deviation := f.Residual * math.Sqrt(count/free/spread)
	return math.Abs(f.Slope) > deviation*distuv.StudentsT{Mu: 0, Sigma: 1, Nu: free}.Quantile((1+confidence)/2)
}

// along fits one law.
func along(law Model, points []Point) Fit {
	xs, ys := make([]float64, len(points)), make([]float64, len(points))
	for i, p := range points {
		xs[i], ys[i] = law.of(p.N), p.Y
	}
	f := Fit{Model: law}
	if law == Constant {
		f.Intercept = stat.Mean(ys, nil)
	} else {
		f.Intercept, f.Slope = stat.LinearRegression(xs, ys, nil, false)
	}
	sum := 0.0
	for _, p := range points {
		d := p.Y - f.At(p.N)
		sum += d * d
	}
	f.Residual = math.Sqrt(sum / float64(len(points)))
	if mean := math.Abs(stat.Mean(ys, nil)); mean > 0 {
		f.RelativeResidual = f.Residual / mean
	}
	return f
}

// At is what the law gives for a size.
func (f Fit) At(n float64) float64 { return f.Intercept + f.Slope*f.Model.of(n) }

// Quantiles gives the median, 99 in 100 and the last of some values.
func Quantiles(values []float64) (median, most99, last float64) {
	if len(values) == 0 {
		return 0, 0, 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	median = stat.Quantile(0.5, stat.Empirical, sorted, nil)
	most99 = stat.Quantile(0.99, stat.Empirical, sorted, nil)
	return median, most99, sorted[len(sorted)-1]
}

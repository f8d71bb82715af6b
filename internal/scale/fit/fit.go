// Package fit selects a growth model for measured points and predicts the value at other sizes.
//
// It does no I/O. A model is y = Intercept + Slope * f(n), fitted by least squares. The model with the smallest residual is
// selected, but a more complex model replaces a simpler one only if it reduces the residual noticeably.
package fit

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Model names the function f of the size n that a value depends on.
type Model string

// The growth models, from the simplest to the most complex.
const (
	Constant  Model = "none"
	Logarithm Model = "log n"
	Linear    Model = "n"
	Square    Model = "n^2"
)

// Models lists all models, from the simplest to the most complex.
var Models = []Model{Constant, Logarithm, Linear, Square}

const (
	flatTolerance    = 0.02 // residual over mean up to which a value counts as constant
	confidence       = 0.95 // of the test that the slope is not zero
	minPoints        = 3
	maxResidualRatio = 0.8 // a more complex model must leave at most this part of the simpler one's residual
)

// Point is a value Y measured at a size N.
type Point struct {
	N float64 `json:"n"`
	Y float64 `json:"y"`
}

// Fit is the model selected for a set of points, with its coefficients.
type Fit struct {
	Model            Model   `json:"law"`
	Intercept        float64 `json:"intercept"`
	Slope            float64 `json:"slope"`
	Residual         float64 `json:"residual"` // root mean square, in the unit of the values
	RelativeResidual float64 `json:"relative"` // Residual divided by the mean
}

// basis returns f(n) of the model.
func (m Model) basis(n float64) float64 {
	switch m {
	case Logarithm:
		return math.Log(n)
	case Linear:
		return n
	case Square:
		return n * n
	}
	return 0
}

// Best selects the model for points of at least three sizes.
func Best(points []Point) (Fit, error) {
	if len(points) < minPoints {
		return Fit{}, fmt.Errorf("cannot fit a model to %d points: at least %d are needed", len(points), minPoints)
	}
	best := fitModel(Constant, points)
	if best.Residual <= flatTolerance*math.Abs(best.Intercept) {
		return best, nil
	}
	for _, model := range Models[1:] {
		if next := fitModel(model, points); next.Residual < maxResidualRatio*best.Residual && next.slopeIsSignificant(points) {
			best = next
		}
	}
	return best, nil
}

// slopeIsSignificant reports whether a t-test at the given confidence finds the slope different from zero.
func (f Fit) slopeIsSignificant(points []Point) bool {
	xs := make([]float64, len(points))
	for i, p := range points {
		xs[i] = f.Model.basis(p.N)
	}
	count := float64(len(points))
	degreesOfFreedom := count - 2
	squares := stat.Variance(xs, nil) * (count - 1)
	standardError := f.Residual * math.Sqrt(count/degreesOfFreedom/squares)
	return math.Abs(f.Slope) > standardError*distuv.StudentsT{Mu: 0, Sigma: 1, Nu: degreesOfFreedom}.Quantile((1+confidence)/2)
}

// fitModel fits one model by least squares.
func fitModel(model Model, points []Point) Fit {
	xs, ys := make([]float64, len(points)), make([]float64, len(points))
	for i, p := range points {
		xs[i], ys[i] = model.basis(p.N), p.Y
	}
	f := Fit{Model: model}
	if model == Constant {
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

// At returns the value that the model predicts for a size.
func (f Fit) At(n float64) float64 { return f.Intercept + f.Slope*f.Model.basis(n) }

// Quantiles returns the median, the 99th percentile and the maximum, or zeros without values.
func Quantiles(values []float64) (median, p99, maximum float64) {
	if len(values) == 0 {
		return 0, 0, 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	median = stat.Quantile(0.5, stat.Empirical, sorted, nil)
	p99 = stat.Quantile(0.99, stat.Empirical, sorted, nil)
	return median, p99, sorted[len(sorted)-1]
}

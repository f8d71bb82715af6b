package fit

import (
	"math"
	"math/rand/v2"
	"testing"
)

var sizes = []float64{35, 70, 140, 280, 560}

func TestTheLawIsNamedThroughNoise(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, c := range []struct {
		law Model
		of  func(n float64) float64
	}{
		{Constant, func(float64) float64 { return 42 }},
		{Logarithm, func(n float64) float64 { return 10 + 30*math.Log(n) }},
		{Linear, func(n float64) float64 { return 100 + 7*n }},
		{Square, func(n float64) float64 { return 100 + 0.5*n*n }},
	} {
		for range 50 {
			var points []Point
			for _, n := range sizes {
				points = append(points, Point{n, c.of(n) * (1 + 0.01*random.NormFloat64())})
			}
			f, err := Best(points)
			if err != nil || f.Model != c.law {
				t.Fatalf("%s was taken for %s (%v): %v", c.law, f.Model, err, points)
			}
			if at := f.At(1120); math.Abs(at-c.of(1120)) > 0.1*c.of(1120) {
				t.Errorf("%s: %.1f at 1,120, wanted %.1f", c.law, at, c.of(1120))
			}
		}
	}
}

// A figure that varies by chance alone must not be told to grow.
func TestChanceIsNoGrowth(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	const days, allowed = 200, 30 // three laws are tried at 95%
	growing := 0
	for range days {
		var points []Point
		for _, n := range sizes {
			points = append(points, Point{n, 10 + 2*random.NormFloat64()})
		}
		if f, err := Best(points); err != nil {
			t.Fatal(err)
		} else if f.Model != Constant {
			growing++
		}
	}
	if growing > allowed {
		t.Errorf("%d of %d were told to grow", growing, days)
	}
}

func TestNoLawFromTwoPoints(t *testing.T) {
	if _, err := Best([]Point{{1, 1}, {2, 2}}); err == nil {
		t.Error("two points gave a law")
	}
}

func TestQuantiles(t *testing.T) {
	var values []float64
	for i := range 100 {
		values = append(values, float64(100-i))
	}
	if median, most99, last := Quantiles(values); median != 50 || most99 != 99 || last != 100 {
		t.Errorf("%v, %v, %v", median, most99, last)
	}
}

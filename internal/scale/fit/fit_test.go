package fit

import (
	"math"
	"math/rand/v2"
	"testing"
)

var sizes = []float64{35, 70, 140, 280, 560}

func TestBestFindsModelDespiteNoise(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, c := range []struct {
		model Model
		of    func(n float64) float64
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
			if err != nil || f.Model != c.model {
				t.Fatalf("points of model %s: got model %s (%v): %v", c.model, f.Model, err, points)
			}
			if at := f.At(1120); math.Abs(at-c.of(1120)) > 0.1*c.of(1120) {
				t.Errorf("%s: predicted %.1f at 1,120, want %.1f", c.model, at, c.of(1120))
			}
		}
	}
}

// TestNoGrowthFoundInNoise guards against a growth model being selected for values that vary by chance alone.
func TestNoGrowthFoundInNoise(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	const samples, allowed = 200, 30 // three models are tried at 95%
	growing := 0
	for range samples {
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
		t.Errorf("growth found in %d of %d samples of pure noise, at most 30 allowed", growing, samples)
	}
}

func TestBestRejectsTwoPoints(t *testing.T) {
	if _, err := Best([]Point{{1, 1}, {2, 2}}); err == nil {
		t.Error("a model was fitted to two points")
	}
}

func TestQuantiles(t *testing.T) {
	var values []float64
	for i := range 100 {
		values = append(values, float64(100-i))
	}
	if median, p99, maximum := Quantiles(values); median != 50 || p99 != 99 || maximum != 100 {
		t.Errorf("median %v, p99 %v, maximum %v", median, p99, maximum)
	}
}

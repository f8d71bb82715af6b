package emulator

import (
	"math"
	"testing"
)

// DrawWork depends only on a command's seed. A wrong distribution would bias every simulation.
func TestWorkHasItsMeanAndSpread(t *testing.T) {
	w := Default()
	for v := range w.Verbs {
		n, sum, squares, most := 400000, 0.0, 0.0, 0.0
		for i := range n {
			x := DrawWork(&w.Verbs[v], MixSeeds(9, uint64(i)), 0) / w.Verbs[v].Work[0]
			sum, squares, most = sum+x, squares+x*x, max(most, x)
		}
		mean := sum / float64(n)
		cv := math.Sqrt(squares/float64(n)-mean*mean) / mean
		if math.Abs(mean-1) > 0.02 || math.Abs(cv/w.Verbs[v].Spread-1) > 0.1 || most > 120 {
			t.Errorf("verb %d: mean %.3f, want 1; spread %.3f, want %.3f; largest %.1f", v, mean, cv, w.Verbs[v].Spread, most)
		}
	}
}

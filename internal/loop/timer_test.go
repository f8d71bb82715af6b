package loop

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// Timers come exactly in the order of their times, whatever the order of asking; those called off don't come, those with a
// token get it. All are asked for inside one call of the loop, within which its clock stands: however long the asking takes,
// each time is counted from the same moment. The times lie 0.1 ms apart, more than a Unix time in seconds can round.
func TestTimersInOrder(t *testing.T) {
	l, _ := New()
	defer l.Close()
	r := rand.New(rand.NewPCG(1, 2))
	var want, came []float64
	var start float64
	l.Post(func() {
		start = l.Now()
		for i, place := range r.Perm(500) {
			at := 1e-4 * float64(place)
			switch i % 3 {
			case 0:
				l.After(at, func() { came = append(came, at) })
				want = append(want, at)
			case 1:
				l.AfterToken(at, func(token uint64) {
					if token != uint64(i) {
						t.Errorf("token %d instead of %d", token, i)
					}
					came = append(came, at)
				}, uint64(i))
				want = append(want, at)
			case 2:
				l.After(at, func() { t.Error("a timer that was called off came") }).Stop()
			}
		}
		l.After(0.06, l.Stop)
	})
	l.Run(func() {})
	slices.Sort(want)
	if !slices.Equal(came, want) {
		t.Errorf("%d timers came in the order\n%v, asked for were %d:\n%v", len(came), came, len(want), want)
	}
	if len(want) != 334 {
		t.Errorf("%d were asked for", len(want))
	}
	if took := l.Now() - start; took < 0.06 || took > 1 {
		t.Errorf("took %v s", took)
	}
}

// While something is called the clock stands at the call; between calls it goes on. A latency measured over two calls
// is then right, and one call costs one look at the clock.
func TestClockStandsWithinACall(t *testing.T) {
	l, _ := New()
	defer l.Close()
	var first, same, later float64
	l.After(0.001, func() {
		first = l.Now()
		for x := 0; x < 1e6; x++ { // a millisecond or so of work
			same = l.Now()
		}
	})
	l.After(0.02, func() { later = l.Now(); l.Stop() })
	l.Run(func() {})
	if first != same || later < first+0.01 {
		t.Errorf("at the call %v, within it %v, at the next %v", first, same, later)
	}
}

// BenchmarkTimers is a timer asked for and come, with so many asked for.
func BenchmarkTimers(b *testing.B) {
	for _, n := range []int{10, 1000, 100000} {
		b.Run(map[int]string{10: "open=10", 1000: "open=1000", 100000: "open=100000"}[n], func(b *testing.B) {
			var h timers
			r := rand.New(rand.NewPCG(1, 2))
			for range n {
				h.push(due{r.Float64(), &Timer{}})
			}
			b.ReportAllocs()
			for b.Loop() {
				at := h[0].at
				t := h.pop()
				h.push(due{at + r.Float64(), t})
			}
		})
	}
}

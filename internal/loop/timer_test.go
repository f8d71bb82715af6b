package loop

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// Timers fire exactly in the order of their due times, whatever the order of scheduling; stopped timers do not fire, and
// AfterToken passes the token. All are scheduled within one callback, in which the loop's clock is constant, so that all delays
// count from the same moment. The delays are 0.1 ms apart, more than the rounding of a Unix time in seconds.
func TestTimersFireInOrder(t *testing.T) {
	l, _ := New()
	defer l.Close()
	r := rand.New(rand.NewPCG(1, 2))
	var want, fired []float64
	var start float64
	l.Post(func() {
		start = l.Now()
		for i, position := range r.Perm(500) {
			at := 1e-4 * float64(position)
			switch i % 3 {
			case 0:
				l.After(at, func() { fired = append(fired, at) })
				want = append(want, at)
			case 1:
				l.AfterToken(at, func(token uint64) {
					if token != uint64(i) {
						t.Errorf("token %d instead of %d", token, i)
					}
					fired = append(fired, at)
				}, uint64(i))
				want = append(want, at)
			case 2:
				l.After(at, func() { t.Error("a stopped timer fired") }).Stop()
			}
		}
		l.After(0.06, l.Stop)
	})
	l.Run(func() {})
	slices.Sort(want)
	if !slices.Equal(fired, want) {
		t.Errorf("%d timers fired in the order\n%v, scheduled were %d:\n%v", len(fired), fired, len(want), want)
	}
	if len(want) != 334 {
		t.Errorf("%d timers were scheduled, want 334", len(want))
	}
	if took := l.Now() - start; took < 0.06 || took > 1 {
		t.Errorf("took %v s", took)
	}
}

// Guards against memory that grows with the rate of commands: a timer that is stopped must not stay in the loop until it is due.
func TestStoppedTimersAreRemoved(t *testing.T) {
	l, _ := New()
	defer l.Close()
	const total = 100_000
	fired := 0
	for i := range total {
		timer := l.After(1000, func() { t.Error("a stopped timer fired") })
		if i%10 == 0 {
			l.AfterToken(0.001, func(uint64) { fired++ }, 0)
		}
		timer.Stop()
		timer.Stop()
	}
	if n := len(l.timers); n > total/10+2*(total/10+minStoppedTimers) {
		t.Errorf("%d timers are held, %d of them are not stopped", n, total/10)
	}
	done := l.After(0.1, l.Stop)
	l.Run(func() {})
	done.Stop() // has fired: no effect
	if fired != total/10 || l.stoppedTimers < 0 || l.stoppedTimers > len(l.timers) {
		t.Errorf("%d timers fired, want %d; %d of %d counted as stopped", fired, total/10, l.stoppedTimers, len(l.timers))
	}
}

// Within a callback the loop's clock is constant; between callbacks it advances. A latency measured across two callbacks is
// correct, and each callback reads the clock once.
func TestClockIsConstantWithinACallback(t *testing.T) {
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
		t.Errorf("at the start of the callback %v, at its end %v, in the next callback %v", first, same, later)
	}
}

// BenchmarkTimers measures scheduling and firing one timer while n timers are scheduled.
func BenchmarkTimers(b *testing.B) {
	for _, n := range []int{10, 1000, 100000} {
		b.Run(map[int]string{10: "open=10", 1000: "open=1000", 100000: "open=100000"}[n], func(b *testing.B) {
			var h timerHeap
			r := rand.New(rand.NewPCG(1, 2))
			for range n {
				h.push(timerEntry{r.Float64(), &Timer{}})
			}
			b.ReportAllocs()
			for b.Loop() {
				at := h[0].at
				t := h.pop()
				h.push(timerEntry{at + r.Float64(), t})
			}
		})
	}
}

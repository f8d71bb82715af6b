package recovery

import "testing"

// course plays looks every quarter of a second; what tells answered, ended and the late part by time.
func course(r *Tracker, seconds float64, serving func(t float64) bool, what func(t float64) (int, int, float64)) (full float64) {
	full = -1
	for t := 0.0; t < seconds; t += 0.25 {
		a, e, l := what(t)
		if r.Observe(t, serving(t), a, e, l) {
			full = t
		}
	}
	return full
}

func from(at float64) func(float64) bool { return func(t float64) bool { return t >= at } }

func TestItCountsFromWhenAllStaysAsUsual(t *testing.T) {
	r := New(0.99, 0.1)
	full := course(r, 20, from(1), func(t float64) (int, int, float64) {
		if t < 3 {
			return 5, 10, 0.1
		}
		return 10, 10, 0.1
	})
	if took, out := r.TimeToFull(); r.Phase() != Full || full < 4.7 || full > 5.25 || took < 1.5 || took > 2 || out {
		t.Errorf("%v at %.2f s, %.2f s after it served, out of time %t", r.Phase(), full, took, out)
	}
}

func TestAGoodMomentIsNotEnough(t *testing.T) {
	r := New(0.99, 0.1)
	course(r, 10, from(0), func(t float64) (int, int, float64) {
		if int(t/1.5)%2 == 1 {
			return 2, 10, 0.1
		}
		return 10, 10, 0.1
	})
	if r.Phase() != Warming {
		t.Errorf("%v though no two seconds are good", r.Phase())
	}
}

func TestLateAnswersAreNotFullUse(t *testing.T) {
	r := New(0.99, 0.1)
	if course(r, 10, from(0), func(t float64) (int, int, float64) { return 10, 10, 0.6 }); r.Phase() != Warming {
		t.Error("full though most is late")
	}
}

func TestEachPhaseHasAnEnd(t *testing.T) {
	r := New(0, 0)
	if course(r, 100, from(200), func(t float64) (int, int, float64) { return 0, 0, 0 }); r.Phase() != Cold {
		t.Errorf("%v without a list", r.Phase())
	}
	full := course(r, 100, from(0), func(t float64) (int, int, float64) { return 0, 10, 0 })
	if _, out := r.TimeToFull(); full < warmMost || full > warmMost+1 || !out {
		t.Errorf("full at %.1f s, out of time %t", full, out)
	}
	if r = New(0, 0); course(r, 20, from(0), func(float64) (int, int, float64) { return 0, 0, 0 }) >= 0 {
		t.Error("nobody came, and it is of full use")
	}
}

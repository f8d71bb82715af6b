package recovery

import "testing"

// observeAll calls Observe every 0.25 s, with counts and the late fraction from results, and returns when it reported full, -1
// for never.
func observeAll(
	r *Tracker, seconds float64, serving func(t float64) bool, results func(t float64) (int, int, float64),
) (full float64) {
	full = -1
	for t := 0.0; t < seconds; t += 0.25 {
		answered, ended, late := results(t)
		if r.Observe(t, serving(t), answered, ended, late) {
			full = t
		}
	}
	return full
}

// servingFrom returns a function that reports serving from a time on.
func servingFrom(at float64) func(float64) bool { return func(t float64) bool { return t >= at } }

func TestTimeToFullEndsWhenResultsBecomeUsual(t *testing.T) {
	r := New(0.99, 0.1)
	full := observeAll(r, 20, servingFrom(1), func(t float64) (int, int, float64) {
		if t < 3 {
			return 5, 10, 0.1
		}
		return 10, 10, 0.1
	})
	if took, timedOut := r.TimeToFull(); r.Phase() != Full || full < 4.7 || full > 5.25 || took < 1.5 || took > 2 || timedOut {
		t.Errorf("%v at %.2f s, time to full %.2f s, timed out %t", r.Phase(), full, took, timedOut)
	}
}

func TestResultsMustStayUsual(t *testing.T) {
	r := New(0.99, 0.1)
	observeAll(r, 10, servingFrom(0), func(t float64) (int, int, float64) {
		if int(t/1.5)%2 == 1 {
			return 2, 10, 0.1
		}
		return 10, 10, 0.1
	})
	if r.Phase() != Warming {
		t.Errorf("%v without two seconds of usual results", r.Phase())
	}
}

func TestLateAnswersKeepItWarming(t *testing.T) {
	r := New(0.99, 0.1)
	if observeAll(r, 10, servingFrom(0), func(t float64) (int, int, float64) { return 10, 10, 0.6 }); r.Phase() != Warming {
		t.Error("full although most answers are late")
	}
}

func TestLimitsOfEachPhase(t *testing.T) {
	r := New(0, 0)
	if observeAll(r, 100, servingFrom(200), func(t float64) (int, int, float64) { return 0, 0, 0 }); r.Phase() != Cold {
		t.Errorf("%v without a list", r.Phase())
	}
	full := observeAll(r, 100, servingFrom(0), func(t float64) (int, int, float64) { return 0, 10, 0 })
	if _, timedOut := r.TimeToFull(); full < maxWarmingSeconds || full > maxWarmingSeconds+1 || !timedOut {
		t.Errorf("full at %.1f s, timed out %t", full, timedOut)
	}
	if r = New(0, 0); observeAll(r, 20, servingFrom(0), func(float64) (int, int, float64) { return 0, 0, 0 }) >= 0 {
		t.Error("full without any command")
	}
}

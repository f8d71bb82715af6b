package membership

import (
	"math"
	"math/rand/v2"
	"testing"
)

// simulateArrivals lets requests arrive at a rate during an interval and returns the last alive fraction.
func (a *ArrivalEstimator) simulateArrivals(random *rand.Rand, from, to, rate, response float64,
	inTime func(now float64) bool) (alive float64) {
	alive = a.AliveFraction(from, response)
	for now := from; ; {
		if now += random.ExpFloat64() / rate; now > to {
			return alive
		}
		a.RequestArrived(now)
		a.RequestEnded(now, !inTime(now) || random.Float64() < 0.15) // 15 % are late in normal operation
		alive = a.AliveFraction(now, response)
	}
}

func always(float64) bool { return true }
func never(float64) bool  { return false }

func TestSurgeAnsweredInTimeLowersAliveFraction(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, rate := range []float64{2, 30, 500} {
		var a ArrivalEstimator
		if alive := a.simulateArrivals(random, 0, 30, rate, 0.05, always); alive != 1 {
			t.Errorf("at %.0f/s: alive fraction %.2f at an unchanged rate", rate, alive)
		}
		if alive := a.simulateArrivals(random, 30, 32, 10*rate, 0.05, always); rate > 2 && (alive > 0.2 || alive < 0.07) {
			t.Errorf("at %.0f/s: alive fraction %.2f two seconds into a surge of ten times the rate", rate, alive)
		}
		if alive := a.simulateArrivals(random, 32, 34, rate, 0.05, always); alive < 0.9 {
			t.Errorf("at %.0f/s: alive fraction %.2f two seconds after the surge", rate, alive)
		}
	}
}

func TestSurgeAnsweredLateDoesNotLowerAliveFraction(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 1))
	var a ArrivalEstimator
	a.simulateArrivals(random, 0, 30, 100, 0.05, always)
	if alive := a.simulateArrivals(random, 30, 35, 1000, 0.05, never); alive != 1 {
		t.Errorf("alive fraction %.2f while all requests are late", alive)
	}
	if alive := a.simulateArrivals(random, 35, 37, 1000, 0.05, always); alive > 0.3 {
		t.Errorf("alive fraction %.2f though all requests are in time again", alive)
	}
	before := a.AliveFraction(37, 0.05)
	if alive := a.simulateArrivals(random, 37, 37.5, 1000, 0.05, never); alive < min(1, 4*before) {
		t.Errorf("alive fraction from %.2f to %.2f in half a second of late responses: it rises too slowly", before, alive)
	}
}

// Whatever the arrivals, in time or late: proxies that use the estimate together exceed a common limit by no more than the factor
// by which arrivals rose, the bound stated in docs/recovery.md.
func TestAliveFractionIsBoundedByTheSurge(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 3))
		var a ArrivalEstimator
		base := 5 + 300*random.Float64()
		a.simulateArrivals(random, 0, 40, base, 0.05, always)
		now, maxRatio := 40.0, 1.0
		for range 12 {
			ratio := 0.2 + 12*random.Float64()*random.Float64()
			maxRatio = max(maxRatio, ratio)
			span := 0.1 + 3*random.Float64()
			late := random.Float64() < 0.3
			a.simulateArrivals(random, now, now+span, base*ratio, 0.02+0.3*random.Float64(), func(float64) bool { return !late })
			now += span
			// The usual rate follows a drop, so that a rise counts from the lower rate; by no more than a fifth in this time.
			if alive := a.AliveFraction(now, 0.05); alive < 1/(1.6*maxRatio+1) {
				t.Fatalf("seed %d: alive fraction %.3f after a surge of at most %.1f times the rate", seed, alive, maxRatio)
			}
		}
	}
}

func TestDailySwingDoesNotLowerAliveFraction(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 1))
	var a ArrivalEstimator
	for now := 0.0; now < 300; now += 0.5 {
		if alive := a.simulateArrivals(random, now, now+0.5, 200*(1+0.4*math.Sin(now/15)), 0.05, always); alive < 0.7 {
			t.Fatalf("at %.0f s: alive fraction %.2f while the rate varies by 0.4", now, alive)
		}
	}
}

func TestLastingRateBecomesUsual(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 1))
	var a ArrivalEstimator
	a.simulateArrivals(random, 0, 30, 100, 0.05, always)
	if alive := a.simulateArrivals(random, 30, 230, 300, 0.05, always); alive != 1 {
		t.Errorf("alive fraction %.2f after 200 s at three times the rate", alive)
	}
}

// A process that was suspended for an hour must catch up in a bounded number of steps and must not take that for a surge.
func TestPauseIsNoSurge(t *testing.T) {
	random := rand.New(rand.NewPCG(6, 1))
	var a ArrivalEstimator
	a.simulateArrivals(random, 0, 30, 100, 0.05, always)
	a.RequestArrived(3630)
	if alive := a.AliveFraction(3630, 0.05); alive != 1 {
		t.Errorf("alive fraction %.2f after a pause", alive)
	}
	if a.steps > 30/int(1/stepSeconds)+maxCatchUpSteps+1000 {
		t.Errorf("caught up on %d steps", a.steps)
	}
}

func TestLowRateProvesNoSurge(t *testing.T) {
	var a ArrivalEstimator
	for now := 0.0; now < 60; now += 2 {
		a.RequestArrived(now)
	}
	for _, now := range []float64{60, 60.01, 60.02, 60.03} { // four at once when one in 2 s is usual
		a.RequestArrived(now)
		if alive := a.AliveFraction(now, 0.05); alive < 0.5 {
			t.Errorf("alive fraction %.2f at %v s", alive, now)
		}
	}
}

package membership

import (
	"math"
	"math/rand/v2"
	"testing"
)

// come has commands arrive at a rate from one time to another and gives the part believed last.
func (a *ArrivalEstimator) come(chance *rand.Rand, from, to, rate, response float64, inTime func(now float64) bool) (part float64) {
	part = a.AliveFraction(from, response)
	for now := from; ; {
		if now += chance.ExpFloat64() / rate; now > to {
			return part
		}
		a.RequestArrived(now)
		a.RequestEnded(now, !inTime(now) || chance.Float64() < 0.15) // some are late on any day
		part = a.AliveFraction(now, response)
	}
}

func always(float64) bool { return true }
func never(float64) bool  { return false }

func TestAJumpThatIsAnsweredInTimeMeansFewerPeers(t *testing.T) {
	chance := rand.New(rand.NewPCG(1, 1))
	for _, rate := range []float64{2, 30, 500} {
		var a ArrivalEstimator
		if part := a.come(chance, 0, 30, rate, 0.05, always); part != 1 {
			t.Errorf("at %.0f/s nothing changed, and %.2f are believed to live", rate, part)
		}
		if part := a.come(chance, 30, 32, 10*rate, 0.05, always); rate > 2 && (part > 0.2 || part < 0.07) {
			t.Errorf("at %.0f/s: two seconds after a jump to ten times %.2f are believed to live", rate, part)
		}
		if part := a.come(chance, 32, 34, rate, 0.05, always); part < 0.9 {
			t.Errorf("at %.0f/s: two seconds after the jump %.2f are believed to live", rate, part)
		}
	}
}

func TestAJumpThatIsNotAnsweredInTimeMeansNothing(t *testing.T) {
	chance := rand.New(rand.NewPCG(2, 1))
	var a ArrivalEstimator
	a.come(chance, 0, 30, 100, 0.05, always)
	if part := a.come(chance, 30, 35, 1000, 0.05, never); part != 1 {
		t.Errorf("%.2f are believed to live while all is late", part)
	}
	if part := a.come(chance, 35, 37, 1000, 0.05, always); part > 0.3 {
		t.Errorf("%.2f are believed to live though all is in time again", part)
	}
	before := a.AliveFraction(37, 0.05)
	if part := a.come(chance, 37, 37.5, 1000, 0.05, never); part < min(1, 4*before) {
		t.Errorf("from %.2f to %.2f in half a second of late answers: given back slower than taken", before, part)
	}
}

// Whatever comes, in time or late: all that believe this take together no more than the factor by which arrivals rose,
// the bound that docs/recovery.md states.
func TestTheWorstOvershootIsTheJump(t *testing.T) {
	for seed := range uint64(200) {
		chance := rand.New(rand.NewPCG(seed, 3))
		var a ArrivalEstimator
		base := 5 + 300*chance.Float64()
		a.come(chance, 0, 40, base, 0.05, always)
		now, most := 40.0, 1.0
		for range 12 {
			times := 0.2 + 12*chance.Float64()*chance.Float64()
			most = max(most, times)
			span := 0.1 + 3*chance.Float64()
			late := chance.Float64() < 0.3
			a.come(chance, now, now+span, base*times, 0.02+0.3*chance.Float64(), func(float64) bool { return !late })
			now += span
			// What is usual follows a slump, so a rise from there counts from there; by no more than a fifth in this time.
			if part := a.AliveFraction(now, 0.05); part < 1/(1.6*most+1) {
				t.Fatalf("seed %d: part %.3f after a jump to %.1f times at most", seed, part, most)
			}
		}
	}
}

func TestASwingOfTheDayMeansNothing(t *testing.T) {
	chance := rand.New(rand.NewPCG(4, 1))
	var a ArrivalEstimator
	for now := 0.0; now < 300; now += 0.5 {
		if part := a.come(chance, now, now+0.5, 200*(1+0.4*math.Sin(now/15)), 0.05, always); part < 0.7 {
			t.Fatalf("at %.0f s %.2f are believed to live in a swing of 0.4", now, part)
		}
	}
}

func TestARateThatStaysBecomesUsual(t *testing.T) {
	chance := rand.New(rand.NewPCG(5, 1))
	var a ArrivalEstimator
	a.come(chance, 0, 30, 100, 0.05, always)
	if part := a.come(chance, 30, 230, 300, 0.05, always); part != 1 {
		t.Errorf("after 200 s at three times the rate %.2f are believed to live", part)
	}
}

// A process that stood still for an hour must not take long to catch up, nor believe anything for it.
func TestAPauseIsNoJump(t *testing.T) {
	chance := rand.New(rand.NewPCG(6, 1))
	var a ArrivalEstimator
	a.come(chance, 0, 30, 100, 0.05, always)
	a.RequestArrived(3630)
	if part := a.AliveFraction(3630, 0.05); part != 1 {
		t.Errorf("%.2f believed after a pause", part)
	}
	if a.steps > 30/int(1/step)+mostSteps+1000 {
		t.Errorf("%d steps made up for", a.steps)
	}
}

func TestATrickleProvesNothing(t *testing.T) {
	var a ArrivalEstimator
	for now := 0.0; now < 60; now += 2 {
		a.RequestArrived(now)
	}
	for _, now := range []float64{60, 60.01, 60.02, 60.03} { // four at once where one in 2 s is usual
		a.RequestArrived(now)
		if part := a.AliveFraction(now, 0.05); part < 0.5 {
			t.Errorf("%.2f believed after %v", part, now)
		}
	}
}

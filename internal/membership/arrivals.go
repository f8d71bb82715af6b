// Package membership tells a proxy how many of its peers are still there, so that its part of what is common goes by who is
// there and not by who should be.
//
// Arrivals goes by what comes to the proxy itself and needs no message; View goes by what peers send. Both are free of
// I/O and of a clock of their own: they are told times in seconds, which never run backwards. Neither may decide what a
// share is of, nor be believed beyond the bound that its page states. docs/recovery.md has the design and its source.
package membership

import "math"

const (
	step       = 0.25  // seconds between looks at the rate that is usual
	usualSpan  = 20.0  // seconds over which that is counted
	newUsual   = 60.0  // and while a surge lasts: one that stays for minutes is the usual rate
	usualLeast = 20    // steps until it is known
	nowSpan    = 0.5   // seconds over which the present rate is counted
	roots      = 2.0   // of what came lately by which it may be more by chance
	surge      = 2.5   // times the usual rate from which peers may be missing: the fleet bears less by its usual room, and a surge is seldom more
	lateSpan   = 0.5   // seconds over which it is counted what is late just now
	lateGain   = 0.002 // by which each answer moves the part that usually is
	lateMore   = 0.1   // more of them than usually that are still in good time
	halve      = 0.25  // seconds in which the part that is believed to live halves at most, and answers in two
	answersIn  = 2.0   // answers' times in which it does: what was let out has to come back first
	mostSteps  = 400   // steps that are made up for after a pause; more say no more
)

// Arrivals takes a lasting jump of what comes, while all that is sent is answered in good time, for peers that are no
// more. The zero value is ready.
//
// A jump alone proves nothing, since a surge of all clients looks the same; so the part that is believed to live falls
// step by step, never faster than answers come back, and rises twice as fast as soon as these are late. Where it is
// wrong, each proxy counts itself as one of part times the siblings: all together take at most 1/part of what is
// common, where 1/part is the factor by which arrivals rose, and only for as long as what they take is answered in time.
type ArrivalEstimator struct {
	usual            float64 // requests a second
	count            float64 // that came in this step
	steps            int
	next             float64 // when the step ends
	recent           float64 // came lately, fading
	recentAt         float64
	part             float64 // 0 before the first look
	partAt           float64
	ended, endedLate float64 // lately, fading
	endedAt          float64
	usuallyLate      float64 // part that is late while nothing has jumped
	answers          float64
	jumped           bool // more comes than chance and a swing explain
}

// Came notes a request that arrives.
func (a *ArrivalEstimator) RequestArrived(now float64) {
	a.turn(now)
	a.count++
	a.recent = a.faded(now) + 1
	a.recentAt = now
}

func (a *ArrivalEstimator) faded(now float64) float64 {
	return a.recent * math.Exp(-max(0, now-a.recentAt)/nowSpan)
}

// Recall takes the rate that was usual for the process before this one.
func (a *ArrivalEstimator) RestoreUsualRate(now, rate float64) {
	if a.steps == 0 {
		a.usual, a.steps, a.next = rate, usualLeast, now+step
	}
}

// Ended notes that a request has ended, and whether it was late by its user's measure.
func (a *ArrivalEstimator) RequestEnded(now float64, late bool) {
	x := 0.0
	if late {
		x = 1
	}
	fade := math.Exp(-max(0, now-a.endedAt) / lateSpan)
	a.ended, a.endedLate, a.endedAt = a.ended*fade+1, a.endedLate*fade+x, now
	if !a.jumped {
		a.answers++
		a.usuallyLate += (x - a.usuallyLate) * max(1/a.answers, lateGain)
	}
}

// inTime tells that no more is late than usually, but for chance.
func (a *ArrivalEstimator) inTime() bool {
	usual := (a.usuallyLate + lateMore) * a.ended
	return a.endedLate <= usual+math.Sqrt(usual)
}

// turn ends the steps that are over.
func (a *ArrivalEstimator) turn(now float64) {
	if a.next == 0 {
		a.next = now + step
	}
	if behind := (now - a.next) / step; behind > mostSteps {
		a.next += math.Floor(behind-mostSteps) * step
	}
	for now >= a.next {
		a.steps++
		weight := max(1/float64(a.steps), step/usualSpan)
		if a.jumped {
			weight = step / newUsual
		}
		a.usual += (a.count/step - a.usual) * weight
		a.count, a.next = 0, a.next+step
	}
}

// Usual is how many requests a second come usually, 0 while that is not known.
func (a *ArrivalEstimator) UsualRate() float64 {
	if a.steps < usualLeast {
		return 0
	}
	return a.usual
}

// Part is the part of the peers that is believed to run, from above 0 to 1. response is how long an answer usually
// takes, in seconds, 0 where it is not known.
func (a *ArrivalEstimator) AliveFraction(now, response float64) float64 {
	a.turn(now)
	if a.part == 0 {
		a.part, a.partAt = 1, now
	}
	since := max(0, now-a.partAt)
	a.partAt = now
	target := 1.0
	a.jumped = false
	if n := a.faded(now); a.UsualRate() > 0 && response > 0 {
		if times := (n - roots*math.Sqrt(n)) / nowSpan / a.usual; times > surge {
			a.jumped = true
			target = 1 / times
		}
	}
	pace := math.Exp2(since / max(halve, answersIn*response))
	switch {
	case target >= a.part:
		a.part = min(target, a.part*pace*pace)
	case a.inTime():
		a.part = max(target, a.part/pace)
	default:
		a.part = min(1, a.part*pace*pace)
	}
	return a.part
}

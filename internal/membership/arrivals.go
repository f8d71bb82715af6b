// Package membership estimates how many of a proxy's peers are alive, so that the proxy's share of common limits depends on
// the peers that run and not on those that are configured.
//
// ArrivalEstimator uses the request rate of the proxy itself and needs no messages; PeerView uses the messages of peers. Both
// do no I/O and read no clock: the caller passes times in seconds, which never run backwards. Neither knows what is shared.
// docs/recovery.md has the design, its source and the bounds within which the estimates hold.
package membership

import "math"

const (
	stepSeconds           = 0.25 // interval at which the usual rate is updated
	usualRateSeconds      = 20.0 // time over which the usual rate is averaged
	surgeUsualRateSeconds = 60.0 // the same during a surge: a rate that lasts for minutes becomes the usual one
	minUsualSteps         = 20   // steps after which the usual rate is known
	recentSeconds         = 0.5  // time constant of the present rate
	chanceDeviations      = 2.0  // standard deviations by which the recent count may be higher by chance
	// surgeFactor is the multiple of the usual rate from which peers may be missing: the fleet's usual spare capacity covers
	// less, and a surge of clients is rarely larger.
	surgeFactor       = 2.5
	lateSeconds       = 0.5   // time constant of the present fraction of late requests
	minLateGain       = 0.002 // least weight of a request in the usual fraction of late ones
	lateTolerance     = 0.1   // excess over the usual fraction of late requests that still counts as in time
	minHalvingSeconds = 0.25  // the alive fraction halves at most once in this time
	halvingResponses  = 2.0   // and at most once in so many response times, so that responses to new requests come back first
	maxCatchUpSteps   = 400   // steps caught up on after a pause; more would not change the estimate
)

// ArrivalEstimator infers from a lasting surge of requests, all of which are answered in time, that peers have failed. The zero
// value is ready for use.
//
// A surge alone proves nothing, since more traffic from all clients looks the same. The alive fraction therefore falls
// gradually, never faster than responses come back, and rises twice as fast as soon as these are late. If the estimate is
// wrong, each proxy assumes alive times the siblings: together they use at most 1/alive of a common limit, where 1/alive is the
// factor by which arrivals rose, and only for as long as the requests they send are answered in time.
type ArrivalEstimator struct {
	usualRate         float64 // usual rate, in requests a second
	stepCount         float64 // requests that arrived in this step
	steps             int
	stepEnd           float64 // when the current step ends
	recent            float64 // recent requests, exponentially decayed to recentAt
	recentAt          float64
	alive             float64 // the estimate, 0 before the first call of AliveFraction
	aliveAt           float64
	ended, endedLate  float64 // requests that ended recently, and the late ones of them, exponentially decayed to endedAt
	endedAt           float64
	usualLateFraction float64 // fraction of late requests while there is no surge
	endedCount        float64
	surging           bool // arrivals exceed what chance and normal variation explain
}

// RequestArrived notes that a request arrived.
func (a *ArrivalEstimator) RequestArrived(now float64) {
	a.advance(now)
	a.stepCount++
	a.recent = a.decayedRecent(now) + 1
	a.recentAt = now
}

// decayedRecent returns the recent requests, decayed to now.
func (a *ArrivalEstimator) decayedRecent(now float64) float64 {
	return a.recent * math.Exp(-max(0, now-a.recentAt)/recentSeconds)
}

// RestoreUsualRate sets the usual rate to that of the previous process.
func (a *ArrivalEstimator) RestoreUsualRate(now, rate float64) {
	if a.steps == 0 {
		a.usualRate, a.steps, a.stepEnd = rate, minUsualSteps, now+stepSeconds
	}
}

// RequestEnded notes that a request has ended, and whether it was late for its user.
func (a *ArrivalEstimator) RequestEnded(now float64, late bool) {
	x := 0.0
	if late {
		x = 1
	}
	decay := math.Exp(-max(0, now-a.endedAt) / lateSeconds)
	a.ended, a.endedLate, a.endedAt = a.ended*decay+1, a.endedLate*decay+x, now
	if !a.surging {
		a.endedCount++
		a.usualLateFraction += (x - a.usualLateFraction) * max(1/a.endedCount, minLateGain)
	}
}

// answeredInTime reports whether no more requests are late than usual, apart from chance.
func (a *ArrivalEstimator) answeredInTime() bool {
	usual := (a.usualLateFraction + lateTolerance) * a.ended
	return a.endedLate <= usual+math.Sqrt(usual)
}

// advance ends the steps that are over and updates the usual rate.
func (a *ArrivalEstimator) advance(now float64) {
	if a.stepEnd == 0 {
		a.stepEnd = now + stepSeconds
	}
	if behind := (now - a.stepEnd) / stepSeconds; behind > maxCatchUpSteps {
		a.stepEnd += math.Floor(behind-maxCatchUpSteps) * stepSeconds
	}
	for now >= a.stepEnd {
		a.steps++
		weight := max(1/float64(a.steps), stepSeconds/usualRateSeconds)
		if a.surging {
			weight = stepSeconds / surgeUsualRateSeconds
		}
		a.usualRate += (a.stepCount/stepSeconds - a.usualRate) * weight
		a.stepCount, a.stepEnd = 0, a.stepEnd+stepSeconds
	}
}

// UsualRate returns the usual rate in requests a second, 0 while it is unknown.
func (a *ArrivalEstimator) UsualRate() float64 {
	if a.steps < minUsualSteps {
		return 0
	}
	return a.usualRate
}

// AliveFraction returns the fraction of peers believed to be alive, above 0 and at most 1. response is the usual response time
// in seconds, 0 if it is unknown.
func (a *ArrivalEstimator) AliveFraction(now, response float64) float64 {
	a.advance(now)
	if a.alive == 0 {
		a.alive, a.aliveAt = 1, now
	}
	since := max(0, now-a.aliveAt)
	a.aliveAt = now
	target := 1.0
	a.surging = false
	if recent := a.decayedRecent(now); a.UsualRate() > 0 && response > 0 {
		if ratio := (recent - chanceDeviations*math.Sqrt(recent)) / recentSeconds / a.usualRate; ratio > surgeFactor {
			a.surging = true
			target = 1 / ratio
		}
	}
	factor := math.Exp2(since / max(minHalvingSeconds, halvingResponses*response))
	switch {
	case target >= a.alive:
		a.alive = min(target, a.alive*factor*factor)
	case a.answeredInTime():
		a.alive = max(target, a.alive/factor)
	default:
		a.alive = min(1, a.alive*factor*factor)
	}
	return a.alive
}

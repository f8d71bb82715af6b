package control

import "math"

// Pacer bounds the bytes a second of whole configurations that a replica sends: a token bucket.
type TokenBucket struct {
	rate, burst float64
	tokens      float64 // below 0 while a message larger than the bucket is paid off
	at          float64 // when tokens was right
}

// NewPacer allows so many bytes a second, and so many at once after a pause.
func NewTokenBucket(rate, burst float64) *TokenBucket {
	return &TokenBucket{rate: rate, burst: burst, tokens: burst, at: math.Inf(-1)}
}

// Take says whether so many bytes may be sent now, in seconds of any steady clock, and counts them if so. It lets a
// message larger than the burst through on a full bucket and has later ones wait for it.
func (p *TokenBucket) TryTake(now float64, bytes int) bool {
	p.refill(now)
	if p.tokens < p.need(bytes) {
		return false
	}
	p.tokens -= float64(bytes)
	return true
}

// Next is the earliest time at which Take says yes to so many bytes.
func (p *TokenBucket) EarliestTime(now float64, bytes int) float64 {
	p.refill(now)
	return now + max(0, p.need(bytes)-p.tokens)/p.rate
}

// need is how full the bucket must be for a message.
func (p *TokenBucket) need(bytes int) float64 { return min(float64(bytes), p.burst) }

func (p *TokenBucket) refill(now float64) {
	if now <= p.at {
		return
	}
	if !math.IsInf(p.at, -1) {
		p.tokens = min(p.burst, p.tokens+(now-p.at)*p.rate)
	}
	p.at = now
}

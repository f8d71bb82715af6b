package control

import "math"

// TokenBucket limits the bytes per second of full configurations that a replica sends.
type TokenBucket struct {
	rate, burst float64
	tokens      float64 // in bytes; negative after a message larger than the burst
	refilledAt  float64 // when tokens was last updated, in seconds
}

// NewTokenBucket returns a full bucket for a rate in bytes per second and a burst in bytes.
func NewTokenBucket(rate, burst float64) *TokenBucket {
	return &TokenBucket{rate: rate, burst: burst, tokens: burst, refilledAt: math.Inf(-1)}
}

// TryTake reports whether a message of the given size may be sent now, and if so takes its tokens. The time is in seconds of
// any monotonic clock. A message larger than the burst is allowed when the bucket is full, and later ones are delayed
// accordingly.
func (b *TokenBucket) TryTake(now float64, bytes int) bool {
	b.refill(now)
	if b.tokens < b.requiredTokens(bytes) {
		return false
	}
	b.tokens -= float64(bytes)
	return true
}

// EarliestTime returns the earliest time at which TryTake allows a message of the given size.
func (b *TokenBucket) EarliestTime(now float64, bytes int) float64 {
	b.refill(now)
	return now + max(0, b.requiredTokens(bytes)-b.tokens)/b.rate
}

// requiredTokens returns the number of tokens that must be available for a message.
func (b *TokenBucket) requiredTokens(bytes int) float64 { return min(float64(bytes), b.burst) }

// refill adds the tokens for the time since the last update.
func (b *TokenBucket) refill(now float64) {
	if now <= b.refilledAt {
		return
	}
	if !math.IsInf(b.refilledAt, -1) {
		b.tokens = min(b.burst, b.tokens+(now-b.refilledAt)*b.rate)
	}
	b.refilledAt = now
}

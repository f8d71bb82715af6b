package balance

import "math"

// decaying is a sum whose parts fade with the span given when it is read.
type decaying struct{ sum, at float64 }

func (d *decaying) read(now, span float64) float64 {
	if now > d.at {
		d.sum *= math.Exp((d.at - now) / span)
		d.at = now
	}
	return d.sum
}

func (d *decaying) add(now, span, x float64) { d.sum = d.read(now, span) + x }

// rate is the sum as so much a second, corrected for the time since the first start.
func (d *decaying) rate(now, span, start float64) float64 {
	return d.read(now, span) / (span * (1 - math.Exp(-max(now-start, span/10)/span)))
}

// bucket holds tokens that refill at a rate given when it is read.
type bucket struct{ tokens, at float64 }

func (t *bucket) read(now, rate, most float64) float64 {
	t.tokens = min(most, t.tokens+rate*max(0, now-t.at))
	t.at = now
	return t.tokens
}

// This file limits how far a start reported by the backend list is trusted. Whatever clock reported the start, a
// backend must not be taken for so warm that the cold-start rule is broken.

package balance

// trustedColdShare is the share of the cold-start rule's allowance that all instances may send if a start was
// reported too early by the full MaxTrustedAge. The rest allows for random variation.
const trustedColdShare = 0.9

// MaxTrustedAge returns the greatest age in seconds that is believed of a backend when it first appears in the
// list. An error of that size raises the initial budget from coldBudgetShare of the rule's allowance to
// trustedColdShare of it.
func (b *Balancer) MaxTrustedAge() float64 {
	if b.coldStart.InitialCapacity >= 1 {
		return b.coldStart.WarmUp
	}
	trusted := (trustedColdShare/coldBudgetShare - 1) * b.coldStart.InitialCapacity / (1 - b.coldStart.InitialCapacity)
	return b.coldStart.WarmUp * min(1, trusted)
}

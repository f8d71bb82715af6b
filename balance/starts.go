// This file owns how far the start that a list tells of a backend may be believed. It must never let a backend be taken for so
// much warmer that the rule on slow start is broken by it, whatever clock the start was told by.
package balance

// believedPart is the part of what the rule on slow start allows that all may send where a start was told too early by the whole
// credit. What is left of it is for chance.
const believedPart = 0.9

// StartCredit is by how many seconds a backend that appears in the list may have started before that: as long as it is told to
// be, and no longer than this. An error of that size raises the budget at the start from coldPart of what the rule allows
// to believedPart of it.
func (b *Balancer) MaxTrustedAge() float64 {
	if b.cold.InitialCapacity >= 1 {
		return b.cold.WarmUp
	}
	part := (believedPart/coldPart - 1) * b.cold.InitialCapacity / (1 - b.cold.InitialCapacity)
	return b.cold.WarmUp * min(1, part)
}

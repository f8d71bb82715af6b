// This file limits the time in which a relay of a receipted command arrives at its backend. No relay may arrive whole after the group
// has forgotten another one that may have run.

package balance

import "math"

const (
	minDeliveryBytesPerSecond = 32e3 // slowest rate at which a backend is expected to read a body
	deliveryHoldSeconds       = 0.15 // the process may be held up for so long while its kernel goes on sending
)

// deliverySeconds returns the time that a slow backend may need to read a body.
func deliverySeconds(bodyBytes int) float64 { return float64(bodyBytes) / minDeliveryBytesPerSecond }

// rememberedUntil returns the time until which the group of a relay's backend surely drops repeats of it.
func (b *Balancer) rememberedUntil(v *verb, r *relay) float64 {
	return r.sentAt + v.DedupWindow - b.tick
}

// deliveryDeadline returns the time by which relay n of a receipted command must have arrived whole at its backend, +Inf if there is
// none: the group must not have forgotten another relay that may have run.
func (b *Balancer) deliveryDeadline(c *command, n int) float64 {
	deadline := math.Inf(1)
	for i := range c.relays {
		if r := &c.relays[i]; i != n && !r.neverRan {
			deadline = min(deadline, b.rememberedUntil(c.verb, r)-deliveryHoldSeconds)
		}
	}
	return deadline
}

// limitDeliveries has each pending relay of a receipted command end if it does not arrive in time. A new relay shortens the time of
// those before it too: it may run first.
func (b *Balancer) limitDeliveries(c *command) {
	if c.verb.Effect != Receipted || len(c.relays) < 2 {
		return
	}
	for n := range c.relays {
		b.limitDelivery(c, n)
	}
}

// limitDelivery starts the timer for the delivery of relay n, unless the command's time limit ends the relay before.
func (b *Balancer) limitDelivery(c *command, n int) {
	if deadline := b.deliveryDeadline(c, n); c.relays[n].pending && deadline < c.expiresAt {
		c.deliveryTimers = append(c.deliveryTimers, b.startTimer(deadline-b.now, func() { b.deliveryDue(c, n) }))
	}
}

// limitLateDelivery is called before relay n is written. If its deadline has passed while the connection was being opened, the delivery
// is checked as soon as it was written.
func (b *Balancer) limitLateDelivery(c *command, n int) {
	if c.verb.Effect == Receipted && b.deliveryDeadline(c, n) <= b.now {
		b.limitDelivery(c, n)
	}
}

// deliveryDue ends a relay that has not arrived whole, unless what set its deadline has proved not to have run.
func (b *Balancer) deliveryDue(c *command, n int) {
	switch {
	case !c.relays[n].pending:
	case b.deliveryDeadline(c, n) > b.now:
		b.limitDelivery(c, n)
	default:
		b.host.CancelUndelivered(c.id, n)
	}
}

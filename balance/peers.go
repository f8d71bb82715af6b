// This file estimates how many instances share the common capacity, and picks cell coordinators among them. Limits
// and windows follow the estimate; customers' allowances do not. The estimate must never exceed the configured
// number of instances.

package balance

import "slices"

const windowRebuildRatio = 1.3 // change of the estimate that rebuilds the window: each rebuild costs connections

// countArrival counts a received command and updates the estimate of active instances.
func (b *Balancer) countArrival() {
	b.arrived.add(b.now, callSpanSeconds, 1)
	if b.limits.FixedInstances {
		return
	}
	b.arrivals.RequestArrived(b.now)
	b.activeEstimate = max(1, b.instances()*b.arrivals.AliveFraction(b.now, b.typicalLatency))
	if b.activeEstimate > b.windowInstances*windowRebuildRatio || b.activeEstimate < b.windowInstances/windowRebuildRatio ||
		b.activeEstimate == b.instances() && b.windowInstances != b.activeEstimate {
		b.rebuildWindow()
	}
}

// activeInstances returns how many instances are believed to run, including this one.
func (b *Balancer) activeInstances() float64 {
	if b.activeEstimate == 0 || b.limits.FixedInstances {
		return b.instances()
	}
	return min(b.activeEstimate, b.instances())
}

// ---- Cell coordinators: which instance is asked, and when its grants can be trusted.

const (
	maxCoordinatorCandidates = 8    // candidates tried for one that runs; beyond these the instance acts on its own
	takeoverGapSeconds       = 10.0 // time without messages on a cell that voids a substitute coordinator's counts
	incarnationRandomBits    = 20   // random bits: two starts within one millisecond differ
	incarnationsPerSecond    = 1000.0
)

// newIncarnation returns a number that is higher for later processes in the same place, unless their clock is
// behind.
func newIncarnation(now float64, seed uint64) uint64 {
	return 1 + uint64(max(0, now)*incarnationsPerSecond)<<incarnationRandomBits | seed&(1<<incarnationRandomBits-1)
}

// coordinatorCandidate returns the instance that coordinates a cell after the given number of earlier candidates
// did not answer. The order is the same at all instances. The first candidate depends on the cell alone, as in
// earlier versions.
func (b *Balancer) coordinatorCandidate(cell uint16, skip int) int {
	key := []byte{byte(cell), byte(cell >> 8), byte(skip)}
	return int(hash(key[:2+min(skip, 1)]) % uint64(b.instances()))
}

// coordinator returns the instance that coordinates a cell: the first candidate that is alive.
func (b *Balancer) coordinator(cell uint16) int {
	for skip := range maxCoordinatorCandidates {
		candidate := b.coordinatorCandidate(cell, skip)
		if candidate == b.placement.Index || b.peers.IsAlive(b.now, candidate) {
			return candidate
		}
	}
	return b.placement.Index
}

// knowsUsage reports whether this instance has coordinated the cell long enough to have received reports from all
// instances with commands there. Each repeats its report well within reportLifetimeSeconds.
func (b *Balancer) knowsUsage(cell uint16) bool {
	if b.coordinatorCandidate(cell, 0) == b.placement.Index {
		return b.now >= b.start+reportLifetimeSeconds || b.instances() == 1
	}
	t := b.takeovers[cell]
	if b.now > t.lastUsed+takeoverGapSeconds {
		t.since = b.now
	}
	t.lastUsed = b.now
	if b.takeovers == nil {
		b.takeovers = map[uint16]takeover{}
	}
	b.takeovers[cell] = t
	return b.now >= t.since+reportLifetimeSeconds
}

// sendMessage sends a message to a peer in the format that the peer understands.
func (b *Balancer) sendMessage(to int, m message) {
	if b.peers.UsesOldFormat(b.now, to) {
		m.flag = min(m.flag, flagGranted) // the older format has no higher value
		b.host.SendToPeer(to, m.encode())
	} else {
		b.host.SendToPeer(to, m.encodeExtended(b.incarnation))
	}
}

// sendRequest sends a grant request to a coordinator.
func (b *Balancer) sendRequest(to int, m message) {
	b.peers.BeforeRequest(b.now, to)
	b.sendMessage(to, m)
}

// grantTimedOut records that a coordinator has not answered in time. This proves nothing if the instance itself
// was stalled.
func (b *Balancer) grantTimedOut(to int, requestedAt float64) {
	if b.now < requestedAt+2*grantTimeoutSeconds {
		b.peers.RequestTimedOut(b.now, to, requestedAt)
	}
}

// endGrantWait ends a command's wait for a grant.
func (b *Balancer) endGrantWait(c *command) {
	c.requestID = 0
	b.awaitingGrant = slices.DeleteFunc(b.awaitingGrant, func(x *command) bool { return x == c })
}

// acceptMessage decodes a message and reports whether it is valid. From the first message of a new incarnation on,
// everything that the sender's previous one reported is void.
func (b *Balancer) acceptMessage(from int, data []byte) (m message, ok bool) {
	m, incarnation, ok := decodeMessage(data)
	if !ok || !b.limits.PeerMessages || from == b.placement.Index {
		return m, false
	}
	counts, isNew := b.peers.MessageReceived(b.now, from, incarnation)
	if counts && m.kind == messageRequest && m.sequence != 0 && b.peers.IsRepeatedRequest(b.now, from, m.sequence) {
		return m, false // would be granted twice
	}
	if isNew {
		for _, be := range b.fleet {
			delete(be.usage.byInstance, from)
		}
	}
	return m, counts
}

// Stalled reports that the process did not run until now. Pending relays are late because of that, so their
// latencies are not learned.
func (b *Balancer) Stalled(now float64) {
	b.now = now
	for _, c := range b.commands { // independent of one another, so the map order does not matter
		c.stalled = true
		for i := range c.relays {
			c.relays[i].delayLearned = false
		}
	}
}

// sequenceByte returns a sequence number for reports and requests, by which duplicates and reordered messages are
// recognized. 0 means no sequence number.
func sequenceByte(n int) byte { return byte(1 + n%255) }

// nextSequence returns the sequence number of the next report about the backend.
func (be *backend) nextSequence() byte {
	be.reportSeq++
	return sequenceByte(be.reportSeq)
}

// This file owns by how many siblings this instance believes to share what is common: bounds and windows go by it;
// customers' allowances do not. It must never count more than there are, nor decide what a share is of.
package balance

import "slices"

const layFrom = 1.3 // times by which the count must have changed for the window to be laid anew: each costs connections

// arrived counts a command that comes, and takes anew who is there to share.
func (b *Balancer) arrived() {
	b.came.add(b.now, callSpan, 1)
	if b.limits.FixedInstances {
		return
	}
	b.arrivals.RequestArrived(b.now)
	b.alive = max(1, b.siblings()*b.arrivals.AliveFraction(b.now, b.usual))
	if b.alive > b.laidFor*layFrom || b.alive < b.laidFor/layFrom || b.alive == b.siblings() && b.laidFor != b.alive {
		b.arrange()
	}
}

// living is how many siblings are believed to be there, this instance counted.
func (b *Balancer) living() float64 {
	if b.alive == 0 || b.limits.FixedInstances {
		return b.siblings()
	}
	return min(b.alive, b.siblings())
}

// ---- Keepers: who is asked, and what one that has just come may be believed.

const (
	keepersMost = 8      // siblings that are looked at for one that lives; beyond, the instance is on its own
	dutyGap     = 10.0   // seconds without a word of a cell after which a keeper in another's place knows nothing of it
	lifeBits    = 20     // of a life that are drawn: two starts in one millisecond differ
	lifeUnit    = 1000.0 // lives a second
)

// newLife is a number that later processes in the same place exceed, unless their clock is behind.
func newLife(now float64, seed uint64) uint64 {
	return 1 + uint64(max(0, now)*lifeUnit)<<lifeBits | seed&(1<<lifeBits-1)
}

// inLine is the instance that counts for a cell where so many before it in an order that is the same everywhere do not
// answer; the first goes by the cell alone, as at processes of earlier versions.
func (b *Balancer) inLine(cell uint16, before int) int {
	text := []byte{byte(cell), byte(cell >> 8), byte(before)}
	return int(hash(text[:2+min(before, 1)]) % uint64(b.siblings()))
}

// keeper is the instance that counts for a cell: the first in line that lives.
func (b *Balancer) keeper(cell uint16) int {
	for turn := range keepersMost {
		at := b.inLine(cell, turn)
		if at == b.place.Index || b.view.IsAlive(b.now, at) {
			return at
		}
	}
	return b.place.Index
}

// knows tells whether this instance has counted for the cell long enough that all who have something out there have
// told it. Each repeats that well within a note's life.
func (b *Balancer) knows(cell uint16) bool {
	if b.inLine(cell, 0) == b.place.Index {
		return b.now >= b.start+noteLife || b.siblings() == 1
	}
	d := b.duties[cell]
	if b.now > d.last+dutyGap {
		d.since = b.now
	}
	d.last = b.now
	if b.duties == nil {
		b.duties = map[uint16]duty{}
	}
	b.duties[cell] = d
	return b.now >= d.since+noteLife
}

// tell has a sibling told, in a form that it reads.
func (b *Balancer) tell(at int, n note) {
	if b.view.UsesOldFormat(b.now, at) {
		n.flag = min(n.flag, flagYes) // which is all that form can say
		b.host.SendToPeer(at, n.bytes())
	} else {
		b.host.SendToPeer(at, n.lived(b.life))
	}
}

// question asks a keeper.
func (b *Balancer) question(at int, n note) {
	b.view.BeforeRequest(b.now, at)
	b.tell(at, n)
}

// unheard notes that a keeper has not answered in time. Where this instance itself stood still nothing is proven.
func (b *Balancer) unheard(at int, asked float64) {
	if b.now < asked+2*patience {
		b.view.RequestTimedOut(b.now, at, asked)
	}
}

// answered ends a command's wait for a keeper.
func (b *Balancer) answered(c *command) {
	c.asking = 0
	b.waiting = slices.DeleteFunc(b.waiting, func(x *command) bool { return x == c })
}

// hear reads a note and tells whether it counts. What a former life of the sender said is void from its first word on.
func (b *Balancer) hear(from int, text []byte) (n note, ok bool) {
	n, life, ok := readNote(text)
	if !ok || !b.limits.PeerMessages || from == b.place.Index {
		return n, false
	}
	counts, fresh := b.view.MessageReceived(b.now, from, life)
	if counts && n.kind == noteAsk && n.turn != 0 && b.view.IsRepeatedRequest(b.now, from, n.turn) {
		return n, false // would be granted twice
	}
	if fresh {
		for _, k := range b.fleet {
			delete(k.tally.by, from)
		}
	}
	return n, counts
}

// Stood is told that the instance stood still until now: what is out is late by its own doing, and teaches nothing.
func (b *Balancer) Stalled(now float64) {
	b.now = now
	for _, c := range b.commands { // each by itself, so no order is needed
		c.stood = true
		for i := range c.relays {
			c.relays[i].learned = false
		}
	}
}

// turn numbers words and questions, so that one which comes twice or was overtaken is known; 0 is no number.
func turn(n int) byte { return byte(1 + n%255) }

// turn is the number of the next word on a backend.
func (k *backend) turn() byte {
	k.said++
	return turn(k.said)
}

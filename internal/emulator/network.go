// This file owns what is under way between an instance and a backend. It must never know what a command is for.

package emulator

import (
	"sandpass/balance"
	"sandpass/internal/checker"
	"sandpass/internal/faults"
)

// stage is where a relay is.
type stage uint8

const (
	connecting stage = iota
	flying
	inQueue
	working
	calling
	returning
	stranded // no word gets through
	locked   // waits in its slot for its turn at a lock
	over
)

// relay is one try of a command at a backend. It lives while an event, its backend or its instance holds it.
type relay struct {
	holds               int
	command             uint64
	n                   int
	inst                *instance
	to, b               *backend // named, and who got it
	conn                *backend // at whose table its connection counts
	op, seed, key       uint64
	expires             float64
	verb                int
	sent, arrived       float64
	began, ended        float64
	work, need          float64
	index               int
	calls               int
	callID              uint64
	state               stage
	result              balance.Result
	told, made, dropped bool
	read, reads         bool // its answer was looked at; a client is reading it
	breaks              bool // its connection breaks once it has run
	cut                 bool // stranded by a cut, not by its backend
	blame               checker.Loss
	blamed              bool
	serial              uint64 // number among all relays
}

func (d *Simulation) newRelay() *relay {
	if n := len(d.relays); n > 0 {
		r := d.relays[n-1]
		d.relays = d.relays[:n-1]
		*r = relay{index: -1}
		return r
	}
	return &relay{index: -1}
}

func (d *Simulation) release(r *relay) {
	if r.holds--; r.holds == 0 {
		d.relays = append(d.relays, r)
	}
}

func (d *Simulation) send(k kind, at float64, r *relay) {
	r.holds++
	d.queue.push(k, event{at: at, r: r})
}

// passes tells whether anything gets from one zone to another.
func (d *Simulation) passes(from, to int) bool {
	for i, f := range d.plan {
		if d.active[i] && f.Blocks(from, to) {
			return false
		}
	}
	return true
}

// way is how long something takes from one zone to another.
func (d *Simulation) way(from, to int) float64 {
	base := d.w.Net.SameZone
	if from != to {
		base = d.w.Net.CrossZone
	}
	t := base * (1 + d.w.Net.Jitter*d.netChance.ExpFloat64())
	for i, f := range d.plan {
		if !d.active[i] || f.Kind != faults.Delay && f.Kind != faults.PacketLoss {
			continue
		}
		if !f.AffectsPath(from, to) {
			continue
		}
		if hard := f.SeverityAt(d.now); f.Kind == faults.Delay {
			t += hard
		} else if d.netChance.Float64() < hard {
			t += d.w.Net.RetransmitDelay
		}
	}
	return t
}

// forth sends a relay on to its backend, so many ways.
func (d *Simulation) forth(r *relay, k kind, ways int) {
	at := d.now
	for range ways {
		at += d.way(r.inst.zone, r.to.zone)
	}
	if d.passes(r.inst.zone, r.to.zone) {
		if k == onArrive {
			r.state = flying
		}
		d.send(k, at, r)
		return
	}
	if k == onConnect {
		d.answerAt(r, d.now+d.w.Rules.ConnectTimeout, balance.ConnectFailed)
		return
	}
	r.cut = true
	d.strand(r)
}

// strand leaves a relay without a word, until something on the way changes.
func (d *Simulation) strand(r *relay) {
	r.state = stranded
	r.holds++
	d.lost = append(d.lost, r)
}

// unstrand has the connections break that can be heard of again.
func (d *Simulation) unstrand(which func(*relay) bool) {
	kept := d.lost[:0]
	for _, r := range d.lost {
		switch {
		case r.told || !r.inst.alive:
			d.release(r)
		case which(r):
			d.answerAt(r, d.now+d.way(r.to.zone, r.inst.zone), balance.Reset)
			d.release(r)
		default:
			kept = append(kept, r)
		}
	}
	clear(d.lost[len(kept):])
	d.lost = kept
}

// back sends an outcome from a backend to the instance.
func (d *Simulation) back(r *relay, result balance.Result) {
	r.ended = d.now
	if !d.passes(r.to.zone, r.inst.zone) {
		if r.conn == nil && result == balance.ConnectFailed {
			d.answerAt(r, max(d.now, r.sent+d.w.Rules.ConnectTimeout), result)
			return
		}
		r.cut = true
		d.strand(r)
		return
	}
	d.answerAt(r, d.now+d.way(r.to.zone, r.inst.zone), result)
}

func (d *Simulation) answerAt(r *relay, at float64, result balance.Result) {
	r.result = result
	d.send(onAnswer, at, r)
}

// link is what an instance has of connections to a backend.
type link struct {
	idle    int
	since   float64 // the last was put back
	watched bool
}

func (x *instance) link(b *backend) *link {
	for len(x.links) <= b.serial {
		x.links = append(x.links, link{})
	}
	return &x.links[b.serial]
}

// forgetLinks drops the idle connections to a backend whose process ended: each side hears of it.
func (x *instance) forgetLinks(b *backend) {
	if b.serial < len(x.links) {
		x.links[b.serial].idle = 0
	}
}

// rest puts a connection back that can be used again.
func (d *Simulation) rest(r *relay) {
	b := r.conn
	r.conn = nil
	if b == nil || !b.alive {
		return
	}
	l := r.inst.link(b)
	l.idle++
	l.since = d.now
	if !l.watched {
		l.watched = true
		d.queue.push(onIdle, event{at: d.now + d.tierOf(b).IdleTimeout, a: int32(r.inst.serial), n: uint64(b.serial)})
	}
}

// reaped tells that what stands between has dropped the connection at rest, which neither end was told.
func (d *Simulation) reaped(l *link) bool {
	for _, f := range d.during(faults.IdleReset) {
		if d.now-l.since > f.Hard {
			return true
		}
	}
	return false
}

// idle closes what has rested too long.
func (d *Simulation) idle(x *instance, serial int) {
	if !x.alive {
		return
	}
	b := d.backends[serial]
	l := x.link(b)
	l.watched = false
	if l.idle == 0 {
		return
	}
	if due := l.since + d.tierOf(b).IdleTimeout; d.now < due {
		l.watched = true
		d.queue.push(onIdle, event{at: due, a: int32(x.serial), n: uint64(serial)})
		return
	}
	if b.alive {
		b.conns = max(0, b.conns-l.idle)
	}
	l.idle = 0
}

// closeConn ends a relay's connection from the instance's side: its backend hears of it a way later.
func (d *Simulation) closeConn(r *relay) {
	if d.passes(r.inst.zone, r.to.zone) {
		d.send(onCancel, d.now+d.way(r.inst.zone, r.to.zone), r)
	} else if r.conn != nil { // never heard of: the machine gives the connection up by itself
		r.conn.hangUp()
		r.conn = nil
	}
}

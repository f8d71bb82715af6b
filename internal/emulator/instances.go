// This file owns instances and the commands that they hold: it is the Host that a policy speaks to, and it keeps the
// world's word towards it. It must never decide for a policy, nor call one from within its own call.

package emulator

import (
	"sandpass/balance"
	"sandpass/internal/checker"
	"sandpass/internal/faults"
)

// closing marks the event that forgets a command which its policy has just ended.
const closing = 1 << 63

// instance is one running policy. A restart makes a new one.
type instance struct {
	d                      *Simulation
	serial, tier, me, zone int
	weight                 float64
	alive, watching        bool
	still                  float64 // stands still until then
	policy                 Policy
	links                  []link // by backend
	at                     int    // place in its tier's log up to which it was told
	due                    bool   // word is under way
	whole                  bool   // the next word is a whole list
	reading                int    // places held by answers that clients read
	unread                 []*relay
}

// command is one that an instance took and has to answer.
type command struct {
	id              uint64
	slot            uint32
	age             uint32
	inst            *instance
	verb, customer  int
	op              *operation // of the client, in the first tier
	try             uint32
	parent          *relay // whose work it is a part of, in the others
	opID, seed, key uint64
	came, expires   float64
	done            bool
	out             int
	relays          []*relay
}

func (d *Simulation) newInstance(tier, me, zone int) *instance {
	x := &instance{d: d, serial: len(d.instances), tier: tier, me: me, zone: zone, weight: 1, alive: true, watching: true}
	d.instances = append(d.instances, x)
	d.places[tier][me] = x
	x.policy = d.maker(x, x, MixSeeds(d.seed, uint64(x.serial)), d.now)
	var customers []balance.Customer
	if tier == 0 {
		rate := d.w.CommandRate()
		for _, c := range d.w.Customers {
			customers = append(customers, balance.Customer{Allowance: c.Allowance * rate, PreviousIndex: -1})
		}
	}
	r := &d.w.Rules
	x.policy.Configure(d.now, d.w.Tick, balance.Placement{Index: me, Instances: len(d.places[tier]), Tier: tier, Zone: zone}, d.verbs,
		customers, d.w.Clients.OverageUtility, d.limits, balance.ColdStart{InitialCapacity: r.ColdShare, WarmUp: r.WarmUp, OverloadMultiple: r.ColdMultiple, StartError: r.StartTimeError},
		d.w.Discovery.OnRequest)
	x.whole = true
	d.tell(x)
	return x
}

// kill ends an instance at once. What it held is its clients' affair.
func (d *Simulation) kill(x *instance) {
	if !x.alive {
		return
	}
	x.alive = false
	d.judge.InstanceKilled(x.serial)
	if x.tier == 0 {
		d.later(d.now+d.w.Clients.DeathDetection, func() { d.fronts[x.zone].remove(x) })
	}
	for _, c := range d.commands {
		if c.inst != x || c.id == 0 {
			continue
		}
		if !c.done && c.op != nil {
			d.lose(c, checker.InstanceDied)
			d.answerClient(c, died, 0)
		}
		c.done = true
		for _, r := range c.relays {
			if !r.told {
				r.told = true
				d.closeConn(r)
			}
		}
		c.out = 0
		d.forget(c)
	}
	for serial, l := range x.links {
		if b := d.backends[serial]; b != nil && l.idle > 0 && b.alive {
			b.conns = max(0, b.conns-l.idle)
		}
	}
	x.links = nil
}

func (d *Simulation) newCommand(x *instance) *command {
	var c *command
	if n := len(d.free); n > 0 {
		c = d.commands[d.free[n-1]]
		d.free = d.free[:n-1]
		*c = command{slot: c.slot, age: c.age, relays: c.relays[:0]}
	} else {
		c = &command{slot: uint32(len(d.commands))}
		d.commands = append(d.commands, c)
	}
	c.age++
	c.id, c.inst, c.came = uint64(c.age)<<32|uint64(c.slot), x, d.now
	return c
}

// command by its id, or nil if it is no more.
func (d *Simulation) command(id uint64) *command {
	slot := uint32(id)
	if int(slot) >= len(d.commands) || d.commands[slot].id != id {
		return nil
	}
	return d.commands[slot]
}

func (d *Simulation) forget(c *command) {
	if !c.done || c.out > 0 {
		return
	}
	for i, r := range c.relays {
		c.relays[i] = nil
		d.release(r)
	}
	if c.op != nil {
		d.drop(c.op)
	}
	if c.parent != nil {
		d.release(c.parent)
	}
	c.id, c.op, c.parent, c.inst = 0, nil, nil, nil
	d.free = append(d.free, c.slot)
}

// take hands a command to its instance.
func (d *Simulation) take(c *command) {
	v := &d.verbs[c.verb]
	d.judge.CommandAccepted(d.now, checker.Command{ID: c.id, Operation: c.opID, Instance: c.inst.serial, Expires: c.expires,
		Effect: checker.Effect(v.Effect), Scope: checker.Scope(v.Scope), DedupWindow: v.DedupWindow})
	d.queue.push(onLimit, event{at: c.expires, n: c.id})
	c.inst.policy.CommandReceived(d.now, c.id, c.verb, c.customer, c.expires-d.skew(c.inst), c.key)
}

// skew is by how much an instance is told limits too short.
func (d *Simulation) skew(x *instance) (off float64) {
	for _, f := range d.during(faults.DeadlineSkew) {
		if x.tier == f.Tier && draw(f.Seed, uint64(x.me)) < f.Share {
			off = max(off, f.Hard)
		}
	}
	return off
}

// call is a backend's work asking the next tier.
func (d *Simulation) call(b *backend, r *relay) {
	c := d.newCommand(b.own)
	c.verb, c.parent, c.opID = r.verb, r, c.id
	c.seed, c.key, c.expires = MixSeeds(r.seed, uint64(r.calls)), r.key, r.expires
	r.holds++
	r.callID = c.id
	d.take(c)
}

// called tells a backend's work what became of its call.
func (d *Simulation) called(r *relay, id uint64, answered bool) {
	if r.state != calling || r.callID != id {
		return
	}
	b := r.b
	b.calling--
	if answered {
		d.goOn(b, r)
		return
	}
	d.leave(b, r, balance.Errored)
	d.retake(b)
}

// hangUp takes a call back whose caller is no longer interested.
func (d *Simulation) hangUp(x *instance, id uint64) {
	c := d.command(id)
	if x == nil || !x.alive || c == nil || c.done {
		return
	}
	if x.still > d.now {
		d.later(x.still, func() { d.hangUp(x, id) })
		return
	}
	c.done = true
	d.judge.ClientDisconnected(id)
	x.policy.ClientDisconnected(d.now, id)
	d.forget(c)
}

// limit is a command's time limit: what is still out has timed out.
func (d *Simulation) limit(id uint64) {
	if id&closing != 0 {
		if c := d.command(id &^ closing); c != nil {
			d.forget(c)
		}
		return
	}
	c := d.command(id)
	if c == nil {
		return
	}
	x := c.inst
	for n := 0; n < len(c.relays) && c.id == id; n++ {
		if r := c.relays[n]; !r.told {
			r.told = true
			r.blame, r.blamed = d.at(r), true
			d.closeConn(r)
			d.closeBook(r)
			d.outcome(x, c, r, balance.TimedOut)
		}
	}
}

// answer is an outcome at the instance.
func (d *Simulation) answer(r *relay, cancel bool) {
	if r.told || !cancel && r.result == balance.Answered && d.read(r) {
		return
	}
	r.told = true
	if cancel {
		d.closeBook(r)
	}
	result := r.result
	switch {
	case cancel:
		result = balance.Cancelled
		r.blame, r.blamed = d.at(r), true
		d.closeConn(r)
	case result == balance.Answered || result == balance.Errored || result == balance.Full:
		r.state = over
		if r.inst.alive {
			d.rest(r)
		}
	default:
		r.state = over
		if r.conn != nil {
			r.conn.hangUp()
			r.conn = nil
		}
	}
	if c := d.command(r.command); c != nil && r.inst.alive {
		d.outcome(r.inst, c, r, result)
	}
}

// read has a client read an answer where that takes it long: it holds one of its instance's places, and while all are
// taken every answer waits. It tells whether the answer has to wait.
func (d *Simulation) read(r *relay) bool {
	x, c := r.inst, d.command(r.command)
	if x.tier > 0 || d.w.Rules.AnswerSlots == 0 || c == nil || c.done || !x.alive || r.read {
		return false
	}
	if x.reading >= d.w.Rules.AnswerSlots {
		r.holds++
		x.unread = append(x.unread, r)
		return true
	}
	long := 0.0
	for _, f := range d.during(faults.SlowReaders) {
		if draw(c.seed, 20) < f.Share {
			long = max(long, f.Hard)
		}
	}
	if r.read = true; long == 0 {
		return false
	}
	x.reading++
	r.reads = true
	r.holds++
	d.later(d.now+long, func() {
		if d.closeBook(r) && !r.told {
			d.answer(r, false)
		}
		d.release(r)
	})
	return true
}

// closeBook frees the place of an answer that has been read, or that nobody waits for any more.
func (d *Simulation) closeBook(r *relay) bool {
	if !r.reads {
		return false
	}
	x := r.inst
	r.reads = false
	x.reading--
	for len(x.unread) > 0 && x.alive && x.reading < d.w.Rules.AnswerSlots {
		next := x.unread[0]
		x.unread = x.unread[1:]
		if !next.told {
			d.answer(next, false)
		}
		d.release(next)
	}
	return true
}

func (b *backend) hangUp() { b.conns = max(0, b.conns-1) }

// outcome is told to the policy.
func (d *Simulation) outcome(x *instance, c *command, r *relay, result balance.Result) {
	r.result = result
	c.out--
	d.judge.RelayEnded(c.id, r.n, result.NeverRan())
	final := c.done
	if result == balance.Answered && !c.done {
		final = true
		d.judge.CommandEnded(d.now, c.id, false, true, r.made)
		d.finish(c, answered, 0, d.slowest(c, r))
	}
	x.policy.RelayEnded(d.now, c.id, r.n, result, d.now-r.sent, final, balance.LoadReport{Active: -1, Waiting: -1, CPU: -1, Latency: -1})
	d.forget(c)
}

// finish passes the final answer on to who waits for it.
func (d *Simulation) finish(c *command, a answer, comeBack float64, l checker.Loss) {
	c.done = true
	if c.parent != nil {
		if a != answered {
			c.parent.blame, c.parent.blamed = l, true
		}
		ok := int32(0)
		if a == answered {
			ok = 1
		}
		c.parent.holds++
		d.queue.push(onCalled, event{at: d.now, r: c.parent, n: c.id, a: ok})
		return
	}
	if c.try == c.op.try {
		c.op.loss = l
	}
	if a == declined && len(c.relays) == 0 && d.now-c.came > (c.expires-c.came)/2 && c.op.counts {
		d.judge.DeclinedLate(c.op.worth)
	}
	d.answerClient(c, a, comeBack)
}

func (d *Simulation) lose(c *command, how checker.LossCause) {
	if c.try == c.op.try {
		l := d.where(c)
		l.Cause = how
		c.op.loss = l
	}
}

// ---- Host

// Relay is the policy's word.
func (x *instance) Relay(id uint64, to balance.BackendID) {
	d := x.d
	b, c := d.named(to), d.command(id)
	if b == nil || c == nil || c.inst != x {
		d.judge.RelaySent(d.now, id, -1, -1, -1, false)
		return
	}
	d.judge.RelaySent(d.now, id, b.serial, b.zone, b.cell, b.zone != x.zone)
	r := d.newRelay()
	d.opsMade++
	r.holds, r.serial, r.command, r.n, r.inst, r.to = 1, d.opsMade, id, len(c.relays), x, b
	r.op, r.seed, r.verb, r.sent, r.key, r.expires = c.opID, c.seed, c.verb, d.now, c.key, c.expires
	r.work = DrawWork(&d.w.Verbs[c.verb], c.seed, x.tier)
	c.relays = append(c.relays, r)
	c.out++
	if c.done || len(c.relays) > d.w.Rules.MaxRelays || d.now >= c.expires {
		r.state = over
		d.answerAt(r, d.now, balance.NotSent)
		return
	}
	if l := x.link(b); l.idle > 0 {
		l.idle--
		r.conn = b
		if d.reaped(l) {
			d.answerAt(r, d.now+d.way(x.zone, b.zone)+d.way(b.zone, x.zone), balance.Reset)
			return
		}
		d.forth(r, onArrive, 1)
		return
	}
	r.state = connecting
	d.judge.ConnectionOpened(d.now, b.serial)
	d.forth(r, onConnect, 1)
}

// Cancel is the policy's word.
func (x *instance) Cancel(id uint64, n int) {
	c := x.d.command(id)
	if c == nil || n < 0 || n >= len(c.relays) || c.relays[n].told {
		return
	}
	r := c.relays[n]
	r.holds++
	x.d.queue.push(onAnswer, event{at: x.d.now, r: r, gen: 1})
}

// Decline is the policy's word.
func (x *instance) Decline(id uint64, comeBack float64) { x.no(id, declined, comeBack) }

// Terminate is the policy's word.
func (x *instance) Terminate(id uint64) { x.no(id, failed, 0) }

func (x *instance) no(id uint64, a answer, comeBack float64) {
	d := x.d
	c := d.command(id)
	if c == nil || c.done || c.inst != x {
		return
	}
	d.judge.CommandEnded(d.now, id, a == declined, false, false)
	l := d.where(c)
	switch {
	case a == declined:
		l.Cause = checker.Declined
	case d.now >= c.expires-2*d.w.Tick:
		l.Cause = checker.TimedOut
	default:
		l.Cause = checker.Terminated
	}
	d.finish(c, a, comeBack, l)
	if c.out == 0 {
		// Not from within the policy's call: it may go on to speak of this command.
		d.queue.push(onLimit, event{at: d.now, n: closing | c.id})
	}
}

// WakeAfter is the policy's word.
func (x *instance) StartTimer(seconds float64, token uint64) {
	x.d.queue.push(onTimer, event{at: x.d.now + max(0, seconds), n: token, a: int32(x.serial)})
}

// Tell is the policy's word.
func (x *instance) SendToPeer(to int, text []byte) {
	d := x.d
	d.judge.MessageSent()
	if to < 0 || to >= len(d.places[x.tier]) || len(text) > 256 {
		return
	}
	y := d.places[x.tier][to]
	if y == nil || !d.passes(x.zone, y.zone) {
		return
	}
	at := d.way(x.zone, y.zone)
	if at >= d.w.Net.RetransmitDelay { // a datagram that is lost does not come again
		return
	}
	if _, f := d.inForce(faults.ReorderMessages); f.Hard > 0 {
		if d.netChance.Float64() < f.SeverityAt(d.now) {
			d.carryNote(x, y, text, at+muddled*d.netChance.Float64()) // as well
		}
		if d.netChance.Float64() < f.SeverityAt(d.now) {
			at += muddled
		}
	}
	d.carryNote(x, y, text, at)
}

const muddled = 0.02 // seconds by which a message comes later that lets others pass

// carryNote has a message arrive after a while.
func (d *Simulation) carryNote(x, y *instance, text []byte, after float64) {
	n := len(d.notes)
	if k := len(d.spare); k > 0 {
		n, d.spare = d.spare[k-1], d.spare[:k-1]
	} else {
		d.notes, d.noteTo = append(d.notes, nil), append(d.noteTo, noteWay{})
	}
	d.notes[n] = append(d.notes[n][:0], text...)
	d.noteTo[n] = noteWay{x.me, y}
	d.queue.push(onNote, event{at: d.now + after, n: uint64(n)})
}

type noteWay struct {
	from int
	to   *instance
}

func (d *Simulation) noted(n int) {
	w := d.noteTo[n]
	if w.to.alive {
		w.to.policy.MessageReceived(d.now, w.from, d.notes[n])
	}
	d.spare = append(d.spare, n)
}

// ---- Where a command is, or was lost.

func (d *Simulation) where(c *command) checker.Loss {
	l := checker.Loss{Place: checker.Instance, Tier: c.inst.tier}
	if len(c.relays) == 0 {
		return l
	}
	last := c.relays[len(c.relays)-1]
	for _, r := range c.relays {
		if !r.told {
			last = r
		}
	}
	if !last.told {
		return d.at(last)
	}
	return d.because(last)
}

// at is where a relay that is out is just now.
func (d *Simulation) at(r *relay) checker.Loss {
	l := checker.Loss{Tier: r.to.tier}
	switch r.state {
	case connecting:
		l.Place = checker.Connecting
	case inQueue:
		l.Place = checker.Queue
	case working:
		if l.Place = checker.Work; r.b.burden.Hang {
			l.Place = checker.Hung
		}
	case calling:
		if c := d.command(r.callID); c != nil {
			return d.where(c)
		}
		l.Place = checker.Work
	case stranded:
		if l.Place = checker.Hung; r.cut {
			l.Place = checker.Network
		}
	default:
		l.Place = checker.Network
	}
	return l
}

// because is why a relay that has ended did not answer.
func (d *Simulation) because(r *relay) checker.Loss {
	if r.blamed {
		return r.blame
	}
	l := checker.Loss{Tier: r.to.tier}
	switch r.result {
	case balance.Full:
		l.Place = checker.Refused
	case balance.ConnectFailed:
		l.Place = checker.Connecting
	case balance.Errored:
		l.Place = checker.BackendFailed
	default:
		l.Place = checker.Network
	}
	return l
}

// slowest is where a command that was answered by r spent the most of its time.
func (d *Simulation) slowest(c *command, r *relay) checker.Loss {
	l := checker.Loss{Cause: checker.Late, Place: checker.Instance, Tier: c.inst.tier}
	most := r.sent - c.came
	for _, x := range []struct {
		took  float64
		where checker.LossPlace
	}{
		{r.arrived - r.sent, checker.Connecting}, {r.began - r.arrived, checker.Queue}, {r.ended - r.began, checker.Work},
		{d.now - r.ended, checker.Network},
	} {
		if x.took > most {
			most, l.Place = x.took, x.where
		}
	}
	return l
}

// This file owns backends: their machines, queues, connection tables and lives. It must never know who chose them,
// nor why.

package emulator

import (
	"container/heap"
	"encoding/binary"
	"math"
	"slices"

	"sandpass/balance"
	"sandpass/internal/checker"
	"sandpass/internal/faults"
)

// burden is what a backend bears: of faults, and of a machine that has fallen silent.
type burden struct {
	faults.Impairment
	silent bool
}

type backend struct {
	serial, tier, place, zone, cell int
	id                              balance.BackendID
	speed, size                     float64
	own                             *instance // that makes its calls to the next tier
	heir                            *backend  // who answers at its address now
	alive, gone                     bool      // gone: left for good
	started                         float64   // 0 is long ago
	burden                          burden

	// Commands in work share the cores evenly. done is what each one in work since the start would have got; a
	// command is through when done reaches what it needs.
	done, doneAt, rate float64
	next               float64 // when onFinish is due, or infinite
	jobs               jobs
	waiting            []*relay
	locked             []*relay // hold a slot and wait for their turn at a lock
	calling            int      // hold a slot and wait, for the next tier or a turn
	conns              int
	refreshing         bool
	recent             []arrived // while it is cold
	pushed             float64
}

// warmKey is a key at a cell: its backends do less for what one of them met lately.
type warmKey struct {
	tier, cell int
	key        uint64
}

type arrived struct{ at, work float64 }

type jobs []*relay

func (h jobs) Len() int { return len(h) }
func (h jobs) Less(i, j int) bool {
	return h[i].need < h[j].need || h[i].need == h[j].need && h[i].serial < h[j].serial
}
func (h jobs) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].index, h[j].index = i, j }
func (h *jobs) Push(x any)   { r := x.(*relay); r.index = len(*h); *h = append(*h, r) }
func (h *jobs) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	r.index = -1
	return r
}

func (d *Simulation) newBackend(tier, place int, speed float64) *backend {
	t := &d.w.Tiers[tier]
	zone := place % d.w.Zones
	b := &backend{serial: len(d.backends), tier: tier, place: place, zone: zone,
		cell: place/d.w.Zones/t.CellSize*d.w.Zones + zone, speed: speed, alive: true, next: math.Inf(1), doneAt: d.now}
	b.size = t.Cores * (1 + t.WeightFidelity*(speed-1))
	binary.BigEndian.PutUint32(b.id[:4], uint32(b.serial))
	b.id[4], b.id[5] = byte(tier), 1
	d.backends = append(d.backends, b)
	return b
}

func (d *Simulation) named(id balance.BackendID) *backend {
	n := int(binary.BigEndian.Uint32(id[:4]))
	if n <= 0 || n >= len(d.backends) {
		return nil
	}
	return d.backends[n]
}

// occupant is who answers at the address of a backend.
func (b *backend) occupant() *backend {
	for b.heir != nil {
		b = b.heir
	}
	return b
}

func (d *Simulation) tierOf(b *backend) *Tier { return &d.w.Tiers[b.tier] }

// warmth is the part of its capacity that it has, and whether that still grows.
func (d *Simulation) warmth(b *backend) (float64, bool) {
	r := &d.w.Rules
	if b.started <= 0 || d.now-b.started >= r.WarmUp {
		return 1, false
	}
	return r.ColdShare + (1-r.ColdShare)*(d.now-b.started)/r.WarmUp, true
}

// retake counts what was done until now, takes the rate anew and asks for the next end.
func (d *Simulation) retake(b *backend) {
	b.done += b.rate * (d.now - b.doneAt)
	b.doneAt = d.now
	n, t := len(b.jobs), d.tierOf(b)
	if n == 0 {
		b.rate, b.next = 0, math.Inf(1)
		return
	}
	warm, grows := d.warmth(b)
	held := float64(n+b.calling+len(b.waiting)) / t.Cores
	b.rate = b.speed * min(1, t.Cores/float64(n)) * warm * (1 - b.burden.Slow) / (1 + t.OverloadLoss*max(0, held-t.OverloadFrom))
	if b.burden.Hang || !b.alive {
		b.rate = 0
	}
	if grows && !b.refreshing {
		b.refreshing = true
		d.queue.push(onRefresh, event{at: d.now + refresh, n: uint64(b.serial)})
	}
	at := math.Inf(1)
	if b.rate > 0 {
		at = d.now + max(0, b.jobs[0].need-b.done)/b.rate
	}
	// An event that comes too early asks again, so only an earlier end needs a new one.
	if at < b.next {
		b.next = at
		d.queue.push(onFinish, event{at: at, n: uint64(b.serial)})
	}
}

func (d *Simulation) refreshed(b *backend) {
	b.refreshing = false
	d.retake(b)
}

// finished ends the part of work that is due, if it is.
func (d *Simulation) finished(b *backend) {
	if b.next > d.now { // an older one, overtaken
		return
	}
	b.next = math.Inf(1)
	b.done += b.rate * (d.now - b.doneAt)
	b.doneAt = d.now
	for len(b.jobs) > 0 && b.rate > 0 && b.jobs[0].need <= b.done+1e-9 {
		d.through(b, heap.Pop(&b.jobs).(*relay))
	}
	d.retake(b)
}

// through is called when a part of a command's work is done: a call follows, or the end.
func (d *Simulation) through(b *backend, r *relay) {
	v := &d.w.Verbs[r.verb]
	if b.own != nil && b.tier < len(v.Calls) && r.calls < v.Calls[b.tier] {
		if d.now >= r.expires { // nobody waits any more, though word of that has not come
			r.blame, r.blamed = checker.Loss{Place: checker.Work, Tier: b.tier}, true
			d.leave(b, r, balance.Errored)
			return
		}
		r.calls++
		r.state = calling
		b.calling++
		d.call(b, r)
		return
	}
	d.ran(b, r)
	result := balance.Answered
	if r.breaks || b.burden.LoseAnswers > 0 && draw(r.seed, 3) < b.burden.LoseAnswers {
		result = balance.Reset
	}
	d.leave(b, r, result)
}

func (d *Simulation) ran(b *backend, r *relay) {
	v := &d.verbs[r.verb]
	r.made = true
	d.judge.EffectExecuted(d.now, r.sent, r.op, checker.Effect(v.Effect), checker.Scope(v.Scope), v.DedupWindow, b.zone, b.cell)
}

// leave sends a command's outcome back and lets in the next that waits.
func (d *Simulation) leave(b *backend, r *relay, result balance.Result) {
	r.state = returning
	d.back(r, result)
	d.letIn(b)
	d.release(r)
}

func (d *Simulation) letIn(b *backend) {
	for len(b.waiting) > 0 && len(b.jobs)+b.calling < d.tierOf(b).Slots {
		r := b.waiting[0]
		copy(b.waiting, b.waiting[1:])
		b.waiting = b.waiting[:len(b.waiting)-1]
		if d.now >= r.expires && d.tierOf(b).RejectsExpired {
			r.state = returning
			d.back(r, balance.Full)
			d.release(r)
			continue
		}
		d.begin(b, r)
	}
}

// connect is a new connection at its backend's machine.
func (d *Simulation) connect(r *relay) {
	if r.told { // closed before it was up: nothing was sent
		r.state = over
		return
	}
	b := r.to.occupant()
	r.b = b
	switch {
	case b.burden.silent:
		d.answerAt(r, max(d.now, r.sent+d.w.Rules.ConnectTimeout), balance.ConnectFailed)
	case !b.alive, float64(b.conns) >= float64(d.tierOf(b).Connections)*(1-b.burden.TableFull):
		d.back(r, balance.ConnectFailed)
	default:
		b.conns++
		r.conn = b
		r.work += d.tierOf(b).Handshake
		d.forth(r, onArrive, 2)
	}
}

// arrive is a command whose last byte is at its backend.
func (d *Simulation) arrive(r *relay) {
	if r.dropped { // word that it is not wanted came first
		r.state = over
		return
	}
	b := r.to.occupant()
	if r.conn != nil && r.conn != b { // it was made to who was there before
		b = r.conn
	}
	r.b, r.arrived = b, d.now
	if b.burden.silent {
		d.strand(r)
		return
	}
	if !b.alive {
		d.back(r, balance.Reset)
		return
	}
	d.push(b, r)
	u, t := &b.burden, d.tierOf(b)
	switch x := d.worldChance.Float64(); {
	case !b.alive: // this one pushed it over
		d.back(r, balance.Reset)
	case u.Reset > 0 && x < u.Reset/2:
		d.back(r, balance.Reset)
	case u.Refuse > 0 && d.worldChance.Float64() < u.Refuse, len(b.waiting) >= t.Queue && len(b.jobs)+b.calling >= t.Slots:
		d.back(r, balance.Full)
	case d.spoilt(b, r), d.unable(b, r):
		d.back(r, balance.Errored)
	case u.Errors > 0 && d.worldChance.Float64() < u.Errors:
		if d.worldChance.Float64() < 0.5 {
			d.ran(b, r)
		}
		d.back(r, balance.Errored)
	default:
		r.breaks = u.Reset > 0 && x < u.Reset
		r.holds++
		if len(b.jobs)+b.calling < t.Slots {
			d.begin(b, r)
		} else {
			r.state = inQueue
			b.waiting = append(b.waiting, r)
		}
	}
}

// spoilt tells that a command fails wherever it is sent.
func (d *Simulation) spoilt(b *backend, r *relay) bool {
	for _, f := range d.during(faults.FailingKeys) {
		if f.Tier == b.tier && f.HitsKey(r.key) {
			return true
		}
	}
	return false
}

// unable tells that a backend fails a command for its verb, which others do.
func (d *Simulation) unable(b *backend, r *relay) bool {
	for i, f := range d.during(faults.FailingVerb) {
		if uint64(r.verb) == f.Seed%uint64(len(d.w.Verbs)) &&
			slices.Contains(d.targets[i], b) && draw(r.seed, 21) < f.SeverityAt(d.now) {
			return true
		}
	}
	return false
}

// begin takes a command into work. Work is cut evenly by the calls that it makes.
func (d *Simulation) begin(b *backend, r *relay) {
	r.began = d.now
	if t := d.tierOf(b); t.CacheSaving > 0 && r.key != 0 {
		k := warmKey{b.tier, b.cell, r.key}
		if met, ok := d.met[k]; ok && d.now < met+t.CacheLifetime {
			r.work *= 1 - t.CacheSaving
		}
		d.met[k] = d.now
	}
	if turn := d.turn(b, r); turn > d.now {
		r.state = locked
		r.holds++
		b.locked = append(b.locked, r)
		b.calling++
		d.later(turn, func() { d.unlocked(b, r); d.release(r) })
		return
	}
	d.goOn(b, r)
}

// turn is when a command may go on that has to wait for a lock behind its tier, or now.
func (d *Simulation) turn(b *backend, r *relay) float64 {
	at := d.now
	for i, f := range d.during(faults.LockedKeys) {
		if f.Tier == b.tier && f.HitsKey(r.key) {
			at = max(at, d.turns[i])
			d.turns[i] = at + f.Hard
		}
	}
	return at
}

// unlocked has a command go on whose turn has come, unless it was dropped meanwhile.
func (d *Simulation) unlocked(b *backend, r *relay) {
	if r.state == locked && d.unlock(b, r) {
		d.goOn(b, r)
	}
}

// unlock takes a command out of those that wait in their slots, if its backend still holds it.
func (d *Simulation) unlock(b *backend, r *relay) bool {
	for i, x := range b.locked {
		if x == r {
			b.locked = append(b.locked[:i], b.locked[i+1:]...)
			b.calling--
			return true
		}
	}
	return false
}

func (d *Simulation) goOn(b *backend, r *relay) {
	b.done += b.rate * (d.now - b.doneAt)
	b.doneAt = d.now
	parts := 1
	if v := &d.w.Verbs[r.verb]; b.own != nil && b.tier < len(v.Calls) {
		parts += v.Calls[b.tier]
	}
	r.state, r.need = working, b.done+r.work/float64(parts)
	heap.Push(&b.jobs, r)
	d.retake(b)
}

// push counts the work that reaches a cold backend, and has it fall where that is too much. Each command counts as the
// mean of its verb: nobody can know that one is a hundred times as heavy, and one is no crowd.
func (d *Simulation) push(b *backend, r *relay) {
	warm, cold := d.warmth(b)
	if !cold {
		return
	}
	work := d.w.Verbs[r.verb].Work[b.tier]
	rules, capacity := &d.w.Rules, d.tierOf(b).Cores*b.speed*warm
	from := r.inst.serial
	if r.to != b { // it named who was there before: nobody could know
		from = -1
	}
	d.judge.ColdBackendReached(d.now, b.serial, from, work, capacity, b.started)
	b.recent = append(b.recent, arrived{d.now, work})
	b.pushed += work
	for b.recent[0].at < d.now-rules.ColdWindow {
		b.pushed -= b.recent[0].work
		b.recent = b.recent[1:]
	}
	if b.pushed > rules.ColdMultiple*capacity*rules.ColdWindow+pushSlack*work {
		d.die(b, false)
		d.later(d.now+detect, func() { d.announceGone(b) })
	}
}

// cancelled is word at a backend that nobody waits for a command any more: its connection has closed.
func (d *Simulation) cancelled(r *relay) {
	b := r.b
	r.dropped = true
	if r.conn != nil {
		r.conn.hangUp()
		r.conn = nil
	}
	if b == nil {
		return
	}
	switch r.state {
	case inQueue:
		if !b.burden.IgnoresCancels {
			d.unqueue(b, r)
			d.release(r)
		}
	case working:
		if d.tierOf(b).CancelStops && !b.burden.IgnoresCancels {
			b.done += b.rate * (d.now - b.doneAt)
			b.doneAt = d.now
			heap.Remove(&b.jobs, r.index)
			r.state = over
			d.letIn(b)
			d.retake(b)
			d.release(r)
		}
	case locked:
		if d.tierOf(b).CancelStops && !b.burden.IgnoresCancels && d.unlock(b, r) {
			r.state = over
			d.letIn(b)
			d.release(r)
		}
	case calling:
		if d.tierOf(b).CancelStops && !b.burden.IgnoresCancels {
			b.calling--
			r.state = over
			d.hangUp(b.own, r.callID)
			d.letIn(b)
			d.retake(b)
			d.release(r)
		}
	}
}

func (d *Simulation) unqueue(b *backend, r *relay) {
	for i, x := range b.waiting {
		if x == r {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			break
		}
	}
	r.state = over
}

// die ends a backend's process, or takes its machine off the network without a word.
func (d *Simulation) die(b *backend, silent bool) {
	if !b.alive {
		return
	}
	held := append([]*relay(nil), b.waiting...)
	held = append(held, b.jobs...)
	held = append(held, d.liveRelays(b)...)
	held = append(held, b.locked...)
	b.locked = nil
	b.waiting, b.jobs, b.calling, b.conns, b.recent, b.pushed = nil, nil, 0, 0, nil, 0
	b.alive, b.rate, b.next = false, 0, math.Inf(1)
	if silent {
		b.burden.silent = true
	}
	if b.own != nil {
		d.kill(b.own)
		b.own = nil
	}
	for _, x := range d.instances {
		if x.alive && x.tier == b.tier && !silent {
			x.forgetLinks(b)
		}
	}
	for _, r := range held {
		r.conn = nil
		if silent {
			d.strand(r)
		} else {
			r.state = returning
			d.back(r, balance.Reset)
		}
		d.release(r)
	}
}

// liveRelays are those that wait for the next tier, in the order in which they were sent.
func (d *Simulation) liveRelays(b *backend) []*relay {
	var all []*relay
	if b.own == nil {
		return nil
	}
	for _, c := range d.commands {
		if c.inst == b.own && c.parent != nil && !c.done && c.parent.state == calling && c.parent.b == b {
			all = append(all, c.parent)
		}
	}
	return all
}

// revive starts a backend's process again: cold, under its own name.
func (d *Simulation) revive(b *backend) {
	if b.alive || b.gone {
		return
	}
	b.alive, b.burden.silent, b.started, b.doneAt, b.done = true, false, max(d.now, 1e-9), d.now, 0
	b.conns = 0
	for _, x := range d.instances {
		if x.alive && x.tier == b.tier {
			x.forgetLinks(b)
		}
	}
	d.unstrand(func(r *relay) bool { return r.b == b })
	if b.tier+1 < len(d.w.Tiers) && d.tiers[b.tier][b.place] == b {
		b.own = d.newInstance(b.tier+1, b.place, b.zone)
	}
	d.announce(b, balance.Ready)
}

// replace puts a new backend in the place of one, that one being drained first or not; at its address where takeover.
func (d *Simulation) replace(b *backend, takeover bool) {
	if b.gone || d.tiers[b.tier][b.place] != b {
		return
	}
	start := func() {
		x := d.newBackend(b.tier, b.place, b.speed)
		x.started = max(d.now, 1e-9)
		d.tiers[b.tier][b.place] = x
		if takeover {
			b.heir = x
		}
		if b.tier+1 < len(d.w.Tiers) {
			x.own = d.newInstance(b.tier+1, b.place, b.zone)
		}
		d.announce(x, balance.Ready)
	}
	if takeover {
		d.die(b, false)
		b.gone = true
		start()
		d.later(d.now+detect, func() { d.announceGone(b) })
		return
	}
	d.announce(b, balance.Draining)
	d.later(d.now+d.w.Rules.DrainTime, func() {
		d.die(b, false)
		b.gone = true
		d.announceGone(b)
		start()
	})
}

func (d *Simulation) announceGone(b *backend) {
	if !b.alive {
		d.announce(b, balance.Gone)
	}
}

// Look is Sight: it shows the true state to the policy that is to be the oracle.
func (x *instance) BackendState(to balance.BackendID) (open bool, wait, speed, crowd float64) {
	d := x.d
	b := d.named(to)
	if b == nil {
		return false, 0, 0, 0
	}
	b = b.occupant()
	t := d.tierOf(b)
	warm, _ := d.warmth(b)
	speed = b.speed * warm * (1 - b.burden.Slow)
	held := len(b.jobs) + b.calling + len(b.waiting)
	if !b.alive || b.burden.silent || b.burden.Hang {
		return false, 0, 0, 0
	}
	open = speed > 0 && b.burden.Errors+b.burden.Refuse+b.burden.LoseAnswers < 0.5 &&
		(len(b.waiting) < t.Queue || len(b.jobs)+b.calling < t.Slots)
	open = open && (float64(b.conns) < float64(t.Connections)*(1-b.burden.TableFull) || x.link(b).idle > 0)
	open = open && d.passes(x.zone, b.zone) && d.passes(b.zone, x.zone)
	work := 0.0
	for i := range d.w.Verbs {
		work += d.w.Verbs[i].Work[b.tier]
	}
	work /= float64(len(d.w.Verbs))
	return open, float64(held) * work / (t.Cores * max(speed, 1e-6)), speed, float64(held) / t.Cores / max(t.OverloadFrom, 1e-6)
}

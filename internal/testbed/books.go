// This file owns what the stand-ins tell the judge: facts as they are seen at the ends of the sockets. It must never
// take a proxy's word for anything.

package testbed

import (
	"fmt"
	"sync"
	"time"

	"sandpass/internal/checker"
	"sandpass/internal/emulator"
)

type record struct {
	seed     uint64
	verb     int
	instance int
	op       uint64
	relays   int
	ended    float64 // when its client had the answer, or was gone, 0 before
	gone     bool    // its client was gone
}

const (
	crossing = 0.05 // seconds after a command's end in which a copy that was sent before may still arrive
	unseen   = 2.0  // seconds in which a proxy on a busy machine may not have read yet that a client is gone
)

// books are the judge's, behind a lock. A command's record stays: a backend may run it long after its end.
type books struct {
	mu    sync.Mutex
	judge *checker.Checker
	world *emulator.World
	start time.Time
	all   map[uint64]*record
}

func (b *books) now() float64 { return time.Since(b.start).Seconds() }

// taken is told before the first byte of a command leaves its client.
func (b *books) taken(id uint64, r record, limit float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.all[id] = &r
	e, s := ranAs(&b.world.Verbs[r.verb])
	b.judge.CommandAccepted(b.now(), checker.Command{ID: id, Operation: r.op, Instance: r.instance, Expires: b.now() + limit, Effect: e, Scope: s,
		DedupWindow: b.world.Verbs[r.verb].DedupWindow})
}

// reached is told when a backend has a command whole that was sent at a time; a command that no client sent is not known.
// The rules go by when it was sent, and only what it does to a cold backend by when it came.
func (b *books) reached(x *backend, id uint64, verb int, sent float64) (relay int, known bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.all[id]
	if r == nil {
		return 0, false
	}
	if r.ended > 0 && (sent < r.ended+crossing || r.gone && sent < r.ended+unseen) {
		return -1, true
	}
	relay = r.relays
	r.relays++
	b.judge.RelaySent(sent, id, x.serial, x.zone, x.cell, false)
	if warm := x.machine.warmth(time.Now()); warm < 1 {
		b.judge.ColdBackendReached(b.now(), x.serial, r.instance, b.world.Verbs[verb].Work[x.tier], x.machine.cores*x.machine.speed*warm,
			x.started.Sub(b.start).Seconds())
	}
	return relay, true
}

// told is how a relay ended, before the proxy can know.
func (b *books) told(id uint64, relay int, never bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if relay >= 0 {
		b.judge.RelayEnded(id, relay, never)
	}
}

func (b *books) ran(x *backend, id uint64, verb int, sent float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, s := ranAs(&b.world.Verbs[verb])
	b.judge.EffectExecuted(b.now(), sent, b.all[id].op, e, s, b.world.Verbs[verb].DedupWindow, x.zone, x.cell)
}

func (b *books) ended(id uint64, result result, made bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.all[id].ended = b.now()
	switch result {
	case served, declinedThat, failed:
		b.judge.CommandEnded(b.now(), id, result == declinedThat, result == served, made)
	case broken, left, unreached:
		b.all[id].gone = true
		b.judge.ClientDisconnected(id) // its instance is gone, or its client is
	}
}

func (b *books) listed(instance int, x *backend, ready bool, started time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := 0.0
	if !started.IsZero() {
		at = started.Sub(b.start).Seconds()
	}
	b.judge.BackendUpdateReceived(b.now(), instance, x.serial, ready, at)
}

func (b *books) killed(instance int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.judge.InstanceKilled(instance)
}

func (b *books) client(what func(j *checker.Checker)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	what(b.judge)
}

// relayed is how often backends have had a command whole.
func (b *books) relayed(id uint64) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.all[id].relays
}

// answer is the body that only a backend which has run the command makes.
func (b *books) answer(id uint64) string {
	return fmt.Sprintf("made %016x", emulator.MixSeeds(id, 0x616e73))
}

func (b *books) seed(id uint64) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.all[id].seed
}

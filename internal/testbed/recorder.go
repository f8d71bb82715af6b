// This file records what clients and backends observe at their sockets for the checker. Nothing that a proxy reports is used.

package testbed

import (
	"fmt"
	"sync"
	"time"

	"sandpass/internal/checker"
	"sandpass/internal/emulator"
)

// requestRecord is what the recorder knows of one request.
type requestRecord struct {
	seed       uint64
	verb       int
	instance   int
	op         uint64
	relays     int
	endedAt    float64 // when its client had the answer or disconnected, 0 before
	clientGone bool    // its client disconnected, or its connection broke
}

const (
	crossingSeconds         = 0.05 // a copy that was sent before a request ended may arrive this much later
	unseenDisconnectSeconds = 2.0  // a proxy on a busy machine may notice a disconnect this much later
)

// recorder passes events to the checker, one at a time. A request's record is kept after its end, since a backend may execute it
// long after.
type recorder struct {
	mu       sync.Mutex
	checker  *checker.Checker
	world    *emulator.World
	start    time.Time
	requests map[uint64]*requestRecord
}

// now returns the time of the run in seconds.
func (r *recorder) now() float64 { return time.Since(r.start).Seconds() }

// requestAccepted records a request. It is called before the client sends the first byte.
func (r *recorder) requestAccepted(id uint64, record requestRecord, limit float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[id] = &record
	effect, scope := checkerEffect(&r.world.Verbs[record.verb])
	r.checker.CommandAccepted(r.now(), checker.Command{ID: id, Operation: record.op, Instance: record.instance,
		Expires: r.now() + limit, Effect: effect, Scope: scope,
		DedupWindow: r.world.Verbs[record.verb].DedupWindow})
}

// relayReceived records that a backend has received a complete command; known is false if no client sent it. The rules apply to
// the time at which it was sent. Only the load on a warming backend counts from when it arrived.
func (r *recorder) relayReceived(backend *backend, id uint64, verb int, sentAt float64) (relay int, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.requests[id]
	if record == nil {
		return 0, false
	}
	if record.endedAt > 0 && (sentAt < record.endedAt+crossingSeconds ||
		record.clientGone && sentAt < record.endedAt+unseenDisconnectSeconds) {
		return -1, true
	}
	relay = record.relays
	record.relays++
	r.checker.RelaySent(sentAt, id, backend.serial, backend.zone, backend.cell, false)
	if warm := backend.machine.warmth(time.Now()); warm < 1 {
		r.checker.ColdBackendReached(r.now(), backend.serial, record.instance, r.world.Verbs[verb].Work[backend.tier],
			backend.machine.cores*backend.machine.speed*warm,
			backend.started.Sub(r.start).Seconds())
	}
	return relay, true
}

// relayEnded records how a relay ended. It is called before the proxy can know.
func (r *recorder) relayEnded(id uint64, relay int, neverRan bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if relay >= 0 {
		r.checker.RelayEnded(id, relay, neverRan)
	}
}

// executed records that a backend has executed a command.
func (r *recorder) executed(backend *backend, id uint64, verb int, sentAt float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	effect, scope := checkerEffect(&r.world.Verbs[verb])
	r.checker.EffectExecuted(r.now(), sentAt, r.requests[id].op, effect, scope, r.world.Verbs[verb].DedupWindow, backend.zone,
		backend.cell)
}

// requestEnded records the result that the client saw; valid tells whether the body was made by a backend.
func (r *recorder) requestEnded(id uint64, result result, valid bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[id].endedAt = r.now()
	switch result {
	case resultServed, resultDeclined, resultFailed:
		r.checker.CommandEnded(r.now(), id, result == resultDeclined, result == resultServed, valid)
	case resultBroken, resultLeft, resultUnreached:
		r.requests[id].clientGone = true
		r.checker.ClientDisconnected(id) // the instance or the client is gone
	}
}

// endpointListed records that discovery has sent an endpoint to an instance.
func (r *recorder) endpointListed(instance int, backend *backend, ready bool, started time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := 0.0
	if !started.IsZero() {
		at = started.Sub(r.start).Seconds()
	}
	r.checker.BackendUpdateReceived(r.now(), instance, backend.serial, ready, at)
}

// instanceKilled records that an instance has ended.
func (r *recorder) instanceKilled(instance int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checker.InstanceKilled(instance)
}

// withChecker calls do with the checker locked.
func (r *recorder) withChecker(do func(c *checker.Checker)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	do(r.checker)
}

// relayCount returns how many times backends have received a complete command.
func (r *recorder) relayCount(id uint64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requests[id].relays
}

// expectedBody returns the answer body that only a backend which has executed the command can produce.
func (r *recorder) expectedBody(id uint64) string {
	return fmt.Sprintf("made %016x", emulator.MixSeeds(id, 0x616e73))
}

// seed returns the random seed of a request.
func (r *recorder) seed(id uint64) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requests[id].seed
}

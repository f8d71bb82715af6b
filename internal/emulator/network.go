// Connections and traffic between instances and backends. Nothing here may depend on what a command does.

package emulator

import (
	"sandpass/balance"
	"sandpass/internal/checker"
	"sandpass/internal/faults"
)

// relayState is the state of a relay.
type relayState uint8

const (
	connecting relayState = iota
	inTransit
	inQueue
	working
	calling
	returning
	stranded // no outcome can reach the instance
	locked   // holds a slot and waits for a lock
	relayEnded
)

// relay is one relay of a command to a backend. It is reused when no event, backend or instance refers to it.
type relay struct {
	refs                          int
	command                       uint64
	number                        int
	instance                      *instance
	target, backend               *backend // the backend named, and the one reached
	connection                    *backend // the backend whose connection table counts its connection
	operationID, seed, key        uint64
	expires                       float64
	verb                          int
	sentAt, arrivedAt             float64
	startedAt, endedAt            float64
	work, finishProgress          float64
	heapIndex                     int
	callsMade                     int
	callID                        uint64
	state                         relayState
	result                        balance.Result
	reported, executed, cancelled bool
	readingChecked, beingRead     bool // whether the client reads the answer slowly was checked; it does now
	resetAfterRun                 bool // its connection is reset after execution
	partitioned                   bool // stranded by a Partition, not by its backend
	loss                          checker.Loss
	lossKnown                     bool
	serial                        uint64 // orders all relays and operations
}

// newRelay returns a relay, reused if possible.
func (sim *Simulation) newRelay() *relay {
	if n := len(sim.freeRelays); n > 0 {
		r := sim.freeRelays[n-1]
		sim.freeRelays = sim.freeRelays[:n-1]
		*r = relay{heapIndex: -1}
		return r
	}
	return &relay{heapIndex: -1}
}

// releaseRelay drops one reference to a relay.
func (sim *Simulation) releaseRelay(r *relay) {
	if r.refs--; r.refs == 0 {
		sim.freeRelays = append(sim.freeRelays, r)
	}
}

// scheduleRelay schedules an event of a relay.
func (sim *Simulation) scheduleRelay(k eventKind, at float64, r *relay) {
	r.refs++
	sim.queue.push(k, event{at: at, relay: r})
}

// reachable tells whether traffic passes from one zone to another.
func (sim *Simulation) reachable(from, to int) bool {
	for i, f := range sim.plan {
		if sim.active[i] && f.Blocks(from, to) {
			return false
		}
	}
	return true
}

// delay returns a random one-way latency from one zone to another.
func (sim *Simulation) delay(from, to int) float64 {
	base := sim.world.Net.SameZone
	if from != to {
		base = sim.world.Net.CrossZone
	}
	t := base * (1 + sim.world.Net.Jitter*sim.networkRand.ExpFloat64())
	for i, f := range sim.plan {
		if !sim.active[i] || f.Kind != faults.Delay && f.Kind != faults.PacketLoss {
			continue
		}
		if !f.AffectsPath(from, to) {
			continue
		}
		if severity := f.SeverityAt(sim.now); f.Kind == faults.Delay {
			t += severity
		} else if sim.networkRand.Float64() < severity {
			t += sim.world.Net.RetransmitDelay
		}
	}
	return t
}

// sendToBackend sends a relay to its backend. It takes the given number of one-way latencies.
func (sim *Simulation) sendToBackend(r *relay, k eventKind, latencies int) {
	at := sim.now
	for range latencies {
		at += sim.delay(r.instance.zone, r.target.zone)
	}
	if sim.reachable(r.instance.zone, r.target.zone) {
		if k == onArrive {
			r.state = inTransit
		}
		sim.scheduleRelay(k, at, r)
		return
	}
	if k == onConnect {
		sim.scheduleOutcome(r, sim.now+sim.world.Rules.ConnectTimeout, balance.ConnectFailed)
		return
	}
	r.partitioned = true
	sim.strand(r)
}

// strand leaves a relay without an outcome until its backend or the network recovers.
func (sim *Simulation) strand(r *relay) {
	r.state = stranded
	r.refs++
	sim.stranded = append(sim.stranded, r)
}

// resetStranded resets the stranded relays for which selected returns true: their instances can be reached again.
func (sim *Simulation) resetStranded(selected func(*relay) bool) {
	remaining := sim.stranded[:0]
	for _, r := range sim.stranded {
		switch {
		case r.reported || !r.instance.alive:
			sim.releaseRelay(r)
		case selected(r):
			sim.scheduleOutcome(r, sim.now+sim.delay(r.target.zone, r.instance.zone), balance.Reset)
			sim.releaseRelay(r)
		default:
			remaining = append(remaining, r)
		}
	}
	clear(sim.stranded[len(remaining):])
	sim.stranded = remaining
}

// sendToInstance sends an outcome from a backend to the instance.
func (sim *Simulation) sendToInstance(r *relay, result balance.Result) {
	r.endedAt = sim.now
	if !sim.reachable(r.target.zone, r.instance.zone) {
		if r.connection == nil && result == balance.ConnectFailed {
			sim.scheduleOutcome(r, max(sim.now, r.sentAt+sim.world.Rules.ConnectTimeout), result)
			return
		}
		r.partitioned = true
		sim.strand(r)
		return
	}
	sim.scheduleOutcome(r, sim.now+sim.delay(r.target.zone, r.instance.zone), result)
}

// scheduleOutcome schedules the arrival of a relay's outcome at its instance.
func (sim *Simulation) scheduleOutcome(r *relay, at float64, result balance.Result) {
	r.result = result
	sim.scheduleRelay(onAnswer, at, r)
}

// connectionPool holds the idle connections of an instance to a backend.
type connectionPool struct {
	idle         int
	idleSince    float64 // when the last one was returned
	timerPending bool
}

// pool returns the instance's connection pool for a backend.
func (inst *instance) pool(b *backend) *connectionPool {
	for len(inst.pools) <= b.serial {
		inst.pools = append(inst.pools, connectionPool{})
	}
	return &inst.pools[b.serial]
}

// dropIdleConnections drops the idle connections to a backend whose process ended, which closes them.
func (inst *instance) dropIdleConnections(b *backend) {
	if b.serial < len(inst.pools) {
		inst.pools[b.serial].idle = 0
	}
}

// returnConnection returns a relay's connection to the pool.
func (sim *Simulation) returnConnection(r *relay) {
	b := r.connection
	r.connection = nil
	if b == nil || !b.alive {
		return
	}
	pool := r.instance.pool(b)
	pool.idle++
	pool.idleSince = sim.now
	if !pool.timerPending {
		pool.timerPending = true
		sim.queue.push(onIdle, event{at: sim.now + sim.tierConfig(b).IdleTimeout, argument: int32(r.instance.serial),
			number: uint64(b.serial)})
	}
}

// idleReset tells whether the network has silently dropped the idle connections.
func (sim *Simulation) idleReset(pool *connectionPool) bool {
	for _, f := range sim.activeFaults(faults.IdleReset) {
		if sim.now-pool.idleSince > f.Hard {
			return true
		}
	}
	return false
}

// handleIdle closes connections that were idle too long.
func (sim *Simulation) handleIdle(inst *instance, serial int) {
	if !inst.alive {
		return
	}
	b := sim.backends[serial]
	pool := inst.pool(b)
	pool.timerPending = false
	if pool.idle == 0 {
		return
	}
	if due := pool.idleSince + sim.tierConfig(b).IdleTimeout; sim.now < due {
		pool.timerPending = true
		sim.queue.push(onIdle, event{at: due, argument: int32(inst.serial), number: uint64(serial)})
		return
	}
	if b.alive {
		b.connections = max(0, b.connections-pool.idle)
	}
	pool.idle = 0
}

// closeConnection closes a relay's connection from the instance's side. The backend is informed a one-way latency later.
func (sim *Simulation) closeConnection(r *relay) {
	if sim.reachable(r.instance.zone, r.target.zone) {
		sim.scheduleRelay(onCancel, sim.now+sim.delay(r.instance.zone, r.target.zone), r)
	} else if r.connection != nil { // unreachable: the backend's machine times the connection out
		r.connection.closeConnection()
		r.connection = nil
	}
}

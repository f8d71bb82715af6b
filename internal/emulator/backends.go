// Backends: their machines, queues, connection tables and processes. Nothing here may depend on which policy chose a backend,
// or why.

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

// impairment is the effect of faults on a backend. silent means that its machine does not respond.
type impairment struct {
	faults.Impairment
	silent bool
}

// backend is a simulated backend: a machine with a queue, a connection table and a process that crashes and restarts.
type backend struct {
	serial, tier, position, zone, cell int
	id                                 balance.BackendID
	speed, nominalCapacity             float64
	caller                             *instance // makes its calls to the next tier
	successor                          *backend  // the backend that took over its address, if any
	alive, retired                     bool      // retired: stopped for good
	startedAt                          float64   // 0: long ago
	impairment                         impairment

	// Running commands share the cores evenly. progress is the work that each command running since the start would have
	// received; a command is finished when progress reaches its finishProgress.
	progress, progressAt, rate float64
	nextFinish                 float64 // time of the next onFinish, or infinite
	running                    runHeap
	queue                      []*relay
	lockWaiters                []*relay // hold a slot and wait for a lock
	blocked                    int      // number of commands that hold a slot and wait for the next tier or a lock
	connections                int
	refreshPending             bool
	coldArrivals               []coldArrival // in the last ColdWindow, while it is cold
	coldWork                   float64
}

// warmKey is a key in a cell. The cell's backends do less work for a key that one of them handled recently.
type warmKey struct {
	tier, cell int
	key        uint64
}

// coldArrival is work that reached a cold backend.
type coldArrival struct{ at, work float64 }

// runHeap is a heap of the running commands by finishProgress.
type runHeap []*relay

func (h runHeap) Len() int { return len(h) }
func (h runHeap) Less(i, j int) bool {
	return h[i].finishProgress < h[j].finishProgress || h[i].finishProgress == h[j].finishProgress && h[i].serial < h[j].serial
}
func (h runHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].heapIndex, h[j].heapIndex = i, j }
func (h *runHeap) Push(x any)   { r := x.(*relay); r.heapIndex = len(*h); *h = append(*h, r) }
func (h *runHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	r.heapIndex = -1
	return r
}

// newBackend creates a backend at a position of a tier.
func (sim *Simulation) newBackend(tier, position int, speed float64) *backend {
	t := &sim.world.Tiers[tier]
	zone := position % sim.world.Zones
	b := &backend{serial: len(sim.backends), tier: tier, position: position, zone: zone,
		cell: position/sim.world.Zones/t.CellSize*sim.world.Zones + zone, speed: speed, alive: true, nextFinish: math.Inf(1),
		progressAt: sim.now}
	b.nominalCapacity = t.Cores * (1 + t.WeightFidelity*(speed-1))
	binary.BigEndian.PutUint32(b.id[:4], uint32(b.serial))
	b.id[4], b.id[5] = byte(tier), 1
	sim.backends = append(sim.backends, b)
	return b
}

// backendByID returns the backend with an id, or nil if there is none.
func (sim *Simulation) backendByID(id balance.BackendID) *backend {
	n := int(binary.BigEndian.Uint32(id[:4]))
	if n <= 0 || n >= len(sim.backends) {
		return nil
	}
	return sim.backends[n]
}

// atAddress returns the backend that currently answers at the backend's address.
func (b *backend) atAddress() *backend {
	for b.successor != nil {
		b = b.successor
	}
	return b
}

// tierConfig returns the configuration of the backend's tier.
func (sim *Simulation) tierConfig(b *backend) *Tier { return &sim.world.Tiers[b.tier] }

// capacityShare returns the share of its capacity that a backend has now, and whether it is still warming up.
func (sim *Simulation) capacityShare(b *backend) (float64, bool) {
	r := &sim.world.Rules
	if b.startedAt <= 0 || sim.now-b.startedAt >= r.WarmUp {
		return 1, false
	}
	return r.ColdShare + (1-r.ColdShare)*(sim.now-b.startedAt)/r.WarmUp, true
}

// updateRate advances the progress to now, updates the rate and schedules the next finish.
func (sim *Simulation) updateRate(b *backend) {
	b.progress += b.rate * (sim.now - b.progressAt)
	b.progressAt = sim.now
	n, t := len(b.running), sim.tierConfig(b)
	if n == 0 {
		b.rate, b.nextFinish = 0, math.Inf(1)
		return
	}
	share, warming := sim.capacityShare(b)
	held := float64(n+b.blocked+len(b.queue)) / t.Cores
	b.rate = b.speed * min(1, t.Cores/float64(n)) * share * (1 - b.impairment.Slow) /
		(1 + t.OverloadLoss*max(0, held-t.OverloadFrom))
	if b.impairment.Hang || !b.alive {
		b.rate = 0
	}
	if warming && !b.refreshPending {
		b.refreshPending = true
		sim.queue.push(onRefresh, event{at: sim.now + rateRefreshSeconds, number: uint64(b.serial)})
	}
	at := math.Inf(1)
	if b.rate > 0 {
		at = sim.now + max(0, b.running[0].finishProgress-b.progress)/b.rate
	}
	// An event that comes too early schedules another one, so only an earlier finish needs a new event.
	if at < b.nextFinish {
		b.nextFinish = at
		sim.queue.push(onFinish, event{at: at, number: uint64(b.serial)})
	}
}

// handleRefresh updates the rate of a backend that is warming up.
func (sim *Simulation) handleRefresh(b *backend) {
	b.refreshPending = false
	sim.updateRate(b)
}

// handleFinish ends the parts of work that are finished.
func (sim *Simulation) handleFinish(b *backend) {
	if b.nextFinish > sim.now { // an outdated event
		return
	}
	b.nextFinish = math.Inf(1)
	b.progress += b.rate * (sim.now - b.progressAt)
	b.progressAt = sim.now
	for len(b.running) > 0 && b.rate > 0 && b.running[0].finishProgress <= b.progress+1e-9 {
		sim.workPartDone(b, heap.Pop(&b.running).(*relay))
	}
	sim.updateRate(b)
}

// workPartDone ends a part of a command's work: it makes the next call, or ends the command after the last part.
func (sim *Simulation) workPartDone(b *backend, r *relay) {
	v := &sim.world.Verbs[r.verb]
	if b.caller != nil && b.tier < len(v.Calls) && r.callsMade < v.Calls[b.tier] {
		if sim.now >= r.expires { // past its limit, though no cancellation has arrived
			r.loss, r.lossKnown = checker.Loss{Place: checker.Work, Tier: b.tier}, true
			sim.leaveBackend(b, r, balance.Errored)
			return
		}
		r.callsMade++
		r.state = calling
		b.blocked++
		sim.callNextTier(b, r)
		return
	}
	sim.recordExecution(b, r)
	result := balance.Answered
	if r.resetAfterRun || b.impairment.LoseAnswers > 0 && uniform(r.seed, 3) < b.impairment.LoseAnswers {
		result = balance.Reset
	}
	sim.leaveBackend(b, r, result)
}

// recordExecution reports to the checker that a command's effect took place.
func (sim *Simulation) recordExecution(b *backend, r *relay) {
	v := &sim.verbs[r.verb]
	r.executed = true
	sim.checker.EffectExecuted(sim.now, r.sentAt, r.operationID, checker.Effect(v.Effect), checker.Scope(v.Scope), v.DedupWindow,
		b.zone, b.cell)
}

// leaveBackend sends a command's outcome back and starts the next queued command.
func (sim *Simulation) leaveBackend(b *backend, r *relay, result balance.Result) {
	r.state = returning
	sim.sendToInstance(r, result)
	sim.startQueued(b)
	sim.releaseRelay(r)
}

// startQueued starts queued commands while there are free slots.
func (sim *Simulation) startQueued(b *backend) {
	for len(b.queue) > 0 && len(b.running)+b.blocked < sim.tierConfig(b).Slots {
		r := b.queue[0]
		copy(b.queue, b.queue[1:])
		b.queue = b.queue[:len(b.queue)-1]
		if sim.now >= r.expires && sim.tierConfig(b).RejectsExpired {
			r.state = returning
			sim.sendToInstance(r, balance.Full)
			sim.releaseRelay(r)
			continue
		}
		sim.startWork(b, r)
	}
}

// handleConnect handles a new connection that reaches its backend's machine.
func (sim *Simulation) handleConnect(r *relay) {
	if r.reported { // closed before it was established: nothing was sent
		r.state = relayEnded
		return
	}
	b := r.target.atAddress()
	r.backend = b
	switch {
	case b.impairment.silent:
		sim.scheduleOutcome(r, max(sim.now, r.sentAt+sim.world.Rules.ConnectTimeout), balance.ConnectFailed)
	case !b.alive, float64(b.connections) >= float64(sim.tierConfig(b).Connections)*(1-b.impairment.TableFull):
		sim.sendToInstance(r, balance.ConnectFailed)
	default:
		b.connections++
		r.connection = b
		r.work += sim.tierConfig(b).Handshake
		sim.sendToBackend(r, onArrive, 2)
	}
}

// handleArrive handles a command whose last byte has reached its backend.
func (sim *Simulation) handleArrive(r *relay) {
	if r.cancelled { // its cancellation came first
		r.state = relayEnded
		return
	}
	b := r.target.atAddress()
	if r.connection != nil && r.connection != b { // the connection leads to the backend before a takeover
		b = r.connection
	}
	r.backend, r.arrivedAt = b, sim.now
	if b.impairment.silent {
		sim.strand(r)
		return
	}
	if !b.alive {
		sim.sendToInstance(r, balance.Reset)
		return
	}
	sim.countColdWork(b, r)
	u, t := &b.impairment, sim.tierConfig(b)
	switch x := sim.backendRand.Float64(); {
	case !b.alive: // this command overloaded it
		sim.sendToInstance(r, balance.Reset)
	case u.Reset > 0 && x < u.Reset/2:
		sim.sendToInstance(r, balance.Reset)
	case u.Refuse > 0 && sim.backendRand.Float64() < u.Refuse, len(b.queue) >= t.Queue && len(b.running)+b.blocked >= t.Slots:
		sim.sendToInstance(r, balance.Full)
	case sim.failsKey(b, r), sim.failsVerb(b, r):
		sim.sendToInstance(r, balance.Errored)
	case u.Errors > 0 && sim.backendRand.Float64() < u.Errors:
		if sim.backendRand.Float64() < 0.5 {
			sim.recordExecution(b, r)
		}
		sim.sendToInstance(r, balance.Errored)
	default:
		r.resetAfterRun = u.Reset > 0 && x < u.Reset
		r.refs++
		if len(b.running)+b.blocked < t.Slots {
			sim.startWork(b, r)
		} else {
			r.state = inQueue
			b.queue = append(b.queue, r)
		}
	}
}

// failsKey tells whether a command fails because of its key, at every backend of the tier.
func (sim *Simulation) failsKey(b *backend, r *relay) bool {
	for _, f := range sim.activeFaults(faults.FailingKeys) {
		if f.Tier == b.tier && f.HitsKey(r.key) {
			return true
		}
	}
	return false
}

// failsVerb tells whether a backend fails a command because of its verb, which other backends execute.
func (sim *Simulation) failsVerb(b *backend, r *relay) bool {
	for i, f := range sim.activeFaults(faults.FailingVerb) {
		if uint64(r.verb) == f.Seed%uint64(len(sim.world.Verbs)) &&
			slices.Contains(sim.targets[i], b) && uniform(r.seed, 21) < f.SeverityAt(sim.now) {
			return true
		}
	}
	return false
}

// startWork starts a command. Its calls split its work into equal parts.
func (sim *Simulation) startWork(b *backend, r *relay) {
	r.startedAt = sim.now
	if t := sim.tierConfig(b); t.CacheSaving > 0 && r.key != 0 {
		k := warmKey{b.tier, b.cell, r.key}
		if usedAt, ok := sim.warmKeys[k]; ok && sim.now < usedAt+t.CacheLifetime {
			r.work *= 1 - t.CacheSaving
		}
		sim.warmKeys[k] = sim.now
	}
	if turn := sim.lockTurn(b, r); turn > sim.now {
		r.state = locked
		r.refs++
		b.lockWaiters = append(b.lockWaiters, r)
		b.blocked++
		sim.schedule(turn, func() { sim.handleLockTurn(b, r); sim.releaseRelay(r) })
		return
	}
	sim.continueWork(b, r)
}

// lockTurn returns the time at which a command gets the lock on its key, or now if it needs none.
func (sim *Simulation) lockTurn(b *backend, r *relay) float64 {
	at := sim.now
	for i, f := range sim.activeFaults(faults.LockedKeys) {
		if f.Tier == b.tier && f.HitsKey(r.key) {
			at = max(at, sim.lockFreeAt[i])
			sim.lockFreeAt[i] = at + f.Hard
		}
	}
	return at
}

// handleLockTurn continues a command that got its lock, unless it was cancelled meanwhile.
func (sim *Simulation) handleLockTurn(b *backend, r *relay) {
	if r.state == locked && sim.removeLockWaiter(b, r) {
		sim.continueWork(b, r)
	}
}

// removeLockWaiter removes a command from those that wait for a lock. It tells whether the backend still had it.
func (sim *Simulation) removeLockWaiter(b *backend, r *relay) bool {
	for i, other := range b.lockWaiters {
		if other == r {
			b.lockWaiters = append(b.lockWaiters[:i], b.lockWaiters[i+1:]...)
			b.blocked--
			return true
		}
	}
	return false
}

// continueWork runs the next part of a command's work.
func (sim *Simulation) continueWork(b *backend, r *relay) {
	b.progress += b.rate * (sim.now - b.progressAt)
	b.progressAt = sim.now
	parts := 1
	if v := &sim.world.Verbs[r.verb]; b.caller != nil && b.tier < len(v.Calls) {
		parts += v.Calls[b.tier]
	}
	r.state, r.finishProgress = working, b.progress+r.work/float64(parts)
	heap.Push(&b.running, r)
	sim.updateRate(b)
}

// countColdWork counts the work that reaches a cold backend, and crashes the backend if it is too much. Each command counts
// as the mean of its verb: no instance can know that a command is a hundred times heavier, and one command is no overload.
func (sim *Simulation) countColdWork(b *backend, r *relay) {
	share, cold := sim.capacityShare(b)
	if !cold {
		return
	}
	work := sim.world.Verbs[r.verb].Work[b.tier]
	rules, capacity := &sim.world.Rules, sim.tierConfig(b).Cores*b.speed*share
	from := r.instance.serial
	if r.target != b { // it was sent to the backend before a takeover: no instance could know
		from = -1
	}
	sim.checker.ColdBackendReached(sim.now, b.serial, from, work, capacity, b.startedAt)
	b.coldArrivals = append(b.coldArrivals, coldArrival{sim.now, work})
	b.coldWork += work
	for b.coldArrivals[0].at < sim.now-rules.ColdWindow {
		b.coldWork -= b.coldArrivals[0].work
		b.coldArrivals = b.coldArrivals[1:]
	}
	if b.coldWork > rules.ColdMultiple*capacity*rules.ColdWindow+coldSlackCommands*work {
		sim.stopBackend(b, false)
		sim.schedule(sim.now+deathDetectionSeconds, func() { sim.announceGone(b) })
	}
}

// handleCancel handles the closing of a command's connection, which reaches the backend and cancels the command.
func (sim *Simulation) handleCancel(r *relay) {
	b := r.backend
	r.cancelled = true
	if r.connection != nil {
		r.connection.closeConnection()
		r.connection = nil
	}
	if b == nil {
		return
	}
	switch r.state {
	case inQueue:
		if !b.impairment.IgnoresCancels {
			sim.dequeue(b, r)
			sim.releaseRelay(r)
		}
	case working:
		if sim.tierConfig(b).CancelStops && !b.impairment.IgnoresCancels {
			b.progress += b.rate * (sim.now - b.progressAt)
			b.progressAt = sim.now
			heap.Remove(&b.running, r.heapIndex)
			r.state = relayEnded
			sim.startQueued(b)
			sim.updateRate(b)
			sim.releaseRelay(r)
		}
	case locked:
		if sim.tierConfig(b).CancelStops && !b.impairment.IgnoresCancels && sim.removeLockWaiter(b, r) {
			r.state = relayEnded
			sim.startQueued(b)
			sim.releaseRelay(r)
		}
	case calling:
		if sim.tierConfig(b).CancelStops && !b.impairment.IgnoresCancels {
			b.blocked--
			r.state = relayEnded
			sim.abandonCall(b.caller, r.callID)
			sim.startQueued(b)
			sim.updateRate(b)
			sim.releaseRelay(r)
		}
	}
}

// dequeue removes a command from the backend's queue.
func (sim *Simulation) dequeue(b *backend, r *relay) {
	for i, other := range b.queue {
		if other == r {
			b.queue = append(b.queue[:i], b.queue[i+1:]...)
			break
		}
	}
	r.state = relayEnded
}

// stopBackend ends a backend's process, whose connections are reset, or if silent disconnects its machine from the network.
func (sim *Simulation) stopBackend(b *backend, silent bool) {
	if !b.alive {
		return
	}
	held := append([]*relay(nil), b.queue...)
	held = append(held, b.running...)
	held = append(held, sim.callingRelays(b)...)
	held = append(held, b.lockWaiters...)
	b.lockWaiters = nil
	b.queue, b.running, b.blocked, b.connections, b.coldArrivals, b.coldWork = nil, nil, 0, 0, nil, 0
	b.alive, b.rate, b.nextFinish = false, 0, math.Inf(1)
	if silent {
		b.impairment.silent = true
	}
	if b.caller != nil {
		sim.killInstance(b.caller)
		b.caller = nil
	}
	for _, inst := range sim.instances {
		if inst.alive && inst.tier == b.tier && !silent {
			inst.dropIdleConnections(b)
		}
	}
	for _, r := range held {
		r.connection = nil
		if silent {
			sim.strand(r)
		} else {
			r.state = returning
			sim.sendToInstance(r, balance.Reset)
		}
		sim.releaseRelay(r)
	}
}

// callingRelays returns the relays at a backend that wait for the next tier, in the order of the calls' slots.
func (sim *Simulation) callingRelays(b *backend) []*relay {
	var all []*relay
	if b.caller == nil {
		return nil
	}
	for _, c := range sim.commands {
		if c.instance == b.caller && c.parent != nil && !c.done && c.parent.state == calling && c.parent.backend == b {
			all = append(all, c.parent)
		}
	}
	return all
}

// restartBackend starts a backend's process again: cold, with the same id.
func (sim *Simulation) restartBackend(b *backend) {
	if b.alive || b.retired {
		return
	}
	b.alive, b.impairment.silent, b.startedAt, b.progressAt, b.progress = true, false, max(sim.now, 1e-9), sim.now, 0
	b.connections = 0
	for _, inst := range sim.instances {
		if inst.alive && inst.tier == b.tier {
			inst.dropIdleConnections(b)
		}
	}
	sim.resetStranded(func(r *relay) bool { return r.backend == b })
	if b.tier+1 < len(sim.world.Tiers) && sim.tierBackends[b.tier][b.position] == b {
		b.caller = sim.newInstance(b.tier+1, b.position, b.zone)
	}
	sim.announce(b, balance.Ready)
}

// replaceBackend replaces a backend by a new one at its position. The old one is drained first; in a takeover it crashes
// instead, and the new one answers at its address.
func (sim *Simulation) replaceBackend(b *backend, takeover bool) {
	if b.retired || sim.tierBackends[b.tier][b.position] != b {
		return
	}
	start := func() {
		replacement := sim.newBackend(b.tier, b.position, b.speed)
		replacement.startedAt = max(sim.now, 1e-9)
		sim.tierBackends[b.tier][b.position] = replacement
		if takeover {
			b.successor = replacement
		}
		if b.tier+1 < len(sim.world.Tiers) {
			replacement.caller = sim.newInstance(b.tier+1, b.position, b.zone)
		}
		sim.announce(replacement, balance.Ready)
	}
	if takeover {
		sim.stopBackend(b, false)
		b.retired = true
		start()
		sim.schedule(sim.now+deathDetectionSeconds, func() { sim.announceGone(b) })
		return
	}
	sim.announce(b, balance.Draining)
	sim.schedule(sim.now+sim.world.Rules.DrainTime, func() {
		sim.stopBackend(b, false)
		b.retired = true
		sim.announceGone(b)
		start()
	})
}

// announceGone announces a backend as gone unless it is running again.
func (sim *Simulation) announceGone(b *backend) {
	if !b.alive {
		sim.announce(b, balance.Gone)
	}
}

// BackendState implements TrueState.
func (inst *instance) BackendState(to balance.BackendID) (open bool, wait, speed, load float64) {
	sim := inst.sim
	b := sim.backendByID(to)
	if b == nil {
		return false, 0, 0, 0
	}
	b = b.atAddress()
	t := sim.tierConfig(b)
	share, _ := sim.capacityShare(b)
	speed = b.speed * share * (1 - b.impairment.Slow)
	held := len(b.running) + b.blocked + len(b.queue)
	if !b.alive || b.impairment.silent || b.impairment.Hang {
		return false, 0, 0, 0
	}
	open = speed > 0 && b.impairment.Errors+b.impairment.Refuse+b.impairment.LoseAnswers < 0.5 &&
		(len(b.queue) < t.Queue || len(b.running)+b.blocked < t.Slots)
	open = open && (float64(b.connections) < float64(t.Connections)*(1-b.impairment.TableFull) || inst.pool(b).idle > 0)
	open = open && sim.reachable(inst.zone, b.zone) && sim.reachable(b.zone, inst.zone)
	work := 0.0
	for i := range sim.world.Verbs {
		work += sim.world.Verbs[i].Work[b.tier]
	}
	work /= float64(len(sim.world.Verbs))
	return open, float64(held) * work / (t.Cores * max(speed, 1e-6)), speed, float64(held) / t.Cores / max(t.OverloadFrom, 1e-6)
}

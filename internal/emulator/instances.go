// Instances and their commands. An instance implements balance.Host for its policy. It must never decide for the policy, nor
// call the policy from within one of the policy's own calls.

package emulator

import (
	"sandpass/balance"
	"sandpass/internal/checker"
	"sandpass/internal/faults"
)

// forgetFlag marks an onLimit event that releases a command which its policy has just ended.
const forgetFlag = 1 << 63

// instance is one running policy. A restart creates a new instance.
type instance struct {
	sim                          *Simulation
	serial, tier, position, zone int
	weight                       float64
	alive, watching              bool
	stalledUntil                 float64 // it is stalled until then
	policy                       Policy
	pools                        []connectionPool // by the backend's serial
	logPosition                  int              // number of entries of its tier's change log that it has received
	updatePending                bool             // an update is scheduled
	nextUpdateWhole              bool             // the next update is a whole list
	answersBeingRead             int              // number of answers that clients are reading
	unreadAnswers                []*relay
}

// command is a command that an instance received and must answer.
type command struct {
	id                     uint64
	slot                   uint32
	generation             uint32
	instance               *instance
	verb, customer         int
	operation              *operation // of the client, in the first tier
	try                    uint32
	parent                 *relay // the relay whose work made the call, in the other tiers
	operationID, seed, key uint64
	receivedAt, expires    float64
	done                   bool
	pendingRelays          int
	relays                 []*relay
}

// newInstance starts an instance at a position of a tier and sends it the backend list.
func (sim *Simulation) newInstance(tier, position, zone int) *instance {
	inst := &instance{sim: sim, serial: len(sim.instances), tier: tier, position: position, zone: zone, weight: 1, alive: true,
		watching: true}
	sim.instances = append(sim.instances, inst)
	sim.tierInstances[tier][position] = inst
	inst.policy = sim.newPolicy(inst, inst, MixSeeds(sim.seed, uint64(inst.serial)), sim.now)
	var customers []balance.Customer
	if tier == 0 {
		rate := sim.world.CommandRate()
		for _, c := range sim.world.Customers {
			customers = append(customers, balance.Customer{Allowance: c.Allowance * rate, PreviousIndex: -1})
		}
	}
	r := &sim.world.Rules
	inst.policy.Configure(sim.now, sim.world.Tick,
		balance.Placement{Index: position, Instances: len(sim.tierInstances[tier]), Tier: tier, Zone: zone},
		sim.verbs, customers, sim.world.Clients.OverageUtility, sim.limits,
		balance.ColdStart{InitialCapacity: r.ColdShare, WarmUp: r.WarmUp, OverloadMultiple: r.ColdMultiple,
			StartError: r.StartTimeError},
		sim.world.Discovery.OnRequest)
	inst.nextUpdateWhole = true
	sim.sendUpdate(inst)
	return inst
}

// killInstance ends an instance at once. The clients of its commands get a reset.
func (sim *Simulation) killInstance(inst *instance) {
	if !inst.alive {
		return
	}
	inst.alive = false
	sim.checker.InstanceKilled(inst.serial)
	if inst.tier == 0 {
		sim.schedule(sim.now+sim.world.Clients.DeathDetection, func() { sim.fronts[inst.zone].remove(inst) })
	}
	for _, c := range sim.commands {
		if c.instance != inst || c.id == 0 {
			continue
		}
		if !c.done && c.operation != nil {
			sim.recordLoss(c, checker.InstanceDied)
			sim.sendReply(c, instanceDied, 0)
		}
		c.done = true
		for _, r := range c.relays {
			if !r.reported {
				r.reported = true
				sim.closeConnection(r)
			}
		}
		c.pendingRelays = 0
		sim.releaseCommand(c)
	}
	for serial, pool := range inst.pools {
		if b := sim.backends[serial]; b != nil && pool.idle > 0 && b.alive {
			b.connections = max(0, b.connections-pool.idle)
		}
	}
	inst.pools = nil
}

// newCommand returns a command of an instance, reused if possible, with a new id.
func (sim *Simulation) newCommand(inst *instance) *command {
	var c *command
	if n := len(sim.freeCommands); n > 0 {
		c = sim.commands[sim.freeCommands[n-1]]
		sim.freeCommands = sim.freeCommands[:n-1]
		*c = command{slot: c.slot, generation: c.generation, relays: c.relays[:0]}
	} else {
		c = &command{slot: uint32(len(sim.commands))}
		sim.commands = append(sim.commands, c)
	}
	c.generation++
	c.id, c.instance, c.receivedAt = uint64(c.generation)<<32|uint64(c.slot), inst, sim.now
	return c
}

// command returns the command with an id, or nil if it has been released.
func (sim *Simulation) command(id uint64) *command {
	slot := uint32(id)
	if int(slot) >= len(sim.commands) || sim.commands[slot].id != id {
		return nil
	}
	return sim.commands[slot]
}

// releaseCommand recycles a command that is done and has no relay pending.
func (sim *Simulation) releaseCommand(c *command) {
	if !c.done || c.pendingRelays > 0 {
		return
	}
	for i, r := range c.relays {
		c.relays[i] = nil
		sim.releaseRelay(r)
	}
	if c.operation != nil {
		sim.releaseOperation(c.operation)
	}
	if c.parent != nil {
		sim.releaseRelay(c.parent)
	}
	c.id, c.operation, c.parent, c.instance = 0, nil, nil, nil
	sim.freeCommands = append(sim.freeCommands, c.slot)
}

// acceptCommand passes a command to its instance's policy.
func (sim *Simulation) acceptCommand(c *command) {
	v := &sim.verbs[c.verb]
	sim.checker.CommandAccepted(sim.now, checker.Command{ID: c.id, Operation: c.operationID, Instance: c.instance.serial,
		Expires: c.expires, Effect: checker.Effect(v.Effect), Scope: checker.Scope(v.Scope), DedupWindow: v.DedupWindow})
	sim.queue.push(onLimit, event{at: c.expires, number: c.id})
	c.instance.policy.CommandReceived(sim.now, c.id, c.verb, c.customer, c.expires-sim.deadlineSkew(c.instance), c.key)
}

// deadlineSkew returns the seconds by which the limits reported to an instance are too short.
func (sim *Simulation) deadlineSkew(inst *instance) (seconds float64) {
	for _, f := range sim.activeFaults(faults.DeadlineSkew) {
		if inst.tier == f.Tier && uniform(f.Seed, uint64(inst.position)) < f.Share {
			seconds = max(seconds, f.Hard)
		}
	}
	return seconds
}

// callNextTier makes a call of a backend's work to the next tier.
func (sim *Simulation) callNextTier(b *backend, r *relay) {
	c := sim.newCommand(b.caller)
	c.verb, c.parent, c.operationID = r.verb, r, c.id
	c.seed, c.key, c.expires = MixSeeds(r.seed, uint64(r.callsMade)), r.key, r.expires
	r.refs++
	r.callID = c.id
	sim.acceptCommand(c)
}

// handleCallEnded continues a backend's work after its call was answered, or fails it.
func (sim *Simulation) handleCallEnded(r *relay, id uint64, answered bool) {
	if r.state != calling || r.callID != id {
		return
	}
	b := r.backend
	b.blocked--
	if answered {
		sim.continueWork(b, r)
		return
	}
	sim.leaveBackend(b, r, balance.Errored)
	sim.updateRate(b)
}

// abandonCall tells an instance that the client or caller of a command has disconnected.
func (sim *Simulation) abandonCall(inst *instance, id uint64) {
	c := sim.command(id)
	if inst == nil || !inst.alive || c == nil || c.done {
		return
	}
	if inst.stalledUntil > sim.now {
		sim.schedule(inst.stalledUntil, func() { sim.abandonCall(inst, id) })
		return
	}
	c.done = true
	sim.checker.ClientDisconnected(id)
	inst.policy.ClientDisconnected(sim.now, id)
	sim.releaseCommand(c)
}

// handleDeadline handles a command's time limit: pending relays have timed out.
func (sim *Simulation) handleDeadline(id uint64) {
	if id&forgetFlag != 0 {
		if c := sim.command(id &^ forgetFlag); c != nil {
			sim.releaseCommand(c)
		}
		return
	}
	c := sim.command(id)
	if c == nil {
		return
	}
	inst := c.instance
	for n := 0; n < len(c.relays) && c.id == id; n++ {
		if r := c.relays[n]; !r.reported {
			r.reported = true
			r.loss, r.lossKnown = sim.pendingRelayLoss(r), true
			sim.closeConnection(r)
			sim.finishReading(r)
			sim.reportOutcome(inst, c, r, balance.TimedOut)
		}
	}
}

// deliverOutcome handles the outcome or the cancellation of a relay at the instance.
func (sim *Simulation) deliverOutcome(r *relay, cancel bool) {
	if r.reported || !cancel && r.result == balance.Answered && sim.startReading(r) {
		return
	}
	r.reported = true
	if cancel {
		sim.finishReading(r)
	}
	result := r.result
	switch {
	case cancel:
		result = balance.Cancelled
		r.loss, r.lossKnown = sim.pendingRelayLoss(r), true
		sim.closeConnection(r)
	case result == balance.Answered || result == balance.Errored || result == balance.Full:
		r.state = relayEnded
		if r.instance.alive {
			sim.returnConnection(r)
		}
	default:
		r.state = relayEnded
		if r.connection != nil {
			r.connection.closeConnection()
			r.connection = nil
		}
	}
	if c := sim.command(r.command); c != nil && r.instance.alive {
		sim.reportOutcome(r.instance, c, r, result)
	}
}

// startReading has a slow client read an answer, which occupies one of its instance's answer slots. While all slots are in
// use every answer waits. It tells whether the answer must wait.
func (sim *Simulation) startReading(r *relay) bool {
	inst, c := r.instance, sim.command(r.command)
	if inst.tier > 0 || sim.world.Rules.AnswerSlots == 0 || c == nil || c.done || !inst.alive || r.readingChecked {
		return false
	}
	if inst.answersBeingRead >= sim.world.Rules.AnswerSlots {
		r.refs++
		inst.unreadAnswers = append(inst.unreadAnswers, r)
		return true
	}
	readSeconds := 0.0
	for _, f := range sim.activeFaults(faults.SlowReaders) {
		if uniform(c.seed, 20) < f.Share {
			readSeconds = max(readSeconds, f.Hard)
		}
	}
	if r.readingChecked = true; readSeconds == 0 {
		return false
	}
	inst.answersBeingRead++
	r.beingRead = true
	r.refs++
	sim.schedule(sim.now+readSeconds, func() {
		if sim.finishReading(r) && !r.reported {
			sim.deliverOutcome(r, false)
		}
		sim.releaseRelay(r)
	})
	return true
}

// finishReading frees the slot of an answer that has been read or is not wanted any more.
func (sim *Simulation) finishReading(r *relay) bool {
	if !r.beingRead {
		return false
	}
	inst := r.instance
	r.beingRead = false
	inst.answersBeingRead--
	for len(inst.unreadAnswers) > 0 && inst.alive && inst.answersBeingRead < sim.world.Rules.AnswerSlots {
		next := inst.unreadAnswers[0]
		inst.unreadAnswers = inst.unreadAnswers[1:]
		if !next.reported {
			sim.deliverOutcome(next, false)
		}
		sim.releaseRelay(next)
	}
	return true
}

// closeConnection removes one connection from the connection table.
func (b *backend) closeConnection() { b.connections = max(0, b.connections-1) }

// reportOutcome reports a relay's outcome to the checker and the policy.
func (sim *Simulation) reportOutcome(inst *instance, c *command, r *relay, result balance.Result) {
	r.result = result
	c.pendingRelays--
	sim.checker.RelayEnded(c.id, r.number, result.NeverRan())
	final := c.done
	if result == balance.Answered && !c.done {
		final = true
		sim.checker.CommandEnded(sim.now, c.id, false, true, r.executed)
		sim.completeCommand(c, answered, 0, sim.slowestPhase(c, r))
	}
	inst.policy.RelayEnded(sim.now, c.id, r.number, result, sim.now-r.sentAt, final,
		balance.LoadReport{Active: -1, Waiting: -1, CPU: -1, Latency: -1})
	sim.releaseCommand(c)
}

// completeCommand passes the final answer on to the calling relay or the client.
func (sim *Simulation) completeCommand(c *command, kind replyKind, retryAfter float64, loss checker.Loss) {
	c.done = true
	if c.parent != nil {
		if kind != answered {
			c.parent.loss, c.parent.lossKnown = loss, true
		}
		ok := int32(0)
		if kind == answered {
			ok = 1
		}
		c.parent.refs++
		sim.queue.push(onCallEnded, event{at: sim.now, relay: c.parent, number: c.id, argument: ok})
		return
	}
	if c.try == c.operation.try {
		c.operation.loss = loss
	}
	if kind == declined && len(c.relays) == 0 && sim.now-c.receivedAt > (c.expires-c.receivedAt)/2 && c.operation.measured {
		sim.checker.DeclinedLate(c.operation.utility)
	}
	sim.sendReply(c, kind, retryAfter)
}

// recordLoss records the place and cause of a command's loss at its operation, if it is the operation's current try.
func (sim *Simulation) recordLoss(c *command, cause checker.LossCause) {
	if c.try == c.operation.try {
		loss := sim.commandLoss(c)
		loss.Cause = cause
		c.operation.loss = loss
	}
}

// ---- balance.Host

// Relay implements balance.Host.
func (inst *instance) Relay(id uint64, to balance.BackendID) {
	sim := inst.sim
	b, c := sim.backendByID(to), sim.command(id)
	if b == nil || c == nil || c.instance != inst {
		sim.checker.RelaySent(sim.now, id, -1, -1, -1, false)
		return
	}
	sim.checker.RelaySent(sim.now, id, b.serial, b.zone, b.cell, b.zone != inst.zone)
	r := sim.newRelay()
	sim.lastSerial++
	r.refs, r.serial, r.command, r.number, r.instance, r.target = 1, sim.lastSerial, id, len(c.relays), inst, b
	r.operationID, r.seed, r.verb, r.sentAt, r.key, r.expires = c.operationID, c.seed, c.verb, sim.now, c.key, c.expires
	r.work = DrawWork(&sim.world.Verbs[c.verb], c.seed, inst.tier)
	c.relays = append(c.relays, r)
	c.pendingRelays++
	if c.done || len(c.relays) > sim.world.Rules.MaxRelays || sim.now >= c.expires {
		r.state = relayEnded
		sim.scheduleOutcome(r, sim.now, balance.NotSent)
		return
	}
	if pool := inst.pool(b); pool.idle > 0 {
		pool.idle--
		r.connection = b
		if sim.idleReset(pool) {
			sim.scheduleOutcome(r, sim.now+sim.delay(inst.zone, b.zone)+sim.delay(b.zone, inst.zone), balance.Reset)
			return
		}
		sim.sendToBackend(r, onArrive, 1)
		return
	}
	r.state = connecting
	sim.checker.ConnectionOpened(sim.now, b.serial)
	sim.sendToBackend(r, onConnect, 1)
}

// Cancel implements balance.Host.
func (inst *instance) Cancel(id uint64, n int) {
	c := inst.sim.command(id)
	if c == nil || n < 0 || n >= len(c.relays) || c.relays[n].reported {
		return
	}
	r := c.relays[n]
	r.refs++
	inst.sim.queue.push(onAnswer, event{at: inst.sim.now, relay: r, generation: 1})
}

// CancelUndelivered implements balance.Host. It does nothing: the simulated network delivers a relay whole.
func (inst *instance) CancelUndelivered(uint64, int) {}

// Decline implements balance.Host.
func (inst *instance) Decline(id uint64, retryAfter float64) {
	inst.endCommand(id, declined, retryAfter)
}

// Terminate implements balance.Host.
func (inst *instance) Terminate(id uint64) { inst.endCommand(id, terminated, 0) }

// endCommand ends a command with a final answer that carries no result.
func (inst *instance) endCommand(id uint64, kind replyKind, retryAfter float64) {
	sim := inst.sim
	c := sim.command(id)
	if c == nil || c.done || c.instance != inst {
		return
	}
	sim.checker.CommandEnded(sim.now, id, kind == declined, false, false)
	loss := sim.commandLoss(c)
	switch {
	case kind == declined:
		loss.Cause = checker.Declined
	case sim.now >= c.expires-2*sim.world.Tick:
		loss.Cause = checker.TimedOut
	default:
		loss.Cause = checker.Terminated
	}
	sim.completeCommand(c, kind, retryAfter, loss)
	if c.pendingRelays == 0 {
		// Released by an event and not within the policy's call, which may still refer to this command.
		sim.queue.push(onLimit, event{at: sim.now, number: forgetFlag | c.id})
	}
}

// StartTimer implements balance.Host.
func (inst *instance) StartTimer(seconds float64, token uint64) {
	inst.sim.queue.push(onTimer, event{at: inst.sim.now + max(0, seconds), number: token, argument: int32(inst.serial)})
}

// StopTimer implements balance.Host: on the platform's wire a timer can't be withdrawn.
func (inst *instance) StopTimer(uint64) {}

// SendToPeer implements balance.Host.
func (inst *instance) SendToPeer(to int, message []byte) {
	sim := inst.sim
	sim.checker.MessageSent()
	if to < 0 || to >= len(sim.tierInstances[inst.tier]) || len(message) > 256 {
		return
	}
	peer := sim.tierInstances[inst.tier][to]
	if peer == nil || !sim.reachable(inst.zone, peer.zone) {
		return
	}
	at := sim.delay(inst.zone, peer.zone)
	if at >= sim.world.Net.RetransmitDelay { // a lost datagram is not retransmitted
		return
	}
	if _, f := sim.activeFault(faults.ReorderMessages); f.Hard > 0 {
		if sim.networkRand.Float64() < f.SeverityAt(sim.now) {
			sim.scheduleMessage(inst, peer, message, at+reorderDelaySeconds*sim.networkRand.Float64()) // a duplicate
		}
		if sim.networkRand.Float64() < f.SeverityAt(sim.now) {
			at += reorderDelaySeconds
		}
	}
	sim.scheduleMessage(inst, peer, message, at)
}

const reorderDelaySeconds = 0.02 // added delay of a message that others overtake

// scheduleMessage schedules the arrival of a message.
func (sim *Simulation) scheduleMessage(inst, peer *instance, message []byte, after float64) {
	n := len(sim.messages)
	if k := len(sim.freeMessages); k > 0 {
		n, sim.freeMessages = sim.freeMessages[k-1], sim.freeMessages[:k-1]
	} else {
		sim.messages, sim.messageRoutes = append(sim.messages, nil), append(sim.messageRoutes, messageRoute{})
	}
	sim.messages[n] = append(sim.messages[n][:0], message...)
	sim.messageRoutes[n] = messageRoute{inst.position, peer}
	sim.queue.push(onMessage, event{at: sim.now + after, number: uint64(n)})
}

// messageRoute is the sender's position and the receiver of a message.
type messageRoute struct {
	fromPosition int
	to           *instance
}

// handleMessage delivers a message that arrives.
func (sim *Simulation) handleMessage(n int) {
	route := sim.messageRoutes[n]
	if route.to.alive {
		route.to.policy.MessageReceived(sim.now, route.fromPosition, sim.messages[n])
	}
	sim.freeMessages = append(sim.freeMessages, n)
}

// ---- Cause and place of losses

// commandLoss returns the place where a command is, or was lost.
func (sim *Simulation) commandLoss(c *command) checker.Loss {
	loss := checker.Loss{Place: checker.Instance, Tier: c.instance.tier}
	if len(c.relays) == 0 {
		return loss
	}
	last := c.relays[len(c.relays)-1]
	for _, r := range c.relays {
		if !r.reported {
			last = r
		}
	}
	if !last.reported {
		return sim.pendingRelayLoss(last)
	}
	return sim.endedRelayLoss(last)
}

// pendingRelayLoss returns the place where a pending relay is now.
func (sim *Simulation) pendingRelayLoss(r *relay) checker.Loss {
	loss := checker.Loss{Tier: r.target.tier}
	switch r.state {
	case connecting:
		loss.Place = checker.Connecting
	case inQueue:
		loss.Place = checker.Queue
	case working:
		if loss.Place = checker.Work; r.backend.impairment.Hang {
			loss.Place = checker.Hung
		}
	case calling:
		if c := sim.command(r.callID); c != nil {
			return sim.commandLoss(c)
		}
		loss.Place = checker.Work
	case stranded:
		if loss.Place = checker.Hung; r.partitioned {
			loss.Place = checker.Network
		}
	default:
		loss.Place = checker.Network
	}
	return loss
}

// endedRelayLoss returns the place at which a relay that has ended without an answer failed.
func (sim *Simulation) endedRelayLoss(r *relay) checker.Loss {
	if r.lossKnown {
		return r.loss
	}
	loss := checker.Loss{Tier: r.target.tier}
	switch r.result {
	case balance.Full:
		loss.Place = checker.Refused
	case balance.ConnectFailed:
		loss.Place = checker.Connecting
	case balance.Errored:
		loss.Place = checker.BackendFailed
	default:
		loss.Place = checker.Network
	}
	return loss
}

// slowestPhase returns the place where a command that r answered spent most of its time.
func (sim *Simulation) slowestPhase(c *command, r *relay) checker.Loss {
	loss := checker.Loss{Cause: checker.Late, Place: checker.Instance, Tier: c.instance.tier}
	most := r.sentAt - c.receivedAt
	for _, phase := range []struct {
		took  float64
		where checker.LossPlace
	}{
		{r.arrivedAt - r.sentAt, checker.Connecting}, {r.startedAt - r.arrivedAt, checker.Queue},
		{r.endedAt - r.startedAt, checker.Work}, {sim.now - r.endedAt, checker.Network},
	} {
		if phase.took > most {
			most, loss.Place = phase.took, phase.where
		}
	}
	return loss
}

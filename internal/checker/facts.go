package checker

import (
	"slices"
)

// CommandAccepted records that a live instance received a command. From now on it owes the command one final answer.
func (c *Checker) CommandAccepted(at float64, command Command) {
	if _, ok := c.open[command.ID]; ok {
		c.violated(OneAnswer, at, "id %x is used twice: the reports to the checker are wrong", command.ID)
		return
	}
	c.report.Commands++
	var cmd *openCommand
	if n := len(c.free); n > 0 {
		cmd, c.free = c.free[n-1], c.free[:n-1]
		*cmd = openCommand{relays: cmd.relays[:0]}
	} else {
		cmd = &openCommand{}
	}
	cmd.Command = command
	if c.config.BudgetWindow > 0 {
		c.commandTimes[command.Instance] = append(c.commandTimes[command.Instance], at)
	}
	c.open[command.ID] = cmd
}

// RelaySent records a relay to the backend that the instance named, and whether it crosses zones.
func (c *Checker) RelaySent(at float64, id uint64, backend, zone, cell int, crosses bool) {
	c.report.Relays++
	c.countPerSecond(c.report.RelaysByBackend, backend, at)
	if crosses {
		c.report.ZoneCrossings++
	}
	cmd := c.open[id]
	if cmd == nil {
		c.violated(OneAnswer, at, "a relay for command %x, which is not open", id)
		return
	}
	if cmd.ended {
		c.violated(OneAnswer, at, "instance %d relays command %x after its final answer", cmd.Instance, id)
	}
	if since, ok := c.drainedAt[instanceBackend{cmd.Instance, backend}]; ok && at > since+c.config.DrainGrace {
		c.violated(DrainKept, at, "instance %d sends request %x to backend %d, %.0f ms after word that it drains or is gone",
			cmd.Instance, id, backend, 1000*(at-since))
	}
	if len(cmd.relays) > 0 {
		c.report.FurtherRelays++
		c.checkBudget(at, cmd)
	}
	c.checkFurtherRelay(at, cmd, backend, zone, cell)
	cmd.relays = append(cmd.relays, relay{zone, cell, at, false, true, backend})
	cmd.pending++
}

// checkBudget counts one further relay of an instance and checks the budget. Relays that turn out to be unnecessary count
// as well, which is stricter than the rule.
func (c *Checker) checkBudget(at float64, cmd *openCommand) {
	if c.config.BudgetWindow <= 0 {
		return
	}
	recent := func(times []float64) []float64 {
		i, _ := slices.BinarySearch(times, at-c.config.BudgetWindow)
		return times[i:]
	}
	i := cmd.Instance
	c.commandTimes[i], c.furtherRelayTimes[i] = recent(c.commandTimes[i]), append(recent(c.furtherRelayTimes[i]), at)
	if sent, allowed := float64(len(c.furtherRelayTimes[i])),
		c.config.FreeRelays+c.config.FreeRelayRatio*float64(len(c.commandTimes[i])); sent > allowed {
		c.violated(RelayBudget, at, "instance %d sends %.0f further relays in %.3g s, where %.1f are allowed", i, sent,
			c.config.BudgetWindow, allowed)
	}
}

// checkFurtherRelay checks a relay beyond a command's first against the rule that no effect takes place twice.
func (c *Checker) checkFurtherRelay(at float64, cmd *openCommand, backend, zone, cell int) {
	first := slices.IndexFunc(cmd.relays, func(r relay) bool { return !r.neverRan })
	if first < 0 {
		return
	}
	if !c.config.Hedges && slices.ContainsFunc(cmd.relays, func(r relay) bool { return r.pending }) {
		c.violated(NoDoubleEffect, at, "instance %d has two relays of command %x pending where that is not allowed", cmd.Instance,
			cmd.ID)
	}
	firstRelay := cmd.relays[first]
	switch {
	case cmd.Effect == Effectful:
		c.violated(NoDoubleEffect, at,
			"instance %d relays effectful command %x to backend %d while relay %d to backend %d may have run",
			cmd.Instance, cmd.ID, backend, first, firstRelay.backend)
	case cmd.Effect == Receipted && at > firstRelay.sentAt+cmd.DedupWindow:
		c.violated(NoDoubleEffect, at, "instance %d relays receipted command %x %.3f s after relay %d, its window is %.3f s",
			cmd.Instance, cmd.ID, at-firstRelay.sentAt, first, cmd.DedupWindow)
	case cmd.Effect == Receipted && (cmd.Scope == ScopeZone && zone != firstRelay.zone ||
		cmd.Scope == ScopeCell && cell != firstRelay.cell):
		c.violated(NoDoubleEffect, at, "instance %d relays receipted command %x to backend %d, outside of the group of relay %d",
			cmd.Instance, cmd.ID, backend, first)
	}
}

// RelayEnded records that an instance learned how a relay ended, and whether that proves that the backend did not execute it.
func (c *Checker) RelayEnded(id uint64, number int, neverRan bool) {
	if cmd := c.open[id]; cmd != nil && number < len(cmd.relays) && cmd.relays[number].pending {
		cmd.relays[number].pending, cmd.relays[number].neverRan = false, neverRan
		cmd.pending--
		c.release(cmd)
	}
}

// CommandEnded records a command's final answer. declined says whether it promised that a repeat is harmless, answered
// whether it carries an answer, and executed whether a backend produced one.
func (c *Checker) CommandEnded(at float64, id uint64, declined, answered, executed bool) {
	cmd := c.open[id]
	if cmd == nil {
		c.violated(OneAnswer, at, "a final answer for command %x, which is not open", id)
		return
	}
	if cmd.ended {
		c.violated(OneAnswer, at, "command %x at instance %d gets a second final answer", id, cmd.Instance)
		return
	}
	if at > cmd.Expires+c.config.AnswerSlack+c.config.DeadlineError {
		c.violated(OneAnswer, at, "request %x at instance %d has its final answer %.0f ms after its limit",
			id, cmd.Instance, 1000*(at-cmd.Expires))
	}
	if answered && !executed {
		c.violated(OneAnswer, at, "command %x at instance %d is answered with what no backend made", id, cmd.Instance)
	}
	if declined && cmd.Effect != Pure && !(cmd.Effect == Receipted && cmd.Scope == ScopeAll) {
		if i := slices.IndexFunc(cmd.relays, func(r relay) bool { return !r.neverRan }); i >= 0 {
			c.violated(NoDoubleEffect, at, "instance %d declines command %x while relay %d to backend %d may have run",
				cmd.Instance, id, i, cmd.relays[i].backend)
		}
	}
	cmd.ended = true
	c.release(cmd)
}

// ClientDisconnected records that the client of a command left, so that no answer is owed any more.
func (c *Checker) ClientDisconnected(id uint64) {
	if cmd := c.open[id]; cmd != nil {
		cmd.ended = true
		c.release(cmd)
	}
}

// release recycles a command that has ended and has no relay pending.
func (c *Checker) release(cmd *openCommand) {
	if cmd.ended && cmd.pending == 0 {
		delete(c.open, cmd.ID)
		c.free = append(c.free, cmd)
	}
}

// InstanceStalled records that an instance was stalled from one time to another through no fault of its own. Answers that
// were due in between are due when it resumes.
func (c *Checker) InstanceStalled(instance int, from, to float64) {
	for _, cmd := range c.open { // the order does not matter: each is independent
		if cmd.Instance == instance && cmd.Expires > from-c.config.AnswerSlack {
			cmd.Expires = max(cmd.Expires, to)
		}
	}
}

// InstanceKilled records that an instance was killed. It owes no answers any more, and what it was informed of is lost.
func (c *Checker) InstanceKilled(instance int) {
	for id, cmd := range c.open { // the order does not matter: each is independent
		if cmd.Instance == instance {
			delete(c.open, id)
		}
	}
	for p := range c.drainedAt {
		if p.instance == instance {
			delete(c.drainedAt, p)
		}
	}
	for p := range c.startTimes {
		if p.instance == instance {
			delete(c.startTimes, p)
		}
	}
}

// BackendUpdateReceived records what an instance was informed of a backend: whether it is ready, and when it started.
func (c *Checker) BackendUpdateReceived(at float64, instance, backend int, ready bool, started float64) {
	p := instanceBackend{instance, backend}
	if ready {
		delete(c.drainedAt, p)
	} else if _, ok := c.drainedAt[p]; !ok {
		c.drainedAt[p] = at
	}
	if started > 0 {
		c.startTimes[p] = started
	}
}

// EffectExecuted records that the effect of an operation took place at a backend, whatever becomes of the answer. The window
// in which repeats are dropped is measured between the times at which the relays were sent.
func (c *Checker) EffectExecuted(at, sent float64, operation uint64, effect Effect, scope Scope, window float64, zone, cell int) {
	if effect == Pure {
		return
	}
	r, before := c.executions[operation]
	if before && (effect == Effectful || sent > r.sent+window || scope == ScopeZone && zone != r.zone || scope == ScopeCell &&
		cell != r.cell) {
		c.violated(NoDoubleEffect, at, "the effect of operation %x took place twice, first at %.4f s", operation, r.at)
	}
	if !before {
		c.executions[operation] = execution{at: at, sent: sent, zone: zone, cell: cell}
	}
}

// ColdBackendReached records work that reached a cold backend. capacity is the work per second that it can do now.
func (c *Checker) ColdBackendReached(at float64, backend, instance int, work, capacity, started float64) {
	load := c.coldLoads[backend]
	if load == nil {
		load = &warmUpLoad{}
		c.coldLoads[backend] = load
	}
	c.coldWork, c.coldCommands = c.coldWork+work, c.coldCommands+1
	informed := c.startTimes[instanceBackend{instance, backend}] >= started
	load.recent = append(load.recent, arrival{at, work, informed})
	load.work += work
	if informed {
		load.informed += work
	}
	for load.recent[0].at < at-c.config.ColdWindow {
		load.work -= load.recent[0].work
		if load.recent[0].informed {
			load.informed -= load.recent[0].work
		}
		load.recent = load.recent[1:]
	}
	over := load.work > c.config.ColdMultiple*capacity*c.config.ColdWindow+coldSlackCommands*c.coldWork/c.coldCommands
	if over && !load.over && load.informed >= informedShare*load.work {
		c.violated(ColdProtected, at,
			"backend %d, %.2f s after its start, got %.3f s of work within %.2f s; its maximum is %.3f s",
			backend, at-started, load.work, c.config.ColdWindow, c.config.ColdMultiple*capacity*c.config.ColdWindow)
	}
	load.over = over
}

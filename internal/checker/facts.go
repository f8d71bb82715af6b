package checker

import (
	"slices"
)

// Accepted is told that a live instance has a request, and owes it one final answer.
func (c *Checker) CommandAccepted(at float64, request Command) {
	if _, ok := c.taken[request.ID]; ok {
		c.broken(OneAnswer, at, "id %x is given twice: the world that reports is wrong", request.ID)
		return
	}
	c.a.Commands++
	var t *openRequest
	if n := len(c.spare); n > 0 {
		t, c.spare = c.spare[n-1], c.spare[:n-1]
		*t = openRequest{attempts: t.attempts[:0]}
	} else {
		t = &openRequest{}
	}
	t.Command = request
	if c.terms.BudgetWindow > 0 {
		c.came[request.Instance] = append(c.came[request.Instance], at)
	}
	c.taken[request.ID] = t
}

// AttemptSent is told of a attempt to a backend as the instance named it.
func (c *Checker) RelaySent(at float64, id uint64, backend, zone, cell int, crosses bool) {
	c.a.Relays++
	c.tick(c.a.RelaysByBackend, backend, at)
	if crosses {
		c.a.ZoneCrossings++
	}
	t := c.taken[id]
	if t == nil {
		c.broken(OneAnswer, at, "an attempt for request %x, which is not open", id)
		return
	}
	if t.ended {
		c.broken(OneAnswer, at, "instance %d sends request %x after its final answer", t.Instance, id)
	}
	if since, ok := c.out[instanceBackend{t.Instance, backend}]; ok && at > since+c.terms.DrainGrace {
		c.broken(DrainKept, at, "instance %d sends request %x to backend %d, %.0f ms after word that it drains or is gone",
			t.Instance, id, backend, 1000*(at-since))
	}
	if len(t.attempts) > 0 {
		c.a.FurtherRelays++
		c.budget(at, t)
	}
	c.again(at, t, backend, zone, cell)
	t.attempts = append(t.attempts, attempt{zone, cell, at, false, true, backend})
	t.outs++
}

// budget counts one more retry or hedge of an instance. Moot ones count as well, which is stricter than the rule.
func (c *Checker) budget(at float64, t *openRequest) {
	if c.terms.BudgetWindow <= 0 {
		return
	}
	recent := func(all []float64) []float64 {
		i, _ := slices.BinarySearch(all, at-c.terms.BudgetWindow)
		return all[i:]
	}
	i := t.Instance
	c.came[i], c.further[i] = recent(c.came[i]), append(recent(c.further[i]), at)
	if sent, may := float64(len(c.further[i])), c.terms.FreeRelays+c.terms.FreeRelayRatio*float64(len(c.came[i])); sent > may {
		c.broken(RelayBudget, at, "instance %d makes %.0f retries and hedges in %.3g s, where %.1f are allowed", i, sent, c.terms.BudgetWindow, may)
	}
}

// again holds a retry or hedge to the rule on effects.
func (c *Checker) again(at float64, t *openRequest, backend, zone, cell int) {
	first := slices.IndexFunc(t.attempts, func(s attempt) bool { return !s.proven })
	if first < 0 {
		return
	}
	if !c.terms.SecondCopies && slices.ContainsFunc(t.attempts, func(s attempt) bool { return s.out }) {
		c.broken(NoDoubleEffect, at, "instance %d has two attempts of request %x out where that is not allowed", t.Instance, t.ID)
	}
	f := t.attempts[first]
	switch {
	case t.Effect == Effectful:
		c.broken(NoDoubleEffect, at, "instance %d sends non-idempotent request %x to backend %d while attempt %d to backend %d may have run",
			t.Instance, t.ID, backend, first, f.backend)
	case t.Effect == Receipted && at > f.at+t.DedupWindow:
		c.broken(NoDoubleEffect, at, "instance %d sends deduplicated request %x %.3f s after attempt %d, its window is %.3f s",
			t.Instance, t.ID, at-f.at, first, t.DedupWindow)
	case t.Effect == Receipted && (t.Scope == ScopeZone && zone != f.zone || t.Scope == ScopeCell && cell != f.cell):
		c.broken(NoDoubleEffect, at, "instance %d sends deduplicated request %x to backend %d, outside of the group of attempt %d",
			t.Instance, t.ID, backend, first)
	}
}

// AttemptEnded is told that an instance has heard how a attempt ended, and whether that proves it never ran.
func (c *Checker) RelayEnded(id uint64, relay int, never bool) {
	if t := c.taken[id]; t != nil && relay < len(t.attempts) && t.attempts[relay].out {
		t.attempts[relay].out, t.attempts[relay].proven = false, never
		t.outs--
		c.forget(t)
	}
}

// RequestEnded is told of a request's final answer: rejected says whether it promised that trying again is harmless, and
// made whether a backend made an answer for it.
func (c *Checker) CommandEnded(at float64, id uint64, declined, answered, made bool) {
	t := c.taken[id]
	if t == nil {
		c.broken(OneAnswer, at, "a final answer for request %x, which is not open", id)
		return
	}
	if t.ended {
		c.broken(OneAnswer, at, "request %x at instance %d gets a second final answer", id, t.Instance)
		return
	}
	if at > t.Expires+c.terms.AnswerSlack+c.terms.DeadlineError {
		c.broken(OneAnswer, at, "request %x at instance %d has its final answer %.0f ms after its limit",
			id, t.Instance, 1000*(at-t.Expires))
	}
	if answered && !made {
		c.broken(OneAnswer, at, "request %x at instance %d is answered with what no backend made", id, t.Instance)
	}
	if declined && t.Effect != Pure && !(t.Effect == Receipted && t.Scope == ScopeAll) {
		if i := slices.IndexFunc(t.attempts, func(s attempt) bool { return !s.proven }); i >= 0 {
			c.broken(NoDoubleEffect, at, "instance %d rejects request %x while attempt %d to backend %d may have run",
				t.Instance, id, i, t.attempts[i].backend)
		}
	}
	t.ended = true
	c.forget(t)
}

// ClientLeft is told that nothing is owed for a request any more.
func (c *Checker) ClientDisconnected(id uint64) {
	if t := c.taken[id]; t != nil {
		t.ended = true
		c.forget(t)
	}
}

func (c *Checker) forget(t *openRequest) {
	if t.ended && t.outs == 0 {
		delete(c.taken, t.ID)
		c.spare = append(c.spare, t)
	}
}

// Stalled is told that an instance stalled from one time to another, by no doing of its own: what it owes by then is
// due when it goes on.
func (c *Checker) InstanceStalled(instance int, from, to float64) {
	for _, t := range c.taken { // each by itself, so no order is needed
		if t.Instance == instance && t.Expires > from-c.terms.AnswerSlack {
			t.Expires = max(t.Expires, to)
		}
	}
}

// InstanceKilled is told that an instance is no more: what it held is its clients' affair, and what it knew is gone.
func (c *Checker) InstanceKilled(instance int) {
	for id, t := range c.taken { // no order is needed: each is judged by itself
		if t.Instance == instance {
			delete(c.taken, id)
		}
	}
	for p := range c.out {
		if p.instance == instance {
			delete(c.out, p)
		}
	}
	for p := range c.starts {
		if p.instance == instance {
			delete(c.starts, p)
		}
	}
}

// EndpointReceived is told that an instance was told of a backend: whether it is ready, and when it started.
func (c *Checker) BackendUpdateReceived(at float64, instance, backend int, ready bool, started float64) {
	p := instanceBackend{instance, backend}
	if ready {
		delete(c.out, p)
	} else if _, ok := c.out[p]; !ok {
		c.out[p] = at
	}
	if started > 0 {
		c.starts[p] = started
	}
}

// Executed is told that a request's effect took place at a backend, whatever becomes of the answer. The window in which
// repeats are dropped is one of sends.
func (c *Checker) EffectExecuted(at, sent float64, op uint64, e Effect, s Scope, span float64, zone, cell int) {
	if e == Pure {
		return
	}
	r, before := c.effect[op]
	if before && (e == Effectful || sent > r.sent+span || s == ScopeZone && zone != r.zone || s == ScopeCell && cell != r.cell) {
		c.broken(NoDoubleEffect, at, "the effect of operation %x took place twice, first at %.4f s", op, r.at)
	}
	if !before {
		c.effect[op] = execution{at: at, sent: sent, zone: zone, cell: cell}
	}
}

// ReachedWarmingUp is told of work that reached a backend that is cold: capacity is what it can do just now.
func (c *Checker) ColdBackendReached(at float64, backend, instance int, work, capacity, started float64) {
	load := c.cold[backend]
	if load == nil {
		load = &warmUpLoad{}
		c.cold[backend] = load
	}
	c.work, c.works = c.work+work, c.works+1
	told := c.starts[instanceBackend{instance, backend}] >= started
	load.recent = append(load.recent, arrival{at, work, told})
	load.work += work
	if told {
		load.informed += work
	}
	for load.recent[0].at < at-c.terms.ColdWindow {
		load.work -= load.recent[0].work
		if load.recent[0].told {
			load.informed -= load.recent[0].work
		}
		load.recent = load.recent[1:]
	}
	over := load.work > c.terms.ColdMultiple*capacity*c.terms.ColdWindow+coldSlack*c.work/c.works
	if over && !load.over && load.informed >= toldPart*load.work {
		c.broken(ColdProtected, at, "backend %d, %.2f s after its start, got %.3f s of work within %.2f s; it bears %.3f s",
			backend, at-started, load.work, c.terms.ColdWindow, c.terms.ColdMultiple*capacity*c.terms.ColdWindow)
	}
	load.over = over
}

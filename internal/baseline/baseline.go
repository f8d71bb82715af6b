// Package baseline provides simple load balancing policies on the same Host interface as balance.Balancer, for comparison.
//
// All keep the four rules: no relays to draining backends, no effect twice, one final answer in time, and no relays to cold
// backends while a warm one is usable. They differ in how they choose a backend. They must not be used in production, and
// must not grow into a second implementation of the balancer.
package baseline

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"sandpass/balance"
	"sandpass/internal/emulator"
)

// Oracle is the name, in experiments and results, of the policy that knows the true state of the backends.
const Oracle = "top"

const (
	terminateTicks    = 2.0  // ticks before its limit at which a command is terminated
	retryAfterShare   = 0.5  // share of the response goal that a declined client is advised to wait
	oraclePollSeconds = 0.02 // interval at which the oracle checks its pending relays
	lowUtilityShare   = 0.6  // share of a backend's efficient load that the oracle gives to commands of no utility
)

// policies lists all policies in the order in which they are shown.
var policies = []struct {
	name        string
	description string
	factory     emulator.PolicyFactory
}{
	{"module", "the decision module as it is", func(h balance.Host, _ emulator.TrueState, seed uint64, now float64) emulator.Policy {
		return balance.New(h, seed, now)
	}},
	{"nocopies", "the module without second copies",
		func(h balance.Host, _ emulator.TrueState, seed uint64, now float64) emulator.Policy {
			return &changedLimits{balance.New(h, seed, now), func(l *balance.Limits) { l.Hedges = false }}
		}},
	{"fixed", "the module with shares by all siblings there should be, whoever is there",
		func(h balance.Host, _ emulator.TrueState, seed uint64, now float64) emulator.Policy {
			return &changedLimits{balance.New(h, seed, now), func(l *balance.Limits) { l.FixedInstances = true }}
		}},
	{"random", "any backend", plainFactory(random)},
	{"robin", "one after another", plainFactory(roundRobin)},
	{"least", "the least own commands out", plainFactory(leastPending)},
	{"two", "the better of two drawn, by own commands out", plainFactory(twoChoices)},
	{Oracle, "sees the true state of all backends", plainFactory(oracle)},
}

// Names returns the names of all policies.
func Names() []string {
	var all []string
	for _, policy := range policies {
		all = append(all, policy.name)
	}
	return all
}

// Describe returns a one-line description of a policy, or an empty string if the policy is unknown.
func Describe(name string) string {
	for _, policy := range policies {
		if policy.name == name {
			return policy.description
		}
	}
	return ""
}

// Factory returns the factory of the policy with a name.
func Factory(name string) (emulator.PolicyFactory, error) {
	for _, policy := range policies {
		if policy.name == name {
			return policy.factory, nil
		}
	}
	return nil, fmt.Errorf("policy %q is unknown; known policies are %s", name, strings.Join(Names(), ", "))
}

// changedLimits is the balancer with changed limits.
type changedLimits struct {
	*balance.Balancer
	change func(*balance.Limits)
}

// Configure passes the settings on with the limits changed.
func (m *changedLimits) Configure(now, tick float64, place balance.Placement, verbs []balance.Verb, customers []balance.Customer,
	overage float64, limits balance.Limits, cold balance.ColdStart, mustAsk bool) {
	m.change(&limits)
	m.Balancer.Configure(now, tick, place, verbs, customers, overage, limits, cold, mustAsk)
}

// backend is a listed backend and the number of own relays pending there.
type backend struct {
	balance.Entry
	pending int
}

// relay is one relay of a command.
type relay struct {
	backend  *backend
	pending  bool
	neverRan bool
	sentAt   float64
}

// command is a command that has no final answer yet, or has relays pending.
type command struct {
	id      uint64
	verb    *balance.Verb
	expires float64
	relays  []relay
	done    bool
	pending int
}

// plainPolicy relays each command at once to the backend that pick chooses. After a failure it relays the command again if
// the rules allow it, and else declines or terminates it.
type plainPolicy struct {
	host       balance.Host
	state      emulator.TrueState
	rand       *rand.Rand
	now        float64
	tick       float64
	placement  balance.Placement
	maxUtility float64 // highest utility of any verb
	verbs      []balance.Verb
	limits     balance.Limits
	cold       balance.ColdStart
	backends   []*backend
	open       map[uint64]*command
	timers     map[uint64]uint64 // command by timer token, 0 to request the backend list
	lastToken  uint64
	turn       int
	mustAsk    bool
	pick       func(p *plainPolicy, cmd *command, candidates []*backend) *backend
	usable     []*backend
}

// plainFactory returns the factory of a plainPolicy with a function that picks a backend.
func plainFactory(pick func(*plainPolicy, *command, []*backend) *backend) emulator.PolicyFactory {
	return func(h balance.Host, s emulator.TrueState, seed uint64, now float64) emulator.Policy {
		return &plainPolicy{host: h, state: s, rand: rand.New(rand.NewPCG(seed, 1)), now: now, pick: pick,
			open: map[uint64]*command{}, timers: map[uint64]uint64{}}
	}
}

// random picks a random candidate.
func random(p *plainPolicy, _ *command, candidates []*backend) *backend {
	return candidates[p.rand.IntN(len(candidates))]
}

// roundRobin picks the candidates one after another, starting at the instance's index.
func roundRobin(p *plainPolicy, _ *command, candidates []*backend) *backend {
	p.turn++
	return candidates[(p.turn+p.placement.Index)%len(candidates)]
}

// leastPending picks a candidate with the fewest own pending relays, at random among equals.
func leastPending(p *plainPolicy, _ *command, candidates []*backend) *backend {
	best := candidates[0]
	ties := 0
	for _, b := range candidates {
		if b.pending < best.pending {
			best, ties = b, 1
		} else if b.pending == best.pending {
			if ties++; p.rand.IntN(ties) == 0 {
				best = b
			}
		}
	}
	return best
}

// twoChoices picks the better of two random candidates by own pending relays.
func twoChoices(p *plainPolicy, _ *command, candidates []*backend) *backend {
	a, b := candidates[p.rand.IntN(len(candidates))], candidates[p.rand.IntN(len(candidates))]
	if b.pending < a.pending {
		return b
	}
	return a
}

// oracle picks the backend that would finish the command first, or none if all are overloaded.
func oracle(p *plainPolicy, cmd *command, candidates []*backend) *backend {
	var best *backend
	least := math.Inf(1)
	for _, b := range candidates {
		open, wait, speed, load := p.state.BackendState(b.ID)
		// commands of low utility leave capacity to the others
		if !open || load >= lowUtilityShare+(1-lowUtilityShare)*cmd.verb.Utility/p.maxUtility {
			continue
		}
		cost := wait + 0.01/speed + p.rand.Float64()*1e-6
		if b.Zone != p.placement.Zone {
			cost += 0.002
		}
		if cost < least {
			best, least = b, cost
		}
	}
	if best != nil {
		p.lastToken++
		p.timers[p.lastToken] = cmd.id
		p.host.StartTimer(oraclePollSeconds, p.lastToken)
	}
	return best
}

// pollRelays checks the oracle's pending relays of a command. A relay to a backend that makes no progress is cancelled, so
// that the command can be relayed elsewhere.
func (p *plainPolicy) pollRelays(cmd *command) {
	for i, r := range cmd.relays {
		if !r.pending || cmd.done {
			continue
		}
		if _, _, speed, _ := p.state.BackendState(r.backend.ID); speed <= 0 {
			if cmd.verb.Effect != balance.Effectful && p.limits.CancelRelays {
				p.host.Cancel(cmd.id, i)
			}
			continue
		}
		p.lastToken++
		p.timers[p.lastToken] = cmd.id
		p.host.StartTimer(oraclePollSeconds, p.lastToken)
	}
}

// Configure sets the settings.
func (p *plainPolicy) Configure(now, tick float64, place balance.Placement, verbs []balance.Verb, _ []balance.Customer, _ float64,
	limits balance.Limits, cold balance.ColdStart, mustAsk bool) {
	p.now, p.tick, p.placement, p.verbs, p.limits, p.cold, p.mustAsk = now, tick, place, verbs, limits, cold, mustAsk
	p.maxUtility = 1e-9
	for _, v := range verbs {
		p.maxUtility = max(p.maxUtility, v.Utility)
	}
	if mustAsk {
		p.host.WatchBackends()
	}
}

// UpdateBackends updates the known backends.
func (p *plainPolicy) UpdateBackends(now float64, whole bool, entries []balance.Entry) {
	p.now = now
	listed := map[balance.BackendID]bool{}
	for _, e := range entries {
		listed[e.ID] = true
		i := slices.IndexFunc(p.backends, func(b *backend) bool { return b.ID == e.ID })
		if i < 0 {
			i = len(p.backends)
			p.backends = append(p.backends, &backend{})
		}
		p.backends[i].Entry = e
	}
	for _, b := range p.backends {
		if whole && !listed[b.ID] {
			b.State = balance.Gone
		}
	}
	p.backends = slices.DeleteFunc(p.backends, func(b *backend) bool { return b.State == balance.Gone && b.pending == 0 })
}

// BackendListFailed schedules another request for the backend list.
func (p *plainPolicy) BackendListFailed(now float64) {
	p.now = now
	if p.mustAsk {
		p.lastToken++
		p.host.StartTimer(1+p.rand.Float64(), p.lastToken)
		p.timers[p.lastToken] = 0
	}
}

// MessageReceived ignores messages of peers.
func (p *plainPolicy) MessageReceived(now float64, _ int, _ []byte) { p.now = now }

// CommandReceived relays a command at once.
func (p *plainPolicy) CommandReceived(now float64, id uint64, verb, _ int, expires float64, _ uint64) {
	p.now = now
	cmd := &command{id: id, verb: &p.verbs[verb], expires: expires}
	p.open[id] = cmd
	p.lastToken++
	p.timers[p.lastToken] = id
	p.host.StartTimer(expires-now-terminateTicks*p.tick, p.lastToken)
	p.relayOrEnd(cmd)
}

// mayRelay tells whether the rules allow a relay of the command to the backend.
func (p *plainPolicy) mayRelay(cmd *command, b *backend) bool {
	if b.State != balance.Ready || slices.ContainsFunc(cmd.relays, func(r relay) bool { return r.backend == b }) {
		return false
	}
	i := slices.IndexFunc(cmd.relays, func(r relay) bool { return !r.neverRan })
	if i < 0 || cmd.verb.Effect == balance.Pure {
		return true
	}
	first := cmd.relays[i]
	if cmd.verb.Effect == balance.Effectful || p.now > first.sentAt+cmd.verb.DedupWindow-p.tick {
		return false
	}
	return cmd.verb.Scope == balance.ScopeAll || cmd.verb.Scope == balance.ScopeZone && b.Zone == first.backend.Zone ||
		cmd.verb.Scope == balance.ScopeCell && b.Cell == first.backend.Cell
}

// relayOrEnd relays a command to a warm backend, or to a cold one if no warm one is usable. Without any it ends the command.
func (p *plainPolicy) relayOrEnd(cmd *command) {
	for _, cold := range []bool{false, true} {
		p.usable = p.usable[:0]
		for _, b := range p.backends {
			warm := b.StartedAt <= 0 || p.now-b.StartedAt >= p.cold.WarmUp
			if warm != cold && p.mayRelay(cmd, b) {
				p.usable = append(p.usable, b)
			}
		}
		if len(p.usable) > 0 {
			break
		}
	}
	if len(p.usable) > 0 && len(cmd.relays) < p.limits.MaxRelays && cmd.expires > p.now+2*p.tick {
		if b := p.pick(p, cmd, p.usable); b != nil {
			cmd.relays = append(cmd.relays, relay{backend: b, pending: true, sentAt: p.now})
			cmd.pending++
			b.pending++
			p.host.Relay(cmd.id, b.ID)
			return
		}
	}
	harmless := cmd.verb.Effect == balance.Pure || cmd.verb.Effect == balance.Receipted && cmd.verb.Scope == balance.ScopeAll ||
		!slices.ContainsFunc(cmd.relays, func(r relay) bool { return !r.neverRan })
	cmd.done = true
	if harmless {
		p.host.Decline(cmd.id, min(p.limits.MaxRetryAfter, retryAfterShare*cmd.verb.Goal))
	} else {
		p.host.Terminate(cmd.id)
	}
	p.forget(cmd)
}

// forget drops a command that has ended and has no relay pending.
func (p *plainPolicy) forget(cmd *command) {
	if cmd.done && cmd.pending == 0 {
		delete(p.open, cmd.id)
	}
}

// RelayEnded records how a relay ended, and relays the command again if none is pending.
func (p *plainPolicy) RelayEnded(now float64, id uint64, n int, result balance.Result, _ float64, final bool,
	_ balance.LoadReport) {
	p.now = now
	cmd := p.open[id]
	if cmd == nil || n >= len(cmd.relays) || !cmd.relays[n].pending {
		return
	}
	ended := &cmd.relays[n]
	ended.pending, ended.neverRan = false, result.NeverRan()
	ended.backend.pending--
	cmd.pending--
	cmd.done = cmd.done || final
	if !cmd.done && cmd.pending == 0 {
		p.relayOrEnd(cmd)
		return
	}
	p.forget(cmd)
}

// ClientDisconnected stops a command whose client left.
func (p *plainPolicy) ClientDisconnected(now float64, id uint64) {
	p.now = now
	if cmd := p.open[id]; cmd != nil {
		p.stop(cmd)
	}
}

// stop ends a command and cancels its pending relays.
func (p *plainPolicy) stop(cmd *command) {
	cmd.done = true
	for i, r := range cmd.relays {
		if r.pending && p.limits.CancelRelays {
			p.host.Cancel(cmd.id, i)
		}
	}
	p.forget(cmd)
}

// TimerFired requests the backend list, polls the oracle's relays, or terminates a command whose limit is near.
func (p *plainPolicy) TimerFired(now float64, token uint64) {
	p.now = now
	id, ok := p.timers[token]
	delete(p.timers, token)
	if ok && id == 0 {
		p.host.WatchBackends()
	}
	if cmd := p.open[id]; cmd != nil && !cmd.done && now < cmd.expires-(terminateTicks+0.5)*p.tick {
		p.pollRelays(cmd)
	} else if cmd != nil && !cmd.done {
		p.host.Terminate(cmd.id)
		p.stop(cmd)
	}
}

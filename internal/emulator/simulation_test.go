package emulator_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"sandpass/balance"
	"sandpass/internal/baseline"
	"sandpass/internal/checker"
	"sandpass/internal/emulator"
	"sandpass/internal/faults"
)

// factory returns the factory of a baseline policy.
func factory(t testing.TB, name string) emulator.PolicyFactory {
	t.Helper()
	m, err := baseline.Factory(name)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// smallWorld is a world that is simulated in well under a second.
func smallWorld() emulator.World {
	w := emulator.Default()
	w.Duration, w.Instances = 15, 6
	w.Tiers[0].Backends, w.Tiers[1].Backends = 12, 9
	return w
}

// reportText is the content of a report as text.
func reportText(a *checker.Report, events uint64) string {
	return fmt.Sprintln(events, a.Score(true), a.WorstTenSeconds(), a.Operations, a.Answered, a.Relays, a.FurtherRelays,
		a.Messages, a.Losses, a.Violations, a.OfferedBySecond, a.ServedBySecond, a.Quantile(0.5), a.Quantile(0.999))
}

// The same seed must give the same bytes, however many simulations run in parallel. Otherwise a run cannot be reduced,
// replayed or compared.
func TestSameSeedGivesSameRun(t *testing.T) {
	w := smallWorld()
	w.Duration = 10
	w.Rules.Peers, w.Clients.Keys, w.Discovery.OnRequest = true, 500, true
	alone := make([]string, 6)
	for i := range alone {
		alone[i] = reportText(emulator.Run(w, faults.Random(uint64(i), 4, w.Bounds()), factory(t, "module"), uint64(i)))
	}
	var wait sync.WaitGroup
	for i := range alone {
		wait.Add(1)
		go func() {
			defer wait.Done()
			if got := reportText(emulator.Run(w, faults.Random(uint64(i), 4, w.Bounds()), factory(t, "module"),
				uint64(i))); got !=
				alone[i] {
				t.Errorf("seed %d differs when run in parallel:\n%s%s", i, alone[i], got)
			}
		}()
	}
	wait.Wait()
	if alone[0] == alone[1] {
		t.Error("two seeds gave the same run")
	}
}

// All policies must receive the same operations for a seed. Otherwise differences between policies would be random.
func TestPoliciesReceiveTheSameOperations(t *testing.T) {
	w := smallWorld()
	plan := faults.Random(11, 3, w.Bounds())
	var first *checker.Report
	for _, name := range baseline.Names() {
		a, _ := emulator.Run(w, plan, factory(t, name), 3)
		if first == nil {
			first = a
		}
		if a.Operations != first.Operations || a.OfferedUtility != first.OfferedUtility {
			t.Errorf("%s received %d operations with utility %v, the first policy %d with utility %v", name, a.Operations,
				a.OfferedUtility, first.Operations, first.OfferedUtility)
		}
	}
}

// Under each kind of fault alone, at high severity, policies that keep the rules must have no violation. A violation here is
// an error of the emulator.
func TestRulesHoldUnderEachFault(t *testing.T) {
	for i, k := range faults.Kinds() {
		t.Run(string(k), func(t *testing.T) {
			t.Parallel()
			runFault(t, i, k)
		})
	}
}

// runFault runs three policies under one fault of a kind and reports violations.
func runFault(t *testing.T, i int, k faults.Kind) {
	w := smallWorld()
	w.Duration = 12
	e := w.Bounds()
	f := faults.Fault{Kind: k, Tier: i % 2, Zone: -1, To: -1, Share: 0.4, From: 4, For: 5, Seed: uint64(i)}
	if k.MaxSeverity() > 0 {
		f.Hard = 0.5
	}
	if k == faults.Partition || k == faults.ZoneLoss || k == faults.ZoneShift || k == faults.CustomerFlood {
		f.Zone = 1
	}
	plan := faults.Plan{f}
	if err := plan.Check(e); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"module", "two", "top"} {
		if a, _ := emulator.Run(w, plan, factory(t, name), 5); a.ViolationCount() > 0 {
			t.Errorf("%s with %s: %v", name, k, a.Violations[0])
		}
	}
}

// The balancer keeps the rules under random plans with up to five faults at once.
func TestRulesHoldUnderRandomPlans(t *testing.T) {
	for seed := range uint64(24) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runRandomPlan(t, seed)
		})
	}
}

// runRandomPlan runs the balancer under a random plan and reports violations.
func runRandomPlan(t *testing.T, seed uint64) {
	w := smallWorld()
	w.Duration = 12
	plan := faults.Random(seed, 1+int(seed%5), w.Bounds())
	x := w
	x.Rules.Peers, x.Discovery.OnRequest = seed%2 == 0, seed%3 == 0
	x.Load = 0.4 + 0.02*float64(seed)
	if a, _ := emulator.Run(x, plan, factory(t, "module"), seed); a.ViolationCount() > 0 {
		t.Errorf("seed %d: %v\n%v", seed, a.Violations[0], plan)
	}
}

// faultyPolicy is a policy with one deliberate error.
type faultyPolicy struct {
	emulator.Policy
	host       balance.Host
	update     func(p emulator.Policy, now float64, whole bool, entries []balance.Entry)
	relayEnded func(p *faultyPolicy, id uint64, result balance.Result)
	known      []balance.BackendID
}

// UpdateBackends records the ids of all backends and calls update instead of the policy if it is set.
func (p *faultyPolicy) UpdateBackends(now float64, whole bool, entries []balance.Entry) {
	for _, e := range entries {
		p.known = append(p.known, e.ID)
	}
	if p.update != nil {
		p.update(p.Policy, now, whole, entries)
		return
	}
	p.Policy.UpdateBackends(now, whole, entries)
}

// RelayEnded calls relayEnded, if it is set, for commands that have not ended.
func (p *faultyPolicy) RelayEnded(now float64, id uint64, n int, result balance.Result, took float64, final bool,
	load balance.LoadReport) {
	if p.relayEnded != nil && !final {
		p.relayEnded(p, id, result)
	}
	p.Policy.RelayEnded(now, id, n, result, took, final, load)
}

// faultyHost intercepts the calls of a policy to its host.
type faultyHost struct {
	balance.Host
	decline func(h balance.Host, id uint64)
	relay   func(h balance.Host, id uint64, to balance.BackendID)
}

// Decline calls decline instead of the host if it is set.
func (h *faultyHost) Decline(id uint64, retryAfter float64) {
	if h.decline != nil {
		h.decline(h.Host, id)
		return
	}
	h.Host.Decline(id, retryAfter)
}

// Relay calls relay instead of the host if it is set.
func (h *faultyHost) Relay(id uint64, to balance.BackendID) {
	if h.relay != nil {
		h.relay(h.Host, id, to)
		return
	}
	h.Host.Relay(id, to)
}

// A checker that never reports a violation proves nothing: for each rule there are policies that break it, and the violation
// must be described correctly.
func TestCheckerDetectsViolations(t *testing.T) {
	inner := factory(t, "two")
	build := func(h func(balance.Host) *faultyHost, p faultyPolicy) emulator.PolicyFactory {
		return func(host balance.Host, state emulator.TrueState, seed uint64, now float64) emulator.Policy {
			x := p
			x.host = host
			if h != nil {
				x.host = h(host)
			}
			x.Policy = inner(x.host, state, seed, now)
			return &x
		}
	}
	roll := faults.Plan{{Kind: faults.RollingReplace, Zone: -1, To: -1, Share: 0.5, From: 3, For: 6}}
	spoil := faults.Plan{{Kind: faults.LoseAnswers, Zone: -1, To: -1, Share: 1, From: 3, For: 6, Hard: 0.3}}
	for _, c := range []struct {
		name string
		rule checker.Rule
		want string
		plan faults.Plan
		make emulator.PolicyFactory
	}{
		{"does not answer instead of declining", checker.OneAnswer, "never had a final answer",
			faults.Plan{{Kind: faults.Refuse, Zone: -1, To: -1, Share: 1, From: 3, For: 3, Hard: 1}},
			build(func(h balance.Host) *faultyHost {
				return &faultyHost{Host: h, decline: func(balance.Host, uint64) {}}
			}, faultyPolicy{})},
		{"declines and still relays", checker.OneAnswer, "which is not open", nil,
			build(func(h balance.Host) *faultyHost {
				return &faultyHost{Host: h, relay: func(h balance.Host, id uint64, to balance.BackendID) {
					h.Decline(id, 0)
					h.Relay(id, to)
				}}
			}, faultyPolicy{})},
		{"relays each command twice", checker.NoDoubleEffect, "may have run", nil,
			build(func(h balance.Host) *faultyHost {
				return &faultyHost{Host: h, relay: func(h balance.Host, id uint64, to balance.BackendID) {
					h.Relay(id, to)
					h.Relay(id, to)
				}}
			}, faultyPolicy{})},
		{"relays again after a reset connection", checker.NoDoubleEffect, "took place twice", spoil,
			build(nil, faultyPolicy{relayEnded: func(p *faultyPolicy, id uint64, result balance.Result) {
				if result == balance.Reset {
					p.host.Relay(id, p.known[int(id)%len(p.known)])
				}
			}})},
		{"declines what may have run", checker.NoDoubleEffect, "declines command", spoil,
			build(nil, faultyPolicy{relayEnded: func(p *faultyPolicy, id uint64, result balance.Result) {
				if result == balance.Reset {
					p.host.Decline(id, 0)
				}
			}})},
		{"treats draining backends as ready", checker.DrainKept, "after word that it drains", roll,
			build(nil, faultyPolicy{update: func(p emulator.Policy, now float64, whole bool, entries []balance.Entry) {
				var all []balance.Entry
				for _, e := range entries {
					e.State = balance.Ready
					all = append(all, e)
				}
				p.UpdateBackends(now, whole, all)
			}})},
		{"uses only the newest backend", checker.ColdProtected, "after its start, got", roll,
			build(nil, faultyPolicy{update: func(p emulator.Policy, now float64, whole bool, entries []balance.Entry) {
				newest, only := 0.0, entries
				for _, e := range entries {
					if e.State == balance.Ready && e.StartedAt > newest {
						newest, only = e.StartedAt, []balance.Entry{e}
					}
				}
				if only[0].StartedAt > 0 {
					p.UpdateBackends(now, true, only)
				} else {
					p.UpdateBackends(now, whole, entries)
				}
			}})},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			a, _ := emulator.Run(smallWorld(), c.plan, c.make, 9)
			if a.RuleCounts[c.rule] == 0 {
				t.Fatalf("no violation of rule %d (%s) was reported; reported: %v %v", c.rule, c.rule, a.RuleCounts, a.Violations)
			}
			for _, b := range a.Violations {
				if b.Rule == c.rule && strings.Contains(b.Text, c.want) && b.At > 0 {
					return
				}
			}
			t.Errorf("no violation contains %q; the first is %v", c.want, a.Violations[0])
		})
	}
}

// Each way to lose a command must be attributed to its own cause and place, or the report would mislead its reader.
func TestLossesAreAttributed(t *testing.T) {
	all := func(k faults.Kind, hard float64) faults.Plan {
		return faults.Plan{{Kind: k, Zone: -1, To: -1, Share: 1, From: 3, For: 8, Hard: hard}}
	}
	for _, c := range []struct {
		name   string
		policy string
		plan   faults.Plan
		change func(w *emulator.World)
		cause  checker.LossCause
		place  checker.LossPlace
		tier   int
	}{
		{"no instances", "two", faults.Plan{{Kind: faults.KillInstances, Zone: -1, To: -1, Share: 1, From: 3, For: 8}}, nil,
			checker.Unreached, checker.Instance, 0},
		{"instances killed", "two", faults.Plan{{Kind: faults.KillInstances, Zone: -1, To: -1, Share: 0.5, From: 6, For: 3}},
			func(w *emulator.World) { w.Tiers[0].Speeds, w.Rate = []float64{0.1}, 90 }, checker.InstanceDied, checker.Work, 0},
		{"clients leave", "two", all(faults.ClientsLeave, 1), nil, checker.ClientLeft, checker.Work, 0},
		{"refused", "two", all(faults.Refuse, 1), nil, checker.Declined, checker.Refused, 0},
		{"failed in the next tier", "two",
			faults.Plan{{Kind: faults.Errors, Tier: 1, Zone: -1, To: -1, Share: 1, From: 3, For: 8, Hard: 1}}, nil,
			checker.Declined, checker.BackendFailed, 1},
		{"hung", "two", all(faults.Hang, 0), nil, checker.TimedOut, checker.Hung, 0},
		{"hung in the next tier", "two", faults.Plan{{Kind: faults.Hang, Tier: 1, Zone: -1, To: -1, Share: 1, From: 3, For: 8}},
			nil, checker.TimedOut, checker.Hung, 1},
		{"out of connections", "two", faults.Plan{{Kind: faults.FullTable, Zone: -1, Share: 1, For: 8, Hard: 1}}, nil,
			checker.Declined, checker.Connecting, 0},
		{"crashed", "two", all(faults.Crash, 0), nil, checker.Declined, checker.Connecting, 0},
		{"answers lost", "two", all(faults.LoseAnswers, 1), nil, checker.Terminated, checker.Network, 0},
		{"slow", "two", all(faults.Slow, 0.95), nil, checker.Late, checker.Work, 0},
		{"held by instances", "module", nil, func(w *emulator.World) { w.Load = 3 }, checker.Declined, checker.Instance, 0},
		{"queued", "random", nil, func(w *emulator.World) { w.Load, w.Tiers[0].Slots = 0.9, 2 }, checker.Late, checker.Queue, 0},
		{"partitioned", "two", faults.Plan{{Kind: faults.Partition, Zone: 0, To: -1, From: 3, For: 8, Hard: 1}}, nil,
			checker.TimedOut, checker.Network, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := smallWorld()
			if c.change != nil {
				c.change(&w)
			}
			a, _ := emulator.Run(w, c.plan, factory(t, c.policy), 2)
			for _, l := range a.Losses {
				if l.Cause == c.cause && l.Place == c.place && l.Tier == c.tier && l.Count >= 2 {
					return
				}
			}
			t.Errorf("no loss %s at %s of tier %d in %v", c.cause, c.place, c.tier, a.Losses)
		})
	}
}

// Early retries must keep a tier overloaded long after the burst that caused them has ended. An emulator without this effect
// would favor policies that decline nothing.
func TestRetryStormOutlivesItsCause(t *testing.T) {
	w := smallWorld()
	w.Duration, w.Load, w.Clients.Retries, w.Clients.RetryAfterShare = 40, 0.5, 6, 0
	w.Tiers[0].OverloadLoss, w.Tiers[0].CancelStops, w.Tiers[0].Queue = 0.5, false, 60
	burst := faults.Plan{{Kind: faults.LoadBurst, Zone: -1, From: 8, For: 4, Hard: 3}}
	after := func(name string) float64 {
		a, _ := emulator.Run(w, burst, factory(t, name), 4)
		offered, served := 0.0, 0.0
		for s := 25; s < 39; s++ { // at least 13 s after the burst
			offered, served = offered+a.OfferedBySecond[s], served+a.ServedBySecond[s]
		}
		return served / offered
	}
	if plain := after("two"); plain > 0.5 {
		t.Errorf("two-choice policy has recovered to %.2f 13 s after the burst: the tier does not stay overloaded", plain)
	}
	if noBurst, _ := emulator.Run(w, nil, factory(t, "two"), 4); noBurst.Score(true) < 0.8 {
		t.Errorf("two-choice policy serves %.2f without the burst: the burst is not the cause of the overload",
			noBurst.Score(true))
	}
}

// A cancelled command that a backend executes all the same must use its capacity, and its effect takes place.
func TestIgnoredCancelsUseCapacity(t *testing.T) {
	w := smallWorld()
	run := func(plan faults.Plan) *checker.Report {
		x := w
		x.Clients.EarlyLeaveShare = 0.6
		a, _ := emulator.Run(x, plan, factory(t, "two"), 6)
		return a
	}
	ignoring := faults.Plan{{Kind: faults.IgnoreCancels, Zone: -1, Share: 1, From: 0, For: 15},
		{Kind: faults.IgnoreCancels, Tier: 1, Zone: -1, Share: 1, From: 0, For: 15}}
	if a, b := run(nil).Quantile(0.95), run(ignoring).Quantile(0.95); b <= a {
		t.Errorf("ignored cancels cost nothing: 95%% in %.4f s, %.4f s when they are obeyed", b, a)
	}
}

// Another backend may have taken over a listed address: a command must reach the current one and count where it ran.
func TestAddressTakeover(t *testing.T) {
	w := smallWorld()
	plan := faults.Plan{{Kind: faults.Takeover, Zone: -1, Share: 0.6, From: 4, For: 4},
		{Kind: faults.DiscoverySilent, Zone: -1, From: 3, For: 9}}
	a, _ := emulator.Run(w, plan, factory(t, "module"), 3)
	if a.ViolationCount() > 0 {
		t.Errorf("violation: %v", a.Violations[0])
	}
	if g := a.Score(true); g < 0.5 {
		t.Errorf("score %.2f: the backends that answer at the old addresses serve no commands", g)
	}
}

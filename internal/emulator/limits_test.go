// Faults of further deployments: slots that fill, wrong limits and start times, and a budget of further relays. The tests must
// not rely on the balancer's own state.
package emulator_test

import (
	"testing"

	"sandpass/balance"
	"sandpass/internal/checker"
	"sandpass/internal/emulator"
	"sandpass/internal/faults"
)

// keyedWorld is a small world whose commands carry keys and whose instances have a relay budget and few answer slots.
func keyedWorld() emulator.World {
	w := smallWorld()
	w.Clients.Keys = 300
	w.Rules.FreeRelays, w.Rules.FreeRelayRatio, w.Rules.BudgetWindow = 3, 0.1, 5
	w.Rules.AnswerSlots, w.Rules.DeadlineError = 12, 1.2
	return w
}

// Under each fault alone there is no violation, and most commands that the fault does not make impossible are served.
func TestRulesHoldUnderSlotAndLimitFaults(t *testing.T) {
	for _, c := range []struct {
		fault faults.Fault
		least float64 // share of the utility that must be served
	}{
		{faults.Fault{Kind: faults.LockedKeys, Tier: 1, Share: 0.1, Hard: 0.2}, 0.80},
		{faults.Fault{Kind: faults.FailingKeys, Tier: 0, Share: 0.2}, 0.75},
		{faults.Fault{Kind: faults.SlowReaders, Share: 0.12, Hard: 4}, 0.80},
		{faults.Fault{Kind: faults.DeadlineSkew, Share: 0.6, Hard: 1}, 0.95},
		{faults.Fault{Kind: faults.IdleReset, Hard: 0.05}, 0.80},
		{faults.Fault{Kind: faults.FailingVerb, Tier: 0, Share: 0.4, Hard: 1}, 0.80},
	} {
		t.Run(string(c.fault.Kind), func(t *testing.T) {
			t.Parallel()
			f := c.fault
			f.Zone, f.To, f.From, f.For, f.Seed = -1, -1, 4, 8, 7
			plan := faults.Plan{f}
			w := keyedWorld()
			if err := plan.Check(w.Bounds()); err != nil {
				t.Fatal(err)
			}
			a, _ := emulator.Run(w, plan, factory(t, "module"), 3)
			if a.ViolationCount() > 0 {
				t.Errorf("violation: %v", a.Violations[0])
			}
			b, _ := emulator.Run(w, nil, factory(t, "module"), 3)
			if share := a.ServedUtility / a.OfferedUtility; share < c.least ||
				c.least < 0.9 && share >= b.ServedUtility/b.OfferedUtility {
				t.Errorf("%.3f served, want at least %.2f; %.3f without the fault", share, c.least,
					b.ServedUtility/b.OfferedUtility)
			}
		})
	}
}

// Limits that are reported too short must cost a balancer that trusts them. Otherwise the test above proves nothing.
func TestShortLimitsCostPoliciesThatTrustThem(t *testing.T) {
	plan := faults.Plan{{Kind: faults.DeadlineSkew, Share: 0.6, Hard: 1.5, Zone: -1, To: -1, From: 4, For: 8, Seed: 7}}
	w := keyedWorld()
	w.Rules.DeadlineError = 1.5
	informed, _ := emulator.Run(w, plan, factory(t, "module"), 3)
	w.Rules.DeadlineError = 0
	trusting, _ := emulator.Run(w, plan, factory(t, "module"), 3)
	if a, b := informed.ServedUtility/informed.OfferedUtility, trusting.ServedUtility/trusting.OfferedUtility; a < b+0.02 {
		t.Errorf("%.3f served if the balancer knows that limits may be wrong, %.3f if it does not", a, b)
	}
}

// The checker must detect a violation of the budget, or keeping the budget proves nothing.
func TestCheckerCountsFurtherRelays(t *testing.T) {
	w := keyedWorld()
	inner := factory(t, "two")
	plan := faults.Plan{{Kind: faults.Refuse, Zone: -1, To: -1, Share: 0.5, From: 3, For: 8, Hard: 0.8}}
	relayAgain := func(host balance.Host, state emulator.TrueState, seed uint64, now float64) emulator.Policy {
		x := &faultyPolicy{host: host, relayEnded: func(p *faultyPolicy, id uint64, result balance.Result) {
			if result == balance.Full {
				p.host.Relay(id, p.known[int(id)%len(p.known)])
			}
		}}
		x.Policy = inner(host, state, seed, now)
		return x
	}
	if a, _ := emulator.Run(w, plan, relayAgain, 9); a.RuleCounts[checker.RelayBudget] == 0 {
		t.Errorf("a policy that relays again at once did not violate the budget: %v", a.RuleCounts)
	}
	if a, _ := emulator.Run(w, plan, factory(t, "module"), 9); a.ViolationCount() > 0 {
		t.Errorf("violation by the balancer: %v", a.Violations[0])
	}
}

// Half of a tier is replaced while start times are listed wrong in both directions. A balancer that trusts them overloads
// cold backends; one that knows the possible error does not.
func TestWrongStartTimesOverloadNoColdBackend(t *testing.T) {
	w := keyedWorld()
	w.Load, w.Rules.ColdShare, w.Rules.ColdMultiple = 0.9, 0.1, 1.2
	w.KeepFirstTier()
	plan := faults.Plan{
		{Kind: faults.RollingReplace, Zone: -1, To: -1, Share: 0.5, From: 2, For: 4, Seed: 3},
		{Kind: faults.StartTimeError, Zone: -1, To: -1, Share: 0.3, From: 0, For: 20, Hard: 6, Seed: 7},
	}
	overloads := func(startTimeError float64) (count int) {
		w.Rules.StartTimeError = startTimeError
		for seed := range uint64(6) {
			a, _ := emulator.Run(w, plan, factory(t, "module"), seed)
			count += a.RuleCounts[checker.ColdProtected]
			if startTimeError > 0 && a.ViolationCount() > 0 {
				t.Errorf("seed %d: violation: %v", seed, a.Violations[0])
			}
		}
		return count
	}
	if overloads(6); overloads(0) == 0 {
		t.Error("no cold backend was overloaded by a balancer that trusts the start times: the test proves nothing")
	}
}

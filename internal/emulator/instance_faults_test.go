// Runs in which most instances fail, and runs that only look like it. The tests must not rely on what the balancer assumes
// about its peers.
package emulator_test

import (
	"fmt"
	"testing"

	"sandpass/internal/checker"
	"sandpass/internal/emulator"
	"sandpass/internal/faults"
)

// manyInstances is a world with so many instances that each has little load, and backends with spare capacity.
func manyInstances(load float64, messages bool) emulator.World {
	w := emulator.Default()
	w.Duration, w.Instances, w.Load, w.Rules.Peers = 16, 30, load, messages
	w.Tiers[0].Backends, w.Tiers[1].Backends = 60, 60
	return w
}

// servedShare returns the share of the offered utility that was served in the seconds from from up to to.
func servedShare(a *checker.Report, from, to int) float64 {
	offered, served := 0.0, 0.0
	for s := from; s < to; s++ {
		offered, served = offered+a.OfferedBySecond[s], served+a.ServedBySecond[s]
	}
	return served / offered
}

// Nine of ten instances are killed at 8 s, and the front detects it at 10 s. The remaining ones must use the whole capacity.
// When they did not, they served 0.6 of their load without messages, as each used only a thirtieth of the shared capacity,
// and 0.2 with messages, as they waited for coordinating peers that were gone.
func TestRemainingInstancesServeAll(t *testing.T) {
	for _, messages := range []bool{false, true} {
		plan := faults.Plan{{Kind: faults.KillInstances, Zone: -1, To: -1, Share: 0.9, From: 8, For: 20, Seed: 5}}
		a, _ := emulator.Run(manyInstances(0.6, messages), plan, factory(t, "module"), 3)
		b, _ := emulator.Run(manyInstances(0.6, messages), plan, factory(t, "fixed"), 3)
		if a.ViolationCount() > 0 {
			t.Errorf("messages %t: violation: %v", messages, a.Violations[0])
		}
		if adaptive, fixed := servedShare(a, 11, 16), servedShare(b, 11, 16); adaptive < 0.93 || !messages &&
			adaptive < fixed+0.1 {
			t.Errorf("messages %t: %.3f served by three of thirty instances, %.3f with fixed shares", messages, adaptive, fixed)
		}
	}
}

// To a single instance a surge of all clients looks like missing peers. Mistaking it for that must cost almost nothing.
func TestSurgeIsNotMistakenForMissingPeers(t *testing.T) {
	for _, times := range []float64{1, 2, 5} {
		t.Run(fmt.Sprintf("%.0f times more", times), func(t *testing.T) {
			t.Parallel()
			w := manyInstances(0.6, false)
			w.Duration, w.Instances, w.Tiers[0].Backends, w.Tiers[1].Backends = 13, 15, 30, 30
			plan := faults.Plan{{Kind: faults.LoadBurst, Zone: -1, To: -1, From: 7, For: 4, Hard: times}}
			sum := [2]float64{}
			for seed := range uint64(3) {
				for i, policy := range []string{"module", "fixed"} {
					a, _ := emulator.Run(w, plan, factory(t, policy), seed)
					sum[i] += servedShare(a, 7, 13) / 3
					if a.ViolationCount() > 0 {
						t.Errorf("%s: violation: %v", policy, a.Violations[0])
					}
				}
			}
			t.Logf("%.3f served, %.3f with fixed shares", sum[0], sum[1])
			if sum[0] < sum[1]-0.02 {
				t.Errorf("%.3f served, %.3f with fixed shares", sum[0], sum[1])
			}
		})
	}
}

// A stalled instance sends and loses nothing, and resumes with what arrived meanwhile: updates first, then answers, then
// timers and limits. Neither this nor a crash loop, nor duplicated or reordered messages, may cause a violation.
func TestStalledAndCrashingInstances(t *testing.T) {
	for _, c := range []struct {
		name  string
		plan  faults.Plan
		least float64
	}{
		{"half of the instances stalled", faults.Plan{{Kind: faults.StallInstances, Share: 0.5, From: 4, For: 3}}, 0.45},
		{"30 % stalled during a rolling replacement", faults.Plan{{Kind: faults.StallInstances, Share: 0.3, From: 4, For: 6},
			{Kind: faults.RollingReplace, Share: 0.5, From: 5, For: 2}}, 0.45},
		{"a fifth of the instances in a crash loop",
			faults.Plan{{Kind: faults.CrashLoop, Share: 0.2, From: 3, For: 8, Hard: 0.7}}, 0.8},
		{"messages reordered", faults.Plan{{Kind: faults.ReorderMessages, From: 2, For: 12, Hard: 0.2}}, 0.9},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := manyInstances(0.5, true)
			w.Instances, w.Tiers[0].Backends, w.Tiers[1].Backends = 12, 24, 24
			for i := range c.plan {
				c.plan[i].Zone, c.plan[i].To, c.plan[i].Seed = -1, -1, 7
			}
			if err := c.plan.Check(w.Bounds()); err != nil {
				t.Fatal(err)
			}
			for seed := range uint64(3) {
				a, _ := emulator.Run(w, c.plan, factory(t, "module"), seed)
				if a.ViolationCount() > 0 {
					t.Errorf("seed %d: violation: %v", seed, a.Violations[0])
				}
				if share := a.ServedUtility / a.OfferedUtility; share < c.least {
					t.Errorf("seed %d: %.3f served", seed, share)
				}
			}
			noFault, _ := emulator.Run(w, nil, factory(t, "module"), 0)
			faulty, _ := emulator.Run(w, c.plan, factory(t, "module"), 0)
			if c.plan[0].Kind != faults.ReorderMessages &&
				faulty.ServedUtility/faulty.OfferedUtility > noFault.ServedUtility/noFault.OfferedUtility-0.005 {
				t.Errorf("%.3f served, %.3f without the fault: the fault had no effect",
					faulty.ServedUtility/faulty.OfferedUtility,
					noFault.ServedUtility/noFault.OfferedUtility)
			}
		})
	}
}

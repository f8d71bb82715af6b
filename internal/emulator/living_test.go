// This file owns the days on which most proxies fail, and those that only look like it. It must never go by what the
// module believes of its siblings.
package emulator_test

import (
	"fmt"
	"testing"

	"sandpass/internal/checker"
	"sandpass/internal/emulator"
	"sandpass/internal/faults"
)

// many is a day of so many proxies that each has little to do, before backends that have room.
func many(load float64, messages bool) emulator.World {
	w := emulator.Default()
	w.Duration, w.Instances, w.Load, w.Rules.Peers = 16, 30, load, messages
	w.Tiers[0].Backends, w.Tiers[1].Backends = 60, 60
	return w
}

func part(a *checker.Report, from, to int) float64 {
	asked, served := 0.0, 0.0
	for s := from; s < to; s++ {
		asked, served = asked+a.OfferedBySecond[s], served+a.ServedBySecond[s]
	}
	return served / asked
}

// Nine of ten proxies are gone from 8 s on; the front believes in them until 10 s. Those that are left served 0.6 of what
// reached them without messages, each keeping to a thirtieth of what was common, and 0.2 with them, waiting for keepers
// that were no more.
func TestThoseThatAreLeftServeAll(t *testing.T) {
	for _, messages := range []bool{false, true} {
		plan := faults.Plan{{Kind: faults.KillInstances, Zone: -1, To: -1, Share: 0.9, From: 8, For: 20, Seed: 5}}
		a, _ := emulator.Run(many(0.6, messages), plan, maker(t, "module"), 3)
		b, _ := emulator.Run(many(0.6, messages), plan, maker(t, "fixed"), 3)
		if a.ViolationCount() > 0 {
			t.Errorf("messages %t: a rule broke: %v", messages, a.Violations[0])
		}
		if now, before := part(a, 11, 16), part(b, 11, 16); now < 0.93 || !messages && now < before+0.1 {
			t.Errorf("messages %t: %.3f served by three of thirty, %.3f where shares stay", messages, now, before)
		}
	}
}

// A surge of all clients looks the same to each proxy alone: taking it for missing siblings may cost next to nothing.
func TestASurgeIsNotTakenForMissingSiblings(t *testing.T) {
	for _, times := range []float64{1, 2, 5} {
		t.Run(fmt.Sprintf("%.0f times more", times), func(t *testing.T) {
			t.Parallel()
			w := many(0.6, false)
			w.Duration, w.Instances, w.Tiers[0].Backends, w.Tiers[1].Backends = 13, 15, 30, 30
			plan := faults.Plan{{Kind: faults.LoadBurst, Zone: -1, To: -1, From: 7, For: 4, Hard: times}}
			sum := [2]float64{}
			for seed := range uint64(3) {
				for i, policy := range []string{"module", "fixed"} {
					a, _ := emulator.Run(w, plan, maker(t, policy), seed)
					sum[i] += part(a, 7, 13) / 3
					if a.ViolationCount() > 0 {
						t.Errorf("%s: a rule broke: %v", policy, a.Violations[0])
					}
				}
			}
			t.Logf("%.3f served, %.3f where shares stay", sum[0], sum[1])
			if sum[0] < sum[1]-0.02 {
				t.Errorf("%.3f served, %.3f where shares stay", sum[0], sum[1])
			}
		})
	}
}

// What stands still says nothing, loses nothing, and goes on with what came meanwhile: news first, then answers, then what
// is due. A crash loop and messages that come twice or late break nothing either.
func TestDaysOnWhichProcessesStandStillOrCrash(t *testing.T) {
	for _, c := range []struct {
		name  string
		plan  faults.Plan
		least float64
	}{
		{"half stand still", faults.Plan{{Kind: faults.StallInstances, Share: 0.5, From: 4, For: 3}}, 0.45},
		{"one in three, through a roll", faults.Plan{{Kind: faults.StallInstances, Share: 0.3, From: 4, For: 6}, {Kind: faults.RollingReplace, Share: 0.5, From: 5, For: 2}}, 0.45},
		{"a crash loop of a fifth", faults.Plan{{Kind: faults.CrashLoop, Share: 0.2, From: 3, For: 8, Hard: 0.7}}, 0.8},
		{"messages muddled", faults.Plan{{Kind: faults.ReorderMessages, From: 2, For: 12, Hard: 0.2}}, 0.9},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := many(0.5, true)
			w.Instances, w.Tiers[0].Backends, w.Tiers[1].Backends = 12, 24, 24
			for i := range c.plan {
				c.plan[i].Zone, c.plan[i].To, c.plan[i].Seed = -1, -1, 7
			}
			if err := c.plan.Check(w.Bounds()); err != nil {
				t.Fatal(err)
			}
			for seed := range uint64(3) {
				a, _ := emulator.Run(w, c.plan, maker(t, "module"), seed)
				if a.ViolationCount() > 0 {
					t.Errorf("seed %d: a rule broke: %v", seed, a.Violations[0])
				}
				if part := a.ServedUtility / a.OfferedUtility; part < c.least {
					t.Errorf("seed %d: %.3f served", seed, part)
				}
			}
			calm, _ := emulator.Run(w, nil, maker(t, "module"), 0)
			hit, _ := emulator.Run(w, c.plan, maker(t, "module"), 0)
			if c.plan[0].Kind != faults.ReorderMessages && hit.ServedUtility/hit.OfferedUtility > calm.ServedUtility/calm.OfferedUtility-0.005 {
				t.Errorf("%.3f served, %.3f without the fault: it hit nobody", hit.ServedUtility/hit.OfferedUtility, calm.ServedUtility/calm.OfferedUtility)
			}
		})
	}
}

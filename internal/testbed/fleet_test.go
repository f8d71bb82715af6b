// This file owns the days on which eight real proxies run side by side and some of them, or the links between them, fail.
// It must never go by what a proxy says: the stand-ins' own books alone count.
package testbed

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"

	"sandpass/internal/checker"
	"sandpass/internal/emulator"
	"sandpass/internal/faults"
)

// eight is a world of eight proxies before two tiers.
func eight(messages bool) emulator.World {
	w := tiny()
	w.Duration, w.Instances, w.Rate, w.Rules.Peers = 8, 8, 120, messages
	w.Tiers[0].Backends, w.Tiers[1].Backends = 8, 4
	w.Clients.DeathDetection = 0.5
	return w
}

// a fault that names nobody in particular.
func a(kind faults.Kind, from, long, share, hard float64) faults.Fault {
	return faults.Fault{Kind: kind, Zone: -1, To: -1, From: from, For: long, Share: share, Hard: hard, Seed: 11}
}

func TestEightProxiesOfWhichMostFail(t *testing.T) {
	for _, c := range []struct {
		name     string
		messages bool
		plan     faults.Plan
		least    float64 // part served that is possible with ease; clients' own tries are part of the world
	}{
		{"nine of ten are killed", true, faults.Plan{a(faults.KillInstances, 2, 2, 0.85, 0)}, 0.6},
		{"all are killed", false, faults.Plan{a(faults.KillInstances, 2, 1, 1, 0)}, 0.55},
		{"a second wave while the first recovers", true, faults.Plan{a(faults.KillInstances, 2, 1.5, 0.6, 0),
			{Kind: faults.KillInstances, Zone: -1, To: -1, From: 4, For: 1, Share: 0.5, Seed: 3}}, 0.5},
		{"half stand still", true, faults.Plan{a(faults.StallInstances, 2, 1.5, 0.5, 0)}, 0.5},
		{"one stands still through a drain", false, faults.Plan{a(faults.StallInstances, 2, 2.5, 0.4, 0), a(faults.RollingReplace, 2.2, 1, 0.5, 0)}, 0.4},
		{"a crash loop of a quarter", true, faults.Plan{a(faults.CrashLoop, 1.5, 4, 0.25, 0.4)}, 0.6},
		{"links that delay and lose", true, faults.Plan{a(faults.Delay, 1.5, 3, 1, 0.03), a(faults.PacketLoss, 2, 3, 1, 0.05),
			a(faults.ReorderMessages, 1, 5, 1, 0.2)}, 0.6},
		{"a cut and a kill, discovery silent", true, faults.Plan{{Kind: faults.Partition, Zone: 0, To: 1, From: 1.5, For: 2, Hard: 0.5},
			a(faults.KillInstances, 2, 1.5, 0.4, 0), a(faults.DiscoverySilent, 2.5, 2, 1, 0)}, 0.5},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			out := play(t, eight(c.messages), c.plan)
			if n := out.Account.ViolationCount(); n > 0 && out.MaxSendDelay < 0.04 { // else the machine at hand is no measure
				t.Errorf("rules: %v", out.Account.Violations)
			}
			if served := out.Account.ServedUtility / out.Account.OfferedUtility; served < c.least && out.MaxSendDelay < 0.04 {
				t.Errorf("served %.2f; lost %v", served, out.Account.Losses)
			}
		})
	}
}

// What is kept may be there, lost, torn or old when the processes come back: that costs time at most, never a rule.
func TestAllAreKilledAndWhatTheyKeptIsSpoilt(t *testing.T) {
	for _, state := range SnapshotStates[1:] {
		t.Run(state, func(t *testing.T) {
			t.Parallel()
			w := eight(false)
			plan := faults.Plan{a(faults.KillInstances, 2.5, 1, 1, 0), a(faults.DiscoverySilent, 2, 2.5, 1, 0)}
			r, err := New(w, plan, 5, []string{os.Args[0]}, []string{RunProxyEnv + "=1"})
			if err != nil {
				t.Fatal(err)
			}
			r.SnapshotState = state
			out, err := r.Run(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			if n := out.Account.ViolationCount(); n > 0 && out.MaxSendDelay < 0.04 {
				t.Errorf("rules: %v", out.Account.Violations)
			}
			if out.LastRestart == 0 {
				t.Error("nobody came back")
			}
			t.Logf("served %.2f, back at %.1f s, full after %v", out.Account.ServedUtility/out.Account.OfferedUtility, out.LastRestart, out.RecoverySeconds)
		})
	}
}

// Who was killed comes back at its address with the number of another that was killed: each has words of a former life under its
// number, and its siblings know it by an address that answers for another now.
func TestTheKilledComeBackWithOneAnothersNumbers(t *testing.T) {
	t.Parallel()
	w := eight(true)
	r, err := New(w, faults.Plan{a(faults.KillInstances, 2, 1, 0.5, 0)}, 5, []string{os.Args[0]}, []string{RunProxyEnv + "=1"})
	if err != nil {
		t.Fatal(err)
	}
	r.SwapIndexes = true
	out, err := r.Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if n := out.Account.ViolationCount(); n > 0 && out.MaxSendDelay < 0.04 {
		t.Errorf("rules: %v", out.Account.Violations)
	}
	if served := out.Account.ServedUtility / out.Account.OfferedUtility; (served < 0.7 || out.LastRestart == 0) && out.MaxSendDelay < 0.04 {
		t.Errorf("served %.2f, back at %.1f s; lost %v", served, out.LastRestart, out.Account.Losses)
	}
}

// The books have to see each way in which a process can go on with what it knew before it stood still.
func TestStandingStillIsForgivenAndNothingElse(t *testing.T) {
	j := checker.New(checker.Config{AnswerSlack: 0.05, DrainGrace: 0.4, Duration: 20})
	j.CommandAccepted(1, checker.Command{ID: 1, Instance: 1, Expires: 3})
	j.CommandAccepted(1, checker.Command{ID: 2, Instance: 1, Expires: 1.5})
	j.CommandAccepted(1, checker.Command{ID: 3, Instance: 2, Expires: 3})
	j.InstanceStalled(1, 2, 6) // the second was due before
	j.CommandEnded(6.04, 1, false, true, true)
	j.CommandEnded(6.04, 2, false, true, true)
	j.CommandEnded(6.04, 3, false, true, true)
	j.CommandAccepted(7, checker.Command{ID: 4, Instance: 1, Expires: 9})
	j.BackendUpdateReceived(7, 1, 5, false, 0)
	j.RelaySent(7.5, 4, 5, 0, 0, false)
	acc := j.Close(12)
	for _, want := range []string{"request 2 at instance 1 has its final answer", "request 3 at instance 2 has its final answer",
		"request 4 to backend 5, 500 ms after word", "request 4 at instance 1 never had"} {
		if !strings.Contains(fmt.Sprint(acc.Violations), want) {
			t.Errorf("%q is missing in %v", want, acc.Violations)
		}
	}
	if acc.ViolationCount() != 4 {
		t.Errorf("%v", acc.Violations)
	}
}

// Days at close range, by seed: time limits of 0.2 s and more, a window for repeats shorter than a response, connections that
// break under commands, backends that hang and are replaced, discovery that is silent as they begin to drain. BRINK_SEEDS plays
// so many by hand.
func TestShortLimitsAndWindows(t *testing.T) {
	seeds, byHand := seedsOf("BRINK_SEEDS", 1, 2, 3)
	for _, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			if !byHand {
				t.Parallel()
			}
			chance := rand.New(rand.NewPCG(seed, 0x6272696e))
			w := eight(false)
			for i := range w.Verbs {
				v := &w.Verbs[i]
				v.Limit = 0.2 * math.Exp(chance.Float64()*math.Log(10))
				v.Goal = v.Limit / 2
				if v.Effect == "receipted" {
					v.DedupWindow, v.Scope = 0.2*v.Limit, []string{"all", "cell"}[chance.IntN(2)]
				}
			}
			by := func(kind faults.Kind, from, long, share, hard float64) faults.Fault {
				f := a(kind, from, long, share, hard)
				f.Seed = chance.Uint64() >> 1
				return f
			}
			out := play(t, w, faults.Plan{by(faults.Reset, 1, 5, 1, 0.15), by(faults.Hang, 1.5, 4, 0.25, 0), by(faults.LoseAnswers, 2, 3, 0.5, 0.1),
				by(faults.DiscoverySilent, 2, 2, 1, 0), by(faults.RollingReplace, 2.5, 2, 0.5, 0)})
			if n := out.Account.ViolationCount(); n > 0 && out.MaxSendDelay < 0.04 { // else the machine at hand is no measure
				t.Errorf("rules: %v", out.Account.Violations)
			}
			t.Logf("asked %.0f, served %.2f, late by %.3f s", out.Account.OfferedUtility, out.Account.ServedUtility/out.Account.OfferedUtility, out.MaxSendDelay)
			if out.Account.ServedUtility < 0.3*out.Account.OfferedUtility && out.MaxSendDelay < 0.04 {
				t.Errorf("served %.2f", out.Account.ServedUtility/out.Account.OfferedUtility)
			}
		})
	}
}

// This file tests eight real proxies of which some fail, or whose links fail. The findings come only from what the simulated
// clients and backends recorded, not from what a proxy reports.

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

// eightProxyWorld returns a world of eight proxies in front of two tiers.
func eightProxyWorld(messages bool) emulator.World {
	w := smallWorld()
	w.Duration, w.Instances, w.Rate, w.Rules.Peers = 8, 8, 120, messages
	w.Tiers[0].Backends, w.Tiers[1].Backends = 8, 4
	w.Clients.DeathDetection = 0.5
	return w
}

// newFault returns a fault that is not limited to a zone.
func newFault(kind faults.Kind, from, length, share, hard float64) faults.Fault {
	return faults.Fault{Kind: kind, Zone: -1, To: -1, From: from, For: length, Share: share, Hard: hard, Seed: 11}
}

func TestMostOfEightProxiesFail(t *testing.T) {
	for _, c := range []struct {
		name     string
		messages bool
		plan     faults.Plan
		least    float64 // share served that is easily reached, including the clients' retries
	}{
		{"nine of ten are killed", true, faults.Plan{newFault(faults.KillInstances, 2, 2, 0.85, 0)}, 0.6},
		{"all are killed", false, faults.Plan{newFault(faults.KillInstances, 2, 1, 1, 0)}, 0.55},
		{"a second wave while the first recovers", true, faults.Plan{newFault(faults.KillInstances, 2, 1.5, 0.6, 0),
			{Kind: faults.KillInstances, Zone: -1, To: -1, From: 4, For: 1, Share: 0.5, Seed: 3}}, 0.5},
		{"half are stalled", true, faults.Plan{newFault(faults.StallInstances, 2, 1.5, 0.5, 0)}, 0.5},
		{"some are stalled during a drain", false, faults.Plan{newFault(faults.StallInstances, 2, 2.5, 0.4, 0),
			newFault(faults.RollingReplace, 2.2, 1, 0.5, 0)}, 0.4},
		{"a crash loop of a quarter", true, faults.Plan{newFault(faults.CrashLoop, 1.5, 4, 0.25, 0.4)}, 0.6},
		{"links with delay and loss", true, faults.Plan{newFault(faults.Delay, 1.5, 3, 1, 0.03),
			newFault(faults.PacketLoss, 2, 3, 1, 0.05), newFault(faults.ReorderMessages, 1, 5, 1, 0.2)}, 0.6},
		{"a partition and a kill, discovery silent", true, faults.Plan{
			{Kind: faults.Partition, Zone: 0, To: 1, From: 1.5, For: 2, Hard: 0.5},
			newFault(faults.KillInstances, 2, 1.5, 0.4, 0), newFault(faults.DiscoverySilent, 2.5, 2, 1, 0)}, 0.5},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			out := runWorld(t, eightProxyWorld(c.messages), c.plan)
			if n := out.Report.ViolationCount(); n > 0 && out.MaxSendDelay < 0.04 { // otherwise the machine was too busy for a valid run
				t.Errorf("rules: %v", out.Report.Violations)
			}
			if served := out.Report.ServedUtility / out.Report.OfferedUtility; served < c.least && out.MaxSendDelay < 0.04 {
				t.Errorf("served %.2f; losses %v", served, out.Report.Losses)
			}
		})
	}
}

// When processes restart, their snapshots may be intact, lost, truncated or old. That may cost time but breaks no rule.
func TestAllProxiesKilledWithDamagedSnapshots(t *testing.T) {
	for _, state := range SnapshotStates[1:] {
		t.Run(state, func(t *testing.T) {
			t.Parallel()
			w := eightProxyWorld(false)
			plan := faults.Plan{newFault(faults.KillInstances, 2.5, 1, 1, 0), newFault(faults.DiscoverySilent, 2, 2.5, 1, 0)}
			h, err := New(w, plan, 5, []string{os.Args[0]}, []string{RunProxyEnv + "=1"})
			if err != nil {
				t.Fatal(err)
			}
			h.SnapshotState = state
			out, err := h.Run(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			if n := out.Report.ViolationCount(); n > 0 && out.MaxSendDelay < 0.04 {
				t.Errorf("rules: %v", out.Report.Violations)
			}
			if out.LastRestart == 0 {
				t.Error("no proxy restarted")
			}
			t.Logf("served %.2f, last restart at %.1f s, recovered after %v", out.Report.ServedUtility/out.Report.OfferedUtility,
				out.LastRestart, out.RecoverySeconds)
		})
	}
}

// Killed proxies restart at their address with the index of another killed proxy. Peer messages from before the kill
// still name that index, and peers know it by an address that now belongs to another proxy.
func TestKilledProxiesRestartWithSwappedIndexes(t *testing.T) {
	t.Parallel()
	w := eightProxyWorld(true)
	h, err := New(w, faults.Plan{newFault(faults.KillInstances, 2, 1, 0.5, 0)}, 5, []string{os.Args[0]},
		[]string{RunProxyEnv + "=1"})
	if err != nil {
		t.Fatal(err)
	}
	h.SwapIndexes = true
	out, err := h.Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if n := out.Report.ViolationCount(); n > 0 && out.MaxSendDelay < 0.04 {
		t.Errorf("rules: %v", out.Report.Violations)
	}
	if served := out.Report.ServedUtility / out.Report.OfferedUtility; (served < 0.7 || out.LastRestart == 0) &&
		out.MaxSendDelay < 0.04 {
		t.Errorf("served %.2f, last restart at %.1f s; losses %v", served, out.LastRestart, out.Report.Losses)
	}
}

// The checker has to detect each way in which a resumed process can act on what it knew before a stall.
func TestCheckerExcusesOnlyStalls(t *testing.T) {
	c := checker.New(checker.Config{AnswerSlack: 0.05, DrainGrace: 0.4, Duration: 20})
	c.CommandAccepted(1, checker.Command{ID: 1, Instance: 1, Expires: 3})
	c.CommandAccepted(1, checker.Command{ID: 2, Instance: 1, Expires: 1.5})
	c.CommandAccepted(1, checker.Command{ID: 3, Instance: 2, Expires: 3})
	c.InstanceStalled(1, 2, 6) // the second command expired before
	c.CommandEnded(6.04, 1, false, true, true)
	c.CommandEnded(6.04, 2, false, true, true)
	c.CommandEnded(6.04, 3, false, true, true)
	c.CommandAccepted(7, checker.Command{ID: 4, Instance: 1, Expires: 9})
	c.BackendUpdateReceived(7, 1, 5, false, 0)
	c.RelaySent(7.5, 4, 5, 0, 0, false)
	report := c.Close(12)
	for _, want := range []string{"request 2 at instance 1 has its final answer", "request 3 at instance 2 has its final answer",
		"request 4 to backend 5, 500 ms after word", "request 4 at instance 1 never had"} {
		if !strings.Contains(fmt.Sprint(report.Violations), want) {
			t.Errorf("%q is missing in %v", want, report.Violations)
		}
	}
	if report.ViolationCount() != 4 {
		t.Errorf("want 4 violations, have %v", report.Violations)
	}
}

// Runs with narrow margins, by seed: time limits from 0.2 s, a deduplication window shorter than a response, connections that
// break during commands, backends that hang and are replaced, and discovery that is silent when they begin to drain. BRINK_SEEDS
// selects other seeds for a manual run.
func TestShortLimitsAndWindows(t *testing.T) {
	seeds, byHand := testSeeds("BRINK_SEEDS", 1, 2, 3)
	for _, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			if !byHand {
				t.Parallel()
			}
			rng := rand.New(rand.NewPCG(seed, 0x6272696e))
			w := eightProxyWorld(false)
			for i := range w.Verbs {
				v := &w.Verbs[i]
				v.Limit = 0.2 * math.Exp(rng.Float64()*math.Log(10))
				v.Goal = v.Limit / 2
				if v.Effect == "receipted" {
					v.DedupWindow, v.Scope = 0.2*v.Limit, []string{"all", "cell"}[rng.IntN(2)]
				}
			}
			seededFault := func(kind faults.Kind, from, length, share, hard float64) faults.Fault {
				f := newFault(kind, from, length, share, hard)
				f.Seed = rng.Uint64() >> 1
				return f
			}
			out := runWorld(t, w, faults.Plan{seededFault(faults.Reset, 1, 5, 1, 0.15), seededFault(faults.Hang, 1.5, 4, 0.25, 0),
				seededFault(faults.LoseAnswers, 2, 3, 0.5, 0.1),
				seededFault(faults.DiscoverySilent, 2, 2, 1, 0), seededFault(faults.RollingReplace, 2.5, 2, 0.5, 0)})
			if n := out.Report.ViolationCount(); n > 0 && out.MaxSendDelay < 0.04 { // otherwise the machine was too busy for a valid run
				t.Errorf("rules: %v", out.Report.Violations)
			}
			t.Logf("offered utility %.0f, served %.2f, harness late by %.3f s", out.Report.OfferedUtility,
				out.Report.ServedUtility/out.Report.OfferedUtility, out.MaxSendDelay)
			if out.Report.ServedUtility < 0.3*out.Report.OfferedUtility && out.MaxSendDelay < 0.04 {
				t.Errorf("served %.2f", out.Report.ServedUtility/out.Report.OfferedUtility)
			}
		})
	}
}

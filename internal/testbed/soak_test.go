package testbed

import (
	"context"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
)

// buildFaultInjectionProxy builds sandpass as a test binary, since only that supports fault rules.
func buildFaultInjectionProxy(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "sandpass")
	if out, err := exec.Command("go", "test", "-c", "-o", program, "../../cmd/sandpass").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return program
}

// A rolling restart under stress: repeated signals, idle clients that exhaust the descriptors, system calls and writes that fail
// for a moment, and wrong clocks. No request may be lost and no rule broken. SOAK_SEEDS selects other seeds for a manual run.
func TestSoak(t *testing.T) {
	program := buildFaultInjectionProxy(t)
	seeds, byHand := testSeeds("SOAK_SEEDS", 4, 13, 15, 21)
	for _, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			if !byHand {
				t.Parallel()
			}
			w, plan := RandomRollingRestart(10, seed)
			// An answer counts as lost from half a second after the limit; before that it earns nothing.
			w.Rules.AnswerSlack = overdueSeconds - 0.05
			h, err := New(w, plan, seed, []string{program, "serve"}, []string{"SANDPASS_ITSELF=1"})
			if err != nil {
				t.Fatal(err)
			}
			h.Stress = RandomStress(seed)
			if h.Stress.KeepSnapshots {
				h.SnapshotState = "kept"
			}
			out, err := h.RunRollingRestart(context.Background(), 4, true)
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%+v: limit %.2f s, %d tiers: sent %d served %d declined %d failed %d closed idle %d unanswered %d, killed %d, "+
				"lost %d, rules %v, late by %.3f s",
				h.Stress, out.MaxTimeLimit, out.Tiers, out.Sent, out.Served, out.Declined, out.Failed, out.ClosedWhileIdle,
				out.ClosedUnanswered, out.Killed, len(out.Lost),
				out.Report.RuleCounts, out.MaxSendDelay)
			for _, l := range out.Lost {
				t.Error("lost: " + l)
			}
			for _, b := range out.Report.Violations {
				t.Errorf("broken: %+v", b)
			}
			if h.Stress.IdleClients == 0 && out.ClosedUnanswered > 5+out.Sent/200 {
				t.Errorf("%d new connections closed without an answer", out.ClosedUnanswered)
			}
			if out.Served*5 < out.Sent {
				t.Errorf("%d of %d commands served", out.Served, out.Sent)
			}
		})
	}
}

package testbed

import (
	"context"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
)

// programUnderStrain builds the program as a test binary, which alone knows rules of what is to fail.
func programUnderStrain(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "sandpass")
	if out, err := exec.Command("go", "test", "-c", "-o", program, "../../cmd/sandpass").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return program
}

// On a soak proxies are restarted as on any rolling day, while signals come in series, idle clients fill the descriptors, calls
// and writings fail for a moment and clocks are off: no request is lost and no rule broken. SOAK_SEEDS plays others by hand.
func TestSoak(t *testing.T) {
	program := programUnderStrain(t)
	seeds, byHand := seedsOf("SOAK_SEEDS", 4, 13, 15, 21)
	for _, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			if !byHand {
				t.Parallel()
			}
			w, plan := RandomRollingRestart(10, seed)
			w.Rules.AnswerSlack = overdue - 0.05 // the newest terms: half a second late a request is lost, before it earns nothing
			r, err := New(w, plan, seed, []string{program, "serve"}, []string{"SANDPASS_ITSELF=1"})
			if err != nil {
				t.Fatal(err)
			}
			r.Stress = RandomStress(seed)
			if r.Stress.KeepSnapshots {
				r.SnapshotState = "kept"
			}
			out, err := r.RunRollingRestart(context.Background(), 4, true)
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%+v: limit %.2f s, %d tiers: taken %d served %d declined %d failed %d crossed %d unheard %d, killed %d, lost %d, rules %v, late by %.3f s",
				r.Stress, out.MaxTimeLimit, out.Tiers, out.Sent, out.Served, out.Declined, out.Failed, out.ClosedWhileIdle, out.ClosedUnanswered, out.Killed, len(out.Lost),
				out.Account.RuleCounts, out.MaxSendDelay)
			for _, l := range out.Lost {
				t.Error("lost: " + l)
			}
			for _, b := range out.Account.Violations {
				t.Errorf("broken: %+v", b)
			}
			if r.Stress.IdleClients == 0 && out.ClosedUnanswered > 5+out.Sent/200 {
				t.Errorf("%d new connections closed without a word", out.ClosedUnanswered)
			}
			if out.Served*5 < out.Sent {
				t.Errorf("%d served of %d", out.Served, out.Sent)
			}
		})
	}
}

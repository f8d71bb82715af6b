package testbed

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
)

// A rolling restart loses nothing, whatever the time limits and tiers: long ones, and such that the kill comes a second after
// SIGTERM. ROLLING_PROXIES, ROLLING_SEEDS and ROLLING_PROGRAM play larger days by hand, also with another version.
func TestARollingRestartLosesNothing(t *testing.T) {
	program := os.Getenv("ROLLING_PROGRAM")
	if program == "" {
		program = filepath.Join(t.TempDir(), "sandpass")
		if out, err := exec.Command("go", "build", "-o", program, "../../cmd/sandpass").CombinedOutput(); err != nil {
			t.Fatalf("%v: %s", err, out)
		}
	}
	proxies := 10
	seeds, byHand := seedsOf("ROLLING_SEEDS", 4, 13, 15, 10) // limits of 0.2, 0.5, 0.9 and 2.2 s; one, two, three and two tiers
	if n, err := strconv.Atoi(os.Getenv("ROLLING_PROXIES")); err == nil {
		proxies = n
	}
	for _, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			if !byHand {
				t.Parallel()
			}
			w, plan := RandomRollingRestart(proxies, seed)
			if err := plan.Check(w.Bounds()); err != nil {
				t.Fatal(err)
			}
			r, err := New(w, plan, seed, []string{program, "serve"}, nil)
			if err != nil {
				t.Fatal(err)
			}
			out, err := r.RunRollingRestart(context.Background(), 4, true)
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("limit %.2f s, %d tiers: taken %d served %d declined %d failed %d crossed %d unheard %d, killed %d, lost %d, late by %.3f s",
				out.MaxTimeLimit, out.Tiers, out.Sent, out.Served, out.Declined, out.Failed, out.ClosedWhileIdle, out.ClosedUnanswered, out.Killed, len(out.Lost), out.MaxSendDelay)
			if out.MaxSendDelay > 0.1 { // the margins before the kill are 0.3 s
				t.Skipf("the rig itself was late by %.2f s: the machine at hand is no measure", out.MaxSendDelay)
			}
			for _, l := range out.Lost {
				t.Error("lost: " + l)
			}
			if out.ClosedUnanswered > 5+out.Sent/200 || out.Served*5 < out.Sent {
				t.Errorf("%d unheard, %d served of %d", out.ClosedUnanswered, out.Served, out.Sent)
			}
		})
	}
}

package testbed

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
)

// A rolling restart loses no request, whatever the time limits and tiers: with long limits, and with limits for which the kill
// comes a second after SIGTERM. ROLLING_PROXIES, ROLLING_SEEDS and ROLLING_PROGRAM select larger manual runs, also with another
// version of the program.
func TestRollingRestartLosesNoRequest(t *testing.T) {
	program := os.Getenv("ROLLING_PROGRAM")
	if program == "" {
		program = filepath.Join(t.TempDir(), "sandpass")
		if out, err := exec.Command("go", "build", "-o", program, "../../cmd/sandpass").CombinedOutput(); err != nil {
			t.Fatalf("%v: %s", err, out)
		}
	}
	proxies := 10
	seeds, byHand := testSeeds("ROLLING_SEEDS", 4, 13, 15, 10) // limits of 0.2, 0.5, 0.9 and 2.2 s; one, two, three and two tiers
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
			h, err := New(w, plan, seed, []string{program, "serve"}, nil)
			if err != nil {
				t.Fatal(err)
			}
			out, err := h.RunRollingRestart(context.Background(), 4, true)
			if err != nil {
				t.Fatal(err)
			}
			t.Logf(
				"limit %.2f s %d tiers: sent %d served %d declined %d failed %d closed idle %d unanswered %d, "+
					"killed %d lost %d, late by %.3f s",
				out.MaxTimeLimit, out.Tiers, out.Sent, out.Served, out.Declined, out.Failed, out.ClosedWhileIdle, out.ClosedUnanswered,
				out.Killed, len(out.Lost), out.MaxSendDelay)
			if out.MaxSendDelay > 0.1 { // the margins before the kill are 0.3 s
				t.Skipf("the harness itself was late by %.2f s: the machine is too busy for a valid run", out.MaxSendDelay)
			}
			for _, l := range out.Lost {
				t.Error("lost: " + l)
			}
			if out.ClosedUnanswered > 5+out.Sent/200 || out.Served*5 < out.Sent {
				t.Errorf("%d new connections closed without an answer, %d of %d commands served", out.ClosedUnanswered, out.Served, out.Sent)
			}
		})
	}
}

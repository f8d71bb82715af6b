// This file measures recovery: a share of the proxies is killed or stalled and returns later. The checker's report shows how
// soon all requests are served again, and the load peaks until then. What a policy reports about itself is not used.

package lab

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"

	"sandpass/internal/baseline"
	"sandpass/internal/checker"
	"sandpass/internal/emulator"
	"sandpass/internal/faults"
	"sandpass/internal/testbed"
)

const (
	recoveredShare       = 0.99 // of the share served before the failure, at which the fleet counts as recovered
	recoveredHoldSeconds = 2.0  // how long that share must hold
	stepsPerSecond       = 10   // resolution of the report's fine time series
)

// RecoveryTest is a run in which a share of the first tier fails at one time and is back at another.
type RecoveryTest struct {
	World                emulator.World
	Plan                 faults.Plan
	FailsAt, RestartedAt float64 // seconds of the run: when the proxies fail, and when the last one is back
}

// EmulatedRecovery returns a recovery test for the emulator: proxies in front of twice as many backends in each of two tiers.
// A share of the proxies fails at 12 s and is back at 16 s.
func EmulatedRecovery(proxies int, load, share float64, messages bool, kind faults.Kind) RecoveryTest {
	w := emulator.Default()
	w.Duration, w.Instances, w.Load, w.Rules.Peers = 26, proxies, load, messages
	for i := range w.Tiers {
		w.Tiers[i].Backends = 2 * proxies
	}
	fault := faults.Fault{Kind: kind, Zone: -1, To: -1, Share: share, From: 12, For: 4, Seed: 5}
	return RecoveryTest{World: w, Plan: faults.Plan{fault}, FailsAt: fault.From, RestartedAt: fault.From + fault.For}
}

// LiveRecovery returns a recovery test with a real process for each proxy, small enough for a machine with a few cores. It has
// one tier of backends without overload slowdown, which real time would blur.
func LiveRecovery(proxies int, load, share float64, messages bool, kind faults.Kind) RecoveryTest {
	test := EmulatedRecovery(proxies, load, share, messages, kind)
	w := &test.World
	w.Duration, w.Warmup, w.Clients.DeathDetection, w.Clients.EarlyLeaveShare = 14, 1, 0.5, 0
	w.KeepFirstTier()
	w.Tiers[0].Backends = max(8, proxies/2)
	test.Plan[0].From, test.Plan[0].For = 6, 2.5
	test.FailsAt, test.RestartedAt = 6, 8.5
	return test
}

// RunLive runs the test once with real processes; state is one of testbed.SnapshotStates. Recovery is measured from the time
// at which the last process is back.
func (test *RecoveryTest) RunLive(ctx context.Context, seed uint64, state string, program, env []string) (RecoveryResult,
	testbed.RunOutcome, error) {
	r, err := testbed.New(test.World, test.Plan, seed, program, env)
	if err != nil {
		return RecoveryResult{}, testbed.RunOutcome{}, err
	}
	r.SnapshotState = state
	out, err := r.Run(ctx)
	if err != nil {
		return RecoveryResult{}, out, err
	}
	shifted := *test
	shifted.RestartedAt = max(test.RestartedAt, math.Ceil(out.LastRestart*stepsPerSecond)/stepsPerSecond)
	return shifted.Evaluate(out.Report), out, nil
}

// RecoveryResult is the result of one recovery test.
type RecoveryResult struct {
	ServedBefore        float64   // share of the offered utility served before the failure
	ServedBySecond      []float64 // the same for each second from the failure on
	RecoverySeconds     float64   // from the restart until the share served before is reached again; +Inf if it never is
	RelayPeakRatio      float64   // highest relays per second at one backend after the failure, relative to the highest before
	ConnectionPeakRatio float64   // the same for new connections
	MaxListCalls        int       // most backend list requests by one proxy in a second
	Violations          int       // broken rules
	MessageRate         float64   // messages between peers per proxy and second
}

// Evaluate computes the result from a checker report.
func (test *RecoveryTest) Evaluate(report *checker.Report) RecoveryResult {
	r := RecoveryResult{Violations: report.ViolationCount(), RecoverySeconds: math.Inf(1),
		MessageRate: float64(report.Messages) / test.World.Duration / float64(test.World.Instances)}
	servedShare := func(from, to float64) float64 {
		asked, served := 0.0, 0.0
		for i := max(0, int(math.Round(from*stepsPerSecond))); i < min(int(math.Round(to*stepsPerSecond)),
			len(report.OfferedByTenth)); i++ {
			asked, served = asked+report.OfferedByTenth[i], served+report.ServedByTenth[i]
		}
		return served / max(asked, 1e-9)
	}
	calmFrom := test.FailsAt / 2
	r.ServedBefore = servedShare(calmFrom, test.FailsAt)
	for t := test.FailsAt; t+1 <= test.World.Duration; t++ {
		r.ServedBySecond = append(r.ServedBySecond, servedShare(t, t+1))
	}
	for t := test.RestartedAt; t+recoveredHoldSeconds <= test.World.Duration; t += 1.0 / stepsPerSecond {
		if servedShare(t, t+recoveredHoldSeconds) >= recoveredShare*r.ServedBefore {
			r.RecoverySeconds = t - test.RestartedAt
			break
		}
	}
	r.RelayPeakRatio, r.ConnectionPeakRatio = peakRatio(report.RelaysByBackend, calmFrom, test.FailsAt),
		peakRatio(report.ConnectionsByBackend, calmFrom, test.FailsAt)
	for _, counts := range report.ListsByInstance { // a maximum does not depend on the order
		r.MaxListCalls = max(r.MaxListCalls, slices.Max(counts))
	}
	return r
}

// peakRatio returns the highest count per second at one backend after the failure, relative to the highest count between
// calmFrom and the failure. Counts are per second of the run.
func peakRatio(countsByBackend map[int][]int, calmFrom, failsAt float64) float64 {
	before, after := 1, 0
	for _, counts := range countsByBackend {
		for t, n := range counts {
			if float64(t) >= failsAt {
				after = max(after, n)
			} else if float64(t) >= calmFrom {
				before = max(before, n)
			}
		}
	}
	return float64(after) / float64(before)
}

// Run runs the test in the emulator with a policy for each seed, in parallel on the given number of cores.
func (test *RecoveryTest) Run(ctx context.Context, policy string, seeds []uint64, cores int) ([]RecoveryResult, error) {
	newPolicy, err := baseline.Factory(policy)
	if err != nil {
		return nil, err
	}
	if err := cmp.Or(test.World.Check(), test.Plan.Check(test.World.Bounds())); err != nil {
		return nil, err
	}
	return parallelMap(ctx, seeds, workerCount(cores), func(seed uint64) (RecoveryResult, error) {
		report, _ := emulator.Run(test.World, test.Plan, newPolicy, seed)
		return test.Evaluate(report), nil
	})
}

// Median returns the median of a metric over the seeds.
func Median(results []RecoveryResult, metric func(RecoveryResult) float64) float64 {
	values := sortedValues(results, metric)
	return values[len(values)/2]
}

// Highest returns the highest value of a metric over the seeds.
func Highest(results []RecoveryResult, metric func(RecoveryResult) float64) float64 {
	values := sortedValues(results, metric)
	return values[len(values)-1]
}

// sortedValues returns the values of a metric in ascending order.
func sortedValues(results []RecoveryResult, metric func(RecoveryResult) float64) []float64 {
	var values []float64
	for _, r := range results {
		values = append(values, metric(r))
	}
	slices.Sort(values)
	return values
}

// RecoveryTableHeader returns the Markdown header of the table that WriteRecoveryRow fills.
func RecoveryTableHeader(seconds int) string {
	var text strings.Builder
	text.WriteString("| what | before |")
	for i := range seconds {
		fmt.Fprintf(&text, " +%d s |", i)
	}
	text.WriteString(" full after, median | worst | relays | connections | lists | broken | messages |\n| --- |")
	text.WriteString(strings.Repeat(" --- |", seconds+8))
	return text.String()
}

// WriteRecoveryRow writes one row: means of the served shares by second, and medians or maxima of the other metrics.
func WriteRecoveryRow(out io.Writer, label string, results []RecoveryResult, seconds int) {
	mean := func(metric func(RecoveryResult) float64) float64 {
		sum := 0.0
		for _, r := range results {
			sum += metric(r)
		}
		return sum / float64(len(results))
	}
	fmt.Fprintf(out, "| %s | %.2f |", label, mean(func(r RecoveryResult) float64 { return r.ServedBefore }))
	for i := range seconds {
		fmt.Fprintf(out, " %.2f |", mean(func(r RecoveryResult) float64 {
			if i < len(r.ServedBySecond) {
				return r.ServedBySecond[i]
			}
			return math.NaN()
		}))
	}
	full := func(r RecoveryResult) float64 { return r.RecoverySeconds }
	broken := 0
	for _, r := range results {
		broken += r.Violations
	}
	fmt.Fprintf(out, " %s | %s | %.2f | %.2f | %.0f | %d | %.1f |\n",
		formatSeconds(Median(results, full)), formatSeconds(Highest(results, full)),
		Highest(results, func(r RecoveryResult) float64 { return r.RelayPeakRatio }),
		Highest(results, func(r RecoveryResult) float64 { return r.ConnectionPeakRatio }),
		Highest(results, func(r RecoveryResult) float64 { return float64(r.MaxListCalls) }), broken,
		mean(func(r RecoveryResult) float64 { return r.MessageRate }))
}

// formatSeconds formats a duration in seconds; +Inf is "never".
func formatSeconds(seconds float64) string {
	if math.IsInf(seconds, 1) {
		return "never"
	}
	return fmt.Sprintf("%.1f s", seconds)
}

// This file owns the measure of a comeback: proxies are killed or stand still, return, and it is told from the judge's
// account how soon all is served again, and what was crowded meanwhile. It must never go by what a policy says of itself.

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
	fullPart = 0.99 // of the part served before, from which it is full again
	fullHeld = 2.0  // seconds that this must hold
	tenths   = 10   // of a second in the account's finer course
)

// Comeback is a day on which a share of the first tier fails at one time and is there again at another.
type RecoveryTest struct {
	World                emulator.World
	Plan                 faults.Plan
	FailsAt, RestartedAt float64 // seconds of the day: when they fail, and when the last is there again
}

// Mass is a comeback in an emulated world: so many proxies before twice as many backends of two tiers, of which a share is
// killed at 12 s and back at 16 s.
func EmulatedRecovery(proxies int, load, share float64, messages bool, kind faults.Kind) RecoveryTest {
	w := emulator.Default()
	w.Duration, w.Instances, w.Load, w.Rules.Peers = 26, proxies, load, messages
	for i := range w.Tiers {
		w.Tiers[i].Backends = 2 * proxies
	}
	f := faults.Fault{Kind: kind, Zone: -1, To: -1, Share: share, From: 12, For: 4, Seed: 5}
	return RecoveryTest{World: w, Plan: faults.Plan{f}, FailsAt: f.From, RestartedAt: f.From + f.For}
}

// Live is one small enough for a machine of some cores, with a real process for each proxy: one tier of backends, so much
// load for each proxy, no choking that real time would blur.
func LiveRecovery(proxies int, load, share float64, messages bool, kind faults.Kind) RecoveryTest {
	c := EmulatedRecovery(proxies, load, share, messages, kind)
	w := &c.World
	w.Duration, w.Warmup, w.Clients.DeathDetection, w.Clients.EarlyLeaveShare = 14, 1, 0.5, 0
	w.KeepFirstTier()
	w.Tiers[0].Backends = max(8, proxies/2)
	c.Plan[0].From, c.Plan[0].For = 6, 2.5
	c.FailsAt, c.RestartedAt = 6, 8.5
	return c
}

// PlayLive plays it once with real processes, their state as the rig's States have it, from the return of the last one.
func (c *RecoveryTest) RunLive(ctx context.Context, seed uint64, state string, program, env []string) (RecoveryResult, testbed.RunOutcome, error) {
	r, err := testbed.New(c.World, c.Plan, seed, program, env)
	if err != nil {
		return RecoveryResult{}, testbed.RunOutcome{}, err
	}
	r.SnapshotState = state
	out, err := r.Run(ctx)
	if err != nil {
		return RecoveryResult{}, out, err
	}
	d := *c
	d.RestartedAt = max(c.RestartedAt, math.Ceil(out.LastRestart*tenths)/tenths)
	return d.Evaluate(out.Account), out, nil
}

// Return is what came of one.
type RecoveryResult struct {
	ServedBefore        float64   // part of the worth asked that was served before
	ServedBySecond      []float64 // the same by second from the failure on
	RecoverySeconds     float64   // seconds from the return until all is served as before, infinite if it never is
	RelayPeakRatio      float64   // most relays in a second at one backend from the failure on, over the most at one before
	ConnectionPeakRatio float64   // the same of new connections
	MaxListCalls        int       // most calls for the list by one proxy in a second
	Violations          int       // rules
	MessageRate         float64   // between siblings, for each proxy and second
}

// Of takes the figures from an account.
func (c *RecoveryTest) Evaluate(a *checker.Report) RecoveryResult {
	r := RecoveryResult{Violations: a.ViolationCount(), RecoverySeconds: math.Inf(1), MessageRate: float64(a.Messages) / c.World.Duration / float64(c.World.Instances)}
	part := func(from, to float64) float64 {
		asked, served := 0.0, 0.0
		for i := max(0, int(math.Round(from*tenths))); i < min(int(math.Round(to*tenths)), len(a.OfferedByTenth)); i++ {
			asked, served = asked+a.OfferedByTenth[i], served+a.ServedByTenth[i]
		}
		return served / max(asked, 1e-9)
	}
	calm := c.FailsAt / 2
	r.ServedBefore = part(calm, c.FailsAt)
	for t := c.FailsAt; t+1 <= c.World.Duration; t++ {
		r.ServedBySecond = append(r.ServedBySecond, part(t, t+1))
	}
	for t := c.RestartedAt; t+fullHeld <= c.World.Duration; t += 1.0 / tenths {
		if part(t, t+fullHeld) >= fullPart*r.ServedBefore {
			r.RecoverySeconds = t - c.RestartedAt
			break
		}
	}
	r.RelayPeakRatio, r.ConnectionPeakRatio = peak(a.RelaysByBackend, calm, c.FailsAt), peak(a.ConnectionsByBackend, calm, c.FailsAt)
	for _, s := range a.ListsByInstance { // a maximum: no order is needed
		r.MaxListCalls = max(r.MaxListCalls, slices.Max(s))
	}
	return r
}

// peak is the most that one had in a second after the failure, over the most that one had in a calm second.
func peak(all map[int][]int, calm, fails float64) float64 {
	before, after := 1, 0
	for _, s := range all {
		for t, n := range s {
			if float64(t) >= fails {
				after = max(after, n)
			} else if float64(t) >= calm {
				before = max(before, n)
			}
		}
	}
	return float64(after) / float64(before)
}

// Play plays it with a policy for each seed, side by side on so many cores.
func (c *RecoveryTest) Run(ctx context.Context, policy string, seeds []uint64, cores int) ([]RecoveryResult, error) {
	m, err := baseline.Factory(policy)
	if err != nil {
		return nil, err
	}
	if err := cmp.Or(c.World.Check(), c.Plan.Check(c.World.Bounds())); err != nil {
		return nil, err
	}
	return side(ctx, seeds, workers(cores), func(seed uint64) (RecoveryResult, error) {
		a, _ := emulator.Run(c.World, c.Plan, m, seed)
		return c.Evaluate(a), nil
	})
}

// Middle is the median of a figure over the seeds, Worst its highest.
func Median(all []RecoveryResult, of func(RecoveryResult) float64) float64 {
	v := ordered(all, of)
	return v[len(v)/2]
}

// Worst is the highest of a figure over the seeds.
func Highest(all []RecoveryResult, of func(RecoveryResult) float64) float64 {
	v := ordered(all, of)
	return v[len(v)-1]
}

func ordered(all []RecoveryResult, of func(RecoveryResult) float64) []float64 {
	var v []float64
	for _, r := range all {
		v = append(v, of(r))
	}
	slices.Sort(v)
	return v
}

// ReturnHead is the head of the table that ReturnRow writes.
func RecoveryTableHeader(seconds int) string {
	var b strings.Builder
	b.WriteString("| what | before |")
	for i := range seconds {
		fmt.Fprintf(&b, " +%d s |", i)
	}
	b.WriteString(" full after, median | worst | relays | connections | lists | broken | messages |\n| --- |")
	b.WriteString(strings.Repeat(" --- |", seconds+8))
	return b.String()
}

// ReturnRow writes a line: means of the course, and medians or worsts of the rest.
func WriteRecoveryRow(out io.Writer, what string, all []RecoveryResult, seconds int) {
	mean := func(of func(RecoveryResult) float64) float64 {
		sum := 0.0
		for _, r := range all {
			sum += of(r)
		}
		return sum / float64(len(all))
	}
	fmt.Fprintf(out, "| %s | %.2f |", what, mean(func(r RecoveryResult) float64 { return r.ServedBefore }))
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
	for _, r := range all {
		broken += r.Violations
	}
	fmt.Fprintf(out, " %s | %s | %.2f | %.2f | %.0f | %d | %.1f |\n", span(Median(all, full)), span(Highest(all, full)),
		Highest(all, func(r RecoveryResult) float64 { return r.RelayPeakRatio }), Highest(all, func(r RecoveryResult) float64 { return r.ConnectionPeakRatio }),
		Highest(all, func(r RecoveryResult) float64 { return float64(r.MaxListCalls) }), broken, mean(func(r RecoveryResult) float64 { return r.MessageRate }))
}

func span(s float64) string {
	if math.IsInf(s, 1) {
		return "never"
	}
	return fmt.Sprintf("%.1f s", s)
}

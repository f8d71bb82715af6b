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
type Comeback struct {
	World         emulator.World
	Plan          faults.Plan
	Fails, Return float64 // seconds of the day: when they fail, and when the last is there again
}

// Mass is a comeback in an emulated world: so many proxies before twice as many backends of two tiers, of which a share is
// killed at 12 s and back at 16 s.
func Mass(proxies int, load, share float64, messages bool, kind faults.Kind) Comeback {
	w := emulator.Default()
	w.Length, w.Instances, w.Load, w.Rules.Peers = 26, proxies, load, messages
	for i := range w.Tiers {
		w.Tiers[i].Backends = 2 * proxies
	}
	f := faults.Fault{Kind: kind, Zone: -1, To: -1, Share: share, From: 12, For: 4, Seed: 5}
	return Comeback{World: w, Plan: faults.Plan{f}, Fails: f.From, Return: f.From + f.For}
}

// Live is one small enough for a machine of some cores, with a real process for each proxy: one tier of backends, so much
// load for each proxy, no choking that real time would blur.
func Live(proxies int, load, share float64, messages bool, kind faults.Kind) Comeback {
	c := Mass(proxies, load, share, messages, kind)
	w := &c.World
	w.Length, w.Warmup, w.Clients.Notice, w.Clients.Early = 14, 1, 0.5, 0
	w.OneTier()
	w.Tiers[0].Backends = max(8, proxies/2)
	c.Plan[0].From, c.Plan[0].For = 6, 2.5
	c.Fails, c.Return = 6, 8.5
	return c
}

// PlayLive plays it once with real processes, their state as the rig's States have it, from the return of the last one.
func (c *Comeback) PlayLive(ctx context.Context, seed uint64, state string, program, env []string) (Return, testbed.Outcome, error) {
	r, err := testbed.New(c.World, c.Plan, seed, program, env)
	if err != nil {
		return Return{}, testbed.Outcome{}, err
	}
	r.State = state
	out, err := r.Play(ctx)
	if err != nil {
		return Return{}, out, err
	}
	d := *c
	d.Return = max(c.Return, math.Ceil(out.Back*tenths)/tenths)
	return d.Of(out.Account), out, nil
}

// Return is what came of one.
type Return struct {
	Before   float64   // part of the worth asked that was served before
	Course   []float64 // the same by second from the failure on
	ToFull   float64   // seconds from the return until all is served as before, infinite if it never is
	Relays   float64   // most relays in a second at one backend from the failure on, over the most at one before
	Opened   float64   // the same of new connections
	Lists    int       // most calls for the list by one proxy in a second
	Broken   int       // rules
	Messages float64   // between siblings, for each proxy and second
}

// Of takes the figures from an account.
func (c *Comeback) Of(a *checker.Account) Return {
	r := Return{Broken: a.Count(), ToFull: math.Inf(1), Messages: float64(a.Messages) / c.World.Length / float64(c.World.Instances)}
	part := func(from, to float64) float64 {
		asked, served := 0.0, 0.0
		for i := max(0, int(math.Round(from*tenths))); i < min(int(math.Round(to*tenths)), len(a.AskedIn)); i++ {
			asked, served = asked+a.AskedIn[i], served+a.ServedIn[i]
		}
		return served / max(asked, 1e-9)
	}
	calm := c.Fails / 2
	r.Before = part(calm, c.Fails)
	for t := c.Fails; t+1 <= c.World.Length; t++ {
		r.Course = append(r.Course, part(t, t+1))
	}
	for t := c.Return; t+fullHeld <= c.World.Length; t += 1.0 / tenths {
		if part(t, t+fullHeld) >= fullPart*r.Before {
			r.ToFull = t - c.Return
			break
		}
	}
	r.Relays, r.Opened = peak(a.Sent, calm, c.Fails), peak(a.Opened, calm, c.Fails)
	for _, s := range a.Lists { // a maximum: no order is needed
		r.Lists = max(r.Lists, slices.Max(s))
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
func (c *Comeback) Play(ctx context.Context, policy string, seeds []uint64, cores int) ([]Return, error) {
	m, err := baseline.Maker(policy)
	if err != nil {
		return nil, err
	}
	if err := cmp.Or(c.World.Check(), c.Plan.Check(c.World.Extent())); err != nil {
		return nil, err
	}
	return side(ctx, seeds, workers(cores), func(seed uint64) (Return, error) {
		a, _ := emulator.Run(c.World, c.Plan, m, seed)
		return c.Of(a), nil
	})
}

// Middle is the median of a figure over the seeds, Worst its highest.
func Middle(all []Return, of func(Return) float64) float64 {
	v := ordered(all, of)
	return v[len(v)/2]
}

// Worst is the highest of a figure over the seeds.
func Worst(all []Return, of func(Return) float64) float64 {
	v := ordered(all, of)
	return v[len(v)-1]
}

func ordered(all []Return, of func(Return) float64) []float64 {
	var v []float64
	for _, r := range all {
		v = append(v, of(r))
	}
	slices.Sort(v)
	return v
}

// ReturnHead is the head of the table that ReturnRow writes.
func ReturnHead(seconds int) string {
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
func ReturnRow(out io.Writer, what string, all []Return, seconds int) {
	mean := func(of func(Return) float64) float64 {
		sum := 0.0
		for _, r := range all {
			sum += of(r)
		}
		return sum / float64(len(all))
	}
	fmt.Fprintf(out, "| %s | %.2f |", what, mean(func(r Return) float64 { return r.Before }))
	for i := range seconds {
		fmt.Fprintf(out, " %.2f |", mean(func(r Return) float64 {
			if i < len(r.Course) {
				return r.Course[i]
			}
			return math.NaN()
		}))
	}
	full := func(r Return) float64 { return r.ToFull }
	broken := 0
	for _, r := range all {
		broken += r.Broken
	}
	fmt.Fprintf(out, " %s | %s | %.2f | %.2f | %.0f | %d | %.1f |\n", span(Middle(all, full)), span(Worst(all, full)),
		Worst(all, func(r Return) float64 { return r.Relays }), Worst(all, func(r Return) float64 { return r.Opened }),
		Worst(all, func(r Return) float64 { return float64(r.Lists) }), broken, mean(func(r Return) float64 { return r.Messages }))
}

func span(s float64) string {
	if math.IsInf(s, 1) {
		return "never"
	}
	return fmt.Sprintf("%.1f s", s)
}

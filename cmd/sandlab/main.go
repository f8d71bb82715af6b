// Command sandlab plays experiments on the emulator: runs, sweeps, comparisons, searches, replays and charts.
//
// This file owns the command line alone. It must never hold a figure or a rule of its own.
package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"

	"sandpass/internal/baseline"
	"sandpass/internal/faults"
	"sandpass/internal/lab"
	"sandpass/internal/scale/helper"
	"sandpass/internal/testbed"
)

func main() {
	if was, err := testbed.RunProxyIfRequested(); was { // a child of ours, to be the proxy
		if err != nil {
			fmt.Fprintln(os.Stderr, "sandlab:", err)
			os.Exit(1)
		}
		return
	}
	if was, err := helper.Run(); was { // a helper of a scale run
		if err != nil {
			fmt.Fprintln(os.Stderr, "sandlab:", err)
			os.Exit(1)
		}
		return
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := root().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "sandlab:", err)
		os.Exit(1)
	}
}

func root() *cobra.Command {
	c := &cobra.Command{Use: "sandlab", Short: "plays experiments on an emulated world", SilenceUsage: true, SilenceErrors: true}
	c.AddCommand(run(), sweep(), compare(), search(), shrink(), replay(), plotting(), policies(), back(), live(), load(), scaling())
	return c
}

// bar shows how far the runs are, on a terminal.
func bar(out io.Writer, n int, what string) *progressbar.ProgressBar {
	f, ok := out.(*os.File)
	if st, err := f.Stat(); !ok || err != nil || st.Mode()&os.ModeCharDevice == 0 {
		return progressbar.DefaultSilent(int64(n))
	}
	return progressbar.NewOptions(n, progressbar.OptionSetWriter(f), progressbar.OptionSetDescription(what),
		progressbar.OptionShowCount(), progressbar.OptionClearOnFinish(), progressbar.OptionThrottle(100*time.Millisecond))
}

// play fills a folder and writes its table.
func play(c *cobra.Command, s *lab.ExpandedExperiment, dir string, cores int) error {
	f, err := lab.OpenResultFolder(dir, s)
	if err != nil {
		return err
	}
	missing := len(f.MissingRuns())
	b := bar(os.Stderr, missing, s.Name)
	err = f.RunMissing(c.Context(), cores, func(lab.RunResult) { b.Add(1) })
	if e := f.Close(); err == nil {
		err = e
	}
	b.Finish()
	if errors.Is(err, context.Canceled) {
		return fmt.Errorf("%s: stopped; what is done is kept, and the same call goes on from there", dir)
	}
	if err != nil {
		return err
	}
	text, err := lab.WriteSummary(dir)
	if err != nil {
		return err
	}
	fmt.Fprint(c.OutOrStdout(), text)
	return nil
}

func out(dir, path string) string {
	if dir != "" {
		return dir
	}
	return filepath.Join("results", strings.TrimSuffix(filepath.Base(path), ".toml"))
}

func run() *cobra.Command {
	var dir string
	var cores int
	c := &cobra.Command{Use: "run EXPERIMENT.toml", Short: "play an experiment and keep its table, days and charts",
		Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			s, err := lab.ReadExperiment(args[0], nil)
			if err != nil {
				return err
			}
			dir := out(dir, args[0])
			if err := play(c, s, dir, cores); err != nil {
				return err
			}
			return charts(c, dir, 0, "g")
		}}
	c.Flags().StringVar(&dir, "out", "", "folder of the results (results/NAME)")
	onCores(c, &cores)
	return c
}

func sweep() *cobra.Command {
	var dir string
	var cores int
	var over []string
	c := &cobra.Command{Use: "sweep EXPERIMENT.toml --over PATH=V,V", Short: "play an experiment over further parameters",
		Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			if len(over) == 0 {
				return errors.New("--over PATH=VALUE,VALUE names what to sweep")
			}
			s, err := lab.ReadExperiment(args[0], over)
			if err != nil {
				return err
			}
			dir := out(dir, args[0]+"-sweep")
			if err := play(c, s, dir, cores); err != nil {
				return err
			}
			return charts(c, dir, 0, "g")
		}}
	c.Flags().StringVar(&dir, "out", "", "folder of the results")
	onCores(c, &cores)
	c.Flags().StringArrayVar(&over, "over", nil, "a parameter and its values, such as world.load=0.5,0.7; may be given again")
	return c
}

func compare() *cobra.Command {
	var figure, a, b string
	c := &cobra.Command{Use: "compare FOLDER [OTHER]", Short: "paired differences by seed, with their confidence interval",
		Long: "Compares policy A with policy B of one folder, or one policy between two folders of the same days,\nsuch as those of two versions of the program.",
		Args: cobra.RangeArgs(1, 2), RunE: func(c *cobra.Command, args []string) error {
			s, rows, err := lab.LoadResults(args[0])
			if err != nil {
				return err
			}
			x, y := lab.PolicyRows{Rows: rows, Policy: a}, lab.PolicyRows{Rows: rows, Policy: b}
			if len(args) == 2 {
				if _, y.Rows, err = lab.LoadResults(args[1]); err != nil {
					return err
				}
				if !c.Flags().Changed("b") {
					y.Policy = a
				}
			}
			all, err := lab.Compare(x, y, figure)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%s of A (%s, %s) and B (%s, %s), simulated\n", figure, x.Policy, args[0], y.Policy, args[len(args)-1])
			for _, d := range all {
				where := "all"
				if d.Cell != nil {
					where = ""
					for i, v := range d.Cell {
						where += fmt.Sprintf("%s = %s ", s.Grid[i].Path, v)
					}
				}
				fmt.Fprintf(c.OutOrStdout(), "%s: %s\n", strings.TrimSpace(where), d)
			}
			return nil
		}}
	c.Flags().StringVar(&figure, "figure", "g", "one of "+strings.Join(lab.Metrics(), ", "))
	c.Flags().StringVar(&a, "a", "module", "policy A")
	c.Flags().StringVar(&b, "b", "two", "policy B")
	return c
}

func onCores(c *cobra.Command, cores *int) {
	c.Flags().IntVar(cores, "cores", 0, "runs side by side, 0 for all cores")
}

func search() *cobra.Command {
	var dir, policy string
	var cores, budget, keep int
	var seed uint64
	c := &cobra.Command{Use: "search EXPERIMENT.toml", Short: "look for the days on which a policy does worst against the oracle",
		Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			s, err := lab.ReadExperiment(args[0], nil)
			if err != nil {
				return err
			}
			b := bar(os.Stderr, budget, "search")
			best, err := s.Search(c.Context(), policy, seed, budget, cores, func(done int, _ lab.SearchResult) { b.Set(done) })
			b.Finish()
			if err != nil && !errors.Is(err, context.Canceled) {
				return err
			}
			if err := os.MkdirAll(dir, 0o755); err != nil {
				return err
			}
			for i, f := range best[:min(keep, len(best))] {
				text, err := f.ExperimentTOML(fmt.Sprintf("%s-%d", s.Name, i+1))
				if err != nil {
					return err
				}
				place := filepath.Join(dir, fmt.Sprintf("%s-%d.toml", s.Name, i+1))
				if err := os.WriteFile(place, text, 0o644); err != nil {
					return err
				}
				fmt.Fprintf(c.OutOrStdout(), "%s\n%s", place, described(f))
			}
			return nil
		}}
	c.Flags().StringVar(&dir, "out", "found", "folder for the days found")
	c.Flags().StringVar(&policy, "policy", "module", "which policy")
	c.Flags().IntVar(&budget, "budget", 256, "days to try")
	c.Flags().IntVar(&keep, "keep", 5, "days to keep")
	onCores(c, &cores)
	c.Flags().Uint64Var(&seed, "seed", 1, "of the search")
	return c
}

func described(f lab.SearchResult) string {
	var b strings.Builder
	fmt.Fprintf(&b, "  %s G %.3f, oracle %.3f, seed %d, %d instances, %.0f s\n", f.Policy, f.G, f.Oracle, f.Seed, f.World.Instances, f.World.Duration)
	if f.Violation != "" {
		fmt.Fprintf(&b, "  BROKEN %s\n", f.Violation)
	}
	for _, x := range f.Plan {
		fmt.Fprintf(&b, "  %s\n", x)
	}
	return b.String()
}

func shrink() *cobra.Command {
	var place string
	var keep float64
	var cores int
	c := &cobra.Command{Use: "shrink FOUND.toml", Short: "cut a day down to the fewest faults and the smallest fleet that still show it",
		Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			s, err := lab.ReadExperiment(args[0], nil)
			if err != nil {
				return err
			}
			cell := s.Cells[0]
			f := lab.SearchResult{World: cell.World, Plan: cell.PlanFor(s.Seeds[0]), Seed: s.Seeds[0], Policy: s.Policies[0]}
			steps := 0
			f, err = lab.Shrink(c.Context(), f, keep, cores, func(lab.SearchResult) { steps++ })
			if err != nil {
				return err
			}
			text, err := f.ExperimentTOML(s.Name + "-small")
			if err != nil {
				return err
			}
			if place == "" {
				place = strings.TrimSuffix(args[0], ".toml") + "-small.toml"
			}
			if err := os.WriteFile(place, text, 0o644); err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%s after %d steps\n%s", place, steps, described(f))
			return nil
		}}
	c.Flags().StringVar(&place, "out", "", "file for the small day (FOUND-small.toml)")
	c.Flags().Float64Var(&keep, "keep", 0.7, "part of the loss that must stay")
	onCores(c, &cores)
	return c
}

func replay() *cobra.Command {
	var policy string
	var seed uint64
	c := &cobra.Command{Use: "replay DAY.toml", Short: "play one day and tell its course, its losses and what broke",
		Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			s, err := lab.ReadExperiment(args[0], nil)
			if err != nil {
				return err
			}
			r := lab.Run{Policy: s.Policies[0], Seed: s.Seeds[0]}
			if policy != "" {
				r.Policy = policy
			}
			if c.Flags().Changed("seed") {
				r.Seed = seed
			}
			d, err := s.Run(r)
			if err != nil {
				return err
			}
			return lab.WriteReport(c.OutOrStdout(), d, "simulated")
		}}
	c.Flags().StringVar(&policy, "policy", "", "another than the file's first")
	c.Flags().Uint64Var(&seed, "seed", 0, "another than the file's first")
	return c
}

func charts(c *cobra.Command, dir string, cell int, figure string) error {
	made, err := lab.DrawCharts(dir, cell, figure)
	for _, m := range made {
		fmt.Fprintln(c.OutOrStdout(), m)
	}
	return err
}

func plotting() *cobra.Command {
	var cell int
	var figure string
	c := &cobra.Command{Use: "plot FOLDER", Short: "draw the charts of a folder of results",
		Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error { return charts(c, args[0], cell, figure) }}
	c.Flags().IntVar(&cell, "cell", 0, "which cell of the grid the curves are of, from 0")
	c.Flags().StringVar(&figure, "figure", "g", "what to draw over the axes")
	return c
}

func policies() *cobra.Command {
	return &cobra.Command{Use: "policies", Short: "name the policies", Args: cobra.NoArgs, Run: func(c *cobra.Command, _ []string) {
		for _, n := range baseline.Names() {
			fmt.Fprintf(c.OutOrStdout(), "%-9s %s\n", n, baseline.Describe(n))
		}
	}}
}

func back() *cobra.Command {
	var proxies, seeds, cores, seconds int
	var loads, shares []float64
	var messages, names []string
	var kind, state, program string
	var live bool
	c := &cobra.Command{Use: "back", Short: "measure how soon all is served again after most proxies failed at once",
		Long: "Emulated: proxies before twice as many backends of two tiers; a share of them fails at 12 s and is back at 16 s. The table has\nthe part served by second from the failure on (means), the seconds from the return until 0.99 of what was served before is served\nfor 2 s, peaks at one backend over the highest before, and broken rules.",
		Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			var all []uint64
			for i := range seeds {
				all = append(all, uint64(i+1))
			}
			fmt.Fprintln(c.OutOrStdout(), lab.RecoveryTableHeader(seconds))
			for _, share := range shares {
				for _, load := range loads {
					for _, m := range messages {
						if m != "on" && m != "off" {
							return fmt.Errorf("--messages %q is neither on nor off", m)
						}
						if live {
							d := lab.LiveRecovery(proxies, load, share, m == "on", faults.Kind(kind))
							if err := liveBack(c, d, all, state, program, fmt.Sprintf("%s %.2g of %d live, load %.2f, messages %s, state %s",
								kind, share, proxies, load, m, cmp.Or(state, "not kept")), seconds); err != nil {
								return err
							}
							continue
						}
						for _, name := range names {
							d := lab.EmulatedRecovery(proxies, load, share, m == "on", faults.Kind(kind))
							got, err := d.Run(c.Context(), name, all, cores)
							if err != nil {
								return err
							}
							lab.WriteRecoveryRow(c.OutOrStdout(), fmt.Sprintf("%s %.2g of %d, load %.2f, messages %s, %s", kind, share, proxies, load, m, name), got, seconds)
						}
					}
				}
			}
			return nil
		}}
	c.Flags().IntVar(&proxies, "proxies", 60, "of the first tier")
	c.Flags().IntVar(&seeds, "seeds", 6, "days of each line")
	c.Flags().IntVar(&seconds, "seconds", 8, "of the course")
	c.Flags().Float64SliceVar(&loads, "load", []float64{0.5, 0.75, 0.9}, "of the tier that runs out first")
	c.Flags().Float64SliceVar(&shares, "share", []float64{0.9}, "of the proxies that fail")
	c.Flags().StringSliceVar(&messages, "messages", []string{"off", "on"}, "between siblings")
	c.Flags().StringSliceVar(&names, "policies", []string{"module", "two"}, "which")
	c.Flags().BoolVar(&live, "live", false, "real processes on loopback in real time, one day after another")
	c.Flags().StringVar(&state, "state", "", "live: what becomes of what a proxy keeps: kept, lost, torn, old (nothing is kept)")
	c.Flags().StringVar(&program, "program", "", "live: the proxy's program, called as PROGRAM serve (this one)")
	c.Flags().StringVar(&kind, "kind", string(faults.KillInstances), "of the failure")
	onCores(c, &cores)
	return c
}

// liveBack plays a comeback with real processes for each seed.
func liveBack(c *cobra.Command, d lab.RecoveryTest, seeds []uint64, state, program, what string, seconds int) error {
	if !slices.Contains(testbed.SnapshotStates, state) {
		return fmt.Errorf("--state %q is none of %q", state, testbed.SnapshotStates)
	}
	command, env, _, err := proxy(program)
	if err != nil {
		return err
	}
	var all []lab.RecoveryResult
	var full []float64
	late := 0.0
	for _, seed := range seeds {
		got, out, err := d.RunLive(c.Context(), seed, state, command, env)
		if err != nil {
			return err
		}
		for _, b := range out.Account.Violations {
			fmt.Fprintf(c.OutOrStdout(), "seed %d: BROKEN %s\n", seed, b)
		}
		all, full, late = append(all, got), append(full, out.RecoverySeconds...), max(late, out.MaxSendDelay)
	}
	lab.WriteRecoveryRow(c.OutOrStdout(), what, all, seconds)
	slices.Sort(full)
	if n := len(full); n > 0 {
		fmt.Fprintf(c.OutOrStdout(), "%d proxies that came back say they were of full use after %.2f s in the median, %.2f s at worst; ", n, full[n/2], full[n-1])
	}
	fmt.Fprintf(c.OutOrStdout(), "the rig itself was late by %.0f ms at most\n", 1000*late)
	return nil
}

// proxy is the command that starts one: the program named, or this one as a child of itself.
func proxy(program string) (command, env []string, own bool, err error) {
	if program != "" {
		return []string{program, "serve"}, nil, false, nil
	}
	me, err := os.Executable()
	return []string{me}, []string{testbed.RunProxyEnv + "=1"}, true, err
}

func live() *cobra.Command {
	var program string
	var seed uint64
	c := &cobra.Command{Use: "live DAY.toml", Short: "play one day on real sockets, in real time, with real proxies",
		Long: "Starts backends, discovery and clients as stand-ins on loopback and a proxy process for each instance, plays the day\nin real time and tells what the judge found. A world of a few processes fits on one machine.",
		Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			s, err := lab.ReadExperiment(args[0], nil)
			if err != nil {
				return err
			}
			at := s.Seeds[0]
			if c.Flags().Changed("seed") {
				at = seed
			}
			command, env, _, err := proxy(program)
			if err != nil {
				return err
			}
			cell := s.Cells[0]
			plan := cell.PlanFor(at)
			r, err := testbed.New(cell.World, plan, at, command, env)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			out, err := r.Run(c.Context())
			if err != nil {
				return err
			}
			w := c.OutOrStdout()
			fmt.Fprintf(w, "the rig itself was late by %.1f ms at most\n", 1000*out.MaxSendDelay)
			d := lab.RunResult{Run: lab.Run{Policy: "sandpass", Seed: at}, Plan: plan, Account: out.Account}
			if err := lab.WriteReport(w, d, "on real sockets"); err != nil {
				return err
			}
			for i, cpu := range out.CPU {
				fmt.Fprintf(w, "proxy %d: %.2f s of a core\n", i, cpu)
			}
			return nil
		}}
	c.Flags().StringVar(&program, "program", "", "the proxy's program, called as PROGRAM serve (this one)")
	c.Flags().Uint64Var(&seed, "seed", 0, "another than the file's first")
	return c
}

func load() *cobra.Command {
	var programs []string
	var connections, bodies []int
	var seconds, rate float64
	var times int
	c := &cobra.Command{Use: "load", Short: "measure what one proxy on one core carries, and what it adds to a command",
		Long: "Closed loop for commands a second and processor time, open loop for latency, which counts from when a command was due.\nEach line beside the same clients straight to the backends; medians of several times, with their spread.",
		Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			if len(programs) == 0 {
				programs = []string{""}
			}
			var loads []testbed.LoadTest
			for _, p := range programs {
				command, env, own, err := proxy(p)
				if err != nil {
					return err
				}
				loads = append(loads, testbed.LoadTest{Seconds: seconds, OpenLoopRate: rate, Program: command, Env: env, Profile: own})
			}
			return testbed.WriteTable(c.Context(), c.OutOrStdout(), loads, programs, connections, bodies, times)
		}}
	c.Flags().StringArrayVar(&programs, "program", nil, "the proxy's program, called as PROGRAM serve (this one); several are measured in turn")
	c.Flags().IntSliceVar(&connections, "connections", []int{1, 16, 64, 512}, "of the clients")
	c.Flags().IntSliceVar(&bodies, "body", []int{0}, "bytes of each command's body and answer")
	c.Flags().Float64Var(&seconds, "seconds", 3, "of each measure")
	c.Flags().Float64Var(&rate, "rate", 0, "commands a second of the open loop (half of what the closed loop reached)")
	c.Flags().IntVar(&times, "times", 3, "how often each is measured")
	return c
}

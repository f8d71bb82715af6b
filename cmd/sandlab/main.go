// Command sandlab runs experiments on the emulator and on real sockets: single runs, sweeps, comparisons, searches, replays,
// charts, load tests and scale runs.
//
// This package holds only the command line; the measurements and rules are in the packages that it calls.
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
	if handled, err := testbed.RunProxyIfRequested(); handled { // started by sandlab as the proxy
		if err != nil {
			fmt.Fprintln(os.Stderr, "sandlab:", err)
			os.Exit(1)
		}
		return
	}
	if handled, err := helper.Run(); handled { // started by sandlab as a helper of a scale run
		if err != nil {
			fmt.Fprintln(os.Stderr, "sandlab:", err)
			os.Exit(1)
		}
		return
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := rootCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "sandlab:", err)
		os.Exit(1)
	}
}

// rootCommand returns the sandlab command with all subcommands.
func rootCommand() *cobra.Command {
	c := &cobra.Command{Use: "sandlab", Short: "plays experiments on an emulated world", SilenceUsage: true, SilenceErrors: true}
	c.AddCommand(runCommand(), sweepCommand(), compareCommand(), searchCommand(), shrinkCommand(), replayCommand(),
		plotCommand(), policiesCommand(), recoveryCommand(), liveCommand(), loadCommand(), scaleCommand())
	return c
}

// newProgressBar returns a progress bar if out is a terminal, and a silent one otherwise.
func newProgressBar(out io.Writer, n int, label string) *progressbar.ProgressBar {
	terminal, ok := out.(*os.File)
	if st, err := terminal.Stat(); !ok || err != nil || st.Mode()&os.ModeCharDevice == 0 {
		return progressbar.DefaultSilent(int64(n))
	}
	return progressbar.NewOptions(n, progressbar.OptionSetWriter(terminal), progressbar.OptionSetDescription(label),
		progressbar.OptionShowCount(), progressbar.OptionClearOnFinish(), progressbar.OptionThrottle(100*time.Millisecond))
}

// runExperiment runs what is missing in a result folder, then writes and prints its summary table.
func runExperiment(c *cobra.Command, s *lab.ExpandedExperiment, dir string, cores int) error {
	folder, err := lab.OpenResultFolder(dir, s)
	if err != nil {
		return err
	}
	missing := len(folder.MissingRuns())
	b := newProgressBar(os.Stderr, missing, s.Name)
	err = folder.RunMissing(c.Context(), cores, func(lab.RunResult) { b.Add(1) })
	if e := folder.Close(); err == nil {
		err = e
	}
	b.Finish()
	if errors.Is(err, context.Canceled) {
		return fmt.Errorf("%s: interrupted; completed runs are kept, and the same command resumes after them", dir)
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

// resultDir returns the folder given by --out, or results/NAME for an experiment file NAME.toml.
func resultDir(dir, path string) string {
	if dir != "" {
		return dir
	}
	return filepath.Join("results", strings.TrimSuffix(filepath.Base(path), ".toml"))
}

// runCommand returns the command "run".
func runCommand() *cobra.Command {
	var dir string
	var cores int
	c := &cobra.Command{Use: "run EXPERIMENT.toml", Short: "play an experiment and keep its table, days and charts",
		Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			s, err := lab.ReadExperiment(args[0], nil)
			if err != nil {
				return err
			}
			dir := resultDir(dir, args[0])
			if err := runExperiment(c, s, dir, cores); err != nil {
				return err
			}
			return drawCharts(c, dir, 0, "g")
		}}
	c.Flags().StringVar(&dir, "out", "", "folder of the results (results/NAME)")
	addCoresFlag(c, &cores)
	return c
}

// sweepCommand returns the command "sweep".
func sweepCommand() *cobra.Command {
	var dir string
	var cores int
	var overrides []string
	c := &cobra.Command{Use: "sweep EXPERIMENT.toml --over PATH=V,V", Short: "play an experiment over further parameters",
		Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			if len(overrides) == 0 {
				return errors.New("--over PATH=VALUE,VALUE names what to sweep")
			}
			s, err := lab.ReadExperiment(args[0], overrides)
			if err != nil {
				return err
			}
			dir := resultDir(dir, args[0]+"-sweep")
			if err := runExperiment(c, s, dir, cores); err != nil {
				return err
			}
			return drawCharts(c, dir, 0, "g")
		}}
	c.Flags().StringVar(&dir, "out", "", "folder of the results")
	addCoresFlag(c, &cores)
	c.Flags().StringArrayVar(&overrides, "over", nil, "a parameter and its values, such as world.load=0.5,0.7; may be given again")
	return c
}

// compareCommand returns the command "compare".
func compareCommand() *cobra.Command {
	var metric, a, b string
	c := &cobra.Command{Use: "compare FOLDER [OTHER]",
		Short: "paired differences by seed, with their confidence interval",
		Long: "Compares policy A with policy B of one folder, or one policy between two folders of the same days," +
			"\n" +
			"such as those of two versions of the program.",
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
			all, err := lab.Compare(x, y, metric)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%s of A (%s, %s) and B (%s, %s), simulated\n",
				metric, x.Policy, args[0], y.Policy, args[len(args)-1])
			for _, difference := range all {
				where := "all"
				if difference.Cell != nil {
					where = ""
					for i, v := range difference.Cell {
						where += fmt.Sprintf("%s = %s ", s.Grid[i].Path, v)
					}
				}
				fmt.Fprintf(c.OutOrStdout(), "%s: %s\n", strings.TrimSpace(where), difference)
			}
			return nil
		}}
	c.Flags().StringVar(&metric, "figure", "g", "one of "+strings.Join(lab.Metrics(), ", "))
	c.Flags().StringVar(&a, "a", "module", "policy A")
	c.Flags().StringVar(&b, "b", "two", "policy B")
	return c
}

// addCoresFlag adds the flag --cores.
func addCoresFlag(c *cobra.Command, cores *int) {
	c.Flags().IntVar(cores, "cores", 0, "runs side by side, 0 for all cores")
}

// searchCommand returns the command "search".
func searchCommand() *cobra.Command {
	var dir, policy string
	var cores, budget, keep int
	var seed uint64
	c := &cobra.Command{Use: "search EXPERIMENT.toml", Short: "look for the days on which a policy does worst against the oracle",
		Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			s, err := lab.ReadExperiment(args[0], nil)
			if err != nil {
				return err
			}
			b := newProgressBar(os.Stderr, budget, "search")
			best, err := s.Search(c.Context(), policy, seed, budget, cores, func(done int, _ lab.SearchResult) { b.Set(done) })
			b.Finish()
			if err != nil && !errors.Is(err, context.Canceled) {
				return err
			}
			if err := os.MkdirAll(dir, 0o755); err != nil {
				return err
			}
			for i, result := range best[:min(keep, len(best))] {
				text, err := result.ExperimentTOML(fmt.Sprintf("%s-%d", s.Name, i+1))
				if err != nil {
					return err
				}
				path := filepath.Join(dir, fmt.Sprintf("%s-%d.toml", s.Name, i+1))
				if err := os.WriteFile(path, text, 0o644); err != nil {
					return err
				}
				fmt.Fprintf(c.OutOrStdout(), "%s\n%s", path, describeResult(result))
			}
			return nil
		}}
	c.Flags().StringVar(&dir, "out", "found", "folder for the days found")
	c.Flags().StringVar(&policy, "policy", "module", "which policy")
	c.Flags().IntVar(&budget, "budget", 256, "days to try")
	c.Flags().IntVar(&keep, "keep", 5, "days to keep")
	addCoresFlag(c, &cores)
	c.Flags().Uint64Var(&seed, "seed", 1, "of the search")
	return c
}

// describeResult formats a search result with its scores, broken rule and faults.
func describeResult(result lab.SearchResult) string {
	var b strings.Builder
	fmt.Fprintf(&b, "  %s G %.3f, oracle %.3f, seed %d, %d instances, %.0f s\n",
		result.Policy, result.G, result.Oracle, result.Seed, result.World.Instances, result.World.Duration)
	if result.Violation != "" {
		fmt.Fprintf(&b, "  BROKEN %s\n", result.Violation)
	}
	for _, x := range result.Plan {
		fmt.Fprintf(&b, "  %s\n", x)
	}
	return b.String()
}

// shrinkCommand returns the command "shrink".
func shrinkCommand() *cobra.Command {
	var path string
	var keep float64
	var cores int
	c := &cobra.Command{Use: "shrink FOUND.toml",
		Short: "cut a day down to the fewest faults and the smallest fleet that still show it",
		Args:  cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			s, err := lab.ReadExperiment(args[0], nil)
			if err != nil {
				return err
			}
			cell := s.Cells[0]
			result := lab.SearchResult{World: cell.World, Plan: cell.PlanFor(s.Seeds[0]), Seed: s.Seeds[0], Policy: s.Policies[0]}
			steps := 0
			result, err = lab.Shrink(c.Context(), result, keep, cores, func(lab.SearchResult) { steps++ })
			if err != nil {
				return err
			}
			text, err := result.ExperimentTOML(s.Name + "-small")
			if err != nil {
				return err
			}
			if path == "" {
				path = strings.TrimSuffix(args[0], ".toml") + "-small.toml"
			}
			if err := os.WriteFile(path, text, 0o644); err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%s after %d steps\n%s", path, steps, describeResult(result))
			return nil
		}}
	c.Flags().StringVar(&path, "out", "", "file for the small day (FOUND-small.toml)")
	c.Flags().Float64Var(&keep, "keep", 0.7, "part of the loss that must stay")
	addCoresFlag(c, &cores)
	return c
}

// replayCommand returns the command "replay".
func replayCommand() *cobra.Command {
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
			result, err := s.Run(r)
			if err != nil {
				return err
			}
			return lab.WriteReport(c.OutOrStdout(), result, "simulated")
		}}
	c.Flags().StringVar(&policy, "policy", "", "another than the file's first")
	c.Flags().Uint64Var(&seed, "seed", 0, "another than the file's first")
	return c
}

// drawCharts draws the charts of a result folder and prints their paths.
func drawCharts(c *cobra.Command, dir string, cell int, metric string) error {
	paths, err := lab.DrawCharts(dir, cell, metric)
	for _, path := range paths {
		fmt.Fprintln(c.OutOrStdout(), path)
	}
	return err
}

// plotCommand returns the command "plot".
func plotCommand() *cobra.Command {
	var cell int
	var metric string
	c := &cobra.Command{Use: "plot FOLDER", Short: "draw the charts of a folder of results",
		Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error { return drawCharts(c, args[0], cell, metric) }}
	c.Flags().IntVar(&cell, "cell", 0, "which cell of the grid the curves are of, from 0")
	c.Flags().StringVar(&metric, "figure", "g", "what to draw over the axes")
	return c
}

// policiesCommand returns the command "policies".
func policiesCommand() *cobra.Command {
	return &cobra.Command{Use: "policies", Short: "name the policies", Args: cobra.NoArgs, Run: func(c *cobra.Command, _ []string) {
		for _, n := range baseline.Names() {
			fmt.Fprintf(c.OutOrStdout(), "%-9s %s\n", n, baseline.Describe(n))
		}
	}}
}

// recoveryCommand returns the command "back".
func recoveryCommand() *cobra.Command {
	var proxies, seeds, cores, seconds int
	var loads, shares []float64
	var messages, names []string
	var kind, state, program string
	var live bool
	c := &cobra.Command{Use: "back", Short: "measure how soon all is served again after most proxies failed at once",
		Long: "Emulated: proxies before twice as many backends of two tiers; a share of them fails at 12 s and " +
			"is back at 16 s. The table has\n" +
			"the part served by second from the failure on (means), the seconds from the return until 0.99 of " +
			"what was served before is served\n" +
			"for 2 s, peaks at one backend over the highest before, and broken rules.",
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
							test := lab.LiveRecovery(proxies, load, share, m == "on", faults.Kind(kind))
							if err := runLiveRecovery(c, test, all, state, program, fmt.Sprintf("%s %.2g of %d live, load %.2f, messages %s, state %s",
								kind, share, proxies, load, m, cmp.Or(state, "not kept")), seconds); err != nil {
								return err
							}
							continue
						}
						for _, name := range names {
							test := lab.EmulatedRecovery(proxies, load, share, m == "on", faults.Kind(kind))
							results, err := test.Run(c.Context(), name, all, cores)
							if err != nil {
								return err
							}
							lab.WriteRecoveryRow(c.OutOrStdout(), fmt.Sprintf("%s %.2g of %d, load %.2f, messages %s, %s",
								kind, share, proxies, load, m, name), results, seconds)
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
	c.Flags().StringVar(&state, "state", "",
		"live: what becomes of what a proxy keeps: kept, lost, torn, old (nothing is kept)")
	c.Flags().StringVar(&program, "program", "",
		"live: the proxy's program, called as PROGRAM serve (this one)")
	c.Flags().StringVar(&kind, "kind", string(faults.KillInstances), "of the failure")
	addCoresFlag(c, &cores)
	return c
}

// runLiveRecovery runs a recovery test with real processes for each seed and prints its row.
func runLiveRecovery(c *cobra.Command, test lab.RecoveryTest, seeds []uint64, state, program, label string, seconds int) error {
	if !slices.Contains(testbed.SnapshotStates, state) {
		return fmt.Errorf("--state %q is none of %q", state, testbed.SnapshotStates)
	}
	command, env, _, err := proxyCommand(program)
	if err != nil {
		return err
	}
	var all []lab.RecoveryResult
	var recoverySeconds []float64
	maxSendDelay := 0.0
	for _, seed := range seeds {
		result, out, err := test.RunLive(c.Context(), seed, state, command, env)
		if err != nil {
			return err
		}
		for _, b := range out.Report.Violations {
			fmt.Fprintf(c.OutOrStdout(), "seed %d: BROKEN %s\n", seed, b)
		}
		all, recoverySeconds, maxSendDelay = append(all, result), append(recoverySeconds, out.RecoverySeconds...),
			max(maxSendDelay, out.MaxSendDelay)
	}
	lab.WriteRecoveryRow(c.OutOrStdout(), label, all, seconds)
	slices.Sort(recoverySeconds)
	if n := len(recoverySeconds); n > 0 {
		fmt.Fprintf(c.OutOrStdout(), "%d proxies that came back say they were of full use after %.2f s in the median, %.2f s at worst; ",
			n, recoverySeconds[n/2], recoverySeconds[n-1])
	}
	fmt.Fprintf(c.OutOrStdout(), "the rig itself was late by %.0f ms at most\n", 1000*maxSendDelay)
	return nil
}

// proxyCommand returns the command and environment that start a proxy: the given program, or this program as its own child.
func proxyCommand(program string) (command, env []string, isChild bool, err error) {
	if program != "" {
		return []string{program, "serve"}, nil, false, nil
	}
	executable, err := os.Executable()
	return []string{executable}, []string{testbed.RunProxyEnv + "=1"}, true, err
}

// liveCommand returns the command "live".
func liveCommand() *cobra.Command {
	var program string
	var seed uint64
	c := &cobra.Command{Use: "live DAY.toml", Short: "play one day on real sockets, in real time, with real proxies",
		Long: "Starts backends, discovery and clients as stand-ins on loopback and a proxy process for each instance, " +
			"plays the day\n" +
			"in real time and tells what the judge found. A world of a few processes fits on one machine.",
		Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			s, err := lab.ReadExperiment(args[0], nil)
			if err != nil {
				return err
			}
			at := s.Seeds[0]
			if c.Flags().Changed("seed") {
				at = seed
			}
			command, env, _, err := proxyCommand(program)
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
			result := lab.RunResult{Run: lab.Run{Policy: "sandpass", Seed: at}, Plan: plan, Report: out.Report}
			if err := lab.WriteReport(w, result, "on real sockets"); err != nil {
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

// loadCommand returns the command "load".
func loadCommand() *cobra.Command {
	var programs []string
	var connections, bodies []int
	var seconds, rate float64
	var repetitions int
	c := &cobra.Command{Use: "load", Short: "measure what one proxy on one core carries, and what it adds to a command",
		Long: "Closed loop for commands a second and processor time, open loop for latency, which counts from when " +
			"a command was due.\n" +
			"Each line beside the same clients straight to the backends; medians of several times, with their " +
			"spread.",
		Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			if len(programs) == 0 {
				programs = []string{""}
			}
			var loads []testbed.LoadTest
			for _, p := range programs {
				command, env, isChild, err := proxyCommand(p)
				if err != nil {
					return err
				}
				loads = append(loads, testbed.LoadTest{Seconds: seconds, OpenLoopRate: rate, Program: command, Env: env, Profile: isChild})
			}
			return testbed.WriteTable(c.Context(), c.OutOrStdout(), loads, programs, connections, bodies, repetitions)
		}}
	c.Flags().StringArrayVar(&programs, "program", nil,
		"the proxy's program, called as PROGRAM serve (this one); several are measured in turn")
	c.Flags().IntSliceVar(&connections, "connections", []int{1, 16, 64, 512}, "of the clients")
	c.Flags().IntSliceVar(&bodies, "body", []int{0}, "bytes of each command's body and answer")
	c.Flags().Float64Var(&seconds, "seconds", 3, "of each measure")
	c.Flags().Float64Var(&rate, "rate", 0, "commands a second of the open loop (half of what the closed loop reached)")
	c.Flags().IntVar(&repetitions, "times", 3, "how often each is measured")
	return c
}

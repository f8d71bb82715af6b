// This file executes runs in parallel and defines the columns of a row. Results come in the same order on any number of cores.

package lab

import (
	"context"
	"fmt"
	"runtime"
	"strconv"
	"strings"
	"sync"

	"sandpass/internal/baseline"
	"sandpass/internal/checker"
	"sandpass/internal/emulator"
	"sandpass/internal/faults"
)

// Run identifies one run of an experiment: a grid cell, a policy and a seed.
type Run struct {
	Index  int
	Cell   int
	Policy string
	Seed   uint64
}

// RunResult is the result of one run; Events counts the emulator's events.
type RunResult struct {
	Run
	Plan   faults.Plan
	Report *checker.Report
	Events uint64
}

// Runs returns all runs of an experiment in the order of their rows.
func (s *ExpandedExperiment) Runs() []Run {
	var all []Run
	for c := range s.Cells {
		for _, seed := range s.Seeds {
			for _, p := range s.Policies {
				all = append(all, Run{len(all), c, p, seed})
			}
		}
	}
	return all
}

// Run executes one run in the emulator.
func (s *ExpandedExperiment) Run(r Run) (RunResult, error) {
	m, err := baseline.Factory(r.Policy)
	if err != nil {
		return RunResult{}, err
	}
	c := &s.Cells[r.Cell]
	plan := c.PlanFor(r.Seed)
	a, events := emulator.Run(c.World, plan, m, r.Seed)
	return RunResult{r, plan, a, events}, nil
}

// workerCount returns how many runs to execute in parallel; 0 stands for all cores.
func workerCount(cores int) int {
	if cores <= 0 {
		return runtime.GOMAXPROCS(0)
	}
	return cores
}

// RunAll executes runs in parallel on the given number of cores (0: all) and passes each result to done in the order of the
// runs, one at a time. When the context ends, runs in progress are finished and passed on, and ctx.Err is returned.
func (s *ExpandedExperiment) RunAll(ctx context.Context, runs []Run, cores int, done func(RunResult) error) error {
	cores = workerCount(cores)
	var (
		mu      sync.Mutex
		next    int
		ready   = map[int]RunResult{}
		handed  int
		failure error
		wait    sync.WaitGroup
	)
	deliver := func(i int, d RunResult) {
		mu.Lock()
		defer mu.Unlock()
		ready[i] = d
		for failure == nil {
			d, ok := ready[handed]
			if !ok {
				return
			}
			delete(ready, handed)
			handed++
			failure = done(d)
		}
	}
	for range min(cores, len(runs)) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for {
				mu.Lock()
				i, stop := next, failure != nil || ctx.Err() != nil || next >= len(runs)
				next++
				mu.Unlock()
				if stop {
					return
				}
				d, err := s.Run(runs[i])
				if err != nil {
					mu.Lock()
					failure = err
					mu.Unlock()
					return
				}
				deliver(i, d)
			}
		}()
	}
	wait.Wait()
	if failure != nil {
		return failure
	}
	return ctx.Err()
}

// metrics are the numeric columns of a row, which can be compared and charted.
var metrics = []struct {
	name  string
	about string
	of    func(d *RunResult) float64
}{
	{"g", "worth served less prices, over worth asked; 0 where a rule broke",
		func(d *RunResult) float64 { return d.Report.Score(true) }},
	{"served", "worth served over worth asked",
		func(d *RunResult) float64 { return d.Report.ServedUtility / max(d.Report.OfferedUtility, 1e-9) }},
	{"worst10", "the same in the worst ten seconds", func(d *RunResult) float64 { return d.Report.WorstTenSeconds() }},
	{"worst_customer", "the same of the customer that fared worst",
		func(d *RunResult) float64 { return d.Report.WorstCustomer() }},
	{"prices", "prices over worth asked",
		func(d *RunResult) float64 { return d.Report.Costs / max(d.Report.OfferedUtility, 1e-9) }},
	{"operations", "asked for", func(d *RunResult) float64 { return float64(d.Report.Operations) }},
	{"answered", "of them", func(d *RunResult) float64 { return float64(d.Report.Answered) }},
	{"relays", "sent", func(d *RunResult) float64 { return float64(d.Report.Relays) }},
	{"further", "relays beyond the first of a command", func(d *RunResult) float64 { return float64(d.Report.FurtherRelays) }},
	{"messages", "between siblings", func(d *RunResult) float64 { return float64(d.Report.Messages) }},
	{"p50", "seconds, answered", func(d *RunResult) float64 { return d.Report.Quantile(0.5) }},
	{"p99", "seconds, answered", func(d *RunResult) float64 { return d.Report.Quantile(0.99) }},
	{"p999", "seconds, answered", func(d *RunResult) float64 { return d.Report.Quantile(0.999) }},
	{"rule1", "broken", func(d *RunResult) float64 { return float64(d.Report.RuleCounts[1]) }},
	{"rule2", "broken", func(d *RunResult) float64 { return float64(d.Report.RuleCounts[2]) }},
	{"rule3", "broken", func(d *RunResult) float64 { return float64(d.Report.RuleCounts[3]) }},
	{"rule4", "broken", func(d *RunResult) float64 { return float64(d.Report.RuleCounts[4]) }},
	{"events", "of the world", func(d *RunResult) float64 { return float64(d.Events) }},
}

// Metrics returns the names of the metrics.
func Metrics() []string {
	var all []string
	for _, f := range metrics {
		all = append(all, f.name)
	}
	return all
}

// header returns the column names of the table.
func (s *ExpandedExperiment) header() []string {
	all := []string{"run"}
	for _, a := range s.Grid {
		all = append(all, a.Path)
	}
	all = append(all, "policy", "seed")
	all = append(all, Metrics()...)
	return append(all, "losses", "first_broken", "plan")
}

// row returns the cells of a run's row. It has the three largest losses, as a share of the offered utility.
func (s *ExpandedExperiment) row(d *RunResult) []string {
	all := []string{strconv.Itoa(d.Index)}
	all = append(all, s.Cells[d.Cell].Values...)
	all = append(all, d.Policy, strconv.FormatUint(d.Seed, 10))
	for _, f := range metrics {
		all = append(all, strconv.FormatFloat(f.of(d), 'g', 6, 64))
	}
	var losses []string
	for _, l := range d.Report.Losses[:min(3, len(d.Report.Losses))] {
		losses = append(losses, fmt.Sprintf("%s at %s of tier %d %.4f", l.Cause, l.Place, l.Tier,
			l.Utility/max(d.Report.OfferedUtility, 1e-9)))
	}
	broken := ""
	if len(d.Report.Violations) > 0 {
		broken = d.Report.Violations[0].String()
	}
	var plan []string
	for _, f := range d.Plan {
		plan = append(plan, f.String())
	}
	return append(all, strings.Join(losses, "; "), broken, strings.Join(plan, "; "))
}

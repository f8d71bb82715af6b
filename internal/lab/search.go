// This file searches for runs in which a policy does badly, and shrinks such a run to the faults that matter. The result does
// not depend on the number of cores.

package lab

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/pelletier/go-toml/v2"

	"sandpass/internal/baseline"
	"sandpass/internal/checker"
	"sandpass/internal/emulator"
	"sandpass/internal/faults"
)

const (
	batchSize   = 32   // plans evaluated before the worst ones are selected again
	eliteCount  = 8    // worst results that new plans are derived from
	freshShare  = 0.5  // share of a batch that is drawn at random
	maxMutation = 0.35 // maximum relative change of a fault parameter in one step
)

// SearchResult is a run in which the policy does much worse than the oracle, or breaks a rule.
type SearchResult struct {
	World     emulator.World
	Plan      faults.Plan
	Seed      uint64
	Policy    string
	Loss      float64 // the oracle's G minus the policy's
	Violation string  // the first broken rule, empty if none
	G, Oracle float64
}

// compareWorst orders results from worst to best: those with a broken rule first, then by loss.
func compareWorst(x, y SearchResult) int {
	switch {
	case (x.Violation != "") != (y.Violation != ""):
		if x.Violation != "" {
			return -1
		}
		return 1
	case x.Loss > y.Loss:
		return -1
	case x.Loss < y.Loss:
		return 1
	}
	return 0
}

// evaluate runs the plan with the policy and with the oracle, and fills in their scores.
func (f SearchResult) evaluate() (SearchResult, error) {
	f.Violation = ""
	var reports [2]*checker.Report
	for i, name := range []string{f.Policy, baseline.Oracle} {
		m, err := baseline.Factory(name)
		if err != nil {
			return f, err
		}
		reports[i], _ = emulator.Run(f.World, f.Plan, m, f.Seed)
	}
	f.G, f.Oracle = reports[0].Score(false), reports[1].Score(false)
	f.Loss = f.Oracle - f.G
	if reports[0].ViolationCount() > 0 {
		f.Violation = reports[0].Violations[0].String()
	}
	return f, nil
}

// parallelMap applies do to each element in parallel and returns the results in order. It stops early when ctx ends.
func parallelMap[T, R any](ctx context.Context, items []T, cores int, do func(T) (R, error)) ([]R, error) {
	out := make([]R, len(items))
	errs := make([]error, len(items))
	var wait sync.WaitGroup
	slots := make(chan struct{}, cores)
	for i, x := range items {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		slots <- struct{}{}
		wait.Add(1)
		go func() {
			defer wait.Done()
			out[i], errs[i] = do(x)
			<-slots
		}()
	}
	wait.Wait()
	return out, errors.Join(errs...)
}

// Search runs budget plans in the world of the first cell and returns the worst results, one for each combination of fault
// kinds. Half of each batch is drawn at random, the rest are mutations of the worst plans so far.
func (s *ExpandedExperiment) Search(ctx context.Context, policy string, seed uint64, budget, cores int,
	progress func(done int, worst SearchResult)) ([]SearchResult, error) {
	cores = workerCount(cores)
	c := &s.Cells[0]
	e := c.World.Bounds()
	r := rand.New(rand.NewPCG(seed, 0x736561726368))
	var best []SearchResult
	for done := 0; done < budget; {
		var candidates []SearchResult
		for len(candidates) < min(batchSize, budget-done) {
			f := SearchResult{World: c.World, Policy: policy, Seed: r.Uint64() >> 1}
			if len(best) < eliteCount || r.Float64() < freshShare {
				f.Plan = append(slices.Clone(c.Plan), faults.Random(r.Uint64(), 1+r.IntN(max(1, c.RandomFaults)), e)...)
			} else {
				old := best[r.IntN(min(eliteCount, len(best)))]
				f.Plan, f.Seed = mutatePlan(r, old.Plan, e), old.Seed
			}
			if f.Plan.Check(e) == nil {
				candidates = append(candidates, f)
			}
		}
		results, err := parallelMap(ctx, candidates, cores, SearchResult.evaluate)
		if err != nil {
			return best, err
		}
		done += len(results)
		best = append(best, results...)
		slices.SortStableFunc(best, compareWorst)
		best = keepWorstPerKinds(best)
		progress(done, best[0])
	}
	return best, nil
}

// keepWorstPerKinds keeps the worst result for each combination of fault kinds, so that one weakness does not crowd out the
// others.
func keepWorstPerKinds(results []SearchResult) []SearchResult {
	seen := map[string]bool{}
	return slices.DeleteFunc(results, func(f SearchResult) bool {
		var kinds []string
		for _, x := range f.Plan {
			kinds = append(kinds, string(x.Kind))
		}
		slices.Sort(kinds)
		key := fmt.Sprint(kinds)
		duplicate := seen[key]
		seen[key] = true
		return duplicate
	})
}

// mutatePlan returns a copy of the plan with one parameter of one fault changed, a fault added, or a fault removed.
func mutatePlan(r *rand.Rand, p faults.Plan, e faults.Bounds) faults.Plan {
	q := slices.Clone(p)
	vary := func(x float64) float64 { return x * (1 + maxMutation*(2*r.Float64()-1)) }
	switch n := r.IntN(len(q)); r.IntN(6) {
	case 0:
		q[n].From = vary(q[n].From)
	case 1:
		q[n].For = vary(q[n].For)
	case 2:
		q[n].Share = min(1, vary(q[n].Share))
	case 3:
		q[n].Hard = min(q[n].Kind.MaxSeverity(), vary(q[n].Hard))
	case 4:
		q = append(q, faults.Random(r.Uint64(), 1, e)...)
	case 5:
		if len(q) > 1 {
			q = slices.Delete(q, n, n+1)
		}
	}
	return q
}

// Shrink reduces a result to fewer and milder faults, a smaller fleet and a shorter run, as long as it still breaks a rule, or
// still has the share keep of the original loss.
func Shrink(ctx context.Context, f SearchResult, keep float64, cores int, progress func(SearchResult)) (SearchResult, error) {
	cores = workerCount(cores)
	f, err := f.evaluate()
	if err != nil {
		return f, err
	}
	rule, loss := f.Violation != "", f.Loss
	if !rule && loss <= 0 {
		return f, fmt.Errorf("nothing to shrink: no rule is broken, and the oracle is not better (G %.3f and %.3f)", f.G, f.Oracle)
	}
	for {
		var candidates []SearchResult
		for _, p := range f.Plan.Reductions() {
			candidates = append(candidates, SearchResult{World: f.World, Plan: p, Seed: f.Seed, Policy: f.Policy})
		}
		for _, w := range smallerWorlds(f.World) {
			if w.Check() == nil && f.Plan.Check(w.Bounds()) == nil {
				candidates = append(candidates, SearchResult{World: w, Plan: f.Plan, Seed: f.Seed, Policy: f.Policy})
			}
		}
		next := -1
		for at := 0; at < len(candidates) && next < 0; at += cores {
			results, err := parallelMap(ctx, candidates[at:min(at+cores, len(candidates))], cores, SearchResult.evaluate)
			if err != nil {
				return f, err
			}
			// Takes the first candidate that qualifies; later ones of the same round are ignored, whatever the number of cores.
			next = slices.IndexFunc(results, func(x SearchResult) bool {
				return rule && x.Violation != "" || !rule && x.Loss >= keep*loss
			})
			if next >= 0 {
				f = results[next]
			}
		}
		if next < 0 {
			return f, nil
		}
		progress(f)
	}
}

// smallerWorlds returns the worlds that are one step smaller: shorter, or with fewer instances, backends, customers or verbs.
func smallerWorlds(w emulator.World) []emulator.World {
	var worlds []emulator.World
	if x := w; w.Duration > 8 {
		x.Duration = float64(int(w.Duration * 0.75))
		worlds = append(worlds, x)
	}
	if x := w; w.Instances > 2 {
		x.Instances = w.Instances / 2
		worlds = append(worlds, x)
	}
	halved := false
	x := w
	x.Tiers = slices.Clone(w.Tiers)
	for i := range x.Tiers {
		if x.Tiers[i].Backends > 3 {
			x.Tiers[i].Backends, halved = (x.Tiers[i].Backends+1)/2, true
		}
	}
	if halved && w.Rate == 0 {
		worlds = append(worlds, x)
	}
	if x := w; len(w.Customers) > 0 {
		x.Customers = nil
		worlds = append(worlds, x)
	}
	if len(w.Verbs) > 1 {
		for i := range w.Verbs {
			x := w
			x.Verbs = slices.Delete(slices.Clone(w.Verbs), i, i+1)
			worlds = append(worlds, x)
		}
	}
	return worlds
}

// ExperimentTOML returns the run as the text of an experiment file.
func (f SearchResult) ExperimentTOML(name string) ([]byte, error) {
	return toml.Marshal(Experiment{Name: name, Policies: []string{f.Policy, baseline.Oracle}, Seeds: []uint64{f.Seed},
		World: f.World, Plan: f.Plan})
}

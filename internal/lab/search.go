// This file owns the search for days on which a policy does badly, and how such a day is cut down to what matters. It
// must never decide by a figure that another core count would change.

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
	batch  = 32   // plans that are tried before the best are drawn from again
	elite  = 8    // of them
	fresh  = 0.5  // part of a batch that is drawn anew
	mutate = 0.35 // part of a fault's figure that a step changes it by, at most
)

// Found is a day on which the policy loses much against the oracle, or breaks a rule.
type SearchResult struct {
	World     emulator.World
	Plan      faults.Plan
	Seed      uint64
	Policy    string
	Loss      float64 // the oracle's G less the policy's
	Violation string  // the first broken rule, if one broke
	G, Oracle float64
}

// worse orders found days, the worst first: broken rules, then by loss.
func worse(x, y SearchResult) int {
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

// weigh plays a day for the policy and for the oracle.
func (f SearchResult) weigh() (SearchResult, error) {
	f.Violation = ""
	var accounts [2]*checker.Report
	for i, name := range []string{f.Policy, baseline.Oracle} {
		m, err := baseline.Factory(name)
		if err != nil {
			return f, err
		}
		accounts[i], _ = emulator.Run(f.World, f.Plan, m, f.Seed)
	}
	f.G, f.Oracle = accounts[0].Score(false), accounts[1].Score(false)
	f.Loss = f.Oracle - f.G
	if accounts[0].ViolationCount() > 0 {
		f.Violation = accounts[0].Violations[0].String()
	}
	return f, nil
}

// side does the same to each of a list side by side and gives what came of them in its order; ctx ends it early.
func side[T, R any](ctx context.Context, all []T, cores int, do func(T) (R, error)) ([]R, error) {
	out := make([]R, len(all))
	errs := make([]error, len(all))
	var wait sync.WaitGroup
	slots := make(chan struct{}, cores)
	for i, x := range all {
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

// Search plays so many plans in the first cell's world and gives the worst, each kind of fault set once. Half of each
// batch is drawn anew, the rest from the worst so far with a change.
func (s *ExpandedExperiment) Search(ctx context.Context, policy string, seed uint64, budget, cores int, told func(done int, worst SearchResult)) ([]SearchResult, error) {
	cores = workers(cores)
	c := &s.Cells[0]
	e := c.World.Bounds()
	r := rand.New(rand.NewPCG(seed, 0x736561726368))
	var best []SearchResult
	for done := 0; done < budget; {
		var tries []SearchResult
		for len(tries) < min(batch, budget-done) {
			f := SearchResult{World: c.World, Policy: policy, Seed: r.Uint64() >> 1}
			if len(best) < elite || r.Float64() < fresh {
				f.Plan = append(slices.Clone(c.Plan), faults.Random(r.Uint64(), 1+r.IntN(max(1, c.RandomFaults)), e)...)
			} else {
				old := best[r.IntN(min(elite, len(best)))]
				f.Plan, f.Seed = change(r, old.Plan, e), old.Seed
			}
			if f.Plan.Check(e) == nil {
				tries = append(tries, f)
			}
		}
		got, err := side(ctx, tries, cores, SearchResult.weigh)
		if err != nil {
			return best, err
		}
		done += len(got)
		best = append(best, got...)
		slices.SortStableFunc(best, worse)
		best = distinct(best)
		told(done, best[0])
	}
	return best, nil
}

// distinct keeps the worst day of each set of kinds, so that one weakness does not crowd out the others.
func distinct(all []SearchResult) []SearchResult {
	seen := map[string]bool{}
	return slices.DeleteFunc(all, func(f SearchResult) bool {
		var kinds []string
		for _, x := range f.Plan {
			kinds = append(kinds, string(x.Kind))
		}
		slices.Sort(kinds)
		key := fmt.Sprint(kinds)
		was := seen[key]
		seen[key] = true
		return was
	})
}

// change gives a plan with one figure of one fault moved, a fault more, or one less.
func change(r *rand.Rand, p faults.Plan, e faults.Bounds) faults.Plan {
	q := slices.Clone(p)
	move := func(x float64) float64 { return x * (1 + mutate*(2*r.Float64()-1)) }
	switch n := r.IntN(len(q)); r.IntN(6) {
	case 0:
		q[n].From = move(q[n].From)
	case 1:
		q[n].For = move(q[n].For)
	case 2:
		q[n].Share = min(1, move(q[n].Share))
	case 3:
		q[n].Hard = min(q[n].Kind.MaxSeverity(), move(q[n].Hard))
	case 4:
		q = append(q, faults.Random(r.Uint64(), 1, e)...)
	case 5:
		if len(q) > 1 {
			q = slices.Delete(q, n, n+1)
		}
	}
	return q
}

// Shrink cuts a found day down: fewer and milder faults, a smaller fleet, a shorter day, as long as it still breaks a
// rule, or loses the part keep of what it lost.
func Shrink(ctx context.Context, f SearchResult, keep float64, cores int, told func(SearchResult)) (SearchResult, error) {
	cores = workers(cores)
	f, err := f.weigh()
	if err != nil {
		return f, err
	}
	rule, loss := f.Violation != "", f.Loss
	if !rule && loss <= 0 {
		return f, fmt.Errorf("nothing to shrink: no rule breaks, and the oracle is not ahead (G %.3f and %.3f)", f.G, f.Oracle)
	}
	for {
		var tries []SearchResult
		for _, p := range f.Plan.Reductions() {
			tries = append(tries, SearchResult{World: f.World, Plan: p, Seed: f.Seed, Policy: f.Policy})
		}
		for _, w := range smaller(f.World) {
			if w.Check() == nil && f.Plan.Check(w.Bounds()) == nil {
				tries = append(tries, SearchResult{World: w, Plan: f.Plan, Seed: f.Seed, Policy: f.Policy})
			}
		}
		next := -1
		for at := 0; at < len(tries) && next < 0; at += cores {
			got, err := side(ctx, tries[at:min(at+cores, len(tries))], cores, SearchResult.weigh)
			if err != nil {
				return f, err
			}
			// The first that will do, whatever the cores: those after it in the same go are not looked at.
			next = slices.IndexFunc(got, func(x SearchResult) bool { return rule && x.Violation != "" || !rule && x.Loss >= keep*loss })
			if next >= 0 {
				f = got[next]
			}
		}
		if next < 0 {
			return f, nil
		}
		told(f)
	}
}

// smaller are worlds one step less: shorter, with fewer instances, backends, customers or verbs.
func smaller(w emulator.World) []emulator.World {
	var all []emulator.World
	if x := w; w.Duration > 8 {
		x.Duration = float64(int(w.Duration * 0.75))
		all = append(all, x)
	}
	if x := w; w.Instances > 2 {
		x.Instances = w.Instances / 2
		all = append(all, x)
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
		all = append(all, x)
	}
	if x := w; len(w.Customers) > 0 {
		x.Customers = nil
		all = append(all, x)
	}
	if len(w.Verbs) > 1 {
		for i := range w.Verbs {
			x := w
			x.Verbs = slices.Delete(slices.Clone(w.Verbs), i, i+1)
			all = append(all, x)
		}
	}
	return all
}

// Sheet gives a found day as an experiment's text, to be read again.
func (f SearchResult) ExperimentTOML(name string) ([]byte, error) {
	return toml.Marshal(Experiment{Name: name, Policies: []string{f.Policy, baseline.Oracle}, Seeds: []uint64{f.Seed}, World: f.World, Plan: f.Plan})
}

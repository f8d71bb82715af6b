// This file owns the tests of the stated budget of further relays and of what is told wrong about time. It must never
// take the module's own count for the truth: relays and commands are counted here anew.
package balance

import (
	"math/rand/v2"
	"testing"
)

// ration counts as the rule does, at each relay, what its command's first relays left out.
type ration struct {
	*fakeHost
	budget         RelayBudget
	taken, further []float64
	seen           int
	over           int
	closest        float64 // the largest part of the budget that was used
}

func newRation(t *testing.T, effect Effect, f RelayBudget) *ration {
	h := start(t, setup{
		verb:   Verb{Effect: effect, Goal: 0.5, TimeLimit: 2, Utility: 1, LateUtility: 0.5, DedupWindow: 4, Scope: ScopeCell},
		limits: Limits{MaxRelays: 5, SecondCopies: true, CancelRelays: true, ExtraRelays: f},
	})
	return &ration{fakeHost: h, budget: f}
}

func count(times []float64, from float64) (n float64) {
	for _, t := range times {
		if t >= from {
			n++
		}
	}
	return n
}

// check takes in the relays since it was last called.
func (r *ration) check() {
	for ; r.seen < len(r.relays); r.seen++ {
		first := true
		for _, s := range r.relays[:r.seen] {
			first = first && s.cmd != r.relays[r.seen].cmd
		}
		if first {
			continue
		}
		r.further = append(r.further, r.now)
		used := count(r.further, r.now-r.budget.Span)
		allowed := r.budget.Free + r.budget.PerCommand*count(r.taken, r.now-r.budget.Span+1e-9)
		r.closest = max(r.closest, used/allowed)
		if used > allowed {
			r.over++
		}
	}
}

func (r *ration) command(id uint64, left float64) {
	r.taken = append(r.taken, r.now)
	r.b.CommandReceived(r.now, id, 0, 0, r.now+left, 0)
	r.check()
}

// TestFurtherRelaysStayInTheirBudget is the story of an overload day: nearly every relay fails, in every way, and each
// command would be sent again, up to 28 times in 5 s where 20 were allowed.
func TestFurtherRelaysStayInTheirBudget(t *testing.T) {
	for name, f := range map[string]RelayBudget{
		"as it is stated": {3, 0.1, 5}, "nothing free": {0, 0.1, 5}, "nothing at all": {0, 0, 5}, "a short window": {1, 0.2, 0.3},
	} {
		for _, effect := range []Effect{Pure, Receipted, Effectful} {
			r := newRation(t, effect, f)
			chance := rand.New(rand.NewPCG(3, 4))
			results := []Result{Errored, Full, ConnectFailed, Reset, NotSent, Answered}
			id := uint64(0)
			for step := range 4000 { // 20 s: a start with no history, bursts, and quiet after them
				r.until(r.now + 0.005)
				r.check()
				for range []int{1, 0, 4, 0}[step/500%4] {
					id++
					r.command(id, 2)
				}
				for n, s := range r.relays {
					if c := r.b.commands[s.cmd]; n+60 > len(r.relays) && c != nil && chance.Float64() < 0.1 {
						if at := chance.IntN(len(c.relays)); c.relays[at].out {
							r.outcome(s.cmd, at, results[chance.IntN(len(results))])
							r.check()
						}
					}
				}
			}
			if r.over > 0 {
				t.Errorf("%s, effect %d: %d further relays over the budget", name, effect, r.over)
			}
			if f.PerCommand > 0 && r.closest < 0.6 {
				t.Errorf("%s, effect %d: only %.2f of the budget was ever used", name, effect, r.closest)
			}
			r.until(r.now + 3)
			for cmd := range id {
				if !r.ended[cmd+1] {
					t.Fatalf("%s, effect %d: command %d was left without an answer", name, effect, cmd+1)
				}
			}
		}
	}
}

func TestAUsedUpBudgetAnswersAtOnce(t *testing.T) {
	r := newRation(t, Pure, RelayBudget{1, 0, 5})
	for id := uint64(1); id <= 4; id++ {
		r.command(id, 2)
		r.outcome(id, 0, Full)
		r.check()
	}
	if len(r.further) != 1 || len(r.declined) != 3 {
		t.Errorf("%d further relays and %d declined at once, not 1 and 3", len(r.further), len(r.declined))
	}
	r.until(r.now + 5.1)
	r.command(9, 2)
	if r.outcome(9, 0, Full); len(r.toOf(9)) != 2 {
		t.Error("after the window the budget should be open again")
	}
}

func TestABudgetStatedLaterCountsWhatWentBefore(t *testing.T) {
	r := newRation(t, Pure, RelayBudget{})
	r.command(1, 2)
	r.outcome(1, 0, Full)
	b := r.b
	l := b.limits
	l.ExtraRelays = RelayBudget{2, 0, 5}
	b.Configure(r.now, b.tick, b.place, []Verb{b.verbs[0].Verb}, nil, 0.1, l, b.cold, false)
	r.command(2, 2)
	if r.outcome(2, 0, Full); len(r.toOf(2)) != 1 {
		t.Error("what was sent before the budget was stated is not known, so nothing may go yet")
	}
}

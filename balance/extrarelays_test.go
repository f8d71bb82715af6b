// This file tests the budget of relays beyond each command's first. Relays and commands are counted independently
// of the code under test.

package balance

import (
	"math/rand/v2"
	"testing"
)

// budgetCounter checks the budget at each relay beyond a command's first.
type budgetCounter struct {
	*fakeHost
	budget                RelayBudget
	commands, extraRelays []float64
	seen                  int
	violations            int
	maxUsed               float64 // largest used share of the budget
}

func newBudgetCounter(t *testing.T, effect Effect, budget RelayBudget) *budgetCounter {
	h := startBalancer(t, setup{
		verb:   Verb{Effect: effect, Goal: 0.5, TimeLimit: 2, Utility: 1, LateUtility: 0.5, DedupWindow: 4, Scope: ScopeCell},
		limits: Limits{MaxRelays: 5, Hedges: true, CancelRelays: true, ExtraRelays: budget},
	})
	return &budgetCounter{fakeHost: h, budget: budget}
}

func countSince(times []float64, from float64) (n float64) {
	for _, t := range times {
		if t >= from {
			n++
		}
	}
	return n
}

// check processes the relays sent since its last call.
func (r *budgetCounter) check() {
	for ; r.seen < len(r.relays); r.seen++ {
		first := true
		for _, s := range r.relays[:r.seen] {
			first = first && s.cmd != r.relays[r.seen].cmd
		}
		if first {
			continue
		}
		r.extraRelays = append(r.extraRelays, r.now)
		used := countSince(r.extraRelays, r.now-r.budget.Span)
		allowed := r.budget.Free + r.budget.PerCommand*countSince(r.commands, r.now-r.budget.Span+1e-9)
		r.maxUsed = max(r.maxUsed, used/allowed)
		if used > allowed {
			r.violations++
		}
	}
}

func (r *budgetCounter) command(id uint64, timeLeft float64) {
	r.commands = append(r.commands, r.now)
	r.b.CommandReceived(r.now, id, 0, 0, r.now+timeLeft, 0)
	r.check()
}

// TestExtraRelaysStayWithinBudget guards against retry storms: in an overload nearly every relay failed, in every
// way, and commands were sent again up to 28 times in 5 s where 20 were allowed.
func TestExtraRelaysStayWithinBudget(t *testing.T) {
	for name, budget := range map[string]RelayBudget{
		"default budget": {3, 0.1, 5}, "no free relays": {0, 0.1, 5}, "empty budget": {0, 0, 5}, "short window": {1, 0.2, 0.3},
	} {
		for _, effect := range []Effect{Pure, Receipted, Effectful} {
			r := newBudgetCounter(t, effect, budget)
			rng := rand.New(rand.NewPCG(3, 4))
			results := []Result{Errored, Full, ConnectFailed, Reset, NotSent, Answered}
			id := uint64(0)
			for step := range 4000 { // 20 s: a start without history, bursts, and quiet periods after them
				r.advanceTo(r.now + 0.005)
				r.check()
				for range []int{1, 0, 4, 0}[step/500%4] {
					id++
					r.command(id, 2)
				}
				for n, s := range r.relays {
					if c := r.b.commands[s.cmd]; n+60 > len(r.relays) && c != nil && rng.Float64() < 0.1 {
						if at := rng.IntN(len(c.relays)); c.relays[at].pending {
							r.outcome(s.cmd, at, results[rng.IntN(len(results))])
							r.check()
						}
					}
				}
			}
			if r.violations > 0 {
				t.Errorf("%s, effect %d: %d extra relays over the budget", name, effect, r.violations)
			}
			if budget.PerCommand > 0 && r.maxUsed < 0.6 {
				t.Errorf("%s, effect %d: at most %.2f of the budget was used", name, effect, r.maxUsed)
			}
			r.advanceTo(r.now + 3)
			for cmd := range id {
				if !r.ended[cmd+1] {
					t.Fatalf("%s, effect %d: command %d got no final answer", name, effect, cmd+1)
				}
			}
		}
	}
}

func TestExhaustedBudgetDeclinesAtOnce(t *testing.T) {
	r := newBudgetCounter(t, Pure, RelayBudget{1, 0, 5})
	for id := uint64(1); id <= 4; id++ {
		r.command(id, 2)
		r.outcome(id, 0, Full)
		r.check()
	}
	if len(r.extraRelays) != 1 || len(r.declined) != 3 {
		t.Errorf("%d extra relays and %d declined at once, want 1 and 3", len(r.extraRelays), len(r.declined))
	}
	r.advanceTo(r.now + 5.1)
	r.command(9, 2)
	if r.outcome(9, 0, Full); len(r.relaysOf(9)) != 2 {
		t.Error("no extra relay after the budget's window has passed")
	}
}

func TestNewBudgetAssumesEarlierRelays(t *testing.T) {
	r := newBudgetCounter(t, Pure, RelayBudget{})
	r.command(1, 2)
	r.outcome(1, 0, Full)
	b := r.b
	l := b.limits
	l.ExtraRelays = RelayBudget{2, 0, 5}
	b.Configure(r.now, b.tick, b.placement, []Verb{b.verbs[0].Verb}, nil, 0.1, l, b.coldStart, false)
	r.command(2, 2)
	if r.outcome(2, 0, Full); len(r.relaysOf(2)) != 1 {
		t.Error("extra relay sent although earlier ones, before the budget was set, are unknown")
	}
}

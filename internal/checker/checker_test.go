package checker

import (
	"math"
	"strings"
	"testing"
)

var terms = Config{AnswerSlack: 0.001, DrainGrace: 0.4, ColdMultiple: 2, ColdWindow: 1, SecondCopies: true, Duration: 20, Customers: 2, LateDeclinePrice: 0.3, RelayPrice: 0.1}

// told plays a few facts and gives what was found.
func told(t Config, facts func(j *Checker)) *Report {
	j := New(t)
	facts(j)
	return j.Close(20)
}

func TestRulesByTheFactsAlone(t *testing.T) {
	cmd := func(e Effect, s Scope) Command {
		return Command{ID: 1, Operation: 1, Instance: 3, Expires: 2, Effect: e, Scope: s, DedupWindow: 1}
	}
	for _, c := range []struct {
		name  string
		rule  Rule // 0: none
		want  string
		facts func(j *Checker)
	}{
		{"in time", 0, "", func(j *Checker) { j.CommandAccepted(1, cmd(Pure, ScopeAll)); j.CommandEnded(2, 1, true, false, false) }},
		{"late", OneAnswer, "after its limit", func(j *Checker) {
			j.CommandAccepted(1, cmd(Pure, ScopeAll))
			j.CommandEnded(2.1, 1, true, false, false)
		}},
		{"never", OneAnswer, "never had", func(j *Checker) { j.CommandAccepted(1, cmd(Pure, ScopeAll)) }},
		{"twice", OneAnswer, "second final", func(j *Checker) {
			j.CommandAccepted(1, cmd(Pure, ScopeAll))
			j.RelaySent(1, 1, 7, 0, 0, false)
			j.CommandEnded(1.1, 1, true, false, false)
			j.CommandEnded(1.2, 1, true, false, false)
		}},
		{"made up", OneAnswer, "no backend made", func(j *Checker) {
			j.CommandAccepted(1, cmd(Pure, ScopeAll))
			j.CommandEnded(1.1, 1, false, true, false)
		}},
		{"killed owes nothing", 0, "", func(j *Checker) { j.CommandAccepted(1, cmd(Pure, ScopeAll)); j.InstanceKilled(3) }},
		{"departed owes nothing", 0, "", func(j *Checker) { j.CommandAccepted(1, cmd(Pure, ScopeAll)); j.ClientDisconnected(1) }},
		{"effectful while out", NoDoubleEffect, "may have run", func(j *Checker) {
			j.CommandAccepted(1, cmd(Effectful, ScopeAll))
			j.RelaySent(1, 1, 7, 0, 0, false)
			j.RelaySent(1.1, 1, 8, 0, 0, false)
			j.CommandEnded(1.2, 1, false, false, false)
		}},
		{"effectful that never ran", 0, "", func(j *Checker) {
			j.CommandAccepted(1, cmd(Effectful, ScopeAll))
			j.RelaySent(1, 1, 7, 0, 0, false)
			j.RelayEnded(1, 0, true)
			j.RelaySent(1.1, 1, 8, 0, 0, false)
			j.RelayEnded(1, 1, true)
			j.CommandEnded(1.2, 1, true, false, false)
		}},
		{"declined after it may have run", NoDoubleEffect, "rejects request", func(j *Checker) {
			j.CommandAccepted(1, cmd(Effectful, ScopeAll))
			j.RelaySent(1, 1, 7, 0, 0, false)
			j.RelayEnded(1, 0, false)
			j.CommandEnded(1.2, 1, true, false, false)
		}},
		{"outside its cell", NoDoubleEffect, "outside of the group", func(j *Checker) {
			j.CommandAccepted(1, cmd(Receipted, ScopeCell))
			j.RelaySent(1, 1, 7, 0, 4, false)
			j.RelaySent(1.1, 1, 8, 0, 5, false)
			j.CommandEnded(1.2, 1, false, false, false)
		}},
		{"past its window", NoDoubleEffect, "its window is", func(j *Checker) {
			j.CommandAccepted(0.5, cmd(Receipted, ScopeCell))
			j.RelaySent(0.5, 1, 7, 0, 4, false)
			j.RelaySent(1.6, 1, 8, 0, 4, false)
			j.CommandEnded(1.7, 1, false, false, false)
		}},
		{"ran twice", NoDoubleEffect, "took place twice", func(j *Checker) {
			j.EffectExecuted(1, 1, 9, Effectful, ScopeAll, 0, 0, 0)
			j.EffectExecuted(2, 2, 9, Effectful, ScopeAll, 0, 0, 0)
		}},
		{"a repeat that its group drops", 0, "", func(j *Checker) {
			j.EffectExecuted(1, 1, 9, Receipted, ScopeZone, 5, 2, 0)
			j.EffectExecuted(2, 2, 9, Receipted, ScopeZone, 5, 2, 1)
		}},
		{"a repeat elsewhere", NoDoubleEffect, "took place twice", func(j *Checker) {
			j.EffectExecuted(1, 1, 9, Receipted, ScopeZone, 5, 2, 0)
			j.EffectExecuted(2, 2, 9, Receipted, ScopeZone, 5, 1, 1)
		}},
		{"within the grace", 0, "", func(j *Checker) {
			j.BackendUpdateReceived(0.5, 3, 7, false, 0)
			j.CommandAccepted(0.6, cmd(Pure, ScopeAll))
			j.RelaySent(0.8, 1, 7, 0, 0, false)
			j.CommandEnded(0.9, 1, true, false, false)
		}},
		{"past the grace", DrainKept, "after word that it drains", func(j *Checker) {
			j.BackendUpdateReceived(0.5, 3, 7, false, 0)
			j.BackendUpdateReceived(0.8, 3, 7, false, 0) // said again: the first word counts
			j.CommandAccepted(0.6, cmd(Pure, ScopeAll))
			j.RelaySent(1, 1, 7, 0, 0, false)
			j.CommandEnded(1.1, 1, true, false, false)
		}},
		{"listed again", 0, "", func(j *Checker) {
			j.BackendUpdateReceived(0.1, 3, 7, false, 0)
			j.BackendUpdateReceived(0.5, 3, 7, true, 0)
			j.CommandAccepted(0.6, cmd(Pure, ScopeAll))
			j.RelaySent(1, 1, 7, 0, 0, false)
			j.CommandEnded(1.1, 1, true, false, false)
		}},
		{"pushed over by those who knew", ColdProtected, "bears", func(j *Checker) {
			j.BackendUpdateReceived(1, 3, 7, true, 1)
			for i := range 60 {
				j.ColdBackendReached(1+float64(i)/100, 7, 3, 0.1, 1, 1)
			}
		}},
		{"pushed over by those who did not know", 0, "", func(j *Checker) {
			for i := range 60 {
				j.ColdBackendReached(1+float64(i)/100, 7, 3, 0.1, 1, 1)
			}
		}},
		{"the same spread over a longer time", 0, "", func(j *Checker) {
			j.BackendUpdateReceived(1, 3, 7, true, 1)
			for i := range 60 {
				j.ColdBackendReached(1+float64(i)/18, 7, 3, 0.1, 1, 1)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := told(terms, c.facts)
			if c.rule == 0 && a.ViolationCount() > 0 {
				t.Fatalf("nothing is wrong here, but: %v", a.Violations)
			}
			if c.rule > 0 && (a.RuleCounts[c.rule] == 0 || !strings.Contains(a.Violations[0].String(), c.want)) {
				t.Fatalf("want rule %d and %q, have %v", c.rule, c.want, a.Violations)
			}
		})
	}
}

func TestWorth(t *testing.T) {
	a := told(terms, func(j *Checker) {
		for i := range 10 {
			j.OperationRequested(float64(i), i%2, 2)
			if i%2 == 0 {
				j.OperationAnswered(float64(i), float64(i)+0.1, 0, 2)
			} else {
				j.OperationLost(Loss{Declined, Refused, 1}, 2)
			}
		}
		j.DeclinedLate(2)
	})
	if a.OfferedUtility != 20 || a.ServedUtility != 10 || a.Costs != 0.6 || math.Abs(a.Score(true)-0.47) > 1e-9 {
		t.Errorf("asked %v, served %v, prices %v, G %v", a.OfferedUtility, a.ServedUtility, a.Costs, a.Score(true))
	}
	if a.WorstCustomer() != 0 || math.Abs(a.WorstTenSeconds()-1.0/3) > 1e-9 {
		t.Errorf("worst customer %v, worst stretch %v", a.WorstCustomer(), a.WorstTenSeconds())
	}
	if len(a.Losses) != 1 || a.Losses[0].Count != 5 || a.Losses[0].Utility != 10 {
		t.Errorf("losses %v", a.Losses)
	}
	if q := a.Quantile(0.5); q < 0.098 || q > 0.102 {
		t.Errorf("median %v", q)
	}
}

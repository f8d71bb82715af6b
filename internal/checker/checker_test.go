package checker

import (
	"math"
	"strings"
	"testing"
)

var testConfig = Config{AnswerSlack: 0.001, DrainGrace: 0.4, ColdMultiple: 2, ColdWindow: 1, Hedges: true, Duration: 20,
	Customers: 2, LateDeclinePrice: 0.3, RelayPrice: 0.1}

// runFacts reports facts to a Checker and returns its report.
func runFacts(config Config, facts func(c *Checker)) *Report {
	c := New(config)
	facts(c)
	return c.Close(20)
}

func TestRulesAreCheckedFromFacts(t *testing.T) {
	cmd := func(e Effect, s Scope) Command {
		return Command{ID: 1, Operation: 1, Instance: 3, Expires: 2, Effect: e, Scope: s, DedupWindow: 1}
	}
	for _, tc := range []struct {
		name  string
		rule  Rule // 0: none
		want  string
		facts func(c *Checker)
	}{
		{"in time", 0, "", func(c *Checker) {
			c.CommandAccepted(1, cmd(Pure, ScopeAll))
			c.CommandEnded(2, 1, true, false,
				false)
		}},
		{"late", OneAnswer, "after its limit", func(c *Checker) {
			c.CommandAccepted(1, cmd(Pure, ScopeAll))
			c.CommandEnded(2.1, 1, true, false, false)
		}},
		{"never", OneAnswer, "never had", func(c *Checker) { c.CommandAccepted(1, cmd(Pure, ScopeAll)) }},
		{"twice", OneAnswer, "second final", func(c *Checker) {
			c.CommandAccepted(1, cmd(Pure, ScopeAll))
			c.RelaySent(1, 1, 7, 0, 0, false)
			c.CommandEnded(1.1, 1, true, false, false)
			c.CommandEnded(1.2, 1, true, false, false)
		}},
		{"answer that no backend produced", OneAnswer, "no backend made", func(c *Checker) {
			c.CommandAccepted(1, cmd(Pure, ScopeAll))
			c.CommandEnded(1.1, 1, false, true, false)
		}},
		{"killed instance owes nothing", 0, "", func(c *Checker) {
			c.CommandAccepted(1,
				cmd(Pure, ScopeAll))
			c.InstanceKilled(3)
		}},
		{"command of a disconnected client owes nothing", 0, "",
			func(c *Checker) { c.CommandAccepted(1, cmd(Pure, ScopeAll)); c.ClientDisconnected(1) }},
		{"effectful with a relay pending", NoDoubleEffect, "may have run", func(c *Checker) {
			c.CommandAccepted(1, cmd(Effectful, ScopeAll))
			c.RelaySent(1, 1, 7, 0, 0, false)
			c.RelaySent(1.1, 1, 8, 0, 0, false)
			c.CommandEnded(1.2, 1, false, false, false)
		}},
		{"effectful that never ran", 0, "", func(c *Checker) {
			c.CommandAccepted(1, cmd(Effectful, ScopeAll))
			c.RelaySent(1, 1, 7, 0, 0, false)
			c.RelayEnded(1, 0, true)
			c.RelaySent(1.1, 1, 8, 0, 0, false)
			c.RelayEnded(1, 1, true)
			c.CommandEnded(1.2, 1, true, false, false)
		}},
		{"declined after it may have run", NoDoubleEffect, "declines command", func(c *Checker) {
			c.CommandAccepted(1, cmd(Effectful, ScopeAll))
			c.RelaySent(1, 1, 7, 0, 0, false)
			c.RelayEnded(1, 0, false)
			c.CommandEnded(1.2, 1, true, false, false)
		}},
		{"outside its cell", NoDoubleEffect, "outside of the group", func(c *Checker) {
			c.CommandAccepted(1, cmd(Receipted, ScopeCell))
			c.RelaySent(1, 1, 7, 0, 4, false)
			c.RelaySent(1.1, 1, 8, 0, 5, false)
			c.CommandEnded(1.2, 1, false, false, false)
		}},
		{"after its window", NoDoubleEffect, "its window is", func(c *Checker) {
			c.CommandAccepted(0.5, cmd(Receipted, ScopeCell))
			c.RelaySent(0.5, 1, 7, 0, 4, false)
			c.RelaySent(1.6, 1, 8, 0, 4, false)
			c.CommandEnded(1.7, 1, false, false, false)
		}},
		{"ran twice", NoDoubleEffect, "took place twice", func(c *Checker) {
			c.EffectExecuted(1, 1, 9, Effectful, ScopeAll, 0, 0, 0)
			c.EffectExecuted(2, 2, 9, Effectful, ScopeAll, 0, 0, 0)
		}},
		{"a repeat that its group drops", 0, "", func(c *Checker) {
			c.EffectExecuted(1, 1, 9, Receipted, ScopeZone, 5, 2, 0)
			c.EffectExecuted(2, 2, 9, Receipted, ScopeZone, 5, 2, 1)
		}},
		{"a repeat elsewhere", NoDoubleEffect, "took place twice", func(c *Checker) {
			c.EffectExecuted(1, 1, 9, Receipted, ScopeZone, 5, 2, 0)
			c.EffectExecuted(2, 2, 9, Receipted, ScopeZone, 5, 1, 1)
		}},
		{"within the grace period", 0, "", func(c *Checker) {
			c.BackendUpdateReceived(0.5, 3, 7, false, 0)
			c.CommandAccepted(0.6, cmd(Pure, ScopeAll))
			c.RelaySent(0.8, 1, 7, 0, 0, false)
			c.CommandEnded(0.9, 1, true, false, false)
		}},
		{"after the grace period", DrainKept, "after word that it drains", func(c *Checker) {
			c.BackendUpdateReceived(0.5, 3, 7, false, 0)
			c.BackendUpdateReceived(0.8, 3, 7, false, 0) // a repeat: the first one counts
			c.CommandAccepted(0.6, cmd(Pure, ScopeAll))
			c.RelaySent(1, 1, 7, 0, 0, false)
			c.CommandEnded(1.1, 1, true, false, false)
		}},
		{"ready again", 0, "", func(c *Checker) {
			c.BackendUpdateReceived(0.1, 3, 7, false, 0)
			c.BackendUpdateReceived(0.5, 3, 7, true, 0)
			c.CommandAccepted(0.6, cmd(Pure, ScopeAll))
			c.RelaySent(1, 1, 7, 0, 0, false)
			c.CommandEnded(1.1, 1, true, false, false)
		}},
		{"cold backend overloaded by informed instances", ColdProtected, "its maximum is", func(c *Checker) {
			c.BackendUpdateReceived(1, 3, 7, true, 1)
			for i := range 60 {
				c.ColdBackendReached(1+float64(i)/100, 7, 3, 0.1, 1, 1)
			}
		}},
		{"cold backend overloaded by instances without its start", 0, "", func(c *Checker) {
			for i := range 60 {
				c.ColdBackendReached(1+float64(i)/100, 7, 3, 0.1, 1, 1)
			}
		}},
		{"the same work over a longer time", 0, "", func(c *Checker) {
			c.BackendUpdateReceived(1, 3, 7, true, 1)
			for i := range 60 {
				c.ColdBackendReached(1+float64(i)/18, 7, 3, 0.1, 1, 1)
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a := runFacts(testConfig, tc.facts)
			if tc.rule == 0 && a.ViolationCount() > 0 {
				t.Fatalf("unexpected violations: %v", a.Violations)
			}
			if tc.rule > 0 && (a.RuleCounts[tc.rule] == 0 || !strings.Contains(a.Violations[0].String(), tc.want)) {
				t.Fatalf("want a violation of rule %d with %q, got %v", tc.rule, tc.want, a.Violations)
			}
		})
	}
}

func TestUtilityAndLosses(t *testing.T) {
	a := runFacts(testConfig, func(c *Checker) {
		for i := range 10 {
			c.OperationRequested(float64(i), i%2, 2)
			if i%2 == 0 {
				c.OperationAnswered(float64(i), float64(i)+0.1, 0, 2)
			} else {
				c.OperationLost(Loss{Declined, Refused, 1}, 2)
			}
		}
		c.DeclinedLate(2)
	})
	if a.OfferedUtility != 20 || a.ServedUtility != 10 || a.Costs != 0.6 || math.Abs(a.Score(true)-0.47) > 1e-9 {
		t.Errorf("offered %v, served %v, costs %v, score %v", a.OfferedUtility, a.ServedUtility, a.Costs, a.Score(true))
	}
	if a.WorstCustomer() != 0 || math.Abs(a.WorstTenSeconds()-1.0/3) > 1e-9 {
		t.Errorf("worst customer %v, worst ten seconds %v", a.WorstCustomer(), a.WorstTenSeconds())
	}
	if len(a.Losses) != 1 || a.Losses[0].Count != 5 || a.Losses[0].Utility != 10 {
		t.Errorf("losses %v", a.Losses)
	}
	if q := a.Quantile(0.5); q < 0.098 || q > 0.102 {
		t.Errorf("median %v", q)
	}
}

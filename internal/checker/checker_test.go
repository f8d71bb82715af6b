package checker

import (
	"math"
	"strings"
	"testing"
)

var terms = Terms{Slack: 0.001, Grace: 0.4, Multiple: 2, Window: 1, Hedges: true, Length: 20, Tenants: 2, LateRejectionPrice: 0.3, AttemptPrice: 0.1}

// told plays a few facts and gives what was found.
func told(t Terms, facts func(j *Checker)) *Account {
	j := New(t)
	facts(j)
	return j.Close(20)
}

func TestRulesByTheFactsAlone(t *testing.T) {
	cmd := func(e Effect, s Scope) Request {
		return Request{ID: 1, Op: 1, Instance: 3, Expires: 2, Effect: e, Scope: s, Window: 1}
	}
	for _, c := range []struct {
		name  string
		rule  Rule // 0: none
		want  string
		facts func(j *Checker)
	}{
		{"in time", 0, "", func(j *Checker) { j.Accepted(1, cmd(Idempotent, All)); j.RequestEnded(2, 1, true, false, false) }},
		{"late", Answer, "after its limit", func(j *Checker) { j.Accepted(1, cmd(Idempotent, All)); j.RequestEnded(2.1, 1, true, false, false) }},
		{"never", Answer, "never had", func(j *Checker) { j.Accepted(1, cmd(Idempotent, All)) }},
		{"twice", Answer, "second final", func(j *Checker) {
			j.Accepted(1, cmd(Idempotent, All))
			j.AttemptSent(1, 1, 7, 0, 0, false)
			j.RequestEnded(1.1, 1, true, false, false)
			j.RequestEnded(1.2, 1, true, false, false)
		}},
		{"made up", Answer, "no backend made", func(j *Checker) { j.Accepted(1, cmd(Idempotent, All)); j.RequestEnded(1.1, 1, false, true, false) }},
		{"killed owes nothing", 0, "", func(j *Checker) { j.Accepted(1, cmd(Idempotent, All)); j.InstanceKilled(3) }},
		{"departed owes nothing", 0, "", func(j *Checker) { j.Accepted(1, cmd(Idempotent, All)); j.ClientLeft(1) }},
		{"effectful while out", Twice, "may have run", func(j *Checker) {
			j.Accepted(1, cmd(NonIdempotent, All))
			j.AttemptSent(1, 1, 7, 0, 0, false)
			j.AttemptSent(1.1, 1, 8, 0, 0, false)
			j.RequestEnded(1.2, 1, false, false, false)
		}},
		{"effectful that never ran", 0, "", func(j *Checker) {
			j.Accepted(1, cmd(NonIdempotent, All))
			j.AttemptSent(1, 1, 7, 0, 0, false)
			j.AttemptEnded(1, 0, true)
			j.AttemptSent(1.1, 1, 8, 0, 0, false)
			j.AttemptEnded(1, 1, true)
			j.RequestEnded(1.2, 1, true, false, false)
		}},
		{"declined after it may have run", Twice, "rejects request", func(j *Checker) {
			j.Accepted(1, cmd(NonIdempotent, All))
			j.AttemptSent(1, 1, 7, 0, 0, false)
			j.AttemptEnded(1, 0, false)
			j.RequestEnded(1.2, 1, true, false, false)
		}},
		{"outside its cell", Twice, "outside of the group", func(j *Checker) {
			j.Accepted(1, cmd(Deduplicated, SameCell))
			j.AttemptSent(1, 1, 7, 0, 4, false)
			j.AttemptSent(1.1, 1, 8, 0, 5, false)
			j.RequestEnded(1.2, 1, false, false, false)
		}},
		{"past its window", Twice, "its window is", func(j *Checker) {
			j.Accepted(0.5, cmd(Deduplicated, SameCell))
			j.AttemptSent(0.5, 1, 7, 0, 4, false)
			j.AttemptSent(1.6, 1, 8, 0, 4, false)
			j.RequestEnded(1.7, 1, false, false, false)
		}},
		{"ran twice", Twice, "took place twice", func(j *Checker) {
			j.Executed(1, 1, 9, NonIdempotent, All, 0, 0, 0)
			j.Executed(2, 2, 9, NonIdempotent, All, 0, 0, 0)
		}},
		{"a repeat that its group drops", 0, "", func(j *Checker) {
			j.Executed(1, 1, 9, Deduplicated, SameZone, 5, 2, 0)
			j.Executed(2, 2, 9, Deduplicated, SameZone, 5, 2, 1)
		}},
		{"a repeat elsewhere", Twice, "took place twice", func(j *Checker) {
			j.Executed(1, 1, 9, Deduplicated, SameZone, 5, 2, 0)
			j.Executed(2, 2, 9, Deduplicated, SameZone, 5, 1, 1)
		}},
		{"within the grace", 0, "", func(j *Checker) {
			j.EndpointReceived(0.5, 3, 7, false, 0)
			j.Accepted(0.6, cmd(Idempotent, All))
			j.AttemptSent(0.8, 1, 7, 0, 0, false)
			j.RequestEnded(0.9, 1, true, false, false)
		}},
		{"past the grace", Drain, "after word that it drains", func(j *Checker) {
			j.EndpointReceived(0.5, 3, 7, false, 0)
			j.EndpointReceived(0.8, 3, 7, false, 0) // said again: the first word counts
			j.Accepted(0.6, cmd(Idempotent, All))
			j.AttemptSent(1, 1, 7, 0, 0, false)
			j.RequestEnded(1.1, 1, true, false, false)
		}},
		{"listed again", 0, "", func(j *Checker) {
			j.EndpointReceived(0.1, 3, 7, false, 0)
			j.EndpointReceived(0.5, 3, 7, true, 0)
			j.Accepted(0.6, cmd(Idempotent, All))
			j.AttemptSent(1, 1, 7, 0, 0, false)
			j.RequestEnded(1.1, 1, true, false, false)
		}},
		{"pushed over by those who knew", Cold, "bears", func(j *Checker) {
			j.EndpointReceived(1, 3, 7, true, 1)
			for i := range 60 {
				j.ReachedWarmingUp(1+float64(i)/100, 7, 3, 0.1, 1, 1)
			}
		}},
		{"pushed over by those who did not know", 0, "", func(j *Checker) {
			for i := range 60 {
				j.ReachedWarmingUp(1+float64(i)/100, 7, 3, 0.1, 1, 1)
			}
		}},
		{"the same spread over a longer time", 0, "", func(j *Checker) {
			j.EndpointReceived(1, 3, 7, true, 1)
			for i := range 60 {
				j.ReachedWarmingUp(1+float64(i)/18, 7, 3, 0.1, 1, 1)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := told(terms, c.facts)
			if c.rule == 0 && a.Count() > 0 {
				t.Fatalf("nothing is wrong here, but: %v", a.Broken)
			}
			if c.rule > 0 && (a.Rules[c.rule] == 0 || !strings.Contains(a.Broken[0].String(), c.want)) {
				t.Fatalf("want rule %d and %q, have %v", c.rule, c.want, a.Broken)
			}
		})
	}
}

func TestWorth(t *testing.T) {
	a := told(terms, func(j *Checker) {
		for i := range 10 {
			j.Asked(float64(i), i%2, 2)
			if i%2 == 0 {
				j.Answered(float64(i), float64(i)+0.1, 0, 2)
			} else {
				j.Lost(Loss{Rejected, Refused, 1}, 2)
			}
		}
		j.RejectedLate(2)
	})
	if a.Asked != 20 || a.Served != 10 || a.Prices != 0.6 || math.Abs(a.G(true)-0.47) > 1e-9 {
		t.Errorf("asked %v, served %v, prices %v, G %v", a.Asked, a.Served, a.Prices, a.G(true))
	}
	if a.WorstCustomer() != 0 || math.Abs(a.Worst()-1.0/3) > 1e-9 {
		t.Errorf("worst customer %v, worst stretch %v", a.WorstCustomer(), a.Worst())
	}
	if len(a.Losses) != 1 || a.Losses[0].Count != 5 || a.Losses[0].Worth != 10 {
		t.Errorf("losses %v", a.Losses)
	}
	if q := a.Quantile(0.5); q < 0.098 || q > 0.102 {
		t.Errorf("median %v", q)
	}
}

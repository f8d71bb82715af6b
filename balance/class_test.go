package balance

import "testing"

// Guards against a command that gets another verb or customer: its front passes it on after the settings have changed, and the indexes
// that it was read with belong to others, or to none.
func TestCommandClassOutlivesSettings(t *testing.T) {
	pure := Verb{Effect: Pure, Goal: 2.5, TimeLimit: 6, Utility: 1}
	effectful := Verb{Effect: Effectful, Goal: 2.5, TimeLimit: 6, Utility: 1}
	for name, c := range map[string]struct {
		verbs     []Verb
		customers []Customer
	}{
		"the verb is gone":          {[]Verb{{Effect: Pure, Goal: 2.5, TimeLimit: 6, Utility: 1}}, nil},
		"a pure verb has its place": {[]Verb{effectful, pure}, []Customer{{Allowance: 1, PreviousIndex: 1}}},
	} {
		h := startBalancer(t, setup{verb: pure, customers: []Customer{{Allowance: 1, PreviousIndex: -1}, {Allowance: 1000, PreviousIndex: -1}}})
		configure := func(verbs []Verb, customers []Customer) {
			h.b.Configure(h.now, 0.005, Placement{Instances: 1}, verbs, customers, 0.1, Limits{MaxRelays: 4, Hedges: true, CancelRelays: true},
				ColdStart{InitialCapacity: 0.2, WarmUp: 10, OverloadMultiple: 3}, false)
		}
		configure([]Verb{pure, effectful}, []Customer{{Allowance: 1, PreviousIndex: 0}, {Allowance: 1000, PreviousIndex: 1}})
		class := h.b.Classify(1, 1)
		configure(c.verbs, c.customers)
		h.b.ClassifiedCommandReceived(h.now, 1, class, 0, h.now+6, 0)
		h.outcome(1, 0, Reset)
		if relays := len(h.relaysOf(1)); relays != 1 || len(h.terminated) != 1 {
			t.Errorf("%s: an effectful command that may have run had %d relays, terminated %v", name, relays, h.terminated)
		}
	}
}

// A command counts against the allowance of the customer that sent it, wherever that customer stands in the settings by now.
func TestAllowanceFollowsTheCustomer(t *testing.T) {
	configure := func(h *fakeHost, customers []Customer) {
		h.b.Configure(h.now, 0.005, Placement{Instances: 1}, []Verb{{Goal: 2.5, TimeLimit: 6, Utility: 1}}, customers, 0.1,
			Limits{MaxRelays: 4, CancelRelays: true}, ColdStart{InitialCapacity: 0.2, WarmUp: 10, OverloadMultiple: 3}, false)
	}
	h := startBalancer(t, setup{customers: []Customer{{Allowance: 1, PreviousIndex: -1}, {Allowance: 1000, PreviousIndex: -1}}})
	small, large, unknown := h.b.Classify(0, 0), h.b.Classify(0, 1), h.b.Classify(0, 2)
	configure(h, []Customer{{Allowance: 1000, PreviousIndex: 1}, {Allowance: 1, PreviousIndex: 0}, {Allowance: 0, PreviousIndex: -1}})
	for n, c := range []struct {
		name  string
		class CommandClass
		over  int // of 10 commands at once
	}{{"the small customer", small, 8}, {"the large one", large, 0}, {"one that was not configured", unknown, 0}} {
		over := 0
		for i := range uint64(10) {
			id := uint64(100*n) + i
			h.b.ClassifiedCommandReceived(h.now, id, c.class, 0, h.now+6, 0)
			if command := h.b.commands[id]; command != nil && command.priority < 1 {
				over++
			}
		}
		if over != c.over {
			t.Errorf("%s: %d of 10 commands are over its allowance, want %d", c.name, over, c.over)
		}
	}
}

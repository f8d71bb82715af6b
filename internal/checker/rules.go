package checker

import (
	"fmt"
)

// Rule identifies one of the four rules, or the budget of further relays, which is optional.
type Rule int

const (
	OneAnswer      Rule = 1 + iota // one final answer in time, and only one that a backend produced for the command
	NoDoubleEffect                 // no effect takes place twice
	DrainKept                      // no new relay to a draining backend after the grace period
	ColdProtected                  // no cold backend is overloaded until it fails
	RelayBudget                    // further relays stay within their budget
	ruleCount      = 5
)

// String returns a short description of the rule.
func (r Rule) String() string {
	return [...]string{"", "no request lost", "no effect twice", "drains kept", "cold not pushed over",
		"retries and hedges in their budget"}[r]
}

// Violation is one violation of a rule.
type Violation struct {
	Rule Rule
	At   float64
	Text string
}

// String returns the violation as a line with its time and rule.
func (b Violation) String() string {
	return fmt.Sprintf("%.4f s: rule %d (%s): %s", b.At, b.Rule, b.Rule, b.Text)
}

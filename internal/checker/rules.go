package checker

import (
	"fmt"
)

// Rule numbers the four, and the budget that only some state.
type Rule int

const (
	OneAnswer      Rule = 1 + iota // one final answer in time, only what a backend made for it
	NoDoubleEffect                 // no effect twice
	DrainKept                      // nothing new past the grace
	ColdProtected                  // no cold backend pushed over
	RelayBudget                    // retries and hedges within their budget
	rules          = 5
)

func (r Rule) String() string {
	return [...]string{"", "no request lost", "no effect twice", "drains kept", "cold not pushed over", "retries and hedges in their budget"}[r]
}

// Broken is one broken rule.
type Violation struct {
	Rule Rule
	At   float64
	Text string
}

func (b Violation) String() string {
	return fmt.Sprintf("%.4f s: rule %d (%s): %s", b.At, b.Rule, b.Rule, b.Text)
}

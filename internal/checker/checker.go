// Package checker holds a day to the four rules, and to a stated budget of retries and hedges, and counts what it was worth.
//
// A world reports plain facts to a Checker: what was asked, sent, run, told and answered, as they truly happened. The
// Checker keeps its own books of them. It must never read the books of a policy, of a proxy or of the world that
// reports, so that a wrong one of these can't hide what it did. Times are in seconds of the day.
package checker

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/DataDog/sketches-go/ddsketch"
)

const (
	accuracy  = 0.01 // relative error of the latency sketch
	mostTexts = 20   // broken rules that are kept with their text; all are counted
	coldSlack = 3.0  // mean requests over the warm-up budget that chance may send in a window
	toldPart  = 2.0 / 3
)

// attempt is a attempt that may have run.
type attempt struct {
	zone, cell int
	at         float64
	proven     bool // that it never ran
	out        bool
	backend    int
}

type openRequest struct {
	Command
	attempts []attempt
	ended    bool
	outs     int // attempts whose end was not told yet
}

type execution struct {
	at, sent   float64
	zone, cell int
}

type instanceBackend struct{ instance, backend int }

type arrival struct {
	at, work float64
	told     bool
}

type warmUpLoad struct {
	recent         []arrival
	work, informed float64
	over           bool
}

// Checker is told the facts of one day. Make it with New; not safe for concurrent calls.
type Checker struct {
	terms   Config
	taken   map[uint64]*openRequest
	spare   []*openRequest
	effect  map[uint64]execution
	out     map[instanceBackend]float64 // when an instance was told that a backend is draining or gone
	starts  map[instanceBackend]float64 // the start of a backend that an instance was told of
	cold    map[int]*warmUpLoad
	came    map[int][]float64 // by instance, when requests came in the last Span
	further map[int][]float64 // and when retries and hedges were sent
	work    float64           // mean work of a request that reached a cold backend, for the slack
	works   float64
	a       Report
}

// New starts a day.
func New(t Config) *Checker {
	s, _ := ddsketch.NewDefaultDDSketch(accuracy) // fails only for an accuracy out of range
	return &Checker{
		terms: t, taken: map[uint64]*openRequest{}, effect: map[uint64]execution{}, out: map[instanceBackend]float64{},
		starts: map[instanceBackend]float64{}, cold: map[int]*warmUpLoad{}, came: map[int][]float64{}, further: map[int][]float64{},
		a: Report{Latency: s, OfferedBySecond: make([]float64, int(math.Ceil(t.Duration))+1),
			ServedBySecond: make([]float64, int(math.Ceil(t.Duration))+1), OfferedByTenth: make([]float64, int(math.Ceil(tenth*t.Duration))+1),
			ServedByTenth:   make([]float64, int(math.Ceil(tenth*t.Duration))+1),
			RelaysByBackend: map[int][]int{}, ConnectionsByBackend: map[int][]int{}, ListsByInstance: map[int][]int{}, customers: make([][2]float64, t.Customers)},
	}
}

func (c *Checker) broken(r Rule, at float64, format string, args ...any) {
	c.a.RuleCounts[r]++
	if len(c.a.Violations) < mostTexts {
		c.a.Violations = append(c.a.Violations, Violation{r, at, fmt.Sprintf(format, args...)})
	}
}

// OpenUntil is the latest time at which a request that is open is due, 0 where none is open.
func (c *Checker) LatestDeadline() (due float64) {
	for _, t := range c.taken {
		if !t.ended {
			due = max(due, t.Expires+c.terms.AnswerSlack)
		}
	}
	return due
}

// Close ends the day and gives the account.
func (c *Checker) Close(at float64) *Report {
	var open []*openRequest
	for _, t := range c.taken {
		if !t.ended {
			open = append(open, t)
		}
	}
	slices.SortFunc(open, func(x, y *openRequest) int { return cmp.Or(cmp.Compare(x.Expires, y.Expires), cmp.Compare(x.ID, y.ID)) })
	for _, t := range open {
		c.broken(OneAnswer, t.Expires+c.terms.AnswerSlack, "request %x at instance %d never had a final answer", t.ID, t.Instance)
	}
	a := &c.a
	slices.SortStableFunc(a.Violations, func(x, y Violation) int { return cmp.Compare(x.At, y.At) })
	mean := a.OfferedUtility / max(1, float64(a.Operations))
	a.Costs += mean * (c.terms.RelayPrice*float64(a.FurtherRelays) + c.terms.MessagePrice*float64(a.Messages) + c.terms.CrossingPrice*float64(a.ZoneCrossings))
	for h := range hows {
		for w := range wheres {
			for tier, s := range a.loss[h][w] {
				if s.count > 0 {
					a.Losses = append(a.Losses, LossTotal{Loss{h, w, tier}, s.count, s.worth})
				}
			}
		}
	}
	slices.SortStableFunc(a.Losses, func(x, y LossTotal) int { return cmp.Compare(y.Utility, x.Utility) })
	return a
}

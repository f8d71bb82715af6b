// Package checker verifies that a run keeps the four rules and, where one is configured, the budget of further relays, and
// adds up the utility that was served.
//
// The emulator or the testbed reports facts to a Checker: what was requested, sent, executed, announced and answered, as it
// really happened. The Checker derives its own state from these reports. It must never read the state of a policy, of a
// proxy or of its caller, so that an error there cannot hide a violation. Times are in seconds since the start of the run.
package checker

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/DataDog/sketches-go/ddsketch"
)

const (
	latencyAccuracy   = 0.01    // relative error of the latency sketch
	maxViolationTexts = 20      // violations that are kept with their text; all are counted
	coldSlackCommands = 3.0     // mean commands above the warm-up budget that random arrivals may cause in a window
	informedShare     = 2.0 / 3 // share of an overload from informed instances that makes it a violation
)

// relay is a relay of an open command to a backend.
type relay struct {
	zone, cell int
	sentAt     float64
	neverRan   bool // it is certain that the backend did not execute it
	pending    bool
	backend    int
}

// openCommand is a command that has no final answer yet, or has relays pending.
type openCommand struct {
	Command
	relays  []relay
	ended   bool
	pending int // relays whose end was not reported yet
}

// execution is the first time that the effect of an operation took place.
type execution struct {
	at, sent   float64
	zone, cell int
}

// instanceBackend is a pair of an instance and a backend.
type instanceBackend struct{ instance, backend int }

// arrival is work that reached a cold backend. informed tells whether its instance knew when the backend started.
type arrival struct {
	at, work float64
	informed bool
}

// warmUpLoad is the work that reached a cold backend in the last ColdWindow.
type warmUpLoad struct {
	recent         []arrival
	work, informed float64
	over           bool
}

// Checker receives the facts of one run. Create it with New. It is not safe for concurrent use.
type Checker struct {
	config            Config
	open              map[uint64]*openCommand
	free              []*openCommand
	executions        map[uint64]execution
	drainedAt         map[instanceBackend]float64 // when an instance was informed that a backend is draining or gone
	startTimes        map[instanceBackend]float64 // the start time of a backend that an instance was informed of
	coldLoads         map[int]*warmUpLoad
	commandTimes      map[int][]float64 // by instance, when commands were received in the last BudgetWindow
	furtherRelayTimes map[int][]float64 // by instance, when further relays were sent in it
	coldWork          float64           // total work that reached cold backends, for the slack
	coldCommands      float64           // number of commands that did
	report            Report
}

// New returns a Checker for one run.
func New(config Config) *Checker {
	sketch, _ := ddsketch.NewDefaultDDSketch(latencyAccuracy) // an error means an accuracy out of range
	return &Checker{
		config: config, open: map[uint64]*openCommand{}, executions: map[uint64]execution{},
		drainedAt:  map[instanceBackend]float64{},
		startTimes: map[instanceBackend]float64{}, coldLoads: map[int]*warmUpLoad{}, commandTimes: map[int][]float64{},
		furtherRelayTimes: map[int][]float64{},
		report: Report{Latency: sketch, OfferedBySecond: make([]float64, int(math.Ceil(config.Duration))+1),
			ServedBySecond:  make([]float64, int(math.Ceil(config.Duration))+1),
			OfferedByTenth:  make([]float64, int(math.Ceil(tenthsPerSecond*config.Duration))+1),
			ServedByTenth:   make([]float64, int(math.Ceil(tenthsPerSecond*config.Duration))+1),
			RelaysByBackend: map[int][]int{}, ConnectionsByBackend: map[int][]int{}, ListsByInstance: map[int][]int{},
			customers: make([][2]float64, config.Customers)},
	}
}

// violated records a violation of a rule.
func (c *Checker) violated(rule Rule, at float64, format string, args ...any) {
	c.report.RuleCounts[rule]++
	if len(c.report.Violations) < maxViolationTexts {
		c.report.Violations = append(c.report.Violations, Violation{rule, at, fmt.Sprintf(format, args...)})
	}
}

// LatestDeadline returns the latest time at which an open command must have its final answer, or 0 if none is open.
func (c *Checker) LatestDeadline() (due float64) {
	for _, cmd := range c.open {
		if !cmd.ended {
			due = max(due, cmd.Expires+c.config.AnswerSlack)
		}
	}
	return due
}

// Close ends the run and returns the report. Each command that is still open is a violation.
func (c *Checker) Close(at float64) *Report {
	var open []*openCommand
	for _, cmd := range c.open {
		if !cmd.ended {
			open = append(open, cmd)
		}
	}
	slices.SortFunc(open, func(x, y *openCommand) int {
		return cmp.Or(cmp.Compare(x.Expires, y.Expires), cmp.Compare(x.ID,
			y.ID))
	})
	for _, cmd := range open {
		c.violated(OneAnswer, cmd.Expires+c.config.AnswerSlack, "request %x at instance %d never had a final answer", cmd.ID,
			cmd.Instance)
	}
	r := &c.report
	slices.SortStableFunc(r.Violations, func(x, y Violation) int { return cmp.Compare(x.At, y.At) })
	mean := r.OfferedUtility / max(1, float64(r.Operations))
	r.Costs += mean * (c.config.RelayPrice*float64(r.FurtherRelays) + c.config.MessagePrice*float64(r.Messages) +
		c.config.CrossingPrice*float64(r.ZoneCrossings))
	for cause := range lossCauses {
		for place := range lossPlaces {
			for tier, s := range r.loss[cause][place] {
				if s.count > 0 {
					r.Losses = append(r.Losses, LossTotal{Loss{cause, place, tier}, s.count, s.utility})
				}
			}
		}
	}
	slices.SortStableFunc(r.Losses, func(x, y LossTotal) int { return cmp.Compare(y.Utility, x.Utility) })
	return r
}

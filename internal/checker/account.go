package checker

import (
	"github.com/DataDog/sketches-go/ddsketch"
)

const (
	worstSpan = 10   // seconds of the worst stretch
	tenth     = 10.0 // parts of a second in the finer course
)

// Account is what the Checker found.
type Report struct {
	OfferedUtility, ServedUtility                  float64 // worth
	Relays, FurtherRelays, Messages, ZoneCrossings int
	Operations, Answered, LateDeclines, Commands   int
	Costs                                          float64     // worth
	Losses                                         []LossTotal // largest worth first
	RuleCounts                                     [rules + 1]int
	Violations                                     []Violation // the first ones
	OfferedBySecond, ServedBySecond                []float64
	OfferedByTenth, ServedByTenth                  []float64          // the same by tenths of a second
	RelaysByBackend                                map[int][]int      // by backend, attempts in each second
	ConnectionsByBackend                           map[int][]int      // by backend, new connections in each second
	ListsByInstance                                map[int][]int      // by instance, calls for the whole list in each second
	Latency                                        *ddsketch.DDSketch // of answered operations, from when they were due
	loss                                           [hows][wheres][8]lossSum
	customers                                      [][2]float64
}

type lossSum struct {
	count int
	worth float64
}

// Lost is a line of the account of losses.
type LossTotal struct {
	Loss
	Count   int
	Utility float64
}

// G is the part of the worth asked for that was served, less the prices; 0 if a rule was broken and strict is set.
func (a *Report) Score(strict bool) float64 {
	if strict && a.ViolationCount() > 0 || a.OfferedUtility == 0 {
		return 0
	}
	return (a.ServedUtility - a.Costs) / a.OfferedUtility
}

// Count is the number of broken rules.
func (a *Report) ViolationCount() int {
	return a.RuleCounts[1] + a.RuleCounts[2] + a.RuleCounts[3] + a.RuleCounts[4] + a.RuleCounts[5]
}

// Worst is the part served in the worst ten seconds, by when things were due.
func (a *Report) WorstTenSeconds() float64 {
	worst := 1.0
	for i := range a.OfferedBySecond {
		if i+worstSpan > len(a.OfferedBySecond) {
			break
		}
		asked, served := 0.0, 0.0
		for k := range worstSpan {
			asked, served = asked+a.OfferedBySecond[i+k], served+a.ServedBySecond[i+k]
		}
		if asked > a.OfferedUtility*worstSpan/float64(len(a.OfferedBySecond))/2 { // a few at the ends of the day tell nothing
			worst = min(worst, served/asked)
		}
	}
	return worst
}

// WorstCustomer is the part served of the customer that fared worst, 1 where there are none.
func (a *Report) WorstCustomer() float64 {
	worst := 1.0
	for _, c := range a.customers {
		if c[0] > 0 {
			worst = min(worst, c[1]/c[0])
		}
	}
	return worst
}

// Quantile of the answered operations' latencies in seconds, 0 where there were none.
func (a *Report) Quantile(q float64) float64 {
	x, err := a.Latency.GetValueAtQuantile(q)
	if err != nil {
		return 0
	}
	return x
}

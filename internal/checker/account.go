package checker

import (
	"github.com/DataDog/sketches-go/ddsketch"
)

const (
	worstSpan = 10   // seconds of the worst stretch
	tenth     = 10.0 // parts of a second in the finer course
)

// Account is what the Checker found.
type Account struct {
	Asked, Served                    float64 // worth
	Relays, Copies, Messages, Cross  int
	Ops, Answered, LateNos, Commands int
	Prices                           float64 // worth
	Losses                           []Lost  // largest worth first
	Rules                            [rules + 1]int
	Broken                           []Broken // the first ones
	AskedBy, ServedBy                []float64
	AskedIn, ServedIn                []float64          // the same by tenths of a second
	Sent                             map[int][]int      // by backend, attempts in each second
	Opened                           map[int][]int      // by backend, new connections in each second
	Lists                            map[int][]int      // by instance, calls for the whole list in each second
	Latency                          *ddsketch.DDSketch // of answered operations, from when they were due
	loss                             [hows][wheres][8]lossSum
	customers                        [][2]float64
}

type lossSum struct {
	count int
	worth float64
}

// Lost is a line of the account of losses.
type Lost struct {
	Loss
	Count int
	Worth float64
}

// G is the part of the worth asked for that was served, less the prices; 0 if a rule was broken and strict is set.
func (a *Account) G(strict bool) float64 {
	if strict && a.Count() > 0 || a.Asked == 0 {
		return 0
	}
	return (a.Served - a.Prices) / a.Asked
}

// Count is the number of broken rules.
func (a *Account) Count() int { return a.Rules[1] + a.Rules[2] + a.Rules[3] + a.Rules[4] + a.Rules[5] }

// Worst is the part served in the worst ten seconds, by when things were due.
func (a *Account) Worst() float64 {
	worst := 1.0
	for i := range a.AskedBy {
		if i+worstSpan > len(a.AskedBy) {
			break
		}
		asked, served := 0.0, 0.0
		for k := range worstSpan {
			asked, served = asked+a.AskedBy[i+k], served+a.ServedBy[i+k]
		}
		if asked > a.Asked*worstSpan/float64(len(a.AskedBy))/2 { // a few at the ends of the day tell nothing
			worst = min(worst, served/asked)
		}
	}
	return worst
}

// WorstCustomer is the part served of the customer that fared worst, 1 where there are none.
func (a *Account) WorstCustomer() float64 {
	worst := 1.0
	for _, c := range a.customers {
		if c[0] > 0 {
			worst = min(worst, c[1]/c[0])
		}
	}
	return worst
}

// Quantile of the answered operations' latencies in seconds, 0 where there were none.
func (a *Account) Quantile(q float64) float64 {
	x, err := a.Latency.GetValueAtQuantile(q)
	if err != nil {
		return 0
	}
	return x
}

package checker

import (
	"github.com/DataDog/sketches-go/ddsketch"
)

const (
	worstSpanSeconds = 10
	tenthsPerSecond  = 10.0
)

// Report is the result of a run. Offered figures count what clients asked for, served figures what they were answered.
// Utilities are in the unit of the verbs' utilities.
type Report struct {
	OfferedUtility, ServedUtility                  float64
	Relays, FurtherRelays, Messages, ZoneCrossings int
	Operations, Answered, LateDeclines, Commands   int
	Costs                                          float64     // utility
	Losses                                         []LossTotal // largest utility first
	RuleCounts                                     [ruleCount + 1]int
	Violations                                     []Violation // the first maxViolationTexts
	OfferedBySecond, ServedBySecond                []float64
	OfferedByTenth, ServedByTenth                  []float64          // the same by tenths of a second
	RelaysByBackend                                map[int][]int      // relays in each second
	ConnectionsByBackend                           map[int][]int      // new connections in each second
	ListsByInstance                                map[int][]int      // requests for the whole backend list in each second
	Latency                                        *ddsketch.DDSketch // of answered operations, from the time they were due
	loss                                           [lossCauses][lossPlaces][8]lossSum
	customers                                      [][2]float64
}

// lossSum is the number and utility of the operations lost for one cause at one place and tier.
type lossSum struct {
	count   int
	utility float64
}

// LossTotal is the number and utility of the operations lost for one cause at one place.
type LossTotal struct {
	Loss
	Count   int
	Utility float64
}

// Score returns the share of the offered utility that was served, less the costs. It is 0 if strict is set and a rule was
// violated.
func (r *Report) Score(strict bool) float64 {
	if strict && r.ViolationCount() > 0 || r.OfferedUtility == 0 {
		return 0
	}
	return (r.ServedUtility - r.Costs) / r.OfferedUtility
}

// ViolationCount returns the number of violations of all rules.
func (r *Report) ViolationCount() int {
	return r.RuleCounts[1] + r.RuleCounts[2] + r.RuleCounts[3] + r.RuleCounts[4] + r.RuleCounts[5]
}

// WorstTenSeconds returns the share of the offered utility that was served in the worst ten seconds, by the time at which
// operations were due.
func (r *Report) WorstTenSeconds() float64 {
	worst := 1.0
	for i := range r.OfferedBySecond {
		if i+worstSpanSeconds > len(r.OfferedBySecond) {
			break
		}
		asked, served := 0.0, 0.0
		for k := range worstSpanSeconds {
			asked, served = asked+r.OfferedBySecond[i+k], served+r.ServedBySecond[i+k]
		}
		// too few operations, as at the ends of the run, say nothing
		if asked > r.OfferedUtility*worstSpanSeconds/float64(len(r.OfferedBySecond))/2 {
			worst = min(worst, served/asked)
		}
	}
	return worst
}

// WorstCustomer returns the share of its offered utility that the worst served customer got, or 1 if there are no customers.
func (r *Report) WorstCustomer() float64 {
	worst := 1.0
	for _, c := range r.customers {
		if c[0] > 0 {
			worst = min(worst, c[1]/c[0])
		}
	}
	return worst
}

// Quantile returns a quantile of the latencies of answered operations in seconds, or 0 if there are none.
func (r *Report) Quantile(q float64) float64 {
	x, err := r.Latency.GetValueAtQuantile(q)
	if err != nil {
		return 0
	}
	return x
}

// This file saves what an instance has learned for its successor, and restores it. No rule may depend on restored
// values: lost or wrong ones only cost time.

package balance

import (
	"math"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/store"
)

const (
	latencyMaxAgeSeconds = 300.0 // a deploy may have changed latencies
	limitMaxAgeSeconds   = 60.0  // limits and rates follow the load of the hour
	weightMaxAgeSeconds  = 30.0  // a slow backend can recover in this time
)

// Snapshot is the learned state of an instance. VerbLatencies are in the order of the configured verbs.
type Snapshot struct {
	Incarnation                                       uint64 // of the process that saved it
	TypicalLatency                                    float64
	BaselineInFlight, InFlightPerBackend, ArrivalRate float64
	AllLatencies                                      []byte
	VerbLatencies                                     [][]byte
	BackendWeights                                    map[BackendID]float64
}

// encode returns both sketches merged, or nil if they hold too few answers to be useful.
func (d *latencySketch) encode() (data []byte) {
	if d.answers < warmupAnswers {
		return nil
	}
	merged := d.current.Copy()
	if merged.MergeWith(d.previous) == nil {
		merged.Encode(&data, false)
	}
	return data
}

// restore merges a saved sketch into the previous rotation's, so that it expires with that.
func (d *latencySketch) restore(now float64, data []byte) {
	if len(data) == 0 || d.answers >= warmupAnswers {
		return
	}
	sketch, err := ddsketch.DecodeDDSketch(data, store.BufferedPaginatedStoreConstructor, nil)
	if err != nil || d.previous.Copy().MergeWith(sketch) != nil || !(sketch.GetCount() >= 1) {
		return // incompatible accuracy, or not a sketch
	}
	if d.previous.MergeWith(sketch) == nil {
		d.rotatedAt, d.answers = now, max(d.answers, warmupAnswers)
	}
}

// Snapshot returns what was learned so far.
func (b *Balancer) Snapshot() Snapshot {
	s := Snapshot{Incarnation: b.incarnation, TypicalLatency: b.typicalLatency, BaselineInFlight: b.baseline,
		InFlightPerBackend: b.inFlightPerBackend,
		ArrivalRate:        b.arrivals.UsualRate(), AllLatencies: b.allLatencies.encode(), BackendWeights: map[BackendID]float64{}}
	for _, v := range b.verbs {
		s.VerbLatencies = append(s.VerbLatencies, v.latencies.encode())
	}
	for _, be := range b.fleet {
		if be.State == Ready && b.isWarm(be) {
			s.BackendWeights[be.ID] = be.weight
		}
	}
	return s
}

// Restore applies what an earlier process in the same place had learned age seconds ago, each value with a weight
// that falls with the age. Backend weights apply only to listed and warm backends. A negative age, from a clock
// that was set back, counts as unknown.
func (b *Balancer) Restore(now float64, s Snapshot, age float64) {
	b.now = now
	b.incarnation = max(b.incarnation, s.Incarnation+1)
	weightAt := func(maxAge float64) float64 {
		if age < 0 {
			return 0
		}
		return max(0, 1-age/maxAge)
	}
	valid := func(value, limit float64) bool { return value > 0 && value <= limit } // false for NaN
	if weightAt(latencyMaxAgeSeconds) > 0 {
		b.allLatencies.restore(now, s.AllLatencies)
		for i, data := range s.VerbLatencies {
			if i < len(b.verbs) {
				b.verbs[i].latencies.restore(now, data)
			}
		}
	}
	if weight := weightAt(limitMaxAgeSeconds); weight > 0 {
		if valid(s.TypicalLatency, 3600) && s.BaselineInFlight >= 0 && s.BaselineInFlight <= 1e6 && b.typicalLatency == 0 {
			b.typicalLatency, b.baseline, b.baselineSamples = s.TypicalLatency, s.BaselineInFlight, weight/baselineStep
		}
		if valid(s.InFlightPerBackend, 1e6) { // blends into the initial value
			b.inFlightPerBackend = max(minInFlightPerBackend, initialInFlightPerBackend+
				(min(s.InFlightPerBackend, initialInFlightPerBackend)-initialInFlightPerBackend)*weight)
		}
		if valid(s.ArrivalRate, 1e7) {
			b.arrivals.RestoreUsualRate(now, s.ArrivalRate)
		}
	}
	if weight := weightAt(weightMaxAgeSeconds); weight > 0 {
		for _, be := range b.fleet {
			if w, ok := s.BackendWeights[be.ID]; ok && valid(w, maxWeight) && be.State == Ready && b.isWarm(be) {
				be.weight = max(minWeight, 1+(w-1)*weight)
			}
		}
	}
	b.dispatchHeld()
}

// Stats returns the share of recent answers that were late, and how many instances are believed to run.
func (b *Balancer) Stats() (lateShare, activeInstances float64) {
	return b.endedLate / math.Max(1, b.ended), b.activeInstances()
}

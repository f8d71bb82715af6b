// This file owns what an instance hands to the one that comes after it in its place, and how far that one believes it. It
// must never have a rule depend on what is remembered: what is lost, or wrong, costs time alone.
package balance

import (
	"math"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/store"
)

const (
	latencyLife = 300.0 // seconds after which latencies are no longer believed: a deploy may have changed them
	boundLife   = 60.0  // the same of bounds and rates: they follow the load of the hour
	weightLife  = 30.0  // the same of weights: a backend that was slow mends in such a time
)

// Memory is what was learned. Verbs are in the order of the settings.
type Snapshot struct {
	Incarnation                                       uint64 // of the instance
	TypicalLatency                                    float64
	BaselineInFlight, InFlightPerBackend, ArrivalRate float64
	AllLatencies                                      []byte
	VerbLatencies                                     [][]byte
	Weights                                           map[BackendID]float64
}

// bytes are both sketches in one, nil where they hold too little to be of use.
func (d *delay) bytes() (text []byte) {
	if d.answers < warmupAnswers {
		return nil
	}
	both := d.now.Copy()
	if both.MergeWith(d.before) == nil {
		both.Encode(&text, false)
	}
	return text
}

// recall takes a sketch for what was learned before the present rotation, so that it fades as that does.
func (d *delay) recall(now float64, text []byte) {
	if len(text) == 0 || d.answers >= warmupAnswers {
		return
	}
	s, err := ddsketch.DecodeDDSketch(text, store.BufferedPaginatedStoreConstructor, nil)
	if err != nil || d.before.Copy().MergeWith(s) != nil || !(s.GetCount() >= 1) {
		return // of another accuracy, or no sketch
	}
	if d.before.MergeWith(s) == nil {
		d.rotated, d.answers = now, max(d.answers, warmupAnswers)
	}
}

// Remember gives what was learned so far.
func (b *Balancer) Snapshot() Snapshot {
	m := Snapshot{Incarnation: b.life, TypicalLatency: b.usual, BaselineInFlight: b.ease, InFlightPerBackend: b.level, ArrivalRate: b.arrivals.UsualRate(), AllLatencies: b.anyDelay.bytes(),
		Weights: map[BackendID]float64{}}
	for _, v := range b.verbs {
		m.VerbLatencies = append(m.VerbLatencies, v.delay.bytes())
	}
	for _, k := range b.fleet {
		if k.State == Ready && b.isWarm(k) {
			m.Weights[k.ID] = k.weight
		}
	}
	return m
}

// Recall takes what an earlier instance in this place had learned so many seconds ago, each thing as far as it is still to
// be believed. Of backends it counts for those that are listed now and are warm. A negative age, from a clock that was
// set back, is as good as none known.
func (b *Balancer) Restore(now float64, m Snapshot, age float64) {
	b.now = now
	b.life = max(b.life, m.Incarnation+1)
	fresh := func(life float64) float64 {
		if age < 0 {
			return 0
		}
		return max(0, 1-age/life)
	}
	sound := func(x, most float64) bool { return x > 0 && x <= most } // a NaN is not
	if fresh(latencyLife) > 0 {
		b.anyDelay.recall(now, m.AllLatencies)
		for i, text := range m.VerbLatencies {
			if i < len(b.verbs) {
				b.verbs[i].delay.recall(now, text)
			}
		}
	}
	if part := fresh(boundLife); part > 0 {
		if sound(m.TypicalLatency, 3600) && m.BaselineInFlight >= 0 && m.BaselineInFlight <= 1e6 && b.usual == 0 {
			b.usual, b.ease, b.easy = m.TypicalLatency, m.BaselineInFlight, part/easeStep
		}
		if sound(m.InFlightPerBackend, 1e6) { // towards what a start without memory has
			b.level = max(boundMin, boundFirst+(min(m.InFlightPerBackend, boundFirst)-boundFirst)*part)
		}
		if sound(m.ArrivalRate, 1e7) {
			b.arrivals.RestoreUsualRate(now, m.ArrivalRate)
		}
	}
	if part := fresh(weightLife); part > 0 {
		for _, k := range b.fleet {
			if w, ok := m.Weights[k.ID]; ok && sound(w, weightMax) && k.State == Ready && b.isWarm(k) {
				k.weight = max(weightMin, 1+(w-1)*part)
			}
		}
	}
	b.dispatch()
}

// Standing is the part of answers that were late, of late, and how many siblings are believed to live.
func (b *Balancer) Stats() (late, living float64) {
	return b.endedLate / math.Max(1, b.ended), b.living()
}

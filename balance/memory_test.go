// This file owns the stories of what one instance hands to the next. It must never let what is remembered stand for what is.
package balance

import (
	"math"
	"testing"
)

func TestWhatWasLearnedIsHandedOn(t *testing.T) {
	h := start(t, setup{})
	h.serve(1, 300, 0.1)
	h.b.fleet[2].weight = 0.2
	m := h.b.Snapshot()
	next := func(age float64, change func(*Snapshot)) *fakeHost {
		n := start(t, setup{seed: 9})
		c := m
		if change != nil {
			change(&c)
		}
		n.b.Restore(n.now, c, age)
		return n
	}
	n := next(1, nil)
	if d, learned := n.b.delay(n.b.verbs[0]); !learned || math.Abs(d-h.b.verbs[0].delay.after(h.now)) > 0.01 {
		t.Errorf("copies after %.3f s (learned %t), %.3f s before", d, learned, h.b.verbs[0].delay.after(h.now))
	}
	if n.b.usual != m.TypicalLatency || n.b.ease != m.BaselineInFlight || n.b.arrivals.UsualRate() != m.ArrivalRate || n.b.life <= m.Incarnation {
		t.Errorf("usual %v of %v, ease %v of %v, rate %v of %v", n.b.usual, m.TypicalLatency, n.b.ease, m.BaselineInFlight, n.b.arrivals.UsualRate(), m.ArrivalRate)
	}
	if w := n.b.fleet[2].weight; w > 0.3 {
		t.Errorf("weight %.2f of a backend that was slow a second ago", w)
	}
	if n := next(20, nil); n.b.fleet[2].weight < 0.6 {
		t.Errorf("weight %.2f after 20 s: it is believed too long", n.b.fleet[2].weight)
	}
	for name, n := range map[string]*fakeHost{"hours old": next(3*3600, nil), "of the future": next(-60, nil),
		"no numbers": next(1, func(m *Snapshot) {
			*m = Snapshot{TypicalLatency: math.NaN(), BaselineInFlight: math.Inf(1), InFlightPerBackend: -1, ArrivalRate: math.NaN(), AllLatencies: []byte{1, 2, 250}, VerbLatencies: [][]byte{{9}, {}, {7}, {8}},
				Weights: map[BackendID]float64{id(1): math.NaN(), id(2): 1e9, {}: 1}}
		})} {
		_, learned := n.b.delay(n.b.verbs[0])
		if learned || n.b.usual != 0 || n.b.level != boundFirst || n.b.arrivals.UsualRate() != 0 {
			t.Errorf("%s: learned %t, usual %v, level %v, rate %v", name, learned, n.b.usual, n.b.level, n.b.arrivals.UsualRate())
		}
		for _, k := range n.b.fleet {
			if k.weight != 1 {
				t.Errorf("%s: weight %v", name, k.weight)
			}
		}
		n.serve(1, 100, 0.1)
		if len(n.declined)+len(n.terminated) > 0 {
			t.Errorf("%s: %d declined, %d terminated", name, len(n.declined), len(n.terminated))
		}
	}
}

// A snapshot of a backend that has started anew meanwhile says nothing of the process that is there now.
func TestAWeightIsNotThatOfTheProcessAfter(t *testing.T) {
	h := start(t, setup{})
	m := h.b.Snapshot()
	m.Weights[id(1)] = 0.1
	list := ready(6)
	list[1].StartedAt = h.now
	h.b.UpdateBackends(h.now, true, list)
	h.b.Restore(h.now, m, 1)
	for _, k := range h.b.fleet {
		if k.ID == id(1) && k.weight != 1 {
			t.Errorf("weight %v of a process that has just started", k.weight)
		}
	}
}

// This file tests what an instance saves for its successor, and that saved values never replace current facts.

package balance

import (
	"math"
	"testing"
)

// A new instance starts with what its predecessor had learned, unless that is old or invalid.
func TestSnapshotIsRestored(t *testing.T) {
	h := startBalancer(t, setup{})
	h.serve(1, 300, 0.1)
	h.b.fleet[2].weight = 0.2
	saved := h.b.Snapshot()
	restored := func(age float64, change func(*Snapshot)) *fakeHost {
		n := startBalancer(t, setup{seed: 9})
		c := saved
		if change != nil {
			change(&c)
		}
		n.b.Restore(n.now, c, age)
		return n
	}
	n := restored(1, nil)
	if d, learned := n.b.hedgeDelay(n.b.verbs[0]); !learned || math.Abs(d-h.b.verbs[0].latencies.lateAfter(h.now)) > 0.01 {
		t.Errorf("hedge delay %.3f s (learned %t), was %.3f s", d, learned, h.b.verbs[0].latencies.lateAfter(h.now))
	}
	if n.b.typicalLatency != saved.TypicalLatency || n.b.baseline != saved.BaselineInFlight ||
		n.b.arrivals.UsualRate() != saved.ArrivalRate || n.b.incarnation <= saved.Incarnation {
		t.Errorf("typical latency %v of %v, baseline %v of %v, rate %v of %v", n.b.typicalLatency, saved.TypicalLatency,
			n.b.baseline, saved.BaselineInFlight, n.b.arrivals.UsualRate(), saved.ArrivalRate)
	}
	if w := n.b.fleet[2].weight; w > 0.3 {
		t.Errorf("weight %.2f of a backend that was slow a second ago", w)
	}
	if n := restored(20, nil); n.b.fleet[2].weight < 0.6 {
		t.Errorf("weight %.2f after 20 s: it is kept too long", n.b.fleet[2].weight)
	}
	for name, n := range map[string]*fakeHost{"hours old": restored(3*3600, nil), "negative age": restored(-60, nil),
		"invalid values": restored(1, func(s *Snapshot) {
			*s = Snapshot{TypicalLatency: math.NaN(), BaselineInFlight: math.Inf(1), InFlightPerBackend: -1,
				ArrivalRate: math.NaN(), AllLatencies: []byte{1, 2, 250}, VerbLatencies: [][]byte{{9}, {}, {7}, {8}},
				BackendWeights: map[BackendID]float64{id(1): math.NaN(), id(2): 1e9, {}: 1}}
		})} {
		_, learned := n.b.hedgeDelay(n.b.verbs[0])
		if learned || n.b.typicalLatency != 0 || n.b.inFlightPerBackend != initialInFlightPerBackend ||
			n.b.arrivals.UsualRate() != 0 {
			t.Errorf("%s: learned %t, typical latency %v, limit %v, rate %v", name, learned,
				n.b.typicalLatency, n.b.inFlightPerBackend, n.b.arrivals.UsualRate())
		}
		for _, be := range n.b.fleet {
			if be.weight != 1 {
				t.Errorf("%s: weight %v", name, be.weight)
			}
		}
		n.serve(1, 100, 0.1)
		if len(n.declined)+len(n.terminated) > 0 {
			t.Errorf("%s: %d declined, %d terminated", name, len(n.declined), len(n.terminated))
		}
	}
}

// A weight saved before a backend restarted says nothing about its new process.
func TestRestartedBackendGetsNoSavedWeight(t *testing.T) {
	h := startBalancer(t, setup{})
	saved := h.b.Snapshot()
	saved.BackendWeights[id(1)] = 0.1
	list := warmBackends(6)
	list[1].StartedAt = h.now
	h.b.UpdateBackends(h.now, true, list)
	h.b.Restore(h.now, saved, 1)
	for _, be := range h.b.fleet {
		if be.ID == id(1) && be.weight != 1 {
			t.Errorf("weight %v of a process that has just started", be.weight)
		}
	}
}

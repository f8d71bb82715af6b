package balance

import (
	"slices"
	"testing"
)

// fleetOf starts so many instances of one tier over one list.
func fleetOf(t *testing.T, instances int, list []Entry, s setup) (hosts []*fakeHost) {
	s.backends, s.place.Siblings = list, instances
	for s.place.Me = range instances {
		s.seed = uint64(s.place.Me)
		hosts = append(hosts, start(t, s))
	}
	return hosts
}

func TestWindows(t *testing.T) {
	const instances, backends = 500, 80
	list := ready(backends)
	for i := range list[:backends/2] {
		list[i].Size = 2
	}
	hosts := fleetOf(t, instances, list, setup{})
	share, widest := map[BackendID]float64{}, 0
	for _, h := range hosts {
		widest = max(widest, len(h.b.window))
		total := 0.0
		for _, k := range h.b.window {
			total += k.near
		}
		for _, k := range h.b.window {
			share[k.ID] += k.near / total
		}
	}
	t.Run("each instance keeps to a few, each backend gets its share by size", func(t *testing.T) {
		if widest > 20 {
			t.Errorf("%d backends in a window", widest)
		}
		for _, e := range list {
			if want := e.Size * instances / 120; share[e.ID] < 0.9*want || share[e.ID] > 1.1*want {
				t.Errorf("size %v is worth %.1f instances, not %.1f", e.Size, share[e.ID], want)
			}
		}
	})
	t.Run("a backend that leaves is replaced, and little else shifts", func(t *testing.T) {
		h := hosts[77]
		before := slices.Clone(h.b.window)
		h.b.Fleet(h.now, false, []Entry{{ID: before[2].ID, State: Gone}})
		kept := 0
		for _, k := range before {
			if slices.Contains(h.b.window, k) {
				kept++
			}
		}
		if len(h.b.window) < len(before)-1 || kept < len(before)-3 {
			t.Errorf("%d of %d kept, %d now", kept, len(before), len(h.b.window))
		}
	})
	t.Run("more siblings than backends, none told, or a list of nothing are absorbed", func(t *testing.T) {
		for _, p := range []Place{{Me: 900, Siblings: 500}, {Me: 3}, {Me: 0, Siblings: 1}} {
			h := start(t, setup{place: p, backends: ready(2)})
			h.serve(1, 10, 0.05)
			if len(h.relays) < 10 || len(h.b.window) != 2 {
				t.Errorf("%+v: %d relays, %d in the window", p, len(h.relays), len(h.b.window))
			}
			h.b.Fleet(h.now, true, nil)
			h.b.Command(h.now, 99, 0, 0, h.now+6, 0)
			h.until(h.now + 7)
		}
	})
}

func TestFewAnswers(t *testing.T) {
	t.Run("hundreds of instances that know nothing yet do not copy at once", func(t *testing.T) {
		copies := 0
		for _, h := range fleetOf(t, 300, ready(40), setup{}) {
			h.b.Command(h.now, 1, 0, 0, h.now+6, 0)
			h.until(h.now + 1)
			copies += len(h.relays) - 1
		}
		if copies > 0 {
			t.Errorf("%d copies of 300 first commands", copies)
		}
	})
	t.Run("a rare verb goes by the answers of all", func(t *testing.T) {
		h := start(t, setup{})
		if d, learned := h.b.delay(h.b.verbs[1]); learned || d < 1 {
			t.Errorf("%v s before any answer", d)
		}
		h.serve(1, 100, 0.1)
		if d, learned := h.b.delay(h.b.verbs[1]); !learned || d > 0.11 {
			t.Errorf("%v s once another verb is known", d)
		}
	})
}

func TestBoundOfMany(t *testing.T) {
	flood := func(instances int) float64 {
		out := 0
		for _, h := range fleetOf(t, instances, ready(60), setup{}) {
			h.b.level *= 0.99 // not at ease any more
			for i := range uint64(8000 / instances) {
				h.b.Command(h.now, i, 1, 0, h.now+6, 0)
			}
			out += len(h.relays)
		}
		return float64(out) / 60
	}
	alone := flood(1)
	for _, instances := range []int{4, 40, 400, 2000} {
		if each := flood(instances); each < alone/2 || each > 4*alone {
			t.Errorf("a flood leaves %.1f commands at a backend with %d instances, %.1f with one", each, instances, alone)
		}
	}
}

func TestFewAnswersRaiseNothing(t *testing.T) {
	h := start(t, setup{place: Place{Siblings: 100}})
	settle := func(count int, every float64) float64 { // a third of the answers late, with the bound in use
		first := h.b.level
		for i := range count {
			h.b.now, h.b.inFlight = h.b.now+every, 100
			took := 0.2
			if i%3 == 0 {
				took = 2
			}
			h.b.settle(&command{verb: h.b.verbs[0], came: h.b.now - took}, false)
		}
		return h.b.level / first
	}
	if grown := settle(20, 1); grown > 1 {
		t.Errorf("raised by %v on one answer a second", grown)
	}
	if grown := settle(2000, 0.01); grown < 1.5 {
		t.Errorf("raised by %v on a hundred a second", grown)
	}
}

func TestColdBudgetOfMany(t *testing.T) {
	const instances, backends = 200, 20
	hosts := fleetOf(t, instances, ready(backends), setup{})
	next, got := uint64(0), []int{}
	serve := func(seconds int) { // two commands a second at each instance, spread over the second
		for range 2 * seconds {
			count := 0
			for i, h := range hosts {
				next++
				h.until(h.now + 0.3 + 0.2*float64(i)/instances)
				h.b.Command(h.now, next, 0, 0, h.now+6, 0)
				h.until(h.now + 0.2 - 0.2*float64(i)/instances)
				for n, to := range h.toOf(next) {
					if to == id(99) {
						count++
					}
					h.outcome(next, n, Answered)
				}
				h.relays = h.relays[:0]
			}
			got = append(got, count)
		}
	}
	serve(5)
	tell := func(gone int) {
		changes := []Entry{{ID: id(99), Size: 1, Started: hosts[0].now}}
		for i := range gone {
			changes = append(changes, Entry{ID: id(i), State: Gone})
		}
		for _, h := range hosts {
			h.b.Fleet(h.now, false, changes)
		}
	}
	// 20 a second are each backend's usual: it can surely do a fifth of that, and falls over at three times as much.
	budget := func(t *testing.T) {
		for i := 3; i < len(got); i++ {
			if sum := got[i-3] + got[i-2] + got[i-1]; sum > 20*3/5*3/2 {
				t.Errorf("%d commands in 1.5 s", sum)
			}
		}
	}
	t.Run("hundreds that learn of a newcomer together keep to its budget, and use it", func(t *testing.T) {
		got = nil
		tell(0)
		serve(3)
		if budget(t); slices.Max(got) == 0 {
			t.Error("it got nothing")
		}
	})
	t.Run("also when half of the others leave and all turns to it", func(t *testing.T) {
		got = nil
		tell(backends / 2)
		serve(3)
		budget(t)
	})
}

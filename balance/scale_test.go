package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// startInstances starts a number of instances of one tier with the same backend list.
func startInstances(t *testing.T, instances int, list []Entry, s setup) (hosts []*fakeHost) {
	s.backends, s.placement.Instances = list, instances
	for s.placement.Index = range instances {
		s.seed = uint64(s.placement.Index)
		hosts = append(hosts, startBalancer(t, s))
	}
	return hosts
}

// Each instance uses a small window of backends, and all windows together load the backends by their capacity.
func TestWindows(t *testing.T) {
	const instances, backends = 500, 80
	list := warmBackends(backends)
	for i := range list[:backends/2] {
		list[i].Capacity = 2
	}
	hosts := startInstances(t, instances, list, setup{})
	share, widest := map[BackendID]float64{}, 0
	for _, h := range hosts {
		widest = max(widest, len(h.b.window))
		total := 0.0
		for _, be := range h.b.window {
			total += be.windowShare
		}
		for _, be := range h.b.window {
			share[be.ID] += be.windowShare / total
		}
	}
	t.Run("each instance uses a few backends, each backend gets its share by capacity", func(t *testing.T) {
		if widest > 20 {
			t.Errorf("%d backends in a window", widest)
		}
		for _, e := range list {
			if want := e.Capacity * instances / 120; share[e.ID] < 0.9*want || share[e.ID] > 1.1*want {
				t.Errorf("capacity %v gets the traffic of %.1f instances, want %.1f", e.Capacity, share[e.ID], want)
			}
		}
	})
	t.Run("a removed backend is replaced, and little else changes", func(t *testing.T) {
		h := hosts[77]
		before := slices.Clone(h.b.window)
		h.b.UpdateBackends(h.now, false, []Entry{{ID: before[2].ID, State: Gone}})
		kept := 0
		for _, be := range before {
			if slices.Contains(h.b.window, be) {
				kept++
			}
		}
		if len(h.b.window) < len(before)-1 || kept < len(before)-3 {
			t.Errorf("%d of %d backends kept, %d now", kept, len(before), len(h.b.window))
		}
	})
	t.Run("more instances than backends, an unset instance count and an empty list are handled", func(t *testing.T) {
		for _, p := range []Placement{{Index: 900, Instances: 500}, {Index: 3}, {Index: 0, Instances: 1}} {
			h := startBalancer(t, setup{placement: p, backends: warmBackends(2)})
			h.serve(1, 10, 0.05)
			if len(h.relays) < 10 || len(h.b.window) != 2 {
				t.Errorf("%+v: %d relays, %d in the window", p, len(h.relays), len(h.b.window))
			}
			h.b.UpdateBackends(h.now, true, nil)
			h.b.CommandReceived(h.now, 99, 0, 0, h.now+6, 0)
			h.advanceTo(h.now + 7)
		}
	})
}

func TestFewAnswers(t *testing.T) {
	t.Run("hundreds of new instances do not all send hedges", func(t *testing.T) {
		hedges := 0
		for _, h := range startInstances(t, 300, warmBackends(40), setup{}) {
			h.b.CommandReceived(h.now, 1, 0, 0, h.now+6, 0)
			h.advanceTo(h.now + 1)
			hedges += len(h.relays) - 1
		}
		if hedges > 0 {
			t.Errorf("%d hedges of 300 first commands", hedges)
		}
	})
	t.Run("a rare verb uses the latencies of all verbs", func(t *testing.T) {
		h := startBalancer(t, setup{})
		if d, learned := h.b.hedgeDelay(h.b.verbs[1]); learned || d < 1 {
			t.Errorf("%v s before any answer", d)
		}
		h.serve(1, 100, 0.1)
		if d, learned := h.b.hedgeDelay(h.b.verbs[1]); !learned || d > 0.11 {
			t.Errorf("%v s once another verb is known", d)
		}
	})
}

// An overload puts about as many commands on a backend with thousands of instances as with one.
func TestLimitAcrossInstances(t *testing.T) {
	overload := func(instances int) float64 {
		total := 0
		for _, h := range startInstances(t, instances, warmBackends(60), setup{}) {
			h.b.inFlightPerBackend *= 0.99 // no longer at the initial limit
			for i := range uint64(8000 / instances) {
				h.b.CommandReceived(h.now, i, 1, 0, h.now+6, 0)
			}
			total += len(h.relays)
		}
		return float64(total) / 60
	}
	withOne := overload(1)
	for _, instances := range []int{4, 40, 400, 2000} {
		if each := overload(instances); each < withOne/2 || each > 4*withOne {
			t.Errorf("an overload puts %.1f commands on a backend with %d instances, %.1f with one", each, instances, withOne)
		}
	}
}

// One answer per second is too little evidence to raise the limit; a hundred are enough.
func TestFewAnswersDoNotRaiseTheLimit(t *testing.T) {
	h := startBalancer(t, setup{placement: Placement{Instances: 100}})
	complete := func(count int, every float64) float64 { // a third of the answers late, with the limit in use
		first := h.b.inFlightPerBackend
		for i := range count {
			h.b.now, h.b.inFlight = h.b.now+every, 100
			took := 0.2
			if i%3 == 0 {
				took = 2
			}
			h.b.recordCompletion(&command{verb: h.b.verbs[0], receivedAt: h.b.now - took}, false)
		}
		return h.b.inFlightPerBackend / first
	}
	if grown := complete(20, 1); grown > 1 {
		t.Errorf("limit raised by %v at one answer per second", grown)
	}
	if grown := complete(2000, 0.01); grown < 1.5 {
		t.Errorf("limit raised by %v at a hundred answers per second", grown)
	}
}

// Instances that learn of a cold backend at the same time must together stay within its budget.
func TestColdBudgetAcrossInstances(t *testing.T) {
	const instances, backends = 200, 20
	hosts := startInstances(t, instances, warmBackends(backends), setup{})
	next, got := uint64(0), []int{}
	serve := func(seconds int) { // two commands per second at each instance, spread over the second
		for range 2 * seconds {
			count := 0
			for i, h := range hosts {
				next++
				h.advanceTo(h.now + 0.3 + 0.2*float64(i)/instances)
				h.b.CommandReceived(h.now, next, 0, 0, h.now+6, 0)
				h.advanceTo(h.now + 0.2 - 0.2*float64(i)/instances)
				for n, to := range h.relaysOf(next) {
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
	announce := func(removed int) {
		changes := []Entry{{ID: id(99), Capacity: 1, StartedAt: hosts[0].now}}
		for i := range removed {
			changes = append(changes, Entry{ID: id(i), State: Gone})
		}
		for _, h := range hosts {
			h.b.UpdateBackends(h.now, false, changes)
		}
	}
	// A backend usually gets 20 per second: a cold one is sure to handle a fifth of that, and is overloaded by
	// three times as much.
	budget := func(t *testing.T) {
		for i := 3; i < len(got); i++ {
			if sum := got[i-3] + got[i-2] + got[i-1]; sum > 20*3/5*3/2 {
				t.Errorf("%d commands in 1.5 s", sum)
			}
		}
	}
	t.Run("hundreds of instances that learn of a new backend together stay within its budget, and use it", func(t *testing.T) {
		got = nil
		announce(0)
		serve(3)
		if budget(t); slices.Max(got) == 0 {
			t.Error("the new backend got no commands")
		}
	})
	t.Run("the budget also holds when half of the other backends leave", func(t *testing.T) {
		got = nil
		announce(backends / 2)
		serve(3)
		budget(t)
	})
}

// Cold backends must get no more from all processes together than the settings allow, apart from random variation.
// That must hold for any number of processes, however little each sees, also in the cases that broke it: the first
// tokens of all processes added up, processes that had just started and knew no rate, the traffic of seven in ten
// killed processes arriving at the rest, half of the backends cold at once.
func TestColdBudgetOfAllProcesses(t *testing.T) {
	const backends, span, step = 20, 1.5, 0.05
	cold := func(now float64, n int) (list []Entry) {
		for i := range n {
			list = append(list, Entry{ID: id(i), State: Gone}, Entry{ID: id(100 + i), Capacity: 1, StartedAt: now})
		}
		return list
	}
	for _, c := range []struct {
		name   string
		new    int
		kill   bool
		served float64 // seconds before the change
	}{
		{name: "one backend is new", new: 1, served: 12},
		{name: "half of the backends are new", new: backends / 2, served: 12},
		{name: "half of the backends are new, seven in ten processes are killed and back 2 s later",
			new: backends / 2, kill: true, served: 12},
		{name: "all processes have just started", new: backends / 2, served: 0},
	} {
		for _, instances := range []int{1, 2, 5, 30, 300} {
			worst, violations, windows, used := 0.0, 0, 0, 0
			for seed := range 20 {
				rng := rand.New(rand.NewPCG(uint64(seed), uint64(instances)))
				hosts := make([]*fakeHost, instances)
				begin := func(i int, now float64, list []Entry) {
					h := startBalancer(t, setup{backends: list, placement: Placement{Index: i, Instances: instances},
						seed: uint64(seed*1000 + i)})
					h.now, h.b.start, h.b.now = now, now, now
					h.b.UpdateBackends(now, true, list)
					hosts[i] = h
				}
				now := 1000.0
				for i := range hosts {
					begin(i, now, warmBackends(backends))
				}
				rate := 40.0 // per second, for all; each backend's usual rate is a twentieth of it
				got, cmd, changeAt, list := map[BackendID][]float64{}, uint64(0), now+c.served, []Entry(nil)
				for end := changeAt + 6; now < end; now += step {
					if list == nil && now >= changeAt {
						list = cold(now, c.new)
						for _, h := range hosts {
							h.advanceTo(now)
							h.b.UpdateBackends(now, false, list)
						}
						whole := []Entry{}
						for _, e := range append(warmBackends(backends), list...) {
							if e.State != Gone && !slices.ContainsFunc(list, func(x Entry) bool {
								return x.ID == e.ID && x.State == Gone
							}) {
								whole = append(whole, e)
							}
						}
						list = whole
						if c.kill {
							for i := range hosts {
								if i%10 < 7 {
									hosts[i] = nil
								}
							}
						}
					}
					if c.kill && now >= changeAt+2 {
						for i, h := range hosts {
							if h == nil {
								begin(i, now, list)
							}
						}
					}
					var alive []*fakeHost
					for _, h := range hosts {
						if h != nil {
							alive = append(alive, h)
						}
					}
					for n := rate * step; n > 0 && len(alive) > 0; n-- {
						if n < 1 && rng.Float64() > n {
							break
						}
						h := alive[rng.IntN(len(alive))]
						cmd++
						h.advanceTo(now)
						h.b.CommandReceived(now, cmd, 0, 0, now+6, 0)
						for n, to := range h.relaysOf(cmd) {
							got[to] = append(got[to], now)
							h.outcome(cmd, n, Answered)
						}
						h.relays = h.relays[:0]
					}
				}
				for i := range c.new {
					at := got[id(100+i)]
					used += len(at)
					for a, from := range at {
						part := 0.2 + 0.8*(from-changeAt)/10
						allowed := 3 * part * rate / backends * span
						n := 0
						for _, x := range at[a:] {
							if x < from+span {
								n++
							}
						}
						windows++
						if excess := float64(n) - (allowed + 2*math.Sqrt(allowed) + 2); excess > 0 {
							violations++
							worst = max(worst, excess)
						}
					}
				}
			}
			t.Logf("%s, %d processes: %d commands, %d of %d windows over, by %.1f at most",
				c.name, instances, used, violations, windows, worst)
			if violations > 0 || used == 0 {
				t.Errorf("%s, %d processes: %d of %d windows over, by %.1f at most; %d commands",
					c.name, instances, violations, windows, worst, used)
			}
		}
	}
}

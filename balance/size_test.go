package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// fleetOf starts so many instances of one tier over one list.
func fleetOf(t *testing.T, instances int, list []Entry, s setup) (hosts []*fakeHost) {
	s.backends, s.place.Instances = list, instances
	for s.place.Index = range instances {
		s.seed = uint64(s.place.Index)
		hosts = append(hosts, start(t, s))
	}
	return hosts
}

func TestWindows(t *testing.T) {
	const instances, backends = 500, 80
	list := ready(backends)
	for i := range list[:backends/2] {
		list[i].Capacity = 2
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
			if want := e.Capacity * instances / 120; share[e.ID] < 0.9*want || share[e.ID] > 1.1*want {
				t.Errorf("size %v is worth %.1f instances, not %.1f", e.Capacity, share[e.ID], want)
			}
		}
	})
	t.Run("a backend that leaves is replaced, and little else shifts", func(t *testing.T) {
		h := hosts[77]
		before := slices.Clone(h.b.window)
		h.b.UpdateBackends(h.now, false, []Entry{{ID: before[2].ID, State: Gone}})
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
		for _, p := range []Placement{{Index: 900, Instances: 500}, {Index: 3}, {Index: 0, Instances: 1}} {
			h := start(t, setup{place: p, backends: ready(2)})
			h.serve(1, 10, 0.05)
			if len(h.relays) < 10 || len(h.b.window) != 2 {
				t.Errorf("%+v: %d relays, %d in the window", p, len(h.relays), len(h.b.window))
			}
			h.b.UpdateBackends(h.now, true, nil)
			h.b.CommandReceived(h.now, 99, 0, 0, h.now+6, 0)
			h.until(h.now + 7)
		}
	})
}

func TestFewAnswers(t *testing.T) {
	t.Run("hundreds of instances that know nothing yet do not copy at once", func(t *testing.T) {
		copies := 0
		for _, h := range fleetOf(t, 300, ready(40), setup{}) {
			h.b.CommandReceived(h.now, 1, 0, 0, h.now+6, 0)
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
				h.b.CommandReceived(h.now, i, 1, 0, h.now+6, 0)
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
	h := start(t, setup{place: Placement{Instances: 100}})
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
				h.b.CommandReceived(h.now, next, 0, 0, h.now+6, 0)
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
		changes := []Entry{{ID: id(99), Capacity: 1, StartedAt: hosts[0].now}}
		for i := range gone {
			changes = append(changes, Entry{ID: id(i), State: Gone})
		}
		for _, h := range hosts {
			h.b.UpdateBackends(h.now, false, changes)
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

// Cold backends bear what the settings allow from all processes together, and beyond it only what chance may add, however
// many processes there are and however little each sees: a sum of first tokens, processes that have just started and know no
// rate, the traffic of seven in ten that were killed arriving at the rest, half of the backends cold at once.
func TestColdSumOfAll(t *testing.T) {
	const backends, span, step = 20, 1.5, 0.05
	cold := func(now float64, n int) (list []Entry) {
		for i := range n {
			list = append(list, Entry{ID: id(i), State: Gone}, Entry{ID: id(100 + i), Capacity: 1, StartedAt: now})
		}
		return list
	}
	for _, story := range []struct {
		name   string
		new    int
		kill   bool
		served float64 // seconds before the news
	}{
		{name: "one of them is new", new: 1, served: 12},
		{name: "half of them are new", new: backends / 2, served: 12},
		{name: "half are new and seven in ten processes are killed, and back 2 s later", new: backends / 2, kill: true, served: 12},
		{name: "all processes have just started", new: backends / 2, served: 0},
	} {
		for _, instances := range []int{1, 2, 5, 30, 300} {
			worst, over, of, used := 0.0, 0, 0, 0
			for seed := range 20 {
				chance := rand.New(rand.NewPCG(uint64(seed), uint64(instances)))
				hosts := make([]*fakeHost, instances)
				begin := func(i int, now float64, list []Entry) {
					h := start(t, setup{backends: list, place: Placement{Index: i, Instances: instances}, seed: uint64(seed*1000 + i)})
					h.now, h.b.start, h.b.now = now, now, now
					h.b.UpdateBackends(now, true, list)
					hosts[i] = h
				}
				now := 1000.0
				for i := range hosts {
					begin(i, now, ready(backends))
				}
				rate := 40.0 // a second, of all; each backend's usual is a twentieth of it
				got, cmd, told, list := map[BackendID][]float64{}, uint64(0), now+story.served, []Entry(nil)
				for end := told + 6; now < end; now += step {
					if list == nil && now >= told {
						list = cold(now, story.new)
						for _, h := range hosts {
							h.until(now)
							h.b.UpdateBackends(now, false, list)
						}
						whole := []Entry{}
						for _, e := range append(ready(backends), list...) {
							if e.State != Gone && !slices.ContainsFunc(list, func(x Entry) bool { return x.ID == e.ID && x.State == Gone }) {
								whole = append(whole, e)
							}
						}
						list = whole
						if story.kill {
							for i := range hosts {
								if i%10 < 7 {
									hosts[i] = nil
								}
							}
						}
					}
					if story.kill && now >= told+2 {
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
						if n < 1 && chance.Float64() > n {
							break
						}
						h := alive[chance.IntN(len(alive))]
						cmd++
						h.until(now)
						h.b.CommandReceived(now, cmd, 0, 0, now+6, 0)
						for n, to := range h.toOf(cmd) {
							got[to] = append(got[to], now)
							h.outcome(cmd, n, Answered)
						}
						h.relays = h.relays[:0]
					}
				}
				for i := range story.new {
					at := got[id(100+i)]
					used += len(at)
					for a, from := range at {
						part := 0.2 + 0.8*(from-told)/10
						allowed := 3 * part * rate / backends * span
						n := 0
						for _, x := range at[a:] {
							if x < from+span {
								n++
							}
						}
						of++
						if past := float64(n) - (allowed + 2*math.Sqrt(allowed) + 2); past > 0 {
							over++
							worst = max(worst, past)
						}
					}
				}
			}
			t.Logf("%s, %d processes: %d commands, %d of %d windows over, by %.1f at most", story.name, instances, used, over, of, worst)
			if over > 0 || used == 0 {
				t.Errorf("%s, %d processes: %d of %d windows over, by %.1f at most; %d commands", story.name, instances, over, of, worst, used)
			}
		}
	}
}

package balance

import (
	"slices"
	"testing"
)

func TestEveryCommandEnds(t *testing.T) {
	for _, effect := range []Effect{Pure, Receipted, Effectful} {
		h := startBalancer(t, setup{
			verb: Verb{Effect: effect, Goal: 2.5, TimeLimit: 6, Utility: 1, LateUtility: 0.5, DedupWindow: 5}})
		t.Run("a command ends by its time limit if nothing replies", func(t *testing.T) {
			h.b.CommandReceived(h.now, 1, 0, 0, h.now+6, 0)
			h.advanceTo(h.now + 6)
			if !h.ended[1] {
				t.Error("no final answer")
			}
		})
		t.Run("late outcomes are ignored", func(t *testing.T) {
			for n := range h.relaysOf(1) {
				h.b.RelayEnded(h.now, 1, n, Answered, 6, false, LoadReport{})
			}
			h.b.RelayEnded(h.now, 99, 3, Full, 0, false, LoadReport{})
			h.b.ClientDisconnected(h.now, 99)
			h.b.TimerFired(h.now, 1<<40)
			if len(h.b.commands) != 0 || h.b.inFlight != 0 {
				t.Errorf("%d commands and %d relays are still held", len(h.b.commands), h.b.inFlight)
			}
		})
	}
	t.Run("an empty list declines soon", func(t *testing.T) {
		h := startBalancer(t, setup{backends: []Entry{}})
		h.b.CommandReceived(h.now, 1, 0, 0, h.now+6, 0)
		h.advanceTo(h.now + 1)
		if !slices.Contains(h.declined, 1) {
			t.Error("not declined")
		}
	})
	t.Run("a disconnected client gets no answer", func(t *testing.T) {
		h := startBalancer(t, setup{})
		h.b.CommandReceived(h.now, 1, 0, 0, h.now+6, 0)
		h.b.ClientDisconnected(h.now, 1)
		h.outcome(1, 0, Cancelled)
		h.advanceTo(h.now + 7)
		if len(h.declined)+len(h.terminated) != 0 || !slices.Contains(h.cancels, 1) {
			t.Error("the relay was not cancelled, or an answer was sent")
		}
	})
	t.Run("a stream has no time limit once it has begun", func(t *testing.T) {
		h := startBalancer(t, setup{verb: Verb{Goal: 2.5, TimeLimit: 6, Utility: 1, Stream: true}})
		h.b.CommandReceived(h.now, 1, 0, 0, h.now+6, 0)
		h.b.StreamStarted(h.now, 1, 0)
		h.advanceTo(h.now + 20)
		if len(h.declined)+len(h.terminated)+len(h.cancels) != 0 {
			t.Error("a stream was ended after it had begun")
		}
	})
}

func TestUnsafeRepeatsAreNotSent(t *testing.T) {
	verb := func(e Effect, s Scope) setup {
		return setup{verb: Verb{Effect: e, Scope: s, Goal: 2.5, TimeLimit: 6, Utility: 1, LateUtility: 0.5, DedupWindow: 5}}
	}
	t.Run("an effectful command that may have run is terminated", func(t *testing.T) {
		h := startBalancer(t, verb(Effectful, ScopeAll))
		h.b.CommandReceived(h.now, 1, 0, 0, h.now+6, 0)
		h.outcome(1, 0, Errored)
		if len(h.relays) != 1 || !slices.Contains(h.terminated, 1) {
			t.Errorf("%d relays, terminated %v", len(h.relays), h.terminated)
		}
	})
	t.Run("a command that never ran goes to another backend", func(t *testing.T) {
		h := startBalancer(t, verb(Effectful, ScopeAll))
		h.b.CommandReceived(h.now, 1, 0, 0, h.now+6, 0)
		h.outcome(1, 0, Full)
		if to := h.relaysOf(1); len(to) != 2 || to[0] == to[1] {
			t.Errorf("sent to %v", to)
		}
	})
	t.Run("an effectful command gets no hedge", func(t *testing.T) {
		h := startBalancer(t, verb(Effectful, ScopeAll))
		h.b.CommandReceived(h.now, 1, 0, 0, h.now+6, 0)
		h.advanceTo(h.now + 5)
		if len(h.relays) != 1 {
			t.Errorf("%d relays", len(h.relays))
		}
	})
	t.Run("a receipted command stays in its cell and window", func(t *testing.T) {
		h := startBalancer(t, verb(Receipted, ScopeCell))
		cell := func(b BackendID) byte { return b[3] / 3 }
		for cmd := uint64(1); cmd <= 3; cmd++ {
			h.b.CommandReceived(h.now, cmd, 0, 0, h.now+6, 0)
			h.outcome(cmd, 0, Errored)
			if to := h.relaysOf(cmd); len(to) != 2 || cell(to[0]) != cell(to[1]) {
				t.Errorf("sent to %v", to)
			}
		}
		h.b.CommandReceived(h.now, 9, 0, 0, h.now+6, 0)
		h.advanceTo(h.now + 5.5)
		h.outcome(9, 0, Errored)
		for n := range h.relaysOf(9)[1:] { // a hedge may have gone out within the window
			h.outcome(9, n+1, Errored)
		}
		if slices.Contains(h.declined, 9) || !slices.Contains(h.terminated, 9) {
			t.Error("a command past its deduplication window was not terminated")
		}
	})
}

// A connection takes time to come up, and a deduplication window may be shorter than that, or than the time until
// a client retries.
func TestShortDedupWindows(t *testing.T) {
	verb := Verb{Effect: Receipted, Scope: ScopeAll, Goal: 2.5, TimeLimit: 6, Utility: 1, LateUtility: 0.5, DedupWindow: 0.4}
	limits := Limits{MaxRelays: 4, Hedges: true, CancelRelays: true, MaxRetryAfter: 2}
	t.Run("an extra relay is not written if its connection is up after the window", func(t *testing.T) {
		for wait, want := range map[float64]bool{0.3: true, 0.396: false, 0.5: false} {
			h := startBalancer(t, setup{verb: verb, limits: limits})
			h.b.CommandReceived(h.now, 1, 0, 0, h.now+6, 0)
			if !h.b.ConnectionOpened(h.now+0.3, 1, 0) {
				t.Error("a first relay may not be written")
			}
			h.outcome(1, 0, Reset)
			if len(h.relaysOf(1)) != 2 {
				t.Fatalf("sent to %v", h.relaysOf(1))
			}
			if got := h.b.ConnectionOpened(h.now+wait, 1, 1); got != want {
				t.Errorf("after %v s: %t", wait, got)
			}
		}
	})
	t.Run("a relay to a draining backend or of an ended command is not written", func(t *testing.T) {
		h := startBalancer(t, setup{verb: verb, limits: limits})
		h.b.CommandReceived(h.now, 1, 0, 0, h.now+6, 0)
		h.b.CommandReceived(h.now, 2, 0, 0, h.now+6, 0)
		h.b.UpdateBackends(h.now, false, []Entry{{ID: h.relaysOf(1)[0], State: Draining}})
		h.b.ClientDisconnected(h.now, 2)
		if h.b.ConnectionOpened(h.now, 1, 0) || h.b.ConnectionOpened(h.now, 2, 0) ||
			h.b.ConnectionOpened(h.now, 9, 0) || h.b.ConnectionOpened(h.now, 1, 7) {
			t.Error("the relay may be written")
		}
	})
	t.Run("a command that may have run is declined only if the client's retry falls within the window", func(t *testing.T) {
		for window, declines := range map[float64]bool{0.4: false, 2.1: false, 7.9: false, 8.1: true, 10: true} {
			verb := verb
			verb.DedupWindow = window
			h := startBalancer(t, setup{verb: verb, limits: limits, backends: warmBackends(1)})
			h.b.CommandReceived(h.now, 1, 0, 0, h.now+6, 0)
			h.outcome(1, 0, Reset)
			if declined := slices.Contains(h.declined, 1); declined != declines || declined == slices.Contains(h.terminated, 1) {
				t.Errorf("window %v: declined %t", window, declined)
			}
		}
	})
}

func TestDrainingBackendsGetNoCommands(t *testing.T) {
	for name, whole := range map[string]bool{"as changes": false, "missing from a whole list": true} {
		t.Run(name, func(t *testing.T) {
			h := startBalancer(t, setup{})
			if whole {
				h.b.UpdateBackends(h.now, true, warmBackends(1))
			} else {
				h.b.UpdateBackends(h.now, false, []Entry{{ID: id(1), State: Draining}, {ID: id(2), State: Gone},
					{ID: id(3), State: Draining}, {ID: id(4), State: Gone}, {ID: id(5), State: Draining}})
			}
			h.serve(1, 20, 0.05)
			for _, s := range h.relays {
				if s.to != id(0) {
					t.Fatalf("sent to %v, which is leaving", s.to)
				}
			}
		})
	}
	t.Run("a failed backend list is requested again", func(t *testing.T) {
		h := startBalancer(t, setup{listOnRequest: true})
		h.advanceTo(h.now + 1.5)
		h.b.BackendListFailed(h.now)
		h.advanceTo(h.now + 2)
		if h.watchCount != 2 {
			t.Errorf("requested %d times", h.watchCount)
		}
		for range 30 { // and not in a storm
			h.b.BackendListFailed(h.now)
			h.advanceTo(h.now + 1)
		}
		if h.watchCount < 4 || h.watchCount > 16 {
			t.Errorf("requested %d times in 33 s", h.watchCount)
		}
	})
}

func TestColdBackendIsNotOverloaded(t *testing.T) {
	h := startBalancer(t, setup{backends: warmBackends(4)})
	h.serve(1, 100, 0.1)
	h.b.UpdateBackends(h.now, false, []Entry{{ID: id(9), StartedAt: h.now, Capacity: 1}})
	first := len(h.relays)
	count := func() (n int) {
		for _, s := range h.relays[first:] {
			if s.to == id(9) {
				n++
			}
		}
		return n
	}
	h.serve(200, 20, 0.1)
	t.Run("a cold backend gets few commands at first", func(t *testing.T) {
		// 10 commands per second on 5 backends: 2 per second each, a fifth of that times 1.2 for 2 s.
		if n := count(); n > 3 {
			t.Errorf("%d commands in its first 2 s", n)
		}
	})
	t.Run("a warm backend gets its share", func(t *testing.T) {
		h.advanceTo(h.now + 9)
		first = len(h.relays)
		h.serve(300, 50, 0.1)
		if count() < 5 {
			t.Errorf("%d of 50 commands once warm", count())
		}
	})
	t.Run("a restart makes it cold again", func(t *testing.T) {
		h.b.UpdateBackends(h.now, false, []Entry{{ID: id(9), StartedAt: h.now, Capacity: 1}})
		first = len(h.relays)
		h.serve(400, 20, 0.1)
		if n := count(); n > 3 {
			t.Errorf("%d commands after the restart", n)
		}
	})
}

// The believed age of a backend must keep its initial budget within the cold-start rule.
func TestMaxTrustedAge(t *testing.T) {
	for _, c := range []ColdStart{
		{InitialCapacity: 0.13, WarmUp: 24, OverloadMultiple: 3}, {InitialCapacity: 0.33, WarmUp: 8.3, OverloadMultiple: 2.5},
		{InitialCapacity: 0.3, WarmUp: 5, OverloadMultiple: 2.5}, {InitialCapacity: 0.02, WarmUp: 30, OverloadMultiple: 3},
		{InitialCapacity: 0.9, WarmUp: 10, OverloadMultiple: 2}, {InitialCapacity: 1, WarmUp: 10, OverloadMultiple: 2},
	} {
		h := startBalancer(t, setup{})
		h.b.coldStart = c
		age := h.b.MaxTrustedAge()
		believed := min(1, c.InitialCapacity+(1-c.InitialCapacity)*age/c.WarmUp)
		if age < 0 || age > c.WarmUp || coldBudgetShare*believed > trustedColdShare*c.InitialCapacity+1e-9 {
			t.Errorf("%+v: age %.2f s, share %.3f of the rule's %.3f", c, age, coldBudgetShare*believed, c.InitialCapacity)
		}
	}
}

package balance

import (
	"slices"
	"testing"
)

// receiptedSetup describes an instance whose verb 0 is receipted, with a window of 1.5 s and a time limit of 3 s.
func receiptedSetup(cancel bool) setup {
	return setup{verb: Verb{Effect: Receipted, Scope: ScopeCell, Goal: 1.2, TimeLimit: 3, Utility: 1, LateUtility: 0.5, DedupWindow: 1.5},
		limits: Limits{MaxRelays: 4, Hedges: true, CancelRelays: cancel, MaxRetryAfter: 0.1}}
}

// receiveWithBody adds a command of verb 0 with a body.
func (h *fakeHost) receiveWithBody(cmd uint64, bodyBytes int) {
	h.b.ClassifiedCommandReceived(h.now, cmd, h.b.Classify(0, 0), bodyBytes, h.now+3, 0)
}

// Guards against a repeat whose body a slow backend has read only after its group has forgotten the command: it is not sent.
func TestRepeatIsSentOnlyIfItsBodyArrivesInTime(t *testing.T) {
	for bodyBytes, relays := range map[int]int{0: 2, 32e3: 2, 42e3: 2, 50e3: 1, 160 << 10: 1} {
		h := startBalancer(t, receiptedSetup(true))
		h.receiveWithBody(1, bodyBytes)
		h.advanceTo(h.now + 0.1)
		h.outcome(1, 0, Reset)
		if n := len(h.relaysOf(1)); n != relays || (len(h.terminated) == 1) != (relays == 1) {
			t.Errorf("%d bytes: %d relays, terminated %v, want %d relays", bodyBytes, n, h.terminated, relays)
		}
		h = startBalancer(t, receiptedSetup(true))
		h.receiveWithBody(1, bodyBytes)
		h.advanceTo(h.now + 0.1)
		h.outcome(1, 0, Full) // it has not run
		if n := len(h.relaysOf(1)); n != 2 {
			t.Errorf("%d bytes: %d relays of a command that has not run, want 2", bodyBytes, n)
		}
	}
}

// A decline promises that a retry is harmless: its body must arrive while the command is remembered, too.
func TestDeclineAllowsForTheBodyOfTheRetry(t *testing.T) {
	for bodyBytes, declines := range map[int]bool{0: true, 20e3: true, 40e3: false} {
		s := receiptedSetup(true)
		s.verb.Scope, s.verb.DedupWindow, s.backends = ScopeAll, 4, warmBackends(1)
		h := startBalancer(t, s)
		h.receiveWithBody(1, bodyBytes)
		h.outcome(1, 0, Reset)
		if declined := slices.Contains(h.declined, 1); declined != declines || declined == slices.Contains(h.terminated, 1) {
			t.Errorf("%d bytes: declined %t, want %t", bodyBytes, declined, declines)
		}
	}
}

// Guards against a repeat that arrives late: it is cancelled, unless it has arrived, before the group forgets the relay before it, with
// time for the process to be held up.
func TestLateDeliveriesAreCancelled(t *testing.T) {
	const repeat = 1
	for name, c := range map[string]struct {
		first     Result
		cancelled bool
	}{"may have run": {Reset, true}, "has not run": {Full, false}} {
		h := startBalancer(t, receiptedSetup(true))
		sentAt := h.now
		h.receiveWithBody(1, 1000)
		h.advanceTo(h.now + 0.1)
		h.outcome(1, 0, c.first)
		h.advanceTo(sentAt + 1.5 - 0.15 - 0.01)
		if len(h.undelivered) != 0 {
			t.Errorf("%s: cancelled %v too early", name, h.undelivered)
		}
		h.advanceTo(sentAt + 1.5 - 0.15)
		if cancelled := slices.Contains(h.undelivered, cancelledRelay{1, repeat}); cancelled != c.cancelled {
			t.Errorf("%s: cancelled %v", name, h.undelivered)
		}
	}
}

// Guards against a repeat whose connection comes up after the check of its delivery: it is checked once more, when it was written.
func TestDeliveryIsCheckedAfterALateConnection(t *testing.T) {
	h := startBalancer(t, receiptedSetup(true))
	sentAt := h.now
	h.receiveWithBody(1, 0)
	h.outcome(1, 0, Reset)
	h.advanceTo(sentAt + 1.4)
	h.undelivered = nil // the front does nothing: the connection is not up
	if !h.b.ConnectionOpened(h.now, 1, 1) {
		t.Fatal("it may not be written")
	}
	h.advanceTo(h.now + 0.001)
	if !slices.Equal(h.undelivered, []cancelledRelay{{1, 1}}) {
		t.Errorf("cancelled %v, want the repeat", h.undelivered)
	}
}

// Guards against a first relay that arrives late, after its group has forgotten the relay beside it that ran. It is cancelled although the
// command has its answer, where losers stay open.
func TestLateFirstRelayIsCancelledAfterItsRepeat(t *testing.T) {
	h := startBalancer(t, receiptedSetup(false))
	h.receiveWithBody(1, 1000)
	h.advanceTo(h.now + 0.3)
	h.b.RelayStalled(h.now, 1, 0)
	if len(h.relaysOf(1)) != 2 {
		t.Fatal("no relay was sent beside the first")
	}
	repeatedAt := h.now
	h.outcome(1, 1, Answered)
	h.advanceTo(repeatedAt + 1.5)
	if !slices.Equal(h.undelivered, []cancelledRelay{{1, 0}}) {
		t.Errorf("cancelled %v, want the first relay", h.undelivered)
	}
}

// No timer outlives the last relay of its command: a client that has much repeated must not fill the memory.
func TestDeliveryTimersEndWithTheLastRelay(t *testing.T) {
	h := startBalancer(t, receiptedSetup(true))
	h.receiveWithBody(1, 0)
	h.outcome(1, 0, Reset)
	if len(h.b.commands[1].deliveryTimers) == 0 {
		t.Fatal("no timer was started: the test has no effect")
	}
	h.outcome(1, 1, Answered)
	if n := len(h.b.timers); n != 0 {
		t.Errorf("%d timers are left", n)
	}
}

// This file tests failures of peers: coordinators that are gone, have just started, or use the older message
// format. It does not rely on the code's own view of which peers are alive.

package balance

import (
	"bytes"
	"encoding/binary"
	"slices"
	"testing"
)

// deliverAmong delivers messages among the peers that are alive; messages to the others are lost.
func deliverAmong(hosts []*fakeHost, alive func(i int) bool) {
	deliver(hosts, func(from int, m *sentMessage) bool { return alive(from) && alive(m.to) })
}

// Guards against waiting for dead coordinators: after nine of ten proxies were killed, each command of the rest
// waited 80 ms for two dead coordinators, in vain. Now the first few time out, and later ones ask live peers.
func TestDeadCoordinatorsAreSkipped(t *testing.T) {
	const n = 40
	hosts := startPeers(t, n, warmBackends(30))
	alive := func(int) bool { return true }
	id, each := uint64(0), 1
	countWaiting := func(rounds int) (waiting int) {
		for range rounds {
			for i, h := range hosts {
				if !alive(i) {
					continue
				}
				for range each {
					id++
					h.b.CommandReceived(h.now, id, 0, 0, h.now+6, 0)
					deliverAmong(hosts, alive)
					if len(h.relaysOf(id)) == 0 {
						waiting++
					}
				}
			}
			for _, h := range hosts {
				h.advanceTo(h.now + 0.05)
			}
			deliverAmong(hosts, alive)
			for _, h := range hosts {
				for n := range h.relays {
					if !h.ended[h.relays[n].cmd] {
						h.outcome(h.relays[n].cmd, 0, Answered)
					}
				}
			}
			deliverAmong(hosts, alive)
		}
		return waiting
	}
	if countWaiting(30); countWaiting(10) > 10 {
		t.Fatal("commands wait although all coordinators are alive")
	}
	alive = func(i int) bool { return i%10 == 0 }
	each = 10 // clients of the killed instances connect to the rest
	if late := countWaiting(100); late == 0 {
		t.Fatal("no command waited for a dead coordinator: the test has no effect")
	}
	// Of 1,600, nearly all of which waited before; a few still probe whether a coordinator is back.
	if late := countWaiting(40); late > 400 {
		t.Errorf("%d of 1,600 commands still wait for dead coordinators", late)
	}
}

// Guards against a coordinator that has just started: it had counted nothing, and granted to all at once as if
// every backend were idle.
func TestNewCoordinatorIsNotTrusted(t *testing.T) {
	hosts := startPeers(t, 2, warmBackends(3))
	h := hosts[0]
	h.advanceTo(h.now + 20)
	hosts[1].advanceTo(h.now)
	fill := func(from uint64, count int) (sent int) {
		for cmd := from; cmd < from+uint64(count); cmd++ {
			h.b.CommandReceived(h.now, cmd, 0, 0, h.now+6, 0)
			deliverExcept(hosts, nil)
			sent += len(h.relaysOf(cmd))
		}
		return sent
	}
	full := fill(1, 60)
	if full > 2*commandsPerBackend*3 || full < commandsPerBackend {
		t.Fatalf("%d commands sent", full)
	}
	// A new process without any counts replaces the coordinator.
	replacement := startBalancer(t, setup{
		limits:   Limits{MaxRelays: 4, Hedges: true, CancelRelays: true, PeerMessages: true, KeyAffinity: true},
		backends: warmBackends(3), placement: Placement{Index: 1, Instances: 2}})
	replacement.now = h.now
	replacement.b.now, replacement.b.start = h.now, h.now
	hosts[1] = replacement
	if more := fill(1001, 60); more > full/2 {
		t.Errorf("%d more commands sent by grants of a new coordinator, in addition to %d", more, full)
	}
}

// A restarted instance reports from zero: what its previous process had in flight must no longer count.
func TestReportsOfPreviousIncarnationAreVoid(t *testing.T) {
	hosts := startPeers(t, 2, warmBackends(1))
	coordinator := hosts[0]
	if coordinator.b.coordinator(0) != 0 {
		coordinator = hosts[1]
	}
	other := 1 - coordinator.b.placement.Index
	be := coordinator.b.fleet[0]
	report := func(incarnation uint64, amount byte) {
		coordinator.b.MessageReceived(coordinator.now, other,
			message{messageInFlight, 0, be.tag(), amount, flagSent, 0}.encodeExtended(incarnation))
	}
	report(100, 9)
	if sum := be.usage.inFlight(coordinator.now, reportLifetimeSeconds); sum != 9 {
		t.Fatalf("%v commands in flight, want the reported 9", sum)
	}
	report(200, 1)
	if sum := be.usage.inFlight(coordinator.now, reportLifetimeSeconds); sum != 1 {
		t.Errorf("%v commands in flight: those of the previous process still count", sum)
	}
	report(100, 9) // a delayed message of the previous process
	if sum := be.usage.inFlight(coordinator.now, reportLifetimeSeconds); sum != 1 {
		t.Errorf("%v commands in flight after a delayed message of the previous process", sum)
	}
}

// A process of the previous version understands only the message format without an incarnation, whoever asks.
func TestMixedVersions(t *testing.T) {
	hosts := startPeers(t, 2, warmBackends(30))
	old := 1
	for round := range uint64(30) {
		for i, h := range hosts {
			cmd := 100*round + uint64(i)
			h.b.CommandReceived(h.now, cmd, 0, 0, h.now+6, 0)
		}
		deliver(hosts, func(from int, m *sentMessage) bool {
			extended := len(m.data) != messageSize
			if from == old && extended {
				m.data = bytes.Clone(m.data[:messageSize])
				m.data[0] -= messageExtended
				m.data[6] = min(m.data[6], flagGranted)
			}
			return m.to != old || !extended // which it cannot decode
		})
		for i, h := range hosts {
			h.advanceTo(h.now + 0.1)
			if cmd := 100*round + uint64(i); round > 1 && len(h.relaysOf(cmd)) == 0 {
				t.Errorf("round %d: instance %d has not sent its command", round, i)
			}
		}
	}
	if !hosts[0].b.peers.UsesOldFormat(hosts[0].now, old) {
		t.Error("the older process is not sent the older format")
	}
}

// Only well-formed messages of either format are accepted.
func TestMessageDecoding(t *testing.T) {
	m := message{messageRequest, 3, 9, 200, flagTentative, 8}
	if got, incarnation, ok := decodeMessage(m.encodeExtended(77)); !ok || incarnation != 77 || got != m {
		t.Errorf("%+v %d %t", got, incarnation, ok)
	}
	older := m.encode()
	if IsMessage(older) {
		t.Error("the older format accepted the tentative flag")
	}
	zero := binary.LittleEndian.AppendUint64(append([]byte{messageRequest + messageExtended}, older[1:]...), 0)
	for _, data := range [][]byte{nil, older[:6], zero, m.encodeExtended(77)[:15], append(m.encodeExtended(77), 0),
		bytes.Repeat([]byte{255}, 16)} {
		if IsMessage(data) {
			t.Errorf("% x was accepted as a message", data)
		}
	}
}

// A process that was stalled for ten seconds finds all its requests unanswered, and must not consider its peers
// dead.
func TestStalledInstanceKeepsItsPeers(t *testing.T) {
	hosts := startPeers(t, 30, warmBackends(30))
	h := hosts[3]
	for cmd := uint64(1); cmd < 20; cmd++ {
		h.b.CommandReceived(h.now, cmd, 0, 0, h.now+60, 0)
	}
	for range 5 {
		h.now += 10 // all its timers are due at once
		for _, w := range slices.Clone(h.timers) {
			if w.expires <= h.now {
				h.timers = slices.DeleteFunc(h.timers, func(x timer) bool { return x == w })
				h.b.TimerFired(h.now, w.token)
			}
		}
	}
	for i := range hosts {
		if !h.b.peers.IsAlive(h.now, i) {
			t.Errorf("peer %d is considered dead", i)
		}
	}
}

// With fewer instances running, each takes a larger share, and gives it back as soon as answers are late.
func TestSharesFollowActiveInstances(t *testing.T) {
	h := startBalancer(t, setup{placement: Placement{Instances: 60}, backends: warmBackends(120),
		customers: []Customer{{Allowance: 600, PreviousIndex: -1}}})
	id := uint64(0)
	run := func(seconds float64, rate int, took float64) {
		for end := h.now + seconds; h.now < end; h.advanceTo(h.now + 1/float64(rate)) {
			id++
			h.b.CommandReceived(h.now, id, 0, 0, h.now+6, 0)
			for n, s := range h.relays {
				if c := h.b.commands[s.cmd]; c != nil && n+2000 > len(h.relays) && h.now >= c.receivedAt+took &&
					c.relays[0].pending {
					h.outcome(s.cmd, 0, Answered)
				}
			}
			h.relays = slices.DeleteFunc(h.relays, func(s sentRelay) bool { return h.b.commands[s.cmd] == nil })
		}
	}
	run(10, 20, 0.05)
	share, width := h.b.inFlightShare(), len(h.b.window)
	run(3, 200, 0.05)
	if now := h.b.inFlightShare(); now < 4*share {
		t.Errorf("share %.1f, was %.1f before nine of ten instances were lost", now, share)
	}
	if now := len(h.b.window); now < 2*width {
		t.Errorf("window of %d backends, %d before", now, width)
	}
	run(3, 20, 0.05)
	if h.b.activeInstances() != 60 || len(h.b.window) != width {
		t.Errorf("%.1f instances believed active, window %d, after all are back", h.b.activeInstances(), len(h.b.window))
	}
}

// Guards against duplicate and reordered reports: a coordinator that took the last report received for the last
// one sent counted commands that had long ended, and declined half of all commands.
func TestReorderedReports(t *testing.T) {
	hosts := startPeers(t, 2, warmBackends(1))
	coordinator := hosts[0]
	if coordinator.b.coordinator(0) != 0 {
		coordinator = hosts[1]
	}
	other, be := 1-coordinator.b.placement.Index, coordinator.b.fleet[0]
	report := func(sequence, amount, flag byte, want float64) {
		t.Helper()
		coordinator.b.MessageReceived(coordinator.now, other,
			message{messageInFlight, 0, be.tag(), amount, flag, sequence}.encodeExtended(100))
		if sum := be.usage.inFlight(coordinator.now, reportLifetimeSeconds); sum != want {
			t.Errorf("report %d: %v commands in flight, want %v", sequence, sum, want)
		}
	}
	report(254, 1, flagNone, 1)
	report(1, 3, flagNone, 3)   // 1 follows 255
	report(255, 2, flagNone, 3) // reordered
	report(3, 0, flagNone, 0)
	report(2, 4, flagNone, 0) // reordered: sent before the report that nothing is in flight
	report(4, 5, flagNone, 5)

	replies := func(turn byte) int {
		coordinator.messages = nil
		coordinator.b.MessageReceived(coordinator.now, other,
			message{messageRequest, 0, 0, 255, flagNone, turn}.encodeExtended(100))
		return len(coordinator.messages)
	}
	if replies(7) != 1 || replies(7) != 0 || replies(8) != 1 {
		t.Error("a repeated request was not answered exactly once")
	}
	coordinator.advanceTo(coordinator.now + 1)
	if replies(7) != 1 {
		t.Error("a request with the same number a second later was not answered")
	}
}

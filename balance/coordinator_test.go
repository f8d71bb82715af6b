package balance

import (
	"slices"
	"testing"
)

// startPeers starts instances that can exchange messages, with the given backend list.
func startPeers(t *testing.T, instances int, backends []Entry) []*fakeHost {
	return startInstances(t, instances, backends, setup{limits: Limits{MaxRelays: 4, Hedges: true, CancelRelays: true,
		PeerMessages: true, KeyAffinity: true}})
}

// deliver delivers messages until none is left. pass may change a message, or return false to lose it.
func deliver(hosts []*fakeHost, pass func(from int, m *sentMessage) bool) {
	for more := true; more; {
		more = false
		for from, h := range hosts {
			messages := h.messages
			h.messages = nil
			for _, m := range messages {
				if pass(from, &m) {
					more = true
					hosts[m.to].b.MessageReceived(hosts[m.to].now, from, m.data)
				}
			}
		}
	}
}

// deliverExcept delivers messages except those that drop selects.
func deliverExcept(hosts []*fakeHost, drop func(m message) bool) {
	deliver(hosts, func(_ int, m *sentMessage) bool {
		received, _, ok := decodeMessage(m.data)
		return !ok || drop == nil || !drop(received)
	})
}

func countRelays(hosts []*fakeHost) (n int) {
	for _, h := range hosts {
		n += len(h.relays)
	}
	return n
}

// Guards against grants that count too late: thirty commands asked within one message delay and were all sent to
// the same idle backend.
func TestGrantsCountAtOnce(t *testing.T) {
	hosts := startPeers(t, 60, warmBackends(1))
	for i, h := range hosts {
		h.b.CommandReceived(h.now, uint64(i), 1, 0, h.now+6, 0)
	}
	// No report of commands in flight arrives yet.
	deliverExcept(hosts, func(m message) bool { return m.kind == messageInFlight })
	if n := countRelays(hosts); n < 3 || n > commandsPerBackend {
		t.Errorf("%d of 60 commands were sent to one backend", n)
	}
	for _, h := range hosts { // without capacity a command is declined soon, not held
		h.advanceTo(h.now + 0.5)
		if len(h.relays) == 0 && len(h.declined) == 0 {
			deliverExcept(hosts, nil)
		}
	}
	for i, h := range hosts {
		if h.advanceTo(h.now + 0.5); len(h.relays) == 0 && len(h.declined) == 0 {
			t.Errorf("instance %d still holds its command", i)
		}
	}
}

// Guards against a hung backend that refused everything at once: it looked idle to all instances and got a third
// of all relays.
func TestFailuresAreReported(t *testing.T) {
	hosts := startPeers(t, 20, warmBackends(2))
	toFailing := 0
	for round := range 20 {
		for i, h := range hosts {
			id := uint64(round*100 + i)
			h.b.CommandReceived(h.now, id, 0, 0, h.now+6, 0)
			deliverExcept(hosts, nil)
			for n, to := range h.relaysOf(id) {
				if to == failingBackend() {
					toFailing++
					h.outcome(id, n, Full)
				}
			}
			deliverExcept(hosts, nil)
			for n, to := range h.relaysOf(id) {
				if to != failingBackend() {
					h.outcome(id, n, Answered)
				}
			}
			deliverExcept(hosts, nil)
		}
		for _, h := range hosts {
			h.advanceTo(h.now + 0.05)
		}
		deliverExcept(hosts, nil)
	}
	if toFailing > 60 {
		t.Errorf("%d of 400 commands went to the failing backend", toFailing)
	}
}

func failingBackend() BackendID { return id(0) }

// Lost or missing messages must not keep commands from being sent, nor leave their grants in use.
func TestWithoutMessages(t *testing.T) {
	all := func(message) bool { return true }
	t.Run("a command is sent although no coordinator answers", func(t *testing.T) {
		hosts := startPeers(t, 40, warmBackends(6))
		for i, h := range hosts {
			h.b.CommandReceived(h.now, uint64(i), 0, 0, h.now+6, 0)
			h.advanceTo(h.now + 0.1)
		}
		if deliverExcept(hosts, all); countRelays(hosts) < 40 {
			t.Errorf("%d of 40 commands were relayed", countRelays(hosts))
		}
	})
	t.Run("a command that has ended meanwhile is not sent", func(t *testing.T) {
		for i, h := range startPeers(t, 40, warmBackends(6)) {
			h.b.CommandReceived(h.now, uint64(i), 0, 0, h.now+6, 0)
			sent := len(h.relays)
			h.b.ClientDisconnected(h.now, uint64(i))
			if h.advanceTo(h.now + 1); len(h.relays) > sent {
				t.Fatal("command relayed after its end")
			}
		}
	})
	t.Run("a grant that arrives too late is returned", func(t *testing.T) {
		hosts := startPeers(t, 2, warmBackends(30))
		for i := range uint64(20) {
			h := hosts[0]
			h.b.CommandReceived(h.now, i, 0, 0, h.now+6, 0)
			h.b.ClientDisconnected(h.now, i)
		}
		deliverExcept(hosts, nil)
		for _, be := range hosts[1].b.fleet {
			if n := be.usage.inFlight(hosts[1].now, 6); n != 0 {
				t.Errorf("%v commands still count as in flight", n)
			}
		}
	})
	t.Run("settings without messages end pending requests, and waiting commands are sent", func(t *testing.T) {
		for i, h := range startPeers(t, 5, warmBackends(6)) {
			h.b.CommandReceived(h.now, 1, 0, 0, h.now+6, 0)
			asked := len(h.messages)
			if len(h.relays) > 0 {
				continue // it is the cell's coordinator itself
			}
			h.b.Configure(h.now, 0.005, Placement{Instances: 5}, []Verb{{Goal: 2.5, TimeLimit: 6, Utility: 1, PreviousIndex: 0}},
				nil, 0.1, Limits{MaxRelays: 4}, ColdStart{InitialCapacity: 0.2, WarmUp: 10, OverloadMultiple: 3}, false)
			if h.advanceTo(h.now + 0.1); len(h.messages) != asked || len(h.relays) != 1 {
				t.Errorf("instance %d: %d more messages, %d relays", i, len(h.messages)-asked, len(h.relays))
			}
		}
	})
	t.Run("old reports expire", func(t *testing.T) {
		var usage backendUsage
		usage.record(100, 3, message{amount: 4}, 3)
		if usage.inFlight(101, 6) != 4 || usage.inFlight(107, 6) != 0 {
			t.Error("the report of a gone peer still counts, or a recent one does not")
		}
	})
}

// Messages of arbitrary bytes from a peer must neither crash an instance nor keep a command from its final answer.
func FuzzMessageReceived(f *testing.F) {
	f.Add(1, message{messageInFlight, 0, 1, 200, flagFailed, 0}.encode())
	f.Add(1, message{kind: messageRequest, amount: 255}.encode())
	f.Add(0, message{kind: messageGrant, flag: flagGranted}.encode())
	f.Add(7, []byte{0x12})
	f.Fuzz(func(t *testing.T, from int, data []byte) {
		h := startBalancer(t, setup{placement: Placement{Instances: 3}, limits: Limits{MaxRelays: 3, PeerMessages: true}})
		h.b.CommandReceived(h.now, 1, 0, 0, h.now+6, 0)
		h.b.MessageReceived(h.now, from, data)
		if h.advanceTo(h.now + 7); !h.ended[1] {
			t.Error("no final answer")
		}
	})
}

// All instances agree on a key's home cell, few keys move when a backend is lost, and own-zone backends are preferred.
func TestKeysAndZones(t *testing.T) {
	list := warmBackends(30)
	for i := range list {
		list[i].Zone = i / 10
	}
	cells := func(list []Entry, key uint64) (found []int) {
		for _, h := range startPeers(t, 40, list) {
			if home := h.b.homeCell(&command{key: key}); !slices.Contains(found, home) {
				found = append(found, home)
			}
		}
		return found
	}
	moved := 0
	for key := uint64(1); key < 20; key++ {
		whole := cells(list, key)
		if len(whole) != 1 || whole[0] < 0 {
			t.Errorf("key %d has home cells %v, want one", key, whole)
		}
		if reduced := cells(list[1:], key); whole[0] != reduced[0] {
			moved++
		}
	}
	if moved > 4 {
		t.Errorf("%d of 19 keys moved with one backend of 30", moved)
	}
	// Also without grants: an instance cut off from its peers sent two thirds of its commands to other zones.
	for _, forGrant := range []bool{true, false} {
		near := 0
		for i, h := range startPeers(t, 200, list) {
			if be := h.b.pick(&command{id: uint64(i), verb: h.b.verbs[0]}, false, forGrant); be.Zone == 0 {
				near++
			}
		}
		if near < 95 || near > 150 {
			t.Errorf("%d of 200 draws were in the own zone, which has a third of the fleet (for a grant: %t)", near, forGrant)
		}
	}
}

// New settings keep what was learned of a verb, and open commands keep the verb that they arrived with.
func TestConfigure(t *testing.T) {
	h := startBalancer(t, setup{})
	h.serve(1, 100, 0.1)
	delay, _ := h.b.hedgeDelay(h.b.verbs[0])
	h.b.CommandReceived(h.now, 500, 0, 0, h.now+6, 0)
	configure := func(previous int) {
		h.b.Configure(h.now, 0.005, Placement{Instances: 1},
			[]Verb{{Effect: Effectful, Goal: 1, TimeLimit: 2, Utility: 1, PreviousIndex: -1},
				{Goal: 2.5, TimeLimit: 6, Utility: 1, PreviousIndex: previous}},
			nil, 0.1, Limits{MaxRelays: 4, Hedges: true, CancelRelays: true, PeerMessages: previous == 0},
			ColdStart{InitialCapacity: 0.2, WarmUp: 10, OverloadMultiple: 3}, false)
	}
	configure(0)
	if d, learned := h.b.hedgeDelay(h.b.verbs[1]); !learned || d != delay {
		t.Errorf("the verb's delay was %v, and is %v under another index", delay, d)
	}
	h.outcome(500, 0, Errored) // its verb was pure when it arrived, so it may run again
	if len(h.relaysOf(500)) != 2 {
		t.Error("an open command did not keep its verb")
	}
	h.b.CommandReceived(h.now, 501, 0, 0, h.now+2, 0)
	h.outcome(501, 0, Errored)
	if !slices.Contains(h.terminated, 501) {
		t.Error("a new command uses the old verb")
	}
	configure(1)
	if h.outcome(500, 1, Answered); !h.ended[500] {
		t.Error("the command got no final answer after the settings changed again")
	}
}

// Guards against stale usage: with one message in ten lost, coordinators counted commands for seconds after their
// end and had no capacity to grant.
func TestLostReportsExpire(t *testing.T) {
	hosts := startPeers(t, 60, warmBackends(1))
	wait := func() {
		for range 3 {
			for _, h := range hosts {
				h.advanceTo(h.now + 0.5)
			}
			deliverExcept(hosts, nil)
		}
	}
	relayed := func(id uint64, h *fakeHost) bool {
		h.b.CommandReceived(h.now, id, 1, 0, h.now+6, 0)
		deliverExcept(hosts, nil)
		return len(h.relaysOf(id)) > 0
	}
	for round := range 10 {
		for i, h := range hosts[:5] { // other instances each round, none of which sends another message
			h = hosts[round*5+i]
			if id := uint64(round*100 + i); relayed(id, h) {
				h.outcome(id, 0, Answered)
			}
			deliverExcept(hosts, func(m message) bool { return m.kind == messageInFlight && m.flag == flagNone })
		}
		wait()
	}
	if n := countRelays(hosts); n < 45 {
		t.Errorf("%d of 50 commands were relayed", n)
	}
	if !relayed(9000, hosts[59]) {
		t.Fatal("command not relayed")
	}
	wait()
	for _, h := range hosts {
		if b := h.b; b.coordinator(0) == b.placement.Index && b.fleet[0].usage.inFlight(h.now, reportLifetimeSeconds) < 1 {
			t.Error("a long command no longer counts")
		}
	}
}

// With messages enabled but one proxy, one zone, no keys, an unknown zone or no backends, commands are handled as
// without messages.
func TestSingleInstance(t *testing.T) {
	for name, s := range map[string]setup{
		"one proxy, one zone, no key": {placement: Placement{Instances: 1}},
		"unknown zone":                {placement: Placement{Instances: 1, Zone: 7}},
	} {
		s.limits = Limits{MaxRelays: 4, Hedges: true, CancelRelays: true, PeerMessages: true, KeyAffinity: true}
		h := startBalancer(t, s)
		h.serve(1, 100, 0.1)
		if len(h.declined)+len(h.terminated) > 0 || len(h.relays) < 100 {
			t.Errorf("%s: %d relays for 100 commands, %d declined", name, len(h.relays), len(h.declined))
		}
		h.b.UpdateBackends(h.now, true, nil)
		h.b.CommandReceived(h.now, 900, 0, 0, h.now+6, 5)
		if h.advanceTo(h.now + 1); !slices.Contains(h.declined, 900) {
			t.Errorf("%s: command not declined soon without any backend", name)
		}
	}
}

// New settings must neither forget that a backend drains nor give a cold one a new budget.
func TestConfigureKeepsDrainsAndBudgets(t *testing.T) {
	h := startBalancer(t, setup{backends: warmBackends(3)})
	h.serve(1, 100, 0.1)
	h.b.UpdateBackends(h.now, false, []Entry{{ID: id(0), State: Draining},
		{ID: id(1), Cell: 9, Capacity: 1, StartedAt: h.now}})
	h.serve(200, 5, 0.1)
	i := slices.IndexFunc(h.b.fleet, func(be *backend) bool { return be.ID == id(1) })
	before := h.b.fleet[i].coldBudget
	h.b.Configure(h.now, 0.005, Placement{Instances: 1}, []Verb{{Goal: 2.5, TimeLimit: 6, Utility: 1, PreviousIndex: 0}},
		nil, 0.1, Limits{MaxRelays: 4}, ColdStart{InitialCapacity: 0.2, WarmUp: 10, OverloadMultiple: 3}, false)
	if h.b.fleet[i].coldBudget != before {
		t.Error("the cold backend got a new budget")
	}
	from := len(h.relays)
	h.serve(300, 50, 0.1)
	for _, s := range h.relays[from:] {
		if s.to == id(0) {
			t.Error("command sent to a draining backend")
		}
	}
}

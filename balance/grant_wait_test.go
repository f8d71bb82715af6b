package balance

import "testing"

// peerCells returns n cells whose coordinator is the instance's peer.
func peerCells(h *fakeHost, n int) (cells []uint16) {
	for cell := uint16(0); len(cells) < n; cell++ {
		if h.b.coordinator(cell) != h.b.placement.Index {
			cells = append(cells, cell)
		}
	}
	return cells
}

// Guards against a command that gets a further relay, or is given up beside its only one: it waits for a peer's grant when new settings
// end the messages between peers, so that it is sent without a grant, and its wait went on.
func TestWaitForAGrantEndsWithTheFirstRelay(t *testing.T) {
	for name, effect := range map[string]Effect{"pure": Pure, "effectful": Effectful} {
		verb := Verb{Effect: effect, Goal: 2.5, TimeLimit: 6, Utility: 1}
		limits := Limits{MaxRelays: 4, CancelRelays: true, PeerMessages: true}
		h := startBalancer(t, setup{verb: verb, limits: limits, placement: Placement{Instances: 2}, backends: []Entry{}})
		cells := peerCells(h, maxGrantRequests)
		h.b.UpdateBackends(h.now, true, []Entry{{ID: id(1), Cell: int(cells[0]), Capacity: 1}, {ID: id(2), Cell: int(cells[1]), Capacity: 1}})
		h.b.CommandReceived(h.now, 1, 0, 0, h.now+6, 0)
		for range cells {
			asked := h.b.awaitingGrant[0].askedCells
			refusal := message{kind: messageGrant, cell: asked[len(asked)-1], flag: flagNone}
			h.b.MessageReceived(h.now, 1, refusal.encodeExtended(7))
		}
		h.advanceTo(h.now + recheckSeconds + 0.001) // asks again
		if len(h.relays) != 0 || len(h.b.awaitingGrant) != 1 || len(h.b.held) != 1 {
			t.Fatalf("%s: %d relays, %d wait for a grant, %d are held", name, len(h.relays), len(h.b.awaitingGrant), len(h.b.held))
		}
		limits.PeerMessages = false
		h.b.Configure(h.now, 0.005, Placement{Instances: 2}, []Verb{verb}, nil, 0.1, limits,
			ColdStart{InitialCapacity: 0.2, WarmUp: 10, OverloadMultiple: 3}, false)
		h.advanceTo(h.now + 1)
		if len(h.relays) != 1 || len(h.terminated) != 0 || len(h.declined) != 0 {
			t.Errorf("%s: %d relays, terminated %v, declined %v, want one relay that is waited for", name, len(h.relays), h.terminated, h.declined)
		}
	}
}

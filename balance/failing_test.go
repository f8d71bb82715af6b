package balance

import "testing"

// One backend of four fails at once and so never has anything in flight. When selection preferred the least
// loaded, it got 40% of the commands, since the others had one or two in flight.
func TestFailingBackendDoesNotLookIdle(t *testing.T) {
	h := startBalancer(t, setup{verb: Verb{Effect: Effectful, Goal: 2.5, TimeLimit: 6, Utility: 1}, backends: warmBackends(4)})
	failing, toFailing, cmd := id(0), 0, uint64(0)
	type open struct {
		cmd uint64
		at  float64
	}
	var out []open
	for h.now < 1060 {
		for len(out) > 0 && out[0].at <= h.now {
			h.outcome(out[0].cmd, 0, Answered)
			out = out[1:]
		}
		cmd++
		h.b.CommandReceived(h.now, cmd, 0, 0, h.now+6, 0)
		if to := h.relaysOf(cmd); len(to) > 0 && to[0] == failing {
			toFailing++
			h.outcome(cmd, 0, Errored)
		} else {
			out = append(out, open{cmd, h.now + 0.6}) // four of these are in flight at a time
		}
		h.advanceTo(h.now + 0.15)
	}
	if toFailing > int(cmd)/10 {
		t.Errorf("%d of %d commands went to the failing backend", toFailing, cmd)
	}
}

// A slow client is no load for the backend: fifteen slow streams used up the limit, and all other commands were
// declined.
func TestStreamsAreNotInFlight(t *testing.T) {
	h := startBalancer(t, setup{backends: warmBackends(1)})
	for cmd := uint64(1); cmd <= 60; cmd++ {
		h.b.CommandReceived(h.now, cmd, 0, 0, h.now+6, 0)
		if len(h.relaysOf(cmd)) != 1 {
			t.Fatalf("command %d was not sent with only streams open", cmd)
		}
		h.advanceTo(h.now + 0.02)
		h.b.StreamStarted(h.now, cmd, 0)
	}
	h.advanceTo(h.now + 20) // past every limit: none is ended, none hedged
	if len(h.terminated)+len(h.declined)+len(h.cancels) > 0 || len(h.relays) != 60 {
		t.Errorf("terminated %v, declined %v, cancelled %v, %d relays", h.terminated, h.declined, h.cancels, len(h.relays))
	}
	for cmd := uint64(1); cmd <= 60; cmd++ {
		h.outcome(cmd, 0, Answered)
	}
	if h.b.inFlight != 0 || h.b.fleet[0].inFlight != 0 || h.b.allLatencies.answers != 0 {
		t.Errorf("%d in flight, %d at the backend, %d latencies learned",
			h.b.inFlight, h.b.fleet[0].inFlight, h.b.allLatencies.answers)
	}
}

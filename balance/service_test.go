package balance

import "testing"

// One backend of four that fails at once never has anything in flight. Where the emptier are preferred it drew 40% of
// the commands, since the others had one or two out.
func TestFailingLooksIdle(t *testing.T) {
	h := start(t, setup{verb: Verb{Effect: Effectful, Goal: 2.5, TimeLimit: 6, Utility: 1}, backends: ready(4)})
	bad, toBad, cmd := id(0), 0, uint64(0)
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
		if to := h.toOf(cmd); len(to) > 0 && to[0] == bad {
			toBad++
			h.outcome(cmd, 0, Errored)
		} else {
			out = append(out, open{cmd, h.now + 0.6}) // four of these are out at a time
		}
		h.until(h.now + 0.15)
	}
	if toBad > int(cmd)/10 {
		t.Errorf("%d of %d commands went where all fail", toBad, cmd)
	}
}

// What a client takes slowly is no work for its backend: fifteen such answers filled the bound and the rest was declined.
func TestStreamsAreNotOut(t *testing.T) {
	h := start(t, setup{backends: ready(1)})
	for cmd := uint64(1); cmd <= 60; cmd++ {
		h.b.CommandReceived(h.now, cmd, 0, 0, h.now+6, 0)
		if len(h.toOf(cmd)) != 1 {
			t.Fatalf("command %d was not sent, with nothing but streams open", cmd)
		}
		h.until(h.now + 0.02)
		h.b.StreamStarted(h.now, cmd, 0)
	}
	h.until(h.now + 20) // past every limit: none is ended, none copied
	if len(h.terminated)+len(h.declined)+len(h.cancels) > 0 || len(h.relays) != 60 {
		t.Errorf("terminated %v, declined %v, cancelled %v, %d relays", h.terminated, h.declined, h.cancels, len(h.relays))
	}
	for cmd := uint64(1); cmd <= 60; cmd++ {
		h.outcome(cmd, 0, Answered)
	}
	if h.b.inFlight != 0 || h.b.fleet[0].inFlight != 0 || h.b.anyDelay.answers != 0 {
		t.Errorf("%d out, %d there, %d latencies learned", h.b.inFlight, h.b.fleet[0].inFlight, h.b.anyDelay.answers)
	}
}

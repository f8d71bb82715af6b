package balance

import (
	"slices"
	"testing"
)

func TestHedges(t *testing.T) {
	warm := func(s setup) *fakeHost {
		h := startBalancer(t, s)
		h.serve(1, 400, 0.05)
		h.serve(500, 60, 0.02) // none of them late
		h.relays = nil
		return h
	}
	t.Run("a hedge goes to another backend after the learned delay, and the loser is cancelled", func(t *testing.T) {
		h := warm(setup{})
		h.b.CommandReceived(h.now, 1000, 0, 0, h.now+6, 0)
		h.advanceTo(h.now + 0.04)
		if len(h.relays) != 1 {
			t.Fatal("hedged before the delay")
		}
		h.advanceTo(h.now + 0.1)
		if to := h.relaysOf(1000); len(to) != 2 || to[0] == to[1] {
			t.Fatalf("sent to %v", to)
		}
		h.outcome(1000, 1, Answered)
		if !slices.Contains(h.cancels, 1000) {
			t.Error("the loser was not cancelled")
		}
	})
	t.Run("hedges stay near a tenth of the calls, and running losers count", func(t *testing.T) {
		h := warm(setup{limits: Limits{MaxRelays: 4, Hedges: true}})
		late := 0
		for i := uint64(1000); i < 3000; i += 100 {
			h.b.CommandReceived(h.now, i, 0, 0, h.now+6, 0)
			h.advanceTo(h.now + 0.1)
			late += len(h.relaysOf(i)) - 1
			h.outcome(i, 0, Answered) // without cancellation the losing relay never ends
			h.serve(i+1, 90, 0.02)
		}
		if late < 1 || late > 6 {
			t.Errorf("%d hedges of 20 late commands with every loser still out", late)
		}
	})
	t.Run("no hedges if they are not allowed", func(t *testing.T) {
		h := warm(setup{limits: Limits{MaxRelays: 4}})
		h.b.CommandReceived(h.now, 1000, 0, 0, h.now+6, 0)
		h.advanceTo(h.now + 2)
		if len(h.relays) != 1 {
			t.Errorf("%d relays", len(h.relays))
		}
	})
	t.Run("no hedges while all relays are slow and the quantile is stale", func(t *testing.T) {
		h := warm(setup{})
		for i := uint64(1000); i < 1008; i++ {
			h.b.CommandReceived(h.now, i, 0, 0, h.now+6, 0)
		}
		h.advanceTo(h.now + 0.3)
		before := len(h.relays)
		h.b.CommandReceived(h.now, 2000, 0, 0, h.now+6, 0)
		h.advanceTo(h.now + 0.5)
		if len(h.relays) != before+1 {
			t.Error("a hedge was sent although the whole fleet is slow")
		}
	})
	t.Run("an open breaker blocks hedges, not first relays, and closes after its trials", func(t *testing.T) {
		var br breaker
		for range 20 {
			br.recordOutcome(100, true)
		}
		if br.allows(100) || br.allows(109) {
			t.Error("the breaker is not open")
		}
		for range breakerTrials {
			if !br.allows(110.5) {
				t.Fatal("no trial after the cooldown")
			}
			br.recordSent(110.5)
		}
		if br.allows(110.5) {
			t.Error("more hedges than breakerTrials")
		}
		for range breakerTrials {
			br.recordOutcome(111, false)
		}
		if !br.allows(111) {
			t.Error("the breaker is not closed")
		}
	})
}

func TestDelay(t *testing.T) {
	d := newLatencySketch(0)
	for i := range 1000 {
		d.add(float64(i)/100, float64(i%100+1)/100)
	}
	if q := d.lateAfter(9.99); !almostEqual(q/hedgeDelayQuantile, 1) {
		t.Errorf("delay %v", q)
	}
	t.Run("old latencies expire by rotation, and the last delay is kept when none are left", func(t *testing.T) {
		for i := range 100 {
			d.add(11+float64(i)/100, 0.1)
		}
		d.rotate(22)
		if q := d.lateAfter(22); q > 0.11 {
			t.Errorf("delay %v", q)
		}
		d.rotate(50)
		if d.lateAfter(50) > 0.11 || d.lateAfter(50) < 0.09 {
			t.Errorf("delay %v with empty sketches", d.lateAfter(50))
		}
	})
}

func TestWeights(t *testing.T) {
	share := func(h *fakeHost, to BackendID) float64 {
		n := 0.0
		for _, s := range h.relays {
			if s.to == to {
				n++
			}
		}
		return n / float64(len(h.relays))
	}
	t.Run("fast errors do not attract work, and a recovered backend is used again", func(t *testing.T) {
		h := startBalancer(t, setup{})
		next := uint64(1)
		round := func(count int, failing bool) {
			for range count {
				next++
				h.b.CommandReceived(h.now, next, 0, 0, h.now+6, 0)
				h.advanceTo(h.now + 0.1)
				for n := 0; !h.ended[next]; n++ {
					if failing && h.relaysOf(next)[n] == id(0) {
						h.outcome(next, n, Errored)
					} else {
						h.outcome(next, n, Answered)
					}
				}
			}
		}
		round(50, false)
		round(150, true)
		h.relays = nil
		round(100, true)
		if s := share(h, id(0)); s > 0.08 {
			t.Errorf("share %.2f of a backend that fails", s)
		}
		round(600, false)
		h.relays = nil
		round(200, false)
		if s := share(h, id(0)); s < 0.08 {
			t.Errorf("share %.2f long after the backend recovered", s)
		}
	})
	t.Run("a hung backend gets few commands", func(t *testing.T) {
		h := startBalancer(t, setup{verb: Verb{Effect: Effectful, Goal: 2.5, TimeLimit: 6, Utility: 1, LateUtility: 0.5}})
		for i := range uint64(200) {
			h.b.CommandReceived(h.now, i, 0, 0, h.now+6, 0)
			h.advanceTo(h.now + 0.1)
			if h.relaysOf(i)[0] != id(0) {
				h.outcome(i, 0, Answered)
			}
		}
		if s := share(h, id(0)); s > 0.08 {
			t.Errorf("share %.2f", s)
		}
	})
	t.Run("a backend that accepts no connection is avoided for a while", func(t *testing.T) {
		h := startBalancer(t, setup{})
		refused := 0
		for i := range uint64(100) {
			h.b.CommandReceived(h.now, i, 0, 0, h.now+6, 0)
			h.advanceTo(h.now + 0.1)
			for n := 0; !h.ended[i]; n++ {
				if h.relaysOf(i)[n] == id(0) {
					refused++
					h.outcome(i, n, ConnectFailed)
				} else {
					h.outcome(i, n, Answered)
				}
			}
		}
		if refused > 4 || len(h.declined) > 0 {
			t.Errorf("%d tries in 10 s, %d declined", refused, len(h.declined))
		}
	})
}

func TestAdmission(t *testing.T) {
	t.Run("refusals cause no retry storm", func(t *testing.T) {
		h := startBalancer(t, setup{})
		for i := range uint64(100) {
			h.b.CommandReceived(h.now, i, 0, 0, h.now+6, 0)
			for n := 0; !h.ended[i] && n < len(h.relaysOf(i)); n++ {
				h.outcome(i, n, Errored)
			}
			h.advanceTo(h.now + 0.05)
		}
		if len(h.relays) > 140 {
			t.Errorf("%d relays for 100 commands", len(h.relays))
		}
	})
	t.Run("an overload is limited, and low utility is shed first and early", func(t *testing.T) {
		h := startBalancer(t, setup{})
		for i := range uint64(300) {
			h.b.CommandReceived(h.now, i, int(i%2), 0, h.now+6, 0)
		}
		h.advanceTo(h.now + 0.3)
		if maxRelays := 6 * int(initialInFlightPerBackend); len(h.relays) > maxRelays || len(h.declined) < 300-maxRelays {
			t.Errorf("%d relayed, %d declined", len(h.relays), len(h.declined))
		}
		high := 0
		for _, s := range h.relays {
			high += int(s.cmd % 2)
		}
		if high < len(h.relays)*6/10 {
			t.Errorf("%d of %d relays were of high utility", high, len(h.relays))
		}
	})
	t.Run("the limit falls while answers are late and recovers afterwards", func(t *testing.T) {
		h := startBalancer(t, setup{})
		first, lowest := h.b.inFlightPerBackend, h.b.inFlightPerBackend
		for i := range 1200 { // 4 s of late answers, then 20 s of fast ones, with the limit in use
			h.b.now += 0.02
			took := 0.2
			if i < 200 {
				took = 2.4
			}
			h.b.inFlight = int(h.b.inFlightPerBackend * 6)
			h.b.recordCompletion(&command{verb: h.b.verbs[0], receivedAt: h.b.now - took}, false)
			lowest = min(lowest, h.b.inFlightPerBackend)
		}
		if lowest > 0.8*first || h.b.inFlightPerBackend < 1.2*lowest {
			t.Errorf("limit %v at first, %v at the lowest, %v afterwards", first, lowest, h.b.inFlightPerBackend)
		}
	})
	t.Run("a verb that always takes half its goal does not cut the limit, an overloaded one does", func(t *testing.T) {
		h := startBalancer(t, setup{})
		first := h.b.inFlightPerBackend
		complete := func(took float64) {
			for range 100 {
				h.b.now += 0.02
				h.b.typicalLatency = 1.1
				h.b.recordCompletion(&command{verb: h.b.verbs[0], receivedAt: h.b.now - took}, false)
			}
		}
		if complete(1.5); h.b.inFlightPerBackend < first {
			t.Errorf("cut from %v to %v", first, h.b.inFlightPerBackend)
		}
		if complete(2.0); h.b.inFlightPerBackend >= first {
			t.Errorf("not cut from %v", first)
		}
	})
	t.Run("a rolling deploy does not overload the remaining backends", func(t *testing.T) {
		h := startBalancer(t, setup{})
		h.serve(1, 100, 0.1)
		before := h.b.inFlightShare()
		h.b.UpdateBackends(h.now, false, []Entry{{ID: id(0), State: Draining}, {ID: id(1), State: Gone},
			{ID: id(8), StartedAt: h.now, Capacity: 1}, {ID: id(9), StartedAt: h.now, Capacity: 1}})
		if after := h.b.inFlightShare(); !almostEqual(after/before, 4.4/6) {
			t.Errorf("share %v with six warm backends, %v with four warm and two at a fifth", before, after)
		}
	})
	t.Run("commands beyond a customer's allowance have lower priority", func(t *testing.T) {
		h := startBalancer(t, setup{customers: []Customer{{Allowance: 1}, {Allowance: 0}}})
		for i := range uint64(3) {
			h.b.CommandReceived(h.now, i, 0, 0, h.now+6, 0)
		}
		if h.b.commands[0].priority <= h.b.commands[2].priority {
			t.Error("the third simultaneous command of a customer with 1 per second is within its allowance")
		}
		h.b.CommandReceived(h.now, 9, 0, 1, h.now+6, 0) // a zero allowance must not divide by zero
		h.b.CommandReceived(h.now, 10, 0, 7, h.now+6, 0)
	})
}

// Two fronts and four unloaded backends whose median answer takes 0.42 of the goal. Until the typical latency is
// known such answers look late; the limit must not fall far below what is in flight.
func TestLimitOfUnloadedFleet(t *testing.T) {
	h := startBalancer(t, setup{backends: warmBackends(4), placement: Placement{Instances: 2}})
	latencies := []float64{1.1, 0.6, 2.1, 1.0, 1.2, 0.7, 1.6, 1.05, 0.9, 2.6, 1.15, 1.4}
	due := map[uint64]float64{}
	for tick := range 2000 {
		h.advanceTo(1000 + float64(tick)/100)
		for id := uint64(0); id < uint64(tick); id++ {
			if at, pending := due[id]; pending && at <= h.now {
				delete(due, id)
				h.outcome(id, 0, Answered)
			}
		}
		if tick%13 == 0 { // 7.7 per second
			id := uint64(tick / 13)
			h.b.CommandReceived(h.now, id, 0, 0, h.now+6, 0)
			due[id] = h.now + latencies[int(id)%len(latencies)]
		}
	}
	if len(h.declined) > 15 { // a tenth
		t.Errorf("%d of 154 commands declined, limit %.1f", len(h.declined), h.b.inFlightPerBackend)
	}
}

// A backend that fails a tenth of many commands has no outage: when failures were counted by number alone, it
// looked more loaded than any other, and the rest were overloaded with its share. One that fails most commands
// still counts as loaded.
func TestFailuresAreWeighedAgainstAnswers(t *testing.T) {
	extraLoad := func(answers, failures int) float64 {
		be := &backend{inFlight: 2}
		for range answers {
			be.outcomes.record(1, failureSpanSeconds, Answered)
		}
		for range failures {
			be.outcomes.record(1, failureSpanSeconds, Errored)
		}
		return be.effectiveLoad(1) - 2
	}
	if more := extraLoad(0, 1); more != failureLoad*3 {
		t.Errorf("the first failure counts as %v commands, want %v for each one in flight and the next", more, failureLoad)
	}
	if more := extraLoad(90, 10); more > 1.5 {
		t.Errorf("a tenth of 100 failed: load higher by %v commands", more)
	}
	if few, many := extraLoad(10, 90), extraLoad(9, 81); few < 20 || many < 20 {
		t.Errorf("nine tenths failed: load higher by only %v and %v commands", few, many)
	}
	be := &backend{}
	be.outcomes.record(1, failureSpanSeconds, Cancelled)
	be.outcomes.record(1, failureSpanSeconds, NotSent)
	if be.effectiveLoad(1) != 0 {
		t.Error("cancelled or unsent relays count as failures")
	}
}

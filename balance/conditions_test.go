// This file tests conditions that the backend list does not show: priced zone crossing, inaccurate deadlines, slow
// clients, sudden saturation. It does not depend on the figures of one deployment.

package balance

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// backendsInZones returns a list of warm backends, count per zone.
func backendsInZones(zones, count int) (list []Entry) {
	for i := range zones * count {
		list = append(list, Entry{ID: id(i), Zone: i % zones, Cell: i / 3, Capacity: 1})
	}
	return list
}

// shareOf serves commands one after another, each answered after the time that its backend takes, and returns the
// share of the later half that went to backends selected by near.
func (h *fakeHost) shareOf(count int, took func(BackendID) float64, near func(BackendID) bool) float64 {
	hit := 0
	for i := range count {
		cmd := uint64(i + 1)
		h.b.CommandReceived(h.now, cmd, 0, 0, h.now+6, 0)
		to := h.relaysOf(cmd)[0]
		h.advanceTo(h.now + took(to))
		h.b.RelayEnded(h.now, cmd, 0, Answered, took(to), true, LoadReport{})
		for n := range h.relaysOf(cmd) {
			h.b.RelayEnded(h.now, cmd, n, Answered, took(to), true, LoadReport{})
		}
		if i >= count/2 && near(to) {
			hit++
		}
	}
	return float64(hit) / float64(count-count/2)
}

// If crossing zones is priced, commands stay in the own zone unless it is much slower than the others.
func TestPricedZoneCrossingIsRare(t *testing.T) {
	near := func(to BackendID) bool { return to[3]%3 == 1 }
	begin := func(priced bool) *fakeHost {
		return startBalancer(t, setup{backends: backendsInZones(3, 4), placement: Placement{Instances: 3, Zone: 1},
			limits: Limits{MaxRelays: 3, Hedges: true, CancelRelays: true, CrossZonePriced: priced}})
	}
	even := func(BackendID) float64 { return 0.1 }
	if part := begin(true).shareOf(400, even, near); part < 0.8 {
		t.Errorf("%.2f stayed in the own zone", part)
	}
	if part := begin(false).shareOf(400, even, near); part > 0.6 {
		t.Errorf("%.2f stayed in the own zone although crossing is free", part)
	}
	slow := func(to BackendID) float64 {
		if near(to) {
			return 0.4
		}
		return 0.1
	}
	if part := begin(true).shareOf(600, slow, near); part > 0.6 {
		t.Errorf("%.2f stayed in the own zone although it is four times slower", part)
	}
}

// A command whose deadline is reported too early must still be answered up to its true deadline.
func TestDeadlineReportedTooEarly(t *testing.T) {
	begin := func(off float64) *fakeHost {
		h := startBalancer(t, setup{verb: Verb{Effect: Effectful, Goal: 1, TimeLimit: 2.5, Utility: 1, LateUtility: 0.2},
			limits: Limits{MaxRelays: 3, Hedges: true, CancelRelays: true, DeadlineError: off}})
		h.b.CommandReceived(h.now, 1, 0, 0, h.now+0.1, 0) // its client waits for 1.3 s
		return h
	}
	t.Run("an answer after the reported deadline counts", func(t *testing.T) {
		h := begin(1.2)
		h.advanceTo(h.now + 0.6)
		if h.ended[1] {
			t.Fatal("ended by a deadline that was reported too early")
		}
		h.outcome(1, 0, Answered)
	})
	t.Run("a timeout shows the true deadline, and nothing is sent after it", func(t *testing.T) {
		h := begin(1.2)
		h.advanceTo(h.now + 0.8)
		h.outcome(1, 0, TimedOut)
		if len(h.terminated) != 1 || len(h.relays) != 1 {
			t.Errorf("terminated %v after %d relays", h.terminated, len(h.relays))
		}
	})
	t.Run("otherwise the command ends at the latest possible deadline", func(t *testing.T) {
		h := begin(1.2)
		if h.advanceTo(h.now + 1.31); len(h.terminated) != 1 {
			t.Error("no final answer by the latest possible deadline")
		}
		h = begin(4.8) // never longer than its verb allows
		if h.advanceTo(h.now + 2.51); len(h.terminated) != 1 {
			t.Error("no final answer by the verb's time limit")
		}
	})
	t.Run("without backends a command ends soon, whatever the deadline", func(t *testing.T) {
		h := startBalancer(t, setup{backends: []Entry{}, limits: Limits{MaxRelays: 3, DeadlineError: 4.8}})
		h.b.CommandReceived(h.now, 1, 0, 0, h.now+6, 0)
		if h.advanceTo(h.now + 0.3); len(h.declined) != 1 {
			t.Error("the command was not declined soon")
		}
	})
	t.Run("without a deadline error the reported deadline holds", func(t *testing.T) {
		h := begin(0)
		if h.advanceTo(h.now + 0.11); len(h.terminated) != 1 {
			t.Error("no final answer by the reported deadline")
		}
	})
}

// Commands past their goal, whose clients read slowly, may hold only a small part of the unread answers.
func TestSlowReadersHoldLittleCapacity(t *testing.T) {
	h := startBalancer(t, setup{verb: Verb{Goal: 1, TimeLimit: 5, Utility: 1, LateUtility: 0.2},
		limits: Limits{MaxRelays: 1, CancelRelays: true, MaxUnreadAnswers: 40}})
	for cmd := uint64(1); cmd <= 30; cmd++ { // each answer waits for a client that reads for 4 s
		h.b.CommandReceived(h.now, cmd, 0, 0, h.now+5, 0)
		h.advanceTo(h.now + 0.01)
	}
	h.advanceTo(h.now + 1.2)
	if open := 30 - len(h.ended); open > 6 || open < 4 {
		t.Errorf("%d late commands are still open, want 4 to 6", open)
	}
	if slices.Contains(h.declined, 30) || !slices.Contains(h.declined, 1) {
		t.Error("the oldest command was not given up first")
	}
}

// Guards against answers that are cut off: a command whose answer was being streamed to a slow reader was given up for others.
func TestStreamedAnswersAreNotGivenUpForOthers(t *testing.T) {
	h := startBalancer(t, setup{verb: Verb{Goal: 1, TimeLimit: 5, Utility: 1, LateUtility: 0.2},
		limits: Limits{MaxRelays: 1, CancelRelays: true, MaxUnreadAnswers: 40}})
	const streamed, commands = 10, 30
	for cmd := uint64(1); cmd <= commands; cmd++ {
		h.b.CommandReceived(h.now, cmd, 0, 0, h.now+5, 0)
		if cmd <= streamed {
			h.b.StreamStarted(h.now, cmd, 0)
		}
	}
	h.advanceTo(h.now + 1.01)
	var late []uint64
	for cmd := uint64(1); cmd <= commands; cmd++ {
		switch {
		case cmd <= streamed && h.ended[cmd]:
			t.Errorf("command %d was given up, its stream began before its goal", cmd)
		case cmd > streamed && !h.ended[cmd]:
			late = append(late, cmd)
			h.b.StreamStarted(h.now, cmd, 0)
		}
	}
	if len(late) > 6 || len(late) < 4 {
		t.Errorf("%d late commands without a stream were open, want 4 to 6", len(late))
	}
	for cmd := uint64(100); cmd < 100+commands; cmd++ {
		h.b.CommandReceived(h.now, cmd, 0, 0, h.now+5, 0)
	}
	h.advanceTo(h.now + 1.01)
	for _, cmd := range late {
		if h.ended[cmd] {
			t.Errorf("command %d was given up, its stream began after its goal", cmd)
		}
	}
}

// TestSaturationIsBounded guards against a tier in which all capacity waits for calls from the next tier back into
// it, so that nothing is answered any more. The number in flight under normal load limits what may be added.
func TestSaturationIsBounded(t *testing.T) {
	h := startBalancer(t, setup{backends: warmBackends(4), placement: Placement{Instances: 1}, limits: Limits{MaxRelays: 1}})
	cmd := uint64(0)
	send := func() {
		cmd++
		h.b.CommandReceived(h.now, cmd, 1, 0, h.now+6, 0)
	}
	type openCommand struct {
		cmd uint64
		at  float64
	}
	var open []openCommand
	for range 4000 { // 50 commands per second, 0.2 s each: 10 are in flight
		h.advanceTo(h.now + 0.02)
		send()
		open = append(open, openCommand{cmd, h.now + 0.2})
		for len(open) > 0 && open[0].at <= h.now {
			if !h.ended[open[0].cmd] {
				h.outcome(open[0].cmd, 0, Answered)
			}
			open = open[1:]
		}
	}
	if n := len(h.declined); n > 0 {
		t.Errorf("%d commands declined under normal load", n)
	}
	for range 200 { // from here on nothing is answered
		h.advanceTo(h.now + 0.005)
		send()
	}
	if h.b.inFlight > 30 {
		t.Errorf("%d commands in flight, 10 under normal load", h.b.inFlight)
	}
	if h.b.inFlight < 18 {
		t.Errorf("only %d commands in flight: a surge would be declined", h.b.inFlight)
	}
}

// loadGenerator sends a steady stream of commands. Each ends after the time returned by took; a negative time
// means a failure after that time.
type loadGenerator struct {
	*fakeHost
	cmd      uint64
	outcomes []pendingOutcome
	took     func(cmd, key uint64) float64
	keys     map[uint64]uint64
}

type pendingOutcome struct {
	at   float64
	cmd  uint64
	n    int
	fail bool
}

// send submits a command of verb 1.
func (l *loadGenerator) send(key uint64, customer int) uint64 {
	l.cmd++
	seen := len(l.relays)
	l.keys[l.cmd] = key
	l.b.CommandReceived(l.now, l.cmd, 1, customer, l.now+6, key)
	l.scheduleOutcomes(seen)
	return l.cmd
}

// scheduleOutcomes schedules the ends of the relays from number seen on.
func (l *loadGenerator) scheduleOutcomes(seen int) {
	for _, s := range l.relays[seen:] {
		took := l.took(s.cmd, l.keys[s.cmd])
		at, fail := l.now+took, took < 0
		if fail {
			at = l.now - took
		}
		l.outcomes = append(l.outcomes, pendingOutcome{at, s.cmd, len(l.relaysOf(s.cmd)) - 1, fail})
	}
}

// advance moves the clock forward and ends the relays that are due.
func (l *loadGenerator) advance(seconds float64) {
	end := l.now + seconds
	for l.now < end-1e-9 {
		seen := len(l.relays)
		l.advanceTo(min(end, l.now+0.005))
		for i := 0; i < len(l.outcomes); i++ {
			if d := l.outcomes[i]; d.at <= l.now {
				l.outcomes = slices.Delete(l.outcomes, i, i+1)
				i--
				if c := l.b.commands[d.cmd]; c == nil || d.n >= len(c.relays) || !c.relays[d.n].pending {
					continue
				}
				if d.fail {
					l.outcome(d.cmd, d.n, Errored)
				} else if !l.ended[d.cmd] {
					l.outcome(d.cmd, d.n, Answered)
				} else {
					l.b.RelayEnded(l.now, d.cmd, d.n, Answered, 0.1, true, LoadReport{})
				}
			}
		}
		l.scheduleOutcomes(seen)
	}
}

// newLoadGenerator starts an instance without any load.
func newLoadGenerator(t *testing.T, s setup) *loadGenerator {
	return &loadGenerator{fakeHost: startBalancer(t, s), keys: map[uint64]uint64{}}
}

// TestFailingGroupIsLimited guards against one lock behind all backends: commands of one key or customer wait for
// it wherever they are sent, and would take up the capacity of all others.
func TestFailingGroupIsLimited(t *testing.T) {
	for name, key := range map[string]uint64{"key": 7, "customer": 0} {
		l := newLoadGenerator(t, setup{backends: warmBackends(6),
			customers: []Customer{{Allowance: 1e6, PreviousIndex: -1}, {Allowance: 1e6, PreviousIndex: -1}},
			limits:    Limits{MaxRelays: 3, CancelRelays: true}})
		locked := true
		l.took = func(cmd, _ uint64) float64 {
			if cmd%5 == 0 && locked {
				return 5 // its goal is 2.5
			}
			return 0.2
		}
		run := func(n int) {
			for range n { // 50 per second, one in five belongs to the group
				l.advance(0.02)
				if (l.cmd+1)%5 == 0 {
					l.send(key, 1)
				} else {
					l.send(1000+l.cmd, 0)
				}
			}
		}
		waiting := func() (n int) {
			for cmd, c := range l.b.commands {
				if cmd%5 == 0 && !c.done {
					n++
				}
			}
			return n
		}
		run(1000)
		if n := waiting(); n > 8 {
			t.Errorf("%s: %d commands wait for the lock, 50 would without a limit", name, n)
		}
		from := l.cmd
		run(500)
		lost := 0
		for _, cmd := range append(slices.Clone(l.declined), l.terminated...) {
			if cmd > from && cmd%5 != 0 {
				lost++
			}
		}
		if lost > 0 {
			t.Errorf("%s: %d other commands were not served", name, lost)
		}
		locked = false
		run(1500)
		from = l.cmd
		run(250)
		for _, cmd := range l.declined {
			if cmd > from {
				t.Errorf("%s: command %d was declined long after the lock was released", name, cmd)
			}
		}
	}
}

// A third of all new connections came up too late: within two seconds every backend was avoided because of one of
// them, and commands were declined although the whole fleet was idle.
func TestAvoidedBackendsAreUsedAsLastResort(t *testing.T) {
	h := startBalancer(t, setup{backends: warmBackends(3)})
	h.serve(1, 5, 0.1)
	for _, be := range h.b.fleet[:2] {
		be.avoidUntil = h.now + connectBackoffSeconds
	}
	for cmd := uint64(100); cmd < 120; cmd++ {
		h.b.CommandReceived(h.now, cmd, 0, 0, h.now+6, 0)
		if to := h.relaysOf(cmd); len(to) != 1 || to[0] != h.b.fleet[2].ID {
			t.Fatalf("sent to %v although one backend is not avoided", to)
		}
		h.outcome(cmd, 0, Answered)
	}
	h.b.fleet[2].avoidUntil = h.now + connectBackoffSeconds
	h.b.CommandReceived(h.now, 200, 0, 0, h.now+6, 0)
	if len(h.relaysOf(200)) != 1 {
		t.Error("the command was held although three backends are ready")
	}
	h.outcome(200, 0, ConnectFailed)
	if to := h.relaysOf(200); len(to) != 2 || to[0] == to[1] {
		t.Errorf("after a failed connection sent to %v", to)
	}
}

// New settings list the customers in another order. The limit of a customer whose commands wait for a lock must
// stay with it: it had passed to the customer that took over its index.
func TestReorderedCustomersKeepTheirLimits(t *testing.T) {
	customers := []Customer{{Allowance: 1e6, PreviousIndex: -1}, {Allowance: 1e6, PreviousIndex: -1}}
	l := newLoadGenerator(t, setup{backends: warmBackends(6), customers: customers,
		limits: Limits{MaxRelays: 3, CancelRelays: true}})
	locked := 1
	l.took = func(cmd, _ uint64) float64 { return 0.2 + 4.8*indicator(cmd%5 == 0) } // the goal is 2.5
	serve := func() {
		for range 1000 {
			if l.advance(0.02); (l.cmd+1)%5 == 0 {
				l.send(1000+l.cmd, locked)
			} else {
				l.send(1000+l.cmd, 1-locked)
			}
		}
	}
	limited := func(customer int) bool {
		l.send(9, customer)
		c := l.b.commands[l.cmd]
		return c != nil && c.inLimitedGroup() || slices.Contains(l.declined, l.cmd)
	}
	serve()
	if limited(0) || !limited(1) {
		t.Fatal("not exactly the customer that waits for a lock is limited")
	}
	verbs := []Verb{l.b.verbs[0].Verb, l.b.verbs[1].Verb}
	verbs[0].PreviousIndex, verbs[1].PreviousIndex = 0, 1
	l.b.Configure(l.now, l.b.tick, l.b.placement, verbs,
		[]Customer{{Allowance: 1e6, PreviousIndex: 1}, {Allowance: 1e6, PreviousIndex: -1}, {Allowance: 1e6, PreviousIndex: 0}},
		0.1, l.b.limits, l.b.coldStart, false)
	if !limited(0) || limited(2) || limited(1) {
		t.Errorf("limited: the customer with the lock %t, the new one %t, the other one %t", limited(0), limited(1), limited(2))
	}
}

// Commands of a group that fails on every backend get one relay each, and backends keep their weight.
func TestFailingGroupIsNotRetried(t *testing.T) {
	l := newLoadGenerator(t, setup{backends: warmBackends(6),
		limits: Limits{MaxRelays: 4, Hedges: true, CancelRelays: true}})
	l.took = func(cmd, key uint64) float64 {
		if key == 7 {
			return -0.01
		}
		return 0.05 + float64(cmd%10)/100
	}
	for i := range 600 {
		l.advance(0.02)
		l.send(map[bool]uint64{true: 7, false: uint64(100 + i)}[i%4 == 0], 0)
	}
	l.advance(1)
	retried := 0
	for cmd := uint64(300); cmd <= l.cmd; cmd++ {
		if l.keys[cmd] == 7 && len(l.relaysOf(cmd)) > 1 {
			retried++
		}
	}
	if retried > 0 {
		t.Errorf("%d commands of the failing group were sent again", retried)
	}
	for _, be := range l.b.fleet {
		if be.weight < 1 {
			t.Errorf("a backend has weight %.2f because of the failing group", be.weight)
		}
	}
}

// TestNestedCallsGetCapacity covers a tier that the next tier calls back: the caller holds capacity while it waits
// for the call, so other commands must leave some.
func TestNestedCallsGetCapacity(t *testing.T) {
	run := func(nested bool) *loadGenerator {
		l := newLoadGenerator(t, setup{backends: warmBackends(4), limits: Limits{MaxRelays: 1, CancelRelays: true}})
		l.took = func(_, key uint64) float64 { return 0.2 }
		for i := range 1500 {
			l.advance(0.02)
			l.send(uint64(100+i), 0)
			if nested && i%4 == 0 {
				l.send(0, 0)
			}
		}
		l.took = func(uint64, uint64) float64 { return 5 }
		for i := range 100 {
			l.send(uint64(5000+i), 0)
		}
		return l
	}
	plain, withNested := run(false), run(true)
	if a, b := plain.b.inFlight, withNested.b.inFlight; b >= a-3 {
		t.Errorf("%d commands in flight with nested calls, %d without", b, a)
	}
	before := len(withNested.relays)
	withNested.send(0, 0)
	if len(withNested.relays) != before+1 {
		t.Error("a nested call was held")
	}
}

// TestHeadroomShrinksWithInstances guards against an overload of every backend: 190 instances with two commands in
// flight each together sent four times as many.
func TestHeadroomShrinksWithInstances(t *testing.T) {
	inFlight := func(instances int) int {
		l := newLoadGenerator(t, setup{backends: warmBackends(instances), placement: Placement{Instances: instances},
			limits: Limits{MaxRelays: 1}})
		l.took = func(uint64, uint64) float64 { return 0.2 }
		for range 1500 {
			l.advance(0.1)
			l.send(0, 0)
		}
		l.took = func(uint64, uint64) float64 { return 5 }
		for range 60 {
			l.send(0, 0)
		}
		return l.b.inFlight
	}
	if few, many := inFlight(4), inFlight(256); many > few-2 {
		t.Errorf("one of 4 instances has %d commands in flight, one of 256 has %d", few, many)
	}
}

// TestRandomFailuresLimitNoGroup guards against limits by random variation: one of 57 instances saw few commands
// per customer in five seconds, some of which failed by chance, and declined the customer's other commands.
func TestRandomFailuresLimitNoGroup(t *testing.T) {
	h := startBalancer(t, setup{customers: []Customer{{Allowance: 1e6, PreviousIndex: -1}, {Allowance: 1e6, PreviousIndex: -1}},
		limits: Limits{MaxRelays: 1}})
	for cmd := uint64(1); cmd <= 30; cmd++ {
		customer, result := 0, Answered
		if cmd%3 == 0 {
			customer = 1
		}
		if customer == 1 && cmd > 18 { // the last four of ten
			result = Errored
		}
		h.b.CommandReceived(h.now, cmd, 0, customer, h.now+6, 0)
		h.advanceTo(h.now + 0.02)
		h.outcome(cmd, 0, result)
	}
	if c := h.b.groups.lookup(1<<1|1, h.now, groupSpanSeconds); c == nil || c.ended.sum < 9 {
		t.Fatal("the customer's group was not found")
	} else if c.limit > 0 {
		t.Errorf("four failures of ten limited the group to %.1f commands", c.limit)
	}
}

// TestBaselineIsNotSpareCapacity guards against shedding without load: of 270 proxies, those with several times
// the mean traffic held or declined commands of low utility while all backends were idle.
func TestBaselineIsNotSpareCapacity(t *testing.T) {
	l := newLoadGenerator(t, setup{backends: warmBackends(70), placement: Placement{Instances: 70}, limits: Limits{MaxRelays: 1}})
	rng := rand.New(rand.NewPCG(1, 2))
	l.took = func(uint64, uint64) float64 { return 0.1 + 0.2*rng.Float64() }
	held := 0
	for range 6000 { // 40 per second, 0.2 s each: 8 are in flight on average
		l.advance(rng.ExpFloat64() / 40)
		l.cmd++
		seen := len(l.relays)
		l.b.CommandReceived(l.now, l.cmd, 0, 0, l.now+6, 0) // verb 0 has a fifth of the utility of verb 1
		if len(l.relays) == seen {
			held++
		}
		l.scheduleOutcomes(seen)
	}
	if n := len(l.declined); held > 1000 || n > 5 {
		t.Errorf("%d of 6000 commands held and %d declined under normal load", held, n)
	}
}

// A host that knows the true deadline reports it by a relay that timed out, long before the reported deadline.
func TestDeadlineReportedTooLate(t *testing.T) {
	for _, off := range []float64{1.2, 4.8} {
		h := startBalancer(t, setup{verb: Verb{Effect: Pure, Goal: 1, TimeLimit: 7, Utility: 1, LateUtility: 0.2},
			limits: Limits{MaxRelays: 4, Hedges: true, CancelRelays: true, DeadlineError: off}})
		h.serve(1, 60, 0.1) // so that the hedge delay is learned
		before := len(h.relays)
		for cmd := uint64(101); cmd <= 140; cmd++ {
			h.b.CommandReceived(h.now, cmd, 0, 0, h.now+2+off, 0) // its client waits for 2 s
		}
		h.advanceTo(h.now + 2)
		sent := len(h.relays)
		for cmd := uint64(101); cmd <= 140; cmd++ {
			for n := range h.relaysOf(cmd) {
				h.outcome(cmd, n, TimedOut)
			}
			if len(h.relaysOf(cmd)) > 0 && !h.ended[cmd] {
				t.Errorf("off by %.1f s: command %d goes on past its true deadline", off, cmd)
			}
		}
		if len(h.relays) != sent {
			t.Errorf("off by %.1f s: %d relays after the true deadline", off, len(h.relays)-sent)
		}
		if more := sent - before - 40; more > 8 { // the bucket of 60 commands, not one per late command
			t.Errorf("off by %.1f s: %d hedges of 40 commands", off, more)
		}
		if h.advanceTo(h.now + 8); len(h.ended) != 100 {
			t.Errorf("off by %.1f s: %d of 100 commands have a final answer", off, len(h.ended))
		}
	}
}

// A start may be reported wrong by up to 4 s, either way: while the backend may still be cold, it gets no more
// than a cold one is sure to handle.
func TestInaccurateStartTimes(t *testing.T) {
	for _, off := range []float64{-4, 0, 4} {
		h := startBalancer(t, setup{})
		b := h.b
		b.Configure(h.now, b.tick, b.placement, []Verb{b.verbs[0].Verb}, nil, 0.1, b.limits,
			ColdStart{InitialCapacity: 0.2, WarmUp: 10, OverloadMultiple: 3, StartError: 4}, false)
		list := warmBackends(6)
		list[0].StartedAt = h.now + off
		b.UpdateBackends(h.now, true, list)
		for from := h.now; h.now < from+13; h.advanceTo(h.now + 0.5) {
			truth := 0.2 + 0.8*min(1, (h.now-from)/10) // of its capacity
			if be := b.fleet[slices.IndexFunc(b.fleet, func(be *backend) bool {
				return be.ID == list[0].ID
			})]; b.guaranteedCapacity(be) > truth+1e-9 {
				t.Fatalf("start reported %+.0f s off: capacity counts as %.2f %.1f s after the start, want at most %.2f",
					off, b.guaranteedCapacity(be), h.now-from, truth)
			}
		}
	}
}

// One verb fails at once on half of the backends: the rest serve it, and the other verb is not affected.
func TestVerbFailingOnSomeBackends(t *testing.T) {
	h := startBalancer(t, setup{})
	rng := rand.New(rand.NewPCG(1, 2))
	served, sent := [2]int{}, [2]int{}
	for cmd := uint64(1); cmd <= 1200; cmd++ {
		verb := int(cmd % 2)
		h.b.CommandReceived(h.now, cmd, verb, 0, h.now+6, 0)
		h.advanceTo(h.now + 0.02*rng.Float64())
		for n := 0; n < len(h.relaysOf(cmd)) && !h.ended[cmd]; n++ {
			if to := h.relaysOf(cmd)[n]; verb == 1 && to[3] < 3 {
				h.outcome(cmd, n, Errored)
			} else {
				h.outcome(cmd, n, Answered)
			}
		}
		if cmd > 200 {
			sent[verb]++
			if len(h.declined)+len(h.terminated) == 0 {
				served[verb]++
			}
			h.declined, h.terminated = nil, nil
		}
	}
	if ok, bad := float64(served[0])/float64(sent[0]), float64(served[1])/float64(sent[1]); ok < 0.99 || bad < 0.9 {
		t.Errorf("%.3f served of the working verb, %.3f of the one that fails on half of the backends", ok, bad)
	}
}

// Idle connections that were dropped without notice reset the first command on each. Pure commands must go to
// another backend, effectful ones end at once, and no backend must stay out of use.
func TestDroppedIdleConnections(t *testing.T) {
	for _, effect := range []Effect{Pure, Effectful} {
		h := startBalancer(t, setup{verb: Verb{Effect: effect, Goal: 1, TimeLimit: 3, Utility: 1}})
		h.serve(1, 200, 0.05)
		h.advanceTo(h.now + 60) // idle long enough for all connections to be dropped
		h.relays = nil
		connected := map[BackendID]bool{}
		ended := 0
		for cmd := uint64(1001); cmd <= 1100; cmd++ {
			h.b.CommandReceived(h.now, cmd, 0, 0, h.now+3, 0)
			for n := 0; n < len(h.relaysOf(cmd)) && !h.ended[cmd]; n++ {
				to := h.relaysOf(cmd)[n]
				result := Answered
				if !connected[to] {
					result = Reset
				}
				connected[to] = true
				h.advanceTo(h.now + 0.01)
				h.outcome(cmd, n, result)
			}
			if !h.ended[cmd] {
				t.Fatalf("effect %d: command %d waits although its relays have ended", effect, cmd)
			}
			if ended = len(h.declined) + len(h.terminated); effect == Effectful && len(h.relaysOf(cmd)) > 1 {
				t.Errorf("command %d was sent again", cmd)
			}
		}
		if maxLost := map[Effect]int{Pure: 3, Effectful: 6}[effect]; ended > maxLost {
			t.Errorf("effect %d: %d of 100 commands lost to six dropped connections", effect, ended)
		}
		if len(connected) != 6 {
			t.Errorf("effect %d: only %d of 6 backends are still used", effect, len(connected))
		}
	}
}

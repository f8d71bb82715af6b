// This file owns the stories of troubles that no list shows: a zone that crossing costs, limits told wrong, clients that
// read slowly, places that all fill at once. It must never go by figures of one deployment.
package balance

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// inZones is a list of warm backends, count in each zone.
func inZones(zones, count int) (list []Entry) {
	for i := range zones * count {
		list = append(list, Entry{ID: id(i), Zone: i % zones, Cell: i / 3, Capacity: 1})
	}
	return list
}

// shareOf serves commands one after another, each answered after what its backend takes, and gives the part that went
// where near says, of the later half.
func (h *fakeHost) shareOf(count int, took func(BackendID) float64, near func(BackendID) bool) float64 {
	hit := 0
	for i := range count {
		cmd := uint64(i + 1)
		h.b.CommandReceived(h.now, cmd, 0, 0, h.now+6, 0)
		to := h.toOf(cmd)[0]
		h.until(h.now + took(to))
		h.b.RelayEnded(h.now, cmd, 0, Answered, took(to), true, LoadReport{})
		for n := range h.toOf(cmd) {
			h.b.RelayEnded(h.now, cmd, n, Answered, took(to), true, LoadReport{})
		}
		if i >= count/2 && near(to) {
			hit++
		}
	}
	return float64(hit) / float64(count-count/2)
}

func TestCrossingThatIsPricedIsRare(t *testing.T) {
	near := func(k BackendID) bool { return k[3]%3 == 1 }
	begin := func(far bool) *fakeHost {
		return start(t, setup{backends: inZones(3, 4), place: Placement{Instances: 3, Zone: 1},
			limits: Limits{MaxRelays: 3, SecondCopies: true, CancelRelays: true, CrossZonePriced: far}})
	}
	even := func(BackendID) float64 { return 0.1 }
	if part := begin(true).shareOf(400, even, near); part < 0.8 {
		t.Errorf("%.2f stayed in the own zone", part)
	}
	if part := begin(false).shareOf(400, even, near); part > 0.6 {
		t.Errorf("%.2f stayed in the own zone where crossing costs nothing", part)
	}
	slow := func(k BackendID) float64 {
		if near(k) {
			return 0.4
		}
		return 0.1
	}
	if part := begin(true).shareOf(600, slow, near); part > 0.6 {
		t.Errorf("%.2f stayed in a zone that answers four times later than the others", part)
	}
}

func TestALimitToldShortIsLivedPast(t *testing.T) {
	begin := func(off float64) *fakeHost {
		h := start(t, setup{verb: Verb{Effect: Effectful, Goal: 1, TimeLimit: 2.5, Utility: 1, LateUtility: 0.2},
			limits: Limits{MaxRelays: 3, SecondCopies: true, CancelRelays: true, DeadlineError: off}})
		h.b.CommandReceived(h.now, 1, 0, 0, h.now+0.1, 0) // its client waits for 1.3 s
		return h
	}
	t.Run("answered after what was told", func(t *testing.T) {
		h := begin(1.2)
		h.until(h.now + 0.6)
		if h.ended[1] {
			t.Fatal("ended by a limit that was told short")
		}
		h.outcome(1, 0, Answered)
	})
	t.Run("its true end shows by itself, and nothing is sent past it", func(t *testing.T) {
		h := begin(1.2)
		h.until(h.now + 0.8)
		h.outcome(1, 0, TimedOut)
		if len(h.terminated) != 1 || len(h.relays) != 1 {
			t.Errorf("terminated %v after %d relays", h.terminated, len(h.relays))
		}
	})
	t.Run("and where nothing shows it ends as late as it may", func(t *testing.T) {
		h := begin(1.2)
		if h.until(h.now + 1.31); len(h.terminated) != 1 {
			t.Error("no final answer by the latest time that the limit may be")
		}
		h = begin(4.8) // never longer than its verb allows
		if h.until(h.now + 2.51); len(h.terminated) != 1 {
			t.Error("no final answer by its verb's own limit")
		}
	})
	t.Run("one that nobody could take ends soon, whatever was told", func(t *testing.T) {
		h := start(t, setup{backends: []Entry{}, limits: Limits{MaxRelays: 3, DeadlineError: 4.8}})
		h.b.CommandReceived(h.now, 1, 0, 0, h.now+6, 0)
		if h.until(h.now + 0.3); len(h.declined) != 1 {
			t.Error("held longer than a moment")
		}
	})
	t.Run("without the setting the time told is the limit", func(t *testing.T) {
		h := begin(0)
		if h.until(h.now + 0.11); len(h.terminated) != 1 {
			t.Error("no final answer by its limit")
		}
	})
}

func TestSlowReadersHoldFewPlaces(t *testing.T) {
	h := start(t, setup{verb: Verb{Goal: 1, TimeLimit: 5, Utility: 1, LateUtility: 0.2},
		limits: Limits{MaxRelays: 1, CancelRelays: true, MaxUnreadAnswers: 40}})
	for cmd := uint64(1); cmd <= 30; cmd++ { // each answer waits for a client that reads for 4 s
		h.b.CommandReceived(h.now, cmd, 0, 0, h.now+5, 0)
		h.until(h.now + 0.01)
	}
	h.until(h.now + 1.2)
	if open := 30 - len(h.ended); open > 6 || open < 4 {
		t.Errorf("%d late commands hold one of 40 places, not 6", open)
	}
	if slices.Contains(h.declined, 30) || !slices.Contains(h.declined, 1) {
		t.Error("the oldest should have made way")
	}
}

// TestWhatIsOutDoesNotRunAway is the story of places that fill all at once: calls come back to a tier whose places all
// wait for them, and nothing is answered any more. What was out while all went well bounds what may fill them.
func TestWhatIsOutDoesNotRunAway(t *testing.T) {
	h := start(t, setup{backends: ready(4), place: Placement{Instances: 1}, limits: Limits{MaxRelays: 1}})
	cmd := uint64(0)
	begin := func() {
		cmd++
		h.b.CommandReceived(h.now, cmd, 1, 0, h.now+6, 0)
	}
	type out struct {
		cmd uint64
		at  float64
	}
	var open []out
	for range 4000 { // 50 commands a second, each for 0.2 s: 10 are out
		h.until(h.now + 0.02)
		begin()
		open = append(open, out{cmd, h.now + 0.2})
		for len(open) > 0 && open[0].at <= h.now {
			if !h.ended[open[0].cmd] {
				h.outcome(open[0].cmd, 0, Answered)
			}
			open = open[1:]
		}
	}
	if n := len(h.declined); n > 0 {
		t.Errorf("%d declined at ease", n)
	}
	for range 200 { // then nothing is answered
		h.until(h.now + 0.005)
		begin()
	}
	if h.b.inFlight > 30 {
		t.Errorf("%d are out where 10 were at ease", h.b.inFlight)
	}
	if h.b.inFlight < 18 {
		t.Errorf("only %d are out, a surge would be turned away", h.b.inFlight)
	}
}

// load is a steady stream of commands that are answered after what took says, below 0 for a failure after so long.
type load struct {
	*fakeHost
	cmd  uint64
	due  []due
	took func(cmd, key uint64) float64
	keys map[uint64]uint64
}

type due struct {
	at   float64
	cmd  uint64
	n    int
	fail bool
}

func (l *load) begin(key uint64, customer int) uint64 {
	l.cmd++
	seen := len(l.relays)
	l.keys[l.cmd] = key
	l.b.CommandReceived(l.now, l.cmd, 1, customer, l.now+6, key)
	l.follow(seen)
	return l.cmd
}

// follow notes when what was relayed since will end.
func (l *load) follow(seen int) {
	for _, s := range l.relays[seen:] {
		took := l.took(s.cmd, l.keys[s.cmd])
		at, fail := l.now+took, took < 0
		if fail {
			at = l.now - took
		}
		l.due = append(l.due, due{at, s.cmd, len(l.toOf(s.cmd)) - 1, fail})
	}
}

func (l *load) pass(seconds float64) {
	end := l.now + seconds
	for l.now < end-1e-9 {
		seen := len(l.relays)
		l.until(min(end, l.now+0.005))
		for i := 0; i < len(l.due); i++ {
			if d := l.due[i]; d.at <= l.now {
				l.due = slices.Delete(l.due, i, i+1)
				i--
				if c := l.b.commands[d.cmd]; c == nil || d.n >= len(c.relays) || !c.relays[d.n].out {
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
		l.follow(seen)
	}
}

func newLoad(t *testing.T, s setup) *load {
	return &load{fakeHost: start(t, s), keys: map[uint64]uint64{}}
}

// TestASortThatFaresIllHoldsFewPlaces is the story of one lock behind all backends: what has a certain key waits for it
// wherever it is sent, and would fill the places of all the rest.
func TestASortThatFaresIllHoldsFewPlaces(t *testing.T) {
	for what, key := range map[string]uint64{"a key": 7, "a customer": 0} {
		l := newLoad(t, setup{backends: ready(6), customers: []Customer{{Allowance: 1e6, PreviousIndex: -1}, {Allowance: 1e6, PreviousIndex: -1}},
			limits: Limits{MaxRelays: 3, CancelRelays: true}})
		locked := true
		l.took = func(cmd, _ uint64) float64 {
			if cmd%5 == 0 && locked {
				return 5 // its goal is 2.5
			}
			return 0.2
		}
		one := func(n int) {
			for range n { // 50 a second, one in five is of the sort
				l.pass(0.02)
				if (l.cmd+1)%5 == 0 {
					l.begin(key, 1)
				} else {
					l.begin(1000+l.cmd, 0)
				}
			}
		}
		out := func() (n int) {
			for cmd, c := range l.b.commands {
				if cmd%5 == 0 && !c.done {
					n++
				}
			}
			return n
		}
		one(1000)
		if n := out(); n > 8 {
			t.Errorf("%s: %d commands wait for the lock, where 50 would without a bound", what, n)
		}
		from := l.cmd
		one(500)
		lost := 0
		for _, cmd := range append(slices.Clone(l.declined), l.terminated...) {
			if cmd > from && cmd%5 != 0 {
				lost++
			}
		}
		if lost > 0 {
			t.Errorf("%s: %d commands of the rest were not served", what, lost)
		}
		locked = false
		one(1500)
		from = l.cmd
		one(250)
		for _, cmd := range l.declined {
			if cmd > from {
				t.Errorf("%s: command %d was declined long after the lock was open", what, cmd)
			}
		}
	}
}

// A third of all new connections comes up too late: within two seconds each backend had been set aside for one of them, and
// commands were declined with the whole fleet at rest.
func TestAllSetAsideAreTriedAllTheSame(t *testing.T) {
	h := start(t, setup{backends: ready(3)})
	h.serve(1, 5, 0.1)
	for _, k := range h.b.fleet[:2] {
		k.aside = h.now + asideFor
	}
	for cmd := uint64(100); cmd < 120; cmd++ {
		h.b.CommandReceived(h.now, cmd, 0, 0, h.now+6, 0)
		if to := h.toOf(cmd); len(to) != 1 || to[0] != h.b.fleet[2].ID {
			t.Fatalf("sent to %v while one is not set aside", to)
		}
		h.outcome(cmd, 0, Answered)
	}
	h.b.fleet[2].aside = h.now + asideFor
	h.b.CommandReceived(h.now, 200, 0, 0, h.now+6, 0)
	if len(h.toOf(200)) != 1 {
		t.Error("held with three backends ready")
	}
	h.outcome(200, 0, ConnectFailed)
	if to := h.toOf(200); len(to) != 2 || to[0] == to[1] {
		t.Errorf("then sent to %v", to)
	}
}

// New settings name the customers in another order. What was held against one, whose commands wait for a lock, was held
// against who had its place from then on, and no longer against itself.
func TestNewSettingsMixNoCustomers(t *testing.T) {
	customers := []Customer{{Allowance: 1e6, PreviousIndex: -1}, {Allowance: 1e6, PreviousIndex: -1}}
	l := newLoad(t, setup{backends: ready(6), customers: customers, limits: Limits{MaxRelays: 3, CancelRelays: true}})
	ill := 1
	l.took = func(cmd, _ uint64) float64 { return 0.2 + 4.8*one(cmd%5 == 0) } // the goal is 2.5
	serve := func() {
		for range 1000 {
			if l.pass(0.02); (l.cmd+1)%5 == 0 {
				l.begin(1000+l.cmd, ill)
			} else {
				l.begin(1000+l.cmd, 1-ill)
			}
		}
	}
	held := func(customer int) bool {
		l.begin(9, customer)
		c := l.b.commands[l.cmd]
		return c != nil && c.apart() || slices.Contains(l.declined, l.cmd)
	}
	serve()
	if held(0) || !held(1) {
		t.Fatal("the customer that waits for a lock should be held, alone")
	}
	verbs := []Verb{l.b.verbs[0].Verb, l.b.verbs[1].Verb}
	verbs[0].PreviousIndex, verbs[1].PreviousIndex = 0, 1
	l.b.Configure(l.now, l.b.tick, l.b.place, verbs, []Customer{{Allowance: 1e6, PreviousIndex: 1}, {Allowance: 1e6, PreviousIndex: -1}, {Allowance: 1e6, PreviousIndex: 0}},
		0.1, l.b.limits, l.b.cold, false)
	if !held(0) || held(2) || held(1) {
		t.Errorf("held are the one with the lock %t, the new one %t, the other %t", held(0), held(1), held(2))
	}
}

func TestWhatFailsEverywhereCostsOneRelayEach(t *testing.T) {
	l := newLoad(t, setup{backends: ready(6), limits: Limits{MaxRelays: 4, SecondCopies: true, CancelRelays: true}})
	l.took = func(cmd, key uint64) float64 {
		if key == 7 {
			return -0.01
		}
		return 0.05 + float64(cmd%10)/100
	}
	for i := range 600 {
		l.pass(0.02)
		l.begin(map[bool]uint64{true: 7, false: uint64(100 + i)}[i%4 == 0], 0)
	}
	l.pass(1)
	further := 0
	for cmd := uint64(300); cmd <= l.cmd; cmd++ {
		if l.keys[cmd] == 7 && len(l.toOf(cmd)) > 1 {
			further++
		}
	}
	if further > 0 {
		t.Errorf("%d spoilt commands were sent again once their sort was known", further)
	}
	for _, k := range l.b.fleet {
		if k.weight < 1 {
			t.Errorf("a backend has weight %.2f for what is not its fault", k.weight)
		}
	}
}

// TestCallsFromBelowFindAPlace is the story of a tier that the next one calls back: what waits for the call holds a place,
// so the others leave some.
func TestCallsFromBelowFindAPlace(t *testing.T) {
	begin := func(back bool) *load {
		l := newLoad(t, setup{backends: ready(4), limits: Limits{MaxRelays: 1, CancelRelays: true}})
		l.took = func(_, key uint64) float64 { return 0.2 }
		for i := range 1500 {
			l.pass(0.02)
			l.begin(uint64(100+i), 0)
			if back && i%4 == 0 {
				l.begin(0, 0)
			}
		}
		l.took = func(uint64, uint64) float64 { return 5 }
		for i := range 100 {
			l.begin(uint64(5000+i), 0)
		}
		return l
	}
	free, nested := begin(false), begin(true)
	if a, b := free.b.inFlight, nested.b.inFlight; b >= a-3 {
		t.Errorf("%d are out where calls come back, %d where none do", b, a)
	}
	before := len(nested.relays)
	nested.begin(0, 0)
	if len(nested.relays) != before+1 {
		t.Error("a call from below was held behind what waits for it")
	}
}

// TestManyNeedLessRoomForChance is the story of a day on which 190 instances with two commands out each let out four
// times that together, and every backend choked.
func TestManyNeedLessRoomForChance(t *testing.T) {
	out := func(siblings int) int {
		l := newLoad(t, setup{backends: ready(siblings), place: Placement{Instances: siblings}, limits: Limits{MaxRelays: 1}})
		l.took = func(uint64, uint64) float64 { return 0.2 }
		for range 1500 {
			l.pass(0.1)
			l.begin(0, 0)
		}
		l.took = func(uint64, uint64) float64 { return 5 }
		for range 60 {
			l.begin(0, 0)
		}
		return l.b.inFlight
	}
	if few, many := out(4), out(256); many > few-2 {
		t.Errorf("one of 4 lets out %d, one of 256 %d", few, many)
	}
}

// TestChanceMakesNoSort is the story of a quiet day on which one of 57 instances saw few commands of each customer in
// five seconds, some of them ill by chance, and declined the rest of that customer's.
func TestChanceMakesNoSort(t *testing.T) {
	h := start(t, setup{customers: []Customer{{Allowance: 1e6, PreviousIndex: -1}, {Allowance: 1e6, PreviousIndex: -1}}, limits: Limits{MaxRelays: 1}})
	for cmd := uint64(1); cmd <= 30; cmd++ {
		customer, result := 0, Answered
		if cmd%3 == 0 {
			customer = 1
		}
		if customer == 1 && cmd > 18 { // the last four of ten
			result = Errored
		}
		h.b.CommandReceived(h.now, cmd, 0, customer, h.now+6, 0)
		h.until(h.now + 0.02)
		h.outcome(cmd, 0, result)
	}
	if c := h.b.table.of(1<<1|1, h.now, sortSpan); c == nil || c.ended.sum < 9 {
		t.Fatal("the customer's tally was not found")
	} else if c.most > 0 {
		t.Errorf("four ill ones of ten made a sort that may hold %.1f places", c.most)
	}
}

// TestWhatIsOutAtEaseIsNoSpare is the story of a calm day with 270 proxies, on which those with several times the mean
// traffic held or declined what has little utility while no backend had anything to do.
func TestWhatIsOutAtEaseIsNoSpare(t *testing.T) {
	l := newLoad(t, setup{backends: ready(70), place: Placement{Instances: 70}, limits: Limits{MaxRelays: 1}})
	chance := rand.New(rand.NewPCG(1, 2))
	l.took = func(uint64, uint64) float64 { return 0.1 + 0.2*chance.Float64() }
	held := 0
	for range 6000 { // 40 a second, each for 0.2 s: 8 are out, in the mean
		l.pass(chance.ExpFloat64() / 40)
		l.cmd++
		seen := len(l.relays)
		l.b.CommandReceived(l.now, l.cmd, 0, 0, l.now+6, 0) // verb 0 has a fifth of the utility of verb 1
		if len(l.relays) == seen {
			held++
		}
		l.follow(seen)
	}
	if n := len(l.declined); held > 1000 || n > 5 {
		t.Errorf("%d of 6000 commands held and %d declined on a calm day", held, n)
	}
}

// A host that knows the true limit tells of it by a relay that timed out, long before the limit that was told.
func TestALimitToldLongEndsAtItsTrueEnd(t *testing.T) {
	for _, off := range []float64{1.2, 4.8} {
		h := start(t, setup{verb: Verb{Effect: Pure, Goal: 1, TimeLimit: 7, Utility: 1, LateUtility: 0.2},
			limits: Limits{MaxRelays: 4, SecondCopies: true, CancelRelays: true, DeadlineError: off}})
		h.serve(1, 60, 0.1) // copies are learned
		before := len(h.relays)
		for cmd := uint64(101); cmd <= 140; cmd++ {
			h.b.CommandReceived(h.now, cmd, 0, 0, h.now+2+off, 0) // its client waits for 2 s
		}
		h.until(h.now + 2)
		sent := len(h.relays)
		for cmd := uint64(101); cmd <= 140; cmd++ {
			for n := range h.toOf(cmd) {
				h.outcome(cmd, n, TimedOut)
			}
			if len(h.toOf(cmd)) > 0 && !h.ended[cmd] {
				t.Errorf("off by %.1f s: command %d goes on past its true limit", off, cmd)
			}
		}
		if len(h.relays) != sent {
			t.Errorf("off by %.1f s: %d relays after the true limit", off, len(h.relays)-sent)
		}
		if more := sent - before - 40; more > 8 { // the bucket of 60 commands, not one for each that is late
			t.Errorf("off by %.1f s: %d copies of 40 commands", off, more)
		}
		if h.until(h.now + 8); len(h.ended) != 100 {
			t.Errorf("off by %.1f s: %d of 100 commands have their answer", off, len(h.ended))
		}
	}
}

// A start that is told wrong either way by up to 4 s: as long as the backend may be cold it gets no more than a cold one
// can do for certain.
func TestAStartToldWrongIsTakenAtItsLatest(t *testing.T) {
	for _, off := range []float64{-4, 0, 4} {
		h := start(t, setup{})
		b := h.b
		b.Configure(h.now, b.tick, b.place, []Verb{b.verbs[0].Verb}, nil, 0.1, b.limits, ColdStart{InitialCapacity: 0.2, WarmUp: 10, OverloadMultiple: 3, StartError: 4}, false)
		list := ready(6)
		list[0].StartedAt = h.now + off
		b.UpdateBackends(h.now, true, list)
		for from := h.now; h.now < from+13; h.until(h.now + 0.5) {
			truth := 0.2 + 0.8*min(1, (h.now-from)/10) // of its capacity
			if k := b.fleet[slices.IndexFunc(b.fleet, func(k *backend) bool { return k.ID == list[0].ID })]; b.part(k) > truth+1e-9 {
				t.Fatalf("told %+.0f s off: it counts as %.2f of a backend %.1f s after its start, it is %.2f", off, b.part(k), h.now-from, truth)
			}
		}
	}
}

// One verb fails at half of the backends, at once: it is served by the rest, and the other verb goes on as before.
func TestAVerbThatFailsOnSomeBackendsIsServedByTheRest(t *testing.T) {
	h := start(t, setup{})
	chance := rand.New(rand.NewPCG(1, 2))
	served, asked := [2]int{}, [2]int{}
	for cmd := uint64(1); cmd <= 1200; cmd++ {
		verb := int(cmd % 2)
		h.b.CommandReceived(h.now, cmd, verb, 0, h.now+6, 0)
		h.until(h.now + 0.02*chance.Float64())
		for n := 0; n < len(h.toOf(cmd)) && !h.ended[cmd]; n++ {
			if to := h.toOf(cmd)[n]; verb == 1 && to[3] < 3 {
				h.outcome(cmd, n, Errored)
			} else {
				h.outcome(cmd, n, Answered)
			}
		}
		if cmd > 200 {
			asked[verb]++
			if len(h.declined)+len(h.terminated) == 0 {
				served[verb]++
			}
			h.declined, h.terminated = nil, nil
		}
	}
	if ok, bad := float64(served[0])/float64(asked[0]), float64(served[1])/float64(asked[1]); ok < 0.99 || bad < 0.9 {
		t.Errorf("%.3f served of the verb that is well, %.3f of the one that fails at half of the backends", ok, bad)
	}
}

// Connections that were dropped unseen reset the first command on each: pure ones go elsewhere, effectful ones end at
// once, and no backend is left out for it.
func TestConnectionsThatDieIdleCostNoBackend(t *testing.T) {
	for _, effect := range []Effect{Pure, Effectful} {
		h := start(t, setup{verb: Verb{Effect: effect, Goal: 1, TimeLimit: 3, Utility: 1}})
		h.serve(1, 200, 0.05)
		h.until(h.now + 60) // at rest, long enough for all to be dropped
		h.relays = nil
		fresh := map[BackendID]bool{}
		ended := 0
		for cmd := uint64(1001); cmd <= 1100; cmd++ {
			h.b.CommandReceived(h.now, cmd, 0, 0, h.now+3, 0)
			for n := 0; n < len(h.toOf(cmd)) && !h.ended[cmd]; n++ {
				to := h.toOf(cmd)[n]
				result := Answered
				if !fresh[to] {
					result = Reset
				}
				fresh[to] = true
				h.until(h.now + 0.01)
				h.outcome(cmd, n, result)
			}
			if !h.ended[cmd] {
				t.Fatalf("effect %d: command %d waits though its relays have ended", effect, cmd)
			}
			if ended = len(h.declined) + len(h.terminated); effect == Effectful && len(h.toOf(cmd)) > 1 {
				t.Errorf("command %d was sent again", cmd)
			}
		}
		if most := map[Effect]int{Pure: 3, Effectful: 6}[effect]; ended > most {
			t.Errorf("effect %d: %d of 100 commands lost to six dead connections", effect, ended)
		}
		if len(fresh) != 6 {
			t.Errorf("effect %d: only %d of 6 backends are still used", effect, len(fresh))
		}
	}
}

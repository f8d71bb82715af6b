package balance

import (
	"math"
	"slices"
	"testing"
)

type sent struct {
	cmd uint64
	to  BackendID
}

type recall struct {
	cmd   uint64
	relay int
}

type telling struct {
	to   int
	text []byte
}

type wake struct {
	at    float64
	token uint64
}

// fakeHost notes what it is asked for and keeps a clock that brings wakes on time.
type fakeHost struct {
	t          *testing.T
	b          *Balancer
	now        float64
	relays     []sent
	cancels    []uint64
	called     []recall // relays cancelled whose outcome is still to come
	declined   []uint64
	terminated []uint64
	watches    int
	told       []telling
	wakes      []wake
	ended      map[uint64]bool
}

func (h *fakeHost) Relay(cmd uint64, to BackendID) {
	if h.ended[cmd] {
		h.t.Errorf("command %d relayed after its final answer", cmd)
	}
	h.relays = append(h.relays, sent{cmd, to})
}
func (h *fakeHost) Cancel(cmd uint64, n int) {
	h.cancels, h.called = append(h.cancels, cmd), append(h.called, recall{cmd, n})
}
func (h *fakeHost) Decline(cmd uint64, _ float64)    { h.end(cmd); h.declined = append(h.declined, cmd) }
func (h *fakeHost) Terminate(cmd uint64)             { h.end(cmd); h.terminated = append(h.terminated, cmd) }
func (h *fakeHost) StartTimer(s float64, tok uint64) { h.wakes = append(h.wakes, wake{h.now + s, tok}) }
func (h *fakeHost) WatchBackends()                   { h.watches++ }
func (h *fakeHost) SendToPeer(to int, text []byte) {
	h.told = append(h.told, telling{to, slices.Clone(text)})
}

func (h *fakeHost) end(cmd uint64) {
	if h.ended[cmd] {
		h.t.Errorf("command %d got a second final answer", cmd)
	}
	h.ended[cmd] = true
}

// until lets time pass, with the wakes that fall in it.
func (h *fakeHost) until(t float64) {
	for _, r := range h.called {
		h.b.RelayEnded(h.now, r.cmd, r.relay, Cancelled, 0, h.ended[r.cmd], LoadReport{})
	}
	h.called = nil
	for {
		next := -1
		for i, w := range h.wakes {
			if w.at <= t && (next < 0 || w.at < h.wakes[next].at) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		w := h.wakes[next]
		h.wakes = slices.Delete(h.wakes, next, next+1)
		h.now = max(h.now, w.at)
		h.b.TimerFired(h.now, w.token)
	}
	h.now = t
}

// outcome ends a relay after it has been out for so long.
func (h *fakeHost) outcome(cmd uint64, n int, r Result) {
	if r == Answered {
		if !h.ended[cmd] {
			h.end(cmd)
		}
	}
	h.b.RelayEnded(h.now, cmd, n, r, 0.1, r == Answered, LoadReport{})
}

// serve sends commands of verb 0, one after another, and answers each after up to took seconds.
func (h *fakeHost) serve(from uint64, count int, took float64) {
	for i := range count {
		id := from + uint64(i)
		h.b.CommandReceived(h.now, id, 0, 0, h.now+6, 0)
		spent := took * float64(i*37%61+1) / 61
		h.until(h.now + spent)
		h.b.RelayEnded(h.now, id, 0, Answered, spent, true, LoadReport{})
		h.ended[id] = true
		for n := range h.toOf(id) { // losers end soon after, cancelled or not
			h.b.RelayEnded(h.now, id, n, Answered, spent, true, LoadReport{})
		}
	}
}

func (h *fakeHost) toOf(cmd uint64) (to []BackendID) {
	for _, s := range h.relays {
		if s.cmd == cmd {
			to = append(to, s.to)
		}
	}
	return to
}

func id(n int) BackendID { return BackendID{10, 0, 0, byte(n)} }

// ready is a list of warm backends, three to a cell.
func ready(n int) (list []Entry) {
	for i := range n {
		list = append(list, Entry{ID: id(i), Cell: i / 3, Capacity: 1})
	}
	return list
}

type setup struct {
	verb      Verb
	customers []Customer
	limits    Limits
	mustAsk   bool
	backends  []Entry
	place     Placement
	seed      uint64
}

// start makes a Balancer with a pure verb, six backends and the usual limits unless told otherwise.
func start(t *testing.T, s setup) *fakeHost {
	t.Helper()
	h := &fakeHost{t: t, now: 1000, ended: map[uint64]bool{}}
	if s.verb.TimeLimit == 0 {
		s.verb.TimeLimit, s.verb.Goal, s.verb.Utility, s.verb.DedupWindow = 6, 2.5, 1, 5
	}
	if s.limits.MaxRelays == 0 {
		s.limits = Limits{MaxRelays: 4, SecondCopies: true, CancelRelays: true}
	}
	if s.place.Instances == 0 {
		s.place.Instances = 1
	}
	h.b = New(h, 7+s.seed, h.now)
	s.verb.PreviousIndex = -1
	h.b.Configure(h.now, 0.005, s.place, []Verb{s.verb, {Goal: 2.5, TimeLimit: 6, Utility: 5, PreviousIndex: -1}}, s.customers, 0.1,
		s.limits, ColdStart{InitialCapacity: 0.2, WarmUp: 10, OverloadMultiple: 3}, s.mustAsk)
	if s.backends == nil {
		s.backends = ready(6)
	}
	h.b.UpdateBackends(h.now, true, s.backends)
	return h
}

func near(a, b float64) bool { return math.Abs(a-b) < 0.02 }

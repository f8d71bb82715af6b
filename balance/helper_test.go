package balance

import (
	"math"
	"slices"
	"testing"
)

type sentRelay struct {
	cmd uint64
	to  BackendID
}

type cancelledRelay struct {
	cmd   uint64
	relay int
}

type sentMessage struct {
	to   int
	data []byte
}

type timer struct {
	expires float64
	token   uint64
}

// fakeHost records the Balancer's requests and keeps a clock that fires timers on time.
type fakeHost struct {
	t              *testing.T
	b              *Balancer
	now            float64
	relays         []sentRelay
	cancels        []uint64
	pendingCancels []cancelledRelay // cancelled relays whose outcome was not yet reported
	undelivered    []cancelledRelay // relays that were to be cancelled unless they had arrived
	declined       []uint64
	terminated     []uint64
	watchCount     int
	messages       []sentMessage
	timers         []timer
	ended          map[uint64]bool
}

func (h *fakeHost) Relay(cmd uint64, to BackendID) {
	if h.ended[cmd] {
		h.t.Errorf("command %d relayed after its final answer", cmd)
	}
	h.relays = append(h.relays, sentRelay{cmd, to})
}
func (h *fakeHost) Cancel(cmd uint64, n int) {
	h.cancels, h.pendingCancels = append(h.cancels, cmd), append(h.pendingCancels, cancelledRelay{cmd, n})
}
func (h *fakeHost) CancelUndelivered(cmd uint64, n int) {
	h.undelivered = append(h.undelivered, cancelledRelay{cmd, n})
}
func (h *fakeHost) Decline(cmd uint64, _ float64) { h.end(cmd); h.declined = append(h.declined, cmd) }
func (h *fakeHost) Terminate(cmd uint64)          { h.end(cmd); h.terminated = append(h.terminated, cmd) }
func (h *fakeHost) StartTimer(s float64, token uint64) {
	h.timers = append(h.timers, timer{h.now + s, token})
}
func (h *fakeHost) StopTimer(token uint64) {
	h.timers = slices.DeleteFunc(h.timers, func(t timer) bool { return t.token == token })
}
func (h *fakeHost) WatchBackends() { h.watchCount++ }
func (h *fakeHost) SendToPeer(to int, data []byte) {
	h.messages = append(h.messages, sentMessage{to, slices.Clone(data)})
}

func (h *fakeHost) end(cmd uint64) {
	if h.ended[cmd] {
		h.t.Errorf("command %d got a second final answer", cmd)
	}
	h.ended[cmd] = true
}

// advanceTo moves the clock forward and fires the timers that expire meanwhile.
func (h *fakeHost) advanceTo(t float64) {
	for _, r := range h.pendingCancels {
		h.b.RelayEnded(h.now, r.cmd, r.relay, Cancelled, 0, h.ended[r.cmd], LoadReport{})
	}
	h.pendingCancels = nil
	for {
		next := -1
		for i, w := range h.timers {
			if w.expires <= t && (next < 0 || w.expires < h.timers[next].expires) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		w := h.timers[next]
		h.timers = slices.Delete(h.timers, next, next+1)
		h.now = max(h.now, w.expires)
		h.b.TimerFired(h.now, w.token)
	}
	h.now = t
}

// outcome ends a relay with the given result.
func (h *fakeHost) outcome(cmd uint64, n int, r Result) {
	if r == Answered {
		if !h.ended[cmd] {
			h.end(cmd)
		}
	}
	h.b.RelayEnded(h.now, cmd, n, r, 0.1, r == Answered, LoadReport{})
}

// serve sends commands of verb 0 one after another, and answers each after up to took seconds.
func (h *fakeHost) serve(from uint64, count int, took float64) {
	for i := range count {
		id := from + uint64(i)
		h.b.CommandReceived(h.now, id, 0, 0, h.now+6, 0)
		latency := took * float64(i*37%61+1) / 61
		h.advanceTo(h.now + latency)
		h.b.RelayEnded(h.now, id, 0, Answered, latency, true, LoadReport{})
		h.ended[id] = true
		for n := range h.relaysOf(id) { // losing relays end soon after, cancelled or not
			h.b.RelayEnded(h.now, id, n, Answered, latency, true, LoadReport{})
		}
	}
}

// relaysOf returns the backends that a command was relayed to, in order.
func (h *fakeHost) relaysOf(cmd uint64) (to []BackendID) {
	for _, s := range h.relays {
		if s.cmd == cmd {
			to = append(to, s.to)
		}
	}
	return to
}

// id returns the ID of backend number n.
func id(n int) BackendID { return BackendID{10, 0, 0, byte(n)} }

// warmBackends returns a list of warm backends, three per cell.
func warmBackends(n int) (list []Entry) {
	for i := range n {
		list = append(list, Entry{ID: id(i), Cell: i / 3, Capacity: 1})
	}
	return list
}

// setup describes the instance that startBalancer creates; zero values select defaults.
type setup struct {
	verb          Verb
	customers     []Customer
	limits        Limits
	listOnRequest bool
	backends      []Entry
	placement     Placement
	seed          uint64
}

// startBalancer creates a Balancer. By default it has a pure verb, six backends and the usual limits.
func startBalancer(t *testing.T, s setup) *fakeHost {
	t.Helper()
	h := &fakeHost{t: t, now: 1000, ended: map[uint64]bool{}}
	if s.verb.TimeLimit == 0 {
		s.verb.TimeLimit, s.verb.Goal, s.verb.Utility, s.verb.DedupWindow = 6, 2.5, 1, 5
	}
	if s.limits.MaxRelays == 0 {
		s.limits = Limits{MaxRelays: 4, Hedges: true, CancelRelays: true}
	}
	if s.placement.Instances == 0 {
		s.placement.Instances = 1
	}
	h.b = New(h, 7+s.seed, h.now)
	s.verb.PreviousIndex = -1
	h.b.Configure(h.now, 0.005, s.placement, []Verb{s.verb, {Goal: 2.5, TimeLimit: 6, Utility: 5, PreviousIndex: -1}},
		s.customers, 0.1, s.limits, ColdStart{InitialCapacity: 0.2, WarmUp: 10, OverloadMultiple: 3}, s.listOnRequest)
	if s.backends == nil {
		s.backends = warmBackends(6)
	}
	h.b.UpdateBackends(h.now, true, s.backends)
	return h
}

func almostEqual(a, b float64) bool { return math.Abs(a-b) < 0.02 }

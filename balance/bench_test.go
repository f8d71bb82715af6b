package balance

import (
	"fmt"
	"testing"
)

// benchHost records the last relay and fires timers when its clock reaches them.
type benchHost struct {
	b           *Balancer
	now         float64
	lastBackend BackendID
	relays      int
	timers      []timer
	head        int
}

func (h *benchHost) Relay(_ uint64, to BackendID)  { h.lastBackend = to; h.relays++ }
func (h *benchHost) Cancel(uint64, int)            {}
func (h *benchHost) CancelUndelivered(uint64, int) {}
func (h *benchHost) Decline(uint64, float64)       {}
func (h *benchHost) Terminate(uint64)              {}
func (h *benchHost) WatchBackends()                {}
func (h *benchHost) StopTimer(uint64)              {}
func (h *benchHost) SendToPeer(int, []byte)        {}
func (h *benchHost) StartTimer(s float64, token uint64) {
	h.timers = append(h.timers, timer{h.now + s, token})
}

// advance moves the clock forward. Timers fire in the order of their requests, which is close enough to that of
// time.
func (h *benchHost) advance(seconds float64) {
	h.now += seconds
	for h.head < len(h.timers) && h.timers[h.head].expires <= h.now {
		h.b.TimerFired(h.now, h.timers[h.head].token)
		h.head++
	}
	if h.head > 1<<16 {
		h.timers = append(h.timers[:0], h.timers[h.head:]...)
		h.head = 0
	}
}

func benchBalancer(backends, verbs, customers, instances int) *benchHost {
	h := &benchHost{now: 1000}
	h.b = New(h, 7, h.now)
	var vs []Verb
	for range verbs {
		vs = append(vs, Verb{Effect: Pure, Goal: 1, TimeLimit: 3, Utility: 1, LateUtility: 0.5, PreviousIndex: -1})
	}
	var cs []Customer
	for range customers {
		cs = append(cs, Customer{Allowance: 1e6, PreviousIndex: -1})
	}
	h.b.Configure(h.now, 0.001, Placement{Instances: instances}, vs, cs, 0.1,
		Limits{MaxRelays: 3, Hedges: true, CancelRelays: true, MaxRetryAfter: 2},
		ColdStart{InitialCapacity: 0.3, WarmUp: 5, OverloadMultiple: 2}, false)
	h.b.UpdateBackends(h.now, true, benchList(backends))
	return h
}

func benchList(n int) []Entry {
	var all []Entry
	for i := range n {
		all = append(all, Entry{ID: BackendID{10, byte(i >> 16), byte(i >> 8), byte(i)}, Zone: i % 3, Cell: i / 4, Capacity: 1})
	}
	return all
}

// BenchmarkCommand measures a command from its arrival to its last outcome, with a number of other commands open.
func BenchmarkCommand(b *testing.B) {
	for _, c := range []struct{ backends, verbs, customers, open, instances int }{
		{4, 1, 1, 10, 1}, {100, 1, 1, 10, 1}, {1000, 1, 1, 10, 1}, {10000, 1, 1, 10, 1}, {10000, 1, 1, 10, 1000},
		{100, 50, 1, 10, 1}, {100, 1, 5000, 10, 1}, {1000, 1, 1, 1000, 1}, {10000, 1, 1, 10000, 1},
	} {
		b.Run(fmt.Sprintf("backends=%d/verbs=%d/customers=%d/open=%d/siblings=%d",
			c.backends, c.verbs, c.customers, c.open, c.instances), func(b *testing.B) {
			h := benchBalancer(c.backends, c.verbs, c.customers, c.instances)
			id := uint64(0)
			for range c.open {
				id++
				h.b.CommandReceived(h.now, id, int(id)%c.verbs, int(id)%c.customers, h.now+3, 0)
			}
			oldest := uint64(1)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				id++
				h.b.CommandReceived(h.now, id, int(id)%c.verbs, int(id)%c.customers, h.now+3, 0)
				h.advance(1e-5)
				h.b.RelayEnded(h.now, oldest, 0, Answered, 0.01, true, LoadReport{})
				oldest++
			}
		})
	}
}

// BenchmarkFleet measures the update of a whole backend list, and of one changed entry.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{4, 100, 1000, 10000} {
		list := benchList(n)
		h := benchBalancer(n, 1, 1, 1)
		b.Run(fmt.Sprintf("whole/backends=%d", n), func(b *testing.B) {
			for range b.N {
				h.b.UpdateBackends(h.now, true, list)
			}
		})
		b.Run(fmt.Sprintf("change/backends=%d", n), func(b *testing.B) {
			for i := range b.N {
				e := list[i%n]
				e.State = State(i / n % 2)
				h.b.UpdateBackends(h.now, false, []Entry{e})
			}
		})
	}
}

package balance

import "testing"

// Guards against one client that harms others: commands with hardly any time left, at full speed, were relayed and ended at once, which
// counted as fast answers, so that usual answers seemed late and the limit was cut for all.
func TestShortDeadlinesDoNotLowerTheLimit(t *testing.T) {
	for name, left := range map[string]float64{"less than a tick": 0.001, "20 ms": 0.02} {
		t.Run(name, func(t *testing.T) {
			h := startBalancer(t, setup{})
			h.serve(1, 300, 0.5)
			typical, limit := h.b.typicalLatency, h.b.inFlightPerBackend
			if typical == 0 {
				t.Fatal("no typical latency is known")
			}
			const first, count = 10_000, 3000
			for id := uint64(first); id < first+count; id++ {
				h.b.CommandReceived(h.now, id, 0, 0, h.now+left, 0)
				h.advanceTo(h.now + left + 0.001)
				for n := range h.relaysOf(id) {
					h.b.RelayEnded(h.now, id, n, TimedOut, left, true, LoadReport{})
				}
				if !h.ended[id] {
					t.Fatal("a command has no final answer")
				}
			}
			if sent := len(h.relays) - 300; left < 0.005 && sent > 100 {
				t.Errorf("%d of %d commands that could not be answered in time were relayed", sent, count)
			}
			if h.b.typicalLatency < 0.9*typical || h.b.inFlightPerBackend < 0.9*limit {
				t.Errorf("typical latency %.3f s, %.3f before; limit %.2f, %.2f before", h.b.typicalLatency, typical,
					h.b.inFlightPerBackend, limit)
			}
		})
	}
}

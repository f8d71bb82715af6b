package balance

import "testing"

// Guards against giving up an answer that its backend writes slowly: a relay whose answer stalls stays open, and where a repeat
// beside it is allowed another backend is asked, once.
func TestStalledAnswerKeepsItsRelay(t *testing.T) {
	usual := Limits{MaxRelays: 4, Hedges: true, CancelRelays: true}
	noHedges := Limits{MaxRelays: 4, CancelRelays: true}
	for name, c := range map[string]struct {
		effect  Effect
		limits  Limits
		repeats int
	}{
		"pure":                  {Pure, usual, 1},
		"receipted":             {Receipted, usual, 1},
		"effectful":             {Effectful, usual, 0},
		"one relay at a time":   {Pure, noHedges, 0},
		"no relay is left over": {Pure, Limits{MaxRelays: 1, Hedges: true}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			verb := Verb{Effect: c.effect, Scope: ScopeCell, Goal: 2.5, TimeLimit: 6, Utility: 1, DedupWindow: 5, LateUtility: 0.5}
			h := startBalancer(t, setup{verb: verb, limits: c.limits})
			h.b.CommandReceived(h.now, 1, 0, 0, h.now+6, 0)
			for range 3 {
				h.b.RelayStalled(h.now, 1, 0)
			}
			if got := len(h.relaysOf(1)) - 1; got != c.repeats || len(h.cancels) > 0 || h.ended[1] {
				t.Errorf("%d repeats, want %d; cancelled %v, ended %t", got, c.repeats, h.cancels, h.ended[1])
			}
			h.outcome(1, 0, Answered)
			if len(h.cancels) != c.repeats {
				t.Errorf("%d relays cancelled after the answer, want %d", len(h.cancels), c.repeats)
			}
		})
	}
}

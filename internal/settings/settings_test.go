// This file tests which settings are accepted, not their effects.

package settings

import (
	"strings"
	"testing"

	"sandpass/balance"
)

const testSettings = `{"me": 0, "siblings": 2, "tier": 0, "discovery": "pushed", "tick_ms": 5, "overage_utility": 0.1,
 "limits": {"max_relays": 3, "second_copies": true, "cancel": true, "retry_after": false, "max_retry_after_ms": 0},
 "load_info": {"fields": [], "how": "none"}, "safety": {"cold_share": 0.3, "cold_ms": 7400, "fall_multiple": 2.5},
 "verbs": [{"effect": "idempotent", "key_scope": "all", "window_ms": 5000, "response_goal_ms": 2500,
  "time_limit_ms": 6000, "utility": 1, "overdue_utility": 0, "stream": false}]}`

// nopHost ignores all actions of an instance.
type nopHost struct{}

func (nopHost) Relay(uint64, balance.BackendID) {}
func (nopHost) Cancel(uint64, int)              {}
func (nopHost) CancelUndelivered(uint64, int)   {}
func (nopHost) Decline(uint64, float64)         {}
func (nopHost) Terminate(uint64)                {}
func (nopHost) StartTimer(float64, uint64)      {}
func (nopHost) WatchBackends()                  {}
func (nopHost) StopTimer(uint64)                {}
func (nopHost) SendToPeer(int, []byte)          {}

func TestOptionalSettingsAreChecked(t *testing.T) {
	for _, c := range []struct{ insert, want string }{
		{``, ""},
		{`"free_resends": 3, "resend_ratio": 0.1, "counted_over_ms": 5000,`, ""},
		{`"counted_over_ms": 5000,`, ""},
		{`"deadline_error_ms": 1200, "start_drift_ms": 300,`, ""},
		{`"free_resends": 3,`, "safety.counted_over_ms is missing"},
		{`"resend_ratio": 0.1,`, "safety.counted_over_ms is missing"},
		{`"counted_over_ms": 1e9,`, "safety.counted_over_ms is over 600000"},
		{`"resend_ratio": -1, "counted_over_ms": 5000,`, "safety.resend_ratio is below 0"},
		{`"deadline_error_ms": -1,`, "safety.deadline_error_ms is below 0"},
		{`"start_drift_ms": "1",`, "start_drift_ms"},
	} {
		_, _, err := NewBalancer(nopHost{}, 1, 0, []byte(strings.Replace(testSettings, `"safety": {`, `"safety": {`+c.insert, 1)))
		if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want %q", c.insert, err, c.want)
		}
		if err != nil && strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: multi-line error", c.insert)
		}
	}
	negative := strings.Replace(testSettings, `"max_relays": 3`, `"max_relays": 3, "response_room": -2`, 1)
	if _, _, err := NewBalancer(nopHost{}, 1, 0, []byte(negative)); err == nil ||
		!strings.Contains(err.Error(), "limits.response_room") {
		t.Errorf("error %v", err)
	}
}

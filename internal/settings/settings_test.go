// This file owns the tests of what a configuration may say. It must never know what follows from a setting.
package settings

import (
	"strings"
	"testing"

	"sandpass/balance"
)

const text = `{"me": 0, "siblings": 2, "tier": 0, "discovery": "pushed", "tick_ms": 5, "overage_utility": 0.1,
 "limits": {"max_relays": 3, "second_copies": true, "cancel": true, "retry_after": false, "max_retry_after_ms": 0},
 "load_info": {"fields": [], "how": "none"}, "safety": {"cold_share": 0.3, "cold_ms": 7400, "fall_multiple": 2.5},
 "verbs": [{"effect": "idempotent", "key_scope": "all", "window_ms": 5000, "response_goal_ms": 2500,
  "time_limit_ms": 6000, "utility": 1, "overdue_utility": 0, "stream": false}]}`

type noHost struct{}

func (noHost) Relay(uint64, balance.BackendID) {}
func (noHost) Cancel(uint64, int)              {}
func (noHost) Decline(uint64, float64)         {}
func (noHost) Terminate(uint64)                {}
func (noHost) StartTimer(float64, uint64)      {}
func (noHost) WatchBackends()                  {}
func (noHost) SendToPeer(int, []byte)          {}

func TestFurtherRulesAreChecked(t *testing.T) {
	for _, c := range []struct{ put, told string }{
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
		_, _, err := NewBalancer(noHost{}, 1, 0, []byte(strings.Replace(text, `"safety": {`, `"safety": {`+c.put, 1)))
		if (err == nil) != (c.told == "") || err != nil && !strings.Contains(err.Error(), c.told) {
			t.Errorf("%s: told %v, not %q", c.put, err, c.told)
		}
		if err != nil && strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: told more than a line", c.put)
		}
	}
	room := strings.Replace(text, `"max_relays": 3`, `"max_relays": 3, "response_room": -2`, 1)
	if _, _, err := NewBalancer(noHost{}, 1, 0, []byte(room)); err == nil || !strings.Contains(err.Error(), "limits.response_room") {
		t.Errorf("told %v", err)
	}
}

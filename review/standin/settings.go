// This file holds the settings of a small deployment: names, times and limits of ../given/kit/sites/tbilisi-warehouse.toml.

package main

// verbSettings returns the settings of one verb. Times are in milliseconds.
func verbSettings(name, effect, scope string, window, goal, limit int, utility float64) map[string]any {
	return map[string]any{"name": name, "effect": effect, "key_scope": scope, "window_ms": window, "response_goal_ms": goal,
		"time_limit_ms": limit, "utility": utility, "overdue_utility": 0.25, "stream": false}
}

// warehouseVerb returns a verb of tbilisi-warehouse.
func warehouseVerb(name, effect, scope string, utility float64) map[string]any {
	return verbSettings(name, effect, scope, 10000, 2500, 6000, utility)
}

// smallDeployment returns the settings object of a proxy of the first tier. cancel is limits.cancel.
func smallDeployment(cancel bool) map[string]any {
	return map[string]any{
		"me": 0, "siblings": 1, "tier": 0, "tiers": []string{"order-front", "stock-back"}, "discovery": "pushed",
		"azs": []string{"didube-store"}, "zone": 0, "tick_ms": 5, "overage_utility": 0.05,
		"limits": map[string]any{"max_relays": 4, "max_open": 20000, "second_copies": true, "cancel": cancel, "probes": true,
			"peers": false, "retry_after": false, "max_retry_after_ms": 2000, "connect_timeout_ms": 250,
			"conn_idle_ms": 30000, "streams_per_conn": 1},
		"load_info": map[string]any{"fields": []string{"active", "avg_ms"}, "how": "probe"},
		"safety": map[string]any{"cold_share": 0.13, "cold_ms": 24000, "fall_multiple": 3, "fall_ms": 1500,
			"drain_grace_ms": 400, "grace_to_answer_ms": 50},
		"realms": []any{map[string]any{"name": "tbilisi-schools", "allowance_per_s": 1000, "portion": 1}},
		"verbs": []any{warehouseVerb("stock-check", "idempotent", "all", 3), warehouseVerb("place-order", "deduplicated", "cell", 3),
			warehouseVerb("book-delivery", "at_most_once", "all", 10)},
	}
}

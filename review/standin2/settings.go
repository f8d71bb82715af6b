// This file has the settings that proxies are started with: those of a small deployment.

package main

// verb describes one kind of request.
type verb struct {
	name, effect, scope       string
	windowMs, goalMs, limitMs float64
	utility, overdueUtility   float64
}

// verbSettings encodes verbs as the settings have them.
func verbSettings(verbs []verb) (all []any) {
	for _, v := range verbs {
		all = append(all, map[string]any{"name": v.name, "effect": v.effect, "key_scope": v.scope, "window_ms": v.windowMs,
			"response_goal_ms": v.goalMs, "time_limit_ms": v.limitMs, "utility": v.utility, "overdue_utility": v.overdueUtility,
			"stream": false})
	}
	return all
}

// warehouseVerbs are those of tbilisi-warehouse, with their site's figures.
func warehouseVerbs() []verb {
	return []verb{
		{"stock-check", "idempotent", "all", 10000, 2500, 6000, 3, 0.5},
		{"place-order", "deduplicated", "cell", 10000, 2500, 6000, 3, 0.5},
		{"book-delivery", "at_most_once", "all", 10000, 2500, 6000, 10, 0.25},
	}
}

// configuration returns a proxy's configuration.
func configuration(name, listen, discovery string, verbs []verb) map[string]any {
	return map[string]any{
		"name": name, "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings": map[string]any{
			"me": 0, "siblings": 1, "tier": 0, "discovery": "pushed", "azs": []string{"didube-store"}, "zone": 0,
			"limits": map[string]any{"max_relays": 4, "max_open": 1000, "second_copies": true, "cancel": true, "retry_after": false,
				"max_retry_after_ms": 2000, "connect_timeout_ms": 250, "conn_idle_ms": 30000, "peers": false},
			"load_info":       map[string]any{"fields": []string{}, "how": "none"},
			"overage_utility": 0.05,
			"safety":          map[string]any{"cold_share": 0.13, "cold_ms": 24000, "fall_multiple": 3},
			"realms":          []any{map[string]any{"name": "tbilisi-schools", "allowance_per_s": 500}},
			"tick_ms":         5,
			"verbs":           verbSettings(verbs),
		},
	}
}

// officeConfiguration is configuration with the figures of closings-north.
func officeConfiguration(name, listen, discovery string) map[string]any {
	config := configuration(name, listen, discovery, officeVerbs())
	settings := config["settings"].(map[string]any)
	limits := settings["limits"].(map[string]any)
	limits["max_relays"], limits["retry_after"], limits["connect_timeout_ms"], limits["conn_idle_ms"] = 3, true, 200, 15000
	settings["safety"] = map[string]any{"cold_share": 0.13, "cold_ms": 24000, "fall_multiple": 4}
	settings["overage_utility"] = 0.05
	return config
}

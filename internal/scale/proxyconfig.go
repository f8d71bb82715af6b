package scale

import (
	"encoding/json"
	"fmt"

	"sandpass/internal/scale/fleet"
	"sandpass/internal/scale/standin"
)

// Ports on the loopback address of each machine.
const (
	proxyPort   = 9000 // calls
	siblingPort = 9001 // messages between siblings, UDP
	agentPort   = 9002 // discovery agent
	backendPort = 9003 // backend
	lockPort    = 9009 // on the first machine: bound while a run uses the addresses
)

// ListScope selects which backend list of discovery a proxy follows.
type ListScope string

// The scopes of backend lists.
const (
	ServiceList ListScope = "service" // backends of the service that the proxy calls
	WholeList   ListScope = "whole"   // all backends of the fleet, the largest possible list
)

// addresses are the loopback addresses of the machines. Each has its own in 127.0.0.0/8, so that machines can use the same
// ports.
type addresses struct{ net int }

// machine returns the IP address of a machine.
func (a addresses) machine(i int) string { return fmt.Sprintf("127.%d.%d.%d", a.net, i/250, 1+i%250) }

// at returns the address of a port on a machine.
func (a addresses) at(i, port int) string { return fmt.Sprintf("%s:%d", a.machine(i), port) }

// endpoint returns the discovery entry of the backend on a machine.
func endpoint(f *fleet.Fleet, a addresses, i int, status string) standin.Endpoint {
	p := f.Proxies[i]
	return standin.Endpoint{Name: fmt.Sprintf("backend-%d", i+1), Address: a.at(i, backendPort), Zone: f.Zones[p.Zone], Type: "m",
		Group: p.Cell, Status: status, Weight: 1, SinceMS: 1.7e12}
}

// siblingIndexes returns the proxies that follow the same list as proxy i, itself included, and its own index among them.
// Siblings coordinate the number of relays in flight at each backend of the list.
func siblingIndexes(f *fleet.Fleet, i int) (members []int, own int) {
	for k, p := range f.Proxies {
		if p.TargetService != f.Proxies[i].TargetService {
			continue
		}
		if k == i {
			own = len(members)
		}
		members = append(members, k)
	}
	return members, own
}

// verb is a verb in the configuration of a proxy.
type verb struct {
	Name           string  `json:"name"`
	Effect         string  `json:"effect"`
	KeyScope       string  `json:"key_scope"`
	WindowMS       float64 `json:"window_ms"`
	ResponseGoalMS float64 `json:"response_goal_ms"`
	TimeLimitMS    float64 `json:"time_limit_ms"`
	Utility        float64 `json:"utility"`
	OverdueUtility float64 `json:"overdue_utility"`
	Stream         bool    `json:"stream"`
}

// proxyConfig is the configuration file of a proxy.
type proxyConfig struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`
	Discovery string         `json:"discovery"`
	Seed      string         `json:"seed"`
	Limits    map[string]any `json:"limits"`
	Peers     []string       `json:"peers,omitempty"`
	Settings  settings       `json:"settings"`
}

// settings is the part of the configuration that the load balancing uses.
type settings struct {
	Me             int                `json:"me"`
	Siblings       int                `json:"siblings"`
	Tier           int                `json:"tier"`
	Zone           int                `json:"zone"`
	Discovery      string             `json:"discovery"`
	Zones          []string           `json:"azs"`
	TickMS         float64            `json:"tick_ms"`
	Limits         map[string]any     `json:"limits"`
	LoadInfo       map[string]any     `json:"load_info"`
	OverageUtility float64            `json:"overage_utility"`
	Safety         map[string]float64 `json:"safety"`
	Realms         []map[string]any   `json:"realms"`
	Verbs          []verb             `json:"verbs"`
}

// newProxyConfig returns the configuration of a proxy. peers are the addresses of its siblings and itself, in which it is the
// one at index own. Without peers, siblings exchange no messages.
func newProxyConfig(f *fleet.Fleet, a addresses, i int, peers []string, own int) proxyConfig {
	call := verb{Name: "pay", Effect: "at_most_once", KeyScope: "all", WindowMS: 5000, ResponseGoalMS: 5000, TimeLimitMS: 10000,
		Utility: 1, OverdueUtility: 0.5}
	return proxyConfig{
		Name: f.Proxies[i].Name, Listen: a.at(i, proxyPort), Discovery: a.at(i, agentPort),
		Seed:   fmt.Sprintf("%016x", f.Sizes.Seed<<32+uint64(i)),
		Limits: map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		Peers:  peers,
		Settings: settings{
			Me: own, Siblings: max(1, len(peers)), Zone: f.Proxies[i].Zone, Discovery: "pushed", Zones: f.Zones, TickMS: 5,
			Limits: map[string]any{"max_relays": 3, "max_open": 1000, "second_copies": false, "cancel": true, "retry_after": true,
				"max_retry_after_ms": 2000, "connect_timeout_ms": 250, "conn_idle_ms": 30000, "peers": len(peers) > 0},
			LoadInfo: map[string]any{"fields": []string{}, "how": "none"}, OverageUtility: 0.1,
			Safety: map[string]float64{"cold_share": 0.3, "cold_ms": 5000, "fall_multiple": 2.5},
			Realms: []map[string]any{{"name": "c0", "allowance_per_s": 1e6}},
			Verbs:  []verb{call},
		},
	}
}

// marshal returns the configuration in JSON.
func (c proxyConfig) marshal() (json.RawMessage, error) { return json.Marshal(c) }

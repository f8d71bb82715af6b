// Package fleet describes a fleet by a few sizes and generates its zones, services, call graph and proxies from a seed.
//
// It does no I/O. The same sizes and seed generate the same fleet in every process, so that no fleet has to be sent to
// helper processes.
package fleet

import (
	"fmt"

	"sandpass/internal/tomlconfig"
)

// Sizes are the parameters that a fleet is generated from. A key that is left out keeps the operators' size, see Default.
// The JSON data file contains the fields under their Go names.
type Sizes struct {
	Seed            uint64  `toml:"seed"`
	Proxies         int     `toml:"proxies"`          // one beside each backend
	Services        int     `toml:"services"`         // that the backends belong to
	CallsPerSecond  float64 `toml:"calls_per_second"` // in the whole fleet, including calls between services
	Depth           int     `toml:"depth"`            // maximum number of services on the path of a call
	Regions         int     `toml:"regions"`
	Zones           int     `toml:"zones"`
	ChangesPerDay   float64 `toml:"changes_per_day"`  // configuration changes
	RestartsPerDay  float64 `toml:"restarts_per_day"` // restarts of a backend together with its proxy
	ControlMachines int     `toml:"control_machines"`

	// Assumptions: the operators have not specified these.
	CalledLeast int     `toml:"called_least"`  // minimum number of services that a service calls
	CalledMost  int     `toml:"called_most"`   // maximum number of services that a service calls
	FrontShare  float64 `toml:"front_share"`   // share of the services that receive calls from outside
	LatencyMS   float64 `toml:"latency_ms"`    // one way between two regions
	ChangeBytes int     `toml:"change_bytes"`  // size of a configuration change
	CellSize    int     `toml:"cell_backends"` // backends per cell, which share a coordinator
}

// Budget is the resource limits that the operators set.
type Budget struct {
	ProxyCPU       float64 // share of a core that a proxy may use for control traffic
	ProxyMemory    float64 // bytes
	ProxyTraffic   float64 // bytes per second
	InForceSeconds float64 // until a configuration change is in force at every proxy
	AddedSeconds   float64 // latency added by the proxy, 99th percentile
}

// OperatorBudget is the budget that the operators have set.
var OperatorBudget = Budget{ProxyCPU: 0.013, ProxyMemory: 64e6, ProxyTraffic: 7000, InForceSeconds: 3, AddedSeconds: 0.0006}

// Default returns the sizes of the fleet that the operators plan for.
func Default() Sizes {
	return Sizes{
		Seed: 1, Proxies: 560, Services: 51, CallsPerSecond: 88_000, Depth: 11, Regions: 3, Zones: 11,
		ChangesPerDay: 810, RestartsPerDay: 220, ControlMachines: 5,
		CalledLeast: 1, CalledMost: 5, FrontShare: 0.1, LatencyMS: 35, ChangeBytes: 2000, CellSize: 5,
	}
}

// Parse reads sizes in TOML on top of the defaults. An error is one line that gives the position.
func Parse(text []byte) (Sizes, error) {
	s := Default()
	if err := tomlconfig.Decode(text, &s); err != nil {
		return s, err
	}
	return s, s.Validate()
}

// Validate returns an error for the first size that is out of range.
func (s Sizes) Validate() error {
	for _, bound := range []struct {
		key                    string
		value, lowest, highest float64
	}{
		{"proxies", float64(s.Proxies), 1, 20_000},
		{"services", float64(s.Services), 1, float64(s.Proxies)},
		{"calls_per_second", s.CallsPerSecond, 0, 1e8},
		{"depth", float64(s.Depth), 1, 64},
		{"regions", float64(s.Regions), 1, 64},
		{"zones", float64(s.Zones), float64(s.Regions), 256},
		{"changes_per_day", s.ChangesPerDay, 0, 1e6},
		{"restarts_per_day", s.RestartsPerDay, 0, 1e6},
		{"control_machines", float64(s.ControlMachines), 1, 9},
		{"called_least", float64(s.CalledLeast), 0, 64},
		{"called_most", float64(s.CalledMost), float64(s.CalledLeast), 64},
		{"front_share", s.FrontShare, 0, 1},
		{"latency_ms", s.LatencyMS, 0, 1000},
		{"change_bytes", float64(s.ChangeBytes), 0, 1 << 20},
		{"cell_backends", float64(s.CellSize), 1, 1000},
	} {
		if !(bound.value >= bound.lowest && bound.value <= bound.highest) {
			return fmt.Errorf("%s = %v is not between %v and %v", bound.key, bound.value, bound.lowest, bound.highest)
		}
	}
	return nil
}

// ScaledTo returns the sizes for another number of proxies. Services, calls and restarts scale with it; the numbers of
// changes, zones and regions and the depth of the call graph stay.
func (s Sizes) ScaledTo(proxies int) Sizes {
	ratio := float64(proxies) / float64(s.Proxies)
	s.Services = min(proxies, max(1, int(ratio*float64(s.Services)+0.5)))
	s.CallsPerSecond *= ratio
	s.RestartsPerDay *= ratio
	s.Proxies = proxies
	return s
}

// Package fleet describes a fleet by a few sizes and generates its zones, services, call graph and proxies from a seed.
//
// It is free of I/O. The same sizes and seed give the same fleet in every process, so that helpers need not be sent one.
package fleet

import (
	"fmt"

	"sandpass/internal/tomlconfig"
)

// Sizes are the figures that a fleet is generated from. What is not given is the operators' size.
type Sizes struct {
	Seed            uint64  `toml:"seed"`
	Proxies         int     `toml:"proxies"`          // each beside one backend
	Services        int     `toml:"services"`         // that the backends belong to
	CallsPerSecond  float64 `toml:"calls_per_second"` // of the whole fleet, calls between services included
	Depth           int     `toml:"depth"`            // services that a call passes at most
	Regions         int     `toml:"regions"`
	Zones           int     `toml:"zones"`
	ChangesPerDay   float64 `toml:"changes_per_day"`  // of configuration
	RestartsPerDay  float64 `toml:"restarts_per_day"` // of backends, each with its proxy
	ControlMachines int     `toml:"control_machines"`

	// What the operators have not said: assumptions.
	CalledLeast int     `toml:"called_least"`  // services that a service calls
	CalledMost  int     `toml:"called_most"`   // the same
	FrontShare  float64 `toml:"front_share"`   // part of the services that get calls from outside
	LatencyMS   float64 `toml:"latency_ms"`    // between two regions, one way
	ChangeBytes int     `toml:"change_bytes"`  // of a change of configuration
	CellSize    int     `toml:"cell_backends"` // backends of a cell, which share a keeper
}

// Budget is what the operators allow.
type Budget struct {
	ProxyCPU       float64 // part of a core that a proxy spends for control
	ProxyMemory    float64 // bytes
	ProxyTraffic   float64 // bytes a second
	InForceSeconds float64 // until a change is in force everywhere
	AddedSeconds   float64 // for 99 of 100 calls
}

// Operators is the operators' budget.
var OperatorBudget = Budget{ProxyCPU: 0.013, ProxyMemory: 64e6, ProxyTraffic: 7000, InForceSeconds: 3, AddedSeconds: 0.0006}

// Default is the size that the operators design for.
func Default() Sizes {
	return Sizes{
		Seed: 1, Proxies: 560, Services: 51, CallsPerSecond: 88_000, Depth: 11, Regions: 3, Zones: 11,
		ChangesPerDay: 810, RestartsPerDay: 220, ControlMachines: 5,
		CalledLeast: 1, CalledMost: 5, FrontShare: 0.1, LatencyMS: 35, ChangeBytes: 2000, CellSize: 5,
	}
}

// Parse reads sizes over the default. The error is one line with the place.
func Parse(text []byte) (Sizes, error) {
	s := Default()
	if err := tomlconfig.Decode(text, &s); err != nil {
		return s, err
	}
	return s, s.Validate()
}

// Check tells the first size that no fleet can have.
func (s Sizes) Validate() error {
	for _, bound := range []struct {
		key               string
		value, least, top float64
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
		if !(bound.value >= bound.least && bound.value <= bound.top) {
			return fmt.Errorf("%s = %v is not between %v and %v", bound.key, bound.value, bound.least, bound.top)
		}
	}
	return nil
}

// ScaledTo is the same fleet with another number of proxies: services, calls and restarts grow with it, the number of
// changes, zones and regions and the depth of the graph stay.
func (s Sizes) ScaledTo(proxies int) Sizes {
	part := float64(proxies) / float64(s.Proxies)
	s.Services = min(proxies, max(1, int(part*float64(s.Services)+0.5)))
	s.CallsPerSecond *= part
	s.RestartsPerDay *= part
	s.Proxies = proxies
	return s
}

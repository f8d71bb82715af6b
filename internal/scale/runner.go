package scale

import (
	"context"
	"fmt"
	"time"

	"sandpass/internal/scale/fleet"
)

// Measure is a whole run, in parts.
type Runner struct {
	Sizes       fleet.Sizes
	ProxyCounts []int // numbers of proxies of the slopes, rising
	RealProxies int   // proxies that are real processes, in slopes and events
	Programs    Programs
	Progress    func(string)
	EventNames  []string // names of control's events; nil: all of them
}

// Part measures one part and puts its figures into the data.
func (m *Runner) MeasurePart(ctx context.Context, part string, data *Data) (err error) {
	var series []Series
	switch part {
	case "likeness":
		data.Comparisons, err = CompareInProcess(ctx, ComparisonOptions{ProxiesEach: 20, Restarts: 40, RestartsPerSecond: 5, CallsPerSecond: 60, CallSeconds: 8,
			IdleTime: 4 * time.Second,
			Replicas: m.Sizes.ControlMachines, Changes: 10}, m.Programs)
	case "keepers":
		series, err = SiblingSlopes(ctx, SiblingOptions{Siblings: []int{2, 4, 8, 12, 16}, Rates: []float64{39, 79, 118, 157, 236},
			FixedSiblings: 6, FixedRate: 20, Seconds: 6},
			m.Programs, m.Progress)
	case "slopes":
		series, err = ProxySlopes(ctx, SlopeOptions{Sizes: m.Sizes, ProxyCounts: m.ProxyCounts, FitUpTo: m.Sizes.Proxies, RealProxies: m.RealProxies,
			IdleTime: 8 * time.Second,
			Restarts: 60, RestartsPerSecond: 8, ListScopes: []ListScope{ServiceList, WholeList}}, m.Programs, m.Progress)
	case "otherslopes":
		series, err = ServiceAndChangeSlopes(ctx, m)
	case "events":
		for _, lists := range []ListScope{ServiceList, WholeList} {
			var events []Event
			events, err = RunEvents(ctx, EventOptions{Sizes: m.Sizes, RealProxies: m.RealProxies, ListScope: lists, Burst: 30, BurstWindow: time.Minute,
				Restarts: int(m.Sizes.RestartsPerDay), RestartBatch: 10, DiscoveryOutage: 30 * time.Second, RegionOutage: time.Minute}, m.Programs, m.Progress)
			for _, e := range events {
				data.replaceEvent(e)
			}
			if err != nil {
				break
			}
		}
	case "control":
		var events []Event
		events, err = RunControlEvents(ctx, ControlOptions{Sizes: m.Sizes, RealProxies: m.RealProxies, Replicas: m.Sizes.ControlMachines,
			Changes: 10, Burst: 30,
			BurstWindow: time.Minute, RegionOutage: time.Minute, EventNames: m.EventNames}, m.Programs, m.Progress)
		for _, e := range events {
			data.replaceEvent(e)
		}
	case "controlslopes":
		series, err = ControlSlopes(ctx, SlopeOptions{Sizes: m.Sizes, ProxyCounts: m.ProxyCounts, FitUpTo: m.Sizes.Proxies, RealProxies: m.RealProxies,
			IdleTime: 8 * time.Second},
			[]int{m.Sizes.ControlMachines, 3}, 5, m.Programs, m.Progress)
	case "added":
		const ownRate = 157 // calls a second at each proxy of the operators' size
		var added []AddedLatency
		added, err = MeasureAddedLatency(ctx, AddedLatencyOptions{Rates: []float64{ownRate, 2 * ownRate}, ChainRate: ownRate, Depth: m.Sizes.Depth,
			Connections: 4, Seconds: 5, Rounds: 4}, m.Programs, m.Progress)
		for _, a := range added {
			data.replaceAdded(a)
		}
	default:
		return fmt.Errorf("part %q is unknown", part)
	}
	if err == nil {
		data.replaceSeries(series)
	}
	return err
}

package scale

import (
	"context"
	"fmt"
	"time"

	"sandpass/internal/scale/fleet"
)

// Runner runs the parts of a scale run. Each part measures one aspect.
type Runner struct {
	Sizes       fleet.Sizes
	ProxyCounts []int // numbers of proxies at which growth is measured, ascending
	RealProxies int   // number of proxies with a process of their own, in slopes and events
	Programs    Programs
	Progress    func(string) // receives a description of each completed step
	EventNames  []string     // events of the part control to run; nil: all
}

// MeasurePart measures one part and stores its results in the data. On an error, events that were measured before are kept.
func (r *Runner) MeasurePart(ctx context.Context, part string, data *Data) (err error) {
	var series []Series
	switch part {
	case "likeness":
		data.Comparisons, err = CompareInProcess(ctx, ComparisonOptions{ProxiesEach: 20, Restarts: 40, RestartsPerSecond: 5,
			CallsPerSecond: 60, CallSeconds: 8, IdleTime: 4 * time.Second,
			Replicas: r.Sizes.ControlMachines, Changes: 10}, r.Programs)
	case "keepers":
		series, err = SiblingSlopes(ctx, SiblingOptions{Siblings: []int{2, 4, 8, 12, 16}, Rates: []float64{39, 79, 118, 157, 236},
			FixedSiblings: 6, FixedRate: 20, Seconds: 6},
			r.Programs, r.Progress)
	case "slopes":
		series, err = ProxySlopes(ctx, SlopeOptions{Sizes: r.Sizes, ProxyCounts: r.ProxyCounts, FitUpTo: r.Sizes.Proxies,
			RealProxies: r.RealProxies, IdleTime: 8 * time.Second,
			Restarts: 60, RestartsPerSecond: 8, ListScopes: []ListScope{ServiceList, WholeList}}, r.Programs, r.Progress)
	case "otherslopes":
		series, err = ServiceAndChangeSlopes(ctx, r)
	case "events":
		for _, lists := range []ListScope{ServiceList, WholeList} {
			var events []Event
			events, err = RunEvents(ctx, EventOptions{Sizes: r.Sizes, RealProxies: r.RealProxies, ListScope: lists, Burst: 30,
				BurstWindow: time.Minute,
				Restarts:    int(r.Sizes.RestartsPerDay), RestartBatch: 10, DiscoveryOutage: 30 * time.Second,
				RegionOutage: time.Minute}, r.Programs, r.Progress)
			for _, e := range events {
				data.replaceEvent(e)
			}
			if err != nil {
				break
			}
		}
	case "control":
		var events []Event
		events, err = RunControlEvents(ctx, ControlOptions{Sizes: r.Sizes, RealProxies: r.RealProxies,
			Replicas: r.Sizes.ControlMachines, Changes: 10, Burst: 30,
			BurstWindow: time.Minute, RegionOutage: time.Minute, EventNames: r.EventNames}, r.Programs, r.Progress)
		for _, e := range events {
			data.replaceEvent(e)
		}
	case "controlslopes":
		series, err = ControlSlopes(ctx, SlopeOptions{Sizes: r.Sizes, ProxyCounts: r.ProxyCounts, FitUpTo: r.Sizes.Proxies,
			RealProxies: r.RealProxies, IdleTime: 8 * time.Second},
			[]int{r.Sizes.ControlMachines, 3}, 5, r.Programs, r.Progress)
	case "added":
		const callsPerProxy = 157 // calls per second at each proxy in a fleet of the operators' size
		var added []AddedLatency
		added, err = MeasureAddedLatency(ctx, AddedLatencyOptions{Rates: []float64{callsPerProxy, 2 * callsPerProxy},
			ChainRate: callsPerProxy, Depth: r.Sizes.Depth, Connections: 4, Seconds: 5, Rounds: 4}, r.Programs, r.Progress)
		for _, a := range added {
			data.replaceAdded(a)
		}
	default:
		return fmt.Errorf("unknown part %q", part)
	}
	if err == nil {
		data.replaceSeries(series)
	}
	return err
}

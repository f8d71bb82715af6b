package scale

import (
	"context"
	"errors"
	"os"
	"testing"
	"time"

	"sandpass/internal/scale/fit"
	"sandpass/internal/scale/fleet"
)

// TestGrowthModelsOfSmallFleet checks counts, bytes and growth models, but nothing that depends on the speed of the machine.
func TestGrowthModelsOfSmallFleet(t *testing.T) {
	t.Parallel()
	o := SlopeOptions{Sizes: fleet.Default(), ProxyCounts: []int{8, 16, 32, 64}, FitUpTo: 32, RealProxies: 2,
		IdleTime: 2 * time.Second, Restarts: 8, RestartsPerSecond: 8, ListScopes: []ListScope{WholeList}}
	series, err := ProxySlopes(context.Background(), o, programs(), func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	d := Data{Series: series}
	for _, c := range []struct {
		role, figure string
		model        fit.Model
		tolerance    float64 // tolerance of the prediction at twice the largest fitted size
	}{
		{roleProxy, "whole list, in, bytes", fit.Linear, 0.02},
		{roleProxy, "each backend restarted once, list watch in, bytes", fit.Linear, 0.05},
		{roleDiscovery, "all ask for whole lists, out, bytes", fit.Square, 0.05},
		{roleDiscovery, "all ask for whole lists, connections, connections", fit.Linear, 0.001},
	} {
		s := d.findSeries(c.role, c.figure, ByProxies, "whole list")
		if s == nil {
			t.Errorf("%s was not measured", c.figure)
			continue
		}
		if s.Fit.Model != c.model {
			t.Errorf("%s: fitted model %s, want %s: %v", c.figure, s.Fit.Model, c.model, s.Points)
		}
		if off := s.Predicted.Error(); off > c.tolerance || off < -c.tolerance {
			t.Errorf("%s: predicted %.0f, measured %.0f", c.figure, s.Predicted.Predicted, s.Predicted.Measured)
		}
	}
}

func TestEventsInSmallFleet(t *testing.T) {
	t.Parallel()
	sizes := fleet.Default().ScaledTo(33)
	o := EventOptions{Sizes: sizes, RealProxies: 2, ListScope: WholeList, Burst: 3, BurstWindow: time.Second, Restarts: 8,
		RestartBatch: 4, DiscoveryOutage: 4 * time.Second, RegionOutage: 4 * time.Second}
	events, err := RunEvents(context.Background(), o, programs(), func(what string) { t.Log(what) })
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range events {
		t.Logf("%+v", e)
		if e.InForce != nil && e.InForce.Values%33 != 0 {
			t.Errorf("%s: %d values, want a multiple of 33, the number of proxies", e.Name, e.InForce.Values)
		}
	}
	last := events[len(events)-1]
	if last.Connections < 33 {
		t.Errorf("%d connections after all 33 agents were silent, want at least 33", last.Connections)
	}
	if whole := float64(33 * 142); last.Peaks[0].TotalBytes < whole {
		t.Errorf("%.0f bytes at a proxy that received the whole list again, want at least 33 entries of 142 bytes",
			last.Peaks[0].TotalBytes)
	}
}

func TestDeployRejectsTooManyProcesses(t *testing.T) {
	plan := Plan{Fleet: fleet.Generate(fleet.Default()), RealProxies: maxProcesses, ListScope: ServiceList}
	if _, _, err := Deploy(context.Background(), plan, programs()); !errors.Is(err, ErrResourceLimit) {
		t.Errorf("error %v, want ErrResourceLimit", err)
	}
}

func TestInterruptedRunLeavesNothingBehind(t *testing.T) {
	t.Parallel()
	ctx, interrupt := context.WithCancel(context.Background())
	plan := Plan{Fleet: fleet.Generate(fleet.Default().ScaledTo(12)), RealProxies: 2, ListScope: ServiceList}
	d, running, err := Deploy(ctx, plan, programs())
	if err != nil {
		t.Fatal(err)
	}
	processes := d.processIDs()
	interrupt()
	if err := sleep(running, time.Minute); !errors.Is(err, context.Canceled) {
		t.Errorf("the run was not cancelled: %v", err)
	}
	d.Close()
	for role, pids := range processes {
		for _, pid := range pids {
			if err := checkProcessExists(pid); err == nil {
				t.Errorf("%s process %d still exists", role, pid)
			}
		}
	}
	if _, err := os.Stat(d.directory); err == nil {
		t.Error("the directory of the run still exists")
	}
}

func TestCallsThroughChainSucceed(t *testing.T) {
	t.Parallel()
	o := AddedLatencyOptions{Rates: []float64{50}, ChainRate: 50, Depth: 4, Connections: 2, Seconds: 1, Rounds: 1}
	all, err := MeasureAddedLatency(context.Background(), o, programs(), func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	for _, a := range all {
		t.Logf("%+v", a)
		if a.Failed > 0 {
			t.Errorf("%s: %d calls failed", a.Name, a.Failed)
		}
	}
}

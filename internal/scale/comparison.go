package scale

import (
	"context"
	"errors"
	"fmt"
	"time"

	"sandpass/internal/scale/fleet"
	"sandpass/internal/scale/meter"
)

const (
	maxReportDelay     = 5 * time.Second // until a proxy's report on an applied change has arrived
	reportPollInterval = 10 * time.Millisecond
)

// ComparisonTolerance is the relative difference up to which in-process proxies count as equal to real ones.
const ComparisonTolerance = 0.05

// ComparisonOptions are the parameters of the comparison of in-process proxies with real ones.
type ComparisonOptions struct {
	ProxiesEach       int     // number of proxies of each kind
	Restarts          int     // backend restarts in each of the two services
	RestartsPerSecond float64 // backend restarts per second
	CallsPerSecond    float64 // calls per second to each proxy while messages between siblings are counted
	CallSeconds       float64
	IdleTime          time.Duration
	Replicas          int  // control replicas
	Changes           int  // configuration changes
	SeedDefect        bool // for tests: the in-process proxies do not run
}

// CompareInProcess runs in-process and real proxies through the same changes and compares their traffic, counted at the
// sockets. They form two services of the same shape: the n-th in-process proxy has the same position in its service as the n-th
// real one.
func CompareInProcess(ctx context.Context, o ComparisonOptions, programs Programs) ([]Comparison, error) {
	sizes := fleet.Default()
	sizes.Proxies, sizes.Services, sizes.Depth, sizes.FrontShare = 2*o.ProxiesEach, 2, 1, 1
	plan := Plan{Fleet: fleet.Generate(sizes), RealProxies: o.ProxiesEach, ListScope: ServiceList, Peers: true,
		CountedProxies: 2 * o.ProxiesEach, SeedDefect: o.SeedDefect, Replicas: o.Replicas}
	d, ctx, err := Deploy(ctx, plan, programs)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	if err := d.startBackends(); err != nil {
		return nil, err
	}
	var all []Comparison
	restarts, err := d.measure(func() error {
		return errors.Join(sleep(ctx, o.IdleTime), d.restartBackendPairs(ctx, o))
	})
	if err != nil {
		return nil, err
	}
	all = append(all, compareTraffic("list watch, restarts", restarts.traffic, o.ProxiesEach)...)
	if !o.SeedDefect {
		reconnect, err := d.measure(func() error {
			_, err := d.reconnectAll(ctx)
			return err
		})
		if err != nil {
			return nil, err
		}
		all = append(all, compareTraffic("list watch, whole lists", reconnect.traffic, o.ProxiesEach)...)
	}
	if o.Replicas > 0 {
		config, err := d.changeConfigs(ctx, o)
		if err != nil {
			return nil, err
		}
		all = append(all, compareTraffic("configuration watch, changes", config, o.ProxiesEach)...)
	}
	before := d.siblingLinks.traffic()
	if _, failed := d.sendCalls(ctx, allProxies(plan.Fleet), o.CallsPerSecond, o.CallSeconds); failed > 0 && !o.SeedDefect {
		return nil, fmt.Errorf("%d calls failed", failed)
	}
	messages := d.siblingLinks.traffic()
	for i := range messages {
		messages[i] = messages[i].Minus(before[i])
	}
	return append(all, compareTraffic("siblings' messages", messages, o.ProxiesEach)...), nil
}

// changeConfigs changes the configuration of all proxies and returns the traffic of each with control for that, without the
// heartbeats that fall into the same time.
func (d *Deployment) changeConfigs(ctx context.Context, o ComparisonOptions) ([]meter.Traffic, error) {
	wanted := 2 * o.ProxiesEach
	if o.SeedDefect {
		wanted = o.ProxiesEach
	}
	before, heartbeats := d.control.proxyTraffic(), d.control.proxyHeartbeats()
	operator := operator{deployment: d}
	for range o.Changes {
		if _, err := operator.change(ctx, false, wanted); err != nil {
			return nil, err
		}
	}
	if err := d.awaitReports(ctx, before, wanted, o.Changes); err != nil {
		return nil, err
	}
	after, heartbeatsAfter := d.control.proxyTraffic(), d.control.proxyHeartbeats()
	for i := range after {
		after[i] = after[i].Minus(before[i]).Minus(heartbeatsAfter[i].Minus(heartbeats[i]))
	}
	return after, nil
}

// awaitReports waits until the first proxies have sent a report on each change, for at most maxReportDelay.
func (d *Deployment) awaitReports(ctx context.Context, before []meter.Traffic, proxies, changes int) error {
	for deadline := time.Now().Add(maxReportDelay); time.Now().Before(deadline); {
		reported := true
		for i, t := range d.control.proxyTraffic()[:proxies] {
			reported = reported && t.Minus(before[i]).MessagesOut >= int64(changes)
		}
		if reported {
			return nil
		}
		if err := sleep(ctx, reportPollInterval); err != nil {
			return err
		}
	}
	return nil
}

// restartBackendPairs restarts the same backend of both services at the same time.
func (d *Deployment) restartBackendPairs(ctx context.Context, o ComparisonOptions) error {
	const states = 3
	for k := range o.Restarts {
		i := k % o.ProxiesEach
		for _, status := range []string{"draining", "gone", "ready"} {
			if err := d.updateBackends([]int{i, i + o.ProxiesEach}, status); err != nil {
				return err
			}
			if err := sleep(ctx, time.Duration(float64(time.Second)/o.RestartsPerSecond/states)); err != nil {
				return err
			}
		}
	}
	return nil
}

// allProxies returns the indexes of all proxies of a fleet.
func allProxies(f *fleet.Fleet) []int {
	return indexes(len(f.Proxies))
}

// compareTraffic compares the four counts of traffic. The first proxies are the real ones.
func compareTraffic(name string, traffic []meter.Traffic, real int) (all []Comparison) {
	for _, k := range []struct {
		name  string
		value func(meter.Traffic) int64
	}{{"bytes in", bytesIn}, {"bytes out", bytesOut}, {"messages in", messagesIn}, {"messages out", messagesOut}} {
		all = append(all, Comparison{Kind: name + ", " + k.name, Real: mean(traffic[:real], k.value),
			InProcess: mean(traffic[real:], k.value)})
	}
	return all
}

// OutsideTolerance returns the comparisons that differ by more than ComparisonTolerance.
func OutsideTolerance(all []Comparison) (outside []Comparison) {
	for _, c := range all {
		if c.RelativeDifference() > ComparisonTolerance || c.RelativeDifference() < -ComparisonTolerance {
			outside = append(outside, c)
		}
	}
	return outside
}

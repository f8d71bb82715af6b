package scale

import (
	"context"
	"errors"
	"fmt"
	"time"

	"sandpass/internal/scale/fleet"
	"sandpass/internal/scale/meter"
)

// LikenessWithin is by which part a kind of traffic of hollow proxies may differ from that of real ones.
const ComparisonTolerance = 0.05

// LikenessOptions say how hollow and real proxies are compared.
type ComparisonOptions struct {
	ProxiesEach       int     // proxies of each sort
	Restarts          int     // of backends
	RestartsPerSecond float64 // a second
	CallsPerSecond    float64 // a second to each proxy, while siblings' messages are counted
	CallSeconds       float64
	IdleTime          time.Duration
	Replicas          int  // of control
	Changes           int  // of configuration
	SeedDefect        bool // for tests: a hollow proxy that does nothing
}

// Compare runs hollow and real proxies side by side through the same changes, and counts both at the sockets. They are two
// services of the same shape: the n-th hollow proxy has the same place in its service as the n-th real one.
func CompareInProcess(ctx context.Context, o ComparisonOptions, programs Programs) ([]Comparison, error) {
	sizes := fleet.Default()
	sizes.Proxies, sizes.Services, sizes.Depth, sizes.FrontShare = 2*o.ProxiesEach, 2, 1, 1
	plan := Plan{Fleet: fleet.Generate(sizes), RealProxies: o.ProxiesEach, ListScope: ServiceList, Peers: true, CountedProxies: 2 * o.ProxiesEach,
		SeedDefect: o.SeedDefect,
		Replicas:   o.Replicas}
	r, ctx, err := Deploy(ctx, plan, programs)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	if err := r.startBackends(); err != nil {
		return nil, err
	}
	var all []Comparison
	watch, err := r.measure(func() error {
		return errors.Join(sleep(ctx, o.IdleTime), r.restartBackendPairs(ctx, o))
	})
	if err != nil {
		return nil, err
	}
	all = append(all, compareTraffic("list watch, restarts", watch.traffic, o.ProxiesEach)...)
	if !o.SeedDefect {
		back, err := r.measure(func() error {
			_, err := r.reconnectAll(ctx)
			return err
		})
		if err != nil {
			return nil, err
		}
		all = append(all, compareTraffic("list watch, whole lists", back.traffic, o.ProxiesEach)...)
	}
	if o.Replicas > 0 {
		config, err := r.changeConfigs(ctx, o)
		if err != nil {
			return nil, err
		}
		all = append(all, compareTraffic("configuration watch, changes", config, o.ProxiesEach)...)
	}
	before := r.siblingLinks.traffic()
	if _, bad := r.sendCalls(ctx, allProxies(plan.Fleet), o.CallsPerSecond, o.CallSeconds); bad > 0 && !o.SeedDefect {
		return nil, fmt.Errorf("%d calls failed", bad)
	}
	notes := r.siblingLinks.traffic()
	for i := range notes {
		notes[i] = notes[i].Minus(before[i])
	}
	return append(all, compareTraffic("siblings' messages", notes, o.ProxiesEach)...), nil
}

// changeTwins changes the configuration of all proxies, and gives what each has said to control and heard from it.
func (r *Deployment) changeConfigs(ctx context.Context, o ComparisonOptions) ([]meter.Traffic, error) {
	wanted := 2 * o.ProxiesEach
	if o.SeedDefect {
		wanted = o.ProxiesEach
	}
	before := r.control.proxyTraffic()
	operator := operator{deployment: r}
	for range o.Changes {
		if _, err := operator.change(ctx, false, wanted); err != nil {
			return nil, err
		}
	}
	after := r.control.proxyTraffic()
	for i := range after {
		after[i] = after[i].Minus(before[i])
	}
	return after, nil
}

// restartTwins restarts the same backend of both services at the same time.
func (r *Deployment) restartBackendPairs(ctx context.Context, o ComparisonOptions) error {
	const states = 3
	for k := range o.Restarts {
		i := k % o.ProxiesEach
		for _, status := range []string{"draining", "gone", "ready"} {
			if err := r.updateBackends([]int{i, i + o.ProxiesEach}, status); err != nil {
				return err
			}
			if err := sleep(ctx, time.Duration(float64(time.Second)/o.RestartsPerSecond/states)); err != nil {
				return err
			}
		}
	}
	return nil
}

func allProxies(f *fleet.Fleet) []int {
	return indexes(len(f.Proxies))
}

// kinds compares the four kinds of traffic; the first ones are the real proxies'.
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

// Unlike are the kinds that differ by more than they may.
func OutsideTolerance(all []Comparison) (off []Comparison) {
	for _, l := range all {
		if l.RelativeDifference() > ComparisonTolerance || l.RelativeDifference() < -ComparisonTolerance {
			off = append(off, l)
		}
	}
	return off
}

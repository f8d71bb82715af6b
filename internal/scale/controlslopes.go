package scale

import (
	"context"
	"fmt"
	"time"

	"sandpass/internal/scale/fleet"
	"sandpass/internal/scale/meter"
)

// ControlSlopes measures how the resource use of control grows with the number of proxies, for each number of replicas.
func ControlSlopes(ctx context.Context, o SlopeOptions, replicas []int, changes int, programs Programs,
	progress func(string)) ([]Series, error) {
	var all []Series
	for _, count := range replicas {
		c := seriesBuilder{variable: ByProxies, setting: controlSetting(count)}
		counts := o.ProxyCounts
		if count != o.Sizes.ControlMachines { // the fewest sizes that a model can be fitted to
			counts = []int{counts[0], counts[len(counts)/2], counts[len(counts)-1]}
		}
		for _, n := range counts {
			plan := Plan{Fleet: fleet.Generate(o.Sizes.ScaledTo(n)), RealProxies: min(n, o.RealProxies), ListScope: ServiceList,
				Peers: true, Replicas: count}
			figures, err := controlFigures(ctx, o, plan, changes, programs)
			if err != nil {
				return nil, fmt.Errorf("%d proxies, %d replicas: %w", n, count, err)
			}
			c.add(float64(n), figures)
			progress(fmt.Sprintf("%d proxies, %d replicas", n, count))
		}
		series, err := c.fit(float64(o.FitUpTo))
		if err != nil {
			return nil, err
		}
		all = append(all, series...)
	}
	return all, nil
}

// controlSetting returns the setting of the series with this number of replicas.
func controlSetting(replicas int) string { return fmt.Sprintf("%d control machines", replicas) }

// controlInterval is the usage and traffic of control and the counted proxies over a period of time.
type controlInterval struct {
	seconds          float64
	leader           int
	usage            []meter.Usage   // of each replica; processor time within the interval
	traffic          []meter.Traffic // of each replica
	proxyTraffic     []meter.Traffic // of the counted proxies with control
	proxyCPUSeconds  float64         // mean of the real proxies
	proxyMemoryBytes float64         // mean of the real proxies
}

// measureControl returns the usage and traffic of control while do runs.
func (d *Deployment) measureControl(do func() error) (*controlInterval, error) {
	o := &observer{deployment: d}
	s := &controlInterval{leader: d.control.leaderIndex()}
	if err := o.takeSample(); err != nil {
		return nil, err
	}
	if err := do(); err != nil {
		return nil, err
	}
	if err := o.takeSample(); err != nil {
		return nil, err
	}
	previous, current := o.samples[0], o.samples[1]
	s.seconds = current.at.Sub(previous.at).Seconds()
	for k := range current.replicas {
		s.usage = append(s.usage, meter.Usage{CPUSeconds: current.replicas[k].CPUSeconds - previous.replicas[k].CPUSeconds,
			ResidentBytes: current.replicas[k].ResidentBytes})
		s.traffic = append(s.traffic, current.replicaTraffic[k].Minus(previous.replicaTraffic[k]))
	}
	for i := range current.configTraffic {
		s.proxyTraffic = append(s.proxyTraffic, current.configTraffic[i].Minus(previous.configTraffic[i]))
	}
	s.proxyCPUSeconds = current.usage.cpuSince(previous.usage, roleProxy, s.seconds) * s.seconds
	s.proxyMemoryBytes = current.usage.residentBytes(roleProxy)
	return s, nil
}

// roleValue returns a value of the leader, or its mean over the followers.
func (s *controlInterval) roleValue(role string, value func(k int) float64) float64 {
	if role == roleLeader {
		return value(max(0, s.leader))
	}
	sum, count := 0.0, 0.0
	for k := range s.usage {
		if k != s.leader {
			sum, count = sum+value(k), count+1
		}
	}
	return sum / max(1, count)
}

// controlFigures measures one size: idle, and with configuration changes.
func controlFigures(ctx context.Context, o SlopeOptions, plan Plan, changes int, programs Programs) ([]figure, error) {
	d, ctx, err := Deploy(ctx, plan, programs)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	operator := operator{deployment: d}
	proxies := len(plan.Fleet.Proxies)
	if _, err := operator.change(ctx, false, proxies); err != nil { // the first revision is the whole configuration
		return nil, err
	}
	if err := sleep(ctx, time.Second); err != nil {
		return nil, err
	}
	idle, err := d.measureControl(func() error { return sleep(ctx, o.IdleTime) })
	if err != nil {
		return nil, err
	}
	var delays []float64
	withChanges, err := d.measureControl(func() error {
		for range changes {
			one, err := operator.change(ctx, false, proxies)
			if err != nil {
				return err
			}
			delays = append(delays, one...)
			if err := sleep(ctx, time.Second); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return append(controlIdleFigures(idle), controlChangeFigures(withChanges, idle, changes, delays)...), nil
}

// controlIdleFigures returns the figures of an idle fleet with a control service.
func controlIdleFigures(s *controlInterval) []figure {
	figures := []figure{
		{roleProxy, "configuration watch at rest, in", "bytes/s", mean(s.proxyTraffic, bytesIn) / s.seconds},
		{roleProxy, "configuration watch at rest, out", "bytes/s", mean(s.proxyTraffic, bytesOut) / s.seconds},
		{roleProxy, "processor time at rest with a configuration watch", "part of a core", s.proxyCPUSeconds / s.seconds},
		{roleProxy, "memory with a configuration watch", "bytes", s.proxyMemoryBytes},
	}
	for _, role := range []string{roleLeader, roleFollower} {
		figures = append(figures,
			figure{role, "processor time at rest", "part of a core",
				s.roleValue(role, func(k int) float64 { return s.usage[k].CPUSeconds / s.seconds })},
			figure{role, "memory", "bytes", s.roleValue(role, func(k int) float64 { return s.usage[k].ResidentBytes })},
			figure{role, "at rest, in", "bytes/s", s.roleValue(role,
				func(k int) float64 { return float64(s.traffic[k].BytesIn) / s.seconds })},
			figure{role, "at rest, out", "bytes/s", s.roleValue(role,
				func(k int) float64 { return float64(s.traffic[k].BytesOut) / s.seconds })},
		)
	}
	return figures
}

// controlChangeFigures returns the figures of one configuration change, without the idle use.
func controlChangeFigures(s, idle *controlInterval, changes int, delays []float64) []figure {
	overIdle := func(busy, base float64) float64 { return max(0, busy-base/idle.seconds*s.seconds) / float64(changes) }
	q := quantiles(delays)
	figures := []figure{
		{roleProxy, "a change of configuration, in", "bytes",
			overIdle(mean(s.proxyTraffic, bytesIn), mean(idle.proxyTraffic, bytesIn))},
		{roleProxy, "a change of configuration, out", "bytes",
			overIdle(mean(s.proxyTraffic, bytesOut), mean(idle.proxyTraffic, bytesOut))},
		{roleProxy, "a change of configuration, processor time", "s", overIdle(s.proxyCPUSeconds, idle.proxyCPUSeconds)},
		{roleProxy, "a change of configuration, in force, median", "s", q.Median},
		{roleProxy, "a change of configuration, in force, last", "s", q.Max},
	}
	for _, role := range []string{roleLeader, roleFollower} {
		each := func(value func(s *controlInterval, k int) float64) float64 {
			return overIdle(s.roleValue(role, func(k int) float64 { return value(s, k) }),
				idle.roleValue(role, func(k int) float64 { return value(idle, k) }))
		}
		figures = append(figures,
			figure{role, "a change of configuration, processor time", "s",
				each(func(s *controlInterval, k int) float64 { return s.usage[k].CPUSeconds })},
			figure{role, "a change of configuration, in", "bytes",
				each(func(s *controlInterval, k int) float64 { return float64(s.traffic[k].BytesIn) })},
			figure{role, "a change of configuration, out", "bytes",
				each(func(s *controlInterval, k int) float64 { return float64(s.traffic[k].BytesOut) })},
		)
	}
	return figures
}

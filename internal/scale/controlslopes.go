package scale

import (
	"context"
	"fmt"
	"time"

	"sandpass/internal/scale/fleet"
	"sandpass/internal/scale/meter"
)

// ControlSlopes measures how control's use grows with the number of proxies, for each number of replicas.
func ControlSlopes(ctx context.Context, o SlopeOptions, replicas []int, changes int, programs Programs,
	progress func(string)) ([]Series, error) {
	var all []Series
	for _, count := range replicas {
		c := seriesBuilder{against: ByProxies, setting: controlSetting(count)}
		counts := o.ProxyCounts
		if count != o.Sizes.ControlMachines { // as few as a law needs
			counts = []int{counts[0], counts[len(counts)/2], counts[len(counts)-1]}
		}
		for _, n := range counts {
			plan := Plan{Fleet: fleet.Generate(o.Sizes.ScaledTo(n)), RealProxies: min(n, o.RealProxies), ListScope: ServiceList, Peers: true,
				Replicas: count}
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

// controlSetting names the series of so many replicas.
func controlSetting(replicas int) string { return fmt.Sprintf("%d control machines", replicas) }

// controlSpan is what control and the counted proxies have used and said in a stretch of time.
type controlInterval struct {
	seconds          float64
	leader           int
	usage            []meter.Usage // of each replica, processor time since the start of the stretch
	traffic          []meter.Traffic
	proxyTraffic     []meter.Traffic // of the counted ones with control
	proxyCPUSeconds  float64         // processor time of a real proxy, seconds
	proxyMemoryBytes float64         // of a real proxy
}

// duringControl measures what control does meanwhile.
func (r *Deployment) measureControl(do func() error) (*controlInterval, error) {
	o := &observer{deployment: r}
	s := &controlInterval{leader: r.control.leaderIndex()}
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
		s.usage = append(s.usage, meter.Usage{CPUSeconds: current.replicas[k].CPUSeconds - previous.replicas[k].CPUSeconds, ResidentBytes: current.replicas[k].ResidentBytes})
		s.traffic = append(s.traffic, current.replicaTraffic[k].Minus(previous.replicaTraffic[k]))
	}
	for i := range current.configTraffic {
		s.proxyTraffic = append(s.proxyTraffic, current.configTraffic[i].Minus(previous.configTraffic[i]))
	}
	s.proxyCPUSeconds = current.usage.cpuSince(previous.usage, roleProxy, s.seconds) * s.seconds
	s.proxyMemoryBytes = current.usage.residentBytes(roleProxy)
	return s, nil
}

// of gives a figure of the leader, or the mean over the followers.
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

// controlFigures measures one size: at rest, and with changes of configuration.
func controlFigures(ctx context.Context, o SlopeOptions, plan Plan, changes int, programs Programs) ([]figure, error) {
	r, ctx, err := Deploy(ctx, plan, programs)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	operator := operator{deployment: r}
	all := len(plan.Fleet.Proxies)
	if _, err := operator.change(ctx, false, all); err != nil { // the first is a whole configuration
		return nil, err
	}
	if err := sleep(ctx, time.Second); err != nil {
		return nil, err
	}
	rest, err := r.measureControl(func() error { return sleep(ctx, o.IdleTime) })
	if err != nil {
		return nil, err
	}
	var took []float64
	busy, err := r.measureControl(func() error {
		for range changes {
			one, err := operator.change(ctx, false, all)
			if err != nil {
				return err
			}
			took = append(took, one...)
			if err := sleep(ctx, time.Second); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return append(controlIdleFigures(rest), controlChangeFigures(busy, rest, changes, took)...), nil
}

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
			figure{role, "at rest, in", "bytes/s", s.roleValue(role, func(k int) float64 { return float64(s.traffic[k].BytesIn) / s.seconds })},
			figure{role, "at rest, out", "bytes/s", s.roleValue(role, func(k int) float64 { return float64(s.traffic[k].BytesOut) / s.seconds })},
		)
	}
	return figures
}

// controlChangeFigures are those of one change of configuration, what rest takes left out.
func controlChangeFigures(s, rest *controlInterval, changes int, took []float64) []figure {
	over := func(busy, idle float64) float64 { return max(0, busy-idle/rest.seconds*s.seconds) / float64(changes) }
	q := quantiles(took)
	figures := []figure{
		{roleProxy, "a change of configuration, in", "bytes", over(mean(s.proxyTraffic, bytesIn), mean(rest.proxyTraffic, bytesIn))},
		{roleProxy, "a change of configuration, out", "bytes", over(mean(s.proxyTraffic, bytesOut), mean(rest.proxyTraffic, bytesOut))},
		{roleProxy, "a change of configuration, processor time", "s", over(s.proxyCPUSeconds, rest.proxyCPUSeconds)},
		{roleProxy, "a change of configuration, in force, median", "s", q.Median},
		{roleProxy, "a change of configuration, in force, last", "s", q.Max},
	}
	for _, role := range []string{roleLeader, roleFollower} {
		each := func(value func(s *controlInterval, k int) float64) float64 {
			return over(s.roleValue(role, func(k int) float64 { return value(s, k) }),
				rest.roleValue(role, func(k int) float64 { return value(rest, k) }))
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

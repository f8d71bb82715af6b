package scale

import (
	"context"
	"fmt"
	"time"

	"sandpass/internal/scale/fleet"
)

// ServiceSlopes measures how the figures depend on the number of services, with a fixed number of proxies.
func ServiceSlopes(ctx context.Context, o SlopeOptions, proxies int, services []int, programs Programs,
	progress func(string)) ([]Series, error) {
	c := seriesBuilder{variable: ByServices, setting: fmt.Sprintf("%d proxies, service list", proxies)}
	for _, count := range services {
		sizes := o.Sizes.ScaledTo(proxies)
		sizes.Services = count
		plan := Plan{Fleet: fleet.Generate(sizes), RealProxies: min(proxies, o.RealProxies), ListScope: ServiceList, Peers: true}
		figures, err := sizeFigures(ctx, o, plan, programs)
		if err != nil {
			return nil, fmt.Errorf("%d services: %w", count, err)
		}
		c.add(float64(count), figures)
		progress(fmt.Sprintf("%d proxies, %d services", proxies, count))
	}
	return c.fit(float64(services[len(services)-1]))
}

// ChangeSlopes measures how the figures depend on the number of list changes per second, in one fleet.
func ChangeSlopes(ctx context.Context, o SlopeOptions, proxies int, rates []float64, programs Programs,
	progress func(string)) ([]Series, error) {
	const entries = 3 // list entries for each restart
	plan := Plan{Fleet: fleet.Generate(o.Sizes.ScaledTo(proxies)), RealProxies: min(proxies, o.RealProxies),
		ListScope: WholeList, Peers: true}
	d, ctx, err := Deploy(ctx, plan, programs)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	c := seriesBuilder{variable: ByChangeRate, setting: fmt.Sprintf("%d proxies, whole list", proxies)}
	for _, rate := range rates {
		restarts := max(1, int(rate/entries*o.IdleTime.Seconds()))
		s, err := d.measure(func() error { return d.restartBackends(ctx, restarts, rate/entries) })
		if err != nil {
			return nil, fmt.Errorf("%.0f changes per second: %w", rate, err)
		}
		c.add(float64(restarts)*entries/s.seconds, []figure{
			{roleProxy, "list watch with changes, in", "bytes/s", mean(s.traffic, bytesIn) / s.seconds},
			{roleProxy, "list watch with changes, in", "messages/s", mean(s.traffic, messagesIn) / s.seconds},
			{roleProxy, "processor time with changes", "part of a core", s.cpu(roleProxy)},
			{roleDiscovery, "processor time with changes, all agents", "part of a core", s.cpu(roleDiscovery)},
		})
		progress(fmt.Sprintf("%.0f changes per second", rate))
	}
	return c.fit(2 * rates[len(rates)-1])
}

const idleTime = 8 * time.Second // for each measurement of an idle fleet

// ServiceAndChangeSlopes measures how the figures depend on the number of services and on the rate of list changes.
func ServiceAndChangeSlopes(ctx context.Context, r *Runner) ([]Series, error) {
	const proxies = 140
	o := SlopeOptions{Sizes: r.Sizes, RealProxies: r.RealProxies, IdleTime: idleTime, Restarts: 30, RestartsPerSecond: 8}
	series, err := ServiceSlopes(ctx, o, proxies, []int{4, 7, 13, 26, 52}, r.Programs, r.Progress)
	if err != nil {
		return nil, err
	}
	more, err := ChangeSlopes(ctx, o, proxies, []float64{3, 6, 12, 24, 48}, r.Programs, r.Progress)
	return append(series, more...), err
}

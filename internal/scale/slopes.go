package scale

import (
	"context"
	"fmt"
	"time"

	"sandpass/internal/scale/fit"
	"sandpass/internal/scale/fleet"
)

// SlopeOptions say at which sizes slopes are measured.
type SlopeOptions struct {
	Sizes             fleet.Sizes
	ProxyCounts       []int         // numbers of proxies, rising
	FitUpTo           int           // larger ones are predicted and then measured
	RealProxies       int           // of them that are real processes
	IdleTime          time.Duration // for which nothing happens
	Restarts          int           // of backends, at PerSecond
	RestartsPerSecond float64
	ListScopes        []ListScope
}

// collector gathers figures of several sizes into series.
type seriesBuilder struct {
	against Variable
	setting string
	series  []Series
}

func (c *seriesBuilder) add(n float64, figures []figure) {
	for _, f := range figures {
		c.seriesOf(f).Points = append(c.seriesOf(f).Points, fit.Point{N: n, Y: f.value})
	}
}

func (c *seriesBuilder) seriesOf(f figure) *Series {
	name := f.name + ", " + f.unit
	for i, s := range c.series {
		if s.Role == f.role && s.Figure == name {
			return &c.series[i]
		}
	}
	c.series = append(c.series, Series{Role: f.role, Figure: name, Unit: f.unit, Variable: c.against, Setting: c.setting})
	return &c.series[len(c.series)-1]
}

func (c *seriesBuilder) fit(upTo float64) ([]Series, error) {
	for i := range c.series {
		var err error
		if c.series[i], err = fitSeries(c.series[i], upTo); err != nil {
			return nil, fmt.Errorf("%s: %w", c.series[i].Figure, err)
		}
	}
	return c.series, nil
}

// Slopes measures how the figures of each role grow with the number of proxies. Progress is told after each size.
func ProxySlopes(ctx context.Context, o SlopeOptions, programs Programs, progress func(string)) ([]Series, error) {
	var all []Series
	for _, lists := range o.ListScopes {
		c := seriesBuilder{against: ByProxies, setting: string(lists) + " list"}
		for _, n := range o.ProxyCounts {
			plan := Plan{Fleet: fleet.Generate(o.Sizes.ScaledTo(n)), RealProxies: min(n, o.RealProxies), ListScope: lists, Peers: true}
			figures, err := sizeFigures(ctx, o, plan, programs)
			if err != nil {
				return nil, fmt.Errorf("%d proxies, %s list: %w", n, lists, err)
			}
			c.add(float64(n), figures)
			progress(fmt.Sprintf("%d proxies, %s list", n, lists))
		}
		series, err := c.fit(float64(o.FitUpTo))
		if err != nil {
			return nil, err
		}
		all = append(all, series...)
	}
	return all, nil
}

// sizeFigures measures one size: at rest, with restarts, and with all asking at once.
func sizeFigures(ctx context.Context, o SlopeOptions, plan Plan, programs Programs) ([]figure, error) {
	r, ctx, err := Deploy(ctx, plan, programs)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	if err := sleep(ctx, time.Second); err != nil { // what a start allocates is collected
		return nil, err
	}
	rest, err := r.measure(func() error { return sleep(ctx, o.IdleTime) })
	if err != nil {
		return nil, err
	}
	figures := idleFigures(rest, r.helperBaseBytes, len(plan.Fleet.Proxies)-plan.RealProxies)
	restarts, err := r.measure(func() error { return r.restartBackends(ctx, o.Restarts, o.RestartsPerSecond) })
	if err != nil {
		return nil, err
	}
	figures = append(figures, restartFigures(restarts, rest, o.Restarts)...)
	back, err := r.measure(func() error {
		_, err := r.reconnectAll(ctx)
		return err
	})
	if err != nil {
		return nil, err
	}
	return append(figures, reconnectFigures(back, rest)...), nil
}

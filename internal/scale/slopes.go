package scale

import (
	"context"
	"fmt"
	"time"

	"sandpass/internal/scale/fit"
	"sandpass/internal/scale/fleet"
)

// SlopeOptions are the parameters of the measurement of growth over the number of proxies.
type SlopeOptions struct {
	Sizes             fleet.Sizes
	ProxyCounts       []int         // numbers of proxies, ascending
	FitUpTo           int           // larger sizes are predicted and compared with the measurement
	RealProxies       int           // number of proxies with a process of their own
	IdleTime          time.Duration // duration of the measurement of the idle fleet
	Restarts          int           // backend restarts, at RestartsPerSecond
	RestartsPerSecond float64
	ListScopes        []ListScope
}

// seriesBuilder collects the figures of several sizes into series.
type seriesBuilder struct {
	variable Variable
	setting  string
	series   []Series
}

// add adds the figures measured at the size n.
func (b *seriesBuilder) add(n float64, figures []figure) {
	for _, f := range figures {
		b.seriesOf(f).Points = append(b.seriesOf(f).Points, fit.Point{N: n, Y: f.value})
	}
}

// seriesOf returns the series of a figure, which it creates at the first use.
func (b *seriesBuilder) seriesOf(f figure) *Series {
	name := f.name + ", " + f.unit
	for i, s := range b.series {
		if s.Role == f.role && s.Figure == name {
			return &b.series[i]
		}
	}
	b.series = append(b.series, Series{Role: f.role, Figure: name, Unit: f.unit, Variable: b.variable, Setting: b.setting})
	return &b.series[len(b.series)-1]
}

// fit returns the series with the models fitted to the sizes up to upTo.
func (b *seriesBuilder) fit(upTo float64) ([]Series, error) {
	for i := range b.series {
		var err error
		if b.series[i], err = fitSeries(b.series[i], upTo); err != nil {
			return nil, fmt.Errorf("%s: %w", b.series[i].Figure, err)
		}
	}
	return b.series, nil
}

// ProxySlopes measures how the figures of each role grow with the number of proxies. It reports progress after each size.
func ProxySlopes(ctx context.Context, o SlopeOptions, programs Programs, progress func(string)) ([]Series, error) {
	var all []Series
	for _, lists := range o.ListScopes {
		c := seriesBuilder{variable: ByProxies, setting: string(lists) + " list"}
		for _, n := range o.ProxyCounts {
			plan := Plan{Fleet: fleet.Generate(o.Sizes.ScaledTo(n)), RealProxies: min(n, o.RealProxies), ListScope: lists,
				Peers: true}
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

// sizeFigures measures one size: idle, with backend restarts, and with all proxies requesting their lists at once.
func sizeFigures(ctx context.Context, o SlopeOptions, plan Plan, programs Programs) ([]figure, error) {
	d, ctx, err := Deploy(ctx, plan, programs)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	if err := sleep(ctx, time.Second); err != nil { // lets the garbage of the start be collected
		return nil, err
	}
	idle, err := d.measure(func() error { return sleep(ctx, o.IdleTime) })
	if err != nil {
		return nil, err
	}
	figures := idleFigures(idle, d.helperBaseBytes, len(plan.Fleet.Proxies)-plan.RealProxies)
	restarts, err := d.measure(func() error { return d.restartBackends(ctx, o.Restarts, o.RestartsPerSecond) })
	if err != nil {
		return nil, err
	}
	figures = append(figures, restartFigures(restarts, idle, o.Restarts)...)
	reconnect, err := d.measure(func() error {
		_, err := d.reconnectAll(ctx)
		return err
	})
	if err != nil {
		return nil, err
	}
	return append(figures, reconnectFigures(reconnect, idle)...), nil
}

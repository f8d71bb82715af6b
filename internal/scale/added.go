package scale

import (
	"context"
	"fmt"
	"slices"

	"sandpass/internal/scale/fleet"
	"sandpass/internal/scale/meter"
	"sandpass/internal/scale/standin"
	"sandpass/internal/testbed"
)

// AddedLatencyOptions are the parameters of the measurement of the latency that proxies add.
type AddedLatencyOptions struct {
	Rates       []float64 // calls per second, open loop, through one proxy
	ChainRate   float64   // calls per second, open loop, through the chain
	Depth       int       // proxies in the chain
	Connections int
	Seconds     float64 // duration of each measurement
	Rounds      int     // in each, direct and proxied calls are measured one after the other
}

// latencyRun measures direct and proxied calls alternately.
type latencyRun struct {
	direct, proxied string // addresses that calls are sent to
	rate            float64
	options         AddedLatencyOptions
}

// MeasureAddedLatency measures the latency that one proxy adds, at each rate, and the latency that a chain of proxies adds.
func MeasureAddedLatency(ctx context.Context, o AddedLatencyOptions, programs Programs, progress func(string)) ([]AddedLatency,
	error) {
	var all []AddedLatency
	for _, rate := range o.Rates {
		a, err := measureChain(ctx, o, 1, rate, programs)
		if err != nil {
			return all, err
		}
		all = append(all, a)
		progress(fmt.Sprintf("one proxy, %.0f calls/s", rate))
	}
	a, err := measureChain(ctx, o, o.Depth, o.ChainRate, programs)
	progress(fmt.Sprintf("a chain of %d, %.0f calls/s", o.Depth, o.ChainRate))
	return append(all, a), err
}

// measureChain measures calls through a chain: a proxy, its backend, the next proxy, and so on. The direct calls go from
// backend to backend. Each service of the chain has one backend, on the machine of the proxy that calls it.
func measureChain(ctx context.Context, o AddedLatencyOptions, depth int, rate float64, programs Programs) (AddedLatency, error) {
	sizes := fleet.Default()
	sizes.Proxies, sizes.Services, sizes.Depth = depth, 1, 1
	f := fleet.Generate(sizes)
	makeChain(f)
	d, ctx, err := Deploy(ctx, Plan{Fleet: f, RealProxies: depth, ListScope: ServiceList}, programs)
	if err != nil {
		return AddedLatency{}, err
	}
	defer d.Close()
	direct, err := d.startChain(depth)
	if err != nil {
		return AddedLatency{}, err
	}
	run := latencyRun{direct: direct, proxied: d.addresses.at(0, proxyPort), rate: rate, options: o}
	name := "one proxy"
	if depth > 1 {
		name = fmt.Sprintf("a chain of %d", depth)
	}
	return run.measure(ctx, name)
}

// makeChain changes a fleet so that the list of each proxy is the one backend beside it.
func makeChain(f *fleet.Fleet) {
	f.Services = nil
	for i := range f.Proxies {
		f.Services = append(f.Services, fleet.Service{Name: fmt.Sprintf("service-%d", i+1), Backends: []int{i}})
		f.Proxies[i].Service, f.Proxies[i].TargetService, f.Proxies[i].Cell = i, i, 0
	}
}

// startChain starts two backends on each machine: one behind the proxy, which calls the proxy of the next machine, and one
// that calls the backend of the next machine directly. It returns the address of the first of the latter.
func (d *Deployment) startChain(depth int) (direct string, err error) {
	const directPort = 9004
	for i := range depth {
		for _, backend := range []struct{ port, next int }{{backendPort, proxyPort}, {directPort, directPort}} {
			var next func() (standin.NestedCaller, error)
			if i+1 < depth {
				address := d.addresses.at(i+1, backend.next)
				next = func() (standin.NestedCaller, error) { return testbed.NewCaller(address), nil }
			}
			b, err := standin.NewBackend(d.addresses.at(i, backend.port), next)
			if err != nil {
				return "", err
			}
			d.backends = append(d.backends, b)
		}
	}
	return d.addresses.at(0, directPort), nil
}

// measure runs the rounds.
func (a latencyRun) measure(ctx context.Context, name string) (AddedLatency, error) {
	var direct, proxied, added [3][]float64
	out := AddedLatency{Name: name, Rate: a.rate, Rounds: a.options.Rounds, Calls: int(a.rate * a.options.Seconds)}
	for range a.options.Rounds {
		directTimes, failed := testbed.OpenLoop(ctx, []string{a.direct}, a.options.Connections, a.rate, a.options.Seconds)
		out.Failed += failed
		proxiedTimes, failed := testbed.OpenLoop(ctx, []string{a.proxied}, a.options.Connections, a.rate, a.options.Seconds)
		out.Failed += failed
		for k := range directTimes {
			direct[k], proxied[k] = append(direct[k], directTimes[k]), append(proxied[k], proxiedTimes[k])
			added[k] = append(added[k], proxiedTimes[k]-directTimes[k])
		}
	}
	for k := range direct {
		out.Direct[k], out.Proxied[k] = median(direct[k]), median(proxied[k])
		out.MinAdded[k], out.MaxAdded[k] = slices.Min(added[k]), slices.Max(added[k])
	}
	out.LoadAverage = meter.LoadAverage()
	return out, ctx.Err()
}

// median returns the median of values, the upper one of the two in the middle.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

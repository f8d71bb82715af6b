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

// AddedOptions say how the time that a proxy adds is measured.
type AddedLatencyOptions struct {
	Rates       []float64 // calls a second, open loop
	ChainRate   float64
	Depth       int // of the chain
	Connections int
	Seconds     float64 // of each measure
	Rounds      int     // in each of which straight and through are measured in turn
}

// addedRun measures straight and through alternately.
type latencyRun struct {
	direct, proxied string // addresses
	rate            float64
	options         AddedLatencyOptions
}

// MeasureAdded measures what one proxy adds, at each rate, and what a chain adds.
func MeasureAddedLatency(ctx context.Context, o AddedLatencyOptions, programs Programs, progress func(string)) ([]AddedLatency, error) {
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

// addedByChain has calls go through a chain: a proxy, its backend, the next proxy, and so on; and straight from backend to
// backend. Each service of the chain has one backend, which is on the machine of the proxy that comes after it.
func measureChain(ctx context.Context, o AddedLatencyOptions, depth int, rate float64, programs Programs) (AddedLatency, error) {
	sizes := fleet.Default()
	sizes.Proxies, sizes.Services, sizes.Depth = depth, 1, 1
	f := fleet.Generate(sizes)
	makeChain(f)
	r, ctx, err := Deploy(ctx, Plan{Fleet: f, RealProxies: depth, ListScope: ServiceList}, programs)
	if err != nil {
		return AddedLatency{}, err
	}
	defer r.Close()
	straight, err := r.startChain(depth)
	if err != nil {
		return AddedLatency{}, err
	}
	run := latencyRun{direct: straight, proxied: r.addresses.at(0, proxyPort), rate: rate, options: o}
	name := "one proxy"
	if depth > 1 {
		name = fmt.Sprintf("a chain of %d", depth)
	}
	return run.measure(ctx, name)
}

// chainOf makes each proxy's list that of the one backend beside it.
func makeChain(f *fleet.Fleet) {
	f.Services = nil
	for i := range f.Proxies {
		f.Services = append(f.Services, fleet.Service{Name: fmt.Sprintf("service-%d", i+1), Backends: []int{i}})
		f.Proxies[i].Service, f.Proxies[i].TargetService, f.Proxies[i].Cell = i, i, 0
	}
}

// startChain starts two backends on each machine: one that calls the next machine's proxy, behind the proxy, and one that
// calls the next machine's backend straight. It gives the address of the first one of the latter.
func (r *Deployment) startChain(depth int) (straight string, err error) {
	const straightPort = 9004
	for i := range depth {
		for _, way := range []struct{ port, next int }{{backendPort, proxyPort}, {straightPort, straightPort}} {
			var next func() (standin.NestedCaller, error)
			if i+1 < depth {
				address := r.addresses.at(i+1, way.next)
				next = func() (standin.NestedCaller, error) { return testbed.NewCaller(address), nil }
			}
			b, err := standin.NewBackend(r.addresses.at(i, way.port), next)
			if err != nil {
				return "", err
			}
			r.backends = append(r.backends, b)
		}
	}
	return r.addresses.at(0, straightPort), nil
}

// measure takes the rounds.
func (a latencyRun) measure(ctx context.Context, name string) (AddedLatency, error) {
	var straight, through, differences [3][]float64
	out := AddedLatency{Name: name, Rate: a.rate, Rounds: a.options.Rounds, Calls: int(a.rate * a.options.Seconds)}
	for range a.options.Rounds {
		direct, bad := testbed.OpenLoop(ctx, []string{a.direct}, a.options.Connections, a.rate, a.options.Seconds)
		out.Failed += bad
		proxied, bad := testbed.OpenLoop(ctx, []string{a.proxied}, a.options.Connections, a.rate, a.options.Seconds)
		out.Failed += bad
		for k := range direct {
			straight[k], through[k] = append(straight[k], direct[k]), append(through[k], proxied[k])
			differences[k] = append(differences[k], proxied[k]-direct[k])
		}
	}
	for k := range straight {
		out.Direct[k], out.Proxied[k] = median(straight[k]), median(through[k])
		out.MinAdded[k], out.MaxAdded[k] = slices.Min(differences[k]), slices.Max(differences[k])
	}
	out.LoadAverage = meter.LoadAverage()
	return out, ctx.Err()
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

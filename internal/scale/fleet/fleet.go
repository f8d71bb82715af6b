package fleet

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
)

// Service is a node of the call graph.
type Service struct {
	Name           string
	Level          int     // from 0, those that get calls from outside
	Callees        []int   // the services that it calls
	CallsPerSecond float64 // that come to it
	Backends       []int   // indexes into Fleet.Proxies, of the proxies beside them
}

// Proxy is one machine: a backend and the proxy beside it.
type Proxy struct {
	Name          string
	Region        string
	Zone          int // index into Fleet.Zones
	Service       int // that its backend belongs to
	TargetService int // the service whose list it follows
	Cell          int // of its backend, within the service
}

// Fleet is what sizes and a seed give.
type Fleet struct {
	Sizes    Sizes
	Zones    []string
	Regions  []string // of each zone
	Services []Service
	Proxies  []Proxy
}

// Generate makes the fleet of the sizes.
func Generate(s Sizes) *Fleet {
	f := &Fleet{Sizes: s}
	random := rand.New(rand.NewPCG(s.Seed, 0x5ca1e))
	for z := range s.Zones {
		f.Zones = append(f.Zones, fmt.Sprintf("zone-%d", z+1))
		f.Regions = append(f.Regions, fmt.Sprintf("region-%d", z%s.Regions+1))
	}
	f.drawGraph(random)
	f.drawCalls()
	f.placeBackends()
	return f
}

// drawGraph spreads the services over the levels and draws whom each calls: always one of the next level, so that the
// deepest path has a service of every level.
func (f *Fleet) drawGraph(random *rand.Rand) {
	levels := min(f.Sizes.Depth, f.Sizes.Services)
	fronts := min(max(1, int(f.Sizes.FrontShare*float64(f.Sizes.Services)+0.5)), f.Sizes.Services-levels+1)
	at := make([][]int, levels)
	for i := range f.Sizes.Services {
		level := 0
		switch {
		case i >= fronts && i < fronts+levels-1:
			level = i - fronts + 1
		case i >= fronts && levels > 1:
			level = 1 + random.IntN(levels-1)
		}
		f.Services = append(f.Services, Service{Name: fmt.Sprintf("service-%d", i+1), Level: level})
		at[level] = append(at[level], i)
	}
	for i := range f.Services {
		s := &f.Services[i]
		if s.Level == levels-1 {
			continue
		}
		next := at[s.Level+1]
		s.Callees = append(s.Callees, next[random.IntN(len(next))])
		wanted := f.Sizes.CalledLeast + random.IntN(f.Sizes.CalledMost-f.Sizes.CalledLeast+1)
		for range wanted - 1 {
			deeper := at[s.Level+1+random.IntN(levels-s.Level-1)]
			callee := deeper[random.IntN(len(deeper))]
			if !slices.Contains(s.Callees, callee) {
				s.Callees = append(s.Callees, callee)
			}
		}
	}
}

// drawCalls has calls come to the first level and go on: half of those that come to a service lead to one call of each
// service that it calls. The sum is scaled to the size's.
func (f *Fleet) drawCalls() {
	const goOn = 0.5
	order := make([]int, len(f.Services))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(f.Services[x].Level, f.Services[y].Level) })
	total := 0.0
	for _, i := range order {
		s := &f.Services[i]
		if s.Level == 0 || s.CallsPerSecond == 0 { // nobody calls it: a few calls come from outside
			s.CallsPerSecond = 1
		}
		total += s.CallsPerSecond
		for _, callee := range s.Callees {
			f.Services[callee].CallsPerSecond += goOn * s.CallsPerSecond
		}
	}
	for i := range f.Services {
		f.Services[i].CallsPerSecond *= f.Sizes.CallsPerSecond / total
	}
}

// placeBackends gives each service backends by its calls, one at least, spread over the zones.
func (f *Fleet) placeBackends() {
	counts := f.backendCounts()
	for i := range f.Services {
		s := &f.Services[i]
		for k := range counts[i] {
			n := len(f.Proxies)
			zone := n % len(f.Zones)
			target := i
			if len(s.Callees) > 0 {
				target = s.Callees[k%len(s.Callees)]
			}
			f.Proxies = append(f.Proxies, Proxy{Name: fmt.Sprintf("proxy-%d", n+1), Region: f.Regions[zone], Zone: zone, Service: i,
				TargetService: target, Cell: k / f.Sizes.CellSize})
			s.Backends = append(s.Backends, n)
		}
	}
}

// backendCounts shares the machines out by calls: one for each service, the rest by the largest remainder.
func (f *Fleet) backendCounts() []int {
	counts, remainder := make([]int, len(f.Services)), make([]float64, len(f.Services))
	spare := f.Sizes.Proxies - len(f.Services)
	left := spare
	for i, s := range f.Services {
		exact := float64(spare) * s.CallsPerSecond / max(f.Sizes.CallsPerSecond, 1e-9)
		counts[i] = 1 + int(exact)
		remainder[i] = exact - float64(int(exact))
		left -= int(exact)
	}
	order := make([]int, len(f.Services))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(remainder[y], remainder[x]) })
	for i := 0; left > 0; i, left = i+1, left-1 {
		counts[order[i%len(order)]]++
	}
	return counts
}

// InZone are the proxies of a zone.
func (f *Fleet) ProxiesInZone(zone int) (members []int) {
	for i, p := range f.Proxies {
		if p.Zone == zone {
			members = append(members, i)
		}
	}
	return members
}

// Depth is how many services the longest path passes.
func (f *Fleet) Depth() int {
	depth := make([]int, len(f.Services))
	var visit func(i int) int
	visit = func(i int) int {
		if depth[i] == 0 {
			depth[i] = 1
			for _, callee := range f.Services[i].Callees {
				depth[i] = max(depth[i], 1+visit(callee))
			}
		}
		return depth[i]
	}
	longest := 0
	for i := range f.Services {
		longest = max(longest, visit(i))
	}
	return longest
}

// CalledServices is, over the proxies, the mean and the largest number of services that the backend beside one calls.
func (f *Fleet) CalleesPerProxy() (mean float64, most int) {
	for _, p := range f.Proxies {
		n := len(f.Services[p.Service].Callees)
		mean += float64(n) / float64(len(f.Proxies))
		most = max(most, n)
	}
	return mean, most
}

// BusiestCalls is the largest number of calls a second that come to a service, and to one backend.
func (f *Fleet) PeakCallRates() (service, backend float64) {
	for _, s := range f.Services {
		service = max(service, s.CallsPerSecond)
		backend = max(backend, s.CallsPerSecond/float64(max(1, len(s.Backends))))
	}
	return service, backend
}

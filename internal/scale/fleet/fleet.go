package fleet

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
)

// Service is a node of the call graph. References to services are indexes into Fleet.Services.
type Service struct {
	Name           string
	Level          int     // 0 for services that receive calls from outside
	Callees        []int   // services that it calls
	CallsPerSecond float64 // calls that it receives
	Backends       []int   // index in Fleet.Proxies of the proxy beside each backend
}

// Proxy is one machine: a backend and the proxy beside it.
type Proxy struct {
	Name          string
	Region        string
	Zone          int // index in Fleet.Zones
	Service       int // service of its backend
	TargetService int // service whose backend list it follows
	Cell          int // cell of its backend within the service
}

// Fleet is generated from sizes, which include the seed.
type Fleet struct {
	Sizes    Sizes
	Zones    []string
	Regions  []string // region of each zone
	Services []Service
	Proxies  []Proxy
}

// Generate returns the fleet for the given sizes.
func Generate(s Sizes) *Fleet {
	f := &Fleet{Sizes: s}
	random := rand.New(rand.NewPCG(s.Seed, 0x5ca1e))
	for z := range s.Zones {
		f.Zones = append(f.Zones, fmt.Sprintf("zone-%d", z+1))
		f.Regions = append(f.Regions, fmt.Sprintf("region-%d", z%s.Regions+1))
	}
	f.generateCallGraph(random)
	f.distributeCalls()
	f.placeBackends()
	return f
}

// generateCallGraph distributes the services over the levels and chooses at random which services each one calls. One of
// them is always on the next level, so that the longest path has a service of every level.
func (f *Fleet) generateCallGraph(random *rand.Rand) {
	levels := min(f.Sizes.Depth, f.Sizes.Services)
	frontServices := min(max(1, int(f.Sizes.FrontShare*float64(f.Sizes.Services)+0.5)), f.Sizes.Services-levels+1)
	byLevel := make([][]int, levels)
	for i := range f.Sizes.Services {
		level := 0
		switch {
		case i >= frontServices && i < frontServices+levels-1:
			level = i - frontServices + 1
		case i >= frontServices && levels > 1:
			level = 1 + random.IntN(levels-1)
		}
		f.Services = append(f.Services, Service{Name: fmt.Sprintf("service-%d", i+1), Level: level})
		byLevel[level] = append(byLevel[level], i)
	}
	for i := range f.Services {
		s := &f.Services[i]
		if s.Level == levels-1 {
			continue
		}
		next := byLevel[s.Level+1]
		s.Callees = append(s.Callees, next[random.IntN(len(next))])
		callees := f.Sizes.CalledLeast + random.IntN(f.Sizes.CalledMost-f.Sizes.CalledLeast+1)
		for range callees - 1 {
			deeper := byLevel[s.Level+1+random.IntN(levels-s.Level-1)]
			callee := deeper[random.IntN(len(deeper))]
			if !slices.Contains(s.Callees, callee) {
				s.Callees = append(s.Callees, callee)
			}
		}
	}
}

// distributeCalls sets the call rate of each service. Calls enter at the first level; half of the calls to a service lead to
// one call to each service that it calls. The rates are scaled so that their sum is Sizes.CallsPerSecond.
func (f *Fleet) distributeCalls() {
	const forwardedShare = 0.5
	order := make([]int, len(f.Services))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(f.Services[x].Level, f.Services[y].Level) })
	total := 0.0
	for _, i := range order {
		s := &f.Services[i]
		if s.Level == 0 || s.CallsPerSecond == 0 { // a service without callers receives a few calls from outside
			s.CallsPerSecond = 1
		}
		total += s.CallsPerSecond
		for _, callee := range s.Callees {
			f.Services[callee].CallsPerSecond += forwardedShare * s.CallsPerSecond
		}
	}
	for i := range f.Services {
		f.Services[i].CallsPerSecond *= f.Sizes.CallsPerSecond / total
	}
}

// placeBackends creates the proxies and their backends: at least one for each service, in proportion to its calls, spread over
// the zones.
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
			f.Proxies = append(f.Proxies, Proxy{Name: fmt.Sprintf("proxy-%d", n+1), Region: f.Regions[zone], Zone: zone,
				Service:       i,
				TargetService: target, Cell: k / f.Sizes.CellSize})
			s.Backends = append(s.Backends, n)
		}
	}
}

// backendCounts returns the number of backends of each service: one each, and the rest in proportion to the calls by the
// largest remainder method.
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

// ProxiesInZone returns the indexes of the proxies of a zone.
func (f *Fleet) ProxiesInZone(zone int) (members []int) {
	for i, p := range f.Proxies {
		if p.Zone == zone {
			members = append(members, i)
		}
	}
	return members
}

// Depth returns the number of services on the longest path of the call graph.
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

// CalleesPerProxy returns the mean and the maximum, over all proxies, of the number of services that its backend calls.
func (f *Fleet) CalleesPerProxy() (mean float64, maximum int) {
	for _, p := range f.Proxies {
		n := len(f.Services[p.Service].Callees)
		mean += float64(n) / float64(len(f.Proxies))
		maximum = max(maximum, n)
	}
	return mean, maximum
}

// PeakCallRates returns the highest number of calls per second to a service, and to a single backend.
func (f *Fleet) PeakCallRates() (service, backend float64) {
	for _, s := range f.Services {
		service = max(service, s.CallsPerSecond)
		backend = max(backend, s.CallsPerSecond/float64(max(1, len(s.Backends))))
	}
	return service, backend
}

package scale

import (
	"fmt"

	"sandpass/internal/scale/fleet"
)

// Origin says how a figure of the page was found.
type Origin string

// How figures were found.
const (
	Measured  Origin = "m" // in the run, at this size
	Predicted Origin = "p" // by the law that was fitted
	Derived   Origin = "w" // by arithmetic from measured slopes
	Assumed   Origin = "a"
)

// Missing stands where no package carries something.
const MissingMechanism = "**missing**"

const secondsPerDay = 86_400

// Term is a part of what a role takes.
type Term struct {
	Name      string
	Origin    Origin // at the operators' size
	Mechanism string // the package that carries it
	Series    *Series
	At        func(proxies float64) float64
}

// Total is all that a role takes of one thing, with the budget.
type Total struct {
	Role, Resource, Unit string
	Budget               float64 // 0: none is stated
	Terms                []Term
}

// Name is the one under which the page lists it as open.
func (t Total) Name() string { return t.Role + ", " + t.Resource }

// At is the sum at a number of proxies.
func (t Total) At(proxies float64) (sum float64) {
	for _, term := range t.Terms {
		sum += term.At(proxies)
	}
	return sum
}

// Over tells whether it is over its budget.
func (t Total) OverBudget(proxies float64) bool { return t.Budget > 0 && t.At(proxies) > t.Budget }

// figures of series that totals are made of.
const (
	figureIdleCPU        = "processor time at rest, part of a core"
	figureIdleWatchCPU   = "processor time at rest with a configuration watch, part of a core"
	figureMemory         = "memory, bytes"
	figureWatchMemory    = "memory with a configuration watch, bytes"
	figureListIdle       = "list watch at rest, in, bytes/s"
	figureListRestarts   = "each backend restarted once, list watch in, bytes"
	figureListRestartCPU = "each backend restarted once, processor time, s"
	figureWholeList      = "whole list, in, bytes"
	figureSiblingBytes   = "siblings' messages, in, with IP and UDP headers, bytes/s"
	figureSiblingCPU     = "processor time of siblings' messages, part of a core"
	figureConfigIdleIn   = "configuration watch at rest, in, bytes/s"
	figureConfigIdleOut  = "configuration watch at rest, out, bytes/s"
	figureConfigIn       = "a change of configuration, in, bytes"
	figureConfigOut      = "a change of configuration, out, bytes"
	figureConfigCPU      = "a change of configuration, processor time, s"
)

// calculator makes totals of the data.
type calculator struct {
	data  *Data
	fleet *fleet.Fleet
}

// value is a measured point where there is one, else what the law gives.
func seriesValue(s *Series, n float64) float64 {
	for _, p := range s.Points {
		if p.N == n {
			return p.Y
		}
	}
	return max(0, s.Fit.At(n))
}

// proxies is the series of a figure against the number of proxies.
func (c calculator) seriesByProxies(role, name, setting string) *Series {
	return c.data.findSeries(role, name, ByProxies, setting)
}

func (c calculator) controlSetting() string {
	return controlSetting(c.data.Sizes.ControlMachines)
}

// calls is the series of a figure against calls a second.
func (c calculator) seriesByCallRate(name string) *Series {
	for i, s := range c.data.Series {
		if s.Role == roleProxy && s.Figure == name && s.Variable == ByCallRate {
			return &c.data.Series[i]
		}
	}
	return nil
}

// term is a part that goes by a series over proxies, times a factor that may go by them as well.
func term(name, mechanism string, origin Origin, s *Series, factor func(n float64) float64) Term {
	if s == nil {
		return Term{Name: name, Mechanism: MissingMechanism, Origin: Measured, At: func(float64) float64 { return 0 }}
	}
	return Term{Name: name, Mechanism: mechanism, Origin: origin, Series: s,
		At: func(n float64) float64 { return factor(n) * seriesValue(s, n) }}
}

func factorOne(float64) float64 { return 1 }

// restartsASecond is how often each backend restarts.
func (c calculator) restartsPerSecond(float64) float64 {
	return c.data.Sizes.RestartsPerDay / float64(c.data.Sizes.Proxies) / secondsPerDay
}

func (c calculator) changesPerSecond(float64) float64 {
	return c.data.Sizes.ChangesPerDay / secondsPerDay
}

// ownCalls is the calls a second at a proxy, in the mean.
func (c calculator) callsPerProxy() float64 {
	return c.data.Sizes.CallsPerSecond / float64(c.data.Sizes.Proxies)
}

// frontCalls is the calls a second that a front proxy gets from outside, in the mean.
func (c calculator) callsPerFrontProxy() float64 {
	calls, proxies := 0.0, 0.0
	for _, s := range c.fleet.Services {
		if s.Level == 0 {
			calls, proxies = calls+s.CallsPerSecond, proxies+float64(len(s.Backends))
		}
	}
	return calls / max(1, proxies)
}

// byCalls is a part that goes by the calls at a proxy, not by the number of proxies.
func callRateTerm(name, mechanism string, s *Series, calls, times float64) Term {
	if s == nil {
		return Term{Name: name, Mechanism: MissingMechanism, At: func(float64) float64 { return 0 }}
	}
	origin := Derived
	for _, p := range s.Points {
		if p.N == calls {
			origin = Measured
		}
	}
	return Term{Name: name, Mechanism: mechanism, Origin: origin, Series: s,
		At: func(float64) float64 { return times * seriesValue(s, calls) }}
}

const (
	listMechanism    = "`internal/watch`, `internal/proxy`"
	siblingMechanism = "`balance` (keepers)"
	configMechanism  = "`internal/configwatch`"
	processMechanism = "`internal/proxy`"
)

// ofProxy are the totals of a proxy with so many calls a second, whose list is a service's.
func (c calculator) proxyTotals(role string, calls float64) []Total {
	budget := fleet.OperatorBudget
	service := string(ServiceList) + " list"
	whole := string(WholeList) + " list"
	control := c.controlSetting()
	traffic := Total{Role: role, Resource: "bytes a second, both ways", Unit: "bytes/s", Budget: budget.ProxyTraffic, Terms: []Term{
		term("list watch, heartbeats", listMechanism, Measured, c.seriesByProxies(roleProxy, figureListIdle, service), factorOne),
		term("list watch, backends that restart, one whole list of the fleet", listMechanism, Derived,
			c.seriesByProxies(roleProxy, figureListRestarts, whole), c.restartsPerSecond),
		callRateTerm("siblings' messages, with IP and UDP headers", siblingMechanism, c.seriesByCallRate(figureSiblingBytes), calls, 2),
		term("configuration watch, heartbeats in", configMechanism, Measured, c.seriesByProxies(roleProxy, figureConfigIdleIn, control), factorOne),
		term("configuration watch, out", configMechanism, Measured, c.seriesByProxies(roleProxy, figureConfigIdleOut, control), factorOne),
		term("changes of configuration, in", configMechanism, Derived, c.seriesByProxies(roleProxy, figureConfigIn, control), c.changesPerSecond),
		term("changes of configuration, out", configMechanism, Derived, c.seriesByProxies(roleProxy, figureConfigOut, control), c.changesPerSecond),
	}}
	rest := term("at rest, list and configuration watch", processMechanism, Measured,
		c.seriesByProxies(roleProxy, figureIdleWatchCPU, control), factorOne)
	if rest.Series == nil {
		rest = term("at rest, list watch", processMechanism, Measured, c.seriesByProxies(roleProxy, figureIdleCPU, service), factorOne)
	}
	processor := Total{Role: role, Resource: "processor time for control", Unit: "part of a core", Budget: budget.ProxyCPU, Terms: []Term{
		rest,
		callRateTerm("siblings' messages", siblingMechanism, c.seriesByCallRate(figureSiblingCPU), calls, 1),
		term("backends that restart", listMechanism, Derived, c.seriesByProxies(roleProxy, figureListRestartCPU, whole), c.restartsPerSecond),
		term("changes of configuration", configMechanism, Derived, c.seriesByProxies(roleProxy, figureConfigCPU, control), c.changesPerSecond),
	}}
	watchMemory := Term{Name: "configuration watch, and what it holds", Mechanism: MissingMechanism, At: func(float64) float64 { return 0 }}
	with, without := c.seriesByProxies(roleProxy, figureWatchMemory, control), c.seriesByProxies(roleProxy, figureMemory, service)
	if with != nil && without != nil {
		watchMemory = Term{Name: watchMemory.Name, Origin: Derived, Mechanism: configMechanism, Series: with,
			At: func(n float64) float64 { return max(0, seriesValue(with, n)-seriesValue(without, n)) }}
	}
	memory := Total{Role: role, Resource: "memory", Unit: "bytes", Budget: budget.ProxyMemory, Terms: []Term{
		term("a process with one whole list of the fleet", processMechanism, Measured, c.seriesByProxies(roleProxy, figureMemory, whole), factorOne),
		watchMemory,
	}}
	return []Total{traffic, processor, memory}
}

// ofMachine are the totals of a machine whose backend calls several services: a process for each. Its calls are shared among
// them, so that siblings' messages are no more than one process has.
func (c calculator) machineTotals(processes float64) (all []Total) {
	const role = "machine whose backend calls most services"
	for _, one := range c.proxyTotals(role, c.callsPerProxy()) {
		all = append(all, Total{Role: role, Resource: one.Resource, Unit: one.Unit, Budget: one.Budget, Terms: []Term{{
			Name: fmt.Sprintf("%.0f processes, one for each service that is called", processes), Origin: Derived,
			Mechanism: MissingMechanism + ": one process for several lists",
			At:        func(n float64) float64 { return machineSum(one, processes, n) }}}})
	}
	return all
}

// perMachine is a total of several processes that share a machine's calls.
func machineSum(one Total, processes, n float64) (sum float64) {
	for _, term := range one.Terms {
		if term.Series != nil && term.Series.Variable == ByCallRate {
			sum += term.At(n)
		} else {
			sum += processes * term.At(n)
		}
	}
	return sum
}

// ofReplica are the totals of a control machine.
func (c calculator) replicaTotals(role string) []Total {
	const mechanism = "`internal/control`, `internal/controlserver`"
	setting := c.controlSetting()
	at := func(name string) *Series { return c.seriesByProxies(role, name, setting) }
	return []Total{
		{Role: role, Resource: "bytes a second, both ways", Unit: "bytes/s", Terms: []Term{
			term("at rest, in", mechanism, Measured, at("at rest, in, bytes/s"), factorOne),
			term("at rest, out", mechanism, Measured, at("at rest, out, bytes/s"), factorOne),
			term("changes of configuration, in", mechanism, Derived, at(figureConfigIn), c.changesPerSecond),
			term("changes of configuration, out", mechanism, Derived, at(figureConfigOut), c.changesPerSecond),
		}},
		{Role: role, Resource: "processor time", Unit: "part of a core", Budget: 1, Terms: []Term{
			term("at rest", mechanism, Measured, at(figureIdleCPU), factorOne),
			term("changes of configuration", mechanism, Derived, at(figureConfigCPU), c.changesPerSecond),
		}},
		{Role: role, Resource: "memory", Unit: "bytes", Terms: []Term{
			term("the process: log, state, watches", mechanism, Measured, at(figureMemory), factorOne),
		}},
	}
}

// ofDiscovery are the totals of discovery's agent on one machine: the stand-in's for all, in equal parts.
func (c calculator) discoveryTotals() []Total {
	const role, mechanism = "discovery's agent, one machine (stand-in)", "stand-in `internal/scale/standin`"
	setting := string(WholeList) + " list"
	each := func(n float64) float64 { return 1 / n }
	at := func(name string) *Series { return c.seriesByProxies(roleDiscovery, name, setting) }
	return []Total{
		{Role: role, Resource: "bytes a second, out", Unit: "bytes/s", Terms: []Term{
			term("heartbeats", mechanism, Measured, at("list watch at rest, all agents, out, bytes/s"), each),
			term("backends that restart", mechanism, Derived, at("each backend restarted once, all agents, out, bytes"),
				func(n float64) float64 { return each(n) * c.restartsPerSecond(n) }),
		}},
		{Role: role, Resource: "processor time", Unit: "part of a core", Terms: []Term{
			term("at rest", mechanism, Measured, at("processor time at rest, all agents, part of a core"), each),
		}},
		{Role: role, Resource: "memory", Unit: "bytes", Terms: []Term{term("all agents' process, in equal parts", mechanism, Measured,
			at("memory, all agents, bytes"), each)}},
	}
}

// Totals are those of all roles.
func (d *Data) Totals() []Total {
	c := calculator{data: d, fleet: fleet.Generate(d.Sizes)}
	_, most := c.fleet.CalleesPerProxy()
	all := c.proxyTotals("proxy beside a backend", float64(int(c.callsPerProxy())))
	all = append(all, c.proxyTotals("front proxy", c.callsPerFrontProxy())...)
	all = append(all, c.machineTotals(float64(most))...)
	all = append(all, c.replicaTotals(roleLeader)...)
	all = append(all, c.replicaTotals(roleFollower)...)
	return append(all, c.discoveryTotals()...)
}

// Over are the totals over their budget at the size.
func (d *Data) OverBudget() (over []Total) {
	for _, t := range d.Totals() {
		if t.OverBudget(float64(d.Sizes.Proxies)) {
			over = append(over, t)
		}
	}
	return over
}

package scale

import (
	"fmt"

	"sandpass/internal/scale/fleet"
)

// Origin is how a figure on the page was obtained.
type Origin string

// The origins of figures.
const (
	Measured  Origin = "m" // measured in the run at this size
	Predicted Origin = "p" // predicted by the fitted growth model
	Derived   Origin = "w" // calculated from measured series
	Assumed   Origin = "a" // an assumption
)

// MissingMechanism marks a term without measurements, which no package implements yet.
const MissingMechanism = "**missing**"

const secondsPerDay = 86_400

// Term is one part of a total.
type Term struct {
	Name      string
	Origin    Origin                        // of the value at the operators' fleet size
	Mechanism string                        // package that causes this use, or MissingMechanism
	Series    *Series                       // nil if there is none
	At        func(proxies float64) float64 // value for a number of proxies
}

// Total is the use of one resource by a role, with the budget for it.
type Total struct {
	Role, Resource, Unit string
	Budget               float64 // 0 if the operators have set none
	Terms                []Term
}

// Name returns the name under which the page lists the total as open.
func (t Total) Name() string { return t.Role + ", " + t.Resource }

// At returns the total for a number of proxies.
func (t Total) At(proxies float64) (sum float64) {
	for _, term := range t.Terms {
		sum += term.At(proxies)
	}
	return sum
}

// OverBudget reports whether the total exceeds its budget for a number of proxies.
func (t Total) OverBudget(proxies float64) bool { return t.Budget > 0 && t.At(proxies) > t.Budget }

// Figures of the series that totals are calculated from, under their names in the data file.
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

// calculator calculates totals from the data.
type calculator struct {
	data  *Data
	fleet *fleet.Fleet
}

// seriesValue returns the value of a series at n: the measured point if there is one, otherwise the prediction of the model.
func seriesValue(s *Series, n float64) float64 {
	for _, p := range s.Points {
		if p.N == n {
			return p.Y
		}
	}
	return max(0, s.Fit.At(n))
}

// byProxies returns the series of a figure over the number of proxies, nil if there is none.
func (c calculator) byProxies(role, name, setting string) *Series {
	return c.data.findSeries(role, name, ByProxies, setting)
}

// controlSetting returns the setting of the series with the number of control machines of the fleet.
func (c calculator) controlSetting() string {
	return controlSetting(c.data.Sizes.ControlMachines)
}

// byCallRate returns the series of a figure over the call rate, nil if there is none.
func (c calculator) byCallRate(name string) *Series {
	for i, s := range c.data.Series {
		if s.Role == roleProxy && s.Figure == name && s.Variable == ByCallRate {
			return &c.data.Series[i]
		}
	}
	return nil
}

// term returns a term that is a series over the number of proxies, times a factor that may depend on that number.
func term(name, mechanism string, origin Origin, s *Series, factor func(n float64) float64) Term {
	if s == nil {
		return Term{Name: name, Mechanism: MissingMechanism, Origin: Measured, At: func(float64) float64 { return 0 }}
	}
	return Term{Name: name, Mechanism: mechanism, Origin: origin, Series: s,
		At: func(n float64) float64 { return factor(n) * seriesValue(s, n) }}
}

// unscaled is the factor of a term that is not scaled.
func unscaled(float64) float64 { return 1 }

// restartsPerSecond returns the restarts per second of one backend.
func (c calculator) restartsPerSecond(float64) float64 {
	return c.data.Sizes.RestartsPerDay / float64(c.data.Sizes.Proxies) / secondsPerDay
}

// changesPerSecond returns the configuration changes per second in the fleet.
func (c calculator) changesPerSecond(float64) float64 {
	return c.data.Sizes.ChangesPerDay / secondsPerDay
}

// callsPerProxy returns the mean number of calls per second at a proxy.
func (c calculator) callsPerProxy() float64 {
	return c.data.Sizes.CallsPerSecond / float64(c.data.Sizes.Proxies)
}

// callsPerFrontProxy returns the mean number of calls per second from outside at a front proxy.
func (c calculator) callsPerFrontProxy() float64 {
	calls, proxies := 0.0, 0.0
	for _, s := range c.fleet.Services {
		if s.Level == 0 {
			calls, proxies = calls+s.CallsPerSecond, proxies+float64(len(s.Backends))
		}
	}
	return calls / max(1, proxies)
}

// callRateTerm returns a term that depends on the calls at a proxy and not on the number of proxies.
func callRateTerm(name, mechanism string, s *Series, calls, factor float64) Term {
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
		At: func(float64) float64 { return factor * seriesValue(s, calls) }}
}

const (
	listMechanism    = "`internal/watch`, `internal/proxy`"
	siblingMechanism = "`balance` (keepers)"
	configMechanism  = "`internal/configwatch`"
	processMechanism = "`internal/proxy`"
)

// proxyTotals returns the totals of a proxy that follows the list of one service, with the given calls per second.
func (c calculator) proxyTotals(role string, calls float64) []Total {
	budget := fleet.OperatorBudget
	service := string(ServiceList) + " list"
	whole := string(WholeList) + " list"
	control := c.controlSetting()
	traffic := Total{Role: role, Resource: "bytes a second, both ways", Unit: "bytes/s", Budget: budget.ProxyTraffic,
		Terms: []Term{
			term("list watch, heartbeats", listMechanism, Measured, c.byProxies(roleProxy, figureListIdle, service), unscaled),
			term("list watch, backends that restart, one whole list of the fleet", listMechanism, Derived,
				c.byProxies(roleProxy, figureListRestarts, whole), c.restartsPerSecond),
			callRateTerm("siblings' messages, with IP and UDP headers", siblingMechanism, c.byCallRate(figureSiblingBytes),
				calls, 2),
			term("configuration watch, heartbeats in", configMechanism, Measured,
				c.byProxies(roleProxy, figureConfigIdleIn, control), unscaled),
			term("configuration watch, out", configMechanism, Measured, c.byProxies(roleProxy, figureConfigIdleOut, control),
				unscaled),
			term("changes of configuration, in", configMechanism, Derived, c.byProxies(roleProxy, figureConfigIn, control),
				c.changesPerSecond),
			term("changes of configuration, out", configMechanism, Derived, c.byProxies(roleProxy, figureConfigOut, control),
				c.changesPerSecond),
		}}
	rest := term("at rest, list and configuration watch", processMechanism, Measured,
		c.byProxies(roleProxy, figureIdleWatchCPU, control), unscaled)
	if rest.Series == nil {
		rest = term("at rest, list watch", processMechanism, Measured, c.byProxies(roleProxy, figureIdleCPU, service), unscaled)
	}
	processor := Total{Role: role, Resource: "processor time for control", Unit: "part of a core", Budget: budget.ProxyCPU,
		Terms: []Term{
			rest,
			callRateTerm("siblings' messages", siblingMechanism, c.byCallRate(figureSiblingCPU), calls, 1),
			term("backends that restart", listMechanism, Derived, c.byProxies(roleProxy, figureListRestartCPU, whole),
				c.restartsPerSecond),
			term("changes of configuration", configMechanism, Derived, c.byProxies(roleProxy, figureConfigCPU, control),
				c.changesPerSecond),
		}}
	watchMemory := Term{Name: "configuration watch, and what it holds", Mechanism: MissingMechanism,
		At: func(float64) float64 { return 0 }}
	with, without := c.byProxies(roleProxy, figureWatchMemory, control), c.byProxies(roleProxy, figureMemory, service)
	if with != nil && without != nil {
		watchMemory = Term{Name: watchMemory.Name, Origin: Derived, Mechanism: configMechanism, Series: with,
			At: func(n float64) float64 { return max(0, seriesValue(with, n)-seriesValue(without, n)) }}
	}
	memory := Total{Role: role, Resource: "memory", Unit: "bytes", Budget: budget.ProxyMemory, Terms: []Term{
		term("a process with one whole list of the fleet", processMechanism, Measured,
			c.byProxies(roleProxy, figureMemory, whole), unscaled),
		watchMemory,
	}}
	return []Total{traffic, processor, memory}
}

// machineTotals returns the totals of a machine whose backend calls several services, with a proxy process for each. The calls
// are divided among the processes, so that they have together as many messages between siblings as a single one.
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

// machineSum returns the total of several processes that share the calls of a machine.
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

// replicaTotals returns the totals of a control machine.
func (c calculator) replicaTotals(role string) []Total {
	const mechanism = "`internal/control`, `internal/controlserver`"
	setting := c.controlSetting()
	at := func(name string) *Series { return c.byProxies(role, name, setting) }
	return []Total{
		{Role: role, Resource: "bytes a second, both ways", Unit: "bytes/s", Terms: []Term{
			term("at rest, in", mechanism, Measured, at("at rest, in, bytes/s"), unscaled),
			term("at rest, out", mechanism, Measured, at("at rest, out, bytes/s"), unscaled),
			term("changes of configuration, in", mechanism, Derived, at(figureConfigIn), c.changesPerSecond),
			term("changes of configuration, out", mechanism, Derived, at(figureConfigOut), c.changesPerSecond),
		}},
		{Role: role, Resource: "processor time", Unit: "part of a core", Budget: 1, Terms: []Term{
			term("at rest", mechanism, Measured, at(figureIdleCPU), unscaled),
			term("changes of configuration", mechanism, Derived, at(figureConfigCPU), c.changesPerSecond),
		}},
		{Role: role, Resource: "memory", Unit: "bytes", Terms: []Term{
			term("the process: log, state, watches", mechanism, Measured, at(figureMemory), unscaled),
		}},
	}
}

// discoveryTotals returns the totals of the discovery agent of one machine: an equal share of the stand-in process that runs
// all agents.
func (c calculator) discoveryTotals() []Total {
	const role, mechanism = "discovery's agent, one machine (stand-in)", "stand-in `internal/scale/standin`"
	setting := string(WholeList) + " list"
	each := func(n float64) float64 { return 1 / n }
	at := func(name string) *Series { return c.byProxies(roleDiscovery, name, setting) }
	return []Total{
		{Role: role, Resource: "bytes a second, out", Unit: "bytes/s", Terms: []Term{
			term("heartbeats", mechanism, Measured, at("list watch at rest, all agents, out, bytes/s"), each),
			term("backends that restart", mechanism, Derived, at("each backend restarted once, all agents, out, bytes"),
				func(n float64) float64 { return each(n) * c.restartsPerSecond(n) }),
		}},
		{Role: role, Resource: "processor time", Unit: "part of a core", Terms: []Term{
			term("at rest", mechanism, Measured, at("processor time at rest, all agents, part of a core"), each),
		}},
		{Role: role, Resource: "memory", Unit: "bytes", Terms: []Term{term("all agents' process, in equal parts", mechanism,
			Measured,
			at("memory, all agents, bytes"), each)}},
	}
}

// Totals returns the totals of all roles.
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

// OverBudget returns the totals that exceed their budget at the size of the fleet.
func (d *Data) OverBudget() (over []Total) {
	for _, t := range d.Totals() {
		if t.OverBudget(float64(d.Sizes.Proxies)) {
			over = append(over, t)
		}
	}
	return over
}

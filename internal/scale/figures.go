package scale

import (
	"context"
	"time"

	"sandpass/internal/scale/fit"
	"sandpass/internal/scale/helper"
	"sandpass/internal/scale/meter"
)

// figure is one measured value of a role, with its name and unit.
type figure struct {
	role, name, unit string
	value            float64
}

// roleUsage is the usage of each process by role.
type roleUsage map[string][]meter.Usage

// usage reads the usage of all processes.
func (d *Deployment) usage() roleUsage {
	all := roleUsage{}
	for role, pids := range d.processIDs() {
		for _, pid := range pids {
			used, _ := meter.ProcessUsage(pid) // a process that has ended counts as unused
			all[role] = append(all[role], used)
		}
	}
	return all
}

// cpuSince returns the mean share of a core that a process of the role has used since an earlier reading, 0 if the number of
// processes has changed.
func (u roleUsage) cpuSince(before roleUsage, role string, seconds float64) float64 {
	if n := len(u[role]); n == 0 || n != len(before[role]) {
		return 0
	}
	sum := 0.0
	for i := range u[role] {
		sum += u[role][i].CPUSeconds - before[role][i].CPUSeconds
	}
	return sum / seconds / float64(len(u[role]))
}

// residentBytes returns the mean memory of a process of the role.
func (u roleUsage) residentBytes(role string) float64 {
	sum := 0.0
	for _, used := range u[role] {
		sum += used.ResidentBytes / float64(len(u[role]))
	}
	return sum
}

// interval is the usage and traffic of the deployment over a period of time.
type interval struct {
	seconds       float64
	before, after roleUsage
	traffic       []meter.Traffic // of each proxy with discovery
}

// measure returns the usage and traffic while do runs.
func (d *Deployment) measure(do func() error) (*interval, error) {
	traffic, err := d.traffic()
	if err != nil {
		return nil, err
	}
	s := &interval{before: d.usage()}
	started := time.Now()
	if err := do(); err != nil {
		return nil, err
	}
	s.after, s.seconds = d.usage(), time.Since(started).Seconds()
	if s.traffic, err = d.traffic(); err != nil {
		return nil, err
	}
	for i := range s.traffic {
		s.traffic[i] = s.traffic[i].Minus(traffic[i])
	}
	return s, nil
}

// cpu returns the mean share of a core that a process of the role used in the interval.
func (s *interval) cpu(role string) float64 { return s.after.cpuSince(s.before, role, s.seconds) }

// mean returns the mean of a value over the traffic of several proxies.
func mean(traffic []meter.Traffic, value func(meter.Traffic) int64) float64 {
	sum := 0.0
	for _, t := range traffic {
		sum += float64(value(t))
	}
	return sum / float64(max(1, len(traffic)))
}

func bytesIn(t meter.Traffic) int64     { return t.BytesIn }
func bytesOut(t meter.Traffic) int64    { return t.BytesOut }
func messagesIn(t meter.Traffic) int64  { return t.MessagesIn }
func messagesOut(t meter.Traffic) int64 { return t.MessagesOut }

// idleFigures returns the figures of an idle fleet.
func idleFigures(s *interval, helperBaseBytes float64, inProcess int) []figure {
	per := func(f func(meter.Traffic) int64) float64 { return mean(s.traffic, f) / s.seconds }
	n := float64(len(s.traffic))
	figures := []figure{
		{roleProxy, "processor time at rest", "part of a core", s.cpu(roleProxy)},
		{roleProxy, "memory", "bytes", s.after.residentBytes(roleProxy)},
		{roleProxy, "list watch at rest, in", "bytes/s", per(bytesIn)},
		{roleProxy, "list watch at rest, out", "bytes/s", per(bytesOut)},
		{roleProxy, "list watch at rest, in", "messages/s", per(messagesIn)},
		{roleDiscovery, "processor time at rest, all agents", "part of a core", s.cpu(roleDiscovery)},
		{roleDiscovery, "memory, all agents", "bytes", s.after.residentBytes(roleDiscovery)},
		{roleDiscovery, "list watch at rest, all agents, out", "bytes/s", n * per(bytesIn)},
	}
	if inProcess > 0 {
		figures = append(figures, figure{roleInProcess, "memory growth for each", "bytes",
			(s.after.residentBytes(roleInProcess) - helperBaseBytes) / float64(inProcess)})
	}
	return figures
}

// restartFigures returns the figures of backend restarts, without the idle use. Each restart takes a backend out of the list
// and puts it back. The figures are scaled to one restart of every backend, so that fleets of different sizes compare.
func restartFigures(s, idle *interval, restarts int) []figure {
	each := func(f func(meter.Traffic) int64) float64 {
		idleTraffic := mean(idle.traffic, f) / idle.seconds * s.seconds
		return max(0, mean(s.traffic, f)-idleTraffic) / float64(restarts) * float64(len(s.traffic))
	}
	n := float64(len(s.traffic))
	cpu := func(role string) float64 {
		return max(0, s.cpu(role)-idle.cpu(role)) * s.seconds / float64(restarts) * n
	}
	return []figure{
		{roleProxy, "each backend restarted once, list watch in", "bytes", each(bytesIn)},
		{roleProxy, "each backend restarted once, list watch in", "messages", each(messagesIn)},
		{roleProxy, "each backend restarted once, processor time", "s", cpu(roleProxy)},
		{roleDiscovery, "each backend restarted once, all agents, out", "bytes", n * each(bytesIn)},
		{roleDiscovery, "each backend restarted once, all agents, processor time", "s", cpu(roleDiscovery)},
	}
}

// reconnectFigures returns the figures of all proxies requesting whole lists at once.
func reconnectFigures(s, idle *interval) []figure {
	cpu := func(role string) float64 { return max(0, s.cpu(role)-idle.cpu(role)) * s.seconds }
	return []figure{
		{roleProxy, "whole list, in", "bytes", mean(s.traffic, bytesIn)},
		{roleProxy, "whole list, processor time", "s", cpu(roleProxy)},
		{roleDiscovery, "all ask for whole lists, out", "bytes", float64(len(s.traffic)) * mean(s.traffic, bytesIn)},
		{roleDiscovery, "all ask for whole lists, processor time", "s", cpu(roleDiscovery)},
		{roleDiscovery, "all ask for whole lists, connections", "connections",
			mean(s.traffic, messagesOut) * float64(len(s.traffic))},
	}
}

// restartBackends takes backends out of the list one after another, at the given rate, and puts them back.
func (d *Deployment) restartBackends(ctx context.Context, restarts int, perSecond float64) error {
	const states = 3
	step := time.Duration(float64(time.Second) / perSecond / states)
	for k := range restarts {
		i := k * 37 % len(d.plan.Fleet.Proxies) // 37 spreads the restarts over the fleet
		for _, status := range []string{"draining", "gone", "ready"} {
			if err := d.updateBackends([]int{i}, status); err != nil {
				return err
			}
			if err := sleep(ctx, step); err != nil {
				return err
			}
		}
	}
	return nil
}

// reconnectAll closes all watches at once, waits until each proxy has its list again and returns the seconds that it took.
func (d *Deployment) reconnectAll(ctx context.Context) (float64, error) {
	all := allProxies(d.plan.Fleet)
	before, err := d.traffic()
	if err != nil {
		return 0, err
	}
	started := time.Now()
	if _, err := d.discovery.Do(helper.Request{CloseConnections: all}); err != nil {
		return 0, err
	}
	err = d.awaitLists(ctx, before)
	return time.Since(started).Seconds(), err
}

// fitSeries fits a model to the points up to fitUpTo. If the last point is beyond that, it is predicted for comparison.
func fitSeries(s Series, fitUpTo float64) (Series, error) {
	var fitted []fit.Point
	for _, p := range s.Points {
		if p.N <= fitUpTo {
			fitted = append(fitted, p)
		}
	}
	var err error
	if s.Fit, err = fit.Best(fitted); err != nil {
		return s, err
	}
	if last := s.Points[len(s.Points)-1]; last.N > fitUpTo {
		s.Predicted = &Prediction{N: last.N, Predicted: s.Fit.At(last.N), Measured: last.Y}
	}
	return s, nil
}

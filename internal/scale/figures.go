package scale

import (
	"context"
	"time"

	"sandpass/internal/scale/fit"
	"sandpass/internal/scale/helper"
	"sandpass/internal/scale/meter"
)

// figure is one value that was measured, with the name under which it goes into a series.
type figure struct {
	role, name, unit string
	value            float64
}

// usage is what the processes of each role have used: each of them.
type roleUsage map[string][]meter.Usage

func (r *Deployment) usage() roleUsage {
	all := roleUsage{}
	for role, pids := range r.processIDs() {
		for _, pid := range pids {
			used, _ := meter.ProcessUsage(pid) // one that has ended has used nothing since
			all[role] = append(all[role], used)
		}
	}
	return all
}

// cpuSince is the mean part of a core that a process of the role used.
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

// resident is the mean memory of a process of the role.
func (u roleUsage) residentBytes(role string) float64 {
	sum := 0.0
	for _, used := range u[role] {
		sum += used.ResidentBytes / float64(len(u[role]))
	}
	return sum
}

// span is what was used and said in a stretch of time.
type interval struct {
	seconds       float64
	before, after roleUsage
	traffic       []meter.Traffic // of each proxy with discovery
}

// during measures what happens while something is done.
func (r *Deployment) measure(do func() error) (*interval, error) {
	traffic, err := r.traffic()
	if err != nil {
		return nil, err
	}
	s := &interval{before: r.usage()}
	started := time.Now()
	if err := do(); err != nil {
		return nil, err
	}
	s.after, s.seconds = r.usage(), time.Since(started).Seconds()
	if s.traffic, err = r.traffic(); err != nil {
		return nil, err
	}
	for i := range s.traffic {
		s.traffic[i] = s.traffic[i].Minus(traffic[i])
	}
	return s, nil
}

func (s *interval) cpu(role string) float64 { return s.after.cpuSince(s.before, role, s.seconds) }

// mean is the traffic of one proxy in the mean, of all or of some.
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

// restFigures are those of a fleet to which nothing happens.
func idleFigures(s *interval, hollowBase float64, hollowCount int) []figure {
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
	if hollowCount > 0 {
		figures = append(figures, figure{roleInProcess, "memory growth for each", "bytes",
			(s.after.residentBytes(roleInProcess) - hollowBase) / float64(hollowCount)})
	}
	return figures
}

// restartFigures are those of restarts at a rate: each takes a backend out of the list and puts it back. They are given for
// as many restarts as there are backends, so that they compare over sizes of the fleet.
func restartFigures(s, rest *interval, restarts int) []figure {
	each := func(f func(meter.Traffic) int64) float64 {
		idle := mean(rest.traffic, f) / rest.seconds * s.seconds
		return max(0, mean(s.traffic, f)-idle) / float64(restarts) * float64(len(s.traffic))
	}
	n := float64(len(s.traffic))
	cpu := func(role string) float64 {
		return max(0, s.cpu(role)-rest.cpu(role)) * s.seconds / float64(restarts) * n
	}
	return []figure{
		{roleProxy, "each backend restarted once, list watch in", "bytes", each(bytesIn)},
		{roleProxy, "each backend restarted once, list watch in", "messages", each(messagesIn)},
		{roleProxy, "each backend restarted once, processor time", "s", cpu(roleProxy)},
		{roleDiscovery, "each backend restarted once, all agents, out", "bytes", n * each(bytesIn)},
		{roleDiscovery, "each backend restarted once, all agents, processor time", "s", cpu(roleDiscovery)},
	}
}

// returnFigures are those of all proxies asking for whole lists at once.
func reconnectFigures(s, rest *interval) []figure {
	cpu := func(role string) float64 { return max(0, s.cpu(role)-rest.cpu(role)) * s.seconds }
	return []figure{
		{roleProxy, "whole list, in", "bytes", mean(s.traffic, bytesIn)},
		{roleProxy, "whole list, processor time", "s", cpu(roleProxy)},
		{roleDiscovery, "all ask for whole lists, out", "bytes", float64(len(s.traffic)) * mean(s.traffic, bytesIn)},
		{roleDiscovery, "all ask for whole lists, processor time", "s", cpu(roleDiscovery)},
		{roleDiscovery, "all ask for whole lists, connections", "connections", mean(s.traffic, messagesOut) * float64(len(s.traffic))},
	}
}

// restart takes backends out of the list one after another and puts them back, at a rate.
func (r *Deployment) restartBackends(ctx context.Context, restarts int, perSecond float64) error {
	const states = 3
	step := time.Duration(float64(time.Second) / perSecond / states)
	for k := range restarts {
		i := k * 37 % len(r.plan.Fleet.Proxies) // all over the fleet
		for _, status := range []string{"draining", "gone", "ready"} {
			if err := r.updateBackends([]int{i}, status); err != nil {
				return err
			}
			if err := sleep(ctx, step); err != nil {
				return err
			}
		}
	}
	return nil
}

// breakAll closes all watches at once and waits until each proxy has its list again; it gives the seconds.
func (r *Deployment) reconnectAll(ctx context.Context) (float64, error) {
	all := allProxies(r.plan.Fleet)
	before, err := r.traffic()
	if err != nil {
		return 0, err
	}
	started := time.Now()
	if _, err := r.discovery.Do(helper.Request{CloseConnections: all}); err != nil {
		return 0, err
	}
	err = r.awaitLists(ctx, before)
	return time.Since(started).Seconds(), err
}

// fitted makes a series of points, with what the fit says of the last size where that is beyond those fitted.
func fitSeries(s Series, fitUpTo float64) (Series, error) {
	var inside []fit.Point
	for _, p := range s.Points {
		if p.N <= fitUpTo {
			inside = append(inside, p)
		}
	}
	var err error
	if s.Fit, err = fit.Best(inside); err != nil {
		return s, err
	}
	if last := s.Points[len(s.Points)-1]; last.N > fitUpTo {
		s.Predicted = &Prediction{N: last.N, Predicted: s.Fit.At(last.N), Measured: last.Y}
	}
	return s, nil
}

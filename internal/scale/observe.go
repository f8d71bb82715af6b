package scale

import (
	"context"
	"sync"
	"time"

	"sandpass/internal/scale/meter"
)

const sampleInterval = time.Second

// sample is one look at all.
type sample struct {
	at               time.Time
	usage            roleUsage
	discoveryTraffic []meter.Traffic // of each proxy with discovery

	replicas       []meter.Usage   // of control, by their number; nothing of one that does not run
	replicaTraffic []meter.Traffic // of each with proxies and the other replicas
	configTraffic  []meter.Traffic // of the counted proxies with control
}

// both is a proxy's traffic with discovery and, where it is counted, with control.
func (s *sample) proxyTraffic(i int) meter.Traffic {
	if i < len(s.configTraffic) {
		return s.discoveryTraffic[i].Plus(s.configTraffic[i])
	}
	return s.discoveryTraffic[i]
}

// observer looks at a rig each second while something happens to it.
type observer struct {
	deployment *Deployment
	samples    []sample
}

func (o *observer) takeSample() error {
	traffic, err := o.deployment.traffic()
	if err == nil {
		o.samples = append(o.samples, sample{at: time.Now(), usage: o.deployment.usage(), discoveryTraffic: traffic})
		o.sampleControl(&o.samples[len(o.samples)-1])
	}
	return err
}

func (o *observer) sampleControl(s *sample) {
	c := o.deployment.control
	if c == nil {
		return
	}
	for k := range c.replicas {
		used := meter.Usage{}
		if c.running(k) {
			used, _ = meter.ProcessUsage(c.replicas[k].command.Process.Pid) // one that has just ended has nothing
		}
		s.replicas = append(s.replicas, used)
	}
	s.replicaTraffic, s.configTraffic = c.replicaTraffic(), c.proxyTraffic()
}

// replicaPeak is the most that one of some replicas used in a second.
func (o *observer) replicaPeak(role string, of func(k int) bool) (p Peak) {
	p.Role = role
	for k := range o.samples[0].replicas {
		if !of(k) {
			continue
		}
		for n := 1; n < len(o.samples); n++ {
			previous, current := o.samples[n-1], o.samples[n]
			seconds := current.at.Sub(previous.at).Seconds()
			if seconds < sampleInterval.Seconds()/2 || previous.replicas[k].CPUSeconds == 0 || current.replicas[k].CPUSeconds < previous.replicas[k].CPUSeconds {
				continue
			}
			t := current.replicaTraffic[k].Minus(previous.replicaTraffic[k])
			p.CPU = max(p.CPU, (current.replicas[k].CPUSeconds-previous.replicas[k].CPUSeconds)/seconds)
			p.BytesIn, p.BytesOut = max(p.BytesIn, float64(t.BytesIn)/seconds), max(p.BytesOut, float64(t.BytesOut)/seconds)
			p.Memory = max(p.Memory, current.replicas[k].ResidentBytes)
		}
		t := o.samples[len(o.samples)-1].replicaTraffic[k].Minus(o.samples[0].replicaTraffic[k])
		p.TotalBytes = max(p.TotalBytes, float64(t.BytesIn+t.BytesOut))
	}
	return p
}

// observe does something to a rig and gives what was used and said meanwhile, second by second. What is done gives the
// seconds until all was as usual.
func (r *Deployment) observe(ctx context.Context, e Event, do func(e *Event) error) (Event, error) {
	e.Proxies, e.Setting = len(r.plan.Fleet.Proxies), string(r.plan.ListScope)+" list"
	o := &observer{deployment: r}
	leader := -1
	if r.control != nil {
		leader = r.control.leaderIndex()
	}
	if err := o.takeSample(); err != nil {
		return e, err
	}
	var wait sync.WaitGroup
	over := make(chan struct{})
	var failure error
	wait.Go(func() {
		for tick := time.NewTicker(sampleInterval); ; {
			select {
			case <-tick.C:
				failure = o.takeSample()
			case <-over:
				tick.Stop()
				return
			}
			if failure != nil {
				return
			}
		}
	})
	err := do(&e)
	if err == nil {
		err = sleep(ctx, sampleInterval) // what came last is seen over a whole second as well
	}
	close(over)
	wait.Wait()
	if err == nil {
		err = failure
	}
	if err == nil {
		err = o.takeSample()
	}
	if err != nil {
		return e, err
	}
	e.LoadAverage = meter.LoadAverage()
	e.Peaks = append(e.Peaks, o.proxyPeak(), o.discoveryPeak())
	if r.control != nil {
		e.Peaks = append(e.Peaks, o.replicaPeak(roleLeader, func(k int) bool { return k == leader }),
			o.replicaPeak(roleFollower, func(k int) bool { return k != leader }))
	}
	first, last := o.samples[0], o.samples[len(o.samples)-1]
	for i := range last.discoveryTraffic {
		e.Connections += int(last.discoveryTraffic[i].MessagesOut - first.discoveryTraffic[i].MessagesOut)
	}
	return e, ctx.Err()
}

// proxyPeak is the most that a proxy used in a second: processor time of a real one, traffic of any.
func (o *observer) proxyPeak() Peak {
	p := Peak{Role: roleProxy}
	for k := 1; k < len(o.samples); k++ {
		previous, current := o.samples[k-1], o.samples[k]
		seconds := current.at.Sub(previous.at).Seconds()
		if seconds < sampleInterval.Seconds()/2 {
			continue // a part of a second says little of a rate
		}
		p.CPU = max(p.CPU, current.usage.cpuSince(previous.usage, roleProxy, seconds))
		for i := range current.discoveryTraffic {
			t := current.proxyTraffic(i).Minus(previous.proxyTraffic(i))
			p.BytesIn, p.BytesOut = max(p.BytesIn, float64(t.BytesIn)/seconds), max(p.BytesOut, float64(t.BytesOut)/seconds)
		}
	}
	first, last := o.samples[0], o.samples[len(o.samples)-1]
	for i := range last.discoveryTraffic {
		t := last.proxyTraffic(i).Minus(first.proxyTraffic(i))
		p.TotalBytes = max(p.TotalBytes, float64(t.BytesIn+t.BytesOut))
	}
	return p
}

// discoveryPeak is the most that all agents together used in a second.
func (o *observer) discoveryPeak() Peak {
	p := Peak{Role: roleDiscovery}
	sum := func(s sample) (all meter.Traffic) {
		for _, t := range s.discoveryTraffic {
			all = all.Plus(t.Reversed())
		}
		return all
	}
	for k := 1; k < len(o.samples); k++ {
		previous, current := o.samples[k-1], o.samples[k]
		seconds := current.at.Sub(previous.at).Seconds()
		if seconds < sampleInterval.Seconds()/2 {
			continue
		}
		t := sum(current).Minus(sum(previous))
		p.CPU = max(p.CPU, current.usage.cpuSince(previous.usage, roleDiscovery, seconds))
		p.BytesIn, p.BytesOut = max(p.BytesIn, float64(t.BytesIn)/seconds), max(p.BytesOut, float64(t.BytesOut)/seconds)
	}
	t := sum(o.samples[len(o.samples)-1]).Minus(sum(o.samples[0]))
	p.TotalBytes = float64(t.BytesIn + t.BytesOut)
	return p
}

package scale

import (
	"context"
	"sync"
	"time"

	"sandpass/internal/scale/meter"
)

const sampleInterval = time.Second

// sample is one reading of the usage and traffic of a deployment.
type sample struct {
	at               time.Time
	usage            roleUsage
	discoveryTraffic []meter.Traffic // of each proxy with discovery

	replicas       []meter.Usage   // of each control replica; zero if it does not run
	replicaTraffic []meter.Traffic // of each replica with proxies and other replicas
	configTraffic  []meter.Traffic // of the counted proxies with control
}

// proxyTraffic returns the traffic of a proxy with discovery and, if it is counted, with control.
func (s *sample) proxyTraffic(i int) meter.Traffic {
	if i < len(s.configTraffic) {
		return s.discoveryTraffic[i].Plus(s.configTraffic[i])
	}
	return s.discoveryTraffic[i]
}

// observer samples a deployment each second during an event.
type observer struct {
	deployment *Deployment
	samples    []sample
}

// takeSample adds a sample.
func (o *observer) takeSample() error {
	traffic, err := o.deployment.traffic()
	if err == nil {
		o.samples = append(o.samples, sample{at: time.Now(), usage: o.deployment.usage(), discoveryTraffic: traffic})
		o.sampleControl(&o.samples[len(o.samples)-1])
	}
	return err
}

// sampleControl adds the usage and traffic of the control replicas to a sample.
func (o *observer) sampleControl(s *sample) {
	c := o.deployment.control
	if c == nil {
		return
	}
	for k := range c.replicas {
		used := meter.Usage{}
		if c.running(k) {
			used, _ = meter.ProcessUsage(c.replicas[k].command.Process.Pid) // a process that has just ended uses nothing
		}
		s.replicas = append(s.replicas, used)
	}
	s.replicaTraffic, s.configTraffic = c.replicaTraffic(), c.proxyTraffic()
}

// replicaPeak returns the highest use in one second by any replica that include selects. Seconds in which a replica did not
// run throughout are left out.
func (o *observer) replicaPeak(role string, include func(k int) bool) (p Peak) {
	p.Role = role
	for k := range o.samples[0].replicas {
		if !include(k) {
			continue
		}
		for n := 1; n < len(o.samples); n++ {
			previous, current := o.samples[n-1], o.samples[n]
			seconds := current.at.Sub(previous.at).Seconds()
			if seconds < sampleInterval.Seconds()/2 || previous.replicas[k].CPUSeconds == 0 ||
				current.replicas[k].CPUSeconds < previous.replicas[k].CPUSeconds {
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

// observe runs an event and returns it with the peak usage and traffic, which it samples each second. The function do sets
// the other results of the event.
func (d *Deployment) observe(ctx context.Context, e Event, do func(e *Event) error) (Event, error) {
	e.Proxies, e.Setting = len(d.plan.Fleet.Proxies), string(d.plan.ListScope)+" list"
	o := &observer{deployment: d}
	leader := -1
	if d.control != nil {
		leader = d.control.leaderIndex()
	}
	if err := o.takeSample(); err != nil {
		return e, err
	}
	var wait sync.WaitGroup
	stop := make(chan struct{})
	var sampleErr error
	wait.Go(func() {
		for tick := time.NewTicker(sampleInterval); ; {
			select {
			case <-tick.C:
				sampleErr = o.takeSample()
			case <-stop:
				tick.Stop()
				return
			}
			if sampleErr != nil {
				return
			}
		}
	})
	err := do(&e)
	if err == nil {
		err = sleep(ctx, sampleInterval) // includes a whole second after the end of the event
	}
	close(stop)
	wait.Wait()
	if err == nil {
		err = sampleErr
	}
	if err == nil {
		err = o.takeSample()
	}
	if err != nil {
		return e, err
	}
	e.LoadAverage = meter.LoadAverage()
	e.Peaks = append(e.Peaks, o.proxyPeak(), o.discoveryPeak())
	if d.control != nil {
		e.Peaks = append(e.Peaks, o.replicaPeak(roleLeader, func(k int) bool { return k == leader }),
			o.replicaPeak(roleFollower, func(k int) bool { return k != leader }))
	}
	first, last := o.samples[0], o.samples[len(o.samples)-1]
	for i := range last.discoveryTraffic {
		e.Connections += int(last.discoveryTraffic[i].MessagesOut - first.discoveryTraffic[i].MessagesOut)
	}
	return e, ctx.Err()
}

// proxyPeak returns the highest use in one second: the mean processor time of the real proxies, and the traffic of any
// proxy.
func (o *observer) proxyPeak() Peak {
	p := Peak{Role: roleProxy}
	for k := 1; k < len(o.samples); k++ {
		previous, current := o.samples[k-1], o.samples[k]
		seconds := current.at.Sub(previous.at).Seconds()
		if seconds < sampleInterval.Seconds()/2 {
			continue // too short an interval to measure a rate
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

// discoveryPeak returns the highest use in one second by all discovery agents together.
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

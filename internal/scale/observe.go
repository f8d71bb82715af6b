package scale

import (
	"context"
	"sync"
	"time"

	"sandpass/internal/scale/meter"
)

const sampleEvery = time.Second

// sample is one look at all.
type sample struct {
	at      time.Time
	usage   usage
	traffic []meter.Traffic // of each proxy with discovery

	replicas       []meter.Usage   // of control, by their number; nothing of one that does not run
	replicaTraffic []meter.Traffic // of each with proxies and the other replicas
	control        []meter.Traffic // of the counted proxies with control
}

// both is a proxy's traffic with discovery and, where it is counted, with control.
func (s *sample) both(i int) meter.Traffic {
	if i < len(s.control) {
		return s.traffic[i].Plus(s.control[i])
	}
	return s.traffic[i]
}

// observer looks at a rig each second while something happens to it.
type observer struct {
	rig     *Deployment
	samples []sample
}

func (o *observer) look() error {
	traffic, err := o.rig.traffic()
	if err == nil {
		o.samples = append(o.samples, sample{at: time.Now(), usage: o.rig.usage(), traffic: traffic})
		o.lookAtControl(&o.samples[len(o.samples)-1])
	}
	return err
}

func (o *observer) lookAtControl(s *sample) {
	c := o.rig.control
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
	s.replicaTraffic, s.control = c.replicaTraffic(), c.proxyTraffic()
}

// replicaPeak is the most that one of some replicas used in a second.
func (o *observer) replicaPeak(role string, of func(k int) bool) (p Peak) {
	p.Role = role
	for k := range o.samples[0].replicas {
		if !of(k) {
			continue
		}
		for n := 1; n < len(o.samples); n++ {
			was, is := o.samples[n-1], o.samples[n]
			seconds := is.at.Sub(was.at).Seconds()
			if seconds < sampleEvery.Seconds()/2 || was.replicas[k].CPUSeconds == 0 || is.replicas[k].CPUSeconds < was.replicas[k].CPUSeconds {
				continue
			}
			t := is.replicaTraffic[k].Minus(was.replicaTraffic[k])
			p.CPU = max(p.CPU, (is.replicas[k].CPUSeconds-was.replicas[k].CPUSeconds)/seconds)
			p.BytesIn, p.BytesOut = max(p.BytesIn, float64(t.BytesIn)/seconds), max(p.BytesOut, float64(t.BytesOut)/seconds)
			p.Memory = max(p.Memory, is.replicas[k].ResidentBytes)
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
	o := &observer{rig: r}
	leader := -1
	if r.control != nil {
		leader = r.control.leader()
	}
	if err := o.look(); err != nil {
		return e, err
	}
	var wait sync.WaitGroup
	over := make(chan struct{})
	var failure error
	wait.Go(func() {
		for tick := time.NewTicker(sampleEvery); ; {
			select {
			case <-tick.C:
				failure = o.look()
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
		err = pause(ctx, sampleEvery) // what came last is seen over a whole second as well
	}
	close(over)
	wait.Wait()
	if err == nil {
		err = failure
	}
	if err == nil {
		err = o.look()
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
	for i := range last.traffic {
		e.Connections += int(last.traffic[i].MessagesOut - first.traffic[i].MessagesOut)
	}
	return e, ctx.Err()
}

// proxyPeak is the most that a proxy used in a second: processor time of a real one, traffic of any.
func (o *observer) proxyPeak() Peak {
	p := Peak{Role: roleProxy}
	for k := 1; k < len(o.samples); k++ {
		was, is := o.samples[k-1], o.samples[k]
		seconds := is.at.Sub(was.at).Seconds()
		if seconds < sampleEvery.Seconds()/2 {
			continue // a part of a second says little of a rate
		}
		p.CPU = max(p.CPU, is.usage.cpuSince(was.usage, roleProxy, seconds))
		for i := range is.traffic {
			t := is.both(i).Minus(was.both(i))
			p.BytesIn, p.BytesOut = max(p.BytesIn, float64(t.BytesIn)/seconds), max(p.BytesOut, float64(t.BytesOut)/seconds)
		}
	}
	first, last := o.samples[0], o.samples[len(o.samples)-1]
	for i := range last.traffic {
		t := last.both(i).Minus(first.both(i))
		p.TotalBytes = max(p.TotalBytes, float64(t.BytesIn+t.BytesOut))
	}
	return p
}

// discoveryPeak is the most that all agents together used in a second.
func (o *observer) discoveryPeak() Peak {
	p := Peak{Role: roleDiscovery}
	sum := func(s sample) (all meter.Traffic) {
		for _, t := range s.traffic {
			all = all.Plus(t.Reversed())
		}
		return all
	}
	for k := 1; k < len(o.samples); k++ {
		was, is := o.samples[k-1], o.samples[k]
		seconds := is.at.Sub(was.at).Seconds()
		if seconds < sampleEvery.Seconds()/2 {
			continue
		}
		t := sum(is).Minus(sum(was))
		p.CPU = max(p.CPU, is.usage.cpuSince(was.usage, roleDiscovery, seconds))
		p.BytesIn, p.BytesOut = max(p.BytesIn, float64(t.BytesIn)/seconds), max(p.BytesOut, float64(t.BytesOut)/seconds)
	}
	t := sum(o.samples[len(o.samples)-1]).Minus(sum(o.samples[0]))
	p.TotalBytes = float64(t.BytesIn + t.BytesOut)
	return p
}

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
	traffic []meter.Traffic
}

// observer looks at a rig each second while something happens to it.
type observer struct {
	rig     *Rig
	samples []sample
}

func (o *observer) look() error {
	traffic, err := o.rig.traffic()
	if err == nil {
		o.samples = append(o.samples, sample{time.Now(), o.rig.usage(), traffic})
	}
	return err
}

// observe does something to a rig and gives what was used and said meanwhile, second by second. What is done gives the
// seconds until all was as usual.
func (r *Rig) observe(ctx context.Context, e Event, do func(e *Event) error) (Event, error) {
	e.Proxies, e.Setting = len(r.plan.Fleet.Proxies), string(r.plan.Lists)+" list"
	o := &observer{rig: r}
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
	e.Load = meter.LoadAverage()
	e.Peaks = append(e.Peaks, o.proxyPeak(), o.discoveryPeak())
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
			t := is.traffic[i].Minus(was.traffic[i])
			p.BytesIn, p.BytesOut = max(p.BytesIn, float64(t.BytesIn)/seconds), max(p.BytesOut, float64(t.BytesOut)/seconds)
		}
	}
	first, last := o.samples[0], o.samples[len(o.samples)-1]
	for i := range last.traffic {
		t := last.traffic[i].Minus(first.traffic[i])
		p.Total = max(p.Total, float64(t.BytesIn+t.BytesOut))
	}
	return p
}

// discoveryPeak is the most that all agents together used in a second.
func (o *observer) discoveryPeak() Peak {
	p := Peak{Role: roleDiscovery}
	sum := func(s sample) (all meter.Traffic) {
		for _, t := range s.traffic {
			all = all.Plus(t.Flipped())
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
	p.Total = float64(t.BytesIn + t.BytesOut)
	return p
}

// This file owns what instances are told of backends, and when. It must never be right before its time.

package emulator

import (
	"sandpass/balance"
	"sandpass/internal/faults"
)

// change is a line of a tier's history.
type change struct {
	at      float64
	b       *backend
	state   balance.State
	started float64
}

func (d *Simulation) entry(c change) balance.Entry {
	e := balance.Entry{ID: c.b.id, Zone: c.b.zone, Cell: c.b.cell, State: c.state, Capacity: c.b.size, StartedAt: c.started}
	if c.started > 0 {
		e.StartedAt = max(1e-9, c.started+d.drift(c.b))
	}
	return e
}

// drift is by how much a backend's start is told wrong.
func (d *Simulation) drift(b *backend) (off float64) {
	for _, f := range d.during(faults.StartTimeError) {
		if f.Tier != b.tier {
			continue
		}
		if u := draw(f.Seed, uint64(b.serial)); u < f.Share {
			off -= f.Hard
		} else if u > 1-f.Share {
			off += f.Hard
		}
	}
	return off
}

// announce lets discovery know; each instance hears of it when its time has come.
func (d *Simulation) announce(b *backend, state balance.State) {
	d.logs[b.tier] = append(d.logs[b.tier], change{d.now, b, state, b.started})
	d.tellAll(b.tier, false)
}

func (d *Simulation) tellAll(tier int, whole bool) {
	for _, x := range d.places[tier] {
		if x != nil && x.alive {
			x.whole = x.whole || whole
			d.soon(x)
		}
	}
}

// soon asks for word to an instance after the usual lag.
func (d *Simulation) soon(x *instance) {
	if x.due || !x.watching {
		return
	}
	x.due = true
	lag := d.w.Discovery.Lag
	at := d.now + lag[0] + (lag[1]-lag[0])*d.listChance.Float64()
	for _, f := range d.during(faults.DiscoveryLag) {
		at += f.Hard
	}
	d.queue.push(onList, event{at: at, n: uint64(x.serial)})
}

// inForce is the end of a fault of the kind that is in force, or 0.
func (d *Simulation) inForce(k faults.Kind) (until float64, f faults.Fault) {
	for _, x := range d.during(k) {
		if x.From+x.For > until {
			until, f = x.From+x.For, x
		}
	}
	return until, f
}

// list is the time for an instance to hear what changed.
func (d *Simulation) list(x *instance) {
	x.due = false
	if !x.alive || !x.watching {
		return
	}
	if until, _ := d.inForce(faults.DiscoverySilent); until > d.now {
		x.due = true
		d.queue.push(onList, event{at: until + d.listChance.Float64()*d.w.Discovery.Lag[1], n: uint64(x.serial)})
		return
	}
	d.tell(x)
}

// tell gives an instance what discovery has for it now.
func (d *Simulation) tell(x *instance) {
	log := d.logs[x.tier]
	upTo, whole := len(log), x.whole
	if until, f := d.inForce(faults.DiscoverySilent); until > d.now { // only an instance that starts: it has an old list
		for upTo > 0 && log[upTo-1].at > f.From {
			upTo--
		}
	}
	if until, f := d.inForce(faults.DiscoveryStale); until > 0 {
		whole = true
		for upTo > 0 && log[upTo-1].at > max(0, d.now-f.Hard) {
			upTo--
		}
	}
	var entries []balance.Entry
	var starts []float64 // the true ones
	if whole {
		// The latest of each, in the order in which they first came; what is gone is left out.
		latest := map[int]int{}
		for i, c := range log[:upTo] {
			latest[c.b.serial] = i
		}
		until, f := d.inForce(faults.DiscoveryPartial)
		for i, c := range log[:upTo] {
			if latest[c.b.serial] != i || c.state == balance.Gone {
				continue
			}
			if until > 0 && f.Tier == x.tier && draw(f.Seed, uint64(c.b.serial)) < f.Hard {
				continue
			}
			entries, starts = append(entries, d.entry(c)), append(starts, c.started)
		}
		d.listedWhole(x, entries)
	} else {
		for _, c := range log[min(x.at, upTo):upTo] {
			entries, starts = append(entries, d.entry(c)), append(starts, c.started)
		}
	}
	x.at, x.whole = upTo, false
	for i, e := range entries {
		d.judge.BackendUpdateReceived(d.now, x.serial, d.named(e.ID).serial, e.State == balance.Ready, starts[i])
	}
	if len(entries) > 0 || whole {
		x.policy.UpdateBackends(d.now, whole, entries)
	}
}

// listedWhole tells the judge of those that a whole list leaves out: that is word that they are gone.
func (d *Simulation) listedWhole(x *instance, entries []balance.Entry) {
	named := make([]bool, len(d.backends))
	for _, e := range entries {
		named[d.named(e.ID).serial] = true
	}
	for _, b := range d.backends[1:] {
		if b.tier == x.tier && !named[b.serial] {
			d.judge.BackendUpdateReceived(d.now, x.serial, b.serial, false, 0)
		}
	}
}

// Watch is the policy's word: where discovery must be asked, a call that costs it work and may fail.
func (x *instance) WatchBackends() {
	d := x.d
	if !d.w.Discovery.OnRequest {
		return
	}
	x.watching = false
	d.judge.ListRequested(d.now, x.serial)
	until, _ := d.inForce(faults.DiscoverySilent)
	if until > d.now || d.busyList > d.now+queued {
		d.later(d.now+silence, func() {
			if x.alive {
				x.policy.BackendListFailed(d.now)
			}
		})
		return
	}
	d.busyList = max(d.busyList, d.now) + 1/d.w.Discovery.MaxCallRate
	d.later(d.busyList+d.w.Net.SameZone, func() {
		if x.alive && !x.watching {
			x.watching, x.whole = true, true
			d.tell(x)
		}
	})
}

// breakWatches ends all subscriptions, as a discovery does that goes down.
func (d *Simulation) breakWatches() {
	for _, x := range d.instances {
		if x.alive && x.watching && d.w.Discovery.OnRequest {
			x.watching = false
			x.policy.BackendListFailed(d.now)
		}
	}
}

// This file owns how the world carries out a fault plan. It must never draw what is hit from anything but the fault's
// own seed, so that one fault more or less leaves the others as they are.

package emulator

import (
	"iter"
	"slices"

	"sandpass/internal/faults"
)

const (
	ramped = 0.25 // seconds between the steps of a ramp
	flicks = 0.5  // seconds of half a flicker
	reborn = 0.1  // seconds in which a process that crashed is there again
)

// fault begins (1), steps (2) or ends (0) one of the plan.
func (d *Simulation) fault(n int, what int32) {
	f := d.plan[n]
	switch what {
	case 1:
		d.active[n] = true
		d.begins(n, f)
		if f.Ramps() || f.Kind == faults.NoisyNeighbor {
			d.queue.push(onFault, event{at: d.now + d.stepOf(f), n: uint64(n), a: 2})
		}
		d.queue.push(onFault, event{at: f.From + f.For, n: uint64(n)})
	case 2:
		if d.active[n] {
			d.burdenAll(n)
			d.queue.push(onFault, event{at: d.now + d.stepOf(f), n: uint64(n), a: 2})
		}
	case 0:
		d.active[n] = false
		d.ends(n, f)
	}
}

func (d *Simulation) stepOf(f faults.Fault) float64 {
	if f.Kind == faults.NoisyNeighbor {
		return flicks
	}
	return ramped
}

// during walks over the faults of a kind that are in force, by their number in the plan.
func (d *Simulation) during(k faults.Kind) iter.Seq2[int, faults.Fault] {
	return func(yield func(int, faults.Fault) bool) {
		for i, f := range d.plan {
			if d.active[i] && f.Kind == k && !yield(i, f) {
				return
			}
		}
	}
}

func (d *Simulation) hit(f faults.Fault) []*backend {
	return faults.PickBackends(f, d.tiers[f.Tier], func(b *backend) int { return b.zone })
}

func (d *Simulation) begins(n int, f faults.Fault) {
	switch f.Kind {
	case faults.Crash, faults.ZoneLoss:
		d.targets[n] = d.hit(f)
		for _, b := range d.targets[n] {
			d.die(b, false)
			d.later(d.now+detect, func() { d.announceGone(b) })
		}
	case faults.Vanish:
		d.targets[n] = d.hit(f)
		for _, b := range d.targets[n] {
			d.die(b, true)
			d.later(d.now+2*detect, func() { d.announceGone(b) })
		}
	case faults.RollingReplace, faults.Takeover:
		hit := d.hit(f)
		for i, b := range hit {
			d.later(d.now+f.For*float64(i)/float64(len(hit)), func() { d.replace(b, f.Kind == faults.Takeover) })
		}
	case faults.KillInstances:
		hit := f.PickIndexes(len(d.places[0]))
		for _, me := range hit {
			d.kill(d.places[0][me])
		}
		d.later(f.From+f.For, func() {
			for _, me := range hit {
				d.startFront(me)
			}
		})
	case faults.StallInstances:
		for _, me := range f.PickIndexes(len(d.places[0])) {
			x := d.places[0][me]
			x.still = max(x.still, f.From+f.For)
			d.later(f.From+f.For, func() {
				d.judge.InstanceStalled(x.serial, f.From, d.now)
				if s, ok := x.policy.(interface{ Stalled(float64) }); ok && x.alive {
					s.Stalled(d.now)
				}
			})
		}
	case faults.CrashLoop:
		for _, me := range f.PickIndexes(len(d.places[0])) {
			d.crash(me, f)
		}
	case faults.RestartInstances:
		hit := f.PickIndexes(len(d.places[0]))
		longest := 0.0
		for _, v := range d.w.Verbs {
			longest = max(longest, v.Limit)
		}
		for i, me := range hit {
			d.later(d.now+f.For*float64(i)/float64(len(hit)), func() {
				x := d.places[0][me]
				d.fronts[x.zone].remove(x)
				d.later(d.now+longest+1, func() { d.kill(x); d.startFront(me) })
			})
		}
	case faults.DiscoverySilent:
		d.breakWatches()
	case faults.DiscoveryStale:
		for k := range d.w.Tiers {
			d.tellAll(k, true)
		}
	case faults.DiscoveryPartial:
		d.tellAll(f.Tier, true)
	case faults.Slow, faults.NoisyNeighbor, faults.Errors, faults.Refuse, faults.FullTable, faults.IgnoreCancels, faults.LoseAnswers, faults.Reset, faults.Hang,
		faults.FailingVerb:
		d.targets[n] = d.hit(f)
		d.burdenAll(n)
	}
}

func (d *Simulation) ends(n int, f faults.Fault) {
	switch f.Kind {
	case faults.Crash, faults.ZoneLoss, faults.Vanish:
		for _, b := range d.targets[n] {
			d.revive(b)
		}
	case faults.Partition:
		d.unstrand(func(r *relay) bool {
			return r.cut && d.passes(r.inst.zone, r.to.zone) && d.passes(r.to.zone, r.inst.zone)
		})
	case faults.DiscoveryStale:
		for k := range d.w.Tiers {
			d.tellAll(k, true)
		}
	case faults.DiscoveryPartial:
		d.tellAll(f.Tier, true)
	}
	d.burdenAll(n)
}

// crash kills an instance and starts it anew, again and again while the fault is in force.
func (d *Simulation) crash(me int, f faults.Fault) {
	d.kill(d.places[0][me])
	d.later(d.now+reborn, func() {
		d.startFront(me)
		if next := d.now + max(reborn, f.Hard); next < f.From+f.For {
			d.later(next, func() { d.crash(me, f) })
		}
	})
}

func (d *Simulation) startFront(me int) {
	old := d.places[0][me]
	if old.alive {
		return
	}
	x := d.newInstance(0, me, old.zone)
	x.weight = old.weight
	d.fronts[x.zone].add(x)
}

// burdenAll takes anew what the backends of a fault have to bear, from all faults in force.
func (d *Simulation) burdenAll(n int) {
	for _, b := range d.targets[n] {
		b.burden.Impairment = faults.Impairment{}
		for i, f := range d.plan {
			if !d.active[i] || !slices.Contains(d.targets[i], b) {
				continue
			}
			b.burden.Add(f, d.now)
		}
		d.retake(b)
	}
}

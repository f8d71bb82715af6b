// Fault injection. Targets must be drawn only from a fault's own seed, so that adding or removing a fault does not change the
// targets of the others.

package emulator

import (
	"iter"
	"slices"

	"sandpass/internal/faults"
)

const (
	rampStepSeconds          = 0.25 // interval between the steps of a ramp
	flickerHalfPeriodSeconds = 0.5  // time for which a NoisyNeighbor is on, and then off
	restartSeconds           = 0.1  // time until a crashed process runs again
)

// handleFault starts (1), steps (2) or ends (0) a fault of the plan.
func (sim *Simulation) handleFault(n int, phase int32) {
	f := sim.plan[n]
	switch phase {
	case 1:
		sim.active[n] = true
		sim.startFault(n, f)
		if f.Ramps() || f.Kind == faults.NoisyNeighbor {
			sim.queue.push(onFault, event{at: sim.now + sim.faultStepSeconds(f), number: uint64(n), argument: 2})
		}
		sim.queue.push(onFault, event{at: f.From + f.For, number: uint64(n)})
	case 2:
		if sim.active[n] {
			sim.updateImpairments(n)
			sim.queue.push(onFault, event{at: sim.now + sim.faultStepSeconds(f), number: uint64(n), argument: 2})
		}
	case 0:
		sim.active[n] = false
		sim.endFault(n, f)
	}
}

// faultStepSeconds returns the interval at which the severity of a fault changes.
func (sim *Simulation) faultStepSeconds(f faults.Fault) float64 {
	if f.Kind == faults.NoisyNeighbor {
		return flickerHalfPeriodSeconds
	}
	return rampStepSeconds
}

// activeFaults iterates over the active faults of a kind with their index in the plan.
func (sim *Simulation) activeFaults(k faults.Kind) iter.Seq2[int, faults.Fault] {
	return func(yield func(int, faults.Fault) bool) {
		for i, f := range sim.plan {
			if sim.active[i] && f.Kind == k && !yield(i, f) {
				return
			}
		}
	}
}

// targetBackends draws the backends that a fault hits.
func (sim *Simulation) targetBackends(f faults.Fault) []*backend {
	return faults.PickBackends(f, sim.tierBackends[f.Tier], func(b *backend) int { return b.zone })
}

// startFault applies the effects of a fault that starts.
func (sim *Simulation) startFault(n int, f faults.Fault) {
	switch f.Kind {
	case faults.Crash, faults.ZoneLoss:
		sim.targets[n] = sim.targetBackends(f)
		for _, b := range sim.targets[n] {
			sim.stopBackend(b, false)
			sim.schedule(sim.now+deathDetectionSeconds, func() { sim.announceGone(b) })
		}
	case faults.Vanish:
		sim.targets[n] = sim.targetBackends(f)
		for _, b := range sim.targets[n] {
			sim.stopBackend(b, true)
			sim.schedule(sim.now+2*deathDetectionSeconds, func() { sim.announceGone(b) })
		}
	case faults.RollingReplace, faults.Takeover:
		targets := sim.targetBackends(f)
		for i, b := range targets {
			sim.schedule(sim.now+f.For*float64(i)/float64(len(targets)),
				func() { sim.replaceBackend(b, f.Kind == faults.Takeover) })
		}
	case faults.KillInstances:
		targets := f.PickIndexes(len(sim.tierInstances[0]))
		for _, position := range targets {
			sim.killInstance(sim.tierInstances[0][position])
		}
		sim.schedule(f.From+f.For, func() {
			for _, position := range targets {
				sim.startInstance(position)
			}
		})
	case faults.StallInstances:
		for _, position := range f.PickIndexes(len(sim.tierInstances[0])) {
			inst := sim.tierInstances[0][position]
			inst.stalledUntil = max(inst.stalledUntil, f.From+f.For)
			sim.schedule(f.From+f.For, func() {
				sim.checker.InstanceStalled(inst.serial, f.From, sim.now)
				if s, ok := inst.policy.(interface{ Stalled(float64) }); ok && inst.alive {
					s.Stalled(sim.now)
				}
			})
		}
	case faults.CrashLoop:
		for _, position := range f.PickIndexes(len(sim.tierInstances[0])) {
			sim.crashInstance(position, f)
		}
	case faults.RestartInstances:
		targets := f.PickIndexes(len(sim.tierInstances[0]))
		longest := 0.0
		for _, v := range sim.world.Verbs {
			longest = max(longest, v.Limit)
		}
		for i, position := range targets {
			sim.schedule(sim.now+f.For*float64(i)/float64(len(targets)), func() {
				inst := sim.tierInstances[0][position]
				sim.fronts[inst.zone].remove(inst)
				sim.schedule(sim.now+longest+1, func() { sim.killInstance(inst); sim.startInstance(position) })
			})
		}
	case faults.DiscoverySilent:
		sim.breakWatches()
	case faults.DiscoveryStale:
		for k := range sim.world.Tiers {
			sim.notifyAll(k, true)
		}
	case faults.DiscoveryPartial:
		sim.notifyAll(f.Tier, true)
	case faults.Slow, faults.NoisyNeighbor, faults.Errors, faults.Refuse, faults.FullTable, faults.IgnoreCancels,
		faults.LoseAnswers, faults.Reset, faults.Hang,
		faults.FailingVerb:
		sim.targets[n] = sim.targetBackends(f)
		sim.updateImpairments(n)
	}
}

// endFault reverts the effects of a fault that ends.
func (sim *Simulation) endFault(n int, f faults.Fault) {
	switch f.Kind {
	case faults.Crash, faults.ZoneLoss, faults.Vanish:
		for _, b := range sim.targets[n] {
			sim.restartBackend(b)
		}
	case faults.Partition:
		sim.resetStranded(func(r *relay) bool {
			return r.partitioned && sim.reachable(r.instance.zone, r.target.zone) && sim.reachable(r.target.zone, r.instance.zone)
		})
	case faults.DiscoveryStale:
		for k := range sim.world.Tiers {
			sim.notifyAll(k, true)
		}
	case faults.DiscoveryPartial:
		sim.notifyAll(f.Tier, true)
	}
	sim.updateImpairments(n)
}

// crashInstance kills an instance and restarts it, repeatedly while the fault is active.
func (sim *Simulation) crashInstance(position int, f faults.Fault) {
	sim.killInstance(sim.tierInstances[0][position])
	sim.schedule(sim.now+restartSeconds, func() {
		sim.startInstance(position)
		if next := sim.now + max(restartSeconds, f.Hard); next < f.From+f.For {
			sim.schedule(next, func() { sim.crashInstance(position, f) })
		}
	})
}

// startInstance starts a new instance at the position of a killed one of the first tier.
func (sim *Simulation) startInstance(position int) {
	old := sim.tierInstances[0][position]
	if old.alive {
		return
	}
	inst := sim.newInstance(0, position, old.zone)
	inst.weight = old.weight
	sim.fronts[inst.zone].add(inst)
}

// updateImpairments recomputes the impairments of a fault's backends from all active faults.
func (sim *Simulation) updateImpairments(n int) {
	for _, b := range sim.targets[n] {
		b.impairment.Impairment = faults.Impairment{}
		for i, f := range sim.plan {
			if !sim.active[i] || !slices.Contains(sim.targets[i], b) {
				continue
			}
			b.impairment.Add(f, sim.now)
		}
		sim.updateRate(b)
	}
}

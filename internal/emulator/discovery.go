// Discovery: what instances are informed of backends, and when. An instance must never be informed of a change before its
// delay has passed.

package emulator

import (
	"sandpass/balance"
	"sandpass/internal/faults"
)

// backendChange is an entry of a tier's change log.
type backendChange struct {
	at        float64
	backend   *backend
	state     balance.State
	startedAt float64
}

// entry returns a change as it is sent to instances.
func (sim *Simulation) entry(c backendChange) balance.Entry {
	e := balance.Entry{ID: c.backend.id, Zone: c.backend.zone, Cell: c.backend.cell, State: c.state,
		Capacity: c.backend.nominalCapacity, StartedAt: c.startedAt}
	if c.startedAt > 0 {
		e.StartedAt = max(1e-9, c.startedAt+sim.startTimeError(c.backend))
	}
	return e
}

// startTimeError returns the error in seconds of a backend's listed start time.
func (sim *Simulation) startTimeError(b *backend) (seconds float64) {
	for _, f := range sim.activeFaults(faults.StartTimeError) {
		if f.Tier != b.tier {
			continue
		}
		if u := uniform(f.Seed, uint64(b.serial)); u < f.Share {
			seconds -= f.Hard
		} else if u > 1-f.Share {
			seconds += f.Hard
		}
	}
	return seconds
}

// announce records a change of a backend at discovery. Each instance is informed after its own delay.
func (sim *Simulation) announce(b *backend, state balance.State) {
	sim.changeLogs[b.tier] = append(sim.changeLogs[b.tier], backendChange{sim.now, b, state, b.startedAt})
	sim.notifyAll(b.tier, false)
}

// notifyAll schedules an update of all instances of a tier.
func (sim *Simulation) notifyAll(tier int, whole bool) {
	for _, inst := range sim.tierInstances[tier] {
		if inst != nil && inst.alive {
			inst.nextUpdateWhole = inst.nextUpdateWhole || whole
			sim.scheduleUpdate(inst)
		}
	}
}

// scheduleUpdate schedules an update of an instance after the usual delay.
func (sim *Simulation) scheduleUpdate(inst *instance) {
	if inst.updatePending || !inst.watching {
		return
	}
	inst.updatePending = true
	lag := sim.world.Discovery.Lag
	at := sim.now + lag[0] + (lag[1]-lag[0])*sim.discoveryRand.Float64()
	for _, f := range sim.activeFaults(faults.DiscoveryLag) {
		at += f.Hard
	}
	sim.queue.push(onUpdate, event{at: at, number: uint64(inst.serial)})
}

// activeFault returns the active fault of a kind that ends last, and its end, or 0 if none is active.
func (sim *Simulation) activeFault(k faults.Kind) (until float64, f faults.Fault) {
	for _, candidate := range sim.activeFaults(k) {
		if candidate.From+candidate.For > until {
			until, f = candidate.From+candidate.For, candidate
		}
	}
	return until, f
}

// handleUpdate sends an instance its scheduled update, or postpones it while discovery is silent.
func (sim *Simulation) handleUpdate(inst *instance) {
	inst.updatePending = false
	if !inst.alive || !inst.watching {
		return
	}
	if until, _ := sim.activeFault(faults.DiscoverySilent); until > sim.now {
		inst.updatePending = true
		sim.queue.push(onUpdate, event{at: until + sim.discoveryRand.Float64()*sim.world.Discovery.Lag[1],
			number: uint64(inst.serial)})
		return
	}
	sim.sendUpdate(inst)
}

// sendUpdate sends an instance the current state of discovery: a whole list, or the changes since its last update.
func (sim *Simulation) sendUpdate(inst *instance) {
	log := sim.changeLogs[inst.tier]
	upTo, whole := len(log), inst.nextUpdateWhole
	// Only an instance that starts gets here during a DiscoverySilent. It receives the list from before the fault.
	if until, f := sim.activeFault(faults.DiscoverySilent); until > sim.now {
		for upTo > 0 && log[upTo-1].at > f.From {
			upTo--
		}
	}
	if until, f := sim.activeFault(faults.DiscoveryStale); until > 0 {
		whole = true
		for upTo > 0 && log[upTo-1].at > max(0, sim.now-f.Hard) {
			upTo--
		}
	}
	var entries []balance.Entry
	var starts []float64 // the true start times
	if whole {
		// The latest change of each backend, in the order of the log, without those that are gone.
		latest := map[int]int{}
		for i, c := range log[:upTo] {
			latest[c.backend.serial] = i
		}
		until, f := sim.activeFault(faults.DiscoveryPartial)
		for i, c := range log[:upTo] {
			if latest[c.backend.serial] != i || c.state == balance.Gone {
				continue
			}
			if until > 0 && f.Tier == inst.tier && uniform(f.Seed, uint64(c.backend.serial)) < f.Hard {
				continue
			}
			entries, starts = append(entries, sim.entry(c)), append(starts, c.startedAt)
		}
		sim.reportUnlisted(inst, entries)
	} else {
		for _, c := range log[min(inst.logPosition, upTo):upTo] {
			entries, starts = append(entries, sim.entry(c)), append(starts, c.startedAt)
		}
	}
	inst.logPosition, inst.nextUpdateWhole = upTo, false
	for i, e := range entries {
		sim.checker.BackendUpdateReceived(sim.now, inst.serial, sim.backendByID(e.ID).serial, e.State == balance.Ready, starts[i])
	}
	if len(entries) > 0 || whole {
		inst.policy.UpdateBackends(sim.now, whole, entries)
	}
}

// reportUnlisted reports to the checker the backends that a whole list omits, which means that they are gone.
func (sim *Simulation) reportUnlisted(inst *instance, entries []balance.Entry) {
	listed := make([]bool, len(sim.backends))
	for _, e := range entries {
		listed[sim.backendByID(e.ID).serial] = true
	}
	for _, b := range sim.backends[1:] {
		if b.tier == inst.tier && !listed[b.serial] {
			sim.checker.BackendUpdateReceived(sim.now, inst.serial, b.serial, false, 0)
		}
	}
}

// WatchBackends implements balance.Host. If discovery works on request, it is a call that takes time and may fail.
func (inst *instance) WatchBackends() {
	sim := inst.sim
	if !sim.world.Discovery.OnRequest {
		return
	}
	inst.watching = false
	sim.checker.ListRequested(sim.now, inst.serial)
	until, _ := sim.activeFault(faults.DiscoverySilent)
	if until > sim.now || sim.discoveryBusyUntil > sim.now+maxDiscoveryQueueSeconds {
		sim.schedule(sim.now+discoveryTimeoutSeconds, func() {
			if inst.alive {
				inst.policy.BackendListFailed(sim.now)
			}
		})
		return
	}
	sim.discoveryBusyUntil = max(sim.discoveryBusyUntil, sim.now) + 1/sim.world.Discovery.MaxCallRate
	sim.schedule(sim.discoveryBusyUntil+sim.world.Net.SameZone, func() {
		if inst.alive && !inst.watching {
			inst.watching, inst.nextUpdateWhole = true, true
			sim.sendUpdate(inst)
		}
	})
}

// breakWatches ends all subscriptions, as a discovery service that goes down does.
func (sim *Simulation) breakWatches() {
	for _, inst := range sim.instances {
		if inst.alive && inst.watching && sim.world.Discovery.OnRequest {
			inst.watching = false
			inst.policy.BackendListFailed(sim.now)
		}
	}
}

package scale

import (
	"context"
	"fmt"
	"time"

	"sandpass/internal/scale/fleet"
	"sandpass/internal/scale/helper"
)

// EventOptions are the parameters of the events in a fleet without a control service.
type EventOptions struct {
	Sizes           fleet.Sizes
	RealProxies     int
	ListScope       ListScope
	Burst           int // configuration changes within BurstWindow
	BurstWindow     time.Duration
	Restarts        int           // restarts of a proxy together with its backend
	RestartBatch    int           // proxies restarted at a time
	DiscoveryOutage time.Duration // how long discovery is silent
	RegionOutage    time.Duration // how long a region is cut off from discovery
}

const lostZone = 3 // index of the zone that is lost, modulo the number of zones

// Groups of in-process proxies. From firstRestartGroup on there is a group for each batch of restarts.
const (
	groupOthers = iota
	groupLostZone
	firstRestartGroup
)

// assignGroups returns the group of each in-process proxy, by what happens to it in the events.
func (o EventOptions) assignGroups(f *fleet.Fleet) func(proxy int) int {
	group := make([]int, len(f.Proxies))
	restarted := 0
	for i, p := range f.Proxies {
		switch {
		case i < o.RealProxies:
		case p.Zone == lostZone%o.Sizes.Zones:
			group[i] = groupLostZone
		case restarted < o.Restarts && i%2 == 1: // groupOthers must not be empty
			group[i] = firstRestartGroup + restarted/o.RestartBatch
			restarted++
		}
	}
	return func(proxy int) int { return group[proxy] }
}

// RunEvents runs the events, one after another, in a fleet of the given size and measures each.
func RunEvents(ctx context.Context, o EventOptions, programs Programs, progress func(string)) ([]Event, error) {
	f := fleet.Generate(o.Sizes)
	plan := Plan{Fleet: f, RealProxies: o.RealProxies, ListScope: o.ListScope, Peers: true, Group: o.assignGroups(f)}
	d, ctx, err := Deploy(ctx, plan, programs)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	s := eventScenario{ctx: ctx, deployment: d, options: o}
	var all []Event
	for _, step := range []struct {
		name string
		do   func(e *Event) error
	}{
		{"a change of configuration, by a file and SIGHUP on each machine", s.change},
		{"a burst of changes of configuration, by files and SIGHUP", s.burst},
		{"a day's restarts drawn together", s.restarts},
		{"a zone is lost and comes back", s.loseZone},
		{"a region is cut off from discovery", s.silenceRegion},
		{"discovery is silent, then all ask at once", s.silenceDiscovery},
	} {
		e, err := d.observe(ctx, Event{Name: step.name}, step.do)
		if err != nil {
			return all, err
		}
		all = append(all, e)
		progress(step.name)
	}
	return all, nil
}

// eventScenario runs events in a fleet without a control service.
type eventScenario struct {
	ctx        context.Context
	deployment *Deployment
	options    EventOptions
}

// changeSettings returns a configuration change: it sets a value that depends on step.
func changeSettings(step int) func(config *proxyConfig) {
	return func(config *proxyConfig) { config.Settings.OverageUtility = 0.1 + 0.001*float64(step) }
}

// change changes the configuration of every proxy once.
func (s eventScenario) change(e *Event) error {
	delays, err := s.deployment.reload(s.ctx, changeSettings(1))
	e.InForce = quantiles(delays)
	e.SettledSeconds = e.InForce.Max
	e.Note = "from the moment at which every file is in place: nothing carries the files"
	return err
}

// burst makes many changes in a short time.
func (s eventScenario) burst(e *Event) error {
	every := s.options.BurstWindow / time.Duration(s.options.Burst)
	return e.makeChanges(s.ctx, s.options.Burst, every, func(k int) ([]float64, error) {
		return s.deployment.reload(s.ctx, changeSettings(2+k))
	})
}

// makeChanges makes changes at a fixed interval and records the seconds until each was in force.
func (e *Event) makeChanges(ctx context.Context, count int, every time.Duration, change func(k int) ([]float64, error)) error {
	var all []float64
	for k := range count {
		next := time.Now().Add(every)
		delays, err := change(k)
		if err != nil {
			return err
		}
		all = append(all, delays...)
		if err := sleep(ctx, time.Until(next)); err != nil {
			return err
		}
	}
	e.InForce = quantiles(all)
	e.SettledSeconds = e.InForce.Max
	return nil
}

// restarts restarts proxies together with their backends, a batch at a time.
func (s eventScenario) restarts(e *Event) error {
	started := time.Now()
	count := 0
	for group := firstRestartGroup; group < len(s.deployment.inProcess); group++ {
		batch := s.deployment.inProcess[group].members
		if err := s.deployment.updateBackends(batch, "draining"); err != nil {
			return err
		}
		if _, err := s.deployment.stopGroup(group, true); err != nil {
			return err
		}
		if err := s.startGroupAndBackends(group, batch); err != nil {
			return err
		}
		count += len(batch)
	}
	err := s.deployment.awaitLists(s.ctx, nil)
	e.SettledSeconds = time.Since(started).Seconds()
	e.Note = fmt.Sprintf("%d proxies with their backends, %d at a time", count, s.options.RestartBatch)
	return err
}

// startGroupAndBackends reports backends as gone, starts their proxies again and reports the backends as ready.
func (s eventScenario) startGroupAndBackends(group int, members []int) error {
	if err := s.deployment.updateBackends(members, "gone"); err != nil {
		return err
	}
	if err := s.deployment.startGroup(group, members); err != nil {
		return err
	}
	return s.deployment.updateBackends(members, "ready")
}

// loseZone kills the process with the proxies of a zone, reports their backends as gone, and then starts the proxies again and
// reports the backends as ready.
func (s eventScenario) loseZone(e *Event) error {
	members, err := s.deployment.stopGroup(groupLostZone, false)
	if err != nil {
		return err
	}
	if err := s.deployment.updateBackends(members, "gone"); err != nil {
		return err
	}
	if err := sleep(s.ctx, 3*sampleInterval); err != nil {
		return err
	}
	started := time.Now()
	if err := s.deployment.startGroup(groupLostZone, members); err != nil {
		return err
	}
	if err := s.deployment.updateBackends(members, "ready"); err != nil {
		return err
	}
	err = s.deployment.awaitLists(s.ctx, nil)
	e.SettledSeconds = time.Since(started).Seconds()
	e.Note = fmt.Sprintf("%d proxies; settled counts from their start", len(members))
	return err
}

// silenceRegion makes the agents of one region silent.
func (s eventScenario) silenceRegion(e *Event) error {
	var agents []int
	for i, p := range s.deployment.plan.Fleet.Proxies {
		if p.Region == s.deployment.plan.Fleet.Regions[0] {
			agents = append(agents, i)
		}
	}
	return s.silenceAgents(e, agents, s.options.RegionOutage)
}

// silenceDiscovery makes all agents silent.
func (s eventScenario) silenceDiscovery(e *Event) error {
	return s.silenceAgents(e, allProxies(s.deployment.plan.Fleet), s.options.DiscoveryOutage)
}

// silenceAgents makes agents silent for a period and waits until all proxies have their lists again.
func (s eventScenario) silenceAgents(e *Event, agents []int, period time.Duration) error {
	if _, err := s.deployment.discovery.Do(helper.Request{Silence: &helper.Silence{Agents: agents, Silent: true}}); err != nil {
		return err
	}
	if err := sleep(s.ctx, period); err != nil {
		return err
	}
	started := time.Now()
	if _, err := s.deployment.discovery.Do(helper.Request{Silence: &helper.Silence{Agents: agents}}); err != nil {
		return err
	}
	err := s.deployment.awaitLists(s.ctx, nil)
	e.SettledSeconds = time.Since(started).Seconds()
	return err
}

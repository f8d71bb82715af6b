package scale

import (
	"context"
	"fmt"
	"time"

	"sandpass/internal/scale/fleet"
	"sandpass/internal/scale/helper"
)

// EventOptions say how large events are and how long they last.
type EventOptions struct {
	Sizes           fleet.Sizes
	RealProxies     int
	ListScope       ListScope
	Burst           int // changes of configuration within BurstIn
	BurstWindow     time.Duration
	Restarts        int           // of proxies and their backends
	RestartBatch    int           // of them at a time
	DiscoveryOutage time.Duration // of discovery
	RegionOutage    time.Duration // of a region
}

const lostZone = 3 // which one it is

// Groups of hollow proxies; those that are restarted follow, a group for each batch.
const (
	groupOthers = iota
	groupLostZone
	firstRestartGroup
)

// groups parts the hollow proxies by what happens to them.
func (o EventOptions) assignGroups(f *fleet.Fleet) func(proxy int) int {
	group := make([]int, len(f.Proxies))
	restarted := 0
	for i, p := range f.Proxies {
		switch {
		case i < o.RealProxies:
		case p.Zone == lostZone%o.Sizes.Zones:
			group[i] = groupLostZone
		case restarted < o.Restarts && i%2 == 1: // the rest group must not be empty
			group[i] = firstRestartGroup + restarted/o.RestartBatch
			restarted++
		}
	}
	return func(proxy int) int { return group[proxy] }
}

// Events has each event happen to a fleet of the size, one after another.
func RunEvents(ctx context.Context, o EventOptions, programs Programs, progress func(string)) ([]Event, error) {
	f := fleet.Generate(o.Sizes)
	plan := Plan{Fleet: f, RealProxies: o.RealProxies, ListScope: o.ListScope, Peers: true, Group: o.assignGroups(f)}
	r, ctx, err := Deploy(ctx, plan, programs)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	s := eventScenario{ctx: ctx, deployment: r, options: o}
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
		e, err := r.observe(ctx, Event{Name: step.name}, step.do)
		if err != nil {
			return all, err
		}
		all = append(all, e)
		progress(step.name)
	}
	return all, nil
}

// stage is where events happen.
type eventScenario struct {
	ctx        context.Context
	deployment *Deployment
	options    EventOptions
}

// shift is a change of configuration: a figure of the settings.
func changeSettings(step int) func(l *proxyConfig) {
	return func(l *proxyConfig) { l.Settings.OverageUtility = 0.1 + 0.001*float64(step) }
}

func (s eventScenario) change(e *Event) error {
	took, err := s.deployment.reload(s.ctx, changeSettings(1))
	e.InForce = quantiles(took)
	e.SettledSeconds = e.InForce.Max
	e.Note = "from the moment at which every file is in place: nothing carries the files"
	return err
}

func (s eventScenario) burst(e *Event) error {
	every := s.options.BurstWindow / time.Duration(s.options.Burst)
	return e.changes(s.ctx, s.options.Burst, every, func(k int) ([]float64, error) {
		return s.deployment.reload(s.ctx, changeSettings(2+k))
	})
}

// changes makes so many changes one after another and notes how long it took until each was in force.
func (e *Event) changes(ctx context.Context, count int, every time.Duration, change func(k int) ([]float64, error)) error {
	var all []float64
	for k := range count {
		next := time.Now().Add(every)
		took, err := change(k)
		if err != nil {
			return err
		}
		all = append(all, took...)
		if err := sleep(ctx, time.Until(next)); err != nil {
			return err
		}
	}
	e.InForce = quantiles(all)
	e.SettledSeconds = e.InForce.Max
	return nil
}

// restarts ends proxies and starts them again, a batch at a time, with their backends.
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

// back has discovery tell that backends are gone, starts their proxies anew, and has it tell that they are there.
func (s eventScenario) startGroupAndBackends(group int, members []int) error {
	if err := s.deployment.updateBackends(members, "gone"); err != nil {
		return err
	}
	if err := s.deployment.startGroup(group, members); err != nil {
		return err
	}
	return s.deployment.updateBackends(members, "ready")
}

// zone kills the process that has the zone's proxies, has discovery tell that their backends are gone, and starts all anew.
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

// region has the agents of one region say nothing while backends of the others restart.
func (s eventScenario) silenceRegion(e *Event) error {
	var agents []int
	for i, p := range s.deployment.plan.Fleet.Proxies {
		if p.Region == s.deployment.plan.Fleet.Regions[0] {
			agents = append(agents, i)
		}
	}
	return s.silenceAgents(e, agents, s.options.RegionOutage)
}

func (s eventScenario) silenceDiscovery(e *Event) error {
	return s.silenceAgents(e, allProxies(s.deployment.plan.Fleet), s.options.DiscoveryOutage)
}

// silent has agents say nothing for a while, and waits until all proxies have their lists again.
func (s eventScenario) silenceAgents(e *Event, agents []int, lasting time.Duration) error {
	if _, err := s.deployment.discovery.Do(helper.Request{Silence: &helper.Silence{Agents: agents, Silent: true}}); err != nil {
		return err
	}
	if err := sleep(s.ctx, lasting); err != nil {
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

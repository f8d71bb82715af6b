package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"sandpass/internal/revision"
	"sandpass/internal/scale/fleet"
	"sandpass/internal/scale/helper"
)

const applyTimeout = 20 * time.Second // for control to accept a change

// ControlOptions are the parameters of the events in a fleet whose proxies get their configuration from control.
type ControlOptions struct {
	Sizes        fleet.Sizes
	RealProxies  int
	Replicas     int
	Changes      int // configuration changes, one after another
	Burst        int // configuration changes within BurstWindow
	BurstWindow  time.Duration
	RegionOutage time.Duration // how long a region is cut off
	EventNames   []string      // events to run; nil: all
}

// Names of events, as in the data file.
const (
	eventChange      = "control: a change of configuration"
	eventBurst       = "control: a burst of changes"
	eventBusiestLost = "control: the machine that most proxies hang on is lost"
	eventRegionCut   = "control: a region is cut off"
)

// operator changes the configuration of the fleet.
type operator struct {
	deployment     *Deployment
	newestRevision revision.Number
	revisionCount  int

	acceptSeconds float64 // until control accepted the last change
}

// document returns a configuration of about Sizes.ChangeBytes, an allowance for each of many customers.
func (o *operator) document() revision.Document {
	type realm struct {
		Name      string  `json:"name"`
		Allowance float64 `json:"allowance_per_s"`
	}
	const realmBytes = 45 // size of one entry in JSON
	realms := []realm{{"c0", 1e6}}
	for i := range o.deployment.plan.Fleet.Sizes.ChangeBytes / realmBytes {
		realms = append(realms, realm{fmt.Sprintf("customer-%04d", i), float64(100_000 + o.revisionCount)})
	}
	text, _ := json.Marshal(map[string]any{"settings": map[string]any{"realms": realms}}) // all values can be encoded
	document, _ := revision.Canonicalize(text)                                            // the text is an object
	return document
}

// change creates a revision and waits until it is in force at the wanted number of proxies, for at most a minute. It returns
// the seconds from the call until it was in force, for each proxy.
func (o *operator) change(ctx context.Context, atOnce bool, wanted int) ([]float64, error) {
	counts, err := o.deployment.reloadCounts()
	if err != nil {
		return nil, err
	}
	started := time.Now()
	if err := o.apply(ctx, atOnce); err != nil {
		return nil, err
	}
	for deadline := time.Now().Add(settleTimeout); ; {
		delays, err := o.deployment.reloadSecondsSince(counts, started)
		if err != nil || len(delays) >= wanted {
			return delays, err
		}
		if time.Now().After(deadline) {
			return delays, fmt.Errorf("revision %d is in force at only %d of %d proxies after %v", o.newestRevision,
				len(delays), wanted, settleTimeout)
		}
		if err := sleep(ctx, 2*pollInterval); err != nil {
			return nil, err
		}
	}
}

// apply creates a revision on top of the newest one.
func (o *operator) apply(ctx context.Context, atOnce bool) error {
	o.revisionCount++
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	number, err := o.deployment.control.apply(ctx, o.newestRevision, o.document(), atOnce)
	if err != nil {
		return errors.Join(err, o.deployment.control.lastLogLines())
	}
	o.newestRevision, o.acceptSeconds = number, time.Since(started).Seconds()
	return nil
}

// reloadCounts is the number of configurations that have come into force so far in each process.
type reloadCounts struct {
	groups      []int       // of in-process proxies
	realProxies map[int]int // by index in the fleet
}

// reloadCounts returns the current counts.
func (d *Deployment) reloadCounts() (reloadCounts, error) {
	m := reloadCounts{groups: make([]int, len(d.inProcess)), realProxies: map[int]int{}}
	for g, group := range d.inProcess {
		if group == nil {
			continue
		}
		first := 0
		a, err := group.process.Do(helper.Request{AppliedSince: &first})
		if err != nil {
			return m, err
		}
		m.groups[g] = len(a.AppliedAt)
	}
	for i, s := range d.realProxies {
		m.realProxies[i] = len(s.reloadTimes())
	}
	return m, nil
}

// reloadSecondsSince returns, for each configuration that has come into force since the counts m, the seconds from started.
func (d *Deployment) reloadSecondsSince(m reloadCounts, started time.Time) (delays []float64, err error) {
	for g, group := range d.inProcess {
		if group == nil {
			continue
		}
		a, err := group.process.Do(helper.Request{AppliedSince: &m.groups[g]})
		if err != nil {
			return nil, err
		}
		for _, at := range a.AppliedAt {
			delays = append(delays, at-float64(started.UnixNano())/1e9)
		}
	}
	for i, s := range d.realProxies {
		for _, at := range s.reloadTimes()[m.realProxies[i]:] {
			delays = append(delays, at.Sub(started).Seconds())
		}
	}
	return delays, nil
}

// RunControlEvents runs the events, one after another, in a fleet with a control service and measures each.
func RunControlEvents(ctx context.Context, o ControlOptions, programs Programs, progress func(string)) ([]Event, error) {
	plan := Plan{Fleet: fleet.Generate(o.Sizes), RealProxies: o.RealProxies, ListScope: ServiceList, Peers: true,
		Replicas: o.Replicas}
	d, ctx, err := Deploy(ctx, plan, programs)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	s := controlScenario{ctx: ctx, deployment: d, options: o, operator: operator{deployment: d}}
	if _, err := s.operator.change(ctx, false, s.proxyCount()); err != nil { // the first revision is the whole configuration
		return nil, err
	}
	var all []Event
	for _, step := range []struct {
		name string
		do   func(e *Event) error
	}{
		{"control: at rest", s.idle},
		{eventChange, s.change},
		{"control: a change at once, without the guard", s.atOnce},
		{eventBurst, s.burst},
		{"control: the leader is lost", s.loseLeader},
		{eventBusiestLost, s.loseBusiest},
		{eventRegionCut, s.cutRegion},
		{"control: changes at three of five machines", s.loseTwo},
		{"control: all machines are lost, a change when they are back", s.loseAll},
	} {
		if o.EventNames != nil && !slices.Contains(o.EventNames, step.name) {
			continue
		}
		e, err := d.observe(ctx, Event{Name: step.name}, step.do)
		if err != nil {
			return all, fmt.Errorf("%s: %w", step.name, err)
		}
		all = append(all, e)
		progress(step.name)
	}
	return all, nil
}

// controlScenario runs events in a fleet with a control service.
type controlScenario struct {
	ctx        context.Context
	deployment *Deployment
	options    ControlOptions
	operator   operator
}

// proxyCount returns the number of proxies of the fleet.
func (s *controlScenario) proxyCount() int { return len(s.deployment.plan.Fleet.Proxies) }

// idle lets the fleet run without changes.
func (s *controlScenario) idle(*Event) error { return sleep(s.ctx, 8*sampleInterval) }

// makeChanges makes configuration changes one after another.
func (s *controlScenario) makeChanges(e *Event, count int, atOnce bool, every time.Duration) error {
	return e.makeChanges(s.ctx, count, every, func(int) ([]float64, error) {
		return s.operator.change(s.ctx, atOnce, s.proxyCount())
	})
}

// change makes guarded changes.
func (s *controlScenario) change(e *Event) error {
	return s.makeChanges(e, s.options.Changes, false, 2*sampleInterval)
}

// atOnce makes changes that skip the guard.
func (s *controlScenario) atOnce(e *Event) error {
	return s.makeChanges(e, s.options.Changes, true, 2*sampleInterval)
}

// burst makes many changes in a short time.
func (s *controlScenario) burst(e *Event) error {
	return s.makeChanges(e, s.options.Burst, false, s.options.BurstWindow/time.Duration(s.options.Burst))
}

// loseReplicas kills replicas, waits until all proxies are connected to others, makes a change and starts the replicas
// again.
func (s *controlScenario) loseReplicas(e *Event, lost []int) error {
	c := s.deployment.control
	connected, err := c.connectedProxies()
	if err != nil {
		return err
	}
	affected := 0
	for _, k := range lost {
		c.killReplica(k)
		affected += connected[k]
	}
	started := time.Now()
	if err := c.awaitConnected(s.ctx, s.proxyCount(), lost...); err != nil {
		return err
	}
	e.SettledSeconds = time.Since(started).Seconds()
	e.Connections = affected
	e.Note = fmt.Sprintf("%d proxies hung on what was lost; settled: all on other machines; in force: a change after that",
		affected)
	delays, err := s.operator.change(s.ctx, false, s.proxyCount())
	if err != nil {
		return err
	}
	e.InForce = quantiles(delays)
	e.Note += fmt.Sprintf(", accepted after %.2f s", s.operator.acceptSeconds)
	return s.restartReplicas(lost)
}

// restartReplicas starts replicas again and waits for a leader and for all proxies to be connected.
func (s *controlScenario) restartReplicas(lost []int) error {
	for _, k := range lost {
		if err := s.deployment.control.startReplica(k); err != nil {
			return err
		}
	}
	if err := s.deployment.control.awaitLeader(); err != nil {
		return err
	}
	return s.deployment.control.awaitConnected(s.ctx, s.proxyCount())
}

// loseLeader loses the leader.
func (s *controlScenario) loseLeader(e *Event) error {
	leader := s.deployment.control.leaderIndex()
	if leader < 0 {
		return errors.New("control has no leader")
	}
	return s.loseReplicas(e, []int{leader})
}

// loseBusiest loses the replica with the most connected proxies.
func (s *controlScenario) loseBusiest(e *Event) error {
	connected, err := s.deployment.control.connectedProxies()
	if err != nil {
		return err
	}
	busiest := 0
	for k := range connected {
		if connected[k] > connected[busiest] {
			busiest = k
		}
	}
	return s.loseReplicas(e, []int{busiest})
}

// loseTwo loses two of five replicas. It does nothing with fewer than five.
func (s *controlScenario) loseTwo(e *Event) error {
	if len(s.deployment.control.replicas) < 5 {
		return nil
	}
	return s.loseReplicas(e, []int{0, 1})
}

// cutRegion cuts off a region with its replicas and proxies, makes a change and restores the region. Its proxies get the
// change only then.
func (s *controlScenario) cutRegion(e *Event) error {
	c := s.deployment.control
	region := c.replicas[len(c.replicas)-1].region
	inside := 0
	for _, p := range s.deployment.plan.Fleet.Proxies {
		if p.Region == region {
			inside++
		}
	}
	c.setRegionCut(s.deployment.plan, region, true)
	started := time.Now()
	if err := sleep(s.ctx, 3*sampleInterval); err != nil { // time to detect a leader that is cut off
		return err
	}
	counts, err := s.deployment.reloadCounts()
	if err != nil {
		return err
	}
	delays, err := s.operator.change(s.ctx, false, s.proxyCount()-inside)
	if err != nil {
		return err
	}
	if err := sleep(s.ctx, s.options.RegionOutage-time.Since(started)); err != nil {
		return err
	}
	restored := time.Now()
	c.setRegionCut(s.deployment.plan, region, false)
	for {
		all, err := s.deployment.reloadSecondsSince(counts, restored)
		if err != nil {
			return err
		}
		if len(all) >= s.proxyCount() {
			e.SettledSeconds = time.Since(restored).Seconds()
			break
		}
		if time.Since(restored) > settleTimeout {
			return fmt.Errorf("only %d of %d proxies have the change %v after the region was restored", len(all), s.proxyCount(),
				settleTimeout)
		}
		if err := sleep(s.ctx, 2*pollInterval); err != nil {
			return err
		}
	}
	e.InForce = quantiles(delays)
	e.Note = fmt.Sprintf("%d proxies in %s are cut off; in force: at the others, during the cut; settled: at all, after it has healed",
		inside, region)
	if err := s.deployment.control.awaitConnected(s.ctx, s.proxyCount()); err != nil {
		e.Note += "; **" + err.Error() + "**" // they have the change, so what control reports about them is wrong
	}
	return nil
}

// loseAll kills all replicas and starts them again. All proxies reconnect at the same time.
func (s *controlScenario) loseAll(e *Event) error {
	c := s.deployment.control
	lost := indexes(len(c.replicas))
	for _, k := range lost {
		c.killReplica(k)
	}
	if err := sleep(s.ctx, 5*sampleInterval); err != nil {
		return err
	}
	started := time.Now()
	if err := s.restartReplicas(lost); err != nil {
		return err
	}
	e.SettledSeconds = time.Since(started).Seconds()
	e.Connections = s.proxyCount()
	e.Note = "settled: a leader and all proxies connected, from the machines' start"
	delays, err := s.operator.change(s.ctx, false, s.proxyCount())
	e.InForce = quantiles(delays)
	return err
}

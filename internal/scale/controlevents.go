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

const applyTimeout = 20 * time.Second // for a change

// ControlOptions say what happens to a fleet that has its configuration from control.
type ControlOptions struct {
	Sizes        fleet.Sizes
	RealProxies  int
	Replicas     int
	Changes      int // of configuration, one after another
	Burst        int // changes within BurstIn
	BurstWindow  time.Duration
	RegionOutage time.Duration // of a region
	EventNames   []string      // names of events; nil: all of them
}

// Names of events.
const (
	eventChange      = "control: a change of configuration"
	eventBurst       = "control: a burst of changes"
	eventBusiestLost = "control: the machine that most proxies hang on is lost"
	eventRegionCut   = "control: a region is cut off"
)

// operator is one who changes the fleet's configuration.
type operator struct {
	deployment    *Deployment
	base          revision.Number
	revisionCount int

	acceptSeconds float64 // seconds that the last change took to be accepted
}

// document is a configuration of about the size of a change: what each customer may have.
func (o *operator) document() revision.Document {
	type realm struct {
		Name      string  `json:"name"`
		Allowance float64 `json:"allowance_per_s"`
	}
	const realmBytes = 45 // of one in JSON
	realms := []realm{{"c0", 1e6}}
	for i := range o.deployment.plan.Fleet.Sizes.ChangeBytes / realmBytes {
		realms = append(realms, realm{fmt.Sprintf("customer-%04d", i), float64(100_000 + o.revisionCount)})
	}
	text, _ := json.Marshal(map[string]any{"settings": map[string]any{"realms": realms}}) // it has nothing that can't be encoded
	document, _ := revision.Canonicalize(text)                                            // and is an object
	return document
}

// change makes a revision and waits until it is in force at so many proxies, or a minute has passed. It gives the seconds from
// the moment of the call, of each proxy.
func (o *operator) change(ctx context.Context, atOnce bool, wanted int) ([]float64, error) {
	marks, err := o.deployment.reloadCounts()
	if err != nil {
		return nil, err
	}
	started := time.Now()
	if err := o.apply(ctx, atOnce); err != nil {
		return nil, err
	}
	for deadline := time.Now().Add(settleTimeout); ; {
		took, err := o.deployment.reloadSecondsSince(marks, started)
		if err != nil || len(took) >= wanted {
			return took, err
		}
		if time.Now().After(deadline) {
			return took, fmt.Errorf("revision %d is in force at %d of %d proxies after %v", o.base, len(took), wanted, settleTimeout)
		}
		if err := sleep(ctx, 2*pollInterval); err != nil {
			return nil, err
		}
	}
}

// apply makes a revision over the newest one.
func (o *operator) apply(ctx context.Context, atOnce bool) error {
	o.revisionCount++
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	number, err := o.deployment.control.apply(ctx, o.base, o.document(), atOnce)
	if err != nil {
		return errors.Join(err, o.deployment.control.lastLogLines())
	}
	o.base, o.acceptSeconds = number, time.Since(started).Seconds()
	return nil
}

// marks is how many configurations have come into force so far, by process.
type reloadCounts struct {
	groups  []int
	servers map[int]int
}

func (r *Deployment) reloadCounts() (reloadCounts, error) {
	m := reloadCounts{groups: make([]int, len(r.inProcess)), servers: map[int]int{}}
	for g, group := range r.inProcess {
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
	for i, s := range r.realProxies {
		m.servers[i] = len(s.reloadTimes())
	}
	return m, nil
}

// takenOver is the seconds until each configuration since the marks came into force.
func (r *Deployment) reloadSecondsSince(m reloadCounts, started time.Time) (took []float64, err error) {
	for g, group := range r.inProcess {
		if group == nil {
			continue
		}
		a, err := group.process.Do(helper.Request{AppliedSince: &m.groups[g]})
		if err != nil {
			return nil, err
		}
		for _, at := range a.AppliedAt {
			took = append(took, at-float64(started.UnixNano())/1e9)
		}
	}
	for i, s := range r.realProxies {
		for _, at := range s.reloadTimes()[m.servers[i]:] {
			took = append(took, at.Sub(started).Seconds())
		}
	}
	return took, nil
}

// ControlEvents has each event happen to a fleet with control, one after another.
func RunControlEvents(ctx context.Context, o ControlOptions, programs Programs, progress func(string)) ([]Event, error) {
	plan := Plan{Fleet: fleet.Generate(o.Sizes), RealProxies: o.RealProxies, ListScope: ServiceList, Peers: true, Replicas: o.Replicas}
	r, ctx, err := Deploy(ctx, plan, programs)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	s := controlScenario{ctx: ctx, deployment: r, options: o, operator: operator{deployment: r}}
	if _, err := s.operator.change(ctx, false, s.proxyCount()); err != nil { // the first is a whole configuration
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
		e, err := r.observe(ctx, Event{Name: step.name}, step.do)
		if err != nil {
			return all, fmt.Errorf("%s: %w", step.name, err)
		}
		all = append(all, e)
		progress(step.name)
	}
	return all, nil
}

// controlStage is where events happen to control.
type controlScenario struct {
	ctx        context.Context
	deployment *Deployment
	options    ControlOptions
	operator   operator
}

func (s *controlScenario) proxyCount() int { return len(s.deployment.plan.Fleet.Proxies) }

func (s *controlScenario) idle(*Event) error { return sleep(s.ctx, 8*sampleInterval) }

// changes makes so many changes one after another.
func (s *controlScenario) changes(e *Event, count int, atOnce bool, every time.Duration) error {
	return e.changes(s.ctx, count, every, func(int) ([]float64, error) {
		return s.operator.change(s.ctx, atOnce, s.proxyCount())
	})
}

func (s *controlScenario) change(e *Event) error {
	return s.changes(e, s.options.Changes, false, 2*sampleInterval)
}

func (s *controlScenario) atOnce(e *Event) error {
	return s.changes(e, s.options.Changes, true, 2*sampleInterval)
}

func (s *controlScenario) burst(e *Event) error {
	return s.changes(e, s.options.Burst, false, s.options.BurstWindow/time.Duration(s.options.Burst))
}

// lose kills replicas, waits until all proxies hang on others, makes a change, and starts the replicas again.
func (s *controlScenario) loseReplicas(e *Event, lost []int) error {
	c := s.deployment.control
	connected, err := c.connectedProxies()
	if err != nil {
		return err
	}
	hung := 0
	for _, k := range lost {
		c.killReplica(k)
		hung += connected[k]
	}
	started := time.Now()
	if err := c.awaitConnected(s.ctx, s.proxyCount(), lost...); err != nil {
		return err
	}
	e.SettledSeconds = time.Since(started).Seconds()
	e.Connections = hung
	e.Note = fmt.Sprintf("%d proxies hung on what was lost; settled: all on other machines; in force: a change after that", hung)
	took, err := s.operator.change(s.ctx, false, s.proxyCount())
	if err != nil {
		return err
	}
	e.InForce = quantiles(took)
	e.Note += fmt.Sprintf(", accepted after %.2f s", s.operator.acceptSeconds)
	return s.restartReplicas(lost)
}

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

func (s *controlScenario) loseLeader(e *Event) error {
	leader := s.deployment.control.leaderIndex()
	if leader < 0 {
		return errors.New("no leader")
	}
	return s.loseReplicas(e, []int{leader})
}

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

func (s *controlScenario) loseTwo(e *Event) error {
	if len(s.deployment.control.replicas) < 5 {
		return nil
	}
	return s.loseReplicas(e, []int{0, 1})
}

// regionCut cuts a region off, with its replicas and proxies; a change is made meanwhile, and its proxies have it only after the
// cut has healed.
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
	if err := sleep(s.ctx, 3*sampleInterval); err != nil { // a leader in the region is found to be cut off
		return err
	}
	marks, err := s.deployment.reloadCounts()
	if err != nil {
		return err
	}
	took, err := s.operator.change(s.ctx, false, s.proxyCount()-inside)
	if err != nil {
		return err
	}
	if err := sleep(s.ctx, s.options.RegionOutage-time.Since(started)); err != nil {
		return err
	}
	healed := time.Now()
	c.setRegionCut(s.deployment.plan, region, false)
	for {
		all, err := s.deployment.reloadSecondsSince(marks, healed)
		if err != nil {
			return err
		}
		if len(all) >= s.proxyCount() {
			e.SettledSeconds = time.Since(healed).Seconds()
			break
		}
		if time.Since(healed) > settleTimeout {
			return fmt.Errorf("%d of %d proxies have the change %v after the cut has healed", len(all), s.proxyCount(), settleTimeout)
		}
		if err := sleep(s.ctx, 2*pollInterval); err != nil {
			return err
		}
	}
	e.InForce = quantiles(took)
	e.Note = fmt.Sprintf("%d proxies in %s are cut off; in force: at the others, during the cut; settled: at all, after it has healed",
		inside, region)
	if err := s.deployment.control.awaitConnected(s.ctx, s.proxyCount()); err != nil {
		e.Note += "; **" + err.Error() + "**" // they have the change: what control tells of them is wrong
	}
	return nil
}

// allLost kills all replicas and starts them again; all proxies return at once.
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
	took, err := s.operator.change(s.ctx, false, s.proxyCount())
	e.InForce = quantiles(took)
	return err
}

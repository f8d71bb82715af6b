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

const acceptedWithin = 20 * time.Second // for a change

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
	rig  *Deployment
	base revision.Number
	step int

	accepted float64 // seconds that the last change took to be accepted
}

// document is a configuration of about the size of a change: what each customer may have.
func (o *operator) document() revision.Document {
	type realm struct {
		Name      string  `json:"name"`
		Allowance float64 `json:"allowance_per_s"`
	}
	const realmBytes = 45 // of one in JSON
	realms := []realm{{"c0", 1e6}}
	for i := range o.rig.plan.Fleet.Sizes.ChangeBytes / realmBytes {
		realms = append(realms, realm{fmt.Sprintf("customer-%04d", i), float64(100_000 + o.step)})
	}
	text, _ := json.Marshal(map[string]any{"settings": map[string]any{"realms": realms}}) // it has nothing that can't be encoded
	document, _ := revision.Canonicalize(text)                                            // and is an object
	return document
}

// change makes a revision and waits until it is in force at so many proxies, or a minute has passed. It gives the seconds from
// the moment of the call, of each proxy.
func (o *operator) change(ctx context.Context, atOnce bool, wanted int) ([]float64, error) {
	marks, err := o.rig.marks()
	if err != nil {
		return nil, err
	}
	begun := time.Now()
	if err := o.apply(ctx, atOnce); err != nil {
		return nil, err
	}
	for deadline := time.Now().Add(settledWithin); ; {
		took, err := o.rig.takenOver(marks, begun)
		if err != nil || len(took) >= wanted {
			return took, err
		}
		if time.Now().After(deadline) {
			return took, fmt.Errorf("revision %d is in force at %d of %d proxies after %v", o.base, len(took), wanted, settledWithin)
		}
		if err := pause(ctx, 2*lookEvery); err != nil {
			return nil, err
		}
	}
}

// apply makes a revision over the newest one.
func (o *operator) apply(ctx context.Context, atOnce bool) error {
	o.step++
	begun := time.Now()
	ctx, cancel := context.WithTimeout(ctx, acceptedWithin)
	defer cancel()
	number, err := o.rig.control.apply(ctx, o.base, o.document(), atOnce)
	if err != nil {
		return errors.Join(err, o.rig.control.lastWords())
	}
	o.base, o.accepted = number, time.Since(begun).Seconds()
	return nil
}

// marks is how many configurations have come into force so far, by process.
type marks struct {
	groups  []int
	servers map[int]int
}

func (r *Deployment) marks() (marks, error) {
	m := marks{groups: make([]int, len(r.hollow)), servers: map[int]int{}}
	for g, group := range r.hollow {
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
	for i, s := range r.servers {
		m.servers[i] = len(s.reloads())
	}
	return m, nil
}

// takenOver is the seconds until each configuration since the marks came into force.
func (r *Deployment) takenOver(m marks, begun time.Time) (took []float64, err error) {
	for g, group := range r.hollow {
		if group == nil {
			continue
		}
		a, err := group.process.Do(helper.Request{AppliedSince: &m.groups[g]})
		if err != nil {
			return nil, err
		}
		for _, at := range a.AppliedAt {
			took = append(took, at-float64(begun.UnixNano())/1e9)
		}
	}
	for i, s := range r.servers {
		for _, at := range s.reloads()[m.servers[i]:] {
			took = append(took, at.Sub(begun).Seconds())
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
	s := controlStage{ctx: ctx, rig: r, options: o, operator: operator{rig: r}}
	if _, err := s.operator.change(ctx, false, s.all()); err != nil { // the first is a whole configuration
		return nil, err
	}
	var all []Event
	for _, step := range []struct {
		name string
		do   func(e *Event) error
	}{
		{"control: at rest", s.rest},
		{eventChange, s.change},
		{"control: a change at once, without the guard", s.atOnce},
		{eventBurst, s.burst},
		{"control: the leader is lost", s.leaderLost},
		{eventBusiestLost, s.busiestLost},
		{eventRegionCut, s.regionCut},
		{"control: changes at three of five machines", s.threeLeft},
		{"control: all machines are lost, a change when they are back", s.allLost},
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
type controlStage struct {
	ctx      context.Context
	rig      *Deployment
	options  ControlOptions
	operator operator
}

func (s *controlStage) all() int { return len(s.rig.plan.Fleet.Proxies) }

func (s *controlStage) rest(*Event) error { return pause(s.ctx, 8*sampleEvery) }

// changes makes so many changes one after another.
func (s *controlStage) changes(e *Event, count int, atOnce bool, every time.Duration) error {
	return e.changes(s.ctx, count, every, func(int) ([]float64, error) {
		return s.operator.change(s.ctx, atOnce, s.all())
	})
}

func (s *controlStage) change(e *Event) error {
	return s.changes(e, s.options.Changes, false, 2*sampleEvery)
}

func (s *controlStage) atOnce(e *Event) error {
	return s.changes(e, s.options.Changes, true, 2*sampleEvery)
}

func (s *controlStage) burst(e *Event) error {
	return s.changes(e, s.options.Burst, false, s.options.BurstWindow/time.Duration(s.options.Burst))
}

// lose kills replicas, waits until all proxies hang on others, makes a change, and starts the replicas again.
func (s *controlStage) lose(e *Event, lost []int) error {
	c := s.rig.control
	connected, err := c.connected()
	if err != nil {
		return err
	}
	hung := 0
	for _, k := range lost {
		c.kill(k)
		hung += connected[k]
	}
	begun := time.Now()
	if err := c.awaitConnected(s.ctx, s.all(), lost...); err != nil {
		return err
	}
	e.SettledSeconds = time.Since(begun).Seconds()
	e.Connections = hung
	e.Note = fmt.Sprintf("%d proxies hung on what was lost; settled: all on other machines; in force: a change after that", hung)
	took, err := s.operator.change(s.ctx, false, s.all())
	if err != nil {
		return err
	}
	e.InForce = quantiles(took)
	e.Note += fmt.Sprintf(", accepted after %.2f s", s.operator.accepted)
	return s.restart(lost)
}

func (s *controlStage) restart(lost []int) error {
	for _, k := range lost {
		if err := s.rig.control.start(k); err != nil {
			return err
		}
	}
	if err := s.rig.control.awaitLeader(); err != nil {
		return err
	}
	return s.rig.control.awaitConnected(s.ctx, s.all())
}

func (s *controlStage) leaderLost(e *Event) error {
	leader := s.rig.control.leader()
	if leader < 0 {
		return errors.New("no leader")
	}
	return s.lose(e, []int{leader})
}

func (s *controlStage) busiestLost(e *Event) error {
	connected, err := s.rig.control.connected()
	if err != nil {
		return err
	}
	busiest := 0
	for k := range connected {
		if connected[k] > connected[busiest] {
			busiest = k
		}
	}
	return s.lose(e, []int{busiest})
}

func (s *controlStage) threeLeft(e *Event) error {
	if len(s.rig.control.replicas) < 5 {
		return nil
	}
	return s.lose(e, []int{0, 1})
}

// regionCut cuts a region off, with its replicas and proxies; a change is made meanwhile, and its proxies have it only after the
// cut has healed.
func (s *controlStage) regionCut(e *Event) error {
	c := s.rig.control
	region := c.replicas[len(c.replicas)-1].region
	inside := 0
	for _, p := range s.rig.plan.Fleet.Proxies {
		if p.Region == region {
			inside++
		}
	}
	c.cutRegion(s.rig.plan, region, true)
	begun := time.Now()
	if err := pause(s.ctx, 3*sampleEvery); err != nil { // a leader in the region is found to be cut off
		return err
	}
	marks, err := s.rig.marks()
	if err != nil {
		return err
	}
	took, err := s.operator.change(s.ctx, false, s.all()-inside)
	if err != nil {
		return err
	}
	if err := pause(s.ctx, s.options.RegionOutage-time.Since(begun)); err != nil {
		return err
	}
	healed := time.Now()
	c.cutRegion(s.rig.plan, region, false)
	for {
		all, err := s.rig.takenOver(marks, healed)
		if err != nil {
			return err
		}
		if len(all) >= s.all() {
			e.SettledSeconds = time.Since(healed).Seconds()
			break
		}
		if time.Since(healed) > settledWithin {
			return fmt.Errorf("%d of %d proxies have the change %v after the cut has healed", len(all), s.all(), settledWithin)
		}
		if err := pause(s.ctx, 2*lookEvery); err != nil {
			return err
		}
	}
	e.InForce = quantiles(took)
	e.Note = fmt.Sprintf("%d proxies in %s are cut off; in force: at the others, during the cut; settled: at all, after it has healed",
		inside, region)
	if err := s.rig.control.awaitConnected(s.ctx, s.all()); err != nil {
		e.Note += "; **" + err.Error() + "**" // they have the change: what control tells of them is wrong
	}
	return nil
}

// allLost kills all replicas and starts them again; all proxies return at once.
func (s *controlStage) allLost(e *Event) error {
	c := s.rig.control
	lost := everyNumber(len(c.replicas))
	for _, k := range lost {
		c.kill(k)
	}
	if err := pause(s.ctx, 5*sampleEvery); err != nil {
		return err
	}
	begun := time.Now()
	if err := s.restart(lost); err != nil {
		return err
	}
	e.SettledSeconds = time.Since(begun).Seconds()
	e.Connections = s.all()
	e.Note = "settled: a leader and all proxies connected, from the machines' start"
	took, err := s.operator.change(s.ctx, false, s.all())
	e.InForce = quantiles(took)
	return err
}

// Package scale measures how the control side of a fleet grows: real proxies beside hollow ones, with stand-ins for all
// else, on one machine. Laws are fitted to what was measured at several sizes; docs/CAPACITY.md is made from the data.
package scale

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"sandpass/internal/scale/fleet"
	"sandpass/internal/scale/helper"
	"sandpass/internal/scale/meter"
	"sandpass/internal/scale/standin"
)

// What a run may take of the machine: under half of its memory, and a few hundred processes.
const (
	maxMemoryBytes        = 12e9 // bytes
	maxProcesses          = 300
	resourceCheckInterval = time.Second
	settleTimeout         = 60 * time.Second
)

// Programs are what a run starts.
type Programs struct {
	Proxy       []string // a real proxy with its first arguments
	Environment []string // of it
	Helper      string   // a program that calls helper.Run
}

// Plan says what a rig has.
type Plan struct {
	RealProxies    int // proxies that are real processes: the first ones of the fleet
	Fleet          *fleet.Fleet
	ListScope      ListScope
	Peers          bool                // siblings have each other's addresses
	CountedProxies int                 // proxies, the first ones, whose messages to siblings are counted; no fewer than the real ones
	Group          func(proxy int) int // of hollow proxies, each a process: 0 and up without a gap; nil for one
	SeedDefect     bool                // for tests: hollow ones skip their work
	Replicas       int                 // of control; 0 for no control at all
}

// Rig is a fleet that runs.
type Deployment struct {
	plan            Plan
	programs        Programs
	addresses       addresses
	addressLock     net.Listener // of the addresses
	directory       string
	discovery       *helper.Process
	inProcess       []*inProcessGroup
	helperBaseBytes float64 // bytes of memory that a hollow helper has before it has a proxy
	realProxies     map[int]*proxyProcess
	siblingLinks    *siblingLinks
	control         *controlCluster
	backends        []*standin.Backend
	mu              sync.Mutex
	closed          bool
	cancel          context.CancelCauseFunc
	monitorDone     chan struct{}
}

// hollowGroup is a helper with hollow proxies.
type inProcessGroup struct {
	process *helper.Process
	members []int // the fleet's index of its proxies, by their number in the helper
}

// ErrOver says that a run would take more of the machine than it may.
var ErrResourceLimit = errors.New("the run would go over what it may take of the machine")

// Open starts all of a plan and waits until each proxy has its list. The context that it returns ends when the run goes
// over its part of the machine, with the cause.
func Deploy(ctx context.Context, plan Plan, programs Programs) (*Deployment, context.Context, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	r := &Deployment{plan: plan, programs: programs, realProxies: map[int]*proxyProcess{}, cancel: cancel, monitorDone: make(chan struct{})}
	if n := plan.RealProxies + plan.Replicas + 4; n > maxProcesses {
		cancel(nil)
		return nil, ctx, fmt.Errorf("%w: %d processes, %d are allowed", ErrResourceLimit, n, maxProcesses)
	}
	go r.monitorResources(ctx)
	if err := r.open(ctx); err != nil {
		r.Close()
		if cause := context.Cause(ctx); errors.Is(cause, ErrResourceLimit) {
			err = cause
		}
		return nil, ctx, err
	}
	return r, ctx, nil
}

func (r *Deployment) open(ctx context.Context) (err error) {
	if r.directory, err = os.MkdirTemp("", "sandlab-scale-"); err != nil {
		return err
	}
	if r.addresses, r.addressLock, err = lockAddresses(); err != nil {
		return err
	}
	if r.siblingLinks, err = newSiblingLinks(r.plan, r.addresses); err != nil {
		return err
	}
	if err := r.startControl(); err != nil {
		return err
	}
	if r.discovery, err = r.launchHelper(helper.Discovery); err != nil {
		return err
	}
	if _, err := r.discovery.Do(helper.Request{Discover: r.discoveryRequest()}); err != nil {
		return err
	}
	if err := r.startInProcess(); err != nil {
		return err
	}
	for i := range r.plan.RealProxies {
		if err := r.startReal(i); err != nil {
			return err
		}
	}
	for i, s := range r.realProxies {
		if err := s.awaitReady(r.addresses.at(i, proxyPort)); err != nil {
			return err
		}
	}
	if r.plan.SeedDefect {
		return nil // hollow ones have nothing to wait for
	}
	if err := r.awaitLists(ctx, nil); err != nil || r.control == nil {
		return err
	}
	return r.control.awaitConnected(ctx, len(r.plan.Fleet.Proxies))
}

// startControl starts the replicas, where the plan has any.
func (r *Deployment) startControl() error {
	if r.plan.Replicas == 0 {
		return nil
	}
	base, err := newProxyConfig(r.plan.Fleet, r.addresses, 0, nil, 0).marshal()
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(r.directory, "base.json"), base, 0o600); err != nil {
		return err
	}
	control, err := startCluster(r.plan, r.programs, r.addresses, r.directory)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.control = control
	r.mu.Unlock()
	return nil
}

// operatorFile is the path of the operators' file of a proxy, empty where there is no control.
func (r *Deployment) operatorFile(i int) (string, error) {
	if r.control == nil {
		return "", nil
	}
	return r.control.operatorFile(r.plan, i)
}

// claimAddresses takes a part of the loopback network that no other run has, until the claim is closed.
func lockAddresses() (addresses, net.Listener, error) {
	const first, nets = 64, 180
	for k := range nets {
		a := addresses{first + (os.Getpid()+k)%nets}
		if claim, err := net.Listen("tcp", a.at(0, lockPort)); err == nil {
			return a, claim, nil
		}
	}
	return addresses{}, nil, errors.New("no part of the loopback network is free")
}

func (r *Deployment) launchHelper(role helper.Role) (*helper.Process, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return nil, errors.New("the run has ended")
	}
	return helper.Launch(r.programs.Helper, role)
}

// discover is the lists and agents of the plan.
func (r *Deployment) discoveryRequest() *helper.Discover {
	f, d := r.plan.Fleet, &helper.Discover{}
	if r.plan.ListScope == WholeList {
		d.Lists = make([][]standin.Endpoint, 1)
	} else {
		d.Lists = make([][]standin.Endpoint, len(f.Services))
	}
	for i, p := range f.Proxies {
		list := r.listIndex(p.Service)
		d.Lists[list] = append(d.Lists[list], endpoint(f, r.addresses, i, "ready"))
		d.Agents = append(d.Agents, helper.Agent{Address: r.addresses.at(i, agentPort), List: r.listIndex(p.TargetService)})
	}
	return d
}

func (r *Deployment) listIndex(service int) int {
	if r.plan.ListScope == WholeList {
		return 0
	}
	return service
}

func (r *Deployment) proxyConfig(i int) proxyConfig {
	if !r.plan.Peers {
		return newProxyConfig(r.plan.Fleet, r.addresses, i, nil, 0)
	}
	peers, place := r.siblingLinks.peers(i)
	return newProxyConfig(r.plan.Fleet, r.addresses, i, peers, place)
}

func (r *Deployment) startInProcess() error {
	var members [][]int
	for i := r.plan.RealProxies; i < len(r.plan.Fleet.Proxies); i++ {
		group := 0
		if r.plan.Group != nil {
			group = r.plan.Group(i)
		}
		for group >= len(members) {
			members = append(members, nil)
		}
		members[group] = append(members[group], i)
	}
	r.inProcess = make([]*inProcessGroup, len(members))
	for group := range members {
		if len(members[group]) == 0 {
			continue
		}
		if err := r.startGroup(group, members[group]); err != nil {
			return err
		}
	}
	return nil
}

// startGroup starts the process of a group and the proxies in it.
func (r *Deployment) startGroup(group int, members []int) error {
	process, err := r.launchHelper(helper.InProcess)
	if err != nil {
		return err
	}
	g := &inProcessGroup{process: process, members: members}
	r.mu.Lock()
	r.inProcess[group] = g
	r.mu.Unlock()
	if _, err = process.Do(helper.Request{FreeMemory: true}); err != nil {
		return err
	}
	if used, err := meter.ProcessUsage(process.PID()); err == nil && group == 0 {
		r.helperBaseBytes = used.ResidentBytes
	}
	start := &helper.Start{SeedDefect: r.plan.SeedDefect}
	for _, i := range members {
		text, err := r.proxyConfig(i).marshal()
		if err != nil {
			return err
		}
		start.Configs = append(start.Configs, text)
		path, err := r.operatorFile(i)
		if err != nil {
			return err
		}
		start.OperatorFiles = append(start.OperatorFiles, path)
	}
	_, err = process.Do(helper.Request{Start: start})
	return err
}

// endGroup ends the process of a group with all proxies in it, as SIGTERM does or at once, and gives which they were.
func (r *Deployment) stopGroup(group int, planned bool) ([]int, error) {
	r.mu.Lock()
	g := r.inProcess[group]
	r.inProcess[group] = nil
	r.mu.Unlock()
	defer g.process.Kill()
	if !planned {
		return g.members, nil
	}
	_, err := g.process.Do(helper.Request{Stop: indexes(len(g.members))})
	return g.members, err
}

func indexes(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

func (r *Deployment) startReal(i int) error {
	operator, err := r.operatorFile(i)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return errors.New("the run has ended")
	}
	s, err := startProxyProcess(r.programs.Proxy, r.programs.Environment, r.directory, i, r.proxyConfig(i), operator)
	if err == nil {
		r.realProxies[i] = s
	}
	return err
}

// awaitWatching waits until each proxy has an open watch with the whole list, for which it asked after the traffic given.
func (r *Deployment) awaitLists(ctx context.Context, since []meter.Traffic) error {
	deadline := time.Now().Add(settleTimeout)
	for {
		a, err := r.discovery.Do(helper.Request{Traffic: true})
		if err != nil {
			return err
		}
		missing := 0
		for i, watching := range a.OpenWatches {
			if watching == 0 || since != nil && a.Traffic[i].MessagesIn <= since[i].MessagesOut {
				missing++
			}
		}
		if missing == 0 {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d of %d proxies do not have their list after %v", missing, len(a.OpenWatches), settleTimeout)
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// traffic is what each proxy has read and written to discovery, as the proxy sees it.
func (r *Deployment) traffic() ([]meter.Traffic, error) {
	a, err := r.discovery.Do(helper.Request{Traffic: true})
	if err != nil {
		return nil, err
	}
	for i := range a.Traffic {
		a.Traffic[i] = a.Traffic[i].Reversed()
	}
	return a.Traffic, nil
}

// change tells a new state of some backends.
func (r *Deployment) updateBackends(proxies []int, status string) error {
	byList := map[int][]standin.Endpoint{}
	for _, i := range proxies {
		list := r.listIndex(r.plan.Fleet.Proxies[i].Service)
		byList[list] = append(byList[list], endpoint(r.plan.Fleet, r.addresses, i, status))
	}
	for list, endpoints := range byList {
		if _, err := r.discovery.Do(helper.Request{Change: &helper.Change{Lists: []int{list}, Endpoints: endpoints}}); err != nil {
			return err
		}
	}
	return nil
}

// reload has proxies turn to other configurations, and gives the seconds until each was in force.
func (r *Deployment) reload(ctx context.Context, turn func(l *proxyConfig)) ([]float64, error) {
	started := time.Now()
	var took []float64
	before := map[int]int{}
	for i, s := range r.realProxies {
		l := r.proxyConfig(i)
		turn(&l)
		before[i] = len(s.reloadTimes())
		if err := s.writeConfig(l); err != nil {
			return nil, err
		}
		if err := s.signalReload(); err != nil {
			return nil, err
		}
	}
	for _, g := range r.inProcess {
		if g == nil {
			continue
		}
		more, err := r.reloadGroup(g, started, turn)
		if err != nil {
			return nil, err
		}
		took = append(took, more...)
	}
	for i, s := range r.realProxies {
		deadline := time.Now().Add(settleTimeout)
		reloads := s.reloadTimes()
		for len(reloads) <= before[i] {
			if time.Now().After(deadline) {
				return nil, fmt.Errorf("proxy %d did not turn to the configuration: %s", i, s.lastLine())
			}
			if err := sleep(ctx, pollInterval); err != nil {
				return nil, err
			}
			reloads = s.reloadTimes()
		}
		took = append(took, reloads[before[i]].Sub(started).Seconds())
	}
	return took, nil
}

// reloadGroup has the hollow proxies of a group turn to other configurations.
func (r *Deployment) reloadGroup(g *inProcessGroup, started time.Time, turn func(l *proxyConfig)) ([]float64, error) {
	order := &helper.Reload{}
	for n, i := range g.members {
		l := r.proxyConfig(i)
		turn(&l)
		text, err := l.marshal()
		if err != nil {
			return nil, err
		}
		order.Proxies, order.Configs = append(order.Proxies, n), append(order.Configs, text)
	}
	a, err := g.process.Do(helper.Request{Reload: order})
	if err != nil {
		return nil, err
	}
	var took []float64
	for _, at := range a.AppliedAt {
		took = append(took, at-float64(started.UnixNano())/1e9)
	}
	return took, nil
}

// processes are the numbers of all that was started, by role.
func (r *Deployment) processIDs() map[string][]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := map[string][]int{}
	for _, i := range sortedKeys(r.realProxies) {
		all[roleProxy] = append(all[roleProxy], r.realProxies[i].pid())
	}
	for _, g := range r.inProcess {
		if g != nil {
			all[roleInProcess] = append(all[roleInProcess], g.process.PID())
		}
	}
	if r.control != nil {
		for k := range r.control.replicas {
			if r.control.running(k) {
				all[roleControl] = append(all[roleControl], r.control.replicas[k].command.Process.Pid)
			}
		}
	}
	if r.discovery != nil {
		all[roleDiscovery] = append(all[roleDiscovery], r.discovery.PID())
	}
	return all
}

func sortedKeys[V any](m map[int]V) []int {
	keys := make([]int, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// watch ends the run where it goes over its part of the machine.
func (r *Deployment) monitorResources(ctx context.Context) {
	defer close(r.monitorDone)
	for sleep(ctx, resourceCheckInterval) == nil {
		memory, count := 0.0, 1
		pids := []int{os.Getpid()}
		for _, of := range r.processIDs() {
			pids = append(pids, of...)
			count += len(of)
		}
		for _, pid := range pids {
			used, _ := meter.ProcessUsage(pid) // one that has just ended has nothing
			memory += used.ResidentBytes
		}
		if memory > maxMemoryBytes || count > maxProcesses {
			r.cancel(fmt.Errorf("%w: %.1f GB in %d processes, %.0f GB and %d are allowed", ErrResourceLimit, memory/1e9, count,
				maxMemoryBytes/1e9, maxProcesses))
			return
		}
	}
}

// Close ends all that was started.
func (r *Deployment) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.cancel(nil)
	<-r.monitorDone
	for _, s := range r.realProxies {
		s.kill()
	}
	for _, g := range r.inProcess {
		if g != nil {
			g.process.Close()
		}
	}
	if r.discovery != nil {
		r.discovery.Close()
	}
	if r.control != nil {
		r.control.close()
	}
	for _, b := range r.backends {
		b.Close()
	}
	if r.siblingLinks != nil {
		r.siblingLinks.close()
	}
	if r.addressLock != nil {
		r.addressLock.Close()
	}
	if r.directory != "" {
		os.RemoveAll(r.directory)
	}
}

// pause waits, or gives the cause for which the run ends.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Package scale measures how the resource use of a fleet's control traffic grows with the size of the fleet.
//
// It deploys a fleet on one machine: some proxies as processes of their own, the others many to a process, and stand-ins for
// the other systems. Growth models are fitted to the measurements at several sizes, and docs/CAPACITY.md is generated from
// the data.
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

// Limits of a run.
const (
	maxMemoryBytes        = 12e9 // less than half of the memory of the machine
	maxProcesses          = 300
	resourceCheckInterval = time.Second
	settleTimeout         = 60 * time.Second
)

// Programs are the programs that a run starts.
type Programs struct {
	Proxy       []string // the proxy program and its first arguments
	Environment []string // additional environment of the proxy
	Helper      string   // program that calls helper.Run
}

// Plan describes a deployment.
type Plan struct {
	RealProxies    int // number of proxies with a process of their own: the first ones of the fleet
	Fleet          *fleet.Fleet
	ListScope      ListScope
	Peers          bool                // siblings know the addresses of one another
	CountedProxies int                 // number of proxies, the first ones, whose messages are counted; at least RealProxies
	Group          func(proxy int) int // group of an in-process proxy, each group a process, numbered from 0; nil: one group
	SeedDefect     bool                // for tests: in-process proxies do not run
	Replicas       int                 // control replicas; 0: no control service
}

// Deployment is a running fleet.
type Deployment struct {
	plan            Plan
	programs        Programs
	addresses       addresses
	addressLock     net.Listener // held while this run uses the addresses
	directory       string
	discovery       *helper.Process
	inProcess       []*inProcessGroup
	helperBaseBytes float64 // memory of a helper without proxies
	realProxies     map[int]*proxyProcess
	siblingLinks    *siblingLinks
	control         *controlCluster
	backends        []*standin.Backend
	mu              sync.Mutex
	closed          bool
	cancel          context.CancelCauseFunc
	monitorDone     chan struct{}
}

// inProcessGroup is a helper process and the proxies that it runs.
type inProcessGroup struct {
	process *helper.Process
	members []int // index in the fleet of each proxy, by its number in the helper
}

// ErrResourceLimit is returned when a run exceeds, or would exceed, its limits of memory or processes.
var ErrResourceLimit = errors.New("resource limit of the run exceeded")

// Deploy starts everything in a plan and waits until each proxy has its backend list. The returned context is cancelled, with
// ErrResourceLimit as the cause, when the run exceeds its limits.
func Deploy(ctx context.Context, plan Plan, programs Programs) (*Deployment, context.Context, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	d := &Deployment{plan: plan, programs: programs, realProxies: map[int]*proxyProcess{}, cancel: cancel,
		monitorDone: make(chan struct{})}
	if n := plan.RealProxies + plan.Replicas + 4; n > maxProcesses {
		cancel(nil)
		return nil, ctx, fmt.Errorf("%w: %d processes needed, limit %d", ErrResourceLimit, n, maxProcesses)
	}
	go d.monitorResources(ctx)
	if err := d.open(ctx); err != nil {
		d.Close()
		if cause := context.Cause(ctx); errors.Is(cause, ErrResourceLimit) {
			err = cause
		}
		return nil, ctx, err
	}
	return d, ctx, nil
}

// open starts the processes and waits until they are ready. On an error the caller closes what has been started.
func (d *Deployment) open(ctx context.Context) (err error) {
	if d.directory, err = os.MkdirTemp("", "sandlab-scale-"); err != nil {
		return err
	}
	if d.addresses, d.addressLock, err = lockAddresses(); err != nil {
		return err
	}
	if d.siblingLinks, err = newSiblingLinks(d.plan, d.addresses); err != nil {
		return err
	}
	if err := d.startControl(); err != nil {
		return err
	}
	if d.discovery, err = d.launchHelper(helper.Discovery); err != nil {
		return err
	}
	if _, err := d.discovery.Do(helper.Request{Discover: d.discoveryRequest()}); err != nil {
		return err
	}
	if err := d.startInProcess(); err != nil {
		return err
	}
	for i := range d.plan.RealProxies {
		if err := d.startReal(i); err != nil {
			return err
		}
	}
	for i, s := range d.realProxies {
		if err := s.awaitReady(d.addresses.at(i, proxyPort)); err != nil {
			return err
		}
	}
	if d.plan.SeedDefect {
		return nil // in-process proxies do not run: they never receive a list
	}
	if err := d.awaitLists(ctx, nil); err != nil || d.control == nil {
		return err
	}
	return d.control.awaitConnected(ctx, len(d.plan.Fleet.Proxies))
}

// startControl starts the control replicas if the plan has any.
func (d *Deployment) startControl() error {
	if d.plan.Replicas == 0 {
		return nil
	}
	base, err := newProxyConfig(d.plan.Fleet, d.addresses, 0, nil, 0).marshal()
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(d.directory, "base.json"), base, 0o600); err != nil {
		return err
	}
	control, err := startCluster(d.plan, d.programs, d.addresses, d.directory)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.control = control
	d.mu.Unlock()
	return nil
}

// operatorFile writes the operator file of a proxy and returns its path, empty if there is no control service.
func (d *Deployment) operatorFile(i int) (string, error) {
	if d.control == nil {
		return "", nil
	}
	return d.control.operatorFile(d.plan, i)
}

// lockAddresses reserves a part of the loopback network that no other run uses. The listener is the lock: closing it releases
// the addresses.
func lockAddresses() (addresses, net.Listener, error) {
	const first, nets = 64, 180
	for k := range nets {
		a := addresses{first + (os.Getpid()+k)%nets}
		if claim, err := net.Listen("tcp", a.at(0, lockPort)); err == nil {
			return a, claim, nil
		}
	}
	return addresses{}, nil, errors.New("every part of the loopback network is used by another run")
}

// launchHelper starts a helper unless the deployment has been closed.
func (d *Deployment) launchHelper(role helper.Role) (*helper.Process, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, errors.New("the deployment has been closed")
	}
	return helper.Launch(d.programs.Helper, role)
}

// discoveryRequest returns the request that starts discovery with the lists and agents of the plan.
func (d *Deployment) discoveryRequest() *helper.Discover {
	f, request := d.plan.Fleet, &helper.Discover{}
	if d.plan.ListScope == WholeList {
		request.Lists = make([][]standin.Endpoint, 1)
	} else {
		request.Lists = make([][]standin.Endpoint, len(f.Services))
	}
	for i, p := range f.Proxies {
		list := d.listIndex(p.Service)
		request.Lists[list] = append(request.Lists[list], endpoint(f, d.addresses, i, "ready"))
		request.Agents = append(request.Agents, helper.Agent{Address: d.addresses.at(i, agentPort),
			List: d.listIndex(p.TargetService)})
	}
	return request
}

// listIndex returns the index of the list that contains the backends of a service.
func (d *Deployment) listIndex(service int) int {
	if d.plan.ListScope == WholeList {
		return 0
	}
	return service
}

// proxyConfig returns the configuration of a proxy.
func (d *Deployment) proxyConfig(i int) proxyConfig {
	if !d.plan.Peers {
		return newProxyConfig(d.plan.Fleet, d.addresses, i, nil, 0)
	}
	peers, place := d.siblingLinks.peers(i)
	return newProxyConfig(d.plan.Fleet, d.addresses, i, peers, place)
}

// startInProcess starts the in-process proxies in their groups.
func (d *Deployment) startInProcess() error {
	var members [][]int
	for i := d.plan.RealProxies; i < len(d.plan.Fleet.Proxies); i++ {
		group := 0
		if d.plan.Group != nil {
			group = d.plan.Group(i)
		}
		for group >= len(members) {
			members = append(members, nil)
		}
		members[group] = append(members[group], i)
	}
	d.inProcess = make([]*inProcessGroup, len(members))
	for group := range members {
		if len(members[group]) == 0 {
			continue
		}
		if err := d.startGroup(group, members[group]); err != nil {
			return err
		}
	}
	return nil
}

// startGroup starts the process of a group and its proxies.
func (d *Deployment) startGroup(group int, members []int) error {
	process, err := d.launchHelper(helper.InProcess)
	if err != nil {
		return err
	}
	g := &inProcessGroup{process: process, members: members}
	d.mu.Lock()
	d.inProcess[group] = g
	d.mu.Unlock()
	if _, err = process.Do(helper.Request{FreeMemory: true}); err != nil {
		return err
	}
	if used, err := meter.ProcessUsage(process.PID()); err == nil && group == 0 {
		d.helperBaseBytes = used.ResidentBytes
	}
	start := &helper.Start{SeedDefect: d.plan.SeedDefect}
	for _, i := range members {
		text, err := d.proxyConfig(i).marshal()
		if err != nil {
			return err
		}
		start.Configs = append(start.Configs, text)
		path, err := d.operatorFile(i)
		if err != nil {
			return err
		}
		start.OperatorFiles = append(start.OperatorFiles, path)
	}
	_, err = process.Do(helper.Request{Start: start})
	return err
}

// stopGroup ends the process of a group and returns the proxies that it ran. With planned set, the proxies are stopped first;
// otherwise the process is killed.
func (d *Deployment) stopGroup(group int, planned bool) ([]int, error) {
	d.mu.Lock()
	g := d.inProcess[group]
	d.inProcess[group] = nil
	d.mu.Unlock()
	defer g.process.Kill()
	if !planned {
		return g.members, nil
	}
	_, err := g.process.Do(helper.Request{Stop: indexes(len(g.members))})
	return g.members, err
}

// indexes returns the integers from 0 to n-1.
func indexes(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

// startReal starts a proxy in a process of its own, unless the deployment has been closed.
func (d *Deployment) startReal(i int) error {
	operator, err := d.operatorFile(i)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return errors.New("the deployment has been closed")
	}
	s, err := startProxyProcess(d.programs.Proxy, d.programs.Environment, d.directory, i, d.proxyConfig(i), operator)
	if err == nil {
		d.realProxies[i] = s
	}
	return err
}

// awaitLists waits until each proxy has an open watch that has received the whole list. With since set, the watch must have
// been opened after that reading of the traffic.
func (d *Deployment) awaitLists(ctx context.Context, since []meter.Traffic) error {
	deadline := time.Now().Add(settleTimeout)
	for {
		a, err := d.discovery.Do(helper.Request{Traffic: true})
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
			return fmt.Errorf("%d of %d proxies have not received their list within %v", missing, len(a.OpenWatches),
				settleTimeout)
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// traffic returns the traffic of each proxy with discovery, as the proxy sees it.
func (d *Deployment) traffic() ([]meter.Traffic, error) {
	a, err := d.discovery.Do(helper.Request{Traffic: true})
	if err != nil {
		return nil, err
	}
	for i := range a.Traffic {
		a.Traffic[i] = a.Traffic[i].Reversed()
	}
	return a.Traffic, nil
}

// updateBackends publishes a new status of some backends.
func (d *Deployment) updateBackends(proxies []int, status string) error {
	byList := map[int][]standin.Endpoint{}
	for _, i := range proxies {
		list := d.listIndex(d.plan.Fleet.Proxies[i].Service)
		byList[list] = append(byList[list], endpoint(d.plan.Fleet, d.addresses, i, status))
	}
	for list, endpoints := range byList {
		if _, err := d.discovery.Do(helper.Request{Change: &helper.Change{Lists: []int{list},
			Endpoints: endpoints}}); err != nil {
			return err
		}
	}
	return nil
}

// reload changes the configurations of all proxies and returns the seconds until each was in force. Real proxies get a new
// file and SIGHUP, in-process proxies a request.
func (d *Deployment) reload(ctx context.Context, modify func(config *proxyConfig)) ([]float64, error) {
	started := time.Now()
	var delays []float64
	before := map[int]int{}
	for i, s := range d.realProxies {
		config := d.proxyConfig(i)
		modify(&config)
		before[i] = len(s.reloadTimes())
		if err := s.writeConfig(config); err != nil {
			return nil, err
		}
		if err := s.signalReload(); err != nil {
			return nil, err
		}
	}
	for _, g := range d.inProcess {
		if g == nil {
			continue
		}
		more, err := d.reloadGroup(g, started, modify)
		if err != nil {
			return nil, err
		}
		delays = append(delays, more...)
	}
	for i, s := range d.realProxies {
		deadline := time.Now().Add(settleTimeout)
		reloads := s.reloadTimes()
		for len(reloads) <= before[i] {
			if time.Now().After(deadline) {
				return nil, fmt.Errorf("proxy %d has not applied the configuration: %s", i, s.lastLine())
			}
			if err := sleep(ctx, pollInterval); err != nil {
				return nil, err
			}
			reloads = s.reloadTimes()
		}
		delays = append(delays, reloads[before[i]].Sub(started).Seconds())
	}
	return delays, nil
}

// reloadGroup changes the configurations of the in-process proxies of a group.
func (d *Deployment) reloadGroup(g *inProcessGroup, started time.Time, modify func(config *proxyConfig)) ([]float64, error) {
	request := &helper.Reload{}
	for n, i := range g.members {
		config := d.proxyConfig(i)
		modify(&config)
		text, err := config.marshal()
		if err != nil {
			return nil, err
		}
		request.Proxies, request.Configs = append(request.Proxies, n), append(request.Configs, text)
	}
	a, err := g.process.Do(helper.Request{Reload: request})
	if err != nil {
		return nil, err
	}
	var delays []float64
	for _, at := range a.AppliedAt {
		delays = append(delays, at-float64(started.UnixNano())/1e9)
	}
	return delays, nil
}

// processIDs returns the IDs of all processes of the deployment by role.
func (d *Deployment) processIDs() map[string][]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := map[string][]int{}
	for _, i := range sortedKeys(d.realProxies) {
		all[roleProxy] = append(all[roleProxy], d.realProxies[i].pid())
	}
	for _, g := range d.inProcess {
		if g != nil {
			all[roleInProcess] = append(all[roleInProcess], g.process.PID())
		}
	}
	if d.control != nil {
		for k := range d.control.replicas {
			if d.control.running(k) {
				all[roleControl] = append(all[roleControl], d.control.replicas[k].command.Process.Pid)
			}
		}
	}
	if d.discovery != nil {
		all[roleDiscovery] = append(all[roleDiscovery], d.discovery.PID())
	}
	return all
}

// sortedKeys returns the keys of a map in ascending request.
func sortedKeys[V any](m map[int]V) []int {
	keys := make([]int, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// monitorResources cancels the run when it exceeds its limits.
func (d *Deployment) monitorResources(ctx context.Context) {
	defer close(d.monitorDone)
	for sleep(ctx, resourceCheckInterval) == nil {
		memory, count := 0.0, 1
		pids := []int{os.Getpid()}
		for _, ids := range d.processIDs() {
			pids = append(pids, ids...)
			count += len(ids)
		}
		for _, pid := range pids {
			used, _ := meter.ProcessUsage(pid) // a process that has just ended uses nothing
			memory += used.ResidentBytes
		}
		if memory > maxMemoryBytes || count > maxProcesses {
			d.cancel(fmt.Errorf("%w: %.1f GB in %d processes, limits %.0f GB and %d", ErrResourceLimit, memory/1e9, count,
				maxMemoryBytes/1e9, maxProcesses))
			return
		}
	}
}

// Close ends all processes and removes the files of the deployment.
func (d *Deployment) Close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.cancel(nil)
	<-d.monitorDone
	for _, s := range d.realProxies {
		s.kill()
	}
	for _, g := range d.inProcess {
		if g != nil {
			g.process.Close()
		}
	}
	if d.discovery != nil {
		d.discovery.Close()
	}
	if d.control != nil {
		d.control.close()
	}
	for _, b := range d.backends {
		b.Close()
	}
	if d.siblingLinks != nil {
		d.siblingLinks.close()
	}
	if d.addressLock != nil {
		d.addressLock.Close()
	}
	if d.directory != "" {
		os.RemoveAll(d.directory)
	}
}

// sleep waits for a duration. If the run is cancelled first, it returns the cause.
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

// This file implements a live run: what it starts, when faults begin and end, and the cleanup. No process, listener or file is
// left behind.

package testbed

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sandpass/internal/checker"
	"sandpass/internal/emulator"
	"sandpass/internal/faults"
)

const (
	shutdownTimeout       = 5 * time.Second // for a planned shutdown of a proxy
	rampInterval          = 250 * time.Millisecond
	crashDetectionSeconds = 1.5 // until discovery reports a crashed backend as gone
)

// supportedFaults are the faults that can be carried out with sockets on loopback.
var supportedFaults = map[faults.Kind]bool{
	faults.Crash: true, faults.Hang: true, faults.Slow: true, faults.NoisyNeighbor: true, faults.Errors: true, faults.Refuse: true,
	faults.Partition: true, faults.IgnoreCancels: true, faults.LoseAnswers: true, faults.Reset: true,
	faults.RollingReplace: true, faults.ZoneLoss: true, faults.DiscoverySilent: true,
	faults.Delay: true, faults.PacketLoss: true, faults.ReorderMessages: true, faults.StallInstances: true, faults.CrashLoop: true,
	faults.KillInstances: true, faults.RestartInstances: true, faults.LoadBurst: true, faults.CustomerFlood: true,
	faults.ZoneShift: true, faults.ClientsLeave: true, faults.RetryStorm: true,
}

// Harness executes one live run. Create it with New.
type Harness struct {
	world      emulator.World
	plan       faults.Plan
	seed       uint64
	program    []string
	env        []string
	dir        string
	recorder   *recorder
	lists      []*endpointHistory
	start      time.Time
	stopped    chan struct{}
	ids        atomic.Uint64
	operations sync.WaitGroup
	faultTasks sync.WaitGroup

	mu             sync.Mutex
	tiers          [][]*backend
	allBackends    []*backend
	proxies        []*process
	allProxies     []*process
	processCount   int
	backendCount   int
	active         []bool
	targets        [][]*backend
	maxSendDelay   float64 // longest delay in seconds between when a command was due and when it was sent
	failure        error
	lastRestart    float64 // when the last failed proxy was ready again, in seconds of the run
	linksMu        sync.Mutex
	streamLinks    map[streamLinkKey]*streamLink
	peerLinks      []peerLink
	peerAddrs      [][]string // for each instance of the first tier, the addresses at which it reaches its peers
	SnapshotState  string     // one of SnapshotStates: what happens to the snapshot of a proxy while it is down
	SwapIndexes    bool       // each killed proxy restarts with the index of the next one; a fault kills all its proxies at once
	Stress         Stress     // additional stress on the processes of the first tier
	operatorFile   string     // path of the operator file, empty if there is none
	withoutChecker bool       // events are not recorded for the checker
}

// SnapshotStates are the values of Harness.SnapshotState. With "" proxies store no snapshots.
var SnapshotStates = []string{"", "kept", "lost", "torn", "old"}

// RunOutcome is the result of a live run.
type RunOutcome struct {
	Report          *checker.Report
	MaxSendDelay    float64   // longest delay in seconds between when a command was due and when the harness sent it
	CPU             []float64 // CPU seconds of each first-tier proxy that ran to the end
	LastRestart     float64   // when the last failed proxy was ready again, in seconds of the run; 0 if none was
	RecoverySeconds []float64 // time to full recovery that restarted proxies report
}

// New returns a harness for a validated world and plan. program and env are the command that starts one proxy and its additional
// environment.
func New(w emulator.World, plan faults.Plan, seed uint64, program, env []string) (*Harness, error) {
	for i, f := range plan {
		if !supportedFaults[f.Kind] {
			return nil, fmt.Errorf("fault[%d] (%s): not supported by sockets on loopback, only by the emulator", i, f.Kind)
		}
	}
	return &Harness{world: w, plan: plan, seed: seed, program: program, env: env, stopped: make(chan struct{}),
		active: make([]bool, len(plan)), targets: make([][]*backend, len(plan))}, nil
}

// now returns the time of the run in seconds.
func (h *Harness) now() float64 { return time.Since(h.start).Seconds() }

// timeAt converts a time of the run to wall clock time.
func (h *Harness) timeAt(t float64) time.Time {
	return h.start.Add(time.Duration(t * float64(time.Second)))
}

// verbIndex returns the index of the verb in a request path, or -1.
func (h *Harness) verbIndex(path string) int {
	for i, v := range h.world.Verbs {
		if path == "/"+v.Name {
			return i
		}
	}
	return -1
}

// severity returns the highest current severity of the active faults of a kind, 0 if there are none.
func (h *Harness) severity(k faults.Kind) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	most := 0.0
	for i, f := range h.plan {
		if h.active[i] && f.Kind == k {
			most = max(most, f.SeverityAt(h.now()))
		}
	}
	return most
}

// setUp creates the run directory and the recorder, and starts everything.
func (h *Harness) setUp() (err error) {
	if h.dir, err = os.MkdirTemp("", "sandlab-"); err != nil {
		return err
	}
	if err := h.writeOperatorFile(); err != nil {
		return err
	}
	w := &h.world
	h.recorder = &recorder{world: w, start: time.Now(), requests: map[uint64]*requestRecord{},
		checker: checker.New(checker.Config{AnswerSlack: 0.05 + w.Rules.AnswerSlack,
			DrainGrace: w.Rules.DrainGrace, ColdMultiple: w.Rules.ColdMultiple, ColdWindow: w.Rules.ColdWindow,
			Hedges: w.Rules.Hedges, RelayPrice: w.Prices.Relay,
			LateDeclinePrice: w.Prices.LateDecline, Duration: w.Duration, Customers: len(w.Customers)})}
	return h.startAll()
}

// startClock starts the clock of the run and its faults.
func (h *Harness) startClock(ctx context.Context) {
	h.start = time.Now()
	h.recorder.mu.Lock()
	h.recorder.start = h.start
	h.recorder.mu.Unlock()
	for i := range h.plan {
		h.faultTasks.Add(1)
		go h.runFault(ctx, i)
	}
}

// Run starts everything, executes the run and stops everything.
func (h *Harness) Run(ctx context.Context) (out RunOutcome, err error) {
	defer h.tearDown()
	if err := h.setUp(); err != nil {
		return out, err
	}
	w := &h.world
	arrivals := emulator.Arrivals(*w, h.plan, h.seed)
	h.startClock(ctx)
	for _, a := range arrivals {
		select {
		case <-time.After(time.Until(h.timeAt(a.Due))):
		case <-ctx.Done():
			return out, ctx.Err()
		}
		h.maxSendDelay = max(h.maxSendDelay, time.Since(h.timeAt(a.Due)).Seconds())
		if a.Measured {
			h.recorder.withChecker(func(c *checker.Checker) { c.OperationRequested(a.Due, a.Customer, a.Utility) })
		}
		h.operations.Add(1)
		go h.runOperation(a)
	}
	h.operations.Wait()
	h.faultTasks.Wait()
	if h.failure != nil {
		return out, h.failure
	}
	// The checker is closed before the proxies end: a request that is still unanswered then counts as a violation.
	h.recorder.mu.Lock()
	out.Report, out.MaxSendDelay, out.LastRestart = h.recorder.checker.Close(h.recorder.now()), h.maxSendDelay, h.lastRestart
	h.recorder.mu.Unlock()
	var stops sync.WaitGroup
	for _, p := range h.proxies {
		if p != nil {
			stops.Go(func() { p.stop(shutdownTimeout) })
		}
	}
	stops.Wait()
	for _, p := range h.proxies {
		if p != nil {
			out.CPU = append(out.CPU, p.cpu())
			if p.restarted {
				out.RecoverySeconds = append(out.RecoverySeconds, p.recoverySeconds()...)
			}
		}
	}
	return out, nil
}

// startAll starts backends and proxies, the last tier first.
func (h *Harness) startAll() error {
	w := &h.world
	for range w.Tiers {
		h.lists = append(h.lists, newEndpointHistory())
		h.tiers = append(h.tiers, nil)
	}
	for k := len(w.Tiers) - 1; k >= 0; k-- {
		t := &w.Tiers[k]
		speedOrder := rand.New(rand.NewPCG(h.seed, uint64(k))).Perm(t.Backends)
		for i := range t.Backends {
			if err := h.startAndListBackend(k, i, t.Speeds[speedOrder[i]%len(t.Speeds)], time.Time{}); err != nil {
				return err
			}
		}
	}
	if err := h.setUpPeerLinks(); err != nil {
		return err
	}
	skew := rand.New(rand.NewPCG(h.seed, 77))
	for i := range w.Instances {
		p, err := h.startProcess(0, i, i%w.Zones, w.Instances, "")
		if err != nil {
			return err
		}
		p.weight = math.Exp(w.InstanceSkew * skew.NormFloat64())
		h.mu.Lock()
		h.proxies, h.allProxies = append(h.proxies, p), append(h.allProxies, p)
		h.mu.Unlock()
	}
	return nil
}

// startAndListBackend starts a backend and its proxy to the next tier, and adds it to the endpoint list.
func (h *Harness) startAndListBackend(tier, index int, speed float64, started time.Time) error {
	h.mu.Lock()
	b, err := h.startBackend(tier, index, speed, nil, started)
	if err != nil {
		h.mu.Unlock()
		return err
	}
	h.allBackends = append(h.allBackends, b)
	if index < len(h.tiers[tier]) {
		h.tiers[tier][index] = b
	} else {
		h.tiers[tier] = append(h.tiers[tier], b)
	}
	h.mu.Unlock()
	if tier+1 < len(h.world.Tiers) {
		p, err := h.startProcess(tier+1, index, b.zone, h.world.Tiers[tier].Backends, "")
		if err != nil {
			b.stop()
			return err
		}
		b.proxy, b.pool = p, p.pool
		h.mu.Lock()
		h.allProxies = append(h.allProxies, p)
		h.mu.Unlock()
	}
	h.lists[tier].add(b, "ready")
	return nil
}

// tearDown stops everything that was started and removes the run directory.
func (h *Harness) tearDown() {
	close(h.stopped)
	h.mu.Lock()
	backends, proxies := h.allBackends, h.allProxies
	h.mu.Unlock()
	for _, p := range proxies {
		p.kill()
		p.pool.close()
	}
	for _, b := range backends {
		b.stop()
	}
	h.closeLinks()
	if h.dir != "" {
		os.RemoveAll(h.dir)
	}
}

// runFault carries out one fault of the plan.
func (h *Harness) runFault(ctx context.Context, n int) {
	defer h.faultTasks.Done()
	f := h.plan[n]
	wait := func(t float64) bool {
		select {
		case <-time.After(time.Until(h.timeAt(t))):
			return true
		case <-ctx.Done():
		case <-h.stopped:
		}
		return false
	}
	if !wait(f.From) {
		return
	}
	h.mu.Lock()
	h.active[n] = true
	h.targets[n] = h.faultTargets(f)
	targets := h.targets[n]
	h.mu.Unlock()
	end := f.From + f.For
	defer func() {
		h.mu.Lock()
		h.active[n] = false
		h.mu.Unlock()
		h.updateImpairments()
	}()
	h.updateImpairments()
	switch f.Kind {
	case faults.Crash, faults.ZoneLoss:
		for _, b := range targets {
			b.stop()
		}
		if wait(min(end, f.From+crashDetectionSeconds)) {
			for _, b := range targets {
				h.lists[b.tier].add(b, "gone")
			}
		}
		if wait(end) {
			for _, b := range targets {
				h.restartBackend(b)
			}
		}
	case faults.RollingReplace:
		for i, b := range targets {
			if !wait(f.From + f.For*float64(i)/float64(len(targets))) {
				return
			}
			h.faultTasks.Add(1)
			go func() {
				defer h.faultTasks.Done()
				h.lists[b.tier].add(b, "draining")
				if !wait(h.now() + h.world.Rules.DrainTime) {
					return
				}
				b.stop()
				h.lists[b.tier].add(b, "gone")
				if err := h.startAndListBackend(b.tier, b.index, b.machine.speed, time.Now()); err != nil {
					h.fail(err)
				}
			}()
		}
	case faults.DiscoverySilent:
		for _, l := range h.lists {
			l.setSilent(true)
		}
		wait(end)
		for _, l := range h.lists {
			l.setSilent(false)
		}
	case faults.KillInstances, faults.RestartInstances:
		h.killOrRestart(f, wait)
	case faults.StallInstances:
		h.stallProxies(f, wait)
	case faults.CrashLoop:
		h.crashLoop(f, wait)
	default:
		step := rampInterval
		if !f.Ramps() && f.Kind != faults.NoisyNeighbor {
			wait(end)
			return
		}
		for time.Now().Before(h.timeAt(end)) {
			if !wait(h.now() + step.Seconds()) {
				return
			}
			h.updateImpairments()
		}
	}
}

// fail records the first error of the run.
func (h *Harness) fail(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failure == nil {
		h.failure = err
	}
}

// faultTargets draws the backends that a fault hits. The caller holds h.mu.
func (h *Harness) faultTargets(f faults.Fault) []*backend {
	return faults.PickBackends(f, h.tiers[f.Tier], func(b *backend) int { return b.zone })
}

// restartBackend starts a backend again at the same address and under the same name. It is cold.
func (h *Harness) restartBackend(previous *backend) {
	h.mu.Lock()
	b, err := h.startBackend(previous.tier, previous.index, previous.machine.speed, previous, time.Now())
	if err == nil {
		h.allBackends = append(h.allBackends, b)
		h.tiers[b.tier][b.index] = b
	}
	h.mu.Unlock()
	if err == nil && b.tier+1 < len(h.world.Tiers) {
		if b.proxy, err = h.startProcess(b.tier+1, b.index, b.zone, h.world.Tiers[b.tier].Backends, ""); err == nil {
			b.pool = b.proxy.pool
			h.mu.Lock()
			h.allProxies = append(h.allProxies, b.proxy)
			h.mu.Unlock()
		}
	}
	if err != nil {
		h.fail(err)
		return
	}
	h.lists[b.tier].add(b, "ready")
}

// updateImpairments recomputes the impairment of each backend from all active faults.
func (h *Harness) updateImpairments() {
	defer h.updateLinks()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	for _, tier := range h.tiers {
		for _, b := range tier {
			var impairment faults.Impairment
			for i, f := range h.plan {
				if h.active[i] && slices.Contains(h.targets[i], b) {
					impairment.Add(f, now)
				}
			}
			b.mu.Lock()
			b.impairment = impairment
			b.mu.Unlock()
			b.machine.change(func() { b.machine.slow, b.machine.hung = impairment.Slow, impairment.Hang })
		}
	}
}

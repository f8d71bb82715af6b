// This file owns a live day: what is started for it, when troubles come and go, and that all is ended. It must never
// leave a process, a listener or a file behind.

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
	endWithin = 5 * time.Second // for a planned end of a proxy
	rampStep  = 250 * time.Millisecond
	detect    = 1.5 // seconds until discovery says that a backend that died is gone
)

// can are the faults that sockets on loopback can carry out.
var can = map[faults.Kind]bool{
	faults.Crash: true, faults.Hang: true, faults.Slow: true, faults.NoisyNeighbor: true, faults.Errors: true, faults.Refuse: true,
	faults.Partition: true, faults.IgnoreCancels: true, faults.LoseAnswers: true, faults.Reset: true, faults.RollingReplace: true, faults.ZoneLoss: true, faults.DiscoverySilent: true,
	faults.Delay: true, faults.PacketLoss: true, faults.ReorderMessages: true, faults.StallInstances: true, faults.CrashLoop: true,
	faults.KillInstances: true, faults.RestartInstances: true, faults.LoadBurst: true, faults.CustomerFlood: true, faults.ZoneShift: true, faults.ClientsLeave: true, faults.RetryStorm: true,
}

// Rig is one live day. Make it with New.
type Harness struct {
	world    emulator.World
	plan     faults.Plan
	seed     uint64
	program  []string
	env      []string
	dir      string
	books    *books
	lists    []*tierList
	start    time.Time
	over     chan struct{}
	ids      atomic.Uint64
	busy     sync.WaitGroup
	troubles sync.WaitGroup

	mu            sync.Mutex
	tiers         [][]*backend
	all           []*backend
	fronts        []*process
	running       []*process
	processes     int
	serial        int
	active        []bool
	targets       [][]*backend
	lateness      float64 // seconds by which the latest command was sent after it was due
	failure       error
	back          float64 // when the last proxy that failed was ready again
	waysMu        sync.Mutex
	ways          map[way]*stretch
	pairs         []between
	peers         [][]string // by instance of the first tier, where it finds each sibling's messages
	SnapshotState string     // whether proxies keep what they know over their end, and what becomes of it; one of States
	SwapIndexes   bool       // who was killed comes back with the number of the next that was: of the same fault, which kills all at once
	Stress        Stress     // what the processes of the first tier suffer beside the plan
	words         string     // where the operators' file of the day is, if there is one
	quiet         bool       // no judge: what is listed and killed is nobody's affair
}

// States are what may become of what a proxy keeps while it is down; "" keeps nothing.
var SnapshotStates = []string{"", "kept", "lost", "torn", "old"}

// Outcome is what came of a live day.
type RunOutcome struct {
	Account         *checker.Report
	MaxSendDelay    float64   // seconds, the most by which a command was sent after it was due: the rig's own fault
	CPU             []float64 // seconds of a core, of each first-tier proxy that ran to the end
	LastRestart     float64   // when the last proxy that had failed was ready again, 0 if none was
	RecoverySeconds []float64 // seconds that proxies which came back say they took until all was as usual
}

// New takes a world and a plan that were checked, and the command that starts one proxy (with further environment).
func New(w emulator.World, plan faults.Plan, seed uint64, program, env []string) (*Harness, error) {
	for i, f := range plan {
		if !can[f.Kind] {
			return nil, fmt.Errorf("fault[%d] (%s): sockets on loopback can't carry this out; the emulator can", i, f.Kind)
		}
	}
	return &Harness{world: w, plan: plan, seed: seed, program: program, env: env, over: make(chan struct{}),
		active: make([]bool, len(plan)), targets: make([][]*backend, len(plan))}, nil
}

// clock is the time of the day.
func (r *Harness) clock() float64 { return time.Since(r.start).Seconds() }

func (r *Harness) at(t float64) time.Time {
	return r.start.Add(time.Duration(t * float64(time.Second)))
}

func (r *Harness) verbOf(path string) int {
	for i, v := range r.world.Verbs {
		if path == "/"+v.Name {
			return i
		}
	}
	return -1
}

// hard is how hard a kind of trouble is just now, 0 while none is in force.
func (r *Harness) hard(k faults.Kind) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	most := 0.0
	for i, f := range r.plan {
		if r.active[i] && f.Kind == k {
			most = max(most, f.SeverityAt(r.clock()))
		}
	}
	return most
}

// open starts all, with books that begin empty.
func (r *Harness) open() (err error) {
	if r.dir, err = os.MkdirTemp("", "sandlab-"); err != nil {
		return err
	}
	if err := r.operator(); err != nil {
		return err
	}
	w := &r.world
	r.books = &books{world: w, start: time.Now(), all: map[uint64]*record{}, judge: checker.New(checker.Config{AnswerSlack: 0.05 + w.Rules.AnswerSlack,
		DrainGrace: w.Rules.DrainGrace, ColdMultiple: w.Rules.ColdMultiple, ColdWindow: w.Rules.ColdWindow, SecondCopies: w.Rules.SecondCopies, RelayPrice: w.Prices.Relay,
		LateDeclinePrice: w.Prices.LateDecline, Duration: w.Duration, Customers: len(w.Customers)})}
	return r.build()
}

// begin starts the day's clock and its troubles.
func (r *Harness) begin(ctx context.Context) {
	r.start = time.Now()
	r.books.mu.Lock()
	r.books.start = r.start
	r.books.mu.Unlock()
	for i := range r.plan {
		r.troubles.Add(1)
		go r.trouble(ctx, i)
	}
}

// Play starts all, plays the day and ends all.
func (r *Harness) Run(ctx context.Context) (out RunOutcome, err error) {
	defer r.end()
	if err := r.open(); err != nil {
		return out, err
	}
	w := &r.world
	arrivals := emulator.Arrivals(*w, r.plan, r.seed)
	r.begin(ctx)
	for _, a := range arrivals {
		select {
		case <-time.After(time.Until(r.at(a.Due))):
		case <-ctx.Done():
			return out, ctx.Err()
		}
		r.lateness = max(r.lateness, time.Since(r.at(a.Due)).Seconds())
		if a.Measured {
			r.books.client(func(j *checker.Checker) { j.OperationRequested(a.Due, a.Customer, a.Utility) })
		}
		r.busy.Add(1)
		go r.operation(a)
	}
	r.busy.Wait()
	r.troubles.Wait()
	if r.failure != nil {
		return out, r.failure
	}
	// The books are closed before proxies end: what one still owes then is not forgiven.
	r.books.mu.Lock()
	out.Account, out.MaxSendDelay, out.LastRestart = r.books.judge.Close(r.books.now()), r.lateness, r.back
	r.books.mu.Unlock()
	var stops sync.WaitGroup
	for _, p := range r.fronts {
		if p != nil {
			stops.Go(func() { p.stop(endWithin) })
		}
	}
	stops.Wait()
	for _, p := range r.fronts {
		if p != nil {
			out.CPU = append(out.CPU, p.cpu())
			if p.again {
				out.RecoverySeconds = append(out.RecoverySeconds, p.full()...)
			}
		}
	}
	return out, nil
}

// build starts backends and proxies, the last tier first.
func (r *Harness) build() error {
	w := &r.world
	for range w.Tiers {
		r.lists = append(r.lists, newTierList())
		r.tiers = append(r.tiers, nil)
	}
	for k := len(w.Tiers) - 1; k >= 0; k-- {
		t := &w.Tiers[k]
		deal := rand.New(rand.NewPCG(r.seed, uint64(k))).Perm(t.Backends)
		for i := range t.Backends {
			if err := r.place(k, i, t.Speeds[deal[i]%len(t.Speeds)], time.Time{}); err != nil {
				return err
			}
		}
	}
	if err := r.meetings(); err != nil {
		return err
	}
	skew := rand.New(rand.NewPCG(r.seed, 77))
	for i := range w.Instances {
		p, err := r.startProcess(0, i, i%w.Zones, w.Instances, "")
		if err != nil {
			return err
		}
		p.weight = math.Exp(w.InstanceSkew * skew.NormFloat64())
		r.mu.Lock()
		r.fronts, r.running = append(r.fronts, p), append(r.running, p)
		r.mu.Unlock()
	}
	return nil
}

// place starts a backend, with its proxy to the next tier, and lists it.
func (r *Harness) place(tier, at int, speed float64, started time.Time) error {
	r.mu.Lock()
	b, err := r.startBackend(tier, at, speed, nil, started)
	if err != nil {
		r.mu.Unlock()
		return err
	}
	r.all = append(r.all, b)
	if at < len(r.tiers[tier]) {
		r.tiers[tier][at] = b
	} else {
		r.tiers[tier] = append(r.tiers[tier], b)
	}
	r.mu.Unlock()
	if tier+1 < len(r.world.Tiers) {
		p, err := r.startProcess(tier+1, at, b.zone, r.world.Tiers[tier].Backends, "")
		if err != nil {
			b.stop()
			return err
		}
		b.own, b.pool = p, p.pool
		r.mu.Lock()
		r.running = append(r.running, p)
		r.mu.Unlock()
	}
	r.lists[tier].add(b, "ready")
	return nil
}

// end ends all that was started.
func (r *Harness) end() {
	close(r.over)
	r.mu.Lock()
	all, running := r.all, r.running
	r.mu.Unlock()
	for _, p := range running {
		p.kill()
		p.pool.close()
	}
	for _, b := range all {
		b.stop()
	}
	r.endWays()
	if r.dir != "" {
		os.RemoveAll(r.dir)
	}
}

// trouble carries one fault out.
func (r *Harness) trouble(ctx context.Context, n int) {
	defer r.troubles.Done()
	f := r.plan[n]
	wait := func(t float64) bool {
		select {
		case <-time.After(time.Until(r.at(t))):
			return true
		case <-ctx.Done():
		case <-r.over:
		}
		return false
	}
	if !wait(f.From) {
		return
	}
	r.mu.Lock()
	r.active[n] = true
	r.targets[n] = r.hit(f)
	hit := r.targets[n]
	r.mu.Unlock()
	end := f.From + f.For
	defer func() {
		r.mu.Lock()
		r.active[n] = false
		r.mu.Unlock()
		r.burdenAll()
	}()
	r.burdenAll()
	switch f.Kind {
	case faults.Crash, faults.ZoneLoss:
		for _, b := range hit {
			b.stop()
		}
		if wait(min(end, f.From+detect)) {
			for _, b := range hit {
				r.lists[b.tier].add(b, "gone")
			}
		}
		if wait(end) {
			for _, b := range hit {
				r.again(b)
			}
		}
	case faults.RollingReplace:
		for i, b := range hit {
			if !wait(f.From + f.For*float64(i)/float64(len(hit))) {
				return
			}
			r.troubles.Add(1)
			go func() {
				defer r.troubles.Done()
				r.lists[b.tier].add(b, "draining")
				if !wait(r.clock() + r.world.Rules.DrainTime) {
					return
				}
				b.stop()
				r.lists[b.tier].add(b, "gone")
				if err := r.place(b.tier, b.place, b.machine.speed, time.Now()); err != nil {
					r.fail(err)
				}
			}()
		}
	case faults.DiscoverySilent:
		for _, l := range r.lists {
			l.hush(true)
		}
		wait(end)
		for _, l := range r.lists {
			l.hush(false)
		}
	case faults.KillInstances, faults.RestartInstances:
		r.turnOver(f, wait)
	case faults.StallInstances:
		r.stall(f, wait)
	case faults.CrashLoop:
		r.crashLoop(f, wait)
	default:
		step := rampStep
		if !f.Ramps() && f.Kind != faults.NoisyNeighbor {
			wait(end)
			return
		}
		for time.Now().Before(r.at(end)) {
			if !wait(r.clock() + step.Seconds()) {
				return
			}
			r.burdenAll()
		}
	}
}

func (r *Harness) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failure == nil {
		r.failure = err
	}
}

// hit draws what a fault hits; r.mu is held.
func (r *Harness) hit(f faults.Fault) []*backend {
	return faults.PickBackends(f, r.tiers[f.Tier], func(b *backend) int { return b.zone })
}

// again starts a backend's process anew at its address, cold, under its name.
func (r *Harness) again(old *backend) {
	r.mu.Lock()
	b, err := r.startBackend(old.tier, old.place, old.machine.speed, old, time.Now())
	if err == nil {
		r.all = append(r.all, b)
		r.tiers[b.tier][b.place] = b
	}
	r.mu.Unlock()
	if err == nil && b.tier+1 < len(r.world.Tiers) {
		if b.own, err = r.startProcess(b.tier+1, b.place, b.zone, r.world.Tiers[b.tier].Backends, ""); err == nil {
			b.pool = b.own.pool
			r.mu.Lock()
			r.running = append(r.running, b.own)
			r.mu.Unlock()
		}
	}
	if err != nil {
		r.fail(err)
		return
	}
	r.lists[b.tier].add(b, "ready")
}

// burdenAll takes anew what each backend has to bear, from all faults in force.
func (r *Harness) burdenAll() {
	defer r.turn()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	for _, tier := range r.tiers {
		for _, b := range tier {
			var u faults.Impairment
			for i, f := range r.plan {
				if r.active[i] && slices.Contains(r.targets[i], b) {
					u.Add(f, now)
				}
			}
			b.mu.Lock()
			b.burden = u
			b.mu.Unlock()
			b.machine.change(func() { b.machine.slow, b.machine.hang = u.Slow, u.Hang })
		}
	}
}

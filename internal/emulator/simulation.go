// The simulation as a whole: its clock, random sources and event loop. Nothing here may decide the outcome of a command.

package emulator

import (
	"hash/fnv"
	"math"
	"math/rand/v2"

	"sandpass/balance"
	"sandpass/internal/checker"
	"sandpass/internal/faults"
)

const (
	deathDetectionSeconds    = 1.5 // until discovery announces a crashed backend as gone
	rateRefreshSeconds       = 0.1 // interval at which the rate of a backend that is warming up is updated
	tailSeconds              = 2.0 // simulated time after the last limit
	discoveryTimeoutSeconds  = 1.0 // after which a call to a silent discovery fails
	maxDiscoveryQueueSeconds = 2.0 // queue at discovery above which a call fails
	coldSlackCommands        = 3.0 // mean commands above its limit that a cold backend tolerates
)

// Policy is the load balancing policy of an instance: the balancer, or one to compare it with. Its methods are those of
// balance.Balancer.
type Policy interface {
	Configure(now, tick float64, place balance.Placement, verbs []balance.Verb, customers []balance.Customer, overage float64,
		limits balance.Limits, cold balance.ColdStart, mustAsk bool)
	CommandReceived(now float64, id uint64, verb, customer int, expires float64, key uint64)
	RelayEnded(now float64, id uint64, n int, result balance.Result, took float64, final bool, load balance.LoadReport)
	ClientDisconnected(now float64, id uint64)
	UpdateBackends(now float64, whole bool, entries []balance.Entry)
	BackendListFailed(now float64)
	MessageReceived(now float64, from int, text []byte)
	TimerFired(now float64, token uint64)
}

// TrueState gives access to the true state of backends, for a policy that shows the best possible result.
type TrueState interface {
	// BackendState tells whether a backend would accept a command sent now, the seconds of work queued before it, the
	// backend's speed for one command (0 if it will never finish its work), and its load: above 1 it becomes less
	// efficient.
	BackendState(to balance.BackendID) (open bool, wait, speed, load float64)
}

// PolicyFactory creates the policy of one instance.
type PolicyFactory func(host balance.Host, state TrueState, seed uint64, now float64) Policy

// Simulation is one run of a world. It has the clock, the random sources and the state of all parts.
type Simulation struct {
	world     World
	plan      faults.Plan
	newPolicy PolicyFactory
	seed      uint64
	now       float64
	queue     eventQueue
	checker   *checker.Checker
	events    uint64
	verbs     []balance.Verb
	limits    balance.Limits

	backends      []*backend   // by serial; 0 is unused
	tierBackends  [][]*backend // by tier and position, the current backend
	instances     []*instance  // by serial, including killed ones
	tierInstances [][]*instance
	fronts        []front // by zone
	changeLogs    [][]backendChange

	commands       []*command
	freeCommands   []uint32
	freeRelays     []*relay // for reuse
	freeOperations []*operation
	lastSerial     uint64
	messages       [][]byte
	messageRoutes  []messageRoute
	freeMessages   []int
	callbacks      []func()

	targets            [][]*backend // by fault
	active             []bool
	stranded           []*relay
	warmKeys           map[warmKey]float64 // when a cell last handled a key
	lockFreeAt         []float64           // by fault of the kind LockedKeys, when the lock is free
	discoveryBusyUntil float64             // when discovery has answered all its calls

	networkRand, backendRand, clientRand, discoveryRand, lifecycleRand *rand.Rand
	arrivalRands                                                       []*rand.Rand
	allowances                                                         []tokenBucket
}

// randStream returns the random source of one part. Further draws from one source do not change the others.
func (sim *Simulation) randStream(part string, n int) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(part))
	return rand.New(rand.NewPCG(sim.seed, h.Sum64()+uint64(n)))
}

// Run simulates a run and returns the checker's report and the number of events. The world and the plan must have passed
// their checks.
func Run(w World, plan faults.Plan, newPolicy PolicyFactory, seed uint64) (*checker.Report, uint64) {
	sim := New(w, plan, newPolicy, seed)
	return sim.Run()
}

// New returns a Simulation that is ready to run.
func New(w World, plan faults.Plan, newPolicy PolicyFactory, seed uint64) *Simulation {
	sim := &Simulation{warmKeys: map[warmKey]float64{}, world: w, plan: plan, newPolicy: newPolicy, seed: seed,
		backends: []*backend{nil}, targets: make([][]*backend, len(plan)), active: make([]bool, len(plan)),
		lockFreeAt: make([]float64, len(plan))}
	sim.networkRand, sim.backendRand = sim.randStream("net", 0), sim.randStream("world", 0)
	sim.clientRand, sim.discoveryRand, sim.lifecycleRand = sim.randStream("clients", 0), sim.randStream("list", 0),
		sim.randStream("life", 0)
	sim.checker = checker.New(checker.Config{AnswerSlack: w.Rules.AnswerSlack, DrainGrace: w.Rules.DrainGrace,
		ColdMultiple: w.Rules.ColdMultiple, ColdWindow: w.Rules.ColdWindow, Hedges: w.Rules.Hedges,
		RelayPrice: w.Prices.Relay, MessagePrice: w.Prices.Message, CrossingPrice: w.Prices.ZoneCrossing,
		LateDeclinePrice: w.Prices.LateDecline, Duration: w.Duration, Customers: len(w.Customers),
		DeadlineError: w.Rules.DeadlineError, FreeRelays: w.Rules.FreeRelays, FreeRelayRatio: w.Rules.FreeRelayRatio,
		BudgetWindow: w.Rules.BudgetWindow})
	for _, v := range w.Verbs {
		sim.verbs = append(sim.verbs, balance.Verb{Effect: effects[v.Effect], Scope: scopes[v.Scope], DedupWindow: v.DedupWindow,
			Goal: v.Goal, TimeLimit: v.Limit, Utility: v.Utility, LateUtility: v.LateShare, PreviousIndex: -1})
	}
	sim.limits = balance.Limits{MaxRelays: w.Rules.MaxRelays, Hedges: w.Rules.Hedges,
		CancelRelays: w.Rules.CancelRelays, MaxRetryAfter: w.Rules.MaxRetryAfter, PeerMessages: w.Rules.Peers,
		KeyAffinity: w.Tiers[0].CacheSaving > 0, CrossZonePriced: w.Prices.ZoneCrossing > 0,
		MaxUnreadAnswers: w.Rules.AnswerSlots, DeadlineError: w.Rules.DeadlineError,
		ExtraRelays: balance.RelayBudget{Free: w.Rules.FreeRelays, PerCommand: w.Rules.FreeRelayRatio,
			Span: w.Rules.BudgetWindow}}
	sim.buildFleet()
	return sim
}

// buildFleet creates the backends and instances of all tiers, and schedules the faults and the first arrivals.
func (sim *Simulation) buildFleet() {
	sim.tierBackends, sim.tierInstances = make([][]*backend, len(sim.world.Tiers)), make([][]*instance, len(sim.world.Tiers))
	sim.changeLogs = make([][]backendChange, len(sim.world.Tiers))
	for k, t := range sim.world.Tiers {
		permutation := sim.randStream("speeds", k).Perm(t.Backends)
		for i := range t.Backends {
			b := sim.newBackend(k, i, t.Speeds[permutation[i]%len(t.Speeds)])
			sim.tierBackends[k] = append(sim.tierBackends[k], b)
			sim.changeLogs[k] = append(sim.changeLogs[k], backendChange{0, b, balance.Ready, 0})
		}
	}
	for k := range sim.world.Tiers {
		if k > 0 {
			sim.tierInstances[k] = make([]*instance, sim.world.Tiers[k-1].Backends)
			for i, b := range sim.tierBackends[k-1] {
				b.caller = sim.newInstance(k, i, b.zone)
			}
			continue
		}
		sim.tierInstances[0] = make([]*instance, sim.world.Instances)
		sim.fronts = make([]front, sim.world.Zones)
		skewRand := sim.randStream("skew", 0)
		for i := range sim.world.Instances {
			inst := sim.newInstance(0, i, i%sim.world.Zones)
			inst.weight = math.Exp(sim.world.InstanceSkew * skewRand.NormFloat64())
			sim.fronts[inst.zone].add(inst)
		}
	}
	for i, f := range sim.plan {
		sim.queue.push(onFault, event{at: f.From, number: uint64(i), argument: 1})
	}
	sim.startArrivals()
}

// Run simulates the run to its end and returns the checker's report and the number of events.
func (sim *Simulation) Run() (*checker.Report, uint64) {
	end := sim.world.Duration + tailSeconds
	for _, v := range sim.world.Verbs {
		end = max(end, sim.world.Duration+v.Limit+tailSeconds)
	}
	for len(sim.queue.events) > 0 && sim.queue.events[0].at <= end {
		e := sim.queue.pop()
		sim.now = e.at
		sim.events++
		sim.handleEvent(&e)
	}
	return sim.checker.Close(sim.now), sim.events
}

// handleEvent processes one event. Events for a stalled instance are postponed until it resumes.
func (sim *Simulation) handleEvent(e *event) {
	if x := sim.eventInstance(e); x != nil && x.alive && x.stalledUntil > sim.now {
		e.at = x.stalledUntil // keeps its references until its instance resumes
		sim.queue.push(e.kind(), *e)
		return
	}
	switch e.kind() {
	case onFault:
		sim.handleFault(int(e.number), e.argument)
	case onCallback:
		callback := sim.callbacks[e.number]
		sim.callbacks[e.number] = nil
		callback()
	case onUpdate:
		sim.handleUpdate(sim.instances[e.number])
	case onRefresh:
		sim.handleRefresh(sim.backends[e.number])
	case onFinish:
		sim.handleFinish(sim.backends[e.number])
	case onConnect:
		sim.handleConnect(e.relay)
	case onArrive:
		sim.handleArrive(e.relay)
	case onAnswer:
		sim.deliverOutcome(e.relay, e.generation == 1)
	case onCallEnded:
		sim.handleCallEnded(e.relay, e.number, e.argument == 1)
	case onCancel:
		sim.handleCancel(e.relay)
	case onMessage:
		sim.handleMessage(int(e.number))
	case onTimer:
		if inst := sim.instances[e.argument]; inst.alive {
			inst.policy.TimerFired(sim.now, e.number)
		}
	case onLimit:
		sim.handleDeadline(e.number)
	case onAccept:
		sim.handleAccept(e.operation, e.generation, sim.instances[e.argument])
	case onReply:
		sim.handleReply(e.operation, e.generation, replyKind(e.argument), float64(e.number)/1000)
	case onGiveUp:
		sim.handleGiveUp(e.operation, e.generation, e.argument == 1)
	case onTry:
		sim.sendTry(e.operation)
	case onIdle:
		sim.handleIdle(sim.instances[e.argument], int(e.number))
	case onArrival:
		sim.handleArrival(int(e.number))
	}
	if e.relay != nil {
		sim.releaseRelay(e.relay)
	}
	if e.operation != nil {
		sim.releaseOperation(e.operation)
	}
}

// eventInstance returns the instance that receives an event, or nil if none does.
func (sim *Simulation) eventInstance(e *event) *instance {
	switch e.kind() {
	case onUpdate:
		return sim.instances[e.number]
	case onTimer, onIdle, onAccept:
		return sim.instances[e.argument]
	case onAnswer:
		return e.relay.instance
	case onMessage:
		return sim.messageRoutes[e.number].to
	case onLimit:
		if c := sim.command(e.number &^ forgetFlag); c != nil {
			return c.instance
		}
	}
	return nil
}

// schedule calls a function at a later time. It allocates and is meant for rare events.
func (sim *Simulation) schedule(at float64, callback func()) {
	sim.callbacks = append(sim.callbacks, callback)
	sim.queue.push(onCallback, event{at: at, number: uint64(len(sim.callbacks) - 1)})
}

// MixSeeds hashes two numbers into one that can be used as a seed.
func MixSeeds(a, b uint64) uint64 {
	x := a ^ (b+0x9e3779b97f4a7c15)*0xbf58476d1ce4e5b9
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// uniform returns a number in [0, 1) that depends only on a seed, usually a command's, and on the number n of the draw.
func uniform(seed, n uint64) float64 { return float64(MixSeeds(seed, n)>>11) / (1 << 53) }

// DrawWork returns the work of a command of the verb at a tier, in seconds of a core of speed 1. It is lognormal and depends
// only on the command's seed, so that it is the same at every backend.
func DrawWork(v *Verb, seed uint64, tier int) float64 {
	if v.Spread == 0 {
		return v.Work[tier]
	}
	s2 := math.Log1p(v.Spread * v.Spread)
	u1, u2 := uniform(seed, 1), uniform(seed, 2)
	z := math.Sqrt(-2*math.Log(1-u1)) * math.Cos(2*math.Pi*u2)
	return v.Work[tier] * math.Exp(math.Sqrt(s2)*z-s2/2)
}

// EffectAndScope returns a verb's effect and scope as the balancer and the checker use them.
func EffectAndScope(v *Verb) (balance.Effect, balance.Scope) {
	return effects[v.Effect], scopes[v.Scope]
}

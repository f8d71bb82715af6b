// This file owns a day as a whole: its clock, its chance and who is in it. It must never decide what becomes of a
// command.

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
	detect    = 1.5 // seconds until discovery says that a backend that died is gone
	refresh   = 0.1 // seconds after which a rate that changes by itself is taken anew
	tail      = 2.0 // seconds that a day is played beyond the last limit
	silence   = 1.0 // seconds after which a call to a silent discovery fails
	queued    = 2.0 // seconds of queue at discovery from which a call fails
	pushSlack = 3.0 // mean commands over its budget that a cold backend bears
)

// Policy is what an instance goes by: the module itself, or something to compare it with.
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

// Sight is the true state of backends, for a policy that is to show what could be reached.
type TrueState interface {
	// Look tells of a backend whether a command sent now would get in, the seconds of work before it, the
	// backend's speed for one command (0 where what is there will never be done), and how crowded it is: from 1 on
	// it gets less efficient.
	BackendState(to balance.BackendID) (open bool, wait, speed, crowd float64)
}

// Maker starts the policy of one instance.
type PolicyFactory func(host balance.Host, sight TrueState, seed uint64, now float64) Policy

// Day is one world being played.
type Simulation struct {
	w      World
	plan   faults.Plan
	maker  PolicyFactory
	seed   uint64
	now    float64
	queue  queue
	judge  *checker.Checker
	events uint64
	verbs  []balance.Verb
	limits balance.Limits

	backends  []*backend   // by serial; 0 is nobody
	tiers     [][]*backend // by place, the latest that holds it
	instances []*instance  // all there ever were
	places    [][]*instance
	fronts    []front // by zone
	logs      [][]change

	commands []*command
	free     []uint32
	relays   []*relay // spare ones
	ops      []*operation
	opsMade  uint64
	notes    [][]byte
	noteTo   []noteWay
	spare    []int
	todo     []func()

	targets  [][]*backend // of each fault
	active   []bool
	lost     []*relay
	met      map[warmKey]float64 // keys that cells met, and when
	turns    []float64           // of each fault that is a lock, when it is free again
	busyList float64             // until when discovery has calls to answer

	netChance, worldChance, clientChance, listChance, lifeChance *rand.Rand
	arrivals                                                     []*rand.Rand
	accounts                                                     []bucket
}

// stream is the source of chance of one part. A draw more in one changes nothing in the others.
func (d *Simulation) stream(part string, n int) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(part))
	return rand.New(rand.NewPCG(d.seed, h.Sum64()+uint64(n)))
}

// Run plays a day and gives the judge's account and the number of events. The world and the plan must have been
// checked.
func Run(w World, plan faults.Plan, maker PolicyFactory, seed uint64) (*checker.Report, uint64) {
	d := New(w, plan, maker, seed)
	return d.Run()
}

// New makes a day ready to play.
func New(w World, plan faults.Plan, maker PolicyFactory, seed uint64) *Simulation {
	d := &Simulation{met: map[warmKey]float64{}, w: w, plan: plan, maker: maker, seed: seed, backends: []*backend{nil},
		targets: make([][]*backend, len(plan)), active: make([]bool, len(plan)), turns: make([]float64, len(plan))}
	d.netChance, d.worldChance = d.stream("net", 0), d.stream("world", 0)
	d.clientChance, d.listChance, d.lifeChance = d.stream("clients", 0), d.stream("list", 0), d.stream("life", 0)
	d.judge = checker.New(checker.Config{AnswerSlack: w.Rules.AnswerSlack, DrainGrace: w.Rules.DrainGrace, ColdMultiple: w.Rules.ColdMultiple,
		ColdWindow: w.Rules.ColdWindow, SecondCopies: w.Rules.SecondCopies, RelayPrice: w.Prices.Relay, MessagePrice: w.Prices.Message,
		CrossingPrice: w.Prices.ZoneCrossing, LateDeclinePrice: w.Prices.LateDecline, Duration: w.Duration, Customers: len(w.Customers),
		DeadlineError: w.Rules.DeadlineError, FreeRelays: w.Rules.FreeRelays, FreeRelayRatio: w.Rules.FreeRelayRatio, BudgetWindow: w.Rules.BudgetWindow})
	for _, v := range w.Verbs {
		d.verbs = append(d.verbs, balance.Verb{Effect: effects[v.Effect], Scope: scopes[v.Scope], DedupWindow: v.DedupWindow,
			Goal: v.Goal, TimeLimit: v.Limit, Utility: v.Utility, LateUtility: v.LateShare, PreviousIndex: -1})
	}
	d.limits = balance.Limits{MaxRelays: w.Rules.MaxRelays, Hedges: w.Rules.SecondCopies, CancelRelays: w.Rules.CancelRelays,
		MaxRetryAfter: w.Rules.MaxRetryAfter, PeerMessages: w.Rules.Peers, KeyAffinity: w.Tiers[0].CacheSaving > 0, CrossZonePriced: w.Prices.ZoneCrossing > 0,
		MaxUnreadAnswers: w.Rules.AnswerSlots, DeadlineError: w.Rules.DeadlineError,
		ExtraRelays: balance.RelayBudget{Free: w.Rules.FreeRelays, PerCommand: w.Rules.FreeRelayRatio, Span: w.Rules.BudgetWindow}}
	d.build()
	return d
}

// build sets up the fleet, from the last tier to the first, and who calls it.
func (d *Simulation) build() {
	d.tiers, d.places = make([][]*backend, len(d.w.Tiers)), make([][]*instance, len(d.w.Tiers))
	d.logs = make([][]change, len(d.w.Tiers))
	for k, t := range d.w.Tiers {
		deal := d.stream("speeds", k).Perm(t.Backends)
		for i := range t.Backends {
			b := d.newBackend(k, i, t.Speeds[deal[i]%len(t.Speeds)])
			d.tiers[k] = append(d.tiers[k], b)
			d.logs[k] = append(d.logs[k], change{0, b, balance.Ready, 0})
		}
	}
	for k := range d.w.Tiers {
		if k > 0 {
			d.places[k] = make([]*instance, d.w.Tiers[k-1].Backends)
			for i, b := range d.tiers[k-1] {
				b.own = d.newInstance(k, i, b.zone)
			}
			continue
		}
		d.places[0] = make([]*instance, d.w.Instances)
		d.fronts = make([]front, d.w.Zones)
		skew := d.stream("skew", 0)
		for i := range d.w.Instances {
			x := d.newInstance(0, i, i%d.w.Zones)
			x.weight = math.Exp(d.w.InstanceSkew * skew.NormFloat64())
			d.fronts[x.zone].add(x)
		}
	}
	for i, f := range d.plan {
		d.queue.push(onFault, event{at: f.From, n: uint64(i), a: 1})
	}
	d.openDoors()
}

// Play runs the day to its end.
func (d *Simulation) Run() (*checker.Report, uint64) {
	end := d.w.Duration + tail
	for _, v := range d.w.Verbs {
		end = max(end, d.w.Duration+v.Limit+tail)
	}
	for len(d.queue.all) > 0 && d.queue.all[0].at <= end {
		e := d.queue.pop()
		d.now = e.at
		d.events++
		d.handle(&e)
	}
	return d.judge.Close(d.now), d.events
}

func (d *Simulation) handle(e *event) {
	if x := d.whose(e); x != nil && x.alive && x.still > d.now {
		e.at = x.still // with what holds it: it is told when its instance goes on
		d.queue.push(e.kind(), *e)
		return
	}
	switch e.kind() {
	case onFault:
		d.fault(int(e.n), e.a)
	case onLife:
		what := d.todo[e.n]
		d.todo[e.n] = nil
		what()
	case onList:
		d.list(d.instances[e.n])
	case onRefresh:
		d.refreshed(d.backends[e.n])
	case onFinish:
		d.finished(d.backends[e.n])
	case onConnect:
		d.connect(e.r)
	case onArrive:
		d.arrive(e.r)
	case onAnswer:
		d.answer(e.r, e.gen == 1)
	case onCalled:
		d.called(e.r, e.n, e.a == 1)
	case onCancel:
		d.cancelled(e.r)
	case onNote:
		d.noted(int(e.n))
	case onTimer:
		if x := d.instances[e.a]; x.alive {
			x.policy.TimerFired(d.now, e.n)
		}
	case onLimit:
		d.limit(e.n)
	case onAccept:
		d.accept(e.o, e.gen, d.instances[e.a])
	case onReply:
		d.reply(e.o, e.gen, answer(e.a), float64(e.n)/1000)
	case onGiveUp:
		d.giveUp(e.o, e.gen, e.a == 1)
	case onTry:
		d.try(e.o)
	case onIdle:
		d.idle(d.instances[e.a], int(e.n))
	case onArrival:
		d.arrival(int(e.n))
	}
	if e.r != nil {
		d.release(e.r)
	}
	if e.o != nil {
		d.drop(e.o)
	}
}

// whose is the instance that an event is told to, nil where it is told to none.
func (d *Simulation) whose(e *event) *instance {
	switch e.kind() {
	case onList:
		return d.instances[e.n]
	case onTimer, onIdle, onAccept:
		return d.instances[e.a]
	case onAnswer:
		return e.r.inst
	case onNote:
		return d.noteTo[e.n].to
	case onLimit:
		if c := d.command(e.n &^ closing); c != nil {
			return c.inst
		}
	}
	return nil
}

// later does something at a time to come; for what is rare.
func (d *Simulation) later(at float64, what func()) {
	d.todo = append(d.todo, what)
	d.queue.push(onLife, event{at: at, n: uint64(len(d.todo) - 1)})
}

// Mix stirs two numbers into one that looks drawn.
func MixSeeds(a, b uint64) uint64 {
	x := a ^ (b+0x9e3779b97f4a7c15)*0xbf58476d1ce4e5b9
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// draw is a number in [0, 1) that belongs to a command, the same whoever carries it.
func draw(seed, n uint64) float64 { return float64(MixSeeds(seed, n)>>11) / (1 << 53) }

// Work is what a command of the verb costs at a tier, in seconds of a core of speed 1: lognormal, and drawn from the
// command's own seed, so that it is the same whoever carries it.
func DrawWork(v *Verb, seed uint64, tier int) float64 {
	if v.Spread == 0 {
		return v.Work[tier]
	}
	s2 := math.Log1p(v.Spread * v.Spread)
	u1, u2 := draw(seed, 1), draw(seed, 2)
	z := math.Sqrt(-2*math.Log(1-u1)) * math.Cos(2*math.Pi*u2)
	return v.Work[tier] * math.Exp(math.Sqrt(s2)*z-s2/2)
}

// Meaning is a verb's effect and scope as the module and the judge know them.
func EffectAndScope(v *Verb) (balance.Effect, balance.Scope) {
	return effects[v.Effect], scopes[v.Scope]
}

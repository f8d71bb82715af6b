// This file owns clients: they come by themselves, in open loop, whatever became of those before, and try again by
// the rules. It must never hold an arrival back because an instance is slow.

package emulator

import (
	"math"
	"slices"

	"sandpass/balance"
	"sandpass/internal/checker"
	"sandpass/internal/faults"
)

const (
	step  = 0.1  // seconds for which a rate of arrivals holds at most
	least = 0.02 // seconds that must be left for another try
)

// answer is what a client gets.
type answer int32

const (
	answered answer = iota
	declined
	failed
	died      // the connection broke: its instance is no more
	unreached // no connection came up
	unheard   // nothing came before the try was given up
)

// operation is what a client wants done, over all its tries. It lives while an event or a command holds it.
type operation struct {
	holds          int
	id, seed, key  uint64
	verb, customer int
	zone           int
	due, leaves    float64
	worth          float64
	counts         bool // it came after the warm-up
	done           bool
	tries          int
	try            uint32 // number of the latest try
	first          float64
	tried          float64 // when the latest try was sent
	command        uint64
	loss           checker.Loss
	mayHaveRun     bool // a try that ended without a promise
}

type bucket struct{ tokens, at float64 }

func (b *bucket) take(now, rate, most float64) bool {
	b.tokens = min(most, b.tokens+rate*(now-b.at))
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// front deals the clients of a zone out among the instances that it believes to be there.
type front struct {
	all []*instance
	sum []float64
}

func (f *front) add(x *instance) {
	f.all = append(f.all, x)
	f.total()
}

func (f *front) remove(x *instance) {
	f.all = slices.DeleteFunc(f.all, func(y *instance) bool { return x == y })
	f.total()
}

func (f *front) total() {
	f.sum = f.sum[:0]
	s := 0.0
	for _, x := range f.all {
		s += x.weight
		f.sum = append(f.sum, s)
	}
}

func (f *front) choose(u float64) *instance {
	if len(f.all) == 0 {
		return nil
	}
	i, _ := slices.BinarySearch(f.sum, u*f.sum[len(f.sum)-1])
	return f.all[min(i, len(f.all)-1)]
}

// openDoors starts the arrivals of each zone.
func (d *Simulation) openDoors() {
	for range d.w.Customers {
		d.accounts = append(d.accounts, bucket{})
	}
	for z := range d.w.Zones {
		d.arrivals = append(d.arrivals, d.stream("arrivals", z))
		d.queue.push(onArrival, event{at: d.arrivals[z].Float64() * step, n: uint64(z)})
	}
}

// rate is how many commands a second come in a zone now, in all and of floods alone.
func (d *Simulation) rate(zone int) (all, flood float64) {
	base := d.w.CommandRate() / float64(d.w.Zones)
	level, shift, gets := 1+d.w.LoadSwing*math.Sin(2*math.Pi*d.now/d.w.SwingPeriod), 1.0, 0.0
	for i, f := range d.plan {
		if !d.active[i] {
			continue
		}
		switch hard := f.SeverityAt(d.now); f.Kind {
		case faults.LoadBurst:
			level += hard
		case faults.ZoneShift:
			if f.Zone == zone {
				gets += hard * float64(d.w.Zones-1)
			} else {
				shift *= 1 - hard
			}
		case faults.CustomerFlood:
			flood += base * hard * d.share(f.Zone)
		}
	}
	return base*level*(shift+gets) + flood, flood
}

func (d *Simulation) share(customer int) float64 {
	sum := 0.0
	for _, c := range d.w.Customers {
		sum += c.Share
	}
	return d.w.Customers[customer].Share / max(sum, 1e-9)
}

// arrival is one command coming from a zone, or a moment to look at the rate again.
func (d *Simulation) arrival(zone int) {
	if d.now >= d.w.Duration {
		return
	}
	chance := d.arrivals[zone]
	all, flood := d.rate(zone)
	gap := chance.ExpFloat64() / max(all, 1e-9)
	if gap > step { // memoryless: drawing again at the new rate is right
		d.queue.push(onArrival, event{at: d.now + step, n: uint64(zone), a: 1})
		return
	}
	at := d.now + gap
	d.queue.push(onArrival, event{at: at, n: uint64(zone)})
	if at >= d.w.Duration {
		return
	}
	o := d.newOperation()
	o.seed, o.zone, o.due = chance.Uint64(), zone, at
	o.id = d.opsMade
	o.verb = weighted(draw(o.seed, 10), len(d.w.Verbs), func(i int) float64 { return d.w.Verbs[i].Share })
	if flood > 0 && draw(o.seed, 11) < flood/all {
		o.customer = d.flooder(draw(o.seed, 12))
	} else if len(d.w.Customers) > 0 {
		o.customer = weighted(draw(o.seed, 13), len(d.w.Customers), func(i int) float64 { return d.w.Customers[i].Share })
	}
	if k := d.w.Clients.Keys; k > 0 {
		o.key = 1 + uint64(float64(k)*math.Pow(draw(o.seed, 14), 2)) // a few are asked for often
	}
	o.worth = d.w.Verbs[o.verb].Utility
	if len(d.w.Customers) > 0 {
		rate := d.w.Customers[o.customer].Allowance * d.w.CommandRate()
		if !d.accounts[o.customer].take(at, rate, max(1, rate)) {
			o.worth *= d.w.Clients.OverageUtility
		}
	}
	if o.counts = at >= d.w.Warmup; o.counts {
		d.judge.OperationRequested(at, o.customer, o.worth)
	}
	o.holds++
	d.queue.push(onTry, event{at: at, o: o})
	early := d.w.Clients.EarlyLeaveShare
	for _, f := range d.during(faults.ClientsLeave) {
		early += f.Hard
	}
	if draw(o.seed, 15) < early {
		o.leaves = at + (0.1+0.9*draw(o.seed, 16))*d.w.Verbs[o.verb].Goal
		o.holds++
		d.queue.push(onGiveUp, event{at: o.leaves, o: o, a: 1})
	}
	d.drop(o)
}

func weighted(u float64, n int, of func(int) float64) int {
	sum := 0.0
	for i := range n {
		sum += of(i)
	}
	u *= sum
	for i := range n {
		if u -= of(i); u < 0 {
			return i
		}
	}
	return n - 1
}

// flooder is the customer of a command that a flood has brought.
func (d *Simulation) flooder(u float64) int {
	var who []int
	var hard []float64
	for _, f := range d.during(faults.CustomerFlood) {
		who, hard = append(who, f.Zone), append(hard, f.SeverityAt(d.now)*d.share(f.Zone))
	}
	return who[weighted(u, len(who), func(i int) float64 { return hard[i] })]
}

func (d *Simulation) newOperation() *operation {
	d.opsMade++
	if n := len(d.ops); n > 0 {
		o := d.ops[n-1]
		d.ops = d.ops[:n-1]
		*o = operation{holds: 1}
		return o
	}
	return &operation{holds: 1}
}

func (d *Simulation) drop(o *operation) {
	if o.holds--; o.holds == 0 {
		d.ops = append(d.ops, o)
	}
}

// client schedules something with an operation.
func (d *Simulation) client(k kind, at float64, o *operation, a int32, n uint64) {
	o.holds++
	d.queue.push(k, event{at: at, o: o, gen: o.try, a: a, n: n})
}

// try sends an operation to an instance, as a new command.
func (d *Simulation) try(o *operation) {
	if o.done {
		return
	}
	o.try++
	o.tries++
	o.tried = d.now
	x := d.fronts[o.zone].choose(d.clientChance.Float64())
	for z := 1; x == nil && z < len(d.fronts); z++ { // a zone without any goes to the next that has some
		x = d.fronts[(o.zone+z)%len(d.fronts)].choose(d.clientChance.Float64())
	}
	if x == nil {
		o.loss = checker.Loss{Cause: checker.Unreached}
		d.client(onReply, d.now+d.w.Net.Client, o, int32(unreached), 0)
		return
	}
	v := &d.w.Verbs[o.verb]
	at := min(d.now+d.w.Clients.TryShare*v.Limit, o.due+v.Limit)
	d.client(onAccept, d.now+d.w.Net.Client, o, int32(x.serial), 0)
	d.client(onGiveUp, at+2*d.w.Net.Client+d.w.Rules.AnswerSlack, o, 0, 0)
}

// accept is a try at its instance.
func (d *Simulation) accept(o *operation, try uint32, x *instance) {
	if o.done || o.try != try {
		return
	}
	if !x.alive {
		o.loss = checker.Loss{Cause: checker.Unreached}
		d.client(onReply, d.now+d.w.Net.Client, o, int32(unreached), 0)
		return
	}
	v := &d.w.Verbs[o.verb]
	sent := o.tried
	c := d.newCommand(x)
	c.verb, c.customer, c.op, c.try, c.opID = o.verb, o.customer, o, try, o.id
	c.seed, c.key = o.seed, o.key
	c.expires = max(d.now, min(sent+d.w.Clients.TryShare*v.Limit, o.due+v.Limit))
	if o.first == 0 {
		o.first = d.now
	}
	o.holds++
	o.command = c.id
	d.take(c)
}

// answerClient sends a final answer on its way to the client.
func (d *Simulation) answerClient(c *command, a answer, comeBack float64) {
	o := c.op
	o.holds++
	d.queue.push(onReply, event{at: d.now + d.w.Net.Client, o: o, gen: c.try, a: int32(a), n: uint64(1000 * comeBack)})
}

// reply is an answer at the client. That of a try which was given up crosses the next one, and is not read.
func (d *Simulation) reply(o *operation, try uint32, a answer, comeBack float64) {
	if o.done || o.try != try {
		return
	}
	v := &d.w.Verbs[o.verb]
	if a == answered {
		o.done = true
		if !o.counts {
			return
		}
		worth := o.worth
		if d.now-o.due > v.Goal {
			worth *= v.LateShare
			d.judge.OperationLost(o.loss, o.worth-worth)
		}
		d.judge.OperationAnswered(o.due, d.now, o.customer, worth)
		return
	}
	d.again(o, a, comeBack)
}

// giveUp ends a try that had no answer, or the whole where the client leaves early.
func (d *Simulation) giveUp(o *operation, try uint32, leaves bool) {
	if o.done || !leaves && o.try != try {
		return
	}
	if c := d.command(o.command); c != nil && c.op == o && !c.done {
		if o.loss = d.where(c); leaves {
			o.loss.Cause = checker.ClientLeft
		} else {
			o.loss.Cause = checker.TimedOut
		}
		if c.inst.alive && leaves {
			d.hangUp(c.inst, c.id)
		}
	}
	if leaves {
		o.loss.Cause = checker.ClientLeft
		d.end(o)
		return
	}
	d.again(o, unheard, 0)
}

// again has the client try once more, if the rules and its patience let it.
func (d *Simulation) again(o *operation, a answer, comeBack float64) {
	v, w := &d.verbs[o.verb], &d.w.Clients
	most, backoff := w.Retries, w.RetryBackoff*math.Pow(2, float64(o.tries-1))*(0.5+draw(o.seed, uint64(20+o.tries)))
	for _, f := range d.during(faults.RetryStorm) {
		most += int(math.Ceil(f.Hard))
		backoff /= 1 + f.Hard
	}
	o.mayHaveRun = o.mayHaveRun || a == failed || a == died || a == unheard
	allowed := v.Effect == balance.Pure || !o.mayHaveRun ||
		v.Effect == balance.Receipted && v.Scope == balance.ScopeAll && d.now < o.first+v.DedupWindow
	if a == declined && draw(o.seed, uint64(40+o.tries)) < w.RetryAfterShare {
		backoff = max(backoff, comeBack)
	}
	if !allowed || o.tries > most || d.now+backoff+least > o.due+v.TimeLimit {
		d.end(o)
		return
	}
	o.try++ // an answer to the last one that still comes is not read
	d.client(onTry, d.now+backoff, o, 0, 0)
}

func (d *Simulation) end(o *operation) {
	o.done = true
	if o.counts {
		d.judge.OperationLost(o.loss, o.worth)
	}
}

// Arrival is one operation as its client wants it, for a world that is played elsewhere.
type Arrival struct {
	Due            float64
	Zone           int
	Verb, Customer int
	Seed, Key      uint64
	Utility        float64
	Measured       bool    // it comes after the warm-up
	LeavesAt       float64 // when its client leaves early, 0 if it does not
}

// Arrivals are all operations of a day in the order in which they are due: the very ones that Run plays.
func Arrivals(w World, plan faults.Plan, seed uint64) []Arrival {
	d := &Simulation{w: w, plan: plan, seed: seed, active: make([]bool, len(plan)), judge: checker.New(checker.Config{Duration: w.Duration})}
	for i, f := range plan {
		d.queue.push(onFault, event{at: f.From, n: uint64(i), a: 1})
		d.queue.push(onFault, event{at: f.From + f.For, n: uint64(i)})
	}
	d.openDoors()
	var all []Arrival
	for len(d.queue.all) > 0 {
		e := d.queue.pop()
		d.now = e.at
		switch e.kind() {
		case onFault:
			d.active[e.n] = e.a == 1
		case onArrival:
			d.arrival(int(e.n))
		case onTry:
			o := e.o
			all = append(all, Arrival{Due: o.due, Zone: o.zone, Verb: o.verb, Customer: o.customer, Seed: o.seed, Key: o.key,
				Utility: o.worth, Measured: o.counts, LeavesAt: o.leaves})
		}
	}
	return all
}

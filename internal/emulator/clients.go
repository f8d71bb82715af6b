// Clients. They arrive in open loop and retry as the rules allow. An arrival must never be delayed because an instance is
// slow.

package emulator

import (
	"math"
	"slices"

	"sandpass/balance"
	"sandpass/internal/checker"
	"sandpass/internal/faults"
)

const (
	maxRateSeconds = 0.1  // longest time for which an arrival rate is used
	minTrySeconds  = 0.02 // least time that must be left for a retry
)

// replyKind is what a client receives for a try.
type replyKind int32

const (
	answered replyKind = iota
	declined
	terminated
	instanceDied // the connection was reset: its instance was killed
	unreached    // no connection was established
	tryTimedOut  // no reply came before the try timed out
)

// operation is what a client wants done, over all its tries. It is reused when no event or command refers to it.
type operation struct {
	refs            int
	id, seed, key   uint64
	verb, customer  int
	zone            int
	due, leavesAt   float64
	utility         float64
	measured        bool // it is due after the warm-up
	done            bool
	tries           int
	try             uint32 // number of the latest try
	firstAcceptedAt float64
	triedAt         float64 // when the latest try was sent
	command         uint64
	loss            checker.Loss
	mayHaveRun      bool // a try ended without a promise that a repeat is harmless
}

// tokenBucket measures whether a customer is within its allowance.
type tokenBucket struct{ tokens, at float64 }

// take takes a token if there is one.
func (b *tokenBucket) take(now, rate, capacity float64) bool {
	b.tokens = min(capacity, b.tokens+rate*(now-b.at))
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// front distributes the tries of a zone's clients over the instances that it considers alive, by weight.
type front struct {
	instances         []*instance
	cumulativeWeights []float64
}

// add adds an instance.
func (f *front) add(inst *instance) {
	f.instances = append(f.instances, inst)
	f.updateWeights()
}

// remove removes an instance.
func (f *front) remove(inst *instance) {
	f.instances = slices.DeleteFunc(f.instances, func(other *instance) bool { return inst == other })
	f.updateWeights()
}

// updateWeights recomputes the cumulative weights.
func (f *front) updateWeights() {
	f.cumulativeWeights = f.cumulativeWeights[:0]
	sum := 0.0
	for _, inst := range f.instances {
		sum += inst.weight
		f.cumulativeWeights = append(f.cumulativeWeights, sum)
	}
}

// choose returns the instance for a random number u in [0, 1), or nil if there is none.
func (f *front) choose(u float64) *instance {
	if len(f.instances) == 0 {
		return nil
	}
	i, _ := slices.BinarySearch(f.cumulativeWeights, u*f.cumulativeWeights[len(f.cumulativeWeights)-1])
	return f.instances[min(i, len(f.instances)-1)]
}

// startArrivals schedules the first arrival of each zone.
func (sim *Simulation) startArrivals() {
	for range sim.world.Customers {
		sim.allowances = append(sim.allowances, tokenBucket{})
	}
	for z := range sim.world.Zones {
		sim.arrivalRands = append(sim.arrivalRands, sim.randStream("arrivals", z))
		sim.queue.push(onArrival, event{at: sim.arrivalRands[z].Float64() * maxRateSeconds, number: uint64(z)})
	}
}

// arrivalRate returns the number of commands per second that arrive in a zone now: in total, and from floods alone.
func (sim *Simulation) arrivalRate(zone int) (all, flood float64) {
	base := sim.world.CommandRate() / float64(sim.world.Zones)
	level, staying, shiftedIn := 1+sim.world.LoadSwing*math.Sin(2*math.Pi*sim.now/sim.world.SwingPeriod), 1.0, 0.0
	for i, f := range sim.plan {
		if !sim.active[i] {
			continue
		}
		switch severity := f.SeverityAt(sim.now); f.Kind {
		case faults.LoadBurst:
			level += severity
		case faults.ZoneShift:
			if f.Zone == zone {
				shiftedIn += severity * float64(sim.world.Zones-1)
			} else {
				staying *= 1 - severity
			}
		case faults.CustomerFlood:
			flood += base * severity * sim.customerShare(f.Zone)
		}
	}
	return base*level*(staying+shiftedIn) + flood, flood
}

// customerShare returns a customer's share of the load.
func (sim *Simulation) customerShare(customer int) float64 {
	sum := 0.0
	for _, c := range sim.world.Customers {
		sum += c.Share
	}
	return sim.world.Customers[customer].Share / max(sum, 1e-9)
}

// handleArrival schedules the next arrival in a zone, and a new operation for it. If none is due within maxRateSeconds it
// only schedules itself again, to use the new rate.
func (sim *Simulation) handleArrival(zone int) {
	if sim.now >= sim.world.Duration {
		return
	}
	random := sim.arrivalRands[zone]
	all, flood := sim.arrivalRate(zone)
	gap := random.ExpFloat64() / max(all, 1e-9)
	if gap > maxRateSeconds { // exponential gaps are memoryless, so drawing again at the new rate is correct
		sim.queue.push(onArrival, event{at: sim.now + maxRateSeconds, number: uint64(zone), argument: 1})
		return
	}
	at := sim.now + gap
	sim.queue.push(onArrival, event{at: at, number: uint64(zone)})
	if at >= sim.world.Duration {
		return
	}
	o := sim.newOperation()
	o.seed, o.zone, o.due = random.Uint64(), zone, at
	o.id = sim.lastSerial
	o.verb = weightedIndex(uniform(o.seed, 10), len(sim.world.Verbs), func(i int) float64 { return sim.world.Verbs[i].Share })
	if flood > 0 && uniform(o.seed, 11) < flood/all {
		o.customer = sim.floodCustomer(uniform(o.seed, 12))
	} else if len(sim.world.Customers) > 0 {
		o.customer = weightedIndex(uniform(o.seed, 13), len(sim.world.Customers),
			func(i int) float64 { return sim.world.Customers[i].Share })
	}
	if k := sim.world.Clients.Keys; k > 0 {
		o.key = 1 + uint64(float64(k)*math.Pow(uniform(o.seed, 14), 2)) // a few keys are requested often
	}
	o.utility = sim.world.Verbs[o.verb].Utility
	if len(sim.world.Customers) > 0 {
		rate := sim.world.Customers[o.customer].Allowance * sim.world.CommandRate()
		if !sim.allowances[o.customer].take(at, rate, max(1, rate)) {
			o.utility *= sim.world.Clients.OverageUtility
		}
	}
	if o.measured = at >= sim.world.Warmup; o.measured {
		sim.checker.OperationRequested(at, o.customer, o.utility)
	}
	o.refs++
	sim.queue.push(onTry, event{at: at, operation: o})
	early := sim.world.Clients.EarlyLeaveShare
	for _, f := range sim.activeFaults(faults.ClientsLeave) {
		early += f.Hard
	}
	if uniform(o.seed, 15) < early {
		o.leavesAt = at + (0.1+0.9*uniform(o.seed, 16))*sim.world.Verbs[o.verb].Goal
		o.refs++
		sim.queue.push(onGiveUp, event{at: o.leavesAt, operation: o, argument: 1})
	}
	sim.releaseOperation(o)
}

// weightedIndex returns the index below n that a number u in [0, 1) selects by weight.
func weightedIndex(u float64, n int, weight func(int) float64) int {
	sum := 0.0
	for i := range n {
		sum += weight(i)
	}
	u *= sum
	for i := range n {
		if u -= weight(i); u < 0 {
			return i
		}
	}
	return n - 1
}

// floodCustomer returns the customer of a command that a flood caused.
func (sim *Simulation) floodCustomer(u float64) int {
	var customers []int
	var rates []float64
	for _, f := range sim.activeFaults(faults.CustomerFlood) {
		customers, rates = append(customers, f.Zone), append(rates, f.SeverityAt(sim.now)*sim.customerShare(f.Zone))
	}
	return customers[weightedIndex(u, len(customers), func(i int) float64 { return rates[i] })]
}

// newOperation returns an operation, reused if possible.
func (sim *Simulation) newOperation() *operation {
	sim.lastSerial++
	if n := len(sim.freeOperations); n > 0 {
		o := sim.freeOperations[n-1]
		sim.freeOperations = sim.freeOperations[:n-1]
		*o = operation{refs: 1}
		return o
	}
	return &operation{refs: 1}
}

// releaseOperation drops one reference to an operation.
func (sim *Simulation) releaseOperation(o *operation) {
	if o.refs--; o.refs == 0 {
		sim.freeOperations = append(sim.freeOperations, o)
	}
}

// scheduleClient schedules an event of an operation's current try.
func (sim *Simulation) scheduleClient(k eventKind, at float64, o *operation, argument int32, number uint64) {
	o.refs++
	sim.queue.push(k, event{at: at, operation: o, generation: o.try, argument: argument, number: number})
}

// sendTry sends an operation to an instance as a new command.
func (sim *Simulation) sendTry(o *operation) {
	if o.done {
		return
	}
	o.try++
	o.tries++
	o.triedAt = sim.now
	inst := sim.fronts[o.zone].choose(sim.clientRand.Float64())
	for z := 1; inst == nil && z < len(sim.fronts); z++ { // without instances in its zone it goes to the next zone that has some
		inst = sim.fronts[(o.zone+z)%len(sim.fronts)].choose(sim.clientRand.Float64())
	}
	if inst == nil {
		o.loss = checker.Loss{Cause: checker.Unreached}
		sim.scheduleClient(onReply, sim.now+sim.world.Net.Client, o, int32(unreached), 0)
		return
	}
	v := &sim.world.Verbs[o.verb]
	at := min(sim.now+sim.world.Clients.TryShare*v.Limit, o.due+v.Limit)
	sim.scheduleClient(onAccept, sim.now+sim.world.Net.Client, o, int32(inst.serial), 0)
	sim.scheduleClient(onGiveUp, at+2*sim.world.Net.Client+sim.world.Rules.AnswerSlack, o, 0, 0)
}

// handleAccept handles a try that reaches its instance.
func (sim *Simulation) handleAccept(o *operation, try uint32, inst *instance) {
	if o.done || o.try != try {
		return
	}
	if !inst.alive {
		o.loss = checker.Loss{Cause: checker.Unreached}
		sim.scheduleClient(onReply, sim.now+sim.world.Net.Client, o, int32(unreached), 0)
		return
	}
	v := &sim.world.Verbs[o.verb]
	sent := o.triedAt
	c := sim.newCommand(inst)
	c.verb, c.customer, c.operation, c.try, c.operationID = o.verb, o.customer, o, try, o.id
	c.seed, c.key = o.seed, o.key
	c.expires = max(sim.now, min(sent+sim.world.Clients.TryShare*v.Limit, o.due+v.Limit))
	if o.firstAcceptedAt == 0 {
		o.firstAcceptedAt = sim.now
	}
	o.refs++
	o.command = c.id
	sim.acceptCommand(c)
}

// sendReply sends a final answer to the client.
func (sim *Simulation) sendReply(c *command, kind replyKind, retryAfter float64) {
	o := c.operation
	o.refs++
	sim.queue.push(onReply, event{at: sim.now + sim.world.Net.Client, operation: o, generation: c.try, argument: int32(kind),
		number: uint64(1000 * retryAfter)})
}

// handleReply handles a reply that reaches the client. A reply to a try that has timed out is ignored.
func (sim *Simulation) handleReply(o *operation, try uint32, kind replyKind, retryAfter float64) {
	if o.done || o.try != try {
		return
	}
	v := &sim.world.Verbs[o.verb]
	if kind == answered {
		o.done = true
		if !o.measured {
			return
		}
		utility := o.utility
		if sim.now-o.due > v.Goal {
			utility *= v.LateShare
			sim.checker.OperationLost(o.loss, o.utility-utility)
		}
		sim.checker.OperationAnswered(o.due, sim.now, o.customer, utility)
		return
	}
	sim.retry(o, kind, retryAfter)
}

// handleGiveUp ends a try that had no reply, or the operation if the client disconnects early.
func (sim *Simulation) handleGiveUp(o *operation, try uint32, disconnects bool) {
	if o.done || !disconnects && o.try != try {
		return
	}
	if c := sim.command(o.command); c != nil && c.operation == o && !c.done {
		if o.loss = sim.commandLoss(c); disconnects {
			o.loss.Cause = checker.ClientLeft
		} else {
			o.loss.Cause = checker.TimedOut
		}
		if c.instance.alive && disconnects {
			sim.abandonCall(c.instance, c.id)
		}
	}
	if disconnects {
		o.loss.Cause = checker.ClientLeft
		sim.endOperation(o)
		return
	}
	sim.retry(o, tryTimedOut, 0)
}

// retry schedules another try if the rules, the number of retries and the remaining time allow it.
func (sim *Simulation) retry(o *operation, kind replyKind, retryAfter float64) {
	v, w := &sim.verbs[o.verb], &sim.world.Clients
	maxRetries, backoff := w.Retries, w.RetryBackoff*math.Pow(2, float64(o.tries-1))*(0.5+uniform(o.seed, uint64(20+o.tries)))
	for _, f := range sim.activeFaults(faults.RetryStorm) {
		maxRetries += int(math.Ceil(f.Hard))
		backoff /= 1 + f.Hard
	}
	o.mayHaveRun = o.mayHaveRun || kind == terminated || kind == instanceDied || kind == tryTimedOut
	allowed := v.Effect == balance.Pure || !o.mayHaveRun ||
		v.Effect == balance.Receipted && v.Scope == balance.ScopeAll && sim.now < o.firstAcceptedAt+v.DedupWindow
	if kind == declined && uniform(o.seed, uint64(40+o.tries)) < w.RetryAfterShare {
		backoff = max(backoff, retryAfter)
	}
	if !allowed || o.tries > maxRetries || sim.now+backoff+minTrySeconds > o.due+v.TimeLimit {
		sim.endOperation(o)
		return
	}
	o.try++ // a late reply to the previous try is ignored
	sim.scheduleClient(onTry, sim.now+backoff, o, 0, 0)
}

// endOperation ends an operation that was not answered.
func (sim *Simulation) endOperation(o *operation) {
	o.done = true
	if o.measured {
		sim.checker.OperationLost(o.loss, o.utility)
	}
}

// Arrival is one operation of a client, for load that is generated outside the emulator.
type Arrival struct {
	Due            float64
	Zone           int
	Verb, Customer int
	Seed, Key      uint64
	Utility        float64
	Measured       bool    // it is due after the warm-up
	LeavesAt       float64 // when its client disconnects early, 0 if it does not
}

// Arrivals returns all operations of a run in the order in which they are due: the same ones that Run simulates.
func Arrivals(w World, plan faults.Plan, seed uint64) []Arrival {
	sim := &Simulation{world: w, plan: plan, seed: seed, active: make([]bool, len(plan)),
		checker: checker.New(checker.Config{Duration: w.Duration})}
	for i, f := range plan {
		sim.queue.push(onFault, event{at: f.From, number: uint64(i), argument: 1})
		sim.queue.push(onFault, event{at: f.From + f.For, number: uint64(i)})
	}
	sim.startArrivals()
	var all []Arrival
	for len(sim.queue.events) > 0 {
		e := sim.queue.pop()
		sim.now = e.at
		switch e.kind() {
		case onFault:
			sim.active[e.number] = e.argument == 1
		case onArrival:
			sim.handleArrival(int(e.number))
		case onTry:
			o := e.operation
			all = append(all, Arrival{Due: o.due, Zone: o.zone, Verb: o.verb, Customer: o.customer, Seed: o.seed, Key: o.key,
				Utility: o.utility, Measured: o.measured, LeavesAt: o.leavesAt})
		}
	}
	return all
}

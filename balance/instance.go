// This file creates an instance, applies its settings and runs its timers. It makes no decisions about commands,
// and a change of settings must not discard what was learned.

package balance

// verb is a kind of command as configured. Its verbState outlives changes of the settings.
type verb struct {
	Verb
	*verbState
}

// verbState is what was learned about a verb.
type verbState struct {
	latencies     latencySketch
	calls         decayingSum
	hedgeBudget   tokenBucket
	pendingLosers int // losing relays that are still pending
	breaker       breaker
}

// New creates an instance without any learned state. Configure must be called before any other method.
func New(host Host, seed uint64, now float64) *Balancer {
	return &Balancer{
		host: host, seed: seed, now: now, start: now, listRetryDelay: minListRetrySeconds,
		inFlightPerBackend: initialInFlightPerBackend,
		commands:           map[uint64]*command{}, timers: map[uint64]func(){},
		retryBudget: tokenBucket{retryBurst, now}, allLatencies: newLatencySketch(now), incarnation: newIncarnation(now, seed),
	}
}

// Configure applies new settings. Learned state is kept, also for a verb or customer that continues under another
// index. Open commands keep the verb that they arrived with.
func (b *Balancer) Configure(now, tick float64, placement Placement, verbs []Verb, customers []Customer,
	overage float64, limits Limits, coldStart ColdStart, listOnRequest bool) {
	subscribe := listOnRequest && !b.listOnRequest
	if limits.ExtraRelays.Span > b.limits.ExtraRelays.Span && b.seq > 0 {
		// Earlier relays were not counted over this longer window.
		b.extraRelays.add(now, limits.ExtraRelays.Span, limits.ExtraRelays.Free)
	}
	b.now, b.tick, b.placement, b.overage, b.limits, b.coldStart = now, tick, placement, overage, limits, coldStart
	b.listOnRequest, b.maxUtility = listOnRequest, 0
	oldVerbs, oldAllowances, oldCustomerIDs := b.verbs, b.allowances, b.customerIDs
	b.verbs, b.customers, b.allowances, b.customerIDs = nil, customers, nil, nil
	for _, v := range verbs {
		state := &verbState{hedgeBudget: tokenBucket{0, now}, latencies: newLatencySketch(now)}
		if v.PreviousIndex >= 0 && v.PreviousIndex < len(oldVerbs) {
			state = oldVerbs[v.PreviousIndex].verbState
		}
		b.maxUtility = max(b.maxUtility, v.Utility)
		b.verbs = append(b.verbs, &verb{v, state})
	}
	for _, c := range customers {
		b.lastCustomerID++
		allowance, id := tokenBucket{max(1, c.Allowance*allowanceBurstSeconds), now}, b.lastCustomerID
		if c.PreviousIndex >= 0 && c.PreviousIndex < len(oldAllowances) {
			allowance, id = oldAllowances[c.PreviousIndex], oldCustomerIDs[c.PreviousIndex]
		}
		b.allowances, b.customerIDs = append(b.allowances, allowance), append(b.customerIDs, id)
	}
	b.peers.Resize(max(1, placement.Instances))
	b.rebuildWindow()
	if subscribe {
		b.BackendListFailed(now)
	}
	b.dispatchHeld()
}

// CommandClass is the verb and the customer of a command, as they were configured when Classify returned it. It remains valid when the
// settings change, which indexes do not.
type CommandClass struct {
	verb       *verb
	customerID uint64
}

// Classify returns the class of a command by the indexes of its verb and customer in the present settings.
func (b *Balancer) Classify(verb, customer int) CommandClass {
	return CommandClass{b.verbs[verb], b.customerID(customer)}
}

// customerID returns a permanent identifier of the customer. Its index changes with the settings, and what was
// learned about one customer must never apply to another that takes over its index. Customers that are not
// configured share 0.
func (b *Balancer) customerID(customer int) uint64 {
	if customer >= len(b.customerIDs) {
		return 0
	}
	return b.customerIDs[customer]
}

// VerbCount returns the number of configured verbs.
func (b *Balancer) VerbCount() int { return len(b.verbs) }

// startTimer calls the function after the given time. It returns the timer's token.
func (b *Balancer) startTimer(seconds float64, callback func()) uint64 {
	b.lastTimer++
	b.timers[b.lastTimer] = callback
	b.host.StartTimer(max(0, seconds), b.lastTimer)
	return b.lastTimer
}

// startCommandTimer is like startTimer for a function that has nothing to do once the command is finished. The timer ends with the
// command: a client that is declined often must not leave timers behind for a whole time limit each.
func (b *Balancer) startCommandTimer(c *command, seconds float64, callback func()) {
	c.timers = append(c.timers, b.startTimer(seconds, callback))
}

// stopTimers stops the timers with these tokens. It returns the empty list of tokens.
func (b *Balancer) stopTimers(tokens []uint64) []uint64 {
	for _, token := range tokens {
		if _, pending := b.timers[token]; pending {
			delete(b.timers, token)
			b.host.StopTimer(token)
		}
	}
	return nil
}

// TimerFired reports that a requested timer has expired.
func (b *Balancer) TimerFired(now float64, token uint64) {
	b.now = now
	if callback, ok := b.timers[token]; ok {
		delete(b.timers, token)
		callback()
	}
}

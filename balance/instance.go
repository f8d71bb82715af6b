// This file owns how an instance starts, the settings that it goes by and its timers. It must never decide what becomes
// of a command, nor forget what was learned when the settings change.
package balance

// verb is a kind of command as the settings have it; learnt is what outlives them.
type verb struct {
	Verb
	*learnt
}

type learnt struct {
	delay   delay
	calls   decaying
	copies  bucket
	losers  int // losing relays that are still out
	breaker breaker
}

// New starts an instance that knows nothing yet; Turn must follow, before anything else.
func New(host Host, seed uint64, now float64) *Balancer {
	return &Balancer{
		host: host, seed: seed, now: now, start: now, askWait: askFirst, level: boundFirst,
		commands: map[uint64]*command{}, wakes: map[uint64]func(){},
		retries: bucket{retryBurst, now}, anyDelay: newDelay(now), life: newLife(now, seed),
	}
}

// Turn has the instance go by these settings from now on. What was learned stays, also of a verb or customer that
// goes on under another number; a command that is open keeps the verb it came with.
func (b *Balancer) Configure(now, tick float64, place Placement, verbs []Verb, customers []Customer,
	overage float64, limits Limits, cold ColdStart, mustAsk bool) {
	ask := mustAsk && !b.mustAsk
	if limits.ExtraRelays.Span > b.limits.ExtraRelays.Span && b.seq > 0 {
		b.further.add(now, limits.ExtraRelays.Span, limits.ExtraRelays.Free) // what went before was not counted that far back
	}
	b.now, b.tick, b.place, b.overage, b.limits, b.cold = now, tick, place, overage, limits, cold
	b.mustAsk, b.topUtil = mustAsk, 0
	oldVerbs, oldShares, oldMarks := b.verbs, b.shares, b.marks
	b.verbs, b.customers, b.shares, b.marks = nil, customers, nil, nil
	for _, v := range verbs {
		l := &learnt{copies: bucket{0, now}, delay: newDelay(now)}
		if v.PreviousIndex >= 0 && v.PreviousIndex < len(oldVerbs) {
			l = oldVerbs[v.PreviousIndex].learnt
		}
		b.topUtil = max(b.topUtil, v.Utility)
		b.verbs = append(b.verbs, &verb{v, l})
	}
	for _, c := range customers {
		b.lastMark++
		share, mark := bucket{max(1, c.Allowance*shareBurst), now}, b.lastMark
		if c.PreviousIndex >= 0 && c.PreviousIndex < len(oldShares) {
			share, mark = oldShares[c.PreviousIndex], oldMarks[c.PreviousIndex]
		}
		b.shares, b.marks = append(b.shares, share), append(b.marks, mark)
	}
	b.view.Resize(max(1, place.Instances))
	b.arrange()
	if ask {
		b.BackendListFailed(now)
	}
	b.dispatch()
}

// mark is a customer's own for good: its place among the others changes with the settings, and what was learned of one must
// never be held against who has its place now. Those without a name share 0.
func (b *Balancer) mark(customer int) uint64 {
	if customer >= len(b.marks) {
		return 0
	}
	return b.marks[customer]
}

// Verbs is the number of verbs it was started with.
func (b *Balancer) VerbCount() int { return len(b.verbs) }

func (b *Balancer) after(seconds float64, what func()) {
	b.tokens++
	b.wakes[b.tokens] = what
	b.host.StartTimer(max(0, seconds), b.tokens)
}

// Wake is told that a time asked for has come.
func (b *Balancer) TimerFired(now float64, token uint64) {
	b.now = now
	if what, ok := b.wakes[token]; ok {
		delete(b.wakes, token)
		what()
	}
}

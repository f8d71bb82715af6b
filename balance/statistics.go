// This file contains statistics over time and the source of randomness. It makes no decisions: which value is read
// and what follows from it is in balancer.go, together with the constants.

package balance

import (
	"encoding/binary"
	"hash/fnv"
	"math"

	"github.com/DataDog/sketches-go/ddsketch"
)

// decayingSum is a sum whose parts decay exponentially with the span given on each call.
type decayingSum struct{ sum, updated float64 }

// read returns the sum as decayed until now.
func (d *decayingSum) read(now, span float64) float64 {
	if now > d.updated {
		d.sum *= math.Exp((d.updated - now) / span)
		d.updated = now
	}
	return d.sum
}

// add adds to the decayed sum.
func (d *decayingSum) add(now, span, amount float64) { d.sum = d.read(now, span) + amount }

// rate returns the sum as a rate per second, corrected for the time since the start.
func (d *decayingSum) rate(now, span, start float64) float64 {
	return d.read(now, span) / (span * (1 - math.Exp(-max(now-start, span/10)/span)))
}

// tokenBucket holds tokens that refill at the rate given when it is read.
type tokenBucket struct{ tokens, updated float64 }

// read refills the bucket up to its capacity and returns the number of tokens.
func (t *tokenBucket) read(now, rate, capacity float64) float64 {
	t.tokens = min(capacity, t.tokens+rate*max(0, now-t.updated))
	t.updated = now
	return t.tokens
}

// slidingCounter counts the events of exactly the last span seconds in a bounded number of buckets. Each bucket
// knows its first and last time, so that a count can be returned that is never too high or never too low.
type slidingCounter struct{ buckets []counterBucket }

// counterBucket counts the events between two times.
type counterBucket struct{ from, to, count float64 }

const counterBuckets = 256 // buckets per span: the resolution at the edge of the window

// add counts events at the present time and drops the buckets that have left the window.
func (w *slidingCounter) add(now, span, amount float64) {
	if span <= 0 {
		return
	}
	w.buckets = w.buckets[w.expired(now-span-span/counterBuckets):]
	if n := len(w.buckets); n > 0 && now-w.buckets[n-1].from < span/counterBuckets {
		w.buckets[n-1].to, w.buckets[n-1].count = now, w.buckets[n-1].count+amount
		return
	}
	w.buckets = append(w.buckets, counterBucket{now, now, amount})
}

// expired returns the number of buckets that ended before the given time.
func (w *slidingCounter) expired(before float64) (n int) {
	for n < len(w.buckets) && w.buckets[n].to < before {
		n++
	}
	return n
}

// upperBound returns the count since the given time, with all of the bucket that contains it.
func (w *slidingCounter) upperBound(since float64) (sum float64) {
	for _, p := range w.buckets[w.expired(since):] {
		sum += p.count
	}
	return sum
}

// lowerBound returns the count since the given time, without the bucket that contains it.
func (w *slidingCounter) lowerBound(since float64) (sum float64) {
	for _, p := range w.buckets[w.expired(since):] {
		if p.from > since {
			sum += p.count
		}
	}
	return sum
}

// groupTable holds statistics of groups of commands with the same customer or key, in a hash table of fixed size.
// A slot goes to the latest group, unless the group that holds it is in use or was frequent recently.
type groupTable [groupSlots]commandGroup

// commandGroup holds the statistics of the commands of one customer or key.
type commandGroup struct {
	id            uint64 // identifies the customer or key, 0 while the slot is free
	ended, failed decayingSum
	inFlight      int
	limit         float64 // of commands in flight, 0 for none
}

const (
	groupSlots     = 1024 // some tens of kilobytes per instance
	groupKeepCount = 3.0  // recently ended commands from which a group keeps its slot
)

// lookup returns the group's statistics, or nil while its slot is held by another group that is in use.
func (t *groupTable) lookup(id uint64, now, span float64) *commandGroup {
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], id)
	g := &t[hash(buf[:])%groupSlots]
	if g.id != id {
		if g.inFlight > 0 || g.limit > 0 && g.ended.read(now, span) > 1 || g.ended.read(now, span) > groupKeepCount {
			return nil
		}
		*g = commandGroup{id: id}
	}
	return g
}

// countInGroups changes the number of commands in flight in each of the command's groups.
func (c *command) countInGroups(delta int) {
	for _, g := range c.groups {
		if g != nil {
			g.inFlight += delta
		}
	}
}

// latencySketch is a rotating pair of quantile sketches.
type latencySketch struct {
	current, previous *ddsketch.DDSketch
	rotatedAt         float64
	answers           int
	lastQuantile      float64 // used while the sketches are empty

	cachedFor, cachedValue float64 // the last quantile requested and its value
	cachedUntil            int     // number of answers from which it is recomputed
	cachedRotation         float64 // rotatedAt when it was computed
}

const quantileRefreshDivisor = 64 // a 64th more answers can hardly move a quantile

// newLatencySketch returns an empty sketch.
func newLatencySketch(now float64) latencySketch {
	sketch, _ := ddsketch.NewDefaultDDSketch(sketchAccuracy) // fails only for an accuracy out of range
	return latencySketch{current: sketch, previous: sketch.Copy(), rotatedAt: now}
}

// rotate starts a new sketch once the rotation time has passed, and drops the previous one.
func (d *latencySketch) rotate(now float64) {
	if now-d.rotatedAt < sketchRotationSeconds {
		return
	}
	d.current, d.previous = d.previous, d.current
	d.current.Clear()
	if now-d.rotatedAt >= 2*sketchRotationSeconds {
		d.previous.Clear()
	}
	d.rotatedAt = now
}

// add records the latency of an answer.
func (d *latencySketch) add(now, latency float64) {
	d.rotate(now)
	if d.current.Add(latency) == nil {
		d.answers++
	}
}

// quantile returns a quantile over both sketches. It is recomputed only after the number of answers has grown by a
// fraction, because merging the sketches costs as much as the rest of a command.
func (d *latencySketch) quantile(q float64) (float64, error) {
	if q == d.cachedFor && d.answers < d.cachedUntil && d.rotatedAt == d.cachedRotation {
		return d.cachedValue, nil
	}
	merged := d.current.Copy()
	if err := merged.MergeWith(d.previous); err != nil {
		return 0, err
	}
	value, err := merged.GetValueAtQuantile(q)
	if err == nil {
		d.cachedFor, d.cachedValue, d.cachedRotation = q, value, d.rotatedAt
		d.cachedUntil = d.answers + 1 + int(merged.GetCount())/quantileRefreshDivisor
	}
	return value, err
}

// outcomeCounts counts how a backend's recent relays ended.
type outcomeCounts struct{ answered, failed decayingSum }

// record counts the outcome of a relay. Cancelled and unsent relays do not count.
func (t *outcomeCounts) record(now, span float64, result Result) {
	switch result {
	case Answered:
		t.answered.add(now, span, 1)
	case Errored, Full, TimedOut, Reset, ConnectFailed:
		t.failed.add(now, span, 1)
	}
}

// weightedLoad returns the commands in flight plus a surcharge for recent failures: the ratio of failures to
// answers, with answersPerFailure answers offsetting one failure, times the commands in flight and the next one.
// Before any answer, each failure counts as failureLoad commands for each of these.
func (t *outcomeCounts) weightedLoad(inFlight, now, span, failureLoad, answersPerFailure float64) float64 {
	if t.failed.sum == 0 {
		return inFlight // the common case: the rest costs two exponentials per backend and selection
	}
	return inFlight + (1+inFlight)*t.failed.read(now, span)/(t.answered.read(now, span)/answersPerFailure+1/failureLoad)
}

// backendUsage is kept by a backend's coordinator: the commands in flight there by instance, and its recent
// outcomes.
type backendUsage struct {
	byInstance map[int]instanceUsage
	outcomes   outcomeCounts
}

// instanceUsage is what a coordinator knows about one instance's commands at a backend.
type instanceUsage struct {
	inFlight, updated       float64
	sequence                byte    // of the latest report
	reserved, reservedUntil float64 // granted but not yet sent, and until when that counts
}

// record applies an instance's report of its commands in flight. Failures decay over span.
func (t *backendUsage) record(now float64, from int, m message, span float64) {
	u, known := t.byInstance[from]
	order := int8(m.sequence - u.sequence)
	if m.sequence != 0 && known && order == 0 {
		return // a duplicate
	} else if m.sequence != 0 && known && order < 0 {
		m.amount = byte(u.inFlight) // reordered: its total is outdated, but not what it says about one command
	} else {
		u.sequence = m.sequence
	}
	if m.flag == flagNone && float64(m.amount) < u.inFlight { // otherwise it repeats what is in flight
		t.outcomes.record(now, span, Answered)
	}
	u.inFlight, u.updated = float64(m.amount), now
	switch m.flag {
	case flagSent:
		u.reserved = max(0, u.reserved-1)
	case flagFailed:
		t.outcomes.record(now, span, Errored)
	}
	if t.set(from, u); m.sequence == 0 && m.amount == 0 && (u.reserved == 0 || now >= u.reservedUntil) {
		delete(t.byInstance, from) // otherwise kept for a while, since a reordered report may still arrive
	}
}

// reserve counts a command that an instance is about to send.
func (t *backendUsage) reserve(now float64, from int, until float64) {
	u := t.byInstance[from]
	if now >= u.reservedUntil {
		u.reserved = 0
	}
	u.updated, u.reserved, u.reservedUntil = now, u.reserved+1, until
	t.set(from, u)
}

// set stores the usage of an instance.
func (t *backendUsage) set(from int, u instanceUsage) {
	if t.byInstance == nil {
		t.byInstance = map[int]instanceUsage{}
	}
	t.byInstance[from] = u
}

// inFlight returns the commands in flight of all instances. A report older than maxAge is void: a later one was
// lost, or its sender is gone.
func (t *backendUsage) inFlight(now, maxAge float64) (sum float64) {
	for from, u := range t.byInstance {
		if now-u.updated > maxAge {
			delete(t.byInstance, from)
			continue
		}
		sum += u.inFlight // integers, so the order of addition does not matter
		if now < u.reservedUntil {
			sum += u.reserved
		}
	}
	return sum
}

// hash maps a few bytes to 64 well-mixed bits. The high bits of FNV change little with the last bytes, so it adds
// a final mixing step.
func hash(data []byte) uint64 {
	h := fnv.New64a()
	h.Write(data)
	mixed := h.Sum64()
	mixed = (mixed ^ mixed>>32) * 0x9e3779b97f4a7c15
	return mixed ^ mixed>>29
}

// random returns a number in [0, 1), derived from the instance's seed and a counter.
func (b *Balancer) random() float64 {
	var buf [16]byte
	b.randomDraws++
	binary.LittleEndian.PutUint64(buf[:], b.seed)
	binary.LittleEndian.PutUint64(buf[8:], b.randomDraws)
	return float64(hash(buf[:])>>11) / (1 << 53)
}

// sumReady sums a value over the ready backends.
func (b *Balancer) sumReady(value func(*backend) float64) float64 {
	total := 0.0
	for _, be := range b.fleet {
		if be.State == Ready {
			total += value(be)
		}
	}
	return total
}

// indicator returns 1 if the condition holds, and 0 otherwise.
func indicator(cond bool) float64 {
	if cond {
		return 1
	}
	return 0
}

// instances returns the configured number of instances, at least 1.
func (b *Balancer) instances() float64 { return max(1, float64(b.placement.Instances)) }

// readyCount returns the number of ready backends.
func (b *Balancer) readyCount() float64 { return b.sumReady(func(*backend) float64 { return 1 }) }

// warmEquivalents returns the guaranteed capacity of the ready backends in units of one warm backend. During a
// rolling deploy the remaining backends must not be overloaded with the traffic of the whole fleet. It is called
// for every command, so only backends that may still be cold are visited.
func (b *Balancer) warmEquivalents() float64 {
	total := b.warmCount
	for _, be := range b.coldBackends {
		total += b.guaranteedCapacity(be)
	}
	return max(1, total)
}

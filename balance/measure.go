// This file owns what is measured over time and where chance comes from. It must never decide anything: which figure
// is read, and what follows from it, stands in balancer.go with all constants.
package balance

import (
	"encoding/binary"
	"hash/fnv"
	"math"

	"github.com/DataDog/sketches-go/ddsketch"
)

// decaying is a sum whose parts fade with the span given when it is read.
type decaying struct{ sum, at float64 }

func (d *decaying) read(now, span float64) float64 {
	if now > d.at {
		d.sum *= math.Exp((d.at - now) / span)
		d.at = now
	}
	return d.sum
}

func (d *decaying) add(now, span, x float64) { d.sum = d.read(now, span) + x }

// rate is the sum as so much a second, corrected for the time since the first start.
func (d *decaying) rate(now, span, start float64) float64 {
	return d.read(now, span) / (span * (1 - math.Exp(-max(now-start, span/10)/span)))
}

// bucket holds tokens that refill at a rate given when it is read.
type bucket struct{ tokens, at float64 }

func (t *bucket) read(now, rate, most float64) float64 {
	t.tokens = min(most, t.tokens+rate*max(0, now-t.at))
	t.at = now
	return t.tokens
}

// window counts what happened in exactly the last span seconds, in parts of it, so that its size is bounded; each part
// knows its first and last time, so that a sum can be told that is never too high, or never too low.
type window struct{ parts []part }

type part struct{ from, to, count float64 }

const windowParts = 256 // of a window: what is at its edge is known to that part of it

func (w *window) add(now, span, x float64) {
	if span <= 0 {
		return
	}
	w.parts = w.parts[w.old(now-span-span/windowParts):]
	if n := len(w.parts); n > 0 && now-w.parts[n-1].from < span/windowParts {
		w.parts[n-1].to, w.parts[n-1].count = now, w.parts[n-1].count+x
		return
	}
	w.parts = append(w.parts, part{now, now, x})
}

// old is the number of parts that ended before the time.
func (w *window) old(at float64) (n int) {
	for n < len(w.parts) && w.parts[n].to < at {
		n++
	}
	return n
}

// most is the count since the time, with all of the part in which it falls; least is it without that part.
func (w *window) most(at float64) (sum float64) {
	for _, p := range w.parts[w.old(at):] {
		sum += p.count
	}
	return sum
}

func (w *window) least(at float64) (sum float64) {
	for _, p := range w.parts[w.old(at):] {
		if p.from > at {
			sum += p.count
		}
	}
	return sum
}

// sorts are tallies of commands that have something in common, in a table of fixed size: a place goes to the sort that
// came last, unless the one that holds it came often lately.
type sorts [sortPlaces]sort

type sort struct {
	what       uint64 // what they have in common, 0 while the place is free
	ended, bad decaying
	out        int
	most       float64 // that may be out, 0 while it is like the rest
}

const (
	sortPlaces = 1024 // of a table: some tens of kilobytes for an instance
	sortStays  = 3.0  // that ended lately, from which a sort keeps its place
)

// of gives the sort's tally, or nil while another that is in use has its place.
func (t *sorts) of(what uint64, now, span float64) *sort {
	var text [8]byte
	binary.LittleEndian.PutUint64(text[:], what)
	s := &t[hash(text[:])%sortPlaces]
	if s.what != what {
		if s.out > 0 || s.most > 0 && s.ended.read(now, span) > 1 || s.ended.read(now, span) > sortStays {
			return nil
		}
		*s = sort{what: what}
	}
	return s
}

// places counts the command, or no longer, among those of its sorts that hold a place.
func (c *command) places(by int) {
	for _, s := range c.sorts {
		if s != nil {
			s.out += by
		}
	}
}

// delay is a rotating pair of latency sketches.
type delay struct {
	now, before *ddsketch.DDSketch
	rotated     float64
	answers     int
	last        float64 // kept while the sketches are empty

	asked, found float64 // the quantile asked for last and its value
	until        int     // answers up to which it holds
	foundIn      float64 // the rotation
}

const quantilePart = 64 // one in so many answers more can hardly move a quantile

func newDelay(now float64) delay {
	a, _ := ddsketch.NewDefaultDDSketch(accuracy) // fails only for an accuracy out of range
	return delay{now: a, before: a.Copy(), rotated: now}
}

func (d *delay) rotate(now float64) {
	if now-d.rotated < rotation {
		return
	}
	d.now, d.before = d.before, d.now
	d.now.Clear()
	if now-d.rotated >= 2*rotation {
		d.before.Clear()
	}
	d.rotated = now
}

func (d *delay) learn(now, latency float64) {
	d.rotate(now)
	if d.now.Add(latency) == nil {
		d.answers++
	}
}

// quantile of both sketches. It is taken anew once the answers in them have grown by a part: merging them costs as much
// as the rest of a command.
func (d *delay) quantile(q float64) (float64, error) {
	if q == d.asked && d.answers < d.until && d.rotated == d.foundIn {
		return d.found, nil
	}
	both := d.now.Copy()
	if err := both.MergeWith(d.before); err != nil {
		return 0, err
	}
	found, err := both.GetValueAtQuantile(q)
	if err == nil {
		d.asked, d.found, d.foundIn = q, found, d.rotated
		d.until = d.answers + 1 + int(both.GetCount())/quantilePart
	}
	return found, err
}

// tries are how a backend's relays ended lately.
type tries struct{ ok, failed decaying }

func (t *tries) note(now, span float64, result Result) {
	switch result {
	case Answered:
		t.ok.add(now, span, 1)
	case Errored, Full, TimedOut, Reset, ConnectFailed:
		t.failed.add(now, span, 1)
	}
}

// weigh is what is out there with a part more for each failure to so many answers, the next command's included; before
// any answer each failure counts as first commands.
func (t *tries) weigh(out, now, span, first, answers float64) float64 {
	if t.failed.sum == 0 {
		return out // as most are: what follows costs two exponentials for each backend of a pick
	}
	return out + (1+out)*t.failed.read(now, span)/(t.ok.read(now, span)/answers+1/first)
}

// tally is what each instance said that it has out at a backend, and what has failed there lately.
type tally struct {
	by    map[int]told
	tried tries
}

type told struct {
	out, at    float64
	turn       byte    // of its latest word
	soon, till float64 // what it was granted and has not sent yet, and until when that counts
}

// note takes in what an instance says it has out; span is for how long failures count.
func (t *tally) note(now float64, from int, n note, span float64) {
	x, known := t.by[from]
	later := int8(n.turn - x.turn)
	if n.turn != 0 && known && later == 0 {
		return // the same word once more
	} else if n.turn != 0 && known && later < 0 {
		n.amount = byte(x.out) // one that was overtaken: what it says of the whole is old, not what it says of one command
	} else {
		x.turn = n.turn
	}
	if n.flag == flagNone && float64(n.amount) < x.out { // else it says again what is out
		t.tried.note(now, span, Answered)
	}
	x.out, x.at = float64(n.amount), now
	switch n.flag {
	case flagSent:
		x.soon = max(0, x.soon-1)
	case flagFailed:
		t.tried.note(now, span, Errored)
	}
	if t.put(from, x); n.turn == 0 && n.amount == 0 && (x.soon == 0 || now >= x.till) {
		delete(t.by, from) // else it stays for a while: a word that was overtaken may still come
	}
}

// grant counts a command that an instance is about to send.
func (t *tally) grant(now float64, from int, till float64) {
	x := t.by[from]
	if now >= x.till {
		x.soon = 0
	}
	x.at, x.soon, x.till = now, x.soon+1, till
	t.put(from, x)
}

func (t *tally) put(from int, x told) {
	if t.by == nil {
		t.by = map[int]told{}
	}
	t.by[from] = x
}

// sum is what all have out. What was said longer ago than any command lasts was lost, or who said it is no more.
func (t *tally) sum(now, longest float64) (sum float64) {
	for from, x := range t.by {
		if now-x.at > longest {
			delete(t.by, from)
			continue
		}
		sum += x.out // whole numbers: the order does not matter
		if now < x.till {
			sum += x.soon
		}
	}
	return sum
}

// hash spreads a few bytes over all bits: the high ones of FNV change little with the last bytes, so they are
// stirred once more.
func hash(text []byte) uint64 {
	h := fnv.New64a()
	h.Write(text)
	x := h.Sum64()
	x = (x ^ x>>32) * 0x9e3779b97f4a7c15
	return x ^ x>>29
}

// chance is a number in [0, 1) from the instance's seed and a counter.
func (b *Balancer) chance() float64 {
	var text [16]byte
	b.draws++
	binary.LittleEndian.PutUint64(text[:], b.seed)
	binary.LittleEndian.PutUint64(text[8:], b.draws)
	return float64(hash(text[:])>>11) / (1 << 53)
}

// sum adds up a figure over the usable backends.
func (b *Balancer) sum(of func(*backend) float64) float64 {
	total := 0.0
	for _, k := range b.fleet {
		if k.State == Ready {
			total += of(k)
		}
	}
	return total
}

func one(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

func (b *Balancer) siblings() float64 { return max(1, float64(b.place.Instances)) }

func (b *Balancer) usable() float64 { return b.sum(func(*backend) float64 { return 1 }) }

// warmth is how many warm backends the usable ones are worth: in a rolling deploy the rest must not be crowded with what
// the whole fleet could hold. It is asked for with every command, so only those that may not be warm yet are looked at.
func (b *Balancer) warmth() float64 {
	total := b.warm
	for _, k := range b.warming {
		total += b.part(k)
	}
	return max(1, total)
}

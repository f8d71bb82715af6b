// Package balance decides where a command goes, when it gets a second copy, and when it is given up.
//
// A front makes one Balancer for each instance with New, calls one method for each thing that happens
// (Command, Outcome, Started, Departed, Fleet, ListFailed, Heard, Wake, Turn), the clock always in seconds,
// and carries out what the Balancer asks of its Host. Interface and plain types are in host.go; what the
// mechanism is and where it is departed from is told in docs/design.md. Not safe for concurrent calls.
package balance

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
)

const (
	// Delay of second copies (the mechanism's own figures).
	percentile    = 0.95  // quantile after which a copy goes out; tiers repeat whole subtrees, so few may
	accuracy      = 0.02  // relative error of the sketches: far below the spread of latencies
	rotation      = 10.0  // seconds between sketch rotations
	minDelay      = 0.001 // seconds, floor of the delay
	warmupPart    = 0.5   // of the response goal, delay while nothing is known: a copy may still be in time
	warmupAnswers = 20    // answers until the sketch is trusted

	// Copy bucket.
	copyShare = 0.1  // copies for each own call
	callSpan  = 10.0 // seconds over which the own call rate is counted
	copyBurst = 2.0  // seconds of refill that the bucket holds, at least one copy

	// Breakers.
	breakerShare    = 0.5  // part of failures that opens
	breakerOutcomes = 20.0 // outcomes needed before it may open
	breakerSpan     = 10.0 // seconds over which outcomes are counted
	cooldown        = 10.0 // seconds that it stays open
	trials          = 5    // copies let through before it closes again

	// Weights and pick.
	weightMin, weightMax = 0.1, 3.0 // no unit; a thirtieth of the best still learns when a backend mends
	weightGain           = 0.1      // for each quick answer: ten make up for one halving at the mean
	farSlack             = 0.5      // commands under the mean count from which it is skipped: queues stay even
	spillAt              = 1.5      // times the others' mean latency at which the own zone is preferred no more
	localSlack           = 1.0      // commands more at one of the own zone, where crossing is priced
	asideFor             = 2.0      // seconds left alone after a connection failed: it is down or full
	homePull             = 60.0     // times the weight of backends in the cell of a command's key
	zonePull             = 3.0      // times the weight of backends in the own zone
	localPull            = 30.0     // the same where crossing is priced, without keepers: a tenth still crosses

	// Keepers.
	room                = 5.0      // commands out for each backend, by all: fewer idle it, more choke it
	failLoad, failSpan  = 2.0, 3.0 // commands that a first failure counts for, and for how many seconds
	failPer             = 3.0      // answers that one outweighs: many failures among many answers are no outage
	noteLife, noteAgain = 1.0, 0.8 // seconds that a note counts, and after which it is repeated
	asksMost            = 2        // cells asked for a command at a time: more only add to a flood
	patience            = 0.04     // seconds for a keeper's word: twice the way there and back, and a few ticks

	// Fleet.
	nearLeast         = 4.0      // backends in an instance's window: room for copies and for some that fail
	nearShared        = 2.0      // windows that each backend lies in at least, where there are as many
	askFirst, askLast = 1.0, 8.0 // seconds between calls for a list out of reach, doubling, with jitter
	coldPart          = 0.55     // of the multiple at which a cold backend falls that all may send together
	coldMemory        = 30.0     // seconds in which it fades how many there were: of fewer each gets more

	// Admission.
	rateSpan     = 2.0   // seconds over which the rate of answers is counted: a few response times
	spareFirst   = 0.7   // part of the bound open to commands of no utility; the rest goes by utility
	boundMin     = 7.0   // commands out for each backend, by all instances, that are always allowed
	boundFirst   = 20.0  // the same at the start: cut within seconds where it is too much
	boundRoot    = 1.7   // roots of its share, or shares, that an instance may have out beyond it
	fewInstances = 4.0   // instances up to which one sees enough of the whole to keep to its share
	lateFrom     = 0.4   // of the response goal from which an answer counts as late: half may be, with any tail
	lateShare    = 0.5   // part of late answers from which the bound is cut
	stretch      = 1.7   // times the usual latency from which an answer counts as late as well: queues build
	leeway       = 1.5   // times the usual latency up to which no answer is late
	lateTo       = 0.75  // of the response goal from which every answer is late
	usualStep    = 0.005 // step at which the usual latency is followed, for each answer
	usualAnswers = 30    // answers until the usual latency is known: the first to come are the light ones
	lateSlack    = 1.0   // late answers that prove nothing
	lateSpan     = 2.0   // seconds over which that part is counted
	lateAnswers  = 6.0   // answers that it keeps at least, however long ago
	cut          = 0.5   // part of the bound taken off in a cut, for each whole of late answers too many
	cutEvery     = 0.5   // seconds between cuts: an answer shows what was let out a while ago
	raise        = 0.05  // growth of the bound in a second: what is let out too fast chokes backends for long
	easeRoot     = 3.0   // roots of what is out at ease by which it may be exceeded, by chance and in a surge
	easeMore     = 2.0   // and commands beyond: a few at ease say little
	easePower    = 0.25  // of the part that few instances are of all, by which that room shrinks
	easeLeast    = 7.0   // commands out for each backend, by all instances, that no ease forbids
	easeStep     = 0.005 // step at which that is followed, for each answer: slower than a burst chokes
	missFrom     = 0.2   // part of commands that miss their goal from which that bound gives way
	nestPart     = 0.02  // of own commands that come from below from which the others leave places for them
	nestRoot     = 0.5   // in place of easeRoot then
	nestTimes    = 2.0   // the bound of those from below: what waits for them holds places already
	sortSpan     = 5.0   // seconds over which it is counted how a sort of commands fares
	sortSlack    = 1.0   // roots of the ill ones by which they may be many by chance: few prove little
	sortApart    = 0.25  // part of ill ones above that of the rest from which a sort stands apart
	sortRest     = 0.25  // of what ended of a sort that must have ended of the rest: nothing stands apart alone
	sortCut      = 0.7   // of the places that it may hold, left for each that ends ill
	sortRaise    = 0.1   // places more for each that ends well: ten prove room for one
	inUse        = 0.8   // of the bound that must be out for it to be raised
	holdShare    = 0.1   // of the response goal that a command may be held
	comeBack     = 0.8   // of the response goal after which a declined client is to come back: in time to count
	shareBurst   = 2.0   // seconds of its allowance that a customer may send at once
	retryShare   = 0.2   // further relays after a failure for each own call, so refusals are no storm
	retryBurst   = 3.0   // further relays that may go at once
	copyPart     = 0.5   // of a stated budget of further relays open to copies: failed ones gain more
	pastPart     = 0.15  // of the places for answers that late commands may hold
	expiryTicks  = 1.0   // ticks before its time limit at which a command is terminated
	recheck      = 0.05  // seconds after which a held command is looked at when nothing else happens
	slowShare    = 0.05  // part of recent relays past the delay from which copies stop: the usual one
	slowSpan     = 2.0   // seconds over which that part is counted
	slowSlack    = 0.5   // late relays that prove nothing: the one to be copied is among them
	tiny         = 1e-9  // guards divisions
)

// ---- Delay: the percentile after which a relay is late.

func (d *delay) after(now float64) float64 {
	d.rotate(now)
	if q, err := d.quantile(percentile); err == nil {
		d.last = max(q, minDelay)
	}
	return d.last
}

// delay is how long a relay may be out before it is late, and whether that is learned. While its verb has few
// answers those of all count, and while these are few, a part of the goal: hundreds would copy at once.
func (b *Balancer) delay(v *verb) (float64, bool) {
	for _, d := range []*delay{&v.delay, &b.anyDelay} {
		if d.answers >= warmupAnswers {
			return d.after(b.now), true
		}
	}
	return max(minDelay, warmupPart*v.Goal), false
}

// ---- Breaker: blocks copies, never first relays.

type breaker struct {
	all, failed decaying
	openUntil   float64 // 0 while closed
	tried       int     // copies let through since it opened
	ended, bad  int     // and their outcomes
}

func (k *breaker) allows(now float64) bool {
	return k.openUntil == 0 || now >= k.openUntil && k.tried < trials
}

func (k *breaker) sent(now float64) {
	if k.openUntil != 0 && now >= k.openUntil {
		k.tried++
	}
}

func (k *breaker) outcome(now float64, failed bool) {
	k.all.add(now, breakerSpan, 1)
	k.failed.add(now, breakerSpan, 0)
	if failed {
		k.failed.add(now, breakerSpan, 1)
	}
	switch {
	case k.openUntil == 0:
		if k.all.sum >= breakerOutcomes && k.failed.sum >= breakerShare*k.all.sum {
			*k = breaker{openUntil: now + cooldown}
		}
	case now >= k.openUntil:
		k.ended++
		if failed {
			k.bad++
		}
		if k.bad > trials/2 {
			*k = breaker{openUntil: now + cooldown}
		} else if k.ended >= trials {
			*k = breaker{}
		}
	}
}

// ---- Weights and pick.

// tag names the backend in notes, within its cell.
func (k *backend) tag() uint16 { return uint16(k.spot >> 20) }

// busy is what it has of our commands, and more the more of them it fails: one that fails at once looks idle.
func (k *backend) busy(t float64) float64 {
	return k.tried.weigh(float64(k.inFlight), t, failSpan, failLoad, failPer)
}

func (k *backend) slowed() { k.weight = max(weightMin, k.weight/2) }

func (k *backend) quick() {
	k.weight, k.aside = min(weightMax, k.weight+weightGain), 0
}

// may tells whether the rules allow relay n of the command at the backend, by all others that may have run.
func (b *Balancer) may(c *command, k *backend, n int) bool {
	v := c.verb
	for i, r := range c.relays {
		if i != n && !r.neverRan && v.Effect != Pure && (v.Effect == Effectful || b.now > r.sent+v.DedupWindow-b.tick ||
			v.Scope == ScopeZone && k.Zone != r.to.Zone || v.Scope == ScopeCell && k.Cell != r.to.Cell) {
			return false
		}
	}
	return k.State == Ready
}

// Opened is told that the connection for a relay is up, and tells whether it may still be written: what
// allowed it may have passed meanwhile, a window for repeats above all.
func (b *Balancer) ConnectionOpened(now float64, id uint64, n int) bool {
	b.now = now
	c, ok := b.commands[id]
	return ok && !c.done && !c.streaming && n < len(c.relays) && c.relays[n].out && b.may(c, c.relays[n].to, n)
}

// pick draws a backend by weight, skipping those with far more of our commands than the mean, or nil.
func (b *Balancer) pick(c *command, copying, asking bool) *backend {
	count, all, pull := 0.0, 0.0, b.pull()
	for _, k := range b.window {
		part := 1 + pull*one(k.local > 0) // the mean is of where commands go
		count, all = count+part*k.busy(b.now), all+part
	}
	far := max(count/max(1, all)-farSlack, farSlack)
	// First what the weight rule and the skip leave of the window, then any of it, then any of the fleet: where
	// all that is left was set aside for connections that failed, that says more of the network than of them.
	home, from, whole := b.home(c), b.window, asking
	share := func(k *backend) float64 {
		s := k.weight * (k.near + pull*k.local)
		if whole {
			s = k.weight * k.Capacity
		}
		if k.Cell == home {
			s *= homePull
		}
		if b.limits.PeerMessages && k.Zone == b.place.Zone {
			s *= zonePull
		}
		return s
	}
	for pass := range 3 {
		if whole = asking || pass == 2; whole {
			from = b.fleet
		}
		total := 0.0
		b.picks = b.picks[:0]
		for _, k := range from {
			if b.may(c, k, len(c.relays)) && !slices.Contains(c.asked, uint16(k.Cell)) && !c.triedOn(k) &&
				(asking || b.coldAllows(k)) && (k.aside <= b.now || pass == 2) &&
				(pass > 0 || k.busy(b.now) <= far+localSlack*one(k.local > 0)) {
				b.picks = append(b.picks, k)
				total += share(k)
			}
		}
		at := b.chance() * total
		for _, k := range b.picks {
			if at -= share(k); at < 0 {
				return k
			}
		}
		if copying {
			break // a copy never goes where a first relay would not
		}
	}
	return nil
}

// home is the cell that the command's key belongs to, the same at every instance, or -1: that of a backend
// drawn by key and size, so that a change moves few keys. Once it had no room, any other will do.
func (b *Balancer) home(c *command) int {
	best, home := math.Inf(1), -1
	if c.key == 0 || !b.limits.KeyAffinity || len(c.asked) > 0 {
		return home
	}
	var text [16]byte
	binary.LittleEndian.PutUint64(text[:], c.key)
	for _, k := range b.fleet {
		if k.State != Ready {
			continue
		}
		binary.LittleEndian.PutUint64(text[8:], k.spot)
		u := (float64(hash(text[:])>>11) + 1) / (1 << 53)
		if at := -math.Log(u) / k.Capacity; at < best {
			best, home = at, k.Cell
		}
	}
	return home
}

// ---- Fleet: the list, drains and cold budgets.

// Fleet is told the list, whole or as changes.
func (b *Balancer) UpdateBackends(now float64, whole bool, entries []Entry) {
	b.now = now
	b.askWait = askFirst
	mean := cmp.Or(b.sum(func(k *backend) float64 { return k.weight })/max(1, b.usable()), 1)
	b.lists++
	for _, e := range entries {
		spot := hash(e.ID[:])
		at, known := slices.BinarySearchFunc(b.fleet, e.ID, func(k *backend, id BackendID) int {
			return cmp.Or(cmp.Compare(k.spot, spot), slices.Compare(k.ID[:], id[:]))
		})
		if !known {
			b.fleet = slices.Insert(b.fleet, at,
				&backend{spot: spot, weight: mean, Entry: Entry{StartedAt: math.Inf(-1)}})
		}
		k := b.fleet[at]
		if e.State == Ready && (k.State == Gone || k.StartedAt != e.StartedAt) {
			// A new process: nothing learned of the old one holds. Its budget starts at chance, or all
			// instances would send their first command at once and push it over together.
			k.weight, k.aside = mean, 0
			k.budget = bucket{b.chance(), now}
		}
		k.Entry, k.listed = e, b.lists
		k.Capacity = cmp.Or(max(0, k.Capacity), 1) // 0: nothing said
	}
	// What a whole list leaves out is gone; what is gone and holds none of our commands is forgotten.
	b.fleet = slices.DeleteFunc(b.fleet, func(k *backend) bool {
		if whole && k.listed != b.lists {
			k.State = Gone
		}
		return k.State == Gone && k.inFlight == 0
	})
	b.arrange()
	b.dispatch()
}

// arrange lays this instance's window on the ring of usable backends. Of hundreds of instances each then
// knows a few backends well, uses connections again, and each backend lies in its share of windows.
func (b *Balancer) arrange() {
	total, count := b.sum(func(k *backend) float64 { return k.Capacity }), b.usable()
	width := min(1, (nearLeast+nearShared*count/b.living())/max(1, count)) * total
	b.window, b.reach, b.laidFor = b.window[:0], max(width, tiny), b.living()
	b.warm, b.warming = 0, b.warming[:0]
	b.meanSize = total / max(1, count)
	b.total = total
	b.widest.sum = max(total, b.widest.read(b.now, coldMemory))
	b.lay(width, total, func(k *backend) bool { return true }, func(k *backend, near float64) { k.near = near })
	local := func(k *backend) bool {
		return b.limits.CrossZonePriced && !b.limits.PeerMessages && k.Zone == b.place.Zone
	}
	total = b.sum(func(k *backend) float64 { return k.Capacity * one(local(k)) })
	b.localReach = min(width, total)
	b.lay(b.localReach, total, local, func(k *backend, near float64) { k.local = near })
	for _, k := range b.fleet {
		if k.State == Ready && b.isWarm(k) {
			b.warm++
		} else if k.State == Ready {
			b.warming = append(b.warming, k)
		}
		if k.near+k.local > 0 {
			b.window = append(b.window, k)
		}
	}
}

// lay lays a window of that width on the ring of usable backends that count, and tells each one's part in it.
func (b *Balancer) lay(width, total float64, counts func(*backend) bool, put func(*backend, float64)) {
	from := (float64(b.place.Index)+0.5)/b.siblings()*total - width/2
	from -= math.Floor(from/max(total, tiny)) * total // the window may reach over the end of the ring
	at := 0.0
	for _, k := range b.fleet {
		near := 0.0
		if counts(k) && k.State == Ready {
			for _, turn := range [2]float64{0, total} {
				near += max(0, min(at+k.Capacity+turn, from+width)-max(at+turn, from))
			}
			at += k.Capacity
		}
		put(k, near)
	}
}

// pull is how much more a backend of the own zone gets where crossing is priced: all the more the sooner the
// zone answers against the others, nothing once these are clearly sooner: then the zone has too little.
func (b *Balancer) pull() float64 {
	own, others := b.zoneTook[1].read(b.now, callSpan), b.zoneTook[0].read(b.now, callSpan)
	mean := (others + tiny) / (b.zoneEnded[0].read(b.now, callSpan) + tiny)
	ratio := (own + mean) / (mean * (b.zoneEnded[1].read(b.now, callSpan) + 1))
	return localPull * max(0, min(1, (spillAt-ratio)/(spillAt-1)))
}

// ListFailed says that a call for the list failed or the subscription ended: ask again, not all at once.
func (b *Balancer) BackendListFailed(now float64) {
	b.now = now
	if b.mustAsk && !b.asking {
		b.asking = true
		b.after(b.askWait*b.chance(), func() { b.asking = false; b.host.WatchBackends() })
		b.askWait = min(askLast, 2*b.askWait)
	}
}

// isWarm goes by the latest time at which the backend may have started.
func (b *Balancer) isWarm(k *backend) bool {
	return k.StartedAt <= 0 || b.now-k.StartedAt >= b.cold.WarmUp+b.cold.StartError
}

// part is how much of its work a backend can do for certain.
func (b *Balancer) part(k *backend) float64 {
	if b.isWarm(k) {
		return 1
	}
	return b.cold.InitialCapacity + (1-b.cold.InitialCapacity)*max(0, b.now-k.StartedAt-b.cold.StartError)/max(b.cold.WarmUp, tiny)
}

// coldRate is how many commands a second this instance may send to a backend that has just started: the part
// of its answers that the backend's place in the window is worth (what it sends may be a storm of refusals),
// cut to what the backend can do for certain. Its own traffic stands for its part of everybody's.
func (b *Balancer) coldRate(k *backend) float64 {
	own := &b.carried
	if !slices.ContainsFunc(b.window, b.isWarm) {
		own = &b.came // nothing else to go by
	}
	return coldPart * b.cold.OverloadMultiple * b.part(k) * own.rate(b.now, callSpan, b.start) *
		(k.near + b.pull()*k.local) / (b.reach + b.pull()*b.localReach) *
		min(1, b.total/max(tiny, b.widest.read(b.now, coldMemory)))
}

func (b *Balancer) coldAllows(k *backend) bool {
	return b.isWarm(k) || k.budget.read(b.now, b.coldRate(k), 1) >= 1
}

// ---- Admission: own commands out are bounded, held briefly, declined early.

// share is this instance's part of the commands that may be out. Beyond what backends answer in time they
// only queue, and choke.
func (b *Balancer) share() float64 { return b.level * b.warmth() / b.living() }

// crowded tells that the command finds too many out here. One of many instances has few, by chance:
// its bound lies above its share by roots of it, or all would decline while there is room, but by no more
// than a multiple, or a thousand with one each would be a flood. What has little utility is shed first.
func (b *Balancer) crowded(c *command) bool {
	b.level = max(b.level, boundMin)
	share := b.share()
	chance := boundRoot * min(share, math.Sqrt(share*max(0, 1-fewInstances/b.living())))
	bound, room := share+chance, 0.0
	part := spareFirst + (1-spareFirst)*c.priority
	if b.usual > 0 {
		// Chance adds up by roots: many instances together need less room for it than each for itself.
		room = (easeRoot*math.Sqrt(b.ease) + easeMore) * math.Pow(min(1, fewInstances/b.living()), easePower)
		bound = min(bound, max(b.ease+room, easeLeast*b.warmth()/b.living()))
		if b.nests.read(b.now, callSpan) > nestPart*b.came.read(b.now, callSpan) {
			bound = min(bound, b.ease+nestRoot*math.Sqrt(b.ease)+1)
		}
		missed := max(0, b.endedMiss-lateSlack) / max(1, b.ended)
		bound *= 1 - max(0, missed-missFrom)
		if missed < missFrom { // what is out at ease is no spare
			part = max(part, min(1, (b.ease+room*part)/bound))
		}
	}
	if c.nested {
		bound *= nestTimes
	}
	return float64(b.inFlight) >= bound*part
}

// apart tells that a sort of the command fares ill where the rest does not.
func (c *command) apart() bool {
	return c.sorts[0] != nil && c.sorts[0].most > 0 || c.sorts[1] != nil && c.sorts[1].most > 0
}

// sorted learns how the sorts of a command fare. One that fares ill while the rest does not, a lock, a spoilt
// key, is no backend's fault and does so wherever it is sent: it may hold few places, fewer with each.
func (b *Balancer) sorted(c *command, ill bool) {
	b.sortEnded.add(b.now, sortSpan, 1)
	b.sortBad.add(b.now, sortSpan, one(ill))
	for _, k := range c.sorts {
		if k == nil {
			continue
		}
		k.ended.add(b.now, sortSpan, 1)
		k.bad.add(b.now, sortSpan, one(ill))
		rest := b.sortEnded.sum - k.ended.sum
		apart := (k.bad.sum-sortSlack*math.Sqrt(k.bad.sum))/k.ended.sum - (b.sortBad.sum-k.bad.sum)/max(1, rest)
		switch {
		case ill && apart > sortApart && rest > sortRest*k.ended.sum:
			if k.most == 0 {
				k.most = float64(k.out)
			}
			k.most = max(1, k.most*sortCut)
		case !ill && k.most > 0:
			if k.most += sortRaise; k.most > b.ease {
				k.most = 0
			}
		}
	}
}

// settle moves the bound with the part of commands that end late or fail, since a lower tier that is crowded
// declines: up slowly while it is in use, down at once.
func (b *Balancer) settle(c *command, failed bool) {
	goal, took, late := c.verb.Goal, b.now-c.came, 0.0
	miss := failed || took > goal-b.tick
	if b.sorted(c, miss); c.apart() || c.stood {
		return
	}
	slow := lateFrom * goal
	if b.usual > 0 {
		// What is usual is not late, also where half of the goal is needed with no queue at all.
		slow = max(min(slow, stretch*b.usual), min(leeway*b.usual, lateTo*goal))
	}
	if failed || took > slow {
		late = 1
	}
	b.arrivals.RequestEnded(b.now, late == 1)
	// An instance with an answer a second would forget each before the next came.
	fade := max(math.Exp((b.settled-b.now)/lateSpan), 1-1/lateAnswers)
	b.ended, b.endedLate = b.ended*fade+1, b.endedLate*fade+late
	b.endedMiss = b.endedMiss*fade + one(miss)
	excess := (b.endedLate-lateSlack)/b.ended - lateShare
	tooLate, inUsed := excess > 0, float64(b.inFlight) >= inUse*b.share()
	if late == 1 && tooLate && b.now >= b.cutAt+cutEvery {
		b.level *= (1 - cut*excess) * min(1, float64(b.inFlight+1)/b.share())
		b.cutAt = b.now
	} else if b.endedLate+math.Sqrt(b.ended) <= lateShare*b.ended && inUsed {
		// Only where the part is surely under: few answers prove little, and a bound raised in error chokes.
		b.level *= 1 + raise*min(cutEvery, b.now-b.settled)
	}
	if b.easy++; b.endedMiss-lateSlack < missFrom*b.ended {
		b.ease += max(easeStep, 1/b.easy) * (float64(b.inFlight) - b.ease)
	}
	b.settled = b.now
	// The median of a fleet at ease: it hardly follows what comes with our own crowding.
	switch {
	case b.usual == 0 && b.anyDelay.answers >= usualAnswers:
		b.usual, _ = b.anyDelay.quantile(0.5)
	case failed:
	case took < b.usual:
		b.usual *= 1 - usualStep
	case tooLate || inUsed:
		b.usual *= 1 + usualStep/4
	default:
		b.usual *= 1 + usualStep
	}
}

// over takes a token of the customer's share and tells whether there was none.
func (b *Balancer) over(customer int) bool {
	if b.place.Tier > 0 || customer >= len(b.customers) {
		return false // lower tiers see calls, not the clients' commands
	}
	rate := b.customers[customer].Allowance / b.siblings()
	t := &b.shares[customer]
	if t.read(b.now, rate, max(1, rate*shareBurst)) < 1 {
		return true
	}
	t.tokens--
	return false
}

// try sends the command's first relay where there is room, or asks where there is, and tells whether it did.
func (b *Balancer) try(c *command) bool {
	if !b.limits.PeerMessages {
		return !b.crowded(c) && b.send(c)
	}
	if c.asking > 0 || b.now < c.askedAt+recheck {
		return false
	}
	c.asked = c.asked[:0]
	return b.ask(c)
}

func (b *Balancer) send(c *command) bool {
	k := b.pick(c, false, false)
	if k != nil {
		b.release(c)
		b.relay(c, k)
	}
	return k != nil
}

// release takes a command out of those held.
func (b *Balancer) release(c *command) {
	if c.held {
		c.held = false
		b.held = slices.DeleteFunc(b.held, func(x *command) bool { return x == c })
	}
}

// hold keeps a command for a moment, highest utility first, and declines at once what can't be sent in time.
func (b *Balancer) hold(c *command) {
	if c.held {
		b.after(recheck, b.dispatch)
		return
	}
	c.held = true
	at, _ := slices.BinarySearchFunc(b.held, c, func(x, y *command) int {
		return cmp.Or(cmp.Compare(y.priority, x.priority), cmp.Compare(x.seq, y.seq))
	})
	b.held = slices.Insert(b.held, at, c)
	longest := holdShare * c.verb.Goal
	room := int(b.answers.rate(b.now, rateSpan, b.start)*longest) + 1
	for len(b.held) > room {
		b.giveUp(b.held[len(b.held)-1])
	}
	b.after(longest, func() {
		if c.held {
			b.giveUp(c)
		}
	})
	b.after(recheck, b.dispatch) // cold budgets fill without anything happening
}

func (b *Balancer) dispatch() {
	for i := 0; i < len(b.held); {
		c := b.held[i]
		if !b.try(c) && !b.limits.PeerMessages && b.crowded(c) {
			return
		}
		if i < len(b.held) && b.held[i] == c {
			i++
		}
	}
}

// ---- Keepers: for each cell one instance counts what all have out at its backends, and gives leave to send.

// load is for its keeper how much a backend has to do, failures counted, as a part of what it may have.
func (b *Balancer) load(k *backend) float64 {
	out := k.tally.tried.weigh(k.tally.sum(b.now, noteLife), b.now, failSpan, failLoad, failPer)
	return out / (room * b.part(k) * k.Capacity / b.meanSize)
}

// grant is the keeper's: it names the least busy backend of the cell that has room for a command of the
// priority. That counts as out from now on, since others ask before it is.
func (b *Balancer) grant(cell uint16, to int, priority float64) (best *backend) {
	least := spareFirst + (1-spareFirst)*priority
	for _, k := range b.fleet {
		if uint16(k.Cell) == cell && k.State == Ready {
			if load := b.load(k) + b.chance()*tiny; load < least {
				best, least = k, load
			}
		}
	}
	if best != nil {
		best.tally.grant(b.now, to, b.now+patience)
	}
	return best
}

// report tells the backend's keeper what this instance has out there.
func (b *Balancer) report(k *backend, flag byte) {
	n := note{noteOut, uint16(k.Cell), k.tag(), byte(min(255, k.inFlight)), flag, k.turn()}
	if at := b.keeper(n.cell); b.limits.PeerMessages && at != b.place.Index {
		b.tell(at, n)
	} else if b.limits.PeerMessages {
		k.tally.note(b.now, at, n, failSpan)
	}
}

// remind repeats what is out while a relay lasts: notes get lost, and a keeper soon forgets what it heard.
func (b *Balancer) remind(c *command, n int) {
	if r := &c.relays[n]; r.out && b.limits.PeerMessages {
		b.report(r.to, flagNone)
		b.after(noteAgain, func() { b.remind(c, n) })
	}
}

// Received is told what a sibling had to say.
func (b *Balancer) MessageReceived(now float64, from int, text []byte) {
	b.now = now
	n, ok := b.hear(from, text)
	if !ok {
		return
	}
	var k *backend
	if i := slices.IndexFunc(b.fleet, func(k *backend) bool {
		return uint16(k.Cell) == n.cell && k.tag() == n.tag && (n.kind != noteGrant || n.flag >= flagYes)
	}); i >= 0 {
		k = b.fleet[i]
	}
	switch { // who asks, or tells, has found out that this one is the keeper
	case n.kind == noteAsk:
		reply, knows := note{kind: noteGrant, cell: n.cell, turn: n.turn}, b.knows(n.cell)
		if k := b.grant(n.cell, from, float64(n.amount)/255); k != nil && knows {
			reply.tag, reply.flag = k.tag(), flagYes
		} else if k != nil {
			reply.tag, reply.flag = k.tag(), flagPerhaps
		}
		b.tell(from, reply)
	case n.kind == noteOut && k != nil:
		k.tally.note(now, from, n, failSpan)
	case n.kind == noteGrant:
		i := slices.IndexFunc(b.waiting, func(c *command) bool {
			return c.askedOf == from && c.asked[len(c.asked)-1] == n.cell
		})
		if i >= 0 {
			b.granted(b.waiting[i], k, n.flag != flagPerhaps)
		} else if k != nil {
			b.report(k, flagSent) // too late: not taken
		}
	}
}

// ask draws a cell for the command that was not asked yet, and has its keeper say where in it there is room.
func (b *Balancer) ask(c *command) bool {
	k := b.pick(c, false, true)
	if k == nil || !b.limits.PeerMessages || len(c.asked) >= asksMost {
		return false
	}
	cell := uint16(k.Cell)
	c.askedAt, c.asked = b.now, append(c.asked, cell)
	at := b.keeper(cell)
	if at == b.place.Index {
		b.granted(c, b.grant(cell, at, c.priority), b.knows(cell))
		return true
	}
	b.asks++
	n := b.asks
	c.asking, c.askedOf, b.waiting = n, at, append(b.waiting, c)
	b.question(at, note{kind: noteAsk, cell: cell, amount: byte(255 * c.priority), turn: turn(n)})
	b.after(patience, func() {
		if c.asking != n {
			return
		}
		b.unheard(at, c.askedAt) // a message was lost, or the keeper is
		if b.answered(c); b.ask(c) {
			return
		}
		// After the last the instance goes by what it knows.
		if c.asked = c.asked[:0]; b.crowded(c) || !b.send(c) {
			b.hold(c)
		}
	})
	return true
}

// granted sends a command where its keeper said, or asks another, or holds it. One that does not yet know all
// that is out is believed as far as the own bound goes.
func (b *Balancer) granted(c *command, k *backend, knows bool) {
	b.answered(c)
	if k != nil && (knows || !b.crowded(c)) && b.may(c, k, len(c.relays)) && !c.triedOn(k) {
		b.release(c)
		b.relay(c, k)
		return
	}
	if k != nil {
		b.report(k, flagSent) // not taken
	}
	if !b.ask(c) {
		b.hold(c)
	}
}

// ---- Life of a command.

func (c *command) triedOn(k *backend) bool {
	return slices.ContainsFunc(c.relays, func(r relay) bool { return r.to == k })
}

// Command is told of a command that is now owed exactly one final answer before it expires.
func (b *Balancer) CommandReceived(now float64, id uint64, verb, customer int, expires float64, key uint64) {
	b.now = now
	if _, ok := b.commands[id]; ok {
		return
	}
	v := b.verbs[verb]
	b.seq++
	// Where the time told may be off its true end shows by itself: what is out times out then.
	expires = max(expires, min(expires+b.limits.DeadlineError, now+v.TimeLimit))
	c := &command{id: id, seq: b.seq, verb: v, key: key, came: now, expires: expires}
	c.priority = v.Utility / max(b.topUtil, tiny)
	b.keyed.add(now, callSpan, one(key != 0))
	c.nested = key == 0 && b.keyed.sum > b.came.read(now, callSpan)/2
	b.nests.add(now, callSpan, one(c.nested))
	if b.over(customer) {
		c.priority *= b.overage
	}
	b.commands[id] = c
	c.sorts[0] = b.table.of(b.mark(customer)<<1|1, now, sortSpan)
	if key != 0 {
		c.sorts[1] = b.table.of(key<<1, now, sortSpan)
	}
	b.arrived()
	b.taken.add(now, b.limits.ExtraRelays.Span, 1)
	v.calls.add(now, callSpan, 1)
	b.after(expires-now-expiryTicks*b.tick, func() { b.expire(c) })
	if b.limits.MaxUnreadAnswers > 0 {
		b.after(v.Goal, func() { b.linger(c) })
	}
	if v.LateUtility == 0 {
		// What can earn nothing any more only takes capacity from what can.
		b.after(min(v.Goal, expires-now), func() {
			if !c.done && !c.streaming {
				b.settle(c, false)
				b.giveUp(c)
			}
		})
	}
	for _, k := range c.sorts {
		if k != nil && k.most > 0 && float64(k.out) >= k.most {
			b.giveUp(c)
			return
		}
	}
	if len(b.held) > 0 && b.held[0].priority >= c.priority && !c.nested || !b.try(c) && !c.held && !c.done {
		b.hold(c)
	}
}

// linger is called when a goal has passed: late answers hold a part of few places, and the oldest makes way.
func (b *Balancer) linger(c *command) {
	if c.done || c.out == 0 {
		return
	}
	b.past = append(b.past, c)
	for float64(len(b.past)) > max(1, pastPart*float64(b.limits.MaxUnreadAnswers)) {
		b.settle(b.past[0], false)
		b.giveUp(b.past[0])
	}
}

func (b *Balancer) relay(c *command, k *backend) {
	v := c.verb
	n := len(c.relays)
	if n > 0 {
		b.further.add(b.now, b.limits.ExtraRelays.Span, 1)
	} else {
		c.places(1)
	}
	r := relay{to: k, sent: b.now, out: true, counts: 1}
	r.delay, r.learned = b.delay(v)
	c.relays, c.asked = append(c.relays, r), c.asked[:0]
	c.out++
	k.inFlight++
	b.inFlight++
	b.report(k, flagSent)
	k.budget.tokens-- // counts only while it is cold
	b.relayed.add(b.now, slowSpan, 1)
	b.host.Relay(c.id, k.ID)
	if b.limits.PeerMessages {
		b.after(noteAgain, func() { b.remind(c, n) })
	}
	if !v.Stream {
		b.after(r.delay, func() { b.overdue(c, n) })
	}
}

// overdue is called when the delay passes: an unanswered relay counts against its backend now, since a
// hung one never answers, and a second copy goes out where that is allowed.
func (b *Balancer) overdue(c *command, n int) {
	r, v := &c.relays[n], c.verb
	if !r.out || r.loser || c.streaming {
		return
	}
	if r.learned && !c.apart() {
		r.late = true
		r.to.slowed()
		b.late.add(b.now, slowSpan, 1)
	}
	if c.done || c.out > 1 || c.apart() || !b.mayCopy(c, v) {
		return
	}
	if k := b.pick(c, true, false); k != nil {
		v.copies.tokens--
		v.breaker.sent(b.now)
		b.service.sent(b.now)
		b.relay(c, k)
	}
}

func (b *Balancer) mayCopy(c *command, v *verb) bool {
	refill := copyShare * v.calls.rate(b.now, callSpan, b.start)
	tokens := v.copies.read(b.now, refill, max(1, copyBurst*refill))
	return v.Effect != Effectful && b.limits.SecondCopies && len(c.relays) < b.limits.MaxRelays &&
		tokens-float64(v.losers) >= 1 && b.affords(copyPart) && v.breaker.allows(b.now) &&
		b.service.allows(b.now) && !b.allSlow()
}

// affords tells whether one relay more beyond a command's first keeps to that part of a budget. What may
// lie in the window counts in full, what may not is left out, and an event may be a tick older than told.
func (b *Balancer) affords(part float64) bool {
	f := b.limits.ExtraRelays
	from := b.now - f.Span
	all := f.Free + f.PerCommand*b.taken.least(from+b.tick)
	return f.Span == 0 || b.further.most(from-b.tick)+1 <= max(min(1, all), part*all)
}

// allSlow tells that relays run late all over: the percentile is stale, and copies would only add load.
func (b *Balancer) allSlow() bool {
	return b.late.read(b.now, slowSpan)-slowSlack > slowShare*b.relayed.read(b.now, slowSpan)
}

// Started is told that a stream has begun: the command now belongs to that relay.
func (b *Balancer) StreamStarted(now float64, id uint64, n int) {
	b.now = now
	if c, ok := b.commands[id]; ok && !c.done && !c.streaming && n < len(c.relays) && c.relays[n].out {
		r := &c.relays[n]
		c.streaming, r.counts = true, 0 // what its client takes slowly is no work for the backend
		r.to.inFlight--
		b.inFlight--
		b.cancelOthers(c, n)
		b.dispatch()
	}
}

// Departed is told that the client is gone: nothing is owed, and what is out is called back.
func (b *Balancer) ClientDisconnected(now float64, id uint64) {
	b.now = now
	if c, ok := b.commands[id]; ok {
		b.end(c)
		b.dispatch()
	}
}

// Outcome is told how a relay ended; final says that the command has had its answer.
func (b *Balancer) RelayEnded(now float64, id uint64, n int, result Result, took float64, final bool, _ LoadReport) {
	b.now = now
	c, ok := b.commands[id]
	if !ok || n >= len(c.relays) || !c.relays[n].out {
		return
	}
	r, v := &c.relays[n], c.verb
	r.out, r.neverRan = false, result.NeverRan()
	c.out--
	r.to.inFlight -= r.counts
	b.inFlight -= r.counts
	if r.loser {
		v.losers--
	}
	if result == Answered || !c.apart() {
		b.judge(r, result, took)
	}
	flag := flagNone
	if result != Answered && result != Cancelled && result != NotSent {
		flag = flagFailed
	}
	b.report(r.to, flag)
	winner := !c.done && result != Cancelled && result != NotSent
	if winner && (result == Answered || c.out == 0) {
		v.breaker.outcome(now, result != Answered)
		b.service.outcome(now, result != Answered)
	}
	switch {
	case c.done:
		b.forget(c)
	case final || result == Answered:
		if result == Answered {
			b.answers.add(now, rateSpan, 1)
			b.carried.add(now, callSpan, 1)
		}
		if result == Answered && !c.streaming && !c.stood { // a stream's time is its length's and the client's
			// From the first relay on: a winning copy must not hide how slow the first one was.
			v.delay.learn(now, now-c.relays[0].sent)
			b.anyDelay.learn(now, now-c.relays[0].sent)
		}
		if !c.streaming {
			b.settle(c, false)
		}
		b.end(c)
	case result == TimedOut && c.out == 0 && b.limits.DeadlineError > 0:
		b.expire(c) // its true limit, whatever was told
	case c.out == 0:
		b.again(c)
	}
	b.dispatch()
}

// judge applies the weight rule to the backend of a relay that ended.
func (b *Balancer) judge(r *relay, result Result, took float64) {
	r.to.tried.note(b.now, failSpan, result)
	if at := int(one(r.to.Zone == b.place.Zone)); result != Cancelled && result != NotSent {
		b.zoneTook[at].add(b.now, callSpan, took)
		b.zoneEnded[at].add(b.now, callSpan, 1)
	}
	switch result {
	case Answered:
		if took <= r.delay {
			r.to.quick()
		} else if r.learned && !r.late {
			r.to.slowed()
		}
	case Errored, Full, TimedOut, Reset, ConnectFailed:
		r.to.slowed()
		if result == ConnectFailed { // down, or out of connections: each try costs the whole connect limit
			r.to.aside = b.now + asideFor
		}
	}
}

// again sends a command whose relays have all failed elsewhere, or gives it up.
func (b *Balancer) again(c *command) {
	rate := retryShare * b.came.rate(b.now, callSpan, b.start)
	if !c.apart() && len(c.relays) < b.limits.MaxRelays && c.expires > b.now+2*b.tick &&
		b.affords(spareFirst+(1-spareFirst)*c.priority) && b.retries.read(b.now, rate, max(retryBurst, rate)) >= 1 {
		if k := b.pick(c, false, false); k != nil {
			b.retries.tokens--
			b.relay(c, k)
			return
		}
	}
	b.settle(c, true)
	b.giveUp(c)
}

// mayDecline tells whether trying again is harmless whenever the client comes back: a receipted one only if
// all of its backends will still know it at the end of the client's time, and of the wait that it is told.
func (b *Balancer) mayDecline(c *command) bool {
	v := c.verb
	return v.Effect == Pure || !slices.ContainsFunc(c.relays, func(r relay) bool {
		return !r.neverRan && (v.Effect == Effectful || v.Scope != ScopeAll ||
			c.expires+b.comeBack(v) > r.sent+v.DedupWindow-b.tick)
	})
}

// comeBack is when a declined client is told to come back, 0 where nothing is said.
func (b *Balancer) comeBack(v *verb) float64 { return min(b.limits.MaxRetryAfter, comeBack*v.Goal) }

// giveUp ends a command at once, by declining it where that promise holds.
func (b *Balancer) giveUp(c *command) {
	if b.mayDecline(c) {
		b.host.Decline(c.id, b.comeBack(c.verb))
	} else {
		b.host.Terminate(c.id)
	}
	b.end(c)
}

// expire terminates a command that nothing ended before its time limit.
func (b *Balancer) expire(c *command) {
	if !c.done && !c.streaming {
		b.settle(c, false)
		b.host.Terminate(c.id)
		b.end(c)
		b.dispatch()
	}
}

func (b *Balancer) cancelOthers(c *command, keep int) {
	for i := range c.relays {
		r := &c.relays[i]
		if !r.out || r.loser || i == keep {
			continue
		}
		r.loser = true
		c.verb.losers++
		if b.limits.CancelRelays {
			b.host.Cancel(c.id, i)
		}
	}
}

// end settles a command that has had its final answer; it is kept until its last relay is in.
func (b *Balancer) end(c *command) {
	if c.done {
		return
	}
	c.done = true
	if len(c.relays) > 0 {
		c.places(-1)
	}
	b.past = slices.DeleteFunc(b.past, func(x *command) bool { return x == c })
	b.release(c)
	b.answered(c)
	b.cancelOthers(c, -1)
	b.forget(c)
}

func (b *Balancer) forget(c *command) {
	if c.done && c.out == 0 {
		delete(b.commands, c.id)
	}
}

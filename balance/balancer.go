// Package balance decides which backend a command is relayed to, when it is hedged (relayed to a second backend while the
// first relay is pending), and when it is declined or terminated.
//
// It uses these terms:
//   - command: one request of a client. Its verb is its kind, which sets its effect, response goal, time limit and utility.
//   - relay: one attempt to have a command answered by a backend. A retry and a hedge are relays too.
//   - client: the sender of commands. customer: one of the parties that share the service, each with an allowance.
//   - backend: a server that runs commands. front: the program around the Balancer, which implements Host.
//   - instance: one Balancer with its state; the instances of a tier share its backends and are peers.
//   - pure: may run more than once. receipted: a group of backends drops repeats for a while. effectful: must not run twice.
//   - answered: the client got a backend's answer. declined: ended with the promise that a retry is harmless.
//     terminated: ended without any promise.
//   - response goal: seconds within which an answer earns the full utility. time limit: seconds within which a command must
//     have been answered, declined or terminated. utility: the value of an answer; it sets a command's priority under overload.
//
// A front creates one Balancer per instance with New and applies its settings with Configure. It then reports each
// event by a method call: CommandReceived or ClassifiedCommandReceived, ConnectionOpened, StreamStarted, RelayStalled, RelayEnded, ClientDisconnected,
// UpdateBackends, BackendListFailed, MessageReceived, TimerFired and Stalled. Times are clock readings in seconds.
// The Balancer acts only through its Host. The interface and the plain types are in host.go; docs/design.md
// describes the algorithm and where it departs from its model.
//
// A Balancer is not safe for concurrent calls.
package balance

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
)

const (
	// Delay before a hedge.
	hedgeDelayQuantile    = 0.95  // a low quantile would hedge often: each tier repeats whole subtrees
	sketchAccuracy        = 0.02  // relative error, far below the spread of latencies
	sketchRotationSeconds = 10.0  // sketches rotate at this interval
	minHedgeDelaySeconds  = 0.001 // lower bound of the delay
	warmupGoalShare       = 0.5   // share of the response goal used before latencies are known: a hedge may still be in time
	warmupAnswers         = 20    // answers before the sketch is used

	// Token bucket of hedges.
	hedgesPerCall     = 0.1  // per received command
	callSpanSeconds   = 10.0 // decay time of command and answer rates
	hedgeBurstSeconds = 2.0  // refill time that fills the bucket, which holds at least one hedge

	// Circuit breakers for hedges.
	breakerFailureShare    = 0.5  // failure share that opens the breaker
	breakerMinOutcomes     = 20.0 // outcomes required before it may open
	breakerSpanSeconds     = 10.0 // decay time of the outcome counts
	breakerCooldownSeconds = 10.0 // time that it stays open
	breakerTrials          = 5    // hedges allowed before it closes again

	// Backend weights and selection.
	minWeight, maxWeight  = 0.1, 3.0 // a thirtieth of the best weight still shows when a backend recovers
	weightStep            = 0.1      // added per fast answer: ten undo one halving at the mean weight
	loadMargin            = 0.5      // commands below the mean load at which backends are skipped: keeps queues even
	spillLatencyMultiple  = 1.5      // times the other zones' mean latency at which own-zone preference ends
	ownZoneLoadMargin     = 1.0      // extra load allowed in the own zone if crossing zones is priced
	connectBackoffSeconds = 2.0      // pause after a failed connection: the backend is down or full
	homeCellFactor        = 60.0     // weight factor for the home cell of a command's key
	ownZoneGrantFactor    = 3.0      // weight factor for the own zone when coordinators grant
	pricedZoneFactor      = 30.0     // the same without coordinators if crossing is priced: a tenth still crosses

	// Cell coordinators.
	commandsPerBackend                           = 5.0      // in flight, all instances: fewer idle it, more overload it
	failureLoad, failureSpanSeconds              = 2.0, 3.0 // commands that a first failure counts as, and for how long
	answersPerFailure                            = 3.0      // offset one failure: many failures in many answers are no outage
	reportLifetimeSeconds, reportIntervalSeconds = 1.0, 0.8 // validity and repeat interval of in-flight reports
	maxGrantRequests                             = 2        // cells asked per command: more add to an overload
	grantTimeoutSeconds                          = 0.04     // two round trips and a few ticks

	// Backend list and window.
	minWindowBackends                        = 4.0      // enough for hedges and some failed backends
	windowsPerBackend                        = 2.0      // windows per backend at least, given enough instances
	minListRetrySeconds, maxListRetrySeconds = 1.0, 8.0 // doubling delay, with jitter, after a failed list
	coldBudgetShare                          = 0.55     // share of the overload multiple sent by all to a cold backend
	peakCapacitySeconds                      = 30.0     // decay time of the peak: after a loss each backend gets more traffic

	// Admission control.
	answerRateSeconds         = 2.0   // decay time of the answer rate: a few response times
	zeroUtilityShare          = 0.7   // share of the limit open to commands of no utility; the rest depends on utility
	minInFlightPerBackend     = 7.0   // always allowed, commands of all instances
	initialInFlightPerBackend = 20.0  // at the start; if too high, cut within seconds
	limitRootFactor           = 1.7   // multiple of the share, or of its square root, by which an instance may exceed it
	fewInstances              = 4.0   // up to this many instances, one sees enough traffic to stay within its share
	lateGoalShare             = 0.4   // share of the response goal from which an answer is late: half may be, whatever the tail
	maxLateShare              = 0.5   // share of late answers that cuts the limit
	lateLatencyMultiple       = 1.7   // times the typical latency from which an answer is late too: queues are growing
	onTimeLatencyMultiple     = 1.5   // times the typical latency up to which no answer is late
	maxOnTimeGoalShare        = 0.75  // share of the response goal from which every answer is late
	typicalLatencyStep        = 0.005 // relative step per answer
	typicalLatencyAnswers     = 30    // answers before it is known: the first to arrive are the cheap ones
	lateSlackAnswers          = 1.0   // late answers that are not yet significant
	lateSpanSeconds           = 2.0   // decay time of the late share
	lateMinAnswers            = 6.0   // answers that the late share covers at least, however old
	limitCutFactor            = 0.5   // share of the limit cut for each unit of excess late share
	limitCutIntervalSeconds   = 0.5   // an answer reflects what was admitted some time before
	limitRaisePerSecond       = 0.05  // relative growth: a faster rise overloads backends for a long time
	baselineRootFactor        = 3.0   // multiple of the baseline's root allowed above it, for random variation and surges
	baselineExtraCommands     = 2.0   // added to that: a small baseline says little
	headroomExponent          = 0.25  // exponent of fewInstances/instances by which that headroom shrinks
	minBaselinePerBackend     = 7.0   // commands of all instances that the baseline never forbids
	baselineStep              = 0.005 // smoothing step per answer: slower than a burst can overload
	maxMissShare              = 0.2   // share of missed goals from which the baseline limit shrinks
	nestedShare               = 0.02  // share of nested commands from which others leave room for them
	nestedRootFactor          = 0.5   // replaces baselineRootFactor in that case
	nestedLimitFactor         = 2.0   // limit multiple for nested commands: their callers hold capacity already
	groupSpanSeconds          = 5.0   // decay time of the group counts
	groupRootSlack            = 1.0   // standard deviations of the failures attributed to chance: few prove little
	groupExcessShare          = 0.25  // excess of a group's failure share over the rest's that limits the group
	groupRestShare            = 0.25  // commands of the rest needed per command of the group: a basis for comparison
	groupLimitCut             = 0.7   // factor on a group's limit per failure
	groupLimitStep            = 0.1   // added to a group's limit per success: ten successes allow one more command
	limitInUseShare           = 0.8   // share of the limit that must be in flight before it is raised
	holdGoalShare             = 0.1   // share of the response goal that a command may be held
	retryAfterGoalShare       = 0.8   // share of the response goal after which a declined client retries: still in time
	allowanceBurstSeconds     = 2.0   // allowance that a customer may use at once
	retriesPerCall            = 0.2   // retries after failures per received command: prevents retry storms
	retryBurst                = 3.0   // retries that may be sent at once
	hedgeBudgetShare          = 0.5   // share of an extra-relay budget open to hedges: failed commands gain more
	lateAnswerShare           = 0.15  // share of the unread-answer capacity for commands past their goal
	expiryTicks               = 1.0   // ticks before the time limit at which a command is terminated
	recheckSeconds            = 0.05  // interval at which held commands are rechecked without other events
	slowRelayShare            = 0.05  // share of recent relays past the delay that stops hedges: the expected one
	slowSpanSeconds           = 2.0   // decay time of that share
	slowSlackRelays           = 0.5   // slow relays that are not significant: the one to be hedged is among them
	epsilon                   = 1e-9  // avoids division by zero
)

// ---- Delay: the latency quantile after which a relay is overdue.

// lateAfter returns the seconds after which a relay is overdue. Without recent answers it keeps its last result.
func (d *latencySketch) lateAfter(now float64) float64 {
	d.rotate(now)
	if q, err := d.quantile(hedgeDelayQuantile); err == nil {
		d.lastQuantile = max(q, minHedgeDelaySeconds)
	}
	return d.lastQuantile
}

// hedgeDelay returns how long a relay may be pending before it is overdue, and whether that was learned from
// answers. A verb with few answers uses the latencies of all verbs; while these are few too, the delay is a share
// of the response goal, so that hundreds of new instances do not all send hedges at once.
func (b *Balancer) hedgeDelay(v *verb) (float64, bool) {
	for _, d := range []*latencySketch{&v.latencies, &b.allLatencies} {
		if d.answers >= warmupAnswers {
			return d.lateAfter(b.now), true
		}
	}
	return max(minHedgeDelaySeconds, warmupGoalShare*v.Goal), false
}

// ---- Circuit breaker: blocks hedges, never first relays.

// breaker stops hedges while too many commands fail. After a cooldown it allows a few hedges as trials.
type breaker struct {
	all, failed               decayingSum
	openUntil                 float64 // 0 while closed
	trialsSent                int     // hedges sent since it opened
	trialsEnded, trialsFailed int     // outcomes of these hedges
}

// allows reports whether a hedge may be sent now.
func (br *breaker) allows(now float64) bool {
	return br.openUntil == 0 || now >= br.openUntil && br.trialsSent < breakerTrials
}

// recordSent counts a hedge as a trial if the breaker is open.
func (br *breaker) recordSent(now float64) {
	if br.openUntil != 0 && now >= br.openUntil {
		br.trialsSent++
	}
}

// recordOutcome counts a command's outcome and opens or closes the breaker.
func (br *breaker) recordOutcome(now float64, failed bool) {
	br.all.add(now, breakerSpanSeconds, 1)
	br.failed.add(now, breakerSpanSeconds, 0)
	if failed {
		br.failed.add(now, breakerSpanSeconds, 1)
	}
	switch {
	case br.openUntil == 0:
		if br.all.sum >= breakerMinOutcomes && br.failed.sum >= breakerFailureShare*br.all.sum {
			*br = breaker{openUntil: now + breakerCooldownSeconds}
		}
	case now >= br.openUntil:
		br.trialsEnded++
		if failed {
			br.trialsFailed++
		}
		if br.trialsFailed > breakerTrials/2 {
			*br = breaker{openUntil: now + breakerCooldownSeconds}
		} else if br.trialsEnded >= breakerTrials {
			*br = breaker{}
		}
	}
}

// ---- Backend weights and selection.

// tag identifies the backend within its cell in peer messages.
func (be *backend) tag() uint16 { return uint16(be.ringPosition >> 20) }

// effectiveLoad returns the commands that this instance has in flight at the backend, increased by its recent
// failures. Without that, a backend that fails at once would look idle.
func (be *backend) effectiveLoad(t float64) float64 {
	return be.outcomes.weightedLoad(float64(be.inFlight), t, failureSpanSeconds, failureLoad, answersPerFailure)
}

// lowerWeight halves the weight after a failed or slow relay.
func (be *backend) lowerWeight() { be.weight = max(minWeight, be.weight/2) }

// raiseWeight raises the weight after a fast answer, which also ends an avoidance.
func (be *backend) raiseWeight() {
	be.weight, be.avoidUntil = min(maxWeight, be.weight+weightStep), 0
}

// mayRelay reports whether relay n of the command may go to the backend: the backend must be ready, and a repeat
// must be safe given all other relays that may have run.
func (b *Balancer) mayRelay(c *command, be *backend, n int) bool {
	v := c.verb
	for i, r := range c.relays {
		if i != n && !r.neverRan && v.Effect != Pure && (v.Effect == Effectful || b.now+c.deliverySeconds > b.rememberedUntil(v, &r) ||
			v.Scope == ScopeZone && be.Zone != r.to.Zone || v.Scope == ScopeCell && be.Cell != r.to.Cell) {
			return false
		}
	}
	return be.State == Ready
}

// ConnectionOpened reports that the connection for a relay is up, and returns whether the command may still be
// written. The reason that allowed it may have expired meanwhile, in particular the deduplication window.
func (b *Balancer) ConnectionOpened(now float64, id uint64, n int) bool {
	b.now = now
	c, ok := b.commands[id]
	if !ok || c.done || c.streaming || n >= len(c.relays) || !c.relays[n].pending || !b.mayRelay(c, c.relays[n].to, n) {
		return false
	}
	b.limitLateDelivery(c, n)
	return true
}

// pick draws a backend by weight, skipping those with far more of this instance's commands than the mean. It
// returns nil if there is none.
func (b *Balancer) pick(c *command, isHedge, forGrant bool) *backend {
	totalLoad, totalFactor, zoneFactor := 0.0, 0.0, b.ownZoneFactor()
	for _, be := range b.window {
		factor := 1 + zoneFactor*indicator(be.ownZoneShare > 0) // the mean is weighted by where commands go
		totalLoad, totalFactor = totalLoad+factor*be.effectiveLoad(b.now), totalFactor+factor
	}
	maxLoad := max(totalLoad/max(1, totalFactor)-loadMargin, loadMargin)
	// First pass: window backends that pass the load and avoidance checks. Second pass: any load. Third pass: the
	// whole fleet, also backends avoided after failed connections: if these are all that is left, the network is
	// the likelier cause.
	home, pool, wholeFleet := b.homeCell(c), b.window, forGrant
	share := func(be *backend) float64 {
		s := be.weight * (be.windowShare + zoneFactor*be.ownZoneShare)
		if wholeFleet {
			s = be.weight * be.Capacity
		}
		if be.Cell == home {
			s *= homeCellFactor
		}
		if b.limits.PeerMessages && be.Zone == b.placement.Zone {
			s *= ownZoneGrantFactor
		}
		return s
	}
	for pass := range 3 {
		if wholeFleet = forGrant || pass == 2; wholeFleet {
			pool = b.fleet
		}
		total := 0.0
		b.candidates = b.candidates[:0]
		for _, be := range pool {
			if b.mayRelay(c, be, len(c.relays)) && !slices.Contains(c.askedCells, uint16(be.Cell)) && !c.triedOn(be) &&
				(forGrant || b.coldAllows(be)) && (be.avoidUntil <= b.now || pass == 2) &&
				(pass > 0 || be.effectiveLoad(b.now) <= maxLoad+ownZoneLoadMargin*indicator(be.ownZoneShare > 0)) {
				b.candidates = append(b.candidates, be)
				total += share(be)
			}
		}
		draw := b.random() * total
		for _, be := range b.candidates {
			if draw -= share(be); draw < 0 {
				return be
			}
		}
		if isHedge {
			break // a hedge only goes where a first relay would
		}
	}
	return nil
}

// homeCell returns the cell that the command's key belongs to, or -1. All instances choose the same cell, that of
// a backend drawn by key and capacity (rendezvous hashing), so that a change of the fleet moves few keys. After
// the home cell refused a command, any other cell will do.
func (b *Balancer) homeCell(c *command) int {
	best, home := math.Inf(1), -1
	if c.key == 0 || !b.limits.KeyAffinity || len(c.askedCells) > 0 {
		return home
	}
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:], c.key)
	for _, be := range b.fleet {
		if be.State != Ready {
			continue
		}
		binary.LittleEndian.PutUint64(buf[8:], be.ringPosition)
		u := (float64(hash(buf[:])>>11) + 1) / (1 << 53)
		if score := -math.Log(u) / be.Capacity; score < best {
			best, home = score, be.Cell
		}
	}
	return home
}

// ---- Backend list, draining and cold-start budgets.

// UpdateBackends applies the backend list, as a whole or as changes.
func (b *Balancer) UpdateBackends(now float64, whole bool, entries []Entry) {
	b.now = now
	b.listRetryDelay = minListRetrySeconds
	mean := cmp.Or(b.sumReady(func(be *backend) float64 { return be.weight })/max(1, b.readyCount()), 1)
	b.listSeq++
	for _, e := range entries {
		position := hash(e.ID[:])
		i, known := slices.BinarySearchFunc(b.fleet, e.ID, func(be *backend, id BackendID) int {
			return cmp.Or(cmp.Compare(be.ringPosition, position), slices.Compare(be.ID[:], id[:]))
		})
		if !known {
			b.fleet = slices.Insert(b.fleet, i,
				&backend{ringPosition: position, weight: mean, Entry: Entry{StartedAt: math.Inf(-1)}})
		}
		be := b.fleet[i]
		if e.State == Ready && (be.State == Gone || be.StartedAt != e.StartedAt) {
			// A new process: nothing learned about the old one applies. Its budget starts at a random level;
			// otherwise all instances would send their first command at once and overload it together.
			be.weight, be.avoidUntil = mean, 0
			be.coldBudget = tokenBucket{b.random(), now}
		}
		be.Entry, be.listSeq = e, b.listSeq
		be.Capacity = cmp.Or(max(0, be.Capacity), 1) // 0 means not specified
	}
	// Backends missing from a whole list are gone. A gone backend is dropped once it has none of this instance's
	// commands.
	b.fleet = slices.DeleteFunc(b.fleet, func(be *backend) bool {
		if whole && be.listSeq != b.listSeq {
			be.State = Gone
		}
		return be.State == Gone && be.inFlight == 0
	})
	b.rebuildWindow()
	b.dispatchHeld()
}

// rebuildWindow places this instance's window, the subset of backends that it uses, on the ring of ready backends.
// With hundreds of instances, each one then knows a few backends well and reuses its connections, and each backend
// is in its share of windows.
func (b *Balancer) rebuildWindow() {
	total, count := b.sumReady(func(be *backend) float64 { return be.Capacity }), b.readyCount()
	width := min(1, (minWindowBackends+windowsPerBackend*count/b.activeInstances())/max(1, count)) * total
	b.window, b.windowWidth, b.windowInstances = b.window[:0], max(width, epsilon), b.activeInstances()
	b.warmCount, b.coldBackends = 0, b.coldBackends[:0]
	b.meanCapacity = total / max(1, count)
	b.totalCapacity = total
	b.peakCapacity.sum = max(total, b.peakCapacity.read(b.now, peakCapacitySeconds))
	b.placeWindow(width, total, func(be *backend) bool { return true },
		func(be *backend, share float64) { be.windowShare = share })
	inOwnZone := func(be *backend) bool {
		return b.limits.CrossZonePriced && !b.limits.PeerMessages && be.Zone == b.placement.Zone
	}
	total = b.sumReady(func(be *backend) float64 { return be.Capacity * indicator(inOwnZone(be)) })
	b.ownZoneWidth = min(width, total)
	b.placeWindow(b.ownZoneWidth, total, inOwnZone, func(be *backend, share float64) { be.ownZoneShare = share })
	for _, be := range b.fleet {
		if be.State == Ready && b.isWarm(be) {
			b.warmCount++
		} else if be.State == Ready {
			b.coldBackends = append(b.coldBackends, be)
		}
		if be.windowShare+be.ownZoneShare > 0 {
			b.window = append(b.window, be)
		}
	}
}

// placeWindow lays a window of that width on the ring of the ready backends that are included, and assigns each
// backend its overlap with the window.
func (b *Balancer) placeWindow(width, total float64, include func(*backend) bool, assign func(*backend, float64)) {
	start := (float64(b.placement.Index)+0.5)/b.instances()*total - width/2
	start -= math.Floor(start/max(total, epsilon)) * total // the window may wrap around the end of the ring
	position := 0.0
	for _, be := range b.fleet {
		overlap := 0.0
		if include(be) && be.State == Ready {
			for _, offset := range [2]float64{0, total} {
				overlap += max(0, min(position+be.Capacity+offset, start+width)-max(position+offset, start))
			}
			position += be.Capacity
		}
		assign(be, overlap)
	}
}

// ownZoneFactor returns how much more weight a backend of the own zone gets if crossing zones is priced. It is
// lower the slower the own zone is compared with the others, and 0 once the others are clearly faster: then the
// own zone lacks capacity.
func (b *Balancer) ownZoneFactor() float64 {
	own, others := b.zoneLatency[1].read(b.now, callSpanSeconds), b.zoneLatency[0].read(b.now, callSpanSeconds)
	mean := (others + epsilon) / (b.zoneEnded[0].read(b.now, callSpanSeconds) + epsilon)
	ratio := (own + mean) / (mean * (b.zoneEnded[1].read(b.now, callSpanSeconds) + 1))
	return pricedZoneFactor * max(0, min(1, (spillLatencyMultiple-ratio)/(spillLatencyMultiple-1)))
}

// BackendListFailed reports that a request for the backend list failed or its subscription ended. It is repeated
// after a random delay, so that not all instances ask at once.
func (b *Balancer) BackendListFailed(now float64) {
	b.now = now
	if b.listOnRequest && !b.listRetryPending {
		b.listRetryPending = true
		b.startTimer(b.listRetryDelay*b.random(), func() { b.listRetryPending = false; b.host.WatchBackends() })
		b.listRetryDelay = min(maxListRetrySeconds, 2*b.listRetryDelay)
	}
}

// isWarm reports whether the backend is surely warm: it goes by the latest time at which it may have started.
func (b *Balancer) isWarm(be *backend) bool {
	return be.StartedAt <= 0 || b.now-be.StartedAt >= b.coldStart.WarmUp+b.coldStart.StartError
}

// guaranteedCapacity returns the share of its full capacity that a backend has for certain.
func (b *Balancer) guaranteedCapacity(be *backend) float64 {
	if b.isWarm(be) {
		return 1
	}
	return b.coldStart.InitialCapacity + (1-b.coldStart.InitialCapacity)*
		max(0, b.now-be.StartedAt-b.coldStart.StartError)/max(b.coldStart.WarmUp, epsilon)
}

// coldRate returns how many commands per second this instance may send to a backend that has just started. It is
// the share of this instance's answers that the backend's part of the window stands for, limited to what the
// backend can surely handle. Answers are counted because the commands sent may be a storm of refusals. This
// instance's traffic stands for its share of everyone's.
func (b *Balancer) coldRate(be *backend) float64 {
	traffic := &b.answered
	if !slices.ContainsFunc(b.window, b.isWarm) {
		traffic = &b.arrived // no warm backend whose answers could be counted
	}
	return coldBudgetShare * b.coldStart.OverloadMultiple * b.guaranteedCapacity(be) *
		traffic.rate(b.now, callSpanSeconds, b.start) *
		(be.windowShare + b.ownZoneFactor()*be.ownZoneShare) / (b.windowWidth + b.ownZoneFactor()*b.ownZoneWidth) *
		min(1, b.totalCapacity/max(epsilon, b.peakCapacity.read(b.now, peakCapacitySeconds)))
}

// coldAllows reports whether the backend is warm or has a token of its cold-start budget.
func (b *Balancer) coldAllows(be *backend) bool {
	return b.isWarm(be) || be.coldBudget.read(b.now, b.coldRate(be), 1) >= 1
}

// ---- Admission control: commands in flight are limited, held briefly, and declined early.

// inFlightShare returns this instance's share of the commands that may be in flight. Any beyond what backends
// answer in time would only queue and overload them.
func (b *Balancer) inFlightShare() float64 {
	return b.inFlightPerBackend * b.warmEquivalents() / b.activeInstances()
}

// overLimit reports whether too many commands are in flight for this one to be sent. One of many instances has
// only a few in flight, with random variation, so its limit exceeds its share by a multiple of the square root;
// otherwise all instances would decline while there is capacity. The excess is at most a multiple of the share: a
// thousand instances with one command each would be an overload. Commands of low utility are shed first.
func (b *Balancer) overLimit(c *command) bool {
	b.inFlightPerBackend = max(b.inFlightPerBackend, minInFlightPerBackend)
	share := b.inFlightShare()
	margin := limitRootFactor * min(share, math.Sqrt(share*max(0, 1-fewInstances/b.activeInstances())))
	limit, headroom := share+margin, 0.0
	utilityShare := zeroUtilityShare + (1-zeroUtilityShare)*c.priority
	if b.typicalLatency > 0 {
		// Random variation adds up by square roots: many instances together need less headroom than the sum of
		// each one's.
		headroom = (baselineRootFactor*math.Sqrt(b.baseline) + baselineExtraCommands) *
			math.Pow(min(1, fewInstances/b.activeInstances()), headroomExponent)
		limit = min(limit, max(b.baseline+headroom, minBaselinePerBackend*b.warmEquivalents()/b.activeInstances()))
		if b.nestedCommands.read(b.now, callSpanSeconds) > nestedShare*b.arrived.read(b.now, callSpanSeconds) {
			limit = min(limit, b.baseline+nestedRootFactor*math.Sqrt(b.baseline)+1)
		}
		missedShare := max(0, b.endedMissed-lateSlackAnswers) / max(1, b.ended)
		limit *= 1 - max(0, missedShare-maxMissShare)
		if missedShare < maxMissShare { // the baseline itself is not spare capacity
			utilityShare = max(utilityShare, min(1, (b.baseline+headroom*utilityShare)/limit))
		}
	}
	if c.nested {
		limit *= nestedLimitFactor
	}
	return float64(b.inFlight) >= limit*utilityShare
}

// inLimitedGroup reports whether a group of the command is limited: it fails while the rest does not.
func (c *command) inLimitedGroup() bool {
	return c.groups[0] != nil && c.groups[0].limit > 0 || c.groups[1] != nil && c.groups[1].limit > 0
}

// recordGroups updates the statistics of the command's groups. A group that fails while the rest does not, for
// example because of a lock or a corrupt key, is not the backends' fault and fails on every backend. Its commands
// in flight are limited, and the limit falls with each failure.
func (b *Balancer) recordGroups(c *command, failed bool) {
	b.allEnded.add(b.now, groupSpanSeconds, 1)
	b.allFailed.add(b.now, groupSpanSeconds, indicator(failed))
	for _, g := range c.groups {
		if g == nil {
			continue
		}
		g.ended.add(b.now, groupSpanSeconds, 1)
		g.failed.add(b.now, groupSpanSeconds, indicator(failed))
		rest := b.allEnded.sum - g.ended.sum
		excess := (g.failed.sum-groupRootSlack*math.Sqrt(g.failed.sum))/g.ended.sum - (b.allFailed.sum-g.failed.sum)/max(1, rest)
		switch {
		case failed && excess > groupExcessShare && rest > groupRestShare*g.ended.sum:
			if g.limit == 0 {
				g.limit = float64(g.inFlight)
			}
			g.limit = max(1, g.limit*groupLimitCut)
		case !failed && g.limit > 0:
			if g.limit += groupLimitStep; g.limit > b.baseline {
				g.limit = 0
			}
		}
	}
}

// lateThreshold returns the seconds after which an answer is late. A typical latency is not late, even if half of the goal is needed
// without any queue.
func (b *Balancer) lateThreshold(v *verb) float64 {
	threshold := lateGoalShare * v.Goal
	if b.typicalLatency > 0 {
		threshold = max(min(threshold, lateLatencyMultiple*b.typicalLatency),
			min(onTimeLatencyMultiple*b.typicalLatency, maxOnTimeGoalShare*v.Goal))
	}
	return threshold
}

// recordCompletion adjusts the limit by the share of commands that end late or fail; failures count because an
// overloaded lower tier declines. The limit rises slowly while it is in use and falls at once.
func (b *Balancer) recordCompletion(c *command, failed bool) {
	goal, took, late := c.verb.Goal, b.now-c.receivedAt, 0.0
	missed := failed || took > goal-b.tick
	if b.recordGroups(c, missed); c.inLimitedGroup() || c.stalled {
		return
	}
	if failed || took > b.lateThreshold(c.verb) {
		late = 1
	}
	b.arrivals.RequestEnded(b.now, late == 1)
	// An instance with one answer per second would otherwise forget each before the next arrives.
	fade := max(math.Exp((b.completedAt-b.now)/lateSpanSeconds), 1-1/lateMinAnswers)
	b.ended, b.endedLate = b.ended*fade+1, b.endedLate*fade+late
	b.endedMissed = b.endedMissed*fade + indicator(missed)
	excess := (b.endedLate-lateSlackAnswers)/b.ended - maxLateShare
	tooLate, limitInUse := excess > 0, float64(b.inFlight) >= limitInUseShare*b.inFlightShare()
	if late == 1 && tooLate && b.now >= b.limitCutAt+limitCutIntervalSeconds {
		b.inFlightPerBackend *= (1 - limitCutFactor*excess) * min(1, float64(b.inFlight+1)/b.inFlightShare())
		b.limitCutAt = b.now
	} else if b.endedLate+math.Sqrt(b.ended) <= maxLateShare*b.ended && limitInUse {
		// Raise only if the late share is significantly below the maximum: few answers are not significant, and a
		// limit raised in error overloads backends.
		b.inFlightPerBackend *= 1 + limitRaisePerSecond*min(limitCutIntervalSeconds, b.now-b.completedAt)
	}
	if b.baselineSamples++; b.endedMissed-lateSlackAnswers < maxMissShare*b.ended {
		b.baseline += max(baselineStep, 1/b.baselineSamples) * (float64(b.inFlight) - b.baseline)
	}
	b.completedAt = b.now
	// The typical latency follows the median of an unloaded fleet, and hardly the queueing caused by our own load.
	switch {
	case b.typicalLatency == 0 && b.allLatencies.answers >= typicalLatencyAnswers:
		b.typicalLatency, _ = b.allLatencies.quantile(0.5)
	case failed:
	case took < b.typicalLatency:
		b.typicalLatency *= 1 - typicalLatencyStep
	case tooLate || limitInUse:
		b.typicalLatency *= 1 + typicalLatencyStep/4
	default:
		b.typicalLatency *= 1 + typicalLatencyStep
	}
}

// overAllowance takes a token of the customer's allowance and reports whether there was none.
func (b *Balancer) overAllowance(customerID uint64) bool {
	customer := slices.Index(b.customerIDs, customerID)
	if b.placement.Tier > 0 || customer < 0 {
		return false // lower tiers receive calls, not the clients' commands
	}
	rate := b.customers[customer].Allowance / b.instances()
	bucket := &b.allowances[customer]
	if bucket.read(b.now, rate, max(1, rate*allowanceBurstSeconds)) < 1 {
		return true
	}
	bucket.tokens--
	return false
}

// tryFirstRelay sends the command's first relay if there is capacity, or requests a grant, and reports whether it
// did either.
func (b *Balancer) tryFirstRelay(c *command) bool {
	if !b.limits.PeerMessages {
		return !b.overLimit(c) && b.sendFirstRelay(c)
	}
	if c.requestID > 0 || b.now < c.askedAt+recheckSeconds {
		return false
	}
	c.askedCells = c.askedCells[:0]
	return b.requestGrant(c)
}

// sendFirstRelay picks a backend without a grant and reports whether there was one.
func (b *Balancer) sendFirstRelay(c *command) bool {
	be := b.pick(c, false, false)
	if be != nil {
		b.removeHeld(c)
		b.sendRelay(c, be)
	}
	return be != nil
}

// removeHeld removes a command from the held ones.
func (b *Balancer) removeHeld(c *command) {
	if c.held {
		c.held = false
		b.held = slices.DeleteFunc(b.held, func(x *command) bool { return x == c })
	}
}

// hold keeps a command for a short time, highest utility first, and declines at once what cannot be sent in time.
func (b *Balancer) hold(c *command) {
	if c.held {
		b.startTimer(recheckSeconds, b.dispatchHeld)
		return
	}
	c.held = true
	at, _ := slices.BinarySearchFunc(b.held, c, func(x, y *command) int {
		return cmp.Or(cmp.Compare(y.priority, x.priority), cmp.Compare(x.seq, y.seq))
	})
	b.held = slices.Insert(b.held, at, c)
	maxHold := holdGoalShare * c.verb.Goal
	maxHeld := int(b.recentAnswers.rate(b.now, answerRateSeconds, b.start)*maxHold) + 1
	for len(b.held) > maxHeld {
		b.giveUp(b.held[len(b.held)-1])
	}
	b.startCommandTimer(c, maxHold, func() {
		if c.held {
			b.giveUp(c)
		}
	})
	b.startTimer(recheckSeconds, b.dispatchHeld) // cold-start budgets refill without any event
}

// dispatchHeld tries to send the held commands, highest priority first.
func (b *Balancer) dispatchHeld() {
	for i := 0; i < len(b.held); {
		c := b.held[i]
		if !b.tryFirstRelay(c) && !b.limits.PeerMessages && b.overLimit(c) {
			return
		}
		if i < len(b.held) && b.held[i] == c {
			i++
		}
	}
}

// ---- Cell coordinators: for each cell one instance counts all commands in flight at its backends and grants
// relays.

// usageRatio is used by a backend's coordinator: the backend's load, failures included, relative to what it may
// have.
func (b *Balancer) usageRatio(be *backend) float64 {
	load := be.usage.outcomes.weightedLoad(be.usage.inFlight(b.now, reportLifetimeSeconds), b.now, failureSpanSeconds,
		failureLoad, answersPerFailure)
	return load / (commandsPerBackend * b.guaranteedCapacity(be) * be.Capacity / b.meanCapacity)
}

// grant is used by a cell's coordinator: it returns the least loaded backend of the cell with capacity for a
// command of that priority, or nil. The grant counts as in flight at once, since others ask before the command is
// sent.
func (b *Balancer) grant(cell uint16, from int, priority float64) (best *backend) {
	lowest := zeroUtilityShare + (1-zeroUtilityShare)*priority
	for _, be := range b.fleet {
		if uint16(be.Cell) == cell && be.State == Ready {
			if load := b.usageRatio(be) + b.random()*epsilon; load < lowest {
				best, lowest = be, load
			}
		}
	}
	if best != nil {
		best.usage.reserve(b.now, from, b.now+grantTimeoutSeconds)
	}
	return best
}

// reportInFlight reports to the backend's coordinator what this instance has in flight there.
func (b *Balancer) reportInFlight(be *backend, flag byte) {
	m := message{messageInFlight, uint16(be.Cell), be.tag(), byte(min(255, be.inFlight)), flag, be.nextSequence()}
	if to := b.coordinator(m.cell); b.limits.PeerMessages && to != b.placement.Index {
		b.sendMessage(to, m)
	} else if b.limits.PeerMessages {
		be.usage.record(b.now, to, m, failureSpanSeconds)
	}
}

// repeatReport repeats the report while a relay is pending: messages get lost, and reports expire soon.
func (b *Balancer) repeatReport(c *command, n int) {
	if r := &c.relays[n]; r.pending && b.limits.PeerMessages {
		b.reportInFlight(r.to, flagNone)
		b.startTimer(reportIntervalSeconds, func() { b.repeatReport(c, n) })
	}
}

// MessageReceived handles a message from a peer.
func (b *Balancer) MessageReceived(now float64, from int, data []byte) {
	b.now = now
	m, ok := b.acceptMessage(from, data)
	if !ok {
		return
	}
	var be *backend
	if i := slices.IndexFunc(b.fleet, func(be *backend) bool {
		return uint16(be.Cell) == m.cell && be.tag() == m.tag && (m.kind != messageGrant || m.flag >= flagGranted)
	}); i >= 0 {
		be = b.fleet[i]
	}
	switch { // a peer that asks or reports has chosen this instance as the coordinator
	case m.kind == messageRequest:
		reply, usageKnown := message{kind: messageGrant, cell: m.cell, sequence: m.sequence}, b.knowsUsage(m.cell)
		if be := b.grant(m.cell, from, float64(m.amount)/255); be != nil && usageKnown {
			reply.tag, reply.flag = be.tag(), flagGranted
		} else if be != nil {
			reply.tag, reply.flag = be.tag(), flagTentative
		}
		b.sendMessage(from, reply)
	case m.kind == messageInFlight && be != nil:
		be.usage.record(now, from, m, failureSpanSeconds)
	case m.kind == messageGrant:
		i := slices.IndexFunc(b.awaitingGrant, func(c *command) bool {
			return c.coordinator == from && c.askedCells[len(c.askedCells)-1] == m.cell
		})
		if i >= 0 {
			b.handleGrant(b.awaitingGrant[i], be, m.flag != flagTentative)
		} else if be != nil {
			b.reportInFlight(be, flagSent) // the grant came too late and is not used
		}
	}
}

// requestGrant draws a cell that was not yet asked for the command, and asks its coordinator for a backend with
// capacity.
func (b *Balancer) requestGrant(c *command) bool {
	be := b.pick(c, false, true)
	if be == nil || !b.limits.PeerMessages || len(c.askedCells) >= maxGrantRequests {
		return false
	}
	cell := uint16(be.Cell)
	c.askedAt, c.askedCells = b.now, append(c.askedCells, cell)
	to := b.coordinator(cell)
	if to == b.placement.Index {
		b.handleGrant(c, b.grant(cell, to, c.priority), b.knowsUsage(cell))
		return true
	}
	b.lastRequest++
	requestID := b.lastRequest
	c.requestID, c.coordinator, b.awaitingGrant = requestID, to, append(b.awaitingGrant, c)
	b.sendRequest(to, message{kind: messageRequest, cell: cell, amount: byte(255 * c.priority),
		sequence: sequenceByte(requestID)})
	b.startTimer(grantTimeoutSeconds, func() {
		if c.requestID != requestID {
			return
		}
		b.grantTimedOut(to, c.askedAt) // a message was lost, or the coordinator is down
		if b.endGrantWait(c); b.requestGrant(c) {
			return
		}
		// After the last request timed out, the instance decides by its own knowledge.
		if c.askedCells = c.askedCells[:0]; b.overLimit(c) || !b.sendFirstRelay(c) {
			b.hold(c)
		}
	})
	return true
}

// handleGrant sends the command to the granted backend, asks the next coordinator, or holds the command. The grant
// of a coordinator that does not yet know all usage counts only within this instance's own limit.
func (b *Balancer) handleGrant(c *command, be *backend, usageKnown bool) {
	b.endGrantWait(c)
	if be != nil && (usageKnown || !b.overLimit(c)) && b.mayRelay(c, be, len(c.relays)) && !c.triedOn(be) {
		b.removeHeld(c)
		b.sendRelay(c, be)
		return
	}
	if be != nil {
		b.reportInFlight(be, flagSent) // the grant is not used
	}
	if !b.requestGrant(c) {
		b.hold(c)
	}
}

// ---- Command life cycle.

// triedOn reports whether the command has had a relay to the backend.
func (c *command) triedOn(be *backend) bool {
	return slices.ContainsFunc(c.relays, func(r relay) bool { return r.to == be })
}

// CommandReceived adds a command. It must be answered, declined or terminated exactly once, before it expires. verb and customer are
// indexes of the present settings.
func (b *Balancer) CommandReceived(now float64, id uint64, verb, customer int, expires float64, key uint64) {
	b.ClassifiedCommandReceived(now, id, b.Classify(verb, customer), 0, expires, key)
}

// ClassifiedCommandReceived is like CommandReceived for a command that may have arrived under earlier settings and has a body of the
// given length in bytes.
func (b *Balancer) ClassifiedCommandReceived(now float64, id uint64, class CommandClass, bodyBytes int, expires float64, key uint64) {
	b.now = now
	if _, ok := b.commands[id]; ok {
		return
	}
	v := class.verb
	b.seq++
	// If the deadline may be inaccurate, the true one shows by itself: relays time out then.
	expires = max(expires, min(expires+b.limits.DeadlineError, now+v.TimeLimit))
	c := &command{id: id, seq: b.seq, verb: v, key: key, receivedAt: now, expiresAt: expires,
		deliverySeconds: deliverySeconds(bodyBytes)}
	c.priority = v.Utility / max(b.maxUtility, epsilon)
	b.keyedCommands.add(now, callSpanSeconds, indicator(key != 0))
	c.nested = key == 0 && b.keyedCommands.sum > b.arrived.read(now, callSpanSeconds)/2
	b.nestedCommands.add(now, callSpanSeconds, indicator(c.nested))
	if b.overAllowance(class.customerID) {
		c.priority *= b.overage
	}
	if expires-now <= expiryTicks*b.tick {
		b.host.Decline(id, b.retryAfter(v)) // it would expire before any backend could answer
		return
	}
	b.commands[id] = c
	c.groups[0] = b.groups.lookup(class.customerID<<1|1, now, groupSpanSeconds)
	if key != 0 {
		c.groups[1] = b.groups.lookup(key<<1, now, groupSpanSeconds)
	}
	b.countArrival()
	b.budgetCommands.add(now, b.limits.ExtraRelays.Span, 1)
	v.calls.add(now, callSpanSeconds, 1)
	b.startCommandTimer(c, expires-now-expiryTicks*b.tick, func() { b.expire(c) })
	if b.limits.MaxUnreadAnswers > 0 {
		b.startCommandTimer(c, v.Goal, func() { b.goalPassed(c) })
	}
	if v.LateUtility == 0 {
		// A command that can no longer earn any utility would only take capacity from others.
		b.startCommandTimer(c, min(v.Goal, expires-now), func() {
			if !c.done && !c.streaming {
				b.recordCompletion(c, false)
				b.giveUp(c)
			}
		})
	}
	for _, g := range c.groups {
		if g != nil && g.limit > 0 && float64(g.inFlight) >= g.limit {
			b.giveUp(c)
			return
		}
	}
	if len(b.held) > 0 && b.held[0].priority >= c.priority && !c.nested || !b.tryFirstRelay(c) && !c.held && !c.done {
		b.hold(c)
	}
}

// goalPassed is called when a command's response goal has passed. Late answers may hold only a small part of the
// capacity for unread answers; beyond it the oldest is given up. A command with a stream is not: an answer that has
// begun must not be cut off.
func (b *Balancer) goalPassed(c *command) {
	if c.done || c.streaming || c.pendingRelays == 0 {
		return
	}
	b.lateCommands = append(b.lateCommands, c)
	for float64(len(b.lateCommands)) > max(1, lateAnswerShare*float64(b.limits.MaxUnreadAnswers)) {
		b.recordCompletion(b.lateCommands[0], false)
		b.giveUp(b.lateCommands[0])
	}
}

// forgetLate takes a command out of those that are past their goal and may be given up for others.
func (b *Balancer) forgetLate(c *command) {
	b.lateCommands = slices.DeleteFunc(b.lateCommands, func(x *command) bool { return x == c })
}

// sendRelay sends the command's next relay to the backend and starts its timers.
func (b *Balancer) sendRelay(c *command, be *backend) {
	v := c.verb
	n := len(c.relays)
	b.endGrantWait(c) // a later grant, or its timeout, must not send another relay
	if n > 0 {
		b.extraRelays.add(b.now, b.limits.ExtraRelays.Span, 1)
	} else {
		c.countInGroups(1)
	}
	r := relay{to: be, sentAt: b.now, pending: true, inFlight: 1}
	r.delay, r.delayLearned = b.hedgeDelay(v)
	c.relays, c.askedCells = append(c.relays, r), c.askedCells[:0]
	c.pendingRelays++
	be.inFlight++
	b.inFlight++
	b.reportInFlight(be, flagSent)
	be.coldBudget.tokens-- // only limits while the backend is cold
	b.relaysSent.add(b.now, slowSpanSeconds, 1)
	b.host.Relay(c.id, be.ID)
	b.limitDeliveries(c)
	if b.limits.PeerMessages {
		b.startTimer(reportIntervalSeconds, func() { b.repeatReport(c, n) })
	}
	if !v.Stream {
		b.startCommandTimer(c, r.delay, func() { b.relayOverdue(c, n) })
	}
}

// relayOverdue is called when a relay's delay has passed. A pending relay now counts against its backend, since a
// hung one never answers, and a hedge is sent if allowed.
func (b *Balancer) relayOverdue(c *command, n int) {
	r, v := &c.relays[n], c.verb
	if !r.pending || r.loser || c.streaming {
		return
	}
	if r.delayLearned && !c.inLimitedGroup() {
		r.late = true
		r.to.lowerWeight()
		b.relaysLate.add(b.now, slowSpanSeconds, 1)
	}
	if c.done || c.pendingRelays > 1 || c.inLimitedGroup() || !b.mayHedge(c, v) {
		return
	}
	if be := b.pick(c, true, false); be != nil {
		v.hedgeBudget.tokens--
		v.breaker.recordSent(b.now)
		b.serviceBreaker.recordSent(b.now)
		b.sendRelay(c, be)
	}
}

// mayHedge reports whether the command may get a hedge: it is safe to repeat, the limits and budgets allow
// it, and neither a breaker nor slowness of most relays forbids it.
func (b *Balancer) mayHedge(c *command, v *verb) bool {
	refill := hedgesPerCall * v.calls.rate(b.now, callSpanSeconds, b.start)
	tokens := v.hedgeBudget.read(b.now, refill, max(1, hedgeBurstSeconds*refill))
	return v.Effect != Effectful && b.limits.Hedges && len(c.relays) < b.limits.MaxRelays &&
		tokens-float64(v.pendingLosers) >= 1 && b.withinBudget(hedgeBudgetShare) && v.breaker.allows(b.now) &&
		b.serviceBreaker.allows(b.now) && !b.mostRelaysSlow()
}

// withinBudget reports whether one more relay beyond a command's first stays within that share of the extra-relay
// budget. What may be inside the window counts in full for relays and not at all for commands, because an event
// may be a tick older than reported.
func (b *Balancer) withinBudget(share float64) bool {
	budget := b.limits.ExtraRelays
	windowStart := b.now - budget.Span
	allowed := budget.Free + budget.PerCommand*b.budgetCommands.lowerBound(windowStart+b.tick)
	return budget.Span == 0 || b.extraRelays.upperBound(windowStart-b.tick)+1 <= max(min(1, allowed), share*allowed)
}

// mostRelaysSlow reports whether relays are slow everywhere: the delay quantile is stale, and hedges would only
// add load.
func (b *Balancer) mostRelaysSlow() bool {
	return b.relaysLate.read(b.now, slowSpanSeconds)-slowSlackRelays > slowRelayShare*b.relaysSent.read(b.now, slowSpanSeconds)
}

// StreamStarted reports that a stream has begun: the command is bound to that relay from now on.
func (b *Balancer) StreamStarted(now float64, id uint64, n int) {
	b.now = now
	if c, ok := b.commands[id]; ok && !c.done && !c.streaming && n < len(c.relays) && c.relays[n].pending {
		r := &c.relays[n]
		c.streaming, r.inFlight = true, 0 // a slow client is no load for the backend
		b.forgetLate(c)
		r.to.inFlight--
		b.inFlight--
		b.cancelOthers(c, n)
		b.dispatchHeld()
	}
}

// ClientDisconnected reports that the client is gone: no answer is needed, and pending relays are cancelled.
func (b *Balancer) ClientDisconnected(now float64, id uint64) {
	b.now = now
	if c, ok := b.commands[id]; ok {
		b.finish(c)
		b.dispatchHeld()
	}
}

// RelayEnded reports how a relay ended; final says that the command has had its answer.
func (b *Balancer) RelayEnded(now float64, id uint64, n int, result Result, took float64, final bool, _ LoadReport) {
	b.now = now
	c, ok := b.commands[id]
	if !ok || n >= len(c.relays) || !c.relays[n].pending {
		return
	}
	r, v := &c.relays[n], c.verb
	r.pending, r.neverRan = false, result.NeverRan()
	c.pendingRelays--
	r.to.inFlight -= r.inFlight
	b.inFlight -= r.inFlight
	if r.loser {
		v.pendingLosers--
	}
	if result == Answered || !c.inLimitedGroup() {
		b.scoreBackend(r, result, took)
	}
	flag := flagNone
	if result != Answered && result != Cancelled && result != NotSent {
		flag = flagFailed
	}
	b.reportInFlight(r.to, flag)
	winner := !c.done && result != Cancelled && result != NotSent
	if winner && (result == Answered || c.pendingRelays == 0) {
		v.breaker.recordOutcome(now, result != Answered)
		b.serviceBreaker.recordOutcome(now, result != Answered)
	}
	switch {
	case c.done:
		b.removeIfDone(c)
	case final || result == Answered:
		if result == Answered {
			b.recentAnswers.add(now, answerRateSeconds, 1)
			b.answered.add(now, callSpanSeconds, 1)
		}
		if result == Answered && !c.streaming && !c.stalled { // a stream's duration depends on its length and its client
			// Measured from the first relay: a faster hedge must not hide how slow the first relay was.
			v.latencies.add(now, now-c.relays[0].sentAt)
			b.allLatencies.add(now, now-c.relays[0].sentAt)
		}
		if !c.streaming {
			b.recordCompletion(c, false)
		}
		b.finish(c)
	case result == TimedOut && c.pendingRelays == 0 && b.limits.DeadlineError > 0:
		b.expire(c) // the true deadline, whatever was reported
	case c.pendingRelays == 0:
		b.retry(c)
	}
	b.dispatchHeld()
}

// scoreBackend updates the weight of the backend whose relay ended.
func (b *Balancer) scoreBackend(r *relay, result Result, took float64) {
	r.to.outcomes.record(b.now, failureSpanSeconds, result)
	if zone := int(indicator(r.to.Zone == b.placement.Zone)); result != Cancelled && result != NotSent {
		b.zoneLatency[zone].add(b.now, callSpanSeconds, took)
		b.zoneEnded[zone].add(b.now, callSpanSeconds, 1)
	}
	switch result {
	case Answered:
		if took <= r.delay {
			r.to.raiseWeight()
		} else if r.delayLearned && !r.late {
			r.to.lowerWeight()
		}
	case Errored, Full, TimedOut, Reset, ConnectFailed:
		r.to.lowerWeight()
		if result == ConnectFailed { // down or out of connections: each attempt costs the whole connect timeout
			r.to.avoidUntil = b.now + connectBackoffSeconds
		}
	}
}

// RelayStalled reports that a relay's answer has begun and makes no progress. It may still become whole, so the relay stays open.
// Where a repeat beside it is allowed, another backend is asked as well.
func (b *Balancer) RelayStalled(now float64, id uint64, n int) {
	b.now = now
	c, ok := b.commands[id]
	if ok && !c.done && !c.streaming && n < len(c.relays) && c.relays[n].pending && c.pendingRelays == 1 && b.limits.Hedges {
		b.sendRetry(c)
	}
}

// retry sends a command whose relays have all failed to another backend, or gives it up.
func (b *Balancer) retry(c *command) {
	if !b.sendRetry(c) {
		b.recordCompletion(c, true)
		b.giveUp(c)
	}
}

// sendRetry sends a command to another backend, within the budgets, and reports whether it did.
func (b *Balancer) sendRetry(c *command) bool {
	refill := retriesPerCall * b.arrived.rate(b.now, callSpanSeconds, b.start)
	if c.inLimitedGroup() || len(c.relays) >= b.limits.MaxRelays || c.expiresAt <= b.now+2*b.tick ||
		!b.withinBudget(zeroUtilityShare+(1-zeroUtilityShare)*c.priority) ||
		b.retryBudget.read(b.now, refill, max(retryBurst, refill)) < 1 {
		return false
	}
	be := b.pick(c, false, false)
	if be == nil {
		return false
	}
	b.retryBudget.tokens--
	b.sendRelay(c, be)
	return true
}

// mayDecline reports whether a retry by the client is harmless whenever it comes. A receipted command may be
// declined only if all backends still remember it when the client's time limit and the advised wait have passed.
func (b *Balancer) mayDecline(c *command) bool {
	v := c.verb
	return v.Effect == Pure || !slices.ContainsFunc(c.relays, func(r relay) bool {
		return !r.neverRan && (v.Effect == Effectful || v.Scope != ScopeAll ||
			c.expiresAt+b.retryAfter(v)+c.deliverySeconds > b.rememberedUntil(v, &r))
	})
}

// retryAfter returns the advised wait before a declined client retries, 0 for none.
func (b *Balancer) retryAfter(v *verb) float64 {
	return min(b.limits.MaxRetryAfter, retryAfterGoalShare*v.Goal)
}

// giveUp ends a command at once: it is declined if a retry is harmless, and otherwise terminated.
func (b *Balancer) giveUp(c *command) {
	if b.mayDecline(c) {
		b.host.Decline(c.id, b.retryAfter(c.verb))
	} else {
		b.host.Terminate(c.id)
	}
	b.finish(c)
}

// expire terminates a command that has not ended before its time limit.
func (b *Balancer) expire(c *command) {
	if !c.done && !c.streaming {
		if b.now-c.receivedAt > b.lateThreshold(c.verb) {
			b.recordCompletion(c, false) // an earlier end says how long its client waits, and nothing about the backends
		}
		b.host.Terminate(c.id)
		b.finish(c)
		b.dispatchHeld()
	}
}

// cancelOthers marks the pending relays as losers, except number keep, and cancels them where that is possible.
func (b *Balancer) cancelOthers(c *command, keep int) {
	for i := range c.relays {
		r := &c.relays[i]
		if !r.pending || r.loser || i == keep {
			continue
		}
		r.loser = true
		c.verb.pendingLosers++
		if b.limits.CancelRelays {
			b.host.Cancel(c.id, i)
		}
	}
}

// finish marks a command as finally answered. It is kept until its last relay has ended.
func (b *Balancer) finish(c *command) {
	if c.done {
		return
	}
	c.done = true
	if len(c.relays) > 0 {
		c.countInGroups(-1)
	}
	b.forgetLate(c)
	b.removeHeld(c)
	b.endGrantWait(c)
	b.cancelOthers(c, -1)
	c.timers = b.stopTimers(c.timers)
	b.removeIfDone(c)
}

// removeIfDone forgets a command that is finished and has no pending relay.
func (b *Balancer) removeIfDone(c *command) {
	if c.done && c.pendingRelays == 0 {
		delete(b.commands, c.id)
		c.deliveryTimers = b.stopTimers(c.deliveryTimers)
	}
}

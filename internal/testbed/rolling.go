// This file implements a rolling restart: all proxies of the first tier are asked to stop, a group at a time, and killed at the
// earliest announced moment, while clients send on every connection that stays open. A request counts as lost if its process
// ended by itself, but not if the connection was closed before the request was read.

package testbed

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"sandpass/internal/checker"
	"sandpass/internal/emulator"
	"sandpass/internal/faults"
)

const (
	killMarginSeconds   = 0.7  // the kill comes this long after the longest time limit, counted from SIGTERM
	maxKillLimitSeconds = 3.0  // longest time limit that counts there
	noticeSeconds       = 0.3  // new connections still go to a process for this long after it was asked to stop
	crossedSeconds      = 0.1  // a command sent this shortly before the connection's end may not have been read
	splitShare          = 0.15 // share of the commands that are sent in two pieces
	maxSplitGapShare    = 0.4  // longest pause between the two pieces, as a share of the time limit
	maxThinkShare       = 0.4  // longest pause between an answer and the next command, as a share of the time limit; the mean is 0.2
	minThinkSeconds     = 0.05 // shortest such pause, since this is not a load test
	workFactor          = 6.0  // factor on the default work: answers take a large part of the limit, many are pending at each stop
	groupShare          = 0.1  // share of the proxies that are asked to stop at a time
)

// RollingResult is the result of a rolling restart as seen by the clients.
type RollingResult struct {
	Sent, Served, Declined, Failed int
	ClosedWhileIdle                int // requests on a connection that closed unread, which a client sends again
	ClosedUnanswered               int // new connections that were closed without an answer
	Killed                         int // processes that had not ended when the kill came
	Lost                           []string
	Report                         *checker.Report // checker's report on the other rules
	MaxSendDelay                   float64         // longest delay of a harness timer in seconds; if high, the run is invalid
	MaxTimeLimit                   float64         // longest time limit that was drawn, in seconds
	Tiers                          int
}

// RandomRollingRestart draws a world and its faults: the given number of proxies, time limits from 0.2 to 10 s, one to three
// tiers, half of the backends replaced and one that hangs.
func RandomRollingRestart(proxies int, seed uint64) (emulator.World, faults.Plan) {
	rng := rand.New(rand.NewPCG(seed, 0x726f6c6c))
	w := emulator.Default()
	limit := 0.2 * math.Exp(rng.Float64()*math.Log(10/0.2))
	tiers := 1 + rng.IntN(3)
	w.Zones, w.Instances, w.Warmup, w.Clients.EarlyLeaveShare, w.InstanceSkew = 1+rng.IntN(2), proxies, 0.5, 0, 0.5
	w.Rules.WarmUp = 2
	groups := math.Ceil(float64(proxies) / float64(groupSize(proxies)))
	w.Duration = 1 + groups*groupIntervalSeconds(limit) + killDelaySeconds(limit) + 1
	scale := limit / 2 // relative to the longest limit of the default world
	for i := range w.Verbs {
		v := &w.Verbs[i]
		v.Limit, v.Goal = v.Limit*scale, v.Goal*scale
		for k := range v.Work {
			v.Work[k] *= workFactor * min(scale, 0.5)
		}
	}
	if tiers == 1 {
		w.KeepFirstTier()
	} else if tiers == 3 {
		w.Tiers = append(w.Tiers, w.Tiers[1])
		for i := range w.Verbs {
			v := &w.Verbs[i]
			v.Work, v.Calls = append(v.Work, v.Work[1]), append(v.Calls, 1)
		}
	}
	for k := range w.Tiers {
		w.Tiers[k].Backends = max(4, proxies/2)
	}
	newFault := func(kind faults.Kind, from, long, share float64) faults.Fault {
		return faults.Fault{Kind: kind, Zone: -1, To: -1, From: from, For: long, Share: share, Seed: rng.Uint64() >> 1}
	}
	return w, faults.Plan{newFault(faults.RollingReplace, 1.2, w.Duration/2, 0.5), newFault(faults.Hang, 0.5, w.Duration-1, 0.05)}
}

// groupSize returns how many proxies are asked to stop at a time.
func groupSize(proxies int) int { return max(1, int(groupShare*float64(proxies))) }

// killDelaySeconds returns how long after SIGTERM the kill comes, given the longest time limit.
func killDelaySeconds(limit float64) float64 {
	return min(limit, maxKillLimitSeconds) + killMarginSeconds
}

// groupIntervalSeconds returns the time between two groups. At most three groups are down at a time.
func groupIntervalSeconds(limit float64) float64 { return killDelaySeconds(limit) / 3 }

// longestTimeLimit returns the longest time limit of the world.
func (h *Harness) longestTimeLimit() (limit float64) {
	for _, v := range h.world.Verbs {
		limit = max(limit, v.Limit)
	}
	return limit
}

// RunRollingRestart executes a rolling restart with the given number of clients per proxy, each with one connection at a time.
// With hup, some proxies are told to reload their configuration while they stop, if the program knows that signal.
func (h *Harness) RunRollingRestart(ctx context.Context, clients int, hup bool) (out RollingResult, err error) {
	defer h.tearDown()
	if err := h.setUp(); err != nil {
		return out, err
	}
	out.MaxTimeLimit, out.Tiers = h.longestTimeLimit(), len(h.world.Tiers)
	h.startClock(ctx)
	runCtx, cancel := context.WithDeadline(ctx, h.timeAt(h.world.Duration))
	defer cancel()
	var clientTasks sync.WaitGroup
	var mu sync.Mutex
	clientTasks.Go(func() {
		for due := time.Now(); runCtx.Err() == nil; due = time.Now() {
			due = due.Add(pollInterval)
			time.Sleep(time.Until(due))
			mu.Lock()
			out.MaxSendDelay = max(out.MaxSendDelay, time.Since(due).Seconds())
			mu.Unlock()
		}
	})
	for n := range clients * len(h.proxies) {
		clientTasks.Go(func() {
			c := rollingClient{harness: h, rng: rand.New(rand.NewPCG(h.seed, 1000+uint64(n))), zone: n % h.world.Zones}
			c.run(runCtx)
			mu.Lock()
			defer mu.Unlock()
			out.add(&c.counts)
		})
	}
	h.runIdleClients(runCtx, &clientTasks)
	var restarts sync.WaitGroup
	for n, indexes := range slices.Collect(slices.Chunk(rand.New(rand.NewPCG(h.seed, 9)).Perm(len(h.proxies)),
		groupSize(len(h.proxies)))) {
		select {
		case <-time.After(time.Until(h.timeAt(1 + float64(n)*groupIntervalSeconds(out.MaxTimeLimit)))):
		case <-runCtx.Done():
		}
		for _, i := range indexes {
			restarts.Go(func() {
				killed := h.restartForRoll(i, hup && n%2 == 1)
				mu.Lock()
				defer mu.Unlock()
				if killed {
					out.Killed++
				}
			})
		}
	}
	restarts.Wait()
	clientTasks.Wait()
	h.faultTasks.Wait()
	slices.Sort(out.Lost)
	h.awaitCalls()
	h.recorder.withChecker(func(c *checker.Checker) { out.Report = c.Close(h.recorder.now()) })
	return out, h.failure
}

// awaitCalls waits until each nested call has ended or is overdue, since a lower tier may still execute one whose caller has
// given up.
func (h *Harness) awaitCalls() {
	for due := math.Inf(1); h.recorder.now() < due; time.Sleep(pollInterval) {
		h.recorder.withChecker(func(c *checker.Checker) { due = c.LatestDeadline() })
	}
}

// restartForRoll asks a proxy to stop, kills it when that is allowed, and starts it again. It reports whether the kill was
// needed. With hup the proxy is told to reload its configuration at the same moment.
func (h *Harness) restartForRoll(i int, hup bool) (killed bool) {
	p := h.proxyAt(i)
	if p == nil {
		return false
	}
	if hup {
		p.signal(syscall.SIGHUP)
	}
	p.recordStopRequest(h.now())
	h.Stress.sendExtraSignals(p, h.seed, killDelaySeconds(h.longestTimeLimit()))
	time.AfterFunc(time.Duration(noticeSeconds*float64(time.Second)), func() { // from now on the front sends it no new connections
		h.mu.Lock()
		if h.proxies[i] == p {
			h.proxies[i] = nil
		}
		h.mu.Unlock()
	})
	p.stop(time.Duration(killDelaySeconds(h.longestTimeLimit()) * float64(time.Second)))
	time.Sleep(time.Duration(noticeSeconds * float64(time.Second))) // connections of that time have been refused
	s, ok := p.cmd.ProcessState.Sys().(syscall.WaitStatus)
	h.restartProxy(i, p)
	return ok && s.Signaled()
}

// add adds the counts of one client.
func (o *RollingResult) add(x *RollingResult) {
	o.Sent, o.Served, o.Declined, o.Failed = o.Sent+x.Sent, o.Served+x.Served, o.Declined+x.Declined, o.Failed+x.Failed
	o.ClosedWhileIdle, o.ClosedUnanswered, o.Lost = o.ClosedWhileIdle+x.ClosedWhileIdle, o.ClosedUnanswered+x.ClosedUnanswered,
		append(o.Lost, x.Lost...)
}

// rollingClient is a client that uses its connection as long as it stays open.
type rollingClient struct {
	harness *Harness
	rng     *rand.Rand
	zone    int
	conn    *clientConn
	proxy   *process
	used    bool // the connection has carried a command
	counts  RollingResult
}

// run sends commands until the run ends.
func (c *rollingClient) run(runCtx context.Context) {
	defer c.closeConn()
	for runCtx.Err() == nil {
		if c.conn == nil && !c.connect() {
			time.Sleep(pollInterval)
			continue
		}
		c.send()
		limit := c.harness.longestTimeLimit()
		thinkTime := max(minThinkSeconds, c.rng.Float64()*maxThinkShare*min(limit, 1))
		select {
		case <-time.After(time.Duration(thinkTime * float64(time.Second))):
		case <-runCtx.Done():
		}
	}
}

// closeConn closes the connection, if there is one.
func (c *rollingClient) closeConn() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// connect opens a connection to a proxy of the zone, and reports whether it did.
func (c *rollingClient) connect() bool {
	p := c.harness.chooseProxy(c.zone, c.rng.Float64())
	if p == nil {
		return false
	}
	conn, err := net.DialTimeout("tcp", p.listen, time.Second)
	if err != nil {
		return false // refused: the next attempt chooses again
	}
	c.conn, c.proxy, c.used = &clientConn{conn, bufio.NewReader(conn)}, p, false
	return true
}

// send sends one command and counts its result.
func (c *rollingClient) send() {
	h := c.harness
	id := emulator.MixSeeds(h.seed, h.ids.Add(1))
	u, verb := c.rng.Float64(), 0
	for verb < len(h.world.Verbs)-1 && u >= h.world.Verbs[verb].Share {
		u -= h.world.Verbs[verb].Share
		verb++
	}
	limit := h.world.Verbs[verb].Limit
	text := h.requestText(id, request{verb: verb, limit: limit, op: id})
	if c.rng.Float64() < splitShare { // recorded as accepted only when the rest is sent
		k := 1 + c.rng.IntN(len(text)-1)
		c.conn.SetDeadline(time.Now().Add(time.Duration((limit + overdueSeconds) * float64(time.Second))))
		if _, err := io.WriteString(c.conn, text[:k]); err != nil {
			c.closeConn()
			return
		}
		time.Sleep(time.Duration(c.rng.Float64() * maxSplitGapShare * min(limit, 1) * float64(time.Second)))
		text = text[k:]
	}
	h.recorder.requestAccepted(id, requestRecord{seed: id, verb: verb, instance: c.proxy.serial, op: id}, limit)
	from, wrote := h.now(), time.Now()
	reply, reused, closedUnread := h.exchange(context.Background(), c.conn,
		wrote.Add(time.Duration((limit+overdueSeconds)*float64(time.Second))), id, text)
	h.recorder.requestEnded(id, map[bool]result{true: resultBroken, false: reply.result}[reply.result == resultSilent], true)
	elapsed, used := time.Since(wrote).Seconds(), c.used
	c.used = true
	c.counts.Sent++
	switch reply.result {
	case resultServed:
		c.counts.Served++
	case resultDeclined:
		c.counts.Declined++
	case resultFailed:
		c.counts.Failed++
	case resultSilent:
		c.recordLoss(id, from, "no complete answer in time")
	case resultBroken:
		relays := h.recorder.relayCount(id)
		switch {
		case relays == 0 && closedUnread && !used:
			c.counts.ClosedUnanswered++
		case relays == 0 && closedUnread && elapsed < crossedSeconds:
			c.counts.ClosedWhileIdle++
		default:
			c.recordLoss(id, from, fmt.Sprintf("connection ended after %.3f s, %d relays, answer begun %t", elapsed, relays,
				!closedUnread))
		}
	}
	if !reused {
		c.closeConn()
	}
}

// recordLoss records a command that was accepted but not answered, unless the kill of its process excuses it.
func (c *rollingClient) recordLoss(id uint64, from float64, cause string) {
	stopRequestedAt := c.proxy.stopRequestedAt()
	select {
	case <-time.After(time.Duration(noticeSeconds * float64(time.Second))): // the process is still running
	case <-c.proxy.ended:
		s, ok := c.proxy.cmd.ProcessState.Sys().(syscall.WaitStatus)
		if ok && s.Signaled() && stopRequestedAt > 0 && from <= stopRequestedAt+killMarginSeconds {
			return
		}
	}
	when := "to a proxy not asked to stop"
	if stopRequestedAt > 0 {
		when = fmt.Sprintf("%.3f s after SIGTERM", from-stopRequestedAt)
	}
	c.counts.Lost = append(c.counts.Lost, fmt.Sprintf("%016x at proxy %d, sent %s: %s", id, c.proxy.serial, when, cause))
}

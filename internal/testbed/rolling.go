// This file owns the day of a rolling restart: all proxies of the first tier are asked to end, some at a time, and killed at
// the earliest moment that was announced, while clients send on every connection that stays open. It must never forgive
// a process that ended by itself, nor count as lost what a connection's end only crossed.

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
	killAfter  = 0.7  // seconds after the longest time limit at which the kill comes, counted from SIGTERM
	killLimit  = 3.0  // seconds, the longest limit that counts there
	noticed    = 0.3  // seconds in which new connections still go to a process that was asked to end
	crossed    = 0.1  // seconds before a connection's end from which a command on it may not have been read
	hesitates  = 0.15 // part of the commands that come in two pieces
	pieceApart = 0.4  // of a time limit at most, between these
	restAtMost = 0.4  // of a time limit, between an answer and the next command, on the mean 0.2
	restLeast  = 0.05 // seconds of the same: clients are no load test
	workTimes  = 6.0  // the work of the world as it is: most answers take a good part of the limit, many are under way at any end
	tenth      = 0.1  // of the proxies are asked to end at a time
)

// Rolled is what came of a rolling restart, by the clients' own books.
type RollingResult struct {
	Sent, Served, Declined, Failed int
	ClosedWhileIdle                int // sent again, since their connection had been closed unread
	ClosedUnanswered               int // new connections closed without a word
	Killed                         int // processes that had not ended by themselves when the kill came
	Lost                           []string
	Account                        *checker.Report // of the other rules
	MaxSendDelay                   float64         // seconds, the most by which the rig itself woke late: a starved process is no measure
	MaxTimeLimit                   float64         // seconds, the longest that was drawn
	Tiers                          int
}

// Rolling draws a world and its troubles: so many proxies, time limits from 0.2 to 10 s, one to three tiers, half of the
// backends replaced, one that hangs.
func RandomRollingRestart(proxies int, seed uint64) (emulator.World, faults.Plan) {
	chance := rand.New(rand.NewPCG(seed, 0x726f6c6c))
	w := emulator.Default()
	limit := 0.2 * math.Exp(chance.Float64()*math.Log(10/0.2))
	tiers := 1 + chance.IntN(3)
	w.Zones, w.Instances, w.Warmup, w.Clients.EarlyLeaveShare, w.InstanceSkew = 1+chance.IntN(2), proxies, 0.5, 0, 0.5
	w.Rules.WarmUp = 2
	steps := math.Ceil(float64(proxies) / float64(group(proxies)))
	w.Duration = 1 + steps*apart(limit) + killAt(limit) + 1
	scale := limit / 2 // the longest limit of the world as it is
	for i := range w.Verbs {
		v := &w.Verbs[i]
		v.Limit, v.Goal = v.Limit*scale, v.Goal*scale
		for k := range v.Work {
			v.Work[k] *= workTimes * min(scale, 0.5)
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
	a := func(kind faults.Kind, from, long, share float64) faults.Fault {
		return faults.Fault{Kind: kind, Zone: -1, To: -1, From: from, For: long, Share: share, Seed: chance.Uint64() >> 1}
	}
	return w, faults.Plan{a(faults.RollingReplace, 1.2, w.Duration/2, 0.5), a(faults.Hang, 0.5, w.Duration-1, 0.05)}
}

// group is how many of so many proxies are asked to end at a time.
func group(proxies int) int { return max(1, int(tenth*float64(proxies))) }

// killAt is how many seconds after SIGTERM the kill comes, by the longest time limit.
func killAt(limit float64) float64 { return min(limit, killLimit) + killAfter }

// apart is how many seconds after one group the next is asked to end: three are away at a time at most.
func apart(limit float64) float64 { return killAt(limit) / 3 }

// longest is the longest time limit of the day.
func (r *Harness) longest() (limit float64) {
	for _, v := range r.world.Verbs {
		limit = max(limit, v.Limit)
	}
	return limit
}

// Roll plays the day: so many clients to a proxy, each with one connection at a time. hup has a new configuration come in
// the middle, where the program knows that signal.
func (r *Harness) RunRollingRestart(ctx context.Context, clients int, hup bool) (out RollingResult, err error) {
	defer r.end()
	if err := r.open(); err != nil {
		return out, err
	}
	out.MaxTimeLimit, out.Tiers = r.longest(), len(r.world.Tiers)
	r.begin(ctx)
	day, over := context.WithDeadline(ctx, r.at(r.world.Duration))
	defer over()
	var all sync.WaitGroup
	var mu sync.Mutex
	all.Go(func() {
		for due := time.Now(); day.Err() == nil; due = time.Now() {
			due = due.Add(look)
			time.Sleep(time.Until(due))
			mu.Lock()
			out.MaxSendDelay = max(out.MaxSendDelay, time.Since(due).Seconds())
			mu.Unlock()
		}
	})
	for n := range clients * len(r.fronts) {
		all.Go(func() {
			c := rolling{rig: r, chance: rand.New(rand.NewPCG(r.seed, 1000+uint64(n))), zone: n % r.world.Zones}
			c.live(day)
			mu.Lock()
			defer mu.Unlock()
			out.add(&c.got)
		})
	}
	r.idle(day, &all)
	var restarts sync.WaitGroup
	for n, places := range slices.Collect(slices.Chunk(rand.New(rand.NewPCG(r.seed, 9)).Perm(len(r.fronts)), group(len(r.fronts)))) {
		select {
		case <-time.After(time.Until(r.at(1 + float64(n)*apart(out.MaxTimeLimit)))):
		case <-day.Done():
		}
		for _, i := range places {
			restarts.Go(func() {
				killed := r.restart(i, hup && n%2 == 1)
				mu.Lock()
				defer mu.Unlock()
				if killed {
					out.Killed++
				}
			})
		}
	}
	restarts.Wait()
	all.Wait()
	r.troubles.Wait()
	slices.Sort(out.Lost)
	r.awaitCalls()
	r.books.client(func(j *checker.Checker) { out.Account = j.Close(r.books.now()) })
	return out, r.failure
}

// awaitCalls waits until each call has ended or is overdue: a tier below may still be at one whose answer nobody waits for.
func (r *Harness) awaitCalls() {
	for due := math.Inf(1); r.books.now() < due; time.Sleep(look) {
		r.books.client(func(j *checker.Checker) { due = j.LatestDeadline() })
	}
}

// restart asks a proxy to end, kills it when that may come, and starts it anew; it tells whether the kill was needed. With hup it
// is told to read its configuration again in the same moment.
func (r *Harness) restart(i int, hup bool) (killed bool) {
	p := r.front(i)
	if p == nil {
		return false
	}
	if hup {
		p.signal(syscall.SIGHUP)
	}
	p.asksToEnd(r.clock())
	r.Stress.signals(p, r.seed, killAt(r.longest()))
	time.AfterFunc(time.Duration(noticed*float64(time.Second)), func() { // the front sends it no new connections from now on
		r.mu.Lock()
		if r.fronts[i] == p {
			r.fronts[i] = nil
		}
		r.mu.Unlock()
	})
	p.stop(time.Duration(killAt(r.longest()) * float64(time.Second)))
	time.Sleep(time.Duration(noticed * float64(time.Second))) // whoever still came in that time has been refused
	s, ok := p.cmd.ProcessState.Sys().(syscall.WaitStatus)
	r.revive(i, p)
	return ok && s.Signaled()
}

func (o *RollingResult) add(x *RollingResult) {
	o.Sent, o.Served, o.Declined, o.Failed = o.Sent+x.Sent, o.Served+x.Served, o.Declined+x.Declined, o.Failed+x.Failed
	o.ClosedWhileIdle, o.ClosedUnanswered, o.Lost = o.ClosedWhileIdle+x.ClosedWhileIdle, o.ClosedUnanswered+x.ClosedUnanswered, append(o.Lost, x.Lost...)
}

// rolling is a client that keeps its connection for as long as it stays open.
type rolling struct {
	rig    *Harness
	chance *rand.Rand
	zone   int
	conn   *clientConn
	to     *process
	used   bool // the connection has carried a command
	got    RollingResult
}

func (c *rolling) live(day context.Context) {
	defer c.leave()
	for day.Err() == nil {
		if c.conn == nil && !c.connect() {
			time.Sleep(look)
			continue
		}
		c.ask()
		limit := c.rig.longest()
		rest := max(restLeast, c.chance.Float64()*restAtMost*min(limit, 1))
		select {
		case <-time.After(time.Duration(rest * float64(time.Second))):
		case <-day.Done():
		}
	}
}

func (c *rolling) leave() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

func (c *rolling) connect() bool {
	p := c.rig.choose(c.zone, c.chance.Float64())
	if p == nil {
		return false
	}
	conn, err := net.DialTimeout("tcp", p.listen, time.Second)
	if err != nil {
		return false // refused: the next one is another's
	}
	c.conn, c.to, c.used = &clientConn{conn, bufio.NewReader(conn)}, p, false
	return true
}

// ask sends one command and files what came of it.
func (c *rolling) ask() {
	r := c.rig
	id := emulator.MixSeeds(r.seed, r.ids.Add(1))
	u, verb := c.chance.Float64(), 0
	for verb < len(r.world.Verbs)-1 && u >= r.world.Verbs[verb].Share {
		u -= r.world.Verbs[verb].Share
		verb++
	}
	limit := r.world.Verbs[verb].Limit
	text := r.request(id, want{verb: verb, limit: limit, op: id})
	if c.chance.Float64() < hesitates { // not taken before it is whole
		k := 1 + c.chance.IntN(len(text)-1)
		c.conn.SetDeadline(time.Now().Add(time.Duration((limit + overdue) * float64(time.Second))))
		if _, err := io.WriteString(c.conn, text[:k]); err != nil {
			c.leave()
			return
		}
		time.Sleep(time.Duration(c.chance.Float64() * pieceApart * min(limit, 1) * float64(time.Second)))
		text = text[k:]
	}
	r.books.taken(id, record{seed: id, verb: verb, instance: c.to.serial, op: id}, limit)
	from, wrote := r.clock(), time.Now()
	g, reused, unread := r.exchange(context.Background(), c.conn, wrote.Add(time.Duration((limit+overdue)*float64(time.Second))), id, text)
	r.books.ended(id, map[bool]result{true: broken, false: g.result}[g.result == silent], true)
	took, used := time.Since(wrote).Seconds(), c.used
	c.used = true
	c.got.Sent++
	switch g.result {
	case served:
		c.got.Served++
	case declinedThat:
		c.got.Declined++
	case failed:
		c.got.Failed++
	case silent:
		c.lost(id, from, "no whole answer in time")
	case broken:
		relays := r.books.relayed(id)
		switch {
		case relays == 0 && unread && !used:
			c.got.ClosedUnanswered++
		case relays == 0 && unread && took < crossed:
			c.got.ClosedWhileIdle++
		default:
			c.lost(id, from, fmt.Sprintf("its connection ended after %.3f s, %d relays, answer begun %t", took, relays, !unread))
		}
	}
	if !reused {
		c.leave()
	}
}

// lost files a command that was taken and not answered, unless a kill excuses it.
func (c *rolling) lost(id uint64, from float64, how string) {
	asked := c.to.endAsked()
	select {
	case <-time.After(time.Duration(noticed * float64(time.Second))): // it lives
	case <-c.to.ended:
		s, ok := c.to.cmd.ProcessState.Sys().(syscall.WaitStatus)
		if ok && s.Signaled() && asked > 0 && from <= asked+killAfter {
			return
		}
	}
	when := "never asked to end"
	if asked > 0 {
		when = fmt.Sprintf("%.3f s after SIGTERM", from-asked)
	}
	c.got.Lost = append(c.got.Lost, fmt.Sprintf("%016x at proxy %d, taken %s: %s", id, c.to.serial, when, how))
}

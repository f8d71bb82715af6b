// This file owns clients on sockets: they send each command when it is due, keep connections, and try again by the
// rules. It must never wait for one command before it sends another.

package testbed

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"sandpass/balance"
	"sandpass/internal/checker"
	"sandpass/internal/emulator"
	"sandpass/internal/faults"
)

// result is what came of one try.
type result int

const (
	served result = iota
	declinedThat
	failed
	broken    // the connection broke, its proxy is gone
	unreached // no connection came up
	silent    // nothing came in time: its end was never told
	left      // the client went
)

const (
	overdue  = 0.5 // seconds past its limit at which a client no longer listens
	bodySize = 64  // bytes of a command that is not a GET
)

// pool keeps the connections to one address.
type pool struct {
	at   string
	mu   sync.Mutex
	idle []*clientConn
	shut bool
}

type clientConn struct {
	net.Conn
	in *bufio.Reader
}

func newPool(at string) *pool { return &pool{at: at} }

func (p *pool) take() *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c
	}
	return nil
}

func (p *pool) put(c *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.shut {
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shut = true
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}

// want is one command to be asked.
type want struct {
	verb, customer, tier, instance int
	seed, op                       uint64
	limit                          float64
	by                             *process // of the first tier, that it goes to
}

type got struct {
	result   result
	comeBack float64
}

// request is the text of a command.
func (r *Harness) request(id uint64, w want) string {
	v := &r.world.Verbs[w.verb]
	method, body, key := "GET", "", ""
	if v.Effect != "pure" {
		method, body = "POST", fmt.Sprintf("%-*s", bodySize, v.Name)
	}
	if v.Effect == "receipted" {
		key = fmt.Sprintf("Idempotency-Key: %032x\r\n", w.op)
	}
	return fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: app.svc\r\nReq-Id: %016x\r\nReq-Kind: %s\r\nReq-Owner: %s\r\nReq-Deadline: %.3f\r\n%sContent-Length: %d\r\n\r\n%s",
		method, v.Name, id, v.Name, customer(w.customer), w.limit, key, len(body), body)
}

// ask sends a command to a proxy as a client does, with a new id, and waits for its answer.
func (r *Harness) ask(ctx context.Context, p *pool, w want) got {
	id := emulator.MixSeeds(r.seed, r.ids.Add(1))
	if w.op == 0 {
		w.op = id
	}
	text := r.request(id, w)
	until := time.Now().Add(time.Duration((w.limit + overdue) * float64(time.Second)))
	taken, began := false, r.clock()
	for try := 0; ; try++ {
		c := p.take()
		fresh := c == nil
		if fresh {
			conn, err := (&net.Dialer{Deadline: until}).DialContext(ctx, "tcp", p.at)
			if err != nil {
				if taken {
					r.books.ended(id, broken, false)
					return got{result: broken}
				}
				return got{result: unreached}
			}
			c = &clientConn{conn, bufio.NewReader(conn)}
		}
		if !taken {
			r.books.taken(id, record{seed: w.seed, verb: w.verb, instance: w.instance, op: w.op}, w.limit)
			taken = true
		}
		g, reused, crossed := r.exchange(ctx, c, until, id, text)
		if reused {
			p.put(c)
		} else {
			c.Close()
		}
		if crossed && !fresh && try < 3 && time.Now().Before(until) {
			continue // the proxy closed a connection at rest while this crossed it: it goes out once more
		}
		switch {
		case g.result != silent:
			r.books.ended(id, g.result, true)
		case w.by != nil && w.by.stood(began): // its client has hung up on a process that stood still
			r.books.ended(id, left, false)
		}
		return g
	}
}

// exchange writes a command and reads its answer. crossed says that the connection ended before a byte of it came.
func (r *Harness) exchange(ctx context.Context, c *clientConn, until time.Time, id uint64, text string) (g got, reused, crossed bool) {
	c.SetDeadline(until)
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	gone := func(err error, begun bool) (got, bool, bool) {
		var late net.Error
		switch {
		case ctx.Err() != nil:
			return got{result: left}, false, false
		case errors.As(err, &late) && late.Timeout():
			return got{result: silent}, false, false
		}
		return got{result: broken}, false, !begun
	}
	if _, err := io.WriteString(c, text); err != nil {
		return gone(err, false)
	}
	if _, err := c.in.Peek(1); err != nil {
		return gone(err, false)
	}
	a, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return gone(err, true)
	}
	body, err := io.ReadAll(a.Body)
	if err != nil {
		return gone(err, true)
	}
	keep := !a.Close
	switch a.StatusCode {
	case 200:
		if string(body) != r.books.answer(id) {
			r.books.client(func(j *checker.Checker) { j.CommandEnded(r.books.now(), id, false, true, false) })
			return got{result: silent}, keep, false
		}
		return got{result: served}, keep, false
	case 429, 503:
		wait, _ := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
		return got{declinedThat, wait}, keep, false
	}
	return got{result: failed}, keep, false
}

// choose draws a proxy of the zone by weight among those that the front believes in, or of another zone.
func (r *Harness) choose(zone int, u float64) *process {
	r.mu.Lock()
	defer r.mu.Unlock()
	for z := range r.world.Zones {
		sum := 0.0
		var all []*process
		for _, p := range r.fronts {
			if p != nil && p.zone == (zone+z)%r.world.Zones {
				all = append(all, p)
				sum += p.weight
			}
		}
		u := u * sum
		for _, p := range all {
			if u -= p.weight; u < 0 {
				return p
			}
		}
	}
	return nil
}

// operation carries one client's want through its tries.
func (r *Harness) operation(a emulator.Arrival) {
	defer r.busy.Done()
	v := &r.world.Verbs[a.Verb]
	w := &r.world.Clients
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if a.LeavesAt > 0 {
		t := time.AfterFunc(time.Until(r.at(a.LeavesAt)), cancel)
		defer t.Stop()
	}
	chance := rand.New(rand.NewPCG(a.Seed, 1))
	due := r.at(a.Due)
	first, mayHaveRun := time.Time{}, false
	effect, scope := emulator.EffectAndScope(v)
	loss := checker.Loss{Cause: checker.Unreached}
	for tries := 1; ; tries++ {
		leftTime := time.Until(due).Seconds() + v.Limit
		limit := min(w.TryShare*v.Limit, leftTime)
		g := got{result: unreached}
		if p := r.choose(a.Zone, chance.Float64()); p != nil {
			if first.IsZero() {
				first = time.Now()
			}
			g = r.ask(ctx, p.pool, want{verb: a.Verb, customer: a.Customer, seed: a.Seed, op: a.Seed | 1, limit: limit, instance: p.serial, by: p})
		}
		took := time.Since(due).Seconds()
		switch g.result {
		case served:
			if a.Measured {
				worth := a.Utility
				if took > v.Goal {
					worth *= v.LateShare
					r.books.client(func(j *checker.Checker) {
						j.OperationLost(checker.Loss{Cause: checker.Late, Place: checker.Work}, a.Utility-worth)
					})
				}
				r.books.client(func(j *checker.Checker) { j.OperationAnswered(a.Due, a.Due+took, a.Customer, worth) })
			}
			return
		case declinedThat:
			loss = checker.Loss{Cause: checker.Declined}
		case failed:
			loss = checker.Loss{Cause: checker.Terminated, Place: checker.BackendFailed}
		case broken:
			loss = checker.Loss{Cause: checker.InstanceDied}
		case silent:
			loss = checker.Loss{Cause: checker.TimedOut, Place: checker.Network}
		case unreached:
			loss = checker.Loss{Cause: checker.Unreached}
		case left:
			loss = checker.Loss{Cause: checker.ClientLeft}
		}
		mayHaveRun = mayHaveRun || g.result == failed || g.result == broken || g.result == silent
		backoff := w.RetryBackoff * math.Pow(2, float64(tries-1)) * (0.5 + chance.Float64())
		most := w.Retries
		if hard := r.hard(faults.RetryStorm); hard > 0 {
			most += int(math.Ceil(hard))
			backoff /= 1 + hard
		}
		if g.result == declinedThat && chance.Float64() < w.RetryAfterShare {
			backoff = max(backoff, g.comeBack)
		}
		allowed := effect == balance.Pure || !mayHaveRun ||
			effect == balance.Receipted && scope == balance.ScopeAll && time.Since(first).Seconds()+backoff+limit < v.DedupWindow
		if g.result == left || !allowed || tries > most || took+backoff > v.Limit-0.02 {
			if a.Measured {
				r.books.client(func(j *checker.Checker) { j.OperationLost(loss, a.Utility) })
			}
			return
		}
		select {
		case <-time.After(time.Duration(backoff * float64(time.Second))):
		case <-ctx.Done():
		}
	}
}

// This file simulates clients on sockets. They send each command when it is due, without waiting for earlier ones, keep
// connections open, and retry by the rules.

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

// result is the result of one attempt.
type result int

const (
	resultServed result = iota
	resultDeclined
	resultFailed
	resultBroken    // the connection broke, the proxy is gone
	resultUnreached // no connection could be opened
	resultSilent    // no answer came in time, so the request never ended
	resultLeft      // the client disconnected
)

const (
	overdueSeconds   = 0.5 // a client waits this much longer than the time limit
	requestBodyBytes = 64  // of a command that is not a GET
)

// connPool keeps idle connections to one address.
type connPool struct {
	addr   string
	mu     sync.Mutex
	idle   []*clientConn
	closed bool
}

// clientConn is a client connection with its read buffer.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

// newConnPool returns an empty pool for an address.
func newConnPool(addr string) *connPool { return &connPool{addr: addr} }

// take returns the connection that was used last, or nil.
func (p *connPool) take() *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c
	}
	return nil
}

// put returns a connection to the pool.
func (p *connPool) put(c *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// close closes the idle connections, and those that are returned later.
func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}

// request describes one command to send.
type request struct {
	verb, customer, tier, instance int
	seed, op                       uint64
	limit                          float64
	target                         *process // the first-tier proxy that it is sent to, nil for a nested call
}

// response is the result of one attempt, with the Retry-After of a declined one.
type response struct {
	result            result
	retryAfterSeconds float64
}

// requestText returns the HTTP request of a command.
func (h *Harness) requestText(id uint64, w request) string {
	v := &h.world.Verbs[w.verb]
	method, body, key := "GET", "", ""
	if v.Effect != "pure" {
		method, body = "POST", fmt.Sprintf("%-*s", requestBodyBytes, v.Name)
	}
	if v.Effect == "receipted" {
		key = fmt.Sprintf("Idempotency-Key: %032x\r\n", w.op)
	}
	return fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: app.svc\r\nReq-Id: %016x\r\nReq-Kind: %s\r\nReq-Owner: %s\r\n"+
		"Req-Deadline: %.3f\r\n%sContent-Length: %d\r\n\r\n%s",
		method, v.Name, id, v.Name, customerName(w.customer), w.limit, key, len(body), body)
}

// send sends a command with a new ID to a proxy, as a client does, and waits for its answer.
func (h *Harness) send(ctx context.Context, p *connPool, w request) response {
	id := emulator.MixSeeds(h.seed, h.ids.Add(1))
	if w.op == 0 {
		w.op = id
	}
	message := h.requestText(id, w)
	deadline := time.Now().Add(time.Duration((w.limit + overdueSeconds) * float64(time.Second)))
	accepted, startedAt := false, h.now()
	for try := 0; ; try++ {
		c := p.take()
		isNew := c == nil
		if isNew {
			conn, err := (&net.Dialer{Deadline: deadline}).DialContext(ctx, "tcp", p.addr)
			if err != nil {
				if accepted {
					h.recorder.requestEnded(id, resultBroken, false)
					return response{result: resultBroken}
				}
				return response{result: resultUnreached}
			}
			c = &clientConn{conn, bufio.NewReader(conn)}
		}
		if !accepted {
			h.recorder.requestAccepted(id, requestRecord{seed: w.seed, verb: w.verb, instance: w.instance, op: w.op}, w.limit)
			accepted = true
		}
		reply, reused, closedUnread := h.exchange(ctx, c, deadline, id, message)
		if reused {
			p.put(c)
		} else {
			c.Close()
		}
		if closedUnread && !isNew && try < 3 && time.Now().Before(deadline) {
			continue // the proxy closed an idle connection before it read the request: send it again
		}
		switch {
		case reply.result != resultSilent:
			h.recorder.requestEnded(id, reply.result, true)
		case w.target != nil && w.target.stalledSince(startedAt): // the client disconnected from a stalled process
			h.recorder.requestEnded(id, resultLeft, false)
		}
		return reply
	}
}

// exchange writes a command and reads its answer. reused tells whether the connection can carry another command, closedUnread
// that it ended before a byte of the answer came.
func (h *Harness) exchange(ctx context.Context, c *clientConn, deadline time.Time, id uint64, message string) (reply response,
	reused, closedUnread bool) {
	c.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	connError := func(err error, answerBegun bool) (response, bool, bool) {
		var netErr net.Error
		switch {
		case ctx.Err() != nil:
			return response{result: resultLeft}, false, false
		case errors.As(err, &netErr) && netErr.Timeout():
			return response{result: resultSilent}, false, false
		}
		return response{result: resultBroken}, false, !answerBegun
	}
	if _, err := io.WriteString(c, message); err != nil {
		return connError(err, false)
	}
	if _, err := c.reader.Peek(1); err != nil {
		return connError(err, false)
	}
	answer, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return connError(err, true)
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return connError(err, true)
	}
	keepAlive := !answer.Close
	switch answer.StatusCode {
	case 200:
		if string(body) != h.recorder.expectedBody(id) {
			h.recorder.withChecker(func(c *checker.Checker) { c.CommandEnded(h.recorder.now(), id, false, true, false) })
			return response{result: resultSilent}, keepAlive, false
		}
		return response{result: resultServed}, keepAlive, false
	case 429, 503:
		wait, _ := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
		return response{resultDeclined, wait}, keepAlive, false
	}
	return response{result: resultFailed}, keepAlive, false
}

// chooseProxy draws a proxy by weight among those that the front considers alive, in the given zone if there are any, else in
// the next one.
func (h *Harness) chooseProxy(zone int, u float64) *process {
	h.mu.Lock()
	defer h.mu.Unlock()
	for z := range h.world.Zones {
		totalWeight := 0.0
		var all []*process
		for _, p := range h.proxies {
			if p != nil && p.zone == (zone+z)%h.world.Zones {
				all = append(all, p)
				totalWeight += p.weight
			}
		}
		u := u * totalWeight
		for _, p := range all {
			if u -= p.weight; u < 0 {
				return p
			}
		}
	}
	return nil
}

// runOperation sends one operation of a client and retries it by the rules.
func (h *Harness) runOperation(arrival emulator.Arrival) {
	defer h.operations.Done()
	v := &h.world.Verbs[arrival.Verb]
	w := &h.world.Clients
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if arrival.LeavesAt > 0 {
		t := time.AfterFunc(time.Until(h.timeAt(arrival.LeavesAt)), cancel)
		defer t.Stop()
	}
	rng := rand.New(rand.NewPCG(arrival.Seed, 1))
	due := h.timeAt(arrival.Due)
	first, mayHaveRun := time.Time{}, false
	effect, scope := emulator.EffectAndScope(v)
	loss := checker.Loss{Cause: checker.Unreached}
	for tries := 1; ; tries++ {
		remaining := time.Until(due).Seconds() + v.Limit
		limit := min(w.TryShare*v.Limit, remaining)
		reply := response{result: resultUnreached}
		if p := h.chooseProxy(arrival.Zone, rng.Float64()); p != nil {
			if first.IsZero() {
				first = time.Now()
			}
			reply = h.send(ctx, p.pool, request{verb: arrival.Verb, customer: arrival.Customer, seed: arrival.Seed,
				op: arrival.Seed | 1, limit: limit, instance: p.serial, target: p})
		}
		elapsed := time.Since(due).Seconds()
		switch reply.result {
		case resultServed:
			if arrival.Measured {
				utility := arrival.Utility
				if elapsed > v.Goal {
					utility *= v.LateShare
					h.recorder.withChecker(func(c *checker.Checker) {
						c.OperationLost(checker.Loss{Cause: checker.Late, Place: checker.Work}, arrival.Utility-utility)
					})
				}
				h.recorder.withChecker(func(c *checker.Checker) {
					c.OperationAnswered(arrival.Due, arrival.Due+elapsed, arrival.Customer, utility)
				})
			}
			return
		case resultDeclined:
			loss = checker.Loss{Cause: checker.Declined}
		case resultFailed:
			loss = checker.Loss{Cause: checker.Terminated, Place: checker.BackendFailed}
		case resultBroken:
			loss = checker.Loss{Cause: checker.InstanceDied}
		case resultSilent:
			loss = checker.Loss{Cause: checker.TimedOut, Place: checker.Network}
		case resultUnreached:
			loss = checker.Loss{Cause: checker.Unreached}
		case resultLeft:
			loss = checker.Loss{Cause: checker.ClientLeft}
		}
		mayHaveRun = mayHaveRun || reply.result == resultFailed || reply.result == resultBroken || reply.result == resultSilent
		backoff := w.RetryBackoff * math.Pow(2, float64(tries-1)) * (0.5 + rng.Float64())
		maxTries := w.Retries
		if severity := h.severity(faults.RetryStorm); severity > 0 {
			maxTries += int(math.Ceil(severity))
			backoff /= 1 + severity
		}
		if reply.result == resultDeclined && rng.Float64() < w.RetryAfterShare {
			backoff = max(backoff, reply.retryAfterSeconds)
		}
		allowed := effect == balance.Pure || !mayHaveRun ||
			effect == balance.Receipted && scope == balance.ScopeAll && time.Since(first).Seconds()+backoff+limit < v.DedupWindow
		if reply.result == resultLeft || !allowed || tries > maxTries || elapsed+backoff > v.Limit-0.02 {
			if arrival.Measured {
				h.recorder.withChecker(func(c *checker.Checker) { c.OperationLost(loss, arrival.Utility) })
			}
			return
		}
		select {
		case <-time.After(time.Duration(backoff * float64(time.Second))):
		case <-ctx.Done():
		}
	}
}

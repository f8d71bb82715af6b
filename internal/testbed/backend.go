// This file simulates a backend on sockets: HTTP/1.1 of the platform's protocol, the queue, the connection table and the effects
// of faults. It never answers a command that it has not executed.

package testbed

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"sandpass/internal/checker"
	"sandpass/internal/emulator"
	"sandpass/internal/faults"
	"sandpass/internal/loop"
)

// backend is one simulated backend of a tier.
type backend struct {
	harness                 *Harness
	serial, tier, index     int
	zone, cell              int
	name, address           string
	listener                net.Listener
	machine                 *machine
	slots                   chan struct{}
	maxQueued, maxConns     int64
	waiting, conns, working atomic.Int64
	proxy                   *process  // its proxy to the next tier
	pool                    *connPool // its connections to that proxy
	started                 time.Time
	mu                      sync.Mutex
	impairment              faults.Impairment
	openConns               map[net.Conn]bool
	dead                    chan struct{}
	rng                     *rand.Rand
}

// startBackend starts a backend on a free address. A backend that restarts takes the address and name of the previous one. The
// caller holds h.mu.
func (h *Harness) startBackend(tier, index int, speed float64, previous *backend, started time.Time) (*backend, error) {
	t := &h.world.Tiers[tier]
	address := "127.0.0.1:0"
	if previous != nil {
		address = previous.address
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	h.backendCount++
	zone := index % h.world.Zones
	b := &backend{harness: h, serial: h.backendCount, tier: tier, index: index, zone: zone,
		cell: index/h.world.Zones/t.CellSize*h.world.Zones + zone, name: fmt.Sprintf("b-%d-%d", tier, h.backendCount),
		address: l.Addr().String(), listener: l, started: started, openConns: map[net.Conn]bool{}, dead: make(chan struct{}),
		machine: newMachine(t.Cores, speed, t.OverloadFrom, t.OverloadLoss, h.world.Rules.ColdShare, h.world.Rules.WarmUp),
		slots:   make(chan struct{}, t.Slots), maxQueued: int64(t.Queue), maxConns: int64(t.Connections),
		rng: rand.New(rand.NewPCG(h.seed, uint64(h.backendCount)))}
	b.machine.started = started
	if previous != nil {
		b.name, b.serial = previous.name, previous.serial
	}
	go b.accept()
	return b, nil
}

// accept serves connections until the listener is closed, and resets those beyond the connection limit.
func (b *backend) accept() {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		if b.conns.Add(1) > b.maxConns {
			b.conns.Add(-1)
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
			continue
		}
		b.mu.Lock()
		select {
		case <-b.dead:
			b.mu.Unlock()
			c.Close()
			continue
		default:
		}
		b.openConns[c] = true
		b.mu.Unlock()
		go b.serve(c)
	}
}

// stop closes the listener and resets all connections at once, as a crash does.
func (b *backend) stop() {
	b.mu.Lock()
	select {
	case <-b.dead:
		b.mu.Unlock()
		return
	default:
	}
	close(b.dead)
	b.listener.Close()
	for c := range b.openConns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	b.mu.Unlock()
	b.machine.close()
	if b.proxy != nil {
		b.proxy.kill()
		b.pool.close()
	}
}

// random returns the next number of the backend's random source.
func (b *backend) random() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rng.Float64()
}

// currentImpairment returns the combined effect of the active faults.
func (b *backend) currentImpairment() faults.Impairment {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.impairment
}

// serve handles the commands of one connection in turn.
func (b *backend) serve(c net.Conn) {
	defer func() {
		c.Close()
		b.conns.Add(-1)
		b.mu.Lock()
		delete(b.openConns, c)
		b.mu.Unlock()
	}()
	count := &countingConn{Conn: c}
	in := bufio.NewReader(count)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !b.command(c, in, request, b.sentAt(c, count.bytes-int64(in.Buffered()))) {
			return
		}
	}
}

// countingConn counts the bytes read from a connection.
type countingConn struct {
	net.Conn
	bytes int64
}

// Read reads from the connection and counts the bytes.
func (c *countingConn) Read(text []byte) (int, error) {
	n, err := c.Conn.Read(text)
	c.bytes += int64(n)
	return n, err
}

// sentAt returns when the proxy sent the first bytes bytes of a connection, in seconds of the run.
func (b *backend) sentAt(c net.Conn, bytes int64) float64 {
	if at, known := b.harness.sentAt(b, c.RemoteAddr(), bytes); known {
		return at
	}
	return b.harness.recorder.now() - receiveAge(c)
}

// receiveAge returns how many seconds ago the kernel received the latest bytes of a connection, since this process may read them
// late.
func receiveAge(c net.Conn) (seconds float64) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) { seconds = loop.LastReceiveAge(int(fd)) }) // fails only on a closed connection
	return seconds
}

// declinedResponse tells the proxy that a command was declined and never ran.
const declinedResponse = "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"

// command executes or refuses one command. It reports whether the connection stays open.
func (b *backend) command(c net.Conn, in *bufio.Reader, request *http.Request, sentAt float64) bool {
	id, err := strconv.ParseUint(request.Header.Get("Req-Id"), 16, 64)
	verb := b.harness.verbIndex(request.URL.Path)
	if err != nil || verb < 0 {
		io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	limit, _ := strconv.ParseFloat(request.Header.Get("Req-Deadline"), 64)
	due := time.Now().Add(time.Duration(limit * float64(time.Second)))
	relay, known := b.harness.recorder.relayReceived(b, id, verb, sentAt)
	if !known {
		io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	impairment := b.currentImpairment()
	decline := func() bool { // the command never ran
		b.harness.recorder.relayEnded(id, relay, true)
		_, err := io.WriteString(c, declinedResponse)
		return err == nil
	}
	if impairment.Refuse > 0 && b.random() < impairment.Refuse {
		return decline()
	}
	if x := b.random(); x < impairment.Reset {
		if x < impairment.Reset/2 {
			b.harness.recorder.relayEnded(id, relay, false)
			c.(*net.TCPConn).SetLinger(0)
			return false
		}
		impairment.LoseAnswers = 1
	}
	if impairment.Errors > 0 && b.random() < impairment.Errors {
		if b.random() < 0.5 {
			b.harness.recorder.executed(b, id, verb, sentAt)
		}
		b.harness.recorder.relayEnded(id, relay, false)
		_, err := io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	// A disconnect of the client cancels the command. Some backends ignore it.
	stop := make(chan struct{})
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		if _, err := in.Peek(1); err != nil && b.harness.world.Tiers[b.tier].CancelStops && !b.currentImpairment().IgnoresCancels {
			close(stop)
		}
	}()
	stopWatching := func() { // loses no bytes, since Peek leaves them in the buffer
		c.SetReadDeadline(time.Unix(1, 0))
		<-watched
		c.SetReadDeadline(time.Time{})
	}
	select {
	case b.slots <- struct{}{}:
	default:
		if b.waiting.Add(1) > b.maxQueued {
			b.waiting.Add(-1)
			stopWatching()
			return decline()
		}
		b.machine.addHeld(1)
		acquired := false
		select {
		case b.slots <- struct{}{}:
			acquired = true
		case <-stop:
		case <-b.dead:
		}
		b.machine.addHeld(-1)
		b.waiting.Add(-1)
		if !acquired {
			<-watched
			b.harness.recorder.relayEnded(id, relay, false)
			return false
		}
	}
	if time.Now().After(due) && b.harness.world.Tiers[b.tier].RejectsExpired {
		<-b.slots
		stopWatching()
		return decline()
	}
	ok, answered := b.work(id, verb, sentAt, due, stop)
	<-b.slots
	if !ok {
		stopWatching()
		b.harness.recorder.relayEnded(id, relay, false)
		return false
	}
	stopWatching()
	b.harness.recorder.relayEnded(id, relay, false)
	if !answered {
		_, err := io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	body := b.harness.recorder.expectedBody(id)
	if impairment.LoseAnswers > 0 && b.random() < impairment.LoseAnswers {
		c.(*net.TCPConn).SetLinger(0)
		return false
	}
	_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// work executes the parts of a command and the nested calls between them. ok is false if it was cancelled, answered is false if
// a nested call failed or the time limit passed.
func (b *backend) work(id uint64, verb int, sentAt float64, due time.Time, stop chan struct{}) (ok, answered bool) {
	w := &b.harness.world
	seed := b.harness.recorder.seed(id)
	calls := 0
	if b.proxy != nil {
		calls = w.Verbs[verb].Calls[b.tier]
	}
	partWork := emulator.DrawWork(&w.Verbs[verb], seed, b.tier) / float64(calls+1)
	b.working.Add(1)
	defer b.working.Add(-1)
	cancelled := make(chan struct{})
	go func() {
		select {
		case <-stop:
		case <-b.dead:
		case <-b.harness.stopped:
		}
		close(cancelled)
	}()
	for n := range calls + 1 {
		if !b.machine.run(partWork, cancelled) {
			return false, false
		}
		if n < calls {
			left := time.Until(due)
			if left <= 0 {
				return true, false
			}
			ctx, cancel := context.WithCancel(context.Background())
			go func() {
				select {
				case <-cancelled:
					cancel()
				case <-ctx.Done():
				}
			}()
			b.machine.addHeld(1)
			reply := b.harness.send(ctx, b.pool, request{verb: verb, customer: 0, seed: emulator.MixSeeds(seed, uint64(n+1)),
				limit: left.Seconds(), tier: b.tier + 1, instance: b.proxy.serial})
			b.machine.addHeld(-1)
			cancel()
			if reply.result != resultServed {
				return true, false
			}
		}
	}
	b.harness.recorder.executed(b, id, verb, sentAt)
	return true, true
}

// checkerEffect converts the effect and key scope of a verb to the checker's types.
func checkerEffect(v *emulator.Verb) (checker.Effect, checker.Scope) {
	effect, scope := emulator.EffectAndScope(v)
	return checker.Effect(effect), checker.Scope(scope)
}

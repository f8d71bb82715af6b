// This file owns the stand-in backend on sockets: HTTP/1.1 as the platform's protocol has it, queue, connection table
// and what faults make of it. It must never answer a command that it has not run.

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

// backend is one process of a tier.
type backend struct {
	rig                     *Harness
	serial, tier, place     int
	zone, cell              int
	name, address           string
	listener                net.Listener
	machine                 *machine
	slots                   chan struct{}
	queue, most             int64
	waiting, conns, working atomic.Int64
	own                     *process // its proxy to the next tier
	pool                    *pool    // its connections to that
	started                 time.Time
	mu                      sync.Mutex
	burden                  faults.Impairment
	open                    map[net.Conn]bool
	dead                    chan struct{}
	chance                  *rand.Rand
}

// startBackend takes an address and serves there: that and the name of the one it was, if it is one that starts again.
func (r *Harness) startBackend(tier, place int, speed float64, was *backend, started time.Time) (*backend, error) {
	t := &r.world.Tiers[tier]
	address := "127.0.0.1:0"
	if was != nil {
		address = was.address
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r.serial++
	zone := place % r.world.Zones
	b := &backend{rig: r, serial: r.serial, tier: tier, place: place, zone: zone,
		cell: place/r.world.Zones/t.CellSize*r.world.Zones + zone, name: fmt.Sprintf("b-%d-%d", tier, r.serial),
		address: l.Addr().String(), listener: l, started: started, open: map[net.Conn]bool{}, dead: make(chan struct{}),
		machine: newMachine(t.Cores, speed, t.OverloadFrom, t.OverloadLoss, r.world.Rules.ColdShare, r.world.Rules.WarmUp),
		slots:   make(chan struct{}, t.Slots), queue: int64(t.Queue), most: int64(t.Connections),
		chance: rand.New(rand.NewPCG(r.seed, uint64(r.serial)))}
	b.machine.started = started
	if was != nil {
		b.name, b.serial = was.name, was.serial
	}
	go b.accept()
	return b, nil
}

func (b *backend) accept() {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		if b.conns.Add(1) > b.most {
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
		b.open[c] = true
		b.mu.Unlock()
		go b.serve(c)
	}
}

// stop ends the process: its listener and all connections, at once.
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
	for c := range b.open {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	b.mu.Unlock()
	b.machine.close()
	if b.own != nil {
		b.own.kill()
		b.pool.close()
	}
}

func (b *backend) draw() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.chance.Float64()
}

func (b *backend) bears() faults.Impairment {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.burden
}

func (b *backend) serve(c net.Conn) {
	defer func() {
		c.Close()
		b.conns.Add(-1)
		b.mu.Lock()
		delete(b.open, c)
		b.mu.Unlock()
	}()
	count := &counted{Conn: c}
	in := bufio.NewReader(count)
	for {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		if !b.command(c, in, q, b.sent(c, count.bytes-int64(in.Buffered()))) {
			return
		}
	}
}

// counted counts what is read.
type counted struct {
	net.Conn
	bytes int64
}

func (c *counted) Read(text []byte) (int, error) {
	n, err := c.Conn.Read(text)
	c.bytes += int64(n)
	return n, err
}

// sent is when the proxy sent what has been read of the connection so far.
func (b *backend) sent(c net.Conn, bytes int64) float64 {
	if at, known := b.rig.left(b, c.RemoteAddr(), bytes); known {
		return at
	}
	return b.rig.books.now() - age(c)
}

// age is for how many seconds the latest bytes of a connection have been with the kernel: this very process may be late.
func age(c net.Conn) (seconds float64) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) { seconds = loop.LastReceiveAge(int(fd)) }) // fails only on what is closed
	return seconds
}

const declined = "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"

// command does one and tells whether the connection goes on.
func (b *backend) command(c net.Conn, in *bufio.Reader, q *http.Request, came float64) bool {
	id, err := strconv.ParseUint(q.Header.Get("Req-Id"), 16, 64)
	verb := b.rig.verbOf(q.URL.Path)
	if err != nil || verb < 0 {
		io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	limit, _ := strconv.ParseFloat(q.Header.Get("Req-Deadline"), 64)
	due := time.Now().Add(time.Duration(limit * float64(time.Second)))
	relay, known := b.rig.books.reached(b, id, verb, came)
	if !known {
		io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	bears := b.bears()
	no := func() bool { // never ran
		b.rig.books.told(id, relay, true)
		_, err := io.WriteString(c, declined)
		return err == nil
	}
	if bears.Refuse > 0 && b.draw() < bears.Refuse {
		return no()
	}
	if x := b.draw(); x < bears.Reset {
		if x < bears.Reset/2 {
			b.rig.books.told(id, relay, false)
			c.(*net.TCPConn).SetLinger(0)
			return false
		}
		bears.LoseAnswers = 1
	}
	if bears.Errors > 0 && b.draw() < bears.Errors {
		if b.draw() < 0.5 {
			b.rig.books.ran(b, id, verb, came)
		}
		b.rig.books.told(id, relay, false)
		_, err := io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	// The client's going away is word that nobody waits, which some backends don't heed.
	stop := make(chan struct{})
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		if _, err := in.Peek(1); err != nil && b.rig.world.Tiers[b.tier].CancelStops && !b.bears().IgnoresCancels {
			close(stop)
		}
	}()
	leave := func() { // ends the watch without losing what it may have read: Peek leaves it in the buffer
		c.SetReadDeadline(time.Unix(1, 0))
		<-watched
		c.SetReadDeadline(time.Time{})
	}
	select {
	case b.slots <- struct{}{}:
	default:
		if b.waiting.Add(1) > b.queue {
			b.waiting.Add(-1)
			leave()
			return no()
		}
		b.machine.held(1)
		got := false
		select {
		case b.slots <- struct{}{}:
			got = true
		case <-stop:
		case <-b.dead:
		}
		b.machine.held(-1)
		b.waiting.Add(-1)
		if !got {
			<-watched
			b.rig.books.told(id, relay, false)
			return false
		}
	}
	if time.Now().After(due) && b.rig.world.Tiers[b.tier].RejectsExpired {
		<-b.slots
		leave()
		return no()
	}
	ok, answered := b.work(id, verb, came, due, stop)
	<-b.slots
	if !ok {
		leave()
		b.rig.books.told(id, relay, false)
		return false
	}
	leave()
	b.rig.books.told(id, relay, false)
	if !answered {
		_, err := io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	body := b.rig.books.answer(id)
	if bears.LoseAnswers > 0 && b.draw() < bears.LoseAnswers {
		c.(*net.TCPConn).SetLinger(0)
		return false
	}
	_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// work does a command's parts and the calls between them. ok is false if it was stopped.
func (b *backend) work(id uint64, verb int, came float64, due time.Time, stop chan struct{}) (ok, answered bool) {
	w := &b.rig.world
	seed := b.rig.books.seed(id)
	calls := 0
	if b.own != nil {
		calls = w.Verbs[verb].Calls[b.tier]
	}
	part := emulator.DrawWork(&w.Verbs[verb], seed, b.tier) / float64(calls+1)
	b.working.Add(1)
	defer b.working.Add(-1)
	halt := make(chan struct{})
	go func() {
		select {
		case <-stop:
		case <-b.dead:
		case <-b.rig.over:
		}
		close(halt)
	}()
	for n := range calls + 1 {
		if !b.machine.run(part, halt) {
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
				case <-halt:
					cancel()
				case <-ctx.Done():
				}
			}()
			b.machine.held(1)
			got := b.rig.ask(ctx, b.pool, want{verb: verb, customer: 0, seed: emulator.MixSeeds(seed, uint64(n+1)), limit: left.Seconds(),
				tier: b.tier + 1, instance: b.own.serial})
			b.machine.held(-1)
			cancel()
			if got.result != served {
				return true, false
			}
		}
	}
	b.rig.books.ran(b, id, verb, came)
	return true, true
}

// ranAs is how the judge is told of effects.
func ranAs(v *emulator.Verb) (checker.Effect, checker.Scope) {
	e, s := emulator.EffectAndScope(v)
	return checker.Effect(e), checker.Scope(s)
}

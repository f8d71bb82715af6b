// This file owns the backends' side: the backends by name, the connections to them and the relays under way. One
// connection carries one relay at a time. It must never send a relay again by itself: each ends in one outcome,
// which the Balancer is told.
package proxy

import (
	"encoding/binary"
	"hash/fnv"
	"io"
	"log"
	"net/netip"
	"slices"
	"sort"
	"strconv"

	"sandpass/balance"
	"sandpass/internal/http1"
	"sandpass/internal/loop"
)

const (
	redialPause       = 0.005 // seconds after which a connection is tried again for which the system had no descriptor
	idlePart          = 0.7   // of the idle time in the settings, after which a connection is dropped: well before the backend
	reuseDelaySeconds = 0.01  // seconds after an answer before its connection carries more: what follows on it would pass for the next
	gasp              = 0.5   // seconds in which an answer that has begun gets no further: it is spoilt
)

type backendPool struct {
	byName     map[string]*backend
	byID       map[balance.BackendID]*backend
	conns      map[*backendConn]struct{}
	maxConns   int // connections that may be open
	readyCount int // backends that are ready
}

// target is a backend as the list has it.
type backend struct {
	name      string
	id        balance.BackendID
	addr      netip.AddrPort
	listed    balance.Entry  // what the list says
	state     balance.State  // what counts, with what operators said
	sinceMs   float64        // when its process started, as the list has it
	connCount int            // connections, also those being opened
	idle      []*backendConn // the one used last at the end
}

// idOf gives a backend an id from its name, the same at every proxy, and one of its own where two names collide.
func (s *backendPool) assignID(name string) (id balance.BackendID) {
	h := fnv.New64a()
	h.Write([]byte(name))
	for {
		var sum [8]byte
		binary.BigEndian.PutUint64(sum[:], h.Sum64())
		copy(id[:], sum[2:])
		if s.byID[id] == nil {
			return id
		}
		h.Write([]byte{0})
	}
}

// dropIdle closes its idle connections.
func (t *backend) closeIdle() {
	for len(t.idle) > 0 {
		t.idle[0].close()
	}
}

// link is one connection to a backend.
type backendConn struct {
	p            *Proxy
	backend      *backend
	addr         netip.AddrPort // where it leads, and when the process there started, as the list had it
	sinceMs      float64
	conn         *loop.Conn // nil while the system has no descriptor for it
	msg          http1.Message
	relay        *relay // under way, nil while idle
	connected    bool
	starved      bool    // the system had no descriptor for it at first
	answerBegan  float64 // when an answer began that is not whole, 0 if none
	lastProgress float64 // when the last of it came
	readPaused   bool    // is not read until the client has taken what there is
	idleSince    float64 // when it became idle
	timer        *loop.Timer
}

// command is one that a client is owed an answer for, or whose relays have not all ended.
type command struct {
	id         uint64
	requestID  string      // its Req-Id
	client     *clientConn // nil once it has had its answer or its client is gone
	timeLimit  float64     // seconds that the client waits
	expires    float64
	timer      *loop.Timer
	relays     []*relay
	openRelays int
	done       bool
	streamed   bool         // passed on as it came, or answered so: it can't go anywhere else
	answerConn *backendConn // passes the answer on
}

// relay is one sending of a command.
type relay struct {
	cmd              *command
	index            int
	backend          *backend
	conn             *backendConn // nil once it has ended
	sentAt           float64
	answerStartDelay float64 // until its answer began, where that is passed on as it comes
	ended            bool
}

// rested takes the idle connection that was used last of those that have rested long enough, if there is one. They
// stand in the order in which they came to rest, so only the one to be used is looked at: a look is a system call, and
// a busy backend has as many connections at rest as it answers in that time.
func (p *Proxy) rested(t *backend) *backendConn {
	now := p.loop.Now()
	for {
		i := sort.Search(len(t.idle), func(i int) bool { return now-t.idle[i].idleSince < reuseDelaySeconds }) - 1
		if i < 0 {
			return nil
		}
		l := t.idle[i]
		if p.stale(l) || !l.conn.IsIdle() {
			l.close()
			continue
		}
		t.idle = slices.Delete(t.idle, i, i+1)
		return l
	}
}

// start sends a relay on an idle connection or a new one.
func (p *Proxy) sendRelay(r *relay) {
	t := r.backend
	if l := p.rested(t); l != nil {
		l.relay, r.conn = r, l
		l.send()
		return
	}
	if len(p.backends.conns) >= p.backends.maxConns {
		p.closeOldestIdleConn()
	}
	if len(p.backends.conns) >= p.backends.maxConns {
		p.reportNextTurn(r, balance.NotSent) // no descriptor: never sent, and not the backend's fault
		return
	}
	l := &backendConn{p: p, backend: t, addr: t.addr, sinceMs: t.sinceMs, relay: r}
	r.conn = l
	p.backends.conns[l] = struct{}{}
	t.connCount++
	l.timer = p.loop.After(p.network.ConnectTimeout, l.notUp)
	if err := l.dial(); err != nil {
		l.close()
		p.reportNextTurn(r, balance.ConnectFailed)
	}
}

// dial opens the connection. Where the system has nothing for a socket it is tried again until the time for connecting is up:
// what is idle makes room, and a shortage passes.
func (l *backendConn) dial() (err error) {
	l.conn, err = l.p.loop.Dial(l.addr, l, http1.MaxBufferedResponse)
	if !loop.IsResourceExhausted(err) {
		return err
	}
	if !l.starved {
		l.starved = true
		l.p.onDescriptorShortage()
	}
	l.p.loop.After(redialPause, func() {
		if _, open := l.p.backends.conns[l]; !open {
			return
		}
		if err := l.dial(); err != nil {
			l.closeAndReport(balance.ConnectFailed)
		}
	})
	return nil
}

// notUp ends a relay whose connection took too long. Without a descriptor it is not the backend's fault.
func (l *backendConn) notUp() {
	if l.conn == nil {
		l.closeAndReport(balance.NotSent)
		return
	}
	l.closeAndReport(balance.ConnectFailed)
}

// close is the one place where a connection to a backend is given back.
func (l *backendConn) close() {
	if _, ok := l.p.backends.conns[l]; !ok {
		return
	}
	delete(l.p.backends.conns, l)
	l.backend.connCount--
	defer l.p.backends.removeIfGone(l.backend)
	l.timer.Stop()
	if i := slices.Index(l.backend.idle, l); i >= 0 {
		l.backend.idle = slices.Delete(l.backend.idle, i, i+1)
	}
	if l.conn == nil {
		return
	}
	if l.relay != nil && l.connected && l.conn.HasUnacknowledged() {
		l.conn.ResetOnClose() // or a backend that reads late would begin what was given up
	}
	l.conn.Close()
}

// forget gives up a backend that is gone, once nothing is connected to it.
func (s *backendPool) removeIfGone(t *backend) {
	if t.state == balance.Gone && t.connCount == 0 {
		delete(s.byName, t.name)
		delete(s.byID, t.id)
	}
}

// rest keeps the connection for another relay, if it may carry one.
func (l *backendConn) release(keep bool) {
	if !keep || l.backend.state != balance.Ready || l.stray() || l.conn.HasUnsent() || len(l.conn.Unconsumed()) > 0 {
		l.close()
		return
	}
	l.relay = nil
	l.idleSince = l.p.loop.Now()
	l.backend.idle = append(l.backend.idle, l)
}

// dropIdleLink closes the connection that has been idle longest.
func (p *Proxy) closeOldestIdleConn() {
	var oldest *backendConn
	for _, t := range p.backends.byName {
		if len(t.idle) > 0 && (oldest == nil || t.idle[0].idleSince < oldest.idleSince) {
			oldest = t.idle[0]
		}
	}
	if oldest != nil {
		oldest.close()
	}
}

// stale tells that the backend may soon end the connection: a relay written then would end as a reset.
func (p *Proxy) stale(l *backendConn) bool {
	return p.loop.Now()-l.idleSince > idlePart*p.network.BackendIdleTimeout
}

// sweepLinks drops what has been idle too long.
func (p *Proxy) closeStaleConns() {
	for _, t := range p.backends.byName {
		for len(t.idle) > 0 && p.stale(t.idle[0]) {
			t.idle[0].close()
		}
	}
}

// send writes the relay on its connection.
func (l *backendConn) send() {
	p, c := l.p, l.relay.cmd.client
	in := c.conn.Unconsumed()
	body := c.msg.Body(in)
	h := append(p.scratch[:0], c.msg.Method(in)...)
	h = append(append(append(h, ' '), c.msg.Target(in)...), " HTTP/1.1\r\n"...)
	h = c.msg.AppendFields(h, in, "Req-Deadline")
	h = append(h, "Req-Deadline: "...)
	h = strconv.AppendFloat(h, max(0.001, l.relay.cmd.expires-p.loop.Now()), 'f', 3, 64)
	switch {
	case c.bodyStreaming && c.msg.Chunked():
		h = append(h, "\r\nTransfer-Encoding: chunked"...)
	case c.bodyStreaming:
		h = append(h, "\r\nContent-Length: "...)
		h = strconv.AppendInt(h, int64(c.msg.BodyLength()), 10)
	case len(body) > 0 || string(c.msg.Method(in)) != "GET":
		h = append(h, "\r\nContent-Length: "...)
		h = strconv.AppendInt(h, int64(len(body)), 10)
	}
	p.scratch = append(h, "\r\n\r\n"...)
	if c.bodyStreaming {
		c.streamBodyTo(l, p.scratch)
		return
	}
	l.conn.Write(p.scratch, body)
}

// Up sends what the connection was opened for, unless that may no longer go: the command can have ended where nothing is
// cancelled, the backend can have begun to drain, and the time in which the rules allowed the relay can be over.
func (l *backendConn) OnConnect(*loop.Conn) {
	l.connected = true
	l.timer.Stop()
	r := l.relay
	if c := r.cmd.client; c != nil && c.disconnectPending() {
		if c.OnDisconnect(c.conn, io.EOF); r.ended {
			return // called back
		}
	}
	if r.cmd.done || r.cmd.streamed || l.backend.state != balance.Ready || l.stray() || !l.p.balancer.ConnectionOpened(l.p.loop.Now(), r.cmd.id, r.index) {
		r.conn = nil
		l.release(true)
		l.p.reportOutcome(r, balance.NotSent)
		return
	}
	l.send()
}

// stray tells that the list has put another process in the place of the one that it leads to, or the same elsewhere: who
// answers at an address that was left may be anybody.
func (l *backendConn) stray() bool { return l.addr != l.backend.addr || l.sinceMs != l.backend.sinceMs }

func (l *backendConn) OnFlushed(*loop.Conn) {
	if r := l.relay; r != nil && r.cmd.client != nil && r.cmd.client.bodyLink == l {
		r.cmd.client.resumeBody()
	}
}

func (l *backendConn) OnData(*loop.Conn) {
	if l.relay == nil {
		l.close() // nothing was asked
		return
	}
	if l.relay.cmd.answerConn == l {
		l.streamAnswer()
		return
	}
	whole, err := l.msg.ParseResponse(l.conn.Unconsumed(), false)
	switch {
	case err == nil && whole:
		l.handleAnswer(l.msg.KeepAlive)
	case err == nil && l.shouldStream(l.p.loop.Now()):
		l.startStreaming()
	case err != nil || l.conn.ReadBufferFull():
		l.p.invalidCount++
		l.closeAndReport(l.disconnectResult())
	case l.msg.Started(l.conn.Unconsumed()):
		l.lastProgress = l.p.loop.Now()
		if l.answerBegan == 0 {
			l.answerBegan = l.lastProgress
			l.timer = l.p.loop.After(l.untilLook(gasp), l.stalled)
		}
	}
}

// untilLook is in how many seconds, of those at most, an answer that has begun is looked at: at the latest when one of no stated
// length has to go on.
func (l *backendConn) untilLook(most float64) float64 {
	if last := l.relay.cmd.expires - streamBeforeLimitSeconds - l.p.loop.Now(); last >= 0 {
		return min(most, last+0.001)
	}
	return most
}

// stalled ends a relay whose answer gets no further. One that moves has until its command's time limit.
func (l *backendConn) stalled() {
	now := l.p.loop.Now()
	left := l.lastProgress + gasp - now
	switch {
	case left <= 0:
		l.p.invalidCount++
		l.closeAndReport(l.disconnectResult())
	case now > l.relay.cmd.expires-streamBeforeLimitSeconds && l.shouldStream(now):
		l.startStreaming()
	default:
		l.timer = l.p.loop.After(l.untilLook(left), l.stalled)
	}
}

// Down says that the connection has ended.
func (l *backendConn) OnDisconnect(_ *loop.Conn, err error) {
	switch {
	case l.relay == nil:
		l.close()
	case !l.connected:
		l.closeAndReport(balance.ConnectFailed)
	case l.relay.cmd.answerConn == l:
		if l.msg.BodyLength() < 0 && !l.msg.Chunked() && err == io.EOF {
			l.finishStream(false)
		} else {
			l.abortStream(balance.Reset)
		}
	default:
		if whole, bad := l.msg.ParseResponse(l.conn.Unconsumed(), err == io.EOF); whole && bad == nil {
			l.handleAnswer(false)
			return
		}
		l.closeAndReport(l.disconnectResult())
	}
}

// broken is the outcome of a connection that broke: before the last byte was written it can't have run.
func (l *backendConn) disconnectResult() balance.Result {
	if c := l.relay.cmd.client; l.conn.HasUnsent() || c != nil && c.bodyLink == l {
		return balance.ConnectFailed
	}
	return balance.Reset
}

// breakOffUnwritten ends the attempts that are not written to their end: a backend would begin them for a client that has gone.
// Where nothing may be cancelled that is none: they have not run.
func (cmd *command) cancelUnwritten() {
	for _, r := range cmd.relays {
		if !r.ended && r.conn != nil && r.conn.connected && r.conn.conn.HasUnacknowledged() {
			r.conn.closeAndReport(balance.Cancelled)
		}
	}
}

// ended closes the connection and reports its relay.
func (l *backendConn) closeAndReport(result balance.Result) {
	r := l.relay
	l.close()
	if r != nil && !r.ended {
		l.p.reportOutcome(r, result)
	}
}

// answer takes a whole answer: it goes to the client, the connection back to the others, the outcome to the Balancer.
func (l *backendConn) handleAnswer(keep bool) {
	r := l.relay
	in := l.conn.Unconsumed()
	result := balance.Errored
	if c := r.cmd.client; c != nil && c.bodyLink == l {
		keep = false // the command is not all written
	}
	taken := r.cmd.answerConn != nil // another's answer is under way to the client
	l.timer.Stop()
	l.answerBegan = 0
	switch status := l.msg.Status; status {
	case 429, 408: // about the moment, not the command
	default:
		if status >= 400 && status < 500 {
			// The command is at fault, anywhere: it ends here, and that says nothing of the backend.
			result = balance.NotSent
			if !taken {
				l.p.answerClient(r.cmd, status, 0, nil)
			}
		}
	case 200:
		result = balance.Answered
		if !r.cmd.done && !taken {
			l.p.answeredCount++
			l.p.answerClient(r.cmd, 200, 0, l)
		}
	case 503, 504:
		if string(l.msg.Get(in, "Srv-Declined")) == "1" {
			result = balance.Full
		}
	}
	r.conn = nil
	l.conn.Consume(l.msg.Size())
	l.msg.Reset()
	l.release(keep)
	l.p.reportOutcome(r, result)
}

// report tells the Balancer how a relay ended. It is never called from inside a call of the Balancer's.
func (p *Proxy) reportOutcome(r *relay, result balance.Result) {
	r.ended, r.conn = true, nil
	r.cmd.openRelays--
	now := p.loop.Now()
	nothing := balance.LoadReport{Active: -1, Waiting: -1, CPU: -1, Latency: -1}
	took := now - r.sentAt
	if r.answerStartDelay > 0 {
		took = r.answerStartDelay
	}
	p.balancer.RelayEnded(now, r.cmd.id, r.index, result, took, r.cmd.done, nothing)
	p.removeIfFinished(r.cmd)
}

// later reports on the next turn.
func (p *Proxy) reportNextTurn(r *relay, result balance.Result) {
	r.ended, r.conn = true, nil
	p.loop.Post(func() { p.reportOutcome(r, result) })
}

// timeOut ends what is out of a command at its time limit, and the command if the Balancer has not.
func (p *Proxy) timeOutCommand(cmd *command) {
	for _, r := range cmd.relays {
		if !r.ended {
			r.conn.closeAndReport(balance.TimedOut)
		}
	}
	if !cmd.done {
		log.Printf("msg=unanswered_at_limit command=%d relays=%d out=%d", cmd.id, len(cmd.relays), cmd.openRelays)
		p.terminate(cmd)
	}
}

// terminate ends a command past the Balancer, which is told that nothing is owed any more.
func (p *Proxy) terminate(cmd *command) {
	p.terminatedCount++
	p.answerClient(cmd, 502, 0, nil)
	cmd.done = true
	p.balancer.ClientDisconnected(p.loop.Now(), cmd.id)
	p.removeIfFinished(cmd)
}

// terminateAll ends whatever is still open, but for answers on their way: cut off here they would be this process's fault.
func (p *Proxy) terminateAll() {
	for _, cmd := range p.commands {
		if !cmd.done && cmd.answerConn == nil {
			p.terminate(cmd)
		}
	}
}

// forget gives up a command that is answered and has nothing out.
func (p *Proxy) removeIfFinished(cmd *command) {
	if cmd.done && cmd.openRelays == 0 {
		cmd.timer.Stop()
		delete(p.commands, cmd.id)
		if p.commandsByReqID[cmd.requestID] == cmd {
			delete(p.commandsByReqID, cmd.requestID)
		}
	}
}

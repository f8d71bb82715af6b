// This file owns the clients' side: their connections, the commands read from them and the one answer that each is
// owed. It must never relay anything, nor read a second command of a connection before the first has its answer.
package proxy

import (
	"bytes"
	"container/list"
	"errors"
	"hash/fnv"
	"math"
	"strconv"
	"strings"

	"sandpass/balance"
	"sandpass/internal/http1"
	"sandpass/internal/loop"
)

const (
	opening         = 2.35     // seconds from connecting to a whole first head: it may take 2, and within 3 all must hear or be closed
	slowest         = 2.35     // seconds for any later head, from its first byte
	unread          = 0.3      // seconds more for one of which something waits to be read
	untaken         = 6.0      // seconds in which nothing of an answer is taken
	resting         = 30.0     // seconds that a connection may rest between commands; opening another costs little
	minIdleSeconds  = 2.0      // seconds of rest after which a connection may go though others will soon be due
	patienceUsual   = 0.1      // seconds that a connection has to send or to close, before it makes way where there is no room
	patiencePressed = 0.02     // the same of a silent one while the backlog is not empty for longer than pressedFrom
	pressedFrom     = 0.05     // seconds
	linger          = 1.0      // seconds for the other side to read the last answer and close
	drained         = 64 << 20 // bytes of a body too large that are thrown away meanwhile, so that the answer is not reset
	crowd           = 4        // the clients' part by which connections that will soon be due are many
	looked          = 8        // connections looked at in each state for one to make way
	longestID       = 128      // bytes of a Req-Id
	waitMost        = 86400.0  // seconds: no client waits longer

	retryElsewhere = 0.05 // seconds after which who was rejected may come again: to another proxy, or with a new request
	retryOverload  = 0.5  // and where this one has more than it may hold: some answers' time
)

// state is what goes on on a client's connection. Each state has a list, in the order of entering it.
type connState int

const (
	stateClosing connState = iota // the last answer is written
	stateSilent                   // nothing has come yet
	stateSending                  // a command has begun
	stateIdle                     // between commands
	stateBusy                     // a command is read and not answered, or its answer has not left
	stateCount
)

type clientConns struct {
	byState        [stateCount]list.List
	count          int
	awaitingAnswer int // connections that are owed an answer
	quota, limit   int // of these there may be so many, and open so many
}

// client is one connection of a client.
type clientConn struct {
	p             *Proxy
	conn          *loop.Conn
	msg           http1.Message
	cmd           *command // read and not answered
	state         connState
	place         *list.Element // in the state's list
	since         float64       // when it entered the state; when it connected, until its first command is whole
	invited       bool          // was told to send the body
	used          bool          // has had a whole command
	headAt        float64       // when the head was whole, 0 while it is not
	came          float64       // by when the latest bytes had come
	bodyStreaming bool          // its command is passed on as it comes and is not whole
	bodyLink      *backendConn  // where it goes on to, nil before and after
	passed        bool          // its bytes are consumed
	holds         bool          // is not read until the backend has taken what there is
	lastProgress  float64       // when the last of it came
	answerChunked bool          // its answer is passed on in chunks
	keepAlive     bool          // and the connection stays open after it
	closed        bool          // closed
}

// enter is the one place where a connection's state changes.
func (c *clientConn) enter(s connState) {
	all := &c.p.clients
	if c.place != nil {
		all.byState[c.state].Remove(c.place)
	}
	if c.state = s; s != stateSending || c.used {
		c.since = c.p.loop.Now() // a trickle before the first command renews nothing
	}
	c.place = all.byState[s].PushBack(c)
}

// roomForClient tells whether one more connection may be taken from the backlog.
func (p *Proxy) roomForClient() bool { return p.clients.count < p.clients.limit || p.evictClient() }

// patience is how long a silent connection has to send something before it makes way: little while others wait to be
// accepted, of whom each may have sent a request whose time is running. What has sent one is never closed so.
func (p *Proxy) patience() float64 {
	if p.listener != nil && p.listener.BacklogWait() > pressedFrom {
		return patiencePressed
	}
	return patienceUsual
}

// makeWay closes a connection in favour of one with something to say: one that has had its last answer, one that says
// nothing or is long about it, then the one that has rested longest. Where many of the former will soon be due, only one
// that has rested for a while goes: the usual clients come back to theirs, and those who asked once and stay must not
// leave the few places between them to the silent.
func (p *Proxy) evictClient() bool {
	now, others := p.loop.Now(), 0
	for s := stateClosing; s <= stateIdle; s++ {
		least := patienceUsual
		if s == stateSilent {
			least = p.patience()
		}
		if s < stateIdle {
			others += p.clients.byState[s].Len()
		} else if least = 0; others > p.clients.quota/crowd {
			least = minIdleSeconds
		}
		e := p.clients.byState[s].Front()
		for i := 0; e != nil && i < looked; i, e = i+1, e.Next() {
			c := e.Value.(*clientConn)
			if now-c.since > least && !c.conn.HasUnsent() && (c.conn.IsIdle() || s == stateClosing && c.conn.PeerClosed()) {
				c.close()
				return true
			}
		}
	}
	return false
}

// accept takes a connection. Past the clients' part it takes the place of another where one can go; what is left past
// it stays free of commands, so that there is always room for one more to be declined.
func (p *Proxy) accept(conn *loop.Conn) loop.Handler {
	if p.clients.count >= p.clients.quota {
		p.evictClient()
	}
	c := &clientConn{p: p, conn: conn}
	p.clients.count++
	c.enter(stateSilent)
	return c
}

// idle tells that nothing is under way on the connection, also nothing that waits to be read: closing it then would
// lose a command that counts as taken.
func (c *clientConn) idle() bool { return c.cmd == nil && !c.conn.HasUnsent() && c.conn.IsIdle() }

// close is the one place where a client's connection is given back.
func (c *clientConn) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.p.clients.byState[c.state].Remove(c.place)
	c.p.clients.count--
	c.conn.Close()
}

func (c *clientConn) OnConnect(*loop.Conn) {}

func (c *clientConn) OnFlushed(*loop.Conn) {
	switch {
	case c.state == stateClosing:
		c.conn.CloseWrite()
	case c.cmd != nil && c.cmd.answerConn != nil:
		c.cmd.answerConn.goOn()
	default:
		c.proceed()
	}
}

// leftUnseen tells that the client has gone and the loop, being late, has not come to that: a process that stood still, or
// one with little of its core, finds timers and others' failures due before it has read who left. Nothing more is begun for
// such a client. A loop that is in time is told soon enough.
func (c *clientConn) disconnectPending() bool { return c.p.loop.Lagging() && c.conn.PeerClosed() }

// Down says that the client has gone away.
func (c *clientConn) OnDisconnect(*loop.Conn, error) {
	if c.closed {
		return
	}
	cmd, feed := c.cmd, c.bodyLink
	if cmd != nil {
		c.cmd, c.bodyLink = nil, nil
		c.p.clients.awaitingAnswer--
		cmd.client, cmd.done = nil, true
		c.p.departedCount++
	}
	c.close()
	if cmd != nil {
		c.p.balancer.ClientDisconnected(c.p.loop.Now(), cmd.id)
		if feed != nil {
			feed.closeAndReport(balance.NotSent) // not written to its end, so it never ran, and never will
		}
		cmd.cancelUnwritten()
		c.p.removeIfFinished(cmd)
	}
}

func (c *clientConn) OnData(*loop.Conn) {
	c.came = min(c.conn.ReceivedAt(), c.p.loop.IterationStart()-c.waited())
	switch {
	case c.state == stateClosing:
	case c.bodyLink != nil:
		c.feedOn()
	default:
		c.next()
	}
}

// next reads the command at hand, if it is whole.
func (c *clientConn) next() {
	if !c.msg.HeadComplete() {
		c.conn.Consume(http1.LeadingBlankLines(c.conn.Unconsumed()))
	}
	in := c.conn.Unconsumed()
	if len(in) == 0 {
		return
	}
	if c.state != stateSending {
		c.enter(stateSending)
	}
	whole, err := c.msg.ParseCommand(in)
	if c.headAt == 0 && c.msg.HeadComplete() {
		c.headAt = c.p.loop.Now()
	}
	var f *http1.ProtocolError
	switch {
	case errors.As(err, &f):
		c.rejectInvalid(f.Status, f.Text)
	case whole:
		c.command(in)
	case c.tooLong():
		c.bodyStreaming = true
		c.command(in)
	case c.conn.ReadBufferFull():
		c.p.overLimitCount++
		c.reject("no memory for more commands\n", retryOverload, false)
	case c.msg.HeadComplete() && !c.invited && len(in) == c.msg.HeadSize() &&
		strings.EqualFold(string(c.msg.Get(in, "Expect")), "100-continue"):
		c.invited = true
		c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

// own are the fields that say what a command is: none may come twice, or be meant for this connection alone.
var own = []string{"Req-Id", "Req-Kind", "Req-Owner", "Req-Deadline", "Req-Retry", "Req-Extra", "Idempotency-Key"}

// understand reads what the Balancer needs out of a whole command; a fault says why it is none. Verbs differ in what
// may be repeated, so field, path and method must say the same.
func (c *clientConn) understand(in, path []byte) (verb, customer int, wait float64, f *http1.ProtocolError) {
	p := c.p
	no := func(status int, text string) (int, int, float64, *http1.ProtocolError) {
		return 0, 0, 0, &http1.ProtocolError{Status: status, Text: text}
	}
	for _, name := range own {
		if c.msg.CountFields(in, name) > 1 || c.msg.IsConnectionOption(in, name) {
			return no(400, "a field that says what the command is comes twice or is named in Connection")
		}
	}
	kind, _, _ := bytes.Cut(path[1:], []byte("/"))
	verb, known := p.verbIndex[string(kind)]
	if said := c.msg.Get(in, "Req-Kind"); !known || said != nil && !bytes.Equal(said, kind) {
		return no(404, "the verb is unknown, or not the same in path and Req-Kind")
	}
	v := &p.names.Verbs[verb]
	if get := string(c.msg.Method(in)) == "GET"; get != v.Pure || get && (c.bodyStreaming || len(c.msg.Body(in)) > 0) {
		return no(400, "a GET without a body is for verbs that may be repeated, a POST for the others")
	}
	id := c.msg.Get(in, "Req-Id")
	if len(id) == 0 || len(id) > longestID {
		return no(400, "a Req-Id is needed")
	}
	if p.commandsByReqID[string(id)] != nil {
		return no(409, "a command with this Req-Id is open")
	}
	if v.Receipted && len(c.msg.Get(in, "Idempotency-Key")) == 0 {
		return no(400, "this verb needs an Idempotency-Key")
	}
	wait = v.TimeLimit
	if text := c.msg.Get(in, "Req-Deadline"); text != nil {
		w, err := strconv.ParseFloat(string(text), 64)
		if err != nil || len(bytes.Trim(text, "0123456789.")) > 0 || w > waitMost {
			return no(400, "malformed Req-Deadline")
		}
		wait = min(w, wait)
	}
	customer, known = p.customerIndex[string(c.msg.Get(in, "Req-Owner"))]
	if !known {
		customer = len(p.names.Customers)
	}
	return verb, customer, wait, nil
}

// command hands a whole command to the Balancer, or answers at once what is not one.
func (c *clientConn) command(in []byte) {
	p := c.p
	path, _, _ := bytes.Cut(c.msg.Target(in), []byte("?"))
	method := string(c.msg.Method(in))
	switch {
	case len(path) == 0 || path[0] != '/':
		c.rejectInvalid(400, "the target is no path")
		return
	case method != "GET" && method != "POST":
		c.rejectInvalid(405, "the method is not used here")
		return
	case string(path) == "/-/ready" && p.ready():
		c.reply(200, "ready\n", c.msg.KeepAlive)
		return
	case string(path) == "/-/ready":
		c.reply(503, "not ready\n", c.msg.KeepAlive)
		return
	}
	verb, customer, wait, f := c.understand(in, path)
	if f != nil {
		c.rejectInvalid(f.Status, f.Text)
		return
	}
	p.receivedCount++
	if p.shutdown.rejecting {
		c.turnAway("this proxy has ended\n")
		return
	}
	if p.awaitsDiscovery() { // who asks already found this process under the address of the one before it
		p.declinedCount++
		c.reject("the list is not known yet\n", p.discoveryDeadline-p.loop.Now(), c.msg.KeepAlive)
		return
	}
	if p.clients.awaitingAnswer >= p.clients.quota || len(p.commands) >= p.network.MaxOpenRequests {
		p.overLimitCount++
		c.reject("too many commands\n", retryOverload, false)
		return
	}
	expires := c.came + wait
	if expires <= p.loop.Now() && wait > 0 {
		p.declinedCount++
		c.reject("its time was up before it was read\n", retryElsewhere, c.msg.KeepAlive)
		return
	}
	c.conn.Pause() // the command stays where it is until it has its answer
	p.lastID++
	cmd := &command{id: p.lastID, requestID: string(c.msg.Get(in, "Req-Id")), client: c, timeLimit: wait, expires: expires}
	c.cmd, c.used = cmd, true
	c.enter(stateBusy)
	p.commandsByReqID[cmd.requestID] = cmd
	p.clients.awaitingAnswer++
	p.commands[cmd.id] = cmd
	cmd.timer = p.loop.After(cmd.expires-p.loop.Now(), func() { p.timeOutCommand(cmd) })
	p.balancer.CommandReceived(p.loop.Now(), cmd.id, verb, customer, cmd.expires, keyOf(c.msg.Get(in, "Req-Extra")))
}

// keyOf is a number for what a command is about, the same at every proxy, 0 if nothing is said.
func keyOf(extra []byte) uint64 {
	for part := range bytes.SplitSeq(extra, []byte(",")) {
		name, value, _ := bytes.Cut(bytes.TrimSpace(part), []byte("="))
		if string(name) == "resource" && len(value) > 0 {
			h := fnv.New64a()
			h.Write(value)
			return max(1, h.Sum64())
		}
	}
	return 0
}

var phrases = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict", 413: "Content Too Large", 431: "Request Header Fields Too Large",
	501: "Not Implemented", 502: "Bad Gateway", 503: "Service Unavailable", 505: "HTTP Version Not Supported"}

// head begins an answer in the scratch space.
func (p *Proxy) responseHead(status, length int, keep bool) []byte {
	return p.headOf(status, length, false, keep)
}

// headOf is the same for an answer whose length may not be known, -1, and which then goes in chunks or ends by a close.
func (p *Proxy) headOf(status, length int, chunked, keep bool) []byte {
	h := append(p.scratch[:0], "HTTP/1.1 "...)
	h = strconv.AppendInt(h, int64(status), 10)
	h = append(append(h, ' '), phrases[status]...)
	if length >= 0 {
		h = append(h, "\r\nContent-Length: "...)
		h = strconv.AppendInt(h, int64(length), 10)
	} else if chunked {
		h = append(h, "\r\nTransfer-Encoding: chunked"...)
	}
	if !keep {
		h = append(h, "\r\nConnection: close"...)
	}
	return append(h, "\r\n"...)
}

// reply answers what the Balancer has not seen.
func (c *clientConn) reply(status int, text string, keep bool) { c.replyWith(status, text, 0, keep) }

// replyWith is the same with when to retry, in seconds, where that is above 0.
func (c *clientConn) replyWith(status int, text string, retryAfter float64, keep bool) {
	keep = keep && !c.p.closes() && !c.bodyStreaming
	h := appendRetryAfter(c.p.responseHead(status, len(text), keep), retryAfter)
	h = append(append(h, "\r\n"...), text...)
	c.p.scratch = h
	c.conn.Write(h)
	c.finishAnswer(keep)
}

// turnAway declines what has not been relayed, so that it is harmless to repeat, and closes.
func (c *clientConn) turnAway(text string) {
	c.p.declinedCount++
	c.reject(text, retryElsewhere, false)
}

// reject declines a request that has gone nowhere, so that it is harmless to repeat after so many seconds.
func (c *clientConn) reject(text string, after float64, keep bool) {
	c.replyWith(503, text, min(max(after, retryElsewhere), c.p.network.MaxRetryAfter), keep)
}

// bad answers what can't be understood and closes.
func (c *clientConn) rejectInvalid(status int, text string) {
	c.p.invalidCount++
	c.reply(status, text+"\n", false)
}

// answered ends a command on its connection: the next one is read on the next turn, or the connection is closed.
func (c *clientConn) finishAnswer(keep bool) {
	if c.cmd != nil {
		c.p.clients.awaitingAnswer--
	}
	c.cmd, c.bodyLink = nil, nil
	if keep {
		c.enter(stateBusy)
		if !c.passed {
			c.conn.Consume(c.msg.Size())
		}
		c.msg.Reset()
		c.invited, c.headAt, c.bodyStreaming, c.passed = false, 0, false, false
		c.p.loop.Post(c.proceed)
		return
	}
	c.enter(stateClosing)
	c.p.loop.Post(func() {
		if c.closed {
			return
		}
		if !c.conn.HasUnsent() {
			c.conn.CloseWrite()
		}
		c.conn.Discard(drained)
	})
	c.lingerOn()
}

// proceed goes on to the next command once the answer to the last has left: a client that sends and does not read
// must not have its answers pile up here.
func (c *clientConn) proceed() {
	if c.closed || c.state != stateBusy || c.cmd != nil || c.conn.HasUnsent() {
		return
	}
	if c.used {
		c.enter(stateIdle)
	} else {
		c.enter(stateSilent) // whoever only asks whether this proxy is ready is no usual client
	}
	c.conn.Resume()
	if len(c.conn.Unconsumed()) > 0 {
		c.next()
	}
}

// lingerOn closes the connection once the answer has left and the other side had time to read it: closing with bytes
// unread would reset the connection under the answer.
func (c *clientConn) lingerOn() {
	c.p.loop.After(linger, func() {
		if !c.closed && c.conn.HasUnsent() && c.p.loop.Now()-max(c.since, c.conn.LastSentAt()) < untaken {
			c.lingerOn()
			return
		}
		c.close()
	})
}

// appendRetryAfter adds when to retry to a head, where that is said.
func appendRetryAfter(h []byte, seconds float64) []byte {
	if seconds <= 0 {
		return h
	}
	h = append(h, "Retry-After: "...)
	return append(strconv.AppendFloat(h, seconds, 'f', 3, 64), "\r\n"...)
}

// give passes a backend's answer on, or the Balancer's own when from is nil.
func (p *Proxy) answerClient(cmd *command, status int, comeBack float64, from *backendConn) {
	c := cmd.client
	if c == nil || cmd.done {
		return
	}
	if cmd.answerConn != nil {
		p.abortAnswer(cmd)
		return
	}
	cmd.done, cmd.client = true, nil
	p.snapshot.countEnded(from != nil)
	keep := c.msg.KeepAlive && !p.closes() && !c.bodyStreaming
	var body []byte
	if from != nil {
		in := from.conn.Unconsumed()
		body = from.msg.Body(in)
		p.scratch = from.msg.AppendFields(p.responseHead(status, len(body), keep), in)
	} else {
		p.scratch = appendRetryAfter(p.responseHead(status, 0, keep), comeBack)
	}
	p.scratch = append(p.scratch, "\r\n"...)
	c.conn.Write(p.scratch, body)
	c.finishAnswer(keep)
}

// sweepClients ends connections that have stood too long in one state; a command out is timed on its own. One of which
// something waits to be read gets a little longer: it may be a whole command.
func (p *Proxy) sweepClients(now float64) {
	for s, most := range [stateCount]float64{stateClosing: math.Inf(1), stateSilent: opening, stateSending: slowest, stateIdle: resting,
		stateBusy: untaken} {
		for e := p.clients.byState[s].Front(); e != nil; {
			c := e.Value.(*clientConn)
			e = e.Next()
			if c.cmd != nil || now < c.until(most) || connState(s) != stateBusy && now < c.until(most)+unread && !c.conn.IsIdle() {
				continue
			}
			if connState(s) == stateSending {
				c.rejectInvalid(408, "the command did not come in time")
			} else {
				c.close()
			}
		}
	}
}

// until is when the connection has stood too long in a state in which it may stand so many seconds. What moves may go on: a
// body at its least rate, an answer as long as some of it is taken.
func (c *clientConn) until(most float64) float64 {
	switch {
	case c.state == stateBusy:
		return max(c.since, c.conn.LastSentAt()) + most
	case c.state == stateSending && c.headAt > 0:
		rate := max(c.since+most, c.headAt+bodyGrace+float64(len(c.conn.Unconsumed()))/leastRate)
		return min(rate, max(c.since, c.came)+most)
	}
	return c.since + most
}

// each calls f for every connection; f may close it.
func (s *clientConns) each(f func(*clientConn)) {
	for i := range s.byState {
		for e := s.byState[i].Front(); e != nil; {
			c := e.Value.(*clientConn)
			e = e.Next()
			f(c)
		}
	}
}

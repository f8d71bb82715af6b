// This file handles client connections: reading commands and writing exactly one answer to each. It relays nothing itself, and
// reads a connection's next command only after the previous one is answered.

package proxy

import (
	"bytes"
	"container/list"
	"errors"
	"hash/fnv"
	"math"
	"strconv"
	"strings"

	"sandpass/internal/http1"
	"sandpass/internal/loop"
)

const (
	firstHeadTimeoutSeconds   = 2.35     // from connecting; a client may take 2 s, and must be answered or closed within 3 s
	headTimeoutSeconds        = 2.35     // for later heads, from the first byte
	unreadGraceSeconds        = 0.3      // extension if the connection has unread data
	writeStallSeconds         = 6.0      // without progress in writing an answer
	idleTimeoutSeconds        = 30.0     // between commands; a new connection is cheap
	minIdleSeconds            = 2.0      // before an idle connection may be evicted while many others will soon time out
	silentGraceSeconds        = 0.1      // in which a connection must send or close, before it may be evicted
	pressedSilentGraceSeconds = 0.02     // the same for a silent connection while the listener is under pressure
	backlogPressureSeconds    = 0.05     // the listener is under pressure once its backlog has been non-empty this long
	lingerSeconds             = 1.0      // for the client to read the last answer and close
	maxDiscardBytes           = 64 << 20 // discarded of an oversized body: unread data at the close would reset the answer
	crowdDivisor              = 4        // more than quota/crowdDivisor connections that will soon time out are many
	maxEvictionChecks         = 8        // connections examined per state
	maxReqIDBytes             = 128
	maxDeadlineSeconds        = 86400.0 // largest accepted Req-Deadline

	retrySoonSeconds     = 0.05 // Retry-After for a retry at another proxy or with a new request
	retryOverloadSeconds = 0.5  // Retry-After over a limit: the time of several answers
)

// connState is the state of a client connection. Connections are listed per state, in the order in which they entered it.
type connState int

const (
	stateClosing connState = iota // the last answer has been written
	stateSilent                   // no data of a command has arrived yet
	stateSending                  // part of a command has arrived
	stateIdle                     // between two commands
	stateBusy                     // a command is unanswered, or its answer is not fully sent
	stateCount
)

// clientConns holds all client connections.
type clientConns struct {
	byState        [stateCount]list.List
	count          int
	awaitingAnswer int // connections with an unanswered command
	quota, limit   int // maximum of awaitingAnswer and of count, respectively
}

// clientConn is a connection from a client.
type clientConn struct {
	p              *Proxy
	conn           *loop.Conn
	msg            http1.Message
	cmd            *command // the unanswered command, or nil
	state          connState
	element        *list.Element // in the list of its state
	stateSince     float64       // when the state was entered; until the first command is complete, when it connected
	sentContinue   bool          // 100 Continue was sent
	hadCommand     bool          // at least one command was accepted
	headCompleteAt float64       // when the head was complete; 0 before
	receivedAt     float64       // when the latest bytes had arrived at the latest
	bodyStreaming  bool          // the body is streamed to the backend and not complete
	bodyConn       *backendConn  // backend connection that the body is streamed to, or nil
	consumed       bool          // the command's bytes were consumed from the read buffer
	readPaused     bool          // until the backend has taken the pending data
	lastProgress   float64       // when body data last arrived
	answerChunked  bool          // the streamed answer uses chunked encoding
	keepAlive      bool          // the connection stays open after the streamed answer
	closed         bool
}

// setState is the only function that changes a connection's state.
func (c *clientConn) setState(s connState) {
	all := &c.p.clients
	if c.element != nil {
		all.byState[c.state].Remove(c.element)
	}
	if c.state = s; s != stateSending || c.hadCommand {
		c.stateSince = c.p.loop.Now() // data before the first complete command does not extend its time limit
	}
	c.element = all.byState[s].PushBack(c)
}

// canAcceptClient reports whether one more connection may be accepted. It evicts another if necessary.
func (p *Proxy) canAcceptClient() bool { return p.clients.count < p.clients.limit || p.evictClient() }

// silentGrace returns the seconds in which a silent connection must send something before it may be evicted. It is short while
// connections wait to be accepted, because each may have sent a request whose time limit is running. A connection with
// unread data is never evicted.
func (p *Proxy) silentGrace() float64 {
	if p.listener != nil && p.listener.BacklogWait() > backlogPressureSeconds {
		return pressedSilentGraceSeconds
	}
	return silentGraceSeconds
}

// evictClient closes one connection to make room for another and reports whether it did. It tries connections that have
// had their last answer, then silent and slow ones, then the one that has been idle longest. While many closing, silent or
// slow connections will soon be closed anyway, an idle one is evicted only after minIdleSeconds, since regular clients reuse
// theirs. It is evicted then, because idle clients that sent one command and stay must not leave only a few places for others.
func (p *Proxy) evictClient() bool {
	now, evictable := p.loop.Now(), 0
	for s := stateClosing; s <= stateIdle; s++ {
		minAge := silentGraceSeconds
		if s == stateSilent {
			minAge = p.silentGrace()
		}
		if s < stateIdle {
			evictable += p.clients.byState[s].Len()
		} else if minAge = 0; evictable > p.clients.quota/crowdDivisor {
			minAge = minIdleSeconds
		}
		e := p.clients.byState[s].Front()
		for i := 0; e != nil && i < maxEvictionChecks; i, e = i+1, e.Next() {
			c := e.Value.(*clientConn)
			if now-c.stateSince > minAge && !c.conn.HasUnsent() && (c.conn.IsIdle() || s == stateClosing && c.conn.PeerClosed()) {
				c.close(closedEvicted)
				return true
			}
		}
	}
	return false
}

// acceptClient accepts a connection. Past the quota it evicts another if one can be closed. No command past the quota is
// accepted, so that there is always room to decline one more.
func (p *Proxy) acceptClient(conn *loop.Conn) loop.Handler {
	if p.clients.count >= p.clients.quota {
		p.evictClient()
	}
	c := &clientConn{p: p, conn: conn}
	p.clients.count++
	c.setState(stateSilent)
	return c
}

// isIdle reports whether the connection has no open command, no unsent data and no unread data. A command in unread data
// counts as accepted, and closing the connection would lose it.
func (c *clientConn) isIdle() bool { return c.cmd == nil && !c.conn.HasUnsent() && c.conn.IsIdle() }

// close is the only function that closes a client connection and removes it from the lists.
func (c *clientConn) close(reason closeReason) {
	if c.closed {
		return
	}
	c.closed = true
	c.p.countClosed(c, reason)
	c.p.clients.byState[c.state].Remove(c.element)
	c.p.clients.count--
	c.conn.Close()
}

// OnConnect does nothing: accepted connections are already established.
func (c *clientConn) OnConnect(*loop.Conn) {}

// OnFlushed continues after all pending output was sent: it closes, resumes the streamed answer or reads the next command.
func (c *clientConn) OnFlushed(*loop.Conn) {
	switch {
	case c.state == stateClosing:
		c.conn.CloseWrite()
	case c.cmd != nil && c.cmd.answerConn != nil:
		c.cmd.answerConn.resumeAnswer()
	default:
		c.resumeReading()
	}
}

// disconnectPending reports whether the client has disconnected and the loop, running late, has not processed that yet. After a
// stall of the process, or with little CPU time, timers and other failures are due before disconnections have been read.
// Nothing new is started for such a client. A loop that is on time learns of the disconnection soon enough.
func (c *clientConn) disconnectPending() bool { return c.p.loop.Lagging() && c.conn.PeerClosed() }

// OnDisconnect handles the disconnection of the client: its command, if any, is given up.
func (c *clientConn) OnDisconnect(*loop.Conn, error) {
	if c.closed {
		return
	}
	cmd := c.cmd
	if cmd != nil {
		c.cmd = nil
		c.p.clients.awaitingAnswer--
		cmd.end()
		c.p.departedCount++
	}
	c.close(closedByClient)
	if cmd != nil {
		c.p.balancer.ClientDisconnected(c.p.loop.Now(), cmd.id)
		cmd.cancelUnwritten()
		c.p.removeIfFinished(cmd)
	}
}

// OnData handles newly arrived data.
func (c *clientConn) OnData(*loop.Conn) {
	c.receivedAt = min(c.conn.ReceivedAt(), c.p.loop.IterationStart()-c.queuedSeconds())
	switch {
	case c.state == stateClosing:
	case c.bodyConn != nil:
		if c.forwardBody(); c.bodyConn != nil && !c.readPaused && c.conn.ReadBufferFull() {
			c.failBody(400, "a chunk's line is too long")
		}
	case c.state == stateBusy: // resumeReading handles it
	default:
		c.readCommand()
	}
}

// readCommand parses the buffered data and handles the command once it is complete or must be streamed.
func (c *clientConn) readCommand() {
	if !c.msg.HeadComplete() {
		c.conn.Consume(http1.LeadingBlankLines(c.conn.Unconsumed()))
	}
	in := c.conn.Unconsumed()
	if len(in) == 0 {
		return
	}
	if c.state != stateSending {
		c.setState(stateSending)
	}
	complete, err := c.msg.ParseCommand(in)
	if c.headCompleteAt == 0 && c.msg.HeadComplete() {
		c.headCompleteAt = c.p.loop.Now()
	}
	var protocolErr *http1.ProtocolError
	switch {
	case errors.As(err, &protocolErr):
		c.rejectInvalid(protocolErr.Status, protocolErr.Text)
	case complete:
		c.handleCommand(in)
	case c.shouldStreamBody():
		c.bodyStreaming = true
		c.handleCommand(in)
	case c.conn.ReadBufferFull():
		c.p.overLimitCount++
		c.reject("no memory for more commands\n", retryOverloadSeconds, false)
	case c.msg.HeadComplete() && !c.sentContinue && len(in) == c.msg.HeadSize() &&
		strings.EqualFold(string(c.msg.Get(in, "Expect")), "100-continue"):
		c.sentContinue = true
		c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

// commandHeaders describe the command itself: each may occur only once and must not be named in Connection.
var commandHeaders = []string{"Req-Id", "Req-Kind", "Req-Owner", "Req-Deadline", "Req-Retry", "Req-Extra", "Idempotency-Key"}

// parseCommand extracts what the Balancer needs from a command, or returns an error if it is invalid. Verbs differ in
// whether they may be repeated, so header, path and method must agree.
func (c *clientConn) parseCommand(in, path []byte) (verb, customer int, timeLimit float64, protocolErr *http1.ProtocolError) {
	p := c.p
	invalid := func(status int, text string) (int, int, float64, *http1.ProtocolError) {
		return 0, 0, 0, &http1.ProtocolError{Status: status, Text: text}
	}
	options := c.msg.ConnectionOptions(in)
	for _, name := range commandHeaders {
		if c.msg.CountFields(in, name) > 1 || options.Contains(name) {
			return invalid(400, "a field that says what the command is comes twice or is named in Connection")
		}
	}
	kind, _, _ := bytes.Cut(path[1:], []byte("/"))
	verb, known := p.verbIndex[string(kind)]
	if kindField := c.msg.Get(in, "Req-Kind"); !known || kindField != nil && !bytes.Equal(kindField, kind) {
		return invalid(404, "the verb is unknown, or not the same in path and Req-Kind")
	}
	v := &p.names.Verbs[verb]
	if get := string(c.msg.Method(in)) == "GET"; get != v.Pure || get && (c.bodyStreaming || len(c.msg.Body(in)) > 0) {
		return invalid(400, "a GET without a body is for verbs that may be repeated, a POST for the others")
	}
	id := c.msg.Get(in, "Req-Id")
	if len(id) == 0 || len(id) > maxReqIDBytes {
		return invalid(400, "a Req-Id is needed")
	}
	if key := keyOf(string(id)); p.openRequests[key] != nil || !v.Pure && p.knowsRequest(key) {
		p.events.idConflicts++
		return invalid(idConflictStatus, idConflictText)
	}
	if v.Receipted && len(c.msg.Get(in, "Idempotency-Key")) == 0 {
		return invalid(400, "this verb needs an Idempotency-Key")
	}
	timeLimit = v.TimeLimit
	if text := c.msg.Get(in, "Req-Deadline"); text != nil {
		seconds, err := strconv.ParseFloat(string(text), 64)
		if err != nil || len(bytes.Trim(text, "0123456789.")) > 0 || seconds > maxDeadlineSeconds {
			return invalid(400, "malformed Req-Deadline")
		}
		timeLimit = min(seconds, timeLimit)
	}
	customer, known = p.customerIndex[string(c.msg.Get(in, "Req-Owner"))]
	if !known {
		customer = len(p.names.Customers)
	}
	return verb, customer, timeLimit, nil
}

// handleCommand passes a command to the Balancer, or answers at once if it is invalid or can't be accepted.
func (c *clientConn) handleCommand(in []byte) {
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
	verb, customer, timeLimit, protocolErr := c.parseCommand(in, path)
	if protocolErr != nil {
		c.rejectInvalid(protocolErr.Status, protocolErr.Text)
		return
	}
	p.receivedCount++
	if p.shutdown.rejecting {
		c.declineAndClose("this proxy has ended\n")
		return
	}
	if p.discoveryPending() { // the client reached this process at the address of its predecessor
		p.declinedCount++
		c.reject("the list is not known yet\n", p.discoveryDeadline-p.loop.Now(), c.msg.KeepAlive)
		return
	}
	if p.clients.awaitingAnswer >= p.clients.quota || len(p.commands) >= p.network.MaxOpenRequests {
		p.overLimitCount++
		c.reject("too many commands\n", retryOverloadSeconds, false)
		return
	}
	if c.conn.EndMayBeHidden() {
		p.overLimitCount++
		p.events.sentAhead++
		c.reject("too much was sent ahead\n", retryOverloadSeconds, c.msg.KeepAlive)
		return
	}
	expires := c.commandReceivedAt() + timeLimit
	if expires <= p.loop.Now() && timeLimit > 0 {
		p.declinedCount++
		c.reject("its time was up before it was read\n", retrySoonSeconds, c.msg.KeepAlive)
		return
	}
	if c.bodyStreaming {
		c.conn.Pause()
	} else {
		c.conn.PauseReadingAhead() // the command stays in the read buffer until it is answered
	}
	p.lastCommandID++
	requestID := string(c.msg.Get(in, "Req-Id"))
	cmd := &command{id: p.lastCommandID, requestID: requestID, key: keyOf(requestID), client: c,
		repeatable: p.names.Verbs[verb].Pure, grouped: p.names.Verbs[verb].Grouped, timeLimit: timeLimit, deadline: expires}
	c.cmd, c.hadCommand = cmd, true
	c.setState(stateBusy)
	p.openRequests[cmd.key] = cmd
	p.clients.awaitingAnswer++
	p.commands[cmd.id] = cmd
	cmd.timer = p.loop.After(cmd.deadline-p.loop.Now(), func() { p.timeOutCommand(cmd) })
	resource := resourceKey(c.msg.Get(in, "Req-Extra"))
	start := func() { p.balancer.CommandReceived(p.loop.Now(), cmd.id, verb, customer, cmd.deadline, resource) }
	other := p.claimTarget()
	if cmd.repeatable || other == nil {
		start()
		return
	}
	p.claim(other, cmd, func(result claimResult) {
		switch {
		case cmd.done: // its client has gone, or its time is over
		case result != claimGranted:
			p.refuseClaimed(cmd, result)
		default:
			start()
		}
	})
}

// commandReceivedAt returns the time by which the command had arrived.
func (c *clientConn) commandReceivedAt() float64 {
	if at, ahead := c.conn.ReadAheadSince(c.msg.Size()); ahead {
		return at
	}
	return c.receivedAt
}

// resourceKey returns a hash of the resource that a command names, the same at every proxy, or 0 if it names none.
func resourceKey(extra []byte) uint64 {
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

// reasonPhrases maps each status that the proxy sends to its HTTP reason phrase.
var reasonPhrases = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict", 413: "Content Too Large", 431: "Request Header Fields Too Large",
	501: "Not Implemented", 502: "Bad Gateway", 503: "Service Unavailable", 505: "HTTP Version Not Supported"}

// responseHead writes the start of a response head into the scratch buffer. The caller adds fields and the empty line.
func (p *Proxy) responseHead(status, length int, keep bool) []byte {
	return p.responseHeadFramed(status, length, false, keep)
}

// responseHeadFramed is like responseHead for a body whose length may be unknown (-1). Such a body is chunked or ends with
// the connection.
func (p *Proxy) responseHeadFramed(status, length int, chunked, keep bool) []byte {
	h := append(p.scratch[:0], "HTTP/1.1 "...)
	h = strconv.AppendInt(h, int64(status), 10)
	h = append(append(h, ' '), reasonPhrases[status]...)
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

// reply answers a request that was not passed to the Balancer.
func (c *clientConn) reply(status int, text string, keep bool) { c.replyWith(status, text, 0, keep) }

// replyWith is like reply with a Retry-After in seconds, if that is above 0.
func (c *clientConn) replyWith(status int, text string, retryAfter float64, keep bool) {
	keep = keep && !c.p.closesAfterAnswer() && !c.bodyStreaming
	h := appendRetryAfter(c.p.responseHead(status, len(text), keep), retryAfter)
	h = append(append(h, "\r\n"...), text...)
	c.p.scratch = h
	c.conn.Write(h)
	c.finishAnswer(keep)
}

// declineAndClose declines a command that was not relayed, so a retry is harmless, and closes the connection.
func (c *clientConn) declineAndClose(text string) {
	c.p.declinedCount++
	c.reject(text, retrySoonSeconds, false)
}

// reject declines a request that was not relayed, so a retry is harmless. retryAfter is in seconds.
func (c *clientConn) reject(text string, retryAfter float64, keep bool) {
	c.replyWith(503, text, min(max(retryAfter, retrySoonSeconds), c.p.network.MaxRetryAfter), keep)
}

// rejectInvalid answers an invalid request and closes the connection.
func (c *clientConn) rejectInvalid(status int, text string) {
	c.p.invalidCount++
	c.reply(status, text+"\n", false)
}

// finishAnswer ends the current command after its answer was written. The next command is read in the next iteration, or
// the connection is closed.
func (c *clientConn) finishAnswer(keep bool) {
	hadOpenCommand := c.cmd != nil
	if hadOpenCommand {
		c.p.clients.awaitingAnswer--
	}
	c.cmd = nil
	if keep {
		if !hadOpenCommand { // otherwise it is paused
			c.conn.Pause()
		}
		c.setState(stateBusy)
		if !c.consumed {
			c.conn.Consume(c.msg.Size())
		}
		c.msg.Reset()
		c.sentContinue, c.headCompleteAt, c.bodyStreaming, c.consumed = false, 0, false, false
		c.p.loop.Post(c.resumeReading)
		return
	}
	c.setState(stateClosing)
	c.p.loop.Post(func() {
		if c.closed {
			return
		}
		if !c.conn.HasUnsent() {
			c.conn.CloseWrite()
		}
		c.conn.Discard(maxDiscardBytes)
	})
	c.closeAfterLinger()
}

// resumeReading reads the next command once the previous answer is sent, so that the answers for a client that sends without
// reading do not accumulate.
func (c *clientConn) resumeReading() {
	if c.closed || c.state != stateBusy || c.cmd != nil || c.conn.HasUnsent() {
		return
	}
	if c.hadCommand {
		c.setState(stateIdle)
	} else {
		c.setState(stateSilent) // a client that only checks readiness is evicted like a silent one
	}
	c.conn.Resume()
	if len(c.conn.Unconsumed()) > 0 {
		c.readCommand()
	}
}

// closeAfterLinger closes the connection once the answer is sent and the client has had time to read it. Closing with unread
// data would reset the connection before the client has read the answer.
func (c *clientConn) closeAfterLinger() {
	c.p.loop.After(lingerSeconds, func() {
		if !c.closed && c.conn.HasUnsent() && c.p.loop.Now()-max(c.stateSince, c.conn.LastSentAt()) < writeStallSeconds {
			c.closeAfterLinger()
			return
		}
		c.close(closedAfterAnswer)
	})
}

// appendRetryAfter adds a Retry-After field to a head if seconds is above 0.
func appendRetryAfter(h []byte, seconds float64) []byte {
	if seconds <= 0 {
		return h
	}
	h = append(h, "Retry-After: "...)
	return append(strconv.AppendFloat(h, seconds, 'f', 3, 64), "\r\n"...)
}

// answerClient answers a command with the response read from a backend, or without a body if source is nil.
func (p *Proxy) answerClient(cmd *command, status int, retryAfter float64, source *backendConn) {
	c := cmd.client
	if c == nil || cmd.done {
		return
	}
	if cmd.answerConn != nil {
		p.abortAnswer(cmd)
		return
	}
	cmd.end()
	p.snapshot.countEnded(source != nil)
	keep := c.msg.KeepAlive && !p.closesAfterAnswer() && !c.bodyStreaming
	var body []byte
	if source != nil {
		in := source.conn.Unconsumed()
		body = source.msg.Body(in)
		p.scratch = source.msg.AppendFields(p.responseHead(status, len(body), keep), in)
	} else {
		p.scratch = appendRetryAfter(p.responseHead(status, 0, keep), retryAfter)
	}
	p.scratch = append(p.scratch, "\r\n"...)
	c.conn.Write(p.scratch, body)
	c.finishAnswer(keep)
}

// sweepClients closes connections that have been in one state for too long. An open command has its own timer. A connection
// with unread data gets slightly longer, since that may complete a command.
func (p *Proxy) sweepClients(now float64) {
	for s, maxSeconds := range [stateCount]float64{stateClosing: math.Inf(1), stateSilent: firstHeadTimeoutSeconds,
		stateSending: headTimeoutSeconds, stateIdle: idleTimeoutSeconds, stateBusy: writeStallSeconds} {
		for e := p.clients.byState[s].Front(); e != nil; {
			c := e.Value.(*clientConn)
			e = e.Next()
			if c.cmd != nil || now < c.stateDeadline(maxSeconds) ||
				connState(s) != stateBusy && now < c.stateDeadline(maxSeconds)+unreadGraceSeconds && !c.conn.IsIdle() {
				continue
			}
			if connState(s) == stateSending {
				c.rejectInvalid(408, "the command did not come in time")
			} else {
				c.close(closedOverdue)
			}
		}
	}
}

// stateDeadline returns when the connection has been in its state for too long, given the state's limit in seconds. A body that
// arrives at the minimum rate and an answer of which some was taken extend it.
func (c *clientConn) stateDeadline(maxSeconds float64) float64 {
	switch {
	case c.state == stateBusy:
		return max(c.stateSince, c.conn.LastSentAt()) + maxSeconds
	case c.state == stateSending && c.headCompleteAt > 0:
		byRate := max(c.stateSince+maxSeconds, c.headCompleteAt+bodyGraceSeconds+
			float64(len(c.conn.Unconsumed()))/minBodyBytesPerSecond)
		return min(byRate, max(c.stateSince, c.receivedAt)+maxSeconds)
	}
	return c.stateSince + maxSeconds
}

// forEach calls f for every connection. f may close that connection.
func (s *clientConns) forEach(f func(*clientConn)) {
	for i := range s.byState {
		for e := s.byState[i].Front(); e != nil; {
			c := e.Value.(*clientConn)
			e = e.Next()
			f(c)
		}
	}
}

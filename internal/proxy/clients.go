// This file handles client connections: their states, and reading commands from them. A connection's next command is read only after
// the previous one is answered.

package proxy

import (
	"container/list"
	"errors"
	"strings"

	"sandpass/internal/http1"
	"sandpass/internal/loop"
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

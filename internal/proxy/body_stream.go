// This file streams the bodies of commands that are too large to buffer to their backends. A command whose body is not complete
// has not run.

package proxy

import (
	"io"
	"strings"

	"sandpass/balance"
	"sandpass/internal/http1"
)

const (
	bodyStallSeconds      = 2.5     // without data from the client in a streamed body: an answer is due within 3 s
	minBodyBytesPerSecond = 32e3    // half the rate of slow clients
	bodyGraceSeconds      = 1.0     // in addition to the time at the minimum rate
	maxPeerBufferBytes    = 4 << 20 // that a client's kernel may hold unsent: Linux's usual limit (tcp_wmem)
)

// shouldStreamBody reports whether an incomplete command is to be streamed to the backend.
func (c *clientConn) shouldStreamBody() bool {
	return c.msg.HeadComplete() && (c.msg.BodyLength() > http1.MaxBufferedCommandBody || c.conn.ReadBufferFull())
}

// streamBodyTo writes the head and the data that has arrived of a command's body to the backend, and begins to stream the
// rest.
func (c *clientConn) streamBodyTo(l *backendConn, head []byte) {
	p, in := c.p, c.conn.Unconsumed()
	cmd := c.cmd
	if body := c.msg.Body(in); len(body) > 0 {
		head = appendBodyPart(head, c.msg.Chunked(), body)
	}
	p.scratch = head
	l.conn.Write(head)
	if !c.sentContinue && strings.EqualFold(string(c.msg.Get(in, "Expect")), "100-continue") {
		c.sentContinue = true
		c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	c.conn.Consume(c.msg.Size())
	c.conn.UseLargeBuffer()
	l.sendsBody = true
	c.bodyConn, c.consumed, c.lastProgress, cmd.streamed = l, true, p.loop.Now(), true
	cmd.timer.Stop()
	cmd.timer = p.loop.After(cmd.timeLimit, func() { p.checkBodyDeadline(cmd) })
	relayIndex := l.relay.index
	p.loop.Post(func() { // the Balancer must not be called from within its own calls
		if c.cmd == cmd && c.bodyConn == l {
			p.balancer.StreamStarted(p.loop.Now(), cmd.id, relayIndex)
			c.conn.CountUnreadFrom(c.receivedAt) // the client may have written all of the body since
			c.conn.Resume()
			c.forwardBody()
		}
	})
}

// forwardBody writes the body data that has arrived from the client to the backend.
func (c *clientConn) forwardBody() {
	l := c.bodyConn
	c.lastProgress = c.p.loop.Now()
	data, used, done, err := c.p.readBody(&c.msg, c.conn.Unconsumed())
	if err != nil {
		c.failBody(400, "malformed body")
		return
	}
	if done && c.conn.PeerClosed() {
		c.OnDisconnect(c.conn, io.EOF) // the client has gone, and the backend would begin with the last byte
		return
	}
	if len(data) > 0 {
		l.conn.Write(c.p.encodeBodyPart(c.msg.Chunked(), data)...)
	}
	if c.conn.Consume(used); done {
		c.finishBody()
		return
	}
	if l.conn.UnsentBytes() > c.p.highWatermark() {
		c.conn.PauseWithEOF()
		c.readPaused = true
	}
}

// resumeBody resumes reading from the client once the backend has taken the pending data.
func (c *clientConn) resumeBody() {
	if c.readPaused {
		c.readPaused, c.lastProgress = false, c.p.loop.Now()
		c.conn.Resume()
	}
}

// checkBodyDeadline declines a command whose body its client may have written whole a time limit ago, while the proxy has not read
// it to its end because the backend does not take it. It has not run.
func (p *Proxy) checkBodyDeadline(cmd *command) {
	c, now := cmd.client, p.loop.Now()
	if c == nil || c.bodyConn == nil || cmd.answerConn != nil {
		return
	}
	if remaining := c.bodyWrittenAt(now) + cmd.timeLimit - now; remaining > 0 {
		cmd.timer = p.loop.After(remaining, func() { p.checkBodyDeadline(cmd) })
		return
	}
	p.events.bodiesNotTaken++
	p.logEvent("msg=body_not_taken command=%d id=%q bytes=%d unread=%d backend=%s", cmd.id, cmd.requestID, c.msg.DecodedBytes(),
		c.conn.UnreadBytes(), c.bodyConn.backend.name)
	p.declinedCount++
	cmd.end()
	c.reject("its backend did not take the body in time\n", retrySoonSeconds, false)
	p.balancer.ClientDisconnected(now, cmd.id)
	p.removeIfFinished(cmd)
}

// bodyWrittenAt returns the earliest time at which the client may have written the last byte of the body, now at the latest. While
// nothing waits unread, it has not.
func (c *clientConn) bodyWrittenAt(now float64) float64 {
	since, waiting := c.conn.UnreadSince()
	notRead := c.msg.BodyLength() - c.msg.DecodedBytes() // below 0 if the length is unknown
	if !waiting || notRead > c.conn.UnreadBytes()+maxPeerBufferBytes {
		return now
	}
	return since
}

// finishBody completes a streamed body. The command's time limit starts when the last byte had arrived.
func (c *clientConn) finishBody() {
	p, cmd, l := c.p, c.cmd, c.bodyConn
	if c.msg.Chunked() {
		l.conn.Write([]byte("0\r\n\r\n"))
	}
	c.conn.PauseReadingAhead()
	c.conn.ReleaseLargeBuffer()
	l.sendsBody = false
	c.bodyConn, c.bodyStreaming = nil, false
	now := p.loop.Now()
	cmd.deadline, l.relay.sentAt = c.receivedAt+cmd.timeLimit, now
	cmd.timer.Stop()
	if cmd.answerConn == nil {
		cmd.timer = p.loop.After(cmd.deadline-now, func() { p.timeOutCommand(cmd) })
	}
}

// endIncompleteBody ends a relay whose request will not be completed, also where relays may not be cancelled: it has not run
// and never will.
func (bc *backendConn) endIncompleteBody() { bc.closeAndReport(balance.NotSent) }

// failBody ends a command whose body can't be read to its end, so that it has not run.
func (c *clientConn) failBody(status int, text string) {
	p, cmd := c.p, c.cmd
	p.logCommandEnd(cmd, status, text)
	if cmd.answerConn != nil {
		p.abortAnswer(cmd)
	} else {
		cmd.end()
		c.rejectInvalid(status, text)
	}
	p.balancer.ClientDisconnected(p.loop.Now(), cmd.id)
	p.removeIfFinished(cmd)
}

// sweepBodies ends streamed bodies when the client sends nothing or the backend reads nothing for too long.
func (p *Proxy) sweepBodies(now float64) {
	for e := p.clients.byState[stateBusy].Front(); e != nil; {
		c := e.Value.(*clientConn)
		switch e = e.Next(); {
		case c.bodyConn == nil:
		case c.readPaused && now-max(c.lastProgress, c.bodyConn.conn.LastSentAt()) > streamStallSeconds:
			c.bodyConn.closeAndReport(balance.ConnectFailed)
		case !c.readPaused && now-c.lastProgress > bodyStallSeconds:
			c.failBody(408, "the body did not come in time")
		}
	}
}

// This file owns bodies that are passed on as they come: answers on their way to a client, commands on their way to a
// backend. It must never hold more than a mark and what one read brings, begin an answer twice, or let one that broke
// off look whole.
package proxy

import (
	"log"
	"strconv"
	"strings"

	"sandpass/balance"
	"sandpass/internal/http1"
)

const (
	passMark                 = 64 << 10 // bytes that may wait to be written on one side before the other is read on
	passTight                = 4 << 10  // the same while more than half of the buffers' part of the memory is in use
	passAfter                = 0.25     // seconds of an answer of unknown length after which it goes on as it comes, if it moves
	streamBeforeLimitSeconds = 0.05     // seconds before the time limit by which it goes on in any case: of a long one the first bytes are timed
	endlessCutoffSeconds     = 0.4      // seconds after the limit at which what is no long answer by then is cut: half a second late it is lost
	answerStill              = 10.0     // seconds that a backend may stand still in an answer that the client has begun to get
	bodyStill                = 2.5      // seconds that a client may stand still in a body that is passed on: it is owed an answer within 3
	leastRate                = 32e3     // bytes a second that a client must send at least of a body: half of what slow ones do
	bodyGrace                = 1.0      // seconds more that any body may take
)

// piece writes a part of a body, as a chunk where the length is not said; nothing ends it.
func appendPiece(to []byte, chunked bool, data []byte) []byte {
	if !chunked {
		return append(to, data...)
	}
	to = append(strconv.AppendInt(to, int64(len(data)), 16), "\r\n"...)
	return append(append(to, data...), "\r\n"...)
}

// mark is how many bytes may wait on one side before the other is read on: hundreds of slow ones fill any memory.
func (p *Proxy) mark() int {
	if p.loop.BufferedBytes() > p.loop.MaxBufferBytes/2 {
		return passTight
	}
	return passMark
}

// ---- Answers.

// passes tells whether an answer that is not whole is to go on as it comes.
func (l *backendConn) shouldStream(now float64) bool {
	m := &l.msg
	if !m.HeadComplete() {
		return false
	}
	return m.BodyLength() > http1.MaxBufferedResponseBody || m.DecodedBytes() > http1.MaxBufferedResponseBody || l.conn.ReadBufferFull() ||
		m.BodyLength() < 0 && m.DecodedBytes() > 0 && l.answerBegan > 0 && now > min(l.answerBegan+passAfter, l.relay.cmd.expires-streamBeforeLimitSeconds)
}

// pass begins to pass the answer on: from here on the command belongs to this relay.
func (l *backendConn) startStreaming() {
	p, r, now := l.p, l.relay, l.p.loop.Now()
	cmd, c := r.cmd, r.cmd.client
	if l.msg.Status != 200 {
		l.handleAnswer(false) // its head says all that is wanted of it
		return
	}
	if cmd.done || c == nil || cmd.answerConn != nil { // a loser that may not be called back
		l.closeAndReport(balance.NotSent)
		return
	}
	in := l.conn.Unconsumed()
	cmd.answerConn, cmd.streamed, r.answerStartDelay = l, true, now-r.sentAt
	cmd.timer.Stop()
	if l.msg.BodyLength() < 0 {
		cmd.timer = p.loop.After(cmd.expires+endlessCutoffSeconds-now, func() { l.endless(cmd) })
	}
	l.timer.Stop()
	c.keepAlive = c.msg.KeepAlive && !p.closes() && !c.bodyStreaming && (l.msg.BodyLength() >= 0 || !c.msg.IsHTTP10())
	c.answerChunked = l.msg.BodyLength() < 0 && !c.msg.IsHTTP10()
	h := p.headOf(200, l.msg.BodyLength(), c.answerChunked, c.keepAlive)
	h = append(l.msg.AppendFields(h, in), "\r\n"...)
	if body := l.msg.Body(in); len(body) > 0 {
		h = appendPiece(h, c.answerChunked, body)
	}
	p.scratch = h
	c.conn.Write(h)
	l.conn.Consume(l.msg.Size())
	l.conn.UseLargeBuffer()
	l.lastProgress = now
	l.timer = p.loop.After(answerStill, l.still)
	p.balancer.StreamStarted(now, cmd.id, r.index)
	l.streamAnswer()
}

// passOn passes on what has come.
func (l *backendConn) streamAnswer() {
	c := l.relay.cmd.client
	if c == nil { // the client has gone, and the relay may not be called back
		l.closeAndReport(balance.NotSent)
		return
	}
	l.lastProgress = l.p.loop.Now()
	for {
		in := l.conn.Unconsumed()
		data, used, done, err := l.msg.ReadBodyPart(in)
		if err != nil {
			l.p.invalidCount++
			l.abortStream(balance.Reset)
			return
		}
		if len(data) > 0 && c.answerChunked {
			l.p.scratch = appendPiece(l.p.scratch[:0], true, data)
			c.conn.Write(l.p.scratch)
		} else if len(data) > 0 {
			c.conn.Write(data)
		}
		if l.conn.Consume(used); done {
			l.finishStream(l.msg.KeepAlive)
			return
		}
		if used == 0 || used == len(in) {
			break
		}
	}
	if c.conn.UnsentBytes() > l.p.mark() {
		l.conn.PauseWithEOF()
		l.readPaused = true
	}
}

// goOn reads on once the client has taken what there was.
func (l *backendConn) goOn() {
	if l.readPaused {
		l.readPaused, l.lastProgress = false, l.p.loop.Now()
		l.conn.Resume()
	}
}

// still ends a passage of which one side stands still: the backend, or the client that takes nothing.
func (l *backendConn) still() {
	now, r := l.p.loop.Now(), l.relay
	since, most := l.lastProgress, answerStill
	if c := r.cmd.client; l.readPaused && c != nil {
		since, most = max(l.lastProgress, c.conn.LastSentAt()), untaken
	}
	if left := since + most - now; left > 0 {
		l.timer = l.p.loop.After(left, l.still)
		return
	}
	log.Printf("msg=answer_stands command=%d untaken=%t", r.cmd.id, l.readPaused)
	l.abortStream(balance.Reset)
}

// passed ends a passage that is whole.
func (l *backendConn) finishStream(keep bool) {
	p, r := l.p, l.relay
	cmd, c := r.cmd, r.cmd.client
	l.timer.Stop()
	if c.answerChunked {
		c.conn.Write([]byte("0\r\n\r\n"))
	}
	p.answeredCount++
	p.snapshot.countEnded(true)
	cmd.done, cmd.client, cmd.answerConn = true, nil, nil
	c.finishAnswer(c.keepAlive)
	r.conn = nil
	l.msg.Reset()
	l.answerBegan = 0
	l.conn.ReleaseLargeBuffer()
	l.release(keep)
	p.reportOutcome(r, balance.Answered)
}

// endless ends a passage soon after its command's time limit if it is no long answer by then: one that trickles on would never
// end, while of a long one only the first bytes are timed.
func (l *backendConn) endless(cmd *command) {
	if cmd.answerConn == l && l.msg.DecodedBytes() <= http1.MaxBufferedResponseBody {
		log.Printf("msg=answer_endless command=%d bytes=%d", cmd.id, l.msg.DecodedBytes())
		l.p.invalidCount++
		l.abortStream(balance.TimedOut)
	}
}

// breakOff ends a passage that can't be made whole, so that the client can tell.
func (l *backendConn) abortStream(result balance.Result) {
	l.p.abortAnswer(l.relay.cmd)
	l.closeAndReport(result)
}

// cut ends the connection of a client whose answer has begun and does not become whole.
func (p *Proxy) abortAnswer(cmd *command) {
	c := cmd.client
	cmd.done, cmd.client, cmd.answerConn = true, nil, nil
	if c == nil {
		return
	}
	p.brokenOffCount++
	c.cmd = nil
	p.clients.awaitingAnswer--
	if !c.answerChunked {
		c.conn.ResetOnClose()
	}
	c.close()
}

// ---- Commands.

// tooLong tells whether a command that is not whole is to be passed on as it comes.
func (c *clientConn) tooLong() bool {
	return c.msg.HeadComplete() && (c.msg.BodyLength() > http1.MaxBufferedCommandBody || c.conn.ReadBufferFull())
}

// feedTo passes on what is there of a command, head and all, and has the rest follow.
func (c *clientConn) streamBodyTo(l *backendConn, head []byte) {
	p, in := c.p, c.conn.Unconsumed()
	cmd := c.cmd
	if body := c.msg.Body(in); len(body) > 0 {
		head = appendPiece(head, c.msg.Chunked(), body)
	}
	p.scratch = head
	l.conn.Write(head)
	if !c.invited && strings.EqualFold(string(c.msg.Get(in, "Expect")), "100-continue") {
		c.invited = true
		c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	c.conn.Consume(c.msg.Size())
	c.conn.UseLargeBuffer()
	c.bodyLink, c.passed, c.lastProgress, cmd.streamed = l, true, p.loop.Now(), true
	cmd.timer.Stop()
	n := l.relay.index
	p.loop.Post(func() { // never from inside a call of the Balancer's
		if c.cmd == cmd && c.bodyLink == l {
			p.balancer.StreamStarted(p.loop.Now(), cmd.id, n)
			c.conn.Resume()
			c.feedOn()
		}
	})
}

// feedOn passes on what has come.
func (c *clientConn) feedOn() {
	l := c.bodyLink
	c.lastProgress = c.p.loop.Now()
	for in := c.conn.Unconsumed(); len(in) > 0; in = c.conn.Unconsumed() {
		data, used, done, err := c.msg.ReadBodyPart(in)
		if err != nil {
			c.failBody(400, "malformed body")
			return
		}
		if len(data) > 0 && c.msg.Chunked() {
			c.p.scratch = appendPiece(c.p.scratch[:0], true, data)
			l.conn.Write(c.p.scratch)
		} else if len(data) > 0 {
			l.conn.Write(data)
		}
		c.conn.Consume(used)
		if done {
			c.allCame()
			return
		}
		if used == 0 {
			break
		}
	}
	if l.conn.UnsentBytes() > c.p.mark() {
		c.conn.PauseWithEOF()
		c.holds = true
	}
}

// feedMore reads on once the backend has taken what there was.
func (c *clientConn) resumeBody() {
	if c.holds {
		c.holds, c.lastProgress = false, c.p.loop.Now()
		c.conn.Resume()
	}
}

// allCame ends the passage of a command's body: its time counts from here.
func (c *clientConn) allCame() {
	p, cmd, l := c.p, c.cmd, c.bodyLink
	if c.msg.Chunked() {
		l.conn.Write([]byte("0\r\n\r\n"))
	}
	c.conn.Pause()
	c.conn.ReleaseLargeBuffer()
	c.bodyLink, c.bodyStreaming = nil, false
	now := p.loop.Now()
	cmd.expires, l.relay.sentAt = now+cmd.timeLimit, now
	if cmd.answerConn == nil {
		cmd.timer = p.loop.After(cmd.timeLimit, func() { p.timeOutCommand(cmd) })
	}
}

// spoilt ends a command whose body can't be read any further: it never ran.
func (c *clientConn) failBody(status int, text string) {
	p, cmd, feed := c.p, c.cmd, c.bodyLink
	if cmd.answerConn != nil {
		p.abortAnswer(cmd)
	} else {
		cmd.client, cmd.done = nil, true
		c.rejectInvalid(status, text)
	}
	p.balancer.ClientDisconnected(p.loop.Now(), cmd.id)
	feed.closeAndReport(balance.NotSent)
	p.removeIfFinished(cmd)
}

// sweepBodies ends the passage of commands of which one side stands still: the client, or the backend that takes nothing.
func (p *Proxy) sweepBodies(now float64) {
	for e := p.clients.byState[stateBusy].Front(); e != nil; {
		c := e.Value.(*clientConn)
		switch e = e.Next(); {
		case c.bodyLink == nil:
		case c.holds && now-max(c.lastProgress, c.bodyLink.conn.LastSentAt()) > answerStill:
			c.bodyLink.closeAndReport(balance.ConnectFailed)
		case !c.holds && now-c.lastProgress > bodyStill:
			c.failBody(408, "the body did not come in time")
		}
	}
}

// This file streams bodies that are too large or too slow to buffer: answers to clients and commands to backends. A stream
// buffers at most the high watermark and the data of one read. An answer is started only once, and one that breaks off must
// not look complete to the client.

package proxy

import (
	"log"
	"strconv"
	"strings"

	"sandpass/balance"
	"sandpass/internal/http1"
)

const (
	highWatermarkBytes       = 64 << 10 // unsent data on one side at which reading from the other pauses
	lowMemoryWatermarkBytes  = 4 << 10  // the same while more than half of the read buffer memory is in use
	streamAfterSeconds       = 0.25     // from the first byte of an answer of unknown length, if it makes progress
	streamBeforeLimitSeconds = 0.05     // before the time limit, in any case: the first bytes of an answer must be in time
	endlessCutoffSeconds     = 0.4      // after the time limit, if the answer is not long by then: at 0.5 s it counts as lost
	answerStallSeconds       = 10.0     // without data from the backend in a streamed answer
	bodyStallSeconds         = 2.5      // without data from the client in a streamed body: an answer is due within 3 s
	minBodyBytesPerSecond    = 32e3     // half the rate of slow clients
	bodyGraceSeconds         = 1.0      // in addition to the time at the minimum rate
)

// appendBodyPart appends part of a body, as a chunk if chunked. It does not append the last chunk.
func appendBodyPart(to []byte, chunked bool, data []byte) []byte {
	if !chunked {
		return append(to, data...)
	}
	to = append(strconv.AppendInt(to, int64(len(data)), 16), "\r\n"...)
	return append(append(to, data...), "\r\n"...)
}

// highWatermark returns how many unsent bytes one side of a stream may have before reading from the other pauses. It is
// lower when memory is short, since hundreds of slow streams would fill any memory.
func (p *Proxy) highWatermark() int {
	if p.loop.BufferedBytes() > p.loop.MaxBufferBytes/2 {
		return lowMemoryWatermarkBytes
	}
	return highWatermarkBytes
}

// Answers.

// shouldStream reports whether an incomplete answer is to be streamed to the client.
func (l *backendConn) shouldStream(now float64) bool {
	m := &l.msg
	if !m.HeadComplete() {
		return false
	}
	return m.BodyLength() > http1.MaxBufferedResponseBody || m.DecodedBytes() > http1.MaxBufferedResponseBody ||
		l.conn.ReadBufferFull() || m.BodyLength() < 0 && m.DecodedBytes() > 0 && l.answerBegan > 0 &&
		now > min(l.answerBegan+streamAfterSeconds, l.relay.cmd.expires-streamBeforeLimitSeconds)
}

// startStreaming begins to stream the answer. From here on no other relay can answer the command.
func (l *backendConn) startStreaming() {
	p, r, now := l.p, l.relay, l.p.loop.Now()
	cmd, c := r.cmd, r.cmd.client
	if l.msg.Status != 200 {
		l.handleAnswer(false) // the status alone decides the outcome
		return
	}
	if cmd.done || c == nil || cmd.answerConn != nil { // another relay has answered, and this one may not be cancelled
		l.closeAndReport(balance.NotSent)
		return
	}
	in := l.conn.Unconsumed()
	cmd.answerConn, cmd.streamed, r.answerStartDelay = l, true, now-r.sentAt
	cmd.timer.Stop()
	if l.msg.BodyLength() < 0 {
		cmd.timer = p.loop.After(cmd.expires+endlessCutoffSeconds-now, func() { l.abortEndless(cmd) })
	}
	l.timer.Stop()
	c.keepAlive = c.msg.KeepAlive && !p.closesAfterAnswer() && !c.bodyStreaming && (l.msg.BodyLength() >= 0 || !c.msg.IsHTTP10())
	c.answerChunked = l.msg.BodyLength() < 0 && !c.msg.IsHTTP10()
	h := p.responseHeadFramed(200, l.msg.BodyLength(), c.answerChunked, c.keepAlive)
	h = append(l.msg.AppendFields(h, in), "\r\n"...)
	if body := l.msg.Body(in); len(body) > 0 {
		h = appendBodyPart(h, c.answerChunked, body)
	}
	p.scratch = h
	c.conn.Write(h)
	l.conn.Consume(l.msg.Size())
	l.conn.UseLargeBuffer()
	l.lastProgress = now
	l.timer = p.loop.After(answerStallSeconds, l.checkStall)
	p.balancer.StreamStarted(now, cmd.id, r.index)
	l.streamAnswer()
}

// streamAnswer writes the data that has arrived from the backend to the client.
func (l *backendConn) streamAnswer() {
	c := l.relay.cmd.client
	if c == nil { // the client has disconnected, and the relay may not be cancelled
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
			l.p.scratch = appendBodyPart(l.p.scratch[:0], true, data)
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
	if c.conn.UnsentBytes() > l.p.highWatermark() {
		l.conn.PauseWithEOF()
		l.readPaused = true
	}
}

// resumeAnswer resumes reading from the backend once the client has taken the pending data.
func (l *backendConn) resumeAnswer() {
	if l.readPaused {
		l.readPaused, l.lastProgress = false, l.p.loop.Now()
		l.conn.Resume()
	}
}

// checkStall aborts a streamed answer when the backend sends nothing or the client reads nothing for too long.
func (l *backendConn) checkStall() {
	now, r := l.p.loop.Now(), l.relay
	since, maxSeconds := l.lastProgress, answerStallSeconds
	if c := r.cmd.client; l.readPaused && c != nil {
		since, maxSeconds = max(l.lastProgress, c.conn.LastSentAt()), writeStallSeconds
	}
	if left := since + maxSeconds - now; left > 0 {
		l.timer = l.p.loop.After(left, l.checkStall)
		return
	}
	log.Printf("msg=answer_stands command=%d untaken=%t", r.cmd.id, l.readPaused)
	l.abortStream(balance.Reset)
}

// finishStream completes a streamed answer.
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

// abortEndless aborts a streamed answer soon after its command's time limit if it is not long by then. A trickle would never
// end, while for a long answer only the first bytes must be in time.
func (l *backendConn) abortEndless(cmd *command) {
	if cmd.answerConn == l && l.msg.DecodedBytes() <= http1.MaxBufferedResponseBody {
		log.Printf("msg=answer_endless command=%d bytes=%d", cmd.id, l.msg.DecodedBytes())
		l.p.invalidCount++
		l.abortStream(balance.TimedOut)
	}
}

// abortStream ends a streamed answer that can't be completed, in a way that the client can detect.
func (l *backendConn) abortStream(result balance.Result) {
	l.p.abortAnswer(l.relay.cmd)
	l.closeAndReport(result)
}

// abortAnswer closes the connection of a client whose answer has begun and can't be completed.
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

// Commands.

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
	c.bodyLink, c.consumed, c.lastProgress, cmd.streamed = l, true, p.loop.Now(), true
	cmd.timer.Stop()
	relayIndex := l.relay.index
	p.loop.Post(func() { // the Balancer must not be called from within its own calls
		if c.cmd == cmd && c.bodyLink == l {
			p.balancer.StreamStarted(p.loop.Now(), cmd.id, relayIndex)
			c.conn.Resume()
			c.forwardBody()
		}
	})
}

// forwardBody writes the body data that has arrived from the client to the backend.
func (c *clientConn) forwardBody() {
	l := c.bodyLink
	c.lastProgress = c.p.loop.Now()
	for in := c.conn.Unconsumed(); len(in) > 0; in = c.conn.Unconsumed() {
		data, used, done, err := c.msg.ReadBodyPart(in)
		if err != nil {
			c.failBody(400, "malformed body")
			return
		}
		if len(data) > 0 && c.msg.Chunked() {
			c.p.scratch = appendBodyPart(c.p.scratch[:0], true, data)
			l.conn.Write(c.p.scratch)
		} else if len(data) > 0 {
			l.conn.Write(data)
		}
		c.conn.Consume(used)
		if done {
			c.finishBody()
			return
		}
		if used == 0 {
			break
		}
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

// finishBody completes a streamed body. The command's time limit starts here.
func (c *clientConn) finishBody() {
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

// failBody ends a command whose body can't be read to its end, so that it has not run.
func (c *clientConn) failBody(status int, text string) {
	p, cmd, bodyConn := c.p, c.cmd, c.bodyLink
	if cmd.answerConn != nil {
		p.abortAnswer(cmd)
	} else {
		cmd.client, cmd.done = nil, true
		c.rejectInvalid(status, text)
	}
	p.balancer.ClientDisconnected(p.loop.Now(), cmd.id)
	bodyConn.closeAndReport(balance.NotSent)
	p.removeIfFinished(cmd)
}

// sweepBodies ends streamed bodies when the client sends nothing or the backend reads nothing for too long.
func (p *Proxy) sweepBodies(now float64) {
	for e := p.clients.byState[stateBusy].Front(); e != nil; {
		c := e.Value.(*clientConn)
		switch e = e.Next(); {
		case c.bodyLink == nil:
		case c.readPaused && now-max(c.lastProgress, c.bodyLink.conn.LastSentAt()) > answerStallSeconds:
			c.bodyLink.closeAndReport(balance.ConnectFailed)
		case !c.readPaused && now-c.lastProgress > bodyStallSeconds:
			c.failBody(408, "the body did not come in time")
		}
	}
}

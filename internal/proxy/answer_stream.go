// This file streams answers that are too large or too slow to buffer to their clients. An answer is started only once, and one
// that breaks off must not look complete to the client. An answer whose client is gone is read to its end where the relay may
// not be cancelled.

package proxy

import (
	"sandpass/balance"
	"sandpass/internal/http1"
)

const (
	streamAfterSeconds       = 0.25 // from the first byte of an answer of unknown length, if it makes progress
	streamBeforeLimitSeconds = 0.05 // before the time limit, in any case: the first bytes of an answer must be in time
	endlessCutoffSeconds     = 0.4  // after the time limit, from when a short answer that is too slow is cut: at 0.5 s it counts as lost
	endlessCheckSeconds      = 0.05 // between checks of an answer after that
	minAnswerBytesPerSecond  = 32e3 // half the rate of slow clients
	answerGraceSeconds       = 0.3  // in addition to the time at the minimum rate
)

// shouldStream reports whether an incomplete answer is to be streamed to the client.
func (bc *backendConn) shouldStream(now float64) bool {
	m := &bc.msg
	switch {
	case !m.HeadComplete():
		return false
	case m.BodyLength() > http1.MaxBufferedResponseBody || m.DecodedBytes() > http1.MaxBufferedResponseBody || bc.conn.ReadBufferFull():
		return true
	case m.BodyLength() >= 0 || m.DecodedBytes() == 0 || bc.answerBegan == 0:
		return false
	}
	return now > min(bc.answerBegan+streamAfterSeconds, bc.relay.cmd.deadline-streamBeforeLimitSeconds)
}

// answerState is what happens to the answer that arrives on a connection.
type answerState int

const (
	answerBuffered  answerState = iota // it stays in the read buffer until it is complete
	answerForwarded                    // what arrives is written to the client; the command has its client until then
	answerDiscarded                    // what arrives is dropped: no client waits for it
)

// startStreaming begins to stream the answer. From here on no other relay can answer the command.
func (bc *backendConn) startStreaming() {
	p, r, now := bc.p, bc.relay, bc.p.loop.Now()
	cmd, c := r.cmd, r.cmd.client
	if bc.msg.Status != 200 {
		bc.handleAnswer(false) // the status alone decides the outcome
		return
	}
	r.answerStartDelay = now - r.sentAt
	if cmd.done || c == nil || cmd.answerConn != nil { // another relay has answered, and this one may not be cancelled
		bc.conn.Consume(bc.msg.Size())
		bc.conn.UseLargeBuffer()
		bc.discardAnswer()
		bc.readAnswer()
		return
	}
	in := bc.conn.Unconsumed()
	bc.noteProgress()
	bc.answer, cmd.answerConn, cmd.streamed = answerForwarded, bc, true
	if bc.msg.BodyLength() < 0 {
		p.loop.After(cmd.deadline+endlessCutoffSeconds-now, func() { bc.abortEndless(cmd) })
	}
	bc.timer.Stop()
	c.keepAlive = c.msg.KeepAlive && !p.closesAfterAnswer() && !c.bodyStreaming && (bc.msg.BodyLength() >= 0 || !c.msg.IsHTTP10())
	c.answerChunked = bc.msg.BodyLength() < 0 && !c.msg.IsHTTP10()
	h := p.responseHeadFramed(200, bc.msg.BodyLength(), c.answerChunked, c.keepAlive)
	h = append(bc.msg.AppendFields(h, in), "\r\n"...)
	if body := bc.msg.Body(in); len(body) > 0 {
		h = appendBodyPart(h, c.answerChunked, body)
	}
	p.scratch = h
	c.conn.Write(h)
	bc.conn.Consume(bc.msg.Size())
	bc.conn.UseLargeBuffer()
	bc.lastProgress = now
	bc.timer = p.loop.After(streamStallSeconds, bc.checkStreamStall)
	p.balancer.StreamStarted(now, cmd.id, r.index)
	bc.readAnswer()
}

// readAnswer reads the part of a streamed answer that has arrived.
func (bc *backendConn) readAnswer() {
	bc.lastProgress = bc.p.loop.Now()
	data, used, done, err := bc.p.readBody(&bc.msg, bc.conn.Unconsumed())
	if bc.bodyBegan == 0 && len(data) > 0 {
		bc.bodyBegan = bc.lastProgress
	}
	if bc.answer == answerForwarded && len(data) > 0 {
		bc.relay.cmd.client.writeAnswerPart(data)
	}
	if err != nil {
		bc.p.invalidCount++
		bc.abortStream(balance.Reset)
		return
	}
	if bc.conn.Consume(used); done {
		bc.finishStream(bc.msg.KeepAlive)
		return
	}
	if bc.answer == answerForwarded && bc.relay.cmd.client.conn.UnsentBytes() > bc.p.highWatermark() {
		bc.conn.PauseWithEOF()
		bc.readPaused = true
	}
}

// writeAnswerPart writes a part of a streamed answer's body.
func (c *clientConn) writeAnswerPart(data []byte) {
	c.conn.Write(c.p.encodeBodyPart(c.answerChunked, data)...)
}

// discardAnswer drops what has yet to arrive of an answer that no client waits for, until the command's deadline. The
// connection can carry other relays after it.
func (bc *backendConn) discardAnswer() {
	bc.answer = answerDiscarded
	bc.timer.Stop()
	bc.timer = bc.p.loop.After(bc.relay.cmd.deadline-bc.p.loop.Now(), func() { bc.closeAndReport(balance.Cancelled) })
	bc.resumeAnswer()
}

// resumeAnswer resumes reading from the backend once the client has taken the pending data.
func (bc *backendConn) resumeAnswer() {
	if bc.readPaused {
		bc.readPaused, bc.lastProgress = false, bc.p.loop.Now()
		bc.conn.Resume()
	}
}

// checkStreamStall aborts a streamed answer when the backend sends nothing or the client reads nothing for too long.
func (bc *backendConn) checkStreamStall() {
	now, r := bc.p.loop.Now(), bc.relay
	since, maxSeconds := bc.lastProgress, streamStallSeconds
	if bc.readPaused {
		since, maxSeconds = max(bc.lastProgress, r.cmd.client.conn.LastSentAt()), writeStallSeconds
	}
	if left := since + maxSeconds - now; left > 0 {
		bc.timer = bc.p.loop.After(left, bc.checkStreamStall)
		return
	}
	bc.p.logEvent("msg=answer_stands command=%d id=%q untaken=%t", r.cmd.id, r.cmd.requestID, bc.readPaused)
	bc.abortStream(balance.Reset)
}

// finishStream handles the end of a streamed answer.
func (bc *backendConn) finishStream(keep bool) {
	r := bc.relay
	if bc.answer == answerForwarded {
		r.cmd.completeForwarded()
	}
	bc.timer.Stop()
	r.conn = nil
	bc.resetAnswer()
	bc.conn.ReleaseLargeBuffer()
	bc.release(keep)
	bc.p.reportOutcome(r, balance.Answered)
}

// completeForwarded ends a command whose streamed answer is complete.
func (cmd *command) completeForwarded() {
	c := cmd.client
	if c.answerChunked {
		c.conn.Write([]byte("0\r\n\r\n"))
	}
	c.p.answeredCount++
	c.p.snapshot.countEnded(true)
	cmd.answerConn = nil
	cmd.end()
	c.finishAnswer(c.keepAlive)
}

// abortEndless aborts a streamed answer that is past its command's time limit if it is short and so slow that it may never end. For
// a long answer only the first bytes must be in time, and one that comes at the minimum rate may become long.
func (bc *backendConn) abortEndless(cmd *command) {
	decoded := bc.msg.DecodedBytes()
	if cmd.answerConn != bc || decoded > http1.MaxBufferedResponseBody {
		return
	}
	if !bc.tooSlow() {
		bc.p.loop.After(endlessCheckSeconds, func() { bc.abortEndless(cmd) })
		return
	}
	bc.p.logEvent("msg=answer_endless command=%d id=%q bytes=%d", cmd.id, cmd.requestID, decoded)
	bc.p.invalidCount++
	bc.abortStream(balance.TimedOut)
}

// tooSlow reports whether an answer comes at less than the minimum rate. Time in which its client does not read is not held
// against it.
func (bc *backendConn) tooSlow() bool {
	seconds := bc.p.loop.Now() - bc.bodyBegan - answerGraceSeconds
	return !bc.readPaused && float64(bc.msg.DecodedBytes()) < minAnswerBytesPerSecond*seconds
}

// abortStream ends a streamed answer that can't be completed, in a way that its client can detect.
func (bc *backendConn) abortStream(result balance.Result) {
	if bc.answer == answerForwarded {
		bc.p.abortAnswer(bc.relay.cmd)
	}
	bc.closeAndReport(result)
}

// abortAnswer closes the connection of a client whose answer has begun and can't be completed.
func (p *Proxy) abortAnswer(cmd *command) {
	c := cmd.client
	p.logCommandEnd(cmd, 200, "its answer could not be completed")
	cmd.end()
	p.brokenOffCount++
	c.cmd = nil
	p.clients.awaitingAnswer--
	if !c.answerChunked {
		c.conn.ResetOnClose()
	}
	c.close(closedIncomplete)
}

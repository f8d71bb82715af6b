// This file writes answers to clients: exactly one to each command, and those that the proxy gives by itself.

package proxy

import "strconv"

const (
	lingerSeconds        = 1.0      // for the client to read the last answer and close
	maxDiscardBytes      = 64 << 20 // discarded of an oversized body: unread data at the close would reset the answer
	retrySoonSeconds     = 0.05     // Retry-After for a retry at another proxy or with a new request
	retryOverloadSeconds = 0.5      // Retry-After over a limit: the time of several answers
)

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

// This file implements a connection to a backend, from its dial to its close. It carries one relay at a time: its request, its answer,
// and how it ended.

package proxy

import (
	"io"
	"math"
	"net/netip"
	"slices"
	"strconv"

	"sandpass/balance"
	"sandpass/internal/http1"
	"sandpass/internal/loop"
)

const (
	connectRetrySeconds = 0.005 // before connecting again after the system had no descriptor
	answerStallSeconds  = 0.5   // without progress, after which a repeat elsewhere may overtake an incomplete answer
)

// backendConn is one connection to a backend.
type backendConn struct {
	p                *Proxy
	backend          *backend
	addr             netip.AddrPort // address of the backend and start of its process, as listed when the connection was opened
	sinceMs          float64
	conn             *loop.Conn // nil while the system has no descriptor for it
	msg              http1.Message
	relay            *relay // the open relay, nil while idle
	connected        bool
	lackedDescriptor bool    // the system had no descriptor at the first attempt
	untrustedUntil   float64 // until then it may lead to a later process at the backend's address, which the list does not show yet
	answerBegan      float64 // when the incomplete answer began, 0 if none
	bodyBegan        float64 // when the first bytes of its body were received, 0 if none were
	lastProgress     float64 // when the latest part of it was received
	stallReported    bool    // the Balancer was told that the answer makes no progress
	answer           answerState
	sendsBody        bool    // the body of the relay's request is being streamed and is not complete
	readPaused       bool    // not read until the client has taken what is buffered
	idleSince        float64 // when it became idle
	timer            *loop.Timer
}

// dial opens the connection. If the system lacks a descriptor or memory for the socket, dial closes idle connections
// and tries again until the connect timeout, since a shortage usually passes.
func (bc *backendConn) dial() (err error) {
	bc.conn, err = bc.p.loop.Dial(bc.addr, bc, http1.MaxBufferedResponse)
	if !loop.IsResourceExhausted(err) {
		return err
	}
	if !bc.lackedDescriptor {
		bc.lackedDescriptor = true
		bc.p.onDescriptorShortage()
	}
	bc.p.loop.After(connectRetrySeconds, func() {
		if _, open := bc.p.backends.conns[bc]; !open {
			return
		}
		if err := bc.dial(); err != nil {
			bc.closeAndReport(balance.ConnectFailed)
		}
	})
	return nil
}

// connectTimedOut ends a relay whose connection took too long to open. If there was no descriptor, the backend is not
// at fault.
func (bc *backendConn) connectTimedOut() {
	if bc.conn == nil {
		bc.closeAndReport(balance.NotSent)
		return
	}
	bc.closeAndReport(balance.ConnectFailed)
}

// close releases a connection to a backend. Every connection is closed here.
func (bc *backendConn) close() {
	if _, ok := bc.p.backends.conns[bc]; !ok {
		return
	}
	delete(bc.p.backends.conns, bc)
	bc.backend.connCount--
	defer bc.p.backends.removeIfGone(bc.backend)
	bc.timer.Stop()
	if i := slices.Index(bc.backend.idle, bc); i >= 0 {
		bc.backend.idle = slices.Delete(bc.backend.idle, i, i+1)
	}
	if bc.conn == nil {
		return
	}
	if bc.relay != nil && bc.connected && bc.conn.HasUnacknowledged() {
		bc.conn.ResetOnClose() // otherwise a backend that reads late would run the abandoned command
	}
	bc.conn.Close()
}

// release makes the connection idle if it can carry another relay, and closes it otherwise. A backend that has not had the
// whole body of its request would take the next one for the rest.
func (bc *backendConn) release(reuse bool) {
	if !reuse || bc.sendsBody || bc.backend.state != balance.Ready || bc.superseded() || bc.conn.HasUnsent() || len(bc.conn.Unconsumed()) > 0 {
		bc.close()
		return
	}
	bc.relay = nil
	bc.idleSince = bc.p.loop.Now()
	bc.backend.idle = append(bc.backend.idle, bc)
}

// sendCommand writes the relay's request to the connection.
func (bc *backendConn) sendCommand() {
	p, c := bc.p, bc.relay.cmd.client
	bc.relay.cmd.groupUnknown = bc.relay.cmd.groupUnknown || bc.untrustedUntil > p.loop.Now()
	request := c.conn.Unconsumed()
	body := c.msg.Body(request)
	head := append(p.scratch[:0], c.msg.Method(request)...)
	head = append(append(append(head, ' '), c.msg.Target(request)...), " HTTP/1.1\r\n"...)
	head = c.msg.AppendFields(head, request, "Req-Deadline")
	head = append(head, "Req-Deadline: "...)
	head = strconv.AppendFloat(head, max(0.001, bc.relay.cmd.deadline-p.loop.Now()), 'f', 3, 64)
	switch {
	case c.bodyStreaming && c.msg.Chunked():
		head = append(head, "\r\nTransfer-Encoding: chunked"...)
	case c.bodyStreaming:
		head = append(head, "\r\nContent-Length: "...)
		head = strconv.AppendInt(head, int64(c.msg.BodyLength()), 10)
	case len(body) > 0 || string(c.msg.Method(request)) != "GET":
		head = append(head, "\r\nContent-Length: "...)
		head = strconv.AppendInt(head, int64(len(body)), 10)
	}
	p.scratch = append(head, "\r\n\r\n"...)
	if c.bodyStreaming {
		c.streamBodyTo(bc, p.scratch)
		return
	}
	bc.conn.Write(p.scratch, body)
}

// OnConnect sends the relay that the connection was opened for, unless it is no longer allowed: the command may have ended
// where relays are not cancelled, the backend may be draining, and the time in which the rules allowed the relay may
// have passed.
func (bc *backendConn) OnConnect(*loop.Conn) {
	bc.connected = true
	bc.timer.Stop()
	r := bc.relay
	if c := r.cmd.client; c != nil && c.disconnectPending() {
		if c.OnDisconnect(c.conn, io.EOF); r.ended {
			return // the relay was cancelled
		}
	}
	if !bc.mayBeWritten(r) {
		r.conn = nil
		bc.release(true)
		bc.p.reportOutcome(r, balance.NotSent)
		return
	}
	bc.sendCommand()
}

// mayBeWritten reports whether a relay may still be written to the connection that was opened for it.
func (bc *backendConn) mayBeWritten(r *relay) bool {
	now := bc.p.loop.Now()
	switch {
	case r.cmd.done || r.cmd.streamed || bc.backend.state != balance.Ready || bc.superseded():
		return false
	case r.cmd.boundToGroup() && bc.backend.mayBeReplaced(now):
		return false
	}
	return bc.p.balancer.ConnectionOpened(now, r.cmd.id, r.index)
}

// superseded reports whether the list has moved the backend to another process or address since the connection was
// opened: whatever answers at the old address may be a different service.
func (bc *backendConn) superseded() bool {
	return bc.addr != bc.backend.addr || bc.sinceMs != bc.backend.sinceMs
}

// OnFlushed continues the streaming of a request body.
func (bc *backendConn) OnFlushed(*loop.Conn) {
	if bc.sendsBody && bc.relay.cmd.client != nil {
		bc.relay.cmd.client.resumeBody()
	}
}

// OnData handles the bytes of an answer.
func (bc *backendConn) OnData(*loop.Conn) {
	if bc.relay == nil {
		bc.close() // unsolicited data
		return
	}
	if bc.answer != answerBuffered {
		bc.readAnswer()
		return
	}
	complete, err := bc.msg.ParseResponse(bc.conn.Unconsumed(), false)
	switch {
	case err == nil && complete:
		bc.handleAnswer(bc.msg.KeepAlive)
	case err == nil && bc.shouldStream(bc.p.loop.Now()):
		bc.startStreaming()
	case err != nil || bc.conn.ReadBufferFull():
		bc.p.invalidCount++
		bc.closeAndReport(bc.disconnectResult())
	case bc.msg.Started(bc.conn.Unconsumed()):
		bc.noteProgress()
	}
}

// noteProgress notes that a part of an incomplete answer has come.
func (bc *backendConn) noteProgress() {
	bc.lastProgress = bc.p.loop.Now()
	if bc.bodyBegan == 0 && bc.msg.DecodedBytes() > 0 {
		bc.bodyBegan = bc.lastProgress
	}
	if bc.answerBegan == 0 {
		bc.answerBegan = bc.lastProgress
		bc.timer = bc.p.loop.After(bc.stallCheckDelay(answerStallSeconds), bc.checkStall)
	}
}

// resetAnswer prepares the connection for the next answer.
func (bc *backendConn) resetAnswer() {
	bc.msg.Reset()
	bc.answer, bc.answerBegan, bc.bodyBegan, bc.stallReported = answerBuffered, 0, 0, false
}

// stallCheckDelay returns the seconds until the next check of an incomplete answer, at most limit. An answer of
// unknown length is checked in time to be streamed before the command's deadline.
func (bc *backendConn) stallCheckDelay(limit float64) float64 {
	if untilStream := bc.relay.cmd.deadline - streamBeforeLimitSeconds - bc.p.loop.Now(); untilStream >= 0 {
		return min(limit, untilStream+0.001)
	}
	return limit
}

// checkStall reports an answer that makes no progress, once, and begins to stream one of unknown length when its time limit is near.
// A slow answer may be whole: it is not broken off before the command's deadline.
func (bc *backendConn) checkStall() {
	now := bc.p.loop.Now()
	if now > bc.relay.cmd.deadline-streamBeforeLimitSeconds && bc.shouldStream(now) {
		bc.startStreaming()
		return
	}
	remaining := bc.lastProgress + answerStallSeconds - now
	if remaining <= 0 && !bc.stallReported {
		bc.stallReported = true
		bc.p.balancer.RelayStalled(now, bc.relay.cmd.id, bc.relay.index)
	}
	if bc.stallReported {
		remaining = math.Inf(1)
	}
	if delay := bc.stallCheckDelay(remaining); !math.IsInf(delay, 1) {
		bc.timer = bc.p.loop.After(delay, bc.checkStall)
	}
}

// OnDisconnect handles the end of the connection.
func (bc *backendConn) OnDisconnect(_ *loop.Conn, err error) {
	if !bc.endAnnounced(err) {
		bc.backend.noteConnLost(bc.p.loop.Now())
	}
	switch {
	case bc.relay == nil:
		bc.close()
	case !bc.connected:
		bc.closeAndReport(balance.ConnectFailed)
	case bc.answer != answerBuffered:
		if bc.msg.BodyLength() < 0 && !bc.msg.Chunked() && err == io.EOF {
			bc.finishStream(false)
		} else {
			bc.abortStream(balance.Reset)
		}
	default:
		if complete, parseErr := bc.msg.ParseResponse(bc.conn.Unconsumed(), err == io.EOF); complete && parseErr == nil {
			bc.handleAnswer(false)
			return
		}
		bc.closeAndReport(bc.disconnectResult())
	}
}

// endAnnounced reports whether the end of the connection follows an answer that ends with it, as its head says.
func (bc *backendConn) endAnnounced(err error) bool {
	return err == io.EOF && bc.relay != nil && bc.msg.HeadComplete() && !bc.msg.KeepAlive
}

// disconnectResult returns the relay's result after the connection broke. Before its last byte was written the
// command can't have run.
func (bc *backendConn) disconnectResult() balance.Result {
	if bc.conn.HasUnsent() || bc.sendsBody {
		return balance.ConnectFailed
	}
	return balance.Reset
}

// timeoutResult returns the result of a relay whose command's time is up. If its last byte was not written, it can't have run.
func (bc *backendConn) timeoutResult() balance.Result {
	if bc.conn != nil && (bc.conn.HasUnsent() || bc.sendsBody) {
		return balance.NotSent
	}
	return balance.TimedOut
}

// closeAndReport closes the connection and reports the relay's result.
func (bc *backendConn) closeAndReport(result balance.Result) {
	r := bc.relay
	bc.close()
	if r != nil && !r.ended {
		bc.p.reportOutcome(r, result)
	}
}

// handleAnswer handles a complete answer: passes it to the client, releases the connection and reports the outcome to
// the Balancer.
func (bc *backendConn) handleAnswer(reuse bool) {
	r := bc.relay
	response := bc.conn.Unconsumed()
	result := balance.Errored
	otherStreaming := r.cmd.answerConn != nil // another relay's answer is being streamed to the client
	bc.timer.Stop()
	switch status := bc.msg.Status; status {
	case 429, 408: // temporary conditions, not faults of the command
	default:
		if status >= 400 && status < 500 {
			// The command itself is at fault and would fail on any backend: it ends here, and the result doesn't
			// count for or against the backend.
			result = balance.NotSent
			if !otherStreaming {
				bc.p.answerClient(r.cmd, status, 0, nil)
			}
		}
	case 200:
		result = balance.Answered
		if !r.cmd.done && !otherStreaming {
			bc.p.answeredCount++
			bc.p.answerClient(r.cmd, 200, 0, bc)
		}
	case 503, 504:
		if string(bc.msg.Get(response, "Srv-Declined")) == "1" {
			result = balance.Full
		}
	}
	r.conn = nil
	bc.conn.Consume(bc.msg.Size())
	bc.resetAnswer()
	bc.release(reuse)
	bc.p.reportOutcome(r, result)
}

// This file decides what becomes of a command that was read: it is answered at once, refused, or passed to the Balancer.

package proxy

import (
	"bytes"
	"hash/fnv"
	"strconv"

	"sandpass/internal/http1"
)

const (
	maxReqIDBytes      = 128
	maxDeadlineSeconds = 86400.0 // largest accepted Req-Deadline
)

// commandHeaders describe the command itself: each may occur only once and must not be named in Connection.
var commandHeaders = []string{"Req-Id", "Req-Kind", "Req-Owner", "Req-Deadline", "Req-Retry", "Req-Extra", "Idempotency-Key"}

// parseCommand extracts what the Balancer needs from a command, or returns an error if it is invalid. Verbs differ in
// whether they may be repeated, so header, path and method must agree.
func (c *clientConn) parseCommand(in, path []byte) (head commandHead, protocolErr *http1.ProtocolError) {
	p := c.p
	invalid := func(status int, text string) (commandHead, *http1.ProtocolError) {
		return commandHead{}, &http1.ProtocolError{Status: status, Text: text}
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
	timeLimit := v.TimeLimit
	if text := c.msg.Get(in, "Req-Deadline"); text != nil {
		seconds, err := strconv.ParseFloat(string(text), 64)
		if err != nil || len(bytes.Trim(text, "0123456789.")) > 0 || seconds > maxDeadlineSeconds {
			return invalid(400, "malformed Req-Deadline")
		}
		timeLimit = min(seconds, timeLimit)
	}
	customer, known := p.customerIndex[string(c.msg.Get(in, "Req-Owner"))]
	if !known {
		customer = len(p.names.Customers)
	}
	return commandHead{requestID: string(id), verb: verb, customer: customer, timeLimit: timeLimit,
		resource: resourceKey(c.msg.Get(in, "Req-Extra"))}, nil
}

// commandHead is what the Balancer needs to know of a command.
type commandHead struct {
	requestID      string
	verb, customer int     // indexes of the settings in force when the command was read
	timeLimit      float64 // seconds
	resource       uint64  // hash of the resource that it names, 0 if it names none
}

// handleCommand passes a command to the Balancer, or answers at once if it is invalid or can't be accepted.
func (c *clientConn) handleCommand(in []byte) {
	path, _, _ := bytes.Cut(c.msg.Target(in), []byte("?"))
	if c.answerDirectly(in, path) {
		return
	}
	head, protocolErr := c.parseCommand(in, path)
	if protocolErr != nil {
		c.rejectInvalid(protocolErr.Status, protocolErr.Text)
		return
	}
	c.p.receivedCount++
	expires := c.commandReceivedAt() + head.timeLimit
	if c.refuseForNow(expires, head.timeLimit) {
		return
	}
	c.startCommand(c.openCommand(head, expires), head)
}

// answerDirectly answers a request that is no command: one with an unknown method or target, or a readiness check. It reports
// whether it did.
func (c *clientConn) answerDirectly(in, path []byte) bool {
	method := string(c.msg.Method(in))
	switch {
	case len(path) == 0 || path[0] != '/':
		c.rejectInvalid(400, "the target is no path")
	case method != "GET" && method != "POST":
		c.rejectInvalid(405, "the method is not used here")
	case string(path) == "/-/ready" && c.p.ready():
		c.reply(200, "ready\n", c.msg.KeepAlive)
	case string(path) == "/-/ready":
		c.reply(503, "not ready\n", c.msg.KeepAlive)
	default:
		return false
	}
	return true
}

// refuseForNow refuses a valid command that can't be accepted at the moment, with the promise that a retry is harmless. It reports
// whether it did.
func (c *clientConn) refuseForNow(expires, timeLimit float64) bool {
	p := c.p
	switch {
	case p.shutdown.rejecting:
		c.declineAndClose("this proxy has ended\n")
	case p.discoveryPending(): // the client reached this process at the address of its predecessor
		p.declinedCount++
		c.reject("the list is not known yet\n", p.discoveryDeadline-p.loop.Now(), c.msg.KeepAlive)
	case p.clients.awaitingAnswer >= p.clients.quota || len(p.commands) >= p.network.MaxOpenRequests:
		p.overLimitCount++
		c.reject("too many commands\n", retryOverloadSeconds, false)
	case c.conn.EndMayBeHidden():
		p.overLimitCount++
		p.events.sentAhead++
		c.reject("too much was sent ahead\n", retryOverloadSeconds, c.msg.KeepAlive)
	case expires <= p.loop.Now() && timeLimit > 0:
		p.declinedCount++
		c.reject("its time was up before it was read\n", retrySoonSeconds, c.msg.KeepAlive)
	default:
		return false
	}
	return true
}

// openCommand registers a command. The proxy owes it an answer from here on.
func (c *clientConn) openCommand(head commandHead, expires float64) *command {
	p := c.p
	if c.bodyStreaming {
		c.conn.Pause()
	} else {
		c.conn.PauseReadingAhead() // the command stays in the read buffer until it is answered
	}
	verb := &p.names.Verbs[head.verb]
	p.lastCommandID++
	cmd := &command{id: p.lastCommandID, requestID: head.requestID, key: keyOf(head.requestID), client: c, repeatable: verb.Pure,
		grouped: verb.Grouped, timeLimit: head.timeLimit, deadline: expires}
	c.cmd, c.hadCommand = cmd, true
	c.setState(stateBusy)
	p.openRequests[cmd.key] = cmd
	p.clients.awaitingAnswer++
	p.commands[cmd.id] = cmd
	cmd.timer = p.loop.After(cmd.deadline-p.loop.Now(), func() { p.timeOutCommand(cmd) })
	return cmd
}

// startCommand passes a command to the Balancer, once the other process of an upgrade does not have one with its Req-Id.
func (c *clientConn) startCommand(cmd *command, head commandHead) {
	p := c.p
	class := p.balancer.Classify(head.verb, head.customer) // the settings may change before the claim is answered
	bodyBytes := c.expectedBodyBytes()
	start := func() {
		p.balancer.ClassifiedCommandReceived(p.loop.Now(), cmd.id, class, bodyBytes, cmd.deadline, head.resource)
	}
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

// expectedBodyBytes returns the length of the command's body. Where a streamed body has no stated length, it is the least that it has.
func (c *clientConn) expectedBodyBytes() int {
	length := max(c.msg.BodyLength(), c.msg.DecodedBytes())
	if c.bodyStreaming {
		length = max(length, http1.MaxBufferedCommandBody)
	}
	return length
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

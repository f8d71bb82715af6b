// This file implements the handover between two versions of the proxy: the connection between the running process and
// its successor, their messages, and what each does when the other is lost. A process that can't serve must not
// accept clients, and the other process counts as gone once the connection has ended.

package proxy

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"sandpass/balance"
	"sandpass/internal/loop"
)

const (
	handoverVersion         = 1
	stateTimeoutSeconds     = 1.5     // for the predecessor to send its state: a new process must be ready 6 s after its start
	listWaitSeconds         = 3.0     // after which a new process serves without a list, since none may come
	takeoverTimeoutSeconds  = 10.0    // after its hello, by which a new process must serve or counts as gone
	persistTimeoutSeconds   = 0.35    // for an operation to be saved to persistent storage, where configured
	operationTimeoutSeconds = 0.5     // for the other process to apply an operation: the operator is to be answered within 1 s
	maxHandoverMessageBytes = 4 << 20 // thousands of backends
	idleCloseStartSeconds   = 0.3     // until idle connections are closed after the successor serves: most end with an answer
	idleCloseEndSeconds     = 1.5     // until all of them are closed: the kill comes at least 3.7 s later
	minStaySeconds          = 0.5     // that the old process stays for connections accepted last
	sharedMemoryFraction    = 0.5     // of the memory limit, for each of two processes
	smallMemoryMB           = 64      // limit below which a process that may be replaced leaves memory for the start of the next
	smallMemoryFraction     = 0.75    // of such a limit
	handoverPollSeconds     = 0.05    // between checks for open connections and for a free address
)

// handoverMessage is one line between the two processes. Unknown fields are ignored; a larger version is
// incompatible.
type handoverMessage struct {
	Version       int             `json:"v"`
	Kind          string          `json:"say"` // hello, state, serving, holds, call, done, ran, claim, claimed
	Discovery     string          `json:"discovery,omitempty"`
	Endpoints     *endpointUpdate `json:"list,omitempty"`
	Maintenance   *maintenance    `json:"maintenance,omitempty"`
	StartAges     *processAges    `json:"ages,omitempty"`
	StartAgesOnly bool            `json:"-"` // apply only the start ages of the endpoints
	Drained       bool            `json:"drained,omitempty"`
	Sockets       int             `json:"sockets,omitempty"`
	Number        int             `json:"number,omitempty"`
	Operation     string          `json:"call,omitempty"`
	ID            string          `json:"id,omitempty"`
	Error         string          `json:"failed,omitempty"` // why the operation was not persisted, or the claim refused
	IDs           []string        `json:"ids,omitempty"`    // keys of Req-Ids
	KnowsClaims   bool            `json:"claims,omitempty"` // the sender replies to claims
}

// handover is this process's state between its predecessor and its successor.
type handover struct {
	socketPath        string              // of the Unix socket; empty without an inherited listener
	listener          *loop.Listener      // accepts the next version's connection
	predecessor       *otherProcess       // the running process that this one replaces, nil once it is gone
	successor         *otherProcess       // the process that replaces this one, nil once it is gone
	done              bool                // the predecessor's state was received, or is no longer waited for
	serving           bool                // clients are accepted, or were
	successorServes   bool                // the successor accepts clients
	yieldedAt         float64             // when the successor began to
	lastOperation     int                 // number of the last operation sent to the other process
	pendingOperations map[int]func(error) // callbacks for operations that it has not confirmed yet, by number
	setMemoryLimit    func(bytes int64)
}

// otherProcess is the connection to the predecessor or the successor.
type otherProcess struct {
	p           *Proxy
	conn        *loop.Conn
	connected   bool
	knowsClaims bool // it replies to claims of Req-Ids
}

// parseSocketFD parses the descriptor number of the inherited listener. It returns -1 if text is empty.
func parseSocketFD(text string) (int, error) {
	if text == "" {
		return -1, nil
	}
	fd, err := strconv.Atoi(text)
	if err != nil || fd < 0 {
		return -1, fmt.Errorf("socket: %q is not a file descriptor", text)
	}
	return fd, nil
}

// OnMemoryLimit registers a function that is called with the memory limit of the process, now and on each change. It
// must be called before Run.
func (p *Proxy) OnMemoryLimit(f func(bytes int64)) {
	p.handover.setMemoryLimit = f
	p.limitMemory(1)
}

// limitMemory limits the process to a fraction of the configured memory.
func (p *Proxy) limitMemory(fraction float64) {
	if p.handover.socketPath != "" && p.startConfig.Limits.MemoryMB < smallMemoryMB {
		fraction = min(fraction, smallMemoryFraction)
	}
	if bytes := fraction * float64(p.startConfig.Limits.MemoryMB) * (1 << 20); bytes > 0 {
		p.loop.MaxBufferBytes = int(readBufferShare * bytes)
		if p.handover.setMemoryLimit != nil {
			p.handover.setMemoryLimit(int64(bytes))
		}
	}
}

// beginHandover connects to a running predecessor. Without an inherited listener this process serves at once.
func (p *Proxy) beginHandover() {
	h := &p.handover
	if h.socketPath == "" {
		h.done, h.serving = true, true
		p.control.Open()
		return
	}
	p.dialPredecessor(p.loop.Now() + stateTimeoutSeconds)
}

// dialPredecessor connects to the predecessor and retries transient failures until the given time. If there is no
// predecessor, this process serves at once.
func (p *Proxy) dialPredecessor(until float64) {
	h := &p.handover
	o := &otherProcess{p: p}
	conn, err := p.loop.DialUnix(h.socketPath, o, maxHandoverMessageBytes)
	if loop.IsTransient(err) && p.loop.Now() < until {
		p.loop.After(pollIntervalSeconds, func() { p.dialPredecessor(until) })
		return
	}
	if err != nil {
		log.Printf("msg=alone error=%q", err)
		p.finishHandover()
		p.serve()
		return
	}
	o.conn, h.predecessor = conn, o
	p.limitMemory(sharedMemoryFraction)
	p.loop.After(stateTimeoutSeconds, func() {
		if h.predecessor == o && !h.done {
			log.Printf("msg=handover_silent")
			o.disconnected(errors.New("no handover state received in time"))
		}
	})
}

// finishHandover ends the wait for the predecessor's state.
func (p *Proxy) finishHandover() {
	h := &p.handover
	if h.done {
		return
	}
	h.done = true
	began := p.loop.Now()
	if h.predecessor != nil {
		p.serveWhenReady(began)
	}
}

// serveWhenReady starts to accept clients once commands can be relayed and the configuration is settled, or when the
// wait has been too long.
func (p *Proxy) serveWhenReady(began float64) {
	if now := p.loop.Now(); p.handover.predecessor != nil && !(p.canRelay() && p.control.Idle()) && now < began+listWaitSeconds {
		p.loop.After(pollIntervalSeconds, func() { p.serveWhenReady(began) })
		return
	}
	p.serve()
}

// serve accepts clients and tells the predecessor, if there is one. From now on the next version connects here.
func (p *Proxy) serve() {
	h := &p.handover
	if p.listener.Closed() || h.serving {
		return
	}
	h.serving = true
	p.listener.Resume()
	p.control.Open()
	p.listenForSuccessor()
	if h.predecessor != nil {
		p.limitDescriptors(p.startConfig.Limits.Sockets / 2)
		h.predecessor.send(handoverMessage{Kind: "serving"})
	}
	log.Printf("msg=accepting successor=%t ready=%t", h.predecessor != nil, p.ready())
	p.reopenPeers()
}

// reopenPeers opens the socket for peer messages once the predecessor has released the address.
func (p *Proxy) reopenPeers() {
	if len(p.peers.addrs) > 0 && p.peers.socket == nil && !p.handover.successorServes && p.applyPeers(p.peers) != nil {
		p.loop.After(handoverPollSeconds, p.reopenPeers)
	}
}

// listenForSuccessor accepts the next version's connection. It retries transient failures.
func (p *Proxy) listenForSuccessor() {
	h := &p.handover
	if h.successorServes || h.listener != nil {
		return
	}
	var err error
	h.listener, err = p.loop.ListenUnix(h.socketPath, maxHandoverMessageBytes, func(conn *loop.Conn) loop.Handler {
		return &otherProcess{p: p, conn: conn, connected: true}
	})
	if err != nil {
		h.listener = nil
		log.Printf("msg=no_handover error=%q", err) // the proxy serves without it
	}
	if loop.IsTransient(err) {
		p.loop.After(pollIntervalSeconds, p.listenForSuccessor)
	}
}

// limitDescriptors limits the process to n descriptors.
func (p *Proxy) limitDescriptors(n int) {
	p.divideDescriptors(max(n, p.reservedDescriptors()+baseDescriptors))
}

// send sends a message to the other process.
func (o *otherProcess) send(msg handoverMessage) {
	msg.Version = handoverVersion
	text, _ := json.Marshal(msg)
	o.conn.Write(append(text, '\n'))
}

// OnConnect sends the hello to the predecessor.
func (o *otherProcess) OnConnect(*loop.Conn) {
	o.connected = true
	o.send(handoverMessage{Kind: "hello", KnowsClaims: true})
}

// OnFlushed does nothing.
func (o *otherProcess) OnFlushed(*loop.Conn) {}

// OnDisconnect handles the end of the connection.
func (o *otherProcess) OnDisconnect(_ *loop.Conn, err error) { o.disconnected(err) }

// disconnected handles the loss of the other process, or its failure to act in time: this process takes over the
// shared resources.
func (o *otherProcess) disconnected(err error) {
	p, h := o.p, &o.p.handover
	o.conn.Close()
	switch o {
	case h.predecessor:
		h.predecessor = nil
		log.Printf("msg=predecessor_gone error=%q", err)
		p.finishHandover()
		p.serve()
	case h.successor:
		h.successor = nil
		p.control.Resume()
		log.Printf("msg=successor_gone error=%q served=%t", err, h.successorServes)
		if h.successorServes && !p.shutdown.active {
			h.successorServes = false
			p.listener.Resume()
			p.listenForSuccessor()
			p.reopenPeers()
		}
	default:
		log.Printf("msg=stranger error=%q", err)
		return
	}
	for n := range h.pendingOperations {
		h.operationDone(n, nil)
	}
	p.grantAllClaims()
	if h.predecessor == nil && h.successor == nil {
		p.limitMemory(1)
		p.limitDescriptors(p.startConfig.Limits.Sockets)
	}
}

// OnData reads and handles messages.
func (o *otherProcess) OnData(conn *loop.Conn) {
	for {
		end := bytes.IndexByte(conn.Unconsumed(), '\n')
		if end < 0 {
			if conn.ReadBufferFull() {
				o.disconnected(errors.New("message is too long"))
			}
			return
		}
		var msg handoverMessage
		err := json.Unmarshal(conn.Unconsumed()[:end], &msg)
		if err == nil && msg.Version != handoverVersion {
			err = fmt.Errorf("unknown protocol version %d", msg.Version)
		}
		if err != nil {
			o.disconnected(err)
			return
		}
		conn.Consume(end + 1)
		if o.handleMessage(&msg); o.p.handover.predecessor != o && o.p.handover.successor != o {
			return
		}
	}
}

// handleMessage handles a message. A process that has not sent a hello, and that this process did not connect to, is
// rejected.
func (o *otherProcess) handleMessage(msg *handoverMessage) {
	p, h := o.p, &o.p.handover
	if o != h.predecessor && o != h.successor && msg.Kind != "hello" ||
		o != h.predecessor && (msg.Kind == "state" || msg.Kind == "holds") {
		o.disconnected(fmt.Errorf("message %q is not allowed from this process", msg.Kind))
		return
	}
	switch msg.Kind {
	case "hello":
		if h.successor != nil {
			h.successor.disconnected(errors.New("replaced by another successor"))
		}
		h.successor = o
		p.control.Pause() // the successor starts from the configuration saved so far
		p.limitMemory(sharedMemoryFraction)
		o.knowsClaims = msg.KnowsClaims
		o.send(p.handoverState())
		p.sendRecentRequests(o)
		p.loop.After(takeoverTimeoutSeconds, func() {
			if h.successor == o && !h.successorServes {
				o.disconnected(errors.New("successor did not start to serve in time"))
			}
		})
	case "state":
		o.knowsClaims = msg.KnowsClaims
		p.control.ReloadSaved() // the predecessor may have saved a newer configuration since this process started
		p.takeOver(msg)
	case "serving":
		p.yieldTo(o)
	case "holds":
		p.limitDescriptors(p.startConfig.Limits.Sockets - msg.Sockets)
	case "call":
		log.Printf("msg=ops call=%s id=%q told=true", msg.Operation, msg.ID)
		p.applyOperation(msg.Operation, msg.ID)
		p.persist(persistTimeoutSeconds, func(err error) {
			done := handoverMessage{Kind: "done", Number: msg.Number}
			if err != nil {
				done.Error = err.Error()
			}
			o.send(done)
		})
	case "ran":
		p.addRequestsRunElsewhere(msg.IDs)
	case "claim":
		p.replyToClaim(o, msg)
	case "claimed":
		result := claimGranted
		if msg.Error != "" {
			result = claimRefused
		}
		p.claimDone(msg.Number, result)
	case "done":
		var err error
		if msg.Error != "" {
			err = errors.New(msg.Error)
		}
		h.operationDone(msg.Number, err)
	}
}

// handoverState returns what the next version must know to keep the rules.
func (p *Proxy) handoverState() handoverMessage {
	names := map[balance.State]string{}
	for name, s := range endpointStates {
		names[s] = name
	}
	list := &endpointUpdate{Index: p.watch.index, Snapshot: true}
	for _, b := range p.backends.byName {
		if b.listed.State != balance.Gone {
			list.Endpoints = append(list.Endpoints, endpoint{Name: b.name, Address: b.addr.String(),
				Zone:  p.names.Zones[b.listed.Zone],
				Group: b.listed.Cell, Status: names[b.listed.State], Weight: b.listed.Capacity, SinceMs: b.sinceMs})
		}
	}
	slices.SortFunc(list.Endpoints, func(a, b endpoint) int { return strings.Compare(a.Name, b.Name) })
	return handoverMessage{Kind: "state", Discovery: p.watch.addr.String(), Endpoints: list, Maintenance: &p.maintenance,
		StartAges: p.collectAges(), Drained: p.drain.active, KnowsClaims: true}
}

// applyState continues from the predecessor's state, which is elapsed seconds old. The list's index is valid only for
// the discovery address that it is from.
func (p *Proxy) applyState(msg *handoverMessage, elapsed float64) {
	if msg.Maintenance != nil {
		p.maintenance = *msg.Maintenance
	}
	p.applyAges(msg.StartAges, msg.Endpoints, elapsed)
	if msg.Endpoints != nil && !msg.StartAgesOnly && !p.watch.Received {
		p.applyEndpoints(msg.Endpoints)
		p.watch.hasList = msg.Discovery == p.watch.addr.String()
	} else {
		for _, name := range slices.Sorted(maps.Keys(p.backends.byName)) {
			p.refreshBackend(name)
		}
	}
	if msg.Drained {
		p.startDrain()
	}
}

// takeOver continues from the predecessor's state, which is newer than a snapshot.
func (p *Proxy) takeOver(msg *handoverMessage) {
	if !msg.Drained {
		p.endDrain()
	}
	if msg.StartAges != nil && !p.watch.Received {
		clear(p.startTimes) // those of the snapshot
	}
	p.applyState(msg, 0)
	log.Printf("msg=handed_over backends=%d left_out=%d drained=%t", p.backends.readyCount, len(p.maintenance.Cordoned),
		msg.Drained)
	p.finishHandover()
}

// yieldTo leaves new connections to the successor. What is open here is finished.
func (p *Proxy) yieldTo(o *otherProcess) {
	h := &p.handover
	if h.successor != o || h.successorServes {
		return
	}
	h.successorServes, h.yieldedAt = true, p.loop.Now()
	p.listener.Pause()
	if h.listener != nil {
		h.listener.Release()
		h.listener = nil
	}
	if p.peers.socket != nil {
		p.peers.socket.Close()
		p.peers.socket = nil
	}
	log.Printf("msg=succeeded open=%d clients=%d", len(p.commands), p.clients.count)
	p.drainToSuccessor(o)
}

// drainToSuccessor closes idle connections and exits once nothing is open.
func (p *Proxy) drainToSuccessor(o *otherProcess) {
	h := &p.handover
	if h.successor != o || p.shutdown.closingConns {
		return
	}
	elapsed := p.loop.Now() - h.yieldedAt
	p.closeIdleGradually(elapsed, idleCloseStartSeconds, idleCloseEndSeconds)
	p.backends.maxConns = min(p.backends.maxConns, max(p.clients.count, len(p.backends.conns), 1))
	o.send(handoverMessage{Kind: "holds", Sockets: p.reservedDescriptors() + p.clients.count + p.backends.maxConns})
	if elapsed > minStaySeconds && p.clients.count == 0 && len(p.commands) == 0 {
		log.Printf("msg=left")
		p.loop.Stop()
		return
	}
	p.loop.After(handoverPollSeconds, func() { p.drainToSuccessor(o) })
}

// otherProcesses returns the connected processes that must apply operations, too.
func (p *Proxy) otherProcesses() (all []*otherProcess) {
	for _, o := range []*otherProcess{p.handover.predecessor, p.handover.successor} {
		if o != nil && o.connected {
			all = append(all, o)
		}
	}
	return all
}

// applyEverywhere applies an operation here and in the other process. It calls back once both have applied and
// persisted it, or with the first error. A process that does not answer has stopped, and sends nothing new either.
func (p *Proxy) applyEverywhere(operation, id string, callback func(error)) {
	p.applyOperation(operation, id)
	var firstErr error
	remaining := 1
	done := func(err error) {
		firstErr = cmp.Or(firstErr, err) // keeps the first error
		if remaining--; remaining == 0 {
			callback(firstErr)
		}
	}
	for _, o := range p.otherProcesses() {
		remaining++
		p.forwardOperation(o, operation, id, done)
	}
	p.persist(persistTimeoutSeconds, done)
}

// forwardOperation sends an operation to another process, and calls back when it is confirmed or the wait has been
// too long.
func (p *Proxy) forwardOperation(o *otherProcess, operation, id string, done func(error)) {
	h := &p.handover
	if h.pendingOperations == nil {
		h.pendingOperations = map[int]func(error){}
	}
	h.lastOperation++
	n := h.lastOperation
	h.pendingOperations[n] = done
	o.send(handoverMessage{Kind: "call", Number: n, Operation: operation, ID: id})
	p.loop.After(operationTimeoutSeconds, func() { h.operationDone(n, nil) })
}

// operationDone ends the wait for another process's confirmation, if it has not ended.
func (h *handover) operationDone(n int, err error) {
	if done := h.pendingOperations[n]; done != nil {
		delete(h.pendingOperations, n)
		done(err)
	}
}

// handoverSocketPath returns the path of the Unix socket for the proxy that listens at the given address.
func handoverSocketPath(listen string) string {
	return filepath.Join(os.TempDir(), "sandpass-"+listen+".sock")
}

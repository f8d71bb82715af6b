// This file owns the upgrade: the connection between the running process and its successor, their messages, and what each
// does when the other is gone. It must never accept clients in a process that can't serve them, nor take the other for
// running once their connection has ended.
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
	handoverVersion     = 1
	meetWithin          = 1.5     // seconds for the running process to hand over: the yes is due 6 s after the start
	serveWithin         = 3.0     // seconds after which a new process serves though nobody is listed: no list may come
	takeOverWithin      = 10.0    // seconds after its hello in which a new process must serve, or counts as gone
	promiseWithin       = 0.35    // seconds for a call to be on the disk that lasts, where there is one
	operateWithin       = 0.5     // seconds for the other process to do what operators called for: their answer is due within 1 s
	handoverMessageMost = 4 << 20 // bytes of a line: thousands of backends
	shedFrom            = 0.3     // seconds after the successor serves, from which what rests is closed: most go with an answer first
	shedTo              = 1.5     // and by which it is closed: the kill comes no sooner than 3.7 s after that
	stayLeast           = 0.5     // seconds that the old process stays, for what was accepted last
	pairMemory          = 0.5     // of the memory for each of two processes
	lookEvery           = 0.05    // seconds between looks at what is still open, and at whether an address is free
)

// handoverMessage is a line between two processes. Unknown fields are passed over; in a larger version they mean something else.
type handoverMessage struct {
	Version     int             `json:"v"`
	Kind        string          `json:"say"` // hello, state, serving, holds, call, done
	Discovery   string          `json:"discovery,omitempty"`
	List        *endpointUpdate `json:"list,omitempty"`
	Maintenance *maintenance    `json:"maintenance,omitempty"`
	Ages        *ages           `json:"ages,omitempty"`
	OldList     bool            `json:"-"` // the list is only what the ages are of
	Drained     bool            `json:"drained,omitempty"`
	Sockets     int             `json:"sockets,omitempty"`
	Number      int             `json:"number,omitempty"`
	Call        string          `json:"call,omitempty"`
	ID          string          `json:"id,omitempty"`
	Failed      string          `json:"failed,omitempty"` // why what was called for would not outlive the process
}

// handover is where this process stands between the one before and the one after.
type handover struct {
	path            string              // of the Unix socket; empty where there is no inherited listener
	listener        *loop.Listener      // where the next version comes
	predecessor     *otherProcess       // the process whose place this one takes, while it lives
	successor       *otherProcess       // the one that takes this one's place, while it lives
	done            bool                // nothing is handed over any more
	serving         bool                // clients are accepted, or were
	successorServes bool                // the one after serves
	since           float64             // when that began
	asked           int                 // calls sent to the other
	waits           map[int]func(error) // for what it has done of these
	setMemory       func(bytes int64)
}

// otherProcess is the predecessor or the successor.
type otherProcess struct {
	p    *Proxy
	conn *loop.Conn
	up   bool
}

// inherited decodes what names the descriptor of the listener, -1 if nothing does.
func parseSocketFD(text string) (int, error) {
	if text == "" {
		return -1, nil
	}
	fd, err := strconv.Atoi(text)
	if err != nil || fd < 0 {
		return -1, fmt.Errorf("socket: %q is no descriptor", text)
	}
	return fd, nil
}

// OnMemory has f called with how much memory the process may use, now and when that changes; before Run.
func (p *Proxy) OnMemoryLimit(f func(bytes int64)) {
	p.handover.setMemory = f
	p.limitMemory(1)
}

// useMemory has the process keep to a part of the memory that the configuration allows.
func (p *Proxy) limitMemory(part float64) {
	if bytes := part * float64(p.startConfig.Limits.MemoryMB) * (1 << 20); bytes > 0 {
		p.loop.MaxBufferBytes = int(readBufferShare * bytes)
		if p.handover.setMemory != nil {
			p.handover.setMemory(int64(bytes))
		}
	}
}

// meetPredecessor looks for a running process. Without one, or where it has nothing to say, this one serves at once.
func (p *Proxy) beginHandover() {
	h := &p.handover
	if h.path == "" {
		h.done, h.serving = true, true
		p.control.Open()
		return
	}
	p.dialPredecessor(p.loop.Now() + meetWithin)
}

// dialPredecessor connects to a running process, again and again until then while the system lacks something for that.
func (p *Proxy) dialPredecessor(until float64) {
	h := &p.handover
	m := &otherProcess{p: p}
	conn, err := p.loop.DialUnix(h.path, m, handoverMessageMost)
	if loop.IsTransient(err) && p.loop.Now() < until {
		p.loop.After(pollIntervalSeconds, func() { p.dialPredecessor(until) })
		return
	}
	if err != nil {
		log.Printf("msg=alone error=%q", err)
		p.handed()
		p.serve()
		return
	}
	m.conn, h.predecessor = conn, m
	p.limitMemory(pairMemory)
	p.loop.After(meetWithin, func() {
		if h.predecessor == m && !h.done {
			log.Printf("msg=handover_silent")
			m.lost(errors.New("no handover in time"))
		}
	})
}

// handed ends the wait for a handover.
func (p *Proxy) handed() {
	h := &p.handover
	if h.done {
		return
	}
	h.done = true
	began := p.loop.Now()
	if h.predecessor != nil {
		p.serveSoon(began)
	}
}

// serveSoon accepts as soon as what comes can be relayed, or by the time that somebody must.
func (p *Proxy) serveSoon(began float64) {
	if now := p.loop.Now(); p.handover.predecessor != nil && !(p.canRelay() && p.control.Idle()) && now < began+serveWithin {
		p.loop.After(pollIntervalSeconds, func() { p.serveSoon(began) })
		return
	}
	p.serve()
}

// serve accepts clients and says so to the predecessor, if it runs; the next version connects here from now on.
func (p *Proxy) serve() {
	h := &p.handover
	if p.listener.Closed() || h.serving {
		return
	}
	h.serving = true
	p.listener.Resume()
	p.control.Open()
	p.expectNext()
	if h.predecessor != nil {
		p.useSockets(p.startConfig.Limits.Sockets / 2)
		h.predecessor.send(handoverMessage{Kind: "serving"})
	}
	log.Printf("msg=accepting successor=%t ready=%t", h.predecessor != nil, p.ready())
	p.rejoinPeers()
}

// rejoinPeers takes the address for messages once the process before has let it go.
func (p *Proxy) rejoinPeers() {
	if len(p.peers.addrs) > 0 && p.peers.socket == nil && !p.handover.successorServes && p.applyPeers(p.peers) != nil {
		p.loop.After(lookEvery, p.rejoinPeers)
	}
}

// expectNext has the next version come here, as soon as the system has what that needs.
func (p *Proxy) expectNext() {
	h := &p.handover
	if h.successorServes || h.listener != nil {
		return
	}
	var err error
	h.listener, err = p.loop.ListenUnix(h.path, handoverMessageMost, func(conn *loop.Conn) loop.Handler {
		return &otherProcess{p: p, conn: conn, up: true}
	})
	if err != nil {
		h.listener = nil
		log.Printf("msg=no_handover error=%q", err) // the proxy serves all the same
	}
	if loop.IsTransient(err) {
		p.loop.After(pollIntervalSeconds, p.expectNext)
	}
}

// useSockets has the process keep to so many descriptors.
func (p *Proxy) useSockets(n int) {
	p.divideDescriptors(max(n, p.reservedDescriptors()+baseDescriptors))
}

func (m *otherProcess) send(w handoverMessage) {
	w.Version = handoverVersion
	text, _ := json.Marshal(w)
	m.conn.Write(append(text, '\n'))
}

func (m *otherProcess) OnConnect(*loop.Conn) {
	m.up = true
	m.send(handoverMessage{Kind: "hello"})
}

func (m *otherProcess) OnFlushed(*loop.Conn) {}

func (m *otherProcess) OnDisconnect(_ *loop.Conn, err error) { m.lost(err) }

// lost says that the other process is gone, or is to count as that: all that was shared falls to this one.
func (m *otherProcess) lost(err error) {
	p, h := m.p, &m.p.handover
	m.conn.Close()
	switch m {
	case h.predecessor:
		h.predecessor = nil
		log.Printf("msg=predecessor_gone error=%q", err)
		p.handed()
		p.serve()
	case h.successor:
		h.successor = nil
		p.control.Resume()
		log.Printf("msg=successor_gone error=%q served=%t", err, h.successorServes)
		if h.successorServes && !p.shutdown.active {
			h.successorServes = false
			p.listener.Resume()
			p.expectNext()
			p.rejoinPeers()
		}
	default:
		log.Printf("msg=stranger error=%q", err)
		return
	}
	for n := range h.waits {
		h.answered(n, nil)
	}
	if h.predecessor == nil && h.successor == nil {
		p.limitMemory(1)
		p.useSockets(p.startConfig.Limits.Sockets)
	}
}

func (m *otherProcess) OnData(c *loop.Conn) {
	for {
		end := bytes.IndexByte(c.Unconsumed(), '\n')
		if end < 0 {
			if c.ReadBufferFull() {
				m.lost(errors.New("a line without end"))
			}
			return
		}
		var w handoverMessage
		err := json.Unmarshal(c.Unconsumed()[:end], &w)
		if err == nil && w.Version != handoverVersion {
			err = fmt.Errorf("version %d is unknown", w.Version)
		}
		if err != nil {
			m.lost(err)
			return
		}
		c.Consume(end + 1)
		if m.received(&w); m.p.handover.predecessor != m && m.p.handover.successor != m {
			return
		}
	}
}

// received acts on a message of the other process. One that has sent no hello, and was not called by this one, is a stranger.
func (m *otherProcess) received(w *handoverMessage) {
	p, h := m.p, &m.p.handover
	if m != h.predecessor && m != h.successor && w.Kind != "hello" || m != h.predecessor && (w.Kind == "state" || w.Kind == "holds") {
		m.lost(fmt.Errorf("%q is not this process's to say", w.Kind))
		return
	}
	switch w.Kind {
	case "hello":
		if h.successor != nil {
			h.successor.lost(errors.New("another came"))
		}
		h.successor = m
		p.control.Pause() // what is saved by now is what the other starts with
		p.limitMemory(pairMemory)
		m.send(p.handoverState())
		p.loop.After(takeOverWithin, func() {
			if h.successor == m && !h.successorServes {
				m.lost(errors.New("it does not serve"))
			}
		})
	case "state":
		p.control.ReloadSaved() // the predecessor may have saved a newer configuration since this process started
		p.takeOver(w, 0)
		log.Printf("msg=handed_over backends=%d left_out=%d drained=%t", p.backends.readyCount, len(p.maintenance.Cordoned), w.Drained)
	case "serving":
		p.giveWay(m)
	case "holds":
		p.useSockets(p.startConfig.Limits.Sockets - w.Sockets)
	case "call":
		log.Printf("msg=ops call=%s id=%q told=true", w.Call, w.ID)
		p.operate(w.Call, w.ID)
		p.promise(promiseWithin, func(err error) {
			done := handoverMessage{Kind: "done", Number: w.Number}
			if err != nil {
				done.Failed = err.Error()
			}
			m.send(done)
		})
	case "done":
		var err error
		if w.Failed != "" {
			err = errors.New(w.Failed)
		}
		h.answered(w.Number, err)
	}
}

// handoverState is what the next version must know to keep the rules.
func (p *Proxy) handoverState() handoverMessage {
	names := map[balance.State]string{}
	for name, s := range endpointStates {
		names[s] = name
	}
	l := &endpointUpdate{Index: p.watch.index, Snapshot: true}
	for _, t := range p.backends.byName {
		if t.listed.State != balance.Gone {
			l.Endpoints = append(l.Endpoints, endpoint{Name: t.name, Address: t.addr.String(), Zone: p.names.Zones[t.listed.Zone],
				Group: t.listed.Cell, Status: names[t.listed.State], Weight: t.listed.Capacity, SinceMs: t.sinceMs})
		}
	}
	slices.SortFunc(l.Endpoints, func(a, b endpoint) int { return strings.Compare(a.Name, b.Name) })
	return handoverMessage{Kind: "state", Discovery: p.watch.addr.String(), List: l, Maintenance: &p.maintenance, Ages: p.ages(), Drained: p.drain.active}
}

// takeOver goes on from the predecessor's state, as it was so many seconds ago. The list's index counts only with the
// discovery that it is from.
func (p *Proxy) takeOver(w *handoverMessage, elapsed float64) {
	if w.Maintenance != nil {
		p.maintenance = *w.Maintenance
	}
	p.takeAges(w.Ages, w.List, elapsed)
	if w.List != nil && !w.OldList && !p.watch.Received {
		p.applyEndpoints(w.List)
		p.watch.hasList = w.Discovery == p.watch.addr.String()
	} else {
		for _, name := range slices.Sorted(maps.Keys(p.backends.byName)) {
			p.refreshBackend(name)
		}
	}
	if w.Drained {
		p.startDrain()
	}
	p.handed()
}

// giveWay leaves new connections to the process after. What is open here is finished.
func (p *Proxy) giveWay(m *otherProcess) {
	h := &p.handover
	if h.successor != m || h.successorServes {
		return
	}
	h.successorServes, h.since = true, p.loop.Now()
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
	p.giveWayOn(m)
}

// giveWayOn closes what rests and leaves once nothing is open.
func (p *Proxy) giveWayOn(m *otherProcess) {
	h := &p.handover
	if h.successor != m || p.shutdown.closingConns {
		return
	}
	t := p.loop.Now() - h.since
	p.closeIdleGradually(t, shedFrom, shedTo)
	p.backends.maxConns = min(p.backends.maxConns, max(p.clients.count, len(p.backends.conns), 1))
	m.send(handoverMessage{Kind: "holds", Sockets: p.reservedDescriptors() + p.clients.count + p.backends.maxConns})
	if t > stayLeast && p.clients.count == 0 && len(p.commands) == 0 {
		log.Printf("msg=left")
		p.loop.Stop()
		return
	}
	p.loop.After(lookEvery, func() { p.giveWayOn(m) })
}

// others are the processes that must do what operators say as well.
func (p *Proxy) otherProcesses() (all []*otherProcess) {
	for _, m := range []*otherProcess{p.handover.predecessor, p.handover.successor} {
		if m != nil && m.up {
			all = append(all, m)
		}
	}
	return all
}

// operateAll carries out a call here and in the other process, and calls back once it holds in both and is on the disk that
// lasts, where there is one, or with the error why it is not. Another process that says nothing has stopped, and sends nothing
// new either.
func (p *Proxy) operateAll(what, id string, then func(error)) {
	p.operate(what, id)
	var failed error
	left := 1
	done := func(err error) {
		failed = cmp.Or(failed, err) // the first
		if left--; left == 0 {
			then(failed)
		}
	}
	for _, m := range p.otherProcesses() {
		left++
		p.tellOther(m, what, id, done)
	}
	p.promise(promiseWithin, done)
}

// tellOther has another process carry out a call, and calls back when it has, or has taken too long.
func (p *Proxy) tellOther(m *otherProcess, what, id string, done func(error)) {
	h := &p.handover
	if h.waits == nil {
		h.waits = map[int]func(error){}
	}
	h.asked++
	n := h.asked
	h.waits[n] = done
	m.send(handoverMessage{Kind: "call", Number: n, Call: what, ID: id})
	p.loop.After(operateWithin, func() { h.answered(n, nil) })
}

// answered ends the wait for another process's word on a call, if it has not ended.
func (h *handover) answered(n int, err error) {
	if done := h.waits[n]; done != nil {
		delete(h.waits, n)
		done(err)
	}
}

// meetAt is the path of the Unix socket for the proxy that listens at this address.
func handoverSocketPath(listen string) string {
	return filepath.Join(os.TempDir(), "sandpass-"+listen+".sock")
}

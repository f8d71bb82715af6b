// This file implements the forwarder for TCP connections. Each direction of a connection has two goroutines: one reads as
// long as the buffer has room, one writes each chunk when it is due. No byte of a connection is dropped unless the
// connection is reset.

package faultnet

import (
	"net"
	"sync"
	"time"
)

// StreamForwarder accepts TCP connections at its own address and forwards them to the target.
type StreamForwarder struct {
	listener     net.Listener
	target       string
	directions   [2]*direction // to the target, back to the client
	mu           sync.Mutex
	connections  map[*connection]bool
	byTargetAddr map[string]*connection // by the remote address that the target sees
	closed       bool
	tasks        sync.WaitGroup
}

// NewStreamForwarder starts to forward connections to the target from a loopback address of its own.
func NewStreamForwarder(target string, seed uint64) (*StreamForwarder, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &StreamForwarder{listener: l, target: target, directions: [2]*direction{newDirection(seed, 0), newDirection(seed, 1)},
		connections: map[*connection]bool{}, byTargetAddr: map[string]*connection{}}
	s.tasks.Add(1)
	go s.accept()
	return s, nil
}

// Addr returns the address that clients connect to.
func (s *StreamForwarder) Addr() string { return s.listener.Addr().String() }

// SetConditions replaces the conditions of both directions, for open connections too.
func (s *StreamForwarder) SetConditions(toTarget, toClient Conditions) {
	s.directions[0].setConditions(toTarget)
	s.directions[1].setConditions(toClient)
}

// Delivered returns the traffic that arrived at the target and at the clients.
func (s *StreamForwarder) Delivered() (toTarget, toClient Traffic) {
	return s.directions[0].deliveredSoFar(), s.directions[1].deliveredSoFar()
}

// Reset resets all open connections and drops their bytes in transit.
func (s *StreamForwarder) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.connections {
		conn.shutdown(true)
	}
}

// ReceivedAt returns when the forwarder had received the first bytes bytes of a connection from its client, however long they
// were then in transit. The remote address from, as the target sees it, selects the connection. Records of earlier bytes are
// discarded.
func (s *StreamForwarder) ReceivedAt(from net.Addr, bytes int64) (time.Time, bool) {
	s.mu.Lock()
	conn := s.byTargetAddr[from.String()]
	s.mu.Unlock()
	if conn == nil {
		return time.Time{}, false
	}
	return conn.receivedAt(bytes)
}

// Close stops the forwarder, resets all connections and waits for the goroutines.
func (s *StreamForwarder) Close() {
	s.mu.Lock()
	s.closed = true
	for conn := range s.connections {
		conn.shutdown(true)
	}
	s.mu.Unlock()
	s.listener.Close()
	s.tasks.Wait()
}

// accept handles incoming connections until the listener is closed.
func (s *StreamForwarder) accept() {
	defer s.tasks.Done()
	for {
		client, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.tasks.Add(1)
		go s.handle(client)
	}
}

// connection is one forwarded connection: the client side, the target side once it is dialed, and its shutdown state.
type connection struct {
	mu            sync.Mutex
	ends          [2]net.Conn
	done          chan struct{}
	closed        bool
	arrivals      []arrival // of bytes towards the target that receivedAt has not passed yet
	receivedBytes int64     // from the client
}

// arrival records when the first offset bytes of a connection had been received.
type arrival struct {
	offset int64
	at     time.Time
}

const maxArrivals = 4096 // bounds memory for a connection whose target never calls ReceivedAt

// recordArrival records that size more bytes towards the target were received.
func (conn *connection) recordArrival(size int) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.receivedBytes += int64(size)
	if len(conn.arrivals) < maxArrivals {
		conn.arrivals = append(conn.arrivals, arrival{conn.receivedBytes, time.Now()})
	}
}

// receivedAt returns when the first bytes bytes had been received, and discards the records of earlier ones.
func (conn *connection) receivedAt(bytes int64) (time.Time, bool) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	for i, a := range conn.arrivals {
		if a.offset >= bytes {
			conn.arrivals = conn.arrivals[i:]
			return a.at, true
		}
	}
	return time.Time{}, false
}

// shutdown closes both sides once, with a TCP reset if asked for.
func (conn *connection) shutdown(reset bool) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.closed {
		return
	}
	conn.closed = true
	close(conn.done)
	for _, c := range conn.ends {
		if t, ok := c.(*net.TCPConn); ok && reset {
			_ = t.SetLinger(0) // fails only on a closed connection
		}
		if c != nil {
			c.Close()
		}
	}
}

// attachTarget sets the target side, unless the connection was shut down meanwhile.
func (conn *connection) attachTarget(target net.Conn) bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.closed {
		target.Close()
		return false
	}
	conn.ends[1] = target
	return true
}

// handle dials the target for an accepted connection and forwards both directions until they end.
func (s *StreamForwarder) handle(client net.Conn) {
	defer s.tasks.Done()
	conn := &connection{ends: [2]net.Conn{client, nil}, done: make(chan struct{})}
	defer conn.shutdown(true) // no effect after an orderly end
	if !s.track(conn) {
		return
	}
	defer s.untrack(conn)
	// The target is dialed after the delay of the link; a blocked link stays silent until it is unblocked.
	if !s.awaitTransit(s.directions[0], conn, 0) {
		return
	}
	target, err := net.Dial("tcp4", s.target)
	if err != nil || !conn.attachTarget(target) {
		return
	}
	s.mu.Lock()
	s.byTargetAddr[target.LocalAddr().String()] = conn
	s.mu.Unlock()
	var both sync.WaitGroup
	for side := range 2 {
		both.Go(func() { s.forward(conn, side) })
	}
	both.Wait()
	conn.shutdown(false)
}

// track registers an open connection; it reports false if the forwarder is closed.
func (s *StreamForwarder) track(conn *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.connections[conn] = true
	}
	return !s.closed
}

// untrack removes a finished connection.
func (s *StreamForwarder) untrack(conn *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, conn)
	if conn.ends[1] != nil {
		delete(s.byTargetAddr, conn.ends[1].LocalAddr().String())
	}
}

// awaitTransit waits for the transit time of size bytes, and for the end of any block. It reports false if the connection
// ends first.
func (s *StreamForwarder) awaitTransit(d *direction, conn *connection, size int) bool {
	for {
		at, blocked, changed := d.schedule(time.Now(), size, true)
		if !blocked {
			return sleep(time.Until(at), conn.done)
		}
		select {
		case <-changed:
		case <-conn.done:
			return false
		}
	}
}

// sleep waits for d; it reports false if the channel is closed first.
func sleep(d time.Duration, done chan struct{}) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-done:
		return false
	}
}

// chunk is the result of one read, in transit.
type chunk struct {
	bytes      []byte
	dueAt      time.Time
	wasBlocked bool // received while the direction was blocked: its delay is drawn once the block ends
}

// forward copies from one side to the other in order, each chunk when it is due.
func (s *StreamForwarder) forward(conn *connection, side int) {
	from, to, d := conn.ends[side], conn.ends[1-side], s.directions[side]
	inTransit := make(chan chunk, maxBufferedBytes/readChunkBytes)
	go func() {
		defer close(inTransit)
		for {
			buf := make([]byte, readChunkBytes)
			size, err := from.Read(buf)
			if size > 0 {
				if side == 0 {
					conn.recordArrival(size)
				}
				c := chunk{bytes: buf[:size]}
				c.dueAt, c.wasBlocked, _ = d.schedule(time.Now(), size, true)
				select {
				case inTransit <- c:
				case <-conn.done:
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range inTransit {
		if c.wasBlocked && !s.awaitTransit(d, conn, len(c.bytes)) || !sleep(time.Until(c.dueAt), conn.done) ||
			!s.awaitUnblocked(d, conn) {
			return
		}
		if _, err := to.Write(c.bytes); err != nil {
			conn.shutdown(true)
			return
		}
		d.recordDelivery(c.bytes)
	}
	// The end of the stream has the delay of the link too; closing one direction leaves the other open.
	if s.awaitTransit(d, conn, 0) {
		if t, ok := to.(*net.TCPConn); ok {
			_ = t.CloseWrite() // fails only if the other side is gone
		}
	}
}

// awaitUnblocked holds chunks that were in transit when the direction was blocked, until the block ends. It reports false if
// the connection ends first.
func (s *StreamForwarder) awaitUnblocked(d *direction, conn *connection) bool {
	for {
		d.mu.Lock()
		blocked, changed := d.conditions.Blocked, d.changed
		d.mu.Unlock()
		if !blocked {
			return true
		}
		select {
		case <-changed:
		case <-conn.done:
			return false
		}
	}
}

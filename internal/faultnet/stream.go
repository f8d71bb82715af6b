// This file owns a way for TCP connections. Each connection has two goroutines for each direction: one that takes bytes
// in as long as there is room, one that lets them out when they are due. It must never drop a byte of a connection that
// is not reset.
package faultnet

import (
	"net"
	"sync"
	"time"
)

// Stream forwards what connects to its address.
type StreamForwarder struct {
	listener net.Listener
	target   string
	ways     [2]*way // to the target, and back
	mu       sync.Mutex
	open     map[*joint]bool
	known    map[string]*joint // by the address that the target sees
	closed   bool
	done     sync.WaitGroup
}

// NewStream begins to forward connections to the target from an address of its own on loopback.
func NewStreamForwarder(target string, seed uint64) (*StreamForwarder, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &StreamForwarder{listener: l, target: target, ways: [2]*way{newWay(seed, 0), newWay(seed, 1)}, open: map[*joint]bool{}, known: map[string]*joint{}}
	s.done.Add(1)
	go s.accept()
	return s, nil
}

// Addr is where to connect.
func (s *StreamForwarder) Addr() string { return s.listener.Addr().String() }

// Set changes the weather towards the target and back, for connections that are open too.
func (s *StreamForwarder) SetConditions(there, back Conditions) {
	s.ways[0].set(there)
	s.ways[1].set(back)
}

// Carried is what arrived at the target, and back.
func (s *StreamForwarder) Delivered() (there, back Traffic) {
	return s.ways[0].carriedSoFar(), s.ways[1].carriedSoFar()
}

// Reset breaks all connections, with what is under way on them.
func (s *StreamForwarder) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for j := range s.open {
		j.end(true)
	}
}

// Left tells the target when the first so many bytes of a connection had all come to the way, however long they were on it;
// from is the connection's other end as the target sees it. What came before them is forgotten.
func (s *StreamForwarder) ReceivedAt(from net.Addr, bytes int64) (time.Time, bool) {
	s.mu.Lock()
	j := s.known[from.String()]
	s.mu.Unlock()
	if j == nil {
		return time.Time{}, false
	}
	return j.left(bytes)
}

// Close ends the way and all its connections, and waits for its goroutines.
func (s *StreamForwarder) Close() {
	s.mu.Lock()
	s.closed = true
	for j := range s.open {
		j.end(true)
	}
	s.mu.Unlock()
	s.listener.Close()
	s.done.Wait()
}

func (s *StreamForwarder) accept() {
	defer s.done.Done()
	for {
		near, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.done.Add(1)
		go s.join(near)
	}
}

// joint is one connection: its near end, its far end once there is one, and how it is ended.
type joint struct {
	mu    sync.Mutex
	ends  [2]net.Conn
	over  chan struct{}
	ended bool
	marks []mark // of what went towards the target and was not asked for yet
	came  int64  // bytes
}

// mark is when so many bytes of a connection had come to its way.
type mark struct {
	upTo int64
	at   time.Time
}

const mostMarks = 4096 // of a connection whose far end never asks

// mark notes bytes that come to the way towards the target.
func (j *joint) mark(n int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.came += int64(n)
	if len(j.marks) < mostMarks {
		j.marks = append(j.marks, mark{j.came, time.Now()})
	}
}

// left is when the last of so many bytes came, and forgets what came before it.
func (j *joint) left(bytes int64) (time.Time, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i, m := range j.marks {
		if m.upTo >= bytes {
			j.marks = j.marks[i:]
			return m.at, true
		}
	}
	return time.Time{}, false
}

func (j *joint) end(reset bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.ended {
		return
	}
	j.ended = true
	close(j.over)
	for _, c := range j.ends {
		if t, ok := c.(*net.TCPConn); ok && reset {
			_ = t.SetLinger(0) // fails only on what is closed
		}
		if c != nil {
			c.Close()
		}
	}
}

// reach gives the connection its far end, unless it was ended meanwhile.
func (j *joint) reach(far net.Conn) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.ended {
		far.Close()
		return false
	}
	j.ends[1] = far
	return true
}

func (s *StreamForwarder) join(near net.Conn) {
	defer s.done.Done()
	j := &joint{ends: [2]net.Conn{near, nil}, over: make(chan struct{})}
	defer j.end(true) // nothing is left to reset where it has ended well
	if !s.keep(j) {
		return
	}
	defer s.forget(j)
	// The far end is asked for when word of the connection would be there: a cut way is silent until it heals.
	if !s.wait(s.ways[0], j, 0) {
		return
	}
	far, err := net.Dial("tcp4", s.target)
	if err != nil || !j.reach(far) {
		return
	}
	s.mu.Lock()
	s.known[far.LocalAddr().String()] = j
	s.mu.Unlock()
	var both sync.WaitGroup
	for n := range 2 {
		both.Go(func() { s.carry(j, n) })
	}
	both.Wait()
	j.end(false)
}

func (s *StreamForwarder) keep(j *joint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.open[j] = true
	}
	return !s.closed
}

func (s *StreamForwarder) forget(j *joint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, j)
	if j.ends[1] != nil {
		delete(s.known, j.ends[1].LocalAddr().String())
	}
}

// wait lets the time pass that a piece takes, and all of a cut; it is false once the connection is over.
func (s *StreamForwarder) wait(y *way, j *joint, size int) bool {
	for {
		at, cut, change := y.due(time.Now(), size, true)
		if !cut {
			return sleep(time.Until(at), j.over)
		}
		select {
		case <-change:
		case <-j.over:
			return false
		}
	}
}

func sleep(d time.Duration, over chan struct{}) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-over:
		return false
	}
}

type piece struct {
	bytes []byte
	at    time.Time
	cut   bool // the way was when it came: its time is drawn once it is not
}

// carry takes in what one end writes and lets it out at the other in order, each piece when it is due.
func (s *StreamForwarder) carry(j *joint, n int) {
	from, to, y := j.ends[n], j.ends[1-n], s.ways[n]
	under := make(chan piece, mostHeld/pieceSize)
	go func() {
		defer close(under)
		for {
			text := make([]byte, pieceSize)
			k, err := from.Read(text)
			if k > 0 {
				if n == 0 {
					j.mark(k)
				}
				p := piece{bytes: text[:k]}
				p.at, p.cut, _ = y.due(time.Now(), k, true)
				select {
				case under <- p:
				case <-j.over:
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range under {
		if p.cut && !s.wait(y, j, len(p.bytes)) || !sleep(time.Until(p.at), j.over) || !s.healed(y, j) {
			return
		}
		if _, err := to.Write(p.bytes); err != nil {
			j.end(true)
			return
		}
		y.count(len(p.bytes))
	}
	// Word of the end takes the way as well; a half that is closed leaves the other open.
	if s.wait(y, j, 0) {
		if t, ok := to.(*net.TCPConn); ok {
			_ = t.CloseWrite() // fails only where the other end is gone
		}
	}
}

// healed holds what was under way when the way was cut: nothing passes a cut.
func (s *StreamForwarder) healed(y *way, j *joint) bool {
	for {
		y.mu.Lock()
		cut, change := y.weather.Blocked, y.changed
		y.mu.Unlock()
		if !cut {
			return true
		}
		select {
		case <-change:
		case <-j.over:
			return false
		}
	}
}

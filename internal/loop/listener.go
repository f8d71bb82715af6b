// This file implements listening sockets. Each accepted connection is passed to a callback. No connection may be left in the
// backlog while a descriptor is available for it: to the client it is already established.

package loop

import (
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

const (
	listenBacklog      = 1024 // connections that may wait to be accepted
	maxAcceptsPerEvent = 64   // bound on the connections accepted at once, so that other descriptors are served too
	acceptPauseSeconds = 0.01 // pause in accepting when there is no capacity or no descriptor
)

// Listener accepts connections at one address or socket path.
type Listener struct {
	Addr          netip.AddrPort // address to which the socket is bound
	loop          *Loop
	fd            int
	maxUnconsumed int // upper bound of a connection's unconsumed bytes
	hasRoom       func() bool
	onAccept      func(*Conn) Handler
	onExhausted   func()
	paused        bool    // accepts no connections
	inherited     bool    // other processes share the descriptor and its blocking mode
	backlogSince  float64 // since when the backlog has not been empty, 0 if it is empty as far as known
}

// Listen opens a TCP listener. Before each accept, hasRoom reports whether there is capacity for another connection;
// onAccept gets each connection and returns its handler; onExhausted is called when the system has no descriptor or memory
// for one.
func (l *Loop) Listen(address netip.AddrPort, maxUnconsumed int, hasRoom func() bool, onAccept func(*Conn) Handler,
	onExhausted func()) (*Listener, error) {
	domain := unix.AF_INET
	if address.Addr().Is6() {
		domain = unix.AF_INET6
	}
	fd, err := l.socket(domain, unix.SOCK_STREAM)
	if err != nil {
		return nil, fmt.Errorf("socket: %w", err)
	}
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err = l.bind(fd, sockaddr(address)); err == nil {
		err = l.listen(fd)
	}
	s := &Listener{loop: l, fd: fd, maxUnconsumed: maxUnconsumed, hasRoom: hasRoom, onAccept: onAccept,
		onExhausted: onExhausted}
	if err == nil {
		err = l.register(fd, s, unix.EPOLLIN)
	}
	if err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("listen at %s: %w", address, err)
	}
	s.Addr = localAddress(fd)
	return s, nil
}

// localAddress returns the address to which a socket is bound.
func localAddress(fd int) netip.AddrPort {
	a, _ := unix.Getsockname(fd)
	return addrPort(a)
}

// addrPort converts a TCP or UDP socket address.
func addrPort(a unix.Sockaddr) netip.AddrPort {
	switch a := a.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr), uint16(a.Port))
	}
	return netip.AddrPort{}
}

// handleEvents accepts connections unless the listener is paused.
func (s *Listener) handleEvents(uint32) {
	if s.backlogSince == 0 {
		s.backlogSince = s.loop.Now()
	}
	if !s.paused {
		s.acceptUpTo(maxAcceptsPerEvent)
	}
}

// acceptUpTo accepts at most limit connections and reports whether the backlog is empty.
func (s *Listener) acceptUpTo(limit int) bool {
	for range limit {
		if !s.hasRoom() {
			s.pauseBriefly()
			return false
		}
		if s.inherited {
			unix.SetNonblock(s.fd, true) // a process that starts another one with the descriptor may have made it blocking
		}
		fd, err := s.loop.accept(s.fd)
		switch err {
		case nil:
		case unix.EAGAIN, unix.EBADF, unix.EINVAL, unix.ENOTSOCK:
			s.backlogSince = 0
			return true // the backlog is empty, or the socket is unusable
		case unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM:
			s.onExhausted()
			s.pauseBriefly()
			return false
		default:
			continue // interrupted, or an error pending on one connection; others may wait behind it
		}
		if c, err := s.loop.newConn(fd, nil, s.maxUnconsumed, readEvents); err == nil {
			unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, sendBufferBytes)
			c.accepted = true
			c.handler = s.onAccept(c)
		}
	}
	return false
}

// BacklogWait returns for how many seconds the backlog has not been empty, as far as the loop has seen.
func (s *Listener) BacklogWait() float64 {
	if s.backlogSince == 0 {
		return 0
	}
	return s.loop.Now() - s.backlogSince
}

// pauseBriefly stops accepting for acceptPauseSeconds; otherwise the backlog would wake the loop again and again.
func (s *Listener) pauseBriefly() {
	s.loop.setInterest(s.fd, 0)
	s.loop.After(acceptPauseSeconds, func() {
		if s.fd >= 0 && !s.paused {
			s.loop.setInterest(s.fd, unix.EPOLLIN)
		}
	})
}

// Pause stops accepting and leaves new connections to other processes that share the socket.
func (s *Listener) Pause() { s.setPaused(true, 0) }

// Resume accepts connections again.
func (s *Listener) Resume() { s.setPaused(false, unix.EPOLLIN) }

// setPaused sets whether the listener is paused and the events that its socket waits for.
func (s *Listener) setPaused(paused bool, interest uint32) {
	if s.fd >= 0 {
		s.paused = paused
		s.loop.setInterest(s.fd, interest)
	}
}

// Closed reports whether the socket has been closed, by DrainAndClose or Release.
func (s *Listener) Closed() bool { return s.fd < 0 }

// DrainAndClose accepts the connections that wait in the backlog and closes the socket. It returns false if there was no
// room for all of them; the socket then stays open and DrainAndClose must be called again.
func (s *Listener) DrainAndClose() bool {
	if s.fd < 0 {
		return true
	}
	if !s.acceptUpTo(listenBacklog) {
		return false
	}
	s.Release()
	return true
}

// Release closes the descriptor without accepting what waits in the backlog, which is left to other processes that share the
// socket. The descriptor is removed from epoll first: its events would go on as long as another process has the socket open.
func (s *Listener) Release() {
	if s.fd >= 0 {
		unix.EpollCtl(s.loop.epollFD, unix.EPOLL_CTL_DEL, s.fd, nil)
		s.loop.closeDescriptor(s.fd)
		s.fd = -1
	}
}

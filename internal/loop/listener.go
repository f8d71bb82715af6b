// This file owns the listening socket. It hands on each connection it accepts and must never leave one in the
// backlog while there is a descriptor for it: what waits there counts as taken.
package loop

import (
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

const (
	backlog     = 1024 // connections that may wait to be accepted
	acceptsTurn = 64   // accepted in one turn, so that the others get theirs
	acceptPause = 0.01 // seconds without accepting when there is no room
)

// Listener accepts connections at one address.
type Listener struct {
	Address netip.AddrPort // the address that it got
	loop    *Loop
	fd      int
	most    int // bytes that a connection may hold
	room    func() bool
	accept  func(*Conn) Handler
	starved func()
	held    bool    // accepts nothing
	since   float64 // when something began to wait in the backlog, 0 while nothing is known to
}

// Listen opens the socket. Before a connection is taken, room tells whether there is any for it; accept gets each and
// names its handler; starved is told when the system has no descriptor left.
func (l *Loop) Listen(at netip.AddrPort, most int, room func() bool, accept func(*Conn) Handler,
	starved func()) (*Listener, error) {
	domain := unix.AF_INET
	if at.Addr().Is6() {
		domain = unix.AF_INET6
	}
	fd, err := l.socket(domain, unix.SOCK_STREAM)
	if err != nil {
		return nil, fmt.Errorf("socket: %w", err)
	}
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err = l.bind(fd, sockaddr(at)); err == nil {
		err = l.listen(fd)
	}
	s := &Listener{loop: l, fd: fd, most: most, room: room, accept: accept, starved: starved}
	if err == nil {
		err = l.add(fd, s, unix.EPOLLIN)
	}
	if err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("listen at %s: %w", at, err)
	}
	s.Address = address(fd)
	return s, nil
}

// address is what a socket is bound to.
func address(fd int) netip.AddrPort {
	a, _ := unix.Getsockname(fd)
	return addrPort(a)
}

func addrPort(a unix.Sockaddr) netip.AddrPort {
	switch a := a.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr), uint16(a.Port))
	}
	return netip.AddrPort{}
}

func (s *Listener) event(uint32) {
	if s.since == 0 {
		s.since = s.loop.Now()
	}
	if !s.held {
		s.take(acceptsTurn)
	}
}

// take accepts up to so many connections and tells whether the backlog is empty.
func (s *Listener) take(most int) bool {
	for range most {
		if !s.room() {
			s.pause()
			return false
		}
		fd, err := s.loop.acceptFrom(s.fd)
		switch err {
		case nil:
		case unix.EAGAIN, unix.EBADF, unix.EINVAL, unix.ENOTSOCK:
			s.since = 0
			return true // nothing waits, or ever will
		case unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM:
			s.starved()
			s.pause()
			return false
		default:
			continue // interrupted, or the error of one connection; others may wait behind it
		}
		if c, err := s.loop.newConn(fd, nil, s.most, reading); err == nil {
			unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, kernelSend)
			c.accepted = true
			c.handler = s.accept(c)
		}
	}
	return false
}

// Waiting is for how many seconds the backlog has not been empty, as far as the loop has seen.
func (s *Listener) BacklogWait() float64 {
	if s.since == 0 {
		return 0
	}
	return s.loop.Now() - s.since
}

// pause leaves the backlog alone for a moment: it would wake the loop again and again.
func (s *Listener) pause() {
	s.loop.change(s.fd, 0)
	s.loop.After(acceptPause, func() {
		if s.fd >= 0 && !s.held {
			s.loop.change(s.fd, unix.EPOLLIN)
		}
	})
}

// Hold leaves what comes to others who have the socket; Take accepts it again.
func (s *Listener) Pause()  { s.hold(true, 0) }
func (s *Listener) Resume() { s.hold(false, unix.EPOLLIN) }

func (s *Listener) hold(held bool, mask uint32) {
	if s.fd >= 0 {
		s.held = held
		s.loop.change(s.fd, mask)
	}
}

// Closed tells that Close has done its work.
func (s *Listener) Closed() bool { return s.fd < 0 }

// Close takes what still waits in the backlog and closes the socket; it tells whether there was room for all of that,
// and is to be called again where not.
func (s *Listener) DrainAndClose() bool {
	if s.fd < 0 {
		return true
	}
	if !s.take(backlog) {
		return false
	}
	s.Release()
	return true
}

// Leave gives the descriptor back and what still waits with it, to others if they have the socket too. The loop is told
// first: as long as others have it, its events would go on.
func (s *Listener) Release() {
	if s.fd >= 0 {
		unix.EpollCtl(s.loop.epoll, unix.EPOLL_CTL_DEL, s.fd, nil)
		s.loop.drop(s.fd)
		s.fd = -1
	}
}

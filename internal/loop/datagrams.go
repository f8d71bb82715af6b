// This file owns the one socket on which short messages go between siblings. It must never wait: a message that can't
// leave is lost, and its owner must be able to do without it.
package loop

import (
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

const datagramsTurn = 256 // messages taken in one turn, so that the others get theirs

// Datagrams is a UDP socket.
type DatagramSocket struct {
	loop *Loop
	fd   int
	in   []byte // one byte more than allowed
	take func(from netip.AddrPort, text []byte)
}

// Datagrams opens the socket; take gets each message, of a longer one than so many bytes the first
// and one more, in a buffer that is soon used again.
func (l *Loop) OpenDatagramSocket(at netip.AddrPort, most int, take func(netip.AddrPort, []byte)) (*DatagramSocket, error) {
	domain := unix.AF_INET
	if at.Addr().Is6() {
		domain = unix.AF_INET6
	}
	fd, err := l.socket(domain, unix.SOCK_DGRAM)
	if err != nil {
		return nil, fmt.Errorf("socket: %w", err)
	}
	d := &DatagramSocket{loop: l, fd: fd, in: make([]byte, most+1), take: take}
	if err = l.bind(fd, sockaddr(at)); err == nil {
		err = l.add(fd, d, unix.EPOLLIN)
	}
	if err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("messages at %s: %w", at, err)
	}
	return d, nil
}

func (d *DatagramSocket) event(uint32) {
	for range datagramsTurn {
		if d.fd < 0 {
			return // closed by what the last message led to
		}
		n, from, err := unix.Recvfrom(d.fd, d.in, 0)
		if err == unix.EINTR || err == unix.ECONNREFUSED {
			continue // the latter tells of an earlier message that nobody took
		}
		if err != nil {
			return
		}
		d.take(addrPort(from), d.in[:n])
	}
}

// Drop throws away what has come and was not taken.
func (d *DatagramSocket) DiscardPending() (dropped int) {
	for d.fd >= 0 {
		if _, _, err := unix.Recvfrom(d.fd, d.in, 0); err != nil && err != unix.EINTR && err != unix.ECONNREFUSED {
			break
		}
		dropped++
	}
	return dropped
}

// Send has a message leave now or never.
func (d *DatagramSocket) Send(to netip.AddrPort, text []byte) {
	unix.Sendto(d.fd, text, 0, sockaddr(to))
}

// Close gives the socket back.
func (d *DatagramSocket) Close() {
	if d.fd >= 0 {
		d.loop.drop(d.fd)
		d.fd = -1
	}
}

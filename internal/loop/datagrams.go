// This file implements the UDP socket on which sibling proxies exchange short messages. It never blocks: a message that
// can't be sent at once is lost, and its sender must tolerate that.

package loop

import (
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

const maxDatagramsPerEvent = 256 // bound on the messages handled at once, so that other descriptors are served too

// DatagramSocket is a UDP socket that receives and sends messages without blocking.
type DatagramSocket struct {
	loop      *Loop
	fd        int
	buffer    []byte // one byte larger than the longest message allowed
	onMessage func(from netip.AddrPort, message []byte)
}

// OpenDatagramSocket opens a UDP socket at an address. onMessage is called with each message, which is valid only during
// the call. A message longer than maxBytes is truncated to maxBytes+1 bytes.
func (l *Loop) OpenDatagramSocket(address netip.AddrPort, maxBytes int,
	onMessage func(netip.AddrPort, []byte)) (*DatagramSocket, error) {
	domain := unix.AF_INET
	if address.Addr().Is6() {
		domain = unix.AF_INET6
	}
	fd, err := l.socket(domain, unix.SOCK_DGRAM)
	if err != nil {
		return nil, fmt.Errorf("socket: %w", err)
	}
	d := &DatagramSocket{loop: l, fd: fd, buffer: make([]byte, maxBytes+1), onMessage: onMessage}
	if err = l.bind(fd, sockaddr(address)); err == nil {
		err = l.register(fd, d, unix.EPOLLIN)
	}
	if err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("bind datagram socket at %s: %w", address, err)
	}
	return d, nil
}

// handleEvents receives messages and passes them to onMessage.
func (d *DatagramSocket) handleEvents(uint32) {
	for range maxDatagramsPerEvent {
		if d.fd < 0 {
			return // closed by onMessage
		}
		n, from, err := unix.Recvfrom(d.fd, d.buffer, 0)
		if err == unix.EINTR || err == unix.ECONNREFUSED {
			continue // ECONNREFUSED reports that an earlier message had no receiver
		}
		if err != nil {
			return
		}
		d.onMessage(addrPort(from), d.buffer[:n])
	}
}

// DiscardPending drops the messages that have arrived and were not handled, and returns how many there were.
func (d *DatagramSocket) DiscardPending() (dropped int) {
	for d.fd >= 0 {
		if _, _, err := unix.Recvfrom(d.fd, d.buffer, 0); err != nil && err != unix.EINTR && err != unix.ECONNREFUSED {
			break
		}
		dropped++
	}
	return dropped
}

// Send sends a message at once or drops it.
func (d *DatagramSocket) Send(to netip.AddrPort, message []byte) {
	unix.Sendto(d.fd, message, 0, sockaddr(to))
}

// Close closes the socket.
func (d *DatagramSocket) Close() {
	if d.fd >= 0 {
		d.loop.closeDescriptor(d.fd)
		d.fd = -1
	}
}

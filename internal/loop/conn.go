// This file implements connections: their descriptors, read buffers and unsent bytes. A connection reports events to its
// Handler, but never from inside one of its own methods and never after Close. It does not interpret the bytes, and closes
// its descriptor only in Close.

package loop

import (
	"errors"
	"io"
	"net/netip"

	"golang.org/x/sys/unix"
)

const (
	initialBufferBytes = 4 << 10   // size of a connection's first read buffer; most messages fit
	maxFreeBuffers     = 256       // initial buffers kept for reuse, 1 MiB
	largeBufferBytes   = 32 << 10  // size of the read buffer through which a long message is streamed
	sendBufferBytes    = 128 << 10 // SO_SNDBUF of accepted connections; a larger one hides whether the peer reads
	burstSeconds       = 0.01      // within which reads that fill the buffer follow one another while bytes wait
)

// ErrReadBufferFull ends a connection that has more to read, of which no more fits in its read buffer, and whose handler neither
// consumes any of it nor stops reading.
var ErrReadBufferFull = errors.New("unconsumed bytes exceed the read buffer limit")

// Handler receives the events of a connection.
type Handler interface {
	OnConnect(c *Conn)               // a dialed connection is established
	OnData(c *Conn)                  // Unconsumed has more bytes, or more wait and ReadBufferFull is true
	OnFlushed(c *Conn)               // the kernel has taken all written bytes
	OnDisconnect(c *Conn, err error) // it has ended, with io.EOF if the peer closed it cleanly; Close must still be called
}

// Conn is a stream connection, over TCP or a Unix socket.
type Conn struct {
	loop          *Loop
	fd            int // -1 once closed
	handler       Handler
	maxUnconsumed int // upper bound of unconsumed bytes
	buffer        []byte
	start         int // offset of the first unconsumed byte in buffer
	end           int // offset after the last one
	unsent        []byte
	interest      uint32
	dialing       bool
	paused        bool
	inputSince    float64 // when input was first seen waiting while the connection was paused, 0 if none was
	receivedAt    float64 // time by which the bytes read last had arrived
	filledAt      float64 // when the latest read filled the buffer, so that more bytes may have waited; 0 if it did not
	pausedWithEOF bool    // paused, and the peer's close is reported only after all bytes before it
	pausedAt      float64 // since when pausedWithEOF is set
	aheadBlocked  bool    // there was no room to read ahead, and bytes have waited since
	readsAhead    bool    // paused, and reads ahead when many bytes wait
	lowWatermark  bool    // SO_RCVLOWAT is readAheadAtBytes
	consumed      int     // bytes consumed since the start
	ahead         []readAheadMark
	largeBuffer   bool    // uses a large buffer and keeps it while it is empty
	lastSentAt    float64 // when the kernel last accepted written bytes
	disconnected  bool    // OnDisconnect was called or is scheduled
	peekedError   error   // the connection's error, which a peek took from the kernel, nil if none did
	accepted      bool
	discardLimit  int // bytes that may still be discarded after a call of Discard
}

// newConn registers a connection for a descriptor, which it closes if that fails.
func (l *Loop) newConn(fd int, h Handler, maxUnconsumed int, interest uint32) (*Conn, error) {
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	c := &Conn{loop: l, fd: fd, handler: h, maxUnconsumed: maxUnconsumed, interest: interest}
	if err := l.register(fd, c, interest); err != nil {
		unix.Close(fd)
		return nil, err
	}
	return c, nil
}

// readEvents are the wanted events of a connection that is read.
const readEvents = unix.EPOLLIN | unix.EPOLLRDHUP

// Dial starts a TCP connection; OnConnect or OnDisconnect follows in a later iteration.
func (l *Loop) Dial(to netip.AddrPort, h Handler, maxUnconsumed int) (*Conn, error) {
	domain := unix.AF_INET
	if to.Addr().Is6() {
		domain = unix.AF_INET6
	}
	fd, err := l.socket(domain, unix.SOCK_STREAM)
	if err != nil {
		return nil, err
	}
	if err := l.connect(fd, sockaddr(to)); err != nil && err != unix.EINPROGRESS {
		unix.Close(fd)
		return nil, err
	}
	c, err := l.newConn(fd, h, maxUnconsumed, readEvents|unix.EPOLLOUT)
	if err == nil {
		c.dialing = true
	}
	return c, err
}

// sockaddr converts an address for the socket system calls.
func sockaddr(a netip.AddrPort) unix.Sockaddr {
	if a.Addr().Is6() {
		return &unix.SockaddrInet6{Port: int(a.Port()), Addr: a.Addr().As16()}
	}
	return &unix.SockaddrInet4{Port: int(a.Port()), Addr: a.Addr().As4()}
}

// Unconsumed returns the bytes that were read and not yet consumed. They stay in place until the next read or Consume.
func (c *Conn) Unconsumed() []byte { return c.buffer[c.start:c.end] }

// LastReceiveAge returns how many seconds ago the kernel received the latest bytes: a process that was stalled reads bytes
// late that arrived in time. It costs a system call.
func (c *Conn) LastReceiveAge() float64 { return LastReceiveAge(c.fd) }

// LastReceiveAge returns the same for any TCP connection, given its descriptor.
func LastReceiveAge(fd int) float64 {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	return float64(info.Last_data_recv) / 1000
}

// ReceivedAt returns the time, by the loop's clock, by which the latest unconsumed bytes had arrived. If the connection was
// paused, it is the time at which the first of them arrived.
func (c *Conn) ReceivedAt() float64 { return c.receivedAt }

// ReadNow reads the bytes that have arrived on the connection at once, before other events are handled.
func (c *Conn) ReadNow() {
	if c.fd >= 0 && !c.dialing {
		c.handleEvents(unix.EPOLLIN)
	}
}

// Consume drops the first n bytes of Unconsumed. An empty buffer is returned to the free list.
func (c *Conn) Consume(n int) {
	c.start += n
	c.consumed += n
	for len(c.ahead) > 0 && c.ahead[0].upTo <= c.consumed {
		c.ahead = c.ahead[1:]
	}
	if c.start < c.end {
		return
	}
	c.start, c.end = 0, 0
	if c.largeBuffer && !c.loop.MemoryShort() {
		return
	}
	if len(c.buffer) == initialBufferBytes && len(c.loop.freeBuffers) < maxFreeBuffers {
		c.loop.freeBuffers = append(c.loop.freeBuffers, c.buffer)
	}
	c.loop.bufferedBytes -= max(0, len(c.buffer)-initialBufferBytes)
	c.buffer = nil
}

// ReadBufferFull reports whether nothing more can be read before something is consumed.
func (c *Conn) ReadBufferFull() bool {
	return c.start == 0 && c.end == len(c.buffer) && c.end > 0 && c.nextBufferSize() == 0
}

// nextBufferSize returns the size to which the buffer may grow, 0 if it may not grow. The connection's owner limits its
// buffer, and the loop limits the sum of all buffers.
func (c *Conn) nextBufferSize() int {
	size := max(initialBufferBytes, min(c.maxUnconsumed, 2*len(c.buffer)))
	if c.largeBuffer && c.buffer == nil && !c.loop.MemoryShort() {
		size = largeBufferBytes // what one read brings may have to wait unsent, so many streams read less each
	}
	limit := c.loop.MaxBufferBytes
	if c.accepted {
		limit /= 2 // requests must not use up the space for responses to earlier ones
	}
	if size <= len(c.buffer) ||
		size > initialBufferBytes && c.loop.bufferedBytes+size-max(initialBufferBytes, len(c.buffer)) > limit {
		if c.buffer == nil {
			return initialBufferBytes
		}
		return 0
	}
	return size
}

// Discard drops the unconsumed bytes and up to limit bytes of what arrives later; bytes beyond that stay in the kernel.
func (c *Conn) Discard(limit int) {
	c.discardLimit = limit
	c.Consume(c.end - c.start)
	c.Resume()
}

// HasUnsent reports whether the kernel has not yet taken all written bytes.
func (c *Conn) HasUnsent() bool { return len(c.unsent) > 0 }

// HasUnacknowledged reports whether the peer's host has not acknowledged all written bytes; after Close the kernel would
// still try to deliver those it has. It costs a system call.
func (c *Conn) HasUnacknowledged() bool {
	if c.fd < 0 || len(c.unsent) > 0 {
		return len(c.unsent) > 0
	}
	n, err := unix.IoctlGetInt(c.fd, unix.SIOCOUTQ)
	return err == nil && n > 0
}

// UnsentBytes returns how many written bytes the kernel has not yet taken.
func (c *Conn) UnsentBytes() int { return len(c.unsent) }

// LastSentAt returns when the kernel last took written bytes, by the loop's clock. While the kernel's send buffer is full,
// that is when the peer last read.
func (c *Conn) LastSentAt() float64 { return c.lastSentAt }

// UseLargeBuffer prepares the connection for a long message that is streamed; ReleaseLargeBuffer ends that. While memory is short
// the buffer is as small as others.
func (c *Conn) UseLargeBuffer() { c.largeBuffer = true }

// ReleaseLargeBuffer lets the large buffer be freed once it is empty.
func (c *Conn) ReleaseLargeBuffer() {
	c.largeBuffer = false
	c.Consume(0)
}

// ResetOnClose makes Close reset the connection, so that a truncated message does not look complete to the peer.
func (c *Conn) ResetOnClose() {
	if c.fd >= 0 {
		unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	}
}

// updateInterest computes the wanted events from the connection's state and passes changes to epoll.
func (c *Conn) updateInterest() {
	interest := uint32(unix.EPOLLRDHUP)
	if c.pausedWithEOF && c.accepted {
		interest = 0
	} else if c.pausedWithEOF {
		interest = unix.EPOLLET // EPOLLHUP and EPOLLERR can't be masked out; report them once and not in every iteration
	} else if !c.paused || c.readsAhead {
		interest = readEvents
	}
	if c.dialing || len(c.unsent) > 0 {
		interest |= unix.EPOLLOUT
	}
	if interest != c.interest && c.fd >= 0 && !c.disconnected {
		c.interest = interest
		c.loop.setInterest(c.fd, interest)
	}
}

// Write sends the parts in order. Bytes that the kernel does not take are copied and sent later. An error is reported by
// OnDisconnect.
func (c *Conn) Write(parts ...[]byte) {
	if c.fd < 0 || c.disconnected {
		return
	}
	n := 0
	if len(c.unsent) == 0 && !c.dialing {
		var err error
		n, err = c.loop.write(c.fd, parts...)
		if err != nil && !isRetryable(err) {
			c.disconnectLater(err)
		}
		if n = max(n, 0); n > 0 {
			c.lastSentAt = c.loop.iterationStart
		}
	}
	for _, p := range parts {
		skip := min(n, len(p))
		n -= skip
		c.unsent = append(c.unsent, p[skip:]...)
		c.loop.bufferedBytes += len(p) - skip
	}
	c.updateInterest()
}

// disconnectLater reports an error of the connection's own methods in the next iteration.
func (c *Conn) disconnectLater(err error) {
	c.disconnected = true
	c.loop.Post(func() {
		if c.fd >= 0 {
			c.handler.OnDisconnect(c, err)
		}
	})
}

// disconnect reports the end of the connection to its handler, once.
func (c *Conn) disconnect(err error) {
	if !c.disconnected {
		c.disconnected = true
		c.loop.setInterest(c.fd, 0)
		c.handler.OnDisconnect(c, err)
	}
}

// CloseWrite shuts down the sending side of the connection.
func (c *Conn) CloseWrite() {
	if c.fd >= 0 {
		unix.Shutdown(c.fd, unix.SHUT_WR)
	}
}

// Close closes the connection without calling its handler and releases its buffers.
func (c *Conn) Close() {
	if c.fd < 0 {
		return
	}
	c.loop.closeDescriptor(c.fd)
	c.loop.bufferedBytes -= len(c.unsent)
	c.fd, c.unsent, c.largeBuffer = -1, nil, false
	c.Consume(c.end - c.start)
}

// handleEvents completes a dial, flushes unsent bytes and reads, as the events and the connection's state demand.
func (c *Conn) handleEvents(events uint32) {
	if c.disconnected {
		return
	}
	if c.dialing {
		if events&(unix.EPOLLOUT|unix.EPOLLERR|unix.EPOLLHUP) == 0 {
			return
		}
		if code, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR); err != nil || code != 0 {
			c.disconnect(unix.Errno(code))
			return
		}
		c.dialing = false
		c.updateInterest()
		c.handler.OnConnect(c)
		return
	}
	if events&unix.EPOLLOUT != 0 && len(c.unsent) > 0 {
		n, err := c.loop.write(c.fd, c.unsent)
		if err != nil && !isRetryable(err) {
			c.disconnect(err)
			return
		}
		if n > 0 {
			c.lastSentAt = c.loop.iterationStart
		}
		c.unsent = c.unsent[:copy(c.unsent, c.unsent[max(n, 0):])]
		c.loop.bufferedBytes -= max(n, 0)
		if len(c.unsent) == 0 {
			c.unsent = nil
			c.updateInterest()
			c.handler.OnFlushed(c)
			if c.fd < 0 || c.disconnected {
				return
			}
		}
	}
	const endEvents = unix.EPOLLRDHUP | unix.EPOLLHUP | unix.EPOLLERR
	switch {
	case c.pausedWithEOF:
		if c.accepted && events&(unix.EPOLLHUP|unix.EPOLLERR) != 0 {
			c.disconnect(io.ErrUnexpectedEOF)
		}
	case c.paused:
		if events&endEvents != 0 {
			c.disconnect(io.EOF)
		} else if events&unix.EPOLLIN != 0 {
			c.inputWhilePaused()
		}
	case events&(unix.EPOLLIN|endEvents) != 0:
		c.read()
	}
}

// read makes one read call and reports its bytes, the peer's close or an error to the handler.
func (c *Conn) read() {
	if c.discardLimit > 0 {
		n, _, err := unix.Recvfrom(c.fd, c.loop.discardBuffer, unix.MSG_TRUNC|unix.MSG_DONTWAIT)
		if c.discardLimit -= max(n, 0); c.discardLimit <= 0 {
			c.Pause()
		} else if n <= 0 && !isRetryable(err) {
			c.disconnect(io.EOF)
		}
		return
	}
	if !c.ensureSpace() {
		c.reportBufferFull()
		return
	}
	n, err := c.loop.read(c.fd, c.buffer[c.end:])
	if n > 0 {
		c.end += n
		c.noteArrival()
		c.handler.OnData(c)
		return
	}
	c.Consume(0)
	if isRetryable(err) {
		return
	}
	if err == nil {
		err = c.endOfInput()
	}
	c.disconnect(err)
}

// noteArrival sets the time by which the bytes that were just read had arrived.
func (c *Conn) noteArrival() {
	now := c.loop.iterationStart
	switch {
	case c.inputSince > 0:
		c.receivedAt, c.inputSince = c.inputSince, 0
	case c.filledAt == 0 || now > c.filledAt+burstSeconds:
		c.receivedAt = now
	}
	c.filledAt = 0
	if c.end == len(c.buffer) {
		c.filledAt = now
	}
}

// reportBufferFull lets the handler act on a full buffer: there may have been room when the latest bytes were read, and other
// connections took it meanwhile.
func (c *Conn) reportBufferFull() {
	c.handler.OnData(c)
	stoppedReading := c.paused || c.pausedWithEOF || c.discardLimit > 0
	if c.fd >= 0 && !stoppedReading && c.ReadBufferFull() {
		c.disconnect(ErrReadBufferFull)
	}
}

// ensureSpace makes space in the buffer for the next read and reports whether the limits allow it.
func (c *Conn) ensureSpace() bool {
	if c.end < len(c.buffer) {
		return true
	}
	unconsumed := c.end - c.start
	switch {
	case c.buffer == nil && len(c.loop.freeBuffers) > 0 && !c.largeBuffer:
		last := len(c.loop.freeBuffers) - 1
		c.buffer = c.loop.freeBuffers[last]
		c.loop.freeBuffers = c.loop.freeBuffers[:last]
	case c.start > 0 && (unconsumed <= len(c.buffer)/2 || c.nextBufferSize() == 0):
		copy(c.buffer, c.Unconsumed())
	default:
		size := c.nextBufferSize()
		if size == 0 {
			return false
		}
		larger := make([]byte, size)
		copy(larger, c.Unconsumed())
		c.loop.bufferedBytes += size - max(initialBufferBytes, len(c.buffer))
		c.buffer = larger
	}
	c.start, c.end = 0, unconsumed
	return true
}

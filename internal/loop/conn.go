// This file owns connections: their descriptors, read buffers and bytes still to be written. A connection tells its
// Handler what happens, never from inside one of its own methods, and never after Close. It must not look into the
// bytes, and gives its descriptor back in Close alone.
package loop

import (
	"errors"
	"io"
	"net/netip"

	"golang.org/x/sys/unix"
)

const (
	bufferFirst = 4 << 10   // bytes of a first read buffer: most messages fit
	sparesKept  = 256       // first buffers kept at rest, 1 MiB
	bufferWide  = 32 << 10  // bytes of a read buffer through which a long message passes
	kernelSend  = 128 << 10 // bytes that the kernel may hold for an accepted connection: more hides whether they are taken
)

// ErrTooMuch ends a connection whose unread bytes pass what its owner allows.
var ErrReadBufferFull = errors.New("more bytes than allowed")

// Handler is told what happens on a connection.
type Handler interface {
	OnConnect(c *Conn)               // a dialled connection is up
	OnData(c *Conn)                  // there is more in In
	OnFlushed(c *Conn)               // all that was to be written is with the kernel
	OnDisconnect(c *Conn, err error) // it has ended, io.EOF if the other side ended it well; Close is still due
}

// Conn is one TCP connection.
type Conn struct {
	loop     *Loop
	fd       int // -1 once closed
	handler  Handler
	most     int // bytes that In may hold
	buffer   []byte
	from     int // unread bytes start here
	to       int
	out      []byte
	mask     uint32
	dialing  bool
	paused   bool
	waits    float64 // since when something has waited to be read while it was paused, 0 if nothing has
	came     float64 // by when the bytes read last had come
	held     bool    // as paused, but what comes with the end is still wanted
	wide     bool    // keeps its buffer, a wide one
	sentAt   float64 // when the kernel took something last
	down     bool    // Down was called or is to be
	accepted bool
	drains   int // bytes that may still be thrown away, once Drain was called
}

func (l *Loop) newConn(fd int, h Handler, most int, mask uint32) (*Conn, error) {
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	c := &Conn{loop: l, fd: fd, handler: h, most: most, mask: mask}
	if err := l.add(fd, c, mask); err != nil {
		unix.Close(fd)
		return nil, err
	}
	return c, nil
}

const reading = unix.EPOLLIN | unix.EPOLLRDHUP

// Dial starts a connection; Up or Down follows on a later turn.
func (l *Loop) Dial(to netip.AddrPort, h Handler, most int) (*Conn, error) {
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
	c, err := l.newConn(fd, h, most, reading|unix.EPOLLOUT)
	if err == nil {
		c.dialing = true
	}
	return c, err
}

func sockaddr(a netip.AddrPort) unix.Sockaddr {
	if a.Addr().Is6() {
		return &unix.SockaddrInet6{Port: int(a.Port()), Addr: a.Addr().As16()}
	}
	return &unix.SockaddrInet4{Port: int(a.Port()), Addr: a.Addr().As4()}
}

// In is what has been read and not consumed; it stays in place until the next read or Consume.
func (c *Conn) Unconsumed() []byte { return c.buffer[c.from:c.to] }

// Age is for how many seconds the latest bytes have been with the kernel: a process that stood still reads late what came
// in time. It costs a system call.
func (c *Conn) LastReceiveAge() float64 { return LastReceiveAge(c.fd) }

// Age is the same of any TCP connection by its descriptor.
func LastReceiveAge(fd int) float64 {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	return float64(info.Last_data_recv) / 1000
}

// Came is by when the latest bytes in In had come, by the loop's clock: where it was paused, when the first of them did.
func (c *Conn) ReceivedAt() float64 { return c.came }

// Look takes what has come on the connection before anything else has its turn.
func (c *Conn) ReadNow() {
	if c.fd >= 0 && !c.dialing {
		c.event(unix.EPOLLIN)
	}
}

// Consume gives up the first n bytes of In; an empty buffer goes back to rest.
func (c *Conn) Consume(n int) {
	c.from += n
	if c.from < c.to {
		return
	}
	c.from, c.to = 0, 0
	if c.wide {
		return
	}
	if len(c.buffer) == bufferFirst && len(c.loop.spare) < sparesKept {
		c.loop.spare = append(c.loop.spare, c.buffer)
	}
	c.loop.grown -= max(0, len(c.buffer)-bufferFirst)
	c.buffer = nil
}

// Full tells that nothing more can be read before something is consumed.
func (c *Conn) ReadBufferFull() bool {
	return c.from == 0 && c.to == len(c.buffer) && c.to > 0 && c.next() == 0
}

// next is the size that the buffer may have instead of its own, 0 if none: its owner and all buffers have a bound.
func (c *Conn) next() int {
	size := max(bufferFirst, min(c.most, 2*len(c.buffer)))
	if c.wide && c.buffer == nil {
		size = bufferWide
	}
	all := c.loop.MaxBufferBytes
	if c.accepted {
		all /= 2 // what comes in must not keep out the answers to what has
	}
	if size <= len(c.buffer) || size > bufferFirst && c.loop.grown+size-max(bufferFirst, len(c.buffer)) > all {
		if c.buffer == nil {
			return bufferFirst
		}
		return 0
	}
	return size
}

// Drain throws away what is there and up to so many bytes of what comes; what is past that is left with the kernel.
func (c *Conn) Discard(most int) {
	c.drains = most
	c.Consume(c.to - c.from)
	c.Resume()
}

// Unsent tells whether some of what was to be written has not reached the kernel.
func (c *Conn) HasUnsent() bool { return len(c.out) > 0 }

// Undelivered tells whether some of what was to be written has not been acknowledged by the other side's machine: closed as it
// is, the kernel would go on to deliver it. It costs a system call.
func (c *Conn) HasUnacknowledged() bool {
	if c.fd < 0 || len(c.out) > 0 {
		return len(c.out) > 0
	}
	n, err := unix.IoctlGetInt(c.fd, unix.SIOCOUTQ)
	return err == nil && n > 0
}

// Backlog is how many bytes of what was to be written have not reached the kernel.
func (c *Conn) UnsentBytes() int { return len(c.out) }

// SentAt is when the kernel last took something, by the loop's clock: where its own buffer is full, the other side took it.
func (c *Conn) LastSentAt() float64 { return c.sentAt }

// Widen readies the connection for a long message that is read as it comes; Narrow ends that.
func (c *Conn) UseLargeBuffer() { c.wide = true }

// Narrow gives the wide buffer back once it is empty.
func (c *Conn) ReleaseLargeBuffer() {
	c.wide = false
	c.Consume(0)
}

// Quiet tells whether the other side has neither sent anything nor ended: only then may an idle connection be used,
// since what is written after its end counts as sent.
func (c *Conn) IsIdle() bool {
	var b [1]byte
	_, _, err := unix.Recvfrom(c.fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err == unix.EAGAIN && !c.down
}

// Gone tells whether the other side has ended the connection or reset it, behind what was read: the loop may not have come
// to that yet. Where more has come before the end it does not show.
func (c *Conn) PeerClosed() bool {
	if c.fd < 0 || c.down {
		return true
	}
	var b [1]byte
	n, _, err := unix.Recvfrom(c.fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return n == 0 && err == nil || err != nil && !again(err)
}

// Pause stops reading, so that In stays in place; that the other side is gone is still noticed. The kernel is told only
// if something comes meanwhile: most pauses are over before, and each word to it is a system call. In a long message
// something will.
func (c *Conn) Pause() {
	c.paused = true
	if c.wide || len(c.buffer) > bufferFirst {
		c.want()
	}
}

// Hold stops reading for a while: the other side's end is noticed once all before it has been read, a reset as well, since
// what came before that may be all. Only of an accepted connection is a reset noticed at once: who sent is no more.
func (c *Conn) PauseWithEOF() { c.held = true; c.want() }

// Resume reads on.
func (c *Conn) Resume() {
	if c.paused && c.mask&unix.EPOLLIN == 0 && c.waits == 0 && c.fd >= 0 && !c.IsIdle() {
		c.waits = c.loop.turn - c.LastReceiveAge() // nothing told when it came
	}
	c.paused, c.held = false, false
	c.want()
}

// Abort has Close reset the connection, for a message that would else look whole.
func (c *Conn) ResetOnClose() {
	if c.fd >= 0 {
		unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	}
}

func (c *Conn) want() {
	mask := uint32(unix.EPOLLRDHUP)
	if c.held && c.accepted {
		mask = 0
	} else if c.held {
		mask = unix.EPOLLET // an end that can't be masked out is told once and not in every turn
	} else if !c.paused {
		mask = reading
	}
	if c.dialing || len(c.out) > 0 {
		mask |= unix.EPOLLOUT
	}
	if mask != c.mask && c.fd >= 0 && !c.down {
		c.mask = mask
		c.loop.change(c.fd, mask)
	}
}

// Write sends the parts in order; what the kernel does not take is copied and follows. An error shows in Down.
func (c *Conn) Write(parts ...[]byte) {
	if c.fd < 0 || c.down {
		return
	}
	n := 0
	if len(c.out) == 0 && !c.dialing {
		var err error
		n, err = c.loop.write(c.fd, parts...)
		if err != nil && !again(err) {
			c.fail(err)
		}
		if n = max(n, 0); n > 0 {
			c.sentAt = c.loop.turn
		}
	}
	for _, p := range parts {
		skip := min(n, len(p))
		n -= skip
		c.out = append(c.out, p[skip:]...)
		c.loop.grown += len(p) - skip
	}
	c.want()
}

// fail reports an error of the connection's own methods on the next turn.
func (c *Conn) fail(err error) {
	c.down = true
	c.loop.Post(func() {
		if c.fd >= 0 {
			c.handler.OnDisconnect(c, err)
		}
	})
}

func (c *Conn) end(err error) {
	if !c.down {
		c.down = true
		c.loop.change(c.fd, 0)
		c.handler.OnDisconnect(c, err)
	}
}

// EndWriting tells the other side that nothing follows.
func (c *Conn) CloseWrite() {
	if c.fd >= 0 {
		unix.Shutdown(c.fd, unix.SHUT_WR)
	}
}

// Close ends the connection without a word to its handler and gives back what it holds.
func (c *Conn) Close() {
	if c.fd < 0 {
		return
	}
	c.loop.drop(c.fd)
	c.loop.grown -= len(c.out)
	c.fd, c.out, c.wide = -1, nil, false
	c.Consume(c.to - c.from)
}

func (c *Conn) event(mask uint32) {
	if c.down {
		return
	}
	if c.dialing {
		if mask&(unix.EPOLLOUT|unix.EPOLLERR|unix.EPOLLHUP) == 0 {
			return
		}
		if code, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR); err != nil || code != 0 {
			c.end(unix.Errno(code))
			return
		}
		c.dialing = false
		c.want()
		c.handler.OnConnect(c)
		return
	}
	if mask&unix.EPOLLOUT != 0 && len(c.out) > 0 {
		n, err := c.loop.write(c.fd, c.out)
		if err != nil && !again(err) {
			c.end(err)
			return
		}
		if n > 0 {
			c.sentAt = c.loop.turn
		}
		c.out = c.out[:copy(c.out, c.out[max(n, 0):])]
		c.loop.grown -= max(n, 0)
		if len(c.out) == 0 {
			c.out = nil
			c.want()
			c.handler.OnFlushed(c)
			if c.fd < 0 || c.down {
				return
			}
		}
	}
	const ended = unix.EPOLLRDHUP | unix.EPOLLHUP | unix.EPOLLERR
	switch {
	case c.held:
		if c.accepted && mask&(unix.EPOLLHUP|unix.EPOLLERR) != 0 {
			c.end(io.ErrUnexpectedEOF)
		}
	case c.paused:
		if mask&ended != 0 {
			c.end(io.EOF)
		} else if mask&unix.EPOLLIN != 0 {
			if c.waits == 0 {
				c.waits = c.loop.turn
			}
			c.want()
		}
	case mask&(unix.EPOLLIN|ended) != 0:
		c.read()
	}
}

func (c *Conn) read() {
	if c.drains > 0 {
		n, _, err := unix.Recvfrom(c.fd, c.loop.sink, unix.MSG_TRUNC|unix.MSG_DONTWAIT)
		if c.drains -= max(n, 0); c.drains <= 0 {
			c.Pause()
		} else if n <= 0 && !again(err) {
			c.end(io.EOF)
		}
		return
	}
	if !c.room() {
		c.end(ErrReadBufferFull)
		return
	}
	n, err := c.loop.read(c.fd, c.buffer[c.to:])
	if n > 0 {
		c.to += n
		if c.came = c.loop.turn; c.waits > 0 {
			c.came, c.waits = c.waits, 0
		}
		c.handler.OnData(c)
		return
	}
	c.Consume(0)
	if again(err) {
		return
	}
	if err == nil {
		err = io.EOF
	}
	c.end(err)
}

// room makes space for the next read, within what the owner allows.
func (c *Conn) room() bool {
	if c.to < len(c.buffer) {
		return true
	}
	held := c.to - c.from
	switch {
	case c.buffer == nil && len(c.loop.spare) > 0 && !c.wide:
		last := len(c.loop.spare) - 1
		c.buffer = c.loop.spare[last]
		c.loop.spare = c.loop.spare[:last]
	case c.from > 0 && (held <= len(c.buffer)/2 || c.next() == 0):
		copy(c.buffer, c.Unconsumed())
	default:
		size := c.next()
		if size == 0 {
			return false
		}
		bigger := make([]byte, size)
		copy(bigger, c.Unconsumed())
		c.loop.grown += size - max(bufferFirst, len(c.buffer))
		c.buffer = bigger
	}
	c.from, c.to = 0, held
	return true
}

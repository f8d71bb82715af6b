// This file implements what a connection does about input that it does not read at once: looks without reading, pauses, and reading
// ahead. A look must not change what a later read reports.

package loop

import (
	"io"

	"golang.org/x/sys/unix"
)

const (
	readAheadAtBytes = 32 << 10 // unread bytes from which a paused connection reads ahead; any receive window holds fewer
	readAheadDivisor = 4        // of the loop's MaxBufferBytes: beyond this part nothing is read ahead
)

// readAheadMark says since when bytes waited that were read ahead.
type readAheadMark struct {
	after, upTo int     // the number of bytes before the first of them and up to the last, from the connection's start
	since       float64 // when the first of them was seen
}

// IsIdle reports whether the peer has neither sent unread bytes nor closed the connection. An idle connection may be reused
// only then, since bytes written after the peer's close count as sent.
func (c *Conn) IsIdle() bool {
	_, err := c.peek()
	return err == unix.EAGAIN && !c.disconnected
}

// peek returns how many bytes wait unread, 1 at most; 0 without an error means that the peer has closed the connection. The kernel
// tells a connection's error, such as a reset, only once, so peek keeps it for the read that reports the end. The error of a dial is
// left to handleEvents.
func (c *Conn) peek() (n int, err error) {
	if c.dialing {
		return 0, unix.EAGAIN
	}
	if c.peekedError != nil {
		return 0, c.peekedError
	}
	var b [1]byte
	n, _, err = unix.Recvfrom(c.fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	if err != nil && !isRetryable(err) {
		c.peekedError = err
	}
	return n, err
}

// endOfInput returns the error for OnDisconnect after a read has found no more bytes.
func (c *Conn) endOfInput() error {
	if c.peekedError != nil {
		return c.peekedError
	}
	return io.EOF
}

// PeerClosed reports whether the peer has closed or reset the connection after the bytes that were read, even if the loop
// has not handled that event yet. It cannot see a close behind unread bytes.
func (c *Conn) PeerClosed() bool {
	if c.fd < 0 || c.disconnected {
		return true
	}
	n, err := c.peek()
	return n == 0 && err == nil || err != nil && !isRetryable(err)
}

// Pause stops reading, so that the unconsumed bytes stay in place; the peer's close is still reported. The epoll interest is
// changed only if input arrives meanwhile: most pauses are shorter, and each change is a system call. While a long message
// is read, input is certain, so it is changed at once.
func (c *Conn) Pause() {
	c.paused = true
	if c.largeBuffer || len(c.buffer) > initialBufferBytes {
		c.updateInterest()
	}
}

// PauseReadingAhead is like Pause after a complete message. If many bytes arrive meanwhile, they are read without being reported, as
// long as there is room: the peer's close behind them would not reach a full receive buffer.
func (c *Conn) PauseReadingAhead() { c.paused, c.readsAhead = true, true }

// PauseWithEOF stops reading and also defers the peer's close, or a reset, until all bytes before it have been read, since
// they may be a whole message. Only on an accepted connection is a reset reported at once: the client is gone.
func (c *Conn) PauseWithEOF() {
	c.pausedWithEOF, c.pausedAt = true, c.loop.Now()
	c.updateInterest()
}

// Resume reads on after Pause or PauseWithEOF.
func (c *Conn) Resume() {
	if c.paused && c.interest&unix.EPOLLIN == 0 && c.inputSince == 0 && c.fd >= 0 && !c.IsIdle() {
		c.inputSince = c.loop.iterationStart - c.LastReceiveAge() // no event showed when the input arrived
	}
	if c.pausedWithEOF {
		if since, waiting := c.UnreadSince(); waiting {
			c.inputSince = since
		}
	}
	c.paused, c.pausedWithEOF, c.readsAhead = false, false, false
	c.clearLowWatermark()
	c.updateInterest()
}

// UnreadSince reports whether bytes may wait unread, after a read that filled the buffer or while the connection is paused by
// PauseWithEOF, and since when the first of them may have waited. It may cost a system call.
func (c *Conn) UnreadSince() (since float64, waiting bool) {
	switch {
	case c.fd < 0:
		return 0, false
	case c.inputSince > 0:
		return c.inputSince, true
	case c.filledAt > 0:
		return c.receivedAt, !c.IsIdle()
	case c.pausedWithEOF:
		return c.pausedAt, !c.IsIdle()
	}
	return 0, false
}

// CountUnreadFrom has bytes that wait unread count as arrived by the given time, if there are any.
func (c *Conn) CountUnreadFrom(at float64) {
	if c.fd >= 0 && !c.IsIdle() {
		c.inputSince = at
	}
}

// UnreadBytes returns how many bytes wait to be read, as far as the kernel has them.
func (c *Conn) UnreadBytes() int {
	if c.fd < 0 {
		return 0
	}
	n, err := unix.IoctlGetInt(c.fd, unix.SIOCINQ)
	if err != nil {
		return 0
	}
	return n
}

// EndMayBeHidden reports whether the peer may have closed the connection unseen: more bytes wait than there was room to read
// ahead, and its close would lie behind them.
func (c *Conn) EndMayBeHidden() bool {
	c.aheadBlocked = c.aheadBlocked && c.fd >= 0 && !c.IsIdle()
	return c.aheadBlocked
}

// inputWhilePaused notes when input was first seen waiting. A connection that reads ahead does so from the next event on, which comes
// once many bytes wait.
func (c *Conn) inputWhilePaused() {
	switch {
	case c.lowWatermark:
		c.readAhead()
		return
	case c.inputSince == 0:
		c.inputSince = c.loop.iterationStart
	}
	c.lowWatermark = c.readsAhead && unix.SetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_RCVLOWAT, readAheadAtBytes) == nil
	c.readsAhead = c.lowWatermark
	c.updateInterest()
}

// readAhead makes one read call without reporting its bytes. Where there is no room, what follows stays in the kernel.
func (c *Conn) readAhead() {
	if c.loop.bufferedBytes > c.loop.MaxBufferBytes/readAheadDivisor || !c.ensureSpace() {
		c.readsAhead, c.aheadBlocked = false, true
		c.updateInterest()
		return
	}
	n, err := c.loop.read(c.fd, c.buffer[c.end:])
	switch {
	case n > 0:
		before := c.consumed + c.end - c.start
		c.end += n
		c.ahead = append(c.ahead, readAheadMark{before, before + n, c.inputSince})
		c.inputSince = 0
		c.clearLowWatermark() // the next bytes are to be noted when they come
	case err == nil:
		c.disconnect(c.endOfInput())
	case !isRetryable(err):
		c.disconnect(err)
	}
}

// clearLowWatermark has the kernel tell of any input again.
func (c *Conn) clearLowWatermark() {
	if c.lowWatermark && c.fd >= 0 {
		unix.SetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_RCVLOWAT, 1)
	}
	c.lowWatermark = false
}

// ReadAheadSince reports whether the last of the first n unconsumed bytes was read ahead, and if so since when it may have waited.
func (c *Conn) ReadAheadSince(n int) (since float64, ahead bool) {
	for _, mark := range c.ahead {
		if last := c.consumed + n; mark.after < last && last <= mark.upTo {
			return mark.since, true
		}
	}
	return 0, false
}

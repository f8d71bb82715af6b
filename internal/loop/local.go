// This file implements sockets that are shared with other processes of this machine: an inherited listener, and Unix sockets
// by path. It must never shut down an inherited listener, which is one socket for all processes that have it open.

package loop

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

const maxSocketPathBytes = 100 // safe on every system: Linux allows 107 bytes, others 103

// ListenInherited makes a Listener of an inherited descriptor, which must listen at the given address. It accepts nothing
// before Resume. The callbacks are those of Listen.
func (l *Loop) ListenInherited(fd int, address netip.AddrPort, maxUnconsumed int, hasRoom func() bool,
	onAccept func(*Conn) Handler, onExhausted func()) (*Listener, error) {
	if listening, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err != nil || listening == 0 {
		return nil, fmt.Errorf("descriptor %d is not a listening socket", fd)
	}
	actual := localAddress(fd)
	if actual.Port() != address.Port() && address.Port() != 0 ||
		actual.Addr() != address.Addr() && !actual.Addr().IsUnspecified() {
		return nil, fmt.Errorf("descriptor %d listens at %s, not at %s", fd, actual, address)
	}
	unix.CloseOnExec(fd)
	// Whoever shares the descriptor may make it blocking between the moment that acceptUpTo sets its mode and the call. Multipath
	// TCP ignores the time-out.
	shortest := unix.Timeval{Usec: 1}
	err := unix.SetsockoptTimeval(fd, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &shortest)
	if err == nil {
		err = unix.SetNonblock(fd, true)
	}
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	s := &Listener{loop: l, fd: fd, maxUnconsumed: maxUnconsumed, hasRoom: hasRoom, onAccept: onAccept,
		onExhausted: onExhausted, paused: true, inherited: true, Addr: actual}
	if err := l.register(fd, s, 0); err != nil {
		return nil, err
	}
	return s, nil
}

// withSocketAddress calls f with a socket address for the path. A path too long for one is reached through the descriptor of
// its directory.
func withSocketAddress(path string, f func(unix.Sockaddr) error) error {
	if len(path) > maxSocketPathBytes {
		dir, err := unix.Open(filepath.Dir(path), unix.O_PATH|unix.O_DIRECTORY|unix.O_CLOEXEC, 0)
		if err != nil {
			return err
		}
		defer unix.Close(dir)
		path = fmt.Sprintf("/proc/self/fd/%d/%s", dir, filepath.Base(path))
	}
	return f(&unix.SockaddrUnix{Name: path})
}

// ListenUnix listens at a Unix socket path, replacing an existing socket there. Only the same user may connect.
func (l *Loop) ListenUnix(path string, maxUnconsumed int, onAccept func(*Conn) Handler) (*Listener, error) {
	fd, err := l.socket(unix.AF_UNIX, unix.SOCK_STREAM)
	if err != nil {
		return nil, fmt.Errorf("socket: %w", err)
	}
	os.Remove(path)
	if err = withSocketAddress(path, func(a unix.Sockaddr) error { return l.bind(fd, a) }); err == nil {
		os.Chmod(path, 0o600)
		err = l.listen(fd)
	}
	s := &Listener{loop: l, fd: fd, maxUnconsumed: maxUnconsumed, hasRoom: func() bool { return true },
		onAccept: onAccept, onExhausted: func() {}}
	if err == nil {
		err = l.register(fd, s, unix.EPOLLIN)
	}
	if err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("listen at %s: %w", path, err)
	}
	return s, nil
}

// DialUnix connects to a Unix socket path. OnConnect follows, unless an error reports that nothing listens there.
func (l *Loop) DialUnix(path string, h Handler, maxUnconsumed int) (*Conn, error) {
	fd, err := l.socket(unix.AF_UNIX, unix.SOCK_STREAM)
	if err != nil {
		return nil, err
	}
	if err := withSocketAddress(path, func(a unix.Sockaddr) error { return l.connect(fd, a) }); err != nil {
		unix.Close(fd)
		return nil, err
	}
	c, err := l.newConn(fd, h, maxUnconsumed, readEvents|unix.EPOLLOUT)
	if err == nil {
		c.dialing = true
	}
	return c, err
}

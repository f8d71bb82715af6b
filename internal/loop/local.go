// This file owns sockets that other processes of this machine hand over or meet at: an inherited listener, and Unix
// sockets by path. It must never shut an inherited listener down, which is one socket for all who have it.
package loop

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

const longestPath = 100 // bytes of a path that a socket's address surely holds: 107 by the system, 103 elsewhere

// Adopt makes a listener of an inherited descriptor, which must listen at that address. It accepts nothing before Take.
func (l *Loop) ListenInherited(fd int, at netip.AddrPort, most int, room func() bool, accept func(*Conn) Handler,
	starved func()) (*Listener, error) {
	if on, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err != nil || on == 0 {
		return nil, fmt.Errorf("descriptor %d does not listen", fd)
	}
	is := address(fd)
	if is.Port() != at.Port() && at.Port() != 0 || is.Addr() != at.Addr() && !is.Addr().IsUnspecified() {
		return nil, fmt.Errorf("descriptor %d listens at %s, not at %s", fd, is, at)
	}
	unix.CloseOnExec(fd)
	if err := unix.SetNonblock(fd, true); err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	s := &Listener{loop: l, fd: fd, most: most, room: room, accept: accept, starved: starved, held: true, Address: is}
	if err := l.add(fd, s, 0); err != nil {
		return nil, err
	}
	return s, nil
}

// reach calls f with a socket address for the path, however long that is.
func reach(path string, f func(unix.Sockaddr) error) error {
	if len(path) > longestPath {
		dir, err := unix.Open(filepath.Dir(path), unix.O_PATH|unix.O_DIRECTORY|unix.O_CLOEXEC, 0)
		if err != nil {
			return err
		}
		defer unix.Close(dir)
		path = fmt.Sprintf("/proc/self/fd/%d/%s", dir, filepath.Base(path))
	}
	return f(&unix.SockaddrUnix{Name: path})
}

// ListenAt listens at a path, in the place of whatever socket is there; only the same user may connect.
func (l *Loop) ListenUnix(path string, most int, accept func(*Conn) Handler) (*Listener, error) {
	fd, err := l.socket(unix.AF_UNIX, unix.SOCK_STREAM)
	if err != nil {
		return nil, fmt.Errorf("socket: %w", err)
	}
	os.Remove(path)
	if err = reach(path, func(a unix.Sockaddr) error { return l.bind(fd, a) }); err == nil {
		os.Chmod(path, 0o600)
		err = l.listen(fd)
	}
	s := &Listener{loop: l, fd: fd, most: most, room: func() bool { return true }, accept: accept, starved: func() {}}
	if err == nil {
		err = l.add(fd, s, unix.EPOLLIN)
	}
	if err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("listen at %s: %w", path, err)
	}
	return s, nil
}

// DialAt connects to a path; Up follows, or the error says that nobody is there.
func (l *Loop) DialUnix(path string, h Handler, most int) (*Conn, error) {
	fd, err := l.socket(unix.AF_UNIX, unix.SOCK_STREAM)
	if err != nil {
		return nil, err
	}
	if err := reach(path, func(a unix.Sockaddr) error { return l.connect(fd, a) }); err != nil {
		unix.Close(fd)
		return nil, err
	}
	c, err := l.newConn(fd, h, most, reading|unix.EPOLLOUT)
	if err == nil {
		c.dialing = true
	}
	return c, err
}

// This file owns the system calls that the loop makes on its descriptors. Each goes through one method, so that tests can
// have it fail as Linux documents; it must never decide what a failure means, which is the caller's affair.
package loop

import "golang.org/x/sys/unix"

// Call names a system call that a Fault may have fail.
type Syscall string

// The calls that go through the seam.
const (
	SyscallSocket       Syscall = "socket"
	SyscallBind         Syscall = "bind"
	SyscallListen       Syscall = "listen"
	SyscallAccept       Syscall = "accept"
	SyscallConnect      Syscall = "connect"
	SyscallRead         Syscall = "read"
	SyscallWrite        Syscall = "write"
	SyscallEpollCreate  Syscall = "epoll_create"
	SyscallEpollControl Syscall = "epoll_ctl"
	SyscallEpollWait    Syscall = "epoll_wait"
	SyscallEventfd      Syscall = "eventfd"
)

// Fault is asked before each call. An error is what the call fails with instead of being made; most, where above 0, is how
// many bytes a read or write may move at once.
type FaultFunc func(call Syscall) (most int, err error)

// Faults is the Fault of loops that are made from now on. It is nil but in tests, which set it before they start a loop.
var Faults FaultFunc

func (l *Loop) fault(call Syscall) (most int, err error) {
	if l.faults == nil {
		return 0, nil
	}
	return l.faults(call)
}

func (l *Loop) socket(domain, kind int) (int, error) {
	if _, err := l.fault(SyscallSocket); err != nil {
		return -1, err
	}
	return unix.Socket(domain, kind|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
}

func (l *Loop) bind(fd int, at unix.Sockaddr) error {
	if _, err := l.fault(SyscallBind); err != nil {
		return err
	}
	return unix.Bind(fd, at)
}

func (l *Loop) listen(fd int) error {
	if _, err := l.fault(SyscallListen); err != nil {
		return err
	}
	return unix.Listen(fd, backlog)
}

func (l *Loop) acceptFrom(fd int) (int, error) {
	if _, err := l.fault(SyscallAccept); err != nil {
		return -1, err
	}
	accepted, _, err := unix.Accept4(fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	return accepted, err
}

func (l *Loop) connect(fd int, to unix.Sockaddr) error {
	if _, err := l.fault(SyscallConnect); err != nil {
		return err
	}
	return unix.Connect(fd, to)
}

func (l *Loop) read(fd int, into []byte) (int, error) {
	most, err := l.fault(SyscallRead)
	if err != nil {
		return -1, err
	}
	if most > 0 {
		into = into[:min(most, len(into))]
	}
	return unix.Read(fd, into)
}

func (l *Loop) write(fd int, parts ...[]byte) (int, error) {
	most, err := l.fault(SyscallWrite)
	if err != nil {
		return -1, err
	}
	if most > 0 {
		parts = firstBytes(parts, most)
	}
	if len(parts) == 1 {
		return unix.Write(fd, parts[0])
	}
	return unix.Writev(fd, parts)
}

// firstBytes is the beginning of the parts, so many bytes at most.
func firstBytes(parts [][]byte, most int) (first [][]byte) {
	for _, p := range parts {
		n := min(most, len(p))
		first = append(first, p[:n])
		if most -= n; most == 0 {
			break
		}
	}
	return first
}

func (l *Loop) epollControl(op, fd int, event *unix.EpollEvent) error {
	if _, err := l.fault(SyscallEpollControl); err != nil {
		return err
	}
	return unix.EpollCtl(l.epoll, op, fd, event)
}

func (l *Loop) epollWait(events []unix.EpollEvent, milliseconds int) (int, error) {
	if _, err := l.fault(SyscallEpollWait); err != nil {
		return -1, err
	}
	return unix.EpollWait(l.epoll, events, milliseconds)
}

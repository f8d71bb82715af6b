// This file wraps the system calls that the loop makes on its descriptors. Each goes through one method, so that tests can
// make it fail as Linux documents. The methods do not interpret errors; that is up to the caller.

package loop

import "golang.org/x/sys/unix"

// Syscall names a system call that a FaultFunc may fail.
type Syscall string

// The system calls for which faults can be injected.
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

// FaultFunc is called before each system call. If it returns an error, the call fails with that and is not made. maxBytes, if
// above 0, limits how many bytes a read or write may move.
type FaultFunc func(call Syscall) (maxBytes int, err error)

// FaultHook is the FaultFunc of loops created from now on. It is nil except in tests, which set it before they create a loop.
var FaultHook FaultFunc

// injectFault asks the loop's FaultFunc, if any, what to do with a call.
func (l *Loop) injectFault(call Syscall) (maxBytes int, err error) {
	if l.faultFunc == nil {
		return 0, nil
	}
	return l.faultFunc(call)
}

func (l *Loop) socket(domain, kind int) (int, error) {
	if _, err := l.injectFault(SyscallSocket); err != nil {
		return -1, err
	}
	return unix.Socket(domain, kind|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
}

func (l *Loop) bind(fd int, address unix.Sockaddr) error {
	if _, err := l.injectFault(SyscallBind); err != nil {
		return err
	}
	return unix.Bind(fd, address)
}

func (l *Loop) listen(fd int) error {
	if _, err := l.injectFault(SyscallListen); err != nil {
		return err
	}
	return unix.Listen(fd, listenBacklog)
}

func (l *Loop) accept(fd int) (int, error) {
	if _, err := l.injectFault(SyscallAccept); err != nil {
		return -1, err
	}
	accepted, _, err := unix.Accept4(fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	return accepted, err
}

func (l *Loop) connect(fd int, to unix.Sockaddr) error {
	if _, err := l.injectFault(SyscallConnect); err != nil {
		return err
	}
	return unix.Connect(fd, to)
}

func (l *Loop) read(fd int, buffer []byte) (int, error) {
	maxBytes, err := l.injectFault(SyscallRead)
	if err != nil {
		return -1, err
	}
	if maxBytes > 0 {
		buffer = buffer[:min(maxBytes, len(buffer))]
	}
	return unix.Read(fd, buffer)
}

func (l *Loop) write(fd int, parts ...[]byte) (int, error) {
	maxBytes, err := l.injectFault(SyscallWrite)
	if err != nil {
		return -1, err
	}
	if maxBytes > 0 {
		parts = truncate(parts, maxBytes)
	}
	if len(parts) == 1 {
		return unix.Write(fd, parts[0])
	}
	return unix.Writev(fd, parts)
}

// truncate returns the first maxBytes bytes of the parts.
func truncate(parts [][]byte, maxBytes int) (truncated [][]byte) {
	for _, p := range parts {
		n := min(maxBytes, len(p))
		truncated = append(truncated, p[:n])
		if maxBytes -= n; maxBytes == 0 {
			break
		}
	}
	return truncated
}

func (l *Loop) epollCtl(op, fd int, event *unix.EpollEvent) error {
	if _, err := l.injectFault(SyscallEpollControl); err != nil {
		return err
	}
	return unix.EpollCtl(l.epollFD, op, fd, event)
}

func (l *Loop) epollWait(events []unix.EpollEvent, milliseconds int) (int, error) {
	if _, err := l.injectFault(SyscallEpollWait); err != nil {
		return -1, err
	}
	return unix.EpollWait(l.epollFD, events, milliseconds)
}

package loop

import (
	"errors"

	"golang.org/x/sys/unix"
)

// shortage are the errors that say what the kernel lacks just now, or what another process holds: socket(2), bind(2),
// listen(2), accept(2), epoll_create(2) and epoll_ctl(2) document them, and a moment later the same call may come through.
var shortage = []error{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ENOSPC, unix.EADDRINUSE, unix.EADDRNOTAVAIL,
	unix.EAGAIN, unix.EINTR, unix.ENETDOWN, unix.ENETUNREACH, unix.ENODEV}

// Transient tells whether the call that an error came of may come through when it is made again a moment later.
func IsTransient(err error) bool {
	for _, s := range shortage {
		if errors.Is(err, s) {
			return true
		}
	}
	return false
}

// Starved tells that the system lacks descriptors or memory for a socket, which says nothing of the other side.
func IsResourceExhausted(err error) bool {
	return err == unix.EMFILE || err == unix.ENFILE || err == unix.ENOBUFS || err == unix.ENOMEM
}

// again tells that a read or write moved nothing, and may do so at once or once the descriptor is ready.
func again(err error) bool {
	return err == unix.EAGAIN || err == unix.EINTR || err == unix.ENOBUFS || err == unix.ENOMEM
}

package loop

import (
	"errors"

	"golang.org/x/sys/unix"
)

// transientErrors report a resource that the kernel lacks at the moment or that another process holds, as documented for
// socket(2), bind(2), listen(2), accept(2), epoll_create(2) and epoll_ctl(2). The same call may succeed a moment later.
var transientErrors = []error{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ENOSPC, unix.EADDRINUSE,
	unix.EADDRNOTAVAIL, unix.EAGAIN, unix.EINTR, unix.ENETDOWN, unix.ENETUNREACH, unix.ENODEV}

// IsTransient reports whether the call that returned err may succeed when it is retried a moment later.
func IsTransient(err error) bool {
	for _, transient := range transientErrors {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}

// IsResourceExhausted reports whether err means that the system lacks descriptors or memory for a socket. Such an error says
// nothing about the peer.
func IsResourceExhausted(err error) bool {
	return err == unix.EMFILE || err == unix.ENFILE || err == unix.ENOBUFS || err == unix.ENOMEM
}

// isRetryable reports whether a read or write moved no bytes but may succeed when it is retried at once or when the
// descriptor is ready.
func isRetryable(err error) bool {
	return err == unix.EAGAIN || err == unix.EINTR || err == unix.ENOBUFS || err == unix.ENOMEM
}

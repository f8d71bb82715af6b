// This file handles descriptors whose epoll registration is out of date because epoll_ctl ran out of memory (ENOMEM) or of
// watches (ENOSPC). Until a retry succeeds, the loop polls them with poll(2), whose event bits are the same as epoll's. No
// such descriptor may be left unwatched.

package loop

import "golang.org/x/sys/unix"

const unsyncedPollSeconds = 0.005 // interval at which the loop polls unsynced descriptors

// unsyncedFD identifies a descriptor whose epoll_ctl call failed.
type unsyncedFD struct {
	fd         int
	generation int32
}

// syncInterest passes a descriptor's wanted events to epoll. If the kernel lacks memory or watches, the descriptor is queued
// and retried in every iteration.
func (l *Loop) syncInterest(op, fd int) error {
	d := &l.descriptors[fd]
	event := unix.EpollEvent{Events: d.interest, Fd: int32(fd), Pad: d.generation}
	err := l.epollCtl(op, fd, &event)
	switch {
	case err == nil:
		d.registered = true
	case err == unix.ENOMEM || err == unix.ENOSPC:
		if !d.unsynced {
			d.unsynced = true
			l.unsynced = append(l.unsynced, unsyncedFD{fd, d.generation})
		}
	default:
		return err
	}
	return nil
}

// pollUnsynced retries epoll_ctl for all unsynced descriptors, polls those for which it fails again and dispatches their
// events.
func (l *Loop) pollUnsynced() {
	var pollFDs []unix.PollFd
	var remaining []unsyncedFD
	for _, u := range l.unsynced {
		d := &l.descriptors[u.fd]
		if d.source == nil || d.generation != u.generation {
			continue // closed in the meantime
		}
		op := unix.EPOLL_CTL_ADD
		if d.registered {
			op = unix.EPOLL_CTL_MOD
		}
		event := unix.EpollEvent{Events: d.interest, Fd: int32(u.fd), Pad: d.generation}
		if l.epollCtl(op, u.fd, &event) == nil {
			d.registered, d.unsynced = true, false
			continue
		}
		remaining = append(remaining, u)
		pollFDs = append(pollFDs, unix.PollFd{Fd: int32(u.fd), Events: int16(d.interest)})
	}
	l.unsynced = remaining
	if n, err := unix.Poll(pollFDs, 0); n <= 0 || err != nil {
		return // an interrupted poll is repeated in the next iteration
	}
	for i, polled := range pollFDs {
		d := &l.descriptors[polled.Fd]
		if polled.Revents != 0 && d.source != nil && d.generation == remaining[i].generation {
			l.callbackStart = l.readClock()
			d.source.handleEvents(uint32(uint16(polled.Revents)))
		}
	}
}

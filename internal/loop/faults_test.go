package loop

import (
	"testing"

	"golang.org/x/sys/unix"
)

// accept(2) passes on errors that are pending on the connection it would have given; behind it others wait.
func TestClosePassesOverErrorsOfSingleConnections(t *testing.T) {
	for _, pending := range []error{unix.EPROTO, unix.ENETDOWN, unix.EHOSTUNREACH, unix.ENOPROTOOPT, unix.EHOSTDOWN, unix.ENONET,
		unix.EOPNOTSUPP, unix.ENETUNREACH, unix.EPERM, unix.ETIMEDOUT, unix.ECONNABORTED, unix.EINTR} {
		taken, calls := 0, 0
		l, s := server(t, ear{}, 100, func(*Conn) { taken++ })
		l.faults = func(call Syscall) (int, error) {
			if call != SyscallAccept {
				return 0, nil
			}
			if calls++; calls <= 3 {
				return 0, pending
			}
			return 0, nil
		}
		for range 3 {
			dial(t, s)
		}
		closed := s.DrainAndClose()
		if taken != 3 || !closed {
			t.Errorf("%v: %d of 3 taken, closed %t", pending, taken, closed)
		}
		l.Close()
	}
}

// A ring that a signal's handler interrupts still wakes the loop.
func TestRingIsNotLost(t *testing.T) {
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	calls, rung := 0, false
	l.faults = func(call Syscall) (int, error) {
		if call != SyscallWrite {
			return 0, nil
		}
		if calls++; calls <= 3 {
			return 0, unix.EINTR
		}
		return 0, nil
	}
	l.After(3, l.Stop)
	l.WakeUp()
	began := l.Now()
	l.Run(func() {
		if !rung && l.looked > 0 && calls > 0 {
			rung = true
			l.Stop()
		}
	})
	if took := l.clock() - began; took > 1 {
		t.Errorf("woke after %.1f s, written %d times", took, calls)
	}
	l.Close()
}

// Where epoll_ctl fails for good, the loop goes on by looking itself.
func TestEpollControlThatFailsForGood(t *testing.T) {
	var l *Loop
	heard := ""
	l, s := server(t, ear{data: func(c *Conn) {
		if heard += string(c.Unconsumed()); heard == "onetwo" {
			c.Write([]byte("done"))
		}
		c.Consume(len(c.Unconsumed()))
	}, down: func(*Conn, error) { l.Stop() }}, 100, nil)
	l.faults = func(call Syscall) (int, error) {
		if call == SyscallEpollControl {
			return 0, unix.ENOSPC
		}
		return 0, nil
	}
	got := make(chan string, 1)
	go func() {
		c := dial(t, s)
		defer c.Close()
		c.Write([]byte("one"))
		c.Write([]byte("two"))
		b := make([]byte, 4)
		n, _ := c.Read(b)
		got <- string(b[:n])
	}()
	l.Run(none)
	if text := <-got; text != "done" {
		t.Errorf("answered %q, heard %q", text, heard)
	}
}

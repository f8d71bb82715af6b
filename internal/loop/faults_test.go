package loop

import (
	"testing"

	"golang.org/x/sys/unix"
)

// accept(2) also returns errors that are pending on the new connection. DrainAndClose must skip them, since other
// connections wait behind it.
func TestDrainAndCloseSkipsErrorsOfSingleConnections(t *testing.T) {
	for _, pending := range []error{unix.EPROTO, unix.ENETDOWN, unix.EHOSTUNREACH, unix.ENOPROTOOPT, unix.EHOSTDOWN, unix.ENONET,
		unix.EOPNOTSUPP, unix.ENETUNREACH, unix.EPERM, unix.ETIMEDOUT, unix.ECONNABORTED, unix.EINTR} {
		accepted, calls := 0, 0
		l, s := listen(t, handlerFuncs{}, 100, func(*Conn) { accepted++ })
		l.faultFunc = func(call Syscall) (int, error) {
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
		if accepted != 3 || !closed {
			t.Errorf("%v: accepted %d of 3 connections, closed %t", pending, accepted, closed)
		}
		l.Close()
	}
}

// A write to the eventfd that a signal handler interrupts (EINTR) must be retried, or the loop is not woken.
func TestWakeUpRetriesInterruptedWrite(t *testing.T) {
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	calls, woken := 0, false
	l.faultFunc = func(call Syscall) (int, error) {
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
	start := l.Now()
	l.Run(func() {
		if !woken && l.previousStart > 0 && calls > 0 {
			woken = true
			l.Stop()
		}
	})
	if took := l.readClock() - start; took > 1 {
		t.Errorf("woke after %.1f s and %d writes", took, calls)
	}
	l.Close()
}

// If epoll_ctl always fails with ENOSPC, the loop still serves its descriptors by polling them.
func TestLoopPollsDescriptorsWhenEpollCtlAlwaysFails(t *testing.T) {
	var l *Loop
	received := ""
	l, s := listen(t, handlerFuncs{onData: func(c *Conn) {
		if received += string(c.Unconsumed()); received == "onetwo" {
			c.Write([]byte("done"))
		}
		c.Consume(len(c.Unconsumed()))
	}, onDisconnect: func(*Conn, error) { l.Stop() }}, 100, nil)
	l.faultFunc = func(call Syscall) (int, error) {
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
	l.Run(noop)
	if text := <-got; text != "done" {
		t.Errorf("answered %q, received %q", text, received)
	}
}

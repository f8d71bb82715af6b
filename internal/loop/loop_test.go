package loop

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// handlerFuncs is a Handler made of functions, which may be nil.
type handlerFuncs struct {
	onData       func(*Conn)
	onDisconnect func(*Conn, error)
	onConnect    func(*Conn)
}

func (h handlerFuncs) OnFlushed(*Conn) {}

func (h handlerFuncs) OnConnect(c *Conn) {
	if h.onConnect != nil {
		h.onConnect(c)
	}
}

func (h handlerFuncs) OnData(c *Conn) {
	if h.onData != nil {
		h.onData(c)
	}
}

func (h handlerFuncs) OnDisconnect(c *Conn, err error) {
	if h.onDisconnect != nil {
		h.onDisconnect(c, err)
	}
	c.Close()
}

// listen returns a loop with a listener that uses one handler for every connection. The test fails after ten seconds.
func listen(t *testing.T, h Handler, maxUnconsumed int, onAccept func(*Conn)) (*Loop, *Listener) {
	t.Helper()
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	s, err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), maxUnconsumed, func() bool { return true }, func(c *Conn) Handler {
		if onAccept != nil {
			onAccept(c)
		}
		return h
	}, func() {})
	if err != nil {
		t.Fatal(err)
	}
	l.After(10, func() { t.Error("the test did not finish within 10 s"); l.Stop() })
	return l, s
}

// dial connects to the listener.
func dial(t *testing.T, s *Listener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func noop() {}

func TestConnReadAndWrite(t *testing.T) {
	t.Run("data larger than the kernel's buffers arrives complete, followed by EOF", func(t *testing.T) {
		var l *Loop
		l, s := listen(t, handlerFuncs{onData: func(c *Conn) {
			c.Write(c.Unconsumed())
			c.Consume(len(c.Unconsumed()))
		}, onDisconnect: func(_ *Conn, err error) {
			if err != io.EOF {
				t.Errorf("ended with %v", err)
			}
			l.Stop()
		}}, 1<<20, nil)
		c := dial(t, s)
		want := bytes.Repeat([]byte("0123456789abcdef"), 1<<18) // 4 MiB
		go c.Write(want)
		go func() {
			got := make([]byte, len(want))
			time.Sleep(50 * time.Millisecond) // the send buffer fills up meanwhile
			if _, err := io.ReadFull(c, got); err != nil || !bytes.Equal(got, want) {
				t.Errorf("echoed data differs, %v", err)
			}
			c.Close()
		}()
		l.Run(noop)
	})
	t.Run("a paused connection keeps its unconsumed bytes in place and still reports the close", func(t *testing.T) {
		var l *Loop
		var first []byte
		l, s := listen(t, handlerFuncs{onData: func(c *Conn) {
			first = c.Unconsumed()
			c.Pause()
		}, onDisconnect: func(c *Conn, _ error) {
			if string(first) != "one" || string(c.Unconsumed()) != "one" {
				t.Errorf("first read %q, unconsumed at the end %q", first, c.Unconsumed())
			}
			l.Stop()
		}}, 100, nil)
		c := dial(t, s)
		io.WriteString(c, "one")
		go func() {
			time.Sleep(30 * time.Millisecond)
			io.WriteString(c, "two")
			c.Close()
		}()
		l.Run(noop)
	})
	t.Run("more unconsumed bytes than the owner allows end the connection", func(t *testing.T) {
		var l *Loop
		l, s := listen(t, handlerFuncs{onDisconnect: func(_ *Conn, err error) {
			if !errors.Is(err, ErrReadBufferFull) {
				t.Errorf("ended with %v", err)
			}
			l.Stop()
		}}, 5000, nil)
		go dial(t, s).Write(make([]byte, 20000))
		l.Run(noop)
	})
}

func TestDialRefused(t *testing.T) {
	free, _ := net.Listen("tcp", "127.0.0.1:0")
	at := netip.MustParseAddrPort(free.Addr().String())
	free.Close()
	l, _ := New()
	l.After(5, l.Stop)
	var got error
	fail := func(_ *Conn, err error) { got = err; l.Stop() }
	if _, err := l.Dial(at, handlerFuncs{onDisconnect: fail, onConnect: func(*Conn) {
		t.Error("the connection was established")
	}}, 10); err != nil {
		got = err
	} else {
		l.Run(noop)
	}
	if !errors.Is(got, unix.ECONNREFUSED) {
		t.Errorf("dial of a closed port: %v", got)
	}
}

func TestIterations(t *testing.T) {
	t.Run("a timer fires on time while a connection is always busy", func(t *testing.T) {
		l, s := listen(t, handlerFuncs{onData: func(c *Conn) {
			c.Write(c.Unconsumed())
			c.Consume(len(c.Unconsumed()))
		}}, 1<<16, nil)
		c := dial(t, s)
		go io.Copy(c, c)
		io.WriteString(c, "round and round")
		start := l.Now()
		l.After(0.1, func() {
			if late := l.Now() - start - 0.1; late < 0 || late > 0.1 {
				t.Errorf("late by %.3f s", late)
			}
			l.Stop()
		})
		l.Run(noop)
	})
	t.Run("a connection closed in an iteration gets no more events, nor does its descriptor's next owner", func(t *testing.T) {
		var l *Loop
		var conns []*Conn
		received := 0
		l, s := listen(t, handlerFuncs{onData: func(*Conn) {
			received++
			for _, c := range conns {
				c.Close()
			}
			l.Dial(otherAddress(l, t), handlerFuncs{onData: func(*Conn) {
				t.Error("received the event of another connection")
			}}, 10)
			l.After(0.05, l.Stop)
		}}, 100, func(c *Conn) { conns = append(conns, c) })
		a, b := dial(t, s), dial(t, s)
		l.After(0.05, func() { // both are accepted by now: both send within one iteration
			io.WriteString(a, "x")
			io.WriteString(b, "x")
		})
		l.Run(noop)
		if received != 1 || len(conns) != 2 {
			t.Errorf("%d events on %d connections, want 1 on 2", received, len(conns))
		}
	})
	t.Run("posted functions run in order and stopped timers do not fire", func(t *testing.T) {
		l, _ := New()
		order := ""
		l.After(0.01, func() { order += "x" }).Stop()
		l.After(0.02, l.Stop)
		l.Post(func() { order += "a"; l.Post(func() { order += "c" }); order += "b" })
		l.Run(noop)
		if order != "abc" {
			t.Errorf("order %q", order)
		}
	})
	t.Run("the clock starts at the wall clock's time", func(t *testing.T) {
		l, _ := New()
		if d := l.Now() - float64(time.Now().UnixNano())/1e9; d < -0.05 || d > 0.05 {
			t.Errorf("off by %.3f s", d)
		}
	})
}

// otherAddress opens another listener and returns its address.
func otherAddress(l *Loop, t *testing.T) netip.AddrPort {
	other, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { other.Close() })
	return netip.MustParseAddrPort(other.Addr().String())
}

func TestBacklog(t *testing.T) {
	t.Run("DrainAndClose accepts the waiting connections", func(t *testing.T) {
		accepted := 0
		l, s := listen(t, handlerFuncs{}, 100, func(*Conn) { accepted++ })
		for range 5 {
			dial(t, s)
		}
		at := s.Addr.String()
		s.DrainAndClose()
		if accepted != 5 {
			t.Errorf("accepted %d of 5 connections", accepted)
		}
		if _, err := net.Dial("tcp", at); err == nil {
			t.Error("the address still accepts connections")
		}
		l.Stop()
	})
	t.Run("without descriptors the listener calls onExhausted, pauses and accepts later", func(t *testing.T) {
		var old unix.Rlimit
		unix.Getrlimit(unix.RLIMIT_NOFILE, &old)
		accepted, exhausted := 0, 0
		l, _ := New()
		s, err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), 10, func() bool { return true },
			func(*Conn) Handler { accepted++; l.Stop(); return handlerFuncs{} }, func() {
				if exhausted++; exhausted == 2 {
					unix.Setrlimit(unix.RLIMIT_NOFILE, &old)
				}
			})
		if err != nil {
			t.Fatal(err)
		}
		defer unix.Setrlimit(unix.RLIMIT_NOFILE, &old)
		dial(t, s)
		unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: 3, Max: old.Max})
		l.After(5, l.Stop)
		l.Run(noop)
		if accepted != 1 || exhausted != 2 {
			t.Errorf("accepted %d, exhausted %d times, want 1 and 2", accepted, exhausted)
		}
	})
}

// A signal during shutdown called WakeUp on a closed loop. A connection had the number of its eventfd by then, and its client
// read eight bytes that nobody had sent.
func TestWakeUpAfterCloseWritesToNoDescriptor(t *testing.T) {
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	wakeupFD := l.wakeupFD
	l.Close()
	for range 1000 { // until one end of a pair has the number: the kernel assigns the lowest free one
		ends, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
		if err != nil {
			t.Fatal(err)
		}
		defer unix.Close(ends[0])
		defer unix.Close(ends[1])
		if ends[0] != wakeupFD && ends[1] != wakeupFD {
			continue
		}
		l.WakeUp()
		var got [8]byte
		for _, end := range ends {
			if n, _ := unix.Read(end, got[:]); n > 0 {
				t.Errorf("%d bytes were written to the new owner of the descriptor number", n)
			}
		}
		return
	}
	t.Fatal("the descriptor number was not reused")
}

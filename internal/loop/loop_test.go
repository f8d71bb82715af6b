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

// ear is a handler made of functions.
type ear struct {
	data func(*Conn)
	down func(*Conn, error)
	up   func(*Conn)
}

func (e ear) OnFlushed(*Conn) {}

func (e ear) OnConnect(c *Conn) {
	if e.up != nil {
		e.up(c)
	}
}

func (e ear) OnData(c *Conn) {
	if e.data != nil {
		e.data(c)
	}
}

func (e ear) OnDisconnect(c *Conn, err error) {
	if e.down != nil {
		e.down(c, err)
	}
	c.Close()
}

// server is a loop that listens and treats every connection alike; it stops by itself after ten seconds.
func server(t *testing.T, h Handler, most int, opened func(*Conn)) (*Loop, *Listener) {
	t.Helper()
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	s, err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), most, func() bool { return true }, func(c *Conn) Handler {
		if opened != nil {
			opened(c)
		}
		return h
	}, func() {})
	if err != nil {
		t.Fatal(err)
	}
	l.After(10, func() { t.Error("the story did not end"); l.Stop() })
	return l, s
}

func dial(t *testing.T, s *Listener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Address.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func none() {}

func TestBytes(t *testing.T) {
	t.Run("more than the kernel takes at once arrives whole, and the end is seen", func(t *testing.T) {
		var l *Loop
		l, s := server(t, ear{data: func(c *Conn) {
			c.Write(c.Unconsumed())
			c.Consume(len(c.Unconsumed()))
		}, down: func(_ *Conn, err error) {
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
			time.Sleep(50 * time.Millisecond) // the loop runs into a full connection
			if _, err := io.ReadFull(c, got); err != nil || !bytes.Equal(got, want) {
				t.Errorf("came back changed, %v", err)
			}
			c.Close()
		}()
		l.Run(none)
	})
	t.Run("a paused connection keeps its bytes in place and still sees the end", func(t *testing.T) {
		var l *Loop
		var held []byte
		l, s := server(t, ear{data: func(c *Conn) { held = c.Unconsumed(); c.Pause() }, down: func(c *Conn, _ error) {
			if string(held) != "one" || string(c.Unconsumed()) != "one" {
				t.Errorf("holds %q, %q", held, c.Unconsumed())
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
		l.Run(none)
	})
	t.Run("more than its owner allows ends it", func(t *testing.T) {
		var l *Loop
		l, s := server(t, ear{down: func(_ *Conn, err error) {
			if !errors.Is(err, ErrReadBufferFull) {
				t.Errorf("ended with %v", err)
			}
			l.Stop()
		}}, 5000, nil)
		go dial(t, s).Write(make([]byte, 20000))
		l.Run(none)
	})
}

func TestDial(t *testing.T) {
	free, _ := net.Listen("tcp", "127.0.0.1:0")
	at := netip.MustParseAddrPort(free.Addr().String())
	free.Close()
	l, _ := New()
	l.After(5, l.Stop)
	var got error
	fail := func(_ *Conn, err error) { got = err; l.Stop() }
	if _, err := l.Dial(at, ear{down: fail, up: func(*Conn) { t.Error("it came up") }}, 10); err != nil {
		got = err
	} else {
		l.Run(none)
	}
	if !errors.Is(got, unix.ECONNREFUSED) {
		t.Errorf("nobody listens: %v", got)
	}
}

func TestTurns(t *testing.T) {
	t.Run("a timer comes on time while a connection never rests", func(t *testing.T) {
		l, s := server(t, ear{data: func(c *Conn) { c.Write(c.Unconsumed()); c.Consume(len(c.Unconsumed())) }}, 1<<16, nil)
		c := dial(t, s)
		go io.Copy(c, c)
		io.WriteString(c, "round and round")
		began := l.Now()
		l.After(0.1, func() {
			if late := l.Now() - began - 0.1; late < 0 || late > 0.1 {
				t.Errorf("late by %.3f s", late)
			}
			l.Stop()
		})
		l.Run(none)
	})
	t.Run("a connection closed in a turn hears nothing more of it, nor does its descriptor's next owner", func(t *testing.T) {
		var l *Loop
		var conns []*Conn
		heard := 0
		l, s := server(t, ear{data: func(*Conn) {
			heard++
			for _, c := range conns {
				c.Close()
			}
			l.Dial(s2(l, t), ear{data: func(*Conn) { t.Error("heard another's event") }}, 10)
			l.After(0.05, l.Stop)
		}}, 100, func(c *Conn) { conns = append(conns, c) })
		a, b := dial(t, s), dial(t, s)
		l.After(0.05, func() { // both are accepted: both speak within one turn
			io.WriteString(a, "x")
			io.WriteString(b, "x")
		})
		l.Run(none)
		if heard != 1 || len(conns) != 2 {
			t.Errorf("heard %d of %d", heard, len(conns))
		}
	})
	t.Run("posted work and stopped timers", func(t *testing.T) {
		l, _ := New()
		order := ""
		l.After(0.01, func() { order += "x" }).Stop()
		l.After(0.02, l.Stop)
		l.Post(func() { order += "a"; l.Post(func() { order += "c" }); order += "b" })
		l.Run(none)
		if order != "abc" {
			t.Errorf("came as %q", order)
		}
	})
	t.Run("the clock is the wall's", func(t *testing.T) {
		l, _ := New()
		if d := l.Now() - float64(time.Now().UnixNano())/1e9; d < -0.05 || d > 0.05 {
			t.Errorf("off by %.3f s", d)
		}
	})
}

// s2 is another place to connect to.
func s2(l *Loop, t *testing.T) netip.AddrPort {
	other, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { other.Close() })
	return netip.MustParseAddrPort(other.Addr().String())
}

func TestBacklog(t *testing.T) {
	t.Run("what waits there when the listener closes is taken", func(t *testing.T) {
		taken := 0
		l, s := server(t, ear{}, 100, func(*Conn) { taken++ })
		for range 5 {
			dial(t, s)
		}
		at := s.Address.String()
		s.DrainAndClose()
		if taken != 5 {
			t.Errorf("%d of 5 taken", taken)
		}
		if _, err := net.Dial("tcp", at); err == nil {
			t.Error("it still listens")
		}
		l.Stop()
	})
	t.Run("without descriptors it says so, waits, and takes them later", func(t *testing.T) {
		var old unix.Rlimit
		unix.Getrlimit(unix.RLIMIT_NOFILE, &old)
		taken, starved := 0, 0
		l, _ := New()
		s, err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), 10, func() bool { return true },
			func(*Conn) Handler { taken++; l.Stop(); return ear{} }, func() {
				if starved++; starved == 2 {
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
		l.Run(none)
		if taken != 1 || starved != 2 {
			t.Errorf("taken %d, starved %d times", taken, starved)
		}
	})
}

// A signal that comes as the process ends rang the bell of a loop that was closed: a connection had its number by then, and
// its client read eight bytes that nobody had sent.
func TestABellRungAfterCloseReachesNobody(t *testing.T) {
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	bell := l.bell
	l.Close()
	for range 1000 { // until one end of a pair has its number: the kernel gives the lowest that is free
		ends, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
		if err != nil {
			t.Fatal(err)
		}
		defer unix.Close(ends[0])
		defer unix.Close(ends[1])
		if ends[0] != bell && ends[1] != bell {
			continue
		}
		l.WakeUp()
		var got [8]byte
		for _, end := range ends {
			if n, _ := unix.Read(end, got[:]); n > 0 {
				t.Errorf("%d bytes came to who has its number", n)
			}
		}
		return
	}
	t.Fatal("nobody got its number")
}

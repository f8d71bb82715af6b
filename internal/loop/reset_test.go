package loop

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// dialAndPause dials a peer, reads the text that it has written and pauses with PauseWithEOF. Then it calls afterEnd on the loop, once
// the peer has ended the connection and the kernel knows that, and returns the error that OnDisconnect is told after Resume.
func dialAndPause(t *testing.T, end func(*net.TCPConn), afterEnd func(*Conn)) (result error) {
	t.Helper()
	peer, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	l.After(10, func() { t.Error("the test did not finish within 10 s"); l.Stop() })
	paused := make(chan bool, 1)
	go func() {
		c, err := peer.Accept()
		if err != nil {
			return
		}
		io.WriteString(c, "text")
		<-paused
		end(c.(*net.TCPConn))
	}()
	var awaitEnd func(c *Conn)
	awaitEnd = func(c *Conn) {
		if kernelState(c) == unix.BPF_TCP_ESTABLISHED {
			l.After(0.001, func() { awaitEnd(c) })
			return
		}
		afterEnd(c)
		c.Resume()
	}
	_, err = l.Dial(peer.Addr().(*net.TCPAddr).AddrPort(), handlerFuncs{
		onData: func(c *Conn) {
			c.Consume(len(c.Unconsumed()))
			c.PauseWithEOF()
			paused <- true
			awaitEnd(c)
		},
		onDisconnect: func(_ *Conn, err error) { result = err; l.Stop() },
	}, 100)
	if err != nil {
		t.Fatal(err)
	}
	l.Run(noop)
	return result
}

// kernelState returns the kernel's state of a TCP connection, which asking for does not change.
func kernelState(c *Conn) uint8 {
	info, err := unix.GetsockoptTCPInfo(c.fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return unix.BPF_TCP_CLOSE
	}
	return info.State
}

// waysToPeek are the methods that look for input without reading it.
var waysToPeek = map[string]func(*Conn){
	"not at all":      func(*Conn) {},
	"IsIdle":          func(c *Conn) { c.IsIdle() },
	"PeerClosed":      func(c *Conn) { c.PeerClosed() },
	"UnreadSince":     func(c *Conn) { c.UnreadSince() },
	"CountUnreadFrom": func(c *Conn) { c.CountUnreadFrom(1) },
	"twice":           func(c *Conn) { c.PeerClosed(); c.IsIdle() },
}

// Guards against a reset that is reported as a clean close: a look for input takes the pending error from the kernel, and the next
// read finds a plain end of file.
func TestResetIsNoCleanCloseAfterAPeek(t *testing.T) {
	reset := func(c *net.TCPConn) { c.SetLinger(0); c.Close() }
	for name, peek := range waysToPeek {
		if err := dialAndPause(t, reset, peek); !errors.Is(err, unix.ECONNRESET) {
			t.Errorf("%s: a reset was reported as %v", name, err)
		}
		if err := dialAndPause(t, func(c *net.TCPConn) { c.Close() }, peek); err != io.EOF {
			t.Errorf("%s: a clean close was reported as %v", name, err)
		}
	}
}

// Guards against a connection that is up in the program alone: the error of a failed dial must not be lost to a look for input before
// the loop has handled it.
func TestFailedDialStaysOneAfterAPeek(t *testing.T) {
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	l.After(10, func() { t.Error("the test did not finish within 10 s"); l.Stop() })
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(closed.Addr().String())
	closed.Close()
	var result error
	c, err := l.Dial(address, handlerFuncs{
		onConnect:    func(*Conn) { result = errors.New("it was reported as established"); l.Stop() },
		onDisconnect: func(_ *Conn, err error) { result = err; l.Stop() },
	}, 100)
	if err != nil {
		t.Fatal(err)
	}
	for kernelState(c) == unix.BPF_TCP_SYN_SENT {
		time.Sleep(time.Millisecond)
	}
	c.IsIdle()
	c.PeerClosed()
	l.Run(noop)
	if !errors.Is(result, unix.ECONNREFUSED) {
		t.Errorf("a refused dial ended with %v", result)
	}
}

package loop

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Guards against a loop that blocks in accept: the blocking mode of an inherited listener is shared, and whoever starts the next
// process with it may make it blocking.
func TestInheritedListenerMadeBlockingDoesNotStopTheLoop(t *testing.T) {
	for name, multipath := range map[string]bool{"TCP": false, "multipath TCP": true} {
		t.Run(name, func(t *testing.T) { testListenerMadeBlocking(t, multipath) })
	}
}

func testListenerMadeBlocking(t *testing.T, multipath bool) {
	var config net.ListenConfig
	config.SetMultipathTCP(multipath)
	platform, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer platform.Close()
	file, err := platform.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	fd, err := unix.FcntlInt(file.Fd(), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	l, _ := New()
	accepted := 0
	makeBlocking := func() { unix.SetNonblock(fd, false) }
	if !multipath {
		l.faultFunc = func(call Syscall) (int, error) {
			if call == SyscallAccept {
				makeBlocking() // at the worst moment
			}
			return 0, nil
		}
	}
	hasRoom := func() bool { makeBlocking(); return true }
	s, err := l.ListenInherited(fd, netip.MustParseAddrPort(platform.Addr().String()), 4096, hasRoom,
		func(*Conn) Handler { accepted++; return ignoreEvents{} }, func() {})
	if err != nil {
		t.Fatal(err)
	}
	s.Resume()
	l.After(1, l.Stop)
	ended := make(chan error, 1)
	go func() { ended <- l.Run(func() {}) }()
	client, err := net.Dial("tcp", platform.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	select {
	case err := <-ended:
		if err != nil || accepted != 1 {
			t.Errorf("%v, %d connections accepted, want 1", err, accepted)
		}
		l.Close()
	case <-time.After(4 * time.Second):
		t.Fatal("the loop is blocked")
	}
}

// ignoreEvents is a Handler that does nothing.
type ignoreEvents struct{}

func (ignoreEvents) OnConnect(*Conn)           {}
func (ignoreEvents) OnData(*Conn)              {}
func (ignoreEvents) OnFlushed(*Conn)           {}
func (ignoreEvents) OnDisconnect(*Conn, error) {}

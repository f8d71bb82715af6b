package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"sandpass/balance"
)

// inherits is a configuration for a proxy that has a listener of the platform's; the platform keeps its own.
func inherits(t *testing.T, known string) *Launch {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close(); os.Remove(meetAt(l.Addr().String())) })
	raw, _ := l.(*net.TCPListener).SyscallConn()
	own := -1
	raw.Control(func(fd uintptr) { own, err = unix.Dup(int(fd)) })
	if err != nil {
		t.Fatal(err)
	}
	c := config(known, nil, settingsText)
	c.Listen, c.Ops, c.Socket = l.Addr().String(), "127.0.0.1:0", strconv.Itoa(own)
	return c
}

// next is the configuration of a version beside this one.
func next(t *testing.T, l *Launch, fd int) *Launch {
	t.Helper()
	own, err := unix.Dup(fd)
	if err != nil {
		t.Fatal(err)
	}
	n := *l
	n.Socket = strconv.Itoa(own)
	return &n
}

func begin(t *testing.T, l *Launch) *running {
	t.Helper()
	p, err := New(l)
	if err != nil {
		t.Fatal(err)
	}
	return run(t, p)
}

// A stranger at the socket is named and passed over; what only the process before may say is not taken from another.
func TestStrangers(t *testing.T) {
	t.Parallel()
	l := inherits(t, listing(1, true, ready("s-1", newToy(t, ok))))
	p := begin(t, l)
	p.want(t, 200, "GET", "/admin/health")
	for _, says := range []string{"noise\n", `{"v":99,"say":"hello"}` + "\n", strings.Repeat("x", 5<<20),
		`{"v":1,"say":"call","call":"quiesce"}` + "\n", `{"v":1,"say":"serving"}` + "\n",
		`{"v":1,"say":"hello"}` + "\n" + `{"v":1,"say":"state","drained":true,"maintenance":{"out":{"s-1":true}}}` + "\n"} {
		c, err := net.Dial("unix", meetAt(l.Listen))
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(3 * time.Second))
		go io.WriteString(c, says)
		if _, err := io.Copy(io.Discard, c); err != nil && strings.Contains(err.Error(), "timeout") {
			t.Errorf("%.30q is kept", says)
		}
		c.Close()
	}
	time.Sleep(100 * time.Millisecond)
	if status, _, h := p.caller(t).ask(text("look")); status != 200 || h.Get("Connection") != "" {
		t.Errorf("%d %v after the strangers", status, h)
	}
	p.do(func() {
		if p.drain.on || len(p.maintenance.Out) > 0 || p.handover.successor != nil || p.loop.Most != int(bufferPart*192*(1<<20)) {
			t.Error("strangers changed something")
		}
	})
}

// While two live each keeps to a part of the limits; the survivor takes the whole back, whichever that is.
func TestShares(t *testing.T) {
	t.Parallel()
	l := inherits(t, listing(1, true, ready("s-1", newToy(t, ok))))
	one := begin(t, l)
	one.want(t, 200, "GET", "/admin/health")
	fd, _ := strconv.Atoi(l.Socket)
	held := one.caller(t) // keeps the old one there
	held.ask(text("look"))
	two := begin(t, next(t, l, fd))
	for began := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		var serves, gaveWay bool
		two.do(func() { serves = two.takesClients() })
		one.do(func() { gaveWay = one.handover.succeeded })
		if serves && gaveWay {
			break
		}
		if time.Since(began) > 3*time.Second {
			t.Fatal("the new one does not serve")
		}
	}
	time.Sleep(2 * lookEvery * 1e9)
	whole := int(bufferPart * 192 * (1 << 20))
	var most, sockets int
	one.do(func() { most, sockets = one.loop.Most, one.own()+one.clients.count+one.backends.most })
	two.do(func() {
		most += two.loop.Most
		sockets += two.own() + two.clients.most + two.backends.most
	})
	if most > whole || sockets > 200 {
		t.Errorf("together %d bytes of %d, %d descriptors of 200", most, whole, sockets)
	}
	// A call at either holds in both before its yes.
	one.want(t, 200, "POST", "/admin/cordon/s-1")
	two.do(func() {
		if !two.maintenance.Out["s-1"] {
			t.Error("a call at the old one does not hold in the new one")
		}
	})
	if err := <-one.ended; err != nil { // it leaves by itself
		t.Error(err)
	}
	one.ended <- nil
	time.Sleep(50 * time.Millisecond)
	two.do(func() {
		if two.loop.Most != whole || two.own()+two.clients.most+two.backends.most != 200 {
			t.Errorf("the survivor has %d bytes, %d and %d descriptors", two.loop.Most, two.clients.most, two.backends.most)
		}
	})
}

// A plain planned end on an inherited socket answers what waits there and leaves the socket to others.
func TestPlainEnd(t *testing.T) {
	t.Parallel()
	l := inherits(t, listing(1, true, ready("s-1", newToy(t, ok))))
	fd, _ := strconv.Atoi(l.Socket)
	later := next(t, l, fd)
	p := begin(t, l)
	p.want(t, 200, "GET", "/admin/health")
	p.end()
	for began := time.Now(); time.Since(began) < 400*time.Millisecond; time.Sleep(20 * time.Millisecond) {
		if status, _, _ := p.caller(t).ask(text("look")); status != 200 {
			t.Errorf("%d while connections still come", status)
		}
	}
	if err := <-p.ended; err != nil {
		t.Error(err)
	}
	p.ended <- nil
	c, err := net.Dial("tcp", l.Listen)
	if err != nil {
		t.Fatalf("the platform's socket is shut: %v", err)
	}
	defer c.Close()
	after := begin(t, later)
	c.SetDeadline(time.Now().Add(2 * time.Second))
	if status, _, _ := (&caller{c, bufio.NewReader(c)}).ask(text("look")); status != 200 {
		t.Errorf("%d from the next process, for a connection that waited for it", status)
	}
	after.want(t, 200, "GET", "/admin/health")
}

// A folder that is too deep for a socket's address is reached all the same.
func TestDeepFolder(t *testing.T) {
	deep := t.TempDir() + "/" + strings.Repeat("deep/", 30)
	if err := os.MkdirAll(deep, 0o700); err != nil {
		t.Fatal(err)
	}
	t.Setenv("TMPDIR", deep)
	l := inherits(t, listing(1, true, ready("s-1", newToy(t, ok))))
	one := begin(t, l)
	one.want(t, 200, "GET", "/admin/health")
	fd, _ := strconv.Atoi(l.Socket)
	two := begin(t, next(t, l, fd))
	two.want(t, 200, "POST", "/admin/resume") // waits for the handover
	two.do(func() {
		if two.handover.predecessor == nil {
			t.Error("they did not meet")
		}
	})
}

// With clients at their most, hundreds of silent ones and large answers moving, each call has its answer within a second.
func TestDoorUnderLoad(t *testing.T) {
	t.Parallel()
	body := filling(32 << 20)
	b := newToy(t, answerBy("length", body, 200_000, nil))
	p := inService(t, listing(1, true, ready("s-1", b)), nil)
	for range 12 {
		c := p.caller(t)
		io.WriteString(c, text("look"))
		go io.Copy(io.Discard, c)
	}
	for range 300 {
		if c, err := net.Dial("tcp", p.At().String()); err == nil {
			t.Cleanup(func() { c.Close() })
		}
	}
	for i := range 20 {
		p.dialDoor(t) // silent
		p.want(t, 200, "POST", []string{"/admin/cordon/s-1", "/admin/uncordon/s-1"}[i%2])
	}
}

// The list may break in the middle of a line, stall after its head, come back with older news, or give a backend's address
// to another name: what was known holds until something newer is said whole.
func TestListTrouble(t *testing.T) {
	t.Parallel()
	a, b := newToy(t, ok), newToy(t, ok)
	asked := make(chan string, 9)
	gone := line{"name": "s-a", "status": "gone"}
	d := discovery(t, func(n int, c net.Conn, r *http.Request) {
		asked <- r.RequestURI
		switch n {
		case 1:
			chunk(c, listing(7, true, ready("s-a", a), ready("s-b", b))+"\n"+listing(8, false, gone)[:30])
			c.Close()
		case 2: // a head and no more
		case 3:
			chunk(c, listing(9, false, gone, ready("s-c", a))+"\n"+listing(6, false, ready("s-a", a))+"\n")
		}
		c.Read(make([]byte, 1))
	})
	p := run(t, launch(t, 200, "", d))
	listed := func() (names string) {
		p.do(func() {
			for _, name := range []string{"s-a", "s-b", "s-c"} {
				if x := p.backends.byName[name]; x != nil && x.state == balance.Ready {
					names += name + " "
				}
			}
		})
		return names
	}
	for i, want := range []string{"/api/targets?follow=1", "/api/targets?follow=1&since=7", "/api/targets?follow=1&since=7"} {
		wants(t, asked, want)
		if got := listed(); i == 1 && got != "s-a s-b " {
			t.Errorf("after half a line %q is listed", got)
		}
	}
	time.Sleep(100 * time.Millisecond)
	if got := listed(); got != "s-b s-c " {
		t.Errorf("after older news %q is listed", got)
	}
	if status, _, _ := p.caller(t).ask(text("look")); status != 200 {
		t.Errorf("%d", status)
	}
}

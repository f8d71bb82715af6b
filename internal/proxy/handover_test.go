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
func inheritingConfig(t *testing.T, known string) *Config {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close(); os.Remove(handoverSocketPath(l.Addr().String())) })
	raw, _ := l.(*net.TCPListener).SyscallConn()
	own := -1
	raw.Control(func(fd uintptr) { own, err = unix.Dup(int(fd)) })
	if err != nil {
		t.Fatal(err)
	}
	c := testConfig(known, nil, settingsText)
	c.Listen, c.Ops, c.Socket = l.Addr().String(), "127.0.0.1:0", strconv.Itoa(own)
	return c
}

// next is the configuration of a version beside this one.
func nextVersionConfig(t *testing.T, l *Config, fd int) *Config {
	t.Helper()
	own, err := unix.Dup(fd)
	if err != nil {
		t.Fatal(err)
	}
	n := *l
	n.Socket = strconv.Itoa(own)
	return &n
}

func startProxy(t *testing.T, l *Config) *testProxy {
	t.Helper()
	p, err := New(l)
	if err != nil {
		t.Fatal(err)
	}
	return runProxy(t, p)
}

// A stranger at the socket is named and passed over; what only the process before may say is not taken from another.
func TestStrangers(t *testing.T) {
	t.Parallel()
	l := inheritingConfig(t, endpointList(1, true, readyEndpoint("s-1", newFakeBackend(t, echo))))
	p := startProxy(t, l)
	p.wantAdminStatus(t, 200, "GET", "/admin/health")
	for _, says := range []string{"noise\n", `{"v":99,"say":"hello"}` + "\n", strings.Repeat("x", 5<<20),
		`{"v":1,"say":"call","call":"quiesce"}` + "\n", `{"v":1,"say":"serving"}` + "\n",
		`{"v":1,"say":"hello"}` + "\n" + `{"v":1,"say":"state","drained":true,"maintenance":{"out":{"s-1":true}}}` + "\n"} {
		c, err := net.Dial("unix", handoverSocketPath(l.Listen))
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
	if status, _, h := p.dial(t).roundTrip(requestText("look")); status != 200 || h.Get("Connection") != "" {
		t.Errorf("%d %v after the strangers", status, h)
	}
	p.onLoop(func() {
		if p.drain.active || len(p.maintenance.Cordoned) > 0 || p.handover.successor != nil || p.loop.MaxBufferBytes != int(readBufferShare*192*(1<<20)) {
			t.Error("strangers changed something")
		}
	})
}

// While two live each keeps to a part of the limits; the survivor takes the whole back, whichever that is.
func TestShares(t *testing.T) {
	t.Parallel()
	l := inheritingConfig(t, endpointList(1, true, readyEndpoint("s-1", newFakeBackend(t, echo))))
	one := startProxy(t, l)
	one.wantAdminStatus(t, 200, "GET", "/admin/health")
	fd, _ := strconv.Atoi(l.Socket)
	held := one.dial(t) // keeps the old one there
	held.roundTrip(requestText("look"))
	two := startProxy(t, nextVersionConfig(t, l, fd))
	for began := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		var serves, gaveWay bool
		two.onLoop(func() { serves = two.acceptsClients() })
		one.onLoop(func() { gaveWay = one.handover.successorServes })
		if serves && gaveWay {
			break
		}
		if time.Since(began) > 3*time.Second {
			t.Fatal("the new one does not serve")
		}
	}
	time.Sleep(2 * lookEvery * 1e9)
	whole := int(readBufferShare * 192 * (1 << 20))
	var most, sockets int
	one.onLoop(func() {
		most, sockets = one.loop.MaxBufferBytes, one.reservedDescriptors()+one.clients.count+one.backends.maxConns
	})
	two.onLoop(func() {
		most += two.loop.MaxBufferBytes
		sockets += two.reservedDescriptors() + two.clients.limit + two.backends.maxConns
	})
	if most > whole || sockets > 200 {
		t.Errorf("together %d bytes of %d, %d descriptors of 200", most, whole, sockets)
	}
	// A call at either holds in both before its yes.
	one.wantAdminStatus(t, 200, "POST", "/admin/cordon/s-1")
	two.onLoop(func() {
		if !two.maintenance.Cordoned["s-1"] {
			t.Error("a call at the old one does not hold in the new one")
		}
	})
	if err := <-one.runResult; err != nil { // it leaves by itself
		t.Error(err)
	}
	one.runResult <- nil
	time.Sleep(50 * time.Millisecond)
	two.onLoop(func() {
		if two.loop.MaxBufferBytes != whole || two.reservedDescriptors()+two.clients.limit+two.backends.maxConns != 200 {
			t.Errorf("the survivor has %d bytes, %d and %d descriptors", two.loop.MaxBufferBytes, two.clients.limit, two.backends.maxConns)
		}
	})
}

// A plain planned end on an inherited socket answers what waits there and leaves the socket to others.
func TestPlainEnd(t *testing.T) {
	t.Parallel()
	l := inheritingConfig(t, endpointList(1, true, readyEndpoint("s-1", newFakeBackend(t, echo))))
	fd, _ := strconv.Atoi(l.Socket)
	later := nextVersionConfig(t, l, fd)
	p := startProxy(t, l)
	p.wantAdminStatus(t, 200, "GET", "/admin/health")
	p.requestShutdown()
	for began := time.Now(); time.Since(began) < 400*time.Millisecond; time.Sleep(20 * time.Millisecond) {
		if status, _, _ := p.dial(t).roundTrip(requestText("look")); status != 200 {
			t.Errorf("%d while connections still come", status)
		}
	}
	if err := <-p.runResult; err != nil {
		t.Error(err)
	}
	p.runResult <- nil
	c, err := net.Dial("tcp", l.Listen)
	if err != nil {
		t.Fatalf("the platform's socket is shut: %v", err)
	}
	defer c.Close()
	after := startProxy(t, later)
	c.SetDeadline(time.Now().Add(2 * time.Second))
	if status, _, _ := (&testClient{c, bufio.NewReader(c)}).roundTrip(requestText("look")); status != 200 {
		t.Errorf("%d from the next process, for a connection that waited for it", status)
	}
	after.wantAdminStatus(t, 200, "GET", "/admin/health")
}

// A folder that is too deep for a socket's address is reached all the same.
func TestDeepFolder(t *testing.T) {
	deep := t.TempDir() + "/" + strings.Repeat("deep/", 30)
	if err := os.MkdirAll(deep, 0o700); err != nil {
		t.Fatal(err)
	}
	t.Setenv("TMPDIR", deep)
	l := inheritingConfig(t, endpointList(1, true, readyEndpoint("s-1", newFakeBackend(t, echo))))
	one := startProxy(t, l)
	one.wantAdminStatus(t, 200, "GET", "/admin/health")
	fd, _ := strconv.Atoi(l.Socket)
	two := startProxy(t, nextVersionConfig(t, l, fd))
	two.wantAdminStatus(t, 200, "POST", "/admin/resume") // waits for the handover
	two.onLoop(func() {
		if two.handover.predecessor == nil {
			t.Error("they did not meet")
		}
	})
}

// With clients at their most, hundreds of silent ones and large answers moving, each call has its answer within a second.
func TestDoorUnderLoad(t *testing.T) {
	t.Parallel()
	body := numberedBody(32 << 20)
	b := newFakeBackend(t, respondFramed("length", body, 200_000, nil))
	p := runWithAdmin(t, endpointList(1, true, readyEndpoint("s-1", b)), nil)
	for range 12 {
		c := p.dial(t)
		io.WriteString(c, requestText("look"))
		go io.Copy(io.Discard, c)
	}
	for range 300 {
		if c, err := net.Dial("tcp", p.Addr().String()); err == nil {
			t.Cleanup(func() { c.Close() })
		}
	}
	for i := range 20 {
		p.dialAdmin(t) // silent
		p.wantAdminStatus(t, 200, "POST", []string{"/admin/cordon/s-1", "/admin/uncordon/s-1"}[i%2])
	}
}

// The list may break in the middle of a line, stall after its head, come back with older news, or give a backend's address
// to another name: what was known holds until something newer is said whole.
func TestListTrouble(t *testing.T) {
	t.Parallel()
	a, b := newFakeBackend(t, echo), newFakeBackend(t, echo)
	asked := make(chan string, 9)
	gone := jsonObject{"name": "s-a", "status": "gone"}
	d := fakeDiscovery(t, func(n int, c net.Conn, r *http.Request) {
		asked <- r.RequestURI
		switch n {
		case 1:
			writeChunk(c, endpointList(7, true, readyEndpoint("s-a", a), readyEndpoint("s-b", b))+"\n"+endpointList(8, false, gone)[:30])
			c.Close()
		case 2: // a head and no more
		case 3:
			writeChunk(c, endpointList(9, false, gone, readyEndpoint("s-c", a))+"\n"+endpointList(6, false, readyEndpoint("s-a", a))+"\n")
		}
		c.Read(make([]byte, 1))
	})
	p := runProxy(t, newTestProxy(t, 200, "", d))
	listed := func() (names string) {
		p.onLoop(func() {
			for _, name := range []string{"s-a", "s-b", "s-c"} {
				if x := p.backends.byName[name]; x != nil && x.state == balance.Ready {
					names += name + " "
				}
			}
		})
		return names
	}
	for i, want := range []string{"/api/targets?follow=1", "/api/targets?follow=1&since=7", "/api/targets?follow=1&since=7"} {
		wantWatchRequest(t, asked, want)
		if got := listed(); i == 1 && got != "s-a s-b " {
			t.Errorf("after half a line %q is listed", got)
		}
	}
	time.Sleep(100 * time.Millisecond)
	if got := listed(); got != "s-b s-c " {
		t.Errorf("after older news %q is listed", got)
	}
	if status, _, _ := p.dial(t).roundTrip(requestText("look")); status != 200 {
		t.Errorf("%d", status)
	}
}

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

// inheritingConfig is a configuration for a proxy that inherits the platform's listener; the platform keeps its own
// descriptor.
func inheritingConfig(t *testing.T, known string) *Config {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close(); os.Remove(handoverSocketPath(listener.Addr().String())) })
	raw, _ := listener.(*net.TCPListener).SyscallConn()
	dup := -1
	raw.Control(func(fd uintptr) { dup, err = unix.Dup(int(fd)) })
	if err != nil {
		t.Fatal(err)
	}
	cfg := testConfig(known, nil, settingsText)
	cfg.Listen, cfg.Ops, cfg.Socket = listener.Addr().String(), "127.0.0.1:0", strconv.Itoa(dup)
	return cfg
}

// nextVersionConfig is the configuration of a new version that runs beside this one.
func nextVersionConfig(t *testing.T, cfg *Config, fd int) *Config {
	t.Helper()
	dup, err := unix.Dup(fd)
	if err != nil {
		t.Fatal(err)
	}
	version := *cfg
	version.Socket = strconv.Itoa(dup)
	return &version
}

// startProxy creates and runs a proxy.
func startProxy(t *testing.T, cfg *Config) *testProxy {
	t.Helper()
	p, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return runProxy(t, p)
}

// Malformed messages to the handover socket, and messages that only the predecessor may send, must be rejected
// without effect.
func TestHandoverRejectsInvalidMessages(t *testing.T) {
	t.Parallel()
	cfg := inheritingConfig(t, endpointList(1, true, readyEndpoint("s-1", newFakeBackend(t, echo))))
	p := startProxy(t, cfg)
	p.wantAdminStatus(t, 200, "GET", "/admin/health")
	for _, sent := range []string{"noise\n", `{"v":99,"say":"hello"}` + "\n", strings.Repeat("x", 5<<20),
		`{"v":1,"say":"call","call":"quiesce"}` + "\n", `{"v":1,"say":"serving"}` + "\n",
		`{"v":1,"say":"hello"}` + "\n" + `{"v":1,"say":"state","drained":true,"maintenance":{"out":{"s-1":true}}}` + "\n"} {
		c, err := net.Dial("unix", handoverSocketPath(cfg.Listen))
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(3 * time.Second))
		go io.WriteString(c, sent)
		if _, err := io.Copy(io.Discard, c); err != nil && strings.Contains(err.Error(), "timeout") {
			t.Errorf("%.30q: connection is still open", sent)
		}
		c.Close()
	}
	time.Sleep(100 * time.Millisecond)
	if status, _, h := p.dial(t).roundTrip(requestText("look")); status != 200 || h.Get("Connection") != "" {
		t.Errorf("%d %v after the rejected messages", status, h)
	}
	p.onLoop(func() {
		if p.drain.active || len(p.maintenance.Cordoned) > 0 || p.handover.successor != nil ||
			p.loop.MaxBufferBytes != int(readBufferShare*192*(1<<20)) {
			t.Error("a rejected message changed something")
		}
	})
}

// While two versions run, each must keep to its part of the limits. The one that remains gets the whole again.
func TestLimitsDuringHandover(t *testing.T) {
	t.Parallel()
	cfg := inheritingConfig(t, endpointList(1, true, readyEndpoint("s-1", newFakeBackend(t, echo))))
	one := startProxy(t, cfg)
	one.wantAdminStatus(t, 200, "GET", "/admin/health")
	fd, _ := strconv.Atoi(cfg.Socket)
	open := one.dial(t) // keeps the old process running
	open.roundTrip(requestText("look"))
	two := startProxy(t, nextVersionConfig(t, cfg, fd))
	for began := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		var serves, gaveWay bool
		two.onLoop(func() { serves = two.acceptsClients() })
		one.onLoop(func() { gaveWay = one.handover.successorServes })
		if serves && gaveWay {
			break
		}
		if time.Since(began) > 3*time.Second {
			t.Fatal("the new version does not serve")
		}
	}
	time.Sleep(2 * handoverPollSeconds * 1e9)
	totalBytes := int(readBufferShare * 192 * (1 << 20))
	var bufferBytes, sockets int
	one.onLoop(func() {
		bufferBytes, sockets = one.loop.MaxBufferBytes, one.reservedDescriptors()+one.clients.count+one.backends.maxConns
	})
	two.onLoop(func() {
		bufferBytes += two.loop.MaxBufferBytes
		sockets += two.reservedDescriptors() + two.clients.limit + two.backends.maxConns
	})
	if bufferBytes > totalBytes || sockets > 200 {
		t.Errorf("together %d bytes of %d, %d descriptors of 200", bufferBytes, totalBytes, sockets)
	}
	// An operation requested at either must apply in both before it is confirmed.
	one.wantAdminStatus(t, 200, "POST", "/admin/cordon/s-1")
	two.onLoop(func() {
		if !two.maintenance.Cordoned["s-1"] {
			t.Error("an operation at the old version does not apply in the new one")
		}
	})
	if err := <-one.runResult; err != nil { // it exits by itself
		t.Error(err)
	}
	one.runResult <- nil
	time.Sleep(50 * time.Millisecond)
	two.onLoop(func() {
		if two.loop.MaxBufferBytes != totalBytes || two.reservedDescriptors()+two.clients.limit+two.backends.maxConns != 200 {
			t.Errorf("the remaining process has %d bytes, %d client and %d backend descriptors", two.loop.MaxBufferBytes,
				two.clients.limit, two.backends.maxConns)
		}
	})
}

// A planned end without a successor must answer the connections waiting at the inherited socket, and leave the socket
// open.
func TestShutdownWithInheritedListener(t *testing.T) {
	t.Parallel()
	cfg := inheritingConfig(t, endpointList(1, true, readyEndpoint("s-1", newFakeBackend(t, echo))))
	fd, _ := strconv.Atoi(cfg.Socket)
	nextConfig := nextVersionConfig(t, cfg, fd)
	p := startProxy(t, cfg)
	p.wantAdminStatus(t, 200, "GET", "/admin/health")
	p.requestShutdown()
	for began := time.Now(); time.Since(began) < 400*time.Millisecond; time.Sleep(20 * time.Millisecond) {
		if status, _, _ := p.dial(t).roundTrip(requestText("look")); status != 200 {
			t.Errorf("%d while connections are still accepted", status)
		}
	}
	if err := <-p.runResult; err != nil {
		t.Error(err)
	}
	p.runResult <- nil
	c, err := net.Dial("tcp", cfg.Listen)
	if err != nil {
		t.Fatalf("the platform's socket is closed: %v", err)
	}
	defer c.Close()
	successor := startProxy(t, nextConfig)
	c.SetDeadline(time.Now().Add(2 * time.Second))
	if status, _, _ := (&testClient{c, bufio.NewReader(c)}).roundTrip(requestText("look")); status != 200 {
		t.Errorf("%d from the next process, for a connection that waited in the backlog", status)
	}
	successor.wantAdminStatus(t, 200, "GET", "/admin/health")
}

// A socket path that is too long for a Unix address must work.
func TestHandoverSocketInDeepFolder(t *testing.T) {
	dir := t.TempDir() + "/" + strings.Repeat("deep/", 30)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	t.Setenv("TMPDIR", dir)
	cfg := inheritingConfig(t, endpointList(1, true, readyEndpoint("s-1", newFakeBackend(t, echo))))
	one := startProxy(t, cfg)
	one.wantAdminStatus(t, 200, "GET", "/admin/health")
	fd, _ := strconv.Atoi(cfg.Socket)
	two := startProxy(t, nextVersionConfig(t, cfg, fd))
	two.wantAdminStatus(t, 200, "POST", "/admin/resume") // waits for the handover
	two.onLoop(func() {
		if two.handover.predecessor == nil {
			t.Error("the processes are not connected")
		}
	})
}

// With the client limit reached, hundreds of silent connections and large answers under way, each admin request must
// be answered within a second.
func TestAdminUnderLoad(t *testing.T) {
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
		p.dialAdmin(t) // sends nothing
		p.wantAdminStatus(t, 200, "POST", []string{"/admin/cordon/s-1", "/admin/uncordon/s-1"}[i%2])
	}
}

// The watch may end in the middle of a line, stall after its head, return with older updates, or list a backend's
// address under another name. The known list must hold until a newer update is complete.
func TestInterruptedListUpdates(t *testing.T) {
	t.Parallel()
	a, b := newFakeBackend(t, echo), newFakeBackend(t, echo)
	requests := make(chan string, 9)
	gone := jsonObject{"name": "s-a", "status": "gone"}
	d := fakeDiscovery(t, func(n int, c net.Conn, r *http.Request) {
		requests <- r.RequestURI
		switch n {
		case 1:
			writeChunk(c, endpointList(7, true, readyEndpoint("s-a", a), readyEndpoint("s-b", b))+"\n"+
				endpointList(8, false, gone)[:30])
			c.Close()
		case 2: // only a head
		case 3:
			writeChunk(c, endpointList(9, false, gone, readyEndpoint("s-c", a))+"\n"+
				endpointList(6, false, readyEndpoint("s-a", a))+"\n")
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
		wantWatchRequest(t, requests, want)
		if got := listed(); i == 1 && got != "s-a s-b " {
			t.Errorf("after an incomplete update %q is listed", got)
		}
	}
	time.Sleep(100 * time.Millisecond)
	if got := listed(); got != "s-b s-c " {
		t.Errorf("after an older update %q is listed", got)
	}
	if status, _, _ := p.dial(t).roundTrip(requestText("look")); status != 200 {
		t.Errorf("%d", status)
	}
}

// Guards against a snapshot that outlives what the running process says: a drain that has ended since it was saved, and a backend
// that was restarted since, whose machine's clock is behind.
func TestPredecessorStateReplacesSnapshot(t *testing.T) {
	a := newFakeBackend(t, echo)
	running := newUnstartedProxy(t, testConfig(endpointList(7, true, started("s-a", a, 7200)), nil, settingsText))
	running.startDrain()
	saved := running.handoverState()
	running.endDrain()
	running.watch.listApplied = true
	running.applyEndpoints(parseUpdate(t, endpointList(8, true, started("s-a", a, 3600))))
	current := running.handoverState()

	next := newUnstartedProxy(t, testConfig("", nil, settingsText))
	next.applyState(&saved, 0)
	if next.handover.done || !next.drain.active {
		t.Fatalf("after the snapshot: handover done %t, drained %t", next.handover.done, next.drain.active)
	}
	next.takeOver(&current)
	if !next.handover.done || next.drain.active {
		t.Errorf("after the handover: done %t, drained %t", next.handover.done, next.drain.active)
	}
	if want, got := agesOf(running)["s-a"], agesOf(next)["s-a"]; got > want+1 {
		t.Errorf("the restarted backend counts as %.1f s old, not %.1f s", got, want)
	}
}

package proxy

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"sandpass/balance"
)

// These tests cover races between two events. Each forces the harmful order, or the same iteration of the loop, by holding
// the loop until the other event has happened, so that the result doesn't depend on the machine's load.

// waitUntil waits, in a blocked iteration, for something outside the loop.
func waitUntil(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Errorf("timed out waiting until %s", what)
			return
		}
	}
}

// connecting returns a connection to the backend that is still being opened for a relay, or nil.
func (p *Proxy) connecting(name string) *backendConn {
	for bc := range p.backends.conns {
		if bc.backend.name == name && !bc.connected && bc.relay != nil {
			return bc
		}
	}
	return nil
}

// A repeat of a receipted command may be chosen within the deduplication window while its connection is ready only
// after it. Sent then, the command would run twice, since the backend no longer recognizes the repeat.
func TestRepeatWindowEndsDuringConnect(t *testing.T) {
	t.Parallel()
	first, second := newFakeBackend(t, resetConn), newFakeBackend(t, echo)
	const windowSeconds = 1.0
	cfg := testConfig(endpointList(1, true, readyEndpoint("s-1", first)), nil,
		strings.Replace(settingsText, `"key_scope": "cell", "window_ms": 5000`,
			`"key_scope": "cell", "window_ms": 1000`, 1))
	p, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	both := parseUpdate(t, endpointList(2, true, readyEndpoint("s-1", first), readyEndpoint("s-2", second)))
	var held atomic.Bool
	listed := false
	r := runProxyWithHook(t, p, func() {
		if !listed && len(p.commands) > 0 { // the first relay went to the failing backend: the other is listed only now
			listed = true
			p.applyEndpoints(both)
		}
		if bc := p.connecting("s-2"); bc != nil && !held.Load() {
			held.Store(true)
			waitUntil(t, "the window has passed",
				func() bool { return float64(time.Now().UnixMicro())/1e6 > bc.relay.cmd.relays[0].sentAt+windowSeconds })
		}
	})
	status, _, _ := r.dial(t).roundTrip(requestText("order", "Idempotency-Key: k\r\n", "Content-Length: 0\r\n"))
	r.requestShutdown()
	if err := <-r.runResult; err != nil {
		t.Error(err)
	}
	r.runResult <- nil
	if !held.Load() || status != 502 || first.commands.Load() != 1 || second.commands.Load() != 0 {
		t.Errorf("held %t, status %d, commands run: %d and %d", held.Load(), status, first.commands.Load(),
			second.commands.Load())
	}
}

// ---- The watch.

// newWatchServer is a fake discovery server that calls serve for each watch. serve writes the answer's head as
// well.
func newWatchServer(t *testing.T, serve func(n int, c net.Conn, r *http.Request)) (net.Listener, chan string) {
	requests := make(chan string, 100)
	return newFakeBackend(t, func(b *fakeBackend, c net.Conn, r *http.Request) {
		requests <- r.RequestURI
		serve(int(b.commands.Load()), c, r)
	}), requests
}

const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// wantWatchRequest waits for the next watch request and checks its URI.
func wantWatchRequest(t *testing.T, requests chan string, uri string) {
	t.Helper()
	select {
	case got := <-requests:
		if got != uri {
			t.Errorf("requested %s, want %s", got, uri)
		}
	case <-time.After(8 * time.Second):
		t.Fatalf("no request for %s", uri)
	}
}

func TestOnlyCompleteUpdatesKeepWatchAlive(t *testing.T) {
	t.Parallel()
	b := newFakeBackend(t, echo)
	updates := make(chan string)
	d, requests := newWatchServer(t, func(n int, c net.Conn, _ *http.Request) {
		io.WriteString(c, chunkedHead)
		for text := range updates {
			writeChunk(c, text)
		}
		c.Read(make([]byte, 1))
	})
	p := runProxy(t, newTestProxy(t, 200, endpointList(3, true, readyEndpoint("s-b", b)), d))
	wantWatchRequest(t, requests, "/api/targets?follow=1&since=3")
	expiry := func() (at, now float64) {
		p.onLoop(func() { at, now = p.watch.DeadAt(), p.loop.Now() })
		return at, now
	}
	sendAndAwait := func(text string) {
		held := 0
		p.onLoop(func() { held = p.watch.BodyBytesReceived() })
		updates <- text
		p.await(t, "the text is received", func() bool { return p.watch.BodyBytesReceived() > held })
	}
	sendAndAwait("\n")
	expiresAt, now := expiry()
	if expiresAt > now+3 {
		t.Errorf("watch expires in %v s", expiresAt-now)
	}
	parts := strings.SplitAfter(endpointList(4, false, readyEndpoint("s-c", b)), ",")
	for i, part := range parts {
		sendAndAwait(part)
		if at, _ := expiry(); (at != expiresAt) != (i == len(parts)-1) {
			t.Fatalf("after %q the watch expires %v s later", part, at-expiresAt)
		}
	}
	close(updates)
}

// A watch that does not connect, or connects and gets no head, must be given up in time for another attempt.
func TestWatchOpenTimesOut(t *testing.T) {
	t.Parallel()
	d, requests := newWatchServer(t, func(n int, c net.Conn, _ *http.Request) {
		if n > 1 {
			io.WriteString(c, chunkedHead)
		}
		c.Read(make([]byte, 1))
	})
	p := runProxy(t, newTestProxy(t, 200, "", d))
	wantWatchRequest(t, requests, "/api/targets?follow=1")
	p.onLoop(func() {
		if left := p.watch.DeadAt() - p.loop.Now(); left > 2 {
			t.Errorf("%v s allowed for a head", left)
		}
		if sweepIntervalSeconds > 0.25 { // internal/liveness depends on this
			t.Errorf("sweeps every %v s", sweepIntervalSeconds)
		}
	})
	wantWatchRequest(t, requests, "/api/targets?follow=1")
}

// Changes must never be taken for a whole list, which would leave only the backend that changed.
func TestChangesBeforeList(t *testing.T) {
	t.Parallel()
	a, b := newFakeBackend(t, echo), newFakeBackend(t, echo)
	gone := jsonObject{"name": "s-a", "status": "gone"}
	draining := readyEndpoint("s-b", b)
	draining["status"] = "draining"
	first, askedFirst := newWatchServer(t, func(n int, c net.Conn, _ *http.Request) {
		io.WriteString(c, chunkedHead)
		writeChunk(c, endpointList(7, true, readyEndpoint("s-a", a), readyEndpoint("s-b", b))+"\n")
		c.Read(make([]byte, 1))
	})
	second, askedSecond := newWatchServer(t, func(n int, c net.Conn, _ *http.Request) {
		io.WriteString(c, chunkedHead)
		if n == 1 {
			writeChunk(c, endpointList(2, false, gone)+"\n") // changes, although the whole list was requested
		} else {
			writeChunk(c, endpointList(3, true, draining)+"\n")
		}
		c.Read(make([]byte, 1))
	})
	p := runProxy(t, newTestProxy(t, 200, "", first))
	wantWatchRequest(t, askedFirst, "/api/targets?follow=1")
	p.await(t, "the list is received", func() bool { return p.watch.hasList })
	p.Reload(testConfig("", second, settingsText))
	wantWatchRequest(t, askedSecond, "/api/targets?follow=1")
	wantWatchRequest(t, askedSecond, "/api/targets?follow=1") // and not from index 2 on
	p.await(t, "the whole list is received", func() bool { return p.watch.hasList })
	p.onLoop(func() {
		if p.backends.byName["s-a"] != nil || p.backends.byName["s-b"].state != balance.Draining || p.watch.index != 3 {
			t.Errorf("%v at %d", p.backends.byName, p.watch.index)
		}
	})
}

// A complete answer is a list and not a watch: it must be applied and requested again, with a backoff.
func TestWatchAnswerWithEnd(t *testing.T) {
	b := newFakeBackend(t, echo)
	list := endpointList(7, true, readyEndpoint("s-b", b)) + "\n"
	for name, answer := range map[string]string{
		"with a content length":        fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list),
		"empty":                        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"chunked, with the last chunk": chunkedHead + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(list), list),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d, requests := newWatchServer(t, func(n int, c net.Conn, _ *http.Request) { io.WriteString(c, answer) })
			p := runProxy(t, newTestProxy(t, 200, "", d))
			began := time.Time{}
			for i := range 5 {
				<-requests
				if i == 0 {
					began = time.Now()
				}
			}
			if took := time.Since(began).Seconds(); took < 0.7 { // 0.1, 0.2, 0.4 and 0.8 s, of which jitter takes up to half
				t.Errorf("five requests in %.2f s", took)
			}
			p.await(t, "the list is applied, if there is one",
				func() bool { return p.watch.hasList == strings.Contains(answer, "s-b") })
		})
	}
}

// A reload that changes discovery's address must not be disturbed by the old watch's last update, its end, or its
// reconnect timer.
func TestReloadRacesOldWatch(t *testing.T) {
	t.Parallel()
	a, b := newFakeBackend(t, echo), newFakeBackend(t, echo)
	for name, sendFinal := range map[string]func(c net.Conn){
		"its last update": func(c net.Conn) { writeChunk(c, endpointList(9, true, readyEndpoint("s-a", a))+"\n") },
		"its end":         func(c net.Conn) { c.Close() },
		"its reset":       func(c net.Conn) { resetConn(nil, c, nil) },
		"its reconnect":   func(c net.Conn) {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sendLast, sent := make(chan bool), make(chan bool)
			first, askedFirst := newWatchServer(t, func(n int, c net.Conn, _ *http.Request) {
				io.WriteString(c, chunkedHead)
				writeChunk(c, endpointList(7, true, readyEndpoint("s-a", a))+"\n")
				<-sendLast
				sendFinal(c)
				close(sent)
				c.Read(make([]byte, 1))
			})
			second, askedSecond := newWatchServer(t, func(n int, c net.Conn, _ *http.Request) {
				io.WriteString(c, chunkedHead)
				writeChunk(c, endpointList(1, true, readyEndpoint("s-b", b))+"\n")
				c.Read(make([]byte, 1))
			})
			p := runProxy(t, newTestProxy(t, 200, "", first))
			wantWatchRequest(t, askedFirst, "/api/targets?follow=1")
			p.await(t, "the list is received", func() bool { return p.watch.hasList })
			// Both in one iteration: the old server's last bytes are in the kernel when the new configuration is applied.
			p.onLoop(func() {
				sendLast <- true
				if <-sent; name == "its reconnect" {
					p.watch.Reconnect(io.EOF)
				}
				p.watchDiscovery(netip.MustParseAddrPort(second.Addr().String()))
			})
			wantWatchRequest(t, askedSecond, "/api/targets?follow=1")
			p.await(t, "the new list is received", func() bool { return p.watch.index == 1 })
			p.onLoop(func() {
				if p.backends.byName["s-a"] != nil || p.backends.byName["s-b"] == nil || p.watch.Lost {
					t.Errorf("%v, lost %t", p.backends.byName, p.watch.Lost)
				}
			})
			select {
			case uri := <-askedSecond:
				t.Errorf("second request: %s", uri)
			case <-time.After(200 * time.Millisecond):
			}
		})
	}
}

// ---- A client that disconnects.

// trap is two backends that answer until set is true. Then each reports a command on got, and resets the connection
// on a true from cue.
type trap struct {
	set      atomic.Bool
	got, cue chan bool
	backends [2]*fakeBackend
}

// newTrap starts the two backends.
func newTrap(t *testing.T) *trap {
	x := &trap{got: make(chan bool, 9), cue: make(chan bool)}
	for i := range x.backends {
		x.backends[i] = newFakeBackend(t, func(b *fakeBackend, c net.Conn, r *http.Request) {
			if !x.set.Load() {
				echo(b, c, r)
				return
			}
			x.got <- true
			if <-x.cue {
				resetConn(b, c, r)
			}
		})
	}
	return x
}

// warmed returns a proxy with an idle connection to each backend.
func (x *trap) warmed(t *testing.T) *testProxy {
	p := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", x.backends[0]),
		readyEndpoint("s-2", x.backends[1])), nil))
	c := p.dial(t)
	waitUntil(t, "there are idle connections", func() (both bool) {
		if status, _, _ := c.roundTrip(requestText("look")); status != 200 {
			t.Errorf("status %d", status)
		}
		p.onLoop(func() {
			both = true
			for _, b := range p.backends.byName {
				both = both && len(b.idle) > 0 && p.loop.Now()-b.idle[0].idleSince > reuseDelaySeconds
			}
		})
		return both
	})
	x.set.Store(true)
	return p
}

// commands returns how many commands both have received.
func (x *trap) commands() int32 { return x.backends[0].commands.Load() + x.backends[1].commands.Load() }

// If the failure of a relay and the client's disconnect are handled in the same iteration, the failure first, no further
// relay may be sent.
func TestClientDisconnectsAsRelayFails(t *testing.T) {
	t.Parallel()
	x := newTrap(t)
	p := x.warmed(t)
	c, before := p.dial(t), x.commands()
	io.WriteString(c, requestText("look"))
	<-x.got
	p.onLoop(func() {
		var cmd *command
		for _, cmd = range p.commands {
		}
		fromClient, toBackend := cmd.client.conn, cmd.relays[0].conn.conn
		x.cue <- true
		waitUntil(t, "the reset is received", toBackend.PeerClosed)
		c.Close()
		waitUntil(t, "the client's disconnect is noticed", fromClient.PeerClosed)
		time.Sleep(lateHold)
	})
	p.await(t, "the client's departure is counted", func() bool { return p.departedCount == 1 && len(p.commands) == 0 })
	close(x.cue)
	p.awaitBackendsRead(t, x.backends[:]...)
	if runs := x.commands() - before; runs != 1 {
		t.Errorf("%d commands ran", runs)
	}
}

// If a connection to a backend opens in the iteration in which the client's disconnect is still unread, nothing may be
// written to it.
func TestClientDisconnectsAsBackendConnects(t *testing.T) {
	t.Parallel()
	b := newFakeBackend(t, echo)
	p := newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", b)), nil)
	var c atomic.Pointer[testClient]
	var held atomic.Bool
	r := runProxyWithHook(t, p, func() {
		if bc := p.connecting("s-1"); bc != nil && !held.Load() {
			held.Store(true)
			fromClient := bc.relay.cmd.client.conn
			c.Load().Close()
			waitUntil(t, "the client's disconnect is noticed", fromClient.PeerClosed)
			time.Sleep(lateHold)
		}
	})
	c.Store(r.dial(t))
	io.WriteString(c.Load(), requestText("look"))
	r.await(t, "the client's departure is counted", func() bool { return p.departedCount == 1 && len(p.commands) == 0 })
	r.awaitBackendsRead(t, b)
	if !held.Load() || b.commands.Load() != 0 {
		t.Errorf("held %t, %d commands ran", held.Load(), b.commands.Load())
	}
}

// After a stall the process finds a command together with its client's disconnect: the command must not be relayed.
func TestCommandAndDisconnectAfterStall(t *testing.T) {
	t.Parallel()
	x := newTrap(t)
	p := x.warmed(t)
	before := x.commands()
	p.onLoop(func() {
		c := p.dial(t)
		io.WriteString(c, requestText("look"))
		c.Close()
		time.Sleep(stalledHold)
	})
	p.await(t, "the client's departure is counted", func() bool { return p.departedCount == 1 && len(p.commands) == 0 })
	close(x.cue)
	p.awaitBackendsRead(t, x.backends[:]...)
	if runs := x.commands() - before; runs != 0 {
		t.Errorf("%d commands ran", runs)
	}
}

// How long a test holds the loop for it to count as late, or as stalled.
const (
	lateHold    = 30 * time.Millisecond
	stalledHold = 150 * time.Millisecond
)

// ---- Relays and the list.

// movedEndpoint is an entry that moves a backend to another process.
func movedEndpoint(name string, to net.Listener) jsonObject {
	entry := readyEndpoint(name, to)
	entry["since_ms"] = 5 // long ago, but another process
	return entry
}

// If the list moves a backend to another process while a connection to the old one is being opened, the connection
// must not be used: any service may answer there.
func TestBackendReplacedDuringConnect(t *testing.T) {
	t.Parallel()
	oldProcess, newProcess := newFakeBackend(t, echo), newFakeBackend(t, echo)
	p := newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", oldProcess)), nil)
	movedUpdate := parseUpdate(t, endpointList(2, false, movedEndpoint("s-1", newProcess)))
	var held atomic.Bool
	r := runProxyWithHook(t, p, func() {
		if bc := p.connecting("s-1"); bc != nil && !held.Load() {
			held.Store(true)
			p.applyEndpoints(movedUpdate)
		}
	})
	status, _, _ := r.dial(t).roundTrip(requestText("pay", "Content-Length: 0\r\n"))
	// Declined, since there is no other backend.
	if !held.Load() || status != 503 || oldProcess.commands.Load()+newProcess.commands.Load() != 0 {
		t.Errorf("held %t, status %d, commands run: %d by the old process, %d by the new", held.Load(), status,
			oldProcess.commands.Load(), newProcess.commands.Load())
	}
}

// If the list moves a backend while the old process runs a command, its answer must be passed on, and its connection
// not be used again.
func TestBackendReplacedDuringRelay(t *testing.T) {
	t.Parallel()
	finish := make(chan bool)
	oldProcess, newProcess := newFakeBackend(t, func(b *fakeBackend, c net.Conn, r *http.Request) { <-finish; echo(b, c, r) }),
		newFakeBackend(t, echo)
	r := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", oldProcess)), nil))
	c := r.dial(t)
	io.WriteString(c, requestText("pay", "Content-Length: 0\r\n"))
	waitUntil(t, "the command is received", func() bool { return oldProcess.commands.Load() == 1 })
	movedUpdate := parseUpdate(t, endpointList(2, false, movedEndpoint("s-1", newProcess)))
	r.onLoop(func() { r.applyEndpoints(movedUpdate) })
	close(finish)
	if status, _, _ := c.readAnswer(); status != 200 {
		t.Errorf("the old process answered %d", status)
	}
	time.Sleep(2 * reuseDelaySeconds * 1e9)
	if status, _, _ := c.roundTrip(requestText("pay", "Content-Length: 0\r\n")); status != 200 ||
		oldProcess.commands.Load() != 1 || newProcess.commands.Load() != 1 {
		t.Errorf("status %d, commands run: %d by the old process, %d by the new", status, oldProcess.commands.Load(),
			newProcess.commands.Load())
	}
}

// ---- Interrupted answers.

// An answer of unknown length that trickles on without end must be cut soon after the command's time limit, and the
// client must see that it is incomplete. Once streamed, such an answer had no end at all.
func TestEndlessAnswerIsCut(t *testing.T) {
	t.Parallel()
	if endlessCutoffSeconds >= 0.5 {
		t.Errorf("cut %v s past the limit, want less than 0.5", endlessCutoffSeconds)
	}
	for name, head := range map[string]string{"chunked": chunkedHead,
		"until close": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newFakeBackend(t, func(_ *fakeBackend, c net.Conn, _ *http.Request) {
				piece := "drip"
				if head == chunkedHead {
					piece = "4\r\ndrip\r\n"
				}
				for _, err := io.WriteString(c, head); err == nil; _, err = io.WriteString(c, piece) {
					time.Sleep(20 * time.Millisecond)
				}
			})
			c := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", b)), nil)).dial(t)
			began := time.Now()
			status, text, _ := c.roundTrip(strings.Replace(requestText("look"), "2.5", "0.8", 1))
			if took := time.Since(began).Seconds(); status != 0 || took < 0.7 || took > 4 {
				t.Errorf("status %d, %q after %.2f s", status, text, took)
			}
		})
	}
}

// A long answer of unknown length that begins just before the time limit is in time by its first bytes, and must be
// passed on completely.
func TestLongAnswerStartsNearTimeLimit(t *testing.T) {
	t.Parallel()
	body, begin := numberedBody(120<<10), make(chan bool)
	b := newFakeBackend(t, func(_ *fakeBackend, c net.Conn, _ *http.Request) {
		<-begin
		io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
		for at := 0; at < len(body); at += 4 << 10 {
			c.Write(body[at : at+4<<10])
			time.Sleep(15 * time.Millisecond) // so that 64 KiB take longer than the rest of the time limit
		}
		c.Close()
	})
	p := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", b)), nil))
	c := p.dial(t)
	io.WriteString(c, strings.Replace(requestText("pay", "Content-Length: 0\r\n"), "2.5", "1.0", 1))
	p.await(t, "the time limit is near", func() bool {
		for _, cmd := range p.commands {
			return cmd.deadline-p.loop.Now() < 0.2 // such an answer is streamed after 0.25 s
		}
		return false
	})
	close(begin)
	if status, got, _ := c.readAnswer(); status != 200 || got != string(body) {
		t.Errorf("status %d, %d bytes", status, len(got))
	}
}

// ---- A restart.

// A command may reach a new process at once, at the address of its predecessor. Discovery's list is binding from then
// on, and only its first update tells that the configured list is old: until then the command must be declined.
func TestStartWaitsForDiscovery(t *testing.T) {
	t.Parallel()
	b := newFakeBackend(t, echo)
	release := make(chan bool)
	draining := readyEndpoint("s-1", b)
	draining["status"] = "draining"
	d, requests := newWatchServer(t, func(n int, c net.Conn, _ *http.Request) {
		io.WriteString(c, chunkedHead)
		<-release
		writeChunk(c, endpointList(7, true, draining)+"\n")
		c.Read(make([]byte, 1))
	})
	p := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", b)), d))
	wantWatchRequest(t, requests, "/api/targets?follow=1&since=1")
	p.onLoop(func() { p.discoveryDeadline += 60 }) // independent of the machine's speed
	c := p.dial(t)
	if status, text, h := c.roundTrip(requestText("look")); status != 503 || h.Get("Connection") == "close" {
		t.Errorf("%d %s %v before the first list", status, text, h)
	}
	close(release)
	p.await(t, "the list is received", func() bool { return p.watch.Received })
	if status, _, _ := c.roundTrip(requestText("look")); status != 503 || b.commands.Load() != 0 {
		t.Errorf("%d with only a draining backend, which ran %d commands", status, b.commands.Load())
	}
}

// A start must not wait for discovery if it is silent or absent: the configured list is used.
func TestStartWithoutDiscovery(t *testing.T) {
	t.Parallel()
	b := newFakeBackend(t, echo)
	silent, _ := newWatchServer(t, func(_ int, c net.Conn, _ *http.Request) { c.Read(make([]byte, 1)) })
	for name, d := range map[string]net.Listener{"silent": silent, "absent": nil} {
		p := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", b)), d))
		p.await(t, "the proxy may serve", func() bool { return p.loop.Now() > p.discoveryDeadline || p.watch.Lost })
		if status, _, _ := p.dial(t).roundTrip(requestText("look")); status != 200 {
			t.Errorf("%s: %d", name, status)
		}
	}
}

// When idle clients hold all client descriptors while discovery is down, the watch must still have its own, the
// process must become ready once discovery is back, and a client that sends a command must be served.
func TestIdleClientsFillDescriptorsWithoutDiscovery(t *testing.T) {
	t.Parallel()
	b := newFakeBackend(t, echo)
	reserved, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	reserved.Close() // nothing listens there for now
	p := runProxy(t, newTestProxy(t, 60, "", reserved))
	for range 150 {
		p.dial(t)
	}
	p.await(t, "the client descriptors are in use", func() bool { return p.clients.count == p.clients.limit })
	newFakeBackendAt(t, reserved.Addr().String(), func(_ *fakeBackend, c net.Conn, _ *http.Request) {
		io.WriteString(c, chunkedHead)
		writeChunk(c, endpointList(7, true, readyEndpoint("s-1", b))+"\n")
		c.Read(make([]byte, 1))
	})
	p.await(t, "the proxy is ready", p.ready)
	if status, _, _ := p.dial(t).roundTrip(requestText("look")); status != 200 {
		t.Errorf("status %d", status)
	}
	p.onLoop(func() {
		if open := p.clients.count + len(p.backends.conns) + baseDescriptors; open > 60 {
			t.Errorf("%d descriptors in use", open)
		}
	})
}

// A connection whose last answer was sent must not be closed to free its place while unread bytes are left: closing
// would reset it, and the answer could be lost.
func TestFinalAnswerIsNotReset(t *testing.T) {
	t.Parallel()
	p := runProxy(t, newTestProxy(t, 200, "", nil))
	c := p.dial(t)
	io.WriteString(c, "NOISE\r\n")
	p.await(t, "the answer is written", func() bool { return p.clients.byState[stateClosing].Len() == 1 })
	p.onLoop(func() {
		x := p.clients.byState[stateClosing].Front().Value.(*clientConn)
		x.stateSince -= 1
		io.WriteString(c, "more of it")
		waitUntil(t, "the bytes are received", func() bool { return !x.conn.IsIdle() })
		if p.evictClient() {
			t.Error("the connection was closed with unread bytes")
		}
	})
	if status, _, _ := c.readAnswer(); status != 400 {
		t.Errorf("status %d", status)
	}
}

// ---- Malformed input.

// A list that is cut or changed at any byte must be read or end the watch. The known list stays unless a complete one
// replaces it.
func TestMalformedLists(t *testing.T) {
	b, other := newFakeBackend(t, echo), newFakeBackend(t, echo)
	p := newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", b)), nil)
	good := endpointList(7, false, readyEndpoint("s-2", other), jsonObject{"name": "s-3", "status": "gone"}) + "\n"
	for _, garbage := range []string{"", "\x00", "}", "]", "\"", "\n", "{", "9", "\xff\xfe", ",", "null", "[[[["} {
		for i := range len(good) {
			w := &p.watch
			w.Reset()
			text := good[:i] + garbage + good[min(len(good), i+len(garbage)):]
			for len(text) > 0 { // in pieces
				n := min(len(text), 1+i%37)
				if err := p.watch.Feed([]byte(text[:n])); err != nil {
					if strings.Contains(err.Error(), "\n") {
						t.Fatalf("%q at %d: %v", garbage, i, err)
					}
					break
				}
				text = text[n:]
			}
			if x := p.backends.byName["s-1"]; x == nil || x.state != balance.Ready || p.backends.readyCount < 1 {
				t.Fatalf("%q at %d: the known list was lost", garbage, i)
			}
		}
	}
}

// Settings without any one key must be accepted, or rejected in one line that names the key.
func TestSettingsWithMissingKeys(t *testing.T) {
	t.Parallel()
	var whole map[string]any
	if err := json.Unmarshal([]byte(settingsText), &whole); err != nil {
		t.Fatal(err)
	}
	rejected, accepted := 0, 0
	var without func(path string, at map[string]any)
	without = func(path string, at map[string]any) {
		for key, value := range at {
			delete(at, key)
			text, _ := json.Marshal(whole)
			if err := Check(testConfig("", nil, string(text))); err == nil {
				accepted++
			} else if rejected++; !strings.Contains(err.Error(), key) || strings.Contains(err.Error(), "\n") {
				t.Errorf("without %s.%s: %v", path, key, err)
			}
			at[key] = value
			switch x := value.(type) {
			case map[string]any:
				without(path+"."+key, x)
			case []any:
				for _, e := range x {
					if m, is := e.(map[string]any); is {
						without(path+"."+key, m)
					}
				}
			}
		}
	}
	without("settings", whole)
	if accepted == 0 || rejected == 0 {
		t.Errorf("%d accepted, %d rejected", accepted, rejected)
	}
}

// ---- Connections closed at the wrong moment.

// If the backend resets the connection while part of its answer, of unknown length, is held for a client that doesn't
// read, the client must see that the answer is incomplete.
func TestBackendResetsWhileClientDoesNotRead(t *testing.T) {
	t.Parallel()
	reset := make(chan bool)
	b := newFakeBackend(t, func(b *fakeBackend, c net.Conn, r *http.Request) {
		io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
		block := numberedBody(1 << 20)
		c.SetWriteDeadline(time.Now().Add(time.Second)) // until nothing more is accepted
		for _, err := c.Write(block); err == nil; _, err = c.Write(block) {
		}
		<-reset
		resetConn(b, c, r)
	})
	p := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", b)), nil))
	for name, old := range map[string]string{"HTTP/1.1": "HTTP/1.1", "HTTP/1.0": "HTTP/1.0"} {
		c := p.dial(t)
		io.WriteString(c, strings.Replace(requestText("pay", "Content-Length: 0\r\n"), "HTTP/1.1", old, 1))
		var paused *backendConn
		p.await(t, "the answer is held for its client", func() bool {
			for bc := range p.backends.conns {
				if bc.readPaused {
					paused = bc
				}
			}
			return paused != nil
		})
		reset <- true
		p.await(t, "the reset is received", func() bool { return paused.conn.PeerClosed() || !paused.conn.IsIdle() })
		if status, got, _ := c.readAnswer(); status == 200 {
			t.Errorf("%s: a cut answer of %d bytes seemed complete", name, len(got))
		}
	}
	if b.commands.Load() != 2 {
		t.Errorf("two commands were relayed %d times", b.commands.Load())
	}
}

// If the backend resets the connection after its complete answer, while the end of it is held for a client that
// doesn't read, the whole answer must be passed on. It used to be discarded at the reset.
func TestBackendResetsAfterWholeAnswer(t *testing.T) {
	t.Parallel()
	answering, ended := make(chan net.Conn), make(chan bool)
	b := newFakeBackend(t, func(_ *fakeBackend, c net.Conn, _ *http.Request) {
		answering <- c
		<-ended
	})
	p := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", b)), nil))
	c := p.dial(t)
	io.WriteString(c, requestText("pay", "Content-Length: 0\r\n"))
	answer := <-answering
	io.WriteString(answer, chunkedHead)
	whole := p.writeUntilPaused(t, answer, writeChunk) // all of it is read, so that there is room for the end
	writeChunk(answer, "the last")
	io.WriteString(answer, "0\r\n\r\n")
	raw, _ := answer.(*net.TCPConn).SyscallConn()
	waitUntil(t, "the proxy's kernel has received everything", func() (sent bool) {
		raw.Control(func(fd uintptr) { n, err := unix.IoctlGetInt(int(fd), unix.TIOCOUTQ); sent = err == nil && n == 0 })
		return sent
	})
	resetConn(b, answer, nil)
	close(ended)
	if status, got, _ := c.readAnswer(); status != 200 || len(got) != whole+len("the last") {
		t.Errorf("%d, %d bytes of %d", status, len(got), whole+len("the last"))
	}
}

// If two commands are pipelined and the answer to the first closes the connection, the second must not be relayed,
// and its client must see an end of file and not a reset.
func TestPipelinedCommandAfterClosingAnswer(t *testing.T) {
	t.Parallel()
	b := newFakeBackend(t, echo)
	p := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", b)), nil))
	c := p.dial(t)
	p.onLoop(func() {
		p.drain = drain{active: true, startedAt: p.loop.Now() - drainNoticeSeconds}
		io.WriteString(c, requestText("pay", "Content-Length: 0\r\n")+requestText("pay", "Content-Length: 0\r\n"))
	})
	if status, _, h := c.readAnswer(); status != 200 || h.Get("Connection") != "close" {
		t.Errorf("first command: %d %v", status, h)
	}
	if status, why, _ := c.readAnswer(); status != 0 || !strings.Contains(why, "EOF") || b.commands.Load() != 1 {
		t.Errorf("second command: %d %s; %d were relayed", status, why, b.commands.Load())
	}
}

// A request may arrive just after its idle connection was chosen to be closed. It must not be relayed; the client,
// which received no byte, can repeat it.
func TestRequestRacesIdleClose(t *testing.T) {
	t.Parallel()
	b := newFakeBackend(t, echo)
	p := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", b)), nil))
	c := p.dial(t)
	if status, _, _ := c.roundTrip(requestText("look")); status != 200 {
		t.Fatalf("status %d", status)
	}
	p.await(t, "the connection is idle", func() bool { return p.clients.byState[stateIdle].Len() == 1 })
	p.onLoop(func() {
		x := p.clients.byState[stateIdle].Front().Value.(*clientConn)
		if !x.isIdle() {
			t.Error("the connection is not idle")
		}
		io.WriteString(c, requestText("pay", "Content-Length: 0\r\n"))
		waitUntil(t, "the request is received", func() bool { return !x.conn.IsIdle() })
		x.close(closedEvicted)
	})
	if status, why, _ := c.readAnswer(); status != 0 || b.commands.Load() != 1 {
		t.Errorf("%d %s, %d were relayed", status, why, b.commands.Load())
	}
}

package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sandpass/balance"
)

// runsByID counts by Req-Id how often processes have run commands.
type runsByID struct {
	mu   sync.Mutex
	runs map[string][]string // names of the processes
}

// handle returns a backend's handler that counts a run of the named process and then goes on with next.
func (r *runsByID) handle(process string, next func(*fakeBackend, net.Conn, *http.Request)) func(*fakeBackend, net.Conn, *http.Request) {
	return func(b *fakeBackend, c net.Conn, request *http.Request) {
		id := request.Header.Get("Req-Id")
		r.mu.Lock()
		r.runs[id] = append(r.runs[id], process)
		r.mu.Unlock()
		next(b, c, request)
	}
}

// Guards against a command that runs twice: its repeat goes to a backend of the same group by the list, but at that address another
// process has come up meanwhile, which belongs to another group.
func TestRepeatDoesNotReachALaterProcessAtTheAddress(t *testing.T) {
	t.Parallel()
	runs := &runsByID{runs: map[string][]string{}}
	failing := newFakeBackend(t, runs.handle("first", func(b *fakeBackend, c net.Conn, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		resetConn(b, c, r)
	}))
	address := ""
	var connsMu sync.Mutex
	var conns []net.Conn
	old := newFakeBackend(t, func(b *fakeBackend, c net.Conn, r *http.Request) {
		connsMu.Lock()
		conns = append(conns, c)
		connsMu.Unlock()
		echo(b, c, r)
	})
	address = old.Addr().String()
	p := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", old)), nil))
	for range 3 { // a connection to the process that is listed
		if status, _, _ := p.dial(t).roundTrip(requestText("look")); status != 200 {
			t.Fatalf("%d, want 200", status)
		}
	}
	old.Close()
	connsMu.Lock()
	for _, c := range conns {
		resetConn(nil, c, nil)
	}
	connsMu.Unlock()
	newFakeBackendAt(t, address, runs.handle("later, of another group", echo))
	both := parseUpdate(t, endpointList(2, true, readyEndpoint("s-1", old), readyEndpoint("s-2", failing)))
	p.onLoop(func() { p.applyEndpoints(both) })
	var clients sync.WaitGroup
	for range 12 {
		clients.Go(func() { p.dial(t).roundTrip(requestText("order", "Idempotency-Key: k\r\n", "Content-Length: 0\r\n")) })
		time.Sleep(30 * time.Millisecond)
	}
	clients.Wait()
	runs.mu.Lock()
	defer runs.mu.Unlock()
	first := 0
	for id, processes := range runs.runs {
		if processes[0] == "first" {
			first++
		}
		if len(processes) > 1 {
			t.Errorf("%s ran at %v", id, processes)
		}
	}
	if first == 0 {
		t.Error("no command was reset by the first backend")
	}
}

// A backend that ends a connection as its answer says gives no sign that its process has ended: a repeat still goes to it.
func TestRepeatIsSentAfterAnnouncedCloses(t *testing.T) {
	t.Parallel()
	var fails atomic.Bool
	handle := func(_ *fakeBackend, c net.Conn, r *http.Request) {
		if r.Method == "POST" && fails.Swap(false) {
			io.WriteString(c, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
			return
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nok")
		c.Close()
	}
	one, two := newFakeBackend(t, handle), newFakeBackend(t, handle)
	p := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", one), readyEndpoint("s-2", two)), nil))
	for range 10 {
		if status, _, _ := p.dial(t).roundTrip(requestText("look")); status != 200 {
			t.Fatalf("%d, want 200", status)
		}
	}
	fails.Store(true)
	if status, body, _ := p.dial(t).roundTrip(requestText("order", "Idempotency-Key: k\r\n", "Content-Length: 0\r\n")); status != 200 {
		t.Errorf("a keyed request that failed once got %d %s, want 200", status, body)
	}
}

// Guards against a cold process that is taken for the warm one that it replaces: the list tells of a new backend at an address
// before it tells that the backend there is gone.
func TestLaterProcessReplacesTheOneAtItsAddress(t *testing.T) {
	b := newFakeBackend(t, echo)
	other := newFakeBackend(t, echo)
	entry := func(name string, sinceMs float64) jsonObject {
		e := readyEndpoint(name, b)
		e["since_ms"] = sinceMs
		return e
	}
	now := float64(time.Now().UnixMilli())
	for name, updates := range map[string][]string{
		"in a change": {endpointList(1, true, entry("s-old", 0), readyEndpoint("s-other", other)),
			endpointList(2, false, entry("s-new", now))},
		"in one list": {endpointList(1, true, entry("s-new", now), entry("s-old", 0), readyEndpoint("s-other", other))},
		"restarted later": {endpointList(1, true, entry("s-old", now-9000), readyEndpoint("s-other", other)),
			endpointList(2, false, entry("s-new", now))},
	} {
		t.Run(name, func(t *testing.T) {
			p := runProxy(t, newTestProxy(t, 200, "", nil))
			for _, text := range updates {
				p.onLoop(func() { p.applyEndpoints(parseUpdate(t, text)) })
			}
			p.onLoop(func() {
				got := map[string]bool{}
				for name, b := range p.backends.byName {
					got[name] = b.state == 0
				}
				if p.backends.readyCount != 2 || got["s-old"] || !got["s-new"] || !got["s-other"] {
					t.Errorf("ready: %v", got)
				}
			})
			// The list then tells what has happened, in either order.
			p.onLoop(func() {
				p.applyEndpoints(parseUpdate(t, endpointList(3, false, jsonObject{"name": "s-old", "status": "gone"})))
			})
			if status, _, _ := p.dial(t).roundTrip(requestText("look")); status != 200 {
				t.Errorf("%d, want 200", status)
			}
			p.onLoop(func() {
				if p.backends.readyCount != 2 {
					t.Error(fmt.Sprint(p.backends.readyCount, " backends are ready, want 2"))
				}
			})
		})
	}
}

// Guards against changes that are ignored for good: a discovery process that comes up at the address of one that had gone counts its
// versions from the start.
func TestDiscoveryThatCountsFromTheStartIsHeard(t *testing.T) {
	t.Parallel()
	a, b := newFakeBackend(t, echo), newFakeBackend(t, echo)
	draining := readyEndpoint("s-a", a)
	draining["status"] = "draining"
	requests := make(chan string, 9)
	d := fakeDiscovery(t, func(n int, c net.Conn, r *http.Request) {
		requests <- r.RequestURI
		switch n {
		case 1:
			writeChunk(c, endpointList(41, true, readyEndpoint("s-a", a), readyEndpoint("s-b", b))+"\n")
			c.Close()
		case 2: // another process, which knows no version 41
			writeChunk(c, endpointList(3, false, draining)+"\n")
		case 3:
			writeChunk(c, endpointList(3, true, draining, readyEndpoint("s-b", b))+"\n")
		}
		c.Read(make([]byte, 1))
	})
	p := runProxy(t, newTestProxy(t, 200, "", d))
	for _, want := range []string{"/api/targets?follow=1", "/api/targets?follow=1&since=41", "/api/targets?follow=1"} {
		wantWatchRequest(t, requests, want)
	}
	p.await(t, "the drain is known", func() bool {
		x := p.backends.byName["s-a"]
		return x != nil && x.state == balance.Draining && p.backends.readyCount == 1
	})
}

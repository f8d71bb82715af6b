package proxy

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const settingsText = `{"me": 0, "siblings": 1, "tier": 0, "discovery": "pushed", "azs": ["a", "b"],
 "limits": {"max_relays": 3, "second_copies": true, "cancel": true, "retry_after": true, "max_retry_after_ms": 2000,
  "connect_timeout_ms": 250, "conn_idle_ms": 30000, "max_open": 1000},
 "load_info": {"fields": [], "how": "none"}, "overage_utility": 0.1, "tick_ms": 5,
 "safety": {"cold_share": 0.3, "cold_ms": 7400, "fall_multiple": 2.5},
 "realms": [{"name": "acme", "allowance_per_s": 1000}],
 "verbs": [
  {"name": "look", "effect": "idempotent", "key_scope": "all", "window_ms": 5000, "response_goal_ms": 2500,
   "time_limit_ms": 3000, "utility": 1, "overdue_utility": 0.5, "stream": false},
  {"name": "pay", "effect": "at_most_once", "key_scope": "all", "window_ms": 5000, "response_goal_ms": 2500,
   "time_limit_ms": 3000, "utility": 5, "overdue_utility": 0.5, "stream": false},
  {"name": "order", "effect": "deduplicated", "key_scope": "cell", "window_ms": 5000, "response_goal_ms": 2500,
   "time_limit_ms": 3000, "utility": 5, "overdue_utility": 0.5, "stream": false}]}`

// fakeBackend is a backend that passes each command to a handler function. It counts connections and commands.
type fakeBackend struct {
	net.Listener
	conns, commands atomic.Int32
	openConns       atomic.Int32 // connections whose end has not been read yet
	connEnded       chan bool    // the proxy closed a connection while hang was serving a command
	mu              sync.Mutex
	lastRequest     *http.Request
}

// newFakeBackend starts a fake backend on a free port.
func newFakeBackend(t *testing.T, handle func(b *fakeBackend, c net.Conn, r *http.Request)) *fakeBackend {
	t.Helper()
	return newFakeBackendAt(t, "127.0.0.1:0", handle)
}

// newFakeBackendAt starts a fake backend on the given address.
func newFakeBackendAt(t *testing.T, addr string, handle func(b *fakeBackend, c net.Conn, r *http.Request)) *fakeBackend {
	t.Helper()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	b := &fakeBackend{Listener: l, connEnded: make(chan bool, 100)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			b.openConns.Add(1)
			b.conns.Add(1)
			go func() {
				defer b.openConns.Add(-1)
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					body, err := io.ReadAll(r.Body)
					if err != nil {
						return // the connection ended before the command was complete
					}
					r.Body = io.NopCloser(strings.NewReader(string(body)))
					b.commands.Add(1)
					b.mu.Lock()
					b.lastRequest = r
					b.mu.Unlock()
					handle(b, c, r)
				}
			}()
		}
	}()
	return b
}

// respondWith answers each command with a fixed text.
func respondWith(text string) func(*fakeBackend, net.Conn, *http.Request) {
	return func(_ *fakeBackend, c net.Conn, _ *http.Request) { io.WriteString(c, text) }
}

// echo answers 200 with the body of the command after "echo:".
func echo(_ *fakeBackend, c net.Conn, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Of: %s\r\n\r\necho:%s", len(body)+5, r.URL.Path, body)
}

// hang sends no answer and reports when its connection ends.
func hang(b *fakeBackend, c net.Conn, _ *http.Request) {
	c.Read(make([]byte, 1))
	b.connEnded <- true
}

// resetConn resets the connection without an answer.
func resetConn(_ *fakeBackend, c net.Conn, _ *http.Request) {
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// jsonObject is an endpoint of a list, or a whole list.
type jsonObject map[string]any

// readyEndpoint describes a ready backend of zone a.
func readyEndpoint(name string, b net.Listener) jsonObject {
	return jsonObject{"name": name, "address": b.Addr().String(), "zone": "a", "group": 1, "status": "ready", "weight": 1,
		"since_ms": 0}
}

// endpointList encodes an update of the endpoint list.
func endpointList(index int, snapshot bool, endpoints ...jsonObject) string {
	text, _ := json.Marshal(jsonObject{"index": index, "snapshot": snapshot, "endpoints": endpoints})
	return string(text)
}

// testProxy is a proxy whose loop runs in a goroutine of the test.
type testProxy struct {
	*Proxy
	shutdownRequested atomic.Bool
	runResult         chan error
	loopCalls         chan func()
}

// testConfig returns a configuration. discovery may be nil.
func testConfig(known string, discovery net.Listener, settings string) *Config {
	discoveryAddr := "127.0.0.1:1" // nothing listens there
	if discovery != nil {
		discoveryAddr = discovery.Addr().String()
	}
	l := &Config{Name: "n0", Listen: "127.0.0.1:0", Discovery: discoveryAddr, Seed: "8c1f", Settings: json.RawMessage(settings)}
	if known != "" {
		l.KnownEndpoints = json.RawMessage(known)
	}
	l.Limits.Sockets, l.Limits.MemoryMB = 200, 192
	return l
}

// newTestProxy creates a proxy with the given descriptor limit and known endpoint list.
func newTestProxy(t *testing.T, sockets int, known string, discovery net.Listener) *Proxy {
	t.Helper()
	l := testConfig(known, discovery, settingsText)
	l.Limits.Sockets = sockets
	p, err := New(l)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// runProxy runs a proxy until the end of the test.
func runProxy(t *testing.T, p *Proxy) *testProxy {
	t.Helper()
	return runProxyWithHook(t, p, func() {})
}

// runProxyWithHook is like runProxy with a function that is called on the loop in every iteration, and may block it.
func runProxyWithHook(t *testing.T, p *Proxy, hook func()) *testProxy {
	t.Helper()
	r := &testProxy{Proxy: p, runResult: make(chan error, 1), loopCalls: make(chan func(), 1)}
	go func() {
		r.runResult <- p.Run(func() bool {
			select {
			case f := <-r.loopCalls:
				f()
			default:
			}
			hook()
			return r.shutdownRequested.Load()
		})
	}()
	t.Cleanup(func() { r.requestShutdown(); <-r.runResult })
	return r
}

// requestShutdown requests a graceful shutdown, as SIGTERM does.
func (r *testProxy) requestShutdown() { r.shutdownRequested.Store(true); r.WakeUp() }

// onLoop runs f on the proxy's loop and waits for it, unless the proxy stops first.
func (r *testProxy) onLoop(f func()) {
	done := make(chan bool)
	select {
	case r.loopCalls <- func() { f(); close(done) }:
	case err := <-r.runResult:
		r.runResult <- err
		return
	}
	r.WakeUp()
	select {
	case <-done:
	case err := <-r.runResult: // the proxy stopped, so f will not run
		r.runResult <- err
	}
}

// awaitBackendsRead closes idle backend connections and waits until the backends have read all data that was sent to them. Only
// then are their counts final.
func (r *testProxy) awaitBackendsRead(t *testing.T, backends ...*fakeBackend) {
	t.Helper()
	for _, b := range backends {
		r.await(t, "all data is read", func() bool {
			for _, x := range r.backends.byName {
				x.closeIdle()
			}
			return b.conns.Load() > 0 && b.openConns.Load() == 0
		})
	}
}

// testClient is a connection of a client to the proxy.
type testClient struct {
	net.Conn
	in *bufio.Reader
}

// dial opens a connection to the proxy.
func (r *testProxy) dial(t *testing.T) *testClient {
	t.Helper()
	c, err := net.Dial("tcp", r.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(8 * time.Second))
	return &testClient{c, bufio.NewReader(c)}
}

var ids atomic.Int64

// requestText returns a command's head with a new Req-Id and these additional fields.
func requestText(verb string, fields ...string) string {
	method := "POST"
	if verb == "look" {
		method = "GET"
	}
	return fmt.Sprintf("%s /%s/x?sid=1 HTTP/1.1\r\nHost: app\r\nReq-Id: %d\r\nReq-Kind: %s\r\nReq-Owner: acme\r\n"+
		"Req-Deadline: 2.5\r\n%s\r\n", method, verb, ids.Add(1), verb, strings.Join(fields, ""))
}

// readAnswer reads the next answer. Status 0 means that the connection ended instead.
func (c *testClient) readAnswer() (status int, body string, header http.Header) {
	rsp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, err.Error(), nil
	}
	b, err := io.ReadAll(rsp.Body)
	if err != nil {
		return 0, err.Error(), nil
	}
	if rsp.Close {
		rsp.Header.Set("Connection", "close")
	}
	return rsp.StatusCode, string(b), rsp.Header
}

// roundTrip sends a request and reads the next answer.
func (c *testClient) roundTrip(request string) (int, string, http.Header) {
	io.WriteString(c, request)
	return c.readAnswer()
}

// parseUpdate decodes an update of the endpoint list.
func parseUpdate(t *testing.T, text string) *endpointUpdate {
	t.Helper()
	var l endpointUpdate
	if err := json.Unmarshal([]byte(text), &l); err != nil {
		t.Fatal(err)
	}
	return &l
}

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

// toy is a backend that does with each command what its story says; it counts connections and commands.
type toy struct {
	net.Listener
	conns, commands atomic.Int32
	open            atomic.Int32 // connections whose end it has not read yet
	ended           chan bool    // a connection was ended by the proxy while a command was out
	mu              sync.Mutex
	last            *http.Request
}

func newToy(t *testing.T, do func(b *toy, c net.Conn, r *http.Request)) *toy {
	t.Helper()
	return newToyAt(t, "127.0.0.1:0", do)
}

func newToyAt(t *testing.T, at string, do func(b *toy, c net.Conn, r *http.Request)) *toy {
	t.Helper()
	l, err := net.Listen("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	b := &toy{Listener: l, ended: make(chan bool, 100)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			b.open.Add(1)
			b.conns.Add(1)
			go func() {
				defer b.open.Add(-1)
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					body, err := io.ReadAll(r.Body)
					if err != nil {
						return // it broke off: no whole command came
					}
					r.Body = io.NopCloser(strings.NewReader(string(body)))
					b.commands.Add(1)
					b.mu.Lock()
					b.last = r
					b.mu.Unlock()
					do(b, c, r)
				}
			}()
		}
	}()
	return b
}

func say(text string) func(*toy, net.Conn, *http.Request) {
	return func(_ *toy, c net.Conn, _ *http.Request) { io.WriteString(c, text) }
}

func ok(_ *toy, c net.Conn, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Of: %s\r\n\r\necho:%s", len(body)+5, r.URL.Path, body)
}

// hang answers nothing and tells when its connection ends.
func hang(b *toy, c net.Conn, _ *http.Request) {
	c.Read(make([]byte, 1))
	b.ended <- true
}

// fall breaks the connection without an answer.
func fall(_ *toy, c net.Conn, _ *http.Request) {
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

type line map[string]any

func ready(name string, b net.Listener) line {
	return line{"name": name, "address": b.Addr().String(), "zone": "a", "group": 1, "status": "ready", "weight": 1,
		"since_ms": 0}
}

func listing(index int, snapshot bool, lines ...line) string {
	text, _ := json.Marshal(line{"index": index, "snapshot": snapshot, "endpoints": lines})
	return string(text)
}

// running is a proxy under test.
type running struct {
	*Proxy
	asked atomic.Bool
	ended chan error
	todo  chan func()
}

// config is a configuration; discovery may be nil.
func config(known string, discovery net.Listener, settings string) *Launch {
	at := "127.0.0.1:1" // nobody listens there
	if discovery != nil {
		at = discovery.Addr().String()
	}
	l := &Launch{Name: "n0", Listen: "127.0.0.1:0", Discovery: at, Seed: "8c1f", Settings: json.RawMessage(settings)}
	if known != "" {
		l.Known = json.RawMessage(known)
	}
	l.Limits.Sockets, l.Limits.MemoryMB = 200, 192
	return l
}

// launch makes a proxy that knows the list given.
func launch(t *testing.T, sockets int, known string, discovery net.Listener) *Proxy {
	t.Helper()
	l := config(known, discovery, settingsText)
	l.Limits.Sockets = sockets
	p, err := New(l)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func run(t *testing.T, p *Proxy) *running {
	t.Helper()
	return runHeld(t, p, func() {})
}

// runHeld runs it with a hook of the test's, which is called first in every turn, on the loop, and may hold it.
func runHeld(t *testing.T, p *Proxy, hold func()) *running {
	t.Helper()
	r := &running{Proxy: p, ended: make(chan error, 1), todo: make(chan func(), 1)}
	go func() {
		r.ended <- p.Run(func() bool {
			select {
			case f := <-r.todo:
				f()
			default:
			}
			hold()
			return r.asked.Load()
		})
	}()
	t.Cleanup(func() { r.end(); <-r.ended })
	return r
}

// end asks the proxy to end, as SIGTERM does.
func (r *running) end() { r.asked.Store(true); r.Ring() }

// do has f run on the proxy's own loop.
func (r *running) do(f func()) {
	done := make(chan bool)
	select {
	case r.todo <- func() { f(); close(done) }:
	case err := <-r.ended:
		r.ended <- err
		return
	}
	r.Ring()
	select {
	case <-done:
	case err := <-r.ended: // it ended meanwhile: nobody will do it
		r.ended <- err
	}
}

// settled closes what rests and waits until the backends have read all that was ever sent to them: only then do their counts
// say what did not run.
func (r *running) settled(t *testing.T, all ...*toy) {
	t.Helper()
	for _, b := range all {
		r.await(t, "all was read", func() bool {
			for _, x := range r.backends.byName {
				x.dropIdle()
			}
			return b.conns.Load() > 0 && b.open.Load() == 0
		})
	}
}

// caller is a client's connection.
type caller struct {
	net.Conn
	in *bufio.Reader
}

func (r *running) caller(t *testing.T) *caller {
	t.Helper()
	c, err := net.Dial("tcp", r.At().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(8 * time.Second))
	return &caller{c, bufio.NewReader(c)}
}

var ids atomic.Int64

func text(verb string, fields ...string) string {
	method := "POST"
	if verb == "look" {
		method = "GET"
	}
	return fmt.Sprintf("%s /%s/x?sid=1 HTTP/1.1\r\nHost: app\r\nReq-Id: %d\r\nReq-Kind: %s\r\nReq-Owner: acme\r\n"+
		"Req-Deadline: 2.5\r\n%s\r\n", method, verb, ids.Add(1), verb, strings.Join(fields, ""))
}

// read is the next answer; 0 means that the connection ended instead.
func (c *caller) read() (status int, body string, header http.Header) {
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

func (c *caller) ask(what string) (int, string, http.Header) {
	io.WriteString(c, what)
	return c.read()
}

func decode(t *testing.T, text string) *endpointUpdate {
	t.Helper()
	var l endpointUpdate
	if err := json.Unmarshal([]byte(text), &l); err != nil {
		t.Fatal(err)
	}
	return &l
}

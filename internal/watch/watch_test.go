package watch

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"sandpass/internal/loop"
)

// testServer accepts watches and passes each to a function of the test.
type testServer struct {
	net.Listener
	mutex    sync.Mutex
	conns    []net.Conn
	requests chan *http.Request // of each watch, with its body
}

// serve starts a testServer that calls do for each request.
func serve(t *testing.T, at string, do func(c net.Conn, r *http.Request)) *testServer {
	t.Helper()
	l, err := net.Listen("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{Listener: l, requests: make(chan *http.Request, 100)}
	t.Cleanup(s.stop)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mutex.Lock()
			s.conns = append(s.conns, c)
			s.mutex.Unlock()
			go func() {
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					s.requests <- r
					do(c, r)
				}
			}()
		}
	}()
	return s
}

// stop closes the listener and all connections.
func (s *testServer) stop() {
	s.Close()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, c := range s.conns {
		c.Close()
	}
}

func (s *testServer) address() netip.AddrPort { return netip.MustParseAddrPort(s.Addr().String()) }

const responseHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func writeTestChunk(c net.Conn, text string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }

func openWatch(c net.Conn, _ *http.Request) {
	io.WriteString(c, responseHead)
	writeTestChunk(c, "\n")
}

// recorder is a Handler that records its calls.
type recorder struct {
	objects      chan string
	disconnected chan string
	reconnected  chan bool
	decoded      string
}

func newRecorder() *recorder {
	return &recorder{objects: make(chan string, 100), disconnected: make(chan string, 100), reconnected: make(chan bool, 100)}
}

func (w *recorder) RequestHead(to netip.AddrPort) []byte {
	return []byte("POST /watch HTTP/1.1\r\nHost: " + to.String() + "\r\nTransfer-Encoding: chunked\r\n\r\n")
}
func (w *recorder) FirstMessage() []byte { return []byte(`{"hello":1}`) }
func (w *recorder) Decode(object []byte) error {
	if strings.Contains(string(object), "bad") {
		return errors.New("a bad object")
	}
	w.decoded = string(object)
	return nil
}
func (w *recorder) Apply() error                       { w.objects <- w.decoded; return nil }
func (w *recorder) Reconnected()                       { w.reconnected <- true }
func (w *recorder) Disconnected(err error, isNew bool) { w.disconnected <- err.Error() }

// testClient is a client on a loop of its own.
type testClient struct {
	*Client
	loopCalls chan func()
}

// startClient runs a client on a loop until the end of the test. configure, if not nil, may change it before it opens.
func startClient(t *testing.T, w *recorder, configure func(*Client), servers ...netip.AddrPort) *testClient {
	t.Helper()
	l, err := loop.New()
	if err != nil {
		t.Fatal(err)
	}
	draws := 0.0
	r := &testClient{loopCalls: make(chan func(), 1)}
	r.Client = New(l, w, Config{Servers: servers, MaxObjectBytes: 1000, StreamRequest: true, Random: func() float64 {
		draws += 0.37
		return draws - float64(int(draws))
	}})
	if configure != nil {
		configure(r.Client)
	}
	ended := make(chan bool)
	var sweep func()
	sweep = func() {
		r.CheckLiveness(l.Now())
		l.After(0.25, sweep)
	}
	go func() {
		defer close(ended)
		sweep()
		r.Open()
		l.Run(func() {
			select {
			case f := <-r.loopCalls:
				f()
			default:
			}
		})
	}()
	t.Cleanup(func() {
		r.do(func() { r.Close(); l.Stop() })
		<-ended
		l.Close()
	})
	return r
}

// do runs f on the loop and waits for it.
func (r *testClient) do(f func()) {
	done := make(chan bool)
	r.loopCalls <- func() { f(); close(done) }
	r.loop.WakeUp()
	<-done
}

// receive returns the next value of a channel, and fails the test after 8 s.
func receive[T any](t *testing.T, from chan T) T {
	t.Helper()
	select {
	case x := <-from:
		return x
	case <-time.After(8 * time.Second):
		var none T
		t.Fatalf("timeout waiting for a %T", none)
		return none
	}
}

func TestRequestBodyStaysOpen(t *testing.T) {
	t.Parallel()
	s := serve(t, "127.0.0.1:0", func(c net.Conn, r *http.Request) {
		lines := bufio.NewReader(r.Body)
		line, _ := lines.ReadString('\n')
		io.WriteString(c, responseHead)
		writeTestChunk(c, `{"first":`+strings.TrimSpace(line)+"}\n")
		for {
			line, err := lines.ReadString('\n')
			if err != nil {
				return
			}
			writeTestChunk(c, `{"got":`+line)
			writeTestChunk(c, "}\n\n")
		}
	})
	w := newRecorder()
	r := startClient(t, w, nil, s.address())
	if got := receive(t, w.objects); got != `{"first":{"hello":1}}` {
		t.Error(got)
	}
	r.do(func() { r.Send([]byte(`{"report":1}`)); r.Send([]byte(`{"report":2}`)) })
	if one, two := receive(t, w.objects), receive(t, w.objects); one != "{\"got\":{\"report\":1}\n}" ||
		two != "{\"got\":{\"report\":2}\n}" {
		t.Errorf("%q %q", one, two)
	}
	r.do(func() {
		if !r.Connected() || r.LastReceivedAt() == 0 || r.Server() != s.address() {
			t.Errorf("connected %t, last received at %v", r.Connected(), r.LastReceivedAt())
		}
	})
}

func TestFallbackAndReturnToPreferredServer(t *testing.T) {
	t.Parallel()
	first, second := serve(t, "127.0.0.1:0", openWatch), serve(t, "127.0.0.1:0", openWatch)
	w := newRecorder()
	r := startClient(t, w, func(c *Client) { c.preferredDelay = 0.05 }, first.address(), second.address())
	receive(t, first.requests)
	first.stop()
	receive(t, w.disconnected)
	receive(t, second.requests)
	receive(t, w.reconnected)
	r.do(func() {
		if r.Server() != second.address() || r.BodyBytesReceived() != 1 {
			t.Errorf("server %s, %d bytes received", r.Server(), r.BodyBytesReceived())
		}
	})
	// While the preferred server is down, the client stays with the second: failed attempts must not disturb it.
	tried := make(chan bool)
	var look func()
	look = func() {
		if r.preferredDelay > 0.15 {
			close(tried)
			return
		}
		r.loop.After(0.01, look)
	}
	r.do(look)
	receive(t, tried)
	r.do(func() {
		if r.Server() != second.address() || !r.Connected() || len(w.disconnected) > 0 || len(second.requests) > 0 {
			t.Errorf("server %s, connected %t, %d disconnects", r.Server(), r.Connected(), len(w.disconnected))
		}
	})
	again := serve(t, first.Addr().String(), openWatch)
	receive(t, again.requests)
	r.do(func() {
		if r.Server() != again.address() || len(w.disconnected) > 0 {
			t.Errorf("server %s, %d disconnects", r.Server(), len(w.disconnected))
		}
	})
}

func TestErrorOfABadResponse(t *testing.T) {
	t.Parallel()
	for answer, why := range map[string]string{
		"HTTP/1.1 409 Conflict\r\nContent-Length: 21\r\n\r\nfleet mill is unknown":   "status 409: fleet mill is unknown",
		"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n":                               "status 503",
		"HTTP/1.1 404 No\r\nContent-Length: 400\r\n\r\n" + strings.Repeat("x", 400):  "status 404: " + strings.Repeat("x", maxReasonBytes),
		"HTTP/1.1 400 No\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n": "status 400",
		"SSH-2.0-x\r\n\r\n":                           "malformed first line",
		responseHead + "2\r\n{}\r\n" + "3\r\nbad\r\n": "data outside of a JSON object",
		responseHead + "9\r\n{\"bad\":1}\r\n":         "a bad object",
		responseHead + "7d0\r\n{\"x\":\"" + strings.Repeat("y", 2000-8) + "\"}" + "\r\n": "JSON object too long",
		responseHead + "ffffffffffffff\r\n":                                              "malformed chunk size",
		"HTTP/1.1 200 OK\r\nContent-Length: 9999999999999999\r\n\r\n":                    "malformed or repeated Content-Length",
		responseHead + "2\r\n{}\r\n0\r\n\r\n":                                            "the answer ended",
	} {
		s := serve(t, "127.0.0.1:0", func(c net.Conn, _ *http.Request) { io.WriteString(c, answer) })
		w := newRecorder()
		startClient(t, w, nil, s.address())
		if got := receive(t, w.disconnected); got != why {
			t.Errorf("%.60q: %q", answer, got)
		}
	}
}

// A server that reads nothing is disconnected before the send queue grows beyond its limit.
func TestServerThatDoesNotRead(t *testing.T) {
	t.Parallel()
	s := serve(t, "127.0.0.1:0", openWatch)
	w := newRecorder()
	r := startClient(t, w, nil, s.address())
	receive(t, s.requests)
	report := []byte(`{"x":"` + strings.Repeat("y", 60_000) + `"}`)
	var send func()
	send = func() {
		if len(w.disconnected) == 0 {
			r.Send(report)
			if r.conn != nil && r.conn.UnsentBytes() > maxUnsentBytes+len(report) {
				t.Errorf("%d bytes queued", r.conn.UnsentBytes())
			}
			r.loop.After(0.001, send)
		}
	}
	r.do(send)
	if why := receive(t, w.disconnected); why != errNotReading.Error() {
		t.Error(why)
	}
}

func TestClosedWatchStaysClosed(t *testing.T) {
	t.Parallel()
	s := serve(t, "127.0.0.1:0", openWatch)
	w := newRecorder()
	r := startClient(t, w, nil, s.address())
	receive(t, s.requests)
	r.do(func() {
		r.Reconnect(errors.New("test"))
		r.Close()
		r.Send([]byte("{}"))
		r.ReadPending()
	})
	quiet := make(chan bool)
	r.do(func() { r.loop.After(0.5, func() { close(quiet) }) }) // longer than the longest first delay
	receive(t, quiet)
	if len(s.requests) > 0 {
		t.Error("the closed watch was reopened")
	}
	r.do(r.Open)
	receive(t, s.requests)
}

// Guards against losing the updates of an overloaded discovery, which answers each call late or sends slowly: they must arrive by
// the time at which its data counts as received anyway, 6 s.
func TestSlowServer(t *testing.T) {
	const limit = 6 * time.Second
	for _, c := range []struct {
		name            string
		before, between time.Duration
		pieces          int
	}{
		{"response after 2.5 s", 2500 * time.Millisecond, 0, 1},
		{"response after 3.5 s", 3500 * time.Millisecond, 0, 1},
		{"response after 5 s", 5000 * time.Millisecond, 0, 1},
		{"object sent over 4 s", 0, 400 * time.Millisecond, 10},
		{"object sent over 5 s", 0, 500 * time.Millisecond, 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := serve(t, "127.0.0.1:0", func(conn net.Conn, _ *http.Request) {
				time.Sleep(c.before)
				io.WriteString(conn, responseHead)
				object := `{"list":"` + strings.Repeat("x", 91) + `"}` + "\n"
				for part := len(object) / c.pieces; len(object) > 0; object = object[min(part, len(object)):] {
					time.Sleep(c.between)
					writeTestChunk(conn, object[:min(part, len(object))])
				}
			})
			w, began := newRecorder(), time.Now()
			startClient(t, w, nil, s.address())
			select {
			case <-w.objects:
				if took := time.Since(began); took > limit {
					t.Errorf("object received after %v", took)
				}
			case <-time.After(limit + time.Second):
				t.Error("no object received")
			}
		})
	}
}

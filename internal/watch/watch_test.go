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

// server takes watches; what a test does with each is its own.
type server struct {
	net.Listener
	mutex sync.Mutex
	conns []net.Conn
	heads chan *http.Request // of each watch, with its body
}

func serve(t *testing.T, at string, do func(c net.Conn, r *http.Request)) *server {
	t.Helper()
	l, err := net.Listen("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	s := &server{Listener: l, heads: make(chan *http.Request, 100)}
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
					s.heads <- r
					do(c, r)
				}
			}()
		}
	}()
	return s
}

// stop ends it with all its connections.
func (s *server) stop() {
	s.Close()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, c := range s.conns {
		c.Close()
	}
}

func (s *server) address() netip.AddrPort { return netip.MustParseAddrPort(s.Addr().String()) }

const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(c net.Conn, text string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }

func open(c net.Conn, _ *http.Request) {
	io.WriteString(c, head)
	chunk(c, "\n")
}

// watcher is an owner that notes what it is told.
type watcher struct {
	objects chan string
	lost    chan string
	back    chan bool
	decoded string
}

func newWatcher() *watcher {
	return &watcher{objects: make(chan string, 100), lost: make(chan string, 100), back: make(chan bool, 100)}
}

func (w *watcher) RequestHead(to netip.AddrPort) []byte {
	return []byte("POST /watch HTTP/1.1\r\nHost: " + to.String() + "\r\nTransfer-Encoding: chunked\r\n\r\n")
}
func (w *watcher) FirstMessage() []byte { return []byte(`{"hello":1}`) }
func (w *watcher) Decode(object []byte) error {
	if strings.Contains(string(object), "bad") {
		return errors.New("a bad object")
	}
	w.decoded = string(object)
	return nil
}
func (w *watcher) Apply() error                      { w.objects <- w.decoded; return nil }
func (w *watcher) Reconnected()                      { w.back <- true }
func (w *watcher) Disconnected(err error, news bool) { w.lost <- err.Error() }

// running is a client on a loop of its own.
type running struct {
	*Client
	todo chan func()
}

func start(t *testing.T, w *watcher, spoil func(*Client), servers ...netip.AddrPort) *running {
	t.Helper()
	l, err := loop.New()
	if err != nil {
		t.Fatal(err)
	}
	draws := 0.0
	r := &running{todo: make(chan func(), 1)}
	r.Client = New(l, w, Config{Servers: servers, MaxObjectBytes: 1000, StreamRequest: true, Random: func() float64 {
		draws += 0.37
		return draws - float64(int(draws))
	}})
	if spoil != nil {
		spoil(r.Client)
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
			case f := <-r.todo:
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

func (r *running) do(f func()) {
	done := make(chan bool)
	r.todo <- func() { f(); close(done) }
	r.loop.WakeUp()
	<-done
}

func wait[T any](t *testing.T, from chan T) T {
	t.Helper()
	select {
	case x := <-from:
		return x
	case <-time.After(8 * time.Second):
		var none T
		t.Fatalf("no %T", none)
		return none
	}
}

func TestTheRequestStaysOpenForObjects(t *testing.T) {
	t.Parallel()
	s := serve(t, "127.0.0.1:0", func(c net.Conn, r *http.Request) {
		lines := bufio.NewReader(r.Body)
		line, _ := lines.ReadString('\n')
		io.WriteString(c, head)
		chunk(c, `{"first":`+strings.TrimSpace(line)+"}\n")
		for {
			line, err := lines.ReadString('\n')
			if err != nil {
				return
			}
			chunk(c, `{"got":`+line)
			chunk(c, "}\n\n")
		}
	})
	w := newWatcher()
	r := start(t, w, nil, s.address())
	if got := wait(t, w.objects); got != `{"first":{"hello":1}}` {
		t.Error(got)
	}
	r.do(func() { r.Send([]byte(`{"report":1}`)); r.Send([]byte(`{"report":2}`)) })
	if one, two := wait(t, w.objects), wait(t, w.objects); one != "{\"got\":{\"report\":1}\n}" ||
		two != "{\"got\":{\"report\":2}\n}" {
		t.Errorf("%q %q", one, two)
	}
	r.do(func() {
		if !r.Connected() || r.LastReceivedAt() == 0 || r.Server() != s.address() {
			t.Errorf("connected %t, line at %v", r.Connected(), r.LastReceivedAt())
		}
	})
}

func TestTheNextServerIsAskedAndThePreferredOneAgainOnceItIsBack(t *testing.T) {
	t.Parallel()
	first, second := serve(t, "127.0.0.1:0", open), serve(t, "127.0.0.1:0", open)
	w := newWatcher()
	r := start(t, w, func(c *Client) { c.backWait = 0.05 }, first.address(), second.address())
	wait(t, first.heads)
	first.stop()
	wait(t, w.lost)
	wait(t, second.heads)
	wait(t, w.back)
	r.do(func() {
		if r.Server() != second.address() || r.BodyBytesReceived() != 1 {
			t.Errorf("%s is asked, %d bytes", r.Server(), r.BodyBytesReceived())
		}
	})
	// While the preferred one is away, the second stays: each trial fails and costs nothing.
	tried := make(chan bool)
	var look func()
	look = func() {
		if r.backWait > 0.15 {
			close(tried)
			return
		}
		r.loop.After(0.01, look)
	}
	r.do(look)
	wait(t, tried)
	r.do(func() {
		if r.Server() != second.address() || !r.Connected() || len(w.lost) > 0 || len(second.heads) > 0 {
			t.Errorf("%s is asked, connected %t, %d lost", r.Server(), r.Connected(), len(w.lost))
		}
	})
	again := serve(t, first.Addr().String(), open)
	wait(t, again.heads)
	r.do(func() {
		if r.Server() != again.address() || len(w.lost) > 0 {
			t.Errorf("%s is asked, %d lost", r.Server(), len(w.lost))
		}
	})
}

func TestAWatchThatIsRefusedSaysWhy(t *testing.T) {
	t.Parallel()
	for answer, why := range map[string]string{
		"HTTP/1.1 409 Conflict\r\nContent-Length: 21\r\n\r\nfleet mill is unknown":   "status 409: fleet mill is unknown",
		"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n":                               "status 503",
		"HTTP/1.1 404 No\r\nContent-Length: 400\r\n\r\n" + strings.Repeat("x", 400):  "status 404: " + strings.Repeat("x", reasonMost),
		"HTTP/1.1 400 No\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n": "status 400",
		"SSH-2.0-x\r\n\r\n":                   "malformed first line",
		head + "2\r\n{}\r\n" + "3\r\nbad\r\n": "something other than an object",
		head + "9\r\n{\"bad\":1}\r\n":         "a bad object",
		head + "7d0\r\n{\"x\":\"" + strings.Repeat("y", 2000-8) + "\"}" + "\r\n": "an object is too long",
		head + "ffffffffffffff\r\n":                                   "malformed chunk size",
		"HTTP/1.1 200 OK\r\nContent-Length: 9999999999999999\r\n\r\n": "malformed or repeated Content-Length",
		head + "2\r\n{}\r\n0\r\n\r\n":                                 "the answer ended",
	} {
		s := serve(t, "127.0.0.1:0", func(c net.Conn, _ *http.Request) { io.WriteString(c, answer) })
		w := newWatcher()
		start(t, w, nil, s.address())
		if got := wait(t, w.lost); got != why {
			t.Errorf("%.60q: %q", answer, got)
		}
	}
}

// A server that reads nothing is given up before what waits for it grows.
func TestAServerThatReadsNothing(t *testing.T) {
	t.Parallel()
	s := serve(t, "127.0.0.1:0", open)
	w := newWatcher()
	r := start(t, w, nil, s.address())
	wait(t, s.heads)
	report := []byte(`{"x":"` + strings.Repeat("y", 60_000) + `"}`)
	var send func()
	send = func() {
		if len(w.lost) == 0 {
			r.Send(report)
			if r.conn != nil && r.conn.UnsentBytes() > unsentMost+len(report) {
				t.Errorf("%d bytes wait", r.conn.UnsentBytes())
			}
			r.loop.After(0.001, send)
		}
	}
	r.do(send)
	if why := wait(t, w.lost); why != errUnsent.Error() {
		t.Error(why)
	}
}

func TestAClosedWatchDoesNothing(t *testing.T) {
	t.Parallel()
	s := serve(t, "127.0.0.1:0", open)
	w := newWatcher()
	r := start(t, w, nil, s.address())
	wait(t, s.heads)
	r.do(func() {
		r.Reconnect(errors.New("a test"))
		r.Close()
		r.Send([]byte("{}"))
		r.ReadPending()
	})
	quiet := make(chan bool)
	r.do(func() { r.loop.After(0.5, func() { close(quiet) }) }) // past the longest first wait
	wait(t, quiet)
	if len(s.heads) > 0 {
		t.Error("it was opened again")
	}
	r.do(r.Open)
	wait(t, s.heads)
}

// Discovery that is crowded answers each call late, or trickles what it says: it is heard all the same, by the time at which
// what it has counts as told.
func TestAServerThatIsSlowIsHeard(t *testing.T) {
	const told = 6 * time.Second
	for _, c := range []struct {
		name            string
		before, between time.Duration
		pieces          int
	}{
		{"it answers after 2.5 s", 2500 * time.Millisecond, 0, 1},
		{"it answers after 3.5 s", 3500 * time.Millisecond, 0, 1},
		{"it answers after 5 s", 5000 * time.Millisecond, 0, 1},
		{"an object takes 4 s", 0, 400 * time.Millisecond, 10},
		{"an object takes 5 s", 0, 500 * time.Millisecond, 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := serve(t, "127.0.0.1:0", func(conn net.Conn, _ *http.Request) {
				time.Sleep(c.before)
				io.WriteString(conn, head)
				object := `{"list":"` + strings.Repeat("x", 91) + `"}` + "\n"
				for part := len(object) / c.pieces; len(object) > 0; object = object[min(part, len(object)):] {
					time.Sleep(c.between)
					chunk(conn, object[:min(part, len(object))])
				}
			})
			w, began := newWatcher(), time.Now()
			start(t, w, nil, s.address())
			select {
			case <-w.objects:
				if took := time.Since(began); took > told {
					t.Errorf("heard after %v", took)
				}
			case <-time.After(told + time.Second):
				t.Error("not heard")
			}
		})
	}
}

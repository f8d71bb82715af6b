package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// inService is a running proxy with a door.
func inService(t *testing.T, known string, discovery net.Listener) *running {
	t.Helper()
	l := config(known, discovery, settingsText)
	l.Ops = "127.0.0.1:0"
	p, err := New(l)
	if err != nil {
		t.Fatal(err)
	}
	return run(t, p)
}

// dialDoor is a connection at the door.
func (r *running) dialDoor(t *testing.T) *caller {
	t.Helper()
	c, err := net.Dial("tcp", r.door.listener.At.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(5 * time.Second))
	return &caller{c, bufio.NewReader(c)}
}

// call is one call at the door, which has a second for its answer.
func (r *running) call(t *testing.T, method, path string) (int, http.Header) {
	t.Helper()
	c, began := r.dialDoor(t), time.Now()
	status, _, h := c.ask(method + " " + path + " HTTP/1.1\r\nHost: ops\r\n\r\n")
	if d := time.Since(began); d > time.Second {
		t.Errorf("%s took %v", path, d)
	}
	if _, _, end := c.read(); end != nil {
		t.Errorf("%s: the connection stays open", path)
	}
	return status, h
}

func (r *running) want(t *testing.T, status int, method, path string) {
	t.Helper()
	if got, _ := r.call(t, method, path); got != status {
		t.Errorf("%s %s: %d, want %d", method, path, got, status)
	}
}

func TestDoor(t *testing.T) {
	t.Run("what is no call gets a 4xx and changes nothing", func(t *testing.T) {
		t.Parallel()
		b := newToy(t, ok)
		p := inService(t, listing(1, true, ready("s-1", b)), nil)
		for path, status := range map[string]int{"/admin/health": 405, "/admin/dance": 404, "/": 404, "/admin/quiesce/x": 404} {
			p.want(t, status, "POST", path)
		}
		p.want(t, 405, "GET", "/admin/quiesce")
		if _, h := p.call(t, "GET", "/admin/resume"); h.Get("Allow") != "POST" {
			t.Errorf("405 with %v", h)
		}
		for noise, status := range map[string]int{"\x00\x01\r\n\r\n": 400, "POST /admin/quiesce HTTP/1.1\r\n\r\n": 400,
			"POST /admin/quiesce HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\n\r\n" + strings.Repeat("x", 9000): 413} {
			if got, _, _ := p.dialDoor(t).ask(noise); got != status {
				t.Errorf("%.20q: %d", noise, got)
			}
		}
		p.want(t, 200, "GET", "/admin/health")
		time.Sleep(freshFor * 1.2e9) // discovery is silent
		if status, _, _ := p.caller(t).ask("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"); status != 200 {
			t.Errorf("ready says %d", status)
		}
	})
	t.Run("neither silent callers nor as many clients as there may be keep a call out", func(t *testing.T) {
		t.Parallel()
		b := newToy(t, hang)
		p := inService(t, listing(1, true, ready("s-1", b)), nil)
		for range 150 {
			io.WriteString(p.caller(t), text("pay", "Content-Length: 0\r\n"))
		}
		half := p.dialDoor(t)
		io.WriteString(half, "GET /admin/he")
		for range 40 {
			p.dialDoor(t)
		}
		for range 3 {
			p.want(t, 200, "GET", "/admin/health")
		}
		if status, _, _ := half.read(); status != 0 && status != 408 {
			t.Errorf("half a call got %d", status)
		}
	})
	t.Run("a call may come byte by byte, with blank lines ahead", func(t *testing.T) {
		t.Parallel()
		p := inService(t, listing(1, true, ready("s-1", newToy(t, ok))), nil)
		c := p.dialDoor(t)
		for _, b := range []byte("\r\nGET /admin/health HTTP/1.1\r\nHost: ops\r\n\r\n") {
			c.Write([]byte{b})
			time.Sleep(time.Millisecond)
		}
		if status, _, _ := c.read(); status != 200 {
			t.Errorf("%d", status)
		}
	})
	t.Run("a bad address stops the start", func(t *testing.T) {
		t.Parallel()
		l := config("", nil, settingsText)
		l.Ops = "nowhere"
		if _, err := New(l); err == nil || !strings.HasPrefix(err.Error(), "ops: ") {
			t.Errorf("started with %v", err)
		}
	})
}

func TestQuiesce(t *testing.T) {
	t.Run("ready says no, rest and silence are closed by then, commands are answered, and resume takes it back", func(t *testing.T) {
		t.Parallel()
		b := newToy(t, func(b *toy, c net.Conn, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, "/pay") {
				time.Sleep(1200 * time.Millisecond)
			}
			ok(b, c, r)
		})
		p := inService(t, listing(1, true, ready("s-1", b)), nil)
		isReady := func() int { s, _, _ := p.caller(t).ask("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"); return s }
		var resting []*caller
		for range 8 {
			c := p.caller(t)
			if status, _, h := c.ask(text("look")); status != 200 || h.Get("Connection") != "" {
				t.Fatalf("%d %v before the drain", status, h)
			}
			resting = append(resting, c)
		}
		silent, late, half := p.caller(t), p.caller(t), p.caller(t)
		late.ask(text("look"))
		io.WriteString(late, text("pay", "Content-Length: 0\r\n"))
		p.want(t, 200, "POST", "/admin/quiesce")
		called := time.Now()
		p.want(t, 200, "POST", "/admin/quiesce")
		if got := isReady(); got != 503 {
			t.Errorf("ready says %d in the drain", got)
		}
		if status, _, _ := p.caller(t).ask(text("look")); status != 200 {
			t.Errorf("a command in the first moment: %d", status)
		}
		time.Sleep(time.Until(called.Add(600 * time.Millisecond)))
		io.WriteString(half, "GET /look")
		if status, _, h := late.read(); status != 200 || h.Get("Connection") != "close" {
			t.Errorf("open at the call: %d %v", status, h)
		}
		for _, c := range append(resting, silent, half) {
			c.SetReadDeadline(called.Add(3500 * time.Millisecond))
			if status, text, _ := c.read(); status != 0 && status != 503 || strings.Contains(text, "timeout") {
				t.Errorf("held: %d %s", status, text)
			}
		}
		p.want(t, 200, "GET", "/admin/health")
		p.want(t, 200, "POST", "/admin/resume")
		p.want(t, 200, "POST", "/admin/resume")
		if got := isReady(); got != 200 {
			t.Errorf("ready says %d after the drain", got)
		}
		c := p.caller(t)
		c.ask(text("look"))
		time.Sleep(700 * time.Millisecond)
		if status, _, h := c.ask(text("look")); status != 200 || h.Get("Connection") != "" {
			t.Errorf("after the drain: %d %v", status, h)
		}
	})
	t.Run("a planned end during a drain ends it all the same", func(t *testing.T) {
		t.Parallel()
		p := inService(t, listing(1, true, ready("s-1", newToy(t, ok))), nil)
		p.want(t, 200, "POST", "/admin/quiesce")
		p.end()
		select {
		case err := <-p.ended:
			p.ended <- err
		case <-time.After(4 * time.Second):
			t.Error("it goes on")
		}
	})
}

package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"sandpass/balance"
)

// runWithAdmin runs a proxy with an admin endpoint.
func runWithAdmin(t *testing.T, known string, discovery net.Listener) *testProxy {
	t.Helper()
	cfg := testConfig(known, discovery, settingsText)
	cfg.Ops = "127.0.0.1:0"
	p, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return runProxy(t, p)
}

// dialAdmin connects to the admin endpoint.
func (r *testProxy) dialAdmin(t *testing.T) *testClient {
	t.Helper()
	c, err := net.Dial("tcp", r.admin.listener.Addr.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(5 * time.Second))
	return &testClient{c, bufio.NewReader(c)}
}

// callAdmin makes one admin request, which must be answered within a second.
func (r *testProxy) callAdmin(t *testing.T, method, path string) (int, http.Header) {
	t.Helper()
	c, began := r.dialAdmin(t), time.Now()
	status, _, h := c.roundTrip(method + " " + path + " HTTP/1.1\r\nHost: ops\r\n\r\n")
	if d := time.Since(began); d > time.Second {
		t.Errorf("%s took %v", path, d)
	}
	if _, _, end := c.readAnswer(); end != nil {
		t.Errorf("%s: the connection is still open", path)
	}
	return status, h
}

// wantAdminStatus makes an admin request and checks the status of the answer.
func (r *testProxy) wantAdminStatus(t *testing.T, status int, method, path string) {
	t.Helper()
	if got, _ := r.callAdmin(t, method, path); got != status {
		t.Errorf("%s %s: %d, want %d", method, path, got, status)
	}
}

func TestAdminRequests(t *testing.T) {
	t.Run("an invalid request gets a 4xx and changes nothing", func(t *testing.T) {
		t.Parallel()
		b := newFakeBackend(t, echo)
		p := runWithAdmin(t, endpointList(1, true, readyEndpoint("s-1", b)), nil)
		for path, status := range map[string]int{"/admin/health": 405, "/admin/dance": 404, "/": 404, "/admin/quiesce/x": 404} {
			p.wantAdminStatus(t, status, "POST", path)
		}
		p.wantAdminStatus(t, 405, "GET", "/admin/quiesce")
		if _, h := p.callAdmin(t, "GET", "/admin/resume"); h.Get("Allow") != "POST" {
			t.Errorf("405 with %v", h)
		}
		for request, status := range map[string]int{"\x00\x01\r\n\r\n": 400, "POST /admin/quiesce HTTP/1.1\r\n\r\n": 400,
			"POST /admin/quiesce HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\n\r\n" + strings.Repeat("x", 9000): 413} {
			if got, _, _ := p.dialAdmin(t).roundTrip(request); got != status {
				t.Errorf("%.20q: %d", request, got)
			}
		}
		twoRequests := "GET /admin/health HTTP/1.1\r\nHost: a\r\n\r\nPOST /admin/quiesce HTTP/1.1\r\nHost: a\r\n\r\n"
		c := p.dialAdmin(t) // one request per connection
		if first, _, _ := c.roundTrip(twoRequests); first != 200 {
			t.Errorf("first of two requests: %d", first)
		}
		if second, _, _ := c.readAnswer(); second != 0 {
			t.Errorf("second of two requests: %d", second)
		}
		time.Sleep(discoveryGraceSeconds * 1.2e9) // discovery does not answer
		if status, _, _ := p.dial(t).roundTrip("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"); status != 200 {
			t.Errorf("readiness: %d", status)
		}
	})
	t.Run("silent callers and the maximum of clients do not block a request", func(t *testing.T) {
		t.Parallel()
		b := newFakeBackend(t, hang)
		p := runWithAdmin(t, endpointList(1, true, readyEndpoint("s-1", b)), nil)
		for range 150 {
			io.WriteString(p.dial(t), requestText("pay", "Content-Length: 0\r\n"))
		}
		incomplete := p.dialAdmin(t)
		io.WriteString(incomplete, "GET /admin/he")
		for range 40 {
			p.dialAdmin(t)
		}
		for range 3 {
			p.wantAdminStatus(t, 200, "GET", "/admin/health")
		}
		if status, _, _ := incomplete.readAnswer(); status != 0 && status != 408 {
			t.Errorf("incomplete request: %d", status)
		}
	})
	t.Run("a request may arrive byte by byte, after blank lines", func(t *testing.T) {
		t.Parallel()
		p := runWithAdmin(t, endpointList(1, true, readyEndpoint("s-1", newFakeBackend(t, echo))), nil)
		c := p.dialAdmin(t)
		for _, b := range []byte("\r\nGET /admin/health HTTP/1.1\r\nHost: ops\r\n\r\n") {
			c.Write([]byte{b})
			time.Sleep(time.Millisecond)
		}
		if status, _, _ := c.readAnswer(); status != 200 {
			t.Errorf("%d", status)
		}
	})
	t.Run("a bad address fails the start", func(t *testing.T) {
		t.Parallel()
		cfg := testConfig("", nil, settingsText)
		cfg.Ops = "nowhere"
		if _, err := New(cfg); err == nil || !strings.HasPrefix(err.Error(), "ops: ") {
			t.Errorf("started with %v", err)
		}
	})
}

func TestQuiesce(t *testing.T) {
	t.Run("not ready, idle and silent connections are closed, commands are answered, until resume", func(t *testing.T) {
		t.Parallel()
		b := newFakeBackend(t, func(b *fakeBackend, c net.Conn, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, "/pay") {
				time.Sleep(1200 * time.Millisecond)
			}
			echo(b, c, r)
		})
		p := runWithAdmin(t, endpointList(1, true, readyEndpoint("s-1", b)), nil)
		isReady := func() int { s, _, _ := p.dial(t).roundTrip("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"); return s }
		var idle []*testClient
		for range 8 {
			c := p.dial(t)
			if status, _, h := c.roundTrip(requestText("look")); status != 200 || h.Get("Connection") != "" {
				t.Fatalf("%d %v before the drain", status, h)
			}
			idle = append(idle, c)
		}
		silent, pending, incomplete := p.dial(t), p.dial(t), p.dial(t)
		pending.roundTrip(requestText("look"))
		io.WriteString(pending, requestText("pay", "Content-Length: 0\r\n"))
		p.wantAdminStatus(t, 200, "POST", "/admin/quiesce")
		drainedAt := time.Now()
		p.wantAdminStatus(t, 200, "POST", "/admin/quiesce")
		if got := isReady(); got != 503 {
			t.Errorf("readiness during the drain: %d", got)
		}
		if status, _, _ := p.dial(t).roundTrip(requestText("look")); status != 200 {
			t.Errorf("command right after the call: %d", status)
		}
		time.Sleep(time.Until(drainedAt.Add(600 * time.Millisecond)))
		io.WriteString(incomplete, "GET /look")
		if status, _, h := pending.readAnswer(); status != 200 || h.Get("Connection") != "close" {
			t.Errorf("command open at the call: %d %v", status, h)
		}
		for _, c := range append(idle, silent, incomplete) {
			c.SetReadDeadline(drainedAt.Add(3500 * time.Millisecond))
			if status, text, _ := c.readAnswer(); status != 0 && status != 503 || strings.Contains(text, "timeout") {
				t.Errorf("not closed in time: %d %s", status, text)
			}
		}
		p.wantAdminStatus(t, 200, "GET", "/admin/health")
		p.wantAdminStatus(t, 200, "POST", "/admin/resume")
		p.wantAdminStatus(t, 200, "POST", "/admin/resume")
		if got := isReady(); got != 200 {
			t.Errorf("readiness after the drain: %d", got)
		}
		c := p.dial(t)
		c.roundTrip(requestText("look"))
		time.Sleep(700 * time.Millisecond)
		if status, _, h := c.roundTrip(requestText("look")); status != 200 || h.Get("Connection") != "" {
			t.Errorf("after the drain: %d %v", status, h)
		}
	})
	t.Run("a planned end during a drain", func(t *testing.T) {
		t.Parallel()
		p := runWithAdmin(t, endpointList(1, true, readyEndpoint("s-1", newFakeBackend(t, echo))), nil)
		p.wantAdminStatus(t, 200, "POST", "/admin/quiesce")
		p.requestShutdown()
		select {
		case err := <-p.runResult:
			p.runResult <- err
		case <-time.After(4 * time.Second):
			t.Error("the proxy did not end")
		}
	})
}

// Where discovery and operators disagree about a backend, the stricter must prevail, whatever the list does
// meanwhile.
func TestCordon(t *testing.T) {
	t.Run("a cordoned backend gets no commands, whatever the list says, until it is uncordoned", func(t *testing.T) {
		t.Parallel()
		one, two := newFakeBackend(t, echo), newFakeBackend(t, echo)
		both := endpointList(1, true, readyEndpoint("s-1", one), readyEndpoint("s-2", two))
		p := runWithAdmin(t, both, nil)
		c := p.dial(t)
		sendLooks := func(n int) {
			for range n {
				if status, _, _ := c.roundTrip(requestText("look")); status != 200 {
					t.Errorf("status %d", status)
				}
				time.Sleep(2 * time.Millisecond)
			}
		}
		sendLooks(20)
		if one.commands.Load() == 0 || two.commands.Load() == 0 {
			t.Fatal("one of two backends gets no commands")
		}
		p.wantAdminStatus(t, 404, "POST", "/admin/cordon/s-3")
		p.wantAdminStatus(t, 404, "POST", "/admin/uncordon/s-3")
		p.wantAdminStatus(t, 200, "POST", "/admin/uncordon/s-1") // was not cordoned: nothing changes
		p.wantAdminStatus(t, 200, "POST", "/admin/cordon/s%2D1")
		p.wantAdminStatus(t, 200, "POST", "/admin/cordon/s-1")
		before := one.commands.Load()
		applyList := func(text string) {
			update := parseUpdate(t, text)
			p.onLoop(func() { p.applyEndpoints(update) })
		}
		restarted := readyEndpoint("s-1", one)
		restarted["since_ms"] = 5000.0
		for _, update := range []string{both, endpointList(2, false, readyEndpoint("s-1", one)),
			endpointList(3, true, readyEndpoint("s-2", two)),
			endpointList(4, false, restarted)} {
			applyList(update)
			sendLooks(10)
		}
		if n := one.commands.Load() - before; n != 0 {
			t.Errorf("%d commands went to a cordoned backend", n)
		}
		p.Reload(testConfig("", nil, settingsText)) // as on SIGHUP
		sendLooks(10)
		if n := one.commands.Load() - before; n != 0 {
			t.Errorf("%d commands went there after a reload", n)
		}
		p.wantAdminStatus(t, 200, "POST", "/admin/uncordon/s-1")
		applyList(endpointList(5, false, restarted))
		var state balance.State
		var started, now float64
		p.onLoop(func() {
			e := p.applyMaintenance(p.backends.byName["s-1"])
			state, started, now = e.State, e.StartedAt, p.loop.Now()
		})
		if state != balance.Ready || now-started > 1 {
			t.Errorf("uncordoned: state %v, started %.1f s ago, want ready and just started", state, now-started)
		}
		// It must be used within 5 s even at low traffic.
		for began := time.Now(); one.commands.Load() == before; time.Sleep(150 * time.Millisecond) {
			if sendLooks(1); time.Since(began) > 5*time.Second {
				t.Fatal("unused for 5 s after uncordon")
			}
		}
	})
	t.Run("a connection being opened at the cordon carries no command", func(t *testing.T) {
		t.Parallel()
		b := newFakeBackend(t, echo)
		p := newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", b)), nil)
		p.sendRelay(&relay{cmd: &command{id: 1, openRelays: 1}, backend: p.backends.byName["s-1"], sentAt: p.loop.Now()})
		p.cordon("s-1")
		runProxy(t, p)
		time.Sleep(100 * time.Millisecond)
		if b.conns.Load() != 1 || b.commands.Load() != 0 {
			t.Errorf("%d connections, %d commands", b.conns.Load(), b.commands.Load())
		}
	})
}

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

// inService is a running proxy with a door.
func runWithAdmin(t *testing.T, known string, discovery net.Listener) *testProxy {
	t.Helper()
	l := testConfig(known, discovery, settingsText)
	l.Ops = "127.0.0.1:0"
	p, err := New(l)
	if err != nil {
		t.Fatal(err)
	}
	return runProxy(t, p)
}

// dialDoor is a connection at the door.
func (r *testProxy) dialAdmin(t *testing.T) *testClient {
	t.Helper()
	c, err := net.Dial("tcp", r.admin.listener.Address.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(5 * time.Second))
	return &testClient{c, bufio.NewReader(c)}
}

// call is one call at the door, which has a second for its answer.
func (r *testProxy) callAdmin(t *testing.T, method, path string) (int, http.Header) {
	t.Helper()
	c, began := r.dialAdmin(t), time.Now()
	status, _, h := c.roundTrip(method + " " + path + " HTTP/1.1\r\nHost: ops\r\n\r\n")
	if d := time.Since(began); d > time.Second {
		t.Errorf("%s took %v", path, d)
	}
	if _, _, end := c.readAnswer(); end != nil {
		t.Errorf("%s: the connection stays open", path)
	}
	return status, h
}

func (r *testProxy) wantAdminStatus(t *testing.T, status int, method, path string) {
	t.Helper()
	if got, _ := r.callAdmin(t, method, path); got != status {
		t.Errorf("%s %s: %d, want %d", method, path, got, status)
	}
}

func TestDoor(t *testing.T) {
	t.Run("what is no call gets a 4xx and changes nothing", func(t *testing.T) {
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
		for noise, status := range map[string]int{"\x00\x01\r\n\r\n": 400, "POST /admin/quiesce HTTP/1.1\r\n\r\n": 400,
			"POST /admin/quiesce HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\n\r\n" + strings.Repeat("x", 9000): 413} {
			if got, _, _ := p.dialAdmin(t).roundTrip(noise); got != status {
				t.Errorf("%.20q: %d", noise, got)
			}
		}
		two := "GET /admin/health HTTP/1.1\r\nHost: a\r\n\r\nPOST /admin/quiesce HTTP/1.1\r\nHost: a\r\n\r\n"
		c := p.dialAdmin(t) // one call to a connection
		if first, _, _ := c.roundTrip(two); first != 200 {
			t.Errorf("the first of two calls: %d", first)
		}
		if second, _, _ := c.readAnswer(); second != 0 {
			t.Errorf("the second of two calls: %d", second)
		}
		time.Sleep(discoveryGraceSeconds * 1.2e9) // discovery is silent
		if status, _, _ := p.dial(t).roundTrip("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"); status != 200 {
			t.Errorf("ready says %d", status)
		}
	})
	t.Run("neither silent callers nor as many clients as there may be keep a call out", func(t *testing.T) {
		t.Parallel()
		b := newFakeBackend(t, hang)
		p := runWithAdmin(t, endpointList(1, true, readyEndpoint("s-1", b)), nil)
		for range 150 {
			io.WriteString(p.dial(t), requestText("pay", "Content-Length: 0\r\n"))
		}
		half := p.dialAdmin(t)
		io.WriteString(half, "GET /admin/he")
		for range 40 {
			p.dialAdmin(t)
		}
		for range 3 {
			p.wantAdminStatus(t, 200, "GET", "/admin/health")
		}
		if status, _, _ := half.readAnswer(); status != 0 && status != 408 {
			t.Errorf("half a call got %d", status)
		}
	})
	t.Run("a call may come byte by byte, with blank lines ahead", func(t *testing.T) {
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
	t.Run("a bad address stops the start", func(t *testing.T) {
		t.Parallel()
		l := testConfig("", nil, settingsText)
		l.Ops = "nowhere"
		if _, err := New(l); err == nil || !strings.HasPrefix(err.Error(), "ops: ") {
			t.Errorf("started with %v", err)
		}
	})
}

func TestQuiesce(t *testing.T) {
	t.Run("ready says no, rest and silence are closed by then, commands are answered, and resume takes it back", func(t *testing.T) {
		t.Parallel()
		b := newFakeBackend(t, func(b *fakeBackend, c net.Conn, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, "/pay") {
				time.Sleep(1200 * time.Millisecond)
			}
			echo(b, c, r)
		})
		p := runWithAdmin(t, endpointList(1, true, readyEndpoint("s-1", b)), nil)
		isReady := func() int { s, _, _ := p.dial(t).roundTrip("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"); return s }
		var resting []*testClient
		for range 8 {
			c := p.dial(t)
			if status, _, h := c.roundTrip(requestText("look")); status != 200 || h.Get("Connection") != "" {
				t.Fatalf("%d %v before the drain", status, h)
			}
			resting = append(resting, c)
		}
		silent, late, half := p.dial(t), p.dial(t), p.dial(t)
		late.roundTrip(requestText("look"))
		io.WriteString(late, requestText("pay", "Content-Length: 0\r\n"))
		p.wantAdminStatus(t, 200, "POST", "/admin/quiesce")
		called := time.Now()
		p.wantAdminStatus(t, 200, "POST", "/admin/quiesce")
		if got := isReady(); got != 503 {
			t.Errorf("ready says %d in the drain", got)
		}
		if status, _, _ := p.dial(t).roundTrip(requestText("look")); status != 200 {
			t.Errorf("a command in the first moment: %d", status)
		}
		time.Sleep(time.Until(called.Add(600 * time.Millisecond)))
		io.WriteString(half, "GET /look")
		if status, _, h := late.readAnswer(); status != 200 || h.Get("Connection") != "close" {
			t.Errorf("open at the call: %d %v", status, h)
		}
		for _, c := range append(resting, silent, half) {
			c.SetReadDeadline(called.Add(3500 * time.Millisecond))
			if status, text, _ := c.readAnswer(); status != 0 && status != 503 || strings.Contains(text, "timeout") {
				t.Errorf("held: %d %s", status, text)
			}
		}
		p.wantAdminStatus(t, 200, "GET", "/admin/health")
		p.wantAdminStatus(t, 200, "POST", "/admin/resume")
		p.wantAdminStatus(t, 200, "POST", "/admin/resume")
		if got := isReady(); got != 200 {
			t.Errorf("ready says %d after the drain", got)
		}
		c := p.dial(t)
		c.roundTrip(requestText("look"))
		time.Sleep(700 * time.Millisecond)
		if status, _, h := c.roundTrip(requestText("look")); status != 200 || h.Get("Connection") != "" {
			t.Errorf("after the drain: %d %v", status, h)
		}
	})
	t.Run("a planned end during a drain ends it all the same", func(t *testing.T) {
		t.Parallel()
		p := runWithAdmin(t, endpointList(1, true, readyEndpoint("s-1", newFakeBackend(t, echo))), nil)
		p.wantAdminStatus(t, 200, "POST", "/admin/quiesce")
		p.requestShutdown()
		select {
		case err := <-p.runResult:
			p.runResult <- err
		case <-time.After(4 * time.Second):
			t.Error("it goes on")
		}
	})
}

// Discovery and operators speak of the same backends: the stricter word holds, whatever the list does meanwhile.
func TestLeftOut(t *testing.T) {
	t.Run("nothing new goes there until it is called back, through lists that say otherwise", func(t *testing.T) {
		t.Parallel()
		one, two := newFakeBackend(t, echo), newFakeBackend(t, echo)
		both := endpointList(1, true, readyEndpoint("s-1", one), readyEndpoint("s-2", two))
		p := runWithAdmin(t, both, nil)
		c := p.dial(t)
		look := func(n int) {
			for range n {
				if status, _, _ := c.roundTrip(requestText("look")); status != 200 {
					t.Errorf("status %d", status)
				}
				time.Sleep(2 * time.Millisecond)
			}
		}
		look(20)
		if one.commands.Load() == 0 || two.commands.Load() == 0 {
			t.Fatal("one of two gets nothing")
		}
		p.wantAdminStatus(t, 404, "POST", "/admin/cordon/s-3")
		p.wantAdminStatus(t, 404, "POST", "/admin/uncordon/s-3")
		p.wantAdminStatus(t, 200, "POST", "/admin/uncordon/s-1") // was not left out: nothing changes
		p.wantAdminStatus(t, 200, "POST", "/admin/cordon/s%2D1")
		p.wantAdminStatus(t, 200, "POST", "/admin/cordon/s-1")
		before := one.commands.Load()
		tell := func(text string) {
			l := parseUpdate(t, text)
			p.onLoop(func() { p.applyEndpoints(l) })
		}
		anew := readyEndpoint("s-1", one)
		anew["since_ms"] = 5000.0
		for _, list := range []string{both, endpointList(2, false, readyEndpoint("s-1", one)), endpointList(3, true, readyEndpoint("s-2", two)),
			endpointList(4, false, anew)} {
			tell(list)
			look(10)
		}
		if n := one.commands.Load() - before; n != 0 {
			t.Errorf("%d commands went to a backend left out", n)
		}
		p.Reload(testConfig("", nil, settingsText)) // SIGHUP
		look(10)
		if n := one.commands.Load() - before; n != 0 {
			t.Errorf("%d commands went there after a new configuration", n)
		}
		p.wantAdminStatus(t, 200, "POST", "/admin/uncordon/s-1")
		tell(endpointList(5, false, anew))
		var state balance.State
		var started, now float64
		p.onLoop(func() {
			e := p.applyMaintenance(p.backends.byName["s-1"])
			state, started, now = e.State, e.StartedAt, p.loop.Now()
		})
		if state != balance.Ready || now-started > 1 {
			t.Errorf("back as %v, started %.1f s ago: it is cold", state, now-started)
		}
		// At low traffic too it is used within 5 s.
		for began := time.Now(); one.commands.Load() == before; time.Sleep(150 * time.Millisecond) {
			if look(1); time.Since(began) > 5*time.Second {
				t.Fatal("unused for 5 s after the call back")
			}
		}
	})
	t.Run("a connection under way at the call carries nothing", func(t *testing.T) {
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

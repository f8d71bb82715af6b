package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"sandpass/balance"
)

func TestAnswers(t *testing.T) {
	t.Run("a body and its answer are relayed unchanged over kept connections", func(t *testing.T) {
		t.Parallel()
		b := newFakeBackend(t, echo)
		p := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", b)), nil))
		c := p.dial(t)
		body := strings.Repeat("ab\r\n", 16000)
		for range 3 {
			status, got, h := c.roundTrip(requestText("order", "Idempotency-Key: k1\r\n", "Content-Length: 64000\r\n") + body)
			if status != 200 || got != "echo:"+body || h.Get("X-Of") != "/order/x" {
				t.Fatalf("status %d, %d bytes, %v", status, len(got), h)
			}
			time.Sleep(3 * reuseDelaySeconds * 1e9)
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		if r := b.lastRequest; r.RequestURI != "/order/x?sid=1" || r.Header.Get("Req-Id") == "" ||
			r.Header.Get("Idempotency-Key") != "k1" || !strings.HasPrefix(r.Header.Get("Req-Deadline"), "2.") {
			t.Errorf("the backend received %s %v", r.RequestURI, r.Header)
		}
		if b.conns.Load() != 1 {
			t.Errorf("%d connections for consecutive commands, want 1", b.conns.Load())
		}
	})
	t.Run("an answer larger than any command is relayed", func(t *testing.T) {
		body := strings.Repeat("0123456789abcdef", 30<<10)
		b := newFakeBackend(t, func(_ *fakeBackend, c net.Conn, _ *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		})
		c := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", b)), nil)).dial(t)
		for range 3 {
			if status, got, _ := c.roundTrip(requestText("pay", "Content-Length: 0\r\n")); status != 200 || got != body {
				t.Errorf("status %d, %d bytes", status, len(got))
			}
		}
	})
	t.Run("pipelined commands are answered in order", func(t *testing.T) {
		b := newFakeBackend(t, echo)
		p := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", b)), nil))
		c := p.dial(t)
		io.WriteString(c, requestText("pay", "Content-Length: 3\r\n")+"one"+
			requestText("pay", "Transfer-Encoding: chunked\r\n")+"3\r\ntwo\r\n0\r\n\r\n"+requestText("look"))
		for _, want := range []string{"echo:one", "echo:two", "echo:"} {
			if status, got, _ := c.readAnswer(); status != 200 || got != want {
				t.Errorf("%d %q, want %q", status, got, want)
			}
		}
	})
	t.Run("a client that expects 100 Continue sends its body", func(t *testing.T) {
		b := newFakeBackend(t, echo)
		c := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", b)), nil)).dial(t)
		io.WriteString(c, requestText("pay", "Content-Length: 2\r\nExpect: 100-continue\r\n"))
		first := make([]byte, 25)
		io.ReadFull(c.in, first)
		if status, got, _ := c.roundTrip("hi"); status != 200 || got != "echo:hi" || !strings.Contains(string(first), " 100 ") {
			t.Errorf("%q, then %d %q", first, status, got)
		}
	})
}

// Each outcome of a relay must be reported correctly: an effectful command that may have run is never sent again, one that
// can't have run is.
func TestOutcomes(t *testing.T) {
	closedListener, _ := net.Listen("tcp", "127.0.0.1:0")
	closedListener.Close() // nothing listens there any more
	for name, c := range map[string]struct {
		verb     string
		do       func(*fakeBackend, net.Conn, *http.Request)
		status   int
		commands int32 // most commands that the faulty backend may receive
	}{
		"connection refused": {"pay", nil, 200, 0},
		"declined by the backend": {"pay",
			respondWith("HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"), 200, 9},
		"reset after the last byte, pure":       {"look", resetConn, 200, 9},
		"reset after the last byte, effectful":  {"pay", resetConn, 502, 1},
		"error, pure":                           {"look", respondWith("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"), 200, 9},
		"error, effectful":                      {"pay", respondWith("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"), 502, 1},
		"503 without Srv-Declined may have run": {"pay", respondWith("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), 502, 1},
		"malformed answer may have run":         {"pay", respondWith("\x00\x01\r\n\r\n"), 502, 1},
		"a truncated answer is no answer": {"pay", func(b *fakeBackend, c net.Conn, r *http.Request) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
			c.Close()
		}, 502, 1},
		"a reset does not end a body": {"pay", func(b *fakeBackend, c net.Conn, r *http.Request) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf")
			time.Sleep(20 * time.Millisecond)
			resetConn(b, c, r)
		}, 502, 1},
		"no answer":                          {"pay", hang, 502, 1},
		"an answer that stalls, pure":        {"look", respondWith("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"), 200, 9},
		"malformed data, then silence, pure": {"look", respondWith("\xb9=\x17\xc0"), 200, 9},
		"an invalid command is not retried":  {"look", respondWith("HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n"), 400, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			bad, firstBackend := (*fakeBackend)(nil), net.Listener(closedListener)
			if c.do != nil {
				bad = newFakeBackend(t, c.do)
				firstBackend = bad
			}
			good := newFakeBackend(t, echo)
			// The good backend is listed after the first command was relayed to the faulty one.
			p := newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", firstBackend)), nil)
			both := parseUpdate(t, endpointList(2, true, readyEndpoint("s-1", firstBackend), readyEndpoint("s-2", good)))
			p.loop.After(0.1, func() { p.applyEndpoints(both) })
			r := runProxy(t, p)
			for i := range 2 {
				status, _, _ := r.dial(t).roundTrip(requestText(c.verb, "Content-Length: 0\r\n"))
				time.Sleep(time.Duration(1-i) * 150 * time.Millisecond)
				if i == 0 && status == 503 && c.status == 200 {
					continue // no backend was reachable: declined, which is correct
				}
				if status != c.status && (status != 200 || good.commands.Load() == 0) {
					t.Errorf("command %d: %d, want %d", i, status, c.status)
				}
				if i == 0 && bad != nil && bad.commands.Load() > c.commands {
					t.Errorf("sent %d times", bad.commands.Load())
				}
			}
			if c.status == 502 && (bad.commands.Load()+good.commands.Load() != 2) {
				t.Errorf("2 commands were sent %d times", bad.commands.Load()+good.commands.Load())
			}
		})
	}
}

func TestCancellationAndShutdown(t *testing.T) {
	t.Run("the relay of a disconnected client is cancelled", func(t *testing.T) {
		t.Parallel()
		b := newFakeBackend(t, hang)
		p := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", b)), nil))
		c := p.dial(t)
		io.WriteString(c, requestText("look"))
		time.Sleep(50 * time.Millisecond)
		c.Close()
		select {
		case <-b.connEnded:
		case <-time.After(time.Second):
			t.Error("the relay is still open")
		}
	})
	t.Run("an unanswered command ends by its time limit, and its connection is closed", func(t *testing.T) {
		t.Parallel()
		b := newFakeBackend(t, hang)
		p := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", b)), nil))
		began := time.Now()
		status, _, _ := p.dial(t).roundTrip(strings.Replace(requestText("pay", "Content-Length: 0\r\n"), "2.5", "0.3", 1))
		if took := time.Since(began).Seconds(); status != 502 || took < 0.25 || took > 0.32 {
			t.Errorf("status %d after %.3f s", status, took)
		}
		<-b.connEnded
	})
	t.Run("a shutdown accepts connections for a short time, finishes open commands and closes idle clients", func(t *testing.T) {
		t.Parallel()
		b := newFakeBackend(t, func(b *fakeBackend, c net.Conn, r *http.Request) {
			time.Sleep(900 * time.Millisecond)
			echo(b, c, r)
		})
		p := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", b)), nil))
		open, idle := p.dial(t), p.dial(t)
		io.WriteString(open, requestText("look"))
		time.Sleep(50 * time.Millisecond)
		p.requestShutdown()
		time.Sleep(200 * time.Millisecond)
		late := p.dial(t)
		if status, _, _ := late.roundTrip("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"); status != 503 {
			t.Errorf("ready: %d", status)
		}
		later := p.dial(t)
		io.WriteString(later, requestText("look"))
		first, _, _ := open.readAnswer()
		io.WriteString(open, requestText("look")) // the listener is closed, but there may be no other proxy to send to
		second, _, _ := later.readAnswer()
		third, _, h := open.readAnswer()
		if first != 200 || second != 200 || third != 200 || h.Get("Connection") != "close" {
			t.Errorf("open %d, late %d, second on the first connection %d %v", first, second, third, h)
		}
		if status, _, _ := idle.readAnswer(); status != 0 {
			t.Errorf("idle: %d", status)
		}
		for _, c := range []*testClient{open, late, later} {
			c.Close()
		}
		select {
		case err := <-p.runResult:
			p.runResult <- err
			if err != nil {
				t.Error(err)
			}
		case <-time.After(time.Second):
			t.Error("it did not stop")
		}
		if _, err := net.Dial("tcp", open.RemoteAddr().String()); err == nil {
			t.Error("the listener is still open")
		}
	})
	t.Run("a shutdown ends commands that can't be finished before the kill", func(t *testing.T) {
		t.Parallel()
		p := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", newFakeBackend(t, hang))), nil))
		c := p.dial(t)
		io.WriteString(c, "POST /pay HTTP/1.1\r\nHost: a\r\nReq-Id: 1\r\nContent-Length: 9\r\n\r\n") // never complete
		time.Sleep(50 * time.Millisecond)
		began := time.Now()
		p.requestShutdown()
		p.runResult <- <-p.runResult
		if took := time.Since(began).Seconds(); took > p.Proxy.shutdown.plan.DeclineIncomplete+0.1 {
			t.Errorf("ended after %.2f s", took)
		}
	})
}

func TestBadInput(t *testing.T) {
	t.Parallel()
	b := newFakeBackend(t, echo)
	p := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", b)), nil))
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"malformed":          {"nonsense\r\n\r\n", 400},
		"length and chunked": {requestText("pay", "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n"), 400},
		"large head":         {requestText("look", "X: "+strings.Repeat("x", 17<<10)+"\r\n"), 431},
		"large body":         {requestText("pay", "Content-Length: 40000000\r\n") + strings.Repeat("x", 70000), 413},
		"tiny chunks, no end": {requestText("pay", "Transfer-Encoding: chunked\r\n") +
			strings.Repeat("1\r\nx\r\n", 3000), 408},
		"unknown verb": {"GET /dance HTTP/1.1\r\nHost: a\r\nReq-Id: 1\r\n\r\n", 404},
		"contradicting verbs": {strings.Replace(requestText("pay", "Content-Length: 0\r\n"),
			"Req-Kind: pay", "Req-Kind: look", 1), 404},
		"unknown method":            {"DELETE /look HTTP/1.1\r\nHost: a\r\nReq-Id: 1\r\n\r\n", 405},
		"no path":                   {"GET * HTTP/1.1\r\nHost: a\r\nReq-Id: 1\r\n\r\n", 400},
		"no id":                     {"GET /look HTTP/1.1\r\nHost: a\r\n\r\n", 400},
		"no Idempotency-Key":        {requestText("order", "Content-Length: 0\r\n"), 400},
		"time limit not a number":   {strings.Replace(requestText("look"), "2.5", "NaN", 1), 400},
		"infinite time limit":       {strings.Replace(requestText("look"), "2.5", "inf", 1), 400},
		"hexadecimal limit":         {strings.Replace(requestText("look"), "2.5", "0x2", 1), 400},
		"time limit of many years":  {strings.Replace(requestText("look"), "2.5", "99999999999999", 1), 400},
		"two ids":                   {requestText("look", "Req-Id: 5\r\n"), 400},
		"hop-by-hop id":             {requestText("look", "Connection: Req-Id\r\n"), 400},
		"wrong method for the verb": {strings.Replace(requestText("pay"), "POST", "GET", 1), 400},
		"body of a GET":             {requestText("look", "Content-Length: 1\r\n") + "x", 400},
		"endless body":              {requestText("pay", "Content-Length: 60000000\r\n") + strings.Repeat("x", 60000000), 413},
	} {
		t.Run(name, func(t *testing.T) {
			conn := p.dial(t)
			go io.WriteString(conn, c.text)
			status, _, h := conn.readAnswer()
			if status != c.status || h.Get("Connection") != "close" {
				t.Errorf("%d %v, want %d", status, h, c.status)
			}
			if status, text, _ := conn.readAnswer(); status != 0 || strings.Contains(text, "reset") {
				t.Errorf("then %d %s: the connection must be closed without a reset", status, text)
			}
		})
	}
	if b.commands.Load() != 0 {
		t.Errorf("%d invalid requests reached a backend", b.commands.Load())
	}
}

// Data after an answer, or an interim answer before it, must not be treated as the answer to a command.
func TestExtraBackendData(t *testing.T) {
	t.Run("a late duplicate of an answer is not used for the next command", func(t *testing.T) {
		t.Parallel()
		b := newFakeBackend(t, func(_ *fakeBackend, c net.Conn, r *http.Request) {
			answer := "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + r.URL.Query().Get("n")
			io.WriteString(c, answer)
			time.Sleep(3 * time.Millisecond)
			io.WriteString(c, answer)
		})
		c := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", b)), nil)).dial(t)
		for i := range 20 {
			n := fmt.Sprint(i % 10)
			if status, got, _ := c.roundTrip(strings.Replace(requestText("look"),
				"sid=1", "n="+n, 1)); status != 200 || got != n {
				t.Fatalf("command %s was answered %d %s", n, status, got)
			}
			time.Sleep(time.Duration(i%5) * time.Millisecond)
		}
	})
	t.Run("an interim answer may precede the answer by a long time", func(t *testing.T) {
		t.Parallel()
		b := newFakeBackend(t, func(b *fakeBackend, c net.Conn, r *http.Request) {
			io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
			time.Sleep(800 * time.Millisecond)
			echo(b, c, r)
		})
		c := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", b)), nil)).dial(t)
		if status, _, _ := c.roundTrip(requestText("pay", "Content-Length: 0\r\n")); status != 200 {
			t.Errorf("answered %d", status)
		}
	})
}

func TestDuplicateReqID(t *testing.T) {
	t.Parallel()
	b := newFakeBackend(t, func(b *fakeBackend, c net.Conn, r *http.Request) {
		time.Sleep(100 * time.Millisecond)
		echo(b, c, r)
	})
	p := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", b)), nil))
	one, two := p.dial(t), p.dial(t)
	same := requestText("pay", "Content-Length: 0\r\n")
	io.WriteString(one, same)
	time.Sleep(30 * time.Millisecond)
	if status, _, _ := two.roundTrip(same); status != 409 {
		t.Errorf("Req-Id of an open command: %d", status)
	}
	if status, _, _ := one.readAnswer(); status != 200 || b.commands.Load() != 1 {
		t.Errorf("the open command: %d, sent %d times", status, b.commands.Load())
	}
	if status, _, _ := p.dial(t).roundTrip(same); status != 409 || b.commands.Load() != 1 {
		t.Errorf("Req-Id of an ended command that must not run twice: %d, sent %d times", status, b.commands.Load())
	}
	look := requestText("look")
	for range 2 {
		if status, _, _ := p.dial(t).roundTrip(look); status != 200 {
			t.Errorf("Req-Id of an ended command that may run again: %d", status)
		}
	}
}

// A connection that sends nothing or too slowly is answered or closed within three seconds, and does not block other clients.
func TestSilentConnections(t *testing.T) {
	t.Run("silent and slow connections end in time", func(t *testing.T) {
		t.Parallel()
		p := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", newFakeBackend(t, echo))), nil))
		began := time.Now()
		quiet, slow := p.dial(t), p.dial(t)
		go func() {
			for _, b := range []byte(requestText("pay", "Content-Length: 9\r\n")) {
				slow.Write([]byte{b})
				time.Sleep(100 * time.Millisecond)
			}
		}()
		if status, _, _ := quiet.readAnswer(); status != 0 {
			t.Errorf("a silent connection was answered %d", status)
		}
		if status, _, _ := slow.readAnswer(); status != 408 {
			t.Errorf("a slow connection was answered %d", status)
		}
		if took := time.Since(began); took > 2900*time.Millisecond {
			t.Errorf("it took %s", took)
		}
	})
	t.Run("hundreds of silent connections do not displace active clients", func(t *testing.T) {
		t.Parallel()
		p := runProxy(t, newTestProxy(t, 60, endpointList(1, true, readyEndpoint("s-1", newFakeBackend(t, echo))), nil))
		regular := p.dial(t)
		regular.roundTrip(requestText("look"))
		for range 200 {
			p.dial(t)
		}
		began := time.Now()
		if status, text, _ := p.dial(t).roundTrip(requestText("look")); status != 200 || time.Since(began) > 2*time.Second {
			t.Errorf("a new client: %d %s after %s", status, text, time.Since(began))
		}
		if status, text, _ := regular.roundTrip(requestText("look")); status != 200 {
			t.Errorf("the regular client: %d %s", status, text)
		}
	})
}

// Idle clients that sent one command and stay occupy almost all connections. New clients must not be limited to the few that
// are left.
func TestIdleClientsYieldToNewOnes(t *testing.T) {
	t.Parallel()
	p := runProxy(t, newTestProxy(t, 60, endpointList(1, true, readyEndpoint("s-1", newFakeBackend(t, echo))), nil))
	for range 24 {
		if status, _, _ := p.dial(t).roundTrip(requestText("look")); status != 200 {
			t.Fatalf("a client that stays: %d", status)
		}
	}
	time.Sleep(minIdleSeconds * 1e9)
	for range 200 {
		p.dial(t)
	}
	began := time.Now()
	if status, text, _ := p.dial(t).roundTrip(requestText("look")); status != 200 || time.Since(began) > 1500*time.Millisecond {
		t.Errorf("a new client: %d %s after %s", status, text, time.Since(began))
	}
}

// A new silent connection must not prevent the eviction of idle ones before they have been idle for long. Clients that only
// check readiness are evicted first.
func TestEvictClient(t *testing.T) {
	for name, request := range map[string]string{"commands": "", "readiness": "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newTestProxy(t, 100, endpointList(1, true, readyEndpoint("s-1", newFakeBackend(t, echo))), nil)
			evicted, idleCount := make(chan bool, 1), make(chan int, 1)
			p.loop.After(0.6, func() {
				evicted <- p.evictClient()
				idleCount <- p.clients.byState[stateIdle].Len()
			})
			r := runProxy(t, p)
			for range 6 {
				if request == "" {
					r.dial(t).roundTrip(requestText("look"))
				} else {
					r.dial(t).roundTrip(request)
				}
			}
			r.dial(t).roundTrip(requestText("look"))
			time.Sleep(500 * time.Millisecond)
			r.dial(t) // sends nothing
			if !<-evicted {
				t.Error("no connection was evicted")
			}
			if n := <-idleCount; request == "" && n != 6 || request != "" && n != 1 {
				t.Errorf("%d connections are idle after a command", n)
			}
		})
	}
}

func TestBufferMemoryLimit(t *testing.T) {
	t.Parallel()
	l := newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", newFakeBackend(t, echo))), nil)
	l.loop.MaxBufferBytes = 64 << 10
	p := runProxy(t, l)
	large := requestText("pay", "Content-Length: 60000\r\n")
	if status, got, _ := p.dial(t).roundTrip(large + strings.Repeat("x", 60000)); status != 200 || len(got) != 60005 {
		t.Errorf("a body larger than the buffer memory must be streamed: %d, %d bytes", status, len(got))
	}
	if status, _, _ := p.dial(t).roundTrip(requestText("look")); status != 200 {
		t.Errorf("the next command: %d", status)
	}
}

func TestDescriptorLimit(t *testing.T) {
	t.Run("silent connections are evicted for one with a command", func(t *testing.T) {
		t.Parallel()
		b := newFakeBackend(t, echo)
		p := runProxy(t, newTestProxy(t, 40, endpointList(1, true, readyEndpoint("s-1", b)), nil))
		for range 60 {
			p.dial(t)
		}
		time.Sleep(1200 * time.Millisecond) // the first connections and those from the backlog have had time to send
		if status, _, _ := p.dial(t).roundTrip(requestText("look")); status != 200 {
			t.Errorf("answered %d", status)
		}
	})
	t.Run("past the quota of the clients a command is declined at once", func(t *testing.T) {
		t.Parallel()
		b := newFakeBackend(t, hang)
		l := newTestProxy(t, 40, endpointList(1, true, readyEndpoint("s-1", b)), nil)
		l.clients.quota = 3
		p := runProxy(t, l)
		for i := range l.clients.limit + 5 {
			c := p.dial(t)
			if i < 3 {
				io.WriteString(c, requestText("pay", "Content-Length: 0\r\n"))
			} else {
				io.WriteString(c, requestText("pay")[:50]) // incomplete
			}
		}
		time.Sleep(600 * time.Millisecond)
		for range 30 {
			began := time.Now()
			if status, _, _ := p.dial(t).roundTrip(requestText("look")); status != 503 || time.Since(began) > time.Second/2 {
				t.Errorf("answered %d after %s", status, time.Since(began))
			}
		}
	})
	t.Run("a connection with an unread command is not evicted", func(t *testing.T) {
		t.Parallel()
		p := newTestProxy(t, 40, endpointList(1, true, readyEndpoint("s-1", newFakeBackend(t, echo))), nil)
		var clients []*testClient
		r := &testProxy{Proxy: p}
		for range 60 { // all connect before the loop starts
			c := r.dial(t)
			io.WriteString(c, requestText("look"))
			clients = append(clients, c)
		}
		runProxy(t, p)
		got := map[int]int{}
		for _, c := range clients {
			status, _, _ := c.readAnswer()
			got[status]++
			c.Close()
		}
		if got[200]+got[503] != 60 || got[200] == 0 {
			t.Errorf("answered %v", got)
		}
	})
	t.Run("without a descriptor for a backend connection nothing is sent and the command is declined", func(t *testing.T) {
		t.Parallel()
		p := newTestProxy(t, 40, endpointList(1, true, readyEndpoint("s-1", newFakeBackend(t, hang))), nil)
		p.backends.maxConns = 0
		r := runProxy(t, p)
		if status, _, _ := r.dial(t).roundTrip(requestText("pay", "Content-Length: 0\r\n")); status != 503 {
			t.Errorf("answered %d", status)
		}
	})
}

// An effectful command that is written to a dead connection can't be retried, so dead connections must not be reused.
func TestConnectionReuse(t *testing.T) {
	for name, c := range map[string]struct {
		do      func(*fakeBackend, net.Conn, *http.Request)
		between func(p *Proxy, b *fakeBackend)
		conns   int32
	}{
		"kept": {echo, func(*Proxy, *fakeBackend) {}, 1},
		"closed by the backend": {func(b *fakeBackend, c net.Conn, r *http.Request) { echo(b, c, r); c.Close() },
			func(*Proxy, *fakeBackend) {}, 2},
		"closed with Connection: close": {respondWith("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"),
			func(*Proxy, *fakeBackend) {}, 2},
		"extra data after the answer": {respondWith("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nmore"),
			func(*Proxy, *fakeBackend) {}, 2},
		"near its idle limit": {echo, func(p *Proxy, _ *fakeBackend) { p.network.BackendIdleTimeout = 0.05 }, 2},
		"backend process replaced": {echo, func(p *Proxy, b *fakeBackend) {
			l := readyEndpoint("s-1", b)
			l["since_ms"] = 1000
			p.applyEndpoints(parseUpdate(t, endpointList(2, false, l)))
		}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newFakeBackend(t, c.do)
			p := newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", b)), nil)
			p.loop.After(0.1, func() { c.between(p, b) })
			r := runProxy(t, p)
			one := r.dial(t)
			for range 2 {
				if status, _, _ := one.roundTrip(requestText("pay", "Content-Length: 0\r\n")); status != 200 {
					t.Errorf("answered %d", status)
				}
				time.Sleep(150 * time.Millisecond)
			}
			if b.conns.Load() != c.conns || b.commands.Load() != 2 {
				t.Errorf("%d connections, want %d; %d commands", b.conns.Load(), c.conns, b.commands.Load())
			}
		})
	}
}

func TestSlowClients(t *testing.T) {
	t.Parallel()
	b := newFakeBackend(t, func(b *fakeBackend, c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n%s", strings.Repeat("x", 60000))
	})
	p := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", b)), nil))
	slow, greedy := p.dial(t), p.dial(t)
	io.WriteString(slow, requestText("pay", "Content-Length: 9\r\n")+"half")
	go io.WriteString(greedy, strings.Repeat(requestText("look"), 200)) // and reads no answers
	if status, _, _ := slow.readAnswer(); status != 408 {
		t.Errorf("a command that is never complete: %d", status)
	}
	time.Sleep(time.Second)
	if status, _, _ := p.dial(t).roundTrip("GET /look HTTP/1.1\r\nHost: a\r\nReq-Id: 1\r\n\r\n"); status != 200 {
		t.Errorf("another client: %d", status)
	}
	p.requestShutdown()
	p.runResult <- <-p.runResult
	if n := b.commands.Load(); n > 150 {
		t.Errorf("%d commands were relayed for a client that reads no answers", n)
	}
}

func TestBackendDrainAndIDs(t *testing.T) {
	t.Run("nothing is written to a connection that is established after its backend began to drain", func(t *testing.T) {
		t.Parallel()
		b := newFakeBackend(t, echo)
		p := newTestProxy(t, 40, endpointList(1, true, readyEndpoint("s-1", b)), nil)
		target := p.backends.byName["s-1"]
		p.sendRelay(&relay{cmd: &command{id: 1, openRelays: 1}, backend: target, sentAt: p.loop.Now()})
		draining := readyEndpoint("s-1", b)
		draining["status"] = "draining"
		p.applyEndpoints(parseUpdate(t, endpointList(2, false, draining)))
		runProxy(t, p)
		time.Sleep(100 * time.Millisecond)
		if b.conns.Load() != 1 || b.commands.Load() != 0 {
			t.Errorf("%d connections, %d commands", b.conns.Load(), b.commands.Load())
		}
	})
	t.Run("an id depends on the name alone, and two names never share one", func(t *testing.T) {
		t.Parallel()
		s := backendPool{byID: map[balance.BackendID]*backend{}}
		a := s.assignID("s-1")
		if a != s.assignID("s-1") {
			t.Error("the same name got different ids")
		}
		s.byID[a] = &backend{}
		if a == s.assignID("s-1") {
			t.Error("an id in use was assigned again")
		}
	})
}

func TestCheckConfig(t *testing.T) {
	t.Parallel()
	good := `{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1f", "limits": {"sockets": 100},
		"settings": ` + settingsText + `}`
	if l, err := ParseConfig([]byte(good)); err != nil || Check(l) != nil {
		t.Fatalf("a valid configuration: %v %v", err, Check(l))
	}
	for name, change := range map[string][2]string{
		"listen": {`"127.0.0.1:0"`, `"here"`}, "discovery": {`"127.0.0.1:1"`, `"localhost"`}, "seed": {`"1f"`, `"x"`},
		"limits": {`"sockets": 100`, `"sockets": 3`}, "connect_timeout_ms": {`"connect_timeout_ms"`, `"y"`},
		"effect": {`"at_most_once"`, `"perhaps"`}, "verbs[0].name": {`{"name": "look"`, `{"title": "look"`},
		"known": {`"seed"`, `"known": 7, "seed"`}, "azs": {`"azs"`, `"z"`}, "zone": {`"azs"`, `"zone": 2, "azs"`},
		"peers[0]":               {`"seed"`, `"peers": ["here"], "seed"`},
		"comes twice":            {`"seed"`, `"peers": ["127.0.0.1:7", "127.0.0.1:7"], "seed"`},
		"prices.peer is below 0": {`"azs"`, `"prices": {"peer": -0.1}, "azs"`}, "me is below 0": {`"me": 0`, `"me": -1`},
		"response_goal_ms is below 0": {`"response_goal_ms": 2500`, `"response_goal_ms": -1`},
		"1e999":                       {`"cold_ms": 7400`, `"cold_ms": 1e999`},
		"peers of type bool":          {`"cancel"`, `"peers": 1, "cancel"`},
		"0 addresses for 1":           {`"cancel"`, `"peers": true, "cancel"`},
	} {
		l, err := ParseConfig([]byte(strings.Replace(good, change[0], change[1], 1)))
		if err == nil {
			err = Check(l)
		}
		if err == nil || !strings.Contains(err.Error(), name) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// fakeDiscovery serves watches: it writes the response head and calls a function for the rest, with the number of the watch.
// Connections stay open until the test ends.
func fakeDiscovery(t *testing.T, handle func(n int, c net.Conn, r *http.Request)) net.Listener {
	l, _ := newWatchServer(t, func(n int, c net.Conn, r *http.Request) {
		io.WriteString(c, chunkedHead)
		handle(n, c, r)
	})
	return l
}

// writeChunk writes one chunk of a chunked body.
func writeChunk(c net.Conn, text string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }

func TestDiscovery(t *testing.T) {
	t.Run("not ready before a list, ready after one in several chunks, and a removed backend gets nothing", func(t *testing.T) {
		t.Parallel()
		a, b := newFakeBackend(t, echo), newFakeBackend(t, echo)
		step := make(chan bool)
		d := fakeDiscovery(t, func(n int, c net.Conn, _ *http.Request) {
			<-step
			l := endpointList(7, true, readyEndpoint("s-a", a), readyEndpoint("s-b", b)) + "\n\n"
			writeChunk(c, l[:20])
			writeChunk(c, l[20:])
			<-step
			writeChunk(c, endpointList(8, false, jsonObject{"name": "s-a", "status": "gone"})+"\n")
			<-step
		})
		p := runProxy(t, newTestProxy(t, 200, "", d))
		expectReadiness := func(want int) {
			t.Helper()
			time.Sleep(50 * time.Millisecond)
			if status, _, _ := p.dial(t).roundTrip("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"); status != want {
				t.Errorf("readiness is %d, want %d", status, want)
			}
		}
		expectReadiness(503)
		step <- true
		expectReadiness(200)
		step <- true
		expectReadiness(200)
		for range 10 {
			if status, _, _ := p.dial(t).roundTrip(requestText("look")); status != 200 {
				t.Errorf("answered %d", status)
			}
		}
		if a.commands.Load() != 0 || b.commands.Load() != 10 {
			t.Errorf("the removed backend got %d, the other %d", a.commands.Load(), b.commands.Load())
		}
		close(step)
	})
	t.Run("a watch that ends or is silent is resumed at its index, and the list is kept", func(t *testing.T) {
		t.Parallel()
		b := newFakeBackend(t, echo)
		requestURIs := make(chan string, 9)
		d := fakeDiscovery(t, func(n int, c net.Conn, r *http.Request) {
			requestURIs <- r.RequestURI
			switch n {
			case 1:
				writeChunk(c, endpointList(7, true, readyEndpoint("s-b", b))+"\n")
				c.Close()
			case 2:
				writeChunk(c, "not json\n")
			default:
				time.Sleep(time.Second * 7)
			}
		})
		p := runProxy(t, newTestProxy(t, 200, endpointList(3, true, readyEndpoint("s-b", b)), d))
		for _, want := range []string{"3", "7", "7", "7"} {
			wantWatchRequest(t, requestURIs, "/api/targets?follow=1&since="+want)
		}
		if status, _, _ := p.dial(t).roundTrip(requestText("look")); status != 200 {
			t.Errorf("answered %d", status)
		}
	})
	t.Run("a reload moves the watch to another address, and the list is kept", func(t *testing.T) {
		t.Parallel()
		b, c := newFakeBackend(t, echo), newFakeBackend(t, echo)
		closed, requestURIs := make(chan bool), make(chan string, 1)
		first := fakeDiscovery(t, func(_ int, conn net.Conn, _ *http.Request) {
			writeChunk(conn, endpointList(7, true, readyEndpoint("s-b", b))+"\n")
			conn.Read(make([]byte, 1))
			close(closed)
		})
		second := fakeDiscovery(t, func(_ int, conn net.Conn, r *http.Request) {
			requestURIs <- r.RequestURI
			time.Sleep(200 * time.Millisecond)
			writeChunk(conn, endpointList(2, true, readyEndpoint("s-c", c))+"\n")
			time.Sleep(time.Second)
		})
		p := runProxy(t, newTestProxy(t, 200, "", first))
		time.Sleep(100 * time.Millisecond)
		client := p.dial(t)
		ask := func() {
			t.Helper()
			if status, _, _ := client.roundTrip(requestText("look")); status != 200 {
				t.Errorf("answered %d", status)
			}
		}
		ask()
		p.Reload(testConfig("", second, settingsText))
		select {
		case <-closed:
		case <-time.After(time.Second):
			t.Fatal("the old watch is still open")
		}
		if uri := <-requestURIs; uri != "/api/targets?follow=1" {
			t.Errorf("requested %s: the index of another agent must not be used", uri)
		}
		ask()
		time.Sleep(400 * time.Millisecond)
		ask()
		if b.commands.Load() != 2 || c.commands.Load() != 1 {
			t.Errorf("the backend of the first list got %d, that of the second %d", b.commands.Load(), c.commands.Load())
		}
	})
}

package proxy

import (
	"bufio"
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

// noCancelSettings are the settings of a deployment in which relays may not be cancelled.
var noCancelSettings = strings.Replace(settingsText, `"cancel": true`, `"cancel": false`, 1)

// runWithSettings runs a proxy with these settings and backends.
func runWithSettings(t *testing.T, settings string, backends ...*fakeBackend) *testProxy {
	t.Helper()
	var endpoints []jsonObject
	for i, b := range backends {
		endpoints = append(endpoints, readyEndpoint(fmt.Sprintf("s-%d", i+1), b))
	}
	p, err := New(testConfig(endpointList(1, true, endpoints...), nil, settings))
	if err != nil {
		t.Fatal(err)
	}
	return runProxy(t, p)
}

// watchedConn is a backend's connection that remembers whether a write failed.
type watchedConn struct {
	net.Conn
	failed *atomic.Bool
}

func (c watchedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	if err != nil {
		c.failed.Store(true)
	}
	return n, err
}

// wantNothingOpen waits until no command is open, and fails if that takes too long.
func (r *testProxy) wantNothingOpen(t *testing.T) {
	t.Helper()
	r.await(t, "no command is open", func() bool { return len(r.commands) == 0 })
}

// wantAnswerForOthers fails unless another client's request, with another sid, is answered.
func (r *testProxy) wantAnswerForOthers(t *testing.T) {
	t.Helper()
	request := strings.Replace(requestText("look"), "sid=1", "sid=2", 1)
	if status, body, _ := r.dial(t).roundTrip(request); status != 200 {
		t.Errorf("another client got %d %s", status, body)
	}
}

// Guards against a crash: where relays may not be cancelled, the proxy panicked when the backend ended an answer without a length
// by closing, with no data since its client had gone.
func TestBackendEndsAnswerAfterClientLeaves(t *testing.T) {
	for _, end := range []string{"close", "reset"} {
		t.Run(end, func(t *testing.T) {
			t.Parallel()
			left := make(chan bool)
			b := newFakeBackend(t, func(b *fakeBackend, c net.Conn, r *http.Request) {
				if r.URL.Query().Get("sid") != "1" {
					echo(b, c, r)
					return
				}
				c.Write(append([]byte("HTTP/1.1 200 OK\r\n\r\n"), numberedBody(100<<10)...))
				<-left
				if end == "reset" {
					resetConn(b, c, r)
				}
				c.Close()
			})
			p := runWithSettings(t, noCancelSettings, b)
			c := p.dial(t)
			io.WriteString(c, requestText("look"))
			io.CopyN(io.Discard, c.in, 100<<10)
			c.Close()
			p.await(t, "the client has gone", func() bool { return p.departedCount == 1 })
			close(left)
			p.wantNothingOpen(t)
			p.wantAnswerForOthers(t)
		})
	}
}

// Guards against breaking off the relay of a client that has gone where relays may not be cancelled, and against blaming its
// backend 10 s later if the proxy had paused reading for that client.
func TestClientLeavesDuringStreamedAnswer(t *testing.T) {
	for _, framing := range []string{"length", "chunks", "close"} {
		for _, clientReads := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, client reads: %t", framing, clientReads), func(t *testing.T) {
				t.Parallel()
				const size, piece, piecesBefore = 32 << 20, 64 << 10, 16
				left, ended := make(chan bool), make(chan bool, 1)
				var failed atomic.Bool
				b := newFakeBackend(t, func(b *fakeBackend, c net.Conn, r *http.Request) {
					if r.URL.Query().Get("sid") != "1" {
						echo(b, c, r)
						return
					}
					respondFramed(framing, numberedBody(size), piece, func(sent int) bool {
						if clientReads && sent == piecesBefore*piece {
							<-left
						}
						return !failed.Load()
					})(b, watchedConn{c, &failed}, r)
					ended <- true
				})
				p := runWithSettings(t, noCancelSettings, b)
				c := p.dial(t)
				io.WriteString(c, requestText("look"))
				if clientReads {
					io.CopyN(io.Discard, c.in, piecesBefore*piece)
				} else {
					p.await(t, "the proxy pauses reading", func() bool {
						for bc := range p.backends.conns {
							return bc.readPaused
						}
						return false
					})
				}
				c.Close()
				p.await(t, "the client has gone", func() bool { return p.departedCount == 1 })
				close(left)
				select {
				case <-ended:
				case <-time.After(2 * time.Second):
					t.Fatal("the rest of the answer is not read")
				}
				if failed.Load() {
					t.Error("the relay was broken off")
				}
				p.wantNothingOpen(t)
				p.onLoop(func() {
					if kept := len(p.backends.conns) == 1; kept != (framing != "close") {
						t.Errorf("%d backend connections are open", len(p.backends.conns))
					}
					if p.loop.BufferedBytes() != 0 {
						t.Errorf("%d bytes are buffered", p.loop.BufferedBytes())
					}
				})
				p.wantAnswerForOthers(t)
			})
		}
	}
}

// Guards against reading without end for a client that has gone: an answer that does not end is read until the command's
// deadline.
func TestEndlessAnswerIsReadUntilDeadlineAfterClientLeaves(t *testing.T) {
	const deadline = time.Second
	for name, leaveAfter := range map[string]time.Duration{
		"the client leaves before its deadline": deadline / 4,
		"the client leaves after its deadline":  deadline * 3 / 2,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			brokenOff := make(chan time.Time, 1)
			b := newFakeBackend(t, func(_ *fakeBackend, c net.Conn, _ *http.Request) {
				io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
				for part := numberedBody(32 << 10); ; time.Sleep(10 * time.Millisecond) {
					if _, err := c.Write(part); err != nil {
						brokenOff <- time.Now()
						return
					}
				}
			})
			p := runWithSettings(t, noCancelSettings, b)
			c, began := p.dial(t), time.Now()
			io.WriteString(c, strings.Replace(requestText("look"), "Req-Deadline: 2.5", "Req-Deadline: 1", 1))
			go io.Copy(io.Discard, c.in)
			time.Sleep(leaveAfter)
			c.Close()
			select {
			case at := <-brokenOff:
				if passed := at.Sub(began); passed < deadline || passed > max(deadline, leaveAfter)+time.Second/2 {
					t.Errorf("broken off after %v", passed)
				}
			case <-time.After(3 * time.Second):
				t.Error("still read 3 s after the client has gone")
			}
			p.wantNothingOpen(t)
		})
	}
}

// giveUp ends the open command as the Balancer does when it gives one up. There must be only one.
func (r *testProxy) giveUp(t *testing.T) {
	t.Helper()
	r.onLoop(func() {
		if len(r.commands) != 1 {
			t.Errorf("%d commands are open", len(r.commands))
		}
		for id := range r.commands {
			r.Terminate(id)
			r.balancer.ClientDisconnected(r.loop.Now(), id)
		}
	})
}

// Guards against a crash: where relays may not be cancelled and a command was given up whose answer was being streamed, the
// rest of that answer was parsed as the start of a new one.
func TestStreamedAnswerIsGivenUp(t *testing.T) {
	for _, framing := range []string{"length", "chunks", "close"} {
		t.Run(framing, func(t *testing.T) {
			t.Parallel()
			givenUp := make(chan bool)
			var failed atomic.Bool
			b := newFakeBackend(t, func(b *fakeBackend, c net.Conn, r *http.Request) {
				if r.URL.Query().Get("sid") != "1" {
					echo(b, c, r)
					return
				}
				respondFramed(framing, numberedBody(1<<20), 64<<10, func(sent int) bool {
					if sent == 128<<10 {
						<-givenUp
					}
					return true
				})(b, watchedConn{c, &failed}, r)
			})
			p := runWithSettings(t, noCancelSettings, b)
			c := p.dial(t)
			io.WriteString(c, requestText("look"))
			io.CopyN(io.Discard, c.in, 100<<10)
			p.giveUp(t)
			if got, err := io.ReadAll(c.in); err == nil && len(got) > 1<<19 {
				t.Errorf("%d bytes more came", len(got))
			}
			close(givenUp)
			p.wantNothingOpen(t)
			if failed.Load() {
				t.Error("a relay was broken off")
			}
			p.wantAnswerForOthers(t)
		})
	}
}

// Guards against answers that are cut off: where limits.response_room is set, an answer that was being streamed to a slow reader
// was broken off for others past their goal.
func TestSlowReadersKeepTheirAnswers(t *testing.T) {
	t.Parallel()
	const clients, size = 6, 16 << 20
	settings := strings.NewReplacer(`"max_relays": 3`, `"max_relays": 3, "response_room": 1`,
		`"response_goal_ms": 2500`, `"response_goal_ms": 300`).Replace(settingsText)
	p := runWithSettings(t, settings, newFakeBackend(t, respondFramed("length", numberedBody(size), 64<<10, nil)))
	var readers sync.WaitGroup
	for range clients {
		c := p.dial(t)
		io.WriteString(c, requestText("look"))
		readers.Go(func() {
			c.in.Peek(1)
			time.Sleep(time.Second) // past the goal of all
			if status, body, _ := c.readAnswer(); status != 200 || len(body) != size {
				t.Errorf("%d, %d bytes", status, len(body))
			}
		})
	}
	readers.Wait()
}

// Guards against a relay that never ends: where relays may not be cancelled, the command's time limit was taken from a relay
// that hung while the hedge's answer was being streamed, and its connection was kept for good.
func TestHungRelayEndsAtDeadlineAfterHedgeIsStreamed(t *testing.T) {
	t.Parallel()
	var hung sync.Map // Req-Id of each request that hangs at its first backend
	handle := func(b *fakeBackend, c net.Conn, r *http.Request) {
		if r.URL.Query().Get("sid") != "1" {
			echo(b, c, r)
		} else if _, isHedge := hung.LoadOrStore(r.Header.Get("Req-Id"), true); !isHedge {
			hang(b, c, r)
		} else {
			respondFramed("length", numberedBody(1<<20), 64<<10, nil)(b, c, r)
		}
	}
	p := runWithSettings(t, noCancelSettings, newFakeBackend(t, handle), newFakeBackend(t, handle))
	status := 0
	for try := 0; status != 200; try++ { // until the budget allows a hedge
		if try == 10 {
			t.Fatal("no hedge was sent")
		}
		for range 40 {
			p.wantAnswerForOthers(t)
		}
		status, _, _ = p.dial(t).roundTrip(strings.Replace(requestText("look"), "Req-Deadline: 2.5", "Req-Deadline: 0.5", 1))
	}
	p.wantNothingOpen(t)
}

// Guards against a request that reaches its backend as the body of another one: a connection was used again although the
// backend had answered, with a long answer, before the body of its request had come.
func TestConnectionIsNotReusedBeforeItsBodyIsSent(t *testing.T) {
	t.Parallel()
	b := newRawBackend(t, func(c net.Conn, r *http.Request) bool {
		respondFramed("length", numberedBody(100<<10), 100<<10, nil)(nil, c, r)
		_, err := io.Copy(io.Discard, r.Body)
		return err == nil
	})
	p := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", b)), nil))
	c := p.dial(t)
	io.WriteString(c, requestText("pay", "Content-Length: 3000000\r\n"))
	c.Write(numberedBody(300 << 10))
	if status, body, _ := c.readAnswer(); status != 200 || len(body) != 100<<10 {
		t.Fatalf("%d, %d bytes", status, len(body))
	}
	p.await(t, "the connection may be used again", func() bool {
		for bc := range p.backends.conns {
			return p.loop.Now()-bc.idleSince > reuseDelaySeconds
		}
		return true
	})
	if status, body, _ := p.dial(t).roundTrip(requestText("look")); status != 200 || len(body) != 100<<10 {
		t.Errorf("the next request got %d, %d bytes", status, len(body))
	}
}

// newRawBackend starts a backend that passes each request to handle when its head has come. handle reports whether the
// connection goes on.
func newRawBackend(t *testing.T, handle func(net.Conn, *http.Request) bool) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				in := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					if !handle(conn, r) {
						return
					}
				}
			}()
		}
	}()
	return l
}

// Guards against a relay that never ends: where relays may not be cancelled and the Balancer gave up a command whose body was
// being streamed, its backend kept on waiting for the rest of the body.
func TestIncompleteBodyEndsWithItsCommand(t *testing.T) {
	for _, answerBegins := range []bool{false, true} {
		t.Run(fmt.Sprintf("its answer has begun: %t", answerBegins), func(t *testing.T) {
			t.Parallel()
			bodyEnded := make(chan error, 1)
			b := newRawBackend(t, func(c net.Conn, r *http.Request) bool {
				if answerBegins {
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n%s", numberedBody(100<<10))
				}
				_, err := io.Copy(io.Discard, r.Body)
				bodyEnded <- err
				return false
			})
			p, err := New(testConfig(endpointList(1, true, readyEndpoint("s-1", b)), nil, noCancelSettings))
			if err != nil {
				t.Fatal(err)
			}
			r := runProxy(t, p)
			c := r.dial(t)
			io.WriteString(c, requestText("pay", "Content-Length: 3000000\r\n"))
			c.Write(numberedBody(300 << 10))
			r.await(t, "the body is streamed, and the answer if it has begun", func() bool {
				for _, cmd := range r.commands {
					return cmd.streamed && (cmd.answerConn != nil) == answerBegins
				}
				return false
			})
			r.giveUp(t)
			select {
			case err := <-bodyEnded:
				if err == nil {
					t.Error("the body looks complete to the backend")
				}
			case <-time.After(time.Second):
				t.Error("the backend still waits for the body a second later")
			}
		})
	}
}

package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"sandpass/internal/loop"
)

// timed is a request with its own time limit.
func timed(verb string, seconds float64) string {
	return strings.Replace(requestText(verb), "Req-Deadline: 2.5", fmt.Sprintf("Req-Deadline: %.3f", seconds), 1)
}

// The time that a relay gives its backend must not exceed what the client has left, even if the request waited behind
// another on its connection, in the proxy's buffer or in the kernel.
func TestPipelinedRequestGetsRemainingTime(t *testing.T) {
	for name, delay := range map[string]time.Duration{"sent at once": 0, "sent a moment later": 100 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			timesGiven := make(chan float64, 9)
			b := newFakeBackend(t, func(b *fakeBackend, c net.Conn, r *http.Request) {
				left, _ := strconv.ParseFloat(r.Header.Get("Req-Deadline"), 64)
				timesGiven <- left
				time.Sleep(800 * time.Millisecond)
				echo(b, c, r)
			})
			r := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-a", b)), nil))
			time.Sleep(600 * time.Millisecond)
			c := r.dial(t)
			wrote := time.Now()
			io.WriteString(c, requestText("pay", "Content-Length: 0\r\n"))
			time.Sleep(delay)
			second := timed("pay", 1.5)
			io.WriteString(c, strings.Replace(second, "\r\n\r\n", "\r\nContent-Length: 0\r\n\r\n", 1))
			left := 1.5 - 0.8 + delay.Seconds()
			if status, _, _ := c.readAnswer(); status != 200 {
				t.Fatalf("first request: %d", status)
			}
			<-timesGiven
			status, _, _ := c.readAnswer()
			select {
			case got := <-timesGiven:
				if got > left+0.15 {
					t.Errorf("the backend was given %.3f s, the client has %.3f s", got, left)
				}
			default:
				t.Error("the second request was not relayed")
			}
			if took := time.Since(wrote).Seconds(); took > 1.5+delay.Seconds()+0.05 {
				t.Errorf("answered %d after %.3f s", status, took)
			}
		})
	}
	t.Run("an expired request is not relayed", func(t *testing.T) {
		t.Parallel()
		b := newFakeBackend(t, func(b *fakeBackend, c net.Conn, r *http.Request) {
			time.Sleep(600 * time.Millisecond)
			echo(b, c, r)
		})
		r := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-a", b)), nil))
		time.Sleep(600 * time.Millisecond)
		c := r.dial(t)
		io.WriteString(c, requestText("look"))
		time.Sleep(50 * time.Millisecond)
		io.WriteString(c, timed("look", 0.3))
		c.readAnswer()
		if status, _, _ := c.readAnswer(); status != 503 || b.commands.Load() != 1 {
			t.Errorf("status %d, %d commands ran", status, b.commands.Load())
		}
	})
}

// A client that stops within a request and stays connected must get an error, or its connection closed, within 3 s,
// however much it has sent.
func TestStalledClientIsAnsweredWithin3s(t *testing.T) {
	b := newFakeBackend(t, echo)
	r := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-a", b)), nil))
	time.Sleep(600 * time.Millisecond)
	for name, sent := range map[string]struct{ length, part int }{
		"in the head": {-1, 0}, "in a short body": {1000, 10}, "in a body of 200 KB": {200 << 10, 190 << 10},
		"in a streamed body": {1 << 20, 900 << 10},
	} {
		for _, used := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, used %t", name, used), func(t *testing.T) {
				t.Parallel()
				c := r.dial(t)
				if used {
					if status, _, _ := c.roundTrip(requestText("look")); status != 200 {
						t.Fatalf("%d", status)
					}
				}
				if sent.length < 0 {
					io.WriteString(c, "POST /pay/x HTTP/1.1\r\nReq-")
				} else {
					io.WriteString(c, requestText("pay", fmt.Sprintf("Content-Length: %d\r\n", sent.length)))
					c.Write(make([]byte, sent.part))
				}
				stopped := time.Now()
				status, _, _ := c.readAnswer()
				if took := time.Since(stopped).Seconds(); took > 3 || status == 200 {
					t.Errorf("%d after %.2f s", status, took)
				}
			})
		}
	}
}

// A backend starts a request when its last byte arrives. No request may be completed after its client is gone, even
// if relays must not be cancelled and the backend reads late.
func TestRequestNotCompletedAfterClientDisconnects(t *testing.T) {
	for i := range 4 {
		size, cancel := []int{200 << 10, 8 << 20}[i/2], i%2 == 1 // buffered whole, or streamed
		t.Run(fmt.Sprintf("%d bytes, cancel allowed %t", size, cancel), func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			raw, _ := listener.(*net.TCPListener).SyscallConn()
			raw.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4096) })
			var completed atomic.Int32
			disconnected, backendDone := make(chan bool), make(chan bool)
			go func() {
				defer close(backendDone)
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				<-disconnected
				time.Sleep(200 * time.Millisecond)
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				if _, err := io.ReadAll(request.Body); err == nil {
					completed.Add(1)
				}
			}()
			cfg := testConfig(endpointList(1, true, readyEndpoint("s-a", listener)), nil,
				strings.Replace(settingsText, `"cancel": true`, fmt.Sprintf(`"cancel": %t`, cancel), 1))
			p, err := New(cfg)
			if err != nil {
				t.Fatal(err)
			}
			r := runProxy(t, p)
			time.Sleep(600 * time.Millisecond)
			c := r.dial(t)
			io.WriteString(c, requestText("pay", fmt.Sprintf("Content-Length: %d\r\n", size)))
			go c.Write(make([]byte, size))
			time.Sleep(400 * time.Millisecond)
			c.Close()
			close(disconnected)
			<-backendDone
			if completed.Load() > 0 {
				t.Error("the backend got the whole request after its client was gone")
			}
		})
	}
}

// A configuration must be validated and applied even if the system lacks descriptors: it is to be in force 4 s after
// SIGHUP.
func TestCheckWithoutDescriptors(t *testing.T) {
	cfg := testConfig("", nil, settingsText)
	loop.FaultHook = func(loop.Syscall) (int, error) { return 0, unix.ENFILE }
	defer func() { loop.FaultHook = nil }()
	if err := Check(cfg); err != nil {
		t.Error(err)
	}
}

// Idle clients that fill the descriptors and reconnect must not keep others in the accept queue: a request is
// answered in time, or its new connection is closed unread.
func TestIdleClientsDoNotBlockAcceptQueue(t *testing.T) {
	const idle, limit = 700, 500 * time.Millisecond
	b := newFakeBackend(t, echo)
	r := runProxy(t, newTestProxy(t, 80, endpointList(1, true, readyEndpoint("s-a", b)), nil))
	time.Sleep(600 * time.Millisecond)
	finished := make(chan bool)
	var all sync.WaitGroup
	defer all.Wait()
	defer close(finished)
	for range idle {
		all.Go(func() {
			for {
				if conn, err := net.Dial("tcp", r.Addr().String()); err == nil {
					go func() { <-finished; conn.Close() }()
					conn.Read(make([]byte, 1))
					conn.Close()
				}
				select {
				case <-finished:
					return
				case <-time.After(200 * time.Millisecond):
				}
			}
		})
	}
	time.Sleep(time.Second)
	served, closed := 0, 0
	for range 30 {
		began := time.Now()
		c := r.dial(t)
		status, _, _ := c.roundTrip(requestText("look"))
		if took := time.Since(began); took > limit {
			t.Errorf("%d after %v", status, took)
		}
		if c.Close(); status == 200 {
			served++
		} else {
			closed++
		}
	}
	if served < 20 {
		t.Errorf("%d served, %d closed or rejected", served, closed)
	}
}

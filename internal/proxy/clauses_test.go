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

// timed is a request with a time limit of its own.
func timed(verb string, seconds float64) string {
	return strings.Replace(requestText(verb), "Req-Deadline: 2.5", fmt.Sprintf("Req-Deadline: %.3f", seconds), 1)
}

// The time that an attempt tells its backend is at most what the client has left, also for a request that waited behind
// another on its connection: in the proxy's buffer, or still with the kernel.
func TestARequestBehindAnotherHasOnlyTheRestOfItsTime(t *testing.T) {
	for name, apart := range map[string]time.Duration{"sent at once": 0, "sent a moment later": 100 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			told := make(chan float64, 9)
			b := newFakeBackend(t, func(b *fakeBackend, c net.Conn, r *http.Request) {
				left, _ := strconv.ParseFloat(r.Header.Get("Req-Deadline"), 64)
				told <- left
				time.Sleep(800 * time.Millisecond)
				echo(b, c, r)
			})
			r := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-a", b)), nil))
			time.Sleep(600 * time.Millisecond)
			c := r.dial(t)
			wrote := time.Now()
			io.WriteString(c, requestText("pay", "Content-Length: 0\r\n"))
			time.Sleep(apart)
			second := timed("pay", 1.5)
			io.WriteString(c, strings.Replace(second, "\r\n\r\n", "\r\nContent-Length: 0\r\n\r\n", 1))
			left := 1.5 - 0.8 + apart.Seconds()
			if status, _, _ := c.readAnswer(); status != 200 {
				t.Fatalf("the first: %d", status)
			}
			<-told
			status, _, _ := c.readAnswer()
			select {
			case got := <-told:
				if got > left+0.15 {
					t.Errorf("a backend is told %.3f s, the client has %.3f s", got, left)
				}
			default:
				t.Error("the second was not forwarded")
			}
			if took := time.Since(wrote).Seconds(); took > 1.5+apart.Seconds()+0.05 {
				t.Errorf("answered %d after %.3f s", status, took)
			}
		})
	}
	t.Run("and none is forwarded whose time is up", func(t *testing.T) {
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
			t.Errorf("%d, %d ran", status, b.commands.Load())
		}
	})
}

// A client that stops in the middle of a request and stays has its error, or its close, within 3 s, however much it has sent.
func TestAClientThatStopsInTheMiddleHearsWithin3s(t *testing.T) {
	b := newFakeBackend(t, echo)
	r := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-a", b)), nil))
	time.Sleep(600 * time.Millisecond)
	for name, sent := range map[string]struct{ length, part int }{
		"in the head": {-1, 0}, "in a short body": {1000, 10}, "in a body of 200 KB": {200 << 10, 190 << 10},
		"in a body that is passed on": {1 << 20, 900 << 10},
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

// A backend begins a request when its last byte has come: none may come to its end once the client has gone, also where
// nothing may be cancelled and the backend reads late.
func TestNoRequestIsWrittenToItsEndForAClientThatHasGone(t *testing.T) {
	for i := range 4 {
		size, cancel := []int{200 << 10, 8 << 20}[i/2], i%2 == 1 // held whole, or passed on as it comes
		t.Run(fmt.Sprintf("%d bytes, cancel allowed %t", size, cancel), func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			raw, _ := listener.(*net.TCPListener).SyscallConn()
			raw.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4096) })
			var whole atomic.Int32
			gone, read := make(chan bool), make(chan bool)
			go func() {
				defer close(read)
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				<-gone
				time.Sleep(200 * time.Millisecond)
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				if _, err := io.ReadAll(request.Body); err == nil {
					whole.Add(1)
				}
			}()
			l := testConfig(endpointList(1, true, readyEndpoint("s-a", listener)), nil, strings.Replace(settingsText, `"cancel": true`, fmt.Sprintf(`"cancel": %t`, cancel), 1))
			p, err := New(l)
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
			close(gone)
			<-read
			if whole.Load() > 0 {
				t.Error("the backend got the whole request after its client had gone")
			}
		})
	}
}

// A new configuration is turned to also where the system lacks descriptors when it is checked: 4 s after SIGHUP it counts.
func TestAConfigurationIsCheckedWithoutDescriptors(t *testing.T) {
	l := testConfig("", nil, settingsText)
	loop.Faults = func(loop.Syscall) (int, error) { return 0, unix.ENFILE }
	defer func() { loop.Faults = nil }()
	if err := Check(l); err != nil {
		t.Error(err)
	}
}

// Idle clients that fill the descriptors and come again keep nobody waiting to be accepted: a request is answered in its time,
// or its new connection is shut unread.
func TestIdleClientsKeepNobodyInTheBacklog(t *testing.T) {
	const idle, limit = 700, 500 * time.Millisecond
	b := newFakeBackend(t, echo)
	r := runProxy(t, newTestProxy(t, 80, endpointList(1, true, readyEndpoint("s-a", b)), nil))
	time.Sleep(600 * time.Millisecond)
	over := make(chan bool)
	var all sync.WaitGroup
	defer all.Wait()
	defer close(over)
	for range idle {
		all.Go(func() {
			for {
				if conn, err := net.Dial("tcp", r.Addr().String()); err == nil {
					go func() { <-over; conn.Close() }()
					conn.Read(make([]byte, 1))
					conn.Close()
				}
				select {
				case <-over:
					return
				case <-time.After(200 * time.Millisecond):
				}
			}
		})
	}
	time.Sleep(time.Second)
	served, shut := 0, 0
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
			shut++
		}
	}
	if served < 20 {
		t.Errorf("%d served, %d shut or rejected", served, shut)
	}
}

package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against commands that begin after their client has gone: its end lies behind more bytes than the proxy reads ahead, so
// that it can't be seen. Neither the commands behind the open one nor a retry of that one may be sent.
func TestNothingIsSentWhileTheClientsEndMayBeHidden(t *testing.T) {
	for name, end := range map[string]func(*fakeBackend, net.Conn, *http.Request){"answered": echo, "reset": resetConn} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			goOn := make(chan bool)
			handle := func(b *fakeBackend, c net.Conn, r *http.Request) {
				<-goOn
				end(b, c, r)
			}
			one, two := newFakeBackend(t, handle), newFakeBackend(t, handle)
			p := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", one), readyEndpoint("s-2", two)), nil))
			c := p.dial(t)
			written := make(chan error, 1)
			go func() {
				_, err := io.WriteString(c, requestText("look")+requestText("pay", "Content-Length: 0\r\n")+
					requestText("order", "Idempotency-Key: k\r\n", fmt.Sprintf("Content-Length: %d\r\n", 2<<20))+string(numberedBody(2<<20)))
				written <- err
			}()
			p.await(t, "the first command is relayed", func() bool { return one.commands.Load()+two.commands.Load() == 1 })
			if err := <-written; err != nil {
				t.Fatal(err)
			}
			c.Close()
			time.Sleep(300 * time.Millisecond) // an attempt may begin in the first 0.1 s after the close
			close(goOn)
			p.wantNothingOpen(t)
			if n := one.commands.Load() + two.commands.Load(); n != 1 {
				t.Errorf("%d commands were sent, all but the first after the client had gone", n)
			}
		})
	}
}

// A client that stays although it has sent much ahead gets an answer to each command, and is declined only what lies before bytes
// that there was no room for.
func TestClientThatSendsMuchAheadGetsEachAnswer(t *testing.T) {
	t.Parallel()
	const commands, bodyBytes = 40, 100 << 10
	b := newFakeBackend(t, func(b *fakeBackend, c net.Conn, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		echo(b, c, r)
	})
	c := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", b)), nil)).dial(t)
	body := numberedBody(bodyBytes)
	go func() {
		for range commands {
			io.WriteString(c, requestText("order", "Idempotency-Key: k\r\n", fmt.Sprintf("Content-Length: %d\r\n", bodyBytes)))
			c.Write(body)
		}
	}()
	answered := 0
	for n := range commands {
		status, got, header := c.readAnswer()
		switch {
		case status == 200 && got == "echo:"+string(body):
			answered++
		case status != 503 || header.Get("Retry-After") == "":
			t.Fatalf("answer %d: %d, %d bytes", n, status, len(got))
		}
	}
	if answered == 0 {
		t.Error("none was answered")
	}
}

// newPausingBackend starts a backend that reads bodies at full speed, but only once goOn is closed, and counts those that it has read
// to the end.
func newPausingBackend(t *testing.T, goOn chan bool) (b net.Listener, completed *atomic.Int32) {
	t.Helper()
	b, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	completed = &atomic.Int32{}
	serveConns(t, b, func(c net.Conn) {
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		<-goOn
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			completed.Add(1)
		}
		io.Copy(io.Discard, c)
	})
	return b, completed
}

// Guards against a request that begins after its client has gone: the rest of its body waited in the proxy's machine, because its
// backend did not read, and was sent on to the last byte after the client had closed the connection.
func TestBodyIsNotCompletedAfterItsClientLeft(t *testing.T) {
	for _, framing := range []string{"length", "chunks"} {
		t.Run(framing, func(t *testing.T) {
			t.Parallel()
			const sizeBytes = 6 << 20
			goOn := make(chan bool)
			b, completed := newPausingBackend(t, goOn)
			p := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", b)), nil))
			c := p.dial(t)
			framingField := map[string]string{"length": fmt.Sprintf("Content-Length: %d\r\n", sizeBytes),
				"chunks": "Transfer-Encoding: chunked\r\n"}[framing]
			io.WriteString(c, requestText("pay", framingField))
			if err := writeBody(c, framing, numberedBody(sizeBytes)); err != nil {
				t.Fatal(err)
			}
			c.Close()
			time.Sleep(300 * time.Millisecond) // an attempt may begin in the first 0.1 s after the close
			close(goOn)
			p.await(t, "the command has ended", func() bool { return p.departedCount == 1 || p.declinedCount == 1 })
			p.wantNothingOpen(t)
			time.Sleep(time.Second) // for the backend to read what the proxy's kernel still sends
			if completed.Load() > 0 {
				t.Error("the backend got the last byte after the client had gone")
			}
		})
	}
}

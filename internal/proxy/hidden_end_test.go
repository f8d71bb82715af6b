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

// newPausingBackend starts a backend that reads bodies at full speed, but only once goOn is closed, and counts those that it has read
// to the end.
func newPausingBackend(t *testing.T, goOn chan bool) (b net.Listener, completed *atomic.Int32) {
	t.Helper()
	b, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { b.Close() })
	completed = &atomic.Int32{}
	serve := func(c net.Conn) {
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
	}
	go func() {
		for {
			c, err := b.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
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

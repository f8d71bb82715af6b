package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"sandpass/internal/loop"
)

const firstBufferBytes = 4 << 10 // size of a connection's first read buffer, for which there is always room

// useUpMemory has the loop act as if other connections' buffers took all room.
func (r *testProxy) useUpMemory() { r.onLoop(func() { r.loop.MaxBufferBytes = 1 }) }

// awaitUnconsumed waits until a connection that find returns has so many unconsumed bytes.
func (r *testProxy) awaitUnconsumed(t *testing.T, bytes int, find func() *loop.Conn) {
	t.Helper()
	r.await(t, fmt.Sprintf("%d bytes are buffered", bytes), func() bool {
		conn := find()
		return conn != nil && len(conn.Unconsumed()) == bytes
	})
}

// Guards against a reset without an answer: a client whose command had filled its read buffer while there was room for a larger
// one, which others took before the next bytes came, was treated as gone.
func TestMemoryRunsOutWithinCommand(t *testing.T) {
	body := numberedBody(100 << 10)
	for name, c := range map[string]struct {
		request string
		status  int
	}{
		"in the body, with a length": {requestText("pay", fmt.Sprintf("Content-Length: %d\r\n", len(body))) + string(body), 200},
		"in the body, with chunks":   {requestText("pay", "Transfer-Encoding: chunked\r\n") + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body), 200},
		"in the head":                {requestText("pay", "X-Long: "+strings.Repeat("x", 2*firstBufferBytes)+"\r\n", "Content-Length: 0\r\n"), 503},
		"in the line before a chunk": {requestText("pay", "Transfer-Encoding: chunked\r\n") + "5;" + strings.Repeat("x", 2*firstBufferBytes), 400},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", newFakeBackend(t, echo))), nil))
			client := p.dial(t)
			io.WriteString(client, c.request[:firstBufferBytes])
			p.awaitUnconsumed(t, firstBufferBytes, func() (found *loop.Conn) {
				p.clients.forEach(func(c *clientConn) { found = c.conn })
				return found
			})
			p.useUpMemory()
			go io.WriteString(client, c.request[firstBufferBytes:])
			status, got, header := client.readAnswer()
			if status != c.status || status == 200 && got != "echo:"+string(body) {
				t.Errorf("%d, %d bytes: %.60s", status, len(got), got)
			}
			if status == 503 && header.Get("Retry-After") == "" {
				t.Error("no Retry-After")
			}
		})
	}
}

// Guards against an answer that is lost: a relay whose answer had filled its read buffer while there was room for a larger one,
// which others took before the next bytes came, was treated as reset by its backend.
func TestMemoryRunsOutWithinAnswer(t *testing.T) {
	t.Parallel()
	rest, body := make(chan bool), numberedBody(50<<10)
	b := newFakeBackend(t, func(_ *fakeBackend, c net.Conn, _ *http.Request) {
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		io.WriteString(c, text[:firstBufferBytes])
		<-rest
		io.WriteString(c, text[firstBufferBytes:])
	})
	p := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", b)), nil))
	client := p.dial(t)
	io.WriteString(client, requestText("pay", "Content-Length: 0\r\n"))
	p.awaitUnconsumed(t, firstBufferBytes, func() (found *loop.Conn) {
		for bc := range p.backends.conns {
			found = bc.conn
		}
		return found
	})
	p.useUpMemory()
	close(rest)
	if status, got, _ := client.readAnswer(); status != 200 || got != string(body) {
		t.Errorf("%d, %d bytes: %.60s", status, len(got), got)
	}
}

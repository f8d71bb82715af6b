package proxy

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// Guards against a truncated answer that its client takes for a whole one: the answer has no length, and its backend resets the
// connection while the proxy has read all that came and waits for the client.
func TestAnswerThatIsResetWhileItsClientReadsSlowlyIsNotWhole(t *testing.T) {
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		t.Run(version, func(t *testing.T) {
			t.Parallel()
			answering, ended := make(chan net.Conn), make(chan bool)
			b := newFakeBackend(t, func(_ *fakeBackend, c net.Conn, _ *http.Request) {
				answering <- c
				<-ended
			})
			p := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", b)), nil))
			c := p.dial(t)
			c.Conn.(*net.TCPConn).SetReadBuffer(32 << 10)
			io.WriteString(c, strings.Replace(requestText("pay", "Content-Length: 0\r\n"), "HTTP/1.1", version, 1))
			answer := <-answering
			io.WriteString(answer, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
			p.writeUntilPaused(t, answer, func(c net.Conn, piece string) { io.WriteString(c, piece) })
			resetConn(b, answer, nil)
			close(ended)
			if status, got, _ := c.readAnswer(); status == 200 {
				t.Errorf("a truncated answer of %d bytes seemed to be whole", len(got))
			}
		})
	}
}

// onlyBackendConn returns the one connection to a backend.
func (r *testProxy) onlyBackendConn() (only *backendConn) {
	for bc := range r.backends.conns {
		only = bc
	}
	return only
}

// writeUntilPaused writes a body in pieces, each once the proxy has read the one before, until the proxy waits for the client. It
// returns the length of the body.
func (r *testProxy) writeUntilPaused(t *testing.T, answer net.Conn, write func(net.Conn, string)) (written int) {
	t.Helper()
	piece := strings.Repeat("x", 8<<10)
	for paused := false; !paused; {
		write(answer, piece)
		written += len(piece)
		r.await(t, "the proxy has read the piece or waits for its client", func() bool {
			bc := r.onlyBackendConn()
			paused = bc.readPaused
			return paused || bc.msg.DecodedBytes() == written
		})
	}
	return written
}

package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// slowAnswer describes how a backend writes a sound answer.
type slowAnswer struct {
	bytes         int
	beforeHead    time.Duration // from the request
	afterHead     time.Duration // until the first byte of the body
	piece         int           // bytes written at a time
	betweenPieces time.Duration
	beginsLate    bool // nothing of a body of unknown length comes before the time limit, so that it may fail then
}

// serveSlowly writes an answer with the given framing, "length", "chunks" or "close".
func serveSlowly(framing string, a slowAnswer) func(*fakeBackend, net.Conn, *http.Request) {
	body := numberedBody(a.bytes)
	return func(b *fakeBackend, c net.Conn, r *http.Request) {
		time.Sleep(a.beforeHead)
		respondFramed(framing, body, a.piece, func(sent int) bool {
			if sent == 0 {
				time.Sleep(a.afterHead)
			} else {
				time.Sleep(a.betweenPieces)
			}
			return true
		})(b, c, r)
	}
}

// Guards against cutting off a sound answer that its backend writes slowly: one that made no progress for 0.5 s counted as broken,
// and one of unknown length was cut soon after the time limit unless 64 KiB had come.
func TestSlowAnswersAreNotCutOff(t *testing.T) {
	for name, a := range map[string]slowAnswer{
		"late body":         {bytes: 138902, afterHead: 900 * time.Millisecond, piece: 16 << 10, betweenPieces: 20 * time.Millisecond},
		"in lumps":          {bytes: 168397, piece: 54750, betweenPieces: 700 * time.Millisecond},
		"late, short":       {bytes: 40000, afterHead: 900 * time.Millisecond, piece: 40000},
		"begins at the end": {bytes: 160 << 10, beforeHead: 2200 * time.Millisecond, piece: 3200, betweenPieces: 50 * time.Millisecond},
		"late at the end": {bytes: 160 << 10, beforeHead: 2000 * time.Millisecond, afterHead: 900 * time.Millisecond, piece: 16 << 10,
			betweenPieces: 20 * time.Millisecond, beginsLate: true},
	} {
		for _, framing := range []string{"length", "chunks", "close"} {
			for _, verb := range []string{"pay", "order", "look"} {
				t.Run(fmt.Sprintf("%s, %s, %s", name, framing, verb), func(t *testing.T) {
					t.Parallel()
					one, two := newFakeBackend(t, serveSlowly(framing, a)), newFakeBackend(t, serveSlowly(framing, a))
					p := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", one), readyEndpoint("s-2", two)), nil))
					fields := []string{"Content-Length: 0\r\n"}
					if verb == "order" {
						fields = append(fields, "Idempotency-Key: k\r\n")
					}
					c := p.dial(t)
					began := time.Now()
					io.WriteString(c, requestText(verb, fields...))
					status, body, _ := c.readAnswer()
					if a.beginsLate && framing != "length" && status >= 500 && time.Since(began).Seconds() > 2.4 {
						return
					}
					if status != 200 || body != string(numberedBody(a.bytes)) {
						t.Errorf("status %d, %d bytes of %d: %.60s", status, len(body), a.bytes, body)
					}
				})
			}
		}
	}
}

// A repeat of a command whose answer makes no progress goes to another backend, where it may be repeated, and the first that is
// whole counts.
func TestStalledAnswerIsRetriedBesideTheFirst(t *testing.T) {
	t.Parallel()
	stalled := newFakeBackend(t, func(b *fakeBackend, c net.Conn, r *http.Request) {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
		hang(b, c, r)
	})
	good := newFakeBackend(t, echo)
	p := newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", stalled)), nil)
	both := parseUpdate(t, endpointList(2, true, readyEndpoint("s-1", stalled), readyEndpoint("s-2", good)))
	r := runProxy(t, p)
	c := r.dial(t)
	began := time.Now()
	io.WriteString(c, requestText("look"))
	r.await(t, "the answer has begun", func() bool { return stalled.commands.Load() == 1 })
	r.onLoop(func() { p.applyEndpoints(both) })
	status, body, _ := c.readAnswer()
	if took := time.Since(began).Seconds(); status != 200 || body != "echo:" || took > 1.2 { // a hedge would come after 1.25 s
		t.Errorf("status %d %q after %.2f s", status, body, took)
	}
}

// newUploadBackend starts a backend that reads at the given rate, in bytes a second, and stops after so many bytes. It answers a
// request that it has read to the end. Its receive buffer is small, so that what it has not read waits in the proxy.
func newUploadBackend(t *testing.T, rate, stopAfter int) (b net.Listener, completed *atomic.Int32) {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10) })
	}}
	b, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	completed = &atomic.Int32{}
	serveConns(t, b, func(c net.Conn) {
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		part := make([]byte, max(1, rate/20))
		for total := 0; total < stopAfter; time.Sleep(50 * time.Millisecond) {
			n, err := io.ReadFull(r.Body, part)
			if total += n; err == io.EOF || err == io.ErrUnexpectedEOF && r.ContentLength < 0 || int64(total) == r.ContentLength {
				completed.Add(1)
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				break
			}
			if err != nil {
				return
			}
		}
		io.Copy(io.Discard, io.LimitReader(c, 1)) // holds the connection
		time.Sleep(8 * time.Second)
	})
	return b, completed
}

// serveConns serves each connection of a listener until the end of the test.
func serveConns(t *testing.T, l net.Listener, serve func(net.Conn)) {
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
}

// writeBody writes a body with the given framing, "length" or "chunks". The request's last byte is written when it returns.
func writeBody(c net.Conn, framing string, body []byte) error {
	if framing == "length" {
		_, err := c.Write(body)
		return err
	}
	var text bytes.Buffer
	for at := 0; at < len(body); at += 16 << 10 {
		part := body[at:min(at+16<<10, len(body))]
		fmt.Fprintf(&text, "%x\r\n%s\r\n", len(part), part)
	}
	text.WriteString("0\r\n\r\n")
	_, err := c.Write(text.Bytes())
	return err
}

// Guards against answers that come seconds after their time: the time limit of a request that its client had written whole counted
// from when the proxy had read its last byte, which it did as slowly as the backend took the body.
func TestSlowlyReadBodyIsAnsweredInTime(t *testing.T) {
	const sizeBytes, graceSeconds = 6 << 20, 0.05
	for name, c := range map[string]struct{ rate, stopAfter int }{
		"read slowly": {97_000, 1 << 30}, "stuck": {1_000_000, 30_861},
	} {
		for _, framing := range []string{"length", "chunks"} {
			for _, verb := range []string{"pay", "order"} {
				t.Run(fmt.Sprintf("%s, %s, %s", name, framing, verb), func(t *testing.T) {
					t.Parallel()
					b, completed := newUploadBackend(t, c.rate, c.stopAfter)
					client := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", b)), nil)).dial(t)
					framingField := map[string]string{"length": fmt.Sprintf("Content-Length: %d\r\n", sizeBytes),
						"chunks": "Transfer-Encoding: chunked\r\n"}[framing]
					io.WriteString(client, requestText(verb, framingField, "Idempotency-Key: k\r\n"))
					writeErr := writeBody(client, framing, numberedBody(sizeBytes))
					written := time.Now()
					status, _, header := client.readAnswer()
					took := time.Since(written).Seconds()
					t.Logf("%d after %.2f s, write error %v", status, took, writeErr)
					if status == 0 || took > 2.5+graceSeconds {
						t.Errorf("status %d %.2f s after the last byte was written", status, took)
					}
					if status == 503 && (header.Get("Retry-After") == "" || completed.Load() > 0) {
						t.Errorf("declined; the backend has read %d to the end, Retry-After %q", completed.Load(), header.Get("Retry-After"))
					}
				})
			}
		}
	}
}

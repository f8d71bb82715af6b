package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
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
			betweenPieces: 20 * time.Millisecond},
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
					io.WriteString(c, requestText(verb, fields...))
					if status, body, _ := c.readAnswer(); status != 200 || body != string(numberedBody(a.bytes)) {
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

package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// requestWithID is requestText with a given Req-Id.
func requestWithID(id, verb string) string {
	text := requestText(verb, "Idempotency-Key: k\r\n", "Content-Length: 0\r\n")
	from := strings.Index(text, "Req-Id: ") + len("Req-Id: ")
	return text[:from] + id + text[from+strings.Index(text[from:], "\r\n"):]
}

// Guards against a command that runs twice: its Req-Id comes again, on another connection, after its client has left, after it was
// answered, or after it was terminated.
func TestRequestIDThatMayHaveRunIsRefused(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		for _, verb := range []string{"pay", "order"} {
			for _, end := range []string{"leaves", "answered", "terminated"} {
				t.Run(fmt.Sprintf("cancel %t, %s, %s", cancel, verb, end), func(t *testing.T) {
					t.Parallel()
					var begun atomic.Int32
					b := newFakeBackend(t, func(b *fakeBackend, c net.Conn, r *http.Request) {
						begun.Add(1)
						switch {
						case end == "leaves":
							time.Sleep(200 * time.Millisecond)
						case end == "terminated":
							io.WriteString(c, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
							return
						}
						echo(b, c, r)
					})
					settings := settingsText
					if !cancel {
						settings = noCancelSettings
					}
					p := runWithSettings(t, settings, b)
					id := fmt.Sprintf("twice-%s-%s-%t", verb, end, cancel)
					first := p.dial(t)
					io.WriteString(first, requestWithID(id, verb))
					p.await(t, "the command has begun", func() bool { return begun.Load() > 0 })
					if end == "leaves" {
						first.Close()
						p.await(t, "the client's end is seen", func() bool { return p.departedCount == 1 })
					} else {
						first.readAnswer()
					}
					for range 3 {
						if status, _, _ := p.dial(t).roundTrip(requestWithID(id, verb)); status != 409 {
							t.Errorf("the same Req-Id got %d, want 409", status)
						}
						time.Sleep(100 * time.Millisecond)
					}
					if n := begun.Load(); n != 1 {
						t.Errorf("it ran %d times", n)
					}
				})
			}
		}
	}
}

// A Req-Id whose command provably never ran, or that may run again, is not refused.
func TestRequestIDThatNeverRanIsServed(t *testing.T) {
	t.Parallel()
	var declines atomic.Bool
	declines.Store(true)
	b := newFakeBackend(t, func(b *fakeBackend, c net.Conn, r *http.Request) {
		if declines.Load() {
			io.WriteString(c, "HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
			return
		}
		echo(b, c, r)
	})
	p := runWithSettings(t, settingsText, b)
	if status, _, _ := p.dial(t).roundTrip(requestWithID("declined", "pay")); status != 503 {
		t.Fatalf("%d, want 503", status)
	}
	declines.Store(false)
	if status, _, _ := p.dial(t).roundTrip(requestWithID("declined", "pay")); status != 200 {
		t.Errorf("declined before, now %d, want 200", status)
	}
	for range 2 {
		if status, _, _ := p.dial(t).roundTrip(requestWithID("pure", "look")); status != 200 {
			t.Errorf("a pure command got %d, want 200", status)
		}
	}
}

// What is remembered is bounded, in number and in time, and is kept for a generation at least.
func TestRecentRequestsAreBounded(t *testing.T) {
	var r recentRequests
	now := 1000.0
	first := keyOf("first")
	r.add(now, first)
	if now += idGenerationSeconds + 1; !r.contains(now, first) {
		t.Error("forgotten after a generation")
	}
	if now += 2*idGenerationSeconds + 1; r.contains(now, first) {
		t.Error("still remembered after three generations")
	}
	count := 0
	for n := range 10 * maxGenerationIDs {
		now += 1e-4
		r.add(now, keyOf(fmt.Sprint(n)))
	}
	r.all(func(requestKey) { count++ })
	if count > 2*maxGenerationIDs || count < maxGenerationIDs {
		t.Errorf("%d are remembered, want %d to %d", count, maxGenerationIDs, 2*maxGenerationIDs)
	}
	if last := keyOf(fmt.Sprint(10*maxGenerationIDs - 1)); !r.contains(now, last) {
		t.Error("the latest is forgotten")
	}
}

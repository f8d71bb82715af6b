package proxy

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// A rejection says when to retry, whoever of the proxy words it, and within what clients honour.
func TestEveryRejectionSaysWhenToRetry(t *testing.T) {
	check := func(t *testing.T, status int, header http.Header) {
		t.Helper()
		after, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
		if status != 503 || err != nil || after <= 0 || after > 2 {
			t.Errorf("%d, Retry-After %q", status, header.Get("Retry-After"))
		}
	}
	t.Run("before discovery has said anything", func(t *testing.T) {
		t.Parallel()
		silent, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer silent.Close()
		b := newFakeBackend(t, echo)
		r := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-a", b)), silent))
		status, _, header := r.dial(t).roundTrip(requestText("look"))
		check(t, status, header)
	})
	t.Run("with more open than is allowed", func(t *testing.T) {
		t.Parallel()
		b := newFakeBackend(t, hang)
		l := testConfig(endpointList(1, true, readyEndpoint("s-a", b)), nil, strings.Replace(settingsText, `"max_open": 1000`, `"max_open": 1`, 1))
		p, err := New(l)
		if err != nil {
			t.Fatal(err)
		}
		r := runProxy(t, p)
		time.Sleep(600 * time.Millisecond)
		io.WriteString(r.dial(t), requestText("look"))
		r.await(t, "one open", func() bool { return len(r.commands) == 1 })
		status, _, header := r.dial(t).roundTrip(requestText("look"))
		check(t, status, header)
	})
	t.Run("after the end, and in the middle of a request at its last moment", func(t *testing.T) {
		t.Parallel()
		b := newFakeBackend(t, echo)
		r := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-a", b)), nil))
		time.Sleep(600 * time.Millisecond)
		whole, half := r.dial(t), r.dial(t)
		io.WriteString(half, "GET /look/x HTTP/1.1\r\n")
		r.await(t, "half a request", func() bool { return r.clients.byState[stateSending].Len() == 1 })
		r.onLoop(func() { r.Proxy.shutdown.rejecting = true })
		status, _, header := whole.roundTrip(requestText("look"))
		check(t, status, header)
		r.onLoop(func() { r.declineUnread() })
		status, _, header = half.readAnswer()
		check(t, status, header)
		r.onLoop(func() { r.Proxy.shutdown.rejecting = false })
	})
	t.Run("none is told where the settings do not allow it", func(t *testing.T) {
		t.Parallel()
		b := newFakeBackend(t, echo)
		l := testConfig(endpointList(1, true, readyEndpoint("s-a", b)), nil, strings.Replace(settingsText, `"retry_after": true`, `"retry_after": false`, 1))
		p, err := New(l)
		if err != nil {
			t.Fatal(err)
		}
		r := runProxy(t, p)
		r.onLoop(func() { r.Proxy.shutdown.rejecting = true })
		status, _, header := r.dial(t).roundTrip(requestText("look"))
		if status != 503 || header.Get("Retry-After") != "" {
			t.Errorf("%d, Retry-After %q", status, header.Get("Retry-After"))
		}
		r.onLoop(func() { r.Proxy.shutdown.rejecting = false })
	})
}

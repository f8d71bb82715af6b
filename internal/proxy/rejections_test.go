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

// Every rejection has a Retry-After, whichever part of the proxy sends it, within the range that clients honour.
func TestRejectionsHaveRetryAfter(t *testing.T) {
	check := func(t *testing.T, status int, header http.Header) {
		t.Helper()
		after, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
		if status != 503 || err != nil || after <= 0 || after > 2 {
			t.Errorf("%d, Retry-After %q", status, header.Get("Retry-After"))
		}
	}
	t.Run("before the first message of discovery", func(t *testing.T) {
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
	t.Run("over the limit of open commands", func(t *testing.T) {
		t.Parallel()
		b := newFakeBackend(t, hang)
		l := testConfig(endpointList(1, true, readyEndpoint("s-a", b)), nil,
			strings.Replace(settingsText, `"max_open": 1000`, `"max_open": 1`, 1))
		p, err := New(l)
		if err != nil {
			t.Fatal(err)
		}
		r := runProxy(t, p)
		time.Sleep(600 * time.Millisecond)
		io.WriteString(r.dial(t), requestText("look"))
		r.await(t, "a command is open", func() bool { return len(r.commands) == 1 })
		status, _, header := r.dial(t).roundTrip(requestText("look"))
		check(t, status, header)
	})
	t.Run("after the end of a shutdown, for complete and incomplete requests", func(t *testing.T) {
		t.Parallel()
		b := newFakeBackend(t, echo)
		r := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-a", b)), nil))
		time.Sleep(600 * time.Millisecond)
		complete, incomplete := r.dial(t), r.dial(t)
		io.WriteString(incomplete, "GET /look/x HTTP/1.1\r\n")
		r.await(t, "an incomplete request has arrived", func() bool { return r.clients.byState[stateSending].Len() == 1 })
		r.onLoop(func() { r.Proxy.shutdown.rejecting = true })
		status, _, header := complete.roundTrip(requestText("look"))
		check(t, status, header)
		r.onLoop(func() { r.declineIncomplete() })
		status, _, header = incomplete.readAnswer()
		check(t, status, header)
		r.onLoop(func() { r.Proxy.shutdown.rejecting = false })
	})
	t.Run("no Retry-After if the settings do not allow it", func(t *testing.T) {
		t.Parallel()
		b := newFakeBackend(t, echo)
		l := testConfig(endpointList(1, true, readyEndpoint("s-a", b)), nil,
			strings.Replace(settingsText, `"retry_after": true`, `"retry_after": false`, 1))
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

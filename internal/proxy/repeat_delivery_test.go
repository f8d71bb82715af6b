package proxy

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const smallReceiveBuffer = 4096 // bytes; what a backend does not read stays with the proxy

// listenWithReceiveBuffer listens on a free port, with receive buffers of the given size, 0 for the usual one.
func listenWithReceiveBuffer(t *testing.T, size int) net.Listener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			if size > 0 {
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size)
			}
		})
	}}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// settingsWithOrders returns settingsText with these values of the verb "order", and with or without cancelled relays.
func settingsWithOrders(t *testing.T, window, goal time.Duration, cancel bool) string {
	t.Helper()
	var all map[string]any
	if err := json.Unmarshal([]byte(settingsText), &all); err != nil {
		t.Fatal(err)
	}
	all["limits"].(map[string]any)["cancel"] = cancel
	for _, v := range all["verbs"].([]any) {
		if verb := v.(map[string]any); verb["name"] == "order" {
			verb["window_ms"], verb["response_goal_ms"] = window.Milliseconds(), goal.Milliseconds()
		}
	}
	text, err := json.Marshal(all)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Guards against a keyed command that runs twice: one of its relays comes whole after its group has forgotten the key, since the
// backend reads late or slowly.
func TestRelayIsNotCompletedAfterItsGroupHasForgottenTheKey(t *testing.T) {
	const window = time.Second
	for name, c := range map[string]struct {
		bodyBytes     int
		receiveBuffer int
		goal          time.Duration
		cancel        bool
		readLateFirst bool // the first relay's backend reads late and a hedge runs; else the first runs and the repeat's reads late
		status        int
	}{
		"a repeat after a reset":                     {24 << 10, smallReceiveBuffer, 2500 * time.Millisecond, true, false, 502},
		"a repeat that the backend's machine has":    {60 << 10, 0, 2500 * time.Millisecond, true, false, 502},
		"the first relay beside a hedge":             {24 << 10, smallReceiveBuffer, 800 * time.Millisecond, false, true, 200},
		"the first relay beside a cancelling answer": {24 << 10, smallReceiveBuffer, 800 * time.Millisecond, true, true, 200},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var relays, runs atomic.Int32
			ran, forgotten, late := make(chan bool, 2), make(chan bool), make(chan bool)
			serveOne := func(conn net.Conn, r *http.Request) bool {
				if r.ContentLength > 0 {
					readsLate := relays.Add(1) == 1 == c.readLateFirst
					if readsLate {
						defer close(late)
						<-forgotten
					}
					if _, err := io.Copy(io.Discard, r.Body); err != nil {
						return false
					}
					runs.Add(1)
					ran <- true
					if !c.readLateFirst && !readsLate {
						resetConn(nil, conn, r)
						return false
					}
				}
				_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				return err == nil
			}
			serve := func(conn net.Conn) {
				defer conn.Close()
				in := bufio.NewReader(conn)
				for {
					if r, err := http.ReadRequest(in); err != nil || !serveOne(conn, r) {
						return
					}
				}
			}
			one, two := listenWithReceiveBuffer(t, c.receiveBuffer), listenWithReceiveBuffer(t, c.receiveBuffer)
			serveConns(t, one, serve)
			serveConns(t, two, serve)
			p, err := New(testConfig(endpointList(1, true, readyEndpoint("s-1", one), readyEndpoint("s-2", two)), nil,
				settingsWithOrders(t, window, c.goal, c.cancel)))
			if err != nil {
				t.Fatal(err)
			}
			client := runProxy(t, p).dial(t)
			if c.readLateFirst {
				allowHedges(t, client)
			}
			writeOrder(client, c.bodyBytes)
			receive(t, ran)
			time.Sleep(window) // the group forgets the key
			close(forgotten)
			if status, text, _ := client.readAnswer(); status != c.status {
				t.Errorf("status %d %s, want %d", status, text, c.status)
			}
			if relays.Load() > 1 {
				receive(t, late) // it has read all that comes
			}
			if n := runs.Load(); n != 1 {
				t.Errorf("it ran %d times", n)
			}
		})
	}
}

// A repeat that its backend reads in time is served, whatever its group forgets afterwards.
func TestRepeatThatIsReadInTimeIsServed(t *testing.T) {
	t.Parallel()
	var relays atomic.Int32
	serve := func(b *fakeBackend, c net.Conn, r *http.Request) {
		if relays.Add(1) == 1 {
			resetConn(b, c, r)
			return
		}
		time.Sleep(1200 * time.Millisecond) // it works on the repeat past the window
		echo(b, c, r)
	}
	p := runWithSettings(t, settingsWithOrders(t, time.Second, 2500*time.Millisecond, true), newFakeBackend(t, serve), newFakeBackend(t, serve))
	client := p.dial(t)
	writeOrder(client, 16<<10)
	if status, text, _ := client.readAnswer(); status != 200 || relays.Load() != 2 {
		t.Errorf("status %d %.40s after %d relays, want 200 after 2", status, text, relays.Load())
	}
}

// Guards against a promise that a retry is harmless where the group forgets the key before a slow backend has read the retry's body: the
// body of the first request was streamed, and counted with what had come of it at first.
func TestLongKeyedCommandThatMayHaveRunIsNotDeclined(t *testing.T) {
	settings := strings.NewReplacer(`"key_scope": "cell", "window_ms": 5000`, `"key_scope": "all", "window_ms": 9000`).Replace(settingsText)
	for _, framing := range []string{"length", "chunks"} {
		for bodyBytes, want := range map[int]int{16 << 10: 503, 400 << 10: 502} {
			t.Run(fmt.Sprintf("%s, %d bytes", framing, bodyBytes), func(t *testing.T) {
				t.Parallel()
				client := runWithSettings(t, settings, newFakeBackend(t, resetConn)).dial(t)
				field := map[string]string{"length": fmt.Sprintf("Content-Length: %d\r\n", bodyBytes), "chunks": "Transfer-Encoding: chunked\r\n"}[framing]
				io.WriteString(client, requestText("order", "Idempotency-Key: k\r\n", field))
				if err := writeBody(client, framing, numberedBody(bodyBytes)); err != nil {
					t.Fatal(err)
				}
				if status, text, _ := client.readAnswer(); status != want {
					t.Errorf("status %d %s, want %d", status, text, want)
				}
			})
		}
	}
}

// allowHedges has enough commands answered that the next one may be hedged, and soon.
func allowHedges(t *testing.T, c *testClient) {
	t.Helper()
	for began := time.Now(); time.Since(began) < time.Second; {
		if status, text, _ := c.roundTrip(requestText("order", "Idempotency-Key: k\r\n", "Content-Length: 0\r\n")); status != 200 {
			t.Fatalf("status %d %s", status, text)
		}
	}
}

// writeOrder sends a keyed command with a body of so many bytes.
func writeOrder(c *testClient, bodyBytes int) {
	io.WriteString(c, requestText("order", "Idempotency-Key: k\r\n", fmt.Sprintf("Content-Length: %d\r\n", bodyBytes)))
	c.Write(numberedBody(bodyBytes))
}

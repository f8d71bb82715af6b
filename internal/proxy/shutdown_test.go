package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// shortLimitSettings limits every verb to 2 s, so the kill may follow 2.7 s after SIGTERM.
var shortLimitSettings = strings.ReplaceAll(settingsText, `"time_limit_ms": 3000`, `"time_limit_ms": 2000`)

// startWithShortLimits starts a proxy with these settings and one backend, and waits until it is ready.
func startWithShortLimits(t *testing.T, b *fakeBackend) *testProxy {
	t.Helper()
	p, err := New(testConfig(endpointList(1, true, readyEndpoint("s-a", b)), nil, shortLimitSettings))
	if err != nil {
		t.Fatal(err)
	}
	r := runProxy(t, p)
	r.await(t, "the proxy is ready", p.ready)
	return r
}

// await polls a condition on the proxy's loop until it holds. description is used in the failure message.
func (r *testProxy) await(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for until := time.Now().Add(8 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		holds := false
		if r.onLoop(func() { holds = condition() }); holds {
			return
		}
	}
	t.Fatalf("timed out waiting until %s", description)
}

// awaitStop waits until the proxy has stopped by itself.
func (r *testProxy) awaitStop(t *testing.T) {
	t.Helper()
	select {
	case err := <-r.runResult:
		r.runResult <- err
	case <-time.After(10 * time.Second):
		t.Fatal("it did not stop")
	}
}

// Guards against a fixed shutdown time of 3.4 s whatever the verbs: a command accepted 1.2 s after SIGTERM whose backend hung
// was then still open when the kill came.
func TestShutdownTimeFollowsLongestTimeLimit(t *testing.T) {
	t.Parallel()
	r := startWithShortLimits(t, newFakeBackend(t, hang))
	c := r.dial(t)
	io.WriteString(c, "GET /-/ready HTTP/1.1\r\nHost: app\r\n\r\n")
	c.readAnswer()
	began := time.Now()
	r.requestShutdown()
	time.Sleep(1200 * time.Millisecond)
	status, body, _ := c.roundTrip(requestText("look"))
	if took := time.Since(began).Seconds(); status == 0 || status == 200 || took > 2.65 {
		t.Errorf("%d %q %.2f s after SIGTERM", status, body, took)
	}
	r.awaitStop(t)
	if took := time.Since(began).Seconds(); took > 2.7 {
		t.Errorf("stopped %.2f s after SIGTERM", took)
	}
}

// Guards against closing idle connections only once: a connection whose answer was being sent at that time became idle later,
// stayed open to the end, and a command sent on it just before the loop stopped was lost.
func TestShutdownClosesConnectionsThatBecomeIdle(t *testing.T) {
	t.Parallel()
	largeAnswer := func(_ *fakeBackend, c net.Conn, _ *http.Request) {
		body := strings.Repeat("x", 4<<20)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4194304\r\n\r\n"+body)
	}
	r := startWithShortLimits(t, newFakeBackend(t, largeAnswer))
	c := r.dial(t)
	io.WriteString(c, requestText("look"))
	r.await(t, "the answer is being sent", func() bool { return r.answeredCount == 1 || r.clients.byState[stateBusy].Len() == 1 })
	r.requestShutdown()
	r.await(t, "idle connections are closed", func() bool { return r.closesAfterAnswer() })
	if status, body, h := c.readAnswer(); status != 200 || len(body) != 4<<20 || h.Get("Connection") == "close" {
		t.Fatalf("%d, %d bytes, %v", status, len(body), h)
	}
	r.awaitStop(t)
	if n := r.clients.count; n > 0 {
		t.Errorf("it stopped with %d connections open on which a client could send", n)
	}
}

// Guards against relaying a command that is completed after the open commands were ended: the loop stopped without answering it.
func TestShutdownDeclinesLateCommands(t *testing.T) {
	t.Parallel()
	b := newFakeBackend(t, hang)
	r := startWithShortLimits(t, b)
	c := r.dial(t)
	request := requestText("look")
	began := time.Now()
	r.requestShutdown()
	time.Sleep(time.Second) // a head may take 2.35 s
	io.WriteString(c, request[:20])
	time.Sleep(time.Until(began.Add(2450 * time.Millisecond)))
	io.WriteString(c, request[20:])
	if status, body, h := c.readAnswer(); status != 503 || h.Get("Connection") != "close" {
		t.Errorf("%d %q", status, body)
	}
	if n := b.commands.Load(); n > 0 {
		t.Errorf("%d relays", n)
	}
	r.awaitStop(t)
}

// A command that is still incomplete at the last step is declined as well, so that the process can stop.
func TestShutdownDeclinesIncompleteCommands(t *testing.T) {
	t.Parallel()
	r := startWithShortLimits(t, newFakeBackend(t, echo))
	c := r.dial(t)
	c.roundTrip(requestText("look"))
	r.requestShutdown()
	time.Sleep(time.Second) // of the 1.4 s in which an idle connection stays open
	io.WriteString(c, requestText("look")[:30])
	if status, body, _ := c.readAnswer(); status != 503 {
		t.Errorf("%d %q", status, body)
	}
	r.awaitStop(t)
}

// Guards against cutting off a streamed answer when the process stops by itself; only a kill may do that.
func TestShutdownDoesNotCutStreamedAnswers(t *testing.T) {
	t.Parallel()
	more := make(chan bool)
	r := startWithShortLimits(t, newFakeBackend(t, func(_ *fakeBackend, c net.Conn, _ *http.Request) {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n"+strings.Repeat("x", 100000))
		<-more
		io.WriteString(c, strings.Repeat("x", 100000))
	}))
	c := r.dial(t)
	io.WriteString(c, requestText("look"))
	r.await(t, "the answer is being sent", func() bool {
		return r.clients.byState[stateBusy].Len() == 1 && r.clients.awaitingAnswer == 1
	})
	r.requestShutdown()
	began := time.Now()
	time.AfterFunc(2800*time.Millisecond, func() { close(more) })
	if status, body, _ := c.readAnswer(); status != 200 || len(body) != 200000 {
		t.Errorf("%d, %d bytes, %.2f s after SIGTERM", status, len(body), time.Since(began).Seconds())
	}
	r.awaitStop(t)
}

// A reload during the shutdown may move its end forward, but not back: the kill may be timed by the earlier verbs.
func TestReloadDoesNotDelayShutdown(t *testing.T) {
	t.Parallel()
	b := newFakeBackend(t, hang)
	r := startWithShortLimits(t, b)
	r.requestShutdown()
	r.await(t, "the shutdown begins", func() bool { return r.Proxy.shutdown.active })
	for _, c := range []struct {
		limit string
		end   float64
	}{{"9000", 2.4}, {"1000", 1.4}, {"9000", 1.4}} {
		l := testConfig("", nil, strings.ReplaceAll(shortLimitSettings, `"time_limit_ms": 2000`, `"time_limit_ms": `+c.limit))
		r.Reload(l)
		r.await(t, "the configuration is reloaded", func() bool {
			return r.verbIndex != nil &&
				r.names.Verbs[0].TimeLimit*1000 == map[string]float64{"9000": 9000, "1000": 1000}[c.limit]
		})
		r.onLoop(func() {
			if got := r.Proxy.shutdown.plan.AnswerOpen; got < c.end-0.01 || got > c.end+0.01 {
				t.Errorf("with time limits of %s ms open commands end at %.2f s", c.limit, got)
			}
		})
	}
	r.awaitStop(t)
}

// A connection that is accepted at the last moment has time to send its command, though idle connections are already closed.
func TestShutdownServesNewConnections(t *testing.T) {
	t.Parallel()
	r := startWithShortLimits(t, newFakeBackend(t, echo))
	r.onLoop(func() {
		r.beginShutdown()
		r.Proxy.shutdown.plan.CloseIdle = 0
	})
	c := r.dial(t)
	r.await(t, "the connection is accepted", func() bool { return r.clients.count == 1 })
	time.Sleep(3 * time.Duration(pollIntervalSeconds*float64(time.Second)))
	io.WriteString(c, requestText("look"))
	if rsp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || rsp.StatusCode != 200 {
		t.Errorf("%v %v", rsp, err)
	}
}

// The old process gets SIGTERM after the new one has sent hello and before it serves. The old one must finish its open commands,
// and every new connection must be served by one of the two.
func TestSIGTERMDuringUpgrade(t *testing.T) {
	t.Parallel()
	l := inheritingConfig(t, endpointList(1, true, readyEndpoint("s-1", newFakeBackend(t, echo))))
	oldProxy := startProxy(t, l)
	oldProxy.await(t, "the old process is ready", oldProxy.ready)
	fd, _ := strconv.Atoi(l.Socket)
	idleClient := oldProxy.dial(t)
	idleClient.roundTrip(requestText("look"))
	newProxy := startProxy(t, nextVersionConfig(t, l, fd))
	oldProxy.await(t, "the new process has sent hello", func() bool { return oldProxy.handover.successor != nil })
	oldProxy.onLoop(func() {
		if oldProxy.handover.successorServes {
			t.Error("the new process already serves")
		}
	})
	oldProxy.requestShutdown()
	if status, _, _ := idleClient.roundTrip(requestText("look")); status != 200 {
		t.Errorf("on the open connection: %d", status)
	}
	for stopped := false; !stopped; {
		select {
		case err := <-oldProxy.runResult:
			oldProxy.runResult <- err
			stopped = true
		default:
		}
		c, err := net.Dial("tcp", l.Listen)
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(5 * time.Second))
		if status, body, _ := (&testClient{c, bufio.NewReader(c)}).roundTrip(requestText("look")); status != 200 {
			t.Errorf("%d %q, the old process has stopped: %t", status, body, stopped)
		}
		c.Close()
	}
	newProxy.await(t, "only the new process serves", func() bool {
		return newProxy.acceptsClients() && newProxy.handover.predecessor == nil
	})
}

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

// short are settings in which no verb may take longer than 2 s: the kill may come 2.7 s after SIGTERM.
var shortLimitSettings = strings.ReplaceAll(settingsText, `"time_limit_ms": 3000`, `"time_limit_ms": 2000`)

// startShort starts a proxy with these settings before one backend and waits until it takes clients.
func startShort(t *testing.T, b *fakeBackend) *testProxy {
	t.Helper()
	p, err := New(testConfig(endpointList(1, true, readyEndpoint("s-a", b)), nil, shortLimitSettings))
	if err != nil {
		t.Fatal(err)
	}
	r := runProxy(t, p)
	r.await(t, "it takes clients", p.ready)
	return r
}

// await polls a condition on the proxy's own loop.
func (r *testProxy) await(t *testing.T, what string, is func() bool) {
	t.Helper()
	for until := time.Now().Add(8 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		yes := false
		if r.onLoop(func() { yes = is() }); yes {
			return
		}
	}
	t.Fatalf("it never came to it that %s", what)
}

// stopped waits until the proxy has ended by itself.
func (r *testProxy) awaitStop(t *testing.T) {
	t.Helper()
	select {
	case err := <-r.runResult:
		r.runResult <- err
	case <-time.After(10 * time.Second):
		t.Fatal("it did not end")
	}
}

// A command that was taken 1.2 s after SIGTERM and whose backend hangs was still open when the kill came, since the end
// went by 3.4 s whatever the verbs.
func TestTheEndGoesByTheLongestVerb(t *testing.T) {
	t.Parallel()
	r := startShort(t, newFakeBackend(t, hang))
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
		t.Errorf("ended %.2f s after SIGTERM", took)
	}
}

// An answer was on its way when the connections at rest were closed, so its own was not. It rested a moment later, stayed
// open to the last, and what its client sent on it just before the loop stopped was lost.
func TestWhatComesToRestAfterTheLookIsClosedToo(t *testing.T) {
	t.Parallel()
	big := func(_ *fakeBackend, c net.Conn, _ *http.Request) {
		body := strings.Repeat("x", 4<<20)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4194304\r\n\r\n"+body)
	}
	r := startShort(t, newFakeBackend(t, big))
	c := r.dial(t)
	io.WriteString(c, requestText("look"))
	r.await(t, "the answer is on its way", func() bool { return r.answeredCount == 1 || r.clients.byState[stateBusy].Len() == 1 })
	r.requestShutdown()
	r.await(t, "what rests is closed", func() bool { return r.closes() })
	if status, body, h := c.readAnswer(); status != 200 || len(body) != 4<<20 || h.Get("Connection") == "close" {
		t.Fatalf("%d, %d bytes, %v", status, len(body), h)
	}
	r.awaitStop(t)
	if n := r.clients.count; n > 0 {
		t.Errorf("it stopped with %d connections open on which a client could send", n)
	}
}

// The rest of a command came when all that was open had been ended: it was relayed, and the loop stopped without an answer.
func TestWhatIsWholeAfterTheEndIsDeclinedAtOnce(t *testing.T) {
	t.Parallel()
	b := newFakeBackend(t, hang)
	r := startShort(t, b)
	c := r.dial(t)
	whole := requestText("look")
	began := time.Now()
	r.requestShutdown()
	time.Sleep(time.Second) // a head may take 2.35 s
	io.WriteString(c, whole[:20])
	time.Sleep(time.Until(began.Add(2450 * time.Millisecond)))
	io.WriteString(c, whole[20:])
	if status, body, h := c.readAnswer(); status != 503 || h.Get("Connection") != "close" {
		t.Errorf("%d %q", status, body)
	}
	if n := b.commands.Load(); n > 0 {
		t.Errorf("%d relays", n)
	}
	r.awaitStop(t)
}

// What was not even whole by then is declined as well, so that the process can stop.
func TestWhatIsNeverWholeIsDeclinedAtTheLast(t *testing.T) {
	t.Parallel()
	r := startShort(t, newFakeBackend(t, echo))
	c := r.dial(t)
	c.roundTrip(requestText("look"))
	r.requestShutdown()
	time.Sleep(time.Second) // of the 1.4 in which a connection may rest
	io.WriteString(c, requestText("look")[:30])
	if status, body, _ := c.readAnswer(); status != 503 {
		t.Errorf("%d %q", status, body)
	}
	r.awaitStop(t)
}

// An answer that has begun was cut off when the process ended by itself; only a kill excuses that.
func TestAnAnswerOnItsWayIsNotCutByTheEnd(t *testing.T) {
	t.Parallel()
	more := make(chan bool)
	r := startShort(t, newFakeBackend(t, func(_ *fakeBackend, c net.Conn, _ *http.Request) {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n"+strings.Repeat("x", 100000))
		<-more
		io.WriteString(c, strings.Repeat("x", 100000))
	}))
	c := r.dial(t)
	io.WriteString(c, requestText("look"))
	r.await(t, "the answer is on its way", func() bool { return r.clients.byState[stateBusy].Len() == 1 && r.clients.awaitingAnswer == 1 })
	r.requestShutdown()
	began := time.Now()
	time.AfterFunc(2800*time.Millisecond, func() { close(more) })
	if status, body, _ := c.readAnswer(); status != 200 || len(body) != 200000 {
		t.Errorf("%d, %d bytes, %.2f s after SIGTERM", status, len(body), time.Since(began).Seconds())
	}
	r.awaitStop(t)
}

// A kill that was announced by the verbs of one configuration does not wait for those of the next.
func TestVerbsThatChangeDuringTheEndDoNotPutItOff(t *testing.T) {
	t.Parallel()
	b := newFakeBackend(t, hang)
	r := startShort(t, b)
	r.requestShutdown()
	r.await(t, "it ends", func() bool { return r.Proxy.shutdown.active })
	for _, x := range []struct {
		limit string
		end   float64
	}{{"9000", 2.4}, {"1000", 1.4}, {"9000", 1.4}} {
		l := testConfig("", nil, strings.ReplaceAll(shortLimitSettings, `"time_limit_ms": 2000`, `"time_limit_ms": `+x.limit))
		r.Reload(l)
		r.await(t, "it is reloaded", func() bool {
			return r.verbIndex != nil && r.names.Verbs[0].TimeLimit*1000 == map[string]float64{"9000": 9000, "1000": 1000}[x.limit]
		})
		r.onLoop(func() {
			if got := r.Proxy.shutdown.plan.AnswerOpen; got < x.end-0.01 || got > x.end+0.01 {
				t.Errorf("with limits of %s ms the end is at %.2f s", x.limit, got)
			}
		})
	}
	r.awaitStop(t)
}

// A connection that came at the last moment has time to say what it was opened for, though the others are closed by then.
func TestANewcomerIsHeardThoughWhatRestsIsClosed(t *testing.T) {
	t.Parallel()
	r := startShort(t, newFakeBackend(t, echo))
	r.onLoop(func() {
		r.beginShutdown()
		r.Proxy.shutdown.plan.CloseIdle = 0
	})
	c := r.dial(t)
	r.await(t, "it is there", func() bool { return r.clients.count == 1 })
	time.Sleep(3 * time.Duration(pollIntervalSeconds*float64(time.Second)))
	io.WriteString(c, requestText("look"))
	if rsp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || rsp.StatusCode != 200 {
		t.Errorf("%v %v", rsp, err)
	}
}

// SIGTERM comes to the old process while the new one has said hello and does not serve yet: what is open is finished by the one,
// what comes new is taken by the one or the other, and nothing falls between them.
func TestSIGTERMInTheMiddleOfAnUpgrade(t *testing.T) {
	t.Parallel()
	l := inheritingConfig(t, endpointList(1, true, readyEndpoint("s-1", newFakeBackend(t, echo))))
	one := startProxy(t, l)
	one.await(t, "the old one serves", one.ready)
	fd, _ := strconv.Atoi(l.Socket)
	rest := one.dial(t)
	rest.roundTrip(requestText("look"))
	two := startProxy(t, nextVersionConfig(t, l, fd))
	one.await(t, "the new one has said hello", func() bool { return one.handover.successor != nil })
	one.onLoop(func() {
		if one.handover.successorServes {
			t.Error("the new one serves already")
		}
	})
	one.requestShutdown()
	if status, _, _ := rest.roundTrip(requestText("look")); status != 200 {
		t.Errorf("on a connection that stayed open: %d", status)
	}
	for over := false; !over; {
		select {
		case err := <-one.runResult:
			one.runResult <- err
			over = true
		default:
		}
		c, err := net.Dial("tcp", l.Listen)
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(5 * time.Second))
		if status, body, _ := (&testClient{c, bufio.NewReader(c)}).roundTrip(requestText("look")); status != 200 {
			t.Errorf("%d %q, the old one ended: %t", status, body, over)
		}
		c.Close()
	}
	two.await(t, "the new one serves alone", func() bool { return two.acceptsClients() && two.handover.predecessor == nil })
}

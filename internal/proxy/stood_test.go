package proxy

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// A process that was stopped for half a second read what had come meanwhile as if it were new: commands whose clients had
// given up were relayed, and answers came after their limit.
func TestWhatCameWhileItStoodStillIsAsOldAsItIs(t *testing.T) {
	t.Parallel()
	b := newFakeBackend(t, echo)
	r := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-a", b)), nil))
	time.Sleep(600 * time.Millisecond)
	short, long := r.dial(t), r.dial(t)
	for _, c := range []*testClient{short, long} { // so that the connections are known
		if status, body, _ := c.roundTrip(requestText("look")); status != 200 {
			t.Fatalf("%d %s", status, body)
		}
	}
	before := b.commands.Load()
	r.onLoop(func() {
		io.WriteString(short, strings.Replace(requestText("look"), "Req-Deadline: 2.5", "Req-Deadline: 0.2", 1))
		io.WriteString(long, requestText("look"))
		time.Sleep(500 * time.Millisecond) // the whole process
	})
	if status, _, _ := short.readAnswer(); status != 503 {
		t.Errorf("%d to a command whose time was up", status)
	}
	if status, _, _ := long.readAnswer(); status != 200 {
		t.Errorf("%d to a command that has 2 s left", status)
	}
	if n := b.commands.Load() - before; n != 1 {
		t.Errorf("%d relays for the one command that still had time", n)
	}
	r.onLoop(func() {
		for _, c := range r.commands {
			t.Errorf("still open: %+v", c)
		}
	})
}

func TestMessagesOfThePauseAreDropped(t *testing.T) {
	t.Parallel()
	b := newFakeBackend(t, echo)
	r, to, sibling := startWithPeer(t, readyEndpoint("s-a", b))
	answers := func() (n int) {
		for in := make([]byte, 100); ; n++ {
			sibling.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
			if _, _, err := sibling.ReadFrom(in); err != nil {
				return n
			}
		}
	}
	ask := func() { sibling.WriteTo([]byte{0x12, 0, 0, 0, 0, 255, 0}, to) }
	if ask(); answers() != 1 {
		t.Fatal("a question is not answered")
	}
	r.onLoop(func() {
		for range 20 {
			ask()
		}
		time.Sleep(300 * time.Millisecond)
	})
	if n := answers(); n > 0 {
		t.Errorf("%d questions of half a second ago were answered", n)
	}
	if ask(); answers() != 1 {
		t.Error("a question after the pause is not answered")
	}
}

// Discovery drained a backend while the process stood still, and a command was waiting in front of that word.
func TestNewsComeFirstAfterAPause(t *testing.T) {
	t.Parallel()
	drained, other := newFakeBackend(t, echo), newFakeBackend(t, echo)
	d, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	said := make(chan net.Conn, 1)
	first := endpointList(1, true, readyEndpoint("s-a", drained), readyEndpoint("s-b", other))
	go func() {
		c, err := d.Accept()
		if err != nil {
			return
		}
		c.Read(make([]byte, 1000))
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n\r\n%s\n", first)
		said <- c
	}()
	r := runProxy(t, newTestProxy(t, 200, "", d))
	c := <-said
	defer c.Close()
	for range 200 { // until it has heard
		usable := 0
		if r.onLoop(func() { usable = r.backends.readyCount }); usable == 2 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	var callers []*testClient
	for range 20 {
		callers = append(callers, r.dial(t))
		callers[len(callers)-1].roundTrip(requestText("look"))
	}
	before := drained.commands.Load()
	if before == 0 {
		t.Fatal("nothing ever went to the first backend")
	}
	r.onLoop(func() {
		for _, x := range callers {
			io.WriteString(x, requestText("look"))
		}
		gone := readyEndpoint("s-a", drained)
		gone["status"] = "draining"
		fmt.Fprintf(c, "%s\n", endpointList(2, false, gone))
		time.Sleep(300 * time.Millisecond)
	})
	for _, x := range callers {
		if status, body, _ := x.readAnswer(); status != 200 {
			t.Errorf("%d %s", status, body)
		}
	}
	if n := drained.commands.Load() - before; n > 0 {
		t.Errorf("%d commands to a backend of which it had word that it drains", n)
	}
}

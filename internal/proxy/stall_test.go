package proxy

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// Guards against treating data that arrived during a stall as new: after a stop of half a second, commands whose clients had
// given up were relayed, and answers came after the time limit.
func TestDataFromStallKeepsItsAge(t *testing.T) {
	t.Parallel()
	b := newFakeBackend(t, echo)
	r := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-a", b)), nil))
	time.Sleep(600 * time.Millisecond)
	short, long := r.dial(t), r.dial(t)
	for _, c := range []*testClient{short, long} { // the connections are accepted before the stall
		if status, body, _ := c.roundTrip(requestText("look")); status != 200 {
			t.Fatalf("%d %s", status, body)
		}
	}
	before := b.commands.Load()
	r.onLoop(func() {
		io.WriteString(short, strings.Replace(requestText("look"), "Req-Deadline: 2.5", "Req-Deadline: 0.2", 1))
		io.WriteString(long, requestText("look"))
		time.Sleep(500 * time.Millisecond) // stalls the loop
	})
	if status, _, _ := short.readAnswer(); status != 503 {
		t.Errorf("%d for a command whose time limit had passed", status)
	}
	if status, _, _ := long.readAnswer(); status != 200 {
		t.Errorf("%d for a command with 2 s left", status)
	}
	if n := b.commands.Load() - before; n != 1 {
		t.Errorf("%d relays, want 1 for the command with time left", n)
	}
	r.onLoop(func() {
		for _, c := range r.commands {
			t.Errorf("still open: %+v", c)
		}
	})
}

// Peer messages that arrived during a stall are discarded, later ones are answered.
func TestPeerMessagesFromStallAreDropped(t *testing.T) {
	t.Parallel()
	b := newFakeBackend(t, echo)
	r, messageAddr, peer := startWithPeer(t, readyEndpoint("s-a", b))
	countAnswers := func() (n int) {
		for in := make([]byte, 100); ; n++ {
			peer.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
			if _, _, err := peer.ReadFrom(in); err != nil {
				return n
			}
		}
	}
	sendQuestion := func() { peer.WriteTo([]byte{0x12, 0, 0, 0, 0, 255, 0}, messageAddr) }
	if sendQuestion(); countAnswers() != 1 {
		t.Fatal("a peer message was not answered")
	}
	r.onLoop(func() {
		for range 20 {
			sendQuestion()
		}
		time.Sleep(300 * time.Millisecond)
	})
	if n := countAnswers(); n > 0 {
		t.Errorf("%d messages from the stall were answered", n)
	}
	if sendQuestion(); countAnswers() != 1 {
		t.Error("a message after the stall was not answered")
	}
}

// A command and then a drain of a backend arrive during a stall. The drain must be applied before the command is relayed.
func TestDiscoveryIsReadFirstAfterStall(t *testing.T) {
	t.Parallel()
	drained, other := newFakeBackend(t, echo), newFakeBackend(t, echo)
	d, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	listSent := make(chan net.Conn, 1)
	first := endpointList(1, true, readyEndpoint("s-a", drained), readyEndpoint("s-b", other))
	go func() {
		c, err := d.Accept()
		if err != nil {
			return
		}
		c.Read(make([]byte, 1000))
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n\r\n%s\n", first)
		listSent <- c
	}()
	r := runProxy(t, newTestProxy(t, 200, "", d))
	c := <-listSent
	defer c.Close()
	for range 200 { // until the list is received
		usable := 0
		if r.onLoop(func() { usable = r.backends.readyCount }); usable == 2 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	var clients []*testClient
	for range 20 {
		clients = append(clients, r.dial(t))
		clients[len(clients)-1].roundTrip(requestText("look"))
	}
	before := drained.commands.Load()
	if before == 0 {
		t.Fatal("the first backend got no command")
	}
	r.onLoop(func() {
		for _, client := range clients {
			io.WriteString(client, requestText("look"))
		}
		draining := readyEndpoint("s-a", drained)
		draining["status"] = "draining"
		fmt.Fprintf(c, "%s\n", endpointList(2, false, draining))
		time.Sleep(300 * time.Millisecond)
	})
	for _, client := range clients {
		if status, body, _ := client.readAnswer(); status != 200 {
			t.Errorf("%d %s", status, body)
		}
	}
	if n := drained.commands.Load() - before; n > 0 {
		t.Errorf("%d commands to a backend after its drain was received", n)
	}
}

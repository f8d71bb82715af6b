package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"sandpass/internal/scale/meter"
)

const testTimeout = 10 * time.Second

// follow opens a watch and returns a scanner over its lines.
func follow(t *testing.T, address string) (net.Conn, *bufio.Scanner) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintf(c, "GET /api/targets?follow=1 HTTP/1.1\r\nHost: a\r\n\r\n")
	return c, bufio.NewScanner(c)
}

// nextMessage returns the next message of a watch. It skips heartbeats and the framing of chunks.
func nextMessage(t *testing.T, lines *bufio.Scanner) (m message) {
	t.Helper()
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "{") {
			if err := json.Unmarshal(lines.Bytes(), &m); err != nil {
				t.Fatal(err)
			}
			return m
		}
	}
	t.Fatalf("the watch ended without a message: %v", lines.Err())
	return m
}

// startDiscovery starts a discovery service with one list of two backends and the given number of agents.
func startDiscovery(t *testing.T, agents int) (*Discovery, []string) {
	t.Helper()
	d := NewDiscovery([][]Endpoint{{{Name: "a", Status: "ready"}, {Name: "b", Status: "ready"}}})
	t.Cleanup(d.Close)
	var addresses []string
	for i := range agents {
		if err := d.Listen("127.0.0.1:0", 0); err != nil {
			t.Fatal(err)
		}
		addresses = append(addresses, d.agents[i].listener.Addr().String())
	}
	return d, addresses
}

func TestWatchSendsListAndUpdates(t *testing.T) {
	d, addresses := startDiscovery(t, 1)
	_, lines := follow(t, addresses[0])
	if m := nextMessage(t, lines); !m.Snapshot || len(m.Endpoints) != 2 {
		t.Errorf("%+v", m)
	}
	if err := d.Update(0, []Endpoint{{Name: "a", Status: "gone"}}); err != nil {
		t.Fatal(err)
	}
	if m := nextMessage(t, lines); m.Snapshot || len(m.Endpoints) != 1 || m.Index != 3 {
		t.Errorf("%+v", m)
	}
	_, again := follow(t, addresses[0])
	if m := nextMessage(t, again); !m.Snapshot || len(m.Endpoints) != 1 || m.Endpoints[0].Name != "b" {
		t.Errorf("%+v", m)
	}
	traffic, _ := d.Traffic()
	if got := traffic[0]; got.MessagesIn != 2 || got.MessagesOut < 3 || got.BytesIn == 0 || got.BytesOut == 0 {
		t.Errorf("%+v", got)
	}
	if err := d.Update(1, nil); err == nil {
		t.Error("a list that does not exist was updated")
	}
}

func TestSilentAgentAnswersAfterSilence(t *testing.T) {
	d, addresses := startDiscovery(t, 2)
	d.SetSilent([]int{0}, true)
	_, other := follow(t, addresses[1])
	nextMessage(t, other) // the other agent still sends
	_, lines := follow(t, addresses[0])
	for traffic, _ := d.Traffic(); traffic[0].MessagesIn == 0; traffic, _ = d.Traffic() {
		time.Sleep(time.Millisecond)
	}
	if traffic, watching := d.Traffic(); traffic[0].BytesOut != 0 || watching[0] != 0 {
		t.Errorf("%+v, %v", traffic, watching)
	}
	d.SetSilent([]int{0}, false)
	if m := nextMessage(t, lines); !m.Snapshot {
		t.Errorf("%+v", m)
	}
}

func TestCloseConnectionsEndsWatches(t *testing.T) {
	d, addresses := startDiscovery(t, 1)
	_, lines := follow(t, addresses[0])
	nextMessage(t, lines)
	d.CloseConnections([]int{0})
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "{") {
			t.Errorf("received %s after the connection was closed", lines.Text())
		}
	}
}

// countingCaller counts the nested calls.
type countingCaller struct{ calls int }

// Once counts a call.
func (c *countingCaller) Call() error { c.calls++; return nil }

// Close does nothing.
func (c *countingCaller) Close() {}

func TestBackendMakesNestedCallBeforeAnswer(t *testing.T) {
	var next countingCaller
	b, err := NewBackend("127.0.0.1:0", func() (NestedCaller, error) { return &next, nil })
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	c, err := net.Dial("tcp", b.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	counted := &meter.Conn{Conn: c, Counter: &meter.Counter{}}
	c.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintf(counted, "POST /pay HTTP/1.1\r\nContent-length: 3\r\n\r\nabcPOST /pay HTTP/1.1\r\n\r\n")
	in := bufio.NewReader(counted)
	for range 2 {
		if line, err := in.ReadString('\n'); err != nil || !strings.HasPrefix(line, "HTTP/1.1 200") {
			t.Fatalf("%q, %v", line, err)
		}
		for line := ""; line != "\r\n"; {
			if line, err = in.ReadString('\n'); err != nil {
				t.Fatal(err)
			}
		}
	}
	if next.calls != 2 {
		t.Errorf("%d nested calls, want 2", next.calls)
	}
}

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// idClient is a client on one connection that chooses its Req-Ids.
type idClient struct {
	net.Conn
	t *testing.T
}

// dialClient connects to the platform's address: to the process that accepts connections.
func (p *platform) dialClient() *idClient {
	p.t.Helper()
	c, err := net.Dial("tcp", p.address)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(8 * time.Second))
	return &idClient{c, p.t}
}

// send sends an effectful command.
func (c *idClient) send(id string) {
	fmt.Fprintf(c, "POST /pay/x HTTP/1.1\r\nHost: a\r\nReq-Id: %s\r\nReq-Kind: pay\r\nReq-Deadline: 2.5\r\nContent-Length: 0\r\n\r\n", id)
}

// status reads an answer and returns its status, 0 if the connection ends instead.
func (c *idClient) status() int {
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// awaitRun waits until a backend has begun the command with this id.
func (p *platform) awaitRun(id string) {
	p.t.Helper()
	for start := time.Now(); p.runs(id) == 0; time.Sleep(5 * time.Millisecond) {
		if time.Since(start) > 2*time.Second {
			p.t.Fatalf("%s has not begun; %v", id, p.ran)
		}
	}
}

// runs returns how often the command with this id was begun.
func (p *platform) runs(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ran[id]
}

// Guards against a command that runs twice over an upgrade: its Req-Id comes to one process while the other has it open, or has had
// it, also after its client has left and after the old process has ended.
func TestRequestIDRunsOnceOverAnUpgrade(t *testing.T) {
	t.Parallel()
	p := newPlatform(t)
	old := p.start()
	old.waitHealthy(t)
	time.Sleep(700 * time.Millisecond) // after 0.5 s without discovery the list in the configuration is used
	answered := p.dialClient()
	answered.send("answered")
	if status := answered.status(); status != 200 {
		t.Fatalf("%d, want 200", status)
	}
	kept := p.dialClient()
	p.backendDelay.Store(int64(1200 * time.Millisecond))
	next := p.start()
	stays, leaves := p.dialClient(), p.dialClient()
	stays.send("stays")
	leaves.send("leaves")
	p.awaitRun("stays")
	p.awaitRun("leaves")
	leaves.Close()
	next.waitHealthy(t)
	atNext := p.dialClient()
	atNext.send("at the new one")
	p.awaitRun("at the new one")
	kept.send("at the new one")
	if status := kept.status(); status != 409 {
		t.Errorf("open at the new process: the old one answered %d, want 409", status)
	}
	refused := func(when string, ids ...string) {
		t.Helper()
		for _, id := range ids {
			c := p.dialClient()
			c.send(id)
			if status := c.status(); status != 409 {
				t.Errorf("%s, %s: %d, want 409", when, id, status)
			}
		}
	}
	refused("while both run", "answered", "stays", "leaves", "at the new one")
	if a, b := stays.status(), atNext.status(); a != 200 || b != 200 {
		t.Errorf("those that came first got %d and %d, want 200", a, b)
	}
	old.Process.Signal(syscall.SIGTERM)
	old.waitEnded(t)
	refused("after the old process has ended", "answered", "stays", "leaves", "at the new one")
	for _, id := range []string{"answered", "stays", "leaves", "at the new one"} {
		if n := p.runs(id); n != 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
	next.Process.Signal(syscall.SIGTERM)
	next.waitEnded(t)
}

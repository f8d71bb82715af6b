// This file is the stand-in for backends. Each is a process of the deployment as far as a proxy can see: an address, connections that
// end with it, and a group that remembers for a while which keys it has run.

package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// behaviour says what a backend does with a request that has come whole.
type behaviour struct {
	work       time.Duration // before it answers
	resetAfter bool          // resets the connection when it has run the request, with no answer
	again      time.Duration // sends the answer a second time so much later, if nothing else waits on the connection then
	// give, if set, writes the answer in place of the usual one. The connection ends after it.
	give func(conn net.Conn, id string)
}

// backend is one process.
type backend struct {
	world    *world
	name     string
	group    *group
	listener net.Listener
	readRate int // bytes of a body that it reads in a second, 0 for no limit
	behave   func(r *http.Request) behaviour
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	isDead   bool
}

// startBackend listens at the address. A limited readRate also makes the receive buffer of its connections small, so that what it has
// not read stays with the sender.
func startBackend(w *world, name, address string, g *group, readRate int, behave func(*http.Request) behaviour) (*backend, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			if readRate > 0 {
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
			}
		})
	}}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	b := &backend{world: w, name: name, group: g, listener: listener, readRate: readRate, behave: behave, conns: map[net.Conn]struct{}{}}
	w.record.note("backend=%s starts at address=%s in group=%d", name, b.address(), g.number)
	go b.accept()
	return b, nil
}

// address returns where the backend listens.
func (b *backend) address() string { return b.listener.Addr().String() }

// entry returns the backend as discovery lists it.
func (b *backend) entry(status string, since int64) endpoint {
	return endpoint{Name: b.name, Address: b.address(), Zone: "didube-store", Type: "front-mid", Group: b.group.number, Status: status,
		Weight: 1, SinceMs: since}
}

// accept serves connections until the process dies.
func (b *backend) accept() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[conn] = struct{}{}
		isDead := b.isDead
		b.mu.Unlock()
		if isDead {
			reset(conn)
			return
		}
		go b.serve(conn)
	}
}

// reset resets a connection.
func reset(conn net.Conn) {
	conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

// die ends the process: its connections are reset and its address is free.
func (b *backend) die() {
	b.world.record.note("backend=%s dies", b.name)
	b.listener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isDead = true
	for conn := range b.conns {
		reset(conn)
	}
}

// pacedReader reads at a limited rate, in small pieces.
type pacedReader struct {
	from io.Reader
	rate int // bytes a second, 0 for no limit
}

// Read reads one piece and waits for the time that it takes.
func (p *pacedReader) Read(to []byte) (int, error) {
	if p.rate == 0 {
		return p.from.Read(to)
	}
	n, err := p.from.Read(to[:min(len(to), max(1, p.rate/50))])
	time.Sleep(time.Duration(n) * time.Second / time.Duration(p.rate))
	return n, err
}

// serve answers the requests of one connection.
func (b *backend) serve(conn net.Conn) {
	defer func() {
		b.mu.Lock()
		delete(b.conns, conn)
		b.mu.Unlock()
		conn.Close()
	}()
	in := bufio.NewReaderSize(&pacedReader{conn, b.readRate}, 4096)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			b.world.record.note("backend=%s had only a part of id=%s: %v", b.name, request.Header.Get("Req-Id"), err)
			return
		}
		if !b.handle(conn, in, request, body) {
			return
		}
	}
}

// handle runs one request and answers it. It reports whether the connection stays open.
func (b *backend) handle(conn net.Conn, in *bufio.Reader, r *http.Request, body []byte) bool {
	id := r.Header.Get("Req-Id")
	if form := formOf(r.Method, r.URL.RequestURI(), len(body)); !b.world.wasSent(id, form) {
		b.world.record.breaks("backend=%s got id=%q as %q, and no client sent that", b.name, id, form)
		io.WriteString(conn, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	how := b.behave(r)
	b.execute(r, id)
	time.Sleep(how.work)
	if how.resetAfter {
		b.world.record.note("backend=%s resets the connection under id=%s, which has run", b.name, id)
		reset(conn)
		return false
	}
	if how.give != nil {
		how.give(conn, id)
		return false
	}
	b.answer(conn, in, id, how.again)
	return true
}

// execute runs a request, unless it is a repeat that its group knows.
func (b *backend) execute(r *http.Request, id string) {
	key := r.Header.Get("Idempotency-Key")
	if key != "" && b.group.isRepeat(key) {
		b.world.record.note("backend=%s group=%d drops the repeat of key=%s id=%s", b.name, b.group.number, key, id)
		return
	}
	b.world.record.note("backend=%s group=%d runs id=%s key=%s %s %s", b.name, b.group.number, id, key, r.Method, r.URL.Path)
	b.world.noteRun(run{at: b.world.record.seconds(), id: id, method: r.Method, key: key, backend: b.name, group: b.group.number})
}

// answer sends the answer made for a request, and again after a while where that is above 0.
func (b *backend) answer(conn net.Conn, in *bufio.Reader, id string, again time.Duration) {
	body := fmt.Sprintf("done id=%s by=%s ", id, b.name)
	whole := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	b.world.record.note("backend=%s answers id=%s", b.name, id)
	conn.Write(whole)
	if again > 0 && nothingComes(conn, in, again) {
		b.world.record.note("backend=%s answers id=%s a second time", b.name, id)
		conn.Write(whole)
	}
}

// nothingComes waits and reports whether nothing has come on a connection meanwhile.
func nothingComes(conn net.Conn, in *bufio.Reader, within time.Duration) bool {
	conn.SetReadDeadline(time.Now().Add(within))
	defer conn.SetReadDeadline(time.Time{})
	_, err := in.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// This file is the stand-in for clients: each sends one request at a time on a connection of its own.

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const longestBody = 40 * time.Second // for the rest of an answer, of which the first bytes are timed

var lastID atomic.Int64

// request is one try of a client.
type request struct {
	id, verb, method, key string
	deadline              float64 // seconds
	body                  []byte
}

// newRequest returns a request of that verb with a new id, and with a key if it is a keyed one.
func newRequest(verb, effect string, deadline float64, bodyBytes int) request {
	id := fmt.Sprintf("%016x", 0x1b1f03aa5c000000+lastID.Add(1))
	r := request{id: id, verb: verb, method: "POST", deadline: deadline, body: []byte(strings.Repeat("o", bodyBytes))}
	switch effect {
	case "idempotent":
		r.method, r.body = "GET", nil
	case "deduplicated":
		r.key = "5c0f6e1a2b3d4c59" + id
	}
	return r
}

// target returns the path and query.
func (r request) target() string { return "/" + r.verb + "/7?of=" + r.id }

// text returns the request as it is sent.
func (r request) text() string {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: app.svc\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Owner: tbilisi-schools\r\n"+
		"Req-Deadline: %.3f\r\n", r.method, r.target(), r.id, r.verb, r.deadline)
	if r.key != "" {
		head += "Idempotency-Key: " + r.key + "\r\n"
	}
	if r.method == "POST" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	return head + "\r\n" + string(r.body)
}

// clientConn is a client's connection.
type clientConn struct {
	world *world
	conn  net.Conn
	in    *bufio.Reader

	readRate int // bytes of an answer that it reads in a second, 0 for no limit
}

// connect opens a connection to a proxy.
func connect(w *world, address string) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{world: w, conn: conn, in: bufio.NewReader(conn)}, nil
}

// answer is what a client got: status 0 means that there was no whole answer.
type answer struct {
	id      string
	status  int
	body    string
	err     error
	seconds float64
}

// do sends a request and waits for its answer until a second past its time.
func (c *clientConn) do(r request) answer {
	c.world.noteSent(r.id, formOf(r.method, r.target(), len(r.body)))
	c.world.record.note("client sends id=%s key=%s %s %s with %d bytes, deadline %.3f", r.id, r.key, r.method, r.verb, len(r.body),
		r.deadline)
	began := time.Now()
	c.conn.SetDeadline(began.Add(time.Duration((r.deadline + 1) * float64(time.Second))))
	var a answer
	if _, a.err = io.WriteString(c.conn, r.text()); a.err == nil {
		a = c.read()
	}
	a.id, a.seconds = r.id, time.Since(began).Seconds()
	c.world.record.note("client has for id=%s status=%d body=%q error=%v after %.3f s", r.id, a.status, short(a.body), a.err, a.seconds)
	return a
}

// short cuts a text for the record.
func short(text string) string { return text[:min(len(text), 60)] }

// read reads one answer.
func (c *clientConn) read() (a answer) {
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		a.err = err
		return a
	}
	c.conn.SetReadDeadline(time.Now().Add(longestBody))
	body, err := io.ReadAll(&pacedReader{response.Body, c.readRate})
	if a.err = err; err == nil {
		a.status, a.body = response.StatusCode, string(body)
	}
	return a
}

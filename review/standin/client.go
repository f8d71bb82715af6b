// This file is the stand-in for clients. A client writes one request on a connection and reads its answer.

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// outcome is what a client saw of its request.
type outcome struct {
	written time.Time // when the last byte of the request was written, zero if it could not be
	status  int       // 0 without a whole answer
	body    string
	closes  bool // the answer ends its connection
	err     error
}

// requestHead returns the head of a request.
func requestHead(method, verb, id string, seconds float64, length int) string {
	head := fmt.Sprintf("%s /%s/7 HTTP/1.1\r\nHost: app.svc\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Owner: tbilisi-schools\r\n"+
		"Req-Deadline: %.3f\r\n", method, verb, id, verb, seconds)
	if verb == "place-order" {
		head += "Idempotency-Key: key-" + id + "\r\n"
	}
	if method == "POST" {
		head += fmt.Sprintf("Content-Length: %d\r\n", length)
	}
	return head + "\r\n"
}

// exchange sends a request on a connection of its own and waits for the answer, for as long as a client waits and a second
// more.
func exchange(address, method, verb, id string, seconds float64, body string) (o outcome) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return outcome{err: err}
	}
	defer conn.Close()
	return exchangeOn(conn, method, verb, id, seconds, body)
}

// exchangeOn is like exchange on an open connection.
func exchangeOn(conn net.Conn, method, verb, id string, seconds float64, body string) (o outcome) {
	if _, o.err = io.WriteString(conn, requestHead(method, verb, id, seconds, len(body))+body); o.err != nil {
		return o
	}
	o.written = time.Now()
	conn.SetReadDeadline(o.written.Add(time.Duration((seconds + 1) * float64(time.Second))))
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		o.err = err
		return o
	}
	text, err := io.ReadAll(answer.Body)
	if o.err = err; err == nil {
		o.status, o.body, o.closes = answer.StatusCode, strings.TrimSpace(string(text)), answer.Close
	}
	return o
}

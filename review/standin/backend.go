// This file is the stand-in for backends. Each reads one request after another on a connection, as the protocol page says,
// and leaves the answer to the case.

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// backendRequest is a request whose last byte has come.
type backendRequest struct {
	conn    net.Conn
	backend string
	id      string
	verb    string
	body    []byte
	closed  <-chan struct{} // closed once the proxy has closed the connection
}

// answerFunc answers a request and reports whether the connection may carry another.
type answerFunc func(r backendRequest) bool

// startBackends starts n backends on free ports, in groups of four, and returns their entries for discovery.
func startBackends(n int, answer answerFunc) ([]endpoint, error) {
	var list []endpoint
	for i := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		name := fmt.Sprintf("s-%d", i+1)
		list = append(list, endpoint{Name: name, Address: listener.Addr().String(), Zone: "didube-store", Type: "front-mid",
			Group: i / 4, Status: "ready", Weight: 1})
		go acceptBackendConns(listener, name, answer)
	}
	return list, nil
}

// acceptBackendConns serves the connections of one backend.
func acceptBackendConns(listener net.Listener, name string, answer answerFunc) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serveBackendConn(conn, name, answer)
	}
}

// serveBackendConn reads requests until the connection ends. After a request has been read, another goroutine waits for the
// next one, so that the end of the connection is seen at once.
func serveBackendConn(conn net.Conn, name string, answer answerFunc) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		closed, next := make(chan struct{}), make(chan error, 1)
		go func() {
			_, err := reader.Peek(1)
			if err != nil {
				close(closed)
			}
			next <- err
		}()
		if !answer(backendRequest{conn, name, request.Header.Get("Req-Id"), request.Header.Get("Req-Kind"), body, closed}) {
			return
		}
		if <-next != nil {
			return
		}
	}
}

// work waits for the time that a request takes and reports whether the proxy still waits for the answer.
func (r backendRequest) work(duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-r.closed:
		return false
	}
}

// answerWhole writes an answer with a length.
func (r backendRequest) answerWhole(body string) bool {
	_, err := fmt.Fprintf(r.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

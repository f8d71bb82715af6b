package standin

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"strconv"
)

// Backend answers each call at once. One with a next caller first makes a call of its own and answers when that is answered.
type Backend struct {
	listener net.Listener
	next     func() (NestedCaller, error)
}

// NestedCaller makes the call that a backend sends for each call that it receives.
type NestedCaller interface {
	Call() error
	Close()
}

var (
	okResponse    = []byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	errorResponse = []byte("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
	contentLength = []byte("content-length:")
)

// NewBackend listens on an address and serves until it is closed. For each incoming connection, next opens the connection
// that its nested calls use. Without nested calls next is nil.
func NewBackend(address string, next func() (NestedCaller, error)) (*Backend, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	b := &Backend{listener: l, next: next}
	go b.accept()
	return b, nil
}

// Address returns the address that it listens on.
func (b *Backend) Address() string { return b.listener.Addr().String() }

// Close stops accepting connections. Open connections stay until the other end closes them.
func (b *Backend) Close() { b.listener.Close() }

// accept serves each incoming connection in a goroutine.
func (b *Backend) accept() {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.serve(c)
	}
}

// serve answers the calls of one connection, one after another.
func (b *Backend) serve(c net.Conn) {
	defer c.Close()
	var nested NestedCaller
	if b.next != nil {
		var err error
		if nested, err = b.next(); err != nil {
			return
		}
		defer nested.Close()
	}
	in := bufio.NewReaderSize(c, 8<<10)
	for {
		if readCall(in) != nil {
			return
		}
		text := okResponse
		if nested != nil && nested.Call() != nil {
			text = errorResponse
		}
		if _, err := c.Write(text); err != nil {
			return
		}
	}
}

// readCall reads one call and discards it.
func readCall(in *bufio.Reader) error {
	length := int64(0)
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			break
		}
		if len(line) > len(contentLength) && bytes.EqualFold(line[:len(contentLength)], contentLength) {
			if length, err = strconv.ParseInt(string(bytes.TrimSpace(line[len(contentLength):])), 10, 64); err != nil {
				return err
			}
		}
	}
	_, err := io.CopyN(io.Discard, in, length)
	return err
}

package standin

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"strconv"
)

// Backend answers each call at once; one with Next makes a call of its own first, and answers when that is answered.
type Backend struct {
	listener net.Listener
	next     func() (NestedCaller, error)
}

// Nested is the call that a backend makes for each call that it gets.
type NestedCaller interface {
	Once() error
	Close()
}

var (
	answer        = []byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	failure       = []byte("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
	contentLength = []byte("content-length:")
)

// NewBackend serves at an address until it is closed. next, which may be nil, opens the connection that the calls of one
// incoming connection go on over.
func NewBackend(address string, next func() (NestedCaller, error)) (*Backend, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	b := &Backend{listener: l, next: next}
	go b.accept()
	return b, nil
}

// Address is where it listens.
func (b *Backend) Address() string { return b.listener.Addr().String() }

// Close ends it; connections end with their other ends.
func (b *Backend) Close() { b.listener.Close() }

func (b *Backend) accept() {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.serve(c)
	}
}

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
		if skipCall(in) != nil {
			return
		}
		text := answer
		if nested != nil && nested.Once() != nil {
			text = failure
		}
		if _, err := c.Write(text); err != nil {
			return
		}
	}
}

// skipCall reads one call whole.
func skipCall(in *bufio.Reader) error {
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

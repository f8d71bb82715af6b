// Package meter counts what goes over sockets and what processes use.
package meter

import (
	"net"
	"sync/atomic"
)

// Traffic is what an end has read and written since it was opened.
type Traffic struct {
	BytesIn     int64 `json:"bytes_in"`
	BytesOut    int64 `json:"bytes_out"`
	MessagesIn  int64 `json:"messages_in"`
	MessagesOut int64 `json:"messages_out"`
}

// Minus is the traffic since an earlier look.
func (t Traffic) Minus(before Traffic) Traffic {
	return Traffic{t.BytesIn - before.BytesIn, t.BytesOut - before.BytesOut, t.MessagesIn - before.MessagesIn,
		t.MessagesOut - before.MessagesOut}
}

// Plus is the traffic of both.
func (t Traffic) Plus(other Traffic) Traffic {
	return Traffic{t.BytesIn + other.BytesIn, t.BytesOut + other.BytesOut, t.MessagesIn + other.MessagesIn,
		t.MessagesOut + other.MessagesOut}
}

// Flipped is the same as the other end sees it.
func (t Traffic) Reversed() Traffic {
	return Traffic{t.BytesOut, t.BytesIn, t.MessagesOut, t.MessagesIn}
}

// Counter counts the traffic of some connections; it may be used from any goroutine.
type Counter struct {
	bytesIn, bytesOut, messagesIn, messagesOut atomic.Int64
}

// In counts what was read.
func (c *Counter) AddRead(bytes, messages int) {
	c.bytesIn.Add(int64(bytes))
	c.messagesIn.Add(int64(messages))
}

// Out counts what was written.
func (c *Counter) AddWritten(bytes, messages int) {
	c.bytesOut.Add(int64(bytes))
	c.messagesOut.Add(int64(messages))
}

// Traffic is what was counted so far.
func (c *Counter) Traffic() Traffic {
	return Traffic{c.bytesIn.Load(), c.bytesOut.Load(), c.messagesIn.Load(), c.messagesOut.Load()}
}

// Conn counts the bytes of a connection; whole messages are for its owner to count.
type Conn struct {
	net.Conn
	Counter *Counter
}

func (c *Conn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	c.Counter.AddRead(n, 0)
	return n, err
}

func (c *Conn) Write(from []byte) (int, error) {
	n, err := c.Conn.Write(from)
	c.Counter.AddWritten(n, 0)
	return n, err
}

// Listener accepts counted connections.
type Listener struct {
	net.Listener
	Counter *Counter
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{c, l.Counter}, nil
}

// Package meter measures the traffic of sockets and the processor time and memory of processes.
package meter

import (
	"net"
	"sync/atomic"
)

// Traffic is the bytes and messages that one end has read and written since it was opened.
type Traffic struct {
	BytesIn     int64 `json:"bytes_in"`
	BytesOut    int64 `json:"bytes_out"`
	MessagesIn  int64 `json:"messages_in"`
	MessagesOut int64 `json:"messages_out"`
}

// Minus returns the traffic since an earlier reading.
func (t Traffic) Minus(before Traffic) Traffic {
	return Traffic{t.BytesIn - before.BytesIn, t.BytesOut - before.BytesOut, t.MessagesIn - before.MessagesIn,
		t.MessagesOut - before.MessagesOut}
}

// Plus returns the sum of both.
func (t Traffic) Plus(other Traffic) Traffic {
	return Traffic{t.BytesIn + other.BytesIn, t.BytesOut + other.BytesOut, t.MessagesIn + other.MessagesIn,
		t.MessagesOut + other.MessagesOut}
}

// Reversed returns the same traffic as the other end sees it.
func (t Traffic) Reversed() Traffic {
	return Traffic{t.BytesOut, t.BytesIn, t.MessagesOut, t.MessagesIn}
}

// Counter counts the traffic of a set of connections. It is safe for concurrent use.
type Counter struct {
	bytesIn, bytesOut, messagesIn, messagesOut atomic.Int64
}

// AddRead adds bytes and messages that were read.
func (c *Counter) AddRead(bytes, messages int) {
	c.bytesIn.Add(int64(bytes))
	c.messagesIn.Add(int64(messages))
}

// AddWritten adds bytes and messages that were written.
func (c *Counter) AddWritten(bytes, messages int) {
	c.bytesOut.Add(int64(bytes))
	c.messagesOut.Add(int64(messages))
}

// Traffic returns the totals so far.
func (c *Counter) Traffic() Traffic {
	return Traffic{c.bytesIn.Load(), c.bytesOut.Load(), c.messagesIn.Load(), c.messagesOut.Load()}
}

// Conn counts the bytes of a connection. Messages are counted by its user.
type Conn struct {
	net.Conn
	Counter *Counter
}

// Read reads from the connection and counts the bytes.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.Counter.AddRead(n, 0)
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.Counter.AddWritten(n, 0)
	return n, err
}

// Listener counts the bytes of all connections that it accepts.
type Listener struct {
	net.Listener
	Counter *Counter
}

// Accept waits for the next connection and wraps it in a Conn.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{c, l.Counter}, nil
}

package controlserver

import (
	"net"
	"sync"
)

// limitListener is a listener that limits the number of open connections. Accept waits while the limit is reached.
type limitListener struct {
	net.Listener
	slots chan struct{}
}

// newLimitListener wraps a listener to allow at most the given number of open connections.
func newLimitListener(listener net.Listener, limit int) net.Listener {
	return &limitListener{listener, make(chan struct{}, limit)}
}

// Accept waits until the number of open connections is below the limit, then accepts a connection. If the listener is
// closed while Accept waits at the limit, Accept returns only after a connection is closed.
func (l *limitListener) Accept() (net.Conn, error) {
	l.slots <- struct{}{}
	connection, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitConn{Conn: connection, slots: l.slots}, nil
}

// limitConn is a connection that releases its slot once when it is closed.
type limitConn struct {
	net.Conn
	slots chan struct{}
	once  sync.Once
}

// Close closes the connection. Further calls release no other slot.
func (c *limitConn) Close() error {
	c.once.Do(func() { <-c.slots })
	return c.Conn.Close()
}

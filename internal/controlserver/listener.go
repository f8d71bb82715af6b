package controlserver

import (
	"net"
	"sync"
)

// boundedListener accepts a connection only while there are fewer than a number of them open.
type boundedListener struct {
	net.Listener
	places chan struct{}
}

func boundListener(listener net.Listener, most int) net.Listener {
	return &boundedListener{listener, make(chan struct{}, most)}
}

// Accept waits for a place. After the listener was closed a connection that ends makes it return.
func (l *boundedListener) Accept() (net.Conn, error) {
	l.places <- struct{}{}
	connection, err := l.Listener.Accept()
	if err != nil {
		<-l.places
		return nil, err
	}
	return &placedConn{Conn: connection, places: l.places}, nil
}

// placedConn gives its place back when it is closed.
type placedConn struct {
	net.Conn
	places chan struct{}
	once   sync.Once
}

func (c *placedConn) Close() error {
	c.once.Do(func() { <-c.places })
	return c.Conn.Close()
}

package watch

import (
	"sandpass/internal/loop"
)

// schedulePreferred plans the next connection attempt to the preferred server, as long as another server is in use.
func (c *Client) schedulePreferred() {
	c.preferredTimer.Stop()
	c.closePreferred()
	if c.serverIndex != 0 {
		c.preferredTimer = c.loop.After(c.preferredDelay*(0.5+c.config.Random()), c.tryPreferred)
	}
}

// tryPreferred opens a connection to the preferred server. The client switches only once that connection is up, so a preferred
// server that is still unreachable costs nothing.
func (c *Client) tryPreferred() {
	conn, err := c.loop.Dial(c.config.Servers[0], preferredHandler{c}, c.config.MaxObjectBytes)
	if err != nil {
		c.preferredFailed()
		return
	}
	c.preferredConn = conn
	c.preferredTimer = c.loop.After(preferredConnectTimeout, c.preferredFailed)
}

// preferredFailed stays with the current server and doubles the delay before the next attempt.
func (c *Client) preferredFailed() {
	c.preferredDelay = min(preferredDelayMax, 2*c.preferredDelay)
	c.schedulePreferred()
}

// closePreferred ends a connection attempt to the preferred server.
func (c *Client) closePreferred() {
	if c.preferredConn != nil {
		c.preferredConn.Close()
		c.preferredConn = nil
	}
}

// preferredHandler receives the events of the connection attempt to the preferred server.
type preferredHandler struct{ *Client }

// OnConnect switches to the preferred server, which accepts connections again.
func (p preferredHandler) OnConnect(*loop.Conn) {
	p.Close()
	// The delay is doubled, so that a connection that is lost soon is not followed by frequent attempts.
	p.serverIndex, p.preferredDelay = 0, min(preferredDelayMax, 2*p.preferredDelay)
	p.Open()
}

func (p preferredHandler) OnDisconnect(*loop.Conn, error) { p.preferredFailed() }
func (p preferredHandler) OnData(*loop.Conn)              {}
func (p preferredHandler) OnFlushed(*loop.Conn)           {}

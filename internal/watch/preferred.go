package watch

import (
	"sandpass/internal/loop"
)

// planReturn has the preferred server tried after a while, as long as another one is asked.
func (c *Client) planReturn() {
	c.back.Stop()
	c.endTrial()
	if c.server != 0 {
		c.back = c.loop.After(c.backWait*(0.5+c.config.Random()), c.tryPreferred)
	}
}

// tryPreferred opens a connection to the preferred server. The present one is left only once that is up, so that a server
// that is still away costs nothing.
func (c *Client) tryPreferred() {
	trial, err := c.loop.Dial(c.config.Servers[0], preferred{c}, c.config.MaxObjectBytes)
	if err != nil {
		c.stayAway()
		return
	}
	c.trial = trial
	c.back = c.loop.After(returnOpens, c.stayAway)
}

// stayAway goes on with the present server, and tries the preferred one less often.
func (c *Client) stayAway() {
	c.backWait = min(returnLast, 2*c.backWait)
	c.planReturn()
}

func (c *Client) endTrial() {
	if c.trial != nil {
		c.trial.Close()
		c.trial = nil
	}
}

// preferred is told how the trial goes.
type preferred struct{ *Client }

// Up leaves the present server for the preferred one, which takes connections.
func (p preferred) OnConnect(*loop.Conn) {
	p.Close()
	p.server, p.backWait = 0, min(returnLast, 2*p.backWait) // one that is lost soon is not tried as soon again
	p.Open()
}

func (p preferred) OnDisconnect(*loop.Conn, error) { p.stayAway() }
func (p preferred) OnData(*loop.Conn)              {}
func (p preferred) OnFlushed(*loop.Conn)           {}

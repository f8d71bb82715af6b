// This file handles a stall of the process: stopped, without CPU time, or migrated. Data that arrived during the stall must not
// be treated as new, and pending updates must be read before any decision is made.

package proxy

import "log"

const minCountedAgeSeconds = 0.02 // shorter waits in the kernel are ignored, since the clock for them is coarse

// afterStall is called first when the process resumes. Updates from discovery are read before any request, so that nothing new
// goes to a draining backend. Peer messages may be as old as the stall and are dropped. The Balancer is informed that open
// relays are late through no fault of the backends.
func (p *Proxy) afterStall(seconds float64) {
	now, dropped := p.loop.Now(), 0
	p.watch.ReadPending()
	if p.peers.socket != nil {
		dropped = p.peers.socket.DiscardPending()
	}
	p.balancer.Stalled(now)
	if len(p.commands) > 0 || dropped > 0 {
		log.Printf("msg=stood_still seconds=%.3f open=%d notes_dropped=%d", seconds, len(p.commands), dropped)
	}
}

// queuedSeconds returns how long the data that is read now has been waiting in the kernel.
func (c *clientConn) queuedSeconds() float64 {
	if !c.p.loop.PollDelayed() {
		return 0
	}
	if age := c.conn.LastReceiveAge(); age > minCountedAgeSeconds {
		return age
	}
	return 0
}

// This file owns what a proxy does after a stall of its process: stopped, starved of its core, or moved. It must
// never let what came meanwhile be taken for new, nor act on what it knew before it has read what there is.
package proxy

import "log"

const ageFrom = 0.02 // seconds from which a command's wait with the kernel counts: the clock for it is coarse

// afterStall is called first when the process goes on. What discovery has sent meanwhile is read before any request, so that
// nothing new goes to a drained backend; peers' messages are as old as the stall and are dropped; and what is out is late
// by no backend's fault.
func (p *Proxy) afterStall(by float64) {
	now, dropped := p.loop.Now(), 0
	p.watch.ReadPending()
	if p.peers.socket != nil {
		dropped = p.peers.socket.DiscardPending()
	}
	p.balancer.Stalled(now)
	if len(p.commands) > 0 || dropped > 0 {
		log.Printf("msg=stood_still seconds=%.3f open=%d notes_dropped=%d", by, len(p.commands), dropped)
	}
}

// waited is for how long a command that is read now has been there already.
func (c *clientConn) waited() float64 {
	if !c.p.loop.PollDelayed() {
		return 0
	}
	if age := c.conn.LastReceiveAge(); age > ageFrom {
		return age
	}
	return 0
}

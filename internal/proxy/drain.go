// This file owns the drain that operators ask for and the way in which resting connections are shed. It must never end
// the process, close the listener, or close a connection on which something waits to be read.
package proxy

import (
	"log"
	"math"
)

const (
	drainNoticeSeconds = 0.4  // seconds until the front has seen the no (0.1) and sends nobody new (0.2), and some to spare
	drainSpread        = 1.6  // seconds after the call by which what rested is closed: each close may cross a command
	drainNewcomer      = 0.5  // seconds that a new connection has to say something meanwhile
	drainLastHead      = 2.0  // seconds after the call from which a command that is still coming is declined: it would be young at 4 s
	drainLast          = 3.0  // the same where some of it waits to be read
	shedEvery          = 0.05 // seconds between looks at what rests
)

// drain is what operators said of this proxy.
type drain struct {
	active    bool
	startedAt float64
}

// quiesce begins the drain; a second call changes nothing.
func (p *Proxy) startDrain() {
	if p.drain.active {
		return
	}
	p.drain = drain{true, p.loop.Now()}
	log.Printf("msg=drain open=%d clients=%d", len(p.commands), p.clients.count)
	p.drainOn(p.drain.startedAt)
}

// resume ends the drain.
func (p *Proxy) endDrain() {
	if p.drain.active {
		p.drain = drain{}
		log.Printf("msg=resume ready=%t clients=%d", p.ready(), p.clients.count)
	}
}

// drainOn closes what rests, as long as this drain lasts.
func (p *Proxy) drainOn(since float64) {
	if !p.drain.active || p.drain.startedAt != since {
		return
	}
	t := p.loop.Now() - since
	p.closeIdleGradually(t, drainNoticeSeconds, drainSpread)
	if t > drainLastHead {
		for e := p.clients.byState[stateSending].Front(); e != nil; {
			c := e.Value.(*clientConn)
			if e = e.Next(); t > drainLast || c.conn.IsIdle() {
				c.turnAway("this proxy is being drained\n")
			}
		}
	}
	p.loop.After(shedEvery, func() { p.drainOn(since) })
}

// closes tells whether answers end their connection now.
func (p *Proxy) closes() bool {
	return p.shutdown.closingConns || p.handover.successorServes || p.drain.active && p.loop.Now()-p.drain.startedAt >= drainNoticeSeconds
}

// shed closes a part of the connections that rest, so that all are closed by until; t is how far it is.
func (p *Proxy) closeIdleGradually(t, from, until float64) {
	if t < from {
		return
	}
	now, resting := p.loop.Now(), []*clientConn(nil)
	p.clients.each(func(c *clientConn) {
		if (c.state == stateIdle || c.state == stateSilent && now-c.since > drainNewcomer) && c.idle() {
			resting = append(resting, c)
		}
	})
	n := len(resting)
	if left := until - t; left > shedEvery {
		n = int(math.Ceil(float64(n) * shedEvery / left))
	}
	for _, c := range resting[:n] {
		c.close()
	}
}

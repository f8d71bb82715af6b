// This file implements the drain that operators request, and the gradual closing of idle connections. A drain never ends the
// process, closes the listener or closes a connection with unread data.

package proxy

import (
	"log"
	"math"
)

const (
	drainNoticeSeconds       = 0.4 // until readiness checks see 503 (0.1 s) and no new clients are sent (0.2 s), and a margin
	drainSpreadSeconds       = 1.6 // from the call until all idle connections are closed: each close may cross a command
	drainSilentSeconds       = 0.5 // for a new connection to send something meanwhile
	drainIncompleteSeconds   = 2.0 // after the call, incomplete commands are declined: accepted later, they would be too recent at 4 s
	drainUnreadSeconds       = 3.0 // the same for commands with unread data
	idleCloseIntervalSeconds = 0.05
)

// drain is the state of the drain that operators requested.
type drain struct {
	active    bool
	startedAt float64
}

// startDrain begins the drain. A second call changes nothing.
func (p *Proxy) startDrain() {
	if p.drain.active {
		return
	}
	p.drain = drain{true, p.loop.Now()}
	log.Printf("msg=drain open=%d clients=%d", len(p.commands), p.clients.count)
	p.stepDrain(p.drain.startedAt)
}

// endDrain ends the drain.
func (p *Proxy) endDrain() {
	if p.drain.active {
		p.drain = drain{}
		log.Printf("msg=resume ready=%t clients=%d", p.ready(), p.clients.count)
	}
}

// stepDrain closes idle connections and schedules itself again while this drain lasts.
func (p *Proxy) stepDrain(startedAt float64) {
	if !p.drain.active || p.drain.startedAt != startedAt {
		return
	}
	elapsed := p.loop.Now() - startedAt
	p.closeIdleGradually(elapsed, drainNoticeSeconds, drainSpreadSeconds)
	if elapsed > drainIncompleteSeconds {
		for e := p.clients.byState[stateSending].Front(); e != nil; {
			c := e.Value.(*clientConn)
			if e = e.Next(); elapsed > drainUnreadSeconds || c.conn.IsIdle() {
				c.declineAndClose("this proxy is being drained\n")
			}
		}
	}
	p.loop.After(idleCloseIntervalSeconds, func() { p.stepDrain(startedAt) })
}

// closesAfterAnswer reports whether a connection is closed after its next answer.
func (p *Proxy) closesAfterAnswer() bool {
	return p.shutdown.closingConns || p.handover.successorServes ||
		p.drain.active && p.loop.Now()-p.drain.startedAt >= drainNoticeSeconds
}

// closeIdleGradually closes a share of the idle connections, so that all are closed at until. elapsed, from and until are seconds
// since the start of the drain or handover.
func (p *Proxy) closeIdleGradually(elapsed, from, until float64) {
	if elapsed < from {
		return
	}
	now, idle := p.loop.Now(), []*clientConn(nil)
	p.clients.forEach(func(c *clientConn) {
		if (c.state == stateIdle || c.state == stateSilent && now-c.stateSince > drainSilentSeconds) && c.isIdle() {
			idle = append(idle, c)
		}
	})
	n := len(idle)
	if left := until - elapsed; left > idleCloseIntervalSeconds {
		n = int(math.Ceil(float64(n) * idleCloseIntervalSeconds / left))
	}
	for _, c := range idle[:n] {
		c.close(closedDrained)
	}
}

// This file implements the graceful shutdown: the steps of its plan, and when the loop may stop. The loop must not stop while a
// command can still arrive on a connection or an answer is not yet written to the kernel.

package proxy

import (
	"fmt"
	"log"

	"sandpass/internal/shutdown"
)

const pollIntervalSeconds = 0.02

// shutdownState is the progress of the graceful shutdown.
type shutdownState struct {
	active             bool
	closingConns       bool // each answer ends its connection, and idle connections are closed
	rejecting          bool // all open commands were ended; new ones are declined
	incompleteDeclined bool // incomplete commands were declined, too
	plan               shutdown.Plan
	startedAt          float64
	closedIdle         int // number of connections closed while idle
}

// beginShutdown begins the graceful shutdown: connections are accepted for a short time, then open commands are finished.
func (p *Proxy) beginShutdown() {
	s := &p.shutdown
	s.active, s.startedAt = true, p.loop.Now()
	s.plan = p.planShutdown()
	log.Printf("msg=ending open=%d clients=%d within=%.2f leave=%.2f", len(p.commands), p.clients.count,
		s.plan.AnswerOpen, s.plan.CloseIdle)
	p.stepShutdown()
}

// planShutdown plans the shutdown by the longest time limit of all verbs.
func (p *Proxy) planShutdown() shutdown.Plan {
	longest := 0.0
	for _, v := range p.names.Verbs {
		longest = max(longest, v.TimeLimit)
	}
	return shutdown.NewPlan(longest)
}

// updateShutdownPlan adapts the plan to changed verbs. The time of the kill may be based on the old verbs or the new, so the
// earlier times count.
func (p *Proxy) updateShutdownPlan() {
	if p.shutdown.active {
		p.shutdown.plan = p.shutdown.plan.Earliest(p.planShutdown())
	}
}

// stepShutdown takes the steps that are due and schedules itself again until the loop may stop.
func (p *Proxy) stepShutdown() {
	s := &p.shutdown
	elapsed := p.loop.Now() - s.startedAt
	if elapsed >= s.plan.StopAccepting {
		p.closeListener()
	}
	s.closingConns = s.closingConns || elapsed >= s.plan.CloseIdle
	if elapsed >= s.plan.AnswerOpen && !s.rejecting {
		s.rejecting = true
		p.terminateAll()
	}
	if elapsed >= s.plan.DeclineIncomplete && !s.incompleteDeclined {
		s.incompleteDeclined = true
		p.declineIncomplete()
	}
	p.closeIdleClients(elapsed)
	if p.canStop(elapsed) {
		log.Printf("msg=ended seconds=%.3f closed_at_rest=%d %s", elapsed, s.closedIdle, p.connectionCounts())
		p.loop.Stop()
		return
	}
	p.loop.After(pollIntervalSeconds, p.stepShutdown)
}

// closeListener accepts the connections left in the backlog, as room permits, and closes the listener. If a successor serves,
// the backlog is left to it.
func (p *Proxy) closeListener() {
	if p.handover.successorServes {
		p.listener.Release()
	} else {
		p.listener.DrainAndClose()
	}
}

// closeIdleClients closes idle connections. It is called repeatedly: a connection whose answer was still being sent the last
// time may be idle now, and a client may send a command on any connection that stays open.
func (p *Proxy) closeIdleClients(elapsed float64) {
	now := p.loop.Now()
	p.clients.forEach(func(c *clientConn) {
		silent := c.state == stateSilent
		if (silent || c.state == stateIdle) && p.shutdown.plan.MayClose(elapsed, silent, now-c.stateSince) && c.isIdle() {
			c.close(closedDrained)
			p.shutdown.closedIdle++
		}
	})
}

// declineIncomplete declines commands that are not completely received; they were not relayed.
func (p *Proxy) declineIncomplete() {
	p.clients.forEach(func(c *clientConn) {
		if c.state == stateSending {
			c.declineAndClose("this proxy has ended\n")
		}
	})
}

// canStop reports whether no client can send any more and all answers are sent. Connections that are answered but not yet
// closed by the client keep the process until the last step of the plan, but no longer.
func (p *Proxy) canStop(elapsed float64) bool {
	if !p.listener.Closed() || !p.shutdown.closingConns {
		return false
	}
	if p.clients.count == 0 {
		return true
	}
	// The last declines may still be on their way.
	if elapsed < p.shutdown.plan.DeclineIncomplete+pollIntervalSeconds ||
		p.clients.count > p.clients.byState[stateClosing].Len() {
		return false
	}
	unsent := false
	p.clients.forEach(func(c *clientConn) { unsent = unsent || c.conn.HasUnsent() })
	return !unsent
}

// connectionCounts formats the number of connections per state, and of those with unread or unsent data, for the log.
func (p *Proxy) connectionCounts() string {
	unread, unsent := 0, 0
	p.clients.forEach(func(c *clientConn) {
		if c.state != stateClosing && !c.conn.IsIdle() {
			unread++
		}
		if c.conn.HasUnsent() {
			unsent++
		}
	})
	byState := &p.clients.byState
	return fmt.Sprintf("closing=%d silent=%d sending=%d rested=%d busy=%d open=%d unread=%d unsent=%d",
		byState[stateClosing].Len(), byState[stateSilent].Len(), byState[stateSending].Len(), byState[stateIdle].Len(),
		byState[stateBusy].Len(), len(p.commands), unread, unsent)
}

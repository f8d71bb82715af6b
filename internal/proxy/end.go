// This file owns the planned end: what is done at each step of its plan, and when the loop may stop. It must never stop
// the loop by itself while a connection can still bring a command, or is owed an answer that the kernel has not got.
package proxy

import (
	"fmt"
	"log"

	"sandpass/internal/shutdown"
)

const pollIntervalSeconds = 0.02 // seconds between looks at whether the end has come

// end is where the planned end stands.
type shutdownState struct {
	active       bool
	closingConns bool // answers end their connection, and what rests is closed
	rejecting    bool // what is open has had its answer; what is read now is declined
	last         bool // and so is what is not whole
	plan         shutdown.Plan
	startedAt    float64
	closed       int // connections closed at rest
}

// beginEnd begins the planned end: connections are taken for a while yet, then what is open is finished.
func (p *Proxy) beginShutdown() {
	e := &p.shutdown
	e.active, e.startedAt = true, p.loop.Now()
	e.plan = p.planEnd()
	log.Printf("msg=ending open=%d clients=%d within=%.2f leave=%.2f", len(p.commands), p.clients.count, e.plan.AnswerOpen, e.plan.CloseIdle)
	p.endOn()
}

// planEnd plans by the verbs as they are.
func (p *Proxy) planEnd() shutdown.Plan {
	longest := 0.0
	for _, v := range p.names.Verbs {
		longest = max(longest, v.TimeLimit)
	}
	return shutdown.NewPlan(longest)
}

// replan heeds verbs that have changed on the way: the kill was announced by the old ones or the new.
func (p *Proxy) replan() {
	if p.shutdown.active {
		p.shutdown.plan = p.shutdown.plan.Earliest(p.planEnd())
	}
}

// endOn takes the steps that are due and looks again soon, until nothing is left.
func (p *Proxy) endOn() {
	e := &p.shutdown
	t := p.loop.Now() - e.startedAt
	if t >= e.plan.StopAccepting {
		p.closeDoor()
	}
	e.closingConns = e.closingConns || t >= e.plan.CloseIdle
	if t >= e.plan.AnswerOpen && !e.rejecting {
		e.rejecting = true
		p.terminateAll()
	}
	if t >= e.plan.DeclineIncomplete && !e.last {
		e.last = true
		p.declineUnread()
	}
	p.closeResting(t)
	if p.mayStop(t) {
		log.Printf("msg=ended seconds=%.3f closed_at_rest=%d %s", t, e.closed, p.census())
		p.loop.Stop()
		return
	}
	p.loop.After(pollIntervalSeconds, p.endOn)
}

// closeDoor takes the last connections, as soon as there is room for them. With a successor they are its own.
func (p *Proxy) closeDoor() {
	if p.handover.successorServes {
		p.listener.Release()
	} else {
		p.listener.DrainAndClose()
	}
}

// closeResting ends the connections on which nothing is under way. It is asked again and again: one whose answer was just
// leaving at the last look rests by now, and a client sends on any that stays open.
func (p *Proxy) closeResting(t float64) {
	now := p.loop.Now()
	p.clients.each(func(c *clientConn) {
		fresh := c.state == stateSilent
		if (fresh || c.state == stateIdle) && p.shutdown.plan.MayClose(t, fresh, now-c.since) && c.idle() {
			c.close()
			p.shutdown.closed++
		}
	})
}

// declineUnread ends what is still being sent: it has gone nowhere.
func (p *Proxy) declineUnread() {
	p.clients.each(func(c *clientConn) {
		if c.state == stateSending {
			c.turnAway("this proxy has ended\n")
		}
	})
}

// mayStop tells whether nobody can still send, and everybody has had an answer. What was answered and is not yet closed by
// the other side keeps the process to the last, and not beyond it.
func (p *Proxy) mayStop(t float64) bool {
	if !p.listener.Closed() || !p.shutdown.closingConns {
		return false
	}
	if p.clients.count == 0 {
		return true
	}
	if t < p.shutdown.plan.DeclineIncomplete+pollIntervalSeconds || p.clients.count > p.clients.byState[stateClosing].Len() { // what was declined last is on its way
		return false
	}
	unsent := false
	p.clients.each(func(c *clientConn) { unsent = unsent || c.conn.HasUnsent() })
	return !unsent
}

// census is what connections are open, by their state, and what of them was not read or not sent.
func (p *Proxy) census() string {
	unread, unsent := 0, 0
	p.clients.each(func(c *clientConn) {
		if c.state != stateClosing && !c.conn.IsIdle() {
			unread++
		}
		if c.conn.HasUnsent() {
			unsent++
		}
	})
	in := &p.clients.byState
	return fmt.Sprintf("closing=%d silent=%d sending=%d rested=%d busy=%d open=%d unread=%d unsent=%d", in[stateClosing].Len(),
		in[stateSilent].Len(), in[stateSending].Len(), in[stateIdle].Len(), in[stateBusy].Len(), len(p.commands), unread, unsent)
}

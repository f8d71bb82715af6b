// This file owns the planned end: what is done at each step of its plan, and when the loop may stop. It must never stop
// the loop by itself while a connection can still bring a command, or is owed an answer that the kernel has not got.
package proxy

import (
	"fmt"
	"log"

	"sandpass/internal/shutdown"
)

const soon = 0.02 // seconds between looks at whether the end has come

// end is where the planned end stands.
type end struct {
	on      bool
	leaving bool // answers end their connection, and what rests is closed
	over    bool // what is open has had its answer; what is read now is declined
	last    bool // and so is what is not whole
	plan    shutdown.Plan
	since   float64
	closed  int // connections closed at rest
}

// beginEnd begins the planned end: connections are taken for a while yet, then what is open is finished.
func (p *Proxy) beginEnd() {
	e := &p.end
	e.on, e.since = true, p.loop.Now()
	e.plan = p.planEnd()
	log.Printf("msg=ending open=%d clients=%d within=%.2f leave=%.2f", len(p.commands), p.clients.count, e.plan.End, e.plan.Leave)
	p.endOn()
}

// planEnd plans by the verbs as they are.
func (p *Proxy) planEnd() shutdown.Plan {
	longest := 0.0
	for _, v := range p.names.Verbs {
		longest = max(longest, v.TimeLimit)
	}
	return shutdown.For(longest)
}

// replan heeds verbs that have changed on the way: the kill was announced by the old ones or the new.
func (p *Proxy) replan() {
	if p.end.on {
		p.end.plan = p.end.plan.Sooner(p.planEnd())
	}
}

// endOn takes the steps that are due and looks again soon, until nothing is left.
func (p *Proxy) endOn() {
	e := &p.end
	t := p.loop.Now() - e.since
	if t >= e.plan.Door {
		p.closeDoor()
	}
	e.leaving = e.leaving || t >= e.plan.Leave
	if t >= e.plan.End && !e.over {
		e.over = true
		p.terminateAll()
	}
	if t >= e.plan.Last && !e.last {
		e.last = true
		p.declineUnread()
	}
	p.closeResting(t)
	if p.mayStop(t) {
		log.Printf("msg=ended seconds=%.3f closed_at_rest=%d %s", t, e.closed, p.census())
		p.loop.Stop()
		return
	}
	p.loop.After(soon, p.endOn)
}

// closeDoor takes the last connections, as soon as there is room for them. With a successor they are its own.
func (p *Proxy) closeDoor() {
	if p.handover.succeeded {
		p.listener.Leave()
	} else {
		p.listener.Close()
	}
}

// closeResting ends the connections on which nothing is under way. It is asked again and again: one whose answer was just
// leaving at the last look rests by now, and a client sends on any that stays open.
func (p *Proxy) closeResting(t float64) {
	now := p.loop.Now()
	p.clients.each(func(c *client) {
		fresh := c.state == silent
		if (fresh || c.state == rested) && p.end.plan.MayClose(t, fresh, now-c.since) && c.idle() {
			c.close()
			p.end.closed++
		}
	})
}

// declineUnread ends what is still being sent: it has gone nowhere.
func (p *Proxy) declineUnread() {
	p.clients.each(func(c *client) {
		if c.state == sending {
			c.turnAway("this proxy has ended\n")
		}
	})
}

// mayStop tells whether nobody can still send, and everybody has had an answer. What was answered and is not yet closed by
// the other side keeps the process to the last, and not beyond it.
func (p *Proxy) mayStop(t float64) bool {
	if !p.listener.Closed() || !p.end.leaving {
		return false
	}
	if p.clients.count == 0 {
		return true
	}
	if t < p.end.plan.Last+soon || p.clients.count > p.clients.in[closing].Len() { // what was declined last is on its way
		return false
	}
	unsent := false
	p.clients.each(func(c *client) { unsent = unsent || c.conn.Unsent() })
	return !unsent
}

// census is what connections are open, by their state, and what of them was not read or not sent.
func (p *Proxy) census() string {
	unread, unsent := 0, 0
	p.clients.each(func(c *client) {
		if c.state != closing && !c.conn.Quiet() {
			unread++
		}
		if c.conn.Unsent() {
			unsent++
		}
	})
	in := &p.clients.in
	return fmt.Sprintf("closing=%d silent=%d sending=%d rested=%d busy=%d open=%d unread=%d unsent=%d", in[closing].Len(),
		in[silent].Len(), in[sending].Len(), in[rested].Len(), in[busy].Len(), len(p.commands), unread, unsent)
}

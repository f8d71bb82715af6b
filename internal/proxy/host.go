// This file joins the Balancer to the sockets: it carries out what the Balancer asks of its Host. It must never call
// the Balancer from inside these methods; what is known at once is reported on the next turn.
package proxy

import (
	"io"

	"sandpass/balance"
)

// Relay sends a command to a backend.
func (p *Proxy) Relay(id uint64, to balance.BackendID) {
	cmd := p.commands[id]
	if cmd == nil {
		return
	}
	p.relays++
	r := &relay{cmd: cmd, n: len(cmd.relays), to: p.backends.byID[to], sent: p.loop.Now()}
	cmd.relays = append(cmd.relays, r)
	cmd.out++
	if cmd.from == nil || cmd.fed || r.to == nil || r.to.state != balance.Ready {
		p.later(r, balance.Moot)
		return
	}
	if c := cmd.from; c.leftUnseen() {
		p.loop.Post(func() { c.Down(c.conn, io.EOF) }) // before the relay's end is told, which would begin another
		p.later(r, balance.Moot)
		return
	}
	p.start(r)
}

// Cancel gives up waiting for a relay by closing its connection.
func (p *Proxy) Cancel(id uint64, n int) {
	cmd := p.commands[id]
	if cmd == nil || n >= len(cmd.relays) || cmd.relays[n].over {
		return
	}
	r := cmd.relays[n]
	r.link.close()
	p.later(r, balance.Cancelled)
}

// Decline ends a command with the promise that trying again is harmless.
func (p *Proxy) Decline(id uint64, comeBack float64) {
	if cmd := p.commands[id]; cmd != nil {
		p.declined++
		p.give(cmd, 503, comeBack, nil)
		p.settled(cmd)
	}
}

// Terminate ends a command without any promise.
func (p *Proxy) Terminate(id uint64) {
	if cmd := p.commands[id]; cmd != nil {
		p.terminated++
		p.give(cmd, 502, 0, nil)
		p.settled(cmd)
	}
}

// settled forgets an ended command once the Balancer has asked for all it wants of it.
func (p *Proxy) settled(cmd *command) {
	p.loop.Post(func() { p.forget(cmd) })
}

// WakeAfter asks for a Wake.
func (p *Proxy) WakeAfter(seconds float64, token uint64) {
	if p.wake == nil {
		p.wake = func(token uint64) { p.balancer.Wake(p.loop.Now(), token) } // made once, not for each command
	}
	p.loop.Wake(seconds, p.wake, token)
}

// Watch has nothing to do: the watch on the list is kept up from the start, since the agent that answers it is on
// the proxy's own machine.
func (p *Proxy) Watch() {}

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
	p.relayCount++
	r := &relay{cmd: cmd, index: len(cmd.relays), backend: p.backends.byID[to], sentAt: p.loop.Now()}
	cmd.relays = append(cmd.relays, r)
	cmd.openRelays++
	if cmd.client == nil || cmd.streamed || r.backend == nil || r.backend.state != balance.Ready {
		p.reportNextTurn(r, balance.NotSent)
		return
	}
	if c := cmd.client; c.disconnectPending() {
		p.loop.Post(func() { c.OnDisconnect(c.conn, io.EOF) }) // before the relay's end is told, which would begin another
		p.reportNextTurn(r, balance.NotSent)
		return
	}
	p.sendRelay(r)
}

// Cancel gives up waiting for a relay by closing its connection.
func (p *Proxy) Cancel(id uint64, n int) {
	cmd := p.commands[id]
	if cmd == nil || n >= len(cmd.relays) || cmd.relays[n].ended {
		return
	}
	r := cmd.relays[n]
	r.conn.close()
	p.reportNextTurn(r, balance.Cancelled)
}

// Decline ends a command with the promise that trying again is harmless.
func (p *Proxy) Decline(id uint64, comeBack float64) {
	if cmd := p.commands[id]; cmd != nil {
		p.declinedCount++
		p.answerClient(cmd, 503, comeBack, nil)
		p.forgetLater(cmd)
	}
}

// Terminate ends a command without any promise.
func (p *Proxy) Terminate(id uint64) {
	if cmd := p.commands[id]; cmd != nil {
		p.terminatedCount++
		p.answerClient(cmd, 502, 0, nil)
		p.forgetLater(cmd)
	}
}

// settled forgets an ended command once the Balancer has asked for all it wants of it.
func (p *Proxy) forgetLater(cmd *command) {
	p.loop.Post(func() { p.removeIfFinished(cmd) })
}

// WakeAfter asks for a Wake.
func (p *Proxy) StartTimer(seconds float64, token uint64) {
	if p.wake == nil {
		p.wake = func(token uint64) { p.balancer.TimerFired(p.loop.Now(), token) } // made once, not for each command
	}
	p.loop.AfterToken(seconds, p.wake, token)
}

// Watch has nothing to do: the watch on the list is kept up from the start, since the agent that answers it is on
// the proxy's own machine.
func (p *Proxy) WatchBackends() {}

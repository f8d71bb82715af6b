// This file implements balance.Host: the Balancer's decisions are carried out on the sockets. These methods must not call
// the Balancer; a result that is known at once is reported in the next iteration of the loop.

package proxy

import (
	"io"

	"sandpass/balance"
)

// Relay sends a command to a backend. If it can no longer be sent, the relay is reported as not begun.
func (p *Proxy) Relay(id uint64, backendID balance.BackendID) {
	cmd := p.commands[id]
	if cmd == nil {
		return
	}
	p.relayCount++
	r := &relay{cmd: cmd, index: len(cmd.relays), backend: p.backends.byID[backendID], sentAt: p.loop.Now()}
	cmd.relays = append(cmd.relays, r)
	cmd.openRelays++
	if cmd.client == nil || cmd.streamed || r.backend == nil || r.backend.state != balance.Ready {
		p.reportNextIteration(r, balance.NotSent)
		return
	}
	if c := cmd.client; c.disconnectPending() {
		// Before the outcome is reported, since that would start another relay.
		p.loop.Post(func() { c.OnDisconnect(c.conn, io.EOF) })
		p.reportNextIteration(r, balance.NotSent)
		return
	}
	if cmd.client.conn.EndMayBeHidden() {
		p.reportNextIteration(r, balance.NotSent)
		return
	}
	p.sendRelay(r)
}

// Cancel gives up a relay and closes its connection.
func (p *Proxy) Cancel(id uint64, index int) {
	cmd := p.commands[id]
	if cmd == nil || index >= len(cmd.relays) || cmd.relays[index].ended {
		return
	}
	r := cmd.relays[index]
	r.conn.close()
	p.reportNextIteration(r, balance.Cancelled)
}

// CancelUndelivered gives up a relay whose request the backend's machine has not acknowledged whole, and resets its connection, so that
// the kernel does not send the rest. A connection that is not up yet is left to ConnectionOpened.
func (p *Proxy) CancelUndelivered(id uint64, index int) {
	cmd := p.commands[id]
	if cmd == nil || index >= len(cmd.relays) {
		return
	}
	r := cmd.relays[index]
	if r.ended || r.conn == nil || !r.conn.connected || !r.conn.conn.HasUnacknowledged() {
		return
	}
	p.events.lateDeliveries++
	p.logEvent("msg=delivery_too_late command=%d id=%q relay=%d backend=%s unsent=%d", cmd.id, cmd.requestID, r.index, r.backendName(),
		r.conn.conn.UnsentBytes())
	r.conn.close()
	p.reportNextIteration(r, balance.Cancelled)
}

// Decline answers a command with 503: it has not run, so a retry is harmless. retryAfter is in seconds.
func (p *Proxy) Decline(id uint64, retryAfter float64) {
	if cmd := p.commands[id]; cmd != nil {
		p.declinedCount++
		p.logCommandEnd(cmd, 503, "declined by the balancer")
		p.answerClient(cmd, 503, retryAfter, nil)
		p.removeNextIteration(cmd)
	}
}

// Terminate answers a command with 502: it may have run.
func (p *Proxy) Terminate(id uint64) {
	if cmd := p.commands[id]; cmd != nil {
		p.terminatedCount++
		p.logCommandEnd(cmd, 502, "terminated by the balancer")
		p.answerClient(cmd, 502, 0, nil)
		p.removeNextIteration(cmd)
	}
}

// removeNextIteration removes an ended command in the next iteration, after the Balancer has made all its calls for it.
func (p *Proxy) removeNextIteration(cmd *command) {
	p.loop.Post(func() { p.removeIfFinished(cmd) })
}

// StartTimer schedules a timer event of the Balancer.
func (p *Proxy) StartTimer(seconds float64, token uint64) {
	if p.timerFired == nil {
		// Created once to avoid an allocation per command.
		p.timerFired = func(token uint64) {
			delete(p.balancerTimers, token)
			p.balancer.TimerFired(p.loop.Now(), token)
		}
	}
	p.balancerTimers[token] = p.loop.AfterToken(seconds, p.timerFired, token)
}

// StopTimer cancels a timer event of the Balancer.
func (p *Proxy) StopTimer(token uint64) {
	p.balancerTimers[token].Stop()
	delete(p.balancerTimers, token)
}

// WatchBackends does nothing: the proxy keeps its watch on the endpoint list open from the start, since the discovery agent is on
// the same machine.
func (p *Proxy) WatchBackends() {}

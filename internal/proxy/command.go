// This file has the open commands and their relays, and how each ends. The proxy never repeats a relay on its own: each relay
// ends in one outcome, which is reported to the Balancer.

package proxy

import (
	"log"

	"sandpass/balance"
	"sandpass/internal/loop"
)

// command is one that has not been answered yet, or that still has open relays.
type command struct {
	id           uint64
	requestID    string      // value of Req-Id, for the log
	key          requestKey  // of its Req-Id
	repeatable   bool        // it may run again
	grouped      bool        // its repeats are recognized only within a group of backends
	mayHaveRun   bool        // a relay has ended after which it may have run
	groupUnknown bool        // a relay was sent to a process that may be another than the listed one
	client       *clientConn // nil once the command is answered or the client is gone
	timeLimit    float64     // seconds
	deadline     float64     // the deadline, by the loop's clock
	timer        *loop.Timer
	relays       []*relay
	openRelays   int
	done         bool
	streamed     bool         // the request or an answer is being streamed, so no other backend can take the command
	answerConn   *backendConn // forwards the answer to client, nil if none does
}

// end marks the command as ended for its client, which has its final answer or is gone. An answer that is still being
// forwarded is not needed any more, and the rest of a body that is still being streamed will not come. Other relays that may
// not be cancelled stay open. The Balancer may be the caller.
func (cmd *command) end() {
	if bodyConn := cmd.client.bodyConn; bodyConn != nil {
		cmd.client.bodyConn = nil
		bodyConn.p.loop.Post(bodyConn.endIncompleteBody)
	}
	cmd.done, cmd.client = true, nil
	if bc := cmd.answerConn; bc != nil {
		cmd.answerConn = nil
		bc.discardAnswer()
	}
}

// relay is one attempt to run a command on a backend.
type relay struct {
	cmd              *command
	index            int
	backend          *backend
	conn             *backendConn // nil once the relay has ended
	sentAt           float64
	answerStartDelay float64 // seconds until a streamed answer began, 0 if none was
	ended            bool
}

// boundToGroup reports whether the command's next relay must reach the group of backends that drops repeats: an earlier one may
// have run, or may yet.
func (cmd *command) boundToGroup() bool {
	return cmd.grouped && (cmd.mayHaveRun || cmd.openRelays > 1)
}

// cancelUnwritten cancels the relays whose request is not fully delivered: a backend would start it for a client that
// is gone. This is allowed even where the settings forbid to cancel, since such a command has not run.
func (cmd *command) cancelUnwritten() {
	for _, r := range cmd.relays {
		if !r.ended && r.conn != nil && r.conn.connected && r.conn.conn.HasUnacknowledged() {
			r.conn.closeAndReport(balance.Cancelled)
		}
	}
}

// reportOutcome tells the Balancer how a relay ended. It must not be called from within a call of the Balancer.
func (p *Proxy) reportOutcome(r *relay, result balance.Result) {
	r.ended, r.conn = true, nil
	r.cmd.openRelays--
	p.logRelayEnd(r, result)
	r.cmd.mayHaveRun = r.cmd.mayHaveRun || !result.NeverRan()
	now := p.loop.Now()
	noLoad := balance.LoadReport{Active: -1, Waiting: -1, CPU: -1, Latency: -1}
	latency := now - r.sentAt
	if r.answerStartDelay > 0 {
		latency = r.answerStartDelay
	}
	p.balancer.RelayEnded(now, r.cmd.id, r.index, result, latency, r.cmd.done, noLoad)
	p.removeIfFinished(r.cmd)
}

// reportNextIteration reports the outcome in the next iteration of the loop.
func (p *Proxy) reportNextIteration(r *relay, result balance.Result) {
	r.ended, r.conn = true, nil
	p.loop.Post(func() { p.reportOutcome(r, result) })
}

// timeOutCommand ends the command's open relays at its time limit, and terminates the command if the Balancer has not
// ended it. An answer that is being streamed may take longer.
func (p *Proxy) timeOutCommand(cmd *command) {
	for _, r := range cmd.relays {
		if !r.ended && r.conn.answer == answerBuffered {
			r.conn.closeAndReport(r.conn.timeoutResult())
		}
	}
	if !cmd.done && cmd.answerConn == nil {
		log.Printf("msg=unanswered_at_limit command=%d relays=%d out=%d", cmd.id, len(cmd.relays), cmd.openRelays)
		p.terminate(cmd)
	}
}

// terminate ends a command without the Balancer's decision and informs the Balancer that no answer is needed any more.
func (p *Proxy) terminate(cmd *command) {
	p.terminatedCount++
	p.logCommandEnd(cmd, 502, "no answer in time, or the process stops")
	p.answerClient(cmd, 502, 0, nil)
	cmd.done = true
	p.balancer.ClientDisconnected(p.loop.Now(), cmd.id)
	p.removeIfFinished(cmd)
}

// terminateAll ends all open commands except those whose answer is being streamed: cutting these off would be this
// process's fault.
func (p *Proxy) terminateAll() {
	for _, cmd := range p.commands {
		if !cmd.done && cmd.answerConn == nil {
			p.terminate(cmd)
		}
	}
}

// removeIfFinished deletes a command that is answered and has no open relays.
func (p *Proxy) removeIfFinished(cmd *command) {
	if cmd.done && cmd.openRelays == 0 {
		cmd.timer.Stop()
		delete(p.commands, cmd.id)
		if p.openRequests[cmd.key] == cmd {
			delete(p.openRequests, cmd.key)
			p.rememberRequest(cmd)
		}
	}
}

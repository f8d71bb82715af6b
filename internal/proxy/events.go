// This file logs why commands and connections ended as they did: a line for each that did not go as usual, within a budget of lines,
// and counters in the summary. The log must not grow with what clients choose to send.

package proxy

import (
	"fmt"
	"log"
	"runtime/metrics"

	"sandpass/balance"
)

const (
	eventLinesPerSecond = 20.0
	eventBurstLines     = 100.0
	pressureLogSeconds  = 1.0 // between two lines about memory that is short
)

// closeReason says why the proxy closed a client's connection.
type closeReason int

const (
	closedByClient    closeReason = iota // the client closed or reset it
	closedAfterAnswer                    // the last answer was sent
	closedEvicted                        // to make room for another
	closedOverdue                        // it stayed in one state for too long
	closedDrained                        // idle during a drain, an upgrade or a shutdown
	closedIncomplete                     // its answer could not be completed
	closeReasonCount
)

// closeReasonNames are the reasons as the log has them.
var closeReasonNames = [closeReasonCount]string{"client", "answered", "evicted", "overdue", "drained", "incomplete"}

// stateNames are the states of client connections as the log has them.
var stateNames = [stateCount]string{"closing", "silent", "sending", "idle", "busy"}

// eventLog is the budget of lines, and what was counted since the last summary.
type eventLog struct {
	lines, refilledAt float64
	suppressed        int
	closed            [closeReasonCount]int
	relayResults      [balance.ResultCount]int
	idConflicts       int // Req-Ids that were open or may have run
	lateDeliveries    int // relays that did not arrive while their group remembered another one
	repeatsNotSent    int // repeats that might have reached a process outside their group
	bodiesNotTaken    int // bodies that a backend did not take in time
	sentAhead         int // commands declined since their client may have gone unseen
	pressureLoggedAt  float64
	peakBufferedBytes int
}

// logEvent logs a line if the budget allows it.
func (p *Proxy) logEvent(format string, args ...any) {
	e, now := &p.events, p.loop.Now()
	e.lines = min(eventBurstLines, e.lines+eventLinesPerSecond*(now-e.refilledAt))
	e.refilledAt = now
	if e.lines < 1 {
		e.suppressed++
		return
	}
	e.lines--
	log.Printf(format, args...)
}

// logRelayEnd counts how a relay ended, and logs one that was not answered.
func (p *Proxy) logRelayEnd(r *relay, result balance.Result) {
	p.events.relayResults[result]++
	if result != balance.Answered {
		p.logEvent("msg=relay_ended command=%d id=%q relay=%d backend=%s result=%s seconds=%.3f", r.cmd.id, r.cmd.requestID, r.index,
			r.backendName(), result, p.loop.Now()-r.sentAt)
	}
}

// backendName returns the name of the relay's backend for the log.
func (r *relay) backendName() string {
	if r.backend == nil {
		return "-"
	}
	return r.backend.name
}

// logCommandEnd logs a command that was not served, and why.
func (p *Proxy) logCommandEnd(cmd *command, status int, reason string) {
	p.logEvent("msg=command_ended command=%d id=%q status=%d reason=%q relays=%d left=%.3f", cmd.id, cmd.requestID, status, reason,
		len(cmd.relays), cmd.deadline-p.loop.Now())
}

// countClosed counts a closed client connection, and logs one that the proxy closed with something left to do.
func (p *Proxy) countClosed(c *clientConn, reason closeReason) {
	p.events.closed[reason]++
	if reason == closedEvicted || reason == closedOverdue || reason == closedIncomplete {
		p.logEvent("msg=client_closed reason=%s state=%s unread=%d unsent=%d", closeReasonNames[reason], stateNames[c.state],
			c.conn.UnreadBytes(), c.conn.UnsentBytes())
	}
}

// trackMemory notes the most bytes buffered, and logs when more than half of the limit is in use.
func (p *Proxy) trackMemory(now float64) {
	e, buffered := &p.events, p.loop.BufferedBytes()
	e.peakBufferedBytes = max(e.peakBufferedBytes, buffered)
	if !p.loop.MemoryShort() || now < e.pressureLoggedAt+pressureLogSeconds {
		return
	}
	e.pressureLoggedAt = now
	p.logEvent("msg=memory_short buffered_kb=%d of_kb=%d %s links=%d open=%d", buffered>>10, p.loop.MaxBufferBytes>>10,
		p.clientStates(), len(p.backends.conns), len(p.commands))
}

// clientStates formats the number of client connections in each state.
func (p *Proxy) clientStates() (text string) {
	for s, name := range stateNames {
		text += fmt.Sprintf("%s=%d ", name, p.clients.byState[s].Len())
	}
	return text[:len(text)-1]
}

// logSummary logs the counters since the last summary and resets them.
func (p *Proxy) logSummary() {
	metrics.Read(p.memorySample[:])
	log.Printf("msg=summary came=%d answered=%d declined=%d no_room=%d terminated=%d departed=%d bad=%d broken_off=%d "+
		"relays=%d open=%d clients=%d links=%d backends=%d left_out=%d told=%d heard=%d not_heard=%d memory_mb=%d",
		p.receivedCount, p.answeredCount, p.declinedCount, p.overLimitCount, p.terminatedCount, p.departedCount, p.invalidCount,
		p.brokenOffCount, p.relayCount, len(p.commands), p.clients.count, len(p.backends.conns), p.backends.readyCount,
		len(p.maintenance.Cordoned), p.peers.sent, p.peers.received, p.peers.invalid,
		p.memorySample[0].Value.Uint64()>>20)
	p.receivedCount, p.answeredCount, p.declinedCount, p.overLimitCount, p.terminatedCount, p.departedCount, p.invalidCount,
		p.brokenOffCount, p.relayCount = 0, 0, 0, 0, 0, 0, 0, 0, 0
	p.peers.sent, p.peers.received, p.peers.invalid = 0, 0, 0
	p.logReasons()
}

// logReasons logs the second line of the summary: why connections were closed, how relays ended, and what was refused.
func (p *Proxy) logReasons() {
	e := &p.events
	text := ""
	for i, n := range e.closed {
		text += fmt.Sprintf(" closed_%s=%d", closeReasonNames[i], n)
	}
	for i, n := range e.relayResults {
		text += fmt.Sprintf(" relays_%s=%d", balance.Result(i), n)
	}
	log.Printf("msg=reasons%s id_conflicts=%d repeats_not_sent=%d late_deliveries=%d bodies_not_taken=%d sent_ahead=%d peak_buffered_kb=%d timers=%d "+
		"suppressed=%d %s", text, e.idConflicts, e.repeatsNotSent, e.lateDeliveries, e.bodiesNotTaken, e.sentAhead, e.peakBufferedBytes>>10, p.loop.TimerCount(), e.suppressed,
		p.clientStates())
	*e = eventLog{lines: e.lines, refilledAt: e.refilledAt, pressureLoggedAt: e.pressureLoggedAt}
}

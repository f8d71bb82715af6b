// This file closes client connections that make room for others or that stay in one state for too long. A connection with unread
// data is never evicted: the data may be a command, which counts as accepted.

package proxy

import "math"

const (
	firstHeadTimeoutSeconds   = 2.35 // from connecting; a client may take 2 s, and must be answered or closed within 3 s
	headTimeoutSeconds        = 2.35 // for later heads, from the first byte
	unreadGraceSeconds        = 0.3  // extension if the connection has unread data
	writeStallSeconds         = 6.0  // without progress in writing an answer
	idleTimeoutSeconds        = 30.0 // between commands; a new connection is cheap
	minIdleSeconds            = 2.0  // before an idle connection may be evicted while many others will soon time out
	silentGraceSeconds        = 0.1  // in which a connection must send or close, before it may be evicted
	pressedSilentGraceSeconds = 0.02 // the same for a silent connection while the listener is under pressure
	backlogPressureSeconds    = 0.05 // the listener is under pressure once its backlog has been non-empty this long
	crowdDivisor              = 4    // more than quota/crowdDivisor connections that will soon time out are many
	maxEvictionChecks         = 8    // connections examined per state
)

// silentGrace returns the seconds in which a silent connection must send something before it may be evicted. It is short while
// connections wait to be accepted, because each may have sent a request whose time limit is running. A connection with
// unread data is never evicted.
func (p *Proxy) silentGrace() float64 {
	if p.listener != nil && p.listener.BacklogWait() > backlogPressureSeconds {
		return pressedSilentGraceSeconds
	}
	return silentGraceSeconds
}

// evictClient closes one connection to make room for another and reports whether it did. It tries connections that have
// had their last answer, then silent and slow ones, then the one that has been idle longest. While many closing, silent or
// slow connections will soon be closed anyway, an idle one is evicted only after minIdleSeconds, since regular clients reuse
// theirs. It is evicted then, because idle clients that sent one command and stay must not leave only a few places for others.
func (p *Proxy) evictClient() bool {
	now, evictable := p.loop.Now(), 0
	for s := stateClosing; s <= stateIdle; s++ {
		minAge := silentGraceSeconds
		if s == stateSilent {
			minAge = p.silentGrace()
		}
		if s < stateIdle {
			evictable += p.clients.byState[s].Len()
		} else if minAge = 0; evictable > p.clients.quota/crowdDivisor {
			minAge = minIdleSeconds
		}
		e := p.clients.byState[s].Front()
		for i := 0; e != nil && i < maxEvictionChecks; i, e = i+1, e.Next() {
			c := e.Value.(*clientConn)
			if now-c.stateSince > minAge && !c.conn.HasUnsent() && (c.conn.IsIdle() || s == stateClosing && c.conn.PeerClosed()) {
				c.close(closedEvicted)
				return true
			}
		}
	}
	return false
}

// sweepClients closes connections that have been in one state for too long. An open command has its own timer. A connection
// with unread data gets slightly longer, since that may complete a command.
func (p *Proxy) sweepClients(now float64) {
	for s, maxSeconds := range [stateCount]float64{stateClosing: math.Inf(1), stateSilent: firstHeadTimeoutSeconds,
		stateSending: headTimeoutSeconds, stateIdle: idleTimeoutSeconds, stateBusy: writeStallSeconds} {
		for e := p.clients.byState[s].Front(); e != nil; {
			c := e.Value.(*clientConn)
			e = e.Next()
			if c.cmd != nil || now < c.stateDeadline(maxSeconds) ||
				connState(s) != stateBusy && now < c.stateDeadline(maxSeconds)+unreadGraceSeconds && !c.conn.IsIdle() {
				continue
			}
			if connState(s) == stateSending {
				c.rejectInvalid(408, "the command did not come in time")
			} else {
				c.close(closedOverdue)
			}
		}
	}
}

// stateDeadline returns when the connection has been in its state for too long, given the state's limit in seconds. A body that
// arrives at the minimum rate and an answer of which some was taken extend it.
func (c *clientConn) stateDeadline(maxSeconds float64) float64 {
	switch {
	case c.state == stateBusy:
		return max(c.stateSince, c.conn.LastSentAt()) + maxSeconds
	case c.state == stateSending && c.headCompleteAt > 0:
		byRate := max(c.stateSince+maxSeconds, c.headCompleteAt+bodyGraceSeconds+
			float64(len(c.conn.Unconsumed()))/minBodyBytesPerSecond)
		return min(byRate, max(c.stateSince, c.receivedAt)+maxSeconds)
	}
	return c.stateSince + maxSeconds
}

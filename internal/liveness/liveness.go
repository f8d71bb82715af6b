// Package liveness decides when a watch, a long-lived streaming response, counts as dead, and after what backoff it is opened
// again.
//
// It does no I/O and reads no clock; all times are in seconds. Only a complete line proves that a watch is alive. A lost watch
// must be recovered within the time after which the updates missed count as received.
package liveness

const (
	// Missed updates count as received 6 s after the watch fell silent or discovery became reachable again. These must fit in:
	// the silence timeout, a backoff and one attempt that hangs; and an attempt that hangs, the longest backoff and another
	// attempt.
	heartbeatSeconds   = 2.0 // interval of the empty lines sent while nothing changes
	silenceSeconds     = 3.0 // time without a complete line after which the watch is dead: one and a half heartbeats
	openTimeoutSeconds = 2.0 // time limit for the connection and the response head; connections may take 1.5 s
	minBackoffSeconds  = 0.1 // first wait before a lost watch is reopened; it doubles, with jitter
	maxBackoffSeconds  = 1.3 // longest such wait: about one attempt a second, within the 6 s above
)

// Watch tracks one watch across its successive connections. The zero value is ready for use.
type Watch struct {
	Received    bool // a line was received since the start
	Lost        bool // no line was received since the last loss
	lossReason  string
	backoff     float64
	firstLineAt float64 // when the first line of this connection was received, 0 before
	deadAt      float64
}

// ConnectStarted notes that an attempt to open the watch began.
func (w *Watch) ConnectStarted(now float64) { w.firstLineAt, w.deadAt = 0, now+openTimeoutSeconds }

// HeadReceived notes that the response's head was received.
func (w *Watch) HeadReceived(now float64) { w.deadAt = now + silenceSeconds }

// LineReceived notes that a complete line was received, and reports whether it ends a loss.
func (w *Watch) LineReceived(now float64) (recovered bool) {
	if w.firstLineAt == 0 {
		w.firstLineAt = now
	}
	recovered = w.Lost
	w.Received, w.Lost, w.deadAt = true, false, now+silenceSeconds
	return recovered
}

// DeadAt returns from when on the watch counts as dead if nothing more is received.
func (w *Watch) DeadAt() float64 { return w.deadAt }

// IsDead reports whether the watch counts as dead.
func (w *Watch) IsDead(now float64) bool { return now > w.deadAt }

// ConnectionLost notes why a connection of the watch ended. It returns after what wait the next attempt is due, and whether
// the loss is new or its reason changed: while discovery stays unreachable, that is logged once. random is from 0 to 1 and
// gives the jitter. The backoff is reset only after a connection that lasted a heartbeat: a server that ends each response at
// once must not be asked ten times a second.
func (w *Watch) ConnectionLost(now float64, reason string, random float64) (wait float64, isNew bool) {
	if w.firstLineAt > 0 && now-w.firstLineAt >= heartbeatSeconds {
		w.backoff = 0
	}
	isNew = !w.Lost || reason != w.lossReason
	w.Lost, w.lossReason, w.firstLineAt = true, reason, 0
	w.backoff = min(maxBackoffSeconds, max(minBackoffSeconds, 2*w.backoff))
	return w.backoff * (0.5 + 0.5*random), isNew
}

// ResetBackoff forgets the backoff when another discovery server is used from now on.
func (w *Watch) ResetBackoff() { w.backoff = 0 }

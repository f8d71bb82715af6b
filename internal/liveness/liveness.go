// Package liveness says when a watch that should speak counts as dead, and after what wait it is opened again.
//
// It is free of I/O and of a clock of its own; all times are in seconds. It must never take anything but a whole line for a
// sign of life, nor let what was missed go beyond the time after which it counts as received.
package liveness

const (
	// What is missed counts as received 6 s after the watch fell silent, or discovery could be reached again: silence, a wait and
	// one opening that hangs must fit in, and so must an opening that hangs, the longest wait and another.
	heartbeat  = 2.0 // seconds between empty lines while nothing changes
	silence    = 3.0 // seconds without a whole line after which the watch is dead: a heartbeat and a half
	opensIn    = 2.0 // seconds in which it must be up and its head there: connections may come up 1.5 s late
	againFirst = 0.1 // seconds before a lost watch is opened again, doubling, with jitter
	againLast  = 1.3 // seconds, longest such wait: one call a second, and see above
)

// Watch is one watch, over all its openings. The zero value is ready for the first.
type Watch struct {
	Received bool // a line was had since the start
	Lost     bool // and none since the last loss
	why      string
	wait     float64
	lineAt   float64 // when this opening's first line came, 0 before
	deadAt   float64
}

// Opened says that an opening was begun.
func (w *Watch) ConnectStarted(now float64) { w.lineAt, w.deadAt = 0, now+opensIn }

// Head says that the answer's head has come.
func (w *Watch) HeadReceived(now float64) { w.deadAt = now + silence }

// Line says that a whole line has come, and tells whether it ends a loss.
func (w *Watch) LineReceived(now float64) (back bool) {
	if w.lineAt == 0 {
		w.lineAt = now
	}
	back = w.Lost
	w.Received, w.Lost, w.deadAt = true, false, now+silence
	return back
}

// DeadAt is from when on it counts as dead, if nothing comes.
func (w *Watch) DeadAt() float64 { return w.deadAt }

// Dead tells whether nothing is to be hoped for any more.
func (w *Watch) IsDead(now float64) bool { return now > w.deadAt }

// Ended says why an opening ended, and tells after what wait the next is due, and whether that is news: not again and again
// while discovery is away. Chance is from 0 to 1. The wait grows until an opening has lasted: an answer that ends at once is
// no reason to ask ten times a second.
func (w *Watch) ConnectionLost(now float64, why string, chance float64) (wait float64, news bool) {
	if w.lineAt > 0 && now-w.lineAt >= heartbeat {
		w.wait = 0
	}
	news = !w.Lost || why != w.why
	w.Lost, w.why, w.lineAt = true, why, 0
	w.wait = min(againLast, max(againFirst, 2*w.wait))
	return w.wait * (0.5 + 0.5*chance), news
}

// Anew says that another discovery is asked from now on: how the one before fared says nothing of it.
func (w *Watch) ResetBackoff() { w.wait = 0 }

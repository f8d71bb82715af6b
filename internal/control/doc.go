// Package control decides what a replica of the control plane does: the replicated state machine of revisions, what each
// proxy is sent, trials on few proxies first, and the consensus core.
//
// It is free of I/O, of clocks and of goroutines: time and messages are passed in, and what is to be saved and sent is
// handed out. internal/controlserver does that part.
package control

import "time"

const (
	// TickInterval is the time between two calls of Node.Tick.
	TickInterval = 100 * time.Millisecond
	// ConflictChangesMost is how many revisions a ConflictError tells.
	ConflictChangesMost = 8
	// ConflictKeysMost is how many key paths a ConflictError tells of one revision.
	ConflictKeysMost = 16
)

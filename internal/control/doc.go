// Package control decides what a replica of the control plane does: the replicated state machine of revisions, what each
// proxy is sent, trials on few proxies first, and the consensus core.
//
// It is free of I/O, of clocks and of goroutines: time and messages are passed in, and what is to be saved and sent is
// handed out. internal/controlserver does that part.
package control

import "time"

// TickInterval is the time between two calls of Node.Tick.
const TickInterval = 100 * time.Millisecond

// Limits of a command.
const (
	MaxCommandIDBytes = 200  // bytes of a command's ID
	MaxAuthorBytes    = 200  // bytes of an author
	MaxReasonBytes    = 2000 // bytes of a reason
	MaxCanaries       = 1000 // proxies that take a revision first
)

// Limits of the state.
const (
	// HistoryMost is how many revisions are kept beside those that are still needed: two and a half days of 810 changes.
	MaxHistoryRevisions = 2048
	// DocumentBytesMost bounds the documents of all revisions that are kept.
	MaxTotalDocumentBytes = 32 << 20
	// ScopesMost is how many scopes may have revisions.
	MaxScopes = 4096
	// UnreleasedMost is how many revisions of a scope may follow its last released one. They are kept, because canaries
	// hold them.
	MaxUnreleasedRevisions = 64
	// OutcomesMost is how many commands' outcomes are remembered against a second submission.
	MaxRememberedOutcomes = 4096
)

// Limits of a conflict's text.
const (
	MaxConflictChanges = 8  // revisions that a ConflictError tells
	MaxConflictKeys    = 16 // key paths that it tells of one revision
)

// Limits of what is computed once for many proxies.
const (
	mergedMost      = 16384    // checksums of merged configurations
	parsedBytesMost = 16 << 20 // of documents that are kept as trees, which take several times as much
	patchBytesMost  = 16 << 20 // of changes from one revision to another
)

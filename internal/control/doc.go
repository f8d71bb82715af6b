// Package control contains the decision logic of a control replica: the replicated state machine of configuration
// revisions, the updates that each proxy is sent, canary trials of new revisions, and the consensus core.
//
// The package does no I/O, reads no clock and starts no goroutines: the caller passes in times and messages, and receives
// what it has to save and send. Package controlserver is that caller.
package control

import "time"

// TickInterval is the interval at which Node.Tick must be called.
const TickInterval = 100 * time.Millisecond

// Limits of a command.
const (
	MaxCommandIDBytes = 200  // length of a command's ID
	MaxAuthorBytes    = 200  // length of an author
	MaxReasonBytes    = 2000 // length of a reason
	MaxCanaries       = 1000 // number of canaries of a revision
)

// Limits of the state.
const (
	// MaxHistoryRevisions is the number of revisions above which those that are no longer required are deleted: two and a
	// half days at 810 changes per day.
	MaxHistoryRevisions = 2048
	// MaxTotalDocumentBytes limits the total size of the documents of all retained revisions.
	MaxTotalDocumentBytes = 32 << 20
	// MaxScopes limits the number of scopes that have revisions.
	MaxScopes = 4096
	// MaxUnreleasedRevisions limits the number of revisions of a scope after its latest released one. They must all be
	// retained, because canaries may hold them.
	MaxUnreleasedRevisions = 64
	// MaxRememberedOutcomes limits the number of command outcomes that are remembered to detect repeated submissions.
	MaxRememberedOutcomes = 4096
)

// Limits of a ConflictError.
const (
	MaxConflictChanges = 8  // number of listed revisions
	MaxConflictKeys    = 16 // number of listed key paths of one revision
)

// Limits of the caches of results that many proxies share.
const (
	maxCachedChecksums   = 16384    // number of checksums of merged configurations
	maxCachedParsedBytes = 16 << 20 // size of the documents with cached trees, which take several times as much
	maxCachedPatchBytes  = 16 << 20 // size of the cached patches between revisions
)

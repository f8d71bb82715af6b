package control

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"sandpass/internal/revision"
)

var (
	// ErrNotLeader is returned for a proposal on a replica that is not the leader.
	ErrNotLeader = errors.New("this replica is not the leader")
	// ErrDropped is returned if the consensus core rejected a proposal. The proposal is not in the log.
	ErrDropped = errors.New("the proposal was dropped: too many are uncommitted, or no leader has a quorum")
)

// RevisionChange describes one revision in a ConflictError.
type RevisionChange struct {
	Number revision.Number `json:"number"`
	Author string          `json:"author"`
	Reason string          `json:"reason"`
	Time   time.Time       `json:"time"`
	Keys   []string        `json:"keys,omitempty"` // paths of the changed keys, at most MaxConflictKeys
}

// ConflictError reports that a new revision is not based on the newest revision of its scope.
type ConflictError struct {
	Scope   revision.Scope   `json:"scope"`
	Base    revision.Number  `json:"base"`
	Newest  revision.Number  `json:"newest"`
	Changes []RevisionChange `json:"changes"` // after Base, newest last, at most MaxConflictChanges
}

// Error returns a one-line message that describes the newest change.
func (e *ConflictError) Error() string {
	text := fmt.Sprintf("%v is at revision %d, not %d", e.Scope, e.Newest, e.Base)
	if len(e.Changes) > 0 {
		last := e.Changes[len(e.Changes)-1]
		text += fmt.Sprintf(": %s changed %s (%s)", last.Author, strings.Join(last.Keys, ", "), last.Reason)
	}
	return text
}

// UnknownRevisionError reports a revision that the scope never had or that is no longer in its history.
type UnknownRevisionError struct {
	Scope  revision.Scope  `json:"scope,omitzero"` // zero if the revision was looked up by number only
	Number revision.Number `json:"number"`
}

// Error returns a one-line message.
func (e *UnknownRevisionError) Error() string {
	if e.Scope == (revision.Scope{}) {
		return fmt.Sprintf("revision %d is not in the history", e.Number)
	}
	return fmt.Sprintf("revision %d is not in the history of %v", e.Number, e.Scope)
}

// StageError reports that a revision can no longer be released or held because of its stage.
type StageError struct {
	Number revision.Number `json:"number"`
	Stage  Stage           `json:"stage"`
}

// Error returns a one-line message.
func (e *StageError) Error() string {
	return fmt.Sprintf("revision %d is already %s", e.Number, e.Stage)
}

// InvalidCommandError reports a command that is invalid whatever the state is.
type InvalidCommandError struct {
	Reason string `json:"reason"`
}

// Error returns a one-line message.
func (e *InvalidCommandError) Error() string { return "bad command: " + e.Reason }

// LimitError reports that a revision would exceed one of the limits of the state.
type LimitError struct {
	Resource string `json:"what"`
	Limit    int    `json:"most"`
}

// Error returns a one-line message.
func (e *LimitError) Error() string {
	return fmt.Sprintf("over the limit of %d %s", e.Limit, e.Resource)
}

// FleetMismatchError reports a proxy or a snapshot of another fleet.
type FleetMismatchError struct {
	Fleet, Want string
}

// Error returns a one-line message.
func (e *FleetMismatchError) Error() string {
	return fmt.Sprintf("fleet %q is not %q", e.Fleet, e.Want)
}

// ReplicaBehindError reports that a proxy holds a revision that this replica has not yet applied. The call may be repeated
// when the replica has applied further commands.
type ReplicaBehindError struct {
	Scope  revision.Scope
	Held   revision.Number
	Newest revision.Number
}

// Error returns a one-line message.
func (e *ReplicaBehindError) Error() string {
	return fmt.Sprintf("the proxy holds revision %d of %v, this replica has applied up to revision %d", e.Held, e.Scope, e.Newest)
}

// CheckError reports the combination of scopes in which a new revision produces an invalid configuration.
type CheckError struct {
	Scopes string // the scopes that are merged, widest first
	Err    error
}

// Error returns a one-line message.
func (e *CheckError) Error() string { return fmt.Sprintf("%s: %v", e.Scopes, e.Err) }

// Unwrap returns the error of the merge or of the ConfigChecker.
func (e *CheckError) Unwrap() error { return e.Err }

// SnapshotError reports bytes that are not a valid snapshot of a State.
type SnapshotError struct {
	Reason string
}

// Error returns a one-line message.
func (e *SnapshotError) Error() string { return "bad snapshot: " + e.Reason }

// MessageError reports a message that no correct peer of this cluster would send.
type MessageError struct {
	Reason string
}

// Error returns a one-line message.
func (e *MessageError) Error() string { return "bad message from a replica: " + e.Reason }

// StorageError reports that the contents of a replica's storage are inconsistent.
type StorageError struct {
	Reason string
}

// Error returns a one-line message.
func (e *StorageError) Error() string { return "bad storage: " + e.Reason }

// NodeFailedError reports that the consensus core reached a state that a correct log and correct peers cannot lead to. The
// node stops working. Start a new one from the saved state.
type NodeFailedError struct {
	Reason string
}

// Error returns a one-line message.
func (e *NodeFailedError) Error() string { return "the consensus core has failed: " + e.Reason }

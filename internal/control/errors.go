package control

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"sandpass/internal/revision"
)

var (
	// ErrNotLeader says that a proposal has to go to the leader.
	ErrNotLeader = errors.New("this replica is not the leader")
	// ErrDropped says that the consensus core did not take a proposal; nothing of it is in the log.
	ErrDropped = errors.New("the proposal was dropped: too many are under way, or no leader has a quorum")
)

// RevisionChange is what one revision changed, as a conflict tells it.
type RevisionChange struct {
	Number revision.Number `json:"number"`
	Author string          `json:"author"`
	Reason string          `json:"reason"`
	Time   time.Time       `json:"time"`
	Keys   []string        `json:"keys,omitempty"` // the paths of changed keys, at most ConflictKeysMost
}

// ConflictError refuses a revision whose scope has changed since its author looked.
type ConflictError struct {
	Scope   revision.Scope   `json:"scope"`
	Base    revision.Number  `json:"base"`
	Newest  revision.Number  `json:"newest"`
	Changes []RevisionChange `json:"changes"` // since Base, the newest last, at most ConflictChangesMost
}

// Error names the newest change in one line.
func (e *ConflictError) Error() string {
	text := fmt.Sprintf("%v is at revision %d, not %d", e.Scope, e.Newest, e.Base)
	if len(e.Changes) > 0 {
		last := e.Changes[len(e.Changes)-1]
		text += fmt.Sprintf(": %s changed %s (%s)", last.Author, strings.Join(last.Keys, ", "), last.Reason)
	}
	return text
}

// UnknownRevisionError names a revision that the scope does not have, or no longer has in its history.
type UnknownRevisionError struct {
	Scope  revision.Scope  `json:"scope,omitzero"` // zero where the number alone was asked for
	Number revision.Number `json:"number"`
}

// Error is one line.
func (e *UnknownRevisionError) Error() string {
	if e.Scope == (revision.Scope{}) {
		return fmt.Sprintf("revision %d is not in the history", e.Number)
	}
	return fmt.Sprintf("revision %d is not in the history of %v", e.Number, e.Scope)
}

// StageError refuses to release or hold a revision that is past it.
type StageError struct {
	Number revision.Number `json:"number"`
	Stage  Stage           `json:"stage"`
}

// Error is one line.
func (e *StageError) Error() string {
	return fmt.Sprintf("revision %d is already %s", e.Number, e.Stage)
}

// BadCommandError tells what is wrong with a command by itself.
type InvalidCommandError struct {
	Reason string `json:"reason"`
}

// Error is one line.
func (e *InvalidCommandError) Error() string { return "bad command: " + e.Reason }

// LimitError refuses a revision that would take the state over one of its limits.
type LimitError struct {
	Resource string `json:"what"`
	Limit    int    `json:"most"`
}

// Error is one line.
func (e *LimitError) Error() string {
	return fmt.Sprintf("over the limit of %d %s", e.Limit, e.Resource)
}

// FleetError refuses a proxy or a snapshot of another fleet.
type FleetMismatchError struct {
	Fleet, Want string
}

// Error is one line.
func (e *FleetMismatchError) Error() string {
	return fmt.Sprintf("fleet %q is not %q", e.Fleet, e.Want)
}

// AheadError says that a proxy holds a revision that this replica has yet to learn of: ask again once it has applied more.
type ReplicaBehindError struct {
	Scope  revision.Scope
	Held   revision.Number
	Newest revision.Number
}

// Error is one line.
func (e *ReplicaBehindError) Error() string {
	return fmt.Sprintf("the proxy holds revision %d of %v, this replica knows %d", e.Held, e.Scope, e.Newest)
}

// CheckError says for which combination of scopes a new revision gives no valid configuration.
type CheckError struct {
	Scopes string // the scopes that are merged, widest first
	Err    error
}

// Error is one line.
func (e *CheckError) Error() string { return fmt.Sprintf("%s: %v", e.Scopes, e.Err) }

// Unwrap gives the checker's error.
func (e *CheckError) Unwrap() error { return e.Err }

// SnapshotError refuses bytes that are no snapshot of a State.
type SnapshotError struct {
	Reason string
}

// Error is one line.
func (e *SnapshotError) Error() string { return "bad snapshot: " + e.Reason }

// MessageError refuses a message between replicas that could not have come from a sound peer of this cluster.
type MessageError struct {
	Reason string
}

// Error is one line.
func (e *MessageError) Error() string { return "bad message of a replica: " + e.Reason }

// StorageError says that what a replica's storage holds can't be built upon.
type StorageError struct {
	Reason string
}

// Error is one line.
func (e *StorageError) Error() string { return "bad storage: " + e.Reason }

// FailedError says that the consensus core found itself in a state that no sound log and no sound peer lead to. The node
// does nothing more: start another one from what is saved.
type NodeFailedError struct {
	Reason string
}

// Error is one line.
func (e *NodeFailedError) Error() string { return "the consensus core has failed: " + e.Reason }

// Package controlapi has the messages between the operators' commands and a control replica, and between a follower and
// the leader. All are JSON over HTTP/1.1. It is free of I/O.
package controlapi

import (
	"sandpass/internal/control"
	"sandpass/internal/revision"
)

// Paths of the operators' API.
const (
	ApplyPath   = "/control/apply"   // POST ApplyRequest, gives ApplyResponse
	HistoryPath = "/control/history" // GET ?scope=&limit=, gives HistoryResponse
	ShowPath    = "/control/show"    // GET ?scope= or ?proxy=&region=&zone=&service=, gives ShowResponse
	DiffPath    = "/control/diff"    // POST DiffRequest, gives DiffResponse
	StatusPath  = "/control/status"  // GET, gives StatusResponse
)

const (
	// BodyMost is the largest body of a request or an answer, in bytes: a document, as JSON may write it, and its frame.
	MaxBodyBytes = 4 << 20
	// StaleParameter of a read allows what the replica knows by itself, which may be old.
	StaleParameter = "stale"
)

// Kind says in a word what an error means for who asked.
type Kind string

// The kinds of errors.
const (
	KindConflict   Kind = "conflict"    // the scope has newer revisions than the base: nothing was changed
	KindRefused    Kind = "refused"     // the configuration is no good, or the guard holds it: nothing was changed
	KindNoQuorum   Kind = "no_quorum"   // no leader can be reached: nothing was changed
	KindBadRequest Kind = "bad_request" // the request is malformed: nothing was changed
	KindNotFound   Kind = "not_found"   // no such revision or scope
	KindUnknown    Kind = "unknown"     // it may have been accepted or not: repeat it with the same ID
)

// Error is the body of every answer that is not 2xx.
type Error struct {
	Message string                   `json:"error"` // one line
	Kind    Kind                     `json:"kind"`
	ID      string                   `json:"id,omitempty"`      // of the command, where the outcome is not known
	Changed []control.RevisionChange `json:"changed,omitempty"` // on a conflict, the revisions since the base
}

func (e *Error) Error() string { return e.Message }

// ApplyRequest asks for a new revision. A second request with the same ID changes nothing and gets the first's outcome.
type ApplyRequest struct {
	ID         string            `json:"id"`
	Scope      revision.Scope    `json:"scope"`
	Base       revision.Number   `json:"base"` // the scope's newest revision as the author saw it, 0 for none
	Document   revision.Document `json:"document,omitempty"`
	Author     string            `json:"author"`
	Reason     string            `json:"reason"`
	AtOnce     bool              `json:"at_once,omitempty"`
	RollbackOf revision.Number   `json:"rollback_of,omitempty"` // brings back its document; Document and Scope are ignored
}

// ApplyResponse tells the number that a change was accepted under.
type ApplyResponse struct {
	ID     string          `json:"id"`
	Number revision.Number `json:"number"`
	Scope  revision.Scope  `json:"scope"`
}

// HistoryResponse has the revisions, newest first.
type HistoryResponse struct {
	Revisions []control.Entry `json:"revisions"`
	Freshness
}

// Freshness tells how far an answer can be trusted.
type Freshness struct {
	Stale      bool    `json:"stale,omitempty"`       // it was not confirmed with a quorum
	AgeSeconds float64 `json:"age_seconds,omitempty"` // of the replica's knowledge, where it is stale
}

// ShowResponse is a scope's newest document, or a proxy's merged one.
type ShowResponse struct {
	Scope    *revision.Scope       `json:"scope,omitempty"`
	Number   revision.Number       `json:"number"` // newest of the scope, or of all that the merged one is made of
	Document revision.Document     `json:"document"`
	Checksum string                `json:"checksum"`
	Entry    *control.Entry        `json:"entry,omitempty"`
	Origins  []control.ValueOrigin `json:"origins,omitempty"`
	Freshness
}

// DiffRequest asks what a document would change.
type DiffRequest struct {
	Scope    revision.Scope    `json:"scope"`
	Document revision.Document `json:"document"`
}

// DiffResponse has the merge patch from the scope's newest document to the one asked about.
type DiffResponse struct {
	Base    revision.Number   `json:"base"`
	Patch   revision.Document `json:"patch"`
	Refusal string            `json:"check,omitempty"` // why it would be refused, empty: it would not
	Freshness
}

// ReplicaStatus is what the leader knows of a replica.
type ReplicaStatus struct {
	Name          string  `json:"name"`
	Region        string  `json:"region,omitempty"`
	Address       string  `json:"address"`
	Leader        bool    `json:"leader,omitempty"`
	Reachable     bool    `json:"reachable"`
	SilentSeconds float64 `json:"silent_seconds,omitempty"` // since it was last heard
	Proxies       int     `json:"proxies"`                  // connected to it
}

// StatusResponse is the fleet as the leader, or with stale the asked replica, knows it.
type StatusResponse struct {
	Fleet     string                 `json:"fleet"`
	Replica   string                 `json:"replica"` // that answers
	Leader    string                 `json:"leader,omitempty"`
	Newest    revision.Number        `json:"newest"`          // accepted
	Summary   control.RolloutSummary `json:"summary"`         // of the revision asked for with number=, otherwise of all
	Requested *control.Entry         `json:"asked,omitempty"` // the revision asked for with number=
	Refusing  []control.ProxyStatus  `json:"refusing,omitempty"`
	Proxies   []control.ProxyStatus  `json:"proxies,omitempty"` // asked for with proxies=true
	Replicas  []ReplicaStatus        `json:"replicas"`
	Freshness
}

// Package controlapi defines the requests and responses exchanged between the operators' commands and a control replica,
// and between a follower and the leader. All are JSON over HTTP/1.1. The package does no I/O.
package controlapi

import (
	"sandpass/internal/control"
	"sandpass/internal/revision"
)

// Paths of the operators' API.
const (
	ApplyPath   = "/control/apply"   // POST ApplyRequest, returns ApplyResponse
	HistoryPath = "/control/history" // GET ?scope=&limit=, returns HistoryResponse
	ShowPath    = "/control/show"    // GET ?scope= or ?proxy=&region=&zone=&service=, returns ShowResponse
	DiffPath    = "/control/diff"    // POST DiffRequest, returns DiffResponse
	StatusPath  = "/control/status"  // GET, returns StatusResponse
)

const (
	// MaxBodyBytes is the largest body of a request or a response: a document with JSON escapes, and the fields around it.
	MaxBodyBytes = 4 << 20
	// StaleParameter is the query parameter by which a read accepts the replica's local state, which may be out of date.
	StaleParameter = "stale"
)

// Kind classifies an error by what the caller can do about it.
type Kind string

// Kinds of errors.
const (
	KindConflict   Kind = "conflict"    // the scope has revisions newer than the base; nothing was changed
	KindRefused    Kind = "refused"     // the configuration is invalid, or the canary controller holds it; nothing was changed
	KindNoQuorum   Kind = "no_quorum"   // no leader can be reached; nothing was changed
	KindBadRequest Kind = "bad_request" // the request is malformed; nothing was changed
	KindNotFound   Kind = "not_found"   // the revision or scope does not exist
	KindUnknown    Kind = "unknown"     // the change may or may not have been accepted; repeat it with the same ID
)

// Error is the body of every response whose status is not 2xx.
type Error struct {
	Message string                   `json:"error"` // one line
	Kind    Kind                     `json:"kind"`
	ID      string                   `json:"id,omitempty"`      // ID of the command, where its outcome is unknown
	Changed []control.RevisionChange `json:"changed,omitempty"` // on a conflict, the revisions newer than the base
}

// Error returns the message.
func (e *Error) Error() string { return e.Message }

// ApplyRequest asks for a new revision. A second request with the same ID changes nothing and gets the outcome of the
// first.
type ApplyRequest struct {
	ID         string            `json:"id"`
	Scope      revision.Scope    `json:"scope"`
	Base       revision.Number   `json:"base"` // newest revision of the scope that the author has seen, 0 for none
	Document   revision.Document `json:"document,omitempty"`
	Author     string            `json:"author"`
	Reason     string            `json:"reason"`
	AtOnce     bool              `json:"at_once,omitempty"`
	RollbackOf revision.Number   `json:"rollback_of,omitempty"` // restores this revision's document; Document and Scope are ignored
}

// ApplyResponse reports the revision number assigned to an accepted change.
type ApplyResponse struct {
	ID     string          `json:"id"`
	Number revision.Number `json:"number"`
	Scope  revision.Scope  `json:"scope"`
}

// HistoryResponse lists revisions, newest first.
type HistoryResponse struct {
	Revisions []control.Entry `json:"revisions"`
	Freshness
}

// Freshness reports whether a read was confirmed with a quorum and, if not, how old the replica's state may be.
type Freshness struct {
	Stale      bool    `json:"stale,omitempty"`       // the read was not confirmed with a quorum
	AgeSeconds float64 `json:"age_seconds,omitempty"` // where stale: time since the replica last knew a leader
}

// ShowResponse holds a scope's newest document, or the document merged for a proxy.
type ShowResponse struct {
	Scope    *revision.Scope       `json:"scope,omitempty"`
	Number   revision.Number       `json:"number"` // newest revision of the scope, or of all scopes merged
	Document revision.Document     `json:"document"`
	Checksum string                `json:"checksum"`
	Entry    *control.Entry        `json:"entry,omitempty"`
	Origins  []control.ValueOrigin `json:"origins,omitempty"`
	Freshness
}

// DiffRequest asks what a document would change in a scope.
type DiffRequest struct {
	Scope    revision.Scope    `json:"scope"`
	Document revision.Document `json:"document"`
}

// DiffResponse holds the merge patch from the scope's newest document to the requested one.
type DiffResponse struct {
	Base    revision.Number   `json:"base"`
	Patch   revision.Document `json:"patch"`
	Refusal string            `json:"check,omitempty"` // why the document would be refused; empty if it would be accepted
	Freshness
}

// ReplicaStatus describes a replica as the answering replica sees it.
type ReplicaStatus struct {
	Name          string  `json:"name"`
	Region        string  `json:"region,omitempty"`
	Address       string  `json:"address"`
	Leader        bool    `json:"leader,omitempty"`
	Reachable     bool    `json:"reachable"`
	SilentSeconds float64 `json:"silent_seconds,omitempty"` // time since anything was received from it
	Proxies       int     `json:"proxies"`                  // proxies connected to it
}

// StatusResponse is the state of the fleet as the leader knows it, or, with stale, as the queried replica does.
type StatusResponse struct {
	Fleet     string                 `json:"fleet"`
	Replica   string                 `json:"replica"` // the replica that answers
	Leader    string                 `json:"leader,omitempty"`
	Newest    revision.Number        `json:"newest"`          // newest accepted revision
	Summary   control.RolloutSummary `json:"summary"`         // of the revision requested with number=, otherwise of all
	Requested *control.Entry         `json:"asked,omitempty"` // the revision requested with number=
	Refusing  []control.ProxyStatus  `json:"refusing,omitempty"`
	Proxies   []control.ProxyStatus  `json:"proxies,omitempty"` // only with proxies=true
	Replicas  []ReplicaStatus        `json:"replicas"`
	Freshness
}

package control

import (
	"time"

	"sandpass/internal/revision"
)

// Command is one entry of the replicated log. Exactly one of its pointers is set.
type Command struct {
	ID      string          `json:"id"` // drawn by the submitter; a second command with it changes nothing
	Apply   *ApplyCommand   `json:"apply,omitempty"`
	Release *ReleaseCommand `json:"release,omitempty"`
	Hold    *HoldCommand    `json:"hold,omitempty"`
}

// ApplyCommand asks for a new revision of a scope.
type ApplyCommand struct {
	Scope      revision.Scope    `json:"scope"`
	Base       revision.Number   `json:"base"`               // the scope's newest revision as the author saw it, 0 for none
	Document   revision.Document `json:"document,omitempty"` // may be left out with RollbackOf
	Author     string            `json:"author"`
	Reason     string            `json:"reason"`
	Time       time.Time         `json:"time"`
	AtOnce     bool              `json:"at_once,omitempty"`     // no trial, and no refusal holds it
	RollbackOf revision.Number   `json:"rollback_of,omitempty"` // the scope's revision whose document comes back
	Canaries   []string          `json:"canaries,omitempty"`    // proxies that take it first; empty: released at once
}

// ReleaseCommand ends a revision's trial well: all proxies may take it.
type ReleaseCommand struct {
	Number revision.Number `json:"number"`
}

// HoldCommand stops a revision: no further proxy takes it.
type HoldCommand struct {
	Number revision.Number `json:"number"`
	Proxy  string          `json:"proxy,omitempty"` // that refused it, empty where too few proxies answered
	Reason string          `json:"reason"`
}

// EncodeCommand gives a command's bytes for the replicated log.
func EncodeCommand(c Command) ([]byte, error) { panic("not written") }

// DecodeCommand reads a command from the replicated log; the error is a *BadCommandError.
func DecodeCommand(text []byte) (Command, error) { panic("not written") }

package control

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
	"unicode/utf8"

	"sandpass/internal/revision"
)

// Command is one entry of the replicated log. Exactly one of its pointers is set.
type Command struct {
	ID      string          `json:"id"` // chosen by the submitter; a second command with the same ID has no effect
	Apply   *ApplyCommand   `json:"apply,omitempty"`
	Release *ReleaseCommand `json:"release,omitempty"`
	Hold    *HoldCommand    `json:"hold,omitempty"`
}

// ApplyCommand adds a new revision to a scope.
type ApplyCommand struct {
	Scope      revision.Scope    `json:"scope"`
	Base       revision.Number   `json:"base"`               // the scope's newest revision that the author saw, 0 for none
	Document   revision.Document `json:"document,omitempty"` // may be omitted if RollbackOf is set
	Author     string            `json:"author"`
	Reason     string            `json:"reason"`
	Time       time.Time         `json:"time"`
	AtOnce     bool              `json:"at_once,omitempty"`     // released without a trial; a refusal does not hold it
	RollbackOf revision.Number   `json:"rollback_of,omitempty"` // the revision of the scope whose document is restored
	Canaries   []string          `json:"canaries,omitempty"`    // proxies that receive it first; if empty, it is released at once
}

// ReleaseCommand ends the trial of a revision successfully and releases the revision to all proxies.
type ReleaseCommand struct {
	Number revision.Number `json:"number"`
}

// HoldCommand stops the rollout of a revision: no further proxy receives it.
type HoldCommand struct {
	Number revision.Number `json:"number"`
	Proxy  string          `json:"proxy,omitempty"` // the proxy that refused it; empty if too few canaries answered
	Reason string          `json:"reason"`
}

// EncodeCommand encodes a command for the replicated log. It returns an *InvalidCommandError for a command that Apply would
// refuse whatever the state is.
func EncodeCommand(c Command) ([]byte, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	encoded, err := revision.Encode(c)
	if err != nil {
		return nil, &InvalidCommandError{Reason: err.Error()}
	}
	return encoded, nil
}

// DecodeCommand decodes and checks a command of the replicated log. The error is an *InvalidCommandError.
func DecodeCommand(encoded []byte) (Command, error) {
	var c Command
	if err := json.Unmarshal(encoded, &c); err != nil {
		return Command{}, &InvalidCommandError{Reason: oneLine(err)}
	}
	if err := c.check(); err != nil {
		return Command{}, err
	}
	return c, nil
}

// check validates a command without regard to the state. The error is an *InvalidCommandError.
//
// The outcome of a refused command carries the error text, and outcomes are stored in the replicated state. All replicas must
// produce the same texts, also while two versions run side by side, so the texts must not be changed.
func (c Command) check() error {
	if c.ID == "" {
		return &InvalidCommandError{Reason: "it has no ID"}
	}
	if err := checkTextField("id", c.ID, MaxCommandIDBytes); err != nil {
		return err
	}
	variants := 0
	for _, set := range []bool{c.Apply != nil, c.Release != nil, c.Hold != nil} {
		if set {
			variants++
		}
	}
	switch {
	case variants != 1:
		return &InvalidCommandError{Reason: fmt.Sprintf("%d of apply, release and hold are set, not one", variants)}
	case c.Apply != nil:
		return c.Apply.check()
	case c.Hold != nil:
		return c.Hold.check()
	}
	return nil
}

// check validates the scope, texts, time, document and canaries.
func (a *ApplyCommand) check() error {
	if _, err := revision.ParseScope(a.Scope.String()); err != nil {
		return &InvalidCommandError{Reason: oneLine(err)}
	}
	if err := checkTextField("author", a.Author, MaxAuthorBytes); err != nil {
		return err
	}
	if err := checkTextField("reason", a.Reason, MaxReasonBytes); err != nil {
		return err
	}
	if year := a.Time.UTC().Year(); year < 0 || year > 9999 {
		return &InvalidCommandError{Reason: "its time is outside the years 0 to 9999"}
	}
	if len(a.Document) == 0 && a.RollbackOf == 0 {
		return &InvalidCommandError{Reason: "it has no document"}
	}
	if len(a.Canaries) > MaxCanaries {
		return &InvalidCommandError{Reason: fmt.Sprintf("%d canaries, %d are allowed", len(a.Canaries), MaxCanaries)}
	}
	for _, name := range a.Canaries {
		if _, err := revision.ParseScope(string(revision.ProxyKind) + ":" + name); err != nil {
			return &InvalidCommandError{Reason: fmt.Sprintf("canary %q is no proxy's name", name)}
		}
	}
	return nil
}

// check validates the texts.
func (h *HoldCommand) check() error {
	if err := checkTextField("proxy", h.Proxy, MaxCommandIDBytes); err != nil {
		return err
	}
	return checkTextField("reason", h.Reason, MaxReasonBytes)
}

// checkTextField checks that a text is within its limit and is valid UTF-8, because JSON would change any other bytes.
func checkTextField(field, text string, maxBytes int) error {
	if len(text) > maxBytes {
		return &InvalidCommandError{Reason: fmt.Sprintf("%s has %d bytes, %d are allowed", field, len(text), maxBytes)}
	}
	if !utf8.ValidString(text) {
		return &InvalidCommandError{Reason: field + " is not UTF-8"}
	}
	return nil
}

// oneLine returns an error's text with all whitespace, including line breaks, reduced to single spaces.
func oneLine(err error) string {
	return strings.Join(strings.Fields(err.Error()), " ")
}

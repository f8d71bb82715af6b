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

// EncodeCommand gives a command's bytes for the replicated log. A command that Apply would refuse by itself is refused
// here: the error is a *BadCommandError.
func EncodeCommand(c Command) ([]byte, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	text, err := revision.Encode(c)
	if err != nil {
		return nil, &InvalidCommandError{Reason: err.Error()}
	}
	return text, nil
}

// DecodeCommand reads a command from the replicated log; the error is a *BadCommandError.
func DecodeCommand(text []byte) (Command, error) {
	var c Command
	if err := json.Unmarshal(text, &c); err != nil {
		return Command{}, &InvalidCommandError{Reason: oneLine(err)}
	}
	if err := c.check(); err != nil {
		return Command{}, err
	}
	return c, nil
}

// check finds what is wrong with a command by itself; the error is a *BadCommandError.
func (c Command) check() error {
	if c.ID == "" {
		return &InvalidCommandError{Reason: "it has no ID"}
	}
	if err := checkText("id", c.ID, MaxCommandIDBytes); err != nil {
		return err
	}
	parts := 0
	for _, set := range []bool{c.Apply != nil, c.Release != nil, c.Hold != nil} {
		if set {
			parts++
		}
	}
	switch {
	case parts != 1:
		return &InvalidCommandError{Reason: fmt.Sprintf("%d of apply, release and hold are set, not one", parts)}
	case c.Apply != nil:
		return c.Apply.check()
	case c.Hold != nil:
		return c.Hold.check()
	}
	return nil
}

func (a *ApplyCommand) check() error {
	if _, err := revision.ParseScope(a.Scope.String()); err != nil {
		return &InvalidCommandError{Reason: oneLine(err)}
	}
	if err := checkText("author", a.Author, MaxAuthorBytes); err != nil {
		return err
	}
	if err := checkText("reason", a.Reason, MaxReasonBytes); err != nil {
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

func (h *HoldCommand) check() error {
	if err := checkText("proxy", h.Proxy, MaxCommandIDBytes); err != nil {
		return err
	}
	return checkText("reason", h.Reason, MaxReasonBytes)
}

// checkText bounds a text, and sees to it that JSON carries it unchanged.
func checkText(field, text string, most int) error {
	if len(text) > most {
		return &InvalidCommandError{Reason: fmt.Sprintf("%s has %d bytes, %d are allowed", field, len(text), most)}
	}
	if !utf8.ValidString(text) {
		return &InvalidCommandError{Reason: field + " is not UTF-8"}
	}
	return nil
}

// oneLine is an error's text without line ends.
func oneLine(err error) string {
	return strings.Join(strings.Fields(err.Error()), " ")
}

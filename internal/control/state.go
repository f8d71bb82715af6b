package control

import "sandpass/internal/revision"

// Stage is how far a revision has come.
type Stage string

// The stages of a revision.
const (
	Trial      Stage = "trial"      // only its canaries take it
	Released   Stage = "released"   // all proxies that it concerns take it
	Held       Stage = "held"       // a proxy refused it: nobody else takes it
	Superseded Stage = "superseded" // a newer one of its scope took its place
)

// Entry is a revision in the history.
type Entry struct {
	revision.Revision
	Stage       Stage    `json:"stage"`
	Canaries    []string `json:"canaries,omitempty"`
	WasReleased bool     `json:"was_released,omitempty"`
	HeldBy      string   `json:"held_by,omitempty"`
	HeldReason  string   `json:"held_reason,omitempty"`
}

// Outcome of a committed command: the revision's number, or a *ConflictError, *UnknownRevisionError, *StageError,
// *BadCommandError or *LimitError.
type Outcome struct {
	Number revision.Number
	Err    error
}

// State is the replicated state machine. It is not safe for concurrent use: reading fills caches.
type State struct{}

// NewState gives the state of a fleet without revisions.
func NewState(fleet string) *State { panic("not written") }

// Apply carries out one committed command. It is deterministic.
func (s *State) Apply(c Command) Outcome { panic("not written") }

// Marshal writes a snapshot with a format version and a checksum. Equal states give equal bytes.
func (s *State) Marshal() ([]byte, error) { panic("not written") }

// UnmarshalState reads a snapshot; the error is a *SnapshotError.
func UnmarshalState(text []byte) (*State, error) { panic("not written") }

// Fleet is the fleet's name.
func (s *State) Fleet() string { panic("not written") }

// Newest is the number of the newest revision, 0 for none.
func (s *State) Newest() revision.Number { panic("not written") }

// Latest gives a scope's newest revision, whatever its stage.
func (s *State) Latest(scope revision.Scope) (Entry, bool) { panic("not written") }

// Entry gives a revision by its number.
func (s *State) Entry(number revision.Number) (Entry, bool) { panic("not written") }

// History gives at most so many revisions, the newest first, of one scope or, with nil, of all.
func (s *State) History(scope *revision.Scope, most int) []Entry { panic("not written") }

// Concerned says whether a revision's scope is one of the proxy's.
func (s *State) Concerned(number revision.Number, identity revision.Identity) bool { panic("not written") }

// Effective gives the released documents of the scopes that a proxy lies in, in the order of merging.
func (s *State) Effective(identity revision.Identity) ([]revision.Held, error) { panic("not written") }

// Wanted is the newest revision that a proxy which holds nothing would be sent, 0 for none.
func (s *State) Wanted(identity revision.Identity) revision.Number { panic("not written") }

// Update says what a proxy is to be sent given what it holds, nil for nothing. No scope ever goes back to a lower number.
// Errors: *FleetError, *AheadError, *UnknownRevisionError.
func (s *State) Update(hello revision.Hello) (*revision.Update, error) { panic("not written") }

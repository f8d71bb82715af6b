package control

import (
	"sandpass/internal/revision"
)

// Stage is how far a revision has come.
type Stage string

// The stages of a revision.
const (
	StageTrial      Stage = "trial"      // only its canaries take it
	StageReleased   Stage = "released"   // all proxies that it concerns take it
	StageHeld       Stage = "held"       // a proxy refused it: nobody else takes it
	StageSuperseded Stage = "superseded" // a newer one of its scope took its place
)

// Entry is a revision in the history.
type Entry struct {
	revision.Revision
	Stage       Stage    `json:"stage"`
	Canaries    []string `json:"canaries,omitempty"`     // proxies that take it while it is on trial
	WasReleased bool     `json:"was_released,omitempty"` // it has been offered to all
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
type State struct {
	fleet         string
	newest        revision.Number
	chains        map[revision.Scope]chain
	entries       map[revision.Number]*Entry
	documentBytes int
	outcomes      outcomeMemory
	cache         cache
}

// NewState gives the state of a fleet without revisions.
func NewState(fleet string) *State {
	return &State{
		fleet:    fleet,
		chains:   map[revision.Scope]chain{},
		entries:  map[revision.Number]*Entry{},
		outcomes: newOutcomeMemory(),
		cache:    newCache(),
	}
}

// Apply carries out one committed command. It is deterministic.
func (s *State) Apply(c Command) Outcome {
	if outcome, known := s.outcomes.get(c.ID); known {
		return outcome
	}
	if err := c.check(); err != nil {
		return Outcome{Err: err}
	}
	s.cache.state = ""
	outcome := s.carryOut(c)
	s.outcomes.add(c.ID, outcome)
	return outcome
}

func (s *State) carryOut(c Command) Outcome {
	switch {
	case c.Apply != nil:
		return s.add(*c.Apply)
	case c.Release != nil:
		return s.release(c.Release.Number)
	default:
		return s.hold(*c.Hold)
	}
}

// add appends a revision to its scope.
func (s *State) add(a ApplyCommand) Outcome {
	existing := s.chains[a.Scope]
	if latest := existing.latestNumber(); a.Base > latest {
		return Outcome{Err: &UnknownRevisionError{Scope: a.Scope, Number: a.Base}}
	} else if a.Base < latest {
		return Outcome{Err: existing.conflict(a)}
	}
	document, err := s.ResolveDocument(a)
	if err != nil {
		return Outcome{Err: err}
	}
	if err := s.checkRoom(a, existing, len(document)); err != nil {
		return Outcome{Err: err}
	}
	entry := s.newEntry(a, document)
	s.newest = entry.Number
	s.insert(entry)
	existing.supersedeTrial()
	if entry.WasReleased {
		existing.supersedeReleased()
	}
	s.prune()
	return Outcome{Number: entry.Number}
}

func (s *State) newEntry(a ApplyCommand, document revision.Document) *Entry {
	entry := &Entry{
		Revision: revision.Revision{
			Number:     s.newest + 1,
			Scope:      a.Scope,
			Previous:   a.Base,
			Author:     a.Author,
			Reason:     a.Reason,
			Time:       a.Time.UTC().Round(0),
			Document:   document,
			Checksum:   revision.Checksum(document),
			RollbackOf: a.RollbackOf,
			AtOnce:     a.AtOnce,
		},
		Stage: StageTrial,
	}
	if a.AtOnce || len(a.Canaries) == 0 {
		entry.Stage = StageReleased
		entry.WasReleased = true
	} else {
		entry.Canaries = append([]string(nil), a.Canaries...)
	}
	return entry
}

// insert puts an entry at the end of its scope's chain.
func (s *State) insert(entry *Entry) {
	s.entries[entry.Number] = entry
	s.chains[entry.Scope] = append(s.chains[entry.Scope], entry)
	s.documentBytes += len(entry.Document)
}

// checkRoom refuses what the state has no room for.
func (s *State) checkRoom(a ApplyCommand, existing chain, size int) error {
	if len(existing) == 0 && len(s.chains) >= MaxScopes {
		return &LimitError{Resource: "scopes", Limit: MaxScopes}
	}
	onTrial := !a.AtOnce && len(a.Canaries) > 0
	if onTrial && existing.unreleased() >= MaxUnreleasedRevisions {
		return &LimitError{Resource: "revisions of a scope in a row that were not released", Limit: MaxUnreleasedRevisions}
	}
	if s.neededBytes()+size > MaxTotalDocumentBytes {
		return &LimitError{Resource: "bytes of documents in use", Limit: MaxTotalDocumentBytes}
	}
	return nil
}

// release ends a trial well.
func (s *State) release(number revision.Number) Outcome {
	entry, outcome := s.newestOfScope(number)
	if entry == nil {
		return outcome
	}
	switch entry.Stage {
	case StageTrial:
		s.chains[entry.Scope].supersedeReleased()
		entry.Stage = StageReleased
		entry.WasReleased = true
	case StageReleased:
	default:
		return Outcome{Err: &StageError{Number: number, Stage: entry.Stage}}
	}
	return Outcome{Number: number}
}

// hold stops a revision. Proxies that have it keep it, the others keep or get the released one before it.
func (s *State) hold(h HoldCommand) Outcome {
	entry, outcome := s.newestOfScope(h.Number)
	if entry == nil || entry.Stage == StageHeld {
		return outcome
	}
	entry.Stage = StageHeld
	entry.HeldBy = h.Proxy
	entry.HeldReason = h.Reason
	if before := s.chains[entry.Scope].released(); before != nil {
		before.Stage = StageReleased
	}
	return outcome
}

// newestOfScope finds a revision that can still be released or held: only a scope's newest can.
func (s *State) newestOfScope(number revision.Number) (*Entry, Outcome) {
	entry := s.entries[number]
	if entry == nil {
		return nil, Outcome{Err: &UnknownRevisionError{Number: number}}
	}
	if s.chains[entry.Scope].latestNumber() != number {
		return nil, Outcome{Err: &StageError{Number: number, Stage: entry.Stage}}
	}
	return entry, Outcome{Number: number}
}

// Document gives the document that an ApplyCommand would put in force: its own, or the one that it brings back.
// Errors: *BadCommandError, *UnknownRevisionError.
func (s *State) ResolveDocument(a ApplyCommand) (revision.Document, error) {
	if a.RollbackOf != 0 {
		entry := s.entries[a.RollbackOf]
		if entry == nil || entry.Scope != a.Scope {
			return nil, &UnknownRevisionError{Scope: a.Scope, Number: a.RollbackOf}
		}
		return entry.Document, nil
	}
	document, err := revision.Canonicalize(a.Document)
	if err != nil {
		return nil, &InvalidCommandError{Reason: oneLine(err)}
	}
	return document, nil
}

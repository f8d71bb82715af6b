package control

import (
	"sandpass/internal/revision"
)

// Stage is the rollout stage of a revision.
type Stage string

// The stages of a revision.
const (
	StageTrial      Stage = "trial"      // only its canaries receive it
	StageReleased   Stage = "released"   // all proxies in its scope receive it
	StageHeld       Stage = "held"       // the rollout was stopped: no further proxy receives it
	StageSuperseded Stage = "superseded" // a newer revision of its scope replaced it
)

// Entry is a revision in the history.
type Entry struct {
	revision.Revision
	Stage       Stage    `json:"stage"`
	Canaries    []string `json:"canaries,omitempty"`     // proxies that receive it while it is on trial
	WasReleased bool     `json:"was_released,omitempty"` // whether it was ever released to all proxies
	HeldBy      string   `json:"held_by,omitempty"`
	HeldReason  string   `json:"held_reason,omitempty"`
}

// Outcome is the result of a committed command: the revision's number, or an error of type *ConflictError,
// *UnknownRevisionError, *StageError, *InvalidCommandError or *LimitError.
type Outcome struct {
	Number revision.Number
	Err    error
}

// State is the replicated state machine. It is not safe for concurrent use, not even for reading, which fills caches.
type State struct {
	fleet         string
	newest        revision.Number
	chains        map[revision.Scope]chain
	entries       map[revision.Number]*Entry
	documentBytes int
	outcomes      outcomeLog
	cache         cache
}

// NewState returns the state of a fleet without revisions.
func NewState(fleet string) *State {
	return &State{
		fleet:    fleet,
		chains:   map[revision.Scope]chain{},
		entries:  map[revision.Number]*Entry{},
		outcomes: newOutcomeLog(),
		cache:    newCache(),
	}
}

// Apply executes a committed command. It is deterministic. A command whose ID is remembered has no effect and returns the
// earlier outcome.
func (s *State) Apply(c Command) Outcome {
	if outcome, found := s.outcomes.get(c.ID); found {
		return outcome
	}
	if err := c.check(); err != nil {
		return Outcome{Err: err}
	}
	s.cache.stateChecksum = ""
	outcome := s.execute(c)
	s.outcomes.add(c.ID, outcome)
	return outcome
}

// execute executes a valid command.
func (s *State) execute(c Command) Outcome {
	switch {
	case c.Apply != nil:
		return s.addRevision(*c.Apply)
	case c.Release != nil:
		return s.release(c.Release.Number)
	default:
		return s.hold(*c.Hold)
	}
}

// addRevision adds a revision to its scope.
func (s *State) addRevision(a ApplyCommand) Outcome {
	existing := s.chains[a.Scope]
	if latest := existing.latestNumber(); a.Base > latest {
		return Outcome{Err: &UnknownRevisionError{Scope: a.Scope, Number: a.Base}}
	} else if a.Base < latest {
		return Outcome{Err: existing.newConflict(a)}
	}
	document, err := s.ResolveDocument(a)
	if err != nil {
		return Outcome{Err: err}
	}
	if err := s.checkLimits(a, existing, len(document)); err != nil {
		return Outcome{Err: err}
	}
	entry := s.newEntry(a, document)
	s.newest = entry.Number
	s.appendEntry(entry)
	existing.supersedeTrial()
	if entry.WasReleased {
		existing.supersedeReleased()
	}
	s.prune()
	return Outcome{Number: entry.Number}
}

// newEntry returns the entry for a new revision: on trial if it has canaries, otherwise released.
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

// appendEntry appends an entry to its scope's chain.
func (s *State) appendEntry(entry *Entry) {
	s.entries[entry.Number] = entry
	s.chains[entry.Scope] = append(s.chains[entry.Scope], entry)
	s.documentBytes += len(entry.Document)
}

// checkLimits returns a *LimitError if a new revision would exceed a limit of the state. Its Resource is stored in the
// replicated state, so all replicas must produce the same texts and the texts must not be changed.
func (s *State) checkLimits(a ApplyCommand, existing chain, documentBytes int) error {
	if len(existing) == 0 && len(s.chains) >= MaxScopes {
		return &LimitError{Resource: "scopes", Limit: MaxScopes}
	}
	onTrial := !a.AtOnce && len(a.Canaries) > 0
	if onTrial && existing.countUnreleased() >= MaxUnreleasedRevisions {
		return &LimitError{Resource: "revisions of a scope in a row that were not released", Limit: MaxUnreleasedRevisions}
	}
	if s.requiredDocumentBytes()+documentBytes > MaxTotalDocumentBytes {
		return &LimitError{Resource: "bytes of documents in use", Limit: MaxTotalDocumentBytes}
	}
	return nil
}

// release releases a revision on trial to all proxies.
func (s *State) release(number revision.Number) Outcome {
	entry, outcome := s.latestOfItsScope(number)
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

// hold stops the rollout of a revision. Proxies that have it keep it. The others keep or receive the released revision before
// it.
func (s *State) hold(h HoldCommand) Outcome {
	entry, outcome := s.latestOfItsScope(h.Number)
	if entry == nil || entry.Stage == StageHeld {
		return outcome
	}
	entry.Stage = StageHeld
	entry.HeldBy = h.Proxy
	entry.HeldReason = h.Reason
	if previous := s.chains[entry.Scope].latestReleased(); previous != nil {
		previous.Stage = StageReleased
	}
	return outcome
}

// latestOfItsScope returns the entry of a revision, or an error outcome if it is not the newest of its scope. Only the newest
// can be released or held.
func (s *State) latestOfItsScope(number revision.Number) (*Entry, Outcome) {
	entry := s.entries[number]
	if entry == nil {
		return nil, Outcome{Err: &UnknownRevisionError{Number: number}}
	}
	if s.chains[entry.Scope].latestNumber() != number {
		return nil, Outcome{Err: &StageError{Number: number, Stage: entry.Stage}}
	}
	return entry, Outcome{Number: number}
}

// ResolveDocument returns the document of the revision that an ApplyCommand creates: its own document, or that of the revision
// it rolls back to. The error is an *InvalidCommandError or an *UnknownRevisionError.
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

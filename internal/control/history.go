package control

import (
	"slices"

	"sandpass/internal/revision"
)

// Fleet returns the name of the fleet.
func (s *State) Fleet() string { return s.fleet }

// NewestNumber returns the number of the newest revision, or 0 if there is none.
func (s *State) NewestNumber() revision.Number { return s.newest }

// Latest returns a scope's newest revision, whatever its stage.
func (s *State) Latest(scope revision.Scope) (Entry, bool) {
	c := s.chains[scope]
	if len(c) == 0 {
		return Entry{}, false
	}
	return *c[len(c)-1], true
}

// Entry returns the revision with the given number.
func (s *State) Entry(number revision.Number) (Entry, bool) {
	entry := s.entries[number]
	if entry == nil {
		return Entry{}, false
	}
	return *entry, true
}

// History returns up to limit revisions, newest first, of one scope, or of all scopes if scope is nil.
func (s *State) History(scope *revision.Scope, limit int) []Entry {
	var numbers []revision.Number
	for number, entry := range s.entries {
		if scope == nil || entry.Scope == *scope {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	slices.Reverse(numbers)
	numbers = numbers[:max(0, min(limit, len(numbers)))]
	entries := make([]Entry, 0, len(numbers))
	for _, number := range numbers {
		entries = append(entries, *s.entries[number])
	}
	return entries
}

// AppliesTo reports whether a revision is in the history and a proxy belongs to its scope.
func (s *State) AppliesTo(number revision.Number, identity revision.Identity) bool {
	entry := s.entries[number]
	return entry != nil && scopeIncludes(entry.Scope, identity)
}

// scopeIncludes reports whether a proxy belongs to a scope.
func scopeIncludes(scope revision.Scope, identity revision.Identity) bool {
	return slices.Contains(identity.Scopes(), scope)
}

// newConflict returns the error for a command with an outdated base. It lists the revisions after the command's base.
func (c chain) newConflict(a ApplyCommand) *ConflictError {
	conflict := &ConflictError{Scope: a.Scope, Base: a.Base, Newest: c.latestNumber()}
	first := slices.IndexFunc(c, func(entry *Entry) bool { return entry.Number > a.Base })
	first = max(first, len(c)-MaxConflictChanges)
	for i := first; i < len(c); i++ {
		before := revision.EmptyDocument
		if i > 0 {
			before = c[i-1].Document
		}
		conflict.Changes = append(conflict.Changes, RevisionChange{
			Number: c[i].Number,
			Author: c[i].Author,
			Reason: c[i].Reason,
			Time:   c[i].Time,
			Keys:   changedKeys(before, c[i].Document),
		})
	}
	return conflict
}

// changedKeys returns the key paths at which two documents differ, at most MaxConflictKeys.
func changedKeys(before, after revision.Document) []string {
	changes, err := DiffDocuments(before, after)
	if err != nil {
		return nil
	}
	var keys []string
	for _, change := range changes[:min(len(changes), MaxConflictKeys)] {
		keys = append(keys, change.Path)
	}
	return keys
}

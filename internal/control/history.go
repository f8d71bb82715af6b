package control

import (
	"slices"

	"sandpass/internal/revision"
)

// Fleet is the fleet's name.
func (s *State) Fleet() string { return s.fleet }

// Newest is the number of the newest revision, 0 for none.
func (s *State) NewestNumber() revision.Number { return s.newest }

// Latest gives a scope's newest revision, whatever its stage.
func (s *State) Latest(scope revision.Scope) (Entry, bool) {
	c := s.chains[scope]
	if len(c) == 0 {
		return Entry{}, false
	}
	return *c[len(c)-1], true
}

// Entry gives a revision by its number.
func (s *State) Entry(number revision.Number) (Entry, bool) {
	entry := s.entries[number]
	if entry == nil {
		return Entry{}, false
	}
	return *entry, true
}

// History gives at most so many revisions, the newest first, of one scope or, with nil, of all.
func (s *State) History(scope *revision.Scope, most int) []Entry {
	var numbers []revision.Number
	for number, entry := range s.entries {
		if scope == nil || entry.Scope == *scope {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	slices.Reverse(numbers)
	numbers = numbers[:max(0, min(most, len(numbers)))]
	entries := make([]Entry, 0, len(numbers))
	for _, number := range numbers {
		entries = append(entries, *s.entries[number])
	}
	return entries
}

// Concerned says whether a revision's scope is one of the proxy's.
func (s *State) AppliesTo(number revision.Number, identity revision.Identity) bool {
	entry := s.entries[number]
	return entry != nil && concerns(entry.Scope, identity)
}

// concerns says whether a proxy lies in a scope.
func concerns(scope revision.Scope, identity revision.Identity) bool {
	return slices.Contains(identity.Scopes(), scope)
}

// conflict tells what changed since the author of a command looked.
func (c chain) conflict(a ApplyCommand) *ConflictError {
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

// changedKeys gives the paths at which two documents differ, as many as a conflict tells.
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

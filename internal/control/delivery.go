package control

import (
	"sandpass/internal/revision"
)

// Effective gives the released documents of the scopes that a proxy lies in, in the order of merging.
func (s *State) ReleasedDocuments(identity revision.Identity) ([]revision.ScopeDocument, error) {
	if identity.Fleet != s.fleet {
		return nil, &FleetMismatchError{Fleet: identity.Fleet, Want: s.fleet}
	}
	var held []revision.ScopeDocument
	for _, entry := range s.releasedEntries(identity) {
		held = append(held, revision.ScopeDocument{Scope: entry.Scope, Number: entry.Number, Document: entry.Document})
	}
	return held, nil
}

// releasedEntries gives the released revisions of a proxy's scopes, widest first.
func (s *State) releasedEntries(identity revision.Identity) []*Entry {
	var entries []*Entry
	for _, scope := range identity.Scopes() {
		if entry := s.chains[scope].released(); entry != nil {
			entries = append(entries, entry)
		}
	}
	return entries
}

// Wanted is the newest revision that a proxy which holds nothing would be sent, 0 for none.
func (s *State) TargetNumber(identity revision.Identity) revision.Number {
	wanted := revision.Number(0)
	for _, scope := range identity.Scopes() {
		if entry, err := s.chains[scope].target(identity.Proxy, 0); err == nil && entry != nil {
			wanted = max(wanted, entry.Number)
		}
	}
	return wanted
}

// Update says what a proxy is to be sent given what it holds, nil for nothing. No scope ever goes back to a lower number.
// It is whole where nothing is held, and where the checksum that the proxy tells is not that of what it says it holds.
//
// Errors: *FleetError; *AheadError from a replica that has yet to learn what the proxy holds; *UnknownRevisionError where
// it holds a number that its scope never had; *LimitError where the scopes merge into too much.
func (s *State) UpdateFor(hello revision.Hello) (*revision.Update, error) {
	if hello.Identity.Fleet != s.fleet {
		return nil, &FleetMismatchError{Fleet: hello.Identity.Fleet, Want: s.fleet}
	}
	plan, err := s.plan(hello)
	if err != nil {
		return nil, err
	}
	whole, err := s.mustBeWhole(hello, plan)
	if err != nil {
		return nil, err
	}
	if !whole && !plan.differs() {
		return nil, nil
	}
	update := &revision.Update{Revision: max(hello.Revision, plan.newest())}
	// By the number alone a proxy would take an update with an old number for one that it has.
	update.Full = whole || plan.nothingHeld() || update.Revision == hello.Revision
	update.Scopes = s.changes(plan, update.Full)
	update.Checksum, err = s.mergedChecksum(plan.targets())
	if err != nil {
		return nil, err
	}
	return update, nil
}

// step is what one scope of a proxy goes through.
type step struct {
	heldNumber revision.Number
	held       *Entry // nil where nothing is held or the history no longer has it
	target     *Entry
}

// plan is what all scopes of a proxy go through, widest first; scopes without a revision are left out.
type plan []step

func (s *State) plan(hello revision.Hello) (plan, error) {
	if hello.Revision > s.newest {
		return nil, &ReplicaBehindError{Held: hello.Revision, Newest: s.newest}
	}
	var steps plan
	for _, scope := range hello.Identity.Scopes() {
		next := step{heldNumber: heldNumber(hello.Documents, scope)}
		if next.heldNumber > s.newest {
			return nil, &ReplicaBehindError{Scope: scope, Held: next.heldNumber, Newest: s.newest}
		}
		c := s.chains[scope]
		if len(c) == 0 && next.heldNumber > 0 {
			return nil, &UnknownRevisionError{Scope: scope, Number: next.heldNumber}
		}
		var err error
		if next.target, err = c.target(hello.Identity.Proxy, next.heldNumber); err != nil {
			return nil, err
		}
		if next.target != nil {
			next.held = c.find(next.heldNumber)
			steps = append(steps, next)
		}
	}
	return steps, nil
}

// heldNumber is the newest number that a proxy holds of a scope, 0 for none.
func heldNumber(held []revision.ScopeDocument, scope revision.Scope) revision.Number {
	number := revision.Number(0)
	for _, one := range held {
		if one.Scope == scope {
			number = max(number, one.Number)
		}
	}
	return number
}

func (p plan) differs() bool {
	for _, step := range p {
		if step.target.Number != step.heldNumber {
			return true
		}
	}
	return false
}

func (p plan) newest() revision.Number {
	newest := revision.Number(0)
	for _, step := range p {
		newest = max(newest, step.target.Number)
	}
	return newest
}

func (p plan) targets() []*Entry {
	entries := make([]*Entry, 0, len(p))
	for _, step := range p {
		entries = append(entries, step.target)
	}
	return entries
}

func (p plan) nothingHeld() bool {
	for _, step := range p {
		if step.heldNumber > 0 {
			return false
		}
	}
	return true
}

// mustBeWhole says whether what the proxy holds can't be built upon: its checksum is not that of what it says it holds,
// or the history no longer has that.
func (s *State) mustBeWhole(hello revision.Hello, p plan) (bool, error) {
	if hello.Revision == 0 && p.nothingHeld() {
		return false, nil
	}
	var entries []*Entry
	for _, step := range p {
		if step.heldNumber > 0 && step.held == nil {
			return true, nil
		}
		if step.held != nil {
			entries = append(entries, step.held)
		}
	}
	checksum, err := s.mergedChecksum(entries)
	return checksum != hello.Checksum, err
}

// changes gives the scopes' parts of an update: all of them, or only those that differ.
func (s *State) changes(p plan, whole bool) []revision.Change {
	changes := []revision.Change{}
	for _, step := range p {
		switch {
		case whole:
			changes = append(changes, s.change(nil, step.target))
		case step.target.Number != step.heldNumber:
			changes = append(changes, s.change(step.held, step.target))
		}
	}
	return changes
}

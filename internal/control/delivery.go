package control

import (
	"sandpass/internal/revision"
)

// ReleasedDocuments returns the latest released documents of the scopes that a proxy belongs to, in merge order.
func (s *State) ReleasedDocuments(identity revision.Identity) ([]revision.ScopeDocument, error) {
	if identity.Fleet != s.fleet {
		return nil, &FleetMismatchError{Fleet: identity.Fleet, Want: s.fleet}
	}
	var documents []revision.ScopeDocument
	for _, entry := range s.releasedEntries(identity) {
		documents = append(documents, revision.ScopeDocument{Scope: entry.Scope, Number: entry.Number, Document: entry.Document})
	}
	return documents, nil
}

// releasedEntries returns the latest released revisions of a proxy's scopes, widest scope first.
func (s *State) releasedEntries(identity revision.Identity) []*Entry {
	var entries []*Entry
	for _, scope := range identity.Scopes() {
		if entry := s.chains[scope].latestReleased(); entry != nil {
			entries = append(entries, entry)
		}
	}
	return entries
}

// TargetNumber returns the newest revision number that a proxy without any configuration would be sent, or 0.
func (s *State) TargetNumber(identity revision.Identity) revision.Number {
	target := revision.Number(0)
	for _, scope := range identity.Scopes() {
		if entry, err := s.chains[scope].target(identity.Proxy, 0); err == nil && entry != nil {
			target = max(target, entry.Number)
		}
	}
	return target
}

// UpdateFor returns the update to send to a proxy, given the revisions that it holds, or nil if there is none to send. No
// scope ever goes back to a lower number. The update is full if the proxy holds nothing, or if the checksum that it reports
// does not match the revisions that it reports.
//
// Errors: *FleetMismatchError; *ReplicaBehindError if this replica has not yet applied a revision that the proxy holds;
// *UnknownRevisionError if the proxy holds a number that its scope never had; *LimitError if the merged configuration is too
// large.
func (s *State) UpdateFor(hello revision.Hello) (*revision.Update, error) {
	if hello.Identity.Fleet != s.fleet {
		return nil, &FleetMismatchError{Fleet: hello.Identity.Fleet, Want: s.fleet}
	}
	plan, err := s.planUpdate(hello)
	if err != nil {
		return nil, err
	}
	full, err := s.needsFullUpdate(hello, plan)
	if err != nil {
		return nil, err
	}
	if !full && !plan.hasChanges() {
		return nil, nil
	}
	update := &revision.Update{Revision: max(hello.Revision, plan.newestTarget())}
	// A proxy ignores a partial update whose number it already has, so an update with the same number is sent in full.
	update.Full = full || plan.holdsNothing() || update.Revision == hello.Revision
	update.Scopes = s.scopeChanges(plan, update.Full)
	update.Checksum, err = s.mergedChecksum(plan.targets())
	if err != nil {
		return nil, err
	}
	return update, nil
}

// scopeStep is the transition of one scope of a proxy.
type scopeStep struct {
	heldNumber revision.Number
	heldEntry  *Entry // nil if nothing is held, or if the history no longer has it
	target     *Entry
}

// updatePlan lists the transitions of all scopes of a proxy, widest scope first. Scopes without a target are left out.
type updatePlan []scopeStep

// planUpdate determines for each scope of a proxy which revision it holds and which it should have.
func (s *State) planUpdate(hello revision.Hello) (updatePlan, error) {
	if hello.Revision > s.newest {
		return nil, &ReplicaBehindError{Held: hello.Revision, Newest: s.newest}
	}
	var steps updatePlan
	for _, scope := range hello.Identity.Scopes() {
		step := scopeStep{heldNumber: heldNumber(hello.Documents, scope)}
		if step.heldNumber > s.newest {
			return nil, &ReplicaBehindError{Scope: scope, Held: step.heldNumber, Newest: s.newest}
		}
		c := s.chains[scope]
		if len(c) == 0 && step.heldNumber > 0 {
			return nil, &UnknownRevisionError{Scope: scope, Number: step.heldNumber}
		}
		var err error
		if step.target, err = c.target(hello.Identity.Proxy, step.heldNumber); err != nil {
			return nil, err
		}
		if step.target != nil {
			step.heldEntry = c.find(step.heldNumber)
			steps = append(steps, step)
		}
	}
	return steps, nil
}

// heldNumber returns the newest revision number that a proxy holds of a scope, or 0.
func heldNumber(held []revision.ScopeDocument, scope revision.Scope) revision.Number {
	number := revision.Number(0)
	for _, document := range held {
		if document.Scope == scope {
			number = max(number, document.Number)
		}
	}
	return number
}

// hasChanges reports whether any scope has a target other than the held revision.
func (p updatePlan) hasChanges() bool {
	for _, step := range p {
		if step.target.Number != step.heldNumber {
			return true
		}
	}
	return false
}

// newestTarget returns the highest number among the targets, or 0.
func (p updatePlan) newestTarget() revision.Number {
	newest := revision.Number(0)
	for _, step := range p {
		newest = max(newest, step.target.Number)
	}
	return newest
}

// targets returns the target revisions of all scopes.
func (p updatePlan) targets() []*Entry {
	entries := make([]*Entry, 0, len(p))
	for _, step := range p {
		entries = append(entries, step.target)
	}
	return entries
}

// holdsNothing reports whether the proxy holds no revision of any scope in the plan.
func (p updatePlan) holdsNothing() bool {
	for _, step := range p {
		if step.heldNumber > 0 {
			return false
		}
	}
	return true
}

// needsFullUpdate reports whether an update cannot be based on what the proxy holds: its checksum does not match the
// revisions that it reports, or the history no longer has one of them.
func (s *State) needsFullUpdate(hello revision.Hello, p updatePlan) (bool, error) {
	if hello.Revision == 0 && p.holdsNothing() {
		return false, nil
	}
	var entries []*Entry
	for _, step := range p {
		if step.heldNumber > 0 && step.heldEntry == nil {
			return true, nil
		}
		if step.heldEntry != nil {
			entries = append(entries, step.heldEntry)
		}
	}
	checksum, err := s.mergedChecksum(entries)
	return checksum != hello.Checksum, err
}

// scopeChanges returns the changes of an update: full documents of all scopes, or only the scopes that differ.
func (s *State) scopeChanges(p updatePlan, full bool) []revision.Change {
	changes := []revision.Change{}
	for _, step := range p {
		switch {
		case full:
			changes = append(changes, s.scopeChange(nil, step.target))
		case step.target.Number != step.heldNumber:
			changes = append(changes, s.scopeChange(step.heldEntry, step.target))
		}
	}
	return changes
}

package control

import (
	"slices"
	"strings"

	"sandpass/internal/revision"
)

// Checker says whether a merged configuration would be accepted by a proxy.
type ConfigChecker func(effective revision.Document) error

// CheckApply checks what the command would give: over the fleet's document alone, and in each distinct combination of
// scopes among the identities that it concerns. The error is a *CheckError, or what Document gives.
func (s *State) CheckApply(a ApplyCommand, identities []revision.Identity, check ConfigChecker) error {
	document, err := s.ResolveDocument(a)
	if err != nil {
		return err
	}
	entry := &Entry{Revision: revision.Revision{Scope: a.Scope, Number: s.newest + 1, Document: document}}
	checked := map[string]bool{}
	for _, scopes := range combinations(a.Scope, identities) {
		entries := s.combination(scopes, entry)
		key := combinationKey(entries)
		if checked[key] {
			continue
		}
		checked[key] = true
		if err := checkMerged(entries, check); err != nil {
			return err
		}
	}
	return nil
}

// combinations gives the lists of scopes to check a scope's document in, the bare one first.
func combinations(scope revision.Scope, identities []revision.Identity) [][]revision.Scope {
	lists := [][]revision.Scope{{revision.FleetScope, scope}}
	if scope == revision.FleetScope {
		lists[0] = []revision.Scope{scope}
	}
	for _, identity := range identities {
		if scopes := identity.Scopes(); slices.Contains(scopes, scope) {
			lists = append(lists, scopes)
		}
	}
	return lists
}

// combination gives the released revisions of the scopes, with a new one in its scope's place.
func (s *State) combination(scopes []revision.Scope, replacement *Entry) []*Entry {
	var entries []*Entry
	for _, scope := range scopes {
		entry := s.chains[scope].released()
		if scope == replacement.Scope {
			entry = replacement
		}
		if entry != nil {
			entries = append(entries, entry)
		}
	}
	return entries
}

// checkMerged merges revisions by the way that a proxy does and checks the result.
func checkMerged(entries []*Entry, check ConfigChecker) error {
	var names []string
	var documents []revision.Document
	for _, entry := range entries {
		names = append(names, entry.Scope.String())
		documents = append(documents, entry.Document)
	}
	merged, err := revision.Merge(documents...)
	if err == nil {
		err = check(merged)
	}
	if err != nil {
		return &CheckError{Scopes: strings.Join(names, " + "), Err: err}
	}
	return nil
}

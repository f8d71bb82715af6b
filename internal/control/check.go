package control

import (
	"slices"
	"strings"

	"sandpass/internal/revision"
)

// ConfigChecker returns an error if a proxy would refuse the merged configuration.
type ConfigChecker func(effective revision.Document) error

// CheckApply checks the configurations that the command would produce: the document merged over the fleet's document alone,
// and each distinct combination of scopes among the identities that belong to the command's scope. The error is a *CheckError,
// or an error of ResolveDocument.
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

// combinations returns the lists of scopes to merge a scope's document with. The first consists of the fleet and the scope
// only.
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

// combination returns the latest released revisions of the scopes, with the replacement in place of its scope's revision.
func (s *State) combination(scopes []revision.Scope, replacement *Entry) []*Entry {
	var entries []*Entry
	for _, scope := range scopes {
		entry := s.chains[scope].latestReleased()
		if scope == replacement.Scope {
			entry = replacement
		}
		if entry != nil {
			entries = append(entries, entry)
		}
	}
	return entries
}

// checkMerged merges revisions in the same way as a proxy and checks the result.
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

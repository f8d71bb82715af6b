package control

import "sandpass/internal/revision"

// Checker says whether a merged configuration would be accepted by a proxy.
type Checker func(effective revision.Document) error

// Document gives the document that an ApplyCommand would put in force: its own, or the one that it brings back.
func (s *State) Document(a ApplyCommand) (revision.Document, error) { panic("not written") }

// CheckApply checks what the command would give by itself and in each distinct combination of scopes among the identities
// that it concerns. The error is a *CheckError, or what Document gives.
func (s *State) CheckApply(a ApplyCommand, identities []revision.Identity, check Checker) error {
	panic("not written")
}

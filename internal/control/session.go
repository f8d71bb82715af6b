package control

import (
	"fmt"

	"sandpass/internal/revision"
)

// unknownChecksum replaces the checksum of a proxy that does not have what this replica expects. It matches no document, so
// the next update is full.
const unknownChecksum = "unknown"

// Session is the replica's side of one proxy's watch: what the proxy holds, and the update that it has not yet answered.
type Session struct {
	hello      revision.Hello
	unanswered *revision.Update
	refusedKey string // updateKey of the update that the proxy refused; it is not sent again
}

// NewSession starts a session from the proxy's Hello. It returns an error for an unknown protocol or an invalid identity.
func NewSession(hello revision.Hello) (*Session, error) {
	if hello.Protocol != revision.Protocol {
		return nil, fmt.Errorf("protocol %d is not supported, this replica uses protocol %d", hello.Protocol, revision.Protocol)
	}
	if err := hello.Identity.Check(); err != nil {
		return nil, err
	}
	return &Session{hello: hello}, nil
}

// Identity returns the identity of the proxy.
func (s *Session) Identity() revision.Identity { return s.hello.Identity }

// Hello describes what the proxy holds according to all its reports, without documents.
func (s *Session) Hello() revision.Hello { return s.hello }

// NextUpdate returns the update to send now and records it as sent. It returns nil while an update is unanswered, if there is
// nothing new, or if the proxy refused the same update before. It must be called after NewSession, after each HandleReport and
// after each applied command. The errors are those of State.UpdateFor; after a *ReplicaBehindError, call it again when more
// commands are applied.
func (s *Session) NextUpdate(state *State) (*revision.Update, error) {
	if s.unanswered != nil {
		return nil, nil
	}
	update, err := state.UpdateFor(s.hello)
	if err != nil || update == nil || updateKey(update) == s.refusedKey {
		return nil, err
	}
	s.unanswered = update
	return update, nil
}

// CancelSent undoes NextUpdate if the update was not sent because the rate limit delays it.
func (s *Session) CancelSent() { s.unanswered = nil }

// updateKey identifies the result of an update.
func updateKey(update *revision.Update) string {
	return fmt.Sprintf("%d %s", update.Revision, update.Checksum)
}

// HandleReport processes a report of the proxy. It returns false if the report does not answer the last sent update.
func (s *Session) HandleReport(report revision.Report) bool {
	if s.unanswered == nil || report.Revision != s.unanswered.Revision {
		return false
	}
	update := s.unanswered
	s.unanswered = nil
	verdict := report.Verdict
	if verdict == revision.InForce && report.Checksum != "" && report.Checksum != update.Checksum {
		verdict = revision.Unknown
	}
	switch verdict {
	case revision.InForce:
		s.applyUpdate(update)
	case revision.Unknown:
		s.hello.Checksum = unknownChecksum
		if update.Full {
			s.refusedKey = updateKey(update) // sending the same full update again would not help
		}
	default:
		s.refusedKey = updateKey(update)
	}
	return true
}

// applyUpdate records that an update is in force.
func (s *Session) applyUpdate(update *revision.Update) {
	held := map[revision.Scope]revision.Number{}
	if !update.Full {
		for _, document := range s.hello.Documents {
			held[document.Scope] = document.Number
		}
	}
	for _, change := range update.Scopes {
		held[change.Scope] = change.Number
	}
	s.hello.Documents = nil
	for _, scope := range s.hello.Identity.Scopes() {
		if number := held[scope]; number > 0 {
			s.hello.Documents = append(s.hello.Documents, revision.ScopeDocument{Scope: scope, Number: number})
		}
	}
	s.hello.Revision = update.Revision
	s.hello.Checksum = update.Checksum
	s.refusedKey = ""
}

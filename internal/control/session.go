package control

import (
	"fmt"

	"sandpass/internal/revision"
)

// unknownChecksum stands for what a proxy has whose word can't be built upon; no document has it.
const unknownChecksum = "unknown"

// Session is one proxy's watch as a replica sees it: what the proxy holds, and what was sent and not yet answered.
type Session struct {
	hello   revision.Hello
	sent    *revision.Update
	refused string // the update that the proxy did not take: it is not sent again
}

// NewSession begins a watch by the proxy's Hello.
func NewSession(hello revision.Hello) (*Session, error) {
	if hello.Protocol != revision.Protocol {
		return nil, fmt.Errorf("protocol %d is unknown, %d is spoken here", hello.Protocol, revision.Protocol)
	}
	if err := hello.Identity.Check(); err != nil {
		return nil, err
	}
	return &Session{hello: hello}, nil
}

// Identity says whose watch it is.
func (s *Session) Identity() revision.Identity { return s.hello.Identity }

// Hello is what the proxy holds by all that it has reported, numbers only.
func (s *Session) Hello() revision.Hello { return s.hello }

// Next gives the update to send now, nil while one is unanswered, while there is nothing new, or while what there is
// was refused. Ask after the Hello, after each Reported and after each applied command. The update counts as sent.
// Errors are those of State.Update; after an *AheadError ask again when more is applied.
func (s *Session) NextUpdate(state *State) (*revision.Update, error) {
	if s.sent != nil {
		return nil, nil
	}
	update, err := state.UpdateFor(s.hello)
	if err != nil || update == nil || updateKey(update) == s.refused {
		return nil, err
	}
	s.sent = update
	return update, nil
}

// Unsent takes back an update that Next gave and that was not sent after all, for the pacer's sake.
func (s *Session) CancelSent() { s.sent = nil }

// updateKey names what an update would lead to.
func updateKey(update *revision.Update) string {
	return fmt.Sprintf("%d %s", update.Revision, update.Checksum)
}

// Reported takes the proxy's answer. It says whether the report belongs to the update that was sent last.
func (s *Session) HandleReport(report revision.Report) bool {
	if s.sent == nil || report.Revision != s.sent.Revision {
		return false
	}
	update := s.sent
	s.sent = nil
	verdict := report.Verdict
	if verdict == revision.InForce && report.Checksum != "" && report.Checksum != update.Checksum {
		verdict = revision.Unknown
	}
	switch verdict {
	case revision.InForce:
		s.take(update)
	case revision.Unknown:
		s.hello.Checksum = unknownChecksum
		if update.Full {
			s.refused = updateKey(update) // another whole one would fare no better
		}
	default:
		s.refused = updateKey(update)
	}
	return true
}

// take notes that an update is in force.
func (s *Session) take(update *revision.Update) {
	held := map[revision.Scope]revision.Number{}
	if !update.Full {
		for _, one := range s.hello.Documents {
			held[one.Scope] = one.Number
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
	s.refused = ""
}

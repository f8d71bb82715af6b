package control

import "sandpass/internal/revision"

// Session is one proxy's watch as a replica sees it: what the proxy holds, and what was sent and not yet answered.
type Session struct{}

// NewSession begins a watch by the proxy's Hello.
func NewSession(hello revision.Hello) (*Session, error) { panic("not written") }

// Identity says whose watch it is.
func (s *Session) Identity() revision.Identity { panic("not written") }

// Next gives the update to send now, nil while one is unanswered, while there is nothing new, or while what there is
// was refused. Ask after the Hello, after each Reported and after each applied command. The update counts as sent.
func (s *Session) Next(state *State) (*revision.Update, error) { panic("not written") }

// Reported takes the proxy's answer. It says whether the report belongs to the update that was sent last.
func (s *Session) Reported(report revision.Report) bool { panic("not written") }

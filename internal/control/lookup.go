package control

// Outcome gives the outcome of a command that was carried out, by its ID, as long as it is remembered.
func (s *State) Outcome(id string) (Outcome, bool) { return s.outcomes.get(id) }

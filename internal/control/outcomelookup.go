package control

// Outcome returns the outcome of the executed command with the given ID, if it is still remembered.
func (s *State) Outcome(id string) (Outcome, bool) { return s.outcomes.get(id) }

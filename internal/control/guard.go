package control

import "sandpass/internal/revision"

// GuardConfig bounds trials. Zero values stand for the defaults.
type GuardConfig struct {
	Share   float64 // of the proxies that a scope concerns, at most so many are canaries, but one at least
	Timeout float64 // seconds until silent canaries are passed over
}

// Guard decides which proxies take a revision first and what follows from their reports.
type Guard struct{}

// NewGuard gives a guard that has seen nothing.
func NewGuard(config GuardConfig) *Guard { panic("not written") }

// Canaries chooses the proxies that take a new revision of the scope first: one in each zone.
func (g *Guard) Canaries(connected []revision.Identity, scope revision.Scope) []string {
	panic("not written")
}

// Reported takes a proxy's report; now is in seconds of any steady clock.
func (g *Guard) Reported(now float64, proxy string, report revision.Report) { panic("not written") }

// Learn takes over what a new leader knows of all proxies.
func (g *Guard) Learn(now float64, view *FleetView) { panic("not written") }

// Due gives the commands to propose now. One that the state does not show carried out is given again after a while.
func (g *Guard) Due(now float64, s *State) []Command { panic("not written") }

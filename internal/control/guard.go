package control

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"sandpass/internal/revision"
)

// Defaults and times of a Guard, in seconds.
const (
	DefaultCanaryShare          = 0.1  // of the proxies that a scope concerns
	DefaultCanaryTimeoutSeconds = 0.8  // until a trial that half of the canaries passed ends well without the silent ones
	TrialTimeoutSeconds         = 5.0  // until a trial that fewer have passed is held
	PostReleaseWatchSeconds     = 10.0 // after its release a refusal still holds a revision
	repeatAfter                 = 0.5  // until a command is proposed again that the state does not show carried out
)

// GuardConfig bounds trials. Zero values stand for the defaults.
type CanaryConfig struct {
	Share          float64 // of the proxies that a scope concerns, at most so many are canaries, but one at least
	TimeoutSeconds float64 // seconds until silent canaries are passed over
}

// Guard decides which proxies take a revision first and what follows from their reports. It runs on the leader.
//
// A revision that any canary refuses is taken by the other canaries at most: one proxy in each zone, and at most the share
// of the proxies concerned, but one at least. That is 11 of 560 in 11 zones. Where all canaries take a revision that
// others refuse, those others are all that it fails at, as a proxy that refuses keeps what it had; the first refusal within
// WatchReleased holds it, and proxies that have not been sent it until then are not. A refusal counts against each trial
// whose canary the proxy is and that it had not passed before, as one update may carry several.
//
// The bound fails where half of the canaries pass a revision and each that would refuse it is silent until the time-out:
// all proxies may take it then. Revisions applied at once, and those applied while no proxy is connected, have no canaries.
// A new leader forgets that it watched a released revision, not that one is on trial.
type CanaryController struct {
	config   CanaryConfig
	answers  map[string]answer
	silent   map[string]bool // canaries that said nothing in their last trial: others of their zone go first
	trials   map[revision.Number]*trial
	released map[revision.Number]*trial // those whose trial this guard saw
}

// answer is a proxy's newest word.
type answer struct {
	inForce revision.Number
	refused revision.Number
	reason  string
}

// trial is a revision that is watched.
type trial struct {
	since    float64
	proposed float64 // when a command about it was last given
	asked    bool
}

// NewGuard gives a guard that has seen nothing.
func NewCanaryController(config CanaryConfig) *CanaryController {
	return &CanaryController{
		config: CanaryConfig{
			Share:          cmp.Or(config.Share, DefaultCanaryShare),
			TimeoutSeconds: cmp.Or(config.TimeoutSeconds, DefaultCanaryTimeoutSeconds),
		},
		answers:  map[string]answer{},
		silent:   map[string]bool{},
		trials:   map[revision.Number]*trial{},
		released: map[revision.Number]*trial{},
	}
}

// Canaries chooses the proxies that take a new revision of the scope first: one in each zone, ordered by zone. It gives
// none where none is connected.
func (g *CanaryController) SelectCanaries(connected []revision.Identity, scope revision.Scope) []string {
	concerned := 0
	byZone := map[string]string{}
	for _, identity := range connected {
		if !concerns(scope, identity) {
			continue
		}
		concerned++
		if chosen, found := byZone[identity.Zone]; !found || g.goesBefore(identity.Proxy, chosen) {
			byZone[identity.Zone] = identity.Proxy
		}
	}
	most := min(MaxCanaries, max(1, int(g.config.Share*float64(concerned))))
	var canaries []string
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		if len(canaries) < most {
			canaries = append(canaries, byZone[zone])
		}
	}
	return canaries
}

// goesBefore says whether one proxy of a zone is the better canary.
func (g *CanaryController) goesBefore(proxy, other string) bool {
	if g.silent[proxy] != g.silent[other] {
		return g.silent[other]
	}
	return proxy < other
}

// Reported takes a proxy's report.
func (g *CanaryController) RecordReport(_ float64, proxy string, report revision.Report) {
	known := g.answers[proxy]
	switch report.Verdict {
	case revision.InForce:
		known.inForce = max(known.inForce, report.Revision)
	case revision.Refused:
		known.refused = report.Revision
		known.reason = report.Reason
	default:
		return
	}
	g.answers[proxy] = known
	delete(g.silent, proxy)
}

// Learn takes over what a new leader knows of all proxies. Proxies that are not known there are forgotten.
func (g *CanaryController) ResetFromFleet(_ float64, view *FleetView) {
	clear(g.answers)
	for _, status := range view.Statuses() {
		g.answers[status.Identity.Proxy] = answer{
			inForce: status.InForce,
			refused: status.RefusedNumber,
			reason:  status.RefusalReason,
		}
	}
}

// Due gives the commands to propose now, each about one revision; now is in seconds of any steady clock. A command that
// the state does not show carried out is given again after a while, with the same ID.
func (g *CanaryController) PendingCommands(now float64, s *State) []Command {
	var commands []Command
	onTrial := s.onTrial()
	g.follow(now, s, onTrial)
	for _, entry := range onTrial {
		watched := g.trials[entry.Number]
		if command := g.judge(now, entry, watched.since); command != nil && watched.ask(now) {
			commands = append(commands, *command)
		}
	}
	for _, number := range slices.Sorted(maps.Keys(g.released)) {
		watched := g.released[number]
		if command := g.refusalOf(number); command != nil && watched.ask(now) {
			commands = append(commands, *command)
		}
	}
	return commands
}

// follow brings what is watched up to the state.
func (g *CanaryController) follow(now float64, s *State, onTrial []*Entry) {
	for _, entry := range onTrial {
		if g.trials[entry.Number] == nil {
			g.trials[entry.Number] = &trial{since: now}
		}
	}
	for number := range g.trials {
		entry := s.entries[number]
		if entry != nil && entry.Stage == StageTrial {
			continue
		}
		delete(g.trials, number)
		if entry != nil && entry.Stage == StageReleased {
			g.released[number] = &trial{since: now}
		}
	}
	for number, watched := range g.released {
		entry := s.entries[number]
		if entry == nil || entry.Stage != StageReleased || now-watched.since > PostReleaseWatchSeconds {
			delete(g.released, number)
		}
	}
}

// ask says whether to propose a command now, and counts it as proposed.
func (t *trial) ask(now float64) bool {
	if t.asked && now-t.proposed < repeatAfter {
		return false
	}
	t.asked = true
	t.proposed = now
	return true
}

// judge says what is to become of a revision on trial, nil for nothing yet.
func (g *CanaryController) judge(now float64, entry *Entry, since float64) *Command {
	passed := 0
	for _, name := range entry.Canaries {
		known := g.answers[name]
		switch {
		case known.inForce >= entry.Number:
			passed++
		case known.refused >= entry.Number:
			return holdCommand(entry.Number, name, known.reason)
		}
	}
	waited := now - since
	switch {
	case passed == len(entry.Canaries):
		return releaseCommand(entry.Number)
	case waited >= g.config.TimeoutSeconds && 2*passed >= len(entry.Canaries):
		g.noteSilent(entry)
		return releaseCommand(entry.Number)
	case waited >= TrialTimeoutSeconds:
		g.noteSilent(entry)
		reason := fmt.Sprintf("%d of %d canaries answered within %v s", passed, len(entry.Canaries), TrialTimeoutSeconds)
		return holdCommand(entry.Number, "", reason)
	}
	return nil
}

// noteSilent remembers the canaries that have not answered.
func (g *CanaryController) noteSilent(entry *Entry) {
	for _, name := range entry.Canaries {
		if g.answers[name].inForce < entry.Number {
			g.silent[name] = true
		}
	}
}

// refusalOf gives the command that holds a released revision which some proxy refused, nil for none.
func (g *CanaryController) refusalOf(number revision.Number) *Command {
	for _, name := range slices.Sorted(maps.Keys(g.answers)) {
		if known := g.answers[name]; known.refused == number && known.inForce < number {
			return holdCommand(number, name, known.reason)
		}
	}
	return nil
}

func releaseCommand(number revision.Number) *Command {
	return &Command{ID: fmt.Sprintf("release/%d", number), Release: &ReleaseCommand{Number: number}}
}

func holdCommand(number revision.Number, proxy, reason string) *Command {
	reason = strings.ToValidUTF8(reason[:min(len(reason), MaxReasonBytes)], "")
	return &Command{ID: fmt.Sprintf("hold/%d", number), Hold: &HoldCommand{Number: number, Proxy: proxy, Reason: reason}}
}

// onTrial gives the revisions that are on trial, ascending.
func (s *State) onTrial() []*Entry {
	var entries []*Entry
	for _, c := range s.chains {
		if latest := c[len(c)-1]; latest.Stage == StageTrial {
			entries = append(entries, latest)
		}
	}
	slices.SortFunc(entries, func(a, b *Entry) int { return cmp.Compare(a.Number, b.Number) })
	return entries
}

package control

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"sandpass/internal/revision"
)

// Defaults and time limits of a CanaryController. Times are in seconds.
const (
	DefaultCanaryShare          = 0.1  // maximum share of the proxies in the scope
	DefaultCanaryTimeoutSeconds = 0.8  // after this, half of the canaries suffice for a release
	TrialTimeoutSeconds         = 5.0  // after this, a revision that fewer canaries accepted is held
	PostReleaseWatchSeconds     = 10.0 // for this long after its release, a refusal holds a revision
	proposalRetrySeconds        = 0.5  // until a command is proposed again that the state does not reflect
)

// CanaryConfig configures canary trials. Zero values select the defaults.
type CanaryConfig struct {
	Share          float64 // maximum share of the proxies in a scope that are canaries; at least one is
	TimeoutSeconds float64 // until a revision is released without unresponsive canaries
}

// CanaryController selects the canaries of a new revision and decides from their reports whether the revision is released to
// all proxies or held. It runs on the leader.
//
// The canaries are one proxy per zone, limited to a share of the proxies in the scope, but at least one: 11 of 560 proxies in
// 11 zones. If any canary refuses a revision, at most the other canaries have applied it. If all canaries accept a revision
// that other proxies refuse, only those others are affected, and they keep their previous configuration. The first refusal
// within PostReleaseWatchSeconds holds the revision, and proxies that have not been sent it by then do not receive it. A
// refusal counts against every trial that the proxy is a canary of and has not accepted, because one update may carry several
// revisions.
//
// The limit does not hold if half of the canaries accept a revision and all that would refuse it do not answer before the
// timeout: then the revision is released to all proxies. Revisions that are applied at once, and those applied while no proxy
// is connected, have no canaries. A new leader does not know which released revisions its predecessor watched, but does know
// which revisions are on trial.
type CanaryController struct {
	config           CanaryConfig
	reports          map[string]proxyReport
	unresponsive     map[string]bool // canaries that did not answer in their last trial; other proxies of their zone are preferred
	trials           map[revision.Number]*watchedRevision
	recentlyReleased map[revision.Number]*watchedRevision // revisions whose trial this controller observed
}

// proxyReport summarizes the latest reports of a proxy.
type proxyReport struct {
	inForce revision.Number
	refused revision.Number
	reason  string
}

// watchedRevision is a revision on trial, or one that was released recently.
type watchedRevision struct {
	startedAt   float64
	proposedAt  float64 // when a command for it was last proposed
	wasProposed bool
}

// NewCanaryController returns a CanaryController without any reports.
func NewCanaryController(config CanaryConfig) *CanaryController {
	return &CanaryController{
		config: CanaryConfig{
			Share:          cmp.Or(config.Share, DefaultCanaryShare),
			TimeoutSeconds: cmp.Or(config.TimeoutSeconds, DefaultCanaryTimeoutSeconds),
		},
		reports:          map[string]proxyReport{},
		unresponsive:     map[string]bool{},
		trials:           map[revision.Number]*watchedRevision{},
		recentlyReleased: map[revision.Number]*watchedRevision{},
	}
}

// SelectCanaries selects the proxies that receive a new revision of the scope first: one per zone, ordered by zone. It
// returns nil if no proxy of the scope is connected.
func (c *CanaryController) SelectCanaries(connected []revision.Identity, scope revision.Scope) []string {
	inScope := 0
	byZone := map[string]string{}
	for _, identity := range connected {
		if !scopeIncludes(scope, identity) {
			continue
		}
		inScope++
		if chosen, found := byZone[identity.Zone]; !found || c.isPreferred(identity.Proxy, chosen) {
			byZone[identity.Zone] = identity.Proxy
		}
	}
	maxCanaries := min(MaxCanaries, max(1, int(c.config.Share*float64(inScope))))
	var canaries []string
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		if len(canaries) < maxCanaries {
			canaries = append(canaries, byZone[zone])
		}
	}
	return canaries
}

// isPreferred reports whether a proxy is a better canary than another one of its zone: responsive proxies come first, then
// the order of names decides.
func (c *CanaryController) isPreferred(proxy, other string) bool {
	if c.unresponsive[proxy] != c.unresponsive[other] {
		return c.unresponsive[other]
	}
	return proxy < other
}

// RecordReport records a report of a proxy.
func (c *CanaryController) RecordReport(_ float64, proxy string, report revision.Report) {
	latest := c.reports[proxy]
	switch report.Verdict {
	case revision.InForce:
		latest.inForce = max(latest.inForce, report.Revision)
	case revision.Refused:
		latest.refused = report.Revision
		latest.reason = report.Reason
	default:
		return
	}
	c.reports[proxy] = latest
	delete(c.unresponsive, proxy)
}

// ResetFromFleet replaces all recorded reports by the statuses in a FleetView. A new leader calls it first.
func (c *CanaryController) ResetFromFleet(_ float64, view *FleetView) {
	clear(c.reports)
	for _, status := range view.Statuses() {
		c.reports[status.Identity.Proxy] = proxyReport{
			inForce: status.InForce,
			refused: status.RefusedNumber,
			reason:  status.RefusalReason,
		}
	}
}

// PendingCommands returns the commands to propose now, each for one revision. The time is in seconds of any monotonic clock.
// A command that the state does not reflect is returned again after proposalRetrySeconds, with the same ID.
func (c *CanaryController) PendingCommands(now float64, s *State) []Command {
	var commands []Command
	trials := s.entriesOnTrial()
	c.syncWithState(now, s, trials)
	for _, entry := range trials {
		watched := c.trials[entry.Number]
		if command := c.decide(now, entry, watched.startedAt); command != nil && watched.tryPropose(now) {
			commands = append(commands, *command)
		}
	}
	for _, number := range slices.Sorted(maps.Keys(c.recentlyReleased)) {
		watched := c.recentlyReleased[number]
		if command := c.holdIfRefused(number); command != nil && watched.tryPropose(now) {
			commands = append(commands, *command)
		}
	}
	return commands
}

// syncWithState updates the sets of watched revisions from the state.
func (c *CanaryController) syncWithState(now float64, s *State, trials []*Entry) {
	for _, entry := range trials {
		if c.trials[entry.Number] == nil {
			c.trials[entry.Number] = &watchedRevision{startedAt: now}
		}
	}
	for number := range c.trials {
		entry := s.entries[number]
		if entry != nil && entry.Stage == StageTrial {
			continue
		}
		delete(c.trials, number)
		if entry != nil && entry.Stage == StageReleased {
			c.recentlyReleased[number] = &watchedRevision{startedAt: now}
		}
	}
	for number, watched := range c.recentlyReleased {
		entry := s.entries[number]
		if entry == nil || entry.Stage != StageReleased || now-watched.startedAt > PostReleaseWatchSeconds {
			delete(c.recentlyReleased, number)
		}
	}
}

// tryPropose reports whether to propose a command now, and if so records it as proposed.
func (w *watchedRevision) tryPropose(now float64) bool {
	if w.wasProposed && now-w.proposedAt < proposalRetrySeconds {
		return false
	}
	w.wasProposed = true
	w.proposedAt = now
	return true
}

// decide returns the command that releases or holds a revision on trial, or nil while the trial continues.
func (c *CanaryController) decide(now float64, entry *Entry, startedAt float64) *Command {
	accepted := 0
	for _, name := range entry.Canaries {
		report := c.reports[name]
		switch {
		case report.inForce >= entry.Number:
			accepted++
		case report.refused >= entry.Number:
			return holdCommand(entry.Number, name, report.reason)
		}
	}
	elapsed := now - startedAt
	switch {
	case accepted == len(entry.Canaries):
		return releaseCommand(entry.Number)
	case elapsed >= c.config.TimeoutSeconds && 2*accepted >= len(entry.Canaries):
		c.markUnresponsive(entry)
		return releaseCommand(entry.Number)
	case elapsed >= TrialTimeoutSeconds:
		c.markUnresponsive(entry)
		reason := fmt.Sprintf("%d of %d canaries answered within %v s", accepted, len(entry.Canaries), TrialTimeoutSeconds)
		return holdCommand(entry.Number, "", reason)
	}
	return nil
}

// markUnresponsive marks the canaries that have not accepted the revision as unresponsive.
func (c *CanaryController) markUnresponsive(entry *Entry) {
	for _, name := range entry.Canaries {
		if c.reports[name].inForce < entry.Number {
			c.unresponsive[name] = true
		}
	}
}

// holdIfRefused returns the command that holds a released revision if a proxy has refused it, or nil.
func (c *CanaryController) holdIfRefused(number revision.Number) *Command {
	for _, name := range slices.Sorted(maps.Keys(c.reports)) {
		if report := c.reports[name]; report.refused == number && report.inForce < number {
			return holdCommand(number, name, report.reason)
		}
	}
	return nil
}

// releaseCommand returns a command that releases a revision. Its ID is the same on each call.
func releaseCommand(number revision.Number) *Command {
	return &Command{ID: fmt.Sprintf("release/%d", number), Release: &ReleaseCommand{Number: number}}
}

// holdCommand returns a command that holds a revision. Its ID is the same on each call, and the reason is shortened to its
// limit.
func holdCommand(number revision.Number, proxy, reason string) *Command {
	reason = strings.ToValidUTF8(reason[:min(len(reason), MaxReasonBytes)], "")
	return &Command{ID: fmt.Sprintf("hold/%d", number), Hold: &HoldCommand{Number: number, Proxy: proxy, Reason: reason}}
}

// entriesOnTrial returns the revisions on trial, in ascending order.
func (s *State) entriesOnTrial() []*Entry {
	var entries []*Entry
	for _, revisions := range s.chains {
		if latest := revisions[len(revisions)-1]; latest.Stage == StageTrial {
			entries = append(entries, latest)
		}
	}
	slices.SortFunc(entries, func(a, b *Entry) int { return cmp.Compare(a.Number, b.Number) })
	return entries
}

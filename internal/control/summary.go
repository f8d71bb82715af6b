package control

import (
	"slices"
	"strings"
	"time"

	"sandpass/internal/revision"
)

// LaggingProxy describes a proxy that does not have its target revision yet.
type LaggingProxy struct {
	Proxy         string          `json:"proxy"`
	InForce       revision.Number `json:"in_force"`
	Target        revision.Number `json:"wanted"`
	InForceSince  time.Time       `json:"since"` // when InForce was first reported
	RefusedNumber revision.Number `json:"refused,omitempty"`
	RefusalReason string          `json:"reason,omitempty"`
}

// RolloutSummary describes the progress of a rollout.
type RolloutSummary struct {
	Revision     revision.Number `json:"revision"`
	Targeted     int             `json:"concerned"` // connected proxies that should have it
	InForce      int             `json:"in_force"`  // of those, the proxies that have it or a newer revision of its scope
	Lagging      []LaggingProxy  `json:"behind"`    // the other connected proxies, longest unchanged first
	Disconnected int             `json:"gone"`      // known proxies that are not connected
}

// Summary returns how many proxies have all their target revisions.
func (v *FleetView) Summary(s *State) RolloutSummary {
	return v.summarize(s.newest, func(status ProxyStatus) (bool, revision.Number) {
		return true, s.missingNumber(status)
	})
}

// RevisionSummary returns the progress of one revision among the proxies in its scope, whatever its stage. The error is an
// *UnknownRevisionError.
func (v *FleetView) RevisionSummary(s *State, number revision.Number) (RolloutSummary, error) {
	entry := s.entries[number]
	if entry == nil {
		return RolloutSummary{}, &UnknownRevisionError{Number: number}
	}
	return v.summarize(number, func(status ProxyStatus) (bool, revision.Number) {
		if heldNumber(status.HeldDocuments, entry.Scope) >= number {
			return scopeIncludes(entry.Scope, status.Identity), 0
		}
		return scopeIncludes(entry.Scope, status.Identity), number
	}), nil
}

// summarize builds a RolloutSummary. The function classify reports whether a proxy is targeted, and which revision it lacks
// (0 for none).
func (v *FleetView) summarize(number revision.Number, classify func(ProxyStatus) (bool, revision.Number)) RolloutSummary {
	summary := RolloutSummary{Revision: number, Lagging: []LaggingProxy{}}
	for _, status := range v.proxies {
		targeted, target := classify(status)
		switch {
		case !targeted:
		case !status.Connected:
			summary.Disconnected++
		case target == 0:
			summary.Targeted++
			summary.InForce++
		default:
			summary.Targeted++
			summary.Lagging = append(summary.Lagging, status.lagging(target))
		}
	}
	slices.SortFunc(summary.Lagging, func(a, b LaggingProxy) int {
		if order := a.InForceSince.Compare(b.InForceSince); order != 0 {
			return order
		}
		return strings.Compare(a.Proxy, b.Proxy)
	})
	return summary
}

// lagging returns the LaggingProxy for a proxy that lacks the target revision.
func (p ProxyStatus) lagging(target revision.Number) LaggingProxy {
	return LaggingProxy{
		Proxy:         p.Identity.Proxy,
		InForce:       p.InForce,
		Target:        target,
		InForceSince:  p.InForceSince,
		RefusedNumber: p.RefusedNumber,
		RefusalReason: p.RefusalReason,
	}
}

// missingNumber returns the newest revision that a proxy should have and does not have, or 0.
func (s *State) missingNumber(status ProxyStatus) revision.Number {
	missing := revision.Number(0)
	for _, scope := range status.Identity.Scopes() {
		held := heldNumber(status.HeldDocuments, scope)
		target, err := s.chains[scope].target(status.Identity.Proxy, held)
		if err == nil && target != nil && target.Number > held {
			missing = max(missing, target.Number)
		}
	}
	return missing
}

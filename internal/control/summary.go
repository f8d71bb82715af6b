package control

import (
	"slices"
	"strings"
	"time"

	"sandpass/internal/revision"
)

// Lag is a proxy that has yet to take a revision.
type LaggingProxy struct {
	Proxy         string          `json:"proxy"`
	InForce       revision.Number `json:"in_force"`
	Target        revision.Number `json:"wanted"`
	InForceSince  time.Time       `json:"since"` // when what is in force there was reported
	RefusedNumber revision.Number `json:"refused,omitempty"`
	RefusalReason string          `json:"reason,omitempty"`
}

// Summary says how far a revision has come.
type RolloutSummary struct {
	Revision     revision.Number `json:"revision"`
	Targeted     int             `json:"concerned"` // connected proxies that are to have it
	InForce      int             `json:"in_force"`  // of them, those that have it or a newer one of its scope
	Lagging      []LaggingProxy  `json:"behind"`    // the others, the slowest first
	Disconnected int             `json:"gone"`      // proxies that are known and not connected
}

// Summary says how many proxies have all that they are to have.
func (v *FleetView) Summary(s *State) RolloutSummary {
	return v.summarize(s.newest, func(status ProxyStatus) (bool, revision.Number) {
		return true, s.missing(status)
	})
}

// RevisionSummary says how far one revision has come among the proxies that it concerns, whatever its stage. The error is
// an *UnknownRevisionError.
func (v *FleetView) RevisionSummary(s *State, number revision.Number) (RolloutSummary, error) {
	entry := s.entries[number]
	if entry == nil {
		return RolloutSummary{}, &UnknownRevisionError{Number: number}
	}
	return v.summarize(number, func(status ProxyStatus) (bool, revision.Number) {
		if heldNumber(status.HeldDocuments, entry.Scope) >= number {
			return concerns(entry.Scope, status.Identity), 0
		}
		return concerns(entry.Scope, status.Identity), number
	}), nil
}

// summarize counts; judge says whether a proxy is concerned and which revision it lacks, 0 for none.
func (v *FleetView) summarize(number revision.Number, judge func(ProxyStatus) (bool, revision.Number)) RolloutSummary {
	summary := RolloutSummary{Revision: number, Lagging: []LaggingProxy{}}
	for _, status := range v.proxies {
		concerned, wanted := judge(status)
		switch {
		case !concerned:
		case !status.Connected:
			summary.Disconnected++
		case wanted == 0:
			summary.Targeted++
			summary.InForce++
		default:
			summary.Targeted++
			summary.Lagging = append(summary.Lagging, status.lag(wanted))
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

func (p ProxyStatus) lag(wanted revision.Number) LaggingProxy {
	return LaggingProxy{
		Proxy:         p.Identity.Proxy,
		InForce:       p.InForce,
		Target:        wanted,
		InForceSince:  p.InForceSince,
		RefusedNumber: p.RefusedNumber,
		RefusalReason: p.RefusalReason,
	}
}

// missing is the newest revision that a proxy is to have and has not, 0 for none.
func (s *State) missing(status ProxyStatus) revision.Number {
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

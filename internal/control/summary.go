package control

import (
	"slices"
	"strings"
	"time"

	"sandpass/internal/revision"
)

// Lag is a proxy that has yet to take a revision.
type Lag struct {
	Proxy   string          `json:"proxy"`
	InForce revision.Number `json:"in_force"`
	Wanted  revision.Number `json:"wanted"`
	Since   time.Time       `json:"since"` // when what is in force there was reported
	Refused revision.Number `json:"refused,omitempty"`
	Reason  string          `json:"reason,omitempty"`
}

// Summary says how far a revision has come.
type Summary struct {
	Revision  revision.Number `json:"revision"`
	Concerned int             `json:"concerned"` // connected proxies that are to have it
	InForce   int             `json:"in_force"`  // of them, those that have it or a newer one of its scope
	Behind    []Lag           `json:"behind"`    // the others, the slowest first
	Gone      int             `json:"gone"`      // proxies that are known and not connected
}

// Summary says how many proxies have all that they are to have.
func (v *FleetView) Summary(s *State) Summary {
	return v.summarize(s.newest, func(status ProxyStatus) (bool, revision.Number) {
		return true, s.missing(status)
	})
}

// RevisionSummary says how far one revision has come among the proxies that it concerns, whatever its stage. The error is
// an *UnknownRevisionError.
func (v *FleetView) RevisionSummary(s *State, number revision.Number) (Summary, error) {
	entry := s.entries[number]
	if entry == nil {
		return Summary{}, &UnknownRevisionError{Number: number}
	}
	return v.summarize(number, func(status ProxyStatus) (bool, revision.Number) {
		if heldNumber(status.Held, entry.Scope) >= number {
			return concerns(entry.Scope, status.Identity), 0
		}
		return concerns(entry.Scope, status.Identity), number
	}), nil
}

// summarize counts; judge says whether a proxy is concerned and which revision it lacks, 0 for none.
func (v *FleetView) summarize(number revision.Number, judge func(ProxyStatus) (bool, revision.Number)) Summary {
	summary := Summary{Revision: number, Behind: []Lag{}}
	for _, status := range v.proxies {
		concerned, wanted := judge(status)
		switch {
		case !concerned:
		case !status.Connected:
			summary.Gone++
		case wanted == 0:
			summary.Concerned++
			summary.InForce++
		default:
			summary.Concerned++
			summary.Behind = append(summary.Behind, status.lag(wanted))
		}
	}
	slices.SortFunc(summary.Behind, func(a, b Lag) int {
		if order := a.Since.Compare(b.Since); order != 0 {
			return order
		}
		return strings.Compare(a.Proxy, b.Proxy)
	})
	return summary
}

func (p ProxyStatus) lag(wanted revision.Number) Lag {
	return Lag{
		Proxy:   p.Identity.Proxy,
		InForce: p.InForce,
		Wanted:  wanted,
		Since:   p.Since,
		Refused: p.Refused,
		Reason:  p.Reason,
	}
}

// missing is the newest revision that a proxy is to have and has not, 0 for none.
func (s *State) missing(status ProxyStatus) revision.Number {
	missing := revision.Number(0)
	for _, scope := range status.Identity.Scopes() {
		held := heldNumber(status.Held, scope)
		target, err := s.chains[scope].target(status.Identity.Proxy, held)
		if err == nil && target != nil && target.Number > held {
			missing = max(missing, target.Number)
		}
	}
	return missing
}

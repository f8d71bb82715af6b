package control

import (
	"fmt"
	"testing"

	"sandpass/internal/revision"
)

// benchDocument returns a document with the given number of settings.
func benchDocument(keys, value int) string {
	text := "{"
	for i := range keys {
		text += fmt.Sprintf(`"setting%03d":{"limit":%d,"name":"value of setting %d"},`, i, value+i, i)
	}
	return text + `"last":1}`
}

// benchFleet returns 560 proxies in 3 regions, 11 zones and 51 services, and a state with documents for all these scopes.
func benchFleet(b *testing.B) (*State, []revision.Identity) {
	s := NewState(simFleet)
	add := func(scope revision.Scope, keys int) {
		latest, _ := s.Latest(scope)
		command := apply(fmt.Sprint(s.NewestNumber(), scope), scope, latest.Number, benchDocument(keys, int(s.NewestNumber())))
		if outcome := s.Apply(command); outcome.Err != nil {
			b.Fatal(outcome.Err)
		}
	}
	add(revision.FleetScope, 100)
	var identities []revision.Identity
	scopes := map[revision.Scope]bool{}
	for i := range 560 {
		identity := revision.Identity{
			Fleet:   simFleet,
			Proxy:   fmt.Sprintf("p%03d", i),
			Region:  fmt.Sprintf("r%d", i%11%3),
			Zone:    fmt.Sprintf("z%02d", i%11),
			Service: fmt.Sprintf("s%02d", i%51),
		}
		identities = append(identities, identity)
		for _, scope := range identity.Scopes()[1:4] {
			if !scopes[scope] {
				scopes[scope] = true
				add(scope, 20)
			}
		}
	}
	return s, identities
}

// BenchmarkFleetUpdateFor560Proxies measures one change of the fleet's document and the updates for all proxies, which hold
// the previous revision.
func BenchmarkFleetUpdateFor560Proxies(b *testing.B) {
	s, identities := benchFleet(b)
	sessions := benchSessions(b, s, identities)
	for b.Loop() {
		latest, _ := s.Latest(revision.FleetScope)
		command := apply(fmt.Sprint(s.NewestNumber()), revision.FleetScope, latest.Number, benchDocument(100, int(s.NewestNumber())))
		if outcome := s.Apply(command); outcome.Err != nil {
			b.Fatal(outcome.Err)
		}
		deliverUpdates(b, s, sessions)
	}
}

// benchSessions returns sessions of proxies that are up to date.
func benchSessions(b *testing.B, s *State, identities []revision.Identity) []*Session {
	var sessions []*Session
	for _, identity := range identities {
		session, err := NewSession(revision.Hello{Protocol: revision.Protocol, Identity: identity})
		if err != nil {
			b.Fatal(err)
		}
		sessions = append(sessions, session)
	}
	deliverUpdates(b, s, sessions)
	return sessions
}

// deliverUpdates has each session send its next update and receive the report that it is in force.
func deliverUpdates(b *testing.B, s *State, sessions []*Session) {
	for _, session := range sessions {
		update, err := session.NextUpdate(s)
		if err != nil || update == nil {
			b.Fatal(update, err)
		}
		session.HandleReport(revision.Report{Revision: update.Revision, Verdict: revision.InForce, Checksum: update.Checksum})
	}
}

// BenchmarkNoUpdateFor560Proxies measures the cost of a committed command for sessions that it does not affect.
func BenchmarkNoUpdateFor560Proxies(b *testing.B) {
	s, identities := benchFleet(b)
	sessions := benchSessions(b, s, identities)
	for b.Loop() {
		for _, session := range sessions {
			if update, err := session.NextUpdate(s); update != nil || err != nil {
				b.Fatal(update, err)
			}
		}
	}
}

func BenchmarkApply(b *testing.B) {
	s, _ := benchFleet(b)
	document := benchDocument(100, 1)
	b.SetBytes(int64(len(document)))
	for b.Loop() {
		latest, _ := s.Latest(revision.FleetScope)
		if outcome := s.Apply(apply(fmt.Sprint(s.NewestNumber()), revision.FleetScope, latest.Number, document)); outcome.Err != nil {
			b.Fatal(outcome.Err)
		}
	}
}

// BenchmarkMarshal measures a snapshot of a full history of 5 KB documents.
func BenchmarkMarshal(b *testing.B) {
	s, _ := benchFleet(b)
	for i := range MaxHistoryRevisions {
		latest, _ := s.Latest(revision.FleetScope)
		if outcome := s.Apply(apply(
			fmt.Sprint("h", i), revision.FleetScope, latest.Number, benchDocument(100, i))); outcome.Err != nil {
			b.Fatal(outcome.Err)
		}
	}
	for b.Loop() {
		text, err := s.Marshal()
		if err != nil {
			b.Fatal(err)
		}
		b.SetBytes(int64(len(text)))
	}
}

package control

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"sandpass/internal/revision"
)

// zones gives so many proxies in each of some zones.
func proxiesInZones(count, each int) []revision.Identity {
	var identities []revision.Identity
	for zone := range count {
		for i := range each {
			identities = append(identities, revision.Identity{
				Fleet:   simFleet,
				Proxy:   fmt.Sprintf("z%02d-%02d", zone, i),
				Zone:    fmt.Sprintf("z%02d", zone),
				Service: fmt.Sprintf("s%d", i%2),
			})
		}
	}
	return identities
}

func TestCanariesAreOneInEachZoneAndAShareAtMost(t *testing.T) {
	g := NewCanaryController(CanaryConfig{})
	zone := revision.Scope{Kind: revision.ZoneKind, Name: "z03"}
	service := revision.Scope{Kind: revision.ServiceKind, Name: "s1"}
	one := revision.Scope{Kind: revision.ProxyKind, Name: "z01-02"}
	for name, test := range map[string]struct {
		connected []revision.Identity
		scope     revision.Scope
		want      string
	}{
		"the fleet":         {proxiesInZones(3, 20), revision.FleetScope, "z00-00 z01-00 z02-00"},
		"a share":           {proxiesInZones(11, 2), revision.FleetScope, "z00-00 z01-00"},
		"one at least":      {proxiesInZones(3, 1), revision.FleetScope, "z00-00"},
		"a zone":            {proxiesInZones(4, 20), zone, "z03-00"},
		"a service":         {proxiesInZones(3, 20), service, "z00-01 z01-01 z02-01"},
		"a proxy":           {proxiesInZones(3, 20), one, "z01-02"},
		"none concerned":    {proxiesInZones(1, 20), zone, ""},
		"none is connected": {nil, revision.FleetScope, ""},
	} {
		if got := strings.Join(g.SelectCanaries(test.connected, test.scope), " "); got != test.want {
			t.Errorf("%s: %s; wanted %s", name, got, test.want)
		}
	}
	shuffled := proxiesInZones(11, 51)
	slices.Reverse(shuffled)
	if canaries := g.SelectCanaries(shuffled, revision.FleetScope); len(canaries) != 11 || canaries[0] != "z00-00" {
		t.Errorf("of 561 proxies: %v", canaries)
	}
}

func TestTrials(t *testing.T) {
	type word struct {
		at    float64
		proxy string
		revision.Report
	}
	yes := revision.Report{Revision: 2, Verdict: revision.InForce}
	no := revision.Report{Revision: 2, Verdict: revision.Refused, Reason: "no such key"}
	later, earlier, unknown := no, no, no
	later.Revision = 4
	earlier.Revision = 1
	unknown.Verdict = revision.Unknown
	for name, test := range map[string]struct {
		words []word
		until float64
		want  string // what is due and when
	}{
		"all pass it":         {[]word{{0.1, "p1", yes}, {0.2, "p2", yes}, {0.3, "p3", yes}}, 1, "0.3 release/2"},
		"one refuses it":      {[]word{{0.1, "p1", yes}, {0.2, "p2", no}}, 1, "0.2 hold/2 p2 no such key"},
		"one refuses it last": {[]word{{0.1, "p1", yes}, {0.2, "p2", yes}, {0.7, "p3", no}}, 1, "0.7 hold/2 p3 no such key"},
		"one is silent":       {[]word{{0.1, "p1", yes}, {0.2, "p2", yes}}, 2, "0.8 release/2"},
		"two are silent":      {[]word{{0.1, "p1", yes}}, 6, "5.0 hold/2  1 of 3 canaries answered within 5 s"},
		"two are late":        {[]word{{0.1, "p1", yes}, {3, "p2", yes}}, 6, "3.0 release/2"},
		"others don't count":  {[]word{{0.1, "p1", yes}, {0.2, "p7", yes}, {0.2, "p8", yes}}, 1, ""},
		"another's refusal does not": {
			[]word{{0.1, "p9", no}, {0.1, "p1", yes}, {0.2, "p2", yes}, {0.3, "p3", yes}}, 0.3, "0.3 release/2"},
		"a later revision tells both": {[]word{{0.1, "p1", later}}, 1, "0.1 hold/2 p1 no such key"},
		"an earlier one does not":     {[]word{{0.1, "p1", earlier}}, 1, ""},
		"unknown is no answer":        {[]word{{0.1, "p1", unknown}}, 1, ""},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewState(simFleet)
			mustApply(t, s, apply("1", revision.FleetScope, 0, "{}"), applyWithCanaries("2", revision.FleetScope, 1, "{}", "p1", "p2", "p3"))
			g := NewCanaryController(CanaryConfig{})
			var due []string
			words := test.words
			for tick := range int(test.until*10) + 1 {
				now := float64(tick) / 10
				for len(words) > 0 && words[0].at <= now {
					g.RecordReport(now, words[0].proxy, words[0].Report)
					words = words[1:]
				}
				for _, command := range g.PendingCommands(now, s) {
					text := fmt.Sprintf("%.1f %s", now, command.ID)
					if command.Hold != nil {
						text += fmt.Sprintf(" %s %s", command.Hold.Proxy, command.Hold.Reason)
					}
					due = append(due, text)
					if outcome := s.Apply(command); outcome.Err != nil {
						t.Error(outcome.Err)
					}
				}
			}
			if got := strings.Join(due, "; "); got != test.want {
				t.Errorf("%s; wanted %s", got, test.want)
			}
		})
	}
}

func TestARefusalAfterTheReleaseHoldsARevisionForAWhile(t *testing.T) {
	refusal := revision.Report{Revision: 2, Verdict: revision.Refused, Reason: "no such key"}
	for name, test := range map[string]struct {
		at   float64
		want Stage
	}{
		"soon": {2, StageHeld},
		"late": {PostReleaseWatchSeconds + 2, StageReleased},
	} {
		s := NewState(simFleet)
		mustApply(t, s, apply("1", revision.FleetScope, 0, "{}"), applyWithCanaries("2", revision.FleetScope, 1, "{}", "p1"))
		g := NewCanaryController(CanaryConfig{})
		g.PendingCommands(0, s)
		mustApply(t, s, release(2))
		g.PendingCommands(1, s)
		g.PendingCommands(test.at, s)
		g.RecordReport(test.at, "p5", refusal)
		for _, command := range g.PendingCommands(test.at, s) {
			s.Apply(command)
		}
		if latest, _ := s.Latest(revision.FleetScope); latest.Stage != test.want {
			t.Errorf("%s: %s", name, latest.Stage)
		}
	}
}

func TestAtOnceIsNeverHeld(t *testing.T) {
	s := NewState(simFleet)
	command := applyWithCanaries("1", revision.FleetScope, 0, "{}", "p1")
	command.Apply.AtOnce = true
	mustApply(t, s, command)
	g := NewCanaryController(CanaryConfig{})
	g.RecordReport(0, "p1", revision.Report{Revision: 1, Verdict: revision.Refused})
	if due := g.PendingCommands(9, s); len(due) != 0 || s.chains[revision.FleetScope].latestReleased() == nil {
		t.Errorf("%v is due, %s", due, stages(s))
	}
}

func TestACommandThatWasDroppedIsGivenAgain(t *testing.T) {
	s := NewState(simFleet)
	mustApply(t, s, applyWithCanaries("1", revision.FleetScope, 0, "{}", "p1"))
	g := NewCanaryController(CanaryConfig{})
	g.RecordReport(0, "p1", revision.Report{Revision: 1, Verdict: revision.InForce})
	var given []float64
	for tick := range 12 {
		now := float64(tick) / 10
		if len(g.PendingCommands(now, s)) > 0 {
			given = append(given, now)
		}
	}
	if fmt.Sprint(given) != "[0 0.5 1]" {
		t.Errorf("given at %v", given)
	}
}

func TestASilentCanaryLetsAnotherGoFirst(t *testing.T) {
	s := NewState(simFleet)
	connected := proxiesInZones(2, 20)
	g := NewCanaryController(CanaryConfig{})
	canaries := g.SelectCanaries(connected, revision.FleetScope)
	mustApply(t, s, applyWithCanaries("1", revision.FleetScope, 0, "{}", canaries...))
	g.PendingCommands(0, s)
	g.RecordReport(0, canaries[0], revision.Report{Revision: 1, Verdict: revision.InForce})
	g.PendingCommands(1, s)
	if next := g.SelectCanaries(connected, revision.FleetScope); fmt.Sprint(next) != "[z00-00 z01-01]" {
		t.Errorf("next are %v", next)
	}
	g.RecordReport(2, canaries[1], revision.Report{Revision: 1, Verdict: revision.InForce})
	if next := g.SelectCanaries(connected, revision.FleetScope); fmt.Sprint(next) != "[z00-00 z01-00]" {
		t.Errorf("next are %v", next)
	}
}

func TestANewLeaderLearnsWhatCanariesSaid(t *testing.T) {
	s := NewState(simFleet)
	mustApply(t, s, applyWithCanaries("1", revision.FleetScope, 0, "{}", "p1"))
	view := NewFleetView()
	identity := testIdentity
	view.RecordWatchOpened(time.Unix(1, 0), "r1", revision.Hello{Identity: identity})
	view.RecordReport(time.Unix(2, 0), "r1", revision.Hello{Identity: identity}, revision.Report{
		Revision: 1, Verdict: revision.Refused, Reason: "no such key",
	})
	g := NewCanaryController(CanaryConfig{})
	g.ResetFromFleet(0, view)
	due := g.PendingCommands(0, s)
	if len(due) != 1 || due[0].Hold == nil || due[0].Hold.Proxy != "p1" {
		t.Errorf("%+v", due)
	}
}

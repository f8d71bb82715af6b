package control

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"sandpass/internal/revision"
)

// proxiesInZones returns the identities of the given number of proxies in each of count zones.
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

func TestCanariesAreOnePerZoneWithinTheShare(t *testing.T) {
	c := NewCanaryController(CanaryConfig{})
	zone := revision.Scope{Kind: revision.ZoneKind, Name: "z03"}
	service := revision.Scope{Kind: revision.ServiceKind, Name: "s1"}
	one := revision.Scope{Kind: revision.ProxyKind, Name: "z01-02"}
	for name, test := range map[string]struct {
		connected []revision.Identity
		scope     revision.Scope
		want      string
	}{
		"the fleet":            {proxiesInZones(3, 20), revision.FleetScope, "z00-00 z01-00 z02-00"},
		"limited by the share": {proxiesInZones(11, 2), revision.FleetScope, "z00-00 z01-00"},
		"at least one":         {proxiesInZones(3, 1), revision.FleetScope, "z00-00"},
		"a zone":               {proxiesInZones(4, 20), zone, "z03-00"},
		"a service":            {proxiesInZones(3, 20), service, "z00-01 z01-01 z02-01"},
		"a proxy":              {proxiesInZones(3, 20), one, "z01-02"},
		"none in the scope":    {proxiesInZones(1, 20), zone, ""},
		"none connected":       {nil, revision.FleetScope, ""},
	} {
		if got := strings.Join(c.SelectCanaries(test.connected, test.scope), " "); got != test.want {
			t.Errorf("%s: got %s, want %s", name, got, test.want)
		}
	}
	shuffled := proxiesInZones(11, 51)
	slices.Reverse(shuffled)
	if canaries := c.SelectCanaries(shuffled, revision.FleetScope); len(canaries) != 11 || canaries[0] != "z00-00" {
		t.Errorf("canaries of 561 proxies: %v", canaries)
	}
}

func TestTrialDecisions(t *testing.T) {
	type timedReport struct {
		at    float64
		proxy string
		revision.Report
	}
	accepted := revision.Report{Revision: 2, Verdict: revision.InForce}
	refused := revision.Report{Revision: 2, Verdict: revision.Refused, Reason: "no such key"}
	laterRefusal, earlierRefusal, unknownVerdict := refused, refused, refused
	laterRefusal.Revision = 4
	earlierRefusal.Revision = 1
	unknownVerdict.Verdict = revision.Unknown
	for name, test := range map[string]struct {
		reports []timedReport
		until   float64
		want    string // proposed commands and their times
	}{
		"all accept it": {
			[]timedReport{{0.1, "p1", accepted}, {0.2, "p2", accepted}, {0.3, "p3", accepted}}, 1, "0.3 release/2"},
		"one refuses it": {[]timedReport{{0.1, "p1", accepted}, {0.2, "p2", refused}}, 1, "0.2 hold/2 p2 no such key"},
		"one refuses it last": {
			[]timedReport{{0.1, "p1", accepted}, {0.2, "p2", accepted}, {0.7, "p3", refused}}, 1, "0.7 hold/2 p3 no such key"},
		"one does not answer": {[]timedReport{{0.1, "p1", accepted}, {0.2, "p2", accepted}}, 2, "0.8 release/2"},
		"two do not answer": {
			[]timedReport{{0.1, "p1", accepted}}, 6, "5.0 hold/2  1 of 3 canaries answered within 5 s"},
		"the second of three answers late": {[]timedReport{{0.1, "p1", accepted}, {3, "p2", accepted}}, 6, "3.0 release/2"},
		"reports of other proxies do not count": {
			[]timedReport{{0.1, "p1", accepted}, {0.2, "p7", accepted}, {0.2, "p8", accepted}}, 1, ""},
		"refusals of other proxies do not count": {
			[]timedReport{{0.1, "p9", refused}, {0.1, "p1", accepted}, {0.2, "p2", accepted}, {0.3, "p3", accepted}},
			0.3, "0.3 release/2",
		},
		"refusal of a later revision counts":      {[]timedReport{{0.1, "p1", laterRefusal}}, 1, "0.1 hold/2 p1 no such key"},
		"refusal of an earlier revision does not": {[]timedReport{{0.1, "p1", earlierRefusal}}, 1, ""},
		"the unknown verdict is no answer":        {[]timedReport{{0.1, "p1", unknownVerdict}}, 1, ""},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewState(simFleet)
			mustApply(t, s,
				apply("1", revision.FleetScope, 0, "{}"),
				applyTrial("2", revision.FleetScope, 1, "{}", "p1", "p2", "p3"))
			c := NewCanaryController(CanaryConfig{})
			var pending []string
			reports := test.reports
			for tick := range int(test.until*10) + 1 {
				now := float64(tick) / 10
				for len(reports) > 0 && reports[0].at <= now {
					c.RecordReport(now, reports[0].proxy, reports[0].Report)
					reports = reports[1:]
				}
				for _, command := range c.PendingCommands(now, s) {
					text := fmt.Sprintf("%.1f %s", now, command.ID)
					if command.Hold != nil {
						text += fmt.Sprintf(" %s %s", command.Hold.Proxy, command.Hold.Reason)
					}
					pending = append(pending, text)
					if outcome := s.Apply(command); outcome.Err != nil {
						t.Error(outcome.Err)
					}
				}
			}
			if got := strings.Join(pending, "; "); got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}
		})
	}
}

func TestRefusalAfterReleaseHoldsRevisionDuringWatchPeriod(t *testing.T) {
	refusal := revision.Report{Revision: 2, Verdict: revision.Refused, Reason: "no such key"}
	for name, test := range map[string]struct {
		at   float64
		want Stage
	}{
		"within the watch period": {2, StageHeld},
		"after the watch period":  {PostReleaseWatchSeconds + 2, StageReleased},
	} {
		s := NewState(simFleet)
		mustApply(t, s, apply("1", revision.FleetScope, 0, "{}"), applyTrial("2", revision.FleetScope, 1, "{}", "p1"))
		c := NewCanaryController(CanaryConfig{})
		c.PendingCommands(0, s)
		mustApply(t, s, release(2))
		c.PendingCommands(1, s)
		c.PendingCommands(test.at, s)
		c.RecordReport(test.at, "p5", refusal)
		for _, command := range c.PendingCommands(test.at, s) {
			s.Apply(command)
		}
		if latest, _ := s.Latest(revision.FleetScope); latest.Stage != test.want {
			t.Errorf("%s: got stage %s, want %s", name, latest.Stage, test.want)
		}
	}
}

func TestRevisionAppliedAtOnceIsNeverHeld(t *testing.T) {
	s := NewState(simFleet)
	command := applyTrial("1", revision.FleetScope, 0, "{}", "p1")
	command.Apply.AtOnce = true
	mustApply(t, s, command)
	c := NewCanaryController(CanaryConfig{})
	c.RecordReport(0, "p1", revision.Report{Revision: 1, Verdict: revision.Refused})
	if pending := c.PendingCommands(9, s); len(pending) != 0 || s.chains[revision.FleetScope].latestReleased() == nil {
		t.Errorf("proposed %v, stages %s", pending, stages(s))
	}
}

func TestDroppedCommandIsProposedAgain(t *testing.T) {
	s := NewState(simFleet)
	mustApply(t, s, applyTrial("1", revision.FleetScope, 0, "{}", "p1"))
	c := NewCanaryController(CanaryConfig{})
	c.RecordReport(0, "p1", revision.Report{Revision: 1, Verdict: revision.InForce})
	var proposedAt []float64
	for tick := range 12 {
		now := float64(tick) / 10
		if len(c.PendingCommands(now, s)) > 0 {
			proposedAt = append(proposedAt, now)
		}
	}
	if fmt.Sprint(proposedAt) != "[0 0.5 1]" {
		t.Errorf("proposed at %v, want 0, 0.5 and 1 s", proposedAt)
	}
}

func TestUnresponsiveCanaryIsReplaced(t *testing.T) {
	s := NewState(simFleet)
	connected := proxiesInZones(2, 20)
	c := NewCanaryController(CanaryConfig{})
	canaries := c.SelectCanaries(connected, revision.FleetScope)
	mustApply(t, s, applyTrial("1", revision.FleetScope, 0, "{}", canaries...))
	c.PendingCommands(0, s)
	c.RecordReport(0, canaries[0], revision.Report{Revision: 1, Verdict: revision.InForce})
	c.PendingCommands(1, s)
	if next := c.SelectCanaries(connected, revision.FleetScope); fmt.Sprint(next) != "[z00-00 z01-01]" {
		t.Errorf("next canaries: %v", next)
	}
	c.RecordReport(2, canaries[1], revision.Report{Revision: 1, Verdict: revision.InForce})
	if next := c.SelectCanaries(connected, revision.FleetScope); fmt.Sprint(next) != "[z00-00 z01-00]" {
		t.Errorf("next canaries: %v", next)
	}
}

func TestNewLeaderTakesReportsFromFleetView(t *testing.T) {
	s := NewState(simFleet)
	mustApply(t, s, applyTrial("1", revision.FleetScope, 0, "{}", "p1"))
	view := NewFleetView()
	identity := testIdentity
	view.RecordWatchOpened(time.Unix(1, 0), "r1", revision.Hello{Identity: identity})
	view.RecordReport(time.Unix(2, 0), "r1", revision.Hello{Identity: identity}, revision.Report{
		Revision: 1, Verdict: revision.Refused, Reason: "no such key",
	})
	c := NewCanaryController(CanaryConfig{})
	c.ResetFromFleet(0, view)
	pending := c.PendingCommands(0, s)
	if len(pending) != 1 || pending[0].Hold == nil || pending[0].Hold.Proxy != "p1" {
		t.Errorf("got %+v, want one hold command for the refusal of p1", pending)
	}
}

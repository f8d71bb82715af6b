package control

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sandpass/internal/revision"
)

func timeAt(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second))).UTC()
}

// helloHolding returns the Hello of a proxy that holds the given revisions.
func helloHolding(proxy string, newest revision.Number, scopes scopeNumbers) revision.Hello {
	identity := testIdentity
	identity.Proxy = proxy
	return revision.Hello{Identity: identity, Revision: newest, Documents: scopeDocuments(scopes)}
}

func TestMergeAdoptsNewestStatus(t *testing.T) {
	open := ProxyStatus{Identity: testIdentity, Replica: "r1", Connected: true, UpdatedAt: timeAt(5), InForce: 4}
	later, earlier, newer, disconnected, elsewhere, disconnectedElsewhere := open, open, open, open, open, open
	later.UpdatedAt = timeAt(6)
	later.InForce = 3
	earlier.UpdatedAt = timeAt(4)
	newer.InForce = 5
	disconnected.UpdatedAt = timeAt(6)
	disconnected.Connected = false
	elsewhere.Replica = "r2"
	elsewhere.UpdatedAt = timeAt(4)
	disconnectedElsewhere.Replica = "r2"
	disconnectedElsewhere.Connected = false
	disconnectedElsewhere.UpdatedAt = timeAt(9)
	for name, test := range map[string]struct {
		known, received ProxyStatus
		wantAdopted     bool
	}{
		"later":                                {open, later, true},
		"earlier":                              {open, earlier, false},
		"the same":                             {open, open, false},
		"a higher revision":                    {open, newer, true},
		"a lower revision":                     {newer, open, false},
		"disconnected":                         {open, disconnected, true},
		"open before the disconnection":        {disconnected, open, false},
		"the old replica notices the end late": {open, disconnectedElsewhere, false},
		"the new replica reports later":        {disconnectedElsewhere, open, true},
		"earlier at another replica":           {open, elsewhere, false},
	} {
		view := NewFleetView()
		view.Merge([]ProxyStatus{test.known})
		if adopted := view.Merge([]ProxyStatus{test.received}); (len(adopted) == 1) != test.wantAdopted {
			t.Errorf("%s: adopted %v, want adoption: %v", name, adopted, test.wantAdopted)
		}
	}
}

func TestMergeOrderDoesNotMatterForOneReplica(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var statuses []ProxyStatus
		for range rapid.IntRange(1, 6).Draw(t, "statuses") {
			statuses = append(statuses, ProxyStatus{
				Identity:  testIdentity,
				Replica:   "r1",
				Connected: rapid.Bool().Draw(t, "connected"),
				UpdatedAt: timeAt(float64(len(statuses))),
				InForce:   revision.Number(rapid.IntRange(0, 3).Draw(t, "in force")),
			})
		}
		first, second := NewFleetView(), NewFleetView()
		first.Merge(statuses)
		second.Merge(rapid.Permutation(statuses).Draw(t, "order"))
		if fmt.Sprint(first.Statuses()) != fmt.Sprint(second.Statuses()) {
			t.Fatalf("got %v in one order and %v in another", first.Statuses(), second.Statuses())
		}
	})
}

func TestWatchIsClosedOnlyByItsReplica(t *testing.T) {
	view := NewFleetView()
	view.RecordWatchOpened(timeAt(1), "r1", helloHolding("p1", 0, nil))
	view.RecordWatchOpened(timeAt(2), "r2", helloHolding("p1", 0, nil))
	view.RecordWatchClosed(timeAt(3), "r1", "p1")
	view.RecordWatchClosed(timeAt(3), "r1", "unknown")
	if len(view.ConnectedIdentities()) != 1 {
		t.Error("closing the watch at r1 ended the watch at r2")
	}
	view.RecordReplicaLost(timeAt(4), "r2")
	if len(view.ConnectedIdentities()) != 0 {
		t.Error("the watch at r2 is still open after r2 was lost")
	}
	view.RemoveExpired(timeAt(5))
	if len(view.Statuses()) != 1 {
		t.Error("the proxy is removed before DisconnectedRetention")
	}
	view.RemoveExpired(timeAt(5).Add(DisconnectedRetention))
	if len(view.Statuses()) != 0 {
		t.Error("the proxy is not removed after DisconnectedRetention")
	}
}

func TestLocalStatusIsNewerDespiteClockSkew(t *testing.T) {
	view := NewFleetView()
	view.Merge([]ProxyStatus{{Identity: testIdentity, Replica: "r2", Connected: true, UpdatedAt: timeAt(60), InForce: 1}})
	view.RecordWatchOpened(timeAt(1), "r1", helloHolding("p1", 2, nil))
	status, _ := view.Status("p1")
	if status.Replica != "r1" || status.InForce != 2 || !status.UpdatedAt.After(timeAt(60)) {
		t.Errorf("%+v", status)
	}
}

func TestRolloutSummaries(t *testing.T) {
	s := deliveryState(t)
	view := NewFleetView()
	view.RecordWatchOpened(timeAt(1), "r1", helloHolding("p1", 6, scopeNumbers{revision.FleetScope: 6, zoneA: 3}))
	view.RecordWatchOpened(timeAt(2), "r1", helloHolding("p2", 4, scopeNumbers{revision.FleetScope: 4, zoneA: 3}))
	// Its newest revision is 5 of zone a, but it still lacks revision 4 of the fleet.
	view.RecordWatchOpened(timeAt(3), "r1", helloHolding("p9", 5, scopeNumbers{revision.FleetScope: 2, zoneA: 5}))
	view.RecordWatchOpened(timeAt(0), "r2", helloHolding("p5", 1, scopeNumbers{revision.FleetScope: 1}))
	view.RecordReport(timeAt(4), "r2", helloHolding("p5", 1, scopeNumbers{revision.FleetScope: 1}), revision.Report{
		Revision: 4, Verdict: revision.Refused, Reason: "no such key",
	})
	view.RecordWatchOpened(timeAt(0), "r1", helloHolding("p7", 1, nil))
	view.RecordWatchClosed(timeAt(1), "r1", "p7")

	summary := view.Summary(s)
	want := "{6 4 2 [{p5 1 4 TIME 4 no such key} {p9 5 4 TIME 0 }] 1}"
	if got := withoutTimes(summary); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if !summary.Lagging[0].InForceSince.Equal(timeAt(0)) {
		t.Errorf("the revision of p5 is in force since %v, want second 0", summary.Lagging[0].InForceSince)
	}
	fleet, err := view.RevisionSummary(s, 4)
	if got := withoutTimes(fleet); err != nil || got != "{4 4 2 [{p5 1 4 TIME 4 no such key} {p9 5 4 TIME 0 }] 1}" {
		t.Errorf("summary of revision 4: got %s, %v", got, err)
	}
	unknown := new(UnknownRevisionError)
	if _, err := view.RevisionSummary(s, 99); !errors.As(err, &unknown) {
		t.Error(err)
	}
}

// withoutTimes formats a summary without its times.
func withoutTimes(summary RolloutSummary) string {
	text := fmt.Sprintf("{%d %d %d [", summary.Revision, summary.Targeted, summary.InForce)
	for i, lagging := range summary.Lagging {
		if i > 0 {
			text += " "
		}
		text += fmt.Sprintf("{%s %d %d TIME %d %s}",
			lagging.Proxy, lagging.InForce, lagging.Target, lagging.RefusedNumber, lagging.RefusalReason)
	}
	return text + fmt.Sprintf("] %d}", summary.Disconnected)
}

func TestRefusalIsShownUntilLaterRevisionIsInForce(t *testing.T) {
	view := NewFleetView()
	hello := helloHolding("p1", 1, nil)
	view.RecordWatchOpened(timeAt(1), "r1", hello)
	view.RecordReport(timeAt(2), "r1", hello, revision.Report{Revision: 2, Verdict: revision.Refused, Reason: "no such key"})
	view.RecordWatchOpened(timeAt(3), "r2", hello)
	if status, _ := view.Status("p1"); status.RefusedNumber != 2 || !status.InForceSince.Equal(timeAt(1)) {
		t.Errorf("%+v", status)
	}
	view.RecordReport(timeAt(4), "r2", helloHolding("p1", 3, nil), revision.Report{Revision: 3, Verdict: revision.InForce})
	if status, _ := view.Status("p1"); status.RefusedNumber != 0 || !status.InForceSince.Equal(timeAt(4)) {
		t.Errorf("%+v", status)
	}
}

func TestRecoveredReplicaRefreshesItsWatches(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	hello := revision.Hello{Identity: revision.Identity{Fleet: "shop", Proxy: "p1"}, Revision: 3}
	follower, leader := NewFleetView(), NewFleetView()
	follower.RecordWatchOpened(start, "c2", hello)
	leader.Merge(follower.Statuses())
	leader.RecordReplicaLost(start.Add(time.Minute), "c2")
	leader.Merge(follower.Statuses())
	if status, _ := leader.Status("p1"); status.Connected {
		t.Error("an older status takes precedence over a later disconnection")
	}
	follower.RefreshConnected(start.Add(2*time.Minute), "c2")
	leader.Merge(follower.Statuses())
	if status, _ := leader.Status("p1"); !status.Connected || status.InForce != 3 {
		t.Errorf("after the replica recovered: got %+v", status)
	}
}

func TestInForceSinceSurvivesMoveToAnotherReplica(t *testing.T) {
	hello := helloHolding("p1", 4, scopeNumbers{})
	leader, next := NewFleetView(), NewFleetView()
	leader.RecordWatchOpened(timeAt(1), "r1", hello)
	next.RecordWatchOpened(timeAt(9), "r2", hello)
	leader.Merge(next.Statuses())
	status, _ := leader.Status("p1")
	if status.Replica != "r2" || !status.InForceSince.Equal(timeAt(1)) {
		t.Errorf("%+v", status)
	}
	newer := helloHolding("p1", 5, scopeNumbers{})
	next.RecordWatchOpened(timeAt(12), "r2", newer)
	leader.Merge(next.Statuses())
	if status, _ := leader.Status("p1"); !status.InForceSince.Equal(timeAt(12)) {
		t.Errorf("a newer revision is in force since %v, want second 12", status.InForceSince)
	}
}

package control

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sandpass/internal/revision"
)

func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second))).UTC()
}

// holding is a proxy's Hello.
func holding(proxy string, newest revision.Number, scopes numbers) revision.Hello {
	identity := someone
	identity.Proxy = proxy
	return revision.Hello{Identity: identity, Revision: newest, Documents: held(scopes)}
}

func TestTheNewestWordOfAProxyCounts(t *testing.T) {
	open := ProxyStatus{Identity: someone, Replica: "r1", Connected: true, At: at(5), InForce: 4}
	later, earlier, newer, gone, elsewhere, goneElsewhere := open, open, open, open, open, open
	later.At = at(6)
	later.InForce = 3
	earlier.At = at(4)
	newer.InForce = 5
	gone.At = at(6)
	gone.Connected = false
	elsewhere.Replica = "r2"
	elsewhere.At = at(4)
	goneElsewhere.Replica = "r2"
	goneElsewhere.Connected = false
	goneElsewhere.At = at(9)
	for name, test := range map[string]struct {
		known, told ProxyStatus
		news        bool
	}{
		"later":                        {open, later, true},
		"earlier":                      {open, earlier, false},
		"the same":                     {open, open, false},
		"a higher revision":            {open, newer, true},
		"a lower revision":             {newer, open, false},
		"gone":                         {open, gone, true},
		"open before it went":          {gone, open, false},
		"its old replica notices late": {open, goneElsewhere, false},
		"its new replica tells later":  {goneElsewhere, open, true},
		"elsewhere before":             {open, elsewhere, false},
	} {
		view := NewFleetView()
		view.Merge([]ProxyStatus{test.known})
		if news := view.Merge([]ProxyStatus{test.told}); (len(news) == 1) != test.news {
			t.Errorf("%s: %v", name, news)
		}
	}
}

func TestMergingInAnyOrderGivesTheSameOfOneReplica(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var statuses []ProxyStatus
		for range rapid.IntRange(1, 6).Draw(t, "statuses") {
			statuses = append(statuses, ProxyStatus{
				Identity:  someone,
				Replica:   "r1",
				Connected: rapid.Bool().Draw(t, "connected"),
				At:        at(float64(len(statuses))),
				InForce:   revision.Number(rapid.IntRange(0, 3).Draw(t, "in force")),
			})
		}
		one, other := NewFleetView(), NewFleetView()
		one.Merge(statuses)
		other.Merge(rapid.Permutation(statuses).Draw(t, "order"))
		if fmt.Sprint(one.All()) != fmt.Sprint(other.All()) {
			t.Fatalf("%v and %v", one.All(), other.All())
		}
	})
}

func TestAWatchEndsOnlyWhereItIs(t *testing.T) {
	view := NewFleetView()
	view.Opened(at(1), "r1", holding("p1", 0, nil))
	view.Opened(at(2), "r2", holding("p1", 0, nil))
	view.Closed(at(3), "r1", "p1")
	view.Closed(at(3), "r1", "unknown")
	if len(view.Connected()) != 1 {
		t.Error("the watch at r2 is taken for ended")
	}
	view.ReplicaGone(at(4), "r2")
	if len(view.Connected()) != 0 {
		t.Error("the watch at r2 outlives it")
	}
	view.Forget(at(5))
	if len(view.All()) != 1 {
		t.Error("the proxy is forgotten at once")
	}
	view.Forget(at(5).Add(GoneKept))
	if len(view.All()) != 0 {
		t.Error("the proxy is never forgotten")
	}
}

func TestWhatAReplicaHearsItselfIsNewerWhateverTheClocksSay(t *testing.T) {
	view := NewFleetView()
	view.Merge([]ProxyStatus{{Identity: someone, Replica: "r2", Connected: true, At: at(60), InForce: 1}})
	view.Opened(at(1), "r1", holding("p1", 2, nil))
	status, _ := view.Proxy("p1")
	if status.Replica != "r1" || status.InForce != 2 || !status.At.After(at(60)) {
		t.Errorf("%+v", status)
	}
}

func TestSummaries(t *testing.T) {
	s := deliveryState(t)
	view := NewFleetView()
	view.Opened(at(1), "r1", holding("p1", 6, numbers{revision.FleetScope: 6, zoneA: 3}))
	view.Opened(at(2), "r1", holding("p2", 4, numbers{revision.FleetScope: 4, zoneA: 3}))
	// Its newest number is that of zone a, it still lacks the fleet's 4.
	view.Opened(at(3), "r1", holding("p9", 5, numbers{revision.FleetScope: 2, zoneA: 5}))
	view.Opened(at(0), "r2", holding("p5", 1, numbers{revision.FleetScope: 1}))
	view.Reported(at(4), "r2", holding("p5", 1, numbers{revision.FleetScope: 1}), revision.Report{
		Revision: 4, Verdict: revision.Refused, Reason: "no such key",
	})
	view.Opened(at(0), "r1", holding("p7", 1, nil))
	view.Closed(at(1), "r1", "p7")

	summary := view.Summary(s)
	want := "{6 4 2 [{p5 1 4 TIME 4 no such key} {p9 5 4 TIME 0 }] 1}"
	if got := withoutTimes(summary); got != want {
		t.Errorf("%s; wanted %s", got, want)
	}
	if !summary.Behind[0].Since.Equal(at(0)) {
		t.Errorf("p5 has had its revision since %v", summary.Behind[0].Since)
	}
	fleet, err := view.RevisionSummary(s, 4)
	if got := withoutTimes(fleet); err != nil || got != "{4 4 2 [{p5 1 4 TIME 4 no such key} {p9 5 4 TIME 0 }] 1}" {
		t.Errorf("%s, %v", got, err)
	}
	unknown := new(UnknownRevisionError)
	if _, err := view.RevisionSummary(s, 99); !errors.As(err, &unknown) {
		t.Error(err)
	}
}

func withoutTimes(summary Summary) string {
	text := fmt.Sprintf("{%d %d %d [", summary.Revision, summary.Concerned, summary.InForce)
	for i, lag := range summary.Behind {
		if i > 0 {
			text += " "
		}
		text += fmt.Sprintf("{%s %d %d TIME %d %s}", lag.Proxy, lag.InForce, lag.Wanted, lag.Refused, lag.Reason)
	}
	return text + fmt.Sprintf("] %d}", summary.Gone)
}

func TestARefusalIsToldUntilALaterRevisionIsInForce(t *testing.T) {
	view := NewFleetView()
	hello := holding("p1", 1, nil)
	view.Opened(at(1), "r1", hello)
	view.Reported(at(2), "r1", hello, revision.Report{Revision: 2, Verdict: revision.Refused, Reason: "no such key"})
	view.Opened(at(3), "r2", hello)
	if status, _ := view.Proxy("p1"); status.Refused != 2 || !status.Since.Equal(at(1)) {
		t.Errorf("%+v", status)
	}
	view.Reported(at(4), "r2", holding("p1", 3, nil), revision.Report{Revision: 3, Verdict: revision.InForce})
	if status, _ := view.Proxy("p1"); status.Refused != 0 || !status.Since.Equal(at(4)) {
		t.Errorf("%+v", status)
	}
}

func TestAReplicaThatWasTakenForGoneTellsItsWatchesAnew(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	hello := revision.Hello{Identity: revision.Identity{Fleet: "shop", Proxy: "p1"}, Revision: 3}
	follower, leader := NewFleetView(), NewFleetView()
	follower.Opened(start, "c2", hello)
	leader.Merge(follower.All())
	leader.ReplicaGone(start.Add(time.Minute), "c2")
	leader.Merge(follower.All())
	if status, _ := leader.Proxy("p1"); status.Connected {
		t.Error("an old word counts for more than the end that was noted after it")
	}
	follower.Confirm(start.Add(2*time.Minute), "c2")
	leader.Merge(follower.All())
	if status, _ := leader.Proxy("p1"); !status.Connected || status.InForce != 3 {
		t.Errorf("after the replica is back: %+v", status)
	}
}

func TestAProxyThatMovesKeepsSinceWhenItsRevisionIsInForce(t *testing.T) {
	hello := holding("p1", 4, numbers{})
	leader, next := NewFleetView(), NewFleetView()
	leader.Opened(at(1), "r1", hello)
	next.Opened(at(9), "r2", hello)
	leader.Merge(next.All())
	status, _ := leader.Proxy("p1")
	if status.Replica != "r2" || !status.Since.Equal(at(1)) {
		t.Errorf("%+v", status)
	}
	newer := holding("p1", 5, numbers{})
	next.Opened(at(12), "r2", newer)
	leader.Merge(next.All())
	if status, _ := leader.Proxy("p1"); !status.Since.Equal(at(12)) {
		t.Errorf("a newer revision counts as in force since %v", status.Since)
	}
}

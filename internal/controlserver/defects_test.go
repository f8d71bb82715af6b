package controlserver

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"sandpass/internal/control"
	"sandpass/internal/controlapi"
	"sandpass/internal/controlclient"
	"sandpass/internal/revision"
)

// lostAfterPowerCut makes changes, ends all five replicas at once, starts them again and gives what the journal finds.
func lostAfterPowerCut(t *testing.T, defect string) []string {
	c := startCluster(t, 5, defect)
	client := operatorOf(t, c.addresses()...)
	c.awaitLeader(client)
	journal := newJournal()
	for n := range 3 {
		document := utility(n)
		sum := revision.Checksum(document)
		journal.asked(sum)
		number, err := tryApply(client, revision.FleetScope, document, electTime)
		if err != nil {
			t.Fatal(err)
		}
		journal.answered(number, sum, nil)
	}
	for i := range c.replicas {
		c.kill(i)
	}
	for i := range c.replicas {
		c.start(i)
	}
	c.awaitLeader(client)
	history, err := historyOf(client)
	if err != nil {
		t.Fatal(err)
	}
	journal.compare(history)
	return journal.faults
}

func TestAPowerCutLosesNothing(t *testing.T) {
	t.Parallel()
	if faults := lostAfterPowerCut(t, ""); len(faults) > 0 {
		t.Error(faults)
	}
}

func TestAnAcknowledgementBeforeTheSyncIsCaught(t *testing.T) {
	t.Parallel()
	if faults := lostAfterPowerCut(t, ackBeforeSync); len(faults) == 0 {
		t.Error("nothing was lost")
	}
}

// refusedBy counts the simulated proxies that were sent a revision which all of them refuse.
func refusedBy(t *testing.T, atOnce bool) (count int, entry control.Entry) {
	c := startCluster(t, 6, "")
	client := operatorOf(t, c.addresses()...)
	c.awaitLeader(client)
	bad := utility(665999)
	fleet := c.startProxies(24)
	defer fleet.stop()
	for _, proxy := range fleet.proxies {
		proxy.setRefuse(func(effective revision.Document) string {
			if bytes.Equal(effective, bad) {
				return "it is not good here"
			}
			return ""
		})
	}
	await(t, electTime, "all proxies watch", allWatch(client, len(fleet.proxies)))
	good := apply(t, client, revision.FleetScope, utility(1))
	await(t, spreadTime, "in force", allAt(client, fleet.proxies))
	accepted, err := client.Apply(context.Background(), controlapi.ApplyRequest{Scope: revision.FleetScope, Base: good, Document: bad,
		Author: "tester", Reason: "a bad one", AtOnce: atOnce})
	if err != nil {
		t.Fatal(err)
	}
	await(t, spreadTime, "it stops", func() (string, bool) {
		history, err := client.History(context.Background(), nil, 1)
		if err != nil || len(history.Revisions) == 0 {
			return fmt.Sprint(err), false
		}
		entry, count = history.Revisions[0], fleet.refused(accepted.Number)
		return fmt.Sprintf("%s, refused by %d", entry.Stage, count), entry.Stage == control.StageHeld || count == len(fleet.proxies)
	})
	time.Sleep(time.Second) // whoever is still to get it has it now
	for _, proxy := range fleet.proxies {
		if number, _ := proxy.state(); number != good {
			t.Errorf("%s is at %d, not %d", proxy.identity.Proxy, number, good)
		}
	}
	return fleet.refused(accepted.Number), entry
}

// allWatch says whether so many proxies are connected as the leader knows it.
func allWatch(client *controlclient.Client, count int) func() (string, bool) {
	return func() (string, bool) {
		status, err := client.Status(context.Background(), 0, false)
		return fmt.Sprint(status.Summary.Targeted, " ", err), status.Summary.Targeted == count
	}
}

// setRefuse has a proxy refuse configurations.
func (p *simProxy) setRefuse(refuse func(revision.Document) string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuse = refuse
}

// refused counts the proxies that refused a revision.
func (f *simFleet) refused(number revision.Number) (count int) {
	for _, proxy := range f.proxies {
		proxy.mu.Lock()
		if proxy.refused[number] {
			count++
		}
		proxy.mu.Unlock()
	}
	return count
}

// canariesMost is the share of the 24 proxies that may be sent a revision before the first refusal holds it.
const canariesMost = 2

func TestARefusedRevisionStopsAtItsCanaries(t *testing.T) {
	t.Parallel()
	count, entry := refusedBy(t, false)
	if count == 0 || count > canariesMost || entry.Stage != control.StageHeld || entry.HeldReason == "" {
		t.Errorf("refused by %d, %+v", count, entry)
	}
}

func TestAGuardThatIsOffIsCaught(t *testing.T) {
	t.Parallel()
	if count, _ := refusedBy(t, true); count <= canariesMost {
		t.Errorf("refused by %d only", count)
	}
}

func TestACheckThatIsLeftOutIsCaught(t *testing.T) {
	t.Parallel()
	for _, defect := range []string{"", noCheck} {
		c := startCluster(t, 7, defect)
		client := operatorOf(t, c.addresses()...)
		c.awaitLeader(client)
		_, err := tryApply(client, revision.FleetScope, revision.Document(`{"settings":{"tick_ms":"soon"}}`), electTime)
		if caught := kindOf(err) != controlapi.KindRefused; caught != (defect == noCheck) {
			t.Errorf("defect %q: %v", defect, err)
		}
	}
}

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
func violationsAfterPowerCut(t *testing.T, defect string) []string {
	c := startCluster(t, 5, defect)
	client := newClient(t, c.addresses()...)
	c.awaitLeader(client)
	operations := newOperationLog()
	for n := range 3 {
		document := testDocument(n)
		checksum := revision.Checksum(document)
		operations.recordRequest(checksum)
		number, err := tryApply(client, revision.FleetScope, document, electionTimeout)
		if err != nil {
			t.Fatal(err)
		}
		operations.recordResult(number, checksum, nil)
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
	operations.compare(history)
	return operations.violations
}

func TestNoRevisionLostAfterPowerCut(t *testing.T) {
	t.Parallel()
	if faults := violationsAfterPowerCut(t, ""); len(faults) > 0 {
		t.Error(faults)
	}
}

func TestDetectsAcknowledgementBeforeSync(t *testing.T) {
	t.Parallel()
	if faults := violationsAfterPowerCut(t, ackBeforeSync); len(faults) == 0 {
		t.Error("nothing was lost")
	}
}

// refusedBy counts the simulated proxies that were sent a revision which all of them refuse.
func refusedBy(t *testing.T, atOnce bool) (count int, entry control.Entry) {
	c := startCluster(t, 6, "")
	client := newClient(t, c.addresses()...)
	c.awaitLeader(client)
	bad := testDocument(665999)
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
	await(t, electionTimeout, "all proxies watch", allConnected(client, len(fleet.proxies)))
	good := apply(t, client, revision.FleetScope, testDocument(1))
	await(t, propagationTimeout, "in force", allInForce(client, fleet.proxies))
	accepted, err := client.Apply(context.Background(), controlapi.ApplyRequest{Scope: revision.FleetScope, Base: good,
		Document: bad, Author: "tester", Reason: "a bad one", AtOnce: atOnce})
	if err != nil {
		t.Fatal(err)
	}
	await(t, propagationTimeout, "it stops", func() (string, bool) {
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
func allConnected(client *controlclient.Client, count int) func() (string, bool) {
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
const maxCanaries = 2

func TestRefusedRevisionStopsAtCanaries(t *testing.T) {
	t.Parallel()
	count, entry := refusedBy(t, false)
	if count == 0 || count > maxCanaries || entry.Stage != control.StageHeld || entry.HeldReason == "" {
		t.Errorf("refused by %d, %+v", count, entry)
	}
}

func TestDetectsDisabledCanaryGuard(t *testing.T) {
	t.Parallel()
	if count, _ := refusedBy(t, true); count <= maxCanaries {
		t.Errorf("refused by %d only", count)
	}
}

func TestDetectsMissingConfigCheck(t *testing.T) {
	t.Parallel()
	for _, defect := range []string{"", noCheck} {
		c := startCluster(t, 7, defect)
		client := newClient(t, c.addresses()...)
		c.awaitLeader(client)
		_, err := tryApply(client, revision.FleetScope, revision.Document(`{"settings":{"tick_ms":"soon"}}`), electionTimeout)
		if accepted := errorKind(err) != controlapi.KindRefused; accepted != (defect == noCheck) {
			t.Errorf("defect %q: %v", defect, err)
		}
	}
}

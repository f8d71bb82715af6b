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

// violationsAfterPowerCut makes changes, kills all five replicas at once, restarts them, and returns the violations that
// the operation log finds in the history.
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

// Accepted revisions must survive the simultaneous crash of all replicas.
func TestNoRevisionLostAfterPowerCut(t *testing.T) {
	t.Parallel()
	if faults := violationsAfterPowerCut(t, ""); len(faults) > 0 {
		t.Error(faults)
	}
}

// The check of TestNoRevisionLostAfterPowerCut must detect replicas that acknowledge entries before they are on disk.
func TestDetectsAcknowledgementBeforeSync(t *testing.T) {
	t.Parallel()
	if faults := violationsAfterPowerCut(t, ackBeforeSync); len(faults) == 0 {
		t.Error("no lost revision was detected")
	}
}

// refusedBy applies a revision that all simulated proxies refuse. It returns how many proxies refused it, and its entry in
// the history.
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
				return "refused by the test"
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
	await(t, propagationTimeout, "the rollout stops", func() (string, bool) {
		history, err := client.History(context.Background(), nil, 1)
		if err != nil || len(history.Revisions) == 0 {
			return fmt.Sprint(err), false
		}
		entry, count = history.Revisions[0], fleet.refused(accepted.Number)
		return fmt.Sprintf("%s, refused by %d", entry.Stage, count), entry.Stage == control.StageHeld || count == len(fleet.proxies)
	})
	time.Sleep(time.Second) // updates still in transit arrive meanwhile
	for _, proxy := range fleet.proxies {
		if number, _ := proxy.state(); number != good {
			t.Errorf("%s is at revision %d, want %d", proxy.identity.Proxy, number, good)
		}
	}
	return fleet.refused(accepted.Number), entry
}

// allConnected returns a condition for await: the leader counts exactly count connected proxies.
func allConnected(client *controlclient.Client, count int) func() (string, bool) {
	return func() (string, bool) {
		status, err := client.Status(context.Background(), 0, false)
		return fmt.Sprint(status.Summary.Targeted, " ", err), status.Summary.Targeted == count
	}
}

// setRefuse sets the function that decides which configurations the proxy refuses.
func (p *simProxy) setRefuse(refuse func(revision.Document) string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuse = refuse
}

// refused returns the number of proxies that refused a revision.
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

// maxCanaries is the number of the 24 proxies that may be sent a revision before the first refusal holds it.
const maxCanaries = 2

// A revision that proxies refuse must be held after it was sent to the canaries only.
func TestRefusedRevisionStopsAtCanaries(t *testing.T) {
	t.Parallel()
	count, entry := refusedBy(t, false)
	if count == 0 || count > maxCanaries || entry.Stage != control.StageHeld || entry.HeldReason == "" {
		t.Errorf("refused by %d proxies, entry %+v; want 1 to 2 proxies and a held entry", count, entry)
	}
}

// The check of TestRefusedRevisionStopsAtCanaries must detect a revision that is sent to all proxies at once.
func TestDetectsDisabledCanaryGuard(t *testing.T) {
	t.Parallel()
	if count, _ := refusedBy(t, true); count <= maxCanaries {
		t.Errorf("refused by %d proxies, want more than the canaries", count)
	}
}

// An invalid configuration must be refused, and accepted by replicas with the defect noCheck, which shows that the
// refusal comes from the check.
func TestDetectsMissingConfigCheck(t *testing.T) {
	t.Parallel()
	for _, defect := range []string{"", noCheck} {
		c := startCluster(t, 7, defect)
		client := newClient(t, c.addresses()...)
		c.awaitLeader(client)
		_, err := tryApply(client, revision.FleetScope, revision.Document(`{"settings":{"tick_ms":"soon"}}`), electionTimeout)
		if accepted := errorKind(err) != controlapi.KindRefused; accepted != (defect == noCheck) {
			t.Errorf("defect %q: apply of an invalid configuration returned %v", defect, err)
		}
	}
}

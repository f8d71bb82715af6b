package controlserver

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"sandpass/internal/revision"
)

// awaitJoined waits until a replica has removed its joining file.
func (c *cluster) awaitJoined(i int) {
	c.t.Helper()
	await(c.t, 2*electionTimeout, c.replicas[i].name+" joins", func() (string, bool) {
		return "the joining file exists", !mustJoin(c.replicas[i].folder)
	})
}

// awaitRevisions waits until a replica has this many revisions.
func (c *cluster) awaitRevisions(i, count int) {
	c.t.Helper()
	client := newClient(c.t, c.replicas[i].address)
	client.AllowStale = true
	await(c.t, electionTimeout, c.replicas[i].name+" has the revisions", func() (string, bool) {
		local, err := historyOf(client)
		return fmt.Sprint(len(local), err), len(local) == count
	})
}

// A replica whose folder was deleted must rejoin while changes are made, and receive all revisions.
func TestReplicaWithLostFolderRejoins(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 8, "")
	client := newClient(t, c.addresses()...)
	leader := c.awaitLeader(client)
	for n := range 3 {
		apply(t, client, revision.FleetScope, testDocument(n))
	}
	lost := (leader + 1) % len(c.replicas)
	c.kill(lost)
	if err := os.RemoveAll(c.replicas[lost].folder); err != nil {
		t.Fatal(err)
	}
	c.start(lost)
	for n := range 2 {
		apply(t, client, revision.FleetScope, testDocument(10+n))
	}
	c.awaitJoined(lost)
	c.awaitRevisions(lost, 5)
}

// One replica loses its disk when only two others have the newest revision. If it voted, it could elect a replica that
// lacks that revision.
func TestReplicaWithLostLogDoesNotVote(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 9, "")
	client := newClient(t, c.addresses()...)
	leader := c.awaitLeader(client)
	for i := range c.replicas {
		c.awaitJoined(i)
	}
	apply(t, client, revision.FleetScope, testDocument(0))
	for i := range c.replicas {
		c.awaitRevisions(i, 1) // a replica that never had a log is another case, see TestLostLogIsNoNewFleet
	}
	behind := []int{(leader + 1) % len(c.replicas), (leader + 2) % len(c.replicas)}
	for _, i := range behind {
		c.kill(i)
	}
	newest := apply(t, client, revision.FleetScope, testDocument(1))
	lost, other := (leader+3)%len(c.replicas), (leader+4)%len(c.replicas)
	for _, i := range []int{leader, lost, other} {
		c.kill(i)
	}
	if err := os.RemoveAll(c.replicas[lost].folder); err != nil {
		t.Fatal(err)
	}
	for _, i := range append(behind, lost) {
		c.start(i)
	}
	time.Sleep(electionTimeout / 2) // long enough for several elections
	for _, i := range append(behind, lost) {
		if strings.Contains(c.replicas[i].output.String(), "msg=control_leading leads=true") && i != leader {
			t.Errorf("%s became the leader without revision %d", c.replicas[i].name, newest)
		}
	}
	c.start(leader)
	c.awaitLeader(client)
	if history, err := historyOf(client); err != nil || len(history) != 2 {
		t.Errorf("got history %v, error %v; want 2 revisions", history, err)
	}
	c.awaitJoined(lost)
}

// Three of five replicas have all revisions, one of these loses its folder, and the two that never ran are started with it. Together
// they must not count as a new fleet, and elect a leader that lacks a revision.
func TestLostLogIsNoNewFleet(t *testing.T) {
	t.Parallel()
	c := startReplicas(t, 10, "", 3)
	client := newClient(t, c.addresses()[:3]...)
	c.awaitLeader(client)
	apply(t, client, revision.FleetScope, testDocument(0))
	for i := range 3 {
		c.awaitRevisions(i, 1)
	}
	for i := range 3 {
		c.kill(i)
	}
	const lost = 0
	if err := os.RemoveAll(c.replicas[lost].folder); err != nil {
		t.Fatal(err)
	}
	running := []int{lost, 3, 4}
	for _, i := range running {
		c.start(i)
	}
	time.Sleep(electionTimeout / 2) // long enough for several elections
	for _, i := range running {
		if strings.Contains(c.replicas[i].output.String(), "msg=control_leading leads=true") {
			t.Errorf("%s became the leader without the accepted revision", c.replicas[i].name)
		}
	}
}

// A storage file of size 0 has no log, so that its replica must join before it votes, like one without a file.
func TestEmptyStorageFileRequiresJoin(t *testing.T) {
	t.Parallel()
	folder := t.TempDir()
	openStorage(t, folder).Close()
	if err := os.Remove(filepath.Join(folder, joiningFileName)); err != nil {
		t.Fatal(err)
	}
	openStorage(t, folder).Close()
	if mustJoin(folder) {
		t.Error("a replica with a log must join")
	}
	if err := syscall.Truncate(filepath.Join(folder, storageFileName), 0); err != nil {
		t.Fatal(err)
	}
	openStorage(t, folder).Close()
	if !mustJoin(folder) {
		t.Error("a replica without a log need not join")
	}
}

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
	localClient := newClient(t, c.replicas[lost].address)
	localClient.AllowStale = true
	await(t, electionTimeout, "the replica has all revisions", func() (string, bool) {
		local, err := historyOf(localClient)
		return fmt.Sprint(len(local), err), len(local) == 5
	})
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

package controlserver

import (
	"testing"
	"time"

	"sandpass/internal/control"
	"sandpass/internal/revision"
)

// newSession returns a session of proxy p1.
func newSession(t *testing.T) *control.Session {
	t.Helper()
	session, err := control.NewSession(revision.Hello{Protocol: revision.Protocol,
		Identity: revision.Identity{Fleet: "shop", Proxy: "p1"}})
	if err != nil {
		t.Fatal(err)
	}
	return session
}

// connectedAtC1 reports whether the server's fleet view has proxy p1 connected to replica c1.
func connectedAtC1(server *Server) bool {
	server.mu.Lock()
	defer server.mu.Unlock()
	status, known := server.view.Status("p1")
	return known && status.Connected && status.Replica == "c1"
}

// A proxy may open a new watch before its previous one is closed. The close of the previous one must not mark the proxy as
// disconnected.
func TestReopenedWatchSurvivesCloseOfPrevious(t *testing.T) {
	server, _ := startSingleReplica(t, nil)
	previous, current := newSession(t), newSession(t)
	server.sessionOpened(previous)
	server.sessionOpened(current)
	if server.sessionClosed(previous); !connectedAtC1(server) {
		t.Error("the proxy counts as disconnected after its previous watch was closed")
	}
	if server.sessionClosed(current); connectedAtC1(server) {
		t.Error("the proxy counts as connected after its current watch was closed")
	}
}

// A proxy moves to this replica, and then a late report of its previous replica says that the watch there has ended. The
// proxy must still count as connected.
func TestLateReportFromOtherReplicaKeepsWatchOpen(t *testing.T) {
	server, _ := startSingleReplica(t, nil)
	session := newSession(t)
	server.sessionOpened(session)
	otherStatus := control.ProxyStatus{Identity: session.Identity(), Replica: "c2", Connected: true,
		UpdatedAt: time.Now().Add(time.Second)}
	server.mergeReports("c2", []control.ProxyStatus{otherStatus})
	otherStatus.Connected = false
	otherStatus.UpdatedAt = otherStatus.UpdatedAt.Add(time.Second)
	server.mergeReports("c2", []control.ProxyStatus{otherStatus})
	if !connectedAtC1(server) {
		t.Error("the proxy counts as disconnected although its watch at this replica is open")
	}
}

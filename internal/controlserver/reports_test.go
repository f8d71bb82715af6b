package controlserver

import (
	"testing"
	"time"

	"sandpass/internal/control"
	"sandpass/internal/revision"
)

// watchOf is a session of proxy p1.
func newSession(t *testing.T) *control.Session {
	t.Helper()
	session, err := control.NewSession(revision.Hello{Protocol: revision.Protocol,
		Identity: revision.Identity{Fleet: "shop", Proxy: "p1"}})
	if err != nil {
		t.Fatal(err)
	}
	return session
}

// showsOpen says whether the server's view has p1's watch open at c1.
func connectedAtC1(server *Server) bool {
	server.mu.Lock()
	defer server.mu.Unlock()
	status, known := server.view.Status("p1")
	return known && status.Connected && status.Replica == "c1"
}

func TestReopenedWatchSurvivesCloseOfPrevious(t *testing.T) {
	server, _ := startSingleReplica(t, nil)
	previous, current := newSession(t), newSession(t)
	server.sessionOpened(previous)
	server.sessionOpened(current)
	if server.sessionClosed(previous); !connectedAtC1(server) {
		t.Error("the end of the old watch counts for the new one")
	}
	if server.sessionClosed(current); connectedAtC1(server) {
		t.Error("the watch counts as open after its end")
	}
}

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
		t.Error("the proxy counts as gone though its watch is open here")
	}
}

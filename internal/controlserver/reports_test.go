package controlserver

import (
	"testing"
	"time"

	"sandpass/internal/control"
	"sandpass/internal/revision"
)

// watchOf is a session of proxy p1.
func watchOf(t *testing.T) *control.Session {
	t.Helper()
	session, err := control.NewSession(revision.Hello{Protocol: revision.Protocol,
		Identity: revision.Identity{Fleet: "shop", Proxy: "p1"}})
	if err != nil {
		t.Fatal(err)
	}
	return session
}

// showsOpen says whether the server's view has p1's watch open at c1.
func showsOpen(server *Server) bool {
	server.mu.Lock()
	defer server.mu.Unlock()
	status, known := server.view.Status("p1")
	return known && status.Connected && status.Replica == "c1"
}

func TestAWatchThatIsOpenedAgainOutlivesTheOneBefore(t *testing.T) {
	server, _ := startAlone(t, nil)
	before, after := watchOf(t), watchOf(t)
	server.opened(before)
	server.opened(after)
	if server.closed(before); !showsOpen(server) {
		t.Error("the end of the old watch counts for the new one")
	}
	if server.closed(after); showsOpen(server) {
		t.Error("the watch counts as open after its end")
	}
}

func TestALateWordOfAnotherReplicaDoesNotHideAnOpenWatch(t *testing.T) {
	server, _ := startAlone(t, nil)
	session := watchOf(t)
	server.opened(session)
	elsewhere := control.ProxyStatus{Identity: session.Identity(), Replica: "c2", Connected: true, UpdatedAt: time.Now().Add(time.Second)}
	server.mergeReports("c2", []control.ProxyStatus{elsewhere})
	elsewhere.Connected = false
	elsewhere.UpdatedAt = elsewhere.UpdatedAt.Add(time.Second)
	server.mergeReports("c2", []control.ProxyStatus{elsewhere})
	if !showsOpen(server) {
		t.Error("the proxy counts as gone though its watch is open here")
	}
}

package controlserver

import (
	"context"
	"log"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"go.etcd.io/raft/v3/raftpb"
)

// A replica with an empty folder may have lost entries that it once acknowledged. If it voted, a leader could be elected
// that lacks an accepted revision. It therefore joins first: it receives the log from the leader, and neither votes nor
// stands for election until it has all accepted revisions, or until it knows that a majority of the replicas, itself
// included, never had a log, which means that the fleet is new.
//
// A leader that believes an entry to be saved at the joining replica does not send it again. The joining replica then asks
// it to yield: the leader exchanges no messages for yieldDuration, so that another replica is elected, which determines
// anew which entries the joining replica has.
const (
	joinPath          = "/replica/join"
	joiningFileName   = "joining" // file in the folder that exists until the replica has joined
	joinCheckInterval = 200 * time.Millisecond
	yieldRequestDelay = 3 * time.Second // before a leader is asked to yield
	yieldDuration     = 3 * time.Second // during which a leader exchanges no messages; longer than an election
	minYieldInterval  = time.Minute     // between two yields of a leader
)

// joinRequest is the request of a joining replica to another replica.
type joinRequest struct {
	Yield bool `json:"yield,omitempty"` // asks the leader to yield
}

// joinResponse reports whether a replica has ever had a log.
type joinResponse struct {
	EverLogged bool `json:"logged"`
}

// markJoining creates the joining file in a folder whose storage file is missing or empty.
func markJoining(folder string) error {
	if info, err := os.Stat(filepath.Join(folder, storageFileName)); err == nil && info.Size() > 0 {
		return nil
	}
	file, err := os.Create(filepath.Join(folder, joiningFileName))
	if err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		file.Close()
		return err
	}
	return file.Close()
}

// mustJoin reports whether the replica of a folder has yet to join.
func mustJoin(folder string) bool {
	_, err := os.Stat(filepath.Join(folder, joiningFileName))
	return err == nil
}

// join waits until the replica may vote, and then removes the joining file. It returns early when ended is closed.
func (s *Server) join(ended <-chan struct{}) {
	ticker := time.NewTicker(joinCheckInterval)
	defer ticker.Stop()
	lastYieldRequest := time.Now()
	for {
		select {
		case <-ended:
			return
		case <-ticker.C:
		}
		if s.isNewFleet() || s.caughtUp() {
			break
		}
		if time.Since(lastYieldRequest) > yieldRequestDelay && !s.hasEverLogged() {
			lastYieldRequest = time.Now()
			log.Printf("msg=control_asks_leader_to_yield replica=%s", s.config.Name)
			s.askPeers(joinRequest{Yield: true}) // sent to all, because the leader may be unknown here; only the leader yields
		}
	}
	if err := os.Remove(filepath.Join(s.config.Folder, joiningFileName)); err != nil {
		s.fail(err)
		return
	}
	log.Printf("msg=control_joined replica=%s", s.config.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.joining = false
}

// hasEverLogged reports whether this replica's log ever had an entry.
func (s *Server) hasEverLogged() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.everLogged
}

// isNewFleet reports whether a majority of the replicas, including this one, never had a log.
func (s *Server) isNewFleet() bool {
	return !s.hasEverLogged() && 1+s.askPeers(joinRequest{}) > len(s.peers)/2
}

// askPeers sends a join request to all other replicas and counts those that answer that they never had a log.
func (s *Server) askPeers(request joinRequest) (withoutLog int) {
	noLog := make(chan bool, len(s.peers))
	for id, peer := range s.peers {
		if id != s.id {
			go func() {
				response, err := s.sendJoinRequest(peer, request)
				noLog <- err == nil && !response.EverLogged
			}()
		}
	}
	for range len(s.peers) - 1 {
		if <-noLog {
			withoutLog++
		}
	}
	return withoutLog
}

// sendJoinRequest sends a join request to one replica.
func (s *Server) sendJoinRequest(peer Peer, request joinRequest) (response joinResponse, err error) {
	ctx, cancel := context.WithTimeout(s.transport.ctx, dialTimeout)
	defer cancel()
	err = s.postPeer(ctx, peer, joinPath, request, &response)
	return response, err
}

// caughtUp reports whether the replica has all revisions accepted so far.
func (s *Server) caughtUp() bool {
	if leader, _ := s.leader(); leader.Name == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(s.transport.ctx, dialTimeout)
	defer cancel()
	return s.confirmRead(ctx) == nil
}

// serveJoin handles the request of a joining replica.
func (s *Server) serveJoin(w http.ResponseWriter, r *http.Request) {
	if s.senderLink(w, r) == nil {
		return
	}
	var request joinRequest
	if err := readBody(w, r, &request); err != nil {
		writeError(w, err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if request.Yield && s.node.IsLeader() && time.Since(s.lastYield) > minYieldInterval {
		s.lastYield = time.Now()
		log.Printf("msg=control_yields replica=%s", s.config.Name)
	}
	writeJSON(w, joinResponse{EverLogged: s.everLogged})
}

// yielding reports whether the replica is yielding: the core then neither receives nor sends messages. The server's lock
// must be held.
func (s *Server) yielding() bool { return time.Since(s.lastYield) < yieldDuration }

// acceptsMessage reports whether a message may be passed to the core. The server's lock must be held.
func (s *Server) acceptsMessage(message *raftpb.Message) bool {
	vote := message.GetType() == raftpb.MsgVote || message.GetType() == raftpb.MsgPreVote
	return !s.yielding() && !(s.joining && vote)
}

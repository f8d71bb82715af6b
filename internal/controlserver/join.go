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

// A replica whose folder is empty may have lost what it once acknowledged. Were it to vote, a leader could be elected that
// lacks an accepted revision. So it joins first: it takes the log from the leader, and neither votes nor stands for election
// until it has all that was accepted, or until it knows that a majority of the replicas never had a log: a new fleet.
//
// A leader that takes an entry for saved at the joining replica does not send it again. It is asked to yield then: it is
// silent until another replica leads, which finds out anew what the joining one has.
const (
	joinPath       = "/replica/join"
	joinMark       = "joining" // a file in the folder, there until the replica has joined
	joinInterval   = 200 * time.Millisecond
	joinPatience   = 3 * time.Second // until a leader is asked to yield
	yieldTime      = 3 * time.Second // that a leader is silent, longer than an election
	yieldPauseTime = time.Minute     // between two times that a leader yields
)

// joinRequest is what a joining replica asks another one.
type joinRequest struct {
	Yield bool `json:"yield,omitempty"` // leave the lead to another
}

// joinAnswer tells whether a replica has ever had a log.
type joinAnswer struct {
	Logged bool `json:"logged"`
}

// markJoining notes in a folder without a storage file, or with an empty one, that its replica has to join.
func markJoining(folder string) error {
	if info, err := os.Stat(filepath.Join(folder, storageFile)); err == nil && info.Size() > 0 {
		return nil
	}
	mark, err := os.Create(filepath.Join(folder, joinMark))
	if err != nil {
		return err
	}
	if err := mark.Sync(); err != nil {
		mark.Close()
		return err
	}
	return mark.Close()
}

// mustJoin tells whether a folder's replica has yet to join.
func mustJoin(folder string) bool {
	_, err := os.Stat(filepath.Join(folder, joinMark))
	return err == nil
}

// join tries until the replica has joined or ends.
func (s *Server) join(ended <-chan struct{}) {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	asked := time.Now()
	for {
		select {
		case <-ended:
			return
		case <-ticker.C:
		}
		if s.newFleet() || s.caughtUp() {
			break
		}
		if time.Since(asked) > joinPatience && !s.hasLog() {
			asked = time.Now()
			log.Printf("msg=control_asks_leader_to_yield replica=%s", s.config.Name)
			s.askAll(joinRequest{Yield: true}) // the leader does; which one it is, is not known here
		}
	}
	if err := os.Remove(filepath.Join(s.config.Folder, joinMark)); err != nil {
		s.fail(err)
		return
	}
	log.Printf("msg=control_joined replica=%s", s.config.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.joining = false
}

// hasLog tells whether there was ever an entry in the log here.
func (s *Server) hasLog() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.logged
}

// newFleet tells whether a majority of the replicas, this one among them, never had a log.
func (s *Server) newFleet() bool {
	return !s.hasLog() && 1+s.askAll(joinRequest{}) > len(s.peers)/2
}

// askAll asks all other replicas, and counts those that say that they never had a log.
func (s *Server) askAll(request joinRequest) (without int) {
	answers := make(chan bool, len(s.peers))
	for id, peer := range s.peers {
		if id != s.id {
			go func() {
				answer, err := s.askJoin(peer, request)
				answers <- err == nil && !answer.Logged
			}()
		}
	}
	for range len(s.peers) - 1 {
		if <-answers {
			without++
		}
	}
	return without
}

func (s *Server) askJoin(peer Peer, request joinRequest) (answer joinAnswer, err error) {
	ctx, cancel := context.WithTimeout(s.transport.ctx, dialTime)
	defer cancel()
	err = s.postPeer(ctx, peer, joinPath, request, &answer)
	return answer, err
}

// caughtUp tells whether the replica has all that was accepted so far.
func (s *Server) caughtUp() bool {
	if leader, _ := s.leader(); leader.Name == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(s.transport.ctx, dialTime)
	defer cancel()
	return s.confirm(ctx) == nil
}

// serveJoin answers a joining replica.
func (s *Server) serveJoin(w http.ResponseWriter, r *http.Request) {
	if s.sender(w, r) == nil {
		return
	}
	var request joinRequest
	if err := readBody(w, r, &request); err != nil {
		writeError(w, err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if request.Yield && s.node.IsLeader() && time.Since(s.yielded) > yieldPauseTime {
		s.yielded = time.Now()
		log.Printf("msg=control_yields replica=%s", s.config.Name)
	}
	writeJSON(w, joinAnswer{Logged: s.logged})
}

// silent tells whether the core is to neither hear nor say anything: it yields. The server's lock is held.
func (s *Server) silent() bool { return time.Since(s.yielded) < yieldTime }

// passes tells whether a message may go to the core. The server's lock is held.
func (s *Server) passes(message *raftpb.Message) bool {
	vote := message.GetType() == raftpb.MsgVote || message.GetType() == raftpb.MsgPreVote
	return !s.silent() && !(s.joining && vote)
}

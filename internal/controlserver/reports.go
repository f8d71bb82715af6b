package controlserver

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"sandpass/internal/control"
	"sandpass/internal/controlapi"
	"sandpass/internal/revision"
)

const (
	reportsPath     = "/replica/reports"
	reportsInterval = 100 * time.Millisecond // between two batches, while there is something to tell
	reportsIdle     = time.Second            // between two batches otherwise
	reportsTime     = 2 * time.Second        // for the leader to take a batch
	reportsMost     = 500                    // proxies in a batch
)

// reportsBatch is what a follower tells the leader of its proxies.
type reportsBatch struct {
	Connected int                   `json:"connected"` // proxies that watch the follower
	Statuses  []control.ProxyStatus `json:"statuses,omitempty"`
}

// reportsAnswer says how many proxies the leader takes to watch the follower, after the batch.
type reportsAnswer struct {
	Connected int `json:"connected"`
}

// opened notes a new watch.
func (s *Server) opened(session *control.Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[session.Identity().Proxy] = session
	s.noteOpen(session)
}

// noteOpen has the view show that a watch is open here.
func (s *Server) noteOpen(session *control.Session) {
	s.view.RecordWatchOpened(time.Now(), s.config.Name, session.Hello())
	s.dirty[session.Identity().Proxy] = true
}

// closed notes the end of a watch, unless the proxy has opened another one here since.
func (s *Server) closed(session *control.Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	proxy := session.Identity().Proxy
	if s.open[proxy] != session {
		return
	}
	delete(s.open, proxy)
	s.view.RecordWatchClosed(time.Now(), s.config.Name, proxy)
	s.dirty[proxy] = true
}

// reported notes a proxy's report. One that answers no update of this watch changes nothing.
func (s *Server) reported(watch *watch, report revision.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	session := watch.session
	if !session.HandleReport(report) {
		return
	}
	watch.answers++
	proxy := session.Identity().Proxy
	s.view.RecordReport(time.Now(), s.config.Name, session.Hello(), report)
	s.dirty[proxy] = true
	if s.node.IsLeader() {
		s.guard.RecordReport(s.now(), proxy, report)
		s.rouse()
	}
}

// sendReports tells the leader of this replica's proxies until the end.
func (s *Server) sendReports(ended <-chan struct{}) {
	ticker := time.NewTicker(reportsInterval)
	defer ticker.Stop()
	var last time.Time
	for {
		select {
		case <-ended:
			return
		case <-ticker.C:
		}
		leader, batch := s.nextReports(time.Since(last) >= reportsIdle)
		if batch == nil {
			continue
		}
		last = time.Now()
		if err := s.postReports(leader, batch); err != nil {
			s.reportsLost()
		}
	}
}

// nextReports takes a batch out of what the leader has yet to learn, nil for nothing to send. A new leader learns all.
func (s *Server) nextReports(idle bool) (Peer, *reportsBatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	leader := s.node.Leader()
	if leader == 0 || leader == s.id {
		s.told = 0
		clear(s.dirty)
		return Peer{}, nil
	}
	if leader != s.told {
		s.told = leader // it may have taken this replica for gone
		s.markAllDirty()
	}
	if len(s.dirty) == 0 && !idle {
		return Peer{}, nil
	}
	batch := &reportsBatch{Connected: s.connectedHere()}
	for proxy := range s.dirty {
		if len(batch.Statuses) == reportsMost {
			break
		}
		delete(s.dirty, proxy)
		if status, known := s.view.Status(proxy); known && status.Replica == s.config.Name {
			batch.Statuses = append(batch.Statuses, status)
		}
	}
	return s.peers[leader], batch
}

// markAllDirty has all statuses of this replica's proxies told anew.
func (s *Server) markAllDirty() {
	s.view.RefreshConnected(time.Now(), s.config.Name)
	for _, status := range s.view.Statuses() {
		if status.Replica == s.config.Name {
			s.dirty[status.Identity.Proxy] = true
		}
	}
}

func (s *Server) connectedHere() int { return s.view.CountConnectedAt(s.config.Name) }

// reportsLost has all be told anew.
func (s *Server) reportsLost() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told = 0
}

// postReports sends a batch. If the leader then counts other proxies here than there are, it has missed some.
func (s *Server) postReports(leader Peer, batch *reportsBatch) error {
	ctx, cancel := context.WithTimeout(s.transport.ctx, reportsTime)
	defer cancel()
	var answer reportsAnswer
	if err := s.postPeer(ctx, leader, reportsPath, batch, &answer); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.dirty) == 0 && answer.Connected != batch.Connected && answer.Connected != s.connectedHere() {
		s.told = 0
	}
	return nil
}

// postPeer asks another replica. An error is a *controlapi.Error where the replica gave one.
func (s *Server) postPeer(ctx context.Context, peer Peer, path string, request, response any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return err
	}
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer.Address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	return s.askPeer(post, response)
}

// askPeer sends a request to another replica and reads its answer.
func (s *Server) askPeer(request *http.Request, response any) error {
	request.Header.Set(fleetHeader, s.config.Fleet)
	request.Header.Set(senderHeader, s.config.Name)
	answer, err := s.transport.client.Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, controlapi.MaxBodyBytes))
	if err != nil {
		return err
	}
	if answer.StatusCode == http.StatusOK {
		return json.Unmarshal(text, response)
	}
	refusal := &controlapi.Error{}
	if json.Unmarshal(text, refusal) == nil && refusal.Kind != "" {
		return refusal
	}
	return fmt.Errorf("%s: %.200s", answer.Status, text)
}

// serveReports takes a follower's batch.
func (s *Server) serveReports(w http.ResponseWriter, r *http.Request) {
	link := s.sender(w, r)
	if link == nil {
		return
	}
	var batch reportsBatch
	if err := readBody(w, r, &batch); err != nil {
		writeError(w, err)
		return
	}
	for _, status := range batch.Statuses {
		if err := status.Identity.Check(); err != nil || status.Replica != link.peer.Name {
			writeError(w, badRequest(errors.Join(errors.New("statuses"), err)))
			return
		}
	}
	link.touch()
	writeJSON(w, s.mergeReports(link.peer.Name, batch.Statuses))
}

// mergeReports takes over statuses and passes what is new in them to the guard.
func (s *Server) mergeReports(replica string, statuses []control.ProxyStatus) reportsAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, status := range s.view.Merge(statuses) {
		if session := s.open[status.Identity.Proxy]; session != nil && !status.Connected {
			s.noteOpen(session) // it has ended there only: the other replica had a late word of it
		}
		for _, report := range reportsOf(status) {
			s.guard.RecordReport(s.now(), status.Identity.Proxy, report)
		}
	}
	s.rouse()
	return reportsAnswer{Connected: s.view.CountConnectedAt(replica)}
}

// reportsOf gives the reports that a status came from.
func reportsOf(status control.ProxyStatus) (reports []revision.Report) {
	if status.InForce != 0 {
		reports = append(reports, revision.Report{Revision: status.InForce, Verdict: revision.InForce, Checksum: status.Checksum})
	}
	if status.RefusedNumber != 0 {
		reports = append(reports, revision.Report{Revision: status.RefusedNumber, Verdict: revision.Refused, Reason: status.RefusalReason})
	}
	return reports
}

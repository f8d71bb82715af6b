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
	reportsPath         = "/replica/reports"
	reportsInterval     = 100 * time.Millisecond // between two batches while there are unsent statuses
	reportsIdleInterval = time.Second            // between two batches while there are none
	reportsTimeout      = 2 * time.Second        // for the leader to accept a batch
	maxBatchStatuses    = 500                    // statuses in one batch
)

// reportsBatch is a follower's message to the leader about its proxies.
type reportsBatch struct {
	Connected int                   `json:"connected"` // number of proxies that watch the follower
	Statuses  []control.ProxyStatus `json:"statuses,omitempty"`
}

// reportsResponse has the number of proxies that watch the follower according to the leader, after the batch.
type reportsResponse struct {
	Connected int `json:"connected"`
}

// sessionOpened records a new watch.
func (s *Server) sessionOpened(session *control.Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openSessions[session.Identity().Proxy] = session
	s.recordOpenSession(session)
}

// recordOpenSession records in the fleet view that a watch is open at this replica. The server's lock must be held.
func (s *Server) recordOpenSession(session *control.Session) {
	s.view.RecordWatchOpened(time.Now(), s.config.Name, session.Hello())
	s.unsentStatuses[session.Identity().Proxy] = true
}

// sessionClosed records the end of a watch, unless the proxy has since opened another one at this replica.
func (s *Server) sessionClosed(session *control.Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	proxy := session.Identity().Proxy
	if s.openSessions[proxy] != session {
		return
	}
	delete(s.openSessions, proxy)
	s.view.RecordWatchClosed(time.Now(), s.config.Name, proxy)
	s.unsentStatuses[proxy] = true
}

// handleReport records a proxy's report. A report that does not belong to an update of this watch is ignored.
func (s *Server) handleReport(watch *watch, report revision.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	session := watch.session
	if !session.HandleReport(report) {
		return
	}
	watch.reportsReceived++
	proxy := session.Identity().Proxy
	s.view.RecordReport(time.Now(), s.config.Name, session.Hello(), report)
	s.unsentStatuses[proxy] = true
	if s.node.IsLeader() {
		s.canaryController.RecordReport(s.monotonicSeconds(), proxy, report)
		s.wakeDriver()
	}
}

// sendReports sends the statuses of this replica's proxies to the leader, until ended is closed.
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
		leader, batch := s.nextBatch(time.Since(last) >= reportsIdleInterval)
		if batch == nil {
			continue
		}
		last = time.Now()
		if err := s.postReports(leader, batch); err != nil {
			s.resendAllStatuses()
		}
	}
}

// nextBatch removes the next batch from the unsent statuses. It returns nil if there is nothing to send. A new leader gets
// all statuses.
func (s *Server) nextBatch(idle bool) (Peer, *reportsBatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	leader := s.node.Leader()
	if leader == 0 || leader == s.id {
		s.syncedLeader = 0
		clear(s.unsentStatuses)
		return Peer{}, nil
	}
	if leader != s.syncedLeader {
		s.syncedLeader = leader // it may have considered this replica gone
		s.markAllUnsent()
	}
	if len(s.unsentStatuses) == 0 && !idle {
		return Peer{}, nil
	}
	batch := &reportsBatch{Connected: s.connectedCount()}
	for proxy := range s.unsentStatuses {
		if len(batch.Statuses) == maxBatchStatuses {
			break
		}
		delete(s.unsentStatuses, proxy)
		if status, known := s.view.Status(proxy); known && status.Replica == s.config.Name {
			batch.Statuses = append(batch.Statuses, status)
		}
	}
	return s.peers[leader], batch
}

// markAllUnsent marks the statuses of all of this replica's proxies as unsent.
func (s *Server) markAllUnsent() {
	s.view.RefreshConnected(time.Now(), s.config.Name)
	for _, status := range s.view.Statuses() {
		if status.Replica == s.config.Name {
			s.unsentStatuses[status.Identity.Proxy] = true
		}
	}
}

// connectedCount returns the number of proxies that watch this replica.
func (s *Server) connectedCount() int { return s.view.CountConnectedAt(s.config.Name) }

// resendAllStatuses makes the next batches send all statuses again.
func (s *Server) resendAllStatuses() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.syncedLeader = 0
}

// postReports sends a batch. If the leader then counts a different number of proxies at this replica, it has missed some
// statuses, and all are sent again.
func (s *Server) postReports(leader Peer, batch *reportsBatch) error {
	ctx, cancel := context.WithTimeout(s.transport.ctx, reportsTimeout)
	defer cancel()
	var response reportsResponse
	if err := s.postPeer(ctx, leader, reportsPath, batch, &response); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.unsentStatuses) == 0 && response.Connected != batch.Connected && response.Connected != s.connectedCount() {
		s.syncedLeader = 0
	}
	return nil
}

// postPeer sends a POST request to another replica. An error that the replica returned is a *controlapi.Error.
func (s *Server) postPeer(ctx context.Context, peer Peer, path string, request, response any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return err
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer.Address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	return s.doPeerRequest(httpRequest, response)
}

// doPeerRequest sends a request to another replica and decodes the response.
func (s *Server) doPeerRequest(request *http.Request, response any) error {
	request.Header.Set(fleetHeader, s.config.Fleet)
	request.Header.Set(senderHeader, s.config.Name)
	httpResponse, err := s.transport.client.Do(request)
	if err != nil {
		return err
	}
	defer httpResponse.Body.Close()
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, controlapi.MaxBodyBytes))
	if err != nil {
		return err
	}
	if httpResponse.StatusCode == http.StatusOK {
		return json.Unmarshal(body, response)
	}
	apiErr := &controlapi.Error{}
	if json.Unmarshal(body, apiErr) == nil && apiErr.Kind != "" {
		return apiErr
	}
	return fmt.Errorf("%s: %.200s", httpResponse.Status, body)
}

// serveReports handles a follower's batch of statuses.
func (s *Server) serveReports(w http.ResponseWriter, r *http.Request) {
	link := s.senderLink(w, r)
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
	link.markReceived()
	writeJSON(w, s.mergeReports(link.peer.Name, batch.Statuses))
}

// mergeReports merges a follower's statuses into the fleet view and passes new reports to the canary controller.
func (s *Server) mergeReports(replica string, statuses []control.ProxyStatus) reportsResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, status := range s.view.Merge(statuses) {
		if session := s.openSessions[status.Identity.Proxy]; session != nil && !status.Connected {
			s.recordOpenSession(session) // a late report of the other replica: only its watch has ended, the one here is open
		}
		for _, report := range reportsFromStatus(status) {
			s.canaryController.RecordReport(s.monotonicSeconds(), status.Identity.Proxy, report)
		}
	}
	s.wakeDriver()
	return reportsResponse{Connected: s.view.CountConnectedAt(replica)}
}

// reportsFromStatus returns the reports that a status was derived from.
func reportsFromStatus(status control.ProxyStatus) (reports []revision.Report) {
	if status.InForce != 0 {
		reports = append(reports, revision.Report{Revision: status.InForce, Verdict: revision.InForce, Checksum: status.Checksum})
	}
	if status.RefusedNumber != 0 {
		reports = append(reports, revision.Report{Revision: status.RefusedNumber, Verdict: revision.Refused,
			Reason: status.RefusalReason})
	}
	return reports
}

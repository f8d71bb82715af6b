package controlserver

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"sandpass/internal/control"
	"sandpass/internal/controlapi"
	"sandpass/internal/revision"
)

const (
	readTimeout       = 3 * time.Second        // for a quorum to confirm a read
	readRetryInterval = 300 * time.Millisecond // before the core is asked again
	maxPendingReads   = 1024                   // reads that wait for a quorum at the same time
	readContextBytes  = 16                     // size of the random context that identifies a linearizable read
	maxHistoryEntries = 10000
	forwardedHeader   = "Sandpass-Relayed" // set on a status request that a follower forwards
)

// confirmRead waits until the local state has all revisions that were accepted before the call.
func (s *Server) confirmRead(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	for {
		done, forget, err := s.beginRead()
		if err != nil {
			return err
		}
		select {
		case <-done:
			return nil
		case <-time.After(readRetryInterval):
			forget() // the core may have dropped the read
			if leader, _ := s.leader(); leader.Name == "" {
				return s.noLeaderError()
			}
		case <-ctx.Done():
			forget()
			return noQuorum("%s cannot confirm with a quorum that its state is the newest; --stale shows it unconfirmed",
				s.config.Name)
		}
	}
}

// noLeaderError returns the error of a read for which no leader is known.
func (s *Server) noLeaderError() error {
	return noQuorum("%s knows no leader: it is disconnected, or too few replicas are running; --stale shows its state",
		s.config.Name)
}

// beginRead asks the core for a linearizable read. The channel is closed once the read is confirmed; forget cancels it.
func (s *Server) beginRead() (done chan struct{}, forget func(), err error) {
	readContext := make([]byte, readContextBytes)
	rand.Read(readContext) // documented never to fail
	key := string(readContext)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pendingReads) >= maxPendingReads {
		return nil, nil, noQuorum("%s has too many pending reads", s.config.Name)
	}
	done = make(chan struct{})
	s.pendingReads[key] = done
	s.node.ReadIndex(readContext)
	s.wakeDriver()
	return done, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.pendingReads, key)
	}, nil
}

// readFreshness confirms a read with a quorum, unless the operator accepts stale state.
func (s *Server) readFreshness(r *http.Request) (controlapi.Freshness, error) {
	if r.URL.Query().Get(controlapi.StaleParameter) == "" {
		return controlapi.Freshness{}, s.confirmRead(r.Context())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return controlapi.Freshness{Stale: true, AgeSeconds: time.Since(s.leaderLastKnown).Seconds()}, nil
}

// serveRead confirms a read, computes the response under the server's lock and writes it.
func serveRead[T any](s *Server, w http.ResponseWriter, r *http.Request, respond func(controlapi.Freshness) (T, error)) {
	freshness, err := s.readFreshness(r)
	if err != nil {
		writeError(w, err)
		return
	}
	s.mu.Lock()
	response, err := respond(freshness)
	s.mu.Unlock()
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, response)
}

// serveHistory handles a request for the list of revisions.
func (s *Server) serveHistory(w http.ResponseWriter, r *http.Request) {
	scope, err := scopeParameter(r.URL.Query())
	var limit int
	if err == nil {
		limit, err = limitParameter(r.URL.Query())
	}
	if err != nil {
		writeError(w, badRequest(err))
		return
	}
	serveRead(s, w, r, func(freshness controlapi.Freshness) (controlapi.HistoryResponse, error) {
		revisions := s.node.State().History(scope, limit)
		for i := range revisions {
			revisions[i].Document = nil // show returns documents
		}
		return controlapi.HistoryResponse{Revisions: revisions, Freshness: freshness}, nil
	})
}

// scopeParameter parses the scope parameter. It returns nil if there is none.
func scopeParameter(query url.Values) (*revision.Scope, error) {
	text := query.Get("scope")
	if text == "" {
		return nil, nil
	}
	scope, err := revision.ParseScope(text)
	return &scope, err
}

// limitParameter parses the limit parameter. A missing parameter or 0 stands for maxHistoryEntries.
func limitParameter(query url.Values) (int, error) {
	text := query.Get("limit")
	if text == "" || text == "0" {
		return maxHistoryEntries, nil
	}
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 0 {
		return 0, fmt.Errorf("limit: %.40q is not a number of revisions", text)
	}
	return min(limit, maxHistoryEntries), nil
}

// serveShow handles a request for a scope's newest document or the document merged for a proxy.
func (s *Server) serveShow(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	scope, err := scopeParameter(query)
	identity := revision.Identity{Fleet: s.config.Fleet, Proxy: query.Get("proxy"), Region: query.Get("region"),
		Zone: query.Get("zone"), Service: query.Get("service")}
	if err == nil && scope == nil {
		err = identity.Check()
	}
	if err != nil {
		writeError(w, badRequest(err))
		return
	}
	serveRead(s, w, r, func(freshness controlapi.Freshness) (controlapi.ShowResponse, error) {
		if scope != nil {
			return showScope(s.node.State(), *scope, freshness), nil
		}
		return s.showProxy(identity, freshness)
	})
}

// showScope returns a scope's newest document, or the empty document for a scope without revisions.
func showScope(state *control.State, scope revision.Scope, freshness controlapi.Freshness) controlapi.ShowResponse {
	response := controlapi.ShowResponse{Scope: &scope, Document: revision.EmptyDocument, Freshness: freshness}
	if entry, known := state.Latest(scope); known {
		response.Number, response.Document = entry.Number, entry.Document
		entry.Document = nil
		response.Entry = &entry
	}
	response.Checksum = revision.Checksum(response.Document)
	return response
}

// showProxy returns the document merged for a proxy. If the request gives no region, zone or service, those that the proxy
// itself reported are used.
func (s *Server) showProxy(identity revision.Identity, freshness controlapi.Freshness) (response controlapi.ShowResponse,
	err error) {
	if status, known := s.view.Status(identity.Proxy); known && identity.Region+identity.Zone+identity.Service == "" {
		identity = status.Identity
	}
	state := s.node.State()
	documents, err := state.ReleasedDocuments(identity)
	if err != nil {
		return response, err
	}
	response.Freshness = freshness
	if response.Document, err = revision.EffectiveDocument(identity, documents); err != nil {
		return response, err
	}
	for _, document := range documents {
		response.Number = max(response.Number, document.Number)
	}
	response.Checksum = revision.Checksum(response.Document)
	response.Origins, err = state.ValueOrigins(identity)
	return response, err
}

// serveDiff handles a request to compare a document with its scope's newest one and to check it.
func (s *Server) serveDiff(w http.ResponseWriter, r *http.Request) {
	var request controlapi.DiffRequest
	if err := readBody(w, r, &request); err != nil {
		writeError(w, err)
		return
	}
	_, err := revision.ParseScope(request.Scope.String())
	if err == nil {
		request.Document, err = revision.Canonicalize(request.Document)
	}
	if err != nil {
		writeError(w, badRequest(err))
		return
	}
	freshness, err := s.readFreshness(r)
	if err != nil {
		writeError(w, err)
		return
	}
	response, err := s.diff(request)
	if err != nil {
		writeError(w, err)
		return
	}
	response.Freshness = freshness
	writeJSON(w, response)
}

// diff returns the patch from the scope's newest document to the requested one, and the result of the check.
func (s *Server) diff(request controlapi.DiffRequest) (response controlapi.DiffResponse, err error) {
	s.mu.Lock()
	newest := showScope(s.node.State(), request.Scope, controlapi.Freshness{})
	s.mu.Unlock()
	response.Base = newest.Number
	if response.Patch, err = revision.Diff(newest.Document, request.Document); err != nil {
		return response, err
	}
	apply := control.ApplyCommand{Scope: request.Scope, Base: newest.Number, Document: request.Document}
	if refusal := s.checkApply(apply); refusal != nil {
		response.Refusal = refusal.Error()
	}
	return response, nil
}

// serveStatus handles a request for the state of the fleet. A follower forwards it to the leader, the only replica that
// receives the reports of all proxies.
func (s *Server) serveStatus(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.ParseUint("0"+r.URL.Query().Get("number"), 10, 63)
	if err != nil {
		writeError(w, badRequest(fmt.Errorf("number: %w", err)))
		return
	}
	if leader, self := s.leader(); !self && r.URL.Query().Get(controlapi.StaleParameter) == "" {
		s.forwardStatus(w, r, leader)
		return
	}
	replicas := s.replicaStatuses()
	serveRead(s, w, r, func(freshness controlapi.Freshness) (controlapi.StatusResponse, error) {
		return s.buildStatus(revision.Number(number), r.URL.Query().Get("proxies") != "", replicas, freshness)
	})
}

// forwardStatus forwards a status request to the leader. A request that was forwarded before is refused.
func (s *Server) forwardStatus(w http.ResponseWriter, r *http.Request, leader Peer) {
	if leader.Name == "" || r.Header.Get(forwardedHeader) != "" {
		writeError(w, s.noLeaderError())
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), forwardTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+leader.Address+r.URL.RequestURI(), nil)
	if err != nil {
		writeError(w, err)
		return
	}
	request.Header.Set(forwardedHeader, s.config.Name)
	var response controlapi.StatusResponse
	err = s.doPeerRequest(request, &response)
	var apiErr *controlapi.Error
	switch {
	case err == nil:
		writeJSON(w, response)
	case errors.As(err, &apiErr):
		writeError(w, apiErr)
	default:
		writeError(w, noQuorum("the leader %s does not answer %s; --stale shows the local state", leader.Name, s.config.Name))
	}
}

// buildStatus builds the status response. The server's lock must be held.
func (s *Server) buildStatus(number revision.Number, proxies bool, replicas []controlapi.ReplicaStatus,
	freshness controlapi.Freshness) (controlapi.StatusResponse, error) {
	state := s.node.State()
	response := controlapi.StatusResponse{Fleet: s.config.Fleet, Replica: s.config.Name, Leader: s.peers[s.node.Leader()].Name,
		Newest: state.NewestNumber(), Replicas: replicas, Freshness: freshness}
	for i := range replicas {
		replicas[i].Leader = replicas[i].Name == response.Leader
		replicas[i].Proxies = s.view.CountConnectedAt(replicas[i].Name)
	}
	for _, status := range s.view.Statuses() {
		if status.RefusedNumber != 0 {
			response.Refusing = append(response.Refusing, status)
		}
		if proxies {
			response.Proxies = append(response.Proxies, status)
		}
	}
	if number == 0 {
		response.Summary = s.view.Summary(state)
		return response, nil
	}
	entry, known := state.Entry(number)
	if !known {
		return response, apiError(&control.UnknownRevisionError{Number: number}, "")
	}
	entry.Document = nil
	response.Requested = &entry
	var err error
	response.Summary, err = s.view.RevisionSummary(state, number)
	return response, err
}

// replicaStatuses returns which replicas are reachable from this one.
func (s *Server) replicaStatuses() (statuses []controlapi.ReplicaStatus) {
	for _, peer := range s.config.Replicas {
		status := controlapi.ReplicaStatus{Name: peer.Name, Region: peer.Region, Address: peer.Address, Reachable: true}
		if link := s.transport.peers[replicaID(s.config.Fleet, peer.Name)]; link != nil {
			silence := link.silentFor()
			status.Reachable = silence < silenceTimeout
			status.SilentSeconds = silence.Seconds()
		}
		statuses = append(statuses, status)
	}
	return statuses
}

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
	readTime      = 3 * time.Second        // for a quorum to confirm a read
	readRetry     = 300 * time.Millisecond // until the core is asked again
	readsMost     = 1024                   // that wait for a quorum at a time
	contextBytes  = 16                     // of a linearizable read, drawn by chance
	historyMost   = 10000
	relayedHeader = "Sandpass-Relayed" // on a status request that a follower passes on
)

// confirm waits until the state here has all that was accepted before the call.
func (s *Server) confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()
	for {
		done, forget, err := s.beginRead()
		if err != nil {
			return err
		}
		select {
		case <-done:
			return nil
		case <-time.After(readRetry):
			forget() // the core may have dropped it
			if leader, _ := s.leader(); leader.Name == "" {
				return s.noLeader()
			}
		case <-ctx.Done():
			forget()
			return noQuorum("%s can't confirm with a quorum that what it knows is the newest; --stale shows it all the same",
				s.config.Name)
		}
	}
}

func (s *Server) noLeader() error {
	return noQuorum("no leader is known to %s: it is cut off, or too few replicas run; --stale shows what it knows", s.config.Name)
}

// beginRead asks the core for a linearizable read.
func (s *Server) beginRead() (done chan struct{}, forget func(), err error) {
	context := make([]byte, contextBytes)
	rand.Read(context) // never fails, by its documentation
	key := string(context)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.reads) >= readsMost {
		return nil, nil, noQuorum("%s has too many reads waiting", s.config.Name)
	}
	done = make(chan struct{})
	s.reads[key] = done
	s.node.ReadIndex(context)
	s.rouse()
	return done, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.reads, key)
	}, nil
}

// freshen confirms a read unless the operator is content with what the replica knows.
func (s *Server) freshen(r *http.Request) (controlapi.Freshness, error) {
	if r.URL.Query().Get(controlapi.StaleParameter) == "" {
		return controlapi.Freshness{}, s.confirm(r.Context())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return controlapi.Freshness{Stale: true, AgeSeconds: time.Since(s.led).Seconds()}, nil
}

// answerRead confirms a read, then has answer look at the state under the lock.
func answerRead[T any](s *Server, w http.ResponseWriter, r *http.Request, answer func(controlapi.Freshness) (T, error)) {
	freshness, err := s.freshen(r)
	if err != nil {
		writeError(w, err)
		return
	}
	s.mu.Lock()
	response, err := answer(freshness)
	s.mu.Unlock()
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, response)
}

// serveHistory lists revisions.
func (s *Server) serveHistory(w http.ResponseWriter, r *http.Request) {
	scope, err := scopeOf(r.URL.Query())
	var limit int
	if err == nil {
		limit, err = limitOf(r.URL.Query())
	}
	if err != nil {
		writeError(w, badRequest(err))
		return
	}
	answerRead(s, w, r, func(freshness controlapi.Freshness) (controlapi.HistoryResponse, error) {
		revisions := s.node.State().History(scope, limit)
		for i := range revisions {
			revisions[i].Document = nil // show has it
		}
		return controlapi.HistoryResponse{Revisions: revisions, Freshness: freshness}, nil
	})
}

// scopeOf reads the scope parameter, nil where there is none.
func scopeOf(query url.Values) (*revision.Scope, error) {
	text := query.Get("scope")
	if text == "" {
		return nil, nil
	}
	scope, err := revision.ParseScope(text)
	return &scope, err
}

func limitOf(query url.Values) (int, error) {
	text := query.Get("limit")
	if text == "" || text == "0" {
		return historyMost, nil
	}
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 0 {
		return 0, fmt.Errorf("limit %.40q is not a number", text)
	}
	return min(limit, historyMost), nil
}

// serveShow gives a scope's newest document or a proxy's merged one.
func (s *Server) serveShow(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	scope, err := scopeOf(query)
	identity := revision.Identity{Fleet: s.config.Fleet, Proxy: query.Get("proxy"), Region: query.Get("region"),
		Zone: query.Get("zone"), Service: query.Get("service")}
	if err == nil && scope == nil {
		err = identity.Check()
	}
	if err != nil {
		writeError(w, badRequest(err))
		return
	}
	answerRead(s, w, r, func(freshness controlapi.Freshness) (controlapi.ShowResponse, error) {
		if scope != nil {
			return showScope(s.node.State(), *scope, freshness), nil
		}
		return s.showProxy(identity, freshness)
	})
}

// showScope gives a scope's newest document, the empty one for a scope without revisions.
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

// showProxy merges what a proxy has. Where it is connected it said itself where it stands.
func (s *Server) showProxy(identity revision.Identity, freshness controlapi.Freshness) (response controlapi.ShowResponse,
	err error) {
	if status, known := s.view.Status(identity.Proxy); known && identity.Region+identity.Zone+identity.Service == "" {
		identity = status.Identity
	}
	state := s.node.State()
	held, err := state.ReleasedDocuments(identity)
	if err != nil {
		return response, err
	}
	response.Freshness = freshness
	if response.Document, err = revision.EffectiveDocument(identity, held); err != nil {
		return response, err
	}
	for _, one := range held {
		response.Number = max(response.Number, one.Number)
	}
	response.Checksum = revision.Checksum(response.Document)
	response.Origins, err = state.ValueOrigins(identity)
	return response, err
}

// serveDiff compares a document with its scope's newest one, and checks it.
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
	freshness, err := s.freshen(r)
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

// serveStatus tells how the fleet stands. A follower asks the leader, which alone hears of all proxies.
func (s *Server) serveStatus(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.ParseUint("0"+r.URL.Query().Get("number"), 10, 63)
	if err != nil {
		writeError(w, badRequest(fmt.Errorf("number: %w", err)))
		return
	}
	if leader, self := s.leader(); !self && r.URL.Query().Get(controlapi.StaleParameter) == "" {
		s.relayStatus(w, r, leader)
		return
	}
	replicas := s.replicaStatuses()
	answerRead(s, w, r, func(freshness controlapi.Freshness) (controlapi.StatusResponse, error) {
		return s.status(revision.Number(number), r.URL.Query().Get("proxies") != "", replicas, freshness)
	})
}

// relayStatus passes a status request to the leader.
func (s *Server) relayStatus(w http.ResponseWriter, r *http.Request, leader Peer) {
	if leader.Name == "" || r.Header.Get(relayedHeader) != "" {
		writeError(w, s.noLeader())
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), forwardTime)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+leader.Address+r.URL.RequestURI(), nil)
	if err != nil {
		writeError(w, err)
		return
	}
	request.Header.Set(relayedHeader, s.config.Name)
	var response controlapi.StatusResponse
	err = s.askPeer(request, &response)
	var answered *controlapi.Error
	switch {
	case err == nil:
		writeJSON(w, response)
	case errors.As(err, &answered):
		writeError(w, answered)
	default:
		writeError(w, noQuorum("the leader %s does not answer %s; --stale shows what it knows", leader.Name, s.config.Name))
	}
}

// status looks at the state, with the server's lock held.
func (s *Server) status(number revision.Number, proxies bool, replicas []controlapi.ReplicaStatus,
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

// replicaStatuses tells which replicas are heard here.
func (s *Server) replicaStatuses() (statuses []controlapi.ReplicaStatus) {
	for _, peer := range s.config.Replicas {
		status := controlapi.ReplicaStatus{Name: peer.Name, Region: peer.Region, Address: peer.Address, Reachable: true}
		if link := s.transport.peers[replicaID(s.config.Fleet, peer.Name)]; link != nil {
			silent := link.silent()
			status.Reachable = silent < silenceMost
			status.SilentSeconds = silent.Seconds()
		}
		statuses = append(statuses, status)
	}
	return statuses
}

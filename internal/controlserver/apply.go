package controlserver

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
	"unicode"

	"sandpass/internal/control"
	"sandpass/internal/controlapi"
	"sandpass/internal/revision"
)

const (
	forwardPath        = "/replica/forward"
	applyTimeout       = 4 * time.Second // for a command to be committed; after that its outcome is unknown
	forwardTimeout     = 5 * time.Second // for the leader to answer a follower; longer than applyTimeout
	maxPendingCommands = 256             // commands whose outcome is awaited at the same time
)

var (
	errUndecided     = errors.New("unknown whether the change was accepted: the leader changed; repeat it with the same ID")
	errCommitTimeout = errors.New("unknown whether the change was accepted: no quorum answered in time; repeat it with the same ID")
)

// serveApply handles a change from an operator. A follower forwards it to the leader.
func (s *Server) serveApply(w http.ResponseWriter, r *http.Request) {
	serveChange(w, r, s.applyOrForward)
}

// serveForward handles a change that a follower forwarded. It is not forwarded again.
func (s *Server) serveForward(w http.ResponseWriter, r *http.Request) {
	if s.senderLink(w, r) != nil {
		serveChange(w, r, s.apply)
	}
}

// serveChange reads and validates a change, executes it and writes the response.
func serveChange(w http.ResponseWriter, r *http.Request,
	execute func(context.Context, controlapi.ApplyRequest) (controlapi.ApplyResponse, error)) {
	var request controlapi.ApplyRequest
	err := readBody(w, r, &request)
	if err == nil {
		err = validateRequest(&request)
	}
	var response controlapi.ApplyResponse
	if err == nil {
		response, err = execute(r.Context(), request)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, response)
}

// applyOrForward executes a change if this replica leads, and forwards it to the leader otherwise.
func (s *Server) applyOrForward(ctx context.Context, request controlapi.ApplyRequest) (
	response controlapi.ApplyResponse, err error) {
	leader, self := s.leader()
	if self {
		return s.apply(ctx, request)
	}
	if leader.Name == "" {
		return response, noQuorum("%s knows no leader: it is disconnected, or too few replicas are running", s.config.Name)
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	err = s.postPeer(ctx, leader, forwardPath, request, &response)
	var apiErr *controlapi.Error
	var opErr *net.OpError
	switch {
	case err == nil || errors.As(err, &apiErr):
		return response, err
	case errors.As(err, &opErr) && opErr.Op == "dial":
		return response, noQuorum("the leader %s cannot be reached from %s", leader.Name, s.config.Name)
	}
	return response, &controlapi.Error{Kind: controlapi.KindUnknown, ID: request.ID, Message: errCommitTimeout.Error()}
}

// validateRequest checks a change by itself, without the replicated state, and makes its document canonical.
func validateRequest(request *controlapi.ApplyRequest) error {
	if request.ID == "" || len(request.ID) > control.MaxCommandIDBytes {
		return badRequest(fmt.Errorf("id: must have 1 to %d bytes", control.MaxCommandIDBytes))
	}
	for _, field := range []struct {
		key, value string
		maxBytes   int
	}{{"author", request.Author, control.MaxAuthorBytes}, {"reason", request.Reason, control.MaxReasonBytes}} {
		if field.value == "" || len(field.value) > field.maxBytes || strings.ContainsFunc(field.value, unicode.IsControl) {
			return badRequest(fmt.Errorf("%s: must be one line of 1 to %d bytes", field.key, field.maxBytes))
		}
	}
	if _, err := revision.ParseScope(request.Scope.String()); err != nil {
		return badRequest(err)
	}
	if request.RollbackOf != 0 {
		request.Document = nil
		return nil
	}
	document, err := revision.Canonicalize(request.Document)
	if err != nil {
		return badRequest(fmt.Errorf("document: %w", err))
	}
	request.Document = document
	return nil
}

// apply executes a change on the leader: it checks and proposes the change and waits for its outcome.
func (s *Server) apply(ctx context.Context, request controlapi.ApplyRequest) (response controlapi.ApplyResponse, err error) {
	command := control.Command{ID: request.ID, Apply: &control.ApplyCommand{Scope: request.Scope, Base: request.Base,
		Document: request.Document, Author: request.Author, Reason: request.Reason, Time: time.Now().UTC(),
		AtOnce: request.AtOnce, RollbackOf: request.RollbackOf}}
	if previous, known := s.outcome(request.ID); known {
		return applyResult(request, previous)
	}
	if err := s.checkApply(*command.Apply); err != nil {
		return response, apiError(err, request.ID)
	}
	outcome, err := s.propose(command)
	if err != nil {
		return response, apiError(err, request.ID)
	}
	s.wakeDriver()
	timeout := time.NewTimer(applyTimeout)
	defer timeout.Stop()
	var result control.Outcome
	select {
	case result = <-outcome:
	case <-timeout.C:
		result.Err = errCommitTimeout
	case <-ctx.Done():
		result.Err = errCommitTimeout
	}
	if result.Err != nil {
		s.removeOutcomeWaiter(request.ID, outcome)
	}
	return applyResult(request, result)
}

// outcome returns the outcome of the change with the ID, if the change was executed before.
func (s *Server) outcome(id string) (control.Outcome, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.State().Outcome(id)
}

// applyResult converts the outcome of a change to a response or an API error.
func applyResult(request controlapi.ApplyRequest, outcome control.Outcome) (controlapi.ApplyResponse, error) {
	if outcome.Err != nil {
		return controlapi.ApplyResponse{}, apiError(outcome.Err, request.ID)
	}
	return controlapi.ApplyResponse{ID: request.ID, Number: outcome.Number, Scope: request.Scope}, nil
}

// propose proposes a change for the replicated log and returns the channel that its outcome is sent to.
func (s *Server) propose(command control.Command) (chan control.Outcome, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outcomeWaiters[command.ID] != nil {
		return nil, errUndecided // the same command is pending; the client repeats the request
	}
	if len(s.outcomeWaiters) >= maxPendingCommands {
		return nil, control.ErrDropped
	}
	if !command.Apply.AtOnce {
		command.Apply.Canaries = s.canaryController.SelectCanaries(s.view.ConnectedIdentities(), command.Apply.Scope)
	}
	if err := s.node.Propose(command); err != nil {
		return nil, err
	}
	outcome := make(chan control.Outcome, 1)
	s.outcomeWaiters[command.ID] = outcome
	return outcome, nil
}

// removeOutcomeWaiter stops waiting for the outcome of a command.
func (s *Server) removeOutcomeWaiter(id string, outcome chan control.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outcomeWaiters[id] == outcome {
		delete(s.outcomeWaiters, id)
	}
}

// noQuorum formats an error for a request that needs a quorum or a leader.
func noQuorum(format string, args ...any) *controlapi.Error {
	return &controlapi.Error{Kind: controlapi.KindNoQuorum, Message: fmt.Sprintf(format, args...)}
}

// badRequest converts an error to one for a malformed request, in one line.
func badRequest(err error) *controlapi.Error {
	return &controlapi.Error{Kind: controlapi.KindBadRequest, Message: strings.Join(strings.Fields(err.Error()), " ")}
}

// apiError converts the error of the command with the ID to the error that the operator gets.
func apiError(err error, id string) *controlapi.Error {
	apiErr := &controlapi.Error{Kind: controlapi.KindRefused, Message: strings.Join(strings.Fields(err.Error()), " ")}
	var conflict *control.ConflictError
	var unknown *control.UnknownRevisionError
	var invalid *control.InvalidCommandError
	switch {
	case errors.As(err, &apiErr):
	case errors.As(err, &conflict):
		apiErr.Kind, apiErr.Changed = controlapi.KindConflict, conflict.Changes
	case errors.As(err, &unknown):
		apiErr.Kind = controlapi.KindNotFound
	case errors.As(err, &invalid):
		apiErr.Kind = controlapi.KindBadRequest
	case errors.Is(err, errUndecided), errors.Is(err, errCommitTimeout):
		apiErr.Kind, apiErr.ID = controlapi.KindUnknown, id
	case errors.Is(err, control.ErrNotLeader), errors.Is(err, control.ErrDropped):
		apiErr.Kind = controlapi.KindNoQuorum
	}
	return apiErr
}

// httpStatusByKind maps each kind of error to its HTTP status.
var httpStatusByKind = map[controlapi.Kind]int{
	controlapi.KindConflict:   http.StatusConflict,
	controlapi.KindRefused:    http.StatusUnprocessableEntity,
	controlapi.KindNoQuorum:   http.StatusServiceUnavailable,
	controlapi.KindBadRequest: http.StatusBadRequest,
	controlapi.KindNotFound:   http.StatusNotFound,
	controlapi.KindUnknown:    http.StatusGatewayTimeout,
}

// readBody decodes a request's body, which may have at most controlapi.MaxBodyBytes.
func readBody(w http.ResponseWriter, r *http.Request, target any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, controlapi.MaxBodyBytes))
	if err := decoder.Decode(target); err != nil {
		return badRequest(fmt.Errorf("body: %w", err))
	}
	return nil
}

// writeError writes an error response with the error's kind and message.
func writeError(w http.ResponseWriter, err error) {
	var apiErr *controlapi.Error
	if !errors.As(err, &apiErr) {
		apiErr = apiError(err, "")
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(httpStatusByKind[apiErr.Kind])
	json.NewEncoder(w).Encode(apiErr)
}

// writeJSON writes a value as the response.
func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(value)
}

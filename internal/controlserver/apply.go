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
	forwardPath = "/replica/forward"
	applyTime   = 4 * time.Second // for a command to be committed; then its outcome is not known
	forwardTime = 5 * time.Second // for the leader to answer a follower, longer than applyTime
	waitersMost = 256             // commands that wait for their outcome at a time
)

var (
	errUndecided = errors.New("whether it was accepted is not known: the leader changed meanwhile; repeat it with the same ID")
	errLate      = errors.New("whether it was accepted is not known: no quorum answered in time; repeat it with the same ID")
)

// serveApply takes a change from an operator and passes it to the leader.
func (s *Server) serveApply(w http.ResponseWriter, r *http.Request) {
	serveChange(w, r, s.route)
}

// serveForward takes a change that a follower passes on. It is not passed on again.
func (s *Server) serveForward(w http.ResponseWriter, r *http.Request) {
	if s.sender(w, r) != nil {
		serveChange(w, r, s.apply)
	}
}

// serveChange reads and checks a change and answers with what carryOut makes of it.
func serveChange(w http.ResponseWriter, r *http.Request,
	carryOut func(context.Context, controlapi.ApplyRequest) (controlapi.ApplyResponse, error)) {
	var request controlapi.ApplyRequest
	err := readBody(w, r, &request)
	if err == nil {
		err = checkRequest(&request)
	}
	var response controlapi.ApplyResponse
	if err == nil {
		response, err = carryOut(r.Context(), request)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, response)
}

// route carries out a change here or at the leader.
func (s *Server) route(ctx context.Context, request controlapi.ApplyRequest) (response controlapi.ApplyResponse, err error) {
	leader, self := s.leader()
	if self {
		return s.apply(ctx, request)
	}
	if leader.Name == "" {
		return response, noQuorum("no leader is known to %s: it is cut off, or too few replicas run", s.config.Name)
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTime)
	defer cancel()
	err = s.postPeer(ctx, leader, forwardPath, request, &response)
	var answered *controlapi.Error
	var network *net.OpError
	switch {
	case err == nil || errors.As(err, &answered):
		return response, err
	case errors.As(err, &network) && network.Op == "dial":
		return response, noQuorum("the leader %s can't be reached from %s", leader.Name, s.config.Name)
	}
	return response, &controlapi.Error{Kind: controlapi.KindUnknown, ID: request.ID, Message: errLate.Error()}
}

// checkRequest finds what is wrong with a change by itself; its document becomes canonical.
func checkRequest(request *controlapi.ApplyRequest) error {
	if request.ID == "" || len(request.ID) > control.MaxCommandIDBytes {
		return badRequest(fmt.Errorf("id: 1 to %d bytes", control.MaxCommandIDBytes))
	}
	for _, field := range []struct {
		key, value string
		most       int
	}{{"author", request.Author, control.MaxAuthorBytes}, {"reason", request.Reason, control.MaxReasonBytes}} {
		if field.value == "" || len(field.value) > field.most || strings.ContainsFunc(field.value, unicode.IsControl) {
			return badRequest(fmt.Errorf("%s: one line of 1 to %d bytes", field.key, field.most))
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

// apply carries out a change on the leader: it is checked, committed and its outcome awaited.
func (s *Server) apply(ctx context.Context, request controlapi.ApplyRequest) (response controlapi.ApplyResponse, err error) {
	command := control.Command{ID: request.ID, Apply: &control.ApplyCommand{Scope: request.Scope, Base: request.Base,
		Document: request.Document, Author: request.Author, Reason: request.Reason, Time: time.Now().UTC(),
		AtOnce: request.AtOnce, RollbackOf: request.RollbackOf}}
	if before, known := s.outcome(request.ID); known {
		return answerOf(request, before)
	}
	if err := s.checkApply(*command.Apply); err != nil {
		return response, apiError(err, request.ID)
	}
	outcome, err := s.propose(command)
	if err != nil {
		return response, apiError(err, request.ID)
	}
	s.rouse()
	late := time.NewTimer(applyTime)
	defer late.Stop()
	var result control.Outcome
	select {
	case result = <-outcome:
	case <-late.C:
		result.Err = errLate
	case <-ctx.Done():
		result.Err = errLate
	}
	if result.Err != nil {
		s.forgetOutcome(request.ID, outcome)
	}
	return answerOf(request, result)
}

// outcome looks whether a change was carried out before.
func (s *Server) outcome(id string) (control.Outcome, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.State().Outcome(id)
}

func answerOf(request controlapi.ApplyRequest, outcome control.Outcome) (controlapi.ApplyResponse, error) {
	if outcome.Err != nil {
		return controlapi.ApplyResponse{}, apiError(outcome.Err, request.ID)
	}
	return controlapi.ApplyResponse{ID: request.ID, Number: outcome.Number, Scope: request.Scope}, nil
}

// propose puts a change into the log and gives the channel of its outcome.
func (s *Server) propose(command control.Command) (chan control.Outcome, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outcomes[command.ID] != nil {
		return nil, errUndecided // the same command is under way: its submitter asks again
	}
	if len(s.outcomes) >= waitersMost {
		return nil, control.ErrDropped
	}
	if !command.Apply.AtOnce {
		command.Apply.Canaries = s.guard.SelectCanaries(s.view.ConnectedIdentities(), command.Apply.Scope)
	}
	if err := s.node.Propose(command); err != nil {
		return nil, err
	}
	outcome := make(chan control.Outcome, 1)
	s.outcomes[command.ID] = outcome
	return outcome, nil
}

// forgetOutcome gives up waiting.
func (s *Server) forgetOutcome(id string, outcome chan control.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outcomes[id] == outcome {
		delete(s.outcomes, id)
	}
}

func noQuorum(format string, args ...any) *controlapi.Error {
	return &controlapi.Error{Kind: controlapi.KindNoQuorum, Message: fmt.Sprintf(format, args...)}
}

func badRequest(err error) *controlapi.Error {
	return &controlapi.Error{Kind: controlapi.KindBadRequest, Message: strings.Join(strings.Fields(err.Error()), " ")}
}

// apiError says to an operator what became of the command with the ID.
func apiError(err error, id string) *controlapi.Error {
	answer := &controlapi.Error{Kind: controlapi.KindRefused, Message: strings.Join(strings.Fields(err.Error()), " ")}
	var conflict *control.ConflictError
	var unknown *control.UnknownRevisionError
	var bad *control.InvalidCommandError
	switch {
	case errors.As(err, &answer):
	case errors.As(err, &conflict):
		answer.Kind, answer.Changed = controlapi.KindConflict, conflict.Changes
	case errors.As(err, &unknown):
		answer.Kind = controlapi.KindNotFound
	case errors.As(err, &bad):
		answer.Kind = controlapi.KindBadRequest
	case errors.Is(err, errUndecided), errors.Is(err, errLate):
		answer.Kind, answer.ID = controlapi.KindUnknown, id
	case errors.Is(err, control.ErrNotLeader), errors.Is(err, control.ErrDropped):
		answer.Kind = controlapi.KindNoQuorum
	}
	return answer
}

// statusOf gives the HTTP status of each kind of error.
var statusOf = map[controlapi.Kind]int{
	controlapi.KindConflict:   http.StatusConflict,
	controlapi.KindRefused:    http.StatusUnprocessableEntity,
	controlapi.KindNoQuorum:   http.StatusServiceUnavailable,
	controlapi.KindBadRequest: http.StatusBadRequest,
	controlapi.KindNotFound:   http.StatusNotFound,
	controlapi.KindUnknown:    http.StatusGatewayTimeout,
}

// readBody decodes a request's body, whose size is bounded.
func readBody(w http.ResponseWriter, r *http.Request, into any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, controlapi.MaxBodyBytes))
	if err := decoder.Decode(into); err != nil {
		return badRequest(fmt.Errorf("body: %w", err))
	}
	return nil
}

// writeError answers with an error's kind and message.
func writeError(w http.ResponseWriter, err error) {
	var answer *controlapi.Error
	if !errors.As(err, &answer) {
		answer = apiError(err, "")
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(statusOf[answer.Kind])
	json.NewEncoder(w).Encode(answer)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(value)
}

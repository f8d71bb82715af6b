package control

import (
	"encoding/json"
	"fmt"

	"sandpass/internal/revision"
)

// outcomeMemory remembers the outcomes of the last OutcomesMost commands by their IDs.
type outcomeMemory struct {
	byID  map[string]Outcome
	order []string // the oldest first
}

func newOutcomeMemory() outcomeMemory {
	return outcomeMemory{byID: map[string]Outcome{}}
}

func (m *outcomeMemory) get(id string) (Outcome, bool) {
	outcome, known := m.byID[id]
	return outcome, known
}

func (m *outcomeMemory) add(id string, outcome Outcome) {
	m.byID[id] = outcome
	m.order = append(m.order, id)
	if len(m.order) > MaxRememberedOutcomes {
		delete(m.byID, m.order[0])
		m.order = m.order[1:]
	}
}

// OutcomeRecord is a command's outcome as it is saved and sent.
type OutcomeRecord struct {
	ID     string          `json:"id"`
	Number revision.Number `json:"number,omitempty"`
	Kind   string          `json:"kind,omitempty"` // of the error, empty for none
	Error  json.RawMessage `json:"error,omitempty"`
}

// The kinds of errors in an OutcomeRecord.
const (
	conflictKind        = "conflict"
	unknownRevisionKind = "unknown_revision"
	stageKind           = "stage"
	badCommandKind      = "bad_command"
	limitKind           = "limit"
)

// Record gives an outcome in the form that is saved and sent.
func (o Outcome) Record(id string) (OutcomeRecord, error) {
	record := OutcomeRecord{ID: id, Number: o.Number}
	if o.Err == nil {
		return record, nil
	}
	switch o.Err.(type) {
	case *ConflictError:
		record.Kind = conflictKind
	case *UnknownRevisionError:
		record.Kind = unknownRevisionKind
	case *StageError:
		record.Kind = stageKind
	case *InvalidCommandError:
		record.Kind = badCommandKind
	case *LimitError:
		record.Kind = limitKind
	default:
		return record, fmt.Errorf("no outcome has an error of type %T", o.Err)
	}
	var err error
	record.Error, err = revision.Encode(o.Err)
	return record, err
}

// Outcome reads an outcome back.
func (r OutcomeRecord) Outcome() (Outcome, error) {
	outcome := Outcome{Number: r.Number}
	if r.Kind == "" {
		return outcome, nil
	}
	switch r.Kind {
	case conflictKind:
		outcome.Err = &ConflictError{}
	case unknownRevisionKind:
		outcome.Err = &UnknownRevisionError{}
	case stageKind:
		outcome.Err = &StageError{}
	case badCommandKind:
		outcome.Err = &InvalidCommandError{}
	case limitKind:
		outcome.Err = &LimitError{}
	default:
		return Outcome{}, fmt.Errorf("outcome of unknown kind %q", r.Kind)
	}
	if err := json.Unmarshal(r.Error, outcome.Err); err != nil {
		return Outcome{}, fmt.Errorf("outcome: %w", err)
	}
	return outcome, nil
}

package control

import (
	"encoding/json"
	"fmt"

	"sandpass/internal/revision"
)

// outcomeLog remembers the outcomes of the last MaxRememberedOutcomes commands by their IDs.
type outcomeLog struct {
	byID  map[string]Outcome
	order []string // command IDs, oldest first
}

// newOutcomeLog returns an empty outcomeLog.
func newOutcomeLog() outcomeLog {
	return outcomeLog{byID: map[string]Outcome{}}
}

// get returns the outcome of a command ID, and whether it is remembered.
func (l *outcomeLog) get(id string) (Outcome, bool) {
	outcome, found := l.byID[id]
	return outcome, found
}

// add records an outcome and forgets the oldest one if there are more than MaxRememberedOutcomes.
func (l *outcomeLog) add(id string, outcome Outcome) {
	l.byID[id] = outcome
	l.order = append(l.order, id)
	if len(l.order) > MaxRememberedOutcomes {
		delete(l.byID, l.order[0])
		l.order = l.order[1:]
	}
}

// OutcomeRecord is the serialized form of a command's outcome, used in snapshots and messages.
type OutcomeRecord struct {
	ID     string          `json:"id"`
	Number revision.Number `json:"number,omitempty"`
	Kind   string          `json:"kind,omitempty"` // kind of the error, empty for none
	Error  json.RawMessage `json:"error,omitempty"`
}

// Error kinds of an OutcomeRecord.
const (
	conflictKind        = "conflict"
	unknownRevisionKind = "unknown_revision"
	stageKind           = "stage"
	badCommandKind      = "bad_command"
	limitKind           = "limit"
)

// Record returns the serializable form of an outcome.
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
		return record, fmt.Errorf("an outcome with an error of type %T cannot be recorded", o.Err)
	}
	var err error
	record.Error, err = revision.Encode(o.Err)
	return record, err
}

// Outcome decodes an OutcomeRecord.
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
		return Outcome{}, fmt.Errorf("unknown error kind %q in an outcome", r.Kind)
	}
	if err := json.Unmarshal(r.Error, outcome.Err); err != nil {
		return Outcome{}, fmt.Errorf("outcome: %w", err)
	}
	return outcome, nil
}

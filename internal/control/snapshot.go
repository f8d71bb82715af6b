package control

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"sandpass/internal/revision"
)

// SnapshotFormat is the version of a snapshot's form. A replica refuses one that it does not know.
const SnapshotFormatVersion = 1

// numberMost is the highest number of a revision that a snapshot may have: one more must be countable.
const numberMost = 1 << 53

// snapshotHeader is a snapshot's first line, the body is its second.
type snapshotHeader struct {
	Format   int    `json:"format"`
	Checksum string `json:"checksum"` // of the body
}

type snapshotBody struct {
	Fleet    string          `json:"fleet"`
	Newest   revision.Number `json:"newest"`
	Entries  []*Entry        `json:"entries"`  // ascending
	Outcomes []OutcomeRecord `json:"outcomes"` // the oldest first
}

// Marshal writes a snapshot with a format version and a checksum. Equal states give equal bytes.
func (s *State) Marshal() ([]byte, error) {
	body := snapshotBody{Fleet: s.fleet, Newest: s.newest}
	for _, entry := range s.entries {
		body.Entries = append(body.Entries, entry)
	}
	slices.SortFunc(body.Entries, func(a, b *Entry) int { return cmp.Compare(a.Number, b.Number) })
	for _, id := range s.outcomes.order {
		record, err := s.outcomes.byID[id].Record(id)
		if err != nil {
			return nil, err
		}
		body.Outcomes = append(body.Outcomes, record)
	}
	text, err := revision.Encode(body)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	header, err := revision.Encode(snapshotHeader{Format: SnapshotFormatVersion, Checksum: revision.Checksum(text)})
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return slices.Concat(header, []byte("\n"), text), nil
}

// Checksum is that of the whole state: replicas that have applied the same commands have the same.
func (s *State) Checksum() (string, error) {
	if s.cache.state != "" {
		return s.cache.state, nil
	}
	text, err := s.Marshal()
	if err != nil {
		return "", err
	}
	s.cache.state = revision.Checksum(text)
	return s.cache.state, nil
}

// UnmarshalState reads a snapshot; the error is a *SnapshotError.
func UnmarshalState(text []byte) (*State, error) {
	head, text, cut := bytes.Cut(text, []byte("\n"))
	var header snapshotHeader
	if err := json.Unmarshal(head, &header); err != nil || !cut {
		return nil, &SnapshotError{Reason: "it has no header"}
	}
	if header.Format != SnapshotFormatVersion {
		return nil, &SnapshotError{Reason: fmt.Sprintf("format %d, known is %d", header.Format, SnapshotFormatVersion)}
	}
	if header.Checksum != revision.Checksum(text) {
		return nil, &SnapshotError{Reason: "its checksum is wrong"}
	}
	var body snapshotBody
	if err := json.Unmarshal(text, &body); err != nil {
		return nil, &SnapshotError{Reason: oneLine(err)}
	}
	state, err := body.state()
	if err != nil {
		return nil, &SnapshotError{Reason: oneLine(err)}
	}
	return state, nil
}

// state builds the state and checks what its methods rely on.
func (b *snapshotBody) state() (*State, error) {
	if b.Newest > numberMost {
		return nil, fmt.Errorf("revision %d is beyond any that there could be", b.Newest)
	}
	s := NewState(b.Fleet)
	s.newest = b.Newest
	last := revision.Number(0)
	for _, entry := range b.Entries {
		if entry == nil || entry.Number <= last || entry.Number > b.Newest {
			return nil, fmt.Errorf("after revision %d comes one out of order", last)
		}
		last = entry.Number
		if err := entry.check(); err != nil {
			return nil, fmt.Errorf("revision %d: %w", entry.Number, err)
		}
		s.insert(entry)
	}
	for _, record := range b.Outcomes {
		if _, twice := s.outcomes.get(record.ID); twice || record.ID == "" {
			return nil, fmt.Errorf("outcome ID %q stands twice or is empty", record.ID)
		}
		outcome, err := record.Outcome()
		if err != nil {
			return nil, err
		}
		s.outcomes.add(record.ID, outcome)
	}
	return s, nil
}

// check finds an entry that Apply could not have made.
func (e *Entry) check() error {
	if _, err := revision.ParseScope(e.Scope.String()); err != nil {
		return err
	}
	switch e.Stage {
	case StageTrial, StageReleased, StageHeld, StageSuperseded:
	default:
		return fmt.Errorf("stage %q is unknown", e.Stage)
	}
	document, err := revision.Canonicalize(e.Document)
	if err != nil {
		return err
	}
	if !bytes.Equal(document, e.Document) || e.Checksum != revision.Checksum(document) {
		return fmt.Errorf("the document is not canonical, or its checksum is wrong")
	}
	return nil
}

package control

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"sandpass/internal/revision"
)

// SnapshotFormatVersion is the version of the snapshot format. A replica refuses any other version.
const SnapshotFormatVersion = 1

// maxRevisionNumber is the highest revision number in a snapshot. It leaves room for further revisions without overflow.
const maxRevisionNumber = 1 << 53

// snapshotHeader is the first line of a snapshot. The second line is the snapshotBody.
type snapshotHeader struct {
	Format   int    `json:"format"`
	Checksum string `json:"checksum"` // checksum of the body
}

// snapshotBody is the serialized State.
type snapshotBody struct {
	Fleet    string          `json:"fleet"`
	Newest   revision.Number `json:"newest"`
	Entries  []*Entry        `json:"entries"`  // ascending by number
	Outcomes []OutcomeRecord `json:"outcomes"` // oldest first
}

// Marshal returns a snapshot of the state, with a format version and a checksum. Equal states produce equal bytes.
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

// Checksum returns the checksum of the whole state. Replicas that have applied the same commands have the same checksum.
func (s *State) Checksum() (string, error) {
	if s.cache.stateChecksum != "" {
		return s.cache.stateChecksum, nil
	}
	text, err := s.Marshal()
	if err != nil {
		return "", err
	}
	s.cache.stateChecksum = revision.Checksum(text)
	return s.cache.stateChecksum, nil
}

// UnmarshalState decodes and validates a snapshot. The error is a *SnapshotError.
func UnmarshalState(text []byte) (*State, error) {
	head, text, cut := bytes.Cut(text, []byte("\n"))
	var header snapshotHeader
	if err := json.Unmarshal(head, &header); err != nil || !cut {
		return nil, &SnapshotError{Reason: "the header is missing or invalid"}
	}
	if header.Format != SnapshotFormatVersion {
		return nil, &SnapshotError{Reason: fmt.Sprintf("format version %d, not %d", header.Format, SnapshotFormatVersion)}
	}
	if header.Checksum != revision.Checksum(text) {
		return nil, &SnapshotError{Reason: "the checksum does not match"}
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

// state builds the State and checks the invariants that its methods rely on.
func (b *snapshotBody) state() (*State, error) {
	if b.Newest > maxRevisionNumber {
		return nil, fmt.Errorf("revision number %d is too high", b.Newest)
	}
	s := NewState(b.Fleet)
	s.newest = b.Newest
	last := revision.Number(0)
	for _, entry := range b.Entries {
		if entry == nil || entry.Number <= last || entry.Number > b.Newest {
			return nil, fmt.Errorf("the entry after revision %d is missing or out of order", last)
		}
		last = entry.Number
		if err := entry.check(); err != nil {
			return nil, fmt.Errorf("revision %d: %w", entry.Number, err)
		}
		s.appendEntry(entry)
	}
	for _, record := range b.Outcomes {
		if _, duplicate := s.outcomes.get(record.ID); duplicate || record.ID == "" {
			return nil, fmt.Errorf("outcome ID %q is empty or a duplicate", record.ID)
		}
		outcome, err := record.Outcome()
		if err != nil {
			return nil, err
		}
		s.outcomes.add(record.ID, outcome)
	}
	return s, nil
}

// check refuses an entry that Apply could not have produced.
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
		return fmt.Errorf("the document is not canonical or does not match its checksum")
	}
	return nil
}

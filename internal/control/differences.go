package control

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"

	"sandpass/internal/revision"
)

// KeyChange is the difference at one key path of two documents.
type KeyChange struct {
	Path   string          `json:"path"`
	Before json.RawMessage `json:"before,omitempty"` // nil where the key is new
	After  json.RawMessage `json:"after,omitempty"`  // nil where the key is gone
}

// Differences compares two canonical documents key by key, ordered by path. Numbers are equal if their texts are.
func DiffDocuments(before, after revision.Document) ([]KeyChange, error) {
	lower, err := parseDocument(before)
	if err != nil {
		return nil, err
	}
	upper, err := parseDocument(after)
	if err != nil {
		return nil, err
	}
	var changes []KeyChange
	compareObjects("", lower, upper, &changes)
	slices.SortFunc(changes, func(a, b KeyChange) int { return strings.Compare(a.Path, b.Path) })
	return changes, nil
}

// compareObjects adds the differences of two objects.
func compareObjects(path string, before, after *tree, changes *[]KeyChange) {
	for _, at := range pairs(before, after) {
		atPath := joinPath(path, at.key)
		if at.lower != nil && at.upper != nil && at.lower.object && at.upper.object {
			compareObjects(atPath, at.lower, at.upper, changes)
			continue
		}
		change := KeyChange{Path: atPath}
		if at.lower != nil {
			change.Before = at.lower.document()
		}
		if at.upper != nil {
			change.After = at.upper.document()
		}
		if !bytes.Equal(change.Before, change.After) {
			*changes = append(*changes, change)
		}
	}
}

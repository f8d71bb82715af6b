package control

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"

	"sandpass/internal/revision"
)

// KeyChange is the difference between two documents at one key path.
type KeyChange struct {
	Path   string          `json:"path"`
	Before json.RawMessage `json:"before,omitempty"` // nil if the key was added
	After  json.RawMessage `json:"after,omitempty"`  // nil if the key was removed
}

// DiffDocuments compares two canonical documents key by key and returns the changes ordered by path. Numbers are equal
// if their texts are equal.
func DiffDocuments(before, after revision.Document) ([]KeyChange, error) {
	beforeTree, err := parseDocument(before)
	if err != nil {
		return nil, err
	}
	afterTree, err := parseDocument(after)
	if err != nil {
		return nil, err
	}
	var changes []KeyChange
	compareObjects("", beforeTree, afterTree, &changes)
	slices.SortFunc(changes, func(a, b KeyChange) int { return strings.Compare(a.Path, b.Path) })
	return changes, nil
}

// compareObjects appends the differences between two objects at the given path to changes.
func compareObjects(path string, before, after *tree, changes *[]KeyChange) {
	for _, pair := range pairMembers(before, after) {
		keyPath := joinPath(path, pair.key)
		if pair.lower != nil && pair.upper != nil && pair.lower.isObject && pair.upper.isObject {
			compareObjects(keyPath, pair.lower, pair.upper, changes)
			continue
		}
		change := KeyChange{Path: keyPath}
		if pair.lower != nil {
			change.Before = pair.lower.document()
		}
		if pair.upper != nil {
			change.After = pair.upper.document()
		}
		if !bytes.Equal(change.Before, change.After) {
			*changes = append(*changes, change)
		}
	}
}

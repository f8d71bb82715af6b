package control

import (
	"encoding/json"

	"sandpass/internal/revision"
)

// Origin says where one value of an effective configuration comes from.
type Origin struct {
	Path   string          `json:"path"` // keys joined by dots; arrays are values
	Value  json.RawMessage `json:"value"`
	Scope  revision.Scope  `json:"scope"`
	Number revision.Number `json:"number"`
}

// Explain gives the origin of each value that the released revisions give a proxy, ordered by path.
func (s *State) Explain(identity revision.Identity) ([]Origin, error) { panic("not written") }

// KeyChange is the difference at one key path of two documents.
type KeyChange struct {
	Path   string          `json:"path"`
	Before json.RawMessage `json:"before,omitempty"` // nil where the key is new
	After  json.RawMessage `json:"after,omitempty"`  // nil where the key is gone
}

// Differences compares two documents key by key, ordered by path.
func Differences(before, after revision.Document) ([]KeyChange, error) { panic("not written") }

package control

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"

	"sandpass/internal/revision"
)

// Origin says where one value of an effective configuration comes from.
type Origin struct {
	Path   string          `json:"path"` // keys joined by dots, quoted where they have one; arrays are values
	Value  json.RawMessage `json:"value"`
	Scope  revision.Scope  `json:"scope"`
	Number revision.Number `json:"number"`
}

// origins is a merged document's tree. A node has children if it is an object, else a value.
type origins struct {
	children map[string]*origins
	value    any
	entry    *Entry // that gave the value, or began the object
}

// Explain gives the origin of each value that the released revisions give a proxy, ordered by path.
func (s *State) Explain(identity revision.Identity) ([]Origin, error) {
	if identity.Fleet != s.fleet {
		return nil, &FleetError{Fleet: identity.Fleet, Want: s.fleet}
	}
	root := &origins{children: map[string]*origins{}}
	for _, entry := range s.releasedEntries(identity) {
		value, err := s.parsed(entry)
		if err != nil {
			return nil, err
		}
		root.lay(value, entry)
	}
	var list []Origin
	err := root.list("", &list)
	slices.SortFunc(list, func(a, b Origin) int { return strings.Compare(a.Path, b.Path) })
	return list, err
}

// lay lays an entry's object over an object node.
func (o *origins) lay(object map[string]any, entry *Entry) {
	for key, value := range object {
		inner, isObject := value.(map[string]any)
		if !isObject {
			o.children[key] = &origins{value: value, entry: entry}
			continue
		}
		child := o.children[key]
		if child == nil || child.children == nil {
			child = &origins{children: map[string]*origins{}, entry: entry}
			o.children[key] = child
		}
		child.lay(inner, entry)
	}
}

// list adds the node's values. An empty object is a value.
func (o *origins) list(path string, list *[]Origin) error {
	for key, child := range o.children {
		childPath := joinPath(path, key)
		if len(child.children) > 0 {
			if err := child.list(childPath, list); err != nil {
				return err
			}
			continue
		}
		value := child.value
		if child.children != nil {
			value = map[string]any{}
		}
		text, err := encodeJSON(value)
		if err != nil {
			return err
		}
		*list = append(*list, Origin{Path: childPath, Value: text, Scope: child.entry.Scope, Number: child.entry.Number})
	}
	return nil
}

// joinPath appends a key to a path.
func joinPath(path, key string) string {
	if key == "" || strings.ContainsAny(key, `."`) {
		key = strconv.Quote(key)
	}
	if path == "" {
		return key
	}
	return path + "." + key
}

// KeyChange is the difference at one key path of two documents.
type KeyChange struct {
	Path   string          `json:"path"`
	Before json.RawMessage `json:"before,omitempty"` // nil where the key is new
	After  json.RawMessage `json:"after,omitempty"`  // nil where the key is gone
}

// Differences compares two documents key by key, ordered by path. Numbers are equal if their texts are.
func Differences(before, after revision.Document) ([]KeyChange, error) {
	lower, err := parse(before)
	if err != nil {
		return nil, err
	}
	upper, err := parse(after)
	if err != nil {
		return nil, err
	}
	var changes []KeyChange
	err = compareObjects("", lower, upper, &changes)
	slices.SortFunc(changes, func(a, b KeyChange) int { return strings.Compare(a.Path, b.Path) })
	return changes, err
}

// compareObjects adds the differences of two objects.
func compareObjects(path string, before, after map[string]any, changes *[]KeyChange) error {
	keys := map[string]bool{}
	for key := range maps.Keys(before) {
		keys[key] = true
	}
	for key := range maps.Keys(after) {
		keys[key] = true
	}
	for key := range keys {
		lower, lowerIs := before[key]
		upper, upperIs := after[key]
		lowerObject, lowerIsObject := lower.(map[string]any)
		upperObject, upperIsObject := upper.(map[string]any)
		var err error
		if lowerIsObject && upperIsObject {
			err = compareObjects(joinPath(path, key), lowerObject, upperObject, changes)
		} else {
			err = compareValues(KeyChange{Path: joinPath(path, key)}, lower, lowerIs, upper, upperIs, changes)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// compareValues adds the difference of two values, at least one of which is there.
func compareValues(change KeyChange, before any, hadBefore bool, after any, hasAfter bool, changes *[]KeyChange) (err error) {
	if hadBefore {
		if change.Before, err = encodeJSON(before); err != nil {
			return err
		}
	}
	if hasAfter {
		if change.After, err = encodeJSON(after); err != nil {
			return err
		}
	}
	if string(change.Before) != string(change.After) {
		*changes = append(*changes, change)
	}
	return nil
}

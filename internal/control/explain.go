package control

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"sandpass/internal/revision"
)

// Origin says where one value of an effective configuration comes from.
type ValueOrigin struct {
	Path   string          `json:"path"` // keys joined by dots, quoted where they have one; arrays are values
	Value  json.RawMessage `json:"value"`
	Scope  revision.Scope  `json:"scope"`
	Number revision.Number `json:"number"`
}

// Explain gives the origin of each value that the released revisions give a proxy, ordered by path.
func (s *State) ValueOrigins(identity revision.Identity) ([]ValueOrigin, error) {
	if identity.Fleet != s.fleet {
		return nil, &FleetMismatchError{Fleet: identity.Fleet, Want: s.fleet}
	}
	merged := &tree{object: true}
	origins := map[*tree]*Entry{}
	for _, entry := range s.releasedEntries(identity) {
		value, err := s.parsed(entry)
		if err != nil {
			return nil, err
		}
		noteOrigin(value, entry, origins)
		merged = overlay(merged, value)
	}
	var list []ValueOrigin
	listOrigins("", merged, origins, &list)
	slices.SortFunc(list, func(a, b ValueOrigin) int { return strings.Compare(a.Path, b.Path) })
	return list, nil
}

// noteOrigin notes the entry that each value of a document comes from. Merged objects share the values.
func noteOrigin(value *tree, entry *Entry, origins map[*tree]*Entry) {
	origins[value] = entry
	for _, one := range value.members {
		noteOrigin(one.value, entry, origins)
	}
}

// listOrigins adds the values below an object. An empty object is a value.
func listOrigins(path string, object *tree, origins map[*tree]*Entry, list *[]ValueOrigin) {
	for _, one := range object.members {
		onePath := joinPath(path, one.key)
		if len(one.value.members) > 0 {
			listOrigins(onePath, one.value, origins, list)
			continue
		}
		entry := origins[one.value]
		*list = append(*list, ValueOrigin{
			Path:   onePath,
			Value:  one.value.document(),
			Scope:  entry.Scope,
			Number: entry.Number,
		})
	}
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

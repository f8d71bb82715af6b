package control

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"sandpass/internal/revision"
)

// ValueOrigin names the revision that one value of an effective configuration comes from.
type ValueOrigin struct {
	Path   string          `json:"path"` // as joinPath builds it; an array is one value
	Value  json.RawMessage `json:"value"`
	Scope  revision.Scope  `json:"scope"`
	Number revision.Number `json:"number"`
}

// ValueOrigins returns the origin of each value in the configuration that results from a proxy's released revisions, ordered
// by path.
func (s *State) ValueOrigins(identity revision.Identity) ([]ValueOrigin, error) {
	if identity.Fleet != s.fleet {
		return nil, &FleetMismatchError{Fleet: identity.Fleet, Want: s.fleet}
	}
	merged := &tree{isObject: true}
	origins := map[*tree]*Entry{}
	for _, entry := range s.releasedEntries(identity) {
		value, err := s.parsedTree(entry)
		if err != nil {
			return nil, err
		}
		recordOrigins(value, entry, origins)
		merged = mergeObjects(merged, value)
	}
	var list []ValueOrigin
	appendOrigins("", merged, origins, &list)
	slices.SortFunc(list, func(a, b ValueOrigin) int { return strings.Compare(a.Path, b.Path) })
	return list, nil
}

// recordOrigins records an entry as the origin of all values of a document. Merged objects share these values, so the
// origins can be looked up by pointer.
func recordOrigins(value *tree, entry *Entry, origins map[*tree]*Entry) {
	origins[value] = entry
	for _, child := range value.members {
		recordOrigins(child.value, entry, origins)
	}
}

// appendOrigins appends the origins of all values below an object to list. An empty object is a value.
func appendOrigins(path string, object *tree, origins map[*tree]*Entry, list *[]ValueOrigin) {
	for _, child := range object.members {
		childPath := joinPath(path, child.key)
		if len(child.value.members) > 0 {
			appendOrigins(childPath, child.value, origins, list)
			continue
		}
		entry := origins[child.value]
		*list = append(*list, ValueOrigin{
			Path:   childPath,
			Value:  child.value.document(),
			Scope:  entry.Scope,
			Number: entry.Number,
		})
	}
}

// joinPath appends a key to a path. Keys that are empty or contain a dot or a quote are quoted.
func joinPath(path, key string) string {
	if key == "" || strings.ContainsAny(key, `."`) {
		key = strconv.Quote(key)
	}
	if path == "" {
		return key
	}
	return path + "." + key
}

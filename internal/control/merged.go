package control

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"

	"sandpass/internal/revision"
)

// cache holds what is computed once for many proxies. All of it follows from the entries; a full map is emptied.
type cache struct {
	checksums map[string]string // of merged configurations, by combination
	parsed    map[revision.Number]map[string]any
	patches   map[patchKey]revision.Change
}

// patchKey names the way from one revision of a scope to another.
type patchKey struct {
	from, to revision.Number
}

func newCache() cache {
	return cache{
		checksums: map[string]string{},
		parsed:    map[revision.Number]map[string]any{},
		patches:   map[patchKey]revision.Change{},
	}
}

// remember adds to a map of bounded size.
func remember[K comparable, V any](cached map[K]V, most int, key K, value V) {
	if len(cached) >= most {
		clear(cached)
	}
	cached[key] = value
}

// combinationKey names a combination of revisions, widest scope first.
func combinationKey(entries []*Entry) string {
	key := make([]byte, 0, 32)
	for _, entry := range entries {
		key = strconv.AppendUint(key, uint64(entry.Number), 10)
		key = append(key, ' ')
	}
	return string(key)
}

// mergedChecksum is the checksum of the configuration that a combination of revisions gives.
func (s *State) mergedChecksum(entries []*Entry) (string, error) {
	key := combinationKey(entries)
	if checksum, known := s.cache.checksums[key]; known {
		return checksum, nil
	}
	document, err := s.merged(entries)
	if err != nil {
		return "", err
	}
	checksum := revision.Checksum(document)
	remember(s.cache.checksums, mergedMost, key, checksum)
	return checksum, nil
}

// merged gives what revision.Merge gives for the documents, from values that were parsed before.
func (s *State) merged(entries []*Entry) (revision.Document, error) {
	merged := map[string]any{}
	for _, entry := range entries {
		value, err := s.parsed(entry)
		if err != nil {
			return nil, err
		}
		merged = overlay(merged, value)
	}
	document, err := encodeJSON(merged)
	if err != nil {
		return nil, fmt.Errorf("merged configuration: %w", err)
	}
	if len(document) > revision.DocumentMost {
		return nil, &LimitError{What: "bytes of a merged configuration", Most: revision.DocumentMost}
	}
	return document, nil
}

// parsed gives a document's value, which must not be changed.
func (s *State) parsed(entry *Entry) (map[string]any, error) {
	if value, known := s.cache.parsed[entry.Number]; known {
		return value, nil
	}
	value, err := parse(entry.Document)
	if err != nil {
		return nil, fmt.Errorf("revision %d: %w", entry.Number, err)
	}
	remember(s.cache.parsed, parsedMost, entry.Number, value)
	return value, nil
}

// parse reads a canonical document; numbers keep their text.
func parse(document revision.Document) (map[string]any, error) {
	decoder := json.NewDecoder(bytes.NewReader(document))
	decoder.UseNumber()
	var value map[string]any
	err := decoder.Decode(&value)
	return value, err
}

// overlay lays one object over another as RFC 7396 says, for objects without null. It changes neither.
func overlay(lower, upper map[string]any) map[string]any {
	merged := make(map[string]any, len(lower)+len(upper))
	for key, value := range lower {
		merged[key] = value
	}
	for key, value := range upper {
		lowerObject, lowerIs := merged[key].(map[string]any)
		upperObject, upperIs := value.(map[string]any)
		if lowerIs && upperIs {
			value = overlay(lowerObject, upperObject)
		}
		merged[key] = value
	}
	return merged
}

// change gives a scope's part of an update, from what the proxy holds if that is known.
func (s *State) change(held, target *Entry) revision.Change {
	whole := revision.Change{Scope: target.Scope, Number: target.Number, Document: target.Document}
	if held == nil {
		return whole
	}
	key := patchKey{held.Number, target.Number}
	if change, known := s.cache.patches[key]; known {
		return change
	}
	change := whole
	patch, err := revision.Diff(held.Document, target.Document)
	if err == nil && len(patch) < len(target.Document) && leadsTo(held.Document, patch, target.Document) {
		change = revision.Change{Scope: target.Scope, Number: target.Number, From: held.Number, Patch: patch}
	}
	remember(s.cache.patches, patchesMost, key, change)
	return change
}

// leadsTo says whether a patch gives the wanted document exactly. The library takes numbers for equal whose texts differ.
func leadsTo(from, patch, to revision.Document) bool {
	got, err := revision.Patch(from, patch)
	return err == nil && bytes.Equal(got, to)
}

package control

import (
	"bytes"
	"fmt"
	"strconv"

	"sandpass/internal/revision"
)

// cache holds what is computed once for many proxies. All of it follows from the entries.
type cache struct {
	checksums bounded[string, string] // of merged configurations, by combination
	parsed    bounded[revision.Number, *tree]
	patches   bounded[patchKey, revision.Change]
	text      bytes.Buffer // of the last merged configuration, to be written over
	state     string       // checksum of the state, empty while it is not known
}

// patchKey names the way from one revision of a scope to another.
type patchKey struct {
	from, to revision.Number
}

func newCache() cache {
	return cache{
		checksums: newBounded[string, string](mergedMost),
		parsed:    newBounded[revision.Number, *tree](parsedBytesMost),
		patches:   newBounded[patchKey, revision.Change](patchBytesMost),
	}
}

// bounded is a map whose values have a size. It is emptied before they are too large together.
type bounded[K comparable, V any] struct {
	values     map[K]V
	size, most int
}

func newBounded[K comparable, V any](most int) bounded[K, V] {
	return bounded[K, V]{values: map[K]V{}, most: most}
}

func (b *bounded[K, V]) get(key K) (V, bool) {
	value, known := b.values[key]
	return value, known
}

func (b *bounded[K, V]) put(key K, value V, size int) {
	if b.size+size > b.most {
		clear(b.values)
		b.size = 0
	}
	b.values[key] = value
	b.size += size
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
	if checksum, known := s.cache.checksums.get(key); known {
		return checksum, nil
	}
	merged, err := s.mergedTree(entries)
	if err != nil {
		return "", err
	}
	s.cache.text.Reset()
	merged.write(&s.cache.text)
	if s.cache.text.Len() > revision.MaxDocumentBytes {
		return "", &LimitError{Resource: "bytes of a merged configuration", Limit: revision.MaxDocumentBytes}
	}
	checksum := revision.Checksum(s.cache.text.Bytes())
	s.cache.checksums.put(key, checksum, 1)
	return checksum, nil
}

// mergedTree gives what revision.Merge gives for the documents, from trees that were parsed before.
func (s *State) mergedTree(entries []*Entry) (*tree, error) {
	merged := &tree{object: true}
	for _, entry := range entries {
		value, err := s.parsed(entry)
		if err != nil {
			return nil, err
		}
		merged = overlay(merged, value)
	}
	return merged, nil
}

// parsed gives a document's tree.
func (s *State) parsed(entry *Entry) (*tree, error) {
	if value, known := s.cache.parsed.get(entry.Number); known {
		return value, nil
	}
	value, err := parseDocument(entry.Document)
	if err != nil {
		return nil, fmt.Errorf("revision %d: %w", entry.Number, err)
	}
	s.cache.parsed.put(entry.Number, value, len(entry.Document))
	return value, nil
}

// change gives a scope's part of an update, from what the proxy holds if that is known.
func (s *State) change(held, target *Entry) revision.Change {
	whole := revision.Change{Scope: target.Scope, Number: target.Number, Document: target.Document}
	if held == nil {
		return whole
	}
	key := patchKey{held.Number, target.Number}
	if change, known := s.cache.patches.get(key); known {
		return change
	}
	change := whole
	patch, err := revision.Diff(held.Document, target.Document)
	if err == nil && len(patch) < len(target.Document) && leadsTo(held.Document, patch, target.Document) {
		change = revision.Change{Scope: target.Scope, Number: target.Number, From: held.Number, Patch: patch}
	}
	s.cache.patches.put(key, change, len(change.Patch)+len(change.Document))
	return change
}

// leadsTo says whether a patch gives the wanted document exactly. The library takes numbers for equal whose texts differ.
func leadsTo(from, patch, to revision.Document) bool {
	got, err := revision.ApplyPatch(from, patch)
	return err == nil && bytes.Equal(got, to)
}

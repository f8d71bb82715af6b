package control

import (
	"bytes"
	"fmt"
	"strconv"

	"sandpass/internal/revision"
)

// cache holds results that many proxies share. All of them can be recomputed from the entries.
type cache struct {
	checksums     boundedCache[string, string] // checksums of merged configurations by combinationKey
	parsed        boundedCache[revision.Number, *tree]
	patches       boundedCache[patchKey, revision.Change]
	buffer        bytes.Buffer // reused to build merged configurations
	stateChecksum string       // checksum of the whole state, empty if not computed
}

// patchKey identifies the patch from one revision of a scope to another.
type patchKey struct {
	from, to revision.Number
}

// newCache returns an empty cache.
func newCache() cache {
	return cache{
		checksums: newBoundedCache[string, string](maxCachedChecksums),
		parsed:    newBoundedCache[revision.Number, *tree](maxCachedParsedBytes),
		patches:   newBoundedCache[patchKey, revision.Change](maxCachedPatchBytes),
	}
}

// boundedCache is a map with a limit on the total size of its values. It is cleared before a value would exceed the limit.
type boundedCache[K comparable, V any] struct {
	values        map[K]V
	size, maxSize int
}

// newBoundedCache returns an empty cache with the given limit.
func newBoundedCache[K comparable, V any](maxSize int) boundedCache[K, V] {
	return boundedCache[K, V]{values: map[K]V{}, maxSize: maxSize}
}

// get returns the value of a key, and whether it is cached.
func (b *boundedCache[K, V]) get(key K) (V, bool) {
	value, found := b.values[key]
	return value, found
}

// put caches a value of the given size.
func (b *boundedCache[K, V]) put(key K, value V, size int) {
	if b.size+size > b.maxSize {
		clear(b.values)
		b.size = 0
	}
	b.values[key] = value
	b.size += size
}

// combinationKey returns a key for a combination of revisions, ordered from the widest scope.
func combinationKey(entries []*Entry) string {
	key := make([]byte, 0, 32)
	for _, entry := range entries {
		key = strconv.AppendUint(key, uint64(entry.Number), 10)
		key = append(key, ' ')
	}
	return string(key)
}

// mergedChecksum returns the checksum of the configuration that results from merging the revisions.
func (s *State) mergedChecksum(entries []*Entry) (string, error) {
	key := combinationKey(entries)
	if checksum, found := s.cache.checksums.get(key); found {
		return checksum, nil
	}
	merged, err := s.mergedTree(entries)
	if err != nil {
		return "", err
	}
	s.cache.buffer.Reset()
	merged.write(&s.cache.buffer)
	if s.cache.buffer.Len() > revision.MaxDocumentBytes {
		return "", &LimitError{Resource: "bytes of a merged configuration", Limit: revision.MaxDocumentBytes}
	}
	checksum := revision.Checksum(s.cache.buffer.Bytes())
	s.cache.checksums.put(key, checksum, 1)
	return checksum, nil
}

// mergedTree merges the documents of the revisions like revision.Merge, but uses cached trees.
func (s *State) mergedTree(entries []*Entry) (*tree, error) {
	merged := &tree{isObject: true}
	for _, entry := range entries {
		value, err := s.parsedTree(entry)
		if err != nil {
			return nil, err
		}
		merged = mergeObjects(merged, value)
	}
	return merged, nil
}

// parsedTree returns the parsed document of a revision, from the cache if possible.
func (s *State) parsedTree(entry *Entry) (*tree, error) {
	if value, found := s.cache.parsed.get(entry.Number); found {
		return value, nil
	}
	value, err := parseDocument(entry.Document)
	if err != nil {
		return nil, fmt.Errorf("revision %d: %w", entry.Number, err)
	}
	s.cache.parsed.put(entry.Number, value, len(entry.Document))
	return value, nil
}

// scopeChange returns the change of one scope in an update: a patch of the held revision if that is known and the patch is
// shorter than the document, otherwise the full document.
func (s *State) scopeChange(held, target *Entry) revision.Change {
	full := revision.Change{Scope: target.Scope, Number: target.Number, Document: target.Document}
	if held == nil {
		return full
	}
	key := patchKey{held.Number, target.Number}
	if change, found := s.cache.patches.get(key); found {
		return change
	}
	change := full
	patch, err := revision.Diff(held.Document, target.Document)
	if err == nil && len(patch) < len(target.Document) && patchYields(held.Document, patch, target.Document) {
		change = revision.Change{Scope: target.Scope, Number: target.Number, From: held.Number, Patch: patch}
	}
	s.cache.patches.put(key, change, len(change.Patch)+len(change.Document))
	return change
}

// patchYields reports whether a patch produces exactly the expected document. The patch library treats some numbers with
// different texts as equal.
func patchYields(from, patch, expected revision.Document) bool {
	patched, err := revision.ApplyPatch(from, patch)
	return err == nil && bytes.Equal(patched, expected)
}

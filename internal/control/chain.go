package control

import (
	"cmp"
	"slices"

	"sandpass/internal/revision"
)

// chain holds the retained revisions of one scope, in ascending order of their numbers.
type chain []*Entry

// latestNumber returns the number of the newest revision, or 0 if there is none.
func (c chain) latestNumber() revision.Number {
	if len(c) == 0 {
		return 0
	}
	return c[len(c)-1].Number
}

// find returns the revision with the given number, or nil.
func (c chain) find(number revision.Number) *Entry {
	i, found := slices.BinarySearchFunc(c, number, func(entry *Entry, number revision.Number) int {
		return cmp.Compare(entry.Number, number)
	})
	if !found {
		return nil
	}
	return c[i]
}

// releasedAndNotHeld reports whether a revision was released to all proxies and was not held afterwards because a proxy
// refused it.
func releasedAndNotHeld(entry *Entry) bool { return entry.WasReleased && entry.Stage != StageHeld }

// latestReleased returns the revision that all proxies should have, or nil.
func (c chain) latestReleased() *Entry {
	for _, entry := range slices.Backward(c) {
		if releasedAndNotHeld(entry) {
			return entry
		}
	}
	return nil
}

// target returns the revision that a proxy should have, given the number that it holds (0 for none): the revision on trial
// if the proxy is one of its canaries, otherwise the latest released one. The target is never older than the held
// revision. A nil entry means that the proxy should have no revision of this scope.
func (c chain) target(proxy string, held revision.Number) (*Entry, error) {
	if len(c) == 0 {
		return nil, nil
	}
	target := c.latestReleased()
	latest := c[len(c)-1]
	if latest.Stage == StageTrial && slices.Contains(latest.Canaries, proxy) {
		target = latest
	}
	if target != nil && target.Number >= held {
		return target, nil
	}
	if held == 0 {
		return nil, nil
	}
	heldEntry := c.find(held)
	if heldEntry == nil {
		return nil, &UnknownRevisionError{Scope: latest.Scope, Number: held}
	}
	return heldEntry, nil
}

// supersedeTrial ends the trial of the newest revision, if there is one, because a newer revision is being added.
func (c chain) supersedeTrial() {
	if len(c) > 0 && c[len(c)-1].Stage == StageTrial {
		c[len(c)-1].Stage = StageSuperseded
	}
}

// supersedeReleased marks the latest released revision as replaced by a newer one.
func (c chain) supersedeReleased() {
	if released := c.latestReleased(); released != nil {
		released.Stage = StageSuperseded
	}
}

// oldestRequiredIndex returns the index of the oldest revision that must be retained: the latest released one before the
// newest revision. The newest may still be held, and canaries may have any revision after the retained one.
func (c chain) oldestRequiredIndex() int {
	for i := len(c) - 2; i >= 0; i-- {
		if releasedAndNotHeld(c[i]) {
			return i
		}
	}
	return 0
}

// countUnreleased counts the revisions at the end of the chain that were never released, or were held after their release.
func (c chain) countUnreleased() int {
	count := 0
	for _, entry := range slices.Backward(c) {
		if releasedAndNotHeld(entry) {
			break
		}
		count++
	}
	return count
}

// requiredDocumentBytes counts the bytes of the documents that must be retained.
func (s *State) requiredDocumentBytes() int {
	bytes := 0
	for _, c := range s.chains {
		for _, entry := range c[c.oldestRequiredIndex():] {
			bytes += len(entry.Document)
		}
	}
	return bytes
}

// prune deletes the oldest revisions that are not required until the history is within its limits.
func (s *State) prune() {
	for len(s.entries) > MaxHistoryRevisions || s.documentBytes > MaxTotalDocumentBytes {
		oldest := s.oldestPrunable()
		if oldest == nil {
			return
		}
		s.chains[oldest.Scope] = slices.Delete(s.chains[oldest.Scope], 0, 1)
		delete(s.entries, oldest.Number)
		s.documentBytes -= len(oldest.Document)
	}
}

// oldestPrunable returns the revision with the lowest number among those that may be deleted, or nil.
func (s *State) oldestPrunable() *Entry {
	var oldest *Entry
	for _, c := range s.chains {
		if c.oldestRequiredIndex() > 0 && (oldest == nil || c[0].Number < oldest.Number) {
			oldest = c[0]
		}
	}
	return oldest
}

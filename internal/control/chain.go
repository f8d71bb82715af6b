package control

import (
	"cmp"
	"slices"

	"sandpass/internal/revision"
)

// chain is the revisions of one scope that are kept, ascending.
type chain []*Entry

func (c chain) latestNumber() revision.Number {
	if len(c) == 0 {
		return 0
	}
	return c[len(c)-1].Number
}

// find gives the revision of a number, nil for none.
func (c chain) find(number revision.Number) *Entry {
	i, found := slices.BinarySearchFunc(c, number, func(entry *Entry, number revision.Number) int {
		return cmp.Compare(entry.Number, number)
	})
	if !found {
		return nil
	}
	return c[i]
}

// offered says whether all proxies were offered a revision and none refused it in time.
func offered(entry *Entry) bool { return entry.WasReleased && entry.Stage != StageHeld }

// released gives the revision that all proxies are to have, nil for none.
func (c chain) released() *Entry {
	for _, entry := range slices.Backward(c) {
		if offered(entry) {
			return entry
		}
	}
	return nil
}

// target gives the revision that a proxy is to have which holds one already, 0 for none: its trial if it is a canary,
// else the released one, but never an older one than it holds. Nil means none.
func (c chain) target(proxy string, held revision.Number) (*Entry, error) {
	if len(c) == 0 {
		return nil, nil
	}
	wanted := c.released()
	latest := c[len(c)-1]
	if latest.Stage == StageTrial && slices.Contains(latest.Canaries, proxy) {
		wanted = latest
	}
	if wanted != nil && wanted.Number >= held {
		return wanted, nil
	}
	if held == 0 {
		return nil, nil
	}
	kept := c.find(held)
	if kept == nil {
		return nil, &UnknownRevisionError{Scope: latest.Scope, Number: held}
	}
	return kept, nil
}

// supersedeTrial ends a trial because a newer revision came.
func (c chain) supersedeTrial() {
	if len(c) > 0 && c[len(c)-1].Stage == StageTrial {
		c[len(c)-1].Stage = StageSuperseded
	}
}

// supersedeReleased marks the released revision as replaced.
func (c chain) supersedeReleased() {
	if released := c.released(); released != nil {
		released.Stage = StageSuperseded
	}
}

// needed is the index of the oldest revision that must be kept: the last one before the newest that all were offered.
// The newest may yet be held, and canaries may hold any after that one.
func (c chain) needed() int {
	for i := len(c) - 2; i >= 0; i-- {
		if offered(c[i]) {
			return i
		}
	}
	return 0
}

// unreleased counts the revisions at the end that were not released, or were held after it.
func (c chain) unreleased() int {
	count := 0
	for _, entry := range slices.Backward(c) {
		if offered(entry) {
			break
		}
		count++
	}
	return count
}

// neededBytes counts the bytes of documents that can't be dropped.
func (s *State) neededBytes() int {
	bytes := 0
	for _, c := range s.chains {
		for _, entry := range c[c.needed():] {
			bytes += len(entry.Document)
		}
	}
	return bytes
}

// prune drops the oldest revisions that nobody needs until the history is within its limits.
func (s *State) prune() {
	for len(s.entries) > MaxHistoryRevisions || s.documentBytes > MaxTotalDocumentBytes {
		oldest := s.oldestUnneeded()
		if oldest == nil {
			return
		}
		s.chains[oldest.Scope] = slices.Delete(s.chains[oldest.Scope], 0, 1)
		delete(s.entries, oldest.Number)
		s.documentBytes -= len(oldest.Document)
	}
}

func (s *State) oldestUnneeded() *Entry {
	var oldest *Entry
	for _, c := range s.chains {
		if c.needed() > 0 && (oldest == nil || c[0].Number < oldest.Number) {
			oldest = c[0]
		}
	}
	return oldest
}

package controlserver

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"

	"sandpass/internal/control"
	"sandpass/internal/proxy"
	"sandpass/internal/revision"
)

// defaultCheckBase is the base configuration for checks if check_base is not set. It has the values that each proxy's own
// file must set.
const defaultCheckBase = `{"name":"check","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1",
	"limits":{"memory_mb":192,"sockets":1024},"settings":{"me":0,"siblings":1,"tier":0,"zone":0}}`

// newChecker returns a checker that does what `sandpass check` does, with documents merged into the base configuration at
// path. An empty path stands for defaultCheckBase.
func newChecker(path string) (control.ConfigChecker, error) {
	text := []byte(defaultCheckBase)
	if path != "" {
		var err error
		if text, err = os.ReadFile(path); err != nil {
			return nil, fmt.Errorf("check_base: %w", err)
		}
	}
	base, err := revision.Canonicalize(text)
	if err != nil {
		return nil, fmt.Errorf("check_base: %s: %w", path, err)
	}
	check := func(effective revision.Document) error { return checkMerged(base, effective) }
	if path != "" {
		if err := check(revision.EmptyDocument); err != nil {
			return nil, fmt.Errorf("check_base: %s: %w", path, err)
		}
	}
	return check, nil
}

// checkMerged returns an error if a proxy whose own file is base would refuse the configuration.
func checkMerged(base, effective revision.Document) error {
	if err := checkKeys(effective); err != nil {
		return err
	}
	merged, err := revision.ApplyPatch(base, effective)
	if err != nil {
		return err
	}
	launch, err := proxy.ParseConfig(merged)
	if err != nil {
		return err
	}
	return proxy.Check(launch)
}

// checkKeys refuses keys that a proxy reads only when it starts.
func checkKeys(effective revision.Document) error {
	var keys map[string]json.RawMessage
	if err := json.Unmarshal(effective, &keys); err != nil {
		return err
	}
	for key := range keys {
		switch key {
		case "settings", "peers", "discovery":
		default:
			return fmt.Errorf("%s: can only be changed by restarting the proxy; settings, peers and discovery can be set", key)
		}
	}
	return nil
}

// checkApply checks a change against the configurations of all connected proxies. The server's lock is held only while
// documents are merged, not while they are checked.
func (s *Server) checkApply(apply control.ApplyCommand) error {
	documents := &distinctDocuments{results: map[string]error{}}
	if err := s.forEachMergedDocument(apply, documents.collect); err != nil {
		return err
	}
	documents.check(s.check)
	return s.forEachMergedDocument(apply, func(effective revision.Document) error {
		result, checked := documents.results[revision.Checksum(effective)]
		if !checked { // another change was made between the two merges
			return s.check(effective)
		}
		return result
	})
}

// forEachMergedDocument calls check with each merged document that results from the change.
func (s *Server) forEachMergedDocument(apply control.ApplyCommand, check control.ConfigChecker) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.State().CheckApply(apply, s.view.ConnectedIdentities(), check)
}

// distinctDocuments collects the distinct merged documents that result from a change, and the result of checking each.
type distinctDocuments struct {
	documents []revision.Document
	results   map[string]error // by checksum
}

// collect adds a document unless it is known.
func (d *distinctDocuments) collect(effective revision.Document) error {
	sum := revision.Checksum(effective)
	if _, known := d.results[sum]; !known {
		d.results[sum] = nil
		d.documents = append(d.documents, effective)
	}
	return nil
}

// maxParallelChecks is the number of documents that are checked at the same time.
const maxParallelChecks = 4

// check checks all documents and stores the results.
func (d *distinctDocuments) check(check control.ConfigChecker) {
	var checks sync.WaitGroup
	var mu sync.Mutex
	slots := make(chan struct{}, maxParallelChecks)
	for _, document := range d.documents {
		slots <- struct{}{}
		checks.Go(func() {
			err := check(document)
			<-slots
			mu.Lock()
			defer mu.Unlock()
			d.results[revision.Checksum(document)] = err
		})
	}
	checks.Wait()
}

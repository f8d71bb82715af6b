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

// placeholder is laid under the documents where no check_base is named: what each proxy's own file says.
const placeholder = `{"name":"check","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1",
	"limits":{"memory_mb":192,"sockets":1024},"settings":{"me":0,"siblings":1,"tier":0,"zone":0}}`

// newChecker makes `sandpass check` over a base configuration; path may be empty.
func newChecker(path string) (control.ConfigChecker, error) {
	text := []byte(placeholder)
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
	check := func(effective revision.Document) error { return checkOver(base, effective) }
	if path != "" {
		if err := check(revision.EmptyDocument); err != nil {
			return nil, fmt.Errorf("check_base: %s: %w", path, err)
		}
	}
	return check, nil
}

// checkOver says whether a proxy whose own file is base would take the configuration.
func checkOver(base, effective revision.Document) error {
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

// checkKeys refuses keys that a proxy takes over at its start only.
func checkKeys(effective revision.Document) error {
	var keys map[string]json.RawMessage
	if err := json.Unmarshal(effective, &keys); err != nil {
		return err
	}
	for key := range keys {
		switch key {
		case "settings", "peers", "discovery":
		default:
			return fmt.Errorf("%s: needs a start of the proxy; settings, peers and discovery can be set", key)
		}
	}
	return nil
}

// checkApply checks a change for all connected proxies. The lock is held only while documents are merged, not while they
// are checked.
func (s *Server) checkApply(apply control.ApplyCommand) error {
	found := &foundDocuments{results: map[string]error{}}
	if err := s.mergeAll(apply, found.collect); err != nil {
		return err
	}
	found.check(s.check)
	return s.mergeAll(apply, func(effective revision.Document) error {
		result, checked := found.results[revision.Checksum(effective)]
		if !checked { // somebody else's change came between
			return s.check(effective)
		}
		return result
	})
}

// mergeAll passes each merged document that the change gives to the checker.
func (s *Server) mergeAll(apply control.ApplyCommand, check control.ConfigChecker) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.State().CheckApply(apply, s.view.ConnectedIdentities(), check)
}

// foundDocuments are the distinct documents that a change gives.
type foundDocuments struct {
	documents []revision.Document
	results   map[string]error // by checksum
}

func (f *foundDocuments) collect(effective revision.Document) error {
	sum := revision.Checksum(effective)
	if _, known := f.results[sum]; !known {
		f.results[sum] = nil
		f.documents = append(f.documents, effective)
	}
	return nil
}

// checkersMost is how many documents are checked at the same time.
const checkersMost = 4

// check fills in the results.
func (f *foundDocuments) check(check control.ConfigChecker) {
	var done sync.WaitGroup
	var mu sync.Mutex
	places := make(chan struct{}, checkersMost)
	for _, document := range f.documents {
		places <- struct{}{}
		done.Go(func() {
			err := check(document)
			<-places
			mu.Lock()
			defer mu.Unlock()
			f.results[revision.Checksum(document)] = err
		})
	}
	done.Wait()
}

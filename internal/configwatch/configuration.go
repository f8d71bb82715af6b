package configwatch

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	jsonpatch "github.com/evanphx/json-patch/v5"

	"sandpass/internal/revision"
)

// Configuration is what a proxy holds from the control replicas. The zero value holds nothing: the proxy's own file counts.
type Configuration struct {
	Revision  revision.Number
	Documents []revision.ScopeDocument // in the order of merging, with documents
	Effective revision.Document        // of all of them
	Checksum  string                   // of Effective
}

// newConfiguration merges what is held.
func newConfiguration(identity revision.Identity, number revision.Number, held []revision.ScopeDocument) (Configuration, error) {
	effective, err := revision.EffectiveDocument(identity, held)
	if err != nil {
		return Configuration{}, err
	}
	return Configuration{Revision: number, Documents: held, Effective: effective, Checksum: revision.Checksum(effective)}, nil
}

// numbers is what is held without the documents.
func (c Configuration) numbers() []revision.ScopeDocument {
	var held []revision.ScopeDocument
	for _, one := range c.Documents {
		held = append(held, revision.ScopeDocument{Scope: one.Scope, Number: one.Number})
	}
	return held
}

// of gives what is held of a scope.
func (c Configuration) of(scope revision.Scope) revision.ScopeDocument {
	for _, one := range c.Documents {
		if one.Scope == scope {
			return one
		}
	}
	return revision.ScopeDocument{Scope: scope, Document: revision.EmptyDocument}
}

// has tells whether an update brings nothing that is not there.
func (c Configuration) has(update *revision.Update) bool {
	if update.Revision == 0 || update.Revision != c.Revision || update.Checksum != c.Checksum {
		return false
	}
	for _, change := range update.Scopes {
		if change.Number != c.of(change.Scope).Number {
			return false
		}
	}
	return true
}

// decodeUpdate reads an update's bytes; the error names the byte where they are no JSON.
func decodeUpdate(text []byte) (*revision.Update, error) {
	var update revision.Update
	err := json.Unmarshal(text, &update)
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return nil, fmt.Errorf("byte %d: %w", syntax.Offset, err)
	case errors.As(err, &kind):
		return nil, fmt.Errorf("byte %d: %w", kind.Offset, err)
	case err != nil:
		return nil, err
	}
	return &update, nil
}

// updated gives the configuration after an update, or tells in one line with the place why it does not follow.
func (c Configuration) updated(identity revision.Identity, update *revision.Update) (Configuration, error) {
	after := map[revision.Scope]revision.ScopeDocument{}
	if !update.Full {
		for _, one := range c.Documents {
			after[one.Scope] = one
		}
	}
	scopes := identity.Scopes()
	seen := map[revision.Scope]bool{}
	for i, change := range update.Scopes {
		held, err := c.changed(update, change)
		switch {
		case !slices.Contains(scopes, change.Scope):
			err = errors.New("this proxy does not lie in it")
		case seen[change.Scope]:
			err = errors.New("it comes twice")
		}
		if err != nil {
			return Configuration{}, fmt.Errorf("scopes[%d] %s: %w", i, change.Scope, err)
		}
		seen[change.Scope] = true
		after[change.Scope] = held
	}
	var held []revision.ScopeDocument
	for _, scope := range scopes { // what is held of others, before the proxy was moved, counts no more
		if one, ok := after[scope]; ok {
			held = append(held, one)
		}
	}
	next, err := newConfiguration(identity, update.Revision, held)
	if err == nil && next.Checksum != update.Checksum {
		err = fmt.Errorf("checksum %.12s, after the update it is %.12s", update.Checksum, next.Checksum)
	}
	return next, err
}

// changed gives one scope's document after a change.
func (c Configuration) changed(update *revision.Update, change revision.Change) (revision.ScopeDocument, error) {
	before := c.of(change.Scope)
	after := revision.ScopeDocument{Scope: change.Scope, Number: change.Number}
	patched, whole := len(change.Patch) > 0, len(change.Document) > 0
	switch {
	case change.Number == 0 || change.Number > update.Revision:
		return after, fmt.Errorf("number %d in an update to revision %d", change.Number, update.Revision)
	case change.Number < before.Number:
		return after, fmt.Errorf("number %d is below %d, which is held", change.Number, before.Number)
	case patched == whole:
		return after, errors.New("one of patch and document is needed")
	case patched && update.Full:
		return after, errors.New("a patch where the whole is due")
	case patched && change.From != before.Number:
		return after, fmt.Errorf("a patch of %d, and %d is held", change.From, before.Number)
	}
	var err error
	if patched {
		after.Document, err = revision.ApplyPatch(before.Document, change.Patch)
	} else {
		after.Document, err = revision.Canonicalize(change.Document)
	}
	return after, err
}

// Reloadable is the part of a proxy's configuration that it takes over while it runs, and that a revision may set.
type ReloadableConfig struct {
	Discovery string          `json:"discovery"`
	Peers     []string        `json:"peers"`
	Settings  json.RawMessage `json:"settings"`
}

// reloadableKeys are the keys of Reloadable.
var reloadableKeys = []string{"discovery", "peers", "settings"}

// Overlay lays a document over it by RFC 7396. A key that needs a start is an error.
func (r ReloadableConfig) Overlay(effective revision.Document) (ReloadableConfig, error) {
	if len(effective) == 0 || bytes.Equal(effective, revision.EmptyDocument) {
		return r, nil
	}
	var keys map[string]json.RawMessage
	if err := json.Unmarshal(effective, &keys); err != nil {
		return r, err
	}
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		if !slices.Contains(reloadableKeys, key) {
			return r, fmt.Errorf("%s: it needs a start, a revision can't set it", key)
		}
	}
	local, err := json.Marshal(r)
	if err != nil {
		return r, err
	}
	merged, err := jsonpatch.MergePatch(local, effective)
	if err != nil {
		return r, fmt.Errorf("merge patch: %w", err)
	}
	var laid ReloadableConfig
	if err := json.Unmarshal(merged, &laid); err != nil {
		return r, err
	}
	if bytes.Equal(laid.Settings, []byte("null")) {
		laid.Settings = nil
	}
	return laid, nil
}

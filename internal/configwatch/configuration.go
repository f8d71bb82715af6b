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

// Configuration is what a proxy holds from the control replicas. The zero value is empty: only the proxy's own file applies.
type Configuration struct {
	Revision  revision.Number
	Documents []revision.ScopeDocument // in merge order, with their documents
	Effective revision.Document        // all documents merged
	Checksum  string                   // of Effective
}

// newConfiguration merges documents into a configuration.
func newConfiguration(
	identity revision.Identity, number revision.Number, documents []revision.ScopeDocument,
) (Configuration, error) {
	effective, err := revision.EffectiveDocument(identity, documents)
	if err != nil {
		return Configuration{}, err
	}
	return Configuration{
		Revision: number, Documents: documents, Effective: effective, Checksum: revision.Checksum(effective),
	}, nil
}

// scopeNumbers returns the scopes and their revision numbers, without the documents.
func (c Configuration) scopeNumbers() []revision.ScopeDocument {
	var documents []revision.ScopeDocument
	for _, doc := range c.Documents {
		documents = append(documents, revision.ScopeDocument{Scope: doc.Scope, Number: doc.Number})
	}
	return documents
}

// document returns the document of a scope, an empty one if there is none.
func (c Configuration) document(scope revision.Scope) revision.ScopeDocument {
	for _, doc := range c.Documents {
		if doc.Scope == scope {
			return doc
		}
	}
	return revision.ScopeDocument{Scope: scope, Document: revision.EmptyDocument}
}

// includes reports whether an update has been applied already.
func (c Configuration) includes(update *revision.Update) bool {
	if update.Revision == 0 || update.Revision != c.Revision || update.Checksum != c.Checksum {
		return false
	}
	for _, change := range update.Scopes {
		if change.Number != c.document(change.Scope).Number {
			return false
		}
	}
	return true
}

// decodeUpdate parses an update; for invalid JSON the error names the byte.
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

// withUpdate returns the configuration after an update, or a one-line error that names the scope at fault.
func (c Configuration) withUpdate(identity revision.Identity, update *revision.Update) (Configuration, error) {
	after := map[revision.Scope]revision.ScopeDocument{}
	if !update.Full {
		for _, doc := range c.Documents {
			after[doc.Scope] = doc
		}
	}
	scopes := identity.Scopes()
	seen := map[revision.Scope]bool{}
	for i, change := range update.Scopes {
		doc, err := c.withChange(update, change)
		switch {
		case !slices.Contains(scopes, change.Scope):
			err = errors.New("this proxy does not belong to the scope")
		case seen[change.Scope]:
			err = errors.New("duplicate scope")
		}
		if err != nil {
			return Configuration{}, fmt.Errorf("scopes[%d] %s: %w", i, change.Scope, err)
		}
		seen[change.Scope] = true
		after[change.Scope] = doc
	}
	var documents []revision.ScopeDocument
	for _, scope := range scopes { // without scopes that the proxy belonged to before it was moved
		if doc, ok := after[scope]; ok {
			documents = append(documents, doc)
		}
	}
	next, err := newConfiguration(identity, update.Revision, documents)
	if err == nil && next.Checksum != update.Checksum {
		err = fmt.Errorf("checksum %.12s does not match %.12s, the checksum after the update", update.Checksum, next.Checksum)
	}
	return next, err
}

// withChange returns one scope's document after a change.
func (c Configuration) withChange(update *revision.Update, change revision.Change) (revision.ScopeDocument, error) {
	before := c.document(change.Scope)
	after := revision.ScopeDocument{Scope: change.Scope, Number: change.Number}
	isPatch, isDocument := len(change.Patch) > 0, len(change.Document) > 0
	switch {
	case change.Number == 0 || change.Number > update.Revision:
		return after, fmt.Errorf("number %d in an update to revision %d", change.Number, update.Revision)
	case change.Number < before.Number:
		return after, fmt.Errorf("number %d is below %d, the current number", change.Number, before.Number)
	case isPatch == isDocument:
		return after, errors.New("exactly one of patch and document is required")
	case isPatch && update.Full:
		return after, errors.New("patch in a full update")
	case isPatch && change.From != before.Number:
		return after, fmt.Errorf("the patch applies to number %d, the current number is %d", change.From, before.Number)
	}
	var err error
	if isPatch {
		after.Document, err = revision.ApplyPatch(before.Document, change.Patch)
	} else {
		after.Document, err = revision.Canonicalize(change.Document)
	}
	return after, err
}

// ReloadableConfig is the part of a proxy's configuration that can change while it runs, and that a revision may set.
type ReloadableConfig struct {
	Discovery string          `json:"discovery"`
	Peers     []string        `json:"peers"`
	Settings  json.RawMessage `json:"settings"`
}

// reloadableKeys are the keys of ReloadableConfig.
var reloadableKeys = []string{"discovery", "peers", "settings"}

// Overlay merges a document over r by RFC 7396. A key that takes effect only at a start is an error.
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
	var overlaid ReloadableConfig
	if err := json.Unmarshal(merged, &overlaid); err != nil {
		return r, err
	}
	if bytes.Equal(overlaid.Settings, []byte("null")) {
		overlaid.Settings = nil
	}
	return overlaid, nil
}

package revision

import "time"

// Number is a revision's position in the fleet's history, from 1; 0 is none.
type Number uint64

// Revision is one accepted change: the complete document of one scope from then on.
type Revision struct {
	Number     Number    `json:"number"`
	Scope      Scope     `json:"scope"`
	Previous   Number    `json:"previous,omitempty"` // the same scope's revision before it
	Author     string    `json:"author"`
	Reason     string    `json:"reason"`
	Time       time.Time `json:"time"` // when it was requested, by the clock of the replica that received the request
	Document   Document  `json:"document,omitempty"`
	Checksum   string    `json:"checksum"`              // of Document
	RollbackOf Number    `json:"rollback_of,omitempty"` // the revision whose document it restores
	AtOnce     bool      `json:"at_once,omitempty"`     // it goes to all proxies without a canary stage
}

// ScopeDocument is one scope's document as a proxy holds it.
type ScopeDocument struct {
	Scope    Scope    `json:"scope"`
	Number   Number   `json:"number"`
	Document Document `json:"document,omitempty"`
}

// EffectiveDocument merges the documents that a proxy holds into its configuration, in the order of its scopes, without scopes
// that it does not belong to.
func EffectiveDocument(identity Identity, scopeDocuments []ScopeDocument) (Document, error) {
	var documents []Document
	for _, scope := range identity.Scopes() {
		for _, doc := range scopeDocuments {
			if doc.Scope == scope {
				documents = append(documents, doc.Document)
			}
		}
	}
	return Merge(documents...)
}

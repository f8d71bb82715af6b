package revision

// The protocol between a proxy and a control replica: the proxy sends POST WatchPath with a chunked body that stays open, first
// one Hello, then Reports as they arise. The replica answers 200 with a chunked body that stays open: Updates as they arise, and
// an empty line every 2 s while there is none. Every message is one JSON object on a line of its own.

const (
	// Protocol is the version of the messages. Both sides ignore unknown members.
	Protocol = 1
	// WatchPath is the path of a replica's watch endpoint.
	WatchPath = "/control/watch"
)

// Hello opens a watch: the proxy's identity and the revisions that it holds.
type Hello struct {
	Protocol  int             `json:"protocol"`
	Identity  Identity        `json:"identity"`
	Revision  Number          `json:"revision"`           // the newest in force, 0 for none
	Documents []ScopeDocument `json:"held,omitempty"`     // scopes and numbers only
	Checksum  string          `json:"checksum,omitempty"` // of the configuration in force
}

// Update brings a proxy up to date. It is applied as a whole or not at all.
type Update struct {
	Revision Number   `json:"revision"`        // after the update; above the one in force, or equal with Full
	Full     bool     `json:"whole,omitempty"` // Scopes is the complete set, with documents, and replaces everything held before
	Scopes   []Change `json:"scopes"`
	Checksum string   `json:"checksum"` // of the configuration after the update
}

// Change is one scope's part of an Update: the document, or the merge patch against the document of revision From.
type Change struct {
	Scope    Scope    `json:"scope"`
	Number   Number   `json:"number"`
	From     Number   `json:"from,omitempty"`
	Patch    Document `json:"patch,omitempty"`
	Document Document `json:"document,omitempty"`
}

// Verdict is the result of an update.
type Verdict string

// The verdicts on an update.
const (
	InForce Verdict = "in_force" // saved, if there is a state folder, and applied
	Refused Verdict = "refused"  // the configuration in force before it stays
	Unknown Verdict = "unknown"  // it does not apply to what the proxy holds, or its checksum is wrong: a full update is needed
)

// Report tells a replica the result of an update.
type Report struct {
	Revision Number  `json:"revision"`
	Verdict  Verdict `json:"verdict"`
	Checksum string  `json:"checksum,omitempty"` // of the configuration in force after it
	Reason   string  `json:"reason,omitempty"`   // one line, if refused or unknown
}

package revision

// The watch of a proxy on a control replica. The proxy sends POST WatchPath with a chunked body that stays open: first
// one Hello, then Reports as they come. The replica answers 200 with a chunked body that stays open: Updates as they come,
// and an empty line every 2 s while there is none. Every message is one JSON object on a line of its own.

const (
	// Protocol is the version of the messages. Unknown members are passed over by both sides.
	Protocol = 1
	// WatchPath is where a replica takes watches.
	WatchPath = "/control/watch"
)

// Hello opens a watch: who the proxy is and what it holds, without the documents.
type Hello struct {
	Protocol  int             `json:"protocol"`
	Identity  Identity        `json:"identity"`
	Revision  Number          `json:"revision"`           // the newest that is in force, 0 for none
	Documents []ScopeDocument `json:"held,omitempty"`     // numbers only
	Checksum  string          `json:"checksum,omitempty"` // of the configuration in force
}

// Update brings a proxy up to date. It is taken whole or not at all.
type Update struct {
	Revision Number   `json:"revision"`        // the newest that it brings; above the one in force, or equal with Whole
	Full     bool     `json:"whole,omitempty"` // Scopes are all that there are, as documents; nothing held before counts
	Scopes   []Change `json:"scopes"`
	Checksum string   `json:"checksum"` // of the configuration after it
}

// Change is one scope's part of an Update: the document, or the merge patch against the one of revision From.
type Change struct {
	Scope    Scope    `json:"scope"`
	Number   Number   `json:"number"`
	From     Number   `json:"from,omitempty"`
	Patch    Document `json:"patch,omitempty"`
	Document Document `json:"document,omitempty"`
}

// Verdict is what a proxy did with an update.
type Verdict string

// The verdicts on an update.
const (
	InForce Verdict = "in_force" // it is saved where there is a state folder, and requests go by it
	Refused Verdict = "refused"  // what was in force stays
	Unknown Verdict = "unknown"  // it does not follow from what is held, or its checksum is wrong: the whole is wanted
)

// Report tells a replica what became of an update.
type Report struct {
	Revision Number  `json:"revision"`
	Verdict  Verdict `json:"verdict"`
	Checksum string  `json:"checksum,omitempty"` // of the configuration in force after it
	Reason   string  `json:"reason,omitempty"`   // one line, where it is refused or unknown
}

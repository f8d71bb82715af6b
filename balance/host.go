// This file owns the interface between the Balancer and a front, and the plain types that cross it. It must never
// hold a decision, nor a word of any wire.
package balance

// BackendID is what a front calls a backend: on the bench its address and port, on sockets made from its name.
type BackendID [6]byte

// Host carries out what the Balancer decides, at once and in the order of the calls.
type Host interface {
	// Relay sends a command to a backend. A command's relays are numbered from 0 in the order sent.
	Relay(cmd uint64, to BackendID)
	// Cancel gives up waiting for one relay.
	Cancel(cmd uint64, relay int)
	// Decline ends a command with the promise that trying again is harmless; comeBack, in seconds,
	// says when, 0 says nothing.
	Decline(cmd uint64, comeBack float64)
	// Terminate ends a command without any promise.
	Terminate(cmd uint64)
	// WakeAfter asks for a Wake with this token in so many seconds.
	StartTimer(seconds float64, token uint64)
	// Watch subscribes to changes of the list; Fleet or ListFailed follows.
	WatchBackends()
	// Send sends a few bytes to a sibling by its number; they may be lost.
	SendToPeer(to int, text []byte)
}

// Effect says what a second run of a command would do.
type Effect int

const (
	Pure      Effect = iota // may run again
	Receipted               // a group of backends drops repeats for a while
	Effectful               // must never run twice
)

// Scope is the group of backends that drops the repeats of a receipted command.
type Scope int

const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Verb is one kind of command; times are in seconds.
type Verb struct {
	Effect        Effect
	Scope         Scope
	DedupWindow   float64 // how long repeats are dropped, from the first relay that may have run
	Goal          float64 // response goal
	TimeLimit     float64
	Utility       float64
	LateUtility   float64 // part of the utility that an answer past the goal still earns
	Stream        bool
	PreviousIndex int // its place among the verbs before these, -1 if it is new
}

// Customer is one of those who share the service.
type Customer struct {
	Allowance     float64 // commands a second within its share, all proxies together
	PreviousIndex int     // its place among the customers before these, -1 if it is new
}

// Place is where an instance stands.
type Placement struct {
	Index     int // its number among its siblings
	Instances int // instances of this tier
	Tier      int // the tier it sends to, 0 is the clients' own
	Zone      int // its own
}

// Limits is what an instance may do.
type Limits struct {
	MaxRelays        int // for one command
	SecondCopies     bool
	CancelRelays     bool
	MaxRetryAfter    float64 // longest wait that clients can be told, 0 where they are told nothing
	PeerMessages     bool    // may tell its siblings something
	KeyAffinity      bool    // backends do less for a key that their cell met lately
	CrossZonePriced  bool    // what crosses zones is priced
	MaxUnreadAnswers int     // answers that may wait for their clients to read them, 0: nothing is said
	DeadlineError    float64 // seconds by which the time that a command expires may be off, either way
	ExtraRelays      RelayBudget
	FixedInstances   bool // shares go by all siblings there should be, whoever is there
}

// Budget bounds the relays of one instance beyond each command's first in any window.
type RelayBudget struct {
	Free       float64 // so many
	PerCommand float64 // and so many for each command that came in the window
	Span       float64 // seconds of the window, 0: no bound is stated
}

// Cold is the rule on backends that have just started.
type ColdStart struct {
	InitialCapacity  float64 // part of its capacity that a backend starts with, or more
	WarmUp           float64 // seconds until it is warm at the latest
	OverloadMultiple float64 // of its present capacity, at which it falls over
	StartError       float64 // seconds by which the time of a start may be off, either way
}

// State is what the list says of a backend.
type State int

const (
	Ready State = iota
	Draining
	Gone
)

// Entry is a line of the list.
type Entry struct {
	ID         BackendID
	Zone, Cell int
	State      State
	Capacity   float64
	StartedAt  float64 // clock time, 0 is long ago
}

// Result is how a relay ended.
type Result int

const (
	Answered Result = iota
	Errored
	Full
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	NotSent
)

// NeverRan tells whether the result proves that the relay did nothing.
func (r Result) NeverRan() bool { return r == Full || r == ConnectFailed || r == NotSent }

// Load is what a backend reports of itself; a figure below 0 was not reported.
type LoadReport struct {
	Active, Waiting, CPU, Latency float64
}

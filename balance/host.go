// This file contains the interface between the Balancer and a front, and the plain types that cross it. It holds
// no decisions and no wire formats.

package balance

// BackendID identifies a backend to the front: on the bench by its address and port, on sockets by a value derived
// from its name.
type BackendID [6]byte

// Host carries out the Balancer's decisions, at once and in the order of the calls.
type Host interface {
	// Relay sends a command to a backend. A command's relays are numbered from 0 in the order sent.
	Relay(cmd uint64, to BackendID)
	// Cancel stops waiting for one relay.
	Cancel(cmd uint64, relay int)
	// CancelUndelivered is like Cancel for a relay whose request has not arrived whole at its backend's machine, and prevents that
	// its rest arrives. It does nothing to other relays. Hosts whose relays arrive at once do nothing.
	CancelUndelivered(cmd uint64, relay int)
	// Decline ends a command with the promise that a retry is harmless. retryAfter is the advised wait in seconds;
	// 0 gives no advice.
	Decline(cmd uint64, retryAfter float64)
	// Terminate ends a command without any promise.
	Terminate(cmd uint64)
	// StartTimer requests a call of TimerFired with this token after the given time.
	StartTimer(seconds float64, token uint64)
	// StopTimer says that the timer with this token is not needed any more. TimerFired ignores it, so a host may do nothing.
	StopTimer(token uint64)
	// WatchBackends subscribes to changes of the backend list; UpdateBackends or BackendListFailed follows.
	WatchBackends()
	// SendToPeer sends a short message to another instance of the tier by its index. The message may be lost.
	SendToPeer(to int, data []byte)
}

// Effect tells whether a command may run more than once.
type Effect int

const (
	Pure      Effect = iota // may run again
	Receipted               // a group of backends drops repeats for a while
	Effectful               // must never run twice
)

// Scope is the group of backends that drops repeats of a receipted command.
type Scope int

const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Verb describes one kind of command. Times are in seconds.
type Verb struct {
	Effect        Effect
	Scope         Scope
	DedupWindow   float64 // how long repeats are dropped, from the first relay that may have run
	Goal          float64 // response goal
	TimeLimit     float64
	Utility       float64
	LateUtility   float64 // share of the utility that an answer past the goal still earns
	Stream        bool
	PreviousIndex int // index of the same verb in the previous settings, -1 if it is new
}

// Customer is one of the parties that share the service.
type Customer struct {
	Allowance     float64 // commands per second within its share, over all proxies
	PreviousIndex int     // index of the same customer in the previous settings, -1 if it is new
}

// Placement is an instance's position in the deployment.
type Placement struct {
	Index     int // index among the instances of this tier
	Instances int // number of instances of this tier
	Tier      int // tier that it sends to; 0 receives the clients' own commands
	Zone      int // index of its own zone
}

// Limits describes what an instance may do.
type Limits struct {
	MaxRelays        int         // relays per command
	Hedges           bool        // a late relay may be hedged: relayed to another backend too
	CancelRelays     bool        // a pending relay can be cancelled
	MaxRetryAfter    float64     // longest wait in seconds that clients can be advised, 0 if they cannot be advised
	PeerMessages     bool        // the instance may send messages to its peers
	KeyAffinity      bool        // backends do less work for a key that their cell has handled recently
	CrossZonePriced  bool        // traffic across zones has a price
	MaxUnreadAnswers int         // answers that may wait for their clients to read them, 0 if not specified
	DeadlineError    float64     // seconds by which a command's reported deadline may be wrong, either way
	ExtraRelays      RelayBudget // limit on relays beyond each command's first
	FixedInstances   bool        // shares are computed from the configured number of instances, whether they run or not
}

// RelayBudget limits an instance's relays beyond each command's first within any window.
type RelayBudget struct {
	Free       float64 // relays allowed regardless of traffic
	PerCommand float64 // additional relays per command received in the window
	Span       float64 // length of the window in seconds, 0 for no limit
}

// ColdStart is the rule for backends that have just started.
type ColdStart struct {
	InitialCapacity  float64 // least share of its full capacity that a backend starts with
	WarmUp           float64 // seconds until it is warm at the latest
	OverloadMultiple float64 // multiple of its current capacity at which it fails
	StartError       float64 // seconds by which a reported start may be wrong, either way
}

// State is a backend's state in the backend list.
type State int

const (
	Ready    State = iota
	Draining       // gets no new commands
	Gone
)

// Entry is one backend in the backend list.
type Entry struct {
	ID         BackendID
	Zone, Cell int
	State      State
	Capacity   float64
	StartedAt  float64 // clock reading, 0 if long ago
}

// Result describes how a relay ended.
type Result int

const (
	Answered      Result = iota
	Errored              // the backend answered with an error
	Full                 // the backend refused the command without running it
	TimedOut             // no answer within the time limit
	ConnectFailed        // the connection could not be established
	Reset                // the connection was lost
	Cancelled            // given up by Cancel
	NotSent              // never written to a connection
	ResultCount          // number of results
)

// resultNames are the results as logs have them.
var resultNames = [ResultCount]string{"answered", "errored", "full", "timed_out", "connect_failed", "reset", "cancelled", "not_sent"}

// String returns the result's name.
func (r Result) String() string { return resultNames[r] }

// NeverRan reports whether the result proves that the relay had no effect.
func (r Result) NeverRan() bool { return r == Full || r == ConnectFailed || r == NotSent }

// LoadReport is what a backend reports about itself. A value below 0 was not reported.
type LoadReport struct {
	Active, Waiting, CPU, Latency float64
}

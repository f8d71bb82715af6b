package checker

// Effect describes what executing a command twice would do. The values equal those of balance.Effect.
type Effect int

const (
	Pure Effect = iota
	Receipted
	Effectful
)

// Scope is the group of backends that drops repeats of a receipted command. The values equal those of balance.Scope.
type Scope int

const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Config holds the parameters of the rules and the prices.
type Config struct {
	AnswerSlack      float64 // seconds after its limit within which a final answer is still in time
	DrainGrace       float64 // seconds after news of a drain in which relays are still allowed
	ColdMultiple     float64 // multiple of its current capacity at which a cold backend fails
	ColdWindow       float64 // seconds over which its load is summed
	Hedges           bool    // a command may have two relays pending
	RelayPrice       float64 // price of each further relay, as a share of the mean utility
	MessagePrice     float64 // price of each message to a peer
	CrossingPrice    float64 // price of each relay to another zone
	LateDeclinePrice float64 // price of declining after half of the time without a relay
	Duration         float64 // seconds
	DeadlineError    float64 // seconds by which a reported deadline may be wrong, and a final answer later
	FreeRelays       float64 // further relays that one instance may send in any BudgetWindow
	FreeRelayRatio   float64 // additional further relays for each command received in it
	BudgetWindow     float64 // seconds, 0: no budget
	Customers        int
}

// Command is a command that an instance received.
type Command struct {
	ID          uint64
	Operation   uint64 // the client's operation; its retries carry the same
	Instance    int
	Expires     float64
	Effect      Effect
	Scope       Scope
	DedupWindow float64 // seconds in which repeats are dropped
}

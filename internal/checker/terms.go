package checker

// Effect says what a second run would do, as in the rules.
type Effect int

const (
	Pure Effect = iota
	Receipted
	Effectful
)

// Scope is the group of backends that drops repeats of a deduplicated request.
type Scope int

const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Terms are the figures of the rules and prices.
type Config struct {
	AnswerSlack      float64 // seconds past its limit that a final answer is still in time
	DrainGrace       float64 // seconds after word of a drain
	ColdMultiple     float64 // of its present capacity, at which a cold backend falls
	ColdWindow       float64 // seconds over which that counts
	SecondCopies     bool    // hedging is allowed
	RelayPrice       float64 // price of each retry or hedge, as a part of the mean worth
	MessagePrice     float64 // of each message to a peer
	CrossingPrice    float64 // of each attempt to another zone
	LateDeclinePrice float64 // of a refusal after half of its time with nothing sent
	Duration         float64 // seconds of the day
	DeadlineError    float64 // seconds that a final answer may be later, where limits may be told wrong
	FreeRelays       float64 // attempts beyond each request's first that one instance may make in any Span
	FreeRelayRatio   float64 // and so many for each request that it took in it
	BudgetWindow     float64 // seconds, 0: no such budget is stated
	Customers        int
}

// Request is what the Checker is told of a request that an instance took.
type Command struct {
	ID          uint64
	Operation   uint64 // what the client wants done; its repeats carry the same
	Instance    int
	Expires     float64
	Effect      Effect
	Scope       Scope
	DedupWindow float64 // seconds in which repeats of it are dropped
}

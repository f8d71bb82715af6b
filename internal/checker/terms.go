package checker

// Effect says what a second run would do, as in the rules.
type Effect int

const (
	Idempotent Effect = iota
	Deduplicated
	NonIdempotent
)

// Scope is the group of backends that drops repeats of a deduplicated request.
type Scope int

const (
	All Scope = iota
	SameZone
	SameCell
)

// Terms are the figures of the rules and prices.
type Terms struct {
	Slack              float64 // seconds past its limit that a final answer is still in time
	Grace              float64 // seconds after word of a drain
	Multiple           float64 // of its present capacity, at which a cold backend falls
	Window             float64 // seconds over which that counts
	Hedges             bool    // hedging is allowed
	AttemptPrice       float64 // price of each retry or hedge, as a part of the mean worth
	MessagePrice       float64 // of each message to a peer
	CrossingPrice      float64 // of each attempt to another zone
	LateRejectionPrice float64 // of a refusal after half of its time with nothing sent
	Length             float64 // seconds of the day
	DeadlineError      float64 // seconds that a final answer may be later, where limits may be told wrong
	FreeRetries        float64 // attempts beyond each request's first that one instance may make in any Span
	RetryRatio         float64 // and so many for each request that it took in it
	BudgetWindow       float64 // seconds, 0: no such budget is stated
	Tenants            int
}

// Request is what the Checker is told of a request that an instance took.
type Request struct {
	ID       uint64
	Op       uint64 // what the client wants done; its repeats carry the same
	Instance int
	Expires  float64
	Effect   Effect
	Scope    Scope
	Window   float64 // seconds in which repeats of it are dropped
}

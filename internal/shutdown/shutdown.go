// Package shutdown plans a proxy's planned end: until when connections come, until when clients may rest on open ones, by
// when the last answer is out, and when the process may stop.
//
// It is free of I/O and of a clock of its own. All times are in seconds after the end was asked for. It must never let a
// step come later because it was told more: a kill that was announced does not wait.
package shutdown

const (
	door       = 0.6  // seconds in which connections still come: 0.4, and some to spare
	least      = 0.45 // seconds in which open connections go on at least, for the same reason
	resting    = 1.4  // seconds in which they go on at most: the other proxies may be away as well
	restPart   = 0.6  // of the time until the end, the same: who comes last still has the rest of it for the answer
	killAfter  = 0.7  // seconds after the longest time limit at which the kill may follow
	killMost   = 3.7  // seconds after which it may follow whatever the limits
	killMargin = 0.3  // seconds before the kill by which the last answer is out
	lastWords  = 0.2  // seconds after that from which what is not even whole is declined, and the process may stop
	lastMargin = 0.05 // seconds before the kill by which that is done
	newcomer   = 0.3  // seconds that a new connection has to say something: it is opened to do so
)

// Plan is how a proxy ends. Make it with For.
type Plan struct {
	StopAccepting     float64 // the listener closes
	CloseIdle         float64 // from here on answers end their connection, and those that rest are closed
	AnswerOpen        float64 // what is open gets its answer now; what is read later is declined at once
	DeclineIncomplete float64 // what is still being sent is declined; the process may stop once all answers are with the kernel
}

// For plans by the longest time limit of the verbs, in seconds. The kill may follow as soon as the longest command that had
// come by SIGTERM has had its time, so where verbs are short it comes early, and connections rest for less.
func NewPlan(limit float64) Plan {
	kill := min(killMost, limit+killAfter)
	end := max(least, kill-killMargin)
	return Plan{StopAccepting: min(door, end), CloseIdle: min(resting, max(least, restPart*end)), AnswerOpen: end, DeclineIncomplete: min(end+lastWords, kill-lastMargin)}
}

// Sooner is the plan in which each step comes as early as in either.
func (p Plan) Earliest(q Plan) Plan {
	return Plan{StopAccepting: min(p.StopAccepting, q.StopAccepting), CloseIdle: min(p.CloseIdle, q.CloseIdle), AnswerOpen: min(p.AnswerOpen, q.AnswerOpen), DeclineIncomplete: min(p.DeclineIncomplete, q.DeclineIncomplete)}
}

// MayClose tells whether a connection with nothing under way may be closed, t after the end was asked for: not before
// Leave, and one on which nothing has come yet only after it had time to say something.
func (p Plan) MayClose(t float64, new bool, age float64) bool {
	return t >= p.CloseIdle && (!new || age >= newcomer || t >= p.DeclineIncomplete)
}

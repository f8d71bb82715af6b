// Package shutdown computes the schedule of a proxy's graceful shutdown: when to stop accepting connections, when to close
// idle ones, by when the last response must be sent, and when the process may stop.
//
// It does no I/O and reads no clock. All times are in seconds after the shutdown was requested. Further information may only
// move a step forward, never delay it: an announced kill does not wait.
package shutdown

const (
	acceptSeconds        = 0.6  // new connections arrive for 0.4 s; the rest is a margin
	minIdleSeconds       = 0.45 // open connections stay at least this long, for the same reason
	maxIdleSeconds       = 1.4  // and at most this long: the other proxies may be unavailable as well
	idleFraction         = 0.6  // and at most this part of the time until AnswerOpen, so that the last response has the rest
	killDelaySeconds     = 0.7  // time after the longest time limit at which the kill may follow
	maxKillSeconds       = 3.7  // time after which the kill may follow whatever the time limits
	answerMarginSeconds  = 0.3  // time before the kill by which the last response must be sent
	declineDelaySeconds  = 0.2  // time after that from which incomplete requests are declined and the process may stop
	declineMarginSeconds = 0.05 // time before the kill by which that must be done
	firstRequestSeconds  = 0.3  // time a new connection has for its first request, for which it was opened
)

// Plan is the schedule of a graceful shutdown. Create it with NewPlan.
type Plan struct {
	StopAccepting     float64 // the listener is closed
	CloseIdle         float64 // from here on responses end their connection, and idle connections are closed
	AnswerOpen        float64 // open requests are answered now; requests read later are declined at once
	DeclineIncomplete float64 // requests still being sent are declined; the process may stop once the kernel has all responses
}

// NewPlan computes the schedule from the longest time limit of the verbs, in seconds. The kill may follow as soon as the time
// limit of the last command received before SIGTERM has passed. With short time limits it comes early, and idle connections
// are closed sooner.
func NewPlan(maxTimeLimit float64) Plan {
	kill := min(maxKillSeconds, maxTimeLimit+killDelaySeconds)
	answerOpen := max(minIdleSeconds, kill-answerMarginSeconds)
	return Plan{
		StopAccepting:     min(acceptSeconds, answerOpen),
		CloseIdle:         min(maxIdleSeconds, max(minIdleSeconds, idleFraction*answerOpen)),
		AnswerOpen:        answerOpen,
		DeclineIncomplete: min(answerOpen+declineDelaySeconds, kill-declineMarginSeconds),
	}
}

// Earliest returns the plan in which each step comes at the earlier of its two times.
func (p Plan) Earliest(q Plan) Plan {
	return Plan{
		StopAccepting:     min(p.StopAccepting, q.StopAccepting),
		CloseIdle:         min(p.CloseIdle, q.CloseIdle),
		AnswerOpen:        min(p.AnswerOpen, q.AnswerOpen),
		DeclineIncomplete: min(p.DeclineIncomplete, q.DeclineIncomplete),
	}
}

// MayClose reports whether a connection without a request may be closed, the given time after the shutdown was requested: not
// before CloseIdle, and a connection that has not sent anything yet (isNew) only once it is old enough to have sent a request.
func (p Plan) MayClose(elapsed float64, isNew bool, age float64) bool {
	return elapsed >= p.CloseIdle && (!isNew || age >= firstRequestSeconds || elapsed >= p.DeclineIncomplete)
}

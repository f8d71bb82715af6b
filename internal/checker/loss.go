package checker

// How says in which way a request was lost.
type LossCause int

const (
	Declined     LossCause = iota // told to come back, and did not get it in the end
	Terminated                    // ended without a promise, before its limit
	TimedOut                      // nothing ended it before its limit
	Late                          // answered past its goal
	ClientLeft                    // its client left early
	Unreached                     // no instance could be reached
	InstanceDied                  // its instance was killed
	hows
)

func (h LossCause) String() string {
	return [...]string{"declined", "terminated", "limit", "late", "left", "unreached", "died"}[h]
}

// Where says at which place the last of it was, or the most of its time was spent.
type LossPlace int

const (
	Instance      LossPlace = iota // held, or never sent on
	Connecting                     // no connection came up
	Refused                        // backends turned it away unseen
	Queue                          // in a backend's queue
	Work                           // in a backend's work
	Hung                           // at a backend that finishes nothing
	BackendFailed                  // a backend failed it
	Network                        // lost or broken on the way
	wheres
)

func (w LossPlace) String() string {
	return [...]string{"instance", "connecting", "refused", "queue", "work", "stuck", "failed", "network"}[w]
}

// Loss is where and how worth was lost; Tier is the one whose backends or instances had it last.
type Loss struct {
	Cause LossCause
	Place LossPlace
	Tier  int
}

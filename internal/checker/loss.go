package checker

// LossCause is the way in which an operation lost utility.
type LossCause int

const (
	Declined     LossCause = iota // declined, and not answered by a later try
	Terminated                    // ended before its time limit without a promise that a repeat is harmless
	TimedOut                      // not ended before its time limit
	Late                          // answered after its response goal
	ClientLeft                    // its client disconnected early
	Unreached                     // no instance could be reached
	InstanceDied                  // its instance was killed
	lossCauses
)

// String returns the name of the cause in results.
func (c LossCause) String() string {
	return [...]string{"declined", "terminated", "limit", "late", "left", "unreached", "died"}[c]
}

// LossPlace is where an operation was last, or where it spent most of its time.
type LossPlace int

const (
	Instance      LossPlace = iota // held by an instance, or never relayed
	Connecting                     // no connection was established
	Refused                        // backends refused it before starting it
	Queue                          // in a backend's queue
	Work                           // being executed by a backend
	Hung                           // at a backend that finishes no work
	BackendFailed                  // a backend returned an error
	Network                        // lost in the network, or its connection was reset
	lossPlaces
)

// String returns the name of the place in results.
func (p LossPlace) String() string {
	return [...]string{"instance", "connecting", "refused", "queue", "work", "stuck", "failed", "network"}[p]
}

// Loss is the cause and place of lost utility. Tier is the tier whose backends or instances had the command last.
type Loss struct {
	Cause LossCause
	Place LossPlace
	Tier  int
}

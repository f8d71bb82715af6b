// This file contains the state of an instance: of backends, relays, commands, and the whole. It holds no decisions
// and no constants that they depend on.

package balance

import "sandpass/internal/membership"

// backend is what an instance knows about a backend.
type backend struct {
	Entry
	ringPosition uint64  // hash of the ID, the same at every instance
	listSeq      int     // sequence number of the last list with this backend
	windowShare  float64 // part of its arc on the ring that is in this instance's window
	ownZoneShare float64 // the same on the ring of the own zone, used if crossing zones is priced
	weight       float64
	inFlight     int
	outcomes     outcomeCounts
	avoidUntil   float64     // avoided until this time after a failed connection
	coldBudget   tokenBucket // commands that it may get while it is cold

	reportSeq int          // sequence number of the last report to its coordinator
	usage     backendUsage // usage by all instances, at its coordinator only
}

// relay is one attempt to run a command at a backend.
type relay struct {
	to                      *backend
	sentAt, delay           float64 // send time, and seconds until it is overdue
	delayLearned            bool    // the delay is learned, not a default
	pending, late, neverRan bool
	loser                   bool // the command has had its answer from another relay
	inFlight                int  // 1, or 0 once it is a stream
}

// command is a command that is open or has pending relays.
type command struct {
	id                    uint64
	seq                   uint64
	verb                  *verb
	key                   uint64 // key that the command is about, 0 if none
	receivedAt, expiresAt float64
	priority              float64 // utility relative to the highest, 0 to 1
	relays                []relay
	pendingRelays         int
	groups                [2]*commandGroup
	held, done, streaming bool
	nested                bool     // a call by a lower tier, whose caller waits for the answer
	askedCells            []uint16 // cells whose coordinators were asked
	askedAt               float64
	requestID             int      // number of the pending grant request, 0 if none
	coordinator           int      // instance that was asked
	stalled               bool     // the process was stalled while it was open
	timers                []uint64 // tokens of the timers that end with the command
	deliverySeconds       float64  // that a slow backend may need to read its body
	deliveryTimers        []uint64 // tokens of the timers that end with its last relay
}

// takeover is the state of a cell that this instance coordinates in place of another.
type takeover struct{ since, lastUsed float64 }

// Balancer makes the decisions of one instance. Create it with New.
type Balancer struct {
	host              Host
	now, start, tick  float64
	seed, randomDraws uint64
	placement         Placement
	limits            Limits
	coldStart         ColdStart
	overage           float64
	listOnRequest     bool

	verbs              []*verb
	customers          []Customer
	allowances         []tokenBucket
	customerIDs        []uint64 // permanent identifiers by index
	lastCustomerID     uint64
	serviceBreaker     breaker
	allLatencies       latencySketch // of all verbs
	fleet              []*backend    // sorted by ring position
	meanCapacity       float64
	awaitingGrant      []*command // for a coordinator's grant
	lastRequest        int
	candidates, window []*backend     // window: the subset that this instance uses
	totalCapacity      float64        // capacity of all ready backends
	peakCapacity       decayingSum    // decaying peak of totalCapacity
	windowWidth        float64        // width of the window
	ownZoneWidth       float64        // width of the window on the own zone's ring
	zoneLatency        [2]decayingSum // seconds that recent relays took, to other zones and to the own one
	zoneEnded          [2]decayingSum // and their number
	warmCount          float64        // ready backends that were warm when the window was built
	coldBackends       []*backend     // ready backends that were not
	commands           map[uint64]*command
	held               []*command
	timers             map[uint64]func()
	lastTimer          uint64
	seq                uint64
	listSeq            int // sequence number of the latest list
	inFlight           int
	maxUtility         float64

	arrived, answered, recentAnswers decayingSum
	keyedCommands, nestedCommands    decayingSum // received commands with a key, and nested ones
	typicalLatency                   float64     // median latency in seconds of an unloaded fleet, 0 while unknown
	ended, endedLate, endedMissed    float64     // decaying counts: all, late, and past their goal or failed
	inFlightPerBackend               float64     // commands in flight allowed per warm backend, all instances
	baseline, baselineSamples        float64     // own commands in flight while answers are in time, and its samples
	limitCutAt, completedAt          float64
	relaysSent, relaysLate           decayingSum
	retryBudget                      tokenBucket
	lateCommands                     []*command     // past their goal, not answered and without a stream, oldest goal first
	budgetCommands, extraRelays      slidingCounter // commands and extra relays counted for the relay budget
	groups                           groupTable
	allEnded, allFailed              decayingSum
	listRetryPending                 bool
	listRetryDelay                   float64
	incarnation                      uint64 // of this process, higher than those before it
	peers                            membership.PeerView
	takeovers                        map[uint16]takeover // cells that it coordinates in place of another instance
	arrivals                         membership.ArrivalEstimator
	activeEstimate                   float64 // estimate of running instances, 0 before the first command
	windowInstances                  float64 // activeInstances when the window was built
}

// This file owns what an instance remembers: of a backend, of a relay, of a command, and of all together. It must never
// hold a decision, nor a figure that one goes by.
package balance

import "sandpass/internal/membership"

type backend struct {
	Entry
	spot     uint64  // place on the ring, the same at every instance
	listed   int     // number of the last list that named it
	near     float64 // part of its arc that lies in this instance's window
	local    float64 // and in its window on the own zone's ring, where crossing is priced
	weight   float64
	inFlight int
	tried    tries
	aside    float64 // no commands before this time
	budget   bucket  // commands that may go to it while it is cold

	said  int   // words to its keeper
	tally tally // what all instances have out here, at its keeper alone
}

type relay struct {
	to                  *backend
	sent, delay         float64 // when, and after how long it is late
	learned             bool    // that was learned
	out, late, neverRan bool
	loser               bool // its command has had its answer
	counts              int  // 1, or 0 once it is a stream
}

type command struct {
	id                    uint64
	seq                   uint64
	verb                  *verb
	key                   uint64 // what it is about, 0 if nothing is said
	came, expires         float64
	priority              float64 // its utility against the highest, 0 to 1
	relays                []relay
	out                   int
	sorts                 [2]*sort
	held, done, streaming bool
	nested                bool     // a call from below, which whoever waits for it needs answered first
	asked                 []uint16 // cells whose keepers were asked for it
	askedAt               float64
	asking                int  // number of what was asked last, 0 while nothing is
	askedOf               int  // and the keeper
	stood                 bool // its instance stood still meanwhile
}

// duty is a cell whose own keeper does not answer others.
type duty struct{ since, last float64 }

// Balancer is one instance. Make it with New.
type Balancer struct {
	host             Host
	now, start, tick float64
	seed, draws      uint64
	place            Placement
	limits           Limits
	cold             ColdStart
	overage          float64
	mustAsk          bool

	verbs         []*verb
	customers     []Customer
	shares        []bucket
	marks         []uint64 // of the customers, whatever their places
	lastMark      uint64
	service       breaker
	anyDelay      delay      // of all verbs together
	fleet         []*backend // by id
	meanSize      float64
	waiting       []*command // for what keepers say
	asks          int
	picks, window []*backend  // window: those this instance keeps to
	total         float64     // size of all usable backends
	widest        decaying    // and the most that it was lately, fading
	reach         float64     // width of the window
	localReach    float64     // and of that on the own zone's ring
	zoneTook      [2]decaying // seconds that relays to other zones, and to the own one, took lately
	zoneEnded     [2]decaying // and how many
	warm          float64     // usable backends that were warm when the window was laid
	warming       []*backend  // and those that were not
	commands      map[uint64]*command
	held          []*command
	wakes         map[uint64]func()
	tokens        uint64
	seq           uint64
	lists         int // lists seen
	inFlight      int
	topUtil       float64

	came, carried, answers      decaying
	keyed, nests                decaying // of those that came, with a key
	usual                       float64  // median latency in seconds of a fleet at ease, 0 while not known
	ended, endedLate, endedMiss float64  // commands that ended, late ones of them, and those past their goal or failed, fading
	level                       float64  // commands out for each warm backend, by all instances
	ease, easy                  float64  // own commands out while answers come in time
	cutAt, settled              float64
	relayed, late               decaying
	retries                     bucket
	past                        []*command // late ones whose answers may hold a place, in the order of their goals
	taken, further              window     // commands that came, and relays beyond their first, for a stated budget
	table                       sorts
	sortEnded, sortBad          decaying
	asking                      bool
	askWait                     float64
	life                        uint64 // of this process, higher than those before it
	view                        membership.PeerView
	duties                      map[uint16]duty // cells that it keeps in another's place
	arrivals                    membership.ArrivalEstimator
	alive                       float64 // siblings believed to be there, 0 before the first command
	laidFor                     float64 // and how many they were when the window was laid
}

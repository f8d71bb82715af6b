// Package recovery tells in which phase a process is after its start, and how long it took to be of full use.
//
// A process is cold until it has a list and takes clients, warming until what it serves is within a margin of what is
// usual and stays there, then full; it is full only once. Free of I/O and of a clock of its own: it is told sums, and
// times in seconds that never run backwards. It must never decide about a command.
package recovery

// Phase is where a process is.
type Phase int

const (
	Cold    Phase = iota // has no list yet, or takes no clients
	Warming              // serves, not yet as usual
	Full
)

func (p Phase) String() string { return [...]string{"cold", "warming", "full"}[p] }

const (
	margin   = 0.99 // of the usual part that is answered, from which it is as usual
	usual    = 0.97 // part answered that counts as usual where nothing is known: some clients always leave
	lateMore = 0.1  // more late ones than usual that are still within it
	late     = 0.25 // part of late answers that counts as usual where nothing is known
	held     = 2.0  // seconds for which it has to stay so
	least    = 10   // commands in them: fewer prove nothing
	warmMost = 30.0 // seconds after which it counts as full whatever is served: then it is not the start that ails it
)

// Recovery follows one process. Make it with New.
type Tracker struct {
	phase     Phase
	served    float64 // usual part that is answered
	late      float64 // usual part of them that is late
	accepting float64 // when it began to take clients with a list
	good      float64 // since when all is as usual
	ended     int     // commands since then
	took      float64 // seconds until it was of full use
	outOfTime bool    // it counts as full by warmMost alone
}

// New begins; served and late are the usual parts as an earlier life had them, 0 where they are not known.
func New(served, lateUsually float64) *Tracker {
	r := &Tracker{served: usual, late: late}
	if served > 0 {
		r.served, r.late = served, lateUsually
	}
	return r
}

// Look is told how things stand: whether it takes clients with a list, how many commands have been answered and have ended
// since the last look, and the part of answers that is late. It tells whether it has become of full use just now.
func (r *Tracker) Observe(now float64, serving bool, answered, ended int, latePart float64) bool {
	switch r.phase {
	case Cold:
		if serving {
			r.phase, r.accepting, r.good, r.ended = Warming, now, now, 0
		}
		return false
	case Full:
		return false
	}
	asUsual := float64(answered) >= margin*r.served*float64(ended) && latePart <= r.late+lateMore
	if !asUsual || !serving {
		r.good, r.ended = now, 0
	} else {
		r.ended += ended
	}
	switch {
	case now >= r.good+held && r.ended >= least:
		r.took = r.good - r.accepting
	case now >= r.accepting+warmMost:
		r.took, r.outOfTime = now-r.accepting, true
	default:
		return false
	}
	r.phase = Full
	return true
}

// Phase is where it is.
func (r *Tracker) Phase() Phase { return r.phase }

// Took is how many seconds passed from taking clients until all was as usual, and whether it was given up waiting for that.
func (r *Tracker) TimeToFull() (seconds float64, outOfTime bool) { return r.took, r.outOfTime }

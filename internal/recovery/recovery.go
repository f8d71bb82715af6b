// Package recovery tracks the phase of a process after its start, and the time until it served normally.
//
// A process is cold until it has a backend list and accepts clients. It is warming until its results are within a margin of the
// usual ones and stay there, and full from then on, for good. The package uses no I/O and no clock: it is given counts, and times
// in seconds that never go backwards. It makes no decisions about commands.
package recovery

// Phase is the phase of a process after its start.
type Phase int

// The phases, in order.
const (
	Cold    Phase = iota // has no backend list yet, or does not accept clients
	Warming              // serves, with results below the usual ones
	Full                 // results have been as usual
)

// String returns the phase's name in status reports.
func (p Phase) String() string { return [...]string{"cold", "warming", "full"}[p] }

const (
	usualMargin       = 0.99 // share of the usual answered fraction from which results count as usual
	defaultAnswered   = 0.97 // answered fraction assumed without a snapshot: some clients always leave
	lateMargin        = 0.1  // by which the late fraction may exceed the usual one
	defaultLate       = 0.25 // late fraction assumed without a snapshot
	stableSeconds     = 2.0  // for which results must stay as usual
	minCommands       = 10   // commands within that time: fewer are no evidence
	maxWarmingSeconds = 30.0 // after that the process counts as full: bad results then have another cause than the start
)

// Tracker follows one process. Create it with New.
type Tracker struct {
	phase          Phase
	usualAnswered  float64 // usual fraction of commands that are answered
	usualLate      float64 // usual fraction of answers that are late
	acceptingSince float64 // when the process began to accept clients with a list
	usualSince     float64 // since when results are as usual
	endedCommands  int     // commands ended since then
	timeToFull     float64 // seconds
	timedOut       bool    // full only because maxWarmingSeconds had passed
}

// New creates a tracker. usualAnswered and usualLate are the usual fractions from a snapshot; usualAnswered is 0 where they are
// not known.
func New(usualAnswered, usualLate float64) *Tracker {
	r := &Tracker{usualAnswered: defaultAnswered, usualLate: defaultLate}
	if usualAnswered > 0 {
		r.usualAnswered, r.usualLate = usualAnswered, usualLate
	}
	return r
}

// Observe records the current state: whether the process accepts clients with a list, the numbers of commands answered and ended
// since the last call, and the late fraction of answers. It reports whether the process has just become full.
func (r *Tracker) Observe(now float64, serving bool, answered, ended int, lateFraction float64) bool {
	switch r.phase {
	case Cold:
		if serving {
			r.phase, r.acceptingSince, r.usualSince, r.endedCommands = Warming, now, now, 0
		}
		return false
	case Full:
		return false
	}
	asUsual := float64(answered) >= usualMargin*r.usualAnswered*float64(ended) && lateFraction <= r.usualLate+lateMargin
	if !asUsual || !serving {
		r.usualSince, r.endedCommands = now, 0
	} else {
		r.endedCommands += ended
	}
	switch {
	case now >= r.usualSince+stableSeconds && r.endedCommands >= minCommands:
		r.timeToFull = r.usualSince - r.acceptingSince
	case now >= r.acceptingSince+maxWarmingSeconds:
		r.timeToFull, r.timedOut = now-r.acceptingSince, true
	default:
		return false
	}
	r.phase = Full
	return true
}

// Phase returns the current phase.
func (r *Tracker) Phase() Phase { return r.phase }

// TimeToFull returns the seconds from accepting clients until results were as usual, and whether the process counts as full only
// because the time for warming had passed.
func (r *Tracker) TimeToFull() (seconds float64, timedOut bool) { return r.timeToFull, r.timedOut }

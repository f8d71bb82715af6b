package configwatch

import (
	"errors"
	"fmt"
	"strings"

	"sandpass/internal/revision"
)

// Step is what a Follower wants done next.
type Step int

// The steps, in their order for an update.
const (
	Idle  Step = iota // nothing: the next update may come
	Check             // the configuration is to be checked over the proxy's own
	Save              // it is to be written to the disk
	Apply             // requests are to go by it
)

// Follower decides what becomes of updates: each is checked, saved, taken over and reported, in this order, and what was in
// force stays where one of these fails. It is free of I/O and of a clock. It works on one thing at a time: Received, Reread
// and LocalChanged are called only while it is Idle, and each step is answered by the method of its name.
//
// No configuration with a lower number than one in force or saved is ever asked to be saved or taken over.
type StateMachine struct {
	identity  revision.Identity
	keeps     bool // there is a disk to save to
	inForce   Configuration
	newest    revision.Number // in force, or may be saved
	step      Step
	candidate Configuration
	update    *revision.Update // that the candidate comes from, nil for none
	unsaved   bool             // the candidate is not on the disk yet
	counts    Counts
}

// Counts are what became of updates since the start.
type Counts struct {
	InForce int `json:"in_force"`
	Refused int `json:"refused"`
	Unknown int `json:"unknown"`
}

// Outcome is what follows from what a Follower was told: the next step, or the end of the work on one thing.
type Decision struct {
	Step            Step
	Candidate       Configuration    // for the step
	Report          *revision.Report // for the replica, once an update is done with
	ReconnectReason error            // the connection brings nothing that can be used
	LocalError      error            // why a change of the proxy's own file was not taken
}

// NewFollower makes one that holds nothing.
func NewStateMachine(identity revision.Identity, keeps bool) *StateMachine {
	return &StateMachine{identity: identity, keeps: keeps}
}

// InForce is the configuration by which requests go.
func (f *StateMachine) InForce() Configuration { return f.inForce }

// Counts are what became of updates.
func (f *StateMachine) Counts() Counts { return f.counts }

// Hello is what a replica is told first.
func (f *StateMachine) Hello() revision.Hello {
	return revision.Hello{Protocol: revision.Protocol, Identity: f.identity, Revision: f.inForce.Revision,
		Documents: f.inForce.numbers(), Checksum: f.inForce.Checksum}
}

// Received is told of an update's bytes.
func (f *StateMachine) Received(text []byte) Decision {
	update, err := decodeUpdate(text)
	if err != nil {
		return f.unknown(0, true, err)
	}
	if f.inForce.has(update) {
		return f.report(update.Revision, revision.InForce, nil) // it came twice
	}
	candidate, err := f.follow(update)
	if err != nil {
		return f.unknown(update.Revision, update.Full || update.Revision == 0, err)
	}
	return f.begin(candidate, update, true)
}

// follow gives the configuration after an update, which must not lie below what is in force or saved.
func (f *StateMachine) follow(update *revision.Update) (Configuration, error) {
	switch number := update.Revision; {
	case number == 0:
		return Configuration{}, errors.New("an update without a revision")
	case number < f.newest:
		return Configuration{}, fmt.Errorf("revision %d is below %d, which was taken or saved", number, f.newest)
	case number == f.inForce.Revision && !update.Full:
		return Configuration{}, fmt.Errorf("revision %d, which is in force, without the whole", number)
	}
	return f.inForce.updated(f.identity, update)
}

// Reread is told of what lies on the disk, which another process may have written.
func (f *StateMachine) Loaded(saved Configuration) Decision {
	if saved.Revision <= f.inForce.Revision {
		return Decision{}
	}
	f.newest = max(f.newest, saved.Revision)
	return f.begin(saved, nil, false)
}

// LocalChanged says that the proxy's own file has changed: what is held is laid over it again.
func (f *StateMachine) LocalChanged() Decision { return f.begin(f.inForce, nil, false) }

func (f *StateMachine) begin(candidate Configuration, update *revision.Update, unsaved bool) Decision {
	f.candidate, f.update, f.unsaved, f.step = candidate, update, unsaved && f.keeps, Check
	return f.next()
}

func (f *StateMachine) next() Decision { return Decision{Step: f.step, Candidate: f.candidate} }

// Checked answers Check: what is wrong with the candidate, if anything.
func (f *StateMachine) Checked(err error) Decision {
	if err != nil {
		return f.refused(err)
	}
	f.step = Apply
	if f.unsaved {
		f.step = Save
	}
	return f.next()
}

// Saved answers Save. What could not be saved is not taken over: a restart would go back. It may lie on the disk all the same,
// and counts as saved there.
func (f *StateMachine) Saved(err error) Decision {
	f.newest = max(f.newest, f.candidate.Revision)
	if err != nil {
		return f.refused(fmt.Errorf("it can't be saved: %w", err))
	}
	f.step = Apply
	return f.next()
}

// TakenOver answers TakeOver.
func (f *StateMachine) Applied(err error) Decision {
	if err != nil {
		return f.refused(err)
	}
	before, update := f.inForce.Revision, f.update
	f.inForce, f.newest = f.candidate, max(f.newest, f.candidate.Revision)
	f.end()
	if f.inForce.Revision == before && update == nil {
		return Decision{} // the proxy's own file alone has changed
	}
	if update != nil {
		f.counts.InForce++
	}
	return f.report(f.inForce.Revision, revision.InForce, nil)
}

// refused ends the work on the candidate; what was in force stays.
func (f *StateMachine) refused(err error) Decision {
	number, update := f.candidate.Revision, f.update
	f.end()
	if update == nil {
		return Decision{LocalError: err}
	}
	f.counts.Refused++
	return f.report(number, revision.Refused, err)
}

// unknown answers an update that does not follow. Where not even the whole does, another replica is to be asked.
func (f *StateMachine) unknown(number revision.Number, last bool, err error) Decision {
	f.counts.Unknown++
	outcome := f.report(number, revision.Unknown, err)
	if last {
		outcome.ReconnectReason = errors.New("an update that can't be used")
	}
	return outcome
}

func (f *StateMachine) end() { f.step, f.candidate, f.update = Idle, Configuration{}, nil }

// report tells what is in force now beside the verdict.
func (f *StateMachine) report(number revision.Number, verdict revision.Verdict, err error) Decision {
	report := &revision.Report{Revision: number, Verdict: verdict, Checksum: f.inForce.Checksum}
	if err != nil {
		report.Reason = oneLine(err)
	}
	return Decision{Report: report}
}

const reasonMost = 400 // bytes of a reason

// oneLine gives an error's text as one bounded line.
func oneLine(err error) string {
	text := strings.Join(strings.Fields(err.Error()), " ")
	return strings.ToValidUTF8(text[:min(len(text), reasonMost)], "")
}

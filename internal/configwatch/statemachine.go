package configwatch

import (
	"errors"
	"fmt"
	"strings"

	"sandpass/internal/revision"
)

// Step is what a StateMachine wants done next.
type Step int

// The steps of an update, in order.
const (
	Idle  Step = iota // nothing: the next item may be processed
	Check             // check the candidate, overlaid onto the proxy's own configuration
	Save              // write the candidate to disk
	Apply             // serve requests with the candidate
)

// StateMachine decides how updates are processed: each is checked, saved, applied and reported, in this order. If a step fails,
// the configuration in force stays. StateMachine uses no I/O and no clock. It processes one item at a time: Received, Loaded and
// LocalChanged may be called only while it is Idle, and each step is answered by the method named after it.
//
// It never asks to save or apply a configuration with a lower revision than one in force or saved.
type StateMachine struct {
	identity   revision.Identity
	persistent bool // there is a folder to save to
	inForce    Configuration
	newest     revision.Number // revision in force, or possibly saved
	step       Step
	candidate  Configuration
	update     *revision.Update // source of the candidate, nil if it came from elsewhere
	unsaved    bool             // the candidate is not on disk yet
	counts     Counts
}

// Counts are the numbers of updates by verdict since the start.
type Counts struct {
	InForce int `json:"in_force"`
	Refused int `json:"refused"`
	Unknown int `json:"unknown"`
}

// Decision is the next step, or the end of processing.
type Decision struct {
	Step            Step
	Candidate       Configuration    // the configuration for the step
	Report          *revision.Report // for the replica, when an update has been processed
	ReconnectReason error            // why to reconnect: the connection delivered nothing usable
	LocalError      error            // why a change of the proxy's own file was not applied
}

// NewStateMachine returns a state machine without a configuration. persistent tells whether configurations are saved.
func NewStateMachine(identity revision.Identity, persistent bool) *StateMachine {
	return &StateMachine{identity: identity, persistent: persistent}
}

// InForce returns the configuration that requests are served with.
func (m *StateMachine) InForce() Configuration { return m.inForce }

// Counts returns the numbers of updates by verdict.
func (m *StateMachine) Counts() Counts { return m.counts }

// Hello returns the first message to a replica.
func (m *StateMachine) Hello() revision.Hello {
	return revision.Hello{Protocol: revision.Protocol, Identity: m.identity, Revision: m.inForce.Revision,
		Documents: m.inForce.scopeNumbers(), Checksum: m.inForce.Checksum}
}

// Received processes the bytes of an update.
func (m *StateMachine) Received(text []byte) Decision {
	update, err := decodeUpdate(text)
	if err != nil {
		return m.reportUnknown(0, true, err)
	}
	if m.inForce.includes(update) {
		return m.report(update.Revision, revision.InForce, nil) // a duplicate
	}
	candidate, err := m.next(update)
	if err != nil {
		return m.reportUnknown(update.Revision, update.Full || update.Revision == 0, err)
	}
	return m.check(candidate, update, true)
}

// next returns the configuration after an update, whose revision must not be below the one in force or saved.
func (m *StateMachine) next(update *revision.Update) (Configuration, error) {
	switch number := update.Revision; {
	case number == 0:
		return Configuration{}, errors.New("update without a revision")
	case number < m.newest:
		return Configuration{}, fmt.Errorf("revision %d is below %d, which is in force or saved", number, m.newest)
	case number == m.inForce.Revision && !update.Full:
		return Configuration{}, fmt.Errorf("revision %d is already in force and the update is not a full one", number)
	}
	return m.inForce.withUpdate(m.identity, update)
}

// Loaded processes a configuration read from disk, which another process may have written.
func (m *StateMachine) Loaded(saved Configuration) Decision {
	if saved.Revision <= m.inForce.Revision {
		return Decision{}
	}
	m.newest = max(m.newest, saved.Revision)
	return m.check(saved, nil, false)
}

// LocalChanged processes a change of the proxy's own file: the configuration in force is overlaid onto it again.
func (m *StateMachine) LocalChanged() Decision { return m.check(m.inForce, nil, false) }

// check begins processing of a candidate.
func (m *StateMachine) check(candidate Configuration, update *revision.Update, unsaved bool) Decision {
	m.candidate, m.update, m.unsaved, m.step = candidate, update, unsaved && m.persistent, Check
	return m.decision()
}

// decision returns the current step and its candidate.
func (m *StateMachine) decision() Decision { return Decision{Step: m.step, Candidate: m.candidate} }

// Checked answers Check with the check's result.
func (m *StateMachine) Checked(err error) Decision {
	if err != nil {
		return m.refuse(err)
	}
	m.step = Apply
	if m.unsaved {
		m.step = Save
	}
	return m.decision()
}

// Saved answers Save. A configuration that could not be saved is not applied, since a restart would go back to the one before.
// The failed write may still have reached the disk, so its revision counts as saved.
func (m *StateMachine) Saved(err error) Decision {
	m.newest = max(m.newest, m.candidate.Revision)
	if err != nil {
		return m.refuse(fmt.Errorf("saving the configuration: %w", err))
	}
	m.step = Apply
	return m.decision()
}

// Applied answers Apply.
func (m *StateMachine) Applied(err error) Decision {
	if err != nil {
		return m.refuse(err)
	}
	before, update := m.inForce.Revision, m.update
	m.inForce, m.newest = m.candidate, max(m.newest, m.candidate.Revision)
	m.reset()
	if m.inForce.Revision == before && update == nil {
		return Decision{} // only the proxy's own file has changed
	}
	if update != nil {
		m.counts.InForce++
	}
	return m.report(m.inForce.Revision, revision.InForce, nil)
}

// refuse ends processing of the candidate; the configuration in force stays.
func (m *StateMachine) refuse(err error) Decision {
	number, update := m.candidate.Revision, m.update
	m.reset()
	if update == nil {
		return Decision{LocalError: err}
	}
	m.counts.Refused++
	return m.report(number, revision.Refused, err)
}

// reportUnknown answers an update that does not apply to the configuration in force. With reconnect set, not even a full update
// was usable, so another replica should be tried.
func (m *StateMachine) reportUnknown(number revision.Number, reconnect bool, err error) Decision {
	m.counts.Unknown++
	decision := m.report(number, revision.Unknown, err)
	if reconnect {
		decision.ReconnectReason = errors.New("unusable update")
	}
	return decision
}

// reset ends processing.
func (m *StateMachine) reset() { m.step, m.candidate, m.update = Idle, Configuration{}, nil }

// report returns a verdict, together with the checksum in force.
func (m *StateMachine) report(number revision.Number, verdict revision.Verdict, err error) Decision {
	report := &revision.Report{Revision: number, Verdict: verdict, Checksum: m.inForce.Checksum}
	if err != nil {
		report.Reason = oneLine(err)
	}
	return Decision{Report: report}
}

const maxReasonBytes = 400 // bytes of Report.Reason

// oneLine returns an error's text as one line of bounded length.
func oneLine(err error) string {
	text := strings.Join(strings.Fields(err.Error()), " ")
	return strings.ToValidUTF8(text[:min(len(text), maxReasonBytes)], "")
}

package statefile

// Step names a step of a write that FaultHook can make fail.
type Step string

// The steps of a write, in order.
const (
	StepCreate Step = "create"
	StepWrite  Step = "write"
	StepSync   Step = "sync"
)

// FaultHook is called before each step of a write; its error replaces the step. It is nil except in tests, which set it before
// anything is written.
var FaultHook func(Step) error

// injectFault calls FaultHook, if it is set.
func injectFault(s Step) error {
	if FaultHook == nil {
		return nil
	}
	return FaultHook(s)
}

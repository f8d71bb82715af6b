package statefile

// Step names a part of a writing that Faults may have fail.
type Step string

// The steps of a writing, in their order.
const (
	StepCreate Step = "create"
	StepWrite  Step = "write"
	StepSync   Step = "sync"
)

// Faults is asked before each step of a writing; an error is what the step fails with instead of being made. It is nil but
// in tests, which set it before anything is written.
var FaultHook func(Step) error

func fault(s Step) error {
	if FaultHook == nil {
		return nil
	}
	return FaultHook(s)
}

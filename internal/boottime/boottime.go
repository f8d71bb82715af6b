// Package boottime tells a time that processes of one machine share and that no setting of the wall clock moves.
package boottime

import (
	"os"
	"strings"

	"golang.org/x/sys/unix"
)

const bootIDPath = "/proc/sys/kernel/random/boot_id"

// Mark is a moment of one run of a machine's kernel. The zero value is a moment of no known run.
type Time struct {
	BootID  string  `json:"boot,omitempty"`    // the run's own id
	Seconds float64 `json:"seconds,omitempty"` // since it began, time asleep counted
}

// Now is the present moment, the zero value where the kernel does not tell.
func Now() Time {
	id, err := os.ReadFile(bootIDPath)
	if err != nil {
		return Time{}
	}
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return Time{}
	}
	return Time{BootID: strings.TrimSpace(string(id)), Seconds: float64(t.Sec) + float64(t.Nsec)/1e9}
}

// Since tells how many seconds later than another moment this one is, and whether that is known: it is not across a start of
// the machine.
func (m Time) Since(before Time) (seconds float64, known bool) {
	if m.BootID == "" || m.BootID != before.BootID || m.Seconds < before.Seconds {
		return 0, false
	}
	return m.Seconds - before.Seconds, true
}

// Package boottime reads the time since boot, which all processes of a machine share and which is independent of the wall
// clock.
package boottime

import (
	"os"
	"strings"

	"golang.org/x/sys/unix"
)

const bootIDPath = "/proc/sys/kernel/random/boot_id"

// Time is a point in time, measured from a machine's boot. The zero value is an unknown time.
type Time struct {
	BootID  string  `json:"boot,omitempty"`    // the kernel's id of this boot
	Seconds float64 `json:"seconds,omitempty"` // since the boot, including time suspended
}

// Now returns the current time, the zero value if the kernel does not provide it.
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

// Since returns how many seconds t is after another time, and whether that is known. It is not known if the machine was
// rebooted in between.
func (t Time) Since(before Time) (seconds float64, known bool) {
	if t.BootID == "" || t.BootID != before.BootID || t.Seconds < before.Seconds {
		return 0, false
	}
	return t.Seconds - before.Seconds, true
}

package meter

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
)

const clockTickSeconds = 0.01 // unit of processor time in /proc/PID/stat

// Usage is the processor time and memory of a process.
type Usage struct {
	CPUSeconds    float64 // of one core, since the start of the process
	ResidentBytes float64
}

// ProcessUsage reads the usage of a process from /proc.
func ProcessUsage(pid int) (Usage, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, err
	}
	fields := bytes.Fields(text[bytes.LastIndexByte(text, ')')+1:])
	const user, system, resident = 11, 12, 21 // field indexes after the name, see proc(5)
	if len(fields) <= resident {
		return Usage{}, fmt.Errorf("/proc/%d/stat has %d fields", pid, len(fields))
	}
	var values [3]float64
	for i, place := range []int{user, system, resident} {
		if values[i], err = strconv.ParseFloat(string(fields[place]), 64); err != nil {
			return Usage{}, err
		}
	}
	cpu := max((values[0]+values[1])*clockTickSeconds, threadCPUSeconds(pid))
	return Usage{CPUSeconds: cpu, ResidentBytes: values[2] * float64(os.Getpagesize())}, nil
}

// threadCPUSeconds returns the processor time of the threads that still run. The scheduler counts it at a much finer
// resolution than the process's total.
func threadCPUSeconds(pid int) (seconds float64) {
	paths, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid)) // the only error is a malformed pattern
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			continue // the thread has ended
		}
		if fields := bytes.Fields(text); len(fields) > 0 {
			nanoseconds, _ := strconv.ParseFloat(string(fields[0]), 64)
			seconds += nanoseconds / 1e9
		}
	}
	return seconds
}

// LoadAverage returns the machine's load average over the last minute, 0 if it cannot be read. Timings measured under a
// high load are not reliable.
func LoadAverage() float64 {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	load, _ := strconv.ParseFloat(string(bytes.Fields(text)[0]), 64)
	return load
}

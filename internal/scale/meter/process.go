package meter

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
)

const clockTick = 0.01 // seconds: what Linux counts processor time in

// Usage is what a process has used.
type Usage struct {
	CPUSeconds    float64 // seconds of a core since its start
	ResidentBytes float64 // bytes
}

// Process reads what a process has used.
func ProcessUsage(pid int) (Usage, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, err
	}
	fields := bytes.Fields(text[bytes.LastIndexByte(text, ')')+1:])
	const user, system, resident = 11, 12, 21 // places after the name, see proc(5)
	if len(fields) <= resident {
		return Usage{}, fmt.Errorf("/proc/%d/stat has %d fields", pid, len(fields))
	}
	var values [3]float64
	for i, place := range []int{user, system, resident} {
		if values[i], err = strconv.ParseFloat(string(fields[place]), 64); err != nil {
			return Usage{}, err
		}
	}
	cpu := max((values[0]+values[1])*clockTick, threadTime(pid))
	return Usage{CPUSeconds: cpu, ResidentBytes: values[2] * float64(os.Getpagesize())}, nil
}

// threadTime is the processor time of the threads that live, which the scheduler counts far finer than the process's.
func threadTime(pid int) (seconds float64) {
	paths, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid)) // the pattern is good
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			continue // ended meanwhile
		}
		if fields := bytes.Fields(text); len(fields) > 0 {
			nanoseconds, _ := strconv.ParseFloat(string(fields[0]), 64)
			seconds += nanoseconds / 1e9
		}
	}
	return seconds
}

// LoadAverage is the machine's of the last minute; timings mean little beside a high one.
func LoadAverage() float64 {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	load, _ := strconv.ParseFloat(string(bytes.Fields(text)[0]), 64)
	return load
}

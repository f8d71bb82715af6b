// This file writes record.txt: one line for each thing that was sent, answered or run, with the seconds since the start.

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that a case writes what it saw to.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// newRecord creates the file, which replaces that of an earlier run.
func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, started: time.Now()}, err
}

// add writes one line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.started).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

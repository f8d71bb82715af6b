// This file holds the record of a run: what was sent, answered and run, one line for each event, with the seconds since the start.

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the list of events of one run. Its methods may be called from any goroutine.
type record struct {
	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
	broken  []string // how the rule was broken
	failed  []string // why the case could not run
}

// newRecord creates the file at path.
func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), started: time.Now()}, nil
}

// seconds returns the time since the start of the run.
func (r *record) seconds() float64 { return time.Since(r.started).Seconds() }

// note writes one event.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{r.seconds()}, args...)...)
}

// breaks notes that the rule was broken.
func (r *record) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.note("RULE BROKEN %s", text)
	r.mu.Lock()
	r.broken = append(r.broken, text)
	r.mu.Unlock()
}

// cannotRun notes why the case says nothing about the rule.
func (r *record) cannotRun(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.note("COULD NOT RUN %s", text)
	r.mu.Lock()
	r.failed = append(r.failed, text)
	r.mu.Unlock()
}

// end writes the verdict, closes the file and returns the exit status: 1 if the rule was broken, 2 if the case could not run, and
// 0 if the rule held.
func (r *record) end() int {
	status, verdict := 0, "the rule held"
	switch {
	case len(r.broken) > 0:
		status, verdict = 1, fmt.Sprintf("the rule was broken %d times, first: %s", len(r.broken), r.broken[0])
	case len(r.failed) > 0:
		status, verdict = 2, "the case could not run: "+r.failed[0]
	}
	r.note("VERDICT %s", verdict)
	r.out.Flush()
	r.file.Close()
	fmt.Println(verdict)
	return status
}

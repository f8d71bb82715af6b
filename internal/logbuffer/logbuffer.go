// Package logbuffer provides an asynchronous log writer.
//
// Lines are queued in a bounded buffer and written by a goroutine, so that logging never blocks on a slow reader of the log.
// Lines that do not fit into the buffer, or whose write failed, are dropped and counted. The next successful write begins with
// a line that reports their number.
package logbuffer

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const maxPendingBytes = 256 << 10 // some thousands of lines

// Writer queues lines without blocking. Create it with New. Its methods are safe for concurrent use.
type Writer struct {
	out          io.Writer
	mu           sync.Mutex
	changed      sync.Cond // pending or closed has changed
	pending      []byte
	pendingLines int // number of lines in pending
	lostLines    int // lines dropped since the last report
	closed       bool
	done         chan struct{}
}

// New returns a Writer that writes to out, and starts its goroutine, which ends after Close.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, done: make(chan struct{})}
	w.changed.L = &w.mu
	go w.run()
	return w
}

// Write queues one line, or counts it as lost. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > maxPendingBytes || w.closed {
		w.lostLines++
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	w.pendingLines++
	w.changed.Broadcast()
	return len(line), nil
}

// Close stops accepting lines and waits, for at most the timeout, until the pending ones are written.
func (w *Writer) Close(timeout time.Duration) {
	w.mu.Lock()
	w.closed = true
	w.changed.Broadcast()
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

// takePending waits for lines and takes them, after a line that reports lost ones. It returns no lines once the Writer is
// closed.
func (w *Writer) takePending(buffer []byte) (text []byte, lines int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.pendingLines == 0 && !w.closed {
		w.changed.Wait()
	}
	text = buffer[:0]
	if w.lostLines > 0 && w.pendingLines > 0 {
		text = fmt.Appendf(text, "msg=log_lines_lost lines=%d\n", w.lostLines)
		w.lostLines = 0
	}
	text, lines = append(text, w.pending...), w.pendingLines
	w.pending, w.pendingLines = w.pending[:0], 0
	return text, lines
}

// run writes pending lines until the Writer is closed.
func (w *Writer) run() {
	defer close(w.done)
	var text []byte
	for {
		var lines int
		if text, lines = w.takePending(text); lines == 0 {
			return
		}
		if _, err := w.out.Write(text); err != nil {
			w.mu.Lock()
			w.lostLines += lines
			w.mu.Unlock()
		}
	}
}

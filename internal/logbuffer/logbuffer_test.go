package logbuffer

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
)

// blockingWriter is a destination whose writes block until the test releases them, with an error or without.
type blockingWriter struct {
	started chan bool
	release chan error
	text    bytes.Buffer
}

func (w *blockingWriter) Write(text []byte) (int, error) {
	w.started <- true
	if err := <-w.release; err != nil {
		return 0, err
	}
	return w.text.Write(text)
}

func TestLinesOverTheLimitAreCounted(t *testing.T) {
	out := &blockingWriter{started: make(chan bool), release: make(chan error)}
	w := New(out)
	fmt.Fprintln(w, "first")
	<-out.started // and blocks
	line := strings.Repeat("x", 1023)
	for range maxPendingBytes/1024 + 7 {
		fmt.Fprintln(w, line)
	}
	out.release <- nil
	<-out.started
	out.release <- nil
	fmt.Fprintln(w, "last")
	<-out.started
	out.release <- nil
	w.Close(time.Second)
	text := out.text.String()
	if n := strings.Count(text, line); n != maxPendingBytes/1024 ||
		!strings.HasPrefix(text, "first\n") || !strings.HasSuffix(text, "last\n") {
		t.Errorf("%d lines written, want %d", n, maxPendingBytes/1024)
	}
	if strings.Count(text, "msg=log_lines_lost lines=7\n") != 1 {
		t.Error("the lost lines are not reported")
	}
}

func TestLinesWhoseWriteFailsAreCounted(t *testing.T) {
	out := &blockingWriter{started: make(chan bool), release: make(chan error)}
	w := New(out)
	fmt.Fprintln(w, "first")
	<-out.started
	out.release <- errors.New("the reader has closed")
	for {
		w.mu.Lock()
		counted := w.lostLines == 1
		w.mu.Unlock()
		if counted {
			break
		}
		time.Sleep(time.Millisecond)
	}
	fmt.Fprintln(w, "last")
	<-out.started
	out.release <- nil
	w.Close(time.Second)
	if text := out.text.String(); text != "msg=log_lines_lost lines=1\nlast\n" {
		t.Errorf("wrote %q", text)
	}
}

func TestCloseTimesOut(t *testing.T) {
	out := &blockingWriter{started: make(chan bool, 9), release: make(chan error)}
	w := New(out)
	fmt.Fprintln(w, "blocked")
	start := time.Now()
	w.Close(10 * time.Millisecond)
	if took := time.Since(start); took > 5*time.Second {
		t.Errorf("Close with a timeout of 10 ms took %v", took)
	}
	out.release <- nil
}

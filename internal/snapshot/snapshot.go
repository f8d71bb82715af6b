// Package snapshot saves what a process has learned to a persistent disk, and loads it in the process that follows.
//
// A snapshot is one JSON file for each process, in the format of internal/statefile. A goroutine of its own writes it, never the
// loop. A damaged file is a one-line error and the process starts without it; a folder of another fleet is refused. The package
// never decides which parts of a snapshot are still valid: the caller knows its age.
package snapshot

import (
	"encoding/json"
	"fmt"
	"sync"

	"sandpass/internal/boottime"
	"sandpass/internal/statefile"
)

// fileFormat is the format of a snapshot file.
var fileFormat = statefile.Format{Name: "sandpass-state", Version: 1, Suffix: ".state", Description: "a snapshot"}

// State is the content of a snapshot.
type State struct {
	Fleet              string             `json:"fleet"`
	Name               string             `json:"name"`
	SavedUnix          float64            `json:"saved"` // Unix time in seconds
	SavedAt            boottime.Time      `json:"saved_at"`
	StartAges          json.RawMessage    `json:"ages,omitempty"`
	Incarnation        uint64             `json:"life"` // number of the process, by which peers tell it from earlier ones
	Endpoints          json.RawMessage    `json:"list,omitempty"`
	Discovery          string             `json:"discovery,omitempty"` // address that Endpoints came from
	Maintenance        json.RawMessage    `json:"maintenance,omitempty"`
	Drained            bool               `json:"drained,omitempty"`
	TypicalLatency     float64            `json:"usual,omitempty"`  // seconds, median without congestion
	BaselineInFlight   float64            `json:"ease,omitempty"`   // commands in flight without congestion
	InFlightPerBackend float64            `json:"level,omitempty"`  // limit of commands in flight for each backend
	ArrivalRate        float64            `json:"rate,omitempty"`   // commands per second
	AnsweredFraction   float64            `json:"served,omitempty"` // usual fraction of commands that are answered
	LateFraction       float64            `json:"late,omitempty"`   // usual fraction of answers that are late
	AllLatencies       []byte             `json:"any,omitempty"`    // latency sketch of all answers
	VerbLatencies      map[string][]byte  `json:"verbs,omitempty"`  // latency sketch of each verb's answers
	BackendWeights     map[string]float64 `json:"weights,omitempty"`
}

// Encode returns the bytes of a snapshot file.
func Encode(s *State) ([]byte, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	return fileFormat.Encode(body), nil
}

// Decode parses the bytes of a snapshot file. Its errors are one line.
func Decode(text []byte) (*State, error) {
	body, err := fileFormat.Decode(text)
	if err != nil {
		return nil, err
	}
	return decodeBody(body)
}

// decodeBody parses the body of a snapshot file.
func decodeBody(body []byte) (*State, error) {
	var s State
	if err := json.Unmarshal(body, &s); err != nil {
		return nil, fmt.Errorf("its body: %w", err)
	}
	return &s, nil
}

// FleetMismatchError reports a folder that belongs to another fleet.
type FleetMismatchError = statefile.FleetMismatchError

// Load reads a process's snapshot. It returns nil without an error if there is none.
func Load(folder, fleet, name string) (*State, error) {
	path := fileFormat.Path(folder, name)
	body, err := fileFormat.Read(path)
	if body == nil || err != nil {
		return nil, err
	}
	s, err := decodeBody(body)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if s.Fleet != fleet {
		return nil, &FleetMismatchError{Folder: folder, Fleet: s.Fleet, WantFleet: fleet}
	}
	return s, nil
}

// Writer writes a process's snapshots, one at a time, off the loop.
type Writer struct {
	path      string
	mu        sync.Mutex
	pending   *pendingWrite // not yet being written, nil for none
	wake      chan struct{} // capacity 1; closed by Close
	done      sync.WaitGroup
	onStatus  func(err error) // called with a new failure, and with nil once writing works again
	writeFile func(path string, text []byte) error
}

// NewWriter starts a writer. onStatus is called from its goroutine, only when the error changes.
func NewWriter(folder, name string, onStatus func(error)) *Writer {
	w := &Writer{
		path: fileFormat.Path(folder, name), wake: make(chan struct{}, 1), onStatus: onStatus, writeFile: statefile.Write,
	}
	w.done.Go(w.run)
	return w
}

// pendingWrite is a snapshot to be written and the callbacks waiting for it.
type pendingWrite struct {
	build func() (*State, error)
	done  []func(error)
}

// Put queues a snapshot without blocking; it replaces one that is still queued. The writer's goroutine calls build, which must
// use only data that no other goroutine modifies. done, if not nil, is called from that goroutine once this snapshot or a later
// one is on disk, or with the write error.
func (w *Writer) Put(build func() (*State, error), done func(error)) {
	w.mu.Lock()
	next := &pendingWrite{build: build}
	if w.pending != nil {
		next.done = w.pending.done
	}
	if done != nil {
		next.done = append(next.done, done)
	}
	w.pending = next
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default: // a wakeup is already pending
	}
}

// Close writes the snapshot queued last, and ends the writer.
func (w *Writer) Close() {
	close(w.wake)
	w.done.Wait()
}

// takePending returns the snapshot to write, nil for none.
func (w *Writer) takePending() *pendingWrite {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := w.pending
	w.pending = nil
	return next
}

// run writes snapshots until Close, and reports changes of the error.
func (w *Writer) run() {
	last := ""
	for range w.wake {
		next := w.takePending()
		if next == nil {
			continue
		}
		err := w.write(next.build)
		for _, done := range next.done {
			done(err)
		}
		message := ""
		if err != nil {
			message = err.Error()
		}
		if message != last {
			w.onStatus(err)
		}
		last = message
	}
}

// write builds and writes one snapshot.
func (w *Writer) write(build func() (*State, error)) error {
	s, err := build()
	if err != nil {
		return err
	}
	text, err := Encode(s)
	if err != nil {
		return err
	}
	return w.writeFile(w.path, text)
}

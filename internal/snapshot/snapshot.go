// Package warm keeps what a process knows on a disk that lasts, and gives it to the one that comes after.
//
// The snapshot is one file for each process in the form of internal/statefile, with JSON in it. It is written by a goroutine
// of its own, never by the loop. Whatever is wrong with a
// file is one line, and a start without it; but a folder that is another fleet's is refused. It must never decide what of
// a snapshot is still to be believed: who takes it knows how old it is.
package snapshot

import (
	"encoding/json"
	"fmt"
	"sync"

	"sandpass/internal/boottime"
	"sandpass/internal/statefile"
)

var form = statefile.Format{Name: "sandpass-state", Version: 1, Suffix: ".state", Description: "a snapshot"}

// State is what a process knows.
type State struct {
	Fleet              string             `json:"fleet"`
	Name               string             `json:"name"`
	SavedUnix          float64            `json:"saved"` // Unix time in seconds
	SavedAt            boottime.Time      `json:"saved_at"`
	StartAges          json.RawMessage    `json:"ages,omitempty"`
	Incarnation        uint64             `json:"life"` // of the process, by which peers tell it from those before
	Endpoints          json.RawMessage    `json:"list,omitempty"`
	Discovery          string             `json:"discovery,omitempty"` // whose list it is
	Maintenance        json.RawMessage    `json:"maintenance,omitempty"`
	Drained            bool               `json:"drained,omitempty"`
	TypicalLatency     float64            `json:"usual,omitempty"`  // seconds of an answer
	BaselineInFlight   float64            `json:"ease,omitempty"`   // commands out
	InFlightPerBackend float64            `json:"level,omitempty"`  // commands out for each backend
	ArrivalRate        float64            `json:"rate,omitempty"`   // commands a second
	AnsweredFraction   float64            `json:"served,omitempty"` // part of commands that is usually answered
	LateFraction       float64            `json:"late,omitempty"`   // and part of those that is late
	AllLatencies       []byte             `json:"any,omitempty"`    // sketch of all answers
	VerbLatencies      map[string][]byte  `json:"verbs,omitempty"`  // and of each verb's
	BackendWeights     map[string]float64 `json:"weights,omitempty"`
}

// Encode gives a snapshot's bytes.
func Encode(s *State) ([]byte, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	return form.Encode(body), nil
}

// Decode reads a snapshot's bytes, or tells in one line what is wrong with them.
func Decode(text []byte) (*State, error) {
	body, err := form.Decode(text)
	if err != nil {
		return nil, err
	}
	return decodeBody(body)
}

func decodeBody(body []byte) (*State, error) {
	var s State
	if err := json.Unmarshal(body, &s); err != nil {
		return nil, fmt.Errorf("its body: %w", err)
	}
	return &s, nil
}

// Foreign says that a folder is another fleet's.
type FleetMismatchError = statefile.FleetMismatchError

// Load reads the snapshot of the process of that name. There may be none: nil without an error.
func Load(folder, fleet, name string) (*State, error) {
	path := form.Path(folder, name)
	body, err := form.Read(path)
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

// Keeper writes a process's snapshots, one at a time, off the loop.
type Writer struct {
	at      string
	mu      sync.Mutex
	next    *saving       // that was not begun yet, nil for none
	wake    chan struct{} // has room for one; closed by Close
	done    sync.WaitGroup
	said    func(err error) // is told of a failure and, with nil, that writing works again
	writing func(path string, text []byte) error
}

// NewKeeper begins. said is called from another goroutine, only where what is wrong changes.
func NewWriter(folder, name string, said func(error)) *Writer {
	k := &Writer{at: form.Path(folder, name), wake: make(chan struct{}, 1), said: said, writing: statefile.Write}
	k.done.Go(k.run)
	return k
}

// saving is one snapshot to be written, and who waits for it.
type saving struct {
	made  func() (*State, error)
	saved []func(error)
}

// Put hands a snapshot over without waiting, to be made by the keeper's own goroutine from what nobody else holds; one that
// was not begun yet is passed over. saved, if not nil, is called from that goroutine once this snapshot or a later one is on
// the disk, or with the error why it is not.
func (k *Writer) Put(made func() (*State, error), saved func(error)) {
	k.mu.Lock()
	next := &saving{made: made}
	if k.next != nil {
		next.saved = k.next.saved
	}
	if saved != nil {
		next.saved = append(next.saved, saved)
	}
	k.next = next
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default: // it has been woken for the one before
	}
}

// Close writes what was put last, and ends.
func (k *Writer) Close() {
	close(k.wake)
	k.done.Wait()
}

// take gives the snapshot to be written, nil for none.
func (k *Writer) take() *saving {
	k.mu.Lock()
	defer k.mu.Unlock()
	next := k.next
	k.next = nil
	return next
}

func (k *Writer) run() {
	last := ""
	for range k.wake {
		next := k.take()
		if next == nil {
			continue
		}
		err := k.write(next.made)
		for _, saved := range next.saved {
			saved(err)
		}
		now := ""
		if err != nil {
			now = err.Error()
		}
		if now != last {
			k.said(err)
		}
		last = now
	}
}

func (k *Writer) write(made func() (*State, error)) error {
	s, err := made()
	if err != nil {
		return err
	}
	text, err := Encode(s)
	if err != nil {
		return err
	}
	return k.writing(k.at, text)
}

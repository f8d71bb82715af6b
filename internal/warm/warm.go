// Package warm keeps what a process knows on a disk that lasts, and gives it to the one that comes after.
//
// The snapshot is one file for each process: a line with the form's version, a checksum and the length, then JSON. It is
// written to a temporary file, synced and renamed, by a goroutine of its own, never by the loop. Whatever is wrong with a
// file is one line, and a start without it; but a folder that is another fleet's is refused. It must never decide what of
// a snapshot is still to be believed: who takes it knows how old it is.
package warm

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"net/url"
	"os"
	"path/filepath"
	"sync"
)

const (
	form     = "sandpass-state"
	version  = 1
	sizeMost = 16 << 20 // bytes of a snapshot: tens of thousands of backends
)

// State is what a process knows.
type State struct {
	Fleet       string             `json:"fleet"`
	Name        string             `json:"name"`
	Saved       float64            `json:"saved"` // Unix time in seconds
	Life        uint64             `json:"life"`  // of the process, by which siblings tell it from those before
	List        json.RawMessage    `json:"list,omitempty"`
	Discovery   string             `json:"discovery,omitempty"` // whose list it is
	Maintenance json.RawMessage    `json:"maintenance,omitempty"`
	Drained     bool               `json:"drained,omitempty"`
	Usual       float64            `json:"usual,omitempty"`  // seconds of an answer
	Ease        float64            `json:"ease,omitempty"`   // commands out
	Level       float64            `json:"level,omitempty"`  // commands out for each backend
	Rate        float64            `json:"rate,omitempty"`   // commands a second
	Served      float64            `json:"served,omitempty"` // part of commands that is usually answered
	Late        float64            `json:"late,omitempty"`   // and part of those that is late
	Any         []byte             `json:"any,omitempty"`    // sketch of all answers
	Verbs       map[string][]byte  `json:"verbs,omitempty"`  // and of each verb's
	Weights     map[string]float64 `json:"weights,omitempty"`
}

var table = crc32.MakeTable(crc32.Castagnoli)

// Encode gives a snapshot's bytes.
func Encode(s *State) ([]byte, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	return append(fmt.Appendf(nil, "%s %d %08x %d\n", form, version, crc32.Checksum(body, table), len(body)), body...), nil
}

// Decode reads a snapshot's bytes, or tells in one line what is wrong with them.
func Decode(text []byte) (*State, error) {
	head, body, whole := bytes.Cut(text, []byte("\n"))
	if !whole || len(head) > 80 {
		return nil, errors.New("it has no first line: torn, or no snapshot")
	}
	var name string
	var v, length int
	var sum uint32
	if n, err := fmt.Sscanf(string(head), "%s %d %x %d", &name, &v, &sum, &length); err != nil && n < 2 || name != form {
		return nil, errors.New("its first line is not that of a snapshot")
	} else if v != version {
		return nil, fmt.Errorf("it has form %d, this program knows %d", v, version)
	} else if n != 4 {
		return nil, errors.New("its first line is cut short")
	}
	if len(body) != length {
		return nil, fmt.Errorf("it is torn: %d bytes of %d", len(body), length)
	}
	if crc32.Checksum(body, table) != sum {
		return nil, errors.New("its checksum is wrong")
	}
	var s State
	if err := json.Unmarshal(body, &s); err != nil {
		return nil, fmt.Errorf("its body: %w", err)
	}
	return &s, nil
}

// Foreign says that a folder is another fleet's.
type Foreign struct{ Folder, Fleet, Ours string }

func (f *Foreign) Error() string {
	return fmt.Sprintf("state: the folder %s is that of fleet %q, not of %q", f.Folder, f.Fleet, f.Ours)
}

// place is the file of the process of that name.
func place(folder, name string) string { return filepath.Join(folder, url.PathEscape(name)+".state") }

// Load reads the snapshot of the process of that name. There may be none: nil without an error.
func Load(folder, fleet, name string) (*State, error) {
	at := place(folder, name)
	info, err := os.Stat(at)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err == nil && (!info.Mode().IsRegular() || info.Size() > sizeMost) {
		return nil, fmt.Errorf("%s: no regular file of at most %d bytes", at, sizeMost)
	}
	text, err := os.ReadFile(at)
	if err != nil {
		return nil, err
	}
	s, err := Decode(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", at, err)
	}
	if s.Fleet != fleet {
		return nil, &Foreign{folder, s.Fleet, fleet}
	}
	return s, nil
}

// Keeper writes a process's snapshots, one at a time, off the loop.
type Keeper struct {
	at      string
	next    chan func() (*State, error)
	done    sync.WaitGroup
	said    func(err error) // is told of a failure and, with nil, that writing works again
	writing func(path string, text []byte) error
}

// NewKeeper begins. said is called from another goroutine, only where what is wrong changes.
func NewKeeper(folder, name string, said func(error)) *Keeper {
	k := &Keeper{at: place(folder, name), next: make(chan func() (*State, error), 1), said: said, writing: write}
	k.done.Go(k.run)
	return k
}

// Put hands a snapshot over without waiting, to be made by the keeper's own goroutine from what nobody else holds; one that
// was not begun yet is passed over.
func (k *Keeper) Put(made func() (*State, error)) {
	select {
	case <-k.next:
	default:
	}
	k.next <- made // there is room: only this goroutine puts
}

// Close writes what was put last, and ends.
func (k *Keeper) Close() {
	close(k.next)
	k.done.Wait()
}

func (k *Keeper) run() {
	last := ""
	for made := range k.next {
		var text []byte
		s, err := made()
		if err == nil {
			text, err = Encode(s)
		}
		if err == nil {
			err = k.writing(k.at, text)
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

// write puts a file in place whole or not at all.
func write(path string, text []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".state-*")
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		os.Remove(f.Name())
	}
	return err
}

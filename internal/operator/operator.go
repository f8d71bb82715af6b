// Package operator reads the file in which an installation's operators say what the platform does not: what is off unless
// it is named there. It must never hold a default that turns something on, nor take a file in part.
package operator

import (
	"errors"
	"fmt"
	"math"
	"os"

	"sandpass/internal/tomlconfig"
)

// File is what the operators say. Times are in seconds.
type File struct {
	State State `toml:"state"`
}

// State says where a process keeps what it knows over its end.
type State struct {
	Folder string  `toml:"folder"` // empty: nowhere
	Fleet  string  `toml:"fleet"`  // whose it is: what another fleet has left there is refused
	Every  float64 `toml:"every"`  // between two writings, 0: 1
}

const (
	everyLeast = 0.1    // seconds: each writing is a sync of the disk
	everyMost  = 3600.0 // beyond, what is kept is too old to be of use
)

// Read reads a file; the error is one line with the place.
func Read(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	f, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

// Parse decodes and checks a file's text.
func Parse(text []byte) (*File, error) {
	var f File
	if err := tomlconfig.Decode(text, &f); err != nil {
		return nil, err
	}
	s := &f.State
	if s.Every == 0 {
		s.Every = 1
	}
	switch {
	case math.IsNaN(s.Every) || s.Every < everyLeast || s.Every > everyMost:
		return nil, fmt.Errorf("state.every = %v is not between %v and %v", s.Every, everyLeast, everyMost)
	case s.Folder != "" && s.Fleet == "":
		return nil, errors.New("state.fleet is missing: a folder belongs to one fleet")
	case s.Folder == "" && s.Fleet != "":
		return nil, errors.New("state.folder is missing")
	}
	return &f, nil
}

// Package operator reads the file in which an installation's operators say what the platform does not: what is off unless
// it is named there. It must never hold a default that turns something on, nor take a file in part.
package operator

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"slices"

	"sandpass/internal/revision"
	"sandpass/internal/tomlconfig"
)

// File is what the operators say. Times are in seconds.
type File struct {
	State   State   `toml:"state"`
	Control Control `toml:"control"`
}

// State says where a process keeps what it knows over its end.
type State struct {
	Folder       string  `toml:"folder"` // empty: nowhere
	Fleet        string  `toml:"fleet"`  // whose it is: what another fleet has left there is refused
	SaveInterval float64 `toml:"every"`  // between two writings, 0: 1
}

// Control says from which control replicas a proxy has its configuration, and where it stands among the others.
type Control struct {
	Replicas []string `toml:"replicas"` // addresses, the preferred one first; empty: none
	Fleet    string   `toml:"fleet"`    // whose configuration it is
	Region   string   `toml:"region"`   // scopes in which the proxy lies, beside its own; each may be empty
	Zone     string   `toml:"zone"`
	Service  string   `toml:"service"`
}

// On tells whether there is control.
func (c Control) Enabled() bool { return len(c.Replicas) > 0 }

// Check tells what is wrong with a proxy's place under control, if anything.
func (c Control) Check(name string) error {
	if !c.Enabled() {
		return nil
	}
	if err := c.Identity(name).Check(); err != nil {
		return fmt.Errorf("control: %w", err)
	}
	return nil
}

// Identity is who a proxy of that name is.
func (c Control) Identity(name string) revision.Identity {
	return revision.Identity{Fleet: c.Fleet, Proxy: name, Region: c.Region, Zone: c.Zone, Service: c.Service}
}

// Addresses are the replicas' addresses; those that are none are left out, which Parse has refused.
func (c Control) Addresses() (all []netip.AddrPort) {
	for _, text := range c.Replicas {
		if at, err := netip.ParseAddrPort(text); err == nil {
			all = append(all, at)
		}
	}
	return all
}

// Equal tells whether two say the same.
func (c Control) Equal(d Control) bool {
	return slices.Equal(c.Replicas, d.Replicas) && c.Identity("") == d.Identity("")
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
	if s.SaveInterval == 0 {
		s.SaveInterval = 1
	}
	switch {
	case math.IsNaN(s.SaveInterval) || s.SaveInterval < everyLeast || s.SaveInterval > everyMost:
		return nil, fmt.Errorf("state.every = %v is not between %v and %v", s.SaveInterval, everyLeast, everyMost)
	case s.Folder != "" && s.Fleet == "":
		return nil, errors.New("state.fleet is missing: a folder belongs to one fleet")
	case s.Folder == "" && s.Fleet != "":
		return nil, errors.New("state.folder is missing")
	}
	if err := f.checkControl(); err != nil {
		return nil, err
	}
	return &f, nil
}

// checkControl tells what is wrong with the part on control, if anything.
func (f *File) checkControl() error {
	c := f.Control
	switch {
	case c.Equal(Control{}):
		return nil
	case !c.Enabled():
		return errors.New("control.replicas is missing")
	case c.Fleet == "":
		return errors.New("control.fleet is missing: a proxy follows one fleet's configuration")
	case f.State.Fleet != "" && f.State.Fleet != c.Fleet:
		return fmt.Errorf("control.fleet is %q, and state.fleet %q", c.Fleet, f.State.Fleet)
	}
	for i, text := range c.Replicas {
		if _, err := netip.ParseAddrPort(text); err != nil {
			return fmt.Errorf("control.replicas[%d]: %w", i, err)
		}
		if slices.Index(c.Replicas, text) < i {
			return fmt.Errorf("control.replicas[%d]: %s comes twice", i, text)
		}
	}
	return c.Check("any")
}

// Package operator reads the file in which an installation's operators configure what the platform does not. Every feature is off
// unless the file turns it on. A file with an error is rejected as a whole.
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

// File is the content of the operators' file. Times are in seconds.
type File struct {
	State   State   `toml:"state"`
	Control Control `toml:"control"`
}

// State configures where a process saves its state for the time after a restart.
type State struct {
	Folder       string  `toml:"folder"` // empty: no state is saved
	Fleet        string  `toml:"fleet"`  // owner of the folder; the state of another fleet is refused
	SaveInterval float64 `toml:"every"`  // between two snapshots, 0: 1
}

// Control configures the control replicas of a proxy, and the scopes that the proxy belongs to.
type Control struct {
	Replicas []string `toml:"replicas"` // addresses, the preferred one first; empty: none
	Fleet    string   `toml:"fleet"`    // fleet that the configuration is for
	Region   string   `toml:"region"`   // scopes of the proxy, in addition to its own; each may be empty
	Zone     string   `toml:"zone"`
	Service  string   `toml:"service"`
}

// Enabled reports whether control replicas are configured.
func (c Control) Enabled() bool { return len(c.Replicas) > 0 }

// Check returns an error if the identity of the proxy with that name is invalid.
func (c Control) Check(name string) error {
	if !c.Enabled() {
		return nil
	}
	if err := c.Identity(name).Check(); err != nil {
		return fmt.Errorf("control: %w", err)
	}
	return nil
}

// Identity returns the identity of the proxy with that name.
func (c Control) Identity(name string) revision.Identity {
	return revision.Identity{Fleet: c.Fleet, Proxy: name, Region: c.Region, Zone: c.Zone, Service: c.Service}
}

// Addresses returns the replicas' addresses, without invalid ones, which Parse has rejected.
func (c Control) Addresses() (all []netip.AddrPort) {
	for _, text := range c.Replicas {
		if at, err := netip.ParseAddrPort(text); err == nil {
			all = append(all, at)
		}
	}
	return all
}

// Equal reports whether both configure the same.
func (c Control) Equal(d Control) bool {
	return slices.Equal(c.Replicas, d.Replicas) && c.Identity("") == d.Identity("")
}

const (
	minSaveInterval = 0.1    // seconds: each snapshot syncs the disk
	maxSaveInterval = 3600.0 // seconds: an older snapshot is of no use
)

// Read reads and checks a file; its errors are one line with the position.
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
	case math.IsNaN(s.SaveInterval) || s.SaveInterval < minSaveInterval || s.SaveInterval > maxSaveInterval:
		return nil, fmt.Errorf("state.every = %v is not between %v and %v", s.SaveInterval, minSaveInterval, maxSaveInterval)
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

// checkControl validates the control section.
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
		return fmt.Errorf("control.fleet %q differs from state.fleet %q", c.Fleet, f.State.Fleet)
	}
	for i, text := range c.Replicas {
		if _, err := netip.ParseAddrPort(text); err != nil {
			return fmt.Errorf("control.replicas[%d]: %w", i, err)
		}
		if slices.Index(c.Replicas, text) < i {
			return fmt.Errorf("control.replicas[%d]: duplicate address %s", i, text)
		}
	}
	return c.Check("any")
}

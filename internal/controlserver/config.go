package controlserver

import (
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"path/filepath"

	"sandpass/internal/revision"
	"sandpass/internal/tomlconfig"
)

// ReplicasMost is the largest number of replicas in a fleet.
const MaxReplicas = 9

// Peer is one replica as all of them know it.
type Peer struct {
	Name    string `toml:"name"`
	Address string `toml:"address"`
	Region  string `toml:"region"`
}

// Config is a replica's file.
type Config struct {
	Fleet     string `toml:"fleet"`
	Name      string `toml:"name"`       // of this replica
	Folder    string `toml:"folder"`     // of its log
	Listen    string `toml:"listen"`     // address for proxies, operators and the other replicas
	CheckBase string `toml:"check_base"` // a typical proxy's configuration, over which revisions are checked
	Replicas  []Peer `toml:"replica"`
}

// ReadConfig reads and checks a replica's file. A relative folder or check_base lies beside the file. Errors are one
// line, with line and column where the text is wrong.
func ReadConfig(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var config Config
	if err := tomlconfig.Decode(text, &config); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := config.Check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	config.Folder = beside(path, config.Folder)
	if config.CheckBase != "" {
		config.CheckBase = beside(path, config.CheckBase)
	}
	return &config, nil
}

// beside resolves a relative path against the folder of the file that names it.
func beside(file, path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(file), path)
}

// Check tells what is wrong with a configuration, if anything.
func (c *Config) Check() error {
	if err := (revision.Identity{Fleet: c.Fleet, Proxy: c.Name}).Check(); err != nil {
		return fmt.Errorf("fleet or name: %w", err)
	}
	if c.Folder == "" {
		return errors.New("folder is missing")
	}
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if len(c.Replicas) == 0 || len(c.Replicas) > MaxReplicas {
		return fmt.Errorf("%d replicas are named, 1 to %d can be", len(c.Replicas), MaxReplicas)
	}
	return c.checkPeers()
}

func (c *Config) checkPeers() error {
	byName, byAddress, byID := map[string]bool{}, map[string]bool{}, map[uint64]string{}
	for _, peer := range c.Replicas {
		if err := (revision.Identity{Fleet: c.Fleet, Proxy: peer.Name, Region: peer.Region}).Check(); err != nil {
			return fmt.Errorf("replica: %w", err)
		}
		if _, _, err := net.SplitHostPort(peer.Address); err != nil {
			return fmt.Errorf("replica %s: address: %w", peer.Name, err)
		}
		if byName[peer.Name] || byAddress[peer.Address] {
			return fmt.Errorf("replica %s: its name or address is there twice", peer.Name)
		}
		id := replicaID(c.Fleet, peer.Name)
		if other := byID[id]; other != "" {
			return fmt.Errorf("replicas %s and %s have the same identifier: rename one", peer.Name, other)
		}
		byName[peer.Name], byAddress[peer.Address], byID[id] = true, true, peer.Name
	}
	if !byName[c.Name] {
		return fmt.Errorf("name: %s is not one of the replicas", c.Name)
	}
	return nil
}

// replicaID is the identifier of a replica in the replicated log, never 0.
func replicaID(fleet, name string) uint64 {
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%s/%s", fleet, name)
	return max(1, hash.Sum64())
}

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

// MaxReplicas is the largest number of control replicas in a fleet.
const MaxReplicas = 9

// Peer is the configuration of one replica. It is the same in the files of all replicas.
type Peer struct {
	Name    string `toml:"name"`
	Address string `toml:"address"`
	Region  string `toml:"region"`
}

// Config is the content of a replica's configuration file.
type Config struct {
	Fleet     string `toml:"fleet"`
	Name      string `toml:"name"`       // name of this replica
	Folder    string `toml:"folder"`     // where the replica stores its log
	Listen    string `toml:"listen"`     // address for proxies, operators and the other replicas
	CheckBase string `toml:"check_base"` // path of a typical proxy's configuration, into which revisions are merged for the check
	Replicas  []Peer `toml:"replica"`
}

// ReadConfig reads and checks a replica's file. A relative folder or check_base is resolved against the folder of the file.
// Errors are one line, with line and column for errors in the syntax.
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
	config.Folder = resolvePath(path, config.Folder)
	if config.CheckBase != "" {
		config.CheckBase = resolvePath(path, config.CheckBase)
	}
	return &config, nil
}

// resolvePath resolves a relative path against the folder of the file that names it.
func resolvePath(file, path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(file), path)
}

// Check returns the first error in the configuration.
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
		return fmt.Errorf("%d replicas are listed, must be 1 to %d", len(c.Replicas), MaxReplicas)
	}
	return c.checkPeers()
}

// checkPeers checks the list of replicas.
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
			return fmt.Errorf("replica %s: its name or address is listed twice", peer.Name)
		}
		id := replicaID(c.Fleet, peer.Name)
		if other := byID[id]; other != "" {
			return fmt.Errorf("replicas %s and %s have the same identifier hash: rename one of them", peer.Name, other)
		}
		byName[peer.Name], byAddress[peer.Address], byID[id] = true, true, peer.Name
	}
	if !byName[c.Name] {
		return fmt.Errorf("name: %s is not one of the replicas", c.Name)
	}
	return nil
}

// replicaID returns the identifier of a replica in the replicated log. It is never 0, which stands for no replica.
func replicaID(fleet, name string) uint64 {
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%s/%s", fleet, name)
	return max(1, hash.Sum64())
}

// This file applies the configuration received from control replicas: it is merged over the proxy's own configuration
// at the start, on SIGHUP and when it changes. The loop must not wait for a replica or the disk.

package proxy

import (
	"sync/atomic"

	"sandpass/internal/configwatch"
)

// controlDescriptors are reserved if control is configured: the watch, a trial connection to the preferred replica, a
// check's loop, a file being written and its folder, and some spare.
const controlDescriptors = 8

// control is the watch on the control replicas. Its Client is nil if none are configured.
type control struct {
	*configwatch.Client
	local atomic.Pointer[Config] // the proxy's own configuration
}

// newControl reads the saved control configuration and returns the merged configuration to start with.
func newControl(cfg *Config) (*control, *Config, error) {
	c := &control{}
	if !cfg.Control.Enabled() {
		return c, cfg, nil
	}
	c.local.Store(cfg)
	client, err := configwatch.New(configwatch.Config{
		Identity: cfg.Control.Identity(cfg.Name), Replicas: cfg.Control.Addresses(), Folder: cfg.State.Folder,
		Local: func() configwatch.ReloadableConfig {
			local := c.local.Load()
			return configwatch.ReloadableConfig{Discovery: local.Discovery, Peers: local.Peers, Settings: local.Settings}
		},
		Check: func(reloadable configwatch.ReloadableConfig) error {
			return Check(c.local.Load().withReloadable(reloadable))
		},
	})
	if err != nil {
		return nil, nil, err
	}
	c.Client = client
	return c, cfg.withReloadable(client.InitialConfig()), nil
}

// reload merges the held configuration over a new local one. It reports whether control is configured.
func (c *control) reload(cfg *Config) bool {
	if c.Client == nil {
		return false
	}
	c.local.Store(cfg)
	c.ReloadLocal()
	return true
}

// applyHeldConfig applies a validated configuration. It runs on the loop.
func (p *Proxy) applyHeldConfig(reloadable configwatch.ReloadableConfig) error {
	return p.reload(p.control.local.Load().withReloadable(reloadable))
}

// withReloadable returns a copy of the configuration with another reloadable part.
func (cfg *Config) withReloadable(reloadable configwatch.ReloadableConfig) *Config {
	next := *cfg
	next.Discovery, next.Peers, next.Settings = reloadable.Discovery, reloadable.Peers, reloadable.Settings
	return &next
}

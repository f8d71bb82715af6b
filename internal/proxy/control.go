// This file joins the proxy to the configuration that it has from control replicas: what is held is laid over the proxy's
// own configuration at the start, at SIGHUP and when it changes. It must never wait for a replica or the disk on the loop.
package proxy

import (
	"sync/atomic"

	"sandpass/internal/configwatch"
)

// controlDescriptors are kept where control is named: the watch, a trial of the preferred replica, a check's loop, a file
// that is written and its folder, and some to spare.
const controlDescriptors = 8

// control is the watch on the control replicas; its Client is nil where the operators name none.
type control struct {
	*configwatch.Client
	local atomic.Pointer[Config] // the proxy's own configuration
}

// newControl reads what is held and gives the configuration to start with.
func newControl(l *Config) (*control, *Config, error) {
	c := &control{}
	if !l.Control.Enabled() {
		return c, l, nil
	}
	c.local.Store(l)
	client, err := configwatch.New(configwatch.Config{
		Identity: l.Control.Identity(l.Name), Replicas: l.Control.Addresses(), Folder: l.State.Folder,
		Local: func() configwatch.ReloadableConfig {
			local := c.local.Load()
			return configwatch.ReloadableConfig{Discovery: local.Discovery, Peers: local.Peers, Settings: local.Settings}
		},
		Check: func(laid configwatch.ReloadableConfig) error { return Check(c.local.Load().with(laid)) },
	})
	if err != nil {
		return nil, nil, err
	}
	c.Client = client
	return c, l.with(client.InitialConfig()), nil
}

// reload has the held configuration laid over a new one of the proxy's own, where there is control.
func (c *control) reload(l *Config) bool {
	if c.Client == nil {
		return false
	}
	c.local.Store(l)
	c.ReloadLocal()
	return true
}

// takeOverHeld turns to a configuration that was found good; on the loop.
func (p *Proxy) applyHeldConfig(laid configwatch.ReloadableConfig) error {
	return p.reload(p.control.local.Load().with(laid))
}

// with is the configuration with another reloadable part.
func (l *Config) with(laid configwatch.ReloadableConfig) *Config {
	next := *l
	next.Discovery, next.Peers, next.Settings = laid.Discovery, laid.Peers, laid.Settings
	return &next
}

// This file validates a configuration. It must not need any kernel resources: a proxy that lacks descriptors still
// has to apply a new configuration in time.

package proxy

import (
	"fmt"
	"net/netip"

	"sandpass/balance"
	"sandpass/internal/settings"
)

// idleHost is a Host that does nothing, for a Balancer that is created only to validate its settings.
type idleHost struct{}

func (idleHost) Relay(uint64, balance.BackendID) {}
func (idleHost) Cancel(uint64, int)              {}
func (idleHost) CancelUndelivered(uint64, int)   {}
func (idleHost) Decline(uint64, float64)         {}
func (idleHost) Terminate(uint64)                {}
func (idleHost) StartTimer(float64, uint64)      {}
func (idleHost) WatchBackends()                  {}
func (idleHost) StopTimer(uint64)                {}
func (idleHost) SendToPeer(int, []byte)          {}

// Check validates a configuration and returns the first error.
func Check(cfg *Config) error {
	p, _, err := prepare(cfg)
	if err != nil {
		return err
	}
	if _, err := netip.ParseAddrPort(cfg.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if _, err := parseSocketFD(cfg.Socket); err != nil {
		return err
	}
	_, _, err = settings.NewBalancer(idleHost{}, p.seed, 0, cfg.Settings)
	return err
}

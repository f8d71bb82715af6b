// This file owns the check of a configuration. It must never need anything of the kernel: a proxy that lacks descriptors still
// has to turn to a new configuration in time.
package proxy

import (
	"fmt"
	"net/netip"

	"sandpass/balance"
	"sandpass/internal/settings"
)

// idleHost is the Host of a Balancer that is made only to see whether it can be.
type idleHost struct{}

func (idleHost) Relay(uint64, balance.BackendID) {}
func (idleHost) Cancel(uint64, int)              {}
func (idleHost) Decline(uint64, float64)         {}
func (idleHost) Terminate(uint64)                {}
func (idleHost) StartTimer(float64, uint64)      {}
func (idleHost) WatchBackends()                  {}
func (idleHost) SendToPeer(int, []byte)          {}

// Check tells what is wrong with a configuration, if anything.
func Check(l *Config) error {
	p, _, err := prepare(l)
	if err != nil {
		return err
	}
	if _, err := netip.ParseAddrPort(l.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if _, err := parseSocketFD(l.Socket); err != nil {
		return err
	}
	_, _, err = settings.NewBalancer(idleHost{}, p.seed, 0, l.Settings)
	return err
}

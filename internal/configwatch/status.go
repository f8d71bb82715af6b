package configwatch

import "sandpass/internal/revision"

// Status describes a proxy's configuration for operators.
type Status struct {
	Revision       revision.Number  `json:"revision"`           // in force; 0: the proxy's own file only
	Checksum       string           `json:"checksum,omitempty"` // of the document overlaid onto the proxy's own file
	InForceSeconds float64          `json:"in_force_s"`         // since the configuration was applied, or since the start
	Replica        string           `json:"replica"`            // address of the current replica
	Connected      bool             `json:"connected"`          // the replica responds
	SilentSeconds  float64          `json:"silent_s"`           // since the last message from any replica, or since the start
	LastError      string           `json:"lost,omitempty"`     // why the connection was lost, while there is none
	LastRefused    *revision.Report `json:"refused,omitempty"`  // the last update that was not applied
	Updates        Counts           `json:"updates"`
}

// Status returns the current status; call it on the loop.
func (c *Client) Status() *Status {
	if c == nil {
		return nil
	}
	now, state := c.loop.Now(), c.shared.Load()
	lastError := ""
	if !c.watch.Connected() {
		lastError = c.lastError
	}
	return &Status{Revision: state.hello.Revision, Checksum: state.hello.Checksum, InForceSeconds: now - c.appliedAt,
		Replica: c.watch.Server().String(), Connected: c.opened && c.watch.Connected(),
		SilentSeconds: now - max(c.startedAt, c.watch.LastReceivedAt()),
		LastError:     lastError, LastRefused: state.lastRefused, Updates: state.counts}
}

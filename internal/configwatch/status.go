package configwatch

import "sandpass/internal/revision"

// Status is how a proxy's configuration stands, for operators.
type Status struct {
	Revision       revision.Number  `json:"revision"`           // in force, 0: the proxy's own file alone
	Checksum       string           `json:"checksum,omitempty"` // of what is laid over the proxy's own file
	InForceSeconds float64          `json:"in_force_s"`         // seconds for which it has been, since the start at most
	Replica        string           `json:"replica"`            // asked now
	Connected      bool             `json:"connected"`          // and answers
	SilentSeconds  float64          `json:"silent_s"`           // seconds since any replica said something, since the start at most
	LastError      string           `json:"lost,omitempty"`     // why it answers no more, while it does not
	LastRefused    *revision.Report `json:"refused,omitempty"`  // the last update that was not taken
	Updates        Counts           `json:"updates"`
}

// Status tells how it stands; on the loop.
func (c *Client) Status() *Status {
	if c == nil {
		return nil
	}
	now, public := c.loop.Now(), c.public.Load()
	lost := ""
	if !c.watch.Connected() {
		lost = c.lost
	}
	return &Status{Revision: public.hello.Revision, Checksum: public.hello.Checksum, InForceSeconds: now - c.since,
		Replica: c.watch.Server().String(), Connected: c.opened && c.watch.Connected(), SilentSeconds: now - max(c.started, c.watch.LastReceivedAt()),
		LastError: lost, LastRefused: public.refused, Updates: public.counts}
}

package control

import (
	"time"

	"sandpass/internal/revision"
)

// ProxyStatus is the newest that is known of one proxy. It travels from replica to replica.
type ProxyStatus struct {
	Identity  revision.Identity `json:"identity"`
	Replica   string            `json:"replica"`            // that it watches, or watched last
	Connected bool              `json:"connected"`          // its watch is open
	At        time.Time         `json:"at"`                 // when its replica learned this, by that replica's clock
	InForce   revision.Number   `json:"in_force"`           // the newest that is in force
	Checksum  string            `json:"checksum,omitempty"` // of the configuration in force
	Since     time.Time         `json:"since"`              // when InForce was reported
	Refused   revision.Number   `json:"refused,omitempty"`  // the newest that it refused, 0 once a later one is in force
	Reason    string            `json:"reason,omitempty"`   // why
}

// FleetView is what a replica knows of all proxies.
type FleetView struct{}

// NewFleetView knows of no proxy.
func NewFleetView() *FleetView { panic("not written") }

// Opened notes a new watch at a replica.
func (v *FleetView) Opened(now time.Time, replica string, hello revision.Hello) { panic("not written") }

// Reported notes a proxy's report at the replica that it watches.
func (v *FleetView) Reported(now time.Time, replica, proxy string, report revision.Report) {
	panic("not written")
}

// Closed notes the end of a watch, unless the proxy has opened one elsewhere since.
func (v *FleetView) Closed(now time.Time, replica, proxy string) { panic("not written") }

// Merge takes over what another replica knows: of each proxy the newest counts. It says which were news.
func (v *FleetView) Merge(statuses []ProxyStatus) []ProxyStatus { panic("not written") }

// ReplicaGone notes that the watches at a replica are over.
func (v *FleetView) ReplicaGone(now time.Time, replica string) { panic("not written") }

// Forget drops proxies that have been gone for long.
func (v *FleetView) Forget(now time.Time) { panic("not written") }

// Proxy gives what is known of one proxy.
func (v *FleetView) Proxy(name string) (ProxyStatus, bool) { panic("not written") }

// All gives what is known, ordered by the proxies' names.
func (v *FleetView) All() []ProxyStatus { panic("not written") }

// Connected gives the proxies whose watch is open, ordered by name.
func (v *FleetView) Connected() []revision.Identity { panic("not written") }

// Lag is a proxy that has yet to take a revision.
type Lag struct {
	Proxy   string          `json:"proxy"`
	InForce revision.Number `json:"in_force"`
	Wanted  revision.Number `json:"wanted"`
	Since   time.Time       `json:"since"` // when what is in force there was reported
	Refused revision.Number `json:"refused,omitempty"`
	Reason  string          `json:"reason,omitempty"`
}

// Summary says how far a revision has come.
type Summary struct {
	Revision  revision.Number `json:"revision"`
	Concerned int             `json:"concerned"` // connected proxies that are to have it
	InForce   int             `json:"in_force"`  // of them, those that have it or a newer one
	Behind    []Lag           `json:"behind"`    // the others, the slowest first
	Gone      int             `json:"gone"`      // proxies that are known and not connected
}

// Summary says how many proxies have all that they are to have.
func (v *FleetView) Summary(s *State) Summary { panic("not written") }

// RevisionSummary says how far one revision has come among the proxies that it concerns.
func (v *FleetView) RevisionSummary(s *State, number revision.Number) (Summary, error) {
	panic("not written")
}
